//! Tests of process failures: boxes as processes that are killed, suspended and replaced.
//!
//! The counters of the stand-ins show what ran. Tests wait for conditions with a time limit. Each
//! test prints its counts; docs/PROMISES.md has the table.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use ravenspoke_standins::engine::EngineFaults;
use ravenspoke_standins::fleet::{
    key_hash, once_key, wait_for, BinaryPaths, FleetPlan, RunningFleet,
};
use serde_json::{json, Value};

const KEY: &str = "caller-key";
const V1: &str = "small-1";

fn binaries() -> BinaryPaths {
    let entry_box = PathBuf::from(env!("CARGO_BIN_EXE_ravenspoked"));
    let command = entry_box.with_file_name("ravenspoke");
    assert!(command.exists(), "build the command first: cargo build --workspace --bins");
    BinaryPaths { entry_box, command }
}

fn bundle(default: &str, v1: &str) -> String {
    format!(
        "[models.small]\ncost_per_1k = 1.0\nversion = \"{default}\"\n\
         [versions.small-1]\nmodel = \"small\"\nstate = \"{v1}\"\n\
         [versions.small-2]\nmodel = \"small\"\nstate = \"serving\"\n\
         [accounts.a]\nkey_hashes = [\"{}\"]\nallow = [\"small\"]\nservices = [\"broker\"]\n\
         [services.broker]\nnot_repeatable = [\"POST /releases\"]\n",
        key_hash(KEY)
    )
}

/// Three boxes and two engines with a bundle in force, and every box serving.
async fn fleet() -> RunningFleet {
    let engine = EngineFaults {
        versions: [V1.to_owned(), "small-2".to_owned()].into(),
        ..EngineFaults::default()
    };
    let plan = FleetPlan {
        boxes: (1..=3).map(|n| (format!("box-{n}"), format!("hall-{n}"))).collect(),
        engines: vec![engine.clone(), engine],
        limits: "entry_keep_ms = 500\nclaim_ms = 1500\n".to_owned(),
    };
    let fleet = RunningFleet::start(plan, binaries()).await;
    fleet.publish("bundle-1.toml", &bundle(V1, "serving")).await;
    for index in 0..fleet.boxes.len() {
        wait_serving(&fleet, index).await;
    }
    fleet
}

async fn wait_serving(fleet: &RunningFleet, index: usize) {
    wait_for("the box serves", || async {
        let sent = fleet.chat(index, KEY, "small", false).send().await.ok()?;
        sent.status().is_success().then_some(())
    })
    .await;
}

async fn answer(request: reqwest::RequestBuilder) -> Option<(u16, Value)> {
    let sent = request.send().await.ok()?;
    let status = sent.status().as_u16();
    Some((status, sent.json().await.ok()?))
}

async fn ran_on(fleet: &RunningFleet, version: &str) -> u64 {
    let mut total = 0;
    for engine in &fleet.engines {
        total += fleet.counts(engine).await[version].as_u64().unwrap_or(0);
    }
    total
}

async fn service_counts(fleet: &RunningFleet) -> BTreeMap<String, u64> {
    serde_json::from_value(fleet.counts(&fleet.service).await).expect("counts by key")
}

async fn billed_requests(fleet: &RunningFleet) -> Vec<String> {
    let shown = fleet.command_json(&["bills"]).await;
    let bills = shown["bills"].as_array().cloned().unwrap_or_default();
    bills.iter().filter_map(|bill| bill["request"].as_str().map(str::to_owned)).collect()
}

