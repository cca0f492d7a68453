//! The store's era: what a box does when the store is restored from an older copy of its data.
//!
//! Confirmed state stays binding. The operator and the replicas write their lost records again.
//! Until the store shows a plan that is at least as new as the one in force, none of its contents
//! count as complete. The boxes write their own records again: verdicts and checkpoints of trials,
//! and what is known as poison, in the same order of precedence as the first time.

use super::event::RouteEffect;
use super::trial_progress::TrialProgress;
use super::{RouteState, EXPIRY_GRACE_MS};
use crate::time::BoxTime;

impl RouteState {
    /// Applies the store's era, as the store or another box reported it.
    pub(super) fn observe_era(&mut self, era: u64, now: BoxTime, out: &mut Vec<RouteEffect>) {
        if era <= self.era {
            return;
        }
        let former = std::mem::replace(&mut self.era, era);
        if former == 0 {
            return;
        }
        out.push(RouteEffect::StoreRestored { era, former });
        // Entries that were written after the copy was made come back when their replicas write
        // them again.
        self.grace_until = Some(now.plus_millis(EXPIRY_GRACE_MS));
        self.forget_stored_poison();
        for trial in self.trials.values_mut() {
            trial.written = false;
            trial.checkpoint = TrialProgress::default();
        }
    }

    /// Whether the store was restored from a copy and has not shown a plan as new as the one in
    /// force yet.
    pub(super) fn awaits_plan(&self) -> bool {
        self.has_plan() && self.era > self.read_to.era
    }
}
