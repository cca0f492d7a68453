//! A store that is restored from an older copy of its data: confirmed state stays in force, and
//! lost records are written again, on one box and in fleets.

use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::evacuation::{
    EvacuationDigest, EvacuationRead, ZoneOrder, ORDER_GRACE_MS,
};
use ravenspoke_core::route::event::{RouteEffect, RouteEvent};
use ravenspoke_core::route::peers::{GossipMessage, PlanPosition};
use ravenspoke_core::route::trial::{TrialOrder, TrialState, TrialVerdict};
use ravenspoke_core::route::{RouteState, EXPIRY_GRACE_MS};
use ravenspoke_core::time::BoxTime;

use crate::fixture::{ask, at, entry, new_box, plan, ready_box, TestBox, KEY};
use crate::plan_fleet::{fleet_with_replicas, Fleet};

/// Time within which a confirmed plan is in force on all boxes, in milliseconds.
const APPLY_MS: u64 = 2_000;

/// Longest pause between two retries of a reader, plus the latency of gossip, in milliseconds.
const RETRY_MS: u64 = 1_200;

/// A position after the restore.
fn restored(offset: u64) -> TopicPosition {
    TopicPosition::new(2, offset)
}

fn read_plan_at(subject: &mut TestBox, read_to: TopicPosition, version: Option<u64>) {
    let asked_at = BoxTime::from_millis(subject.now);
    subject.feed(RouteEvent::PlanRead { asked_at, read_to, plan: version.map(plan) });
}

fn plan_age_ms(subject: &TestBox) -> Option<u64> {
    subject.state.dump(BoxTime::from_millis(subject.now)).plan_age_ms
}

fn zones(subject: &TestBox) -> Vec<String> {
    subject.state.dump(BoxTime::from_millis(subject.now)).evacuated
}

fn read_zones(
    subject: &mut TestBox,
    from: Option<TopicPosition>,
    to: TopicPosition,
    orders: &[(&str, bool)],
) {
    let order = |row: &(&str, bool)| ZoneOrder { zone: row.0.to_owned(), evacuated: row.1 };
    let orders = orders.iter().map(order).collect();
    subject.feed(RouteEvent::EvacuationsRead(EvacuationRead { from, to, orders }));
}

fn replicas(subject: &TestBox) -> Vec<String> {
    let mut ids: Vec<String> =
        subject.state.backends().rows().map(|(_, row)| row.entry.id.clone()).collect();
    ids.sort();
    ids
}

/// Delivers a listing after the restore.
fn list_restored(subject: &mut TestBox, listed: &[BackendEntry]) {
    subject.feed(RouteEvent::EraObserved(2));
    let end = restored(listed.len() as u64);
    let rows = listed.iter().enumerate();
    let listed = rows
        .map(|(offset, entry)| BackendChange {
            id: entry.id.clone(),
            at: restored(offset as u64),
            entry: Some(entry.clone()),
        })
        .collect();
    subject.feed(RouteEvent::BackendsListed { end, listed });
    let as_of = BoxTime::from_millis(subject.now);
    subject.feed(RouteEvent::EntriesRead { as_of, to: end });
}

#[test]
fn older_plan_in_a_restored_store_does_not_renew_until_the_lost_one_is_written_again() {
    let mut subject = ready_box();
    subject.read_plan(Some(plan(9)));
    subject.now += 1_000;

    read_plan_at(&mut subject, restored(4), Some(7));
    subject.now += 100;
    read_plan_at(&mut subject, restored(4), None);

    assert_eq!(subject.state.plan().version, 9);
    assert_eq!(plan_age_ms(&subject), Some(1_100), "a plan after 9 may be lost as well");

    read_plan_at(&mut subject, restored(5), Some(9));

    assert_eq!(plan_age_ms(&subject), Some(0));
    assert_eq!(subject.state.read_to(), restored(5));
}

