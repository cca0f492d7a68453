//! Health of replicas by the outcome of requests, and outlier ejection.
//!
//! A replica that breaks answers or fails requests is ejected for a while. One to which other boxes
//! cannot connect is passed over likewise. What failed connections of this box show is in
//! [`super::paths`].
//! [`super::pick`] limits this to half of a service's replicas at a time.

use super::backend::{BackendState, BackendTable};
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// Consecutive failures after which a replica is ejected. A single failure may be the fault of the
/// request.
pub const EJECTION_FAILURES: u32 = 2;

/// Length of a replica's first ejection, in milliseconds. It doubles with each further one.
pub const EJECTION_FIRST_MS: u64 = 700;

/// Longest ejection of a replica, in milliseconds.
pub const EJECTION_LIMIT_MS: u64 = 5_000;

/// Grace period after which a lost answer counts against the replica's version if the replica has
/// not answered since, in milliseconds. The entry of a crashed replica is gone by then, after three
/// missed heartbeats.
pub const LOST_GRACE_MS: u64 = 5_000;

/// Lost answers kept for each replica, at most. Fewer suffice to find a version bad.
const LOST_LIMIT: usize = 64;

/// How long boxes gossip that a replica was unreachable, in milliseconds: two gossip messages.
pub const UNREACHABLE_GOSSIP_MS: u64 = 1_200;

/// Unreachable replicas in one gossip message, at most, the newest first: some 670 bytes.
const UNREACHABLE_PER_MESSAGE: usize = 48;

/// Longest delay until a box gossips that a replica is unreachable, in milliseconds. Until then
/// each request on other boxes may be sent to it.
pub const UNREACHABLE_DELAY_MS: u64 = 50;

/// A replica to which a connection failed, as boxes gossip it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreachableUpdate {
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// How long ago the connection failed, in milliseconds.
    pub age_ms: u64,
}

/// An answer that broke off or timed out. Whether the replica crashed or its version is bad shows
/// later.
#[derive(Clone, Debug)]
pub struct LostAnswer {
    /// Route of the request.
    pub route: String,
    /// Whether the replica's version was on trial.
    pub on_trial: bool,
    /// When the attempt began.
    pub began: BoxTime,
    /// When the attempt was given up.
    pub at: BoxTime,
}

/// Outcome of a request for the replica's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendOutcome {
    /// The replica answered.
    Served,
    /// The replica failed the request, or its answer broke off.
    Failed,
    /// No connection could be made.
    Unreachable,
    /// Nothing is known: the caller disconnected, or the replica said that it is full.
    Inconclusive,
}

impl BackendState {
    /// Records that a connection to it failed at `at`. Failures are of one outage if nothing came from
    /// it in between.
    fn mark_unreachable(&mut self, at: BoxTime) {
        let silent_since =
            |last_at: BoxTime| !self.path.reached_since(last_at) && self.reported_at <= last_at;
        if !self.unreachable_at.is_some_and(silent_since) {
            self.unreachable_since = Some(at);
            self.outage_reported = false;
        }
        self.unreachable_at = self.unreachable_at.max(Some(at));
    }

    /// Whether it was ejected, or is passed over because other boxes cannot connect to it.
    pub(super) fn is_passed_over(&self, now: BoxTime) -> bool {
        self.ejected_until.max(self.reported_until) > now
    }

    /// Ejects the replica, for longer each consecutive time.
    fn eject(&mut self, now: BoxTime) {
        let span = (EJECTION_FIRST_MS << self.ejections.min(8)).min(EJECTION_LIMIT_MS);
        self.ejected_until = now.plus_millis(span);
        self.ejections += 1;
        self.failures = 0;
    }
}

