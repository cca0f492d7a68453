//! Replicas that ask for rest: as one turns a request away it may say for how long it wants nothing from this box.
//!
//! Load pattern: a replica that is full or in need turns away all that comes, and each try there costs a request one of its
//! attempts. The word is for the box that got it alone, so it is not told on; other boxes get their own.

use super::backend::{BackendState, BackendTable};
use super::event::AnswerHead;
use super::RouteState;
use crate::event::EventStamp;
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// A rest lasts no longer than this, in milliseconds: a replica that wants nothing for good leaves.
pub const BACKOFF_LIMIT_MS: u64 = 3_600_000;

impl BackendState {
    /// Whether it wants nothing from this box for now.
    pub(super) fn backs_off(&self, now: BoxTime) -> bool {
        now < self.backoff_until
    }

    /// Whether this box may send it a request now, by its rest and its limit.
    pub(super) fn accepts_requests(&self, now: BoxTime) -> bool {
        !self.backs_off(now) && self.limit.allows(now)
    }

    /// From when on this box may send it a request; `None` if it may send it none while its limit stands.
    fn next_at(&self, now: BoxTime) -> Option<BoxTime> {
        if self.limit.allows(now) {
            return Some(self.backoff_until);
        }
        self.limit.next_at().map(|at| at.max(self.backoff_until))
    }
}

/// Replicas of a service of which none takes more for now, for their rests and limits.
pub(super) struct ThrottledService {
    /// From when on this box may send to one of them; `None` if that is not known.
    pub(super) next_at: Option<BoxTime>,
}

impl BackendTable {
    /// Takes a replica's word that it wants nothing until `until`.
    fn back_off(&mut self, key: ReplicaKey, until: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.backoff_until = row.backoff_until.max(until);
        }
    }

    /// Whether all replicas of a service that may be used at all take no more for now.
    pub(super) fn all_throttled(&self, service: &str, now: BoxTime) -> Option<ThrottledService> {
        let keys = self.by_service.get(service)?;
        let rows = || keys.iter().map(|key| &self.rows[*key]).filter(|row| row.usable(now));
        let throttled = rows().count() > 0 && rows().all(|row| !row.accepts_requests(now));
        let next_at = rows().filter_map(|row| row.next_at(now)).min();
        throttled.then_some(ThrottledService { next_at })
    }
}

impl RouteState {
    /// Takes what the head of a replica's answer says of its rest.
    pub(super) fn learn_backoff(&mut self, stamp: EventStamp, key: ReplicaKey, head: AnswerHead) {
        let rest_ms = head.rest_ms.filter(|_| !head.other_replica);
        if let Some(rest_ms) = rest_ms {
            self.backends.back_off(key, stamp.now.plus_millis(rest_ms.min(BACKOFF_LIMIT_MS)));
        }
    }
}
