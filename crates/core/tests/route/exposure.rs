//! Exposure of versions on trial: no version gets more requests than its bound allows, whether
//! anything is found against it or not, and good versions are accepted in time.

use ravenspoke_core::route::trial::TrialState;

use crate::rollout_site::{outcomes, play, Manner, RolloutCase, RolloutResult};

/// Bound on the requests of a version on trial: a share of the service's requests, and a number of
/// requests beyond it.
const BOUND_SHARE: f64 = 0.15;
const BOUND_SLACK: f64 = 30.0;

/// Requests that may run on another version than their session, as the callers accept.
const MOVED_LIMIT: u32 = 3;

const DURATIONS_MS: [u64; 3] = [12_000, 16_000, 24_000];

/// Rollouts of every duration and load, with and without sessions.
fn cases(manner: Manner, share: f64) -> Vec<RolloutCase> {
    let mut cases = Vec::new();
    for duration_ms in DURATIONS_MS {
        for per_s in [30.0, 90.0] {
            for sessions in [0, 60] {
                let seed = cases.len() as u64 * 5 + 10;
                cases.push(RolloutCase { seed, manner, share, duration_ms, per_s, sessions });
            }
        }
    }
    cases
}

fn is_beyond_bound(result: &RolloutResult) -> bool {
    f64::from(result.canary) > BOUND_SHARE * f64::from(result.all) + BOUND_SLACK
}

/// Cases of a manner in which a promise is broken.
fn broken(manner: Manner, share: f64) -> Vec<(RolloutCase, RolloutResult)> {
    let results = cases(manner, share).into_iter().map(|case| (case, play(case)));
    let is_broken = |result: &RolloutResult| {
        is_beyond_bound(result) || result.late > 0 || result.moved > MOVED_LIMIT
    };
    results.filter(|(_, result)| is_broken(result)).collect()
}

// Guards against phases that exceed the bound unless a finding stops them.
#[test]
fn a_version_without_findings_stays_within_its_bound() {
    let results: Vec<RolloutResult> = cases(Manner::Good, 0.0).into_iter().map(play).collect();
    let beyond: Vec<&RolloutResult> = results.iter().filter(|row| is_beyond_bound(row)).collect();
    assert!(beyond.is_empty(), "{} of {}: {beyond:?}", beyond.len(), results.len());
}

#[test]
fn a_version_that_fails_under_load_stays_within_its_bound() {
    for share in [0.3, 0.7] {
        let broken = broken(Manner::UnderLoad, share);
        assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
    }
}

// Guards against acceptance on a mean of times, which a few slow responses hardly change.
#[test]
fn a_version_that_is_slow_now_and_then_stays_within_its_bound() {
    for share in [0.3, 0.7] {
        let broken = broken(Manner::Slow, share);
        assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
    }
}

#[test]
fn a_version_that_fails_stays_within_its_bound() {
    for manner in [Manner::Errors, Manner::OneRoute, Manner::Late] {
        for share in [0.3, 0.7] {
            let broken = broken(manner, share);
            assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
        }
    }
}

#[test]
fn good_versions_are_accepted_in_time() {
    let results: Vec<RolloutResult> = cases(Manner::Good, 0.0).into_iter().map(play).collect();
    let moved: u32 = results.iter().map(|result| result.moved).sum();
    let outcomes = outcomes(&results);
    assert!(results.iter().all(|row| row.at_end != Some(TrialState::RolledBack)), "{outcomes:?}");
    assert!(results.iter().all(|row| row.at_deadline == Some(TrialState::Done)), "{outcomes:?}");
    assert_eq!(moved, 0);
}
