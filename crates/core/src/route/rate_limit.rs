//! Rate limits of replicas: the requests a second that an overloaded replica accepts from all boxes
//! together.
//!
//! Load pattern: an overloaded replica has few requests in flight, so it looks idle, and each of
//! hundreds of boxes has a request for it now and then. Only a few boxes send to it; see
//! [`super::rate_share`].
//!
//! Limits come with answers, and boxes gossip them, since most boxes never send to that replica
//! again. The latest report counts.

use serde::Serialize;

use super::backend::{BackendState, BackendTable};
use super::rate_share::{FleetNames, SenderShare};
use super::RouteState;
use crate::event::EventStamp;
use crate::ids::ReplicaKey;
use crate::route::event::{AnswerHead, RouteEffect};
use crate::time::BoxTime;

/// Time without a report of a limit after which a sender's next request goes to that replica as a
/// probe, in milliseconds, even if another replica is faster. Where hundreds of boxes share many
/// replicas, the few senders may have no request for it, and no box would learn that it has
/// recovered.
pub const PROBE_AFTER_MS: u64 = 3_000;

/// Lowest rate assumed for a replica, in requests a second. Without any request no box would learn
/// that it has recovered.
pub const MIN_PER_S: f64 = 0.25;

/// How long a limit is gossiped after the replica reported it, in milliseconds: several gossip
/// messages reach all of hundreds of boxes.
pub const LIMIT_GOSSIP_MS: u64 = 3_000;

/// Limits in one gossip message, at most, the latest first: some 600 bytes.
const LIMITS_PER_MESSAGE: usize = 40;

/// Time without a report after which a limit expires, in milliseconds. The answers to its senders
/// contain a report every few seconds.
pub const LIMIT_KEPT_MS: u64 = 30_000;

/// A replica's limit, as boxes gossip it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitUpdate {
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// Requests a second; `None` if the limit has ended.
    pub per_s: Option<f64>,
    /// How long ago the replica reported it, in milliseconds.
    pub age_ms: u64,
}

/// A replica's limit, and this box's share of it.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ReplicaLimit {
    /// Requests a second from all boxes together; `None` without a limit.
    pub per_s: Option<f64>,
    /// When the replica reported it.
    #[serde(rename = "said_at")]
    reported_at: Option<BoxTime>,
    /// This box's share.
    #[serde(rename = "part")]
    share: SenderShare,
}

impl ReplicaLimit {
    /// Applies the replica's report of `at`, unless a later one is known. Returns whether a limit
    /// began or ended.
    fn apply(&mut self, per_s: Option<f64>, at: BoxTime) -> bool {
        if self.reported_at.is_some_and(|known| known > at) {
            return false;
        }
        let changed = self.per_s.is_some() != per_s.is_some();
        if changed || per_s.is_some() {
            self.reported_at = Some(at);
        }
        self.per_s = per_s;
        changed
    }

    /// Returns whether a limit is in force.
    fn in_force(&self, now: BoxTime) -> bool {
        let kept = |at: BoxTime| now.millis_since(at) < LIMIT_KEPT_MS;
        self.per_s.is_some() && self.reported_at.is_some_and(kept)
    }

    /// Returns when this box may send the next request, or `None` if it is no sender.
    pub(super) fn next_at(&self) -> Option<BoxTime> {
        self.share.next_at()
    }

    /// Returns whether this box may send a request now.
    pub(super) fn allows(&self, now: BoxTime) -> bool {
        !self.in_force(now) || self.share.allows(now)
    }

    /// Records that this box sent a request.
    pub(super) fn record_sent(&mut self, now: BoxTime) {
        self.share.record_sent(now);
    }

    /// Sets this box's share of the limit of the replica with hash `replica`.
    fn set_share(&mut self, replica: u64, fleet: &FleetNames) {
        let per_s = self.per_s.unwrap_or(0.0).max(MIN_PER_S);
        self.share.set_share(per_s, replica, fleet);
    }

    /// Returns whether this box should probe the replica.
    pub(super) fn needs_probe(&self, now: BoxTime) -> bool {
        let silent = |at: BoxTime| now.millis_since(at) >= PROBE_AFTER_MS;
        self.in_force(now) && self.reported_at.is_some_and(silent) && self.allows(now)
    }

