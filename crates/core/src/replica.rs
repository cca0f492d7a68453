//! Replicas: what is known of each, and which of them answers a request.
//!
//! Load reports lag, so a box adds what it dispatched itself since the report. The choice is the
//! less loaded of two from a bounded subset, unless the replica that holds the prompt's prefix is
//! within the load bound. A replica that fails or stops moving is ejected for a while, at most half
//! of a subset at a time.

use std::collections::{HashMap, HashSet};

use serde::Serialize;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{ReplicaKey, VersionKey};
use crate::time::BoxTime;

/// Replicas of one version, or of one service, that a box uses at most.
pub const SUBSET_SIZE: usize = 24;

/// A replica with this many failures in a row is ejected.
pub const EJECT_FAILURES: u32 = 3;

/// First ejection, in milliseconds; doubled by each further one up to [`EJECT_LIMIT_MS`].
pub const EJECT_FIRST_MS: u64 = 2_000;

/// Longest ejection, in milliseconds.
pub const EJECT_LIMIT_MS: u64 = 30_000;

/// A replica whose oldest unanswered request waits this long for its first token counts as stalled,
/// in milliseconds, unless its pool is that slow as a whole.
pub const STALL_MS: u64 = 1_000;

/// Load bound of affinity: the preferred replica may carry this times the mean, and one more.
pub const AFFINITY_BOUND: f64 = 1.5;

/// Reported load, as a share of slots, below which a box may use more than its own part: reports
/// lag, and above it all boxes would fill the same slots.
pub const UNCAPPED_LOAD: f64 = 0.7;

/// A replica as the box list gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListedReplica {
    /// Replica name.
    pub name: String,
    /// Address, `IP:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Pool of model engines, or plain service.
    pub service: String,
    /// Whether it is a model engine.
    pub engine: bool,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// A replica's own report of its load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Versions loaded.
    pub versions: Vec<String>,
    /// Requests in its batch.
    pub running: u32,
    /// Requests waiting for its batch.
    pub waiting: u32,
    /// Requests that its batch takes.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What is known of a replica.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaState {
    /// As listed.
    pub listed: ListedReplica,
    /// Hash of its name, for affinity.
    #[serde(skip)]
    name_hash: u64,
    /// Versions loaded.
    #[serde(skip)]
    pub versions: Vec<VersionKey>,
    /// Whether the list, a peer or the replica itself says that it leaves.
    pub leaving: bool,
    /// Last reported batch and queue.
    pub reported: u32,
    /// Requests that its batch takes.
    pub slots: u32,
    /// When the report was made, on this box's clock.
    pub reported_at: BoxTime,
    /// Requests of this box that it has not finished.
    pub outstanding: u32,
    /// Requests that this box dispatched to it since the report.
    pub since_report: u32,
    /// When each of this box's unanswered requests was dispatched, oldest first.
    #[serde(skip)]
    pub unanswered: Vec<BoxTime>,
    /// Failures in a row.
    pub failures: u32,
    /// Ejections in a row.
    pub ejections: u32,
    /// Not chosen before this.
    pub ejected_until: BoxTime,
}

impl ReplicaState {
    /// Estimated load: what the replica reported and what this box sent since, or what this box has
    /// outstanding, whichever is more; as a share of its slots.
    pub fn load(&self) -> f64 {
        let estimate = (self.reported + self.since_report).max(self.outstanding);
        f64::from(estimate) / f64::from(self.slots.max(1))
    }

    /// Whether its oldest unanswered request has waited longer than `stall_ms`.
    pub fn stalled(&self, now: BoxTime, stall_ms: u64) -> bool {
        self.unanswered.first().is_some_and(|at| now.millis_since(*at) > stall_ms)
    }
}

/// What a pick needs to know.
#[derive(Clone, Copy, Debug)]
pub struct PickQuery {
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// A random number.
    pub random: u64,
    /// The time.
    pub now: BoxTime,
    /// Replica to avoid, because it failed this request.
    pub avoid: Option<ReplicaKey>,
}

/// How a replica was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickMethod {
    /// It holds the prompt's prefix.
    Affinity,
    /// The less loaded of two.
    TwoChoices,
    /// All are ejected; the less loaded of two of them.
    AllEjected,
}

/// Result of a pick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickOutcome {
    /// This replica.
    Picked(ReplicaKey, PickMethod),
    /// Every replica is full: wait.
    Full,
    /// There is none.
    NoReplica,
}

/// Replicas by key, and the subsets that this box uses.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    rows: SlotMap<ReplicaKey, ReplicaState>,
    names: HashMap<String, ReplicaKey>,
    by_version: HashMap<VersionKey, Vec<ReplicaKey>>,
    by_service: HashMap<String, Vec<ReplicaKey>>,
    /// Boxes that use a replica of the subset, by its length before it was cut.
    pool_sizes: HashMap<VersionKey, usize>,
    boxes: usize,
    seed: u64,
    ttft_ms: f64,
}

