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

/// A request of this box that has not begun to be answered.
#[derive(Clone, Copy, Debug, Serialize)]
struct PendingWork {
    sent_at: BoxTime,
    work_ms: f64,
    expected_ms: f64,
}

/// Work that waits at one replica.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReplicaBacklog {
    /// Work that waited at `at`, in milliseconds of the replica's time.
    queued_ms: f64,
    at: BoxTime,
    pending: Vec<PendingWork>,
}

impl ReplicaBacklog {
    /// Work that waits at `now`, in milliseconds at the service's usual pace.
    pub fn wait_ms(&self, now: BoxTime) -> f64 {
        let drained = self.queued_ms - now.millis_since(self.at) as f64;
        drained.max(self.own_ms()) + self.overdue_ms(now)
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
    pub fn add_remote(&mut self, work_ms: f64, now: BoxTime) {
        self.queued_ms = self.wait_ms(now) + work_ms;
        self.at = now;
    }

    /// Notes that a request sent at `sent_at` began to be answered, or is no longer at the replica.
    pub fn remove_pending(&mut self, sent_at: BoxTime) {
        if let Some(row) = self.pending.iter().position(|pending| pending.sent_at == sent_at) {
            self.pending.swap_remove(row);
        }
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