#[test]
fn late_read_of_a_former_era_is_ignored() {
    let mut subject = ready_box();
    read_plan_at(&mut subject, restored(3), Some(9));

    read_plan_at(&mut subject, at(20), Some(9));
    read_plan_at(&mut subject, at(20), Some(8));

    assert_eq!(subject.state.plan().version, 9);
    assert_eq!(subject.state.read_to(), restored(3));
}

#[test]
fn box_that_read_the_copy_applies_the_lost_plan_from_another_box() {
    let mut subject = ready_box();
    subject.now += 5_000;
    read_plan_at(&mut subject, restored(4), Some(7));
    subject.now += 300;
    let as_of = BoxTime::from_millis(subject.now - 2_000);
    let known = PlanPosition { version: 9, read_to: at(20) };

    subject.feed(RouteEvent::PlanReceived { as_of, known, plan: Some(plan(9)) });
    read_plan_at(&mut subject, restored(4), None);

    assert_eq!(subject.state.plan().version, 9);
    assert_eq!(plan_age_ms(&subject), Some(2_000), "its own reads were incomplete");
}

#[test]
fn unchanged_plan_in_a_new_era_is_confirmed_without_the_plan() {
    let mut subject = ready_box();
    subject.now += 1_000;
    let as_of = BoxTime::from_millis(subject.now);
    let known = PlanPosition { version: 1, read_to: restored(6) };

    subject.feed(RouteEvent::PlanReceived { as_of, known, plan: None });

    assert_eq!(plan_age_ms(&subject), Some(0));
    assert_eq!(subject.state.read_to(), restored(6));
}

#[test]
fn position_of_a_newer_plan_without_the_plan_is_not_applied() {
    let mut subject = ready_box();
    let as_of = BoxTime::from_millis(subject.now);
    let known = PlanPosition { version: 2, read_to: at(6) };

    subject.feed(RouteEvent::PlanReceived { as_of, known, plan: None });

    assert_eq!(subject.state.plan().version, 1);
    assert!(subject.state.read_to() < at(6));
}

#[test]
fn lost_evacuation_stays_in_force_until_it_is_written_again_or_for_ten_seconds() {
    let mut subject = ready_box();
    read_zones(&mut subject, None, at(8), &[("east", true), ("west", true)]);

    read_zones(&mut subject, None, restored(5), &[("west", true)]);

    assert_eq!(zones(&subject), ["east", "west"]);
    read_zones(&mut subject, Some(restored(5)), restored(6), &[("east", true)]);
    subject.now += ORDER_GRACE_MS;
    subject.feed(RouteEvent::Tick);
    assert_eq!(zones(&subject), ["east", "west"], "it was written again");
}

#[test]
fn lost_evacuation_ends_after_ten_seconds_and_a_withdrawn_one_at_once() {
    let mut subject = ready_box();
    read_zones(&mut subject, None, at(8), &[("east", true), ("west", true)]);
    read_zones(&mut subject, None, restored(5), &[]);

    read_zones(&mut subject, Some(restored(5)), restored(6), &[("west", false)]);

    assert_eq!(zones(&subject), ["east"]);
    subject.now += ORDER_GRACE_MS;
    subject.feed(RouteEvent::Tick);
    assert!(zones(&subject).is_empty());
}

#[test]
fn box_that_read_the_copy_learns_of_an_evacuation_from_a_former_era() {
    let mut subject = ready_box();
    read_zones(&mut subject, None, restored(5), &[]);
    let digest = EvacuationDigest { known_to: at(8), zones: vec!["east".to_owned()] };

    subject.feed(RouteEvent::EvacuationsReceived(digest));

    assert_eq!(zones(&subject), ["east"]);
}

#[test]
fn replica_that_had_left_is_not_used_because_a_copy_still_has_it() {
    let mut subject = ready_box();
    subject.put(BackendEntry { leaving: true, ..entry("a", "v1") });
    subject.drop_entry("a");

    list_restored(&mut subject, &[entry("a", "v1"), entry("b", "v1")]);

    assert_eq!(replicas(&subject), ["b"]);
}

