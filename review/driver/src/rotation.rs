//! A tenant's key is replaced while its streams run, and a replica pauses for a moment.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::{ask, Ask};
use crate::fleet::{Fleet, Node, HOST, KEY, OPERATOR_TOPIC, REPLICA_TOPIC};
use crate::replica::Replica;
use crate::{Case, Outcome};

const SERVICE: &str = "pool";
const EVENTS: u32 = 24;
const GAP_MS: u64 = 300;
const STREAMS: usize = 16;
const REPLICAS: usize = 4;
/// The longest pause that still keeps an answer in time.
const GAP_AIM_MS: u64 = 1_200;
const PAUSE: Duration = Duration::from_millis(1_100);
const NEW_KEY: &str = "new-key";

fn plan(site: &Fleet, version: u64, keys: &[&str]) {
    site.store.put(
        OPERATOR_TOPIC,
        "config",
        &json!({
            "version": version,
            "routes": [{
                "name": "chat", "host": HOST, "path_prefix": "/chat/", "kind": "stream",
                "stream_resume": true, "timeout_ms": 20000, "target_latency_ms": 1500,
                "gap_aim_ms": GAP_AIM_MS, "priority": 0, "service": SERVICE, "max_attempts": 3,
            }],
            "services": [{ "name": SERVICE, "max_connections": 370 }],
            "tenants": [{ "name": "alpha", "api_keys": keys }],
            "limits": {
                "max_body_bytes": 4194304, "max_header_bytes": 16384,
                "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
            },
        }),
    );
}

/// Lets streams run on all replicas through the first box, and one replica pause meanwhile. Returns
/// how many streams were cut.
async fn play(
    case: &Case,
    site: &Fleet,
    first: &Node,
    pausing: &Replica,
    phase: &str,
    new_plan: Option<&[&str]>,
) -> Option<usize> {
    let began = Instant::now();
    let at = || began.elapsed().as_millis();
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let request = Ask {
            address: first.entry_address(),
            method: "POST",
            path: "/chat/x",
            id: format!("{phase}{number}"),
            key: KEY,
            deadline_ms: 20_000,
            body: format!("prompt {phase}{number}").into_bytes(),
            stream: true,
            more: String::new(),
        };
        streams.push(tokio::spawn(async move { ask(&request).await }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    case.note(&format!("{phase}: {} ms: {STREAMS} streams were sent to box-1", at()));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    if let Some(keys) = new_plan {
        plan(site, 2, keys);
        case.note(&format!(
            "{phase}: {} ms: config 2 is confirmed, the tenant's key is {keys:?}",
            at()
        ));
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    pausing.pause(PAUSE);
    case.note(&format!("{phase}: {} ms: {} pauses for {PAUSE:?}", at(), pausing.id));
    let wanted: Vec<u32> = (1..=EVENTS).collect();
    let mut cut = 0;
    for (number, stream) in streams.into_iter().enumerate() {
        let reply = stream.await.ok()?;
        let events = reply.events();
        let whole = reply.whole && reply.status == 200 && events == wanted;
        cut += usize::from(!whole);
        let last = events.last().copied().unwrap_or(0);
        let what = if whole { "whole" } else { "cut" };
        case.note(&format!("{phase}{number}: {}, {what}, last event {last}", reply.status));
    }
    case.note(&format!("{phase}: {cut} of {STREAMS} streams were cut"));
    Some(cut)
}

pub async fn run(case: &Case) -> Option<Outcome> {
    let site = Fleet::start(&case.binary, 2).await;
    plan(&site, 1, &[KEY]);
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        let replica = Replica::start(&format!("i-{number}"), SERVICE, EVENTS, GAP_MS).await;
        site.store.put(REPLICA_TOPIC, &replica.id, &replica.entry("ready"));
        replicas.push(replica);
    }
    let (first, second) = (site.start_box(0), site.start_box(1));
    for subject in [&first, &second] {
        subject.wait(replicas.len(), 2).await?;
    }
    let boxes = [&first, &second];
    tokio::time::sleep(Duration::from_secs(4)).await;
    // At other times: the same without a config. Then beside a config.
    let before = play(case, &site, &first, &replicas[0], "other", None).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let new_plan: Option<&[&str]> = if case.trouble { Some(&[NEW_KEY]) } else { None };
    let beside = play(case, &site, &first, &replicas[1], "beside", new_plan).await?;
    for replica in &replicas {
        case.note(&format!("{} ran (id, after event) {:?}", replica.id, replica.runs()));
    }
    for (name, subject) in ["box-1", "box-2"].iter().zip(boxes) {
        for event in
            ["attempt_failed", "request_forwarded", "request_given_up", "answer_broken_off"]
        {
            for fields in subject.events(event) {
                let (id, reason, why) = (&fields["id"], &fields["reason"], &fields["why"]);
                case.note(&format!("log of {name}: {event} {id} {reason} {why}"));
            }
        }
    }
    // Beside a config it counts if requests are cut over three times as often as at other times.
    let broken = beside > 3 * before;
    case.note(&format!("cut at other times {before}, beside the config {beside}"));
    case.note(if broken { "LOST: broken" } else { "LOST: held" });
    Some(if broken { Outcome::Broken } else { Outcome::Held })
}
