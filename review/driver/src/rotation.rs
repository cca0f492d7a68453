//! A tenant's key is replaced while its streams run and replicas leave as planned.

use std::time::{Duration, Instant};

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::ReplicaStandin;
use ravenspoke_standins::platform::site_box::SiteBox;
use ravenspoke_standins::platform::site::{
    RunningSite, OPERATOR_TOPIC, REPLICA_TOPIC, SITE_KEY, SITE_SERVICE,
};
use serde_json::json;

use crate::client::{ask, Ask};
use crate::{Case, Outcome};

const EVENTS: u32 = 24;
const GAP_MS: u64 = 300;
const STREAMS: usize = 24;
const REPLICAS: usize = 8;
/// `drain_ms` of the site, and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_300);
const NEW_KEY: &str = "new-key";

fn plan(site: &RunningSite, version: u64, keys: &[&str]) {
    site.store.put(
        OPERATOR_TOPIC,
        "config",
        &json!({
            "version": version,
            "routes": [{
                "name": "chat", "host": "api.example", "path_prefix": "/chat/", "kind": "stream",
                "stream_resume": true, "timeout_ms": 20000, "target_latency_ms": 1500,
                "gap_aim_ms": 1200, "priority": 0, "service": SITE_SERVICE, "max_attempts": 3,
            }],
            "services": [{ "name": SITE_SERVICE, "max_connections": 370 }],
            "tenants": [{ "name": "alpha", "api_keys": keys }],
            "limits": {
                "max_body_bytes": 4194304, "max_header_bytes": 16384,
                "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
            },
        }),
    );
}

/// Ends a replica: its channels close, and nothing listens at its address.
async fn end(replica: &ReplicaStandin) {
    replica.end_on(b"end");
    let ask_end = Ask {
        address: replica.address.to_string(),
        method: "POST",
        path: "/end",
        id: format!("end-{}", replica.id),
        key: "none",
        deadline_ms: 1000,
        body: b"end".to_vec(),
        stream: false,
        more: String::new(),
    };
    ask(&ask_end).await;
}

/// Lets streams run on all replicas through the first box, and two replicas leave meanwhile, as
/// planned. Returns how many streams were cut.
async fn play(
    case: &Case,
    site: &RunningSite,
    boxes: [&SiteBox; 2],
    leaving: &[ReplicaStandin],
    phase: &str,
    new_plan: Option<&[&str]>,
) -> Option<usize> {
    let began = Instant::now();
    let at = || began.elapsed().as_millis();
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let request = Ask {
            address: boxes[0].entry_address(),
            method: "POST",
            path: "/chat/x",
            id: format!("{phase}{number}"),
            key: SITE_KEY,
            deadline_ms: 20_000,
            body: format!("prompt {phase}{number}").into_bytes(),
            stream: true,
            more: String::new(),
        };
        streams.push(tokio::spawn(async move { ask(&request).await }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    case.note(&format!("{phase}: {} ms: {STREAMS} streams were sent to box-1", at()));
    tokio::time::sleep(Duration::from_millis(500)).await;
    for replica in leaving {
        let entry = replica.entry(SITE_SERVICE, "v1", "draining");
        site.store.put(REPLICA_TOPIC, &replica.id, &entry);
        case.note(&format!("{phase}: {} ms: {} says draining", at(), replica.id));
    }
    let ends_at = Instant::now() + SERVES_ON;
    tokio::time::sleep(Duration::from_millis(300)).await;
    if let Some(keys) = new_plan {
        plan(site, 2, keys);
        case.note(&format!("{phase}: {} ms: config 2 is confirmed, the tenant's key is {keys:?}", at()));
    }
    tokio::time::sleep_until(ends_at.into()).await;
    tokio::join!(end(&leaving[0]), end(&leaving[1]));
    for replica in leaving {
        site.store.drop_key(REPLICA_TOPIC, &replica.id);
        case.note(&format!("{phase}: {} ms: {} has ended", at(), replica.id));
    }
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
    let mut site = RunningSite::start(&case.binary).await;
    site.memory_mb = Some(110);
    plan(&site, 1, &[SITE_KEY]);
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        replicas.push(site.start_replica(&format!("i-{number}"), EVENTS, GAP_MS).await);
    }
    let first = site.start_ready("box-1").await;
    let second = site.start_ready("box-2").await;
    let boxes = [&first, &second];
    for subject in boxes {
        wait_for("the box knows the replicas and the other box", || async {
            let state = subject.state().await?;
            let known = state["backends"].as_array()?.len() == REPLICAS;
            let listed = subject.resolve().await?.len() == 2;
            (known && listed).then_some(())
        })
        .await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    // At other times: the same without a config. Then beside a config.
    let before = play(case, &site, boxes, &replicas[..2], "other", None).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let new_plan: Option<&[&str]> = if case.trouble { Some(&[NEW_KEY]) } else { None };
    let beside = play(case, &site, boxes, &replicas[2..4], "beside", new_plan).await?;
    for replica in &replicas {
        let runs = replica.runs();
        let ids: Vec<&str> = runs.iter().map(|run| run.id.as_str()).collect();
        case.note(&format!("{} ran {}", replica.id, ids.join(" ")));
    }
    for (name, subject) in ["box-1", "box-2"].iter().zip(boxes) {
        for event in ["request_forwarded", "request_given_up", "answer_broken_off"] {
            for fields in subject.events(event) {
                let (id, why) = (&fields["id"], &fields["reason"]);
                case.note(&format!("log of {name}: {event} {id} {why}"));
            }
        }
    }
    // Beside a config it counts if requests are cut over three times as often as at other times.
    let broken = beside > 3 * before;
    case.note(&format!("cut at other times {before}, beside the config {beside}"));
    case.note(if broken { "LOST: broken" } else { "LOST: held" });
    Some(if broken { Outcome::Broken } else { Outcome::Held })
}
