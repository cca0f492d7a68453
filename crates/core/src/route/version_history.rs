//! What came of the earlier orders for a service: it decides which version serves beside the one on
//! trial.
//!
//! Replicas stay listed for seconds after the verdict that ends them, and the next order may be given
//! meanwhile. All versions but the new one are not alike then: one was accepted, and another may have
//! been rolled back.

use serde::Serialize;

use super::trial::TrialState;

/// Earlier orders that are remembered for a service.
const HISTORY_LIMIT: usize = 8;

/// An earlier order for a service, and what came of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FormerTrial {
    /// Version that was on trial.
    pub version: String,
    /// State in which the trial was when the next order replaced it, or its verdict.
    pub state: TrialState,
}

/// The earlier orders for a service, the oldest first and each version once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct VersionHistory {
    trials: Vec<FormerTrial>,
}

impl VersionHistory {
    /// Returns the history with one more order, the latest.
    #[must_use]
    pub fn with(mut self, former: FormerTrial) -> Self {
        self = self.without(&former.version);
        self.trials.push(former);
        let surplus = self.trials.len().saturating_sub(HISTORY_LIMIT);
        self.trials.drain(..surplus);
        self
    }

    /// Returns the history without a version, which is on trial again.
    #[must_use]
    pub fn without(mut self, version: &str) -> Self {
        self.trials.retain(|former| former.version != version);
        self
    }

    /// Merges what another box or the store knows of the same orders. Only a box that was started
    /// since knows none of them; of the last one, only the verdict may be new.
    pub fn merge(&mut self, known: &VersionHistory) {
        if self.trials.is_empty() {
            self.trials.clone_from(&known.trials);
        }
        for former in &mut self.trials {
            let same = known.trials.iter().find(|other| other.version == former.version);
            let is_open = former.state == TrialState::Running;
            if let Some(other) = same.filter(|_| is_open) {
                former.state = other.state;
            }
        }
    }

    /// The orders, the oldest first.
    pub fn trials(&self) -> &[FormerTrial] {
        &self.trials
    }

    /// Whether a version had an order.
    pub fn contains(&self, version: &str) -> bool {
        self.trials.iter().any(|former| former.version == version)
    }

    /// Version that was accepted last.
    pub fn accepted(&self) -> Option<&str> {
        let accepted = self.trials.iter().rfind(|former| former.state == TrialState::Done);
        accepted.map(|former| former.version.as_str())
    }

    /// Whether a version other than the one on trial is the one that serves beside it.
    pub fn is_baseline(&self, version: &str) -> bool {
        self.accepted().map_or_else(|| !self.contains(version), |accepted| accepted == version)
    }

    /// Whether a version was rolled back.
    pub fn is_rolled_back(&self, version: &str) -> bool {
        let ended = |former: &FormerTrial| former.state == TrialState::RolledBack;
        self.trials.iter().any(|former| former.version == version && ended(former))
    }
}

impl FromIterator<FormerTrial> for VersionHistory {
    fn from_iter<I: IntoIterator<Item = FormerTrial>>(trials: I) -> Self {
        trials.into_iter().fold(Self::default(), Self::with)
    }
}
