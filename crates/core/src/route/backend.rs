//! Replicas of backend servers and what a box knows of each.
//!
//! A replica is known by its entry in the store. Its load is in [`super::loads`], its health in
//! [`super::backend_health`], and [`super::pick`] chooses among replicas.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use serde::Serialize;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;

use super::backend_health::LostAnswer;
use super::leader::scale::ZoneCount;
use super::paths::{ReplicaPath, PATH_RETRY_FIRST_MS};
use super::prefix_cache::PrefixCache;
use super::rate_limit::ReplicaLimit;
use super::rate_share::SenderShare;
use super::scheduling::backlog::ReplicaBacklog;
use super::scheduling::replica_speed::ReplicaSpeed;
use super::tombstones::ReplicaTombstones;
use super::version_sightings::VersionSightings;
use super::warm_up::{WarmUpPlan, ASSUMED_DOWN_MS};
use crate::ids::ReplicaKey;
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// A replica as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BackendEntry {
    /// Id; a restarted replica may keep it.
    pub id: String,
    /// Start time by the replica's own clock, in Unix milliseconds, which tells its incarnations
    /// apart. The clock may have been set back since. `None` if the replica does not report it.
    pub born: Option<u64>,
    /// Address, `IP:port`.
    pub address: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Software version.
    pub version: String,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
    /// Remaining warm-up time, in milliseconds.
    pub cold_ms: u64,
    /// Whether it is a spot replica, which costs less and may be taken away at any time.
    pub spot: bool,
}

/// A change to a replica's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendChange {
    /// Id of the replica.
    pub id: String,
    /// Position of the change in the store. Of two changes the one with the later position counts,
    /// in whichever order they arrive.
    pub at: TopicPosition,
    /// The entry; `None` if it was removed.
    pub entry: Option<BackendEntry>,
}

/// Hash that identifies a replica in gossip.
pub fn backend_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Hash that identifies a service in gossip.
pub fn service_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// What a change adds to what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Nothing.
    None,
    /// A replica, address or version that was not known.
    Changed,
    /// A replica is leaving, or was removed without having announced it.
    Leaving,
    /// A replica that was known to be leaving was removed.
    Gone,
}

impl ChangeKind {
    /// Whether every box that learns of the change announces it.
    pub(super) fn ends_replica(self) -> bool {
        matches!(self, Self::Leaving | Self::Gone)
    }
}

/// What is known of a replica.
#[derive(Clone, Debug, Serialize)]
pub struct BackendState {
    /// Its entry.
    pub entry: BackendEntry,
    #[serde(skip)]
    pub(super) id_hash: u64,
    /// Position of its last change in the store.
    pub at: TopicPosition,
    /// Reported running requests, plus waiting ones times [`super::scheduling::loads::WAITING_WEIGHT`].
    pub reported: u32,
    /// Load that it typically reports.
    #[serde(rename = "usual")]
    pub typical_load: f64,
    /// Reported waiting requests.
    pub reported_waiting: u32,
    /// When the load was reported.
    pub reported_at: BoxTime,
    /// Requests that this box sent since the report.
    pub since_report: u32,
    /// Requests of this box in flight.
    pub outstanding: u32,
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive ejections.
    #[serde(rename = "passes")]
    pub ejections: u32,
    /// Ejected until this time.
    #[serde(rename = "passed_until")]
    pub ejected_until: BoxTime,
    /// Passed over until this time, because another box could not connect to it.
    pub(super) reported_until: BoxTime,
    /// This box's network path to it.
    pub path: ReplicaPath,
    /// When any box reached it.
    #[serde(skip)]
    pub life: super::poison::LifeSigns,
    /// When this or another box last failed to connect to it.
    #[serde(rename = "down_at")]
    pub unreachable_at: Option<BoxTime>,
    /// When that began.
    pub(super) unreachable_since: Option<BoxTime>,
    /// Whether that was reported.
    #[serde(skip)]
    pub(super) outage_reported: bool,
    /// Not chosen from this time on, because its entry vanished during a store outage.
    #[serde(rename = "lapses_at")]
    pub expires_at: Option<BoxTime>,
    /// Cold until this time.
    pub cold_until: BoxTime,
    /// Assumed to be cold until this time, because it was unreachable and may have restarted.
    pub assumed_cold_until: BoxTime,
    /// This box's share of the requests that it takes while it is cold.
    pub(super) warm_up: SenderShare,
    /// In backoff for this box until this time.
    #[serde(rename = "rests_until")]
    pub backoff_until: BoxTime,
    /// Requests that this box may have there at a time, while it is brittle.
    pub slot_share: Option<u32>,
    /// Its rate limit.
    pub limit: ReplicaLimit,
    /// Prompts in its queue.
    pub backlog: ReplicaBacklog,
    /// Its learned speed.
    pub speed: ReplicaSpeed,
    /// Shared prompt parts in its cache.
    #[serde(skip)]
    pub(super) prefix_cache: PrefixCache,
    /// Recently lost responses, the oldest first.
    #[serde(skip)]
    pub lost: Vec<LostAnswer>,
}