#[test]
fn another_incarnation_of_a_replica_that_had_left_is_used() {
    let mut subject = ready_box();
    let born = |ms| BackendEntry { born: Some(ms), ..entry("c", "v1") };
    subject.put(BackendEntry { leaving: true, ..born(100) });
    subject.drop_entry("c");

    list_restored(&mut subject, &[entry("b", "v1"), born(200)]);

    assert_eq!(replicas(&subject), ["a", "b", "c"], "a may still be written again");
}

#[test]
fn leaving_mark_that_the_store_lost_stays_in_force() {
    let mut subject = ready_box();
    subject.put(BackendEntry { leaving: true, ..entry("a", "v1") });

    list_restored(&mut subject, &[entry("a", "v1"), entry("b", "v1")]);

    let (_, order) = subject.sent(ask("/read/x"));
    assert_eq!(order.replica_id, "b");
}

#[test]
fn replica_added_after_the_copy_is_used_for_the_grace_period() {
    let mut subject = ready_box();

    list_restored(&mut subject, &[entry("a", "v1")]);

    assert_eq!(replicas(&subject), ["a", "b"]);
    subject.now += EXPIRY_GRACE_MS;
    subject.feed(RouteEvent::Tick);
    assert_eq!(replicas(&subject), ["a"]);
}

#[test]
fn change_of_a_former_era_does_not_restore_an_unlisted_replica() {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    list_restored(&mut subject, &[entry("a", "v1")]);
    let late = BackendChange { id: "b".to_owned(), at: at(900), entry: Some(entry("b", "v1")) };

    subject.feed(RouteEvent::BackendsChanged(vec![late]));

    assert_eq!(replicas(&subject), ["a"]);
}

fn order(version: &str) -> TrialOrder {
    TrialOrder { service: "pool".to_owned(), version: version.to_owned(), duration_ms: 10_000 }
}

fn verdict(state: TrialState) -> TrialVerdict {
    TrialVerdict { service: "pool".to_owned(), version: "v2".to_owned(), state }
}

fn written(effects: &[RouteEffect]) -> Option<TrialState> {
    effects.iter().find_map(|effect| match effect {
        RouteEffect::WriteVerdict(verdict) => Some(verdict.state),
        _ => None,
    })
}

fn state_of_trial(subject: &TestBox) -> TrialState {
    subject.state.dump(BoxTime::from_millis(subject.now)).trials[0].state
}

#[test]
fn verdict_that_the_store_lost_is_kept_and_written_again() {
    let mut subject = ready_box();
    subject.give_order(order("v2"));
    subject.feed(RouteEvent::VerdictStored(verdict(TrialState::Done)));
    assert_eq!(written(&subject.feed(RouteEvent::Tick)), None);

    subject.feed(RouteEvent::EraObserved(2));
    let asked_at = BoxTime::from_millis(subject.now);
    let verdicts = vec![verdict(TrialState::Running)];
    subject.feed(RouteEvent::VerdictsRead { asked_at, verdicts });

    assert_eq!(state_of_trial(&subject), TrialState::Done);
    assert_eq!(written(&subject.feed(RouteEvent::Tick)), Some(TrialState::Done));
    subject.feed(RouteEvent::VerdictStored(verdict(TrialState::Done)));
    subject.now += 5_000;
    assert_eq!(written(&subject.feed(RouteEvent::Tick)), None, "it is written only once");
}

#[test]
fn verdict_known_from_a_former_era_is_written_again() {
    let mut subject = ready_box();
    subject.give_order(order("v2"));
    subject.feed(RouteEvent::VerdictStored(verdict(TrialState::Done)));
    subject.feed(RouteEvent::EraObserved(2));
    let verdicts = vec![verdict(TrialState::Done)];
    let message = GossipMessage {
        name: "box-2".to_owned(),
        number: 1,
        era: 1,
        verdicts,
        ..GossipMessage::default()
    };

    subject.feed(RouteEvent::GossipReceived(Box::new(message)));

    assert_eq!(written(&subject.feed(RouteEvent::Tick)), Some(TrialState::Done));
}

