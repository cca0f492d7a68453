//! A route is split between two services, and a replica of each pauses for a moment while its streams
//! run.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::{ask, Ask};
use crate::fleet::{Fleet, HOST, KEY, OPERATOR_TOPIC, REPLICA_TOPIC};
use crate::replica::Replica;
use crate::{Case, Outcome};

const EVENTS: u32 = 24;
const GAP_MS: u64 = 300;
const STREAMS: usize = 48;
const EACH: usize = 4;
/// Shorter than the longest pause that still keeps an answer in time, 1,200 ms.
const PAUSE: Duration = Duration::from_millis(1_100);

pub async fn run(case: &Case) -> Option<Outcome> {
    let site = Fleet::start(&case.binary, 2).await;
    site.store.put(
        OPERATOR_TOPIC,
        "config",
        &json!({
            "version": 1,
            "routes": [{
                "name": "chat", "host": HOST, "path_prefix": "/chat/", "kind": "stream",
                "stream_resume": true, "timeout_ms": 20000, "target_latency_ms": 1500,
                "gap_aim_ms": 1200, "priority": 0, "max_attempts": 3,
                "traffic_split": [
                    { "service": "amber", "weight": 50 }, { "service": "blue", "weight": 50 },
                ],
            }],
            "services": [
                { "name": "amber", "max_connections": 370 },
                { "name": "blue", "max_connections": 370 },
            ],
            "tenants": [{ "name": "alpha", "api_keys": [KEY] }],
            "limits": {
                "max_body_bytes": 4194304, "max_header_bytes": 16384,
                "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
            },
        }),
    );
    let mut replicas = Vec::new();
    for service in ["amber", "blue"] {
        for number in 1..=EACH {
            let id = format!("i-{service}-{number}");
            let replica = Replica::start(&id, service, EVENTS, GAP_MS).await;
            site.store.put(REPLICA_TOPIC, &id, &replica.entry("ready"));
            replicas.push(replica);
        }
    }
    let (first, second) = (site.start_box(0), site.start_box(1));
    for subject in [&first, &second] {
        subject.wait(replicas.len(), 2).await?;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let began = Instant::now();
    let at = || began.elapsed().as_millis();
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let request = Ask {
            address: first.entry_address(),
            method: "POST",
            path: "/chat/x",
            id: format!("s{number}"),
            key: KEY,
            deadline_ms: 20_000,
            body: format!("prompt {number}").into_bytes(),
            stream: true,
            more: String::new(),
        };
        streams.push(tokio::spawn(async move { ask(&request).await }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    case.note(&format!("{} ms: {STREAMS} streams were sent to box-1", at()));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    if case.trouble {
        for replica in [&replicas[0], &replicas[EACH]] {
            replica.pause(PAUSE);
            case.note(&format!("{} ms: {} pauses for {PAUSE:?}", at(), replica.id));
        }
    }
    let (mut mixed, mut cut) = (0, 0);
    for (number, stream) in streams.into_iter().enumerate() {
        let reply = stream.await.ok()?;
        let services: BTreeSet<&str> = reply
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| data.split(' ').next())
            .collect();
        mixed += usize::from(services.len() > 1);
        cut += usize::from(!reply.whole);
        case.note(&format!(
            "s{number}: {}, whole {}, {} events, written by {services:?}",
            reply.status,
            reply.whole,
            reply.events().len()
        ));
    }
    for replica in &replicas {
        case.note(&format!("{} ran (id, after event) {:?}", replica.id, replica.runs()));
    }
    for event in first.events("request_forwarded") {
        case.note(&format!("log of box-1: request_forwarded {}", event["id"]));
    }
    case.note(&format!(
        "{mixed} of {STREAMS} answers were written by both services, {cut} were cut"
    ));
    case.note(if mixed > 0 { "MIXED: broken" } else { "MIXED: held" });
    Some(if mixed > 0 { Outcome::Broken } else { Outcome::Held })
}
