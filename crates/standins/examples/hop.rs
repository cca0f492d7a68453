//! Measures the latency that a box adds to the direct path in the same run, and a box's CPU time.
//!
//! The arguments are the paths of the two binaries. Requests alternate between the engine itself
//! and a box at a steady rate, and each streams 8 tokens. `scripts/bench-hop` runs this.

use std::time::{Duration, Instant};

use ravenspoke_standins::engine::EngineFaults;
use ravenspoke_standins::fleet::{key_hash, wait_for, BinaryPaths, FleetPlan, RunningFleet};
use serde_json::json;

const KEY: &str = "hop-key";

fn bundle() -> String {
    format!(
        "[models.m]\ncost_per_1k = 1.0\nversion = \"m-1\"\n\
         [versions.m-1]\nmodel = \"m\"\nstate = \"serving\"\n\
         [accounts.a]\nkey_hashes = [\"{}\"]\nallow = [\"m\"]\n",
        key_hash(KEY)
    )
}

/// Sends a request. Returns the time to the first byte of the body and to its end, in microseconds,
/// or `None` if it fails.
async fn send_timed(request: reqwest::RequestBuilder) -> Option<(u64, u64)> {
    let started = Instant::now();
    let mut answer = request.send().await.ok()?.error_for_status().ok()?;
    let mut first = None;
    while let Ok(Some(_)) = answer.chunk().await {
        first.get_or_insert(started.elapsed());
    }
    Some((first?.as_micros() as u64, started.elapsed().as_micros() as u64))
}

fn quantile(values: &mut [u64], fraction: f64) -> f64 {
    values.sort_unstable();
    let index = ((values.len() as f64 - 1.0) * fraction) as usize;
    values.get(index).map_or(0.0, |value| *value as f64 / 1_000.0)
}

/// Returns the CPU time of a process so far, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    /// Clock ticks a second on Linux.
    const TICKS: f64 = 100.0;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(12) + ticks(13)) / TICKS
}

fn resident_kib(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS"));
    line.and_then(|line| line.split_whitespace().nth(1)).and_then(|n| n.parse().ok()).unwrap_or(0)
}

#[tokio::main]
async fn main() {
    let args: Vec<String> = std::env::args().collect();
    let binaries =
        BinaryPaths { entry_box: args[1].clone().into(), command: args[2].clone().into() };
    let engine = EngineFaults {
        versions: ["m-1".to_owned()].into(),
        prefill_ms: 0,
        token_ms: 0,
        ..EngineFaults::default()
    };
    let zone = |index: usize| (format!("box-{index}"), format!("hall-{index}"));
    let plan = FleetPlan {
        boxes: (1..=3).map(zone).collect(),
        engines: vec![engine],
        limits: "rate_share = 0\n".to_owned(),
    };
    let fleet = RunningFleet::start(plan, binaries).await;
    fleet.publish("bundle.toml", &bundle()).await;
    wait_for("the box serves", || async { send_timed(fleet.chat(0, KEY, "m", true)).await }).await;
    let pid = fleet.boxes[0].pid();
    let before = cpu_seconds(pid);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle = (cpu_seconds(pid) - before) / 5.0 * 100.0;
    println!("idle box: {idle:.2}% of a core, {} KiB resident", resident_kib(pid));
    for (rate, seconds) in [(1u64, 20u64), (100, 6), (500, 6)] {
        measure(&fleet, rate, seconds).await;
    }
    println!("after: {} KiB resident", resident_kib(pid));
}

async fn measure(fleet: &RunningFleet, rate: u64, seconds: u64) {
    let body = json!({
        "model": "m-1", "stream": true, "max_tokens": 8,
        "messages": [{ "role": "user", "content": "why did my seat vanish?" }],
    });
    let engine = format!("{}/v1/chat/completions", fleet.engines[0].url());
    let pid = fleet.boxes[0].pid();
    let (started, cpu) = (Instant::now(), cpu_seconds(pid));
    let mut tasks = Vec::new();
    let mut due = tokio::time::interval(Duration::from_secs_f64(0.5 / rate as f64));
    for number in 0..rate * seconds * 2 {
        due.tick().await;
        let direct = number % 2 == 0;
        let request = match direct {
            true => fleet.http.post(&engine).json(&body),
            false => fleet.chat(0, KEY, "m", true),
        };
        tasks.push((direct, tokio::spawn(send_timed(request))));
    }
    let (mut failed, mut times) = (0, [[vec![], vec![]], [vec![], vec![]]]);
    for (direct, task) in tasks {
        match task.await.ok().flatten() {
            Some((first, end)) => {
                times[usize::from(!direct)][0].push(first);
                times[usize::from(!direct)][1].push(end);
            }
            None => failed += 1,
        }
    }
    let busy = (cpu_seconds(pid) - cpu) / started.elapsed().as_secs_f64() * 100.0;
    println!("{rate} requests/s, {failed} failed, box {busy:.1}% of a core");
    for (index, name) in ["first byte", "end"].into_iter().enumerate() {
        let [mut direct, mut through_box] = [times[0][index].clone(), times[1][index].clone()];
        for fraction in [0.5, 0.99] {
            let (direct, through_box) =
                (quantile(&mut direct, fraction), quantile(&mut through_box, fraction));
            let p = fraction * 100.0;
            println!(
                "  {name} p{p:.0}: direct {direct:.3} ms, box {through_box:.3} ms, added {:.3} ms",
                through_box - direct
            );
        }
    }
}
