//! Tests of rollouts with boxes as processes: a session keeps its version, whichever boxes restart.
//!
//! In the second half of a rollout, restarted boxes moved sessions from the new version back to the
//! old one, and all boxes did so once all had restarted. The age of an order and the progress of
//! its rollout were known to running processes only: a starting box served callers for up to half a
//! second before it received them from another box, and if no box survived, they were lost. The log
//! line `trial_share_moved` with `share=0.2` came 0.2 s after the first `request_sent` of a
//! restarted box; after a kill of all boxes it came later by half of the order's duration.

use std::path::Path;
use std::time::{Duration, Instant};

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::ReplicaStandin;
use ravenspoke_standins::platform::site::{
    own_address, RunningSite, OPERATOR_TOPIC, REPLICA_TOPIC, ROLLOUT_KEY, SITE_KEY, SITE_SERVICE,
    STATUS_TOPIC,
};
use ravenspoke_standins::platform::site_box::SiteBox;
use ravenspoke_standins::platform::store::{StoreFaults, StoreOutage};
use serde_json::{json, Value};

/// Duration of the order, in seconds. Its second half is long enough for a box to start in it.
const ORDER_S: u64 = 9;

/// Number of sessions. A fifth of them, eight, go to the new version at first.
const SESSIONS: usize = 40;

/// A site with a replica of each version, and an order to roll out the new one.
async fn site_in_rollout() -> (RunningSite, [ReplicaStandin; 2], [SiteBox; 2]) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let old = start_replica(&site, "old", "v1").await;
    let new = start_replica(&site, "new", "v2").await;
    let boxes = [site.start_ready("box-1").await, site.start_ready("box-2").await];
    let order = json!({ "service": SITE_SERVICE, "target_version": "v2", "duration_s": ORDER_S });
    site.store.put(OPERATOR_TOPIC, ROLLOUT_KEY, &order);
    for subject in &boxes {
        wait_for("the box knows the order", || async {
            (subject.state().await?["trials"][0]["looked"] == true).then_some(())
        })
        .await;
    }
    (site, [old, new], boxes)
}

async fn start_replica(site: &RunningSite, id: &str, version: &str) -> ReplicaStandin {
    let replica = ReplicaStandin::start(own_address(), id, 3, 1).await;
    site.store.put(REPLICA_TOPIC, id, &replica.entry(SITE_SERVICE, version, "ready"));
    replica
}

/// For each session, whether its request is answered by the new version.
async fn moved_sessions(site: &RunningSite, to: &SiteBox) -> Vec<bool> {
    let mut moved = Vec::new();
    for number in 0..SESSIONS {
        let request = site.request(to, "POST", "/read/x", &format!("r{number}")).body("b");
        let request = request.header("Session", format!("session-{number}"));
        let answer = request.send().await.expect("an answer");
        let body = answer.text().await.expect("a body");
        moved.push(body.starts_with("new answers"));
    }
    moved
}

/// Waits until the box has moved sessions, and until boxes have had the time to gossip that.
async fn wait_until_moved(site: &RunningSite, subject: &SiteBox) -> Vec<bool> {
    wait_for("sessions are moved", || async {
        moved_sessions(site, subject).await.contains(&true).then_some(())
    })
    .await;
    let moved_at = Instant::now();
    wait_for("the move is gossiped", || {
        std::future::ready((moved_at.elapsed() > Duration::from_millis(600)).then_some(()))
    })
    .await;
    let moved = moved_sessions(site, subject).await;
    assert!(moved.contains(&true) && moved.contains(&false), "a share is moved: {moved:?}");
    moved
}

/// Sessions that were on the new version before and no longer are.
fn moved_back(before: &[bool], after: &[bool]) -> Vec<usize> {
    (0..before.len()).filter(|number| before[*number] && !after[*number]).collect()
}

#[tokio::test]
async fn box_started_during_a_rollout_keeps_sessions_on_the_new_version() {
    let (site, _replicas, [first, mut second]) = site_in_rollout().await;
    let before = wait_until_moved(&site, &first).await;

    second.kill();
    second.restart();
    wait_for("the box is ready", || async { second.ready().await.then_some(()) }).await;

    let after = moved_sessions(&site, &second).await;
    assert_eq!(moved_back(&before, &after), [0; 0]);
}

