//! Attempts that are kept while another place is asked for their request.

use ravenspoke_core::event::RequestTicket;
use ravenspoke_core::route::event::{
    AnswerHead, AttemptFailure, BegunAnswer, CallerRequest, FormerEnd, RefusalReason, RouteEffect,
    RouteEvent,
};
use ravenspoke_core::route::former::{ANSWER_OVERLAP_MS, OVERLAP_MS, PLACES_ASKED};

use crate::fixture::{ask, entry, head, order_in, plan, ready_box, TestBox};
use crate::forwards::{box_with_one_replica, introduce};

fn rejection() -> AnswerHead {
    AnswerHead { not_run: true, proven: false, ..head(503) }
}

/// A box with four replicas, one of which has begun to answer a stream, and enough traffic for a few
/// further attempts.
fn box_with_stream() -> (TestBox, RequestTicket, String) {
    let mut subject = ready_box();
    subject.put(entry("c", "v1"));
    subject.put(entry("d", "v1"));
    for _ in 0..100 {
        let (ticket, _) = subject.sent(ask("/read/x"));
        subject.feed(RouteEvent::ResponseFinished(ticket));
    }
    let (ticket, order) = subject.sent(ask("/chat/x"));
    assert_eq!(subject.feed(RouteEvent::HeadReceived(ticket, head(200))).len(), 1);
    (subject, ticket, order.replica_id)
}

/// Requests that a box has at a replica.
fn outstanding(subject: &TestBox, id: &str) -> u32 {
    let mut rows = subject.state.backends().rows();
    rows.find(|(_, row)| row.entry.id == id).expect("a row").1.outstanding
}

/// Guards against a stream that is cut because all other replicas are full while its own pauses.
#[test]
fn paused_stream_goes_on_where_it_was_when_other_replicas_reject_it() {
    let (mut subject, ticket, _) = box_with_stream();
    let mut effects = subject.feed(RouteEvent::AttemptStalled(ticket));
    let mut asked = 0;
    while let Some(order) = order_in(&effects) {
        asked += 1;
        assert_eq!(order.overlap_ms, Some(OVERLAP_MS));
        effects = subject.feed(RouteEvent::HeadReceived(ticket, rejection()));
    }

    assert_eq!(asked, PLACES_ASKED);
    assert_eq!(effects, [RouteEffect::KeepFormer(ticket)]);

    // Its own replica breaks then: no attempt and no replica has been used up.
    let broken = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    let order = order_in(&broken).expect("it is resumed elsewhere");
    assert_eq!((order.number, order.overlap_ms), (2, None));
}

#[test]
fn paused_stream_that_goes_on_needs_no_other_place() {
    let (mut subject, ticket, first) = box_with_stream();
    let second = order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).expect("asked");
    assert_ne!(second.replica_id, first);

    assert_eq!(subject.feed(RouteEvent::AttemptResumed(ticket)), []);

    assert_eq!((outstanding(&subject, &first), outstanding(&subject, &second.replica_id)), (1, 0));
}

/// A stream was cut although the only other replica was free: it had been asked in an earlier pause.
#[test]
fn place_that_was_not_needed_may_be_asked_again() {
    let (mut subject, ticket, first) = box_with_stream();
    for id in ["a", "b", "c", "d"].into_iter().filter(|id| *id != first).skip(1) {
        subject.drop_entry(id);
    }
    let second = order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).expect("asked");
    subject.feed(RouteEvent::AttemptResumed(ticket));

    let broken = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));

    let third = order_in(&broken).expect("it is resumed elsewhere");
    assert_eq!(third.replica_id, second.replica_id);
}

#[test]
fn paused_stream_moves_to_the_place_that_takes_it() {
    let (mut subject, ticket, first) = box_with_stream();
    let second = order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).expect("asked");

    let effects = subject.feed(RouteEvent::HeadReceived(ticket, head(200)));

    assert_eq!(effects, [RouteEffect::Relay(ticket)]);
    assert_eq!((outstanding(&subject, &first), outstanding(&subject, &second.replica_id)), (0, 1));
}

