//! The leader's lease, usage reports and replica orders: there are never two leaders at once, each
//! window is reported once, and orders follow the replicas that there are.

use std::collections::{BTreeMap, BTreeSet};

use ravenspoke_core::route::event::{RouteEffect, RouteEvent};
use ravenspoke_core::route::leader::lease::{LeaderPart, LeaseAnswer};
use ravenspoke_core::route::leader::scale::{zone_target, ScalePlan, ZoneCount, ZoneTarget};
use ravenspoke_core::route::leader::usage::{
    RoundStep, UsageBounds, UsageReport, UsageResponse, UsageRound,
};
use ravenspoke_core::route::leader::{LeaderBounds, LeaderCall, LeaderRecord, LeaderStep};
use ravenspoke_core::route::{RouteSettings, RouteState};
use ravenspoke_core::time::{BoxTime, WallTime};

use crate::fixture::{new_box, settings, TestBox};
use crate::leader_fleet::{LeaderFleet, LEASE_MS, REPORT_DUE_MS, WINDOW_MS, ZONES, ZONE_SIZE};

const PLAN: ScalePlan = ScalePlan { min: 1, max: 40, spot_price: Some(0.15) };

fn millis(ms: u64) -> BoxTime {
    BoxTime::from_millis(ms)
}

/// A part that was granted the lease at 1 s, under token 5.
fn granted_part() -> LeaderPart {
    let mut part = LeaderPart::default();
    part.apply_answer(
        LeaseAnswer { token: 5, granted: true },
        millis(1_000),
        millis(1_010),
        LEASE_MS,
    );
    part
}

#[test]
fn a_new_leader_waits_until_the_former_lease_has_expired() {
    let mut part = granted_part();
    for at in [2_000, 3_000, 4_000] {
        part.apply_answer(
            LeaseAnswer { token: 7, granted: true },
            millis(at),
            millis(at + 5),
            LEASE_MS,
        );
        part.advance(millis(at + 5));
        assert_eq!(part.acting(millis(at + 5)), None, "at {at}");
    }
    part.advance(millis(4_011));

    let lease = part.acting(millis(4_011)).expect("an active lease");
    assert_eq!(lease.token(), 5, "a lease keeps the token that it began with");
    assert!(part.acting(millis(6_900)).is_none(), "the last request was sent at 4 s");
}

#[test]
fn a_lease_that_expired_during_a_freeze_starts_again_with_a_new_token() {
    let mut part = granted_part();
    part.advance(millis(9_000));
    part.apply_answer(
        LeaseAnswer { token: 9, granted: true },
        millis(9_000),
        millis(9_005),
        LEASE_MS,
    );
    part.advance(millis(9_005));

    assert_eq!(part.acting(millis(9_005)), None);
    for at in [10_000, 11_000, 12_000] {
        part.apply_answer(
            LeaseAnswer { token: 9, granted: true },
            millis(at),
            millis(at),
            LEASE_MS,
        );
    }
    part.advance(millis(12_100));
    assert_eq!(part.acting(millis(12_100)).map(|lease| lease.token()), Some(9));
}

#[test]
fn spot_replicas_replace_on_demand_ones_only_once_they_serve() {
    let count = |on_demand, spot| ZoneCount { on_demand, spot };
    assert_eq!(zone_target(&PLAN, 20, count(20, 0)), ZoneTarget { on_demand: 20, spot: 17 });
    assert_eq!(zone_target(&PLAN, 20, count(20, 9)), ZoneTarget { on_demand: 11, spot: 17 });
    assert_eq!(zone_target(&PLAN, 20, count(3, 17)), ZoneTarget { on_demand: 3, spot: 17 });
    assert_eq!(
        zone_target(&PLAN, 20, count(3, 0)),
        ZoneTarget { on_demand: 20, spot: 17 },
        "spot replicas were reclaimed"
    );
}

#[test]
fn spot_and_on_demand_replicas_together_stay_within_the_limit() {
    let tight = ScalePlan { max: 24, ..PLAN };
    for on_demand in 0..=24 {
        for spot in 0..=24 {
            let target = zone_target(&tight, 20, ZoneCount { on_demand, spot });
            assert!(
                target.on_demand + target.spot <= tight.max.max(on_demand + spot),
                "{on_demand} {spot} {target:?}"
            );
            assert!(target.on_demand >= 1);
        }
    }
}

#[test]
fn without_spot_replicas_a_zone_keeps_its_size() {
    let on_demand_only = ScalePlan { spot_price: None, ..PLAN };
    let count = ZoneCount { on_demand: 12, spot: 0 };
    assert_eq!(zone_target(&on_demand_only, 20, count), ZoneTarget { on_demand: 20, spot: 0 });
}

#[test]
fn each_window_is_reported_once_and_by_its_due_time() {
    let mut fleet = LeaderFleet::new(5, 1, false);
    fleet.run(60_000);

    let reports = fleet.reports();
    let last = fleet.window() - 1 - REPORT_DUE_MS / WINDOW_MS;
    for window in last - 6..=last {
        let counts = reports.get(&window).unwrap_or_else(|| panic!("window {window} is missing"));
        assert_eq!(counts.len(), 1, "window {window}");
        let reported: u64 = counts.iter().flat_map(BTreeMap::values).sum();
        assert_eq!(
            reported, fleet.expected_counts[&window],
            "window {window} {:?}",
            fleet.expected_counts
        );
    }
}

