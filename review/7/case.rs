//! Case 7: while a roll-out of a bad version, v2, runs, the operator orders the service back to v1,
//! which serves all along. Without the trouble the roll-out goes on, and is rolled back.

#[path = "../kit-2/kit.rs"]
mod kit;
#[path = "../kit-2/rollout.rs"]
mod rollout;

use std::process::exit;

use kit::*;
use rollout::*;

const BOXES: u8 = 7;

/// Time between the order of the bad version and that of the former one.
const BACK_AFTER_MS: u64 = 3_000;

fn main() {
    let record = Record::create();
    let mut platform = Platform::start(&record, "v1");
    let Some(nodes) = start_nodes(&platform.store, BOXES) else {
        record.both("the boxes did not become ready");
        exit(2);
    };
    record.line("all boxes are ready");
    let mut traffic = Traffic::start(&nodes, &record);
    sleep_ms(2_000);
    let ordered = platform.order("v2", true);
    if trouble() {
        sleep_until(ordered + BACK_AFTER_MS);
        platform.order("v1", false);
    }
    let mut seen = Vec::new();
    while now_ms() < ordered + DURATION_MS + BACK_AFTER_MS {
        let version = if platform.state_of("v2").is_some() { "v2" } else { "v1" };
        let state = (version, platform.state_of(version).unwrap_or("none"));
        if seen.last().map(|row: &(u64, (&str, &str))| row.1) != Some(state) {
            record.line(&format!("status of {}: {}", state.0, state.1));
            seen.push((now_ms() - ordered, state));
            match state {
                ("v2", "rolled_back") => platform.drain_later(1),
                ("v1", "rolled_back") => platform.drain_later(2),
                ("v1", "done") => platform.stop(1),
                _ => {}
            }
        }
        platform.wait();
    }
    traffic.end(&platform, &record);
    let path = folder();
    drop(nodes);
    tidy(&path);
    let deadline = ordered + DURATION_MS;
    let bad = platform.runs(1, ordered, deadline);
    let all = platform.all_runs(ordered, deadline);
    let bound = exposure_bound(all);
    let (read, file) = traffic.failed_since(ordered);
    record.both(&format!(
        "v2, which is bad, got {bad} of {all} requests between its order and the deadline; the bound is \
         {bound:.0}; states by ms after the first order: {seen:?}; answers other than 200 from the order on: \
         {read} to requests that may be repeated, {file} to calls that may run once"
    ));
    exit(i32::from(bad as f64 > bound));
}
