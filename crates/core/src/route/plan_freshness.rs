//! How long a box may rely on its plan: from the *start* of the last sound read of it.
//!
//! A key that was taken away must not be honoured [`FreshBounds::revoke_ms`] after the store took the
//! change. A read that began at `asked_at` shows every change confirmed before; so what it showed may
//! be relied on until `asked_at + revoke_ms`, whatever happens to the box or the store since. Times
//! are of the box's steady clock, which a jump of the time of day does not move.

use crate::time::BoxTime;

/// Kept back from [`FreshBounds::revoke_ms`], in milliseconds: timers fire late and a request spends
/// some time between the check and the write.
pub const REVOKE_MARGIN_MS: u64 = 400;

/// Bounds from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshBounds {
    /// After this, in milliseconds, a withdrawn key must not run anything; `None` where keys are not
    /// withdrawn strictly.
    pub revoke_ms: Option<u64>,
    /// A confirmed plan is in force everywhere after this, in milliseconds.
    pub apply_ms: u64,
}

/// What a box may rely on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlanFreshness {
    asked_at: Option<BoxTime>,
}

impl PlanFreshness {
    /// Notes a sound read that began at `asked_at`.
    pub fn renew(&mut self, asked_at: BoxTime) {
        self.asked_at = self.asked_at.max(Some(asked_at));
    }

    /// When the last sound read began.
    pub fn as_of(&self) -> Option<BoxTime> {
        self.asked_at
    }

    /// Whether nothing was read yet.
    pub fn is_unknown(&self) -> bool {
        self.asked_at.is_none()
    }

    /// Age of what the box knows, in milliseconds; `None` before the first read.
    pub fn age_ms(&self, now: BoxTime) -> Option<u64> {
        self.asked_at.map(|at| now.millis_since(at))
    }

    /// Whether keys may still be honoured.
    pub fn honours_keys(&self, now: BoxTime, bounds: FreshBounds) -> bool {
        match (self.age_ms(now), bounds.revoke_ms) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(age), Some(limit)) => age < limit.saturating_sub(REVOKE_MARGIN_MS),
        }
    }

    /// Whether "there is no such route or key" may be said: a plan that has it may be in force.
    pub fn may_deny(&self, now: BoxTime, bounds: FreshBounds) -> bool {
        self.age_ms(now).is_some_and(|age| age < bounds.apply_ms)
    }
}