#[test]
fn former_attempt_that_breaks_leaves_the_request_at_the_place_that_was_asked() {
    let (mut subject, ticket, _) = box_with_stream();
    assert!(order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).is_some());
    assert_eq!(subject.feed(RouteEvent::FormerEnded(ticket, FormerEnd::Broken)), []);

    let effects = subject.feed(RouteEvent::HeadReceived(ticket, head(200)));

    assert_eq!(effects, [RouteEffect::Relay(ticket)]);
}

/// A box with three replicas and a request whose small model was unsure, sent to a large one.
fn box_with_unsure_answer() -> (TestBox, RequestTicket, Vec<RouteEffect>) {
    let mut subject = ready_box();
    subject.put(entry("c", "v1"));
    let mut sized = plan(2);
    sized.routes[0].sizes = vec!["small".to_owned(), "large".to_owned()];
    subject.read_plan(Some(sized));
    let (ticket, small) = subject.sent(CallerRequest { any_model: true, ..ask("/read/x") });
    assert_eq!(small.model.as_deref(), Some("small"));
    let unsure = AnswerHead { confidence: Some(0), ..head(200) };
    let effects = subject.feed(RouteEvent::HeadReceived(ticket, unsure));
    let large = order_in(&effects).expect("a larger model is asked");
    assert_eq!(
        (large.model.as_deref(), large.overlap_ms),
        (Some("large"), Some(ANSWER_OVERLAP_MS))
    );
    (subject, ticket, effects)
}

fn assert_ends_everywhere(mut subject: TestBox, ticket: RequestTicket) {
    subject.feed(RouteEvent::ResponseFinished(ticket));
    let mut rows = subject.state.backends().rows();
    assert!(rows.all(|(_, row)| row.outstanding == 0));
}

/// Guards against an answer that is given up for that of a larger model, which then is not to be had.
#[test]
fn answer_is_relayed_when_every_larger_model_rejects_the_request() {
    let (mut subject, ticket, mut effects) = box_with_unsure_answer();

    while order_in(&effects).is_some() {
        effects = subject.feed(RouteEvent::HeadReceived(ticket, rejection()));
    }

    assert_eq!(effects, [RouteEffect::KeepFormer(ticket)]);
    assert_ends_everywhere(subject, ticket);
}

#[test]
fn answer_is_relayed_when_the_larger_model_fails_at_once() {
    let (mut subject, ticket, _) = box_with_unsure_answer();

    let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));

    assert_eq!(effects, [RouteEffect::KeepFormer(ticket)]);
    assert_ends_everywhere(subject, ticket);
}

/// Guards against a call that loses its place in a replica's queue although all others are full.
#[test]
fn call_without_a_response_keeps_its_place_when_other_replicas_reject_it() {
    let (mut subject, _, _) = box_with_stream();
    let (ticket, _) = subject.sent(ask("/read/x"));
    let mut effects = subject.feed(RouteEvent::AttemptStalled(ticket));
    while order_in(&effects).is_some() {
        effects = subject.feed(RouteEvent::HeadReceived(ticket, rejection()));
    }

    assert_eq!(effects, [RouteEffect::KeepFormer(ticket)]);
    let effects = subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    assert_eq!(effects, [RouteEffect::Relay(ticket)]);
}

#[test]
fn place_that_fails_leaves_a_paused_stream_where_it_was() {
    for failure in [AttemptFailure::NeverSent, AttemptFailure::Broken] {
        let (mut subject, ticket, _) = box_with_stream();
        let mut effects = subject.feed(RouteEvent::AttemptStalled(ticket));
        while order_in(&effects).is_some() {
            effects = subject.feed(RouteEvent::AttemptFailed(ticket, failure));
        }
        assert!(effects.contains(&RouteEffect::KeepFormer(ticket)), "{failure:?}: {effects:?}");
    }
}

