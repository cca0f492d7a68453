//! Orders for a service that follow each other while replicas of the earlier versions are still
//! listed.

use ravenspoke_core::route::event::{AttemptFailure, CallerRequest, RouteEffect, RouteEvent};
use ravenspoke_core::route::peers::{GossipMessage, TrialUpdate};
use ravenspoke_core::route::trial::{TrialOrder, TrialState, TrialVerdict};
use ravenspoke_core::route::trial_progress::TrialCheckpoint;
use ravenspoke_core::route::version_history::VersionHistory;
use ravenspoke_core::time::BoxTime;

use crate::fixture::{ask, entry, head, order_in, ready_box, serve, session, versions, TestBox};

fn order(version: &str) -> TrialOrder {
    TrialOrder { service: "pool".to_owned(), version: version.to_owned(), duration_ms: 10_000 }
}

fn verdict(version: &str, state: TrialState) -> TrialVerdict {
    TrialVerdict { service: "pool".to_owned(), version: version.to_owned(), state }
}

/// A box with two replicas of each of three versions.
fn box_of_three_versions() -> TestBox {
    let mut subject = ready_box();
    for (id, version) in [("c", "v2"), ("d", "v2"), ("e", "v3"), ("f", "v3")] {
        subject.put(entry(id, version));
    }
    subject
}

/// Such a box whose trial of `v2` ended in `state` and was followed by an order for `v3`.
fn box_after_trial(state: TrialState) -> TestBox {
    let mut subject = box_of_three_versions();
    subject.give_order(order("v2"));
    if state != TrialState::Running {
        subject.feed(RouteEvent::VerdictStored(verdict("v2", state)));
    }
    subject.give_order(order("v3"));
    subject
}

/// A rolled-back version got half of the requests from the next order on, until its replicas left.
#[test]
fn rolled_back_version_gets_no_requests_after_the_next_order() {
    let mut subject = box_after_trial(TrialState::RolledBack);

    let served = versions(&mut subject);

    assert_eq!(served, ["v1"]);
}

/// Replicas that were stopped when the next version was accepted got requests from the order after
/// it on.
#[test]
fn versions_before_the_accepted_one_get_no_requests_after_the_next_order() {
    let mut subject = box_after_trial(TrialState::Done);

    let served = versions(&mut subject);

    assert_eq!(served, ["v2"]);
}

/// Sessions went back and forth between the old version and one whose order was replaced.
#[test]
fn version_whose_order_was_replaced_before_its_verdict_gets_no_requests() {
    let mut subject = box_after_trial(TrialState::Running);

    let served = versions(&mut subject);

    assert_eq!(served, ["v1"]);
}

#[test]
fn rolled_back_version_is_not_used_when_the_old_one_is_gone() {
    let mut subject = box_after_trial(TrialState::RolledBack);
    subject.drop_entry("a");
    subject.drop_entry("b");

    let served = serve(&mut subject, 1);

    assert_eq!(served, "v3");
}

#[test]
fn earlier_version_serves_when_the_accepted_one_is_gone() {
    let mut subject = box_after_trial(TrialState::Done);
    for id in ["c", "d", "e", "f"] {
        subject.drop_entry(id);
    }

    let served = versions(&mut subject);

    assert_eq!(served, ["v1"]);
}

#[test]
fn order_for_the_version_that_was_accepted_is_done_at_once() {
    let mut subject = box_after_trial(TrialState::Done);
    subject.feed(RouteEvent::VerdictStored(verdict("v3", TrialState::RolledBack)));

    subject.give_order(order("v2"));

    assert_eq!(written(&subject.feed(RouteEvent::Tick)), Some(verdict("v2", TrialState::Done)));
    assert_eq!(versions(&mut subject), ["v2"]);
}

/// Verdict that is written to the store.
fn written(effects: &[RouteEffect]) -> Option<TrialVerdict> {
    effects.iter().find_map(|effect| match effect {
        RouteEffect::WriteVerdict(verdict) => Some(verdict.clone()),
        _ => None,
    })
}