/// Waits until all of `answered` are billed; returns the number of bills whose request is billed
/// more than once.
async fn billed_twice(fleet: &RunningFleet, answered: &[String]) -> usize {
    let billed = wait_for("every bill is in the log", || async {
        let billed = billed_requests(fleet).await;
        answered.iter().all(|id| billed.contains(id)).then_some(billed)
    })
    .await;
    let count = |id: &String| billed.iter().filter(|row| *row == id).count();
    billed.iter().filter(|id| count(id) > 1).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn box_killed_during_non_repeatable_calls_runs_none_twice() {
    let mut fleet = fleet().await;
    fleet.set_faults(&fleet.service, json!({ "slow_ms": 600 })).await;
    let keys: Vec<String> = (0..12).map(|_| once_key()).collect();

    let first: Vec<_> =
        keys.iter().map(|key| tokio::spawn(fleet.release(0, KEY, key).send())).collect();
    wait_for("calls run", || async { (service_counts(&fleet).await.len() >= 6).then_some(()) })
        .await;
    fleet.boxes[0].kill();
    fleet.restart(0);
    let mut said_not_run = Vec::new();
    let mut ended = BTreeMap::new();
    for key in &keys {
        let (status, body) = answer(fleet.release(1, KEY, key)).await.expect("box 2 answers");
        if body["error"]["run"] == "not_run" {
            said_not_run.push(key.clone());
        }
        *ended.entry(status).or_insert(0) += 1;
    }
    for task in first {
        let _ = task.await;
    }

    let counts = service_counts(&fleet).await;
    println!("counted sigkill: sent {}, resent {}, statuses {ended:?}, ran {counts:?}", 12, 12);
    assert!(counts.values().all(|times| *times == 1), "{counts:?}");
    assert!(said_not_run.iter().all(|key| !counts.contains_key(key)), "a refused call ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn box_suspended_beyond_its_lease_sends_nothing_to_a_withdrawn_version() {
    let fleet = fleet().await;

    fleet.boxes[0].signal("STOP");
    let path = fleet.sign("bundle-2.toml", &bundle("small-2", "withdrawn")).await;
    fleet.command_json(&["bundle", "publish", &path]).await;
    for index in [1, 2] {
        wait_for("the others have it", || async {
            (fleet.state(index).await?["sequence"] == 2).then_some(())
        })
        .await;
    }
    let before = ran_on(&fleet, V1).await;
    // Requests wait in the suspended box's sockets for longer than the lease.
    let waiting: Vec<_> =
        (0..20).map(|_| tokio::spawn(fleet.chat(0, KEY, "small", false).send())).collect();
    let paused = std::time::Instant::now();
    wait_for("the lease has expired", || async {
        (paused.elapsed() > Duration::from_millis(3_500)).then_some(())
    })
    .await;
    fleet.boxes[0].signal("CONT");
    let mut statuses = BTreeMap::new();
    for task in waiting {
        let status = task.await.expect("the task ends").map_or(0, |sent| sent.status().as_u16());
        *statuses.entry(status).or_insert(0) += 1;
    }
    wait_serving(&fleet, 0).await;

    println!("counted sigstop: sent 20, statuses {statuses:?}, on the withdrawn version 0");
    assert_eq!(ran_on(&fleet, V1).await, before, "the withdrawn version got new work");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_streams_are_resumed_or_end_with_a_typed_error() {
    let fleet = fleet().await;
    let whole = |text: &str| text.ends_with("data: [DONE]\n\n");
    let content = |text: &str| -> String {
        text.lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|v| v["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
            .collect()
    };
    let reference = fleet.chat(1, KEY, "small", true).send().await.expect("an answer");
    let reference = content(&reference.text().await.expect("a whole stream"));

    let faults = |cut: u32, no_marker: u32| json!({ "versions": [V1, "small-2"], "cut": cut, "no_marker": no_marker });
    let (mut resumed, mut typed) = (0, 0);
    for (cut, no_marker) in [(1, 0), (0, 1), (1, 0), (0, 1)] {
        for engine in &fleet.engines {
            fleet.set_faults(engine, faults(cut, no_marker)).await;
        }
        let sent = fleet.chat(0, KEY, "small", true).send().await.expect("an answer");
        match sent.text().await {
            Ok(text) if whole(&text) => {
                assert_eq!(content(&text), reference, "a resumed stream repeats and skips nothing");
                resumed += 1;
            }
            // The connection was closed after the typed error, so the client knows that the stream
            // is incomplete.
            Ok(text) => assert!(text.contains("stream_broken") && !whole(&text), "{text}"),
            Err(_) => typed += 1,
        }
    }
    println!("counted cuts: sent 4, resumed whole {resumed}, ended typed {typed}");
    assert!(resumed >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_ends_with_a_finish_reason_and_requested_usage() {
    let fleet = fleet().await;
    let message = json!([{ "role": "user", "content": "text" }]);
    for asked in [false, true] {
        let body = json!({
            "model": "small", "stream": true, "max_tokens": 3, "messages": message,
            "stream_options": { "include_usage": asked },
        });
        let answer = fleet.chat(0, KEY, "small", true).json(&body).send().await.expect("an answer");
        let text = answer.text().await.expect("a whole stream");
        let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let events: Vec<Value> = data.filter_map(|data| serde_json::from_str(data).ok()).collect();
        let reasons = events.iter().filter(|event| event["choices"][0]["finish_reason"] == "stop");
        assert_eq!(reasons.count(), 1, "{text}");
        let usage: Vec<&Value> = events.iter().filter(|event| event["usage"].is_object()).collect();
        assert_eq!(usage.len(), usize::from(asked), "{text}");
        assert!(usage.iter().all(|event| event["usage"]["completion_tokens"] == 3), "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_refuses_releases_serves_chat_and_loses_no_bill() {
    let fleet = fleet().await;

    fleet.set_faults(&fleet.log, json!({ "outage": true })).await;
    let (mut refused, mut answered) = (0, Vec::new());
    for round in 0..30 {
        let key = once_key();
        let (_, body) = answer(fleet.release(round % 3, KEY, &key)).await.expect("an answer");
        assert_eq!(body["error"]["run"], "not_run", "{body}");
        refused += 1;
        let sent = fleet.chat(round % 3, KEY, "small", false).send().await.expect("an answer");
        assert_eq!(sent.status(), 200, "an outage of the platform stops no chat");
        let id = sent.headers()["x-ravenspoke-request"].to_str().expect("text").to_owned();
        answered.push(id);
    }
    fleet.set_faults(&fleet.log, json!({ "lose_acks": 2 })).await;
    let twice = billed_twice(&fleet, &answered).await;

    println!(
        "counted outage: refused {refused}, chats {}, lost 0, billed twice {twice}",
        answered.len()
    );
    assert_eq!(twice, 0);
    let counts = service_counts(&fleet).await;
    assert!(counts.is_empty(), "what was refused as not run never ran: {counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bills_survive_a_killed_box_and_lost_acknowledgements() {
    let mut fleet = fleet().await;

    fleet.set_faults(&fleet.log, json!({ "outage": true })).await;
    let mut answered = Vec::new();
    for _ in 0..15 {
        let sent = fleet.chat(0, KEY, "small", false).send().await.expect("an answer");
        assert_eq!(sent.status(), 200);
        let id = sent.headers()["x-ravenspoke-request"].to_str().expect("text").to_owned();
        answered.push(id);
    }
    fleet.boxes[0].kill();
    fleet.restart(0);
    fleet.set_faults(&fleet.log, json!({ "lose_acks": 3 })).await;
    let twice = billed_twice(&fleet, &answered).await;

    println!(
        "counted killed with bills: answered {}, lost 0, billed twice {twice}",
        answered.len()
    );
    assert_eq!(twice, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_three_concurrent_publishes_wins() {
    let fleet = fleet().await;
    let bundles = [
        bundle("small-2", "serving"),
        bundle("small-2", "draining"),
        bundle("small-2", "withdrawn"),
    ];
    let mut paths = Vec::new();
    for (index, text) in bundles.iter().enumerate() {
        paths.push(fleet.sign(&format!("race-{index}.toml"), text).await);
    }

    let first = ["bundle", "publish", &paths[0], "--json"];
    let second = ["bundle", "publish", &paths[1], "--json"];
    let third = ["bundle", "publish", &paths[2], "--json"];
    let ended = tokio::join!(fleet.command(&first), fleet.command(&second), fleet.command(&third));
    fleet.wait_sequence(2).await;

    let ended = [ended.0, ended.1, ended.2];
    let won = ended.iter().filter(|output| output.status.success()).count();
    let informed = ended
        .iter()
        .filter(|output| output.status.code() == Some(1))
        .filter(|output| String::from_utf8_lossy(&output.stderr).contains("came first"))
        .count();
    println!("counted race: operators 3, won {won}, told who won {informed}");
    assert_eq!((won, informed), (1, 2));
    let mut digests = Vec::new();
    for index in 0..3 {
        digests.push(fleet.state(index).await.expect("a dump")["digest"].clone());
    }
    assert!(digests.windows(2).all(|pair| pair[0] == pair[1]), "{digests:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_cuts_no_stream_and_loses_no_bill() {
    let mut fleet = fleet().await;
    let mut answered = Vec::new();

    for index in 0..3 {
        let name = fleet.boxes[index].row.name.clone();
        let other = (index + 1) % 3;
        // A long stream runs on the box when its planned stop begins.
        let body = json!({
            "model": "small", "stream": true, "max_tokens": 400,
            "messages": [{ "role": "user", "content": "read the dossier" }],
        });
        let url = format!("{}/v1/chat/completions", fleet.boxes[index].entry_url());
        let long = fleet.http.post(url).bearer_auth(KEY).json(&body).send().await.expect("a head");
        fleet.command_json(&["stop", &name]).await;
        let entry = format!("{}/v1/entry", fleet.boxes[other].entry_url());
        let leaving = fleet.boxes[index].row.entry.clone();
        wait_for("the entry list drops it", || async {
            let list: Value = fleet.http.get(&entry).send().await.ok()?.json().await.ok()?;
            let rows = list["addresses"].as_array()?;
            (!rows.iter().any(|row| row["address"] == leaving.as_str())).then_some(())
        })
        .await;
        for _ in 0..20 {
            let sent = fleet.chat(other, KEY, "small", false).send().await.expect("an answer");
            assert_eq!(sent.status(), 200);
            let id = sent.headers()["x-ravenspoke-request"].to_str().expect("text").to_owned();
            answered.push(id);
        }
        let id = long.headers()["x-ravenspoke-request"].to_str().expect("text").to_owned();
        let text = long.text().await.expect("the stream is not cut");
        assert!(text.ends_with("data: [DONE]\n\n"));
        answered.push(id);
        let boxes = std::sync::Mutex::new(&mut fleet.boxes);
        wait_for("the box exits", || async {
            let mut boxes = boxes.lock().expect("no panic while locked");
            boxes[index].exit_code().filter(|code| *code == 0)
        })
        .await;
        fleet.restart(index);
        fleet.wait_box(index).await;
        wait_serving(&fleet, index).await;
    }
    let twice = billed_twice(&fleet, &answered).await;

    println!("counted replaced: requests {}, cut 0, lost 0, billed twice {twice}", answered.len());
    assert_eq!(twice, 0);
    for index in 0..3 {
        assert_eq!(fleet.state(index).await.expect("a dump")["sequence"], 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_input_gets_a_4xx_and_dispatches_nothing() {
    let fleet = fleet().await;
    let url = format!("{}/v1/chat/completions", fleet.boxes[0].entry_url());
    let post = |body: Vec<u8>| fleet.http.post(&url).bearer_auth(KEY).body(body);
    let before = fleet.state(0).await.expect("a dump")["counts"]["dispatched"].clone();

    let bodies: [&[u8]; 6] = [
        b"",
        b"{",
        b"\xff\xfe\x00",
        b"[]",
        b"{\"model\":7,\"messages\":[]}",
        b"{\"model\":\"small\",\"messages\":[]}",
    ];
    for body in bodies {
        let sent = post(body.to_vec()).send().await.expect("an answer");
        assert_eq!(sent.status(), 400, "{body:?}");
    }
    let long = fleet.chat(0, KEY, "small", false).header("x-ravenspoke-session", "x".repeat(3_000));
    assert_eq!(long.send().await.expect("an answer").status(), 431);
    let forged =
        fleet.chat(0, KEY, "small", false).header("x-ravenspoke-session", "rs1.k1.e30.AAAA");
    assert_eq!(forged.send().await.expect("an answer").status(), 400);
    let key = fleet.chat(0, "wrong", "small", false);
    assert_eq!(key.send().await.expect("an answer").status(), 401);
    let operator = format!("http://{}/state", fleet.boxes[0].row.operator);
    assert_eq!(fleet.http.get(operator).send().await.expect("an answer").status(), 401);

    let after = fleet.state(0).await.expect("a dump")["counts"]["dispatched"].clone();
    assert_eq!(before, after);
    wait_serving(&fleet, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn box_without_one_of_its_listeners_exits_and_names_the_address() {
    // With its operator port in use, a box kept serving callers without its operator listener.
    let mut fleet = fleet().await;
    let address = fleet.boxes[0].row.operator.clone();
    fleet.boxes[0].kill();
    let taken = wait_for("the port is free", || async {
        tokio::net::TcpListener::bind(&address).await.ok()
    })
    .await;

    fleet.restart(0);
    let boxes = std::sync::Mutex::new(&mut fleet.boxes);
    let code = wait_for("the box exits", || async {
        boxes.lock().expect("no panic while locked")[0].exit_code()
    })
    .await;

    drop(taken);
    assert_eq!(code, 1);
    assert!(fleet.box_log(0).contains("operator"), "{}", fleet.box_log(0));
}
