//! Tests of answers that arrive a second time: none of them counts as the answer to another attempt.
//!
//! Boxes run as processes with stand-ins of the platform. Tests wait for conditions with a time
//! limit.

use std::path::Path;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::{NextAnswer, ReplicaStandin};
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
    replica.repeat_late();
    let subject = site.start_ready("box-1").await;
    wait_for("the box knows the replica", || async {
        (subject.state().await?["backends"].as_array()?.len() == 1).then_some(())
    })
    .await;
    (site, replica, subject)
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
