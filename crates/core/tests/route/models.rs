//! Models of a route: which replicas they run on.

use std::collections::BTreeSet;

use ravenspoke_core::event::RequestTicket;
use ravenspoke_core::route::event::{
    AnswerHead, AttemptFailure, RouteAsk, RouteEffect, RouteEvent,
};
use ravenspoke_core::route::loads::BackendLoad;
use ravenspoke_core::route::parts::{ModelWork, FIRST_SHARE, SHARE_BOUNDS};

use crate::fixture::{ask, entry, head, new_box, order_in, plan, TestBox};

/// A box with `count` replicas before a route that leaves the model to the router.
fn box_with_models(count: usize) -> TestBox {
    let mut subject = new_box("box-1");
    let mut sized = plan(1);
    sized.routes[2].sizes = vec!["small".to_owned(), "large".to_owned()];
    subject.read_plan(Some(sized));
    for number in 0..count {
        subject.put(entry(&format!("i-{number}"), "v1"));
    }
    subject
}

/// Replicas that the small and the large model of 60 unsure answers ran on.
fn replicas_used(subject: &mut TestBox) -> (BTreeSet<String>, BTreeSet<String>) {
    let (mut small, mut large) = (BTreeSet::new(), BTreeSet::new());
    for affinity in 1..60 {
        let (ticket, first) =
            subject.sent(RouteAsk { affinity, any_model: true, ..ask("/chat/x") });
        small.insert(first.replica_id);
        let idle = Some(BackendLoad { running: 0, waiting: 0, slots: 4 });
        let unsure = AnswerHead { confidence: Some(3), load: idle, ..head(200) };
        let effects = subject.feed(RouteEvent::HeadCame(ticket, unsure));
        large.extend(order_in(&effects).map(|order| order.replica_id));
        let sure = AnswerHead { confidence: Some(99), ..unsure };
        subject.feed(RouteEvent::HeadCame(ticket, sure));
        subject.feed(RouteEvent::Finished(ticket));
    }
    (small, large)
}

#[test]
fn models_run_on_replicas_of_their_own() {
    let mut subject = box_with_models(20);
    let (small, large) = replicas_used(&mut subject);
    assert!(small.len() > 3 && large.len() > 8, "{small:?} {large:?}");
    assert!(small.is_disjoint(&large), "{small:?} {large:?}");
}

#[test]
fn few_replicas_are_not_parted() {
    let mut subject = box_with_models(3);
    let (small, large) = replicas_used(&mut subject);
    assert_eq!(small, large);
}

#[test]
fn a_part_that_is_full_gives_way() {
    let mut subject = box_with_models(10);
    let ask = RouteAsk { any_model: true, ..ask("/chat/x") };
    let used: BTreeSet<String> = (0..40).map(|_| subject.sent(ask.clone()).1.replica_id).collect();
    assert_eq!(used.len(), 10, "{used:?}");
}

#[test]
fn the_parts_follow_the_work() {
    let mut work = ModelWork::default();
    assert!((work.first_share() - FIRST_SHARE).abs() < 1e-9);
    for _ in 0..2_000 {
        work.add(0, 50.0);
        work.add(1, 50.0);
    }
    assert!((work.first_share() - 0.5).abs() < 0.02, "{}", work.first_share());
    for _ in 0..4_000 {
        work.add(1, 500.0);
    }
    assert_eq!(work.first_share(), SHARE_BOUNDS.0);
}

/// A request whose small model was unsure, sent to the large one: its second of three attempts.
fn asked_of_the_large_model(subject: &mut TestBox) -> RequestTicket {
    let (ticket, _) = subject.sent(RouteAsk { any_model: true, ..ask("/chat/x") });
    let unsure = AnswerHead { confidence: Some(3), ..head(200) };
    let order = order_in(&subject.feed(RouteEvent::HeadCame(ticket, unsure)));
    assert_eq!(order.expect("a larger model").model.as_deref(), Some("large"));
    ticket
}

#[test]
fn the_last_attempt_goes_to_the_small_model_where_the_large_one_is_silent_or_fails() {
    for broken in [true, false] {
        let mut subject = box_with_models(20);
        let ticket = asked_of_the_large_model(&mut subject);
        let event = match broken {
            true => RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken),
            false => RouteEvent::Paused(ticket),
        };
        let last = order_in(&subject.feed(event)).expect("a last attempt");
        assert_eq!((last.number, last.model.as_deref()), (3, Some("small")));
        let unsure = AnswerHead { confidence: Some(3), ..head(200) };
        let effects = subject.feed(RouteEvent::HeadCame(ticket, unsure));
        assert_eq!(effects, [RouteEffect::Relay(ticket)], "there is nothing better");
    }
}

#[test]
fn a_stream_that_the_caller_has_a_part_of_stays_with_its_model() {
    let mut subject = box_with_models(20);
    let ticket = asked_of_the_large_model(&mut subject);
    let sure = AnswerHead { confidence: Some(90), ..head(200) };
    subject.feed(RouteEvent::HeadCame(ticket, sure));
    let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    assert_eq!(order_in(&effects).expect("a last attempt").model.as_deref(), Some("large"));
}
