//! Progress of a trial, as boxes gossip it and as the store keeps it.

use serde::Serialize;

use super::version_history::VersionHistory;

/// Phase of a running trial. It never goes back: a share computed anew from the current evidence
/// would move sessions back and forth, since boxes and their statistics appear and disappear.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum TrialPhase {
    /// All sessions stay on the old versions.
    #[default]
    Held,
    /// The version gets a share of the sessions.
    Shared,
    /// The version carries all sessions.
    Carried,
}

/// Progress of a trial, as boxes gossip it and as the store keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrialProgress {
    /// Phase of the trial.
    pub phase: TrialPhase,
    /// Least time since the order was given, in milliseconds.
    pub age_ms: u64,
    /// Age of the order from which the version carries all sessions, in milliseconds, once that is
    /// settled: the earliest that any box has announced.
    pub carries_at_ms: Option<u64>,
}

impl TrialProgress {
    /// Whether it has a time from which the version carries all sessions, and `other` has none or a
    /// later one.
    pub fn names_earlier_carry(self, other: TrialProgress) -> bool {
        let earlier = |at_ms| other.carries_at_ms.is_none_or(|other_ms| at_ms < other_ms);
        self.carries_at_ms.is_some_and(earlier)
    }
}

/// A trial's progress in the store, where it outlives every process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TrialCheckpoint {
    /// Service.
    pub service: String,
    /// Version on trial.
    pub version: String,
    /// Progress of the trial.
    pub progress: TrialProgress,
    /// What came of the earlier orders for the service.
    pub history: VersionHistory,
}
