//! The quickstart: does what a caller and an operator do, and checks each step.
//!
//! `scripts/quickstart` builds everything and runs this. With `--keep` the fleet keeps running.

use ravenspoke_standins::engine::EngineFaults;
use ravenspoke_standins::fleet::{
    key_hash, once_key, wait_for, BinaryPaths, FleetPlan, RunningFleet,
};
use serde_json::{json, Value};

const DRAFTER: &str = "drafter-key";
const GUEST: &str = "guest-key";

fn bundle(default: &str, v1_state: &str, v2_state: &str) -> String {
    format!(
        r#"
[models.assist-small]
cost_per_1k = 1.0
version = "{default}"

[models.assist-large]
cost_per_1k = 10.0
version = "assist-large-1"

[versions.assist-small-1]
model = "assist-small"
state = "{v1_state}"

[versions.assist-small-2]
model = "assist-small"
state = "{v2_state}"

[versions.assist-large-1]
model = "assist-large"
state = "serving"

[cascades.assist]
rungs = ["assist-small", "assist-large"]
target = 0.9

[accounts.drafting]
key_hashes = ["{}"]
allow = ["assist"]
services = ["broker"]

[accounts.guests]
key_hashes = ["{}"]
allow = ["assist-small"]

# Every engine loads what its pool's models need; the boxes order it.
[pools.engines]
models = ["assist-small", "assist-large"]
checks_token = true
loads_at_once = 2

[services.broker]
not_repeatable = ["POST /releases"]
cost_per_call = 0.5
"#,
        key_hash(DRAFTER),
        key_hash(GUEST)
    )
}

fn plan() -> FleetPlan {
    // Engines start without versions. The box that holds the pool's lease orders them to load.
    let engine = EngineFaults { load_ms: 100, ..EngineFaults::default() };
    let zones = ["regina-hall", "saskatoon-hall", "calgary-hall"];
    FleetPlan {
        boxes: zones.iter().map(|zone| (zone.replace("-hall", "-1"), (*zone).to_owned())).collect(),
        engines: vec![engine; 4],
        limits: "entry_keep_ms = 500\nretention_ms = 86400000\n".to_owned(),
    }
}

fn step(words: &str) {
    println!("ok  {words}");
}

