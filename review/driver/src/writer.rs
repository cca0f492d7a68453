//! Another writer makes two entries under the id of a replica, which writes its own again a moment
//! later; the same then under the id of a second replica. Then the traffic starts.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::{ask, Ask};
use crate::fleet::{Fleet, Node, HOST, KEY, OPERATOR_TOPIC, REPLICA_TOPIC};
use crate::replica::Replica;
use crate::{Case, Outcome};

pub const SERVICE: &str = "pool";
const BOXES: usize = 6;
const REPLICAS: usize = 4;
/// The replicas under whose ids another writer makes entries, one after the other.
const SUBJECTS: [usize; 2] = [1, 2];
/// `heartbeat_ms` of the settings: about as often a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time between the two entries of the other writer.
const BETWEEN: Duration = Duration::from_millis(1_050);
/// Time until the other writer goes on with another replica.
const PAUSE: Duration = Duration::from_secs(2);
/// How long the traffic lasts.
const TRAFFIC: Duration = Duration::from_secs(30);

/// Sends requests one after the other until it is told to end. Returns their ids and the status of
/// each answer; 0 for a channel that was closed without one.
pub async fn press(address: String, name: String, ended: Arc<AtomicBool>) -> Vec<(String, u16)> {
    let mut all = Vec::new();
    while !ended.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", all.len());
        let request = Ask {
            address: address.clone(),
            method: "POST",
            path: "/chat/x",
            id: id.clone(),
            key: KEY,
            deadline_ms: 5_000,
            body: b"prompt".to_vec(),
            stream: true,
            more: String::new(),
        };
        all.push((id, ask(&request).await.status));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    all
}

pub async fn note_boxes(case: &Case, boxes: &[Node], at: u128) {
    for (row, subject) in boxes.iter().enumerate() {
        let (ready, listed) = (subject.ready().await, subject.listed().await.unwrap_or(0));
        case.note(&format!(
            "{at} ms: box-{}: ready {ready}, its directory names {listed} boxes",
            row + 1
        ));
    }
}

/// When a replica started, in Unix milliseconds: the subjects start again with their third entry.
fn born(id: &str, sequence: u64) -> u64 {
    let starts_again = SUBJECTS.iter().any(|row| id == format!("i-{}", row + 1)) && sequence > 2;
    1_760_000_000_000 + if starts_again { 5_000 } else { 0 }
}

/// Writes a config with one route to one service.
pub fn write_config(site: &Fleet) {
    site.store.put(
        OPERATOR_TOPIC,
        "config",
        &json!({
            "version": 1,
            "routes": [{
                "name": "chat", "host": HOST, "path_prefix": "/chat/", "kind": "stream",
                "stream_resume": true, "timeout_ms": 20000, "target_latency_ms": 1500,
                "gap_aim_ms": 1200, "priority": 0, "service": SERVICE, "max_attempts": 3,
            }],
            "services": [{ "name": SERVICE, "max_connections": 370 }],
            "tenants": [{ "name": "alpha", "api_keys": [KEY] }],
            "limits": {
                "max_body_bytes": 4194304, "max_header_bytes": 16384,
                "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
            },
        }),
    );
}

pub async fn run(case: &Case) -> Option<Outcome> {
    play(case, false).await
}

/// The same with a single entry of the other writer, after which the replica starts again under its
/// id.
pub async fn run_again(case: &Case) -> Option<Outcome> {
    play(case, true).await
}