impl ReplicaTable {
    /// A table for the box called `me`; the name seeds its subsets.
    pub fn new(me: &str) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(me.as_bytes());
        Self { seed, ttft_ms: 200.0, ..Self::default() }
    }

    /// All replicas.
    pub fn rows(&self) -> impl Iterator<Item = (ReplicaKey, &ReplicaState)> {
        self.rows.iter()
    }

    /// A replica.
    pub fn get(&self, key: ReplicaKey) -> Option<&ReplicaState> {
        self.rows.get(key)
    }

    /// Key of a replica by name.
    pub fn find(&self, name: &str) -> Option<ReplicaKey> {
        self.names.get(name).copied()
    }

    /// Takes a new reading of the box list. A leaving mark is never taken back by the list, which
    /// lags; a replica that comes back has left the list in between.
    pub fn apply_list(&mut self, listed: &[ListedReplica]) {
        let names: HashSet<&str> = listed.iter().map(|new| new.name.as_str()).collect();
        let removed: Vec<ReplicaKey> = self
            .rows
            .iter()
            .filter(|(_, row)| !names.contains(row.listed.name.as_str()))
            .map(|(key, _)| key)
            .collect();
        for key in removed {
            if let Some(row) = self.rows.remove(key) {
                self.names.remove(&row.listed.name);
            }
        }
        for new in listed {
            match self.names.get(&new.name) {
                Some(key) => {
                    let row = &mut self.rows[*key];
                    row.leaving |= new.leaving;
                    row.listed = new.clone();
                }
                None => {
                    let key = self.rows.insert(new_row(new));
                    self.names.insert(new.name.clone(), key);
                }
            }
        }
        self.rebuild();
    }

    /// Notes how many boxes are listed; they share the replicas.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = boxes;
    }

    /// Marks a replica as leaving. Returns whether that is news.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let Some(key) = self.find(name) else { return false };
        !std::mem::replace(&mut self.rows[key].leaving, true)
    }

    /// Takes a load report made at `at`. Returns whether the replica's leaving mark is news.
    pub fn apply_report(
        &mut self,
        key: ReplicaKey,
        report: &LoadReport,
        versions: Vec<VersionKey>,
        at: BoxTime,
    ) -> bool {
        let Some(row) = self.rows.get_mut(key) else { return false };
        if row.reported_at > at {
            return false;
        }
        row.reported = report.running + report.waiting;
        row.slots = report.slots.max(1);
        row.reported_at = at;
        row.since_report = row.unanswered.iter().filter(|sent| **sent > at).count() as u32;
        let is_new = report.leaving && !std::mem::replace(&mut row.leaving, true);
        let changed = row.versions != versions;
        row.versions = versions;
        if changed {
            self.rebuild();
        }
        is_new
    }

    fn rebuild(&mut self) {
        self.by_version.clear();
        self.by_service.clear();
        for (key, row) in &self.rows {
            for version in &row.versions {
                self.by_version.entry(*version).or_default().push(key);
            }
            if !row.listed.engine {
                self.by_service.entry(row.listed.service.clone()).or_default().push(key);
            }
        }
        self.pool_sizes = self.by_version.iter().map(|(key, keys)| (*key, keys.len())).collect();
        let (rows, seed) = (&self.rows, self.seed);
        for keys in self.by_version.values_mut().chain(self.by_service.values_mut()) {
            keys.sort_by_cached_key(|key| {
                xxh3_64_with_seed(rows[*key].listed.name.as_bytes(), seed)
            });
            keys.truncate(SUBSET_SIZE);
        }
    }

    /// Replicas of this box's subset for `version`.
    pub fn subset(&self, version: VersionKey) -> &[ReplicaKey] {
        self.by_version.get(&version).map_or(&[], Vec::as_slice)
    }

    /// Replicas of a plain service.
    pub fn service_subset(&self, service: &str) -> &[ReplicaKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Picks one of `keys`.
    pub fn pick(&self, keys: &[ReplicaKey], query: PickQuery) -> PickOutcome {
        let not_leaving: Vec<ReplicaKey> =
            keys.iter().copied().filter(|key| !self.rows[*key].leaving).collect();
        if not_leaving.is_empty() {
            return PickOutcome::NoReplica;
        }
        let stall_ms = self.stall_ms();
        let healthy: Vec<ReplicaKey> = not_leaving
            .iter()
            .copied()
            .filter(|key| {
                let row = &self.rows[*key];
                row.ejected_until <= query.now && !row.stalled(query.now, stall_ms)
            })
            .filter(|key| Some(*key) != query.avoid)
            .collect();
        // The floor: with more than half ejected the cause is not the replicas, and those that are
        // left would be overrun.
        let ignores_ejection = healthy.len() * 2 < not_leaving.len();
        let pool = if ignores_ejection { &not_leaving } else { &healthy };
        let senders = self.senders(&self.rows[not_leaving[0]]);
        let with_room: Vec<ReplicaKey> =
            pool.iter().copied().filter(|key| self.has_room(*key, senders)).collect();
        if with_room.is_empty() {
            return PickOutcome::Full;
        }
        if let Some(key) = self.affinity_replica(pool, query.prefix, senders) {
            return PickOutcome::Picked(key, PickMethod::Affinity);
        }
        let key = self.less_loaded(&with_room, query.random);
        PickOutcome::Picked(
            key,
            if ignores_ejection { PickMethod::AllEjected } else { PickMethod::TwoChoices },
        )
    }

    /// Whether this box may send one more: while the replica is not busy, or within this box's own
    /// part of its slots. Without the part, each report of a free slot is taken by every box at once.
    fn has_room(&self, key: ReplicaKey, senders: f64) -> bool {
        let row = &self.rows[key];
        let own_slots = f64::from(row.slots.max(1)) / senders;
        let fleet_load = f64::from(row.reported) + f64::from(row.since_report) * senders;
        f64::from(row.outstanding) < own_slots.ceil()
            || fleet_load < f64::from(row.slots) * UNCAPPED_LOAD
    }

    /// Boxes that send to a replica, at least one.
    fn senders(&self, row: &ReplicaState) -> f64 {
        let pool = row.versions.iter().filter_map(|version| self.pool_sizes.get(version)).max();
        let used = pool.map_or(1.0, |pool| (SUBSET_SIZE as f64 / *pool as f64).min(1.0));
        (self.boxes as f64 * used).max(1.0)
    }

    fn affinity_replica(
        &self,
        pool: &[ReplicaKey],
        prefix: u64,
        senders: f64,
    ) -> Option<ReplicaKey> {
        if prefix == 0 {
            return None;
        }
        // The same replica from every box: by name and prefix only.
        let weight = |key: &ReplicaKey| mix(self.rows[*key].name_hash ^ prefix);
        let preferred = pool.iter().copied().min_by_key(weight)?;
        let mean = pool.iter().map(|key| self.rows[*key].load()).sum::<f64>() / pool.len() as f64;
        let row = &self.rows[preferred];
        let bound = mean * AFFINITY_BOUND + 1.0 / f64::from(row.slots.max(1));
        (row.load() <= bound && self.has_room(preferred, senders)).then_some(preferred)
    }

    fn less_loaded(&self, with_room: &[ReplicaKey], random: u64) -> ReplicaKey {
        let count = with_room.len() as u64;
        let first = (random % count) as usize;
        let second = (first as u64 + 1 + (random >> 32) % count.saturating_sub(1).max(1)) % count;
        let (a, b) = (with_room[first], with_room[second as usize]);
        if self.rows[b].load() < self.rows[a].load() {
            b
        } else {
            a
        }
    }

    /// How long a first token may take before a replica counts as stalled, in milliseconds.
    pub fn stall_ms(&self) -> u64 {
        STALL_MS.max((self.ttft_ms * 4.0) as u64)
    }

    /// Notes that a request is given to a replica.
    pub fn record_assigned(&mut self, key: ReplicaKey, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.outstanding += 1;
            row.since_report += 1;
            row.unanswered.push(now);
        }
    }

    /// Notes the first token, or the whole answer, of a request given at `at`.
    pub fn record_answered(&mut self, key: ReplicaKey, at: BoxTime, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            remove_one(&mut row.unanswered, at);
            row.failures = 0;
            row.ejections = 0;
            self.ttft_ms += (now.millis_since(at) as f64 - self.ttft_ms) * 0.02;
        }
    }

    /// Notes that a request given at `at` has ended.
    pub fn record_ended(&mut self, key: ReplicaKey, at: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.outstanding = row.outstanding.saturating_sub(1);
            row.since_report = row.since_report.min(row.outstanding);
            row.reported = row.reported.saturating_sub(1);
            remove_one(&mut row.unanswered, at);
        }
    }

    /// Notes a failure; ejects the replica when it has failed too often in a row.
    pub fn record_failure(&mut self, key: ReplicaKey, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.failures += 1;
            if row.failures >= EJECT_FAILURES {
                let span = EJECT_FIRST_MS << row.ejections.min(8);
                row.ejected_until = now.plus_millis(span.min(EJECT_LIMIT_MS));
                row.ejections += 1;
                row.failures = 0;
            }
        }
    }
}

/// Spreads a hash: SplitMix64's finalizer.
pub(crate) fn mix(hash: u64) -> u64 {
    let mut mixed = hash.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

fn new_row(listed: &ListedReplica) -> ReplicaState {
    /// Slots assumed of a replica that has not reported.
    const ASSUMED_SLOTS: u32 = 16;
    ReplicaState {
        listed: listed.clone(),
        name_hash: xxhash_rust::xxh3::xxh3_64(listed.name.as_bytes()),
        versions: Vec::new(),
        leaving: listed.leaving,
        reported: 0,
        slots: ASSUMED_SLOTS,
        reported_at: BoxTime::default(),
        outstanding: 0,
        since_report: 0,
        unanswered: Vec::new(),
        failures: 0,
        ejections: 0,
        ejected_until: BoxTime::default(),
    }
}

fn remove_one(times: &mut Vec<BoxTime>, at: BoxTime) {
    if let Some(index) = times.iter().position(|time| *time == at) {
        times.remove(index);
    }
}
