//! Requests under which replicas end: who is sent on, and who no further.

use ravenspoke_core::event::RequestTicket;
use ravenspoke_core::route::backend::{backend_hash, BackendChange, BackendEntry};
use ravenspoke_core::route::event::{
    AttemptFailure, CallerRequest, RefusalReason, RouteEvent, SendOrder,
};
use ravenspoke_core::route::peers::{GossipMessage, PeerInfo};
use ravenspoke_core::route::plan::{RoutePlan, ServicePlan};
use ravenspoke_core::route::poison::{
    CrashUpdate, PoisonUpdate, CRASH_GOSSIP_MS, FATAL_BINDS_MS, FATAL_ENDS, UNHEARD_MS,
};

use crate::fixture::{ask, at, entry, gossip_in, head, is_refused, plan, ready_box, TestBox};
use crate::replica_fleet::{ReplicaFleet, RATE};

/// Boxes, and replicas before them.
const SIZES: [(usize, usize); 3] = [(9, 16), (84, 60), (300, 120)];

/// Requests a second that crash replicas.
const FATAL_PER_S: f64 = 5.0;

/// What the requests of a test ask for.
const CONTENT: u64 = 5;

#[test]
fn what_crashes_replicas_is_sent_no_further_once_boxes_know_it() {
    for (boxes, replicas) in SIZES {
        let mut fleet = ReplicaFleet::start(boxes, replicas, ServicePlan::default());
        fleet.play(0.1, 1_000);
        fleet.full_gossip = true;
        fleet.play(0.5, 2_000);
        fleet.poison_share = FATAL_PER_S / (0.5 * RATE * replicas as f64);
        fleet.play(0.5, 3_000);
        let known = fleet.crashes;
        fleet.play(0.5, 6_000);
        let later = fleet.crashes - known;
        println!("{boxes} boxes: {known} crashes, then {later}; {} others refused", fleet.refused);
        assert!(known > 0, "{boxes} boxes: some replica ends");
        assert_eq!(fleet.crashes - known, 0, "{boxes} boxes: all know it after three seconds");
    }
}

/// Boxes that know what crashes replicas, and have known it for longer than replicas' crashes are told.
fn fleet_that_knows(boxes: usize, replicas: usize) -> ReplicaFleet {
    let mut fleet = ReplicaFleet::start(boxes, replicas, ServicePlan::default());
    fleet.play(0.1, 1_000);
    fleet.full_gossip = true;
    fleet.play(0.5, 2_000);
    fleet.poison_share = FATAL_PER_S / (0.5 * RATE * replicas as f64);
    fleet.play(0.5, 3_000 + CRASH_GOSSIP_MS);
    fleet
}

/// Boxes that start again, at most.
const RESTARTS: usize = 30;

#[test]
fn boxes_that_start_again_in_turn_send_on_nothing_that_the_others_know_to_crash_replicas() {
    for (boxes, replicas) in SIZES {
        let mut fleet = fleet_that_knows(boxes, replicas);
        let known = fleet.crashes;
        let step = boxes.div_ceil(RESTARTS);
        for number in (0..boxes).step_by(step) {
            fleet.restart(number);
            fleet.play(0.5, 500);
        }
        let later = fleet.crashes - known;
        println!("{boxes} boxes: {known} crashes, then {later}");
        assert_eq!(later, 0, "{boxes} boxes: those that start learn it from the others");
    }
}

#[test]
fn boxes_that_stood_still_send_on_nothing_that_the_others_know_to_crash_replicas() {
    for (boxes, replicas) in SIZES {
        let mut fleet = ReplicaFleet::start(boxes, replicas, ServicePlan::default());
        fleet.play(0.1, 1_000);
        fleet.full_gossip = true;
        fleet.play(0.5, 2_000);
        fleet.frozen = (0..boxes).step_by(3).collect();
        fleet.poison_share = FATAL_PER_S / (0.5 * RATE * replicas as f64);
        fleet.play(0.5, 8_000);
        fleet.poison_share = 0.0;
        fleet.frozen.clear();
        fleet.play(0.5, 500);
        let known = fleet.crashes;
        fleet.poison_share = FATAL_PER_S / (0.5 * RATE * replicas as f64);
        fleet.play(0.5, 3_000);
        let later = fleet.crashes - known;
        println!("{boxes} boxes: {known} crashes, then {later}");
        assert_eq!(later, 0, "{boxes} boxes: those that wake learn it within a round of notes");
    }
}

