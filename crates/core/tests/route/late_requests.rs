//! Requests that arrive at a box which stops, and that may not end before it exits.

use ravenspoke_core::route::event::{RefusalReason, RouteEvent};
use ravenspoke_core::route::RouteSettings;

use crate::fixture::{
    ask, entry, head, is_refused, new_box, new_box_with, order_in, plan, refusal_in, settings,
    TestBox,
};
use crate::membership::deliver_gossip;

/// Time from the begin of a stop to the end of the last requests, in milliseconds.
const DRAIN_MS: u64 = 5_000;

/// How long calls take, in milliseconds.
const CALL_MS: u64 = 3_000;

/// Requests from which a box learns how long they take.
const SAMPLES: usize = 5;

/// A box that has served this many calls.
fn box_after_calls(samples: usize) -> TestBox {
    let mut subject = new_box_with(RouteSettings { drain_ms: DRAIN_MS, ..settings("box-1") });
    subject.read_plan(Some(plan(1)));
    subject.put(entry("a", "v1"));
    for _ in 0..samples {
        let (ticket, _) = subject.sent(ask("/file/x"));
        subject.now += CALL_MS;
        subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
        subject.feed(RouteEvent::ResponseFinished(ticket));
        subject.read_plan(None);
    }
    subject
}

/// Stops the box, and lets `after_ms` pass. Another box serves all the while, if `has_other`.
fn stop(subject: &mut TestBox, after_ms: u64, has_other: bool) {
    subject.feed(RouteEvent::StopRequested);
    subject.now += after_ms;
    if has_other {
        let mut other = new_box("box-2");
        other.now = subject.now - 500;
        other.read_plan(Some(plan(1)));
        other.put(entry("a", "v1"));
        deliver_gossip(&mut other, subject);
    }
    subject.read_plan(None);
}

#[test]
fn request_that_usually_ends_after_the_exit_is_refused() {
    let mut subject = box_after_calls(SAMPLES);
    stop(&mut subject, 2_200, true);

    let (_, effects) = subject.arrive(ask("/file/x"));

    let refusal = refusal_in(&effects).expect("it is refused");
    assert!(is_refused(refusal, 503, RefusalReason::BoxStopping), "{refusal:?}");
}

#[test]
fn request_that_usually_ends_before_the_exit_is_taken() {
    let mut subject = box_after_calls(SAMPLES);
    stop(&mut subject, 1_900, true);

    let (_, effects) = subject.arrive(ask("/file/x"));

    assert!(order_in(&effects).is_some(), "{effects:?}");
}

#[test]
fn late_request_of_unknown_duration_is_taken() {
    let mut subject = box_after_calls(SAMPLES - 1);
    stop(&mut subject, 2_200, true);

    let (_, effects) = subject.arrive(ask("/file/x"));

    assert!(order_in(&effects).is_some(), "{effects:?}");
}

#[test]
fn stream_is_not_judged_by_the_duration_of_calls() {
    let mut subject = box_after_calls(SAMPLES);
    stop(&mut subject, 2_200, true);

    let (_, effects) = subject.arrive(ask("/chat/x"));

    assert!(order_in(&effects).is_some(), "{effects:?}");
}

#[test]
fn late_request_is_taken_while_no_other_box_serves() {
    let mut subject = box_after_calls(SAMPLES);
    stop(&mut subject, 2_200, false);

    let (_, effects) = subject.arrive(ask("/file/x"));

    assert!(order_in(&effects).is_some(), "{effects:?}");
}

#[test]
fn request_that_has_not_ended_at_the_exit_may_have_run() {
    let mut subject = box_after_calls(0);
    let (ticket, _) = subject.sent(ask("/file/x"));

    let effects = subject.feed(RouteEvent::StopEnding(ticket));

    let refusal = refusal_in(&effects).expect("it is refused");
    assert!(is_refused(refusal, 502, RefusalReason::BoxStopping), "{refusal:?}");
    assert_eq!(subject.state.in_flight(), 0);
}
