//! Clients send bodies as long as the config lets them, all at once.
//!
//! The platform's stand-in kills a process whose resident memory is over `memory_mb` and starts it
//! again after a short delay, as DEPLOY.md tells. Nothing else is done to the boxes.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use ravenspoke_standins::platform::replica::ReplicaStandin;
use ravenspoke_standins::platform::site::own_address;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::{Fleet, HOST, KEY, MEMORY_MB, OPERATOR_TOPIC, REPLICA_TOPIC};
use crate::{Case, Outcome};

const SERVICE: &str = "pool";

/// `body_bytes` under `config` in the site file, which is the config's `max_body_bytes`.
const BODY_LIMIT: usize = 4_194_304;
/// The longest body of the site file's requests (`req_bytes`, `max`).
const USUAL_BODY: usize = 72_000;
/// Clients of the site file's four zones: 28, 23, 32 and 24.
const CLIENTS: usize = 107;
/// Each body is sent in pieces over some 2.6 s: all bodies for a box together take 0.7 of its link
/// (`link_mbps` 1,000), so that no packet waits there.
const PIECE: usize = 64 << 10;
const PIECE_EVERY: Duration = Duration::from_millis(40);
const ROUNDS: usize = 4;
const ROUND: Duration = Duration::from_secs(6);
/// The rule's count of ends of a process.
const ENDS: usize = 3;

/// What became of a client's request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum End {
    Answered(u16),
    /// The client had sent the whole request, and the channel ended without an answer.
    CutAfterWhole,
    /// The channel ended before the client had sent the whole request.
    CutBefore,
    NoChannel,
}

async fn send(address: String, id: String, size: usize) -> End {
    let Ok(mut stream) = TcpStream::connect(address).await else { return End::NoChannel };
    let head = format!(
        "POST /file/x HTTP/1.1\r\nHost: {HOST}\r\nX-Ravenspoke-Request-Id: {id}\r\n\
         X-Ravenspoke-Deadline-Ms: 5000\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {size}\r\n\r\n"
    );
    let body = vec![b'x'; size];
    let written = async {
        stream.write_all(head.as_bytes()).await?;
        for piece in body.chunks(PIECE) {
            stream.write_all(piece).await?;
            tokio::time::sleep(PIECE_EVERY).await;
        }
        Ok::<(), std::io::Error>(())
    };
    let whole = written.await.is_ok();
    let mut answer = [0; 1024];
    match stream.read(&mut answer).await {
        Ok(count) if count > 12 => {
            let text = String::from_utf8_lossy(&answer[9..12]).into_owned();
            End::Answered(text.parse().unwrap_or(0))
        }
        _ if whole => End::CutAfterWhole,
        _ => End::CutBefore,
    }
}

pub async fn run(case: &Case) -> Option<Outcome> {
    let size = if case.trouble { BODY_LIMIT } else { USUAL_BODY };
    let site = Fleet::start(&case.binary, 2).await;
    site.store.put(
        OPERATOR_TOPIC,
        "config",
        &json!({
            "version": 1,
            "routes": [{
                "name": "file", "host": HOST, "path_prefix": "/file/",
                "kind": "idempotent", "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1,
                "service": SERVICE, "max_attempts": 2,
            }],
            "services": [{ "name": SERVICE, "max_connections": 370 }],
            "tenants": [{ "name": "alpha", "api_keys": [KEY] }],
            "limits": {
                "max_body_bytes": BODY_LIMIT, "max_header_bytes": 16384,
                "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
            },
        }),
    );
    let mut replicas = Vec::new();
    for number in 1..=4 {
        let replica = ReplicaStandin::start(own_address(), &format!("i-{number}"), 3, 1).await;
        site.store.put(REPLICA_TOPIC, &replica.id, &replica.entry(SERVICE, "v1", "ready"));
        replicas.push(replica);
    }
    let boxes = vec![site.start_box(0), site.start_box(1)];
    for subject in &boxes {
        subject.wait(replicas.len(), 2).await?;
    }
    case.note(&format!(
        "two boxes, four replicas; memory_mb {MEMORY_MB}; {CLIENTS} clients, bodies of {size} bytes, {ROUNDS} rounds"
    ));
    let addresses: Vec<String> = boxes.iter().map(|subject| subject.entry_address()).collect();

    let stop = Arc::new(AtomicBool::new(false));
    let mut watches = Vec::new();
    let ends: Vec<Arc<AtomicUsize>> = boxes.iter().map(|_| Arc::default()).collect();
    for (mut subject, ends) in boxes.into_iter().zip(ends.clone()) {
        let stop = stop.clone();
        // The platform: kills a process over its memory, and starts it again.
        watches.push(tokio::spawn(async move {
            let mut peak = 0;
            while !stop.load(Ordering::Relaxed) {
                let bytes = subject.resident_bytes();
                peak = peak.max(bytes);
                if bytes > MEMORY_MB << 20 {
                    subject.kill();
                    ends.fetch_add(1, Ordering::Relaxed);
                    tokio::time::sleep(Duration::from_millis(500)).await;
                    subject.restart();
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            (peak, subject)
        }));
    }
    for round in 1..=ROUNDS {
        let calls: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let address = addresses[client % addresses.len()].clone();
                let id = format!("r{round}c{client}");
                tokio::spawn(async move { (id.clone(), send(address, id, size).await) })
            })
            .collect();
        let mut outcomes = std::collections::BTreeMap::new();
        for call in calls {
            let (id, end) = call.await.ok()?;
            case.note(&format!("sent {id}, {size} bytes: {end:?}"));
            *outcomes.entry(end).or_insert(0) += 1;
        }
        case.note(&format!("round {round}: {outcomes:?}"));
        tokio::time::sleep(ROUND).await;
    }
    stop.store(true, Ordering::Relaxed);
    for watch in watches {
        let (peak, _ended) = watch.await.ok()?;
        case.note(&format!("peak of a box as seen: {} MB", peak >> 20));
    }
    for replica in &replicas {
        let runs = replica.runs();
        let ids: Vec<&str> = runs.iter().map(|run| run.id.as_str()).collect();
        case.note(&format!("{} ran {}", replica.id, ids.join(" ")));
    }
    let runs: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
    let ended: Vec<usize> = ends.iter().map(|ends| ends.load(Ordering::Relaxed)).collect();
    case.note(&format!("runs at replicas: {runs}; ends of the boxes over their memory: {ended:?}"));
    let broken = ended.iter().filter(|count| **count >= ENDS).count() >= 2;
    case.note(if broken { "Fault: broken" } else { "Fault: held" });
    Some(if broken { Outcome::Broken } else { Outcome::Held })
}