#[test]
fn a_fleet_that_starts_at_once_finds_it_out_anew_and_sends_it_no_further() {
    for (boxes, replicas) in SIZES {
        let mut fleet = fleet_that_knows(boxes, replicas);
        let before = fleet.crashes;
        fleet.restart_all();
        fleet.play(0.5, 3_000);
        let known = fleet.crashes;
        fleet.play(0.5, 6_000);
        let later = fleet.crashes - known;
        println!("{boxes} boxes: {} crashes after the start, then {later}", known - before);
        assert_eq!(later, 0, "{boxes} boxes: all know it after three seconds");
    }
}

/// A box with six replicas.
fn box_of_six() -> TestBox {
    let mut subject = ready_box();
    for id in ["c", "d", "e", "f"] {
        subject.put(entry(id, "v1"));
    }
    subject
}

fn asking(id: &str) -> CallerRequest {
    CallerRequest { id: id.to_owned(), content: CONTENT, ..ask("/read/x") }
}

/// The attempt under way breaks; gives the next one, if there is one.
fn break_off(subject: &mut TestBox, ticket: RequestTicket) -> Option<SendOrder> {
    let broken = RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken);
    crate::fixture::order_in(&subject.feed(broken))
}

/// A request whose replica crashes, after which nothing is heard of that for a while.
fn end_under(subject: &mut TestBox, id: &str) -> SendOrder {
    let (ticket, order) = subject.sent(asking(id));
    break_and_leave(subject, ticket);
    hear_nothing(subject);
    order
}

/// The attempt under way breaks, and its caller leaves.
fn break_and_leave(subject: &mut TestBox, ticket: RequestTicket) {
    break_off(subject, ticket);
    subject.feed(RouteEvent::CallerDisconnected(ticket));
}

/// Nothing is heard of any replica for a while.
fn hear_nothing(subject: &mut TestBox) {
    subject.now += UNHEARD_MS;
    subject.feed(RouteEvent::Tick);
}

#[test]
fn two_ends_under_different_requests_end_it_with_a_final_answer() {
    let mut subject = box_of_six();
    end_under(&mut subject, "one");
    end_under(&mut subject, "two");
    let refusal = subject.refused(asking("three"));
    assert!(is_refused(refusal, 502, RefusalReason::CrashesReplicas));
    assert_eq!(refusal.retry_after_ms, None, "coming back does not help");
    let other = CallerRequest { content: CONTENT + 1, ..asking("four") };
    subject.sent(other);
}

#[test]
fn one_request_that_was_there_twice_is_sent_on() {
    let mut subject = box_of_six();
    let (ticket, _) = subject.sent(asking("one"));
    break_off(&mut subject, ticket).expect("sent on");
    hear_nothing(&mut subject);
    assert!(break_off(&mut subject, ticket).is_some(), "it may be a bystander");
}

#[test]
fn what_was_answered_meanwhile_crashes_nothing() {
    let mut subject = box_of_six();
    end_under(&mut subject, "one");
    let (ticket, _) = subject.sent(asking("two"));
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    subject.feed(RouteEvent::ResponseFinished(ticket));
    end_under(&mut subject, "three");
    subject.sent(asking("four"));
}

#[test]
fn replicas_that_end_at_the_same_moment_count_once() {
    let mut subject = box_of_six();
    let tickets = ["one", "two", "three"].map(|id| subject.sent(asking(id)).0);
    tickets.into_iter().for_each(|ticket| break_and_leave(&mut subject, ticket));
    hear_nothing(&mut subject);
    subject.sent(asking("four"));
}

