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
use serde_json::json;

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
