//! Tests of answers that arrive a second time: none of them counts as the answer to another attempt.
//!
//! Boxes run as processes with stand-ins of the platform. Tests wait for conditions with a time
//! limit.

use std::collections::HashMap;
use std::path::Path;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::{NextAnswer, ReplicaMode, ReplicaStandin};
use ravenspoke_standins::platform::site::{RunningSite, SITE_KEY};
use ravenspoke_standins::platform::site_box::SiteBox;

/// Rejections after which a box refuses a call, one of which is a second copy.
const REJECTIONS_LEFT: usize = 3;

/// A site whose boxes let rejected calls wait, one replica that sends its answers twice, and a box.
async fn site_with_repeating_replica() -> (RunningSite, ReplicaStandin, SiteBox) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.contracts = vec!["pressure"];
    site.write_plan(1, &[SITE_KEY]);
    let replica = site.start_replica("i-1", 3, 1).await;
    replica.repeat_late(true);
    let subject = site.start_ready("box-1").await;
    wait_for("the box knows the replica", || async {
        (subject.state().await?["backends"].as_array()?.len() == 1).then_some(())
    })
    .await;
    (site, replica, subject)
}

/// Boxes, replicas and callers of a fleet under load, and the calls of a caller.
const BOXES: usize = 3;
const REPLICAS: usize = 3;
const CALLERS: usize = 8;
const CALLS: usize = 40;

/// Share of the requests that a replica rejects.
const REJECTED_SHARE: f64 = 0.5;

/// Requests whose rejection is decided beforehand, more than a replica gets.
const DECIDED: usize = 20_000;

/// Seeds of the rejections.
const SEEDS: [u64; 3] = [1, 2, 3];

/// A site with replicas that reject drawn requests and send each answer twice, and its boxes.
async fn fleet_with_repeating_replicas(
    seed: u64,
) -> (RunningSite, Vec<ReplicaStandin>, Vec<SiteBox>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.contracts = vec!["pressure"];
    site.write_plan(1, &[SITE_KEY]);
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let replica = site.start_replica(&format!("i-{number}"), 3, 1).await;
        replica.repeat_late(true);
        replica.answer_next((0..DECIDED).map(|_| match rng.gen_bool(REJECTED_SHARE) {
            true => NextAnswer::Reject,
            false => NextAnswer::Run,
        }));
        replicas.push(replica);
    }
    let mut boxes = Vec::new();
    for number in 0..BOXES {
        boxes.push(site.start_ready(&format!("box-{number}")).await);
    }
    for subject in &boxes {
        wait_for("the box knows the replicas", || async {
            (subject.state().await?["backends"].as_array()?.len() == REPLICAS).then_some(())
        })
        .await;
    }
    (site, replicas, boxes)
}

/// Lets callers send their calls, each to all boxes in turn. Returns the status of each id.
async fn send_calls(site: &RunningSite, boxes: &[SiteBox]) -> HashMap<String, u16> {
    let callers = (0..CALLERS).map(|caller| async move {
        let mut statuses = Vec::new();
        for call in 0..CALLS {
            let id = format!("c{caller}-{call}");
            let subject = &boxes[(caller + call) % BOXES];
            statuses.push((id.clone(), call_once(site, subject, &id).await));
        }
        statuses
    });
    futures_util::future::join_all(callers).await.into_iter().flatten().collect()
}

/// Sends a call that may run once, and returns its status.
async fn call_once(site: &RunningSite, subject: &SiteBox, id: &str) -> u16 {
    let request = site.request(subject, "POST", "/file/x", id).body("b");
    request.send().await.expect("an answer").status().as_u16()
}

/// Guards against a second copy of a rejection that is taken for the rejection of the next attempt.
#[tokio::test]
async fn call_runs_once_where_its_rejection_arrives_twice() {
    let (site, replica, subject) = site_with_repeating_replica().await;
    replica.answer_next([NextAnswer::Reject, NextAnswer::Run]);

    let status = call_once(&site, &subject, "r1").await;

    assert_eq!((status, replica.runs().len()), (200, 1));
}

/// Guards against a refusal as not run that counts a second copy among the rejections.
#[tokio::test]
async fn refused_call_has_not_run_where_its_rejection_arrives_twice() {
    let (site, replica, subject) = site_with_repeating_replica().await;
    let later = [NextAnswer::Reject; REJECTIONS_LEFT];
    replica.answer_next([NextAnswer::Reject, NextAnswer::Run].into_iter().chain(later));

    let status = call_once(&site, &subject, "r1").await;

    assert_eq!((status, replica.runs().len()), (200, 1));
}

/// Guards against an answer to an earlier request of a caller that uses an id again.
#[tokio::test]
async fn request_with_a_used_id_gets_its_own_answer() {
    let (site, replica, subject) = site_with_repeating_replica().await;
    assert_eq!(call_once(&site, &subject, "r1").await, 200);

    replica.set_mode(ReplicaMode::Failing);
    let status = call_once(&site, &subject, "r1").await;

    assert_eq!((status, replica.runs().len()), (500, 2));
}

/// Guards the same promises for calls from several boxes at once, over drawn rejections.
#[tokio::test]
async fn promises_hold_where_replicas_reject_often_and_repeat_answers() {
    for seed in SEEDS {
        let (site, replicas, boxes) = fleet_with_repeating_replicas(seed).await;

        let statuses = send_calls(&site, &boxes).await;

        let mut runs: HashMap<String, usize> = HashMap::new();
        for run in replicas.iter().flat_map(ReplicaStandin::runs) {
            *runs.entry(run.id).or_default() += 1;
        }
        let runs_of = |id: &str| runs.get(id).copied().unwrap_or(0);
        let twice = statuses.keys().filter(|id| runs_of(id) > 1).count();
        let refused = |(id, status): &(&String, &u16)| **status == 503 && runs_of(id) > 0;
        let refused = statuses.iter().filter(refused).count();
        assert_eq!((twice, refused), (0, 0), "seed {seed}: ran twice, ran though refused");
        let served = statuses.values().filter(|status| **status == 200).count();
        assert!(served > CALLERS * CALLS / 4, "seed {seed}: {served} calls are served");
    }
}
