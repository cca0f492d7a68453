//! Bodies of requests that would take more memory together than a box has, with boxes as processes.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::site::{RunningSite, OPERATOR_TOPIC, SITE_KEY, SITE_SERVICE};
use ravenspoke_standins::platform::site_box::{SiteBox, SITE_HOST};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Memory of a box, in megabytes.
const MEMORY_MB: u32 = 110;

/// Length of a long body, which the plan allows.
const LONG_BODY: usize = 4 << 20;

/// Callers that send one long body each, at the same time.
const CALLERS: usize = 53;

/// Pieces in which they send it, and the time between two of them.
const PIECE: usize = 64 << 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(20);

/// A site whose plan allows long bodies, with one box that has little memory.
async fn site_with_long_bodies() -> (RunningSite, SiteBox) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.memory_mb = Some(MEMORY_MB);
    let plan = json!({
        "version": 1,
        "routes": [{
            "name": "read", "host": SITE_HOST, "path_prefix": "/read/", "kind": "idempotent",
            "timeout_ms": 8000, "target_latency_ms": 500, "priority": 1,
            "service": SITE_SERVICE, "max_attempts": 2,
        }],
        "services": [{ "name": SITE_SERVICE, "max_connections": 300 }],
        "tenants": [{ "name": "alpha", "api_keys": [SITE_KEY] }],
        "limits": { "max_body_bytes": LONG_BODY, "max_header_bytes": 8_192 },
    });
    site.store.put(OPERATOR_TOPIC, "config", &plan);
    site.start_replica("i-1", 3, 1).await;
    let subject = site.start_ready("box-1").await;
    wait_for("the box knows the replica", || async {
        let state = subject.state().await?;
        (state["backends"].as_array()?.len() == 1).then_some(())
    })
    .await;
    (site, subject)
}

/// Sends a long body in pieces, and returns the status of the answer; 0 without one.
async fn send_long(address: String, number: usize) -> u16 {
    let Ok(mut stream) = TcpStream::connect(address).await else { return 0 };
    let head = format!(
        "POST /read/x HTTP/1.1\r\nHost: {SITE_HOST}\r\nX-Ravenspoke-Request-Id: long-{number}\r\n\
         X-Ravenspoke-Deadline-Ms: 7000\r\nAuthorization: Bearer {SITE_KEY}\r\n\
         Content-Length: {LONG_BODY}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return 0;
    }
    for piece in vec![b'x'; LONG_BODY].chunks(PIECE) {
        if stream.write_all(piece).await.is_err() {
            return 0;
        }
        tokio::time::sleep(PIECE_INTERVAL).await;
    }
    let mut answer = [0; 1024];
    let length = stream.read(&mut answer).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&answer[..length]).into_owned();
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Guards against a box that the bodies of its callers take over its memory, and that ends.
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_of_many_callers_stay_within_the_memory_and_short_requests_are_served() {
    let (site, subject) = site_with_long_bodies().await;
    let over = Arc::new(AtomicBool::new(false));
    let long: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(send_long(subject.entry_address(), number)))
        .collect();

    let mut short = Vec::new();
    while !long.iter().all(tokio::task::JoinHandle::is_finished) {
        let id = format!("short-{}", short.len());
        let request = site.request(&subject, "POST", "/read/x", &id).body(vec![b'y'; 2_000]);
        short.push(request.send().await.map_or(0, |answer| answer.status().as_u16()));
        let is_over = subject.resident_bytes() > (MEMORY_MB as usize) << 20;
        over.fetch_or(is_over, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    assert!(!over.load(Ordering::Relaxed), "the box is within its memory");
    assert!(short.iter().all(|status| *status == 200), "{short:?}");
    let mut statuses = Vec::new();
    for call in long {
        statuses.push(call.await.expect("the call ends"));
    }
    let count = |wanted: u16| statuses.iter().filter(|status| **status == wanted).count();
    assert_eq!(count(200) + count(503), CALLERS, "each is answered or refused: {statuses:?}");
    assert!(count(200) > 0, "{statuses:?}");
    assert!(!subject.events("body_refused").is_empty());
}

/// Guards against memory of ended requests that is not given back.
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_one_after_the_other_are_all_served() {
    let (_site, subject) = site_with_long_bodies().await;

    for number in 0..30 {
        assert_eq!(send_fast(&subject, number).await, 200, "{number}");
    }
}

/// Sends a long body at once.
async fn send_fast(subject: &SiteBox, number: usize) -> u16 {
    let url = subject.entry("/read/x");
    let request = reqwest::Client::new().post(url).header("Host", SITE_HOST);
    let request = request.header("X-Ravenspoke-Request-Id", format!("fast-{number}"));
    let request = request.header("Authorization", format!("Bearer {SITE_KEY}"));
    let answer = request.body(vec![b'z'; LONG_BODY]).send().await;
    answer.map_or(0, |answer| answer.status().as_u16())
}
