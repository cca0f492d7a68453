//! The start of a box: it requests what it must know from other boxes, and reads the store itself
//! if none of them responds.

use super::peers::{
    START_SEED_MS, START_SPREAD_MS, START_SYNC_DOUBLINGS, START_SYNC_MS, START_WAIT_MS,
};
use crate::event::EventStamp;
use crate::time::BoxTime;

/// A box that has known the plan for this long accepts callers even if it does not know the rest,
/// in milliseconds. This covers a listing of replicas and two reads of trials, each tried twice. It
/// then serves by what other boxes send, which is better for callers than no service.
pub const ACCEPT_AFTER_PLAN_MS: u64 = 800;

/// Such a box waits at least this long after its own turn to read the store, in milliseconds, which
/// covers a few calls. If it still knows nothing, it accepts callers and refuses them, so that they
/// find another box.
pub const ACCEPT_AFTER_READ_MS: u64 = 300;

/// Progress of a box's start.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartupState {
    /// When the box started.
    pub(super) at: BoxTime,
    /// When the box reads the store itself at the earliest.
    pub(super) read_at: BoxTime,
    /// Whether it reads the store itself.
    pub(super) reads: bool,
    /// Whether it accepts callers.
    pub(super) entry_opened: bool,
    /// Whether it announced to other boxes that it can respond to them.
    pub(super) announced_open: bool,
    /// When the plan became known.
    plan_at: Option<BoxTime>,
    requests_sent: u32,
}

impl StartupState {
    /// Starts a seed, which other boxes are configured to contact, or any other box.
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

    /// Records that the plan is known.
    pub(super) fn record_plan(&mut self, now: BoxTime) {
        self.plan_at.get_or_insert(now);
    }

    /// Time from which on callers are accepted, whatever is known by then. It counts from the plan
    /// and from the box's own turn to read, not from the start. If that turn came late, the box
    /// would otherwise refuse callers or split sessions, because it knows neither the replicas nor
    /// the progress of a trial.
    pub(super) fn callers_at(&self) -> BoxTime {
        let own_read = self.read_at.plus_millis(ACCEPT_AFTER_READ_MS);
        self.plan_at.map_or(own_read, |at| own_read.max(at.plus_millis(ACCEPT_AFTER_PLAN_MS)))
    }

    /// Counts a sync request and returns the pause before the next one, in milliseconds.
    pub(super) fn count_request(&mut self) -> u64 {
        let doublings = self.requests_sent.min(START_SYNC_DOUBLINGS);
        self.requests_sent += 1;
        START_SYNC_MS << doublings
    }
}
