//! The store's era: what a box does when the store comes back from an older copy of its data.
//!
//! What was confirmed goes on to bind. The operator and the replicas write again what was lost of theirs; until the store
//! shows a plan that is at least as new as the one in force, nothing that it shows is relied on as all that there is.
//! What the boxes wrote they write again: verdicts and marks of trials, by turns as at first.

use super::event::RouteEffect;
use super::trial_progress::TrialProgress;
use super::{RouteState, EXPIRY_GRACE_MS};
use crate::time::BoxTime;

impl RouteState {
    /// Notes the store's era, as the store or another box names it.
    pub(super) fn note_era(&mut self, era: u64, now: BoxTime, out: &mut Vec<RouteEffect>) {
        if era <= self.era {
            return;
        }
        let former = std::mem::replace(&mut self.era, era);
        if former == 0 {
            return;
        }
        out.push(RouteEffect::StoreRestored { era, former });
        // Entries written since the copy come back when their replicas write them again.
        self.grace_until = Some(now.plus_millis(EXPIRY_GRACE_MS));
        for trial in self.trials.values_mut() {
            trial.written = false;
            trial.checkpoint = TrialProgress::default();
        }
    }

    /// Whether the store came back from a copy and was not seen yet to show a plan as new as the one in force.
    pub(super) fn awaits_plan(&self) -> bool {
        self.has_plan() && self.era > self.read_to.era
    }
}
