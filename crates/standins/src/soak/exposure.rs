//! Checks what a new version receives during its rollout: a share of all requests and a few more, and
//! nothing once it has been bad for some time.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::judge::{BrokenGuarantee, SoakRecord, RECONNECT_LIMIT, SLACK};
use super::recorder::InjectedFault;
use super::sessions::{separates_boxes, ROLLOUT_TIME};
use crate::platform::replica::{BadManner, ReplicaStandin, VersionFault};

/// Share of the requests that a version may receive from its order to its deadline, and the number
/// of requests beyond it. The platform's bound.
const EXPOSED_SHARE: f64 = 0.15;
const EXPOSED_SLACK: f64 = 30.0;

/// Bad responses from which the time of a version is limited, and that limit. The platform's bound.
const BAD_LIMIT: usize = 50;
const ROLLBACK_LIMIT: Duration = Duration::from_millis(5_000);

/// Faults of boxes, store and replicas in a run with a bad version, at most.
pub(super) const FAULTS_BESIDE: usize = 3;

/// Share of the responses that a bad version makes bad.
const BAD_SHARES: std::ops::Range<f64> = 0.3..0.7;

/// When a late fault begins, as a part of the rollout's time.
const BAD_FROM: std::ops::Range<f64> = 0.1..0.6;

/// Draws the fault of a version.
pub(super) fn draw_version_fault(seed: u64) -> VersionFault {
    let mut rng = StdRng::seed_from_u64(seed);
    let manners = [
        BadManner::Errors,
        BadManner::Slow,
        BadManner::UnderLoad,
        BadManner::OneRoute,
        BadManner::Late,
    ];
    VersionFault {
        manner: manners[rng.gen_range(0..manners.len())],
        share: rng.gen_range(BAD_SHARES),
        begins_at: Instant::now() + ROLLOUT_TIME.mul_f64(rng.gen_range(BAD_FROM)),
    }
}

/// Finds a new version that received more than its bound.
pub(super) fn check_exposure(
    record: &SoakRecord,
    faults: &[InjectedFault],
) -> Vec<BrokenGuarantee> {
    let ordered_at = record.rollout.ordered_at;
    let deadline = ordered_at + ROLLOUT_TIME;
    let in_time = |at: &Instant| (ordered_at..deadline).contains(at);
    let left = record.left.iter().map(|left| &left.replica);
    let old = run_times(record.replicas.iter().chain(left));
    let new = run_times(record.new_replicas.iter());
    let all = old.iter().chain(&new).filter(|at| in_time(at)).count();
    let exposed = new.iter().filter(|at| in_time(at) && !is_disturbed(faults, **at)).count();
    let allowed = EXPOSED_SHARE * all as f64 + EXPOSED_SLACK;
    let mut broken = Vec::new();
    if exposed as f64 > allowed {
        broken
            .push(format!("the new version ran {exposed} of {all} requests; allowed {allowed:.0}"));
    }
    let late = late_runs(record, &new).into_iter().filter(|at| !is_disturbed(faults, *at)).count();
    if late > 0 {
        broken.push(format!("the new version ran {late} requests too late after it was bad"));
    }
    broken
}

fn run_times<'a>(replicas: impl Iterator<Item = &'a ReplicaStandin>) -> Vec<Instant> {
    replicas.flat_map(ReplicaStandin::runs).map(|run| run.at).collect()
}

/// Runs of the new version longer than the limit after it was bad often.
fn late_runs(record: &SoakRecord, new: &[Instant]) -> Vec<Instant> {
    let mut bad: Vec<Instant> =
        record.new_replicas.iter().flat_map(ReplicaStandin::bad_times).collect();
    bad.sort();
    let Some(since) = bad.get(BAD_LIMIT - 1) else { return Vec::new() };
    new.iter().copied().filter(|at| *at > *since + ROLLBACK_LIMIT + SLACK).collect()
}

/// Whether a fault keeps a box from what the others know at this time.
fn is_disturbed(faults: &[InjectedFault], at: Instant) -> bool {
    let mut separating = faults.iter().filter(|row| separates_boxes(row.fault));
    separating.any(|row| row.overlaps(at, at, RECONNECT_LIMIT))
}
