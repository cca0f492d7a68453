//! The store turns some machines away for a while, and configs come meanwhile, one of which takes a
//! key away. Afterwards these machines read what they missed.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::client::{ask, Ask};
use crate::fleet::{Fleet, Node, HOST, KEY, OPERATOR_TOPIC, REPLICA_TOPIC};
use crate::log_store::LogStore;
use crate::replica::Replica;
use crate::{Case, Outcome};

const SERVICE: &str = "pool";
/// Boxes, and how many of them the store turns away (`kinds`: share .35; coteau-lic: three of nine).
const BOXES: usize = 6;
const TURNED_AWAY: usize = 2;
/// How long it does so: `for_s` 9 (coteau-lic).
pub const OUTAGE: Duration = Duration::from_secs(9);
/// Configs in quick succession: 4 s, each 0.33 s (coteau-lic).
const CONFIGS: u64 = 12;
const CONFIG_GAP: Duration = Duration::from_millis(330);
/// The config from which on the key is gone.
const WITHOUT_KEY: u64 = 12;
/// Tenants (coteau-lic), and keys of each.
pub const TENANTS: u64 = 10;
pub const KEYS_EACH: u64 = 500;
/// `record_bytes` of the settings: the size of a record of the store, and so of a config.
pub const RECORD_BYTES: usize = 262_144;
/// `revoke_ms` of the settings.
pub const REVOKE: Duration = Duration::from_millis(5_000);
const LAST_KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A key of twenty signs, as in PROTOCOL.md.
pub fn config_key(number: u64) -> String {
    const SIGNS: &[u8] = b"abcdefghijklmnopqrstuvwxyz0123456789";
    let mut state = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut sign = || {
        state ^= state >> 30;
        state = state.wrapping_mul(0xbf58_476d_1ce4_e5b9);
        state ^= state >> 27;
        SIGNS[(state >> 32) as usize % SIGNS.len()] as char
    };
    (0..20).map(|_| sign()).collect()
}

/// A config; each version has another time-out.
fn config(version: u64) -> Value {
    let tenants: Vec<Value> = (0..TENANTS)
        .map(|tenant| {
            let mut keys: Vec<String> =
                (0..KEYS_EACH).map(|row| config_key(tenant * KEYS_EACH + row)).collect();
            if tenant == 0 {
                keys.push(KEY.to_owned());
                keys.extend((version < WITHOUT_KEY).then(|| LAST_KEY.to_owned()));
            }
            json!({ "name": format!("tenant-{tenant}"), "api_keys": keys })
        })
        .collect();
    json!({
        "version": version,
        "routes": [{
            "name": "chat", "host": HOST, "path_prefix": "/chat/", "kind": "stream",
            "stream_resume": true, "timeout_ms": 20_000 + version, "target_latency_ms": 1_500,
            "gap_aim_ms": 1_200, "priority": 0, "service": SERVICE, "max_attempts": 3,
        }],
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

/// Sends requests with the key that is taken away, one after the other, until it is told to end.
async fn press(address: String, name: String, ended: Arc<AtomicBool>) -> Vec<Sent> {
    let mut all = Vec::new();
    while !ended.load(Ordering::Relaxed) {
        let (id, at) = (format!("{name}-{}", all.len()), Instant::now());
        let request = Ask {
            address: address.clone(),
            method: "POST",
            path: "/chat/x",
            id: id.clone(),
            key: LAST_KEY,
            deadline_ms: 5_000,
            body: b"prompt".to_vec(),
            stream: true,
            more: String::new(),
        };
        let status = ask(&request).await.status;
        all.push(Sent { id, at, status });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    all
}

pub async fn run(case: &Case) -> Option<Outcome> {
    let store = LogStore::start().await;
    let mut site = Fleet::start(&case.binary, BOXES).await;
    site.store_address = store.address;
    let size = store.put(OPERATOR_TOPIC, "config", &config(1));
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
        let (address, name) = (subject.entry_address(), format!("box-{}", row + 1));
        clients.push(tokio::spawn(press(address, name, ended.clone())));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let outage = Instant::now();
    if case.trouble {
        store.turn_away(machines.iter().map(Node::ip));
        case.note(&format!("{} ms: the store turns box-5 and box-6 away", at(outage)));
    }
    let mut gone = outage;
    for version in 2..2 + CONFIGS {
        store.put(OPERATOR_TOPIC, "config", &config(version));
        let without = version == WITHOUT_KEY;
        let what = if without { ", without the key" } else { "" };
        case.note(&format!("{} ms: config {version} is confirmed{what}", at(Instant::now())));
        if without {
            gone = Instant::now();
        }
        tokio::time::sleep(CONFIG_GAP).await;
    }
    tokio::time::sleep(OUTAGE.saturating_sub(outage.elapsed())).await;
    store.turn_away([]);
    case.note(&format!("{} ms: the store serves all machines", at(Instant::now())));
    tokio::time::sleep(Duration::from_secs(8)).await;
    ended.store(true, Ordering::Relaxed);

    let ran = replica.runs();
    let ran = |id: &str| ran.iter().any(|(run, _)| run == id);
    let mut broken = 0;
    for client in clients {
        let sent = client.await.ok()?;
        let mut seconds: BTreeMap<u128, BTreeMap<u16, usize>> = BTreeMap::new();
        for row in &sent {
            *seconds.entry(at(row.at) / 1_000).or_default().entry(row.status).or_default() += 1;
        }
        let name = sent[0].id.rsplit_once('-').map_or("", |(name, _)| name);
        for (second, statuses) in seconds {
            case.note(&format!("{name}: second {second}: answers by status {statuses:?}"));
        }
        let runs = sent.iter().filter(|row| ran(&row.id)).count();
        case.note(&format!("{name}: {} requests with the key were sent, {runs} ran", sent.len()));
        for row in sent.iter().filter(|row| row.at > gone + REVOKE && ran(&row.id)) {
            broken += 1;
            let late = row.at.duration_since(gone).as_millis();
            let (id, status) = (&row.id, row.status);
            case.note(&format!(
                "{id}: sent at {} ms, {late} ms after the key was gone; ran; answer {status}",
                at(row.at)
            ));
        }
    }
    for (machine, from, count, end) in store.reads() {
        let row = boxes.iter().position(|subject| subject.ip() == machine);
        if end > 1 && from + (count as u64) < end {
            case.note(&format!(
                "box-{} read {count} configs from {from} on, of {end}",
                row.map_or(0, |row| row + 1)
            ));
        }
    }
    case.note(&format!("{broken} requests ran that were sent more than {REVOKE:?} after"));
    case.note(if broken > 0 { "CONFIG: broken" } else { "CONFIG: held" });
    Some(if broken > 0 { Outcome::Broken } else { Outcome::Held })
}