async fn read(answer: reqwest::Response) -> (u16, String, String, Value) {
    let header = |name| {
        let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (version, request) = (header("x-ravenspoke-version"), header("x-ravenspoke-request"));
    let status = answer.status().as_u16();
    (status, version, request, answer.json().await.unwrap_or(Value::Null))
}

#[tokio::main]
async fn main() {
    let args: Vec<String> = std::env::args().collect();
    let binaries =
        BinaryPaths { entry_box: args[1].clone().into(), command: args[2].clone().into() };
    let mut fleet = RunningFleet::start(plan(), binaries).await;
    step("three boxes, four engines and the platform's stand-ins are up");
    fleet.publish("bundle-1.toml", &bundle("assist-small-1", "serving", "serving")).await;
    step("bundle 1, signed by two operators, is in force on every box");
    wait_ready(&fleet).await;
    step("the engines loaded what the bundle says, two at once, by fenced orders");

    let (request, token) = check_session(&fleet).await;
    check_refusal(&fleet).await;
    check_at_most_once(&fleet).await;
    check_rollout(&fleet, &token).await;
    check_explanation(&fleet, &request).await;
    check_bills(&fleet).await;
    if args.iter().any(|arg| arg == "--keep") {
        keep_running(&fleet).await;
    }
    check_planned_stop(&mut fleet).await;
    println!("quickstart: every step showed what it should");
}

/// Waits until every box serves both models, which requires loaded engines.
async fn wait_ready(fleet: &RunningFleet) {
    for index in 0..fleet.boxes.len() {
        for model in ["assist-small", "assist"] {
            let key = if model == "assist" { DRAFTER } else { GUEST };
            wait_for("a box serves", || async {
                let answer = fleet.chat(index, key, model, false).send().await.ok()?;
                answer.status().is_success().then_some(())
            })
            .await;
        }
    }
}

async fn check_session(fleet: &RunningFleet) -> (String, String) {
    let answer = fleet.chat(0, DRAFTER, "assist", true).send().await.expect("box 1 answers");
    assert_eq!(answer.status(), 200);
    let header = |name: &str| answer.headers()[name].to_str().expect("plain text").to_owned();
    let (request, token) = (header("x-ravenspoke-request"), header("x-ravenspoke-session"));
    let version = header("x-ravenspoke-version");
    let text = answer.text().await.expect("a whole stream");
    assert!(text.ends_with("data: [DONE]\n\n"), "the stream ends with its marker");
    let again = fleet.chat(1, DRAFTER, "assist", false).header("x-ravenspoke-session", &token);
    let (status, kept, _, _) = read(again.send().await.expect("box 2 answers")).await;
    assert_eq!((status, &kept), (200, &version), "another box honours the session");
    step(&format!("a session through the cascade: {version}, kept on another box"));
    (request, token)
}

async fn check_refusal(fleet: &RunningFleet) {
    let answer = fleet.chat(2, GUEST, "assist", false).send().await.expect("box 3 answers");
    let (status, _, _, body) = read(answer).await;
    assert_eq!(status, 403);
    assert_eq!(body["error"]["run"], "not_run");
    step("a request that the bundle does not allow is refused, not run");
}

async fn check_at_most_once(fleet: &RunningFleet) {
    let key = once_key();
    let first = fleet.release(0, DRAFTER, &key).send().await.expect("box 1 answers");
    let (status, _, _, body) = read(first).await;
    assert_eq!(status, 200, "{body}");
    let second = wait_for("the outcome is known", || async {
        let answer = fleet.release(1, DRAFTER, &key).send().await.ok()?;
        let (status, _, _, body) = read(answer).await;
        (status == 200).then_some(body)
    })
    .await;
    assert_eq!(body, second, "the second caller gets the first answer");
    let counts = fleet.counts(&fleet.service).await;
    assert_eq!(counts[&key], 1, "the service ran it once");
    step("a call that may not be repeated, sent to two boxes, ran once");
}

async fn check_rollout(fleet: &RunningFleet, token: &str) {
    let traffic = async {
        let mut statuses = Vec::new();
        for round in 0..60 {
            let answer = fleet.chat(round % 3, GUEST, "assist-small", false).send().await;
            statuses.push(read(answer.expect("a box answers")).await);
        }
        statuses
    };
    let next = bundle("assist-small-2", "withdrawn", "serving");
    let change = fleet.publish("bundle-2.toml", &next);
    let (statuses, sequence) = tokio::join!(traffic, change);
    assert!(statuses.iter().all(|(status, ..)| *status == 200), "the roll cut a request");
    let before = run_count(fleet, "assist-small-1").await;
    let (status, version, ..) =
        read(fleet.chat(0, GUEST, "assist-small", false).send().await.expect("an answer")).await;
    assert_eq!((status, version.as_str()), (200, "assist-small-2"));
    let held = fleet.chat(0, DRAFTER, "assist", false).header("x-ravenspoke-session", token);
    let (status, _, _, body) = read(held.send().await.expect("an answer")).await;
    assert_eq!((status, &body["error"]["code"]), (410, &json!("version_withdrawn")));
    let after = run_count(fleet, "assist-small-1").await;
    assert_eq!(before, after, "the withdrawn version got no new work");
    step(&format!("bundle {sequence} rolled a version in and withdrew one under traffic"));
}

/// Returns the number of requests that the engines ran on a version.
async fn run_count(fleet: &RunningFleet, version: &str) -> u64 {
    let mut total = 0;
    for engine in &fleet.engines {
        total += fleet.counts(engine).await[version].as_u64().unwrap_or(0);
    }
    total
}

async fn check_explanation(fleet: &RunningFleet, request: &str) {
    let shown = fleet.command_json(&["explain", request]).await;
    let reasons = shown["reasons"].as_array().map_or(0, Vec::len);
    assert!(reasons > 0, "the decision has reasons");
    let words: Vec<&str> = shown["reasons"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|reason| reason["words"].as_str())
        .collect();
    step(&format!("explain: {}", words.join("; ")));
}

async fn check_bills(fleet: &RunningFleet) {
    let shown = wait_for("the bills are in the log", || async {
        let shown = fleet.command_json(&["bills"]).await;
        let count = shown["bills"].as_array().map_or(0, Vec::len);
        (count >= 60).then_some(shown)
    })
    .await;
    for total in shown["totals"].as_array().into_iter().flatten() {
        println!(
            "    bill {}: {} requests, {} units",
            total["account"], total["requests"], total["cost"]
        );
    }
    step("each request is billed once");
}

async fn keep_running(fleet: &RunningFleet) {
    for row in &fleet.boxes {
        println!("box {} pid {} entry {}", row.row.name, row.pid(), row.entry_url());
    }
    println!("operator http://{}", fleet.boxes[0].row.operator);
    println!("caller-key {DRAFTER}");
    println!("model assist");
    println!("log {}", fleet.log.url());
    let _ = tokio::signal::ctrl_c().await;
}

async fn check_planned_stop(fleet: &mut RunningFleet) {
    for index in 0..fleet.boxes.len() {
        let name = fleet.boxes[index].row.name.clone();
        fleet.command_json(&["stop", &name]).await;
    }
    let boxes = std::sync::Mutex::new(&mut fleet.boxes);
    wait_for("the boxes exit", || async {
        let mut boxes = boxes.lock().expect("no panic while locked");
        boxes.iter_mut().all(|row| row.exit_code() == Some(0)).then_some(())
    })
    .await;
    step("a planned stop ended every box with code 0");
}