#[tokio::test]
async fn rollout_continues_after_all_boxes_are_killed() {
    let (site, _replicas, [mut first, mut second]) = site_in_rollout().await;
    let before = wait_until_moved(&site, &first).await;

    first.kill();
    second.kill();
    first.restart();
    second.restart();
    wait_for("the box is ready", || async { second.ready().await.then_some(()) }).await;

    let after = moved_sessions(&site, &second).await;
    assert_eq!(moved_back(&before, &after), [0; 0]);
    wait_for("the version is taken over in its time", || async {
        let status = site.store.newest(STATUS_TOPIC, ROLLOUT_KEY)?;
        moved_sessions(&site, &second).await;
        (status["state"] == "done").then_some(())
    })
    .await;
}

/// Duration of orders that nobody waits to be accepted, in seconds.
const SHORT_ORDER_S: u64 = 2;

fn status(version: &str, state: &str) -> Value {
    json!({ "service": SITE_SERVICE, "target_version": version, "state": state })
}

fn order(version: &str, duration_s: u64) -> Value {
    json!({ "service": SITE_SERVICE, "target_version": version, "duration_s": duration_s })
}

/// A site with a box that has written the status of an order for `v2`, whose replicas are missing.
async fn site_with_unserved_order() -> (RunningSite, ReplicaStandin, SiteBox) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let old = start_replica(&site, "old", "v1").await;
    let subject = site.start_ready("box-1").await;
    site.store.put(OPERATOR_TOPIC, ROLLOUT_KEY, &order("v2", SHORT_ORDER_S));
    wait_for_status(&site, &status("v2", "running")).await;
    (site, old, subject)
}

/// Makes the store refuse to tell of orders, and waits until the box has met that. A record of no
/// meaning ends the read that waits for orders.
async fn shut_out_from_orders(site: &RunningSite, subject: &SiteBox) {
    site.store.set_faults(StoreFaults {
        outage: StoreOutage::Busy,
        topics: [OPERATOR_TOPIC.to_owned()].into(),
        ..StoreFaults::default()
    });
    site.store.put(OPERATOR_TOPIC, "note", &json!({}));
    wait_for("the box has met the fault", || {
        let lost = subject.events("store_lost");
        std::future::ready(lost.iter().any(|event| event["topic"] == OPERATOR_TOPIC).then_some(()))
    })
    .await;
}

async fn wait_for_status(site: &RunningSite, status: &Value) {
    wait_for("the status is written", || {
        let newest = site.store.newest(STATUS_TOPIC, ROLLOUT_KEY);
        std::future::ready((newest.as_ref() == Some(status)).then_some(()))
    })
    .await;
}

/// A box that had not heard of the next order wrote the end of its own over the status of that one,
/// which nobody then wrote again.
#[tokio::test]
async fn status_of_a_replaced_order_is_not_written_over_that_of_the_next() {
    let (site, _old, subject) = site_with_unserved_order().await;
    shut_out_from_orders(&site, &subject).await;
    site.store.put(OPERATOR_TOPIC, ROLLOUT_KEY, &order("v3", 600));
    let next = status("v3", "running");
    site.store.put(STATUS_TOPIC, ROLLOUT_KEY, &next);

    wait_for("the box has tried to end its order", || async {
        moved_sessions(&site, &subject).await;
        let due = subject.events("verdict_due");
        let tries = due.iter().filter(|event| event["state"] == "RolledBack").count();
        let is_written = site.store.newest(STATUS_TOPIC, ROLLOUT_KEY)? != next;
        (tries > 1 || is_written).then_some(())
    })
    .await;

    assert_eq!(site.store.newest(STATUS_TOPIC, ROLLOUT_KEY), Some(next));
}

#[tokio::test]
async fn status_of_the_next_order_replaces_that_of_the_former() {
    let (site, _old, _subject) = site_with_unserved_order().await;

    site.store.put(OPERATOR_TOPIC, ROLLOUT_KEY, &order("v3", 600));

    wait_for_status(&site, &status("v3", "running")).await;
}

/// A box that knew a new version's replicas before its order sent them sessions, which went back to
/// the old version once it knew the order.
#[tokio::test]
async fn replica_known_before_its_order_gets_no_sessions() {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let _old = start_replica(&site, "old", "v1").await;
    let subject = site.start_ready("box-1").await;
    shut_out_from_orders(&site, &subject).await;
    site.store.put(OPERATOR_TOPIC, ROLLOUT_KEY, &order("v2", 600));

    let _new = start_replica(&site, "new", "v2").await;
    wait_for("the box knows the new replica", || async {
        (subject.state().await?["backends"].as_array()?.len() == 2).then_some(())
    })
    .await;

    assert_eq!(moved_sessions(&site, &subject).await, [false; SESSIONS]);
}
