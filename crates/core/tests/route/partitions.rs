//! Boxes that lose their network paths to replicas, while callers, the store and other boxes still
//! reach them.

use ravenspoke_core::ids::ReplicaKey;
use ravenspoke_core::route::event::{RouteEffect, RouteEvent};
use ravenspoke_core::route::paths::{PathPhase, RECHECK_MS};

use crate::fixture::{entry, new_box, plan, TestBox};
use crate::partition_fleet::{FirstTry, PartitionFleet, PathFailure};

/// Bound on the time until callers are served again, from the begin of a partition, in
/// milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Length of a partition, in milliseconds.
const LOST_MS: u64 = 12_000;

/// First tries that may fail at the boxes of a partition: some, and a share of all first tries.
const FAILED_ALLOWED: (f64, f64) = (10.0, 0.02);

/// Least share of first tries served at these boxes, as a multiple of that at the others.
const SERVED_SHARE: f64 = 2.0 / 3.0;

const FAILURES: [PathFailure; 3] = [PathFailure::Refused, PathFailure::Reset, PathFailure::Hanging];

fn served(tries: &[FirstTry]) -> usize {
    tries.iter().filter(|row| row.ended.is_some_and(|(_, served)| served)).count()
}

/// A fleet in which some boxes lose all paths to replicas after five seconds.
fn partitioned(boxes: usize, replicas: usize, cut: &[usize], how: PathFailure) -> PartitionFleet {
    let mut fleet = PartitionFleet::start(boxes, replicas);
    fleet.play(5_000);
    for number in cut {
        fleet.lose_paths(*number, |_| true, how);
    }
    fleet
}

/// Panics if callers of the boxes in `cut` were served too seldom from `from` until `until`.
fn assert_served(fleet: &PartitionFleet, cut: &[usize], from: u64, until: u64) {
    let inside = fleet.tries(from, until, |number| cut.contains(&number));
    let outside = fleet.tries(from, until, |number| !cut.contains(&number));
    let share = |tries: &[FirstTry]| served(tries) as f64 / tries.len().max(1) as f64;
    let failed = inside.len() - served(&inside);
    let allowed = FAILED_ALLOWED.0 + FAILED_ALLOWED.1 * (inside.len() + outside.len()) as f64;
    let seldom = share(&inside) < SERVED_SHARE * share(&outside);
    assert!(
        !(seldom && failed as f64 > allowed),
        "{cut:?}: {} of {} first tries served, at the others {} of {}",
        served(&inside),
        inside.len(),
        served(&outside),
        outside.len()
    );
}

#[test]
fn callers_of_boxes_that_reach_no_replica_are_served() {
    for how in FAILURES {
        for cut in [&[0][..], &[0, 2, 5], &[0, 1, 2, 3, 4, 5]] {
            let mut fleet = partitioned(7, 12, cut, how);
            let lost_at = fleet.now;

            fleet.play(LOST_MS);

            assert_served(&fleet, cut, lost_at + CONTACT_MS, fleet.now - 1_000);
        }
    }
}

#[test]
fn box_sends_on_the_paths_that_work_when_half_of_them_are_lost() {
    for how in FAILURES {
        let mut fleet = PartitionFleet::start(7, 12);
        fleet.play(5_000);
        for number in 0..7 {
            fleet.lose_paths(number, |replica| (replica + number) % 2 == 0, how);
        }
        let lost_at = fleet.now;
        fleet.play(CONTACT_MS);
        let failed_before: usize = fleet.failed_sends.iter().sum();
        let sent_before: usize = fleet.sends.iter().sum();

        fleet.play(LOST_MS - CONTACT_MS);

        let failed = fleet.failed_sends.iter().sum::<usize>() - failed_before;
        let sent = fleet.sends.iter().sum::<usize>() - sent_before;
        let tries = fleet.tries(lost_at + CONTACT_MS, fleet.now - 1_000, |_| true);
        assert!(
            served(&tries) * 100 >= tries.len() * 97,
            "{how:?}: {}/{}",
            served(&tries),
            tries.len()
        );
        assert!(failed * 4 < sent, "{how:?}: {failed} sends failed on their path, {sent} did not");
    }
}