#[test]
fn replaced_order_does_not_restart_because_a_copy_still_shows_it() {
    let mut subject = ready_box();
    subject.give_order(order("v2"));
    subject.give_order(order("v3"));

    let read_to = restored(5);
    subject.feed(RouteEvent::OrdersRead { read_to, orders: vec![order("v2")] });
    let version = |subject: &TestBox| {
        let now = BoxTime::from_millis(subject.now);
        subject.state.dump(now).trials[0].order.version.clone()
    };
    assert_eq!(version(&subject), "v3");

    let read_to = restored(6);
    subject.feed(RouteEvent::OrdersRead { read_to, orders: vec![order("v2")] });
    assert_eq!(version(&subject), "v2", "the later order counts");
}

/// A fleet at 10 s, with plan 4 written at 6 s, plan 5 at 7.5 s and plan 6 at 8.5 s.
fn fleet_at_plan_6(count: usize) -> Fleet {
    let mut fleet = fleet_with_replicas(count);
    for (at, version) in [(6_000, 4), (7_500, 5), (8_500, 6)] {
        fleet.run_until(at);
        fleet.write_plan(version);
    }
    fleet.run_until(10_000);
    assert!(fleet.boxes.iter().all(|subject| subject.state.plan().version == 6));
    fleet
}

fn has_plan(version: u64) -> impl Fn(&RouteState) -> bool {
    move |state| state.plan().version >= version
}

/// Whether a box has read the store in its second era.
fn reads_second_era(state: &RouteState) -> bool {
    state.read_to().era == 2
}

/// Whether every running box has at least this version of the plan.
fn none_regressed(fleet: &Fleet, version: u64) -> bool {
    fleet.boxes.iter().all(|subject| subject.killed || subject.state.plan().version >= version)
}

/// Restores the store and writes all lost records again. The fleet must rely on the store in time,
/// no box may go back to an older plan, and few calls may be made for it.
fn rely_on_restored_store(count: usize, away_ms: u64, copied_at: u64) {
    let mut fleet = fleet_at_plan_6(count);
    let lost = fleet.restore(away_ms, copied_at);
    fleet.write_again(lost);
    fleet.run_until(fleet.outage_until);
    fleet.calls();

    let took = fleet.until_all(4_000, reads_second_era);

    let label = format!("{count} boxes, away {away_ms} ms, copy of {copied_at}: {took:?}");
    assert!(took.is_some_and(|ms| ms <= RETRY_MS + APPLY_MS), "{label}");
    assert!(none_regressed(&fleet, 6), "{label}");
    let calls = fleet.calls() as usize;
    assert!(calls <= 60 + count / 2, "{label}: {calls} calls");
    fleet.write_plan(7);
    let took = fleet.until_all(4_000, has_plan(7));
    assert!(took.is_some_and(|ms| ms <= APPLY_MS), "{label}: plan 7 after {took:?}");
}

#[test]
fn fleets_rely_on_a_restored_store_in_time_and_never_regress() {
    for count in [9, 84, 300] {
        rely_on_restored_store(count, 0, 8_400);
        rely_on_restored_store(count, 1_000, 7_000);
    }
    for count in [9, 84] {
        rely_on_restored_store(count, 5_000, 0);
    }
}

#[test]
fn restored_store_is_not_overloaded_by_three_hundred_boxes_after_an_outage_of_five_seconds() {
    rely_on_restored_store(300, 5_000, 0);
}

#[test]
fn fleets_serve_the_newest_plan_of_a_store_that_grew_past_its_former_end() {
    for count in [9, 84, 300] {
        let mut fleet = fleet_at_plan_6(count);
        drop(fleet.restore(1_000, 7_000));
        for version in [7, 8, 9] {
            fleet.write_plan(version);
        }
        fleet.run_until(fleet.outage_until);

        let took = fleet.until_all(4_000, has_plan(9));

        assert!(took.is_some_and(|ms| ms <= RETRY_MS + APPLY_MS), "{count} boxes: {took:?}");
    }
}

