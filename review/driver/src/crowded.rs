//! A box is stopped as planned while all places of a service are taken, and a replica pauses for a
//! moment.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::{ask, Ask, Reply};
use crate::fleet::{Fleet, HOST, KEY, OPERATOR_TOPIC, REPLICA_TOPIC};
use crate::replica::Replica;
use crate::{Case, Outcome};

const SERVICE: &str = "pool";
const EVENTS: u32 = 20;
const GAP_MS: u64 = 300;
const REPLICAS: usize = 4;
/// Slots of a replica, and the few requests more that it queues.
const PLACES: (usize, usize) = (6, 2);
/// Clients, each with one stream at a time: a few more than there are places.
const CLIENTS: usize = 42;
/// The first ones of them ask the box that is stopped.
const FIRST: usize = 10;
/// `grace_s` 8 without its last sixth.
const GRACE_PART: Duration = Duration::from_millis(6_666);
/// The longest pause that still keeps an answer in time.
const GAP_AIM_MS: u64 = 1_200;
const PAUSE: Duration = Duration::from_millis(1_100);

fn request(address: String, id: String) -> Ask {
    Ask {
        address,
        method: "POST",
        path: "/chat/x",
        body: format!("prompt {id}").into_bytes(),
        id,
        key: KEY,
        deadline_ms: 20_000,
        stream: true,
        more: String::new(),
    }
}

/// The clients: each asks for a stream, and for the next one when it has ended.
struct Clients {
    addresses: [String; 2],
    /// Whether clients have learned that the first box stops.
    first_stops: AtomicBool,
    end: AtomicBool,
}

/// A request and what came back.
struct Asked {
    id: String,
    /// Row of the box that it was sent to.
    row: usize,
    reply: Reply,
    ended: Instant,
}

impl Clients {
    async fn ask_on(self: Arc<Self>, number: usize) -> Vec<Asked> {
        let mut asked = Vec::new();
        for round in 0.. {
            if self.end.load(Ordering::Relaxed) {
                break;
            }
            let to_first = number < FIRST && !self.first_stops.load(Ordering::Relaxed);
            let row = usize::from(!to_first);
            let id = format!("box-{}-{number}-{round}", row + 1);
            let reply = ask(&request(self.addresses[row].clone(), id.clone())).await;
            if reply.status != 200 {
                // As Retry-After says.
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            asked.push(Asked { id, row, reply, ended: Instant::now() });
        }
        asked
    }
}

pub async fn run(case: &Case) -> Option<Outcome> {
    let site = Fleet::start(&case.binary, 2).await;
    site.store.put(
        OPERATOR_TOPIC,
        "config",
        &json!({
            "version": 1,
            "routes": [{
                "name": "chat", "host": HOST, "path_prefix": "/chat/", "kind": "stream",
                "stream_resume": true, "timeout_ms": 20000, "target_latency_ms": 3000,
                "gap_aim_ms": GAP_AIM_MS, "priority": 0, "service": SERVICE, "max_attempts": 3,
            }],
            "services": [{ "name": SERVICE, "max_connections": 370 }],
            "tenants": [{ "name": "alpha", "api_keys": [KEY] }],
            "limits": {
                "max_body_bytes": 4194304, "max_header_bytes": 16384,
                "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
            },
        }),
    );
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        let id = format!("i-{number}");
        let replica = Replica::start_with(&id, SERVICE, EVENTS, GAP_MS, PLACES).await;
        site.store.put(REPLICA_TOPIC, &replica.id, &replica.entry("ready"));
        replicas.push(replica);
    }
    let (mut first, second) = (site.start_box(0), site.start_box(1));
    for subject in [&first, &second] {
        subject.wait(replicas.len(), 2).await?;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let began = Instant::now();
    let at = || began.elapsed().as_millis();
    let clients = Arc::new(Clients {
        addresses: [first.entry_address(), second.entry_address()],
        first_stops: AtomicBool::new(false),
        end: AtomicBool::new(false),
    });
    let mut asking = Vec::new();
    for number in 0..CLIENTS {
        asking.push(tokio::spawn(clients.clone().ask_on(number)));
        tokio::time::sleep(Duration::from_millis(65)).await;
    }
    case.note(&format!("{} ms: {CLIENTS} clients have asked", at()));
    first.terminate();
    let stopped = Instant::now();
    case.note(&format!("{} ms: SIGTERM to box-1", at()));
    // From the first answer on, clients learn that box-1 stops.
    clients.first_stops.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let through_first =
        |replica: &&Replica| replica.active().iter().filter(|id| id.starts_with("box-1")).count();
    let pausing = replicas.iter().max_by_key(through_first)?;
    for replica in &replicas {
        case.note(&format!("{} load (running, waiting, slots) {}", replica.id, replica.load()));
        case.note(&format!("{} ms: {} runs {:?}", at(), replica.id, replica.active()));
    }
    if case.trouble {
        pausing.pause(PAUSE);
        case.note(&format!("{} ms: {} pauses for {PAUSE:?}", at(), pausing.id));
    }
    tokio::time::sleep(Duration::from_secs(7)).await;
    clients.end.store(true, Ordering::Relaxed);
    let mut cut = 0;
    let mut counts = [[0_u32; 4]; 2];
    for client in asking {
        for Asked { id, row, reply, ended } in client.await.ok()? {
            let events = reply.events();
            let whole = reply.whole && events == (1..=EVENTS).collect::<Vec<u32>>();
            let kind = match reply.status {
                200 if whole => 0,
                200 => 1,
                503 => 2,
                _ => 3,
            };
            counts[row][kind] += 1;
            if kind == 1 {
                let last = events.last().copied().unwrap_or(0);
                let after = ended.saturating_duration_since(stopped);
                case.note(&format!("{id}: 200, cut after event {last}, {after:?} after SIGTERM"));
                cut += usize::from(row == 0 && after > Duration::ZERO && after < GRACE_PART);
            }
        }
    }
    for (name, [whole, cut, refused, failed]) in ["box-1", "box-2"].iter().zip(counts) {
        case.note(&format!(
            "{name}: {whole} streams whole, {cut} cut, {refused} refused, {failed} failed"
        ));
    }
    for replica in &replicas {
        let through_first = |id: &String| id.starts_with("box-1");
        let runs: Vec<_> = replica.runs().into_iter().filter(|run| through_first(&run.0)).collect();
        let rejected: Vec<_> = replica.rejected().into_iter().filter(through_first).collect();
        case.note(&format!("{} ran (id, after event) {runs:?}, rejected {rejected:?}", replica.id));
    }
    for event in ["attempt_failed", "request_forwarded", "answer_broken_off"] {
        for fields in first.events(event) {
            let (id, reason, why) = (&fields["id"], &fields["reason"], &fields["why"]);
            case.note(&format!("log of box-1: {event} {id} {reason} {why}"));
        }
    }
    case.note(&format!("box-1 has ended by itself: {}", first.has_ended()));
    case.note(if cut > 0 { "LOST: broken" } else { "LOST: held" });
    Some(if cut > 0 { Outcome::Broken } else { Outcome::Held })
}
