//! Boxes that lose their network paths to replicas, while callers, the store and other boxes still
//! reach them.

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
