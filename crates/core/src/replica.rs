//! State of the replicas of backend servers, and the pick of one for a request.
//!
//! Load reports lag, so a box adds the requests that it dispatched itself since the report. The
//! pick is the less loaded of two replicas of a bounded subset, or the replica whose prefix cache
//! should hold the prompt's prefix, if its load is within a bound. A replica that fails or stalls
//! is ejected for a time. Ejection is ignored if it would exclude more than half of the subset.

use std::collections::{HashMap, HashSet};

use serde::Serialize;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{ReplicaKey, VersionKey};
use crate::time::BoxTime;

/// Maximum number of replicas of one version, or of one service, that a box uses.
pub const SUBSET_SIZE: usize = 24;

/// Consecutive failures after which a replica is ejected.
pub const EJECT_FAILURES: u32 = 3;

/// Duration of the first ejection, in milliseconds; doubled for each consecutive one up to
/// [`EJECT_LIMIT_MS`].
pub const EJECT_FIRST_MS: u64 = 2_000;

/// Maximum duration of an ejection, in milliseconds.
pub const EJECT_LIMIT_MS: u64 = 30_000;

/// Minimum wait of the oldest unanswered request for its first token at which its replica counts as
/// stalled, in milliseconds. It is longer where first tokens are slow in general, see
/// [`ReplicaTable::stall_ms`].
pub const STALL_MS: u64 = 1_000;

/// Load bound of prefix affinity: the preferred replica may have this multiple of the mean load,
/// plus one request.
pub const AFFINITY_BOUND: f64 = 1.5;

/// Estimated load, as a share of slots, below which a box may use more than its own slots. Above it
/// all boxes would fill the same free slots, because reports lag.
pub const UNCAPPED_LOAD: f64 = 0.7;

/// A replica as the box list describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListedReplica {
    /// Replica name.
    pub name: String,
    /// Address, `IP:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Name of its pool of model engines, or of its plain service.
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

/// State of a replica.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaState {
    /// Entry of the box list.
    pub listed: ListedReplica,
    /// Hash of its name, for prefix affinity.
    #[serde(skip)]
    name_hash: u64,
    /// Versions loaded.
    #[serde(skip)]
    pub versions: Vec<VersionKey>,
    /// Whether the list, a peer or the replica itself reported that it is leaving.
    pub leaving: bool,
    /// Requests in its batch and its queue by the last report, less those of this box that have
    /// ended since.
    pub reported: u32,
    /// Requests that its batch takes.
    pub slots: u32,
    /// When the report was made, on this box's clock.
    pub reported_at: BoxTime,
    /// Requests of this box that were assigned to it and have not ended.
    pub outstanding: u32,
    /// Requests that this box dispatched to it since the report.
    pub since_report: u32,
    /// When each of this box's unanswered requests was dispatched, oldest first.
    #[serde(skip)]
    pub unanswered: Vec<BoxTime>,
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive ejections.
    pub ejections: u32,
    /// End of the current ejection.
    pub ejected_until: BoxTime,
}

impl ReplicaState {
    /// Estimated load, as a share of its slots: the reported requests plus those that this box sent
    /// since, or the outstanding requests of this box if they are more.
    pub fn load(&self) -> f64 {
        let estimate = (self.reported + self.since_report).max(self.outstanding);
        f64::from(estimate) / f64::from(self.slots.max(1))
    }

    /// Whether its oldest unanswered request has waited longer than `stall_ms`.
    pub fn is_stalled(&self, now: BoxTime, stall_ms: u64) -> bool {
        self.unanswered.first().is_some_and(|at| now.millis_since(*at) > stall_ms)
    }
}

/// Input of a pick.
#[derive(Clone, Copy, Debug)]
pub struct PickQuery {
    /// Hash of the prompt's prefix; 0 if it has none.
    pub prefix: u64,
    /// A random number.
    pub random: u64,
    /// Current time.
    pub now: BoxTime,
    /// Replica to avoid because it failed this request.
    pub avoid: Option<ReplicaKey>,
}

/// How a replica was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickMethod {
    /// Prefix affinity.
    Affinity,
    /// The less loaded of two.
    TwoChoices,
    /// The less loaded of two, with ejection ignored.
    AllEjected,
}

/// Result of a pick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickOutcome {
    /// A replica was picked.
    Picked(ReplicaKey, PickMethod),
    /// Every replica is full, so the request has to wait.
    Full,
    /// There is no replica, or all of them are leaving.
    NoReplica,
}

/// Replicas, and the subsets of them that this box uses.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    rows: SlotMap<ReplicaKey, ReplicaState>,
    names: HashMap<String, ReplicaKey>,
    by_version: HashMap<VersionKey, Vec<ReplicaKey>>,
    by_service: HashMap<String, Vec<ReplicaKey>>,
    /// Number of replicas of each version, before the subset is taken.
    pool_sizes: HashMap<VersionKey, usize>,
    boxes: usize,
    seed: u64,
    /// Moving average of the time to the first token.
    ttft_ms: f64,
}

