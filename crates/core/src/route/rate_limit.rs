//! Limits that replicas name: the requests a second that one in need takes from all boxes together.
//!
//! Load pattern: a replica in need has little in hand, so it looks idle, and each of hundreds of boxes has a request for it
//! now and then. Few of them send there; see [`super::rate_share`].
//!
//! Word of a limit comes with answers, and boxes tell it on: most never ask that replica again. The latest word counts.

use serde::Serialize;

use super::backend::{BackendState, BackendTable};
use super::rate_share::{FleetNames, SenderShare};
use super::RouteState;
use crate::event::EventStamp;
use crate::ids::ReplicaKey;
use crate::route::event::{AnswerHead, RouteEffect};
use crate::time::BoxTime;

/// Without word of a limit for this long, in milliseconds, a sender's next request goes to that replica, wherever else it
/// would be read sooner: where hundreds of boxes share many replicas, the few senders may have no request that
/// belongs there, and nobody would learn that it is in need no more.
pub const PROBE_AFTER_MS: u64 = 3_000;

/// A replica is taken to bear at least this, in requests a second: without any request nobody would learn that it
/// is in need no more.
pub const MIN_PER_S: f64 = 0.25;

/// Word of a limit is update on for this long after the replica said it, in milliseconds: several updates pass it on to all
/// boxes of hundreds.
pub const LIMIT_GOSSIP_MS: u64 = 3_000;

/// Limits in one update, at most, the latest word first: some 600 bytes.
const LIMITS_PER_MESSAGE: usize = 40;

/// Without word for this long, in milliseconds, a limit no longer counts: its senders' answers bring some every few seconds.
pub const LIMIT_KEPT_MS: u64 = 30_000;

/// Word of a replica's limit, as one box tells it to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitUpdate {
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// Requests a second; `None` if it names a limit no more.
    pub per_s: Option<f64>,
    /// How long ago the replica said so, in milliseconds.
    pub age_ms: u64,
}

/// What a replica named, and this box's part in it.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ReplicaLimit {
    /// Requests a second from all boxes together; `None` without a limit.
    pub per_s: Option<f64>,
    /// When the replica said so.
    #[serde(rename = "said_at")]
    reported_at: Option<BoxTime>,
    /// This box's part.
    #[serde(rename = "part")]
    share: SenderShare,
}

impl ReplicaLimit {
    /// Takes what the replica said at `at`, unless it is known to have said something later. Returns whether it named a limit
    /// that it had not, or names one no more.
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

    /// Whether a limit is in force.
    fn in_force(&self, now: BoxTime) -> bool {
        let kept = |at: BoxTime| now.millis_since(at) < LIMIT_KEPT_MS;
        self.per_s.is_some() && self.reported_at.is_some_and(kept)
    }

    /// From when on this box may send the next request; `None` if it is none of the senders.
    pub(super) fn next_at(&self) -> Option<BoxTime> {
        self.share.next_at()
    }

    /// Whether this box may send a request now.
    pub(super) fn allows(&self, now: BoxTime) -> bool {
        !self.in_force(now) || self.share.allows(now)
    }

    /// Notes that this box sent a request.
    pub(super) fn record_sent(&mut self, now: BoxTime) {
        self.share.record_sent(now);
    }

    /// Takes this box's part in the limit of the replica of hash `replica`.
    fn set_share(&mut self, replica: u64, fleet: &FleetNames) {
        let per_s = self.per_s.unwrap_or(0.0).max(MIN_PER_S);
        self.share.set_share(per_s, replica, fleet);
    }

    /// Whether this box is to find out how the replica is.
    pub(super) fn needs_probe(&self, now: BoxTime) -> bool {
        let silent = |at: BoxTime| now.millis_since(at) >= PROBE_AFTER_MS;
        self.in_force(now) && self.reported_at.is_some_and(silent) && self.allows(now)
    }

    /// What other boxes are update, if there is anything that they may not know.
    fn update(&self, replica: u64, now: BoxTime) -> Option<LimitUpdate> {
        let age_ms = now.millis_since(self.reported_at?);
        (age_ms < LIMIT_GOSSIP_MS).then_some(LimitUpdate { replica, per_s: self.per_s, age_ms })
    }
}

impl BackendTable {
    /// Takes what a replica said of its limit. Returns whether that is news.
    fn apply_limit(&mut self, key: ReplicaKey, per_s: Option<f64>, at: BoxTime) -> bool {
        self.rows.get_mut(key).is_some_and(|row| row.limit.apply(per_s, at))
    }

    /// Works this box's part in one limit out.
    fn share_limit(&mut self, key: ReplicaKey, fleet: &FleetNames) {
        if let Some(row) = self.rows.get_mut(key) {
            row.limit.set_share(row.id_hash, fleet);
        }
    }

    /// The replica that a update names.
    fn replica_key(&self, update: &LimitUpdate) -> Option<ReplicaKey> {
        self.hashes.get(&update.replica).copied()
    }

    /// Works this box's parts out anew: boxes come and go, and limits change.
    fn share_limits(&mut self, fleet: &FleetNames) {
        for row in self.rows.values_mut().filter(|row| row.limit.per_s.is_some()) {
            row.limit.set_share(row.id_hash, fleet);
        }
    }

    /// Whether any replica names a limit.
    fn any_limit(&self) -> bool {
        self.rows.values().any(|row| row.limit.per_s.is_some())
    }

    /// Limits that other boxes are update of.
    pub(super) fn limit_updates(&self, now: BoxTime) -> Vec<LimitUpdate> {
        let update = |row: &BackendState| row.limit.update(row.id_hash, now);
        let mut updates: Vec<LimitUpdate> = self.rows.values().filter_map(update).collect();
        updates.sort_by_key(|update| update.age_ms);
        updates.truncate(LIMITS_PER_MESSAGE);
        updates
    }
}

impl RouteState {
    /// Takes what the head of a replica's answer says of its limit. One that ran nothing may lack word of it.
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

    /// Takes what other boxes heard of limits.
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

    /// Works this box's parts in limits out anew.
    pub(super) fn share_limits(&mut self, now: BoxTime) {
        if self.backends.any_limit() {
            let fleet = self.fleet_names(now);
            self.backends.share_limits(&fleet);
        }
    }
}