impl BackendState {
    /// Marks it as cold for `ms` from `from` on; a later end that is already known stays. A report
    /// that it is warm has no effect, because it may be older than what made the replica cold, and
    /// a replica is cold for a few seconds only.
    fn mark_cold(&mut self, ms: u64, from: BoxTime) {
        self.cold_until = self.cold_until.max(from.plus_millis(ms));
    }

    /// Whether it is cold, or assumed to be.
    pub fn is_cold(&self, now: BoxTime) -> bool {
        self.cold_until.max(self.assumed_cold_until) > now
    }

    /// Whether it is cold and this box has used up its share.
    pub(super) fn too_cold(&self, now: BoxTime) -> bool {
        self.is_cold(now) && !self.warm_up.allows(now)
    }

    /// Whether it may be chosen at all.
    pub(super) fn usable(&self, now: BoxTime) -> bool {
        !self.entry.leaving && self.expires_at.is_none_or(|at| now < at)
    }
}

/// Whether two entries with the same id belong to different incarnations of a replica. An entry
/// without a start time may belong to either.
pub(super) fn is_other_incarnation(known: &BackendEntry, other: &BackendEntry) -> bool {
    let born = known.born.zip(other.born);
    born.is_some_and(|(known, other)| known != other)
}

/// Whether an entry under a replica's id describes another replica than the known one: an incarnation
/// that follows it in the order of the store, or a replica of another service.
fn is_other_replica(known: &BackendEntry, other: &BackendEntry) -> bool {
    is_other_incarnation(known, other) || known.service != other.service
}

/// The known replicas, by key. Only `insert` and `remove` change the indexes, and a row keeps its id and
/// its service, so that the indexes agree.
#[derive(Debug, Default)]
pub struct BackendTable {
    pub(super) rows: SlotMap<ReplicaKey, BackendState>,
    pub(super) ids: HashMap<String, ReplicaKey>,
    /// By [`backend_hash`] of the id.
    pub(super) hashes: HashMap<u64, ReplicaKey>,
    /// In the order of the hashes of their ids, which is the same on every box.
    pub(super) by_service: HashMap<String, Vec<ReplicaKey>>,
    /// By position of the last change, so that a sync response is found without a scan of all
    /// replicas.
    by_change: BTreeMap<TopicPosition, BTreeSet<ReplicaKey>>,
    /// Replicas whose entries vanished during a store outage.
    expiring: BTreeSet<ReplicaKey>,
    tombstones: ReplicaTombstones,
    /// End of the last complete listing.
    listed_to: TopicPosition,
    /// Services with a replica that shares its machine with other work.
    shared_machines: BTreeSet<String>,
    /// When this box first heard of each version.
    pub(super) versions: VersionSightings,
    /// Whether a replica became cold and this box's share of it was not computed yet.
    pub(super) newly_cold: bool,
}

impl BackendTable {
    /// Marks an unreachable replica as cold for `ms` from when it may be back. Most unreachable
    /// replicas have restarted, and the entry shows that seconds later.
    pub(super) fn mark_unreachable_cold(&mut self, key: ReplicaKey, ms: u64, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(key) {
            let retry_at = now.plus_millis(PATH_RETRY_FIRST_MS).max(row.path.retry_at());
            let back_at = retry_at.max(row.reported_until);
            let until = back_at.plus_millis(ASSUMED_DOWN_MS + ms);
            row.assumed_cold_until = row.assumed_cold_until.max(until);
            self.newly_cold = true;
        }
    }