    /// Returns the update to gossip while other boxes may not know it.
    fn update(&self, replica: u64, now: BoxTime) -> Option<LimitUpdate> {
        let age_ms = now.millis_since(self.reported_at?);
        (age_ms < LIMIT_GOSSIP_MS).then_some(LimitUpdate { replica, per_s: self.per_s, age_ms })
    }
}

impl BackendTable {
    /// Applies a replica's report of its limit. Returns whether a limit began or ended.
    fn apply_limit(&mut self, key: ReplicaKey, per_s: Option<f64>, at: BoxTime) -> bool {
        self.rows.get_mut(key).is_some_and(|row| row.limit.apply(per_s, at))
    }

    /// Sets this box's share of one limit.
    fn share_limit(&mut self, key: ReplicaKey, fleet: &FleetNames) {
        if let Some(row) = self.rows.get_mut(key) {
            row.limit.set_share(row.id_hash, fleet);
        }
    }

    /// Returns the replica that an update refers to.
    fn replica_key(&self, update: &LimitUpdate) -> Option<ReplicaKey> {
        self.hashes.get(&update.replica).copied()
    }

    /// Sets this box's shares again, as boxes join and leave and limits change.
    fn share_limits(&mut self, fleet: &FleetNames) {
        for row in self.rows.values_mut().filter(|row| row.limit.per_s.is_some()) {
            row.limit.set_share(row.id_hash, fleet);
        }
    }

    /// Returns whether any replica has a limit.
    fn any_limit(&self) -> bool {
        self.rows.values().any(|row| row.limit.per_s.is_some())
    }

    /// Returns the limits to gossip.
    pub(super) fn limit_updates(&self, now: BoxTime) -> Vec<LimitUpdate> {
        let update = |row: &BackendState| row.limit.update(row.id_hash, now);
        let mut updates: Vec<LimitUpdate> = self.rows.values().filter_map(update).collect();
        updates.sort_by_key(|update| update.age_ms);
        updates.truncate(LIMITS_PER_MESSAGE);
        updates
    }
}

impl RouteState {
    /// Applies the limit in the head of a replica's answer. An answer that ran nothing may lack the
    /// limit.
    pub(super) fn learn_limit(
        &mut self,
        stamp: EventStamp,
        key: ReplicaKey,
        head: AnswerHead,
        out: &mut Vec<RouteEffect>,
    ) {
        let clears = head.proven && !head.not_run;
        if !head.other_replica && (head.limit_per_s.is_some() || clears) {
            self.apply_limit(stamp, key, head.limit_per_s, stamp.now, out);
        }
    }

    /// Applies limits received from other boxes.
    pub(super) fn apply_limits(
        &mut self,
        stamp: EventStamp,
        updates: &[LimitUpdate],
        out: &mut Vec<RouteEffect>,
    ) {
        for update in updates.iter().filter(|update| update.age_ms < LIMIT_GOSSIP_MS) {
            let Some(key) = self.backends.replica_key(update) else { continue };
            self.apply_limit(stamp, key, update.per_s, stamp.now.minus_millis(update.age_ms), out);
        }
    }

    /// Applies a report of a limit. If a limit began or ended, sets this box's share and logs it.
    fn apply_limit(
        &mut self,
        stamp: EventStamp,
        key: ReplicaKey,
        per_s: Option<f64>,
        at: BoxTime,
        out: &mut Vec<RouteEffect>,
    ) {
        if !self.backends.apply_limit(key, per_s, at) {
            return;
        }
        let fleet = self.fleet_names(stamp.now);
        self.backends.share_limit(key, &fleet);
        let Some(row) = self.backends.get(key) else { return };
        let (replica, own_per_s) = (row.entry.id.clone(), row.limit.share.own_per_s());
        out.push(RouteEffect::LimitChanged { replica, per_s, own_per_s });
    }

    /// Sets this box's shares of all limits again.
    pub(super) fn share_limits(&mut self, now: BoxTime) {
        if self.backends.any_limit() {
            let fleet = self.fleet_names(now);
            self.backends.share_limits(&fleet);
        }
    }
}