#[test]
fn deadline_ends_the_former_attempt_too() {
    let (mut subject, ticket, _) = box_with_stream();
    assert!(order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).is_some());

    let effects = subject.feed(RouteEvent::DeadlinePassed(ticket));

    let reason = RefusalReason::DeadlinePassed;
    assert_eq!(effects, [RouteEffect::AbortResponse(ticket, reason)]);
    let mut rows = subject.state.backends().rows();
    assert!(rows.all(|(_, row)| row.outstanding == 0));
}

/// A box with enough traffic for a few further attempts that lost its only replica, and forwarded a
/// stream, of which the caller has a part, to `box-2`, which has been silent since.
fn box_with_silent_peer() -> (TestBox, RequestTicket) {
    let mut subject = box_with_one_replica("box-1");
    introduce(&mut subject, "box-2");
    for _ in 0..100 {
        let (ticket, _) = subject.sent(ask("/read/x"));
        subject.feed(RouteEvent::ResponseFinished(ticket));
    }
    let (ticket, _) = subject.sent(ask("/chat/x"));
    let failed = RouteEvent::AttemptFailed(ticket, AttemptFailure::NeverSent);
    let order = order_in(&subject.feed(failed)).expect("it is forwarded");
    assert_eq!(order.replica_id, "box-2");
    let begun = Some(BegunAnswer { size: None, on_trial: false });
    let answer = AnswerHead { begun, ..head(200) };
    subject.feed(RouteEvent::HeadReceived(ticket, answer));
    subject.drop_entry("a");
    subject.now += 2_000;
    subject.read_plan(None);
    (subject, ticket)
}

/// A stream through a box that was not heard of ended when no replica could take it.
#[test]
fn stream_through_a_silent_box_is_kept_when_there_is_no_other_place() {
    let (mut subject, ticket) = box_with_silent_peer();

    let effects = subject.feed(RouteEvent::AttemptStalled(ticket));

    assert_eq!(effects, []);
}

/// A stream through a box that was not heard of ended when the replicas left were full.
#[test]
fn stream_through_a_silent_box_is_kept_when_other_replicas_reject_it() {
    let (mut subject, ticket) = box_with_silent_peer();
    for id in ["b", "c", "d"] {
        subject.put(entry(id, "v1"));
    }
    let mut effects = subject.feed(RouteEvent::AttemptStalled(ticket));
    let mut asked = 0;
    while let Some(order) = order_in(&effects) {
        asked += 1;
        assert_eq!(order.overlap_ms, Some(OVERLAP_MS));
        effects = subject.feed(RouteEvent::HeadReceived(ticket, rejection()));
    }

    assert_eq!((asked, effects), (PLACES_ASKED, vec![RouteEffect::KeepFormer(ticket)]));

    // The box breaks off then: the attempt that this one kept for itself has not been used.
    let broken = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    assert!(order_in(&broken).is_some(), "{broken:?}");
}

/// A stream through a box that was not heard of was moved although it went on.
#[test]
fn stream_through_a_silent_box_that_goes_on_needs_no_other_place() {
    let (mut subject, ticket) = box_with_silent_peer();
    subject.put(entry("b", "v1"));
    let next = order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).expect("asked");
    assert_eq!(next.overlap_ms, Some(OVERLAP_MS));

    assert_eq!(subject.feed(RouteEvent::AttemptResumed(ticket)), []);

    let is_idle = subject.state.backends().rows().all(|(_, row)| row.outstanding == 0);
    assert!(is_idle);
    assert_ends_everywhere(subject, ticket);
}

#[test]
fn stream_through_a_silent_box_moves_to_the_place_that_takes_it() {
    let (mut subject, ticket) = box_with_silent_peer();
    subject.put(entry("b", "v1"));
    assert!(order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).is_some());

    let effects = subject.feed(RouteEvent::HeadReceived(ticket, head(200)));

    assert_eq!(effects, [RouteEffect::Relay(ticket)]);
    assert_ends_everywhere(subject, ticket);
}
