//! Regions that a route or a client account allows: every attempt of a request stays in them.

use ravenspoke_core::route::backend::BackendEntry;
use ravenspoke_core::route::event::{AttemptFailure, RefusalReason, RouteEvent};
use ravenspoke_core::route::plan::RoutePlan;
use ravenspoke_core::route::{RouteSettings, RouteState};

use crate::fixture::{ask, entry, head, is_refused, new_box, order_in, plan, settings, TestBox};

/// A plan whose routes and client account allow these regions; an empty list allows all.
fn region_plan(of_routes: &[&str], of_account: &[&str]) -> RoutePlan {
    let names = |regions: &[&str]| regions.iter().map(|name| (*name).to_owned()).collect();
    let mut plan = plan(1);
    for route in &mut plan.routes {
        route.regions = names(of_routes);
    }
    for holder in plan.holders.iter_mut().flatten() {
        holder.regions = names(of_account);
    }
    plan
}

/// A box between two regions of two zones each, with a replica in each zone.
fn two_region_box(plan: RoutePlan) -> TestBox {
    let mut subject = new_box("box-1");
    let zones = [("east", "inland"), ("north", "inland"), ("south", "coast"), ("west", "coast")];
    let regions = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
    subject.state = RouteState::new(RouteSettings { regions, ..settings("box-1") });
    subject.read_plan(Some(plan));
    for (zone, _) in zones {
        subject.put(BackendEntry { zone: zone.to_owned(), ..entry(&format!("r-{zone}"), "v1") });
    }
    subject
}

#[test]
fn retries_and_resumed_streams_stay_in_the_allowed_region() {
    let mut subject = two_region_box(region_plan(&["coast"], &[]));
    for _ in 0..20 {
        let (ticket, first) = subject.sent(ask("/chat/x"));
        subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
        let broken = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
        let next = order_in(&broken).expect("an order that resumes the stream");
        let mut used = [first.replica_id, next.replica_id];
        used.sort();
        assert_eq!(used, ["r-south", "r-west"]);
        let again = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
        assert_eq!(order_in(&again), None, "no unused replica of the region is left");
        subject.now += 10_000;
        subject.read_plan(None);
    }
}

#[test]
fn a_request_needs_a_region_that_both_route_and_account_allow() {
    let mut subject = two_region_box(region_plan(&["coast"], &["inland"]));
    let refusal = subject.refused(ask("/read/x"));
    assert!(is_refused(refusal, 503, RefusalReason::NoRegion), "{refusal:?}");
}

#[test]
fn a_route_limited_to_an_unknown_region_is_refused_at_once() {
    let mut subject = two_region_box(region_plan(&["moon"], &[]));
    let refusal = subject.refused(ask("/file/x"));
    assert!(is_refused(refusal, 503, RefusalReason::NoRegion), "{refusal:?}");
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn a_plan_without_regions_uses_all_zones() {
    let mut subject = two_region_box(region_plan(&[], &[]));
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let (ticket, order) = subject.sent(ask("/read/x"));
        used.insert(order.replica_id);
        subject.feed(RouteEvent::ResponseFinished(ticket));
    }
    assert_eq!(used.len(), 4);
}
