//! Replicas that ask a box to back off: when a replica refuses a request, it may state for how long
//! this box must not send it another one.
//!
//! Load pattern: a full or overloaded replica refuses all requests, and each try there costs a
//! request one of its attempts. The backoff applies to the box that received it alone, so it is not
//! gossiped. Other boxes receive their own.

use super::backend::{BackendState, BackendTable};
use super::brittle::ROOM_RETRY_MS;
use super::event::AnswerHead;
use super::RouteState;
use crate::event::EventStamp;
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// Longest backoff, in milliseconds. A replica that accepts no more requests at all leaves instead.
pub const BACKOFF_LIMIT_MS: u64 = 3_600_000;

impl BackendState {
    /// Returns whether the replica asked this box to back off.
    pub(super) fn backs_off(&self, now: BoxTime) -> bool {
        now < self.backoff_until
    }

    /// Returns whether this box may send a request now, by backoff, rate limit and share of the slots.
    pub(super) fn accepts_requests(&self, now: BoxTime) -> bool {
        !self.backs_off(now) && self.limit.allows(now) && !self.share_used_up()
    }

    /// Returns when this box may next send a request, or `None` if its rate limit allows none.
    fn next_at(&self, now: BoxTime) -> Option<BoxTime> {
        if self.share_used_up() {
            return Some(self.backoff_until.max(now.plus_millis(ROOM_RETRY_MS)));
        }
        if self.limit.allows(now) {
            return Some(self.backoff_until);
        }
        self.limit.next_at().map(|at| at.max(self.backoff_until))
    }
}

/// A service of which every replica refuses requests for now, by backoff, rate limit or share of its
/// slots.
pub(super) struct ThrottledService {
    /// When this box may next send to one of the replicas; `None` if that is not known.
    pub(super) next_at: Option<BoxTime>,
}

impl BackendTable {
    /// Applies a replica's request to back off until `until`.
    pub(super) fn back_off(&mut self, key: ReplicaKey, until: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.backoff_until = row.backoff_until.max(until);
        }
    }

    /// Returns the throttled service if all its usable replicas refuse requests for now.
    pub(super) fn all_throttled(&self, service: &str, now: BoxTime) -> Option<ThrottledService> {
        let keys = self.by_service.get(service)?;
        let rows = || keys.iter().map(|key| &self.rows[*key]).filter(|row| row.usable(now));
        let throttled = rows().count() > 0 && rows().all(|row| !row.accepts_requests(now));
        let next_at = rows().filter_map(|row| row.next_at(now)).min();
        throttled.then_some(ThrottledService { next_at })
    }
}

impl RouteState {
    /// Applies the backoff that the head of a replica's answer asks for.
    pub(super) fn learn_backoff(&mut self, stamp: EventStamp, key: ReplicaKey, head: AnswerHead) {
        let backoff_ms = head.backoff_ms.filter(|_| !head.other_replica);
        if let Some(backoff_ms) = backoff_ms {
            self.backends.back_off(key, stamp.now.plus_millis(backoff_ms.min(BACKOFF_LIMIT_MS)));
        }
    }
}
