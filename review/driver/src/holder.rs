//! The store turns some machines away for a while, and a config moves a key from one tenant to
//! another meanwhile. Clients use the key on a route that needs none.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::backlog::{config_key, KEYS_EACH, OUTAGE, RECORD_BYTES, REVOKE, TENANTS};
use crate::client::{ask, Ask};
use crate::fleet::{Fleet, Node, HOST, OPERATOR_TOPIC, REPLICA_TOPIC};
use crate::log_store::LogStore;
use crate::replica::Replica;
use crate::{Case, Outcome};

const SERVICE: &str = "pool";
/// Boxes, and how many of them the store turns away (`kinds`: share .35; coteau-lic: three of nine).
const BOXES: usize = 6;
const TURNED_AWAY: usize = 2;
/// The key that moves, and the tenants that hold it before and after.
const MOVED_KEY: &str = "n2ctnfzs989anu6wsjnb";
const BEFORE: &str = "tenant-0";
const AFTER: &str = "tenant-1";

/// A config, in which this tenant holds the key.
fn config(version: u64, holder: &str) -> Value {
    let tenants: Vec<Value> = (0..TENANTS)
        .map(|tenant| {
            let name = format!("tenant-{tenant}");
            let mut keys: Vec<String> =
                (0..KEYS_EACH).map(|row| config_key(tenant * KEYS_EACH + row)).collect();
            keys.extend((name == holder).then(|| MOVED_KEY.to_owned()));
            json!({ "name": name, "api_keys": keys })
        })
        .collect();
    let route = |name: &str, prefix: &str, anonymous: bool| {
        json!({
            "name": name, "host": HOST, "path_prefix": prefix, "kind": "stream",
            "stream_resume": true, "timeout_ms": 20_000, "target_latency_ms": 1_500,
            "gap_aim_ms": 1_200, "priority": 0, "service": SERVICE, "max_attempts": 3,
            "allow_anonymous": anonymous,
        })
    };
    json!({
        "version": version,
        "routes": [route("chat", "/chat/", false), route("open", "/open/", true)],
        "services": [{ "name": SERVICE, "max_connections": 370 }],
        "tenants": tenants,
        "limits": {
            "max_body_bytes": 4_194_304, "max_header_bytes": 16_384,
            "header_timeout_ms": 5_000, "idle_timeout_ms": 30_000,
        },
    })
}

/// A client's attempt.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
}

/// Sends requests with the key, one after the other, until it is told to end.
async fn press(
    address: String,
    name: String,
    path: &'static str,
    ended: Arc<AtomicBool>,
) -> Vec<Sent> {
    let mut all = Vec::new();
    while !ended.load(Ordering::Relaxed) {
        let (id, at) = (format!("{name}-{}", all.len()), Instant::now());
        let request = Ask {
            address: address.clone(),
            method: "POST",
            path,
            id: id.clone(),
            key: MOVED_KEY,
            deadline_ms: 5_000,
            body: b"prompt".to_vec(),
            stream: true,
            more: String::new(),
        };
        let status = ask(&request).await.status;
        all.push(Sent { id, at, status });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    all
}

pub async fn run(case: &Case) -> Option<Outcome> {
    let store = LogStore::start().await;
    let mut site = Fleet::start(&case.binary, BOXES).await;
    site.store_address = store.address;
    let size = store.put(OPERATOR_TOPIC, "config", &config(1, BEFORE));
    case.note(&format!("a config is {size} bytes long, of {RECORD_BYTES} that a record may have"));
    if size > RECORD_BYTES {
        return None;
    }
    let replica = Replica::start("i-1", SERVICE, 1, 1).await;
    store.put(REPLICA_TOPIC, &replica.id, &replica.entry("ready"));
    let boxes: Vec<Node> = (0..BOXES).map(|row| site.start_box(row)).collect();
    for subject in &boxes {
        subject.wait(1, BOXES).await?;
    }
    tokio::time::sleep(Duration::from_secs(6)).await;

    let began = Instant::now();
    let at = |moment: Instant| moment.duration_since(began).as_millis();
    let machines = &boxes[BOXES - TURNED_AWAY..];
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (row, subject) in boxes.iter().enumerate() {
        for (kind, path) in [("open", "/open/x"), ("keyed", "/chat/x")] {
            let (address, name) = (subject.entry_address(), format!("box-{}-{kind}", row + 1));
            clients.push(tokio::spawn(press(address, name, path, ended.clone())));
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let outage = Instant::now();
    if case.trouble {
        store.turn_away(machines.iter().map(Node::ip));
        case.note(&format!("{} ms: the store turns box-5 and box-6 away", at(outage)));
    }
    // Reads that wait at the store by then have ended.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    store.put(OPERATOR_TOPIC, "config", &config(2, AFTER));
    let moved = Instant::now();
    case.note(&format!(
        "{} ms: config 2 is confirmed; {AFTER} holds the key, {BEFORE} does no longer",
        at(moved)
    ));
    tokio::time::sleep(OUTAGE.saturating_sub(outage.elapsed())).await;
    store.turn_away([]);
    case.note(&format!("{} ms: the store serves all machines", at(Instant::now())));
    tokio::time::sleep(Duration::from_secs(4)).await;
    ended.store(true, Ordering::Relaxed);

    let ran: HashMap<String, String> = replica.tenants().into_iter().collect();
    let mut broken = 0;
    for client in clients {
        let sent = client.await.ok()?;
        let mut seconds: BTreeMap<u128, BTreeMap<String, usize>> = BTreeMap::new();
        for row in &sent {
            let what = match ran.get(&row.id) {
                Some(tenant) => format!("{} as {tenant:?}", row.status),
                None => format!("{}, not run", row.status),
            };
            *seconds.entry(at(row.at) / 1_000).or_default().entry(what).or_default() += 1;
        }
        let name = sent[0].id.rsplit_once('-').map_or("", |(name, _)| name);
        for (second, what) in seconds {
            case.note(&format!("{name}: second {second}: {what:?}"));
        }
        let late = |row: &&Sent| row.at > moved + REVOKE;
        let wrong = |row: &&Sent| ran.get(&row.id).is_some_and(|tenant| tenant != AFTER);
        let rows: Vec<&Sent> = sent.iter().filter(late).filter(wrong).collect();
        broken += rows.len();
        if let (Some(first), Some(last)) = (rows.first(), rows.last()) {
            let after = |row: &Sent| row.at.duration_since(moved).as_millis();
            case.note(&format!(
                "{name}: {} requests sent {} to {} ms after the key had moved ran as {BEFORE}, from {} to {}",
                rows.len(), after(first), after(last), first.id, last.id
            ));
        }
    }
    case.note(&format!(
        "{broken} requests that were sent more than {REVOKE:?} after config 2 ran under a tenant that doesn't hold their key"
    ));
    case.note(if broken > 0 { "UNASKED: broken" } else { "UNASKED: held" });
    Some(if broken > 0 { Outcome::Broken } else { Outcome::Held })
}