/// A box that was started after the next order took the rolled-back version for the old one.
#[test]
fn started_box_learns_from_gossip_what_came_of_earlier_orders() {
    let mut subject = box_of_three_versions();
    subject.give_order(order("v3"));
    let history = history_after_trial(TrialState::RolledBack);
    let (service, version) = ("pool".to_owned(), "v3".to_owned());
    let trials = vec![TrialUpdate { service, version, history, ..TrialUpdate::default() }];
    let name = "box-9".to_owned();
    let message = GossipMessage { name, number: 1, trials, ..GossipMessage::default() };

    subject.feed(RouteEvent::GossipReceived(Box::new(message)));

    assert_eq!(versions(&mut subject), ["v1"]);
}

/// After a loss of all boxes, a rolled-back version was taken for the old one.
#[test]
fn started_box_learns_from_the_checkpoint_what_came_of_earlier_orders() {
    let mut other = box_after_trial(TrialState::RolledBack);
    let mut subject = box_of_three_versions();
    subject.give_order(order("v3"));
    other.now += 1_000;
    let checkpoints = checkpoints_in(&other.feed(RouteEvent::Tick));

    let asked_at = BoxTime::from_millis(subject.now);
    subject.feed(RouteEvent::CheckpointsRead { asked_at, checkpoints });

    assert_eq!(versions(&mut subject), ["v1"]);
}

/// History of a box whose trial of `v2` ended in `state` and was followed by an order for `v3`.
fn history_after_trial(state: TrialState) -> VersionHistory {
    let other = box_after_trial(state);
    other.state.dump(BoxTime::from_millis(other.now)).trials[0].history.clone()
}

/// Checkpoints that are written to the store.
fn checkpoints_in(effects: &[RouteEffect]) -> Vec<TrialCheckpoint> {
    let checkpoint = |effect: &RouteEffect| match effect {
        RouteEffect::WriteCheckpoint(checkpoint) => Some(checkpoint.clone()),
        _ => None,
    };
    effects.iter().filter_map(checkpoint).collect()
}

/// A box in the second half of the trial of `v2`, and a session that the version takes.
fn box_in_second_half() -> (TestBox, u64) {
    let mut subject = box_of_three_versions();
    subject.give_order(order("v2"));
    subject.now += 5_500;
    subject.read_plan(None);
    subject.feed(RouteEvent::Tick);
    let moved = (1..).find(|number| serve(&mut subject, *number) == "v2");
    (subject, session(moved.expect("a session that is moved")))
}

/// Responses that count for the version on trial, and the bad ones among them.
fn counted(subject: &TestBox) -> (f64, f64) {
    subject.state.dump(BoxTime::from_millis(subject.now)).trials[0].answers()
}

/// A good version was rolled back for the last answers of the bad one before it.
#[test]
fn answer_of_an_attempt_before_the_next_order_does_not_count_for_its_version() {
    let (mut subject, session) = box_in_second_half();
    let (ticket, sent) = subject.sent(CallerRequest { session, ..ask("/file/x") });
    subject.feed(RouteEvent::VerdictStored(verdict("v2", TrialState::RolledBack)));
    subject.now += 100;
    subject.give_order(order("v3"));

    subject.feed(RouteEvent::HeadReceived(ticket, head(500)));

    assert_eq!(sent.version, "v2");
    assert_eq!(counted(&subject), (0.0, 0.0));
}

/// As above, for answers that were lost before the next order.
#[test]
fn answer_lost_before_the_next_order_does_not_count_for_its_version() {
    let (mut subject, session) = box_in_second_half();
    let (ticket, sent) = subject.sent(CallerRequest { session, ..ask("/file/x") });
    subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    subject.now += 100;
    subject.give_order(order("v3"));

    subject.now += 6_000;
    subject.feed(RouteEvent::Tick);

    assert_eq!(sent.version, "v2");
    assert_eq!(counted(&subject), (0.0, 0.0));
}

/// The rest of a stream went to the next version before that took any session.
#[test]
fn stream_of_an_accepted_version_is_resumed_by_it_after_the_next_order() {
    let (mut subject, session) = box_in_second_half();
    let (ticket, first) = subject.sent(CallerRequest { session, ..ask("/chat/x") });
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    subject.feed(RouteEvent::VerdictStored(verdict("v2", TrialState::Done)));
    subject.give_order(order("v3"));

    let failed = RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken);
    let next = order_in(&subject.feed(failed)).expect("another replica resumes it");

    assert_eq!((first.version.as_str(), next.version.as_str()), ("v2", "v2"));
}