impl ReplicaTable {
    /// Creates a table for the box named `me`. The name seeds its subsets.
    pub fn new(me: &str) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(me.as_bytes());
        Self { seed, ttft_ms: 200.0, ..Self::default() }
    }

    /// All replicas.
    pub fn rows(&self) -> impl Iterator<Item = (ReplicaKey, &ReplicaState)> {
        self.rows.iter()
    }

    /// Returns the state of a replica.
    pub fn get(&self, key: ReplicaKey) -> Option<&ReplicaState> {
        self.rows.get(key)
    }

    /// Returns the key of a replica by name.
    pub fn find(&self, name: &str) -> Option<ReplicaKey> {
        self.names.get(name).copied()
    }

    /// Applies a new reading of the box list. The list lags, so it never clears that a replica is
    /// leaving. A replica that returns was absent from the list in between.
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

    /// Sets the number of listed boxes, which share the replicas.
    pub fn set_boxes(&mut self, boxes: usize) {
        self.boxes = boxes;
    }

    /// Marks a replica as leaving. Returns whether it was not marked before.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let Some(key) = self.find(name) else { return false };
        !std::mem::replace(&mut self.rows[key].leaving, true)
    }

    /// Applies a load report made at `at`. Returns whether it is the first to say that the replica
    /// is leaving.
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

    /// Builds the subsets again.
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

    /// This box's subset of the replicas that have `version` loaded.
    pub fn subset(&self, version: VersionKey) -> &[ReplicaKey] {
        self.by_version.get(&version).map_or(&[], Vec::as_slice)
    }

    /// This box's subset of the replicas of a plain service.
    pub fn service_subset(&self, service: &str) -> &[ReplicaKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Picks one of the replicas `keys`.
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
                row.ejected_until <= query.now && !row.is_stalled(query.now, stall_ms)
            })
            .filter(|key| Some(*key) != query.avoid)
            .collect();
        // If more than half are ejected, the replicas are not the cause, and the rest would be
        // overloaded.
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

    /// Whether this box may send one more request: the replica has a low load, or this box has
    /// fewer outstanding requests than its own share of the slots. Without that share all boxes
    /// would use a free slot at once as soon as it is reported.
    fn has_room(&self, key: ReplicaKey, senders: f64) -> bool {
        let row = &self.rows[key];
        let own_slots = f64::from(row.slots.max(1)) / senders;
        let fleet_load = f64::from(row.reported) + f64::from(row.since_report) * senders;
        f64::from(row.outstanding) < own_slots.ceil()
            || fleet_load < f64::from(row.slots) * UNCAPPED_LOAD
    }

    /// Estimated number of boxes that send to a replica, at least one.
    fn senders(&self, row: &ReplicaState) -> f64 {
        let pool = row.versions.iter().filter_map(|version| self.pool_sizes.get(version)).max();
        let used = pool.map_or(1.0, |pool| (SUBSET_SIZE as f64 / *pool as f64).min(1.0));
        (self.boxes as f64 * used).max(1.0)
    }

    /// Returns the replica preferred for the prefix, if its load is within the bound.
    fn affinity_replica(
        &self,
        pool: &[ReplicaKey],
        prefix: u64,
        senders: f64,
    ) -> Option<ReplicaKey> {
        if prefix == 0 {
            return None;
        }
        // Every box prefers the same replica, since the weight depends on name and prefix only.
        let weight = |key: &ReplicaKey| mix(self.rows[*key].name_hash ^ prefix);
        let preferred = pool.iter().copied().min_by_key(weight)?;
        let mean = pool.iter().map(|key| self.rows[*key].load()).sum::<f64>() / pool.len() as f64;
        let row = &self.rows[preferred];
        let bound = mean * AFFINITY_BOUND + 1.0 / f64::from(row.slots.max(1));
        (row.load() <= bound && self.has_room(preferred, senders)).then_some(preferred)
    }

    /// Returns the less loaded of two replicas chosen by `random`.
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

    /// Wait for a first token after which a replica counts as stalled, in milliseconds:
    /// [`STALL_MS`], or four times the mean time to the first token if that is more.
    pub fn stall_ms(&self) -> u64 {
        STALL_MS.max((self.ttft_ms * 4.0) as u64)
    }

    /// Records that a request was assigned to a replica.
    pub fn record_assigned(&mut self, key: ReplicaKey, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.outstanding += 1;
            row.since_report += 1;
            row.unanswered.push(now);
        }
    }

    /// Records the first token, or the complete answer, of a request that was assigned at `at`.
    pub fn record_answered(&mut self, key: ReplicaKey, at: BoxTime, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            remove_one(&mut row.unanswered, at);
            row.failures = 0;
            row.ejections = 0;
            self.ttft_ms += (now.millis_since(at) as f64 - self.ttft_ms) * 0.02;
        }
    }

    /// Records that a request that was assigned at `at` has ended.
    pub fn record_ended(&mut self, key: ReplicaKey, at: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            row.outstanding = row.outstanding.saturating_sub(1);
            row.since_report = row.since_report.min(row.outstanding);
            row.reported = row.reported.saturating_sub(1);
            remove_one(&mut row.unanswered, at);
        }
    }

    /// Records a failure, and ejects the replica after [`EJECT_FAILURES`] consecutive ones.
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

/// Mixes the bits of a hash with the finalizer of SplitMix64.
pub(crate) fn mix(hash: u64) -> u64 {
    let mut mixed = hash.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

fn new_row(listed: &ListedReplica) -> ReplicaState {
    /// Number of slots assumed for a replica that has not reported.
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