#[test]
fn directory_stays_filled_when_no_box_reaches_a_replica() {
    for how in FAILURES {
        let all: Vec<usize> = (0..7).collect();
        let mut fleet = partitioned(7, 12, &all, how);

        fleet.play(CONTACT_MS);

        for number in 0..7 {
            assert_eq!(fleet.listed(number), all, "{how:?}: box {number}");
        }
    }
}

#[test]
fn replicas_that_are_down_for_all_boxes_empty_no_directory_and_requests_are_refused_at_once() {
    let all: Vec<usize> = (0..7).collect();
    let mut fleet = PartitionFleet::start(7, 12);
    fleet.play(5_000);
    fleet.down.fill(true);
    fleet.play(2_000);
    let from = fleet.now;

    fleet.play(3_000);

    for number in 0..7 {
        assert_eq!(fleet.listed(number), all, "box {number}");
    }
    for row in fleet.tries(from, fleet.now - 500, |_| true) {
        let (ended_at, served) = row.ended.expect("the request ends");
        assert!(!served && ended_at - row.at <= 50, "{row:?}");
    }
    let forwards: usize = fleet.forwards.iter().sum();
    assert!(forwards <= 30, "{forwards} requests were forwarded to boxes that reach no replica");
}

#[test]
fn box_whose_paths_return_serves_its_callers_itself() {
    for how in FAILURES {
        let mut fleet = partitioned(7, 12, &[0, 2, 5], how);
        fleet.play(LOST_MS);
        assert_eq!(fleet.listed(1), [1, 3, 4, 6], "{how:?}");
        [0, 2, 5].iter().for_each(|number| fleet.restore_paths(*number));
        fleet.play(3_000);
        fleet.forwards.fill(0);
        let from = fleet.now;

        fleet.play(5_000);

        let all: Vec<usize> = (0..7).collect();
        assert_eq!(fleet.listed(1), all, "{how:?}");
        assert_eq!(fleet.forwards, [0; 7], "{how:?}");
        let tries = fleet.tries(from, fleet.now - 1_000, |_| true);
        assert_eq!(served(&tries), tries.len(), "{how:?}");
    }
}

#[test]
fn callers_are_served_while_paths_come_and_go() {
    for how in FAILURES {
        let mut fleet = PartitionFleet::start(7, 12);
        fleet.play(5_000);
        let from = fleet.now;
        for _ in 0..8 {
            [0, 2, 5].iter().for_each(|number| fleet.lose_paths(*number, |_| true, how));
            fleet.play(1_000);
            [0, 2, 5].iter().for_each(|number| fleet.restore_paths(*number));
            fleet.play(1_000);
        }

        assert_served(&fleet, &[0, 2, 5], from + CONTACT_MS, fleet.now - 1_000);
    }
}

#[test]
fn box_that_starts_without_paths_serves_its_callers_through_others() {
    for how in FAILURES {
        let mut fleet = partitioned(7, 12, &[0], how);
        fleet.play(2_000);
        fleet.restart(0);
        let from = fleet.now;

        fleet.play(LOST_MS);

        assert_served(&fleet, &[0], from + CONTACT_MS, fleet.now - 1_000);
        assert!(!fleet.listed(1).contains(&0), "{how:?}");
    }
}

#[test]
fn boxes_of_a_large_fleet_that_reach_no_replica_are_not_listed() {
    for how in FAILURES {
        let cut: Vec<usize> = (0..84).filter(|number| number % 4 == 1).collect();
        let mut fleet = partitioned(84, 140, &cut, how);
        let lost_at = fleet.now;

        fleet.play(8_000);

        assert_served(&fleet, &cut, lost_at + CONTACT_MS, fleet.now - 1_000);
        let listed = fleet.listed(0);
        assert!(listed.iter().all(|number| !cut.contains(number)), "{how:?}: {listed:?}");
    }
}