async fn play(case: &Case, starts_again: bool) -> Option<Outcome> {
    let site = Fleet::start(&case.binary, BOXES).await;
    write_config(&site);
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        let replica = Replica::start(&format!("i-{number}"), SERVICE, 2, 20).await;
        site.store.put(REPLICA_TOPIC, &replica.id, &replica.entry("ready"));
        replicas.push(replica);
    }
    let mut boxes: Vec<Node> = (0..BOXES).map(|row| site.start_box(row)).collect();
    for subject in &boxes {
        subject.wait(replicas.len(), BOXES).await?;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;

    let began = Instant::now();
    let at = || began.elapsed().as_millis();
    // Each replica writes its entry once in a heartbeat, from now to the end. The subjects do so by
    // hand while the other writer is at their ids.
    let others = (0..REPLICAS).filter(|row| !SUBJECTS.contains(row));
    let mut beats = tokio::task::JoinSet::new();
    let beat = |beats: &mut tokio::task::JoinSet<()>, row: usize, from: u64| {
        let (replica, store) = (replicas[row].clone(), site.store.clone());
        beats.spawn(async move {
            for sequence in from.. {
                tokio::time::sleep(HEARTBEAT).await;
                let mut entry = replica.entry("ready");
                entry["sequence"] = json!(sequence);
                if starts_again {
                    entry["born"] = json!(born(&replica.id, sequence));
                }
                store.put(REPLICA_TOPIC, &replica.id, &entry);
            }
        });
    };
    others.for_each(|row| beat(&mut beats, row, 2));
    for row in SUBJECTS {
        let subject = &replicas[row];
        let own_entry = |sequence: u64| {
            let mut entry = subject.entry("ready");
            entry["sequence"] = json!(sequence);
            if starts_again {
                entry["born"] = json!(born(&subject.id, sequence));
            }
            site.store.put(REPLICA_TOPIC, &subject.id, &entry);
            case.note(&format!("{} ms: {} writes its entry", at(), subject.id));
        };
        own_entry(2);
        let written = Instant::now();
        if case.trouble {
            let mut entry = subject.entry("ready");
            entry["service"] = json!("annex");
            site.store.put(REPLICA_TOPIC, &subject.id, &entry);
            case.note(&format!(
                "{} ms: another writer's entry under {}: its service is annex, which no config names",
                at(),
                subject.id
            ));
            tokio::time::sleep(BETWEEN).await;
            if !starts_again {
                site.store.put(REPLICA_TOPIC, &subject.id, &json!({ "service": "annex" }));
                case.note(&format!(
                    "{} ms: another writer's entry under {}: all other fields are missing",
                    at(),
                    subject.id
                ));
            }
        }
        tokio::time::sleep(HEARTBEAT.saturating_sub(written.elapsed())).await;
        own_entry(3);
        beat(&mut beats, row, 4);
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;

    case.note(&format!("{} ms: the traffic starts", at()));
    note_boxes(case, &boxes, at()).await;
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (row, subject) in boxes.iter().enumerate() {
        let (address, name) = (subject.entry_address(), format!("box-{}", row + 1));
        clients.push(tokio::spawn(press(address, name, ended.clone())));
    }
    tokio::time::sleep(TRAFFIC).await;
    ended.store(true, Ordering::Relaxed);
    case.note(&format!("{} ms: the traffic ends", at()));
    note_boxes(case, &boxes, at()).await;

    let ran: Vec<String> = replicas
        .iter()
        .flat_map(|replica| replica.runs().into_iter().map(|(id, _)| id))
        .collect();
    let (mut asked, mut served) = (0, 0);
    for client in clients {
        let sent = client.await.ok()?;
        let name = sent[0].0.rsplit_once('-').map_or("", |(name, _)| name).to_owned();
        let mut answers: BTreeMap<String, usize> = BTreeMap::new();
        for (id, status) in &sent {
            let ran = if ran.contains(id) { "ran" } else { "not run" };
            let what = match status {
                0 => format!("closed without an answer, {ran}"),
                status => format!("{status}, {ran}"),
            };
            *answers.entry(what).or_default() += 1;
            asked += 1;
            served += usize::from(*status == 200);
        }
        case.note(&format!("{name}: {} requests: {answers:?}", sent.len()));
    }
    for (row, subject) in boxes.iter_mut().enumerate() {
        let ended = if subject.has_ended() { "ended" } else { "still runs" };
        let panics = subject.panics();
        case.note(&format!("box-{}: its process {ended}; {} panics", row + 1, panics.len()));
        panics.iter().take(2).for_each(|line| case.note(&format!("box-{}: {line}", row + 1)));
    }
    case.note(&format!("of {asked} requests, {served} were served"));
    case.note(if served == 0 { "Fault: broken" } else { "Fault: held" });
    Some(if served == 0 { Outcome::Broken } else { Outcome::Held })
}
