//! Policies under test, and the cost and strength of the simulated models.

use crate::baseline::BaselineKind;

/// Cost units for 1,000 tokens of the cheap and of the strong model.
pub const COST: [f64; 2] = [1.0, 10.0];

/// Difficulty below which an answer meets the quality target, for the cheap and the strong model.
pub const STRENGTH: [f64; 2] = [0.6, 0.985];

/// Share of answers that must meet the target.
pub const TARGET: f64 = 0.9;

/// A policy under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BenchPolicy {
    /// The reducer on this number of boxes.
    Ravenspoke(usize),
    /// A baseline router.
    Baseline(BaselineKind),
}

impl BenchPolicy {
    /// Name in results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ravenspoke(_) => "ravenspoke",
            Self::Baseline(BaselineKind::AlwaysStrong) => "always_strong",
            Self::Baseline(BaselineKind::CheapFirst) => "cheap_first",
            Self::Baseline(BaselineKind::RoundRobin) => "round_robin",
            Self::Baseline(BaselineKind::LeastReportedLoad) => "least_reported_load",
            Self::Baseline(BaselineKind::FixedCanary) => "fixed_canary",
            Self::Baseline(BaselineKind::UnboundedAffinity) => "unbounded_affinity",
            Self::Baseline(BaselineKind::Oracle) => "oracle",
        }
    }

    /// All baselines, in the order of results.
    pub const BASELINES: [BaselineKind; 7] = [
        BaselineKind::AlwaysStrong,
        BaselineKind::CheapFirst,
        BaselineKind::RoundRobin,
        BaselineKind::LeastReportedLoad,
        BaselineKind::FixedCanary,
        BaselineKind::UnboundedAffinity,
        BaselineKind::Oracle,
    ];
}