impl BackendTable {
    /// Records that a request has ended, and its outcome for the replica.
    pub fn ended(&mut self, key: ReplicaKey, outcome: BackendOutcome, now: BoxTime) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.outstanding = row.outstanding.saturating_sub(1);
        // The request is part of the reported load, or was sent since. Some replicas never report.
        if row.reported > 0 {
            row.reported -= 1;
        } else {
            row.since_report = row.since_report.saturating_sub(1);
        }
        match outcome {
            BackendOutcome::Served => {
                row.failures = 0;
                row.ejections = 0;
            }
            BackendOutcome::Failed => row.failures += 1,
            BackendOutcome::Unreachable => {
                row.mark_unreachable(now);
            }
            BackendOutcome::Inconclusive => {}
        }
        if row.failures >= EJECTION_FAILURES {
            row.eject(now);
        }
    }

    /// Marks the outage of an unreachable replica as reported. Returns the replica's id the first time.
    pub(super) fn report_outage(&mut self, key: ReplicaKey) -> Option<String> {
        let row = self.rows.get_mut(key)?;
        let is_reported = std::mem::replace(&mut row.outage_reported, true);
        (!is_reported).then(|| row.entry.id.clone())
    }

    /// Whether the replica with this hash is passed over.
    pub(super) fn is_passed_over(&self, replica: u64, now: BoxTime) -> bool {
        let row = self.hashes.get(&replica).and_then(|key| self.rows.get(*key));
        row.is_some_and(|row| row.is_passed_over(now))
    }

    /// Whether other boxes lately could not connect to the replica with this hash, or its entry is
    /// gone.
    pub(super) fn is_reported_down(&self, replica: u64, since: BoxTime) -> bool {
        let row = self.hashes.get(&replica).and_then(|key| self.rows.get(*key));
        row.is_none_or(|row| row.reported_until > since)
    }

    /// Applies an update of a box that could not reach a replica, unless the replica has reported
    /// its load since, or answered this box. A crash takes down many replicas at once, which then look idle, and each box
    /// would otherwise lose a request to each of them. Returns the replica if the update applies.
    pub(super) fn apply_unreachable(
        &mut self,
        update: &UnreachableUpdate,
        now: BoxTime,
    ) -> Option<ReplicaKey> {
        let key = *self.hashes.get(&update.replica)?;
        let row = &mut self.rows[key];
        let at = now.minus_millis(update.age_ms);
        let alive = row.reported_at >= at || row.path.reached_since(at);
        if update.age_ms < UNREACHABLE_GOSSIP_MS && !alive {
            row.mark_unreachable(at);
            row.reported_until = row.reported_until.max(at.plus_millis(EJECTION_FIRST_MS));
            return Some(key);
        }
        None
    }

    /// Returns the replicas that were unreachable recently, for gossip.
    pub(super) fn unreachable_updates(&self, now: BoxTime) -> Vec<UnreachableUpdate> {
        let update = |row: &BackendState| {
            let age_ms = now.millis_since(row.unreachable_at?);
            (age_ms < UNREACHABLE_GOSSIP_MS)
                .then_some(UnreachableUpdate { replica: row.id_hash, age_ms })
        };
        let mut updates: Vec<UnreachableUpdate> = self.rows.values().filter_map(update).collect();
        updates.sort_by_key(|update| update.age_ms);
        updates.truncate(UNREACHABLE_PER_MESSAGE);
        updates
    }

    /// Keeps a lost answer until its cause is known.
    pub(super) fn add_lost(&mut self, key: ReplicaKey, lost: LostAnswer) {
        let Some(row) = self.rows.get_mut(key) else { return };
        if row.lost.len() < LOST_LIMIT {
            row.lost.push(lost);
        }
    }

    /// Removes and returns the lost answers of a replica.
    pub(super) fn drain_lost(&mut self, key: ReplicaKey) -> Vec<LostAnswer> {
        self.rows.get_mut(key).map(|row| std::mem::take(&mut row.lost)).unwrap_or_default()
    }

    /// Returns the replicas whose entry still exists [`LOST_GRACE_MS`] after a lost answer.
    pub(super) fn silent_replicas(&self, now: BoxTime) -> Vec<ReplicaKey> {
        let first = |lost: &[LostAnswer]| lost.first().map(|lost| lost.at);
        let overdue = |at: BoxTime| now.millis_since(at) >= LOST_GRACE_MS;
        let silent = self.rows.iter().filter(|(_, row)| first(&row.lost).is_some_and(overdue));
        silent.map(|(key, _)| key).collect()
    }
}
