//! Another writer makes entries under ids of its own, with services that no config names. Later the
//! replicas are replaced one after the other.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::fleet::{Fleet, Node, REPLICA_TOPIC};
use crate::replica::Replica;
use crate::writer::{note_boxes, press, write_config, SERVICE};
use crate::{Case, Outcome};

const BOXES: usize = 6;
const REPLICAS: usize = 4;
/// Time between two entries of the other writer.
const BETWEEN: Duration = Duration::from_millis(1_500);
/// Time for which a replica serves on after it has said that it is draining: `drain_ms` and a little.
const DRAINING: Duration = Duration::from_millis(3_000);

pub async fn run(case: &Case) -> Option<Outcome> {
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
    if case.trouble {
        let entry = |service: &str| {
            json!({
                "service": service, "address": "127.0.0.1:9", "zone": "regina-hall", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            })
        };
        let entries = [
            ("w-1", entry("annex")),
            ("w-1", entry("depot")),
            ("w-1", json!({ "service": "depot" })),
            ("w-2", entry("annex")),
            ("w-3", entry("annex")),
        ];
        for (id, entry) in entries {
            site.store.put(REPLICA_TOPIC, id, &entry);
            case.note(&format!("{} ms: another writer's entry under {id}: {entry}", at()));
            let pause = if id == "w-1" { BETWEEN } else { 4 * BETWEEN };
            tokio::time::sleep(pause).await;
        }
    }
    case.note(&format!("{} ms: the traffic starts", at()));
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (row, subject) in boxes.iter().enumerate() {
        let (address, name) = (subject.entry_address(), format!("box-{}", row + 1));
        clients.push(tokio::spawn(press(address, name, ended.clone())));
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    for number in 0..REPLICAS {
        let new = Replica::start(&format!("i-{}", REPLICAS + number + 1), SERVICE, 2, 20).await;
        site.store.put(REPLICA_TOPIC, &new.id, &new.entry("ready"));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let old = replicas[number].clone();
        site.store.put(REPLICA_TOPIC, &old.id, &old.entry("draining"));
        tokio::time::sleep(DRAINING).await;
        old.end();
        site.store.drop_key(REPLICA_TOPIC, &old.id);
        case.note(&format!("{} ms: {} has taken the place of {}", at(), new.id, old.id));
        replicas.push(new);
    }
    let replaced = at();
    tokio::time::sleep(Duration::from_secs(20)).await;
    ended.store(true, Ordering::Relaxed);
    note_boxes(case, &boxes, at()).await;
    let (mut asked, mut served) = (0, 0);
    let per_s = 1_000;
    for client in clients {
        let sent = client.await.ok()?;
        let name = sent[0].0.rsplit_once('-').map_or("", |(name, _)| name).to_owned();
        // The last fifteen seconds: all replicas have been replaced for five.
        let late = &sent[sent.len().saturating_sub(90)..];
        let mut answers: BTreeMap<u16, usize> = BTreeMap::new();
        for (_, status) in late {
            *answers.entry(*status).or_default() += 1;
            asked += 1;
            served += usize::from(*status == 200);
        }
        case.note(&format!("{name}: the last {} of {} requests: {answers:?}", late.len(), sent.len()));
    }
    for (row, subject) in boxes.iter_mut().enumerate() {
        let what = if subject.has_ended() { "ended" } else { "still runs" };
        let panics = subject.panics();
        case.note(&format!("box-{}: its process {what}; {} panics", row + 1, panics.len()));
        panics.iter().take(2).for_each(|line| case.note(&format!("box-{}: {line}", row + 1)));
    }
    case.note(&format!("all replaced after {} s; of the last {asked} requests {served} were served", replaced / per_s));
    Some(if served == 0 { Outcome::Broken } else { Outcome::Held })
}