    /// Marks the replicas of a zone as cold, for as long as the operator sets for their services.
    pub(super) fn mark_zone_cold(
        &mut self,
        zone: &str,
        warm_up: &dyn Fn(&str) -> Option<WarmUpPlan>,
        now: BoxTime,
    ) {
        for row in self.rows.values_mut().filter(|row| row.entry.zone == zone) {
            if let Some(plan) = warm_up(&row.entry.service) {
                row.mark_cold(plan.lasts_ms, now);
                self.newly_cold = true;
            }
        }
    }

    /// All replicas.
    pub fn rows(&self) -> impl Iterator<Item = (ReplicaKey, &BackendState)> {
        self.rows.iter()
    }

    /// Records that a replica shares its machine with other work.
    pub(super) fn note_shared_machine(&mut self, key: ReplicaKey) {
        let Some(row) = self.rows.get(key) else { return };
        if !self.shared_machines.contains(&row.entry.service) {
            self.shared_machines.insert(row.entry.service.clone());
        }
    }

    /// Whether replicas of a service share their machines with other work.
    pub(super) fn shares_machines(&self, service: &str) -> bool {
        self.shared_machines.contains(service)
    }

    /// Whether a replica of the service is known or was known.
    pub fn serves(&self, service: &str) -> bool {
        self.by_service.contains_key(service)
    }

    /// A replica.
    pub fn get(&self, key: ReplicaKey) -> Option<&BackendState> {
        self.rows.get(key)
    }

    /// Replicas of a service by availability zone, without leaving ones.
    pub(super) fn zone_counts(&self, service: &str, now: BoxTime) -> BTreeMap<String, ZoneCount> {
        let mut zone_counts: BTreeMap<String, ZoneCount> = BTreeMap::new();
        let keys = self.by_service.get(service).into_iter().flatten();
        for row in keys.map(|key| &self.rows[*key]).filter(|row| row.usable(now)) {
            let count = zone_counts.entry(row.entry.zone.clone()).or_default();
            if !row.entry.spot {
                count.on_demand += 1;
            } else if !row.is_cold(now) {
                count.spot += 1;
            }
        }
        zone_counts
    }

    /// The first `limit` changes of the store from a position on, in the order of the store:
    /// replicas in use, and with `removed` also removed ones.
    pub fn changes_from(
        &self,
        from: TopicPosition,
        removed: bool,
        limit: usize,
    ) -> Vec<BackendChange> {
        let keys = self.by_change.range(from..).flat_map(|(_, keys)| keys);
        let rows = keys.filter_map(|key| self.rows.get(*key));
        let used = rows.filter(|row| row.expires_at.is_none()).map(|row| BackendChange {
            id: row.entry.id.clone(),
            at: row.at,
            entry: Some(row.entry.clone()),
        });
        let mut changes: Vec<BackendChange> = used.take(limit).collect();
        if removed {
            let removed = self.tombstones.since(from).take(limit);
            changes.extend(removed.map(|(id, at)| BackendChange {
                id: id.clone(),
                at,
                entry: None,
            }));
            changes.sort_by_key(|change| change.at);
            changes.truncate(limit);
        }
        changes
    }

    /// Position of the first change that may still be undone, because an entry vanished during a
    /// store outage.
    pub fn first_expiring(&self) -> Option<TopicPosition> {
        self.expiring.iter().filter_map(|key| self.rows.get(*key)).map(|row| row.at).min()
    }

    /// Number of tombstones.
    pub(super) fn tombstone_count(&self) -> usize {
        self.tombstones.count()
    }

    /// Position from which on all removals are known.
    pub fn tombstones_from(&self) -> TopicPosition {
        self.tombstones.kept_from()
    }

