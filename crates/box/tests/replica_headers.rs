//! Tests of response headers by which replicas announce that they leave or request a backoff, with
//! a box as a process.

use std::path::Path;
use std::time::{Duration, Instant};

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::{ReplicaMode, ReplicaStandin};
use ravenspoke_standins::platform::site::{RunningSite, SITE_KEY};
use ravenspoke_standins::platform::site_box::SiteBox;

/// Time between two requests of callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Backoff that the replica requests.
const BACKOFF: Duration = Duration::from_secs(3);

/// Requests that arrive within this time after the announcement were already in flight.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Maximum number of requests that may reach a replica during its backoff.
const BACKOFF_REQUESTS_ALLOWED: usize = 2;

/// A box with two replicas, `i-first` and `i-second`.
async fn site_of_two() -> (RunningSite, SiteBox, ReplicaStandin, ReplicaStandin) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let first = site.start_replica("i-first", 3, 1).await;
    let second = site.start_replica("i-second", 3, 1).await;
    let subject = site.start_ready("box-1").await;
    wait_for("the box knows the replicas", || async {
        let state = subject.state().await?;
        (state["backends"].as_array()?.len() == 2).then_some(())
    })
    .await;
    (site, subject, first, second)
}

/// Sends requests for `length`; returns their statuses.
async fn send_requests_for(site: &RunningSite, subject: &SiteBox, length: Duration) -> Vec<u16> {
    let began = Instant::now();
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
    let mut statuses = Vec::new();
    while began.elapsed() < length {
        ticks.tick().await;
        let id = format!("r-{:?}-{}", began, statuses.len());
        let request = site.request(subject, "POST", "/read/x", &id).body("b");
        statuses.push(request.send().await.map_or(0, |response| response.status().as_u16()));
    }
    statuses
}

#[tokio::test]
async fn replica_gets_no_requests_after_its_response_announced_leaving() {
    let (site, subject, first, _second) = site_of_two().await;
    first.say_leaving();
    wait_for("a response that announces leaving", || async {
        send_requests_for(&site, &subject, REQUEST_INTERVAL).await;
        (!first.runs().is_empty()).then_some(())
    })
    .await;

    let before = first.runs().len();
    let statuses = send_requests_for(&site, &subject, Duration::from_secs(1)).await;

    assert_eq!(first.runs().len(), before, "the announcement counts before the store's entry");
    assert!(statuses.iter().all(|status| *status == 200), "the other replica takes all");
}

#[tokio::test]
async fn replica_gets_no_requests_during_its_requested_backoff() {
    let (site, subject, first, _second) = site_of_two().await;
    first.set_mode(ReplicaMode::Full);
    first.set_backoff(Some(BACKOFF.as_secs_f64()));

    let statuses = send_requests_for(&site, &subject, BACKOFF).await;

    let refusals = first.turned_away();
    let announced_at = *refusals.first().expect("it received one");
    let backoff = announced_at + IN_FLIGHT_TIME..announced_at + BACKOFF;
    let count = refusals.iter().filter(|at| backoff.contains(*at)).count();
    assert!(count <= BACKOFF_REQUESTS_ALLOWED, "{count} requests during its backoff");
    assert!(statuses.iter().all(|status| *status == 200), "the other replica takes all");
}
