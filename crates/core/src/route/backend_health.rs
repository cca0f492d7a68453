//! What replicas do on requests, and how one that does badly is passed over.
//!
//! A replica that refuses connections, breaks answers or fails them is passed over for a while;
//! [`super::pick`] sees to it that this is at most half of a service at a time.

use super::backend::{BackendState, BackendTable};
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// Failures in a row after which a replica is passed over. Two: one may be the request's own fault.
pub const EJECTION_FAILURES: u32 = 2;

/// First span for which a replica is passed over, in milliseconds; doubled by each further one.
pub const EJECTION_FIRST_MS: u64 = 700;

/// Longest span for which a replica is passed over, in milliseconds.
pub const EJECTION_LIMIT_MS: u64 = 5_000;

/// Answers that a replica left out are held against its version after this, in milliseconds, where it has
/// not answered since: the entry of one that crashed is gone by then, after three heartbeats of silence.
pub const LOST_GRACE_MS: u64 = 5_000;

/// Answers left out that are kept for each replica, at most: a version is found bad by fewer.
const LOST_LIMIT: usize = 64;

/// Word that a replica could not be reached is update to other boxes for this long, in milliseconds: two updates.
pub const UNREACHABLE_GOSSIP_MS: u64 = 1_200;

/// Such words in one update, at most, the newest first: some 670 bytes, worked out.
const UNREACHABLE_PER_MESSAGE: usize = 48;

/// A box that could not reach a replica tells others after this at the latest, in milliseconds: each request until then may
/// be given to it.
pub const UNREACHABLE_DELAY_MS: u64 = 50;

/// Word of a replica to which no connection came about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreachableUpdate {
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
}

/// An answer that a replica left out: it broke off, or said nothing in time. Whether the replica is lost or
/// its version bad shows later.
#[derive(Clone, Debug)]
pub struct LostAnswer {
    /// Route of the request.
    pub route: String,
    /// Whether the replica's version was on trial.
    pub on_trial: bool,
    /// When it was given up.
    pub at: BoxTime,
}

/// How well a replica did on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendOutcome {
    /// It answered.
    Served,
    /// It failed, or broke off.
    Failed,
    /// No connection came about.
    Unreachable,
    /// The end says nothing of it: the caller left, or it said that it is full.
    Inconclusive,
}

impl BackendState {
    /// Passes it over for a span, longer each time in a row.
    fn eject(&mut self, now: BoxTime) {
        let span = (EJECTION_FIRST_MS << self.ejections.min(8)).min(EJECTION_LIMIT_MS);
        self.ejected_until = now.plus_millis(span);
        self.ejections += 1;
        self.failures = 0;
    }
}

impl BackendTable {
    /// Notes that a request has ended, and how well the replica did.
    pub fn ended(&mut self, key: ReplicaKey, outcome: BackendOutcome, now: BoxTime) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.outstanding = row.outstanding.saturating_sub(1);
        // It is part of what the replica reported, or was sent since; some replicas never report.
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
                row.unreachable_at = Some(now);
                row.failures += EJECTION_FAILURES;
            }
            BackendOutcome::Inconclusive => {}
        }
        if row.failures >= EJECTION_FAILURES {
            row.eject(now);
        }
    }

    /// Takes word of another box that could not reach a replica, unless it has update its load since. A crash takes many
    /// replicas away at once, which then look idle; each box would find each of them out by a request of its own.
    /// Gives the replica if the word counts.
    pub(super) fn apply_unreachable(
        &mut self,
        update: &UnreachableUpdate,
        now: BoxTime,
    ) -> Option<ReplicaKey> {
        let key = *self.hashes.get(&update.replica)?;
        let row = &mut self.rows[key];
        let at = now.minus_millis(update.age_ms);
        if update.age_ms < UNREACHABLE_GOSSIP_MS && at > row.reported_at {
            row.unreachable_at = row.unreachable_at.max(Some(at));
            row.ejected_until = row.ejected_until.max(at.plus_millis(EJECTION_FIRST_MS));
            return Some(key);
        }
        None
    }

    /// Replicas that could not be reached lately, as other boxes are update of them.
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

    /// Keeps an answer that a replica left out until it shows what that means.
    pub(super) fn add_lost(&mut self, key: ReplicaKey, lost: LostAnswer) {
        let Some(row) = self.rows.get_mut(key) else { return };
        if row.lost.len() < LOST_LIMIT {
            row.lost.push(lost);
        }
    }

    /// Answers left out by a replica that answers again.
    pub(super) fn drain_lost(&mut self, key: ReplicaKey) -> Vec<LostAnswer> {
        self.rows.get_mut(key).map(|row| std::mem::take(&mut row.lost)).unwrap_or_default()
    }

    /// Replicas whose entry still stands [`LOST_GRACE_MS`] after they left out an answer.
    pub(super) fn silent_replicas(&self, now: BoxTime) -> Vec<ReplicaKey> {
        let first = |lost: &[LostAnswer]| lost.first().map(|lost| lost.at);
        let over = |at: BoxTime| now.millis_since(at) >= LOST_GRACE_MS;
        let silent = self.rows.iter().filter(|(_, row)| first(&row.lost).is_some_and(over));
        silent.map(|(key, _)| key).collect()
    }
}