    /// Applies a change and returns what it adds to what is known. An entry that vanished during a
    /// store outage may come back and is used until `grace_until`.
    pub fn apply_change(
        &mut self,
        change: &BackendChange,
        now: BoxTime,
        grace_until: Option<BoxTime>,
    ) -> ChangeKind {
        let known = self.ids.get(&change.id).map(|key| self.rows[*key].at);
        let known = known.or_else(|| self.tombstones.position(&change.id));
        // The last listing did not show it, so that it was removed by then.
        let known = known.or((change.at < self.listed_to).then_some(self.listed_to));
        // The same removal from a box that knows it to be final ends the grace period here.
        let settled =
            grace_until.is_none() && change.entry.is_none() && self.is_expiring(&change.id);
        if known.is_some_and(|at| at > change.at || (at == change.at && !settled)) {
            return change
                .entry
                .as_ref()
                .map_or(ChangeKind::None, |entry| self.apply_leaving(entry));
        }
        match &change.entry {
            Some(entry) if self.tombstones.has_left(entry, change.at) => ChangeKind::None,
            Some(entry) => self.put(entry.clone(), change.at, now),
            None => self.apply_removal(&change.id, change.at, grace_until),
        }
    }

    /// Whether a replica is in its grace period.
    fn is_expiring(&self, id: &str) -> bool {
        self.ids.get(id).is_some_and(|key| self.rows[*key].expires_at.is_some())
    }

    /// Applies a complete listing that was made when the store's entries ended at `end`: replicas
    /// that are not listed were removed. Returns all changes with their kinds.
    pub fn apply_all(
        &mut self,
        end: TopicPosition,
        listed: Vec<BackendChange>,
        now: BoxTime,
        grace_until: Option<BoxTime>,
    ) -> Vec<(BackendChange, ChangeKind)> {
        let shown: HashSet<&str> = listed.iter().map(|row| row.id.as_str()).collect();
        let missing = self.ids.keys().filter(|id| !shown.contains(id.as_str()));
        // The listing shows all changes before `end`, so that a change at `end` is later.
        let removal =
            |id: &String| BackendChange { id: id.clone(), at: end.previous(), entry: None };
        let missing: Vec<BackendChange> = missing.map(removal).collect();
        let changes = missing.into_iter().chain(listed);
        let applied =
            changes.map(|change| (change.clone(), self.apply_change(&change, now, grace_until)));
        let applied = applied.collect();
        self.listed_to = self.listed_to.max(end);
        applied
    }

    fn put(&mut self, entry: BackendEntry, at: TopicPosition, now: BoxTime) -> ChangeKind {
        self.versions.record(&entry.service, &entry.version, now);
        let Some(key) = self.ids.get(&entry.id).copied() else {
            self.tombstones.forget(&entry.id);
            let leaving = entry.leaving;
            self.insert(entry, at, now);
            return if leaving { ChangeKind::Leaving } else { ChangeKind::Changed };
        };
        if is_other_replica(&self.rows[key].entry, &entry) {
            return self.put_other_replica(key, entry, at, now);
        }
        let row = &mut self.rows[key];
        let born = entry.born.or(row.entry.born);
        let newly_leaving = entry.leaving && !row.entry.leaving;
        let changed = row.entry.address != entry.address || row.entry.version != entry.version;
        // A leaving mark is never withdrawn within an incarnation of a replica.
        let leaving = row.entry.leaving || entry.leaving;
        row.mark_cold(entry.cold_ms, now);
        self.newly_cold |= entry.cold_ms > 0;
        row.entry = BackendEntry { leaving, born, ..entry };
        row.expires_at = None;
        self.expiring.remove(&key);
        self.record_change(key, at);
        match (newly_leaving, changed) {
            (true, _) => ChangeKind::Leaving,
            (false, true) => ChangeKind::Changed,
            (false, false) => ChangeKind::None,
        }
    }

    /// Stores an entry that shares no state with the one that it replaces, under a key of its own:
    /// requests in flight, failures, cached prompt parts and load stay with the former key.
    fn put_other_replica(
        &mut self,
        former: ReplicaKey,
        entry: BackendEntry,
        at: TopicPosition,
        now: BoxTime,
    ) -> ChangeKind {
        self.remove(former);
        self.put(entry, at, now)
    }

