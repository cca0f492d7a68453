//! The evidence of all boxes about a version on trial, and the tests on it.
//!
//! Each test is a log-likelihood ratio: how much better the responses agree with a version that is
//! worse by [`LEAST_FAULT_SHARE`] than with one that is as good as the baseline. A version is bad
//! when a ratio has risen far enough above its lowest value, so that a fault that begins late
//! counts in full. It is accepted only when all ratios are low enough: few responses show nothing,
//! in either direction.
//!
//! [`LEAST_FAULT_SHARE`]: super::trial_stats::LEAST_FAULT_SHARE

use std::collections::BTreeMap;

use serde::Serialize;

use super::trial_stats::{RouteStats, TrialFault, TrialFinding, TrialStats, MIN_SLOWDOWN_LOG};

/// Rise of a log-likelihood ratio from which a version is bad. A good version reaches it in one of
/// some 400 tests.
pub const REJECT_EVIDENCE: f64 = 6.0;

/// The same on one route, as there are many.
pub const ROUTE_REJECT_EVIDENCE: f64 = 8.0;

/// Log-likelihood ratio in favour of a good version, over all routes, that its acceptance needs.
pub const ACCEPT_EVIDENCE: f64 = 3.0;

/// The same on each main route. A version may be bad on one route only.
pub const ROUTE_ACCEPT_EVIDENCE: f64 = 0.0;

/// Log-likelihood ratio in favour of a bad version up to which other routes do not matter.
const MINOR_ROUTE_EVIDENCE: f64 = 2.0;

/// Rise of a log-likelihood ratio up to which a version may be accepted.
const ACCEPT_RISE: f64 = 3.5;

/// Share of the responses from which a route is a main route.
const MAIN_ROUTE_SHARE: f64 = 0.15;

/// Excess of faulty responses over those expected from which a version is bad, however many
/// responses there are.
const EXCESS_LIMIT: f64 = 15.0;

/// Number of standard errors that such an excess must exceed.
const EXCESS_STANDARD_ERRORS: f64 = 4.0;

/// Least number of timed responses of the version for its acceptance, on routes that have a mean,
/// where the means are needed.
const MIN_TIMED: f64 = 20.0;

/// Standard errors added to a slowdown that a version must not have, for its acceptance.
const SLOWDOWN_STANDARD_ERRORS: f64 = 2.0;

/// Statistics of another box. A box that restarts counts from zero again.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeerStats {
    incarnation: u64,
    /// Statistics of its earlier processes.
    former: RouteStats,
    /// Statistics of its current process.
    current: RouteStats,
}

impl PeerStats {
    /// Applies the statistics that the box reported.
    pub fn apply(&mut self, incarnation: u64, current: &RouteStats) {
        if incarnation != self.incarnation {
            merge_stats(&mut self.former, &self.current);
            self.incarnation = incarnation;
        }
        self.current.clone_from(current);
    }

    /// Adds the statistics of all its processes.
    pub fn add_to(&self, all: &mut RouteStats) {
        merge_stats(all, &self.former);
        merge_stats(all, &self.current);
    }

    /// Adds the statistics of all its processes on one route.
    pub fn add_route_to(&self, route: &str, stats: &mut TrialStats) {
        for known in [&self.former, &self.current].into_iter().filter_map(|all| all.get(route)) {
            stats.merge(known);
        }
    }
}

/// Adds statistics by route.
fn merge_stats(all: &mut RouteStats, other: &RouteStats) {
    for (route, stats) in other {
        all.entry(route.clone()).or_default().merge(stats);
    }
}

/// A test: the fault that it looks for, and its route; `None` for all routes.
type TestKey = (TrialFault, Option<String>);

/// Log-likelihood ratios of all tests, with the statistics of each.
fn ratios(evidence: &RouteStats) -> Vec<(TestKey, f64, TrialStats)> {
    let mut rows = Vec::new();
    for fault in [TrialFault::FailsMore, TrialFault::Slower] {
        let mut all = (0.0, TrialStats::default());
        for (route, stats) in evidence {
            let ratio = stats.log_ratio(fault);
            all.0 += ratio;
            all.1.merge(stats);
            rows.push(((fault, Some(route.clone())), ratio, *stats));
        }
        rows.push(((fault, None), all.0, all.1));
    }
    rows
}

/// What the responses leave open about a version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrialDoubt {
    /// The fault that the version may have.
    pub fault: TrialFault,
    /// Its route; `None` for all routes.
    pub route: Option<String>,
    /// Log-likelihood ratio of the test, or the largest slowdown that is possible, as a logarithm.
    pub ratio: f64,
    /// Rise of the ratio above its lowest value.
    pub rise: f64,
}

