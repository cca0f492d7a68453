//! Statistical comparison of a version on trial, the canary, with the other versions, the baseline:
//! failures and response times.

use std::collections::BTreeMap;

use serde::Serialize;

/// Least number of responses of the canary for a finding against it.
pub const MIN_RUNS: f64 = 8.0;

/// Number of standard errors by which the canary must be worse than the baseline.
pub const MIN_STANDARD_ERRORS: f64 = 3.0;

/// Least excess of the canary's failure share over the baseline's that counts.
pub const MIN_EXCESS_SHARE: f64 = 0.08;

/// Logarithm of the slowdown that counts as bad, 1.7 times.
pub const MIN_SLOWDOWN_LOG: f64 = 0.53;

/// Prior of the baseline's failure share, as responses and failures assumed before the first
/// observation: one in twenty.
const PRIOR_RUNS: f64 = 20.0;
const PRIOR_BAD: f64 = 1.0;

/// Least variance of the logarithms of times, so that a few equal times prove nothing.
const VARIANCE_FLOOR: f64 = 0.04;

/// Statistics of the responses of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct VersionStats {
    /// Responses, including failed ones.
    pub runs: f64,
    /// Failed responses.
    pub bad: f64,
    /// Responses whose time was taken.
    pub timed: f64,
    /// Sum of the logarithms of their times.
    pub log_sum: f64,
    /// Sum of the squares of those logarithms.
    pub log_square: f64,
    /// Highest load that a replica of the version reported with a response, as a share of its
    /// slots.
    pub peak_load: f64,
}

impl VersionStats {
    /// Adds a response: whether it failed, and its time in milliseconds if that is meaningful.
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

    /// Records the load that a replica reported with a response, as a share of its slots.
    pub fn record_load(&mut self, load: f64) {
        self.peak_load = self.peak_load.max(load);
    }

    /// Adds the statistics of another box.
    pub fn merge(&mut self, other: &VersionStats) {
        self.runs += other.runs;
        self.bad += other.bad;
        self.timed += other.timed;
        self.log_sum += other.log_sum;
        self.log_square += other.log_square;
        self.peak_load = self.peak_load.max(other.peak_load);
    }

    /// Least share of faulty responses that this many responses would have shown, by
    /// [`MIN_STANDARD_ERRORS`], beside none of the baseline's.
    pub fn least_shown_share(&self) -> f64 {
        let squared = MIN_STANDARD_ERRORS * MIN_STANDARD_ERRORS;
        (squared / (squared + self.runs)).max(MIN_EXCESS_SHARE)
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

/// Statistics of one route for the canary and the baseline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TrialStats {
    /// The version on trial.
    #[serde(rename = "fresh")]
    pub canary: VersionStats,
    /// The other versions.
    #[serde(rename = "base")]
    pub baseline: VersionStats,
}

/// How a version is worse than the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum TrialFault {
    /// A greater share of its responses fails.
    FailsMore,
    /// Its responses take longer.
    Slower,
}

/// A statistically significant finding against a version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrialFinding {
    /// The route that shows it; `None` for all routes together.
    pub route: Option<String>,
    /// How the version is worse.
    pub fault: TrialFault,
    /// The statistics that show it.
    #[serde(rename = "tally")]
    pub stats: TrialStats,
}

impl TrialStats {
    /// The fault of the canary that chance does not explain, if any.
    pub fn fault(&self) -> Option<TrialFault> {
        if self.fails_more() {
            return Some(TrialFault::FailsMore);
        }
        self.is_slower().then_some(TrialFault::Slower)
    }

    /// Ratio of the canary's response times to the baseline's, by the means of their logarithms.
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
        // A new version's times vary more, since its caches are cold at first. With the baseline's
        // variance alone, 14 responses were enough to condemn a good version.
        let error = (canary.log_variance() / canary.timed
            + baseline.log_variance() / baseline.timed)
            .sqrt();
        excess > MIN_SLOWDOWN_LOG && excess > MIN_STANDARD_ERRORS * error
    }
}

/// Statistics by route name.
pub type RouteStats = BTreeMap<String, TrialStats>;