    /// Records the position of a replica's last change.
    fn record_change(&mut self, key: ReplicaKey, at: TopicPosition) {
        let former = std::mem::replace(&mut self.rows[key].at, at);
        self.forget_change(key, former);
        self.by_change.entry(at).or_default().insert(key);
    }

    fn forget_change(&mut self, key: ReplicaKey, at: TopicPosition) {
        if let Some(keys) = self.by_change.get_mut(&at) {
            keys.remove(&key);
            if keys.is_empty() {
                self.by_change.remove(&at);
            }
        }
    }

    fn insert(&mut self, entry: BackendEntry, at: TopicPosition, now: BoxTime) {
        let (id, service) = (entry.id.clone(), entry.service.clone());
        self.newly_cold |= entry.cold_ms > 0;
        let key = self.rows.insert(BackendState {
            id_hash: backend_hash(&id),
            cold_until: now.plus_millis(entry.cold_ms),
            assumed_cold_until: BoxTime::default(),
            warm_up: SenderShare::default(),
            backoff_until: BoxTime::default(),
            slot_share: None,
            limit: ReplicaLimit::default(),
            at,
            reported: 0,
            typical_load: 0.0,
            reported_waiting: 0,
            reported_at: BoxTime::default(),
            since_report: 0,
            outstanding: 0,
            failures: 0,
            ejections: 0,
            ejected_until: BoxTime::default(),
            reported_until: BoxTime::default(),
            path: ReplicaPath::default(),
            life: super::poison::LifeSigns::default(),
            unreachable_at: None,
            unreachable_since: None,
            outage_reported: false,
            expires_at: None,
            backlog: ReplicaBacklog::default(),
            speed: ReplicaSpeed::default(),
            prefix_cache: PrefixCache::default(),
            lost: Vec::new(),
            entry,
        });
        self.by_change.entry(at).or_default().insert(key);
        self.hashes.insert(backend_hash(&id), key);
        self.ids.insert(id, key);
        let keys = self.by_service.entry(service).or_default();
        let before = |other: &ReplicaKey| self.rows[*other].id_hash < self.rows[key].id_hash;
        keys.insert(keys.partition_point(before), key);
    }

    fn apply_removal(
        &mut self,
        id: &str,
        at: TopicPosition,
        grace_until: Option<BoxTime>,
    ) -> ChangeKind {
        let Some(key) = self.ids.get(id).copied() else {
            self.tombstones.insert(id, at, None);
            return ChangeKind::None;
        };
        self.record_change(key, at);
        let row = &mut self.rows[key];
        if let Some(grace_until) = grace_until.filter(|_| !row.entry.leaving) {
            row.expires_at.get_or_insert(grace_until);
            self.expiring.insert(key);
            return ChangeKind::None;
        }
        let was_leaving = row.entry.leaving;
        self.remove(key);
        if was_leaving {
            ChangeKind::Gone
        } else {
            ChangeKind::Leaving
        }
    }

    fn remove(&mut self, key: ReplicaKey) {
        let Some(row) = self.rows.remove(key) else { return };
        self.forget_change(key, row.at);
        self.expiring.remove(&key);
        self.ids.remove(&row.entry.id);
        self.hashes.remove(&row.id_hash);
        if let Some(keys) = self.by_service.get_mut(&row.entry.service) {
            keys.retain(|other| *other != key);
        }
        let id = row.entry.id.clone();
        self.tombstones.insert(&id, row.at, Some(row.entry).filter(|entry| entry.leaving));
    }

    /// Removes entries whose grace period is over, and returns the removals.
    pub fn drop_expired(&mut self, now: BoxTime) -> Vec<BackendChange> {
        let over = |key: &ReplicaKey| self.rows[*key].expires_at.is_some_and(|at| at <= now);
        let expired: Vec<ReplicaKey> = self.expiring.iter().copied().filter(over).collect();
        let mut changes = Vec::with_capacity(expired.len());
        for key in expired {
            let row = &self.rows[key];
            changes.push(BackendChange { id: row.entry.id.clone(), at: row.at, entry: None });
            self.remove(key);
        }
        changes
    }
}
