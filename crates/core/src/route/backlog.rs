//! How long a prompt would wait at a replica before it is read, from what the replica tells and does.
//!
//! The load pattern: a few long prompts on a large model take seconds of one engine, and a count of
//! requests shows them as no more than a few short ones. So work is counted in milliseconds: what this box
//! sent there and what the replica tells of others' drains as time passes, and a request that has not begun
//! long after it should have shows work that nobody told of.
//!
//! The estimate never falls below the work of this box's own requests that have not begun, so a replica
//! that stands still does not seem to drain.

use serde::Serialize;

use crate::time::BoxTime;

/// Weight of one answer in a replica's slowness: five answers settle it.
const SLOW_WEIGHT: f64 = 0.2;

/// Half-life of a replica's slowness, in milliseconds: the longest time for which one that fails is passed
/// over, so that one that was slow is tried again as soon.
const SLOW_HALF_LIFE_MS: f64 = super::deeds::PASS_OVER_LIMIT_MS as f64;

/// Least and largest observed time over the expected one that counts: an estimate that is off by more
/// says that the estimate is wrong, not the replica.
const SLOW_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Time below which an answer says nothing of a replica's slowness, in milliseconds: network and step.
const SLOW_FROM_MS: f64 = 50.0;

/// A request of this box that has not begun to be answered.
#[derive(Clone, Copy, Debug, Serialize)]
struct PendingWork {
    sent_at: BoxTime,
    work_ms: f64,
    expected_ms: f64,
}

/// Work that waits at one replica.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaBacklog {
    /// Work that waited at `at`, in milliseconds of the replica's time.
    queued_ms: f64,
    at: BoxTime,
    pending: Vec<PendingWork>,
    /// Observed times over expected ones, faded to 1 since `slow_at`.
    slow: f64,
    slow_at: BoxTime,
}

impl Default for ReplicaBacklog {
    fn default() -> Self {
        Self {
            queued_ms: 0.0,
            at: BoxTime::default(),
            pending: Vec::new(),
            slow: 1.0,
            slow_at: BoxTime::default(),
        }
    }
}

impl ReplicaBacklog {
    /// Work that waits at `now`, in milliseconds at the service's usual pace.
    pub fn wait_ms(&self, now: BoxTime) -> f64 {
        let drained = self.queued_ms - now.millis_since(self.at) as f64;
        drained.max(self.own_ms()) + self.overdue_ms(now)
    }

    /// How many times longer than expected this replica takes.
    pub fn slowness(&self, now: BoxTime) -> f64 {
        let age = now.millis_since(self.slow_at) as f64;
        1.0 + (self.slow - 1.0) * 0.5_f64.powf(age / SLOW_HALF_LIFE_MS)
    }

    /// Work of this box's requests that have not begun, in milliseconds.
    fn own_ms(&self) -> f64 {
        self.pending.iter().map(|pending| pending.work_ms).sum()
    }

    /// By how much the most overdue request of this box is overdue, in milliseconds.
    fn overdue_ms(&self, now: BoxTime) -> f64 {
        let overdue =
            |pending: &PendingWork| now.millis_since(pending.sent_at) as f64 - pending.expected_ms;
        self.pending.iter().map(overdue).fold(0.0, f64::max)
    }

    /// Notes that a request was sent whose prompt takes `work_ms` to read and that is expected to begin
    /// after `expected_ms`.
    pub fn sent(&mut self, work_ms: f64, expected_ms: f64, now: BoxTime) {
        self.queued_ms = self.wait_ms(now) + work_ms;
        self.at = now;
        self.pending.push(PendingWork { sent_at: now, work_ms, expected_ms });
    }

    /// Notes that another box sent a prompt that takes `work_ms` to read.
    pub fn told(&mut self, work_ms: f64, now: BoxTime) {
        self.queued_ms = self.wait_ms(now) + work_ms;
        self.at = now;
    }

    /// Notes that a request sent at `sent_at` began to be answered now, which tells how slow the replica is.
    pub fn began(&mut self, sent_at: BoxTime, now: BoxTime) {
        let Some(pending) = self.take_pending(sent_at) else { return };
        let took_ms = now.millis_since(sent_at) as f64;
        // What was expected holds the slowness known then.
        let expected_ms = pending.expected_ms / self.slowness(sent_at).max(SLOW_BOUNDS.0);
        if took_ms.max(expected_ms) >= SLOW_FROM_MS {
            let ratio = took_ms / expected_ms.max(1.0);
            let known = self.slowness(now);
            self.slow = known + (ratio.clamp(SLOW_BOUNDS.0, SLOW_BOUNDS.1) - known) * SLOW_WEIGHT;
            self.slow_at = now;
        }
    }

    /// Notes that a request sent at `sent_at` is no longer at the replica.
    pub fn ended(&mut self, sent_at: BoxTime) {
        self.take_pending(sent_at);
    }

    fn take_pending(&mut self, sent_at: BoxTime) -> Option<PendingWork> {
        let row = self.pending.iter().position(|pending| pending.sent_at == sent_at)?;
        Some(self.pending.swap_remove(row))
    }

    /// Takes the replica's word as of `at` that `waiting` requests wait there; one of another box has
    /// `mean_ms` of work.
    pub fn reported(&mut self, waiting: u32, mean_ms: f64, at: BoxTime) {
        let others = (f64::from(waiting) - self.pending.len() as f64).max(0.0);
        let drained = self.queued_ms - at.millis_since(self.at) as f64;
        let least = self.own_ms() + others * mean_ms;
        self.queued_ms = if others > 0.0 { drained.max(least) } else { self.own_ms() };
        self.at = at.max(self.at);
    }
}