/// Tests of a version on trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultTests {
    /// Lowest log-likelihood ratio so far, by fault and route.
    #[serde(skip)]
    lowest: BTreeMap<TestKey, f64>,
}

impl FaultTests {
    /// Follows the ratios, so that a later rise is known.
    pub fn follow(&mut self, evidence: &RouteStats) {
        for (key, ratio, _) in ratios(evidence) {
            let lowest = self.lowest.entry(key).or_default();
            *lowest = lowest.min(ratio);
        }
    }

    /// The first finding against the version, if there is one.
    pub fn finding(&self, evidence: &RouteStats) -> Option<TrialFinding> {
        let rises = ratios(evidence).into_iter();
        let risen = rises.map(|(key, ratio, stats)| (self.rise(&key, ratio), key, stats));
        let limit = |key: &TestKey| match key.1 {
            None => REJECT_EVIDENCE,
            Some(_) => ROUTE_REJECT_EVIDENCE,
        };
        let mut risen = risen.filter(|(rise, key, _)| *rise >= limit(key));
        let finding = |(fault, route), stats| TrialFinding { route, fault, stats };
        let by_ratio = risen.next().map(|(_, key, stats)| finding(key, stats));
        by_ratio.or_else(|| excess_finding(evidence)).or_else(|| {
            let mut rows = evidence.iter();
            rows.find_map(|(route, stats)| {
                let slower = stats.is_slower();
                slower.then(|| finding((TrialFault::Slower, Some(route.clone())), *stats))
            })
        })
    }

    /// What the responses still leave open, or `None` if they show that the version has no fault
    /// that matters.
    pub fn doubt(&self, evidence: &RouteStats) -> Option<TrialDoubt> {
        let responses = |stats: &TrialStats| stats.canary.runs + stats.baseline.runs;
        let all: f64 = evidence.values().map(responses).sum();
        let open = ratios(evidence).into_iter().find_map(|(key, ratio, stats)| {
            let is_main = responses(&stats) >= MAIN_ROUTE_SHARE * all;
            let needed = match &key.1 {
                _ if !stats.can_show(key.0) => f64::INFINITY,
                None => -ACCEPT_EVIDENCE,
                Some(_) if is_main => -ROUTE_ACCEPT_EVIDENCE,
                Some(_) => MINOR_ROUTE_EVIDENCE,
            };
            let rise = self.rise(&key, ratio);
            let (fault, route) = key;
            (ratio > needed || rise > ACCEPT_RISE).then_some(TrialDoubt {
                fault,
                route,
                ratio,
                rise,
            })
        });
        open.or_else(|| slowdown_doubt(evidence))
    }

    fn rise(&self, key: &TestKey, ratio: f64) -> f64 {
        ratio - self.lowest.get(key).copied().unwrap_or_default().min(ratio)
    }
}

/// The doubt whether the version is slower by a factor that matters, from the mean times of all
/// routes.
fn slowdown_doubt(evidence: &RouteStats) -> Option<TrialDoubt> {
    let (mut count, mut sum, mut variance) = (0.0, 0.0, 0.0);
    for stats in evidence.values() {
        if let Some((excess, error)) = stats.slowdown() {
            let timed = stats.canary.timed;
            count += timed;
            sum += timed * excess;
            variance += (timed * error) * (timed * error);
        }
    }
    // Where single responses can't be told to be slow, only the means show it.
    let means_needed = !evidence.values().any(|stats| stats.can_show(TrialFault::Slower));
    if means_needed && count < MIN_TIMED {
        let ratio = f64::INFINITY;
        return Some(TrialDoubt { fault: TrialFault::Slower, route: None, ratio, rise: 0.0 });
    }
    let highest = sum + SLOWDOWN_STANDARD_ERRORS * f64::sqrt(variance);
    let ratio = highest / f64::max(count, 1.0);
    let doubt = TrialDoubt { fault: TrialFault::Slower, route: None, ratio, rise: 0.0 };
    (ratio > MIN_SLOWDOWN_LOG).then_some(doubt)
}

/// A finding by the number of faulty responses beyond those expected, over all routes.
fn excess_finding(evidence: &RouteStats) -> Option<TrialFinding> {
    let mut all = TrialStats::default();
    evidence.values().for_each(|stats| all.merge(stats));
    let is_beyond = |fault: &TrialFault| {
        let rows = evidence.values().map(|stats| stats.excess(*fault));
        let (excess, variance) = rows.fold((0.0, 0.0), |sum, row| (sum.0 + row.0, sum.1 + row.1));
        excess >= EXCESS_LIMIT && excess > EXCESS_STANDARD_ERRORS * variance.sqrt()
    };
    let fault = [TrialFault::FailsMore, TrialFault::Slower].into_iter().find(is_beyond)?;
    Some(TrialFinding { route: None, fault, stats: all })
}
