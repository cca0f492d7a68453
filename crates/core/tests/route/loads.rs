//! What boxes tell each other of replicas' loads.

use ravenspoke_core::route::backend::backend_hash;
use ravenspoke_core::route::backend_health::UNREACHABLE_DELAY_MS;
use ravenspoke_core::route::event::{AnswerHead, AttemptFailure, CallerRequest, RouteEvent};
use ravenspoke_core::route::loads::{BackendLoad, LoadUpdate};
use ravenspoke_core::route::peers::GossipMessage;
use ravenspoke_core::time::BoxTime;

use crate::fixture::{ask, gossip_in, head, ready_box, TestBox};

/// The replica that holds the parts of `affinity`, as this box sends a first request for them.
fn holder(subject: &mut TestBox, affinity: u64) -> String {
    let (ticket, order) = subject.sent(CallerRequest { affinity, ..ask("/chat/x") });
    subject.feed(RouteEvent::CallerDisconnected(ticket));
    subject.now += 60_000;
    subject.read_plan(None);
    order.replica_id
}

fn note_of_loads(loads: Vec<LoadUpdate>) -> RouteEvent {
    RouteEvent::GossipReceived(Box::new(GossipMessage {
        name: "box-9".to_owned(),
        number: 1,
        loads,
        ..GossipMessage::default()
    }))
}

#[test]
fn a_replica_that_another_box_found_full_is_passed_over_for_its_parts() {
    let mut subject = ready_box();
    let full = holder(&mut subject, 9);
    let load = LoadUpdate { replica: backend_hash(&full), load: 40, waiting: 9, age_ms: 100 };
    subject.feed(note_of_loads(vec![load]));
    let (_, order) = subject.sent(CallerRequest { affinity: 9, ..ask("/chat/x") });
    assert_ne!(order.replica_id, full);
}

#[test]
fn an_older_word_on_a_load_changes_nothing() {
    let mut subject = ready_box();
    let full = holder(&mut subject, 9);
    let (ticket, _) = subject.sent(CallerRequest { affinity: 9, ..ask("/chat/x") });
    let idle = BackendLoad { running: 0, waiting: 0, slots: 4 };
    subject.feed(RouteEvent::HeadReceived(ticket, AnswerHead { load: Some(idle), ..head(200) }));
    subject.feed(RouteEvent::ResponseFinished(ticket));
    subject.now += 100;
    let load = LoadUpdate { replica: backend_hash(&full), load: 40, waiting: 9, age_ms: 200 };
    subject.feed(note_of_loads(vec![load]));
    let (_, order) = subject.sent(CallerRequest { affinity: 9, ..ask("/chat/x") });
    assert_eq!(order.replica_id, full);
}

#[test]
fn a_busy_replicas_load_is_told_and_told_on_with_its_age_and_an_idle_ones_is_not() {
    let mut subject = ready_box();
    let load = LoadUpdate { replica: backend_hash("a"), load: 30, waiting: 5, age_ms: 300 };
    subject.feed(note_of_loads(vec![load]));
    let (ticket, order) = subject.sent(ask("/chat/x"));
    assert_eq!(order.replica_id, "b");
    let idle = BackendLoad { running: 1, waiting: 0, slots: 4 };
    subject.feed(RouteEvent::HeadReceived(ticket, AnswerHead { load: Some(idle), ..head(200) }));
    subject.now += 500;
    let note = gossip_in(&subject.feed(RouteEvent::Tick)).expect("a note");
    assert_eq!(note.loads, [LoadUpdate { age_ms: 800, ..load }]);
    subject.now += 500;
    let note = gossip_in(&subject.feed(RouteEvent::Tick)).expect("a note");
    assert_eq!(note.loads, [], "it is too old to help");
}

/// A crash takes many replicas away at the same moment. They look idle, so each box would give each of them a request.
#[test]
fn a_replica_that_one_box_can_not_reach_is_passed_over_by_others_unless_it_has_answered_since() {
    let mut teller = ready_box();
    teller.feed(RouteEvent::PeersDiscovered(vec!["box-2:90".to_owned()]));
    let (ticket, order) = teller.sent(ask("/read/x"));
    teller.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::NeverSent));
    teller.now += UNREACHABLE_DELAY_MS;
    let note = gossip_in(&teller.feed(RouteEvent::Tick)).expect("a note, before the next is due");
    let note = GossipMessage { name: "box-9".to_owned(), ..note };

    let chosen = |subject: &mut TestBox| -> Vec<String> {
        let mut one = || {
            let (ticket, order) = subject.sent(ask("/read/x"));
            subject.feed(RouteEvent::CallerDisconnected(ticket));
            order.replica_id
        };
        (0..12).map(|_| one()).collect()
    };
    let mut subject = ready_box();
    subject.feed(RouteEvent::GossipReceived(Box::new(note.clone())));
    assert!(!chosen(&mut subject).contains(&order.replica_id));

    let mut witness = ready_box();
    while witness
        .state
        .backends()
        .rows()
        .any(|(_, row)| row.entry.id == order.replica_id && row.reported_at == BoxTime::default())
    {
        let (ticket, _) = witness.sent(ask("/read/x"));
        let load = BackendLoad { running: 1, waiting: 0, slots: 4 };
        witness
            .feed(RouteEvent::HeadReceived(ticket, AnswerHead { load: Some(load), ..head(200) }));
        witness.feed(RouteEvent::ResponseFinished(ticket));
    }
    witness.feed(RouteEvent::GossipReceived(Box::new(note)));
    assert!(chosen(&mut witness).contains(&order.replica_id), "it has told its load since");
}
