//! Replicas of backend servers on the platform: what is known of each; [`super::pick`] chooses.
//!
//! A replica is known by its entry in the store; [`super::loads`] says how busy it is. What a replica
//! *does* counts as well: see [`super::backend_health`].

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use serde::Serialize;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;

use super::backend_health::LostAnswer;
use super::backlog::ReplicaBacklog;
use super::leader::scale::ZoneCount;
use super::prefix_cache::PrefixCache;
use super::rate_limit::ReplicaLimit;
use super::rate_share::SenderPart;
use super::tombstones::ReplicaTombstones;
use super::warm_up::{WarmUpPlan, ASSUMED_DOWN_MS};
use crate::ids::ReplicaKey;
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// A replica as its entry in the store gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BackendEntry {
    /// Id; a replica that starts again may keep it.
    pub id: String,
    /// What tells its lives apart: when this one started by its own clock, which may have been set back since, in Unix
    /// milliseconds. `None` from a replica that does not say it.
    pub born: Option<u64>,
    /// Address, `IP:port`.
    pub address: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// How much longer it is slow from its start, in milliseconds.
    pub cold_ms: u64,
    /// Whether it is cheaper and may be taken away.
    pub spot: bool,
}

/// A change to a replica's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendChange {
    /// Id of the replica.
    pub id: String,
    /// Position of the change in the store: of two changes the later one counts, whichever way and
    /// however late they came.
    pub at: TopicPosition,
    /// The entry; `None` if it is gone.
    pub entry: Option<BackendEntry>,
}

/// What stands for a replica's id in notes.
pub fn backend_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// What of a change is news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Nothing.
    None,
    /// There is a replica, or an address or version, that was not known.
    Changed,
    /// A replica leaves or is gone.
    Leaving,
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
    /// Reported running requests, and waiting ones by [`super::loads::WAITING_WEIGHT`].
    pub reported: u32,
    /// What it usually reports, lately.
    #[serde(rename = "usual")]
    pub typical_load: f64,
    /// Reported waiting requests alone.
    pub reported_waiting: u32,
    /// When they were reported.
    pub reported_at: BoxTime,
    /// Sent by this box since the report.
    pub since_report: u32,
    /// Requests of this box that it has not finished.
    pub outstanding: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Spans in a row for which it was passed over.
    #[serde(rename = "passes")]
    pub ejections: u32,
    /// Not chosen before this.
    #[serde(rename = "passed_until")]
    pub ejected_until: BoxTime,
    /// When a connection to it last did not come about, here or at another box.
    #[serde(rename = "down_at")]
    pub unreachable_at: Option<BoxTime>,
    /// Not chosen from this on: its entry vanished while the store was unsound.
    #[serde(rename = "lapses_at")]
    pub expires_at: Option<BoxTime>,
    /// Cold until this.
    pub cold_until: BoxTime,
    /// This box's part of what it bears until then.
    pub(super) warm_up: SenderPart,
    /// It wants nothing from this box before this.
    #[serde(rename = "rests_until")]
    pub backoff_until: BoxTime,
    /// The limit that it names.
    pub limit: ReplicaLimit,
    /// Prompts that wait there.
    pub backlog: ReplicaBacklog,
    /// Prompts' shared parts that it holds.
    #[serde(skip)]
    pub(super) prefix_cache: PrefixCache,
    /// Answers that it left out lately, the oldest first.
    #[serde(skip)]
    pub lost: Vec<LostAnswer>,
}

impl BackendState {
    /// Takes it for cold for `ms` from `from` on, or longer if that is known. Its own word of being warm changes nothing:
    /// it may be older than what made it cold, and what is cold is so for a few seconds.
    fn mark_cold(&mut self, ms: u64, from: BoxTime) {
        self.cold_until = self.cold_until.max(from.plus_millis(ms));
    }

    /// Whether it is cold, and this box may send it no more for now.
    pub(super) fn too_cold(&self, now: BoxTime) -> bool {
        self.cold_until > now && !self.warm_up.allows(now)
    }

    /// Whether it may be chosen at all.
    pub(super) fn usable(&self, now: BoxTime) -> bool {
        !self.entry.leaving && self.expires_at.is_none_or(|at| now < at)
    }
}

/// Whether two entries under one id are of two lives of a replica. One that does not say when it started may be of either.
pub(super) fn is_other_incarnation(known: &BackendEntry, other: &BackendEntry) -> bool {
    let born = known.born.zip(other.born);
    born.is_some_and(|(known, other)| known != other)
}

/// Replicas by key.
#[derive(Debug, Default)]
pub struct BackendTable {
    pub(super) rows: SlotMap<ReplicaKey, BackendState>,
    pub(super) ids: HashMap<String, ReplicaKey>,
    /// By [`backend_hash`] of their ids.
    pub(super) hashes: HashMap<u64, ReplicaKey>,
    /// In the order of the hashes of their ids, which is the same on every box.
    pub(super) by_service: HashMap<String, Vec<ReplicaKey>>,
    /// In the order of their last changes: what a box that asks lacks is found without a look at all.
    by_change: BTreeMap<TopicPosition, BTreeSet<ReplicaKey>>,
    /// Those whose entries vanished while the store was unsound.
    expiring: BTreeSet<ReplicaKey>,
    tombstones: ReplicaTombstones,
    /// Position up to which the last whole listing showed all.
    listed_to: TopicPosition,
    /// Whether a replica is cold in which this box's part was not worked out yet.
    pub(super) newly_cold: bool,
}

