//! Estimates how long a prompt would queue at a replica, from the replica's reports and answers.
//!
//! Load pattern: a few long prompts on a large model take seconds of one engine, while a count of
//! requests shows them as a few short ones. Work is therefore counted in milliseconds. The work
//! that this box sent, and that replicas report for other boxes, drains as time passes. A request
//! that is overdue reveals work that nobody reported.
//!
//! The estimate never falls below the work of this box's own requests that have not begun, so the
//! queue of a stalled replica does not seem to drain.

use serde::Serialize;

use crate::time::BoxTime;

/// A request of this box whose answer has not begun.
#[derive(Clone, Copy, Debug, Serialize)]
struct PendingWork {
    sent_at: BoxTime,
    work_ms: f64,
    expected_ms: f64,
}

/// Work queued at one replica.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaBacklog {
    /// Work queued at `at`, in milliseconds of the replica's time.
    queued_ms: f64,
    at: BoxTime,
    /// How many times longer than usual the replica takes.
    slowness: f64,
    pending: Vec<PendingWork>,
}

impl Default for ReplicaBacklog {
    fn default() -> Self {
        Self { queued_ms: 0.0, at: BoxTime::default(), slowness: 1.0, pending: Vec::new() }
    }
}

impl ReplicaBacklog {
    /// Returns the work queued at `now`, in milliseconds at the service's usual latency.
    pub fn wait_ms(&self, now: BoxTime) -> f64 {
        let drained = self.queued_ms - now.millis_since(self.at) as f64 / self.slowness;
        drained.max(self.own_ms()) + self.overdue_ms(now) / self.slowness
    }

    /// Sets how many times longer than usual the replica takes.
    pub fn set_slowness(&mut self, slowness: f64, now: BoxTime) {
        let drained = self.queued_ms - now.millis_since(self.at) as f64 / self.slowness;
        self.queued_ms = drained.max(self.own_ms());
        self.at = now.max(self.at);
        self.slowness = slowness;
    }

    /// Returns the work of this box's requests that have not begun, in milliseconds.
    fn own_ms(&self) -> f64 {
        self.pending.iter().map(|pending| pending.work_ms).sum()
    }

    /// Returns how much the most overdue request of this box is overdue, in milliseconds.
    fn overdue_ms(&self, now: BoxTime) -> f64 {
        let overdue =
            |pending: &PendingWork| now.millis_since(pending.sent_at) as f64 - pending.expected_ms;
        self.pending.iter().map(overdue).fold(0.0, f64::max)
    }

    /// Records a request that was sent, whose prompt takes `work_ms` to read and whose answer is
    /// expected to begin after `expected_ms`.
    pub fn sent(&mut self, work_ms: f64, expected_ms: f64, now: BoxTime) {
        self.queued_ms = self.wait_ms(now) + work_ms;
        self.at = now;
        self.pending.push(PendingWork { sent_at: now, work_ms, expected_ms });
    }

    /// Adds a prompt sent by another box that takes `work_ms` to read.
    pub fn add_remote(&mut self, work_ms: f64, now: BoxTime) {
        self.queued_ms = self.wait_ms(now) + work_ms;
        self.at = now;
    }

    /// Removes the request sent at `sent_at`, whose answer has begun or which is no longer at the
    /// replica.
    pub fn remove_pending(&mut self, sent_at: BoxTime) {
        if let Some(row) = self.pending.iter().position(|pending| pending.sent_at == sent_at) {
            self.pending.swap_remove(row);
        }
    }

    /// Applies the replica's report as of `at` that `waiting` requests are queued there. Each
    /// request of other boxes counts with `mean_ms` of work.
    pub fn reported(&mut self, waiting: u32, mean_ms: f64, at: BoxTime) {
        let others = (f64::from(waiting) - self.pending.len() as f64).max(0.0);
        let drained = self.queued_ms - at.millis_since(self.at) as f64 / self.slowness;
        let least = self.own_ms() + others * mean_ms;
        self.queued_ms = if others > 0.0 { drained.max(least) } else { self.own_ms() };
        self.at = at.max(self.at);
    }
}
