//! Loads of replicas: what they report, how that fades, and what boxes tell each other of it.
//!
//! A replica's load comes with its answers; between two reports a box adds what it sent itself.

use super::backend::{BackendState, BackendTable};
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// A load report fades with this half-life, in milliseconds: streams last seconds.
pub const REPORT_HALF_LIFE_MS: f64 = 1_500.0;

/// A waiting request weighs as much as this many running ones in a replica's load. From the bench: late
/// first events came from replicas with a queue.
pub const WAITING_WEIGHT: u32 = 4;

/// A replica that is still slow from its start counts with this many times its load.
pub const COLD_WEIGHT: f64 = 2.0;

/// A replica's load is told to other boxes from this share of its slots on: below it nothing waits.
pub const TOLD_SHARE: f64 = 0.4;

/// A load is told for this long after its report, in milliseconds: two notes pass it on to all.
pub const TOLD_MS: u64 = 1_200;

/// Loads in one note, at most, the highest first: what keeps a note within a datagram.
pub const LOADS_TOLD: usize = 24;

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
pub struct LoadNote {
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// Running requests, and waiting ones by [`WAITING_WEIGHT`].
    pub load: u32,
    /// How long ago the replica reported it, in milliseconds.
    pub age_ms: u64,
}

impl BackendState {
    /// Estimated load as a share of its slots.
    pub fn load(&self, now: BoxTime) -> f64 {
        let age = now.millis_since(self.reported_at) as f64;
        let faded = f64::from(self.reported) * 0.5_f64.powf(age / REPORT_HALF_LIFE_MS);
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
    fn take_report(&mut self, load: u32, at: BoxTime) {
        self.reported = load;
        self.reported_at = at;
        self.since_report = 0;
    }

    /// Its reported load, as other boxes are told of it.
    fn load_note(&self, now: BoxTime) -> LoadNote {
        LoadNote {
            replica: self.id_hash,
            load: self.reported,
            age_ms: now.millis_since(self.reported_at),
        }
    }
}

impl BackendTable {
    /// Notes that a request was given to a replica.
    pub fn sent(&mut self, key: ReplicaKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.outstanding += 1;
            row.since_report += 1;
        }
    }

    /// Takes the load that came with an answer.
    pub fn reported(&mut self, key: ReplicaKey, load: BackendLoad, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.take_report(load.running + WAITING_WEIGHT * load.waiting, now);
        }
    }

    /// Takes the load that another box heard of, unless this one knows a later report.
    pub fn hear_load(&mut self, told: &LoadNote, now: BoxTime) {
        let Some(key) = self.hashes.get(&told.replica) else { return };
        let row = &mut self.rows[*key];
        let at = now.minus_millis(told.age_ms);
        if at > row.reported_at {
            row.take_report(told.load, at);
        }
    }

    /// Loads that other boxes should know of.
    pub fn loads_to_tell(&self, now: BoxTime) -> Vec<LoadNote> {
        let tells = |row: &&BackendState| {
            now.millis_since(row.reported_at) < TOLD_MS && row.reported_share() >= TOLD_SHARE
        };
        let mut rows: Vec<&BackendState> = self.rows.values().filter(tells).collect();
        rows.sort_by(|a, b| b.reported_share().total_cmp(&a.reported_share()));
        rows.truncate(LOADS_TOLD);
        rows.into_iter().map(|row| row.load_note(now)).collect()
    }
}
