//! How far a trial has come, as boxes tell each other and as the store keeps it.

use serde::Serialize;

use super::trial::TRIAL_SHARE;

/// How far a trial under way has come. It never goes back: a share worked out anew from the evidence of
/// each moment would move sessions to and fro, since boxes and their tallies come and go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum TrialPhase {
    /// Sessions stay on the old versions.
    #[default]
    Held,
    /// The version gets [`TRIAL_SHARE`] of the sessions.
    Shared,
    /// It carries all.
    Carried,
}

impl TrialPhase {
    /// Share of the sessions that the version gets.
    pub fn share(self) -> f64 {
        match self {
            TrialPhase::Held => 0.0,
            TrialPhase::Shared => TRIAL_SHARE,
            TrialPhase::Carried => 1.0,
        }
    }
}

/// How far a trial has come, as boxes tell each other and as the store keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrialProgress {
    /// Its phase.
    pub phase: TrialPhase,
    /// How long ago the order was given, at the least, in milliseconds.
    pub age_ms: u64,
    /// From which age of the order on the version carries all, in milliseconds, once that is settled: the earliest that
    /// any box has named.
    pub carries_at_ms: Option<u64>,
}

impl TrialProgress {
    /// Whether it names from when on the version carries all, or names it earlier, than the other.
    pub fn names_earlier_carry(self, other: TrialProgress) -> bool {
        let earlier = |at_ms| other.carries_at_ms.is_none_or(|other_ms| at_ms < other_ms);
        self.carries_at_ms.is_some_and(earlier)
    }
}

/// Progress of a trial as it stands in the store, where it outlives every process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TrialCheckpoint {
    /// Service.
    pub service: String,
    /// Version on trial.
    pub version: String,
    /// How far it had come.
    pub progress: TrialProgress,
}