#[test]
fn faults_cause_neither_two_leaders_nor_two_reports_of_a_window() {
    for seed in (1..=8).chain([11, 45]) {
        let mut fleet = LeaderFleet::new(4, seed, true);
        fleet.faults = true;
        fleet.run(120_000);
        assert_single_leader(&fleet, seed);
        fleet.faults = false;
        fleet.run(60_000);
        assert_single_leader(&fleet, seed);
        let last = fleet.window() - 1 - REPORT_DUE_MS / WINDOW_MS;
        assert!(fleet.reports().contains_key(&last), "seed {seed}: reports have stopped");
    }
}

/// Checks the platform's rules: one report for each window, one box for each token, and no change
/// of the leader and back within one lease length.
fn assert_single_leader(fleet: &LeaderFleet, seed: u64) {
    for (window, counts) in fleet.reports() {
        assert_eq!(counts.len(), 1, "seed {seed}: window {window} has two reports");
    }
    let mut holders: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
    for done in &fleet.done {
        holders.entry(done.token).or_default().insert(done.holder);
    }
    assert!(holders.values().all(|boxes| boxes.len() == 1), "seed {seed}: {holders:?}");
    let mut turns: Vec<(u64, usize)> = Vec::new();
    for done in &fleet.done {
        if turns.last().is_none_or(|(_, holder)| *holder != done.holder) {
            turns.push((done.at, done.holder));
        }
    }
    for turn in turns.windows(3) {
        let is_back = turn[0].1 == turn[2].1 && turn[2].0 - turn[1].0 < LEASE_MS;
        assert!(!is_back, "seed {seed}: {turn:?}");
    }
}

#[test]
fn a_zone_that_loses_its_spot_replicas_gets_on_demand_ones_at_once() {
    let mut fleet = LeaderFleet::new(3, 1, true);
    fleet.run(60_000);
    for zone in ZONES {
        assert_eq!((fleet.count(zone, false), fleet.count(zone, true)), (3, 17), "{zone}");
    }

    fleet.has_spot = false;
    fleet.reclaim("east");
    fleet.run(8_000);
    assert_eq!(fleet.count("east", false), ZONE_SIZE as usize);
    assert_eq!(fleet.count("north", true), 17, "other zones are unchanged");

    fleet.has_spot = true;
    fleet.run(40_000);
    assert_eq!((fleet.count("east", false), fleet.count("east", true)), (3, 17));
}

/// A box that acts as the leader, under token 5.
fn acting_box() -> TestBox {
    let usage = Some(UsageBounds { window_ms: WINDOW_MS, late_ms: REPORT_DUE_MS });
    let leader = Some(LeaderBounds { lease_ms: LEASE_MS, usage, scales: false });
    let mut subject = new_box("box-1");
    subject.state = RouteState::new(RouteSettings { leader, ..settings("box-1") });
    for _ in 0..4 {
        let answer = LeaseAnswer { token: 5, granted: true };
        let asked_at = BoxTime::from_millis(subject.now);
        subject.feed(RouteEvent::LeaseAnswered { asked_at, answer });
        subject.now += 1_000;
        subject.feed(RouteEvent::Tick);
    }
    subject
}

/// Reports that the effects send.
fn sent_reports(effects: &[RouteEffect]) -> Vec<UsageReport> {
    let report = |effect: &RouteEffect| match effect {
        RouteEffect::RunLeaderStep(order) => match &order.step {
            LeaderStep::Call(LeaderCall::Report(report)) => Some(report.clone()),
            _ => None,
        },
        _ => None,
    };
    effects.iter().filter_map(report).collect()
}

#[test]
fn a_late_takeover_answer_does_not_reset_the_reports() {
    let left = UsageReport { window: 0, counts: [("alpha".to_owned(), 3)].into() };
    let records_read =
        |records: Vec<LeaderRecord>| RouteEvent::LeaderRecordsRead { token: 5, next: 0, records };
    let mut subject = acting_box();
    subject.feed(records_read(vec![LeaderRecord::Usage(left.clone())]));
    let again = sent_reports(&subject.feed(RouteEvent::Tick));
    assert_eq!(again.as_slice(), std::slice::from_ref(&left));

    let mut subject = acting_box();
    subject.feed(records_read(Vec::new()));
    subject.feed(records_read(vec![LeaderRecord::Usage(left)]));
    assert_eq!(sent_reports(&subject.feed(RouteEvent::Tick)), []);
}

#[test]
fn counts_that_a_box_sends_twice_are_added_once() {
    let mut round = UsageRound::begin(7, [("alpha".to_owned(), 1)].into());
    let usage = UsageReport { window: 7, counts: [("alpha".to_owned(), 2)].into() };
    let response = UsageResponse { gossip_address: "box-2:90".to_owned(), usage };

    round.add_response(&response);
    round.add_response(&response);

    let bounds = UsageBounds { window_ms: WINDOW_MS, late_ms: REPORT_DUE_MS };
    let due_at = WallTime(8 * WINDOW_MS + REPORT_DUE_MS);
    let step = round.step(bounds, &["box-2:90".to_owned()], due_at);
    let RoundStep::Report(report) = step else { panic!("{step:?}") };
    assert_eq!(report.counts["alpha"], 3);
}
