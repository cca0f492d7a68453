//! Zones under evacuation: their replicas get no requests, whichever way a request would reach
//! them.

use ravenspoke_core::route::backend::BackendEntry;
use ravenspoke_core::route::evacuation::{EvacuationDigest, EvacuationRead, ZoneOrder};
use ravenspoke_core::route::event::{AttemptFailure, RefusalReason, RouteEffect, RouteEvent};
use ravenspoke_core::time::BoxTime;

use crate::fixture::{
    ask, at, entry, gossip_in, head, is_refused, new_box, order_in, plan, ready_box, refusal_in,
    TestBox,
};

/// A box with a replica in each of three zones.
fn zoned_box() -> TestBox {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    for zone in ["east", "north", "west"] {
        let id = format!("r-{zone}");
        subject.put(BackendEntry { zone: zone.to_owned(), ..entry(&id, "v1") });
    }
    subject
}

/// Feeds the box orders from the store, read from `from` up to `to`.
fn read_orders(
    subject: &mut TestBox,
    from: Option<u64>,
    to: u64,
    orders: &[(&str, bool)],
) -> Vec<RouteEffect> {
    let order = |(zone, evacuated): &(&str, bool)| ZoneOrder {
        zone: (*zone).to_owned(),
        evacuated: *evacuated,
    };
    let orders = orders.iter().map(order).collect();
    subject.feed(RouteEvent::EvacuationsRead(EvacuationRead {
        from: from.map(at),
        to: at(to),
        orders,
    }))
}

fn zones(subject: &TestBox) -> Vec<String> {
    subject.state.dump(BoxTime::from_millis(subject.now)).evacuated.to_vec()
}

#[test]
fn retries_and_resumed_streams_avoid_an_evacuated_zone() {
    let mut subject = zoned_box();
    let (ticket, first) = subject.sent(ask("/chat/x"));
    let first_zone = first.replica_id.trim_start_matches("r-").to_owned();
    let evacuated = if first_zone == "east" { "north" } else { "east" };
    read_orders(&mut subject, None, 2, &[(evacuated, true)]);

    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    let resumed = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    let next = order_in(&resumed).expect("an order that resumes the stream").replica_id;
    assert!(next != format!("r-{evacuated}") && next != first.replica_id, "{next}");

    let again = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    assert_eq!(order_in(&again), None, "the only replica left is in the evacuated zone");
}

#[test]
fn running_requests_in_an_evacuated_zone_continue() {
    let mut subject = zoned_box();
    let (ticket, order) = subject.sent(ask("/file/x"));
    let zone = order.replica_id.trim_start_matches("r-").to_owned();

    let effects = read_orders(&mut subject, None, 2, &[(&zone, true)]);
    let answered = subject.feed(RouteEvent::HeadReceived(ticket, head(200)));

    let changed = effects.iter().any(|effect| {
        matches!(effect, RouteEffect::EvacuationChanged { order, in_flight: 1, .. } if order.evacuated)
    });
    assert!(changed, "{effects:?}");
    assert!(matches!(answered[..], [RouteEffect::Relay(_)]), "{answered:?}");
}

#[test]
fn a_zone_evacuated_between_choice_and_write_gets_nothing_and_costs_no_attempt() {
    for path in ["/file/x", "/read/x", "/chat/x"] {
        let mut subject = zoned_box();
        let (ticket, order) = subject.sent(ask(path));
        let now = BoxTime::from_millis(subject.now);
        assert!(subject.state.may_write(ticket, now));
        let zone = order.replica_id.trim_start_matches("r-").to_owned();

        read_orders(&mut subject, None, 2, &[(&zone, true)]);
        assert!(!subject.state.may_write(ticket, now));
        let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Withdrawn));

        let next = order_in(&effects).expect("an order for another replica");
        assert_ne!(next.replica_id, order.replica_id);
        assert_eq!(next.number, 1, "nothing was written, so it is still the first attempt");
        read_orders(&mut subject, Some(2), 3, &[(&zone, false)]);
        let rows = subject.state.backends().rows();
        assert!(rows.into_iter().all(|(_, row)| row.failures == 0 && row.ejections == 0));
    }
}

#[test]
fn a_replica_leaving_between_choice_and_write_gets_nothing() {
    let mut subject = ready_box();
    let (ticket, order) = subject.sent(ask("/file/x"));
    subject.put(BackendEntry { leaving: true, ..entry(&order.replica_id, "v1") });
    assert!(!subject.state.may_write(ticket, BoxTime::from_millis(subject.now)));
}

#[test]
fn with_all_zones_evacuated_a_request_is_refused_at_once() {
    let mut subject = zoned_box();
    let all = [("east", true), ("north", true), ("west", true)];
    read_orders(&mut subject, None, 4, &all);
    let refusal = subject.refused(ask("/file/x"));
    assert!(is_refused(refusal, 503, RefusalReason::Evacuated), "{refusal:?}");
    assert!(refusal.retry_after_ms.is_some());

    read_orders(&mut subject, Some(4), 5, &[("north", false)]);
    let (_, order) = subject.sent(ask("/file/x"));
    assert_eq!(order.replica_id, "r-north");
}

#[test]
fn a_request_that_may_have_run_is_not_reported_as_not_run() {
    let mut subject = zoned_box();
    let (ticket, _) = subject.sent(ask("/file/x"));
    read_orders(&mut subject, None, 4, &[("east", true), ("north", true), ("west", true)]);
    let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    assert_eq!(refusal_in(&effects).expect("a refusal").status, 502);
}

#[test]
fn the_furthest_read_position_wins_for_all_zones() {
    let mut subject = zoned_box();
    read_orders(&mut subject, None, 4, &[("east", true)]);
    let received = |known_to, zones: &[&str]| {
        let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        RouteEvent::EvacuationsReceived(EvacuationDigest { known_to: at(known_to), zones })
    };

    subject.feed(received(3, &[]));
    assert_eq!(zones(&subject), ["east"], "an older digest changes nothing");
    subject.feed(received(9, &["west"]));
    assert_eq!(zones(&subject), ["west"], "the order for east was withdrawn in the meantime");
    read_orders(&mut subject, Some(12), 14, &[("west", false)]);
    assert_eq!(zones(&subject), ["west"], "records between 9 and 12 were not read");
    read_orders(&mut subject, Some(9), 14, &[("west", false), ("north", true)]);
    assert_eq!(zones(&subject), ["north"]);
    read_orders(&mut subject, None, 20, &[]);
    assert!(zones(&subject).is_empty(), "a listing without an order withdraws it");
}

#[test]
fn a_box_that_receives_gossip_avoids_the_evacuated_zones_in_it() {
    let mut sender = zoned_box();
    let mut subject = zoned_box();
    read_orders(&mut sender, None, 7, &[("east", true), ("north", true)]);
    sender.feed(RouteEvent::PeersDiscovered(vec!["box-2:90".to_owned()]));
    let message = gossip_in(&sender.feed(RouteEvent::Tick)).expect("a gossip message");

    let message =
        ravenspoke_core::route::peers::GossipMessage { name: "box-2".to_owned(), ..message };
    subject.feed(RouteEvent::GossipReceived(Box::new(message)));
    let (_, order) = subject.sent(ask("/file/x"));
    assert_eq!(order.replica_id, "r-west");
}