impl BackendTable {
    /// Takes a replica that could not be reached for cold for `ms` from when it may be back: it has mostly started anew, and its
    /// entry says so seconds later.
    pub(super) fn mark_unreachable_cold(&mut self, key: ReplicaKey, ms: u64) {
        if let Some(row) = self.rows.get_mut(key) {
            row.mark_cold(ASSUMED_DOWN_MS + ms, row.ejected_until);
            self.newly_cold = true;
        }
    }

    /// Takes the replicas of a zone for cold, as long as the operator says of their services.
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

    /// Whether any replica of a service is known, or was.
    pub fn serves(&self, service: &str) -> bool {
        self.by_service.contains_key(service)
    }

    /// A replica.
    pub fn get(&self, key: ReplicaKey) -> Option<&BackendState> {
        self.rows.get(key)
    }

    /// Replicas of a service by availability zone, those that leave left out.
    pub(super) fn zone_counts(&self, service: &str, now: BoxTime) -> BTreeMap<String, ZoneCount> {
        let mut zone_counts: BTreeMap<String, ZoneCount> = BTreeMap::new();
        let keys = self.by_service.get(service).into_iter().flatten();
        for row in keys.map(|key| &self.rows[*key]).filter(|row| row.usable(now)) {
            let count = zone_counts.entry(row.entry.zone.clone()).or_default();
            if !row.entry.spot {
                count.on_demand += 1;
            } else if row.cold_until <= now {
                count.spot += 1;
            }
        }
        zone_counts
    }

    /// The first `most` changes of the store from a position on, in its order: replicas that are used, and with `gone`
    /// those that are gone.
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

    /// Position of the first change that may yet be undone: an entry vanished while the store was away.
    pub fn first_expiring(&self) -> Option<TopicPosition> {
        self.expiring.iter().filter_map(|key| self.rows.get(*key)).map(|row| row.at).min()
    }

    /// Replicas that are known to be gone.
    pub(super) fn tombstone_count(&self) -> usize {
        self.tombstones.count()
    }

    /// Position from which on it is known which replicas are gone.
    pub fn tombstones_from(&self) -> TopicPosition {
        self.tombstones.kept_from()
    }

    /// Takes one change. Where the store was away, an entry that vanished is used until `grace_until`: it
    /// may come back. Gives what of it is news.
    pub fn apply_change(
        &mut self,
        change: &BackendChange,
        now: BoxTime,
        grace_until: Option<BoxTime>,
    ) -> ChangeKind {
        let known = self.ids.get(&change.id).map(|key| self.rows[*key].at);
        let known = known.or_else(|| self.tombstones.position(&change.id));
        // A listing did not show it, so that it was gone by then.
        let known = known.or((change.at < self.listed_to).then_some(self.listed_to));
        // What may come back is settled by the same change, from a box that takes it for gone.
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

    /// Whether a replica is used only until its entry must be back.
    fn is_expiring(&self, id: &str) -> bool {
        self.ids.get(id).is_some_and(|key| self.rows[*key].expires_at.is_some())
    }

    /// Takes a whole listing that was made when the store's entries ended at `end`: what is not in it
    /// is gone. Gives the changes that are news.
    pub fn apply_all(
        &mut self,
        end: TopicPosition,
        listed: Vec<BackendChange>,
        now: BoxTime,
        grace_until: Option<BoxTime>,
    ) -> Vec<(BackendChange, ChangeKind)> {
        let shown: HashSet<&str> = listed.iter().map(|row| row.id.as_str()).collect();
        let missing = self.ids.keys().filter(|id| !shown.contains(id.as_str()));
        // The listing shows all changes before `end`; one at `end` is later.
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
        let Some(key) = self.ids.get(&entry.id).copied() else {
            self.tombstones.forget(&entry.id);
            let leaving = entry.leaving;
            self.insert(entry, at, now);
            return if leaving { ChangeKind::Leaving } else { ChangeKind::Changed };
        };
        if is_other_incarnation(&self.rows[key].entry, &entry) {
            return self.put_other_incarnation(key, entry, at, now);
        }
        let row = &mut self.rows[key];
        let born = entry.born.or(row.entry.born);
        let newly_leaving = entry.leaving && !row.entry.leaving;
        let changed = row.entry.address != entry.address || row.entry.version != entry.version;
        // A leaving mark is never taken back within one life of a replica.
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

    /// Takes a life of a replica after another one, which the store's order tells. It holds and knows nothing of before,
    /// so it gets a key of its own: work, failures, parts prefix_cache and load of the former life stay with the former key.
    fn put_other_incarnation(
        &mut self,
        former: ReplicaKey,
        entry: BackendEntry,
        at: TopicPosition,
        now: BoxTime,
    ) -> ChangeKind {
        self.remove(former);
        self.put(entry, at, now)
    }

    /// Notes a replica's last change.
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
            warm_up: SenderPart::default(),
            backoff_until: BoxTime::default(),
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
            unreachable_at: None,
            expires_at: None,
            backlog: ReplicaBacklog::default(),
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
        self.remove(key);
        ChangeKind::Leaving
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

    /// Drops entries whose grace is over, and gives that as changes.
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
