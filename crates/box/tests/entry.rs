//! Tests of a box's entry at its start and its planned stop: each request is answered, or the
//! connection is refused.
//!
//! Boxes run as processes with stand-ins of the platform. Tests wait for conditions with a time
//! limit.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::ReplicaStandin;
use ravenspoke_standins::platform::site::{RunningSite, SITE_KEY};
use ravenspoke_standins::platform::site_box::SiteBox;
use ravenspoke_standins::platform::store::{StoreFaults, StoreOutage};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Time for which callers cache the directory's addresses.
const ADDRESS_TTL: Duration = Duration::from_millis(2_000);

/// Timeout of the requests of a site.
const DEADLINE: Duration = Duration::from_millis(3_500);

/// Allowance for the time that a request takes on its way.
const SLACK: Duration = Duration::from_millis(100);

/// Maximum number of requests that are sent while a box stops.
const REQUESTS: u32 = 100;

/// A site with a plan, a replica and a ready box.
async fn site_with_a_box() -> (RunningSite, ReplicaStandin, SiteBox) {
    let mut site = new_site().await;
    let replica = site.start_replica("i-1", 3, 1).await;
    let subject = site.start_ready("box-1").await;
    (site, replica, subject)
}

async fn new_site() -> RunningSite {
    let site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    site
}

/// Signals a box to stop, and waits until the stop has begun.
async fn begin_stop(subject: &SiteBox) {
    subject.signal("TERM");
    wait_for("the stop has begun", || async {
        (!subject.events("stop_begun").is_empty()).then_some(())
    })
    .await;
}

/// Sends a request; returns its status and whether the response closes the connection.
async fn send_request(site: &RunningSite, subject: &SiteBox, id: &str) -> (u16, bool) {
    let response = site.request(subject, "POST", "/file/x", id).body("body").send().await;
    let response = response.expect("an accepted request is answered");
    let closes = response.headers().get("connection").is_some_and(|value| value == "close");
    let status = response.status().as_u16();
    response.bytes().await.expect("a whole response");
    (status, closes)
}

async fn connect(subject: &SiteBox) -> std::io::Result<TcpStream> {
    let address: SocketAddr = subject.entry_address().parse().expect("an address");
    TcpStream::connect(address).await
}

// Connections opened during a stop were closed unread if the task checked the stop before it read
// the socket.
#[tokio::test]
async fn stopping_box_answers_requests_on_new_connections() {
    let (mut site, _replica, subject) = site_with_a_box().await;
    site.http = reqwest::Client::builder().pool_max_idle_per_host(0).build().expect("a client");

    begin_stop(&subject).await;
    let began = Instant::now();
    let mut results = Vec::new();
    while results.len() < REQUESTS as usize && began.elapsed() < ADDRESS_TTL {
        results.push(send_request(&site, &subject, &format!("new-{}", results.len())).await);
    }

    assert!(results.iter().all(|result| *result == (200, true)), "{results:?}");
}

#[tokio::test]
async fn stopping_box_answers_the_next_request_on_an_idle_connection() {
    let (site, _replica, subject) = site_with_a_box().await;
    assert_eq!(send_request(&site, &subject, "before").await, (200, false));

    begin_stop(&subject).await;

    assert_eq!(send_request(&site, &subject, "after").await, (200, true));
}

// Connections that were not accepted yet were reset when the box exited.
#[tokio::test]
async fn box_stopped_while_starting_answers_connected_callers() {
    let mut site = new_site().await;
    site.http = reqwest::Client::builder().pool_max_idle_per_host(0).build().expect("a client");
    let outage = StoreOutage::Silent;
    site.store.set_faults(StoreFaults { outage, ..StoreFaults::default() });
    let subject = site.start_box("box-1");
    subject.tell().await;
    subject.signal("TERM");

    let outcomes = Mutex::new(Vec::new());
    let subject = Mutex::new(subject);
    wait_for("the box exits", || async {
        let mut subject = subject.lock().await;
        let request = site.request(&subject, "POST", "/file/x", "early").body("body");
        outcomes.lock().await.push(match request.send().await {
            Ok(answer) => Ok(answer.status().as_u16()),
            Err(error) => Err(error.is_connect()),
        });
        subject.exit_code()
    })
    .await;

    let (outcomes, subject) = (outcomes.into_inner(), subject.into_inner());
    let is_complete = |outcome: &Result<u16, bool>| matches!(outcome, Ok(503) | Err(true));
    assert!(outcomes.iter().all(is_complete), "{outcomes:?}");
    assert!(
        subject.events("callers_taken").is_empty(),
        "the box was stopped too late for this test"
    );
}

#[tokio::test]
async fn request_sent_while_a_box_starts_is_answered() {
    let mut site = new_site().await;
    let _replica = site.start_replica("i-1", 3, 1).await;
    let subject = site.start_box("box-1");

    wait_for("a connection is accepted", || async { connect(&subject).await.ok() }).await;
    let answer = send_request(&site, &subject, "early").await;

    assert_eq!(answer, (200, false));
}

// The time that a connection waited in the kernel was not counted, so a call got a 504 after its
// caller's deadline.
#[tokio::test]
async fn wait_for_a_starting_box_counts_against_the_deadline() {
    let mut site = new_site().await;
    let replica = site.start_replica("i-1", 3, 1).await;
    site.store.set_faults(StoreFaults { slow_ms: 200, ..StoreFaults::default() });
    let subject = site.start_box("box-1");

    wait_for("a connection is accepted", || async { connect(&subject).await.ok() }).await;
    let sent_at = Instant::now();
    assert_eq!(send_request(&site, &subject, "early").await, (200, false));

    let run = replica.runs().remove(0);
    let given = run.headers.iter().find(|(name, _)| name == "x-ravenspoke-deadline-ms");
    let given_ms = given.and_then(|(_, value)| value.parse().ok()).expect("a deadline");
    let waited = run.at - sent_at;
    assert!(waited > Duration::from_millis(200), "the box was synced after {waited:?}");
    let ends_after = waited + Duration::from_millis(given_ms);
    assert!(ends_after < DEADLINE + SLACK, "{given_ms} ms after {waited:?}");
}