#[test]
fn few_boxes_poll_a_restored_store_that_lacks_the_plan() {
    for count in [9, 84, 300] {
        let mut fleet = fleet_at_plan_6(count);
        let lost = fleet.restore(1_000, 7_000);
        fleet.run_until(fleet.outage_until + 1_000);
        fleet.calls();

        fleet.run_until(fleet.now + 6_000);

        let calls = f64::from(fleet.calls()) / 6.0;
        assert!(none_regressed(&fleet, 6));
        assert!(calls <= 60.0, "{count} boxes: {calls} calls a second");
        fleet.write_again(lost);
        let took = fleet.until_all(4_000, reads_second_era);
        assert!(took.is_some_and(|ms| ms <= APPLY_MS), "{count} boxes: {took:?}");
    }
}

#[test]
fn boxes_started_while_the_store_shows_an_older_plan_serve_only_the_newer_one() {
    for count in [9, 84, 300] {
        let mut fleet = fleet_at_plan_6(count);
        let lost = fleet.restore(1_000, 7_000);
        fleet.run_until(fleet.outage_until + 500);

        for number in (0..count).step_by(4) {
            fleet.restart(number);
        }
        let until = fleet.now + 3_000;
        while fleet.now < until {
            fleet.run_until(fleet.now + 20);
            let now = BoxTime::from_millis(fleet.now);
            let behind = |state: &RouteState| state.open(now) && !has_plan(6)(state);
            let behind = fleet.boxes.iter().filter(|subject| behind(&subject.state)).count();
            assert_eq!(behind, 0, "{count} boxes: open with an older plan at {}", fleet.now);
        }
        fleet.write_again(lost);

        let took = fleet.until_all(4_000, reads_second_era);
        assert!(took.is_some_and(|ms| ms <= APPLY_MS), "{count} boxes: {took:?}");
        assert!(none_regressed(&fleet, 6));
    }
}

#[test]
fn second_restore_before_all_boxes_know_the_first_is_handled() {
    for count in [9, 84, 300] {
        let mut fleet = fleet_at_plan_6(count);
        let lost = fleet.restore(1_000, 7_000);
        fleet.write_again(lost);
        fleet.run_until(fleet.outage_until + 300);
        fleet.write_plan(7);
        fleet.run_until(fleet.now + 100);

        let lost = fleet.restore(500, fleet.now - 200);
        fleet.write_again(lost);
        fleet.run_until(fleet.outage_until);

        let third = |state: &RouteState| state.read_to().era == 3 && state.plan().version == 7;
        let took = fleet.until_all(6_000, third);
        assert!(took.is_some_and(|ms| ms <= RETRY_MS + APPLY_MS), "{count} boxes: {took:?}");
    }
}

#[test]
fn key_of_a_lost_plan_is_accepted_again_once_the_plan_is_written_again() {
    let mut subject = ready_box();
    subject.read_plan(Some(plan(9)));
    subject.now += 5_000;
    read_plan_at(&mut subject, restored(4), Some(7));
    assert_eq!(ask("/read/x").key.as_deref(), Some(KEY));
    assert_eq!(subject.refused(ask("/read/x")).status, 503);

    read_plan_at(&mut subject, restored(5), Some(9));

    drop(subject.sent(ask("/read/x")));
}

#[test]
fn restore_of_the_store_is_reported_once_and_not_for_the_first_era() {
    let mut subject = new_box("box-1");
    assert!(subject.feed(RouteEvent::EraObserved(1)).is_empty());

    let effects = subject.feed(RouteEvent::EraObserved(2));

    assert_eq!(effects, [RouteEffect::StoreRestored { era: 2, former: 1 }]);
    assert!(subject.feed(RouteEvent::EraObserved(2)).is_empty());
    assert!(subject.feed(RouteEvent::EraObserved(1)).is_empty(), "a late response");
}
