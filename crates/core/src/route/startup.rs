//! A box's start: it asks others for what it must know, and reads the store itself if nobody tells it.

use super::peers::{
    START_SEED_MS, START_SPREAD_MS, START_SYNC_DOUBLINGS, START_SYNC_MS, START_WAIT_MS,
};
use crate::event::EventStamp;
use crate::time::BoxTime;

/// A box that learnt the plan so long ago, in milliseconds, takes callers even if it does not know the rest: a listing of
/// replicas and two of trials, each tried twice. It then serves by what other boxes tell, which is better for callers
/// than nothing.
pub const ACCEPT_AFTER_PLAN_MS: u64 = 800;

/// Such a box waits at least so long after its own turn to read the store, in milliseconds: a few calls. One that still
/// knows nothing then takes callers to refuse them, so that they find another box.
pub const ACCEPT_AFTER_READ_MS: u64 = 300;

/// How a box was started.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartupState {
    /// When.
    pub(super) at: BoxTime,
    /// From when on it reads the store itself.
    pub(super) read_at: BoxTime,
    /// Whether it reads the store itself.
    pub(super) reads: bool,
    /// Whether it has begun to serve callers.
    pub(super) entry_opened: bool,
    /// Whether it has told others that it can answer them.
    pub(super) announced_open: bool,
    /// When it learnt the plan.
    plan_at: Option<BoxTime>,
    requests_sent: u32,
}

impl StartupState {
    /// A start now of a box that the others are told to ask, or of any other.
    pub(super) fn new(stamp: EventStamp, is_seed: bool) -> Self {
        let wait_ms = if is_seed {
            stamp.random % START_SEED_MS
        } else {
            START_WAIT_MS + stamp.random % START_SPREAD_MS
        };
        let read_at = stamp.now.plus_millis(wait_ms);
        Self {
            at: stamp.now,
            read_at,
            reads: false,
            entry_opened: false,
            announced_open: false,
            plan_at: None,
            requests_sent: 0,
        }
    }

    /// Notes that the plan is known.
    pub(super) fn record_plan(&mut self, now: BoxTime) {
        self.plan_at.get_or_insert(now);
    }

    /// From when on callers are taken, whatever else is known by then. Counted from the plan and from the box's own
    /// turn to read, not from the start: where that turn comes late it would else refuse callers, or part sessions,
    /// since it knows no replica and not how far a trial has come.
    pub(super) fn callers_at(&self) -> BoxTime {
        let own_read = self.read_at.plus_millis(ACCEPT_AFTER_READ_MS);
        self.plan_at.map_or(own_read, |at| own_read.max(at.plus_millis(ACCEPT_AFTER_PLAN_MS)))
    }

    /// Counts an ask. Gives when to ask again, in milliseconds.
    pub(super) fn count_request(&mut self) -> u64 {
        let doublings = self.requests_sent.min(START_SYNC_DOUBLINGS);
        self.requests_sent += 1;
        START_SYNC_MS << doublings
    }
}
