//! Case 6: two roll-outs of good versions, v2 and then v3, are done; then the operator orders the
//! service back to v2, whose answers now fail in part. Without the trouble the last order names a new
//! version, v4, whose answers fail in the same way.

#[path = "../kit-2/kit.rs"]
mod kit;
#[path = "../kit-2/rollout.rs"]
mod rollout;

use std::process::exit;

use kit::*;
use rollout::*;

const BOXES: u8 = 7;

/// Time between the end of a roll-out and the next order.
const REST_MS: u64 = 4_000;

/// Rolls out a good version. Returns whether it was done.
fn roll_out(platform: &mut Platform, version: &str, record: &Record) -> bool {
    let old = platform.groups.len() - 1;
    let ordered = platform.order(version, false);
    while now_ms() < ordered + 2 * DURATION_MS {
        if platform.state_of(version) == Some("done") {
            record.line(&format!("{version} is done after {} ms", now_ms() - ordered));
            platform.stop(old);
            sleep_ms(REST_MS);
            return true;
        }
        sleep_ms(PLATFORM_POLL_MS);
    }
    false
}

/// Plays the order of a bad version as the third one. Returns when it was given, and the states that
/// the platform saw.
fn roll_out_bad(
    platform: &mut Platform,
    version: &str,
    record: &Record,
) -> (u64, Vec<(u64, &'static str)>) {
    let old = platform.groups.len() - 1;
    let ordered = platform.order(version, true);
    let mut seen = Vec::new();
    while now_ms() < ordered + DURATION_MS {
        let state = platform.state_of(version).unwrap_or("none");
        if seen.last().map(|row: &(u64, &str)| row.1) != Some(state) {
            record.line(&format!("status of {version}: {state}"));
            seen.push((now_ms() - ordered, state));
            match state {
                "done" => platform.stop(old),
                "rolled_back" => platform.drain_later(old + 1),
                _ => {}
            }
        }
        platform.wait();
    }
    (ordered, seen)
}

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
    let able = roll_out(&mut platform, "v2", &record) && roll_out(&mut platform, "v3", &record);
    let version = if trouble() { "v2" } else { "v4" };
    let (ordered, seen) =
        if able { roll_out_bad(&mut platform, version, &record) } else { (now_ms(), Vec::new()) };
    traffic.end(&platform, &record);
    let path = folder();
    drop(nodes);
    tidy(&path);
    if !able {
        record.both("a roll-out of a good version was not done; the case can't run");
        exit(2);
    }
    let deadline = ordered + DURATION_MS;
    let last = platform.groups.len() - 1;
    let bad = platform.runs(last, ordered, deadline);
    let all = platform.all_runs(ordered, deadline);
    let moved = platform.moved_to(last, ordered, ordered + DURATION_MS / 2);
    let bound = exposure_bound(all);
    let (read, file) = traffic.failed_since(ordered);
    record.both(&format!(
        "{version}, which is bad, got {bad} of {all} requests between its order and the deadline; the \
         bound is {bound:.0}; states by ms after the order: {seen:?}; in the first half {moved} requests \
         were moved to it within their sessions (PINNED: more than 3); answers other than 200 from the order \
         on: {read} to requests that may be repeated, {file} to calls that may run once"
    ));
    exit(i32::from(bad as f64 > bound));
}
