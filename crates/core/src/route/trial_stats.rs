//! What speaks against a version on trial: answers and their times, beside those of the other versions.

use std::collections::BTreeMap;

use serde::Serialize;

/// Answers on trial below which nothing is held against it.
pub const MIN_RUNS: f64 = 8.0;

/// Standard errors that the trial's failures must exceed the other versions' by.
pub const MIN_STANDARD_ERRORS: f64 = 3.0;

/// Failures beyond the other versions' share that count at the least.
pub const MIN_EXCESS_SHARE: f64 = 0.08;

/// Logarithm of how many times slower counts as bad: 1.7 times.
pub const MIN_SLOWDOWN_LOG: f64 = 0.53;

/// Answers and failures that the other versions are taken to have had before the first one is seen: one
/// in twenty.
const PRIOR_RUNS: f64 = 20.0;
const PRIOR_BAD: f64 = 1.0;

/// Least variance of the logarithms of times, so that a few equal ones prove nothing.
const VARIANCE_FLOOR: f64 = 0.04;

/// Counts of the answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct VersionStats {
    /// Answers, failed ones included.
    pub runs: f64,
    /// Failures.
    pub bad: f64,
    /// Answers whose time was taken.
    pub timed: f64,
    /// Sum of the logarithms of their times.
    pub log_sum: f64,
    /// Sum of the squares of those logarithms.
    pub log_square: f64,
}

impl VersionStats {
    /// Adds an answer: whether it failed, and how long it took if that says something.
    pub fn add(&mut self, bad: bool, took_ms: Option<f64>) {
        self.runs += 1.0;
        self.bad += f64::from(u8::from(bad));
        if let Some(took) = took_ms {
            let log = took.max(1.0).ln();
            self.timed += 1.0;
            self.log_sum += log;
            self.log_square += log * log;
        }
    }

    /// Adds another tally.
    pub fn merge(&mut self, other: &VersionStats) {
        self.runs += other.runs;
        self.bad += other.bad;
        self.timed += other.timed;
        self.log_sum += other.log_sum;
        self.log_square += other.log_square;
    }

    fn bad_share(&self) -> f64 {
        self.bad / self.runs.max(1.0)
    }

    fn log_mean(&self) -> f64 {
        self.log_sum / self.timed.max(1.0)
    }

    fn log_variance(&self) -> f64 {
        let mean = self.log_mean();
        (self.log_square / self.timed.max(1.0) - mean * mean).max(VARIANCE_FLOOR)
    }
}

/// Tallies of one route: the version on trial beside the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TrialStats {
    /// The version on trial.
    #[serde(rename = "fresh")]
    pub canary: VersionStats,
    /// The others.
    #[serde(rename = "base")]
    pub baseline: VersionStats,
}

/// How a version does worse than the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum TrialFault {
    /// More of its answers are failures.
    FailsMore,
    /// Its answers take longer.
    Slower,
}

/// What speaks against a version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrialFinding {
    /// Route that shows it; `None` for all together.
    pub route: Option<String>,
    /// What it does worse.
    pub fault: TrialFault,
    /// The answers that show it.
    pub tally: TrialStats,
}

impl TrialStats {
    /// What the version on trial does worse than chance explains, if anything.
    pub fn fault(&self) -> Option<TrialFault> {
        if self.fails_more() {
            return Some(TrialFault::FailsMore);
        }
        self.is_slower().then_some(TrialFault::Slower)
    }

    /// How many times as long its answers take, by their logarithms' means.
    pub fn times_slower(&self) -> f64 {
        (self.canary.log_mean() - self.baseline.log_mean()).exp()
    }

    fn fails_more(&self) -> bool {
        let (canary, baseline) = (&self.canary, &self.baseline);
        if canary.runs < MIN_RUNS {
            return false;
        }
        let expected = (baseline.bad + PRIOR_BAD) / (baseline.runs + PRIOR_RUNS);
        let error = (expected * (1.0 - expected) / canary.runs).sqrt();
        let excess = canary.bad_share() - expected;
        excess > MIN_EXCESS_SHARE && excess > MIN_STANDARD_ERRORS * error
    }

    fn is_slower(&self) -> bool {
        let (canary, baseline) = (&self.canary, &self.baseline);
        if canary.timed < MIN_RUNS || baseline.timed < MIN_RUNS {
            return false;
        }
        let excess = canary.log_mean() - baseline.log_mean();
        // A new version's times spread: its caches are cold at first. With the others' spread alone, 14 of its
        // answers condemned a good version.
        let error = (canary.log_variance() / canary.timed
            + baseline.log_variance() / baseline.timed)
            .sqrt();
        excess > MIN_SLOWDOWN_LOG && excess > MIN_STANDARD_ERRORS * error
    }
}

/// Tallies by route name.
pub type RouteStats = BTreeMap<String, TrialStats>;
