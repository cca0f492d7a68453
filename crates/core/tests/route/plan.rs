//! Plans, API keys and freshness.

use ravenspoke_core::route::event::{RefusalReason, RouteEffect};
use ravenspoke_core::route::plan::{RouteKind, RoutePlan, RouteTable};

use crate::fixture::{ask, is_refused, new_box, plan, ready_box, route, HOST};

#[test]
fn box_without_a_plan_refuses_with_503_and_denies_nothing() {
    let mut subject = new_box("box-1");
    let refusal = subject.refused(ask("/read/x"));
    assert!(is_refused(refusal, 503, RefusalReason::NoPlan), "{refusal:?}");
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut long = route("read", RouteKind::Idempotent);
    long.name = "long".to_owned();
    long.prefix = "/read/long/".to_owned();
    let routes = vec![route("read", RouteKind::Idempotent), long];
    let table = RouteTable::build(RoutePlan { routes, ..plan(1) });

    let names = |path| table.find("API.example:80", path).map(|route| route.name.as_str());
    assert_eq!(names("/read/long/x"), Some("long"));
    assert_eq!(names("/read/lon"), Some("read"));
    assert_eq!(names("/readings"), None);
    assert_eq!(table.find("other.example", "/read/x"), None);
}

#[test]
fn an_unknown_key_and_an_unknown_route_are_denied_while_the_plan_is_fresh() {
    let mut subject = ready_box();
    let unknown = subject.refused(ravenspoke_core::route::event::CallerRequest {
        key: Some("other".to_owned()),
        ..ask("/read/x")
    });
    assert!(is_refused(unknown, 401, RefusalReason::UnknownKey));
    let nowhere = subject.refused(ask("/nowhere/x"));
    assert!(is_refused(nowhere, 404, RefusalReason::NoRoute));
}

#[test]
fn nothing_is_denied_on_a_plan_that_may_be_out_of_date() {
    let mut subject = ready_box();
    subject.now += 2_100;
    let nowhere = subject.refused(ask("/nowhere/x"));
    assert!(is_refused(nowhere, 503, RefusalReason::PlanStale), "{nowhere:?}");
}

#[test]
fn key_is_not_accepted_once_it_may_have_been_revoked() {
    let mut subject = ready_box();
    subject.now += 4_500;
    subject.sent(ask("/read/x"));
    subject.now += 200;
    let refusal = subject.refused(ask("/read/x"));
    assert!(is_refused(refusal, 503, RefusalReason::PlanStale), "{refusal:?}");
    subject.read_plan(None);
    subject.sent(ask("/read/x"));
}

#[test]
fn a_box_never_goes_back_to_a_lower_version() {
    let mut subject = ready_box();
    subject.read_plan(Some(plan(3)));
    let effects = subject.read_plan(Some(plan(2)));
    assert_eq!(effects, [RouteEffect::PlanTooOld { version: 2 }]);
    assert_eq!(subject.state.plan().version, 3);
}

#[test]
fn older_plan_does_not_renew_the_freshness() {
    let mut subject = ready_box();
    subject.read_plan(Some(plan(3)));
    subject.now += 4_000;
    subject.read_plan(Some(plan(2)));
    subject.now += 1_000;
    let refusal = subject.refused(ask("/read/x"));
    assert!(is_refused(refusal, 503, RefusalReason::PlanStale), "{refusal:?}");
}

#[test]
fn revoked_key_is_refused_at_once_by_a_box_that_read_it() {
    let mut subject = ready_box();
    let mut next = plan(2);
    next.holders = Some(Vec::new());
    subject.read_plan(Some(next));
    let refusal = subject.refused(ask("/read/x"));
    assert!(is_refused(refusal, 401, RefusalReason::UnknownKey));
}

#[test]
fn a_key_is_never_part_of_a_dump() {
    let subject = ready_box();
    let dump = serde_json::to_string(&subject.state.dump(Default::default())).expect("a dump");
    assert!(dump.contains(HOST) && !dump.contains(crate::fixture::KEY));
}
