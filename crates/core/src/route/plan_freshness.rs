//! How long a box may rely on its plan, counted from the *start* of the last successful read of it.
//!
//! A revoked key must not be accepted [`FreshBounds::revoke_ms`] after the store confirmed the
//! change. A read that began at `asked_at` shows every change that was confirmed before; its result
//! may be relied on until `asked_at + revoke_ms`, whatever happens to the box or the store
//! afterwards. Times are on the box's monotonic clock, which changes of the time of day do not
//! affect.

use crate::time::BoxTime;

/// Safety margin before [`FreshBounds::revoke_ms`], in milliseconds: timers fire late, and a
/// request takes some time between the check and the write.
pub const REVOKE_MARGIN_MS: u64 = 400;

/// Freshness bounds from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshBounds {
    /// Time after which a revoked key must not start any work, in milliseconds; `None` if
    /// revocation is not strict.
    pub revoke_ms: Option<u64>,
    /// Time after which a confirmed plan is in force on all boxes, in milliseconds.
    pub apply_ms: u64,
}

/// Freshness of the plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlanFreshness {
    asked_at: Option<BoxTime>,
}

impl PlanFreshness {
    /// Records a successful read that began at `asked_at`.
    pub fn renew(&mut self, asked_at: BoxTime) {
        self.asked_at = self.asked_at.max(Some(asked_at));
    }

    /// When the last successful read began.
    pub fn as_of(&self) -> Option<BoxTime> {
        self.asked_at
    }

    /// Whether nothing was read yet.
    pub fn is_unknown(&self) -> bool {
        self.asked_at.is_none()
    }

    /// Age of the plan, in milliseconds; `None` before the first read.
    pub fn age_ms(&self, now: BoxTime) -> Option<u64> {
        self.asked_at.map(|at| now.millis_since(at))
    }

    /// Whether keys may still be accepted.
    pub fn honours_keys(&self, now: BoxTime, bounds: FreshBounds) -> bool {
        match (self.age_ms(now), bounds.revoke_ms) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(age), Some(limit)) => age < limit.saturating_sub(REVOKE_MARGIN_MS),
        }
    }

    /// Whether unknown routes and keys may be denied. If the plan is too old, a newer one that has
    /// them may be in force.
    pub fn may_deny(&self, now: BoxTime, bounds: FreshBounds) -> bool {
        self.age_ms(now).is_some_and(|age| age < bounds.apply_ms)
    }
}
