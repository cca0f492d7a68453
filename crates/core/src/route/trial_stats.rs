//! Statistical comparison of a version on trial, the canary, with the other versions, the baseline:
//! failures and response times.

use std::collections::BTreeMap;

use serde::Serialize;

/// Least number of responses of the canary for a finding against it.
pub const MIN_RUNS: f64 = 8.0;

/// Number of standard errors by which the canary must be worse than the baseline.
pub const MIN_STANDARD_ERRORS: f64 = 4.0;

/// Least share of a version's responses that a fault affects, to be told from a good version.
pub const LEAST_FAULT_SHARE: f64 = 0.25;

/// A response is slow if it took this many times as long as usual on its route.
pub const SLOW_FACTOR: f64 = 3.0;

/// Times below this count as this, in milliseconds: the network and the wait for a box's turn take
/// as long.
pub const TIME_FLOOR_MS: f64 = 10.0;

/// Bounds of the share of faulty responses that is assumed for the baseline.
const USUAL_SHARES: std::ops::RangeInclusive<f64> = 0.005..=0.7;

/// Share of the baseline's responses that fail up to which a route can show that a version fails.
const USUAL_LIMIT: f64 = 0.5;

/// Least number of the baseline's responses whose slowness is known, for a test of the canary's.
const MIN_JUDGED: f64 = 20.0;

/// Logarithm of the slowdown that counts as bad, 1.7 times.
pub const MIN_SLOWDOWN_LOG: f64 = 0.53;

/// Prior of the baseline's share of faulty responses, as responses and failures assumed before the first
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
    /// Responses of which it is known whether they were slow.
    pub judged: f64,
    /// Slow responses among them.
    pub slow: f64,
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
            let log = took.max(TIME_FLOOR_MS).ln();
            self.timed += 1.0;
            self.log_sum += log;
            self.log_square += log * log;
        }
    }

    /// Records whether a response was slow.
    pub fn record_slowness(&mut self, is_slow: bool) {
        self.judged += 1.0;
        self.slow += f64::from(u8::from(is_slow));
    }

    /// Records the load that a replica reported with a response, as a share of its slots.
    pub fn record_load(&mut self, load: f64) {
        self.peak_load = self.peak_load.max(load);
    }

    /// Adds the statistics of another box.
    pub fn merge(&mut self, other: &VersionStats) {
        self.runs += other.runs;
        self.bad += other.bad;
        self.judged += other.judged;
        self.slow += other.slow;
        self.timed += other.timed;
        self.log_sum += other.log_sum;
        self.log_square += other.log_square;
        self.peak_load = self.peak_load.max(other.peak_load);
    }

    /// Least share of faulty responses that this many responses would have shown, by
    /// [`MIN_STANDARD_ERRORS`], beside none of the baseline's.
    pub fn least_shown_share(&self) -> f64 {
        let squared = MIN_STANDARD_ERRORS * MIN_STANDARD_ERRORS;
        squared / (squared + self.runs)
    }

    /// Responses that show whether there is a fault, and those with it.
    fn counts(&self, fault: TrialFault) -> (f64, f64) {
        match fault {
            TrialFault::FailsMore => (self.runs, self.bad),
            TrialFault::Slower => (self.judged, self.slow),
        }
    }

    /// Usual time of a response, in milliseconds, if enough were timed.
    pub fn usual_ms(&self) -> Option<f64> {
        (self.timed >= MIN_RUNS).then(|| self.log_mean().exp())
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
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
    /// Adds the statistics of other responses.
    pub fn merge(&mut self, other: &TrialStats) {
        self.canary.merge(&other.canary);
        self.baseline.merge(&other.baseline);
    }

    /// Share of the baseline's responses that have a fault.
    fn usual_share(&self, fault: TrialFault) -> f64 {
        let (runs, faulty) = self.baseline.counts(fault);
        let share = (faulty + PRIOR_BAD) / (runs + PRIOR_RUNS);
        share.clamp(*USUAL_SHARES.start(), *USUAL_SHARES.end())
    }

    /// Whether the baseline allows a test for a fault.
    pub fn can_show(&self, fault: TrialFault) -> bool {
        match fault {
            TrialFault::FailsMore => self.usual_share(fault) <= USUAL_LIMIT,
            TrialFault::Slower => self.baseline.judged >= MIN_JUDGED,
        }
    }

    /// Log-likelihood ratio of the canary's responses: positive if they agree better with a version
    /// that has the fault in [`LEAST_FAULT_SHARE`] more of its responses than the baseline.
    pub fn log_ratio(&self, fault: TrialFault) -> f64 {
        if !self.can_show(fault) {
            return 0.0;
        }
        let (runs, faulty) = self.canary.counts(fault);
        let usual = self.usual_share(fault);
        let worse = usual + (1.0 - usual) * LEAST_FAULT_SHARE;
        let (for_fault, against) = ((worse / usual).ln(), ((1.0 - worse) / (1.0 - usual)).ln());
        faulty * for_fault + (runs - faulty) * against
    }

    /// Faulty responses of the canary beyond those expected, and the variance of their number.
    pub fn excess(&self, fault: TrialFault) -> (f64, f64) {
        let (runs, faulty) = self.canary.counts(fault);
        let usual = self.usual_share(fault);
        (faulty - runs * usual, runs * usual * (1.0 - usual))
    }

    /// Ratio of the canary's response times to the baseline's, by the means of their logarithms.
    pub fn times_slower(&self) -> f64 {
        (self.canary.log_mean() - self.baseline.log_mean()).exp()
    }

    /// By how much the mean logarithm of the canary's times exceeds the baseline's, and the standard
    /// error of that.
    pub fn slowdown(&self) -> Option<(f64, f64)> {
        let (canary, baseline) = (&self.canary, &self.baseline);
        if canary.timed < MIN_RUNS || baseline.timed < MIN_RUNS {
            return None;
        }
        // A new version's times vary more, since its caches are cold at first. With the baseline's
        // variance alone, 14 responses were enough to condemn a good version.
        let variance =
            canary.log_variance() / canary.timed + baseline.log_variance() / baseline.timed;
        Some((canary.log_mean() - baseline.log_mean(), variance.sqrt()))
    }

    /// Whether the canary's times are longer in the mean.
    pub fn is_slower(&self) -> bool {
        self.slowdown().is_some_and(|(excess, error)| {
            excess > MIN_SLOWDOWN_LOG && excess > MIN_STANDARD_ERRORS * error
        })
    }
}

/// Statistics by route name.
pub type RouteStats = BTreeMap<String, TrialStats>;
