//! Replicas that say in an answer that they leave: the box that got it, and those that it tells.

use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::event::{AnswerHead, RouteEffect, RouteEvent};
use ravenspoke_core::route::peers::{GossipMessage, PeerInfo};

use crate::fixture::{ask, at, entry, gossip_in, head, ready_box, TestBox};

/// Requests of which some would go to a replica of two, by chance.
const REQUESTS: usize = 40;

fn note_of_other(number: u64, changes: Vec<BackendChange>) -> RouteEvent {
    let info = PeerInfo { gossip_address: "box-2:90".to_owned(), ..PeerInfo::default() };
    let note = GossipMessage {
        name: "box-2".to_owned(),
        number,
        info,
        changes,
        ..GossipMessage::default()
    };
    RouteEvent::GossipReceived(Box::new(note))
}

/// A box whose replica `a` has just said that it leaves, and the note that follows.
fn box_that_was_told() -> (TestBox, GossipMessage) {
    let mut subject = ready_box();
    subject.feed(note_of_other(1, Vec::new()));
    for _ in 0..REQUESTS {
        let (ticket, order) = subject.sent(ask("/read/x"));
        let leaving = order.replica_id == "a";
        let effects =
            subject.feed(RouteEvent::HeadReceived(ticket, AnswerHead { leaving, ..head(200) }));
        if leaving {
            let said = |effect: &RouteEffect| matches!(effect, RouteEffect::LeavingReported(id) if id == "a");
            assert!(effects.iter().any(said));
            let note = gossip_in(&subject.feed(RouteEvent::Tick)).expect("a note at once");
            return (subject, note);
        }
    }
    panic!("no request went to the replica");
}

/// Whether the box sends any of many requests to replica `a`.
fn uses_a(subject: &mut TestBox) -> bool {
    (0..REQUESTS).any(|_| subject.sent(ask("/read/x")).1.replica_id == "a")
}

#[test]
fn a_replica_gets_nothing_after_it_said_that_it_leaves_whatever_the_store_says() {
    let (mut subject, _) = box_that_was_told();
    assert!(!uses_a(&mut subject));
    subject.put(BackendEntry { cold_ms: 5, ..entry("a", "v1") });
    assert!(!uses_a(&mut subject), "the store's word is older than the replica's own");
}

#[test]
fn boxes_that_are_told_that_a_replica_leaves_send_nothing_there_and_tell_it_on() {
    let (_, note) = box_that_was_told();
    let mut other = ready_box();
    let effects = other.feed(note_of_other(1, note.changes.clone()));
    let news =
        |effect: &RouteEffect| matches!(effect, RouteEffect::BackendLeaving(id) if id == "a");
    assert!(effects.iter().any(news));
    assert!(!uses_a(&mut other));
    let told = gossip_in(&other.feed(RouteEvent::Tick)).expect("a note at once").changes;
    assert!(told.iter().any(|change| change.id == "a"));
}

#[test]
fn a_leaving_mark_counts_however_old_its_entry_is_but_not_for_another_life() {
    let mut subject = ready_box();
    subject.put(BackendEntry { born: Some(2), ..entry("a", "v1") });
    let mark = |born| {
        let entry = BackendEntry { born, leaving: true, ..entry("a", "v1") };
        vec![BackendChange { id: "a".to_owned(), at: at(1), entry: Some(entry) }]
    };
    subject.feed(note_of_other(1, mark(Some(1))));
    assert!(uses_a(&mut subject), "a former life left");
    subject.feed(note_of_other(2, mark(Some(2))));
    assert!(!uses_a(&mut subject));
}

#[test]
fn another_replica_at_the_address_says_nothing_of_the_one_that_was_asked() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/read/x"));
    let answer = AnswerHead { leaving: true, other_replica: true, ..head(421) };
    let effects = subject.feed(RouteEvent::HeadReceived(ticket, answer));
    assert!(!effects.iter().any(|effect| matches!(effect, RouteEffect::LeavingReported(_))));
}