#[test]
fn lost_paths_are_no_evidence_against_contents() {
    for how in FAILURES {
        let mut fleet = PartitionFleet::start(7, 12);
        fleet.one_content = true;
        fleet.play(5_000);
        for _ in 0..4 {
            [0, 2, 5].iter().for_each(|number| fleet.lose_paths(*number, |_| true, how));
            fleet.play(2_000);
            [0, 2, 5].iter().for_each(|number| fleet.restore_paths(*number));
            fleet.play(2_000);
        }

        assert_eq!(fleet.verdicts, [], "{how:?}");
    }
}

#[test]
fn replica_that_is_silent_for_a_while_loses_no_request_and_repeats_none() {
    for boxes in [1, 7] {
        let mut fleet = PartitionFleet::start(boxes, 12);
        fleet.play(5_000);
        let from = fleet.now;
        for round in 0..6 {
            fleet.silent_until[round] = fleet.now + 900;
            fleet.play(2_000);
        }

        let tries = fleet.tries(from, fleet.now - 1_000, |_| true);
        assert_eq!(served(&tries), tries.len(), "{boxes} boxes");
        assert_eq!(fleet.repeats, 0, "{boxes} boxes");
        assert_eq!(fleet.forwards.iter().sum::<usize>(), 0, "{boxes} boxes");
    }
}

/// Time between two checks of all paths, in milliseconds, and a little more.
const CHECK_PAUSE_MS: u64 = RECHECK_MS + 50;

/// A box that knows six replicas, four of which have just crashed, before it checks its paths.
fn box_with_crashed_replicas() -> (TestBox, Vec<ReplicaKey>) {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    ["a", "b", "c", "d", "e", "f"].iter().for_each(|id| subject.put(entry(id, "v1")));
    let keys: Vec<ReplicaKey> = subject.state.backends().rows().map(|(key, _)| key).collect();
    subject.now += CHECK_PAUSE_MS;
    // The first check finds that the paths work; the next one is not due yet.
    let checked = replicas_probed(&probed(&mut subject, &keys[..2], false));
    probed(&mut subject, &checked, true);
    probed(&mut subject, &keys[..4], false);
    subject.now += CHECK_PAUSE_MS;
    (subject, keys)
}

fn probed(subject: &mut TestBox, keys: &[ReplicaKey], reached: bool) -> Vec<RouteEffect> {
    let probe = |key: &ReplicaKey| RouteEvent::PathProbed { replica: *key, reached };
    keys.iter().flat_map(|key| subject.feed(probe(key))).collect()
}

fn replicas_probed(effects: &[RouteEffect]) -> Vec<ReplicaKey> {
    let probe = |effect: &RouteEffect| match effect {
        RouteEffect::ProbePath(key, _) => Some(*key),
        _ => None,
    };
    effects.iter().filter_map(probe).collect()
}

/// Replicas that had crashed were counted as further evidence against the paths, so that crashes were
/// taken back and the content behind them was not found.
#[test]
fn refused_connections_to_crashed_replicas_are_no_lost_path() {
    let (mut subject, keys) = box_with_crashed_replicas();

    probed(&mut subject, &keys[..4], false);

    assert_eq!(subject.state.path_phase(), PathPhase::Suspect);
    probed(&mut subject, &keys[4..], true);
    assert_eq!(subject.state.path_phase(), PathPhase::Working);
}

#[test]
fn paths_are_lost_once_no_other_replica_can_be_reached() {
    let (mut subject, keys) = box_with_crashed_replicas();

    let effects = probed(&mut subject, &keys[..1], false);

    let checked = replicas_probed(&effects);
    assert!(checked.contains(&keys[4]) && checked.contains(&keys[5]), "{checked:?} of {keys:?}");
    probed(&mut subject, &checked, false);
    assert_eq!(subject.state.path_phase(), PathPhase::Lost);
}