#[test]
fn the_end_of_a_replica_that_leaves_does_not_count() {
    let mut subject = box_of_six();
    for id in ["one", "two", "three"] {
        let (ticket, order) = subject.sent(asking(id));
        subject.put(BackendEntry { leaving: true, ..entry(&order.replica_id, "v1") });
        break_and_leave(&mut subject, ticket);
        hear_nothing(&mut subject);
    }
    subject.sent(asking("four"));
}

#[test]
fn a_replica_that_answers_others_has_not_ended() {
    let mut subject = box_of_six();
    for id in ["one", "two", "three"] {
        let (ticket, order) = subject.sent(asking(id));
        break_and_leave(&mut subject, ticket);
        subject.now += 10;
        answer_elsewhere(&mut subject, &order);
        hear_nothing(&mut subject);
    }
    subject.sent(asking("four"));
}

/// Another request gets an answer, with its load, from the replica of `order`.
fn answer_elsewhere(subject: &mut TestBox, order: &SendOrder) {
    let load = ravenspoke_core::route::loads::BackendLoad { running: 1, waiting: 0, slots: 4 };
    loop {
        let (ticket, other) = subject.sent(CallerRequest { content: 0, ..asking("other") });
        let answer = ravenspoke_core::route::event::AnswerHead { load: Some(load), ..head(200) };
        subject.feed(RouteEvent::HeadReceived(ticket, answer));
        subject.feed(RouteEvent::ResponseFinished(ticket));
        if other.replica_id == order.replica_id {
            return;
        }
    }
}

/// Another box's word of [`CONTENT`].
fn told_content(number: u64, word: PoisonUpdate) -> RouteEvent {
    let info = PeerInfo { gossip_address: "box-2:90".to_owned(), ..PeerInfo::default() };
    let contents = vec![PoisonUpdate { content: CONTENT, ..word }];
    let note = GossipMessage {
        name: "box-2".to_owned(),
        number,
        info,
        contents,
        ..GossipMessage::default()
    };
    RouteEvent::GossipReceived(Box::new(note))
}

#[test]
fn what_another_box_knows_to_crash_replicas_is_sent_on_once_it_was_answered_there() {
    let mut subject = box_of_six();
    let fatal = PoisonUpdate { age_ms: 30_000, ..PoisonUpdate::default() };
    subject.feed(told_content(1, fatal));
    assert!(is_refused(subject.refused(asking("one")), 502, RefusalReason::CrashesReplicas));
    let answered = PoisonUpdate { age_ms: 100, answered: true, ..PoisonUpdate::default() };
    subject.feed(told_content(2, answered));
    subject.sent(asking("two"));
    subject.feed(told_content(3, fatal));
    subject.sent(asking("three"));
}

#[test]
fn a_box_tells_others_that_what_replicas_ended_under_was_answered() {
    let mut subject = box_of_six();
    end_under(&mut subject, "one");
    let (ticket, _) = subject.sent(asking("two"));
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    subject.feed(told(Vec::new()));
    subject.feed(RouteEvent::ResponseFinished(ticket));
    let note = gossip_in(&subject.feed(RouteEvent::Tick)).expect("a note at once");
    let word = PoisonUpdate { content: CONTENT, age_ms: 0, answered: true };
    assert_eq!(note.contents, vec![word]);
}

#[test]
fn what_crashed_replicas_is_tried_again_by_one_attempt_and_its_end_alone_counts() {
    let mut subject = box_of_six();
    end_under(&mut subject, "one");
    end_under(&mut subject, "two");
    subject.now += FATAL_BINDS_MS;
    subject.read_plan(Some(RoutePlan { version: 2, ..plan(2) }));
    let (ticket, _) = subject.sent(asking("three"));
    assert!(break_off(&mut subject, ticket).is_none(), "no second replica for it");
    assert!(is_refused(subject.refused(asking("four")), 502, RefusalReason::CrashesReplicas));
    hear_nothing(&mut subject);
    assert!(is_refused(subject.refused(asking("five")), 502, RefusalReason::CrashesReplicas));
}

