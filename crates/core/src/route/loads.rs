//! Loads of replicas: what they report, how that fades, and what boxes tell each other of it.
//!
//! A replica's load comes with its answers; between two reports a box adds what it sent itself.

use super::backend::{BackendState, BackendTable};
use super::placement::{PlacementUpdate, PromptWork, ReplicaView};
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// A load report fades to the usual load with this half-life, in milliseconds: streams last seconds.
pub const REPORT_HALF_LIFE_MS: f64 = 1_500.0;

/// The usual load of a replica follows its reports with this half-life, in milliseconds: some answers of each box. What is
/// known of a replica fades to it, not to nothing: one of which no box has heard for long would else look idle to all.
pub const USUAL_HALF_LIFE_MS: f64 = 1_000.0;

/// Part of the usual load that stays with a report, at most, however soon it follows the last one.
const USUAL_KEPT: f64 = 0.9;

/// A waiting request weighs as much as this many running ones in a replica's load. From the bench: late
/// first events came from replicas with a queue.
pub const WAITING_WEIGHT: u32 = 4;

/// A replica that is still slow from its start counts with this many times its load.
pub const COLD_WEIGHT: f64 = 2.0;

/// A replica's load is told to other boxes from this share of its slots on: below it nothing waits.
pub const GOSSIP_LOAD_SHARE: f64 = 0.4;

/// A load is told for this long after its report, in milliseconds: two notes pass it on to all.
pub const LOAD_GOSSIP_MS: u64 = 1_200;

/// Loads in one note, at most, the highest first: what keeps a note within a datagram.
pub const LOADS_PER_MESSAGE: usize = 24;

/// Load that came with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

/// A busy replica's load, as one box tells it to another: a replica serves many boxes, and each of
/// them hears from it but now and then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadUpdate {
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// Running requests, and waiting ones by [`WAITING_WEIGHT`].
    pub load: u32,
    /// Waiting requests alone.
    pub waiting: u32,
    /// How long ago the replica reported it, in milliseconds.
    pub age_ms: u64,
}

impl BackendState {
    /// The replica as a placement of any prompt sees it.
    pub(super) fn view(&self, now: BoxTime) -> ReplicaView {
        let cold = if self.cold_until > now { COLD_WEIGHT } else { 1.0 };
        ReplicaView {
            wait_ms: self.backlog.wait_ms(now),
            slowness: cold,
            load: self.load(now),
            ..ReplicaView::default()
        }
    }

    /// Estimated load as a share of its slots.
    pub fn load(&self, now: BoxTime) -> f64 {
        let age = now.millis_since(self.reported_at) as f64;
        let left = (-age / REPORT_HALF_LIFE_MS).exp2();
        let faded = self.typical_load + (f64::from(self.reported) - self.typical_load) * left;
        let estimate = (faded + f64::from(self.since_report)).max(f64::from(self.outstanding));
        let cold = if self.cold_until > now { COLD_WEIGHT } else { 1.0 };
        estimate * cold / self.slots()
    }

    /// Its slots, one at the least, to share loads by.
    fn slots(&self) -> f64 {
        f64::from(self.entry.slots.max(1))
    }

    /// Reported load as a share of its slots.
    fn reported_share(&self) -> f64 {
        f64::from(self.reported) / self.slots()
    }

    /// Takes a report of its load, as of `at`.
    fn apply_report(&mut self, load: u32, waiting: u32, at: BoxTime) {
        let age_ms = at.millis_since(self.reported_at) as f64;
        let left = (-age_ms / USUAL_HALF_LIFE_MS).exp2().min(USUAL_KEPT);
        self.typical_load += (f64::from(load) - self.typical_load) * (1.0 - left);
        self.reported = load;
        self.reported_waiting = waiting;
        self.reported_at = at;
        self.since_report = 0;
    }

    /// Its reported load, as other boxes are told of it.
    fn load_note(&self, now: BoxTime) -> LoadUpdate {
        LoadUpdate {
            replica: self.id_hash,
            load: self.reported,
            waiting: self.reported_waiting,
            age_ms: now.millis_since(self.reported_at),
        }
    }
}

impl BackendTable {
    /// Notes a prompt that was given to a replica, which takes `work_ms` to read and is expected to begin to
    /// be answered after `expected_ms`.
    pub(super) fn placed(
        &mut self,
        key: ReplicaKey,
        work: &PromptWork,
        work_ms: f64,
        expected_ms: f64,
        now: BoxTime,
    ) {
        if let Some(row) = self.rows.get_mut(key) {
            row.prefix_cache.note(work.shared, now);
            row.backlog.sent(work_ms, expected_ms, now);
        }
    }

    /// Takes word of a prompt that another box placed.
    pub(super) fn apply_placement(&mut self, told: &PlacementUpdate, now: BoxTime) {
        let Some(key) = self.hashes.get(&told.replica) else { return };
        let row = &mut self.rows[*key];
        row.prefix_cache.note(told.shared, now);
        row.backlog.told(f64::from(told.work_ms), now);
    }

    /// Notes that what was sent to a replica at `sent_at` has begun to be answered, or is no longer there.
    pub(super) fn left(&mut self, key: ReplicaKey, sent_at: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.backlog.left(sent_at);
        }
    }

    /// Notes that a request was given to a replica.
    pub fn sent(&mut self, key: ReplicaKey, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.warm_up.note_sent(now);
            row.limit.note_sent(now);
            row.outstanding += 1;
            row.since_report += 1;
        }
    }

    /// Takes the load that came with an answer; a request that waits has `mean_ms` of work.
    pub fn reported(&mut self, key: ReplicaKey, load: BackendLoad, mean_ms: f64, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.apply_report(load.running + WAITING_WEIGHT * load.waiting, load.waiting, now);
            row.backlog.reported(load.waiting, mean_ms, now);
        }
    }

    /// Takes the load that another box heard of, unless this one knows a later report.
    pub fn apply_load(&mut self, told: &LoadUpdate, mean_ms: &dyn Fn(&str) -> f64, now: BoxTime) {
        let Some(key) = self.hashes.get(&told.replica) else { return };
        let row = &mut self.rows[*key];
        let at = now.minus_millis(told.age_ms);
        if at > row.reported_at {
            row.apply_report(told.load, told.waiting, at);
            row.backlog.reported(told.waiting, mean_ms(&row.entry.service), at);
        }
    }

    /// Loads that other boxes should know of.
    pub fn load_updates(&self, now: BoxTime) -> Vec<LoadUpdate> {
        let tells = |row: &&BackendState| {
            now.millis_since(row.reported_at) < LOAD_GOSSIP_MS
                && row.reported_share() >= GOSSIP_LOAD_SHARE
        };
        let mut rows: Vec<&BackendState> = self.rows.values().filter(tells).collect();
        rows.sort_by(|a, b| b.reported_share().total_cmp(&a.reported_share()));
        rows.truncate(LOADS_PER_MESSAGE);
        rows.into_iter().map(|row| row.load_note(now)).collect()
    }
}
