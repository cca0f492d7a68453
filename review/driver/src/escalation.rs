//! Requests that may run once only (a stream without `stream_resume`, a `non_idempotent` call), on
//! routes that leave the choice of the model to the system.

use std::time::Duration;

use serde_json::json;

use crate::client::{ask, Ask};
use crate::fleet::{Fleet, HOST, KEY, OPERATOR_TOPIC, REPLICA_TOPIC};
use crate::replica::Replica;
use crate::{Case, Outcome};

const SERVICE: &str = "pool";
const EVENTS: u32 = 6;
const GAP_MS: u64 = 50;
const REQUESTS: usize = 20;

pub async fn run(case: &Case) -> Option<Outcome> {
    let site = Fleet::start(&case.binary, 1).await;
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "stream_resume": false, "timeout_ms": 20000, "target_latency_ms": 1500,
            "gap_aim_ms": 1200, "priority": 0, "service": SERVICE, "max_attempts": 3,
            "sizes": ["small", "large"],
        })
    };
    site.store.put(
        OPERATOR_TOPIC,
        "config",
        &json!({
            "version": 1,
            "routes": [route("chat", "stream"), route("call", "non_idempotent")],
            "services": [{
                "name": SERVICE, "max_connections": 370,
                "engine": { "models": [
                    { "name": "small", "cost": 0.02 }, { "name": "large", "cost": 0.35 },
                ] },
            }],
            "tenants": [{ "name": "alpha", "api_keys": [KEY] }],
            "limits": {
                "max_body_bytes": 4194304, "max_header_bytes": 16384,
                "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
            },
        }),
    );
    let mut replicas = Vec::new();
    for number in 1..=4 {
        let replica = Replica::start(&format!("i-{number}"), SERVICE, EVENTS, GAP_MS).await;
        replica.set_confidence("small", if case.trouble { 20 } else { 90 });
        replica.set_confidence("large", 90);
        site.store.put(REPLICA_TOPIC, &replica.id, &replica.entry("ready"));
        replicas.push(replica);
    }
    let first = site.start_box(0);
    first.wait(replicas.len(), 1).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut twice = 0;
    for number in 0..REQUESTS {
        let request = Ask {
            address: first.entry_address(),
            method: "POST",
            path: if number % 2 == 0 { "/chat/x" } else { "/call/x" },
            id: format!("s{number}"),
            key: KEY,
            deadline_ms: 20_000,
            body: format!("prompt {number}").into_bytes(),
            stream: true,
            more: "X-Ravenspoke-Model: *\r\nX-Ravenspoke-Token-Usage: 400,60\r\n\
                   X-Ravenspoke-Prefix-Hash: 5c1e07a2:300,e4402b7d:100\r\n"
                .to_owned(),
        };
        let reply = ask(&request).await;
        let ran: Vec<&str> = replicas
            .iter()
            .flat_map(|replica| replica.runs().into_iter().map(|run| (run, replica.id.as_str())))
            .filter(|((id, _), _)| *id == request.id)
            .map(|(_, replica)| replica)
            .collect();
        twice += usize::from(ran.len() > 1);
        case.note(&format!(
            "s{number} {}: {}, whole {}, ran at {ran:?}",
            request.path, reply.status, reply.whole
        ));
    }
    case.note(&format!("{twice} of {REQUESTS} requests ran more than once"));
    case.note(if twice > 0 { "TWICE: broken" } else { "TWICE: held" });
    Some(if twice > 0 { Outcome::Broken } else { Outcome::Held })
}
