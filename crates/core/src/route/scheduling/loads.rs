//! Loads of replicas: what they report, how reports decay, and what boxes gossip of them.
//!
//! A replica's load comes with its answers. Between two reports a box adds the requests that it
//! sent itself.

use super::placement::{PlacementUpdate, PromptWork, ReplicaView};
use crate::ids::ReplicaKey;
use crate::route::backend::{BackendState, BackendTable};
use crate::time::BoxTime;

/// Half-life with which a load report decays to the typical load, in milliseconds: streams last
/// seconds.
pub const REPORT_HALF_LIFE_MS: f64 = 1_500.0;

/// Half-life with which the typical load follows reports, in milliseconds: a few answers of each
/// box. Reports decay to it rather than to zero, since a replica without recent reports would
/// otherwise look idle to all boxes.
pub const TYPICAL_HALF_LIFE_MS: f64 = 1_000.0;

/// Largest share of the typical load that is kept after a report, however soon it follows the last
/// one.
const TYPICAL_KEPT_SHARE: f64 = 0.9;

/// Weight of a waiting request in a replica's load, in running requests. Late first events came
/// from replicas with a queue.
pub const WAITING_WEIGHT: u32 = 4;

/// Factor on the load of a replica that is still slow after its start.
pub const COLD_WEIGHT: f64 = 2.0;

/// Share of its slots from which a replica's load is gossiped. Below it nothing is queued.
pub const GOSSIP_LOAD_SHARE: f64 = 0.4;

/// How long a load is gossiped after its report, in milliseconds: two gossip messages reach all
/// boxes.
pub const LOAD_GOSSIP_MS: u64 = 1_200;

/// Loads in one gossip message, at most, the highest first, to keep it within a datagram.
pub const LOADS_PER_MESSAGE: usize = 24;

/// Load reported with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

/// The load of a busy replica, as boxes gossip it. A replica serves many boxes, and each receives
/// its reports only now and then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadUpdate {
    /// The replica, by [`crate::route::backend::backend_hash`] of its id.
    pub replica: u64,
    /// Running requests plus waiting ones times [`WAITING_WEIGHT`].
    pub load: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// How long ago the replica reported it, in milliseconds.
    pub age_ms: u64,
}

impl BackendState {
    /// Returns the replica's placement inputs that are the same for all prompts.
    pub(in crate::route) fn view(&self, now: BoxTime) -> ReplicaView {
        let cold = if self.is_cold(now) { COLD_WEIGHT } else { 1.0 };
        ReplicaView {
            wait_ms: self.backlog.wait_ms(now),
            slowness: cold * self.speed.slowness(now),
            load: self.load(now),
            ..ReplicaView::default()
        }
    }

    /// Returns the estimated load as a share of its slots.
    pub fn load(&self, now: BoxTime) -> f64 {
        let age = now.millis_since(self.reported_at) as f64;
        let left = (-age / REPORT_HALF_LIFE_MS).exp2();
        let decayed = self.typical_load + (f64::from(self.reported) - self.typical_load) * left;
        let estimate = (decayed + f64::from(self.since_report)).max(f64::from(self.outstanding));
        let cold = if self.is_cold(now) { COLD_WEIGHT } else { 1.0 };
        estimate * cold / self.slots()
    }

    /// Returns the load that one more request without a prompt meets, itself included, at the
    /// replica's speed.
    pub(super) fn slowed_load(&self, now: BoxTime) -> f64 {
        (self.load(now) + 1.0 / self.slots()) * self.speed.slowness(now)
    }

    /// Returns its slots, at least one, as the divisor of loads.
    fn slots(&self) -> f64 {
        f64::from(self.entry.slots.max(1))
    }

    /// Returns the reported load as a share of its slots.
    fn reported_share(&self) -> f64 {
        f64::from(self.reported) / self.slots()
    }

    /// Applies a load report as of `at`.
    fn apply_report(&mut self, load: u32, waiting: u32, at: BoxTime) {
        let age_ms = at.millis_since(self.reported_at) as f64;
        let left = (-age_ms / TYPICAL_HALF_LIFE_MS).exp2().min(TYPICAL_KEPT_SHARE);
        self.typical_load += (f64::from(load) - self.typical_load) * (1.0 - left);
        self.reported = load;
        self.reported_waiting = waiting;
        self.reported_at = at;
        self.life.note(at);
        self.since_report = 0;
    }

    /// Returns its reported load, for gossip.
    fn load_update(&self, now: BoxTime) -> LoadUpdate {
        LoadUpdate {
            replica: self.id_hash,
            load: self.reported,
            waiting: self.reported_waiting,
            age_ms: now.millis_since(self.reported_at),
        }
    }
}

impl BackendTable {
    /// Records a prompt given to a replica that takes `work_ms` to read and whose answer is
    /// expected to begin after `expected_ms`.
    pub(in crate::route) fn placed(
        &mut self,
        key: ReplicaKey,
        work: &PromptWork,
        work_ms: f64,
        expected_ms: f64,
        now: BoxTime,
    ) {
        if let Some(row) = self.rows.get_mut(key) {
            row.prefix_cache.insert(work.shared, now);
            row.backlog.sent(work_ms, expected_ms, now);
        }
    }

    /// Applies another box's placement of a prompt.
    pub(in crate::route) fn apply_placement(&mut self, update: &PlacementUpdate, now: BoxTime) {
        let Some(key) = self.hashes.get(&update.replica) else { return };
        let row = &mut self.rows[*key];
        row.prefix_cache.insert(update.shared, now);
        row.backlog.add_remote(f64::from(update.work_ms), now);
    }

    /// Removes what was sent to a replica at `sent_at` from its backlog, since its answer has begun
    /// or it is no longer there.
    pub(in crate::route) fn remove_pending(&mut self, key: ReplicaKey, sent_at: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.backlog.remove_pending(sent_at);
        }
    }

    /// Records that a request was sent to a replica.
    pub fn sent(&mut self, key: ReplicaKey, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.warm_up.record_sent(now);
            row.limit.record_sent(now);
            row.outstanding += 1;
            row.since_report += 1;
        }
    }

    /// Applies the load reported with an answer. A queued request counts with `mean_ms` of work.
    pub fn reported(&mut self, key: ReplicaKey, load: BackendLoad, mean_ms: f64, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.apply_report(load.running + WAITING_WEIGHT * load.waiting, load.waiting, now);
            row.backlog.reported(load.waiting, mean_ms, now);
        }
    }

    /// Applies a load received from another box, unless this box has a later report.
    pub fn apply_load(&mut self, update: &LoadUpdate, mean_ms: &dyn Fn(&str) -> f64, now: BoxTime) {
        let Some(key) = self.hashes.get(&update.replica) else { return };
        let row = &mut self.rows[*key];
        let at = now.minus_millis(update.age_ms);
        if at > row.reported_at {
            row.apply_report(update.load, update.waiting, at);
            row.backlog.reported(update.waiting, mean_ms(&row.entry.service), at);
        }
    }

    /// Returns the loads that other boxes should know.
    pub fn load_updates(&self, now: BoxTime) -> Vec<LoadUpdate> {
        let is_due = |row: &&BackendState| {
            now.millis_since(row.reported_at) < LOAD_GOSSIP_MS
                && row.reported_share() >= GOSSIP_LOAD_SHARE
        };
        let mut rows: Vec<&BackendState> = self.rows.values().filter(is_due).collect();
        rows.sort_by(|a, b| b.reported_share().total_cmp(&a.reported_share()));
        rows.truncate(LOADS_PER_MESSAGE);
        rows.into_iter().map(|row| row.load_update(now)).collect()
    }
}
