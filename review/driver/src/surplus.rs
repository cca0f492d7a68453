//! Replicas of a small service are full at times, and send some of their answers twice.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::{ask, Ask};
use crate::desk::{Desk, DeskPlan};
use crate::fleet::{Fleet, HOST, KEY, OPERATOR_TOPIC, REPLICA_TOPIC};
use crate::{Case, Outcome};

const SERVICE: &str = "station-desk";
const BOXES: usize = 8;
const REPLICAS: usize = 4;
/// Replicas that send answers twice: a share of 0.5.
const FAULTY: usize = 2;
const CLIENTS: usize = 64;
/// Times at which they do so, and for how long each time.
const TIMES: usize = 6;
const EACH: Duration = Duration::from_secs(5);
/// One of so many answers is sent a second time: 3 in 100.
const TWICE: usize = 34;

pub async fn run(case: &Case) -> Option<Outcome> {
    let mut site = Fleet::start(&case.binary, BOXES).await;
    site.contracts.push("pressure");
    site.store.put(
        OPERATOR_TOPIC,
        "config",
        &json!({
            "version": 1,
            "routes": [{
                "name": "booking", "host": HOST, "path_prefix": "/booking/",
                "kind": "non_idempotent", "timeout_ms": 800, "target_latency_ms": 150,
                "priority": 2, "service": SERVICE, "max_attempts": 1,
            }],
            "services": [{ "name": SERVICE, "max_connections": 580 }],
            "tenants": [{ "name": "alpha", "api_keys": [KEY] }],
            "limits": {
                "max_body_bytes": 4194304, "max_header_bytes": 16384,
                "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
            },
        }),
    );
    let plan = DeskPlan {
        slots: 6,
        queue: 4,
        work: Duration::from_millis(30),
        late: Duration::from_millis(60),
    };
    let mut desks = Vec::new();
    for number in 1..=REPLICAS {
        let desk = Desk::start(&format!("i-{number}"), SERVICE, &plan).await;
        site.store.put(REPLICA_TOPIC, &desk.id, &desk.entry());
        desks.push(desk);
    }
    let boxes: Vec<_> = (0..BOXES).map(|row| site.start_box(row)).collect();
    for subject in &boxes {
        subject.wait(desks.len(), BOXES).await?;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let began = Instant::now();
    let end = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let address = boxes[number % BOXES].entry_address();
        let end = end.clone();
        clients.push(tokio::spawn(async move {
            let mut replies = Vec::new();
            for round in 0.. {
                if end.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("c{number}-{round}");
                let request = Ask {
                    address: address.clone(),
                    method: "POST",
                    path: "/booking/x",
                    body: format!("book {id}").into_bytes(),
                    id: id.clone(),
                    key: KEY,
                    deadline_ms: 1_500,
                    stream: false,
                    more: String::new(),
                };
                let status = ask(&request).await.status;
                replies.push((id, status));
                let pause = if status == 200 { 20 } else { 300 };
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
            replies
        }));
    }
    for time in 1..=TIMES {
        for faulty in [false, true] {
            let every = if faulty && case.trouble { TWICE } else { 0 };
            desks[..FAULTY].iter().for_each(|desk| desk.twice.store(every, Ordering::Relaxed));
            tokio::time::sleep(EACH).await;
        }
        case.note(&format!("{:?}: time {time} is over", began.elapsed()));
    }
    end.store(true, Ordering::Relaxed);
    let mut replies: HashMap<String, u16> = HashMap::new();
    for client in clients {
        replies.extend(client.await.ok()?);
    }
    let mut by_status: HashMap<u16, usize> = HashMap::new();
    replies.values().for_each(|status| *by_status.entry(*status).or_default() += 1);
    case.note(&format!(
        "{:?}: {} requests, by status {by_status:?}",
        began.elapsed(),
        replies.len()
    ));
    let mut begun: HashMap<String, Vec<String>> = HashMap::new();
    let mut rejected = 0;
    for desk in &desks {
        for (id, what) in desk.log() {
            rejected += usize::from(what == "rejected");
            if what == "began" {
                begun.entry(id).or_default().push(desk.id.clone());
            }
        }
    }
    case.note(&format!("{rejected} rejections of replicas"));
    let (mut twice, mut refused) = (0, 0);
    for (id, ran) in &begun {
        let status = replies.get(id).copied().unwrap_or(0);
        if ran.len() > 1 {
            twice += 1;
            case.note(&format!("{id} ran at {ran:?}, and was answered {status}"));
        }
        if status == 503 {
            refused += 1;
            case.note(&format!("{id} was answered 503 (not run), and ran at {ran:?}"));
        }
        if (ran.len() > 1 || status == 503) && twice + refused <= 6 {
            for desk in &desks {
                let what: Vec<_> =
                    desk.log().into_iter().filter(|row| row.0 == *id).map(|row| row.1).collect();
                case.note(&format!("{id} at {}: {what:?}", desk.id));
            }
        }
    }
    case.note(&format!(
        "{twice} requests ran more than once, {refused} ran though they were refused"
    ));
    case.note(if twice > 0 { "TWICE: broken" } else { "TWICE: held" });
    Some(if twice > 0 { Outcome::Broken } else { Outcome::Held })
}
