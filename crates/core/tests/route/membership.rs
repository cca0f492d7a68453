//! Which boxes callers are sent to, and what boxes tell each other.

use ravenspoke_core::route::event::{RouteEffect, RouteEvent};
use ravenspoke_core::time::BoxTime;

use crate::fixture::{ask, entry, new_box, note_in, plan, ready_box, TestBox};

/// Lets `from` tell `to` what it knows.
fn tell(from: &mut TestBox, to: &mut TestBox) -> Vec<RouteEffect> {
    let address = to.state.dump(BoxTime::default()).name.to_owned() + ":90";
    from.feed(RouteEvent::PeersNamed(vec![address]));
    from.now += 500;
    to.now = from.now;
    let note = note_in(&from.feed(RouteEvent::Tick)).expect("a note is sent");
    to.feed(RouteEvent::PeerHeard(note))
}

fn named(subject: &TestBox) -> Vec<String> {
    subject.state.named(BoxTime::from_millis(subject.now))
}

#[test]
fn callers_are_sent_to_boxes_that_live() {
    let (mut first, mut second) = (ready_box(), new_box("box-2"));
    second.read_plan(Some(plan(1)));
    tell(&mut second, &mut first);
    assert_eq!(named(&first), ["box-2:80", "box-1:80"]);
    first.now += 1_900;
    assert_eq!(named(&first), ["box-1:80"], "it has said nothing for too long");
}

#[test]
fn a_stopping_box_is_no_longer_named_at_once() {
    let (mut first, mut second) = (ready_box(), new_box("box-2"));
    second.read_plan(Some(plan(1)));
    tell(&mut second, &mut first);
    let note = note_in(&second.feed(RouteEvent::StopAsked)).expect("it tells at once");
    first.feed(RouteEvent::PeerHeard(note));
    assert_eq!(named(&first), ["box-1:80"]);
}

#[test]
fn a_box_that_can_not_read_the_plan_is_named_only_if_none_can() {
    let (mut first, mut second) = (ready_box(), new_box("box-2"));
    second.read_plan(Some(plan(1)));
    tell(&mut second, &mut first);
    first.now += 1_000;
    second.now = first.now;
    second.read_plan(None);
    tell(&mut second, &mut first);
    first.now += 1_500;
    assert_eq!(named(&first), ["box-2:80"]);
    first.now += 400;
    assert_eq!(named(&first), ["box-1:80"]);
}

#[test]
fn an_old_note_changes_nothing() {
    let (mut first, mut second) = (ready_box(), new_box("box-2"));
    second.read_plan(Some(plan(1)));
    second.feed(RouteEvent::PeersNamed(vec!["box-1:90".to_owned()]));
    second.now += 500;
    let early = note_in(&second.feed(RouteEvent::Tick)).expect("a note");
    let late = note_in(&second.feed(RouteEvent::StopAsked)).expect("a note");
    first.feed(RouteEvent::PeerHeard(late));
    first.feed(RouteEvent::PeerHeard(early));
    assert_eq!(named(&first), ["box-1:80"]);
}

#[test]
fn a_leaving_replica_is_known_to_a_box_that_can_not_read_the_store() {
    let (mut first, mut second) = (ready_box(), new_box("box-2"));
    second.read_plan(Some(plan(1)));
    for id in ["a", "b"] {
        second.put(entry(id, "v1"));
    }
    let leaving =
        ravenspoke_core::route::backend::BackendEntry { leaving: true, ..entry("a", "v1") };
    second.put(leaving);
    let effects = tell(&mut second, &mut first);
    assert!(effects.contains(&RouteEffect::BackendLeaving("a".to_owned())));
    let (_, order) = first.sent(ask("/read/x"));
    assert_eq!(order.replica_id, "b");
}

#[test]
fn a_newer_plan_elsewhere_is_read_at_once() {
    let (mut first, mut second) = (ready_box(), new_box("box-2"));
    second.read_plan(Some(plan(2)));
    let effects = tell(&mut second, &mut first);
    assert!(effects.contains(&RouteEffect::ReadPlan));
}
