//! Replicas that refuse requests and ask the box to back off.

use ravenspoke_core::route::backoff::BACKOFF_LIMIT_MS;
use ravenspoke_core::route::event::{AnswerHead, AttemptFailure, RefusalReason, RouteEvent};
use ravenspoke_core::time::BoxTime;

use crate::fixture::{
    ask, entry, head, is_refused, new_box, order_in, plan, ready_box, refusal_in, TestBox,
};

/// Backoff that a replica asks for, in milliseconds.
const BACKOFF_MS: u64 = 3_000;

/// Requests enough that each of two replicas gets some of them.
const REQUESTS: usize = 40;

/// A box with the replicas of these ids.
fn box_with(ids: &[&str]) -> TestBox {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    for id in ids {
        subject.put(entry(id, "v1"));
    }
    subject
}

/// The head of a refusal that asks for backoff.
fn refusing_head(backoff_ms: u64) -> AnswerHead {
    AnswerHead { backoff_ms: Some(backoff_ms), not_run: true, proven: false, ..head(503) }
}

/// Replica `a` refuses a request and asks for backoff.
fn back_off_a(subject: &mut TestBox, backoff_ms: u64) {
    for _ in 0..REQUESTS {
        let (ticket, order) = subject.sent(ask("/read/x"));
        if order.replica_id == "a" {
            subject.feed(RouteEvent::HeadReceived(ticket, refusing_head(backoff_ms)));
            return;
        }
    }
    panic!("no request went to the replica");
}

/// Whether the box sends any of many requests to replica `a`.
fn uses_a(subject: &mut TestBox) -> bool {
    (0..REQUESTS).any(|_| subject.sent(ask("/read/x")).1.replica_id == "a")
}

#[test]
fn a_replica_that_asked_to_back_off_gets_no_requests_until_it_ends() {
    let mut subject = ready_box();
    back_off_a(&mut subject, BACKOFF_MS);
    subject.now += BACKOFF_MS - 1;
    assert!(!uses_a(&mut subject));
    subject.now += 1;
    assert!(uses_a(&mut subject));
}

#[test]
fn a_shorter_backoff_does_not_end_a_longer_one_and_each_is_bounded() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/read/x"));
    let (other, _) = subject.sent(ask("/read/x"));
    for (ticket, backoff_ms) in [(ticket, u64::MAX), (other, 1)] {
        subject.feed(RouteEvent::HeadReceived(ticket, refusing_head(backoff_ms)));
    }
    subject.now += BACKOFF_LIMIT_MS - 1;
    subject.read_plan(Some(plan(1)));
    let used = (0..REQUESTS).map(|_| subject.sent(ask("/read/x")).1.replica_id);
    let used: std::collections::BTreeSet<String> = used.collect();
    assert_eq!(used.len(), 1, "one backs off: {used:?}");
    subject.now += 1;
    assert!(uses_a(&mut subject));
}

#[test]
fn with_all_replicas_backing_off_callers_get_a_retry_time_at_once() {
    let mut subject = box_with(&["a"]);
    let (ticket, _) = subject.sent(ask("/file/x"));
    let effects = subject.feed(RouteEvent::HeadReceived(ticket, refusing_head(700)));
    let first = refusal_in(&effects).expect("the request is refused");
    assert!(is_refused(first, 503, RefusalReason::ReplicasLimited));
    subject.now += 200;
    let refusal = subject.refused(ask("/file/x"));
    assert!(is_refused(refusal, 503, RefusalReason::ReplicasLimited));
    assert_eq!(refusal.retry_after_ms, Some(500));
}

#[test]
fn an_unwritten_request_moves_on_when_its_replica_backs_off() {
    let mut subject = box_with(&["a"]);
    let (first, _) = subject.sent(ask("/read/x"));
    let (second, _) = subject.sent(ask("/read/x"));
    subject.put(entry("b", "v1"));
    subject.feed(RouteEvent::HeadReceived(first, refusing_head(BACKOFF_MS)));
    assert!(!subject.state.may_write(second, BoxTime::from_millis(subject.now)));
    let effects = subject.feed(RouteEvent::AttemptFailed(second, AttemptFailure::Withdrawn));
    assert_eq!(order_in(&effects).expect("another replica gets it").replica_id, "b");
}