fn told(crashes: Vec<CrashUpdate>) -> RouteEvent {
    let info = PeerInfo { gossip_address: "box-2:90".to_owned(), ..PeerInfo::default() };
    let note = GossipMessage {
        name: "box-2".to_owned(),
        number: 1,
        info,
        crashes,
        ..GossipMessage::default()
    };
    RouteEvent::GossipReceived(Box::new(note))
}

#[test]
fn ends_that_other_boxes_saw_count_and_lapse() {
    let mut subject = box_of_six();
    let end = |number: u64| CrashUpdate {
        content: CONTENT,
        request: number,
        replica: backend_hash(&format!("gone-{number}")),
        age_ms: 500 * number,
    };
    subject.feed(told((0..FATAL_ENDS as u64).map(end).collect()));
    assert!(is_refused(subject.refused(asking("one")), 502, RefusalReason::CrashesReplicas));
    subject.now += FATAL_BINDS_MS;
    subject.read_plan(Some(RoutePlan { version: 2, ..plan(2) }));
    subject.sent(asking("two"));
}

#[test]
fn a_box_tells_others_of_ends() {
    let mut subject = box_of_six();
    let order = end_under(&mut subject, "one");
    subject.now += 500;
    let note = gossip_in(&subject.feed(told(Vec::new()))).or_else(|| {
        subject.now += 500;
        gossip_in(&subject.feed(RouteEvent::Tick))
    });
    let crashes = note.expect("a note").crashes;
    assert_eq!(crashes.len(), 1);
    assert_eq!(
        (crashes[0].content, crashes[0].replica),
        (CONTENT, backend_hash(&order.replica_id))
    );
}

#[test]
fn an_end_under_requests_of_several_callers_counts_for_each_of_them() {
    let mut subject = box_of_six();
    end_under(&mut subject, "one");
    let (first, order) = subject.sent(asking("one"));
    let (second, _) = sent_to(&mut subject, "two", &order.replica_id);
    for ticket in [first, second] {
        break_and_leave(&mut subject, ticket);
    }
    hear_nothing(&mut subject);
    assert!(is_refused(subject.refused(asking("three")), 502, RefusalReason::CrashesReplicas));
}

/// A request that is given to a certain replica; those before it stay in hand elsewhere.
fn sent_to(subject: &mut TestBox, id: &str, replica: &str) -> (RequestTicket, SendOrder) {
    let mut tries = (0..100).map(|number| {
        let content = if number % 2 == 0 { CONTENT } else { 0 };
        subject.sent(CallerRequest { content, ..asking(id) })
    });
    let hit = |(_, order): &(RequestTicket, SendOrder)| {
        order.replica_id == replica && order.content == CONTENT
    };
    tries.find(hit).expect("the replica gets one")
}

#[test]
fn a_replica_that_ends_twice_under_the_same_content_ended_twice() {
    let mut subject = ready_box();
    for id in ["one", "two"] {
        let (ticket, _) = sent_to(&mut subject, id, "a");
        break_and_leave(&mut subject, ticket);
        subject.now += 3_000;
        subject.feed(RouteEvent::Tick);
    }
    subject.read_plan(Some(RoutePlan { version: 2, ..plan(2) }));
    assert!(is_refused(subject.refused(asking("three")), 502, RefusalReason::CrashesReplicas));
}

#[test]
fn a_replica_that_answered_others_after_a_break_and_ends_later_did_not_end_under_it() {
    let mut subject = box_of_six();
    for id in ["one", "two", "three"] {
        let (ticket, order) = subject.sent(asking(id));
        break_and_leave(&mut subject, ticket);
        subject.now += 200;
        answer_elsewhere(&mut subject, &order);
        subject.feed(RouteEvent::Tick);
        subject.now += 1_000;
        let gone = subject.offset + 1;
        subject.offset = gone;
        let change = BackendChange { id: order.replica_id, at: at(gone), entry: None };
        subject.feed(RouteEvent::BackendsChanged(vec![change]));
        subject.feed(RouteEvent::Tick);
    }
    subject.sent(asking("four"));
}
