//! Replicas of backend servers on the platform: what is known of each, and which answers a request.
//!
//! A replica is known by its entry in the store. Its load comes with its answers; between two reports
//! a box adds what it sent itself. What a replica *does* counts: one that refuses connections, breaks
//! answers or fails them is passed over for a while, at most half of a service at a time.

use std::collections::HashMap;

use serde::Serialize;
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::ReplicaKey;
use crate::replica::mix;
use crate::time::BoxTime;

/// Failures in a row after which a replica is passed over. Two: one may be the request's own fault.
pub const PASS_OVER_FAILURES: u32 = 2;

/// First span for which a replica is passed over, in milliseconds; doubled by each further one.
pub const PASS_OVER_FIRST_MS: u64 = 700;

/// Longest span for which a replica is passed over, in milliseconds.
pub const PASS_OVER_LIMIT_MS: u64 = 5_000;

/// A load report fades with this half-life, in milliseconds: streams last seconds.
pub const REPORT_HALF_LIFE_MS: f64 = 1_500.0;

/// Load, as a share of slots over the lightest replica's, up to which a replica that holds the
/// prompt's shared parts is preferred. Reading the parts again costs less than a fuller batch beyond.
pub const AFFINITY_MARGIN: f64 = 0.18;

/// Share of slots that another availability zone's replica must be lighter to be worth its bytes.
pub const ZONE_MARGIN: f64 = 0.25;

/// How long an entry that vanished while the store was unsound is still used, in milliseconds: below
/// the two seconds within which a replica that lives writes it again.
pub const LAPSE_GRACE_MS: u64 = 1_200;

/// A replica as its entry in the store gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BackendEntry {
    /// Id of this life of the replica.
    pub id: String,
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
}

/// A change to the entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendChange {
    /// Written.
    Put(BackendEntry),
    /// Gone, by id.
    Gone(String),
}

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

/// What is known of a replica.
#[derive(Clone, Debug, Serialize)]
pub struct BackendState {
    /// Its entry.
    pub entry: BackendEntry,
    #[serde(skip)]
    id_hash: u64,
    /// Reported running and waiting requests.
    pub reported: u32,
    /// When they were reported.
    pub reported_at: BoxTime,
    /// Sent by this box since the report.
    pub since_report: u32,
    /// Requests of this box that it has not finished.
    pub outstanding: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Spans in a row for which it was passed over.
    pub passes: u32,
    /// Not chosen before this.
    pub passed_until: BoxTime,
    /// Not chosen from this on: its entry vanished while the store was unsound.
    pub lapses_at: Option<BoxTime>,
    /// Slow until this, from its start.
    pub cold_until: BoxTime,
}

impl BackendState {
    /// Estimated load as a share of its slots.
    pub fn load(&self, now: BoxTime) -> f64 {
        let age = now.millis_since(self.reported_at) as f64;
        let faded = f64::from(self.reported) * 0.5_f64.powf(age / REPORT_HALF_LIFE_MS);
        let estimate = (faded + f64::from(self.since_report)).max(f64::from(self.outstanding));
        let cold = if self.cold_until > now { 2.0 } else { 1.0 };
        estimate * cold / f64::from(self.entry.slots.max(1))
    }

    fn usable(&self, now: BoxTime) -> bool {
        !self.entry.leaving && self.lapses_at.is_none_or(|at| now < at)
    }
}

/// Which replicas a pick may take.
#[derive(Clone, Copy, Debug)]
pub struct BackendAsk<'a> {
    /// Service.
    pub service: &'a str,
    /// Version wanted, if one is.
    pub version: VersionWish<'a>,
    /// Hash of the prompt's shared parts; 0 for none.
    pub affinity: u64,
    /// Availability zone of the box.
    pub zone: &'a str,
    /// Replicas that this request has been sent to.
    pub tried: &'a [ReplicaKey],
    /// A random number.
    pub dice: u64,
    /// The time.
    pub now: BoxTime,
}

/// Versions that a pick may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionWish<'a> {
    /// Any.
    Any,
    /// This one alone.
    Only(&'a str),
    /// Any but this one.
    Not(&'a str),
}

impl VersionWish<'_> {
    fn takes(self, version: &str) -> bool {
        match self {
            VersionWish::Any => true,
            VersionWish::Only(wanted) => version == wanted,
            VersionWish::Not(unwanted) => version != unwanted,
        }
    }
}

/// A pick, with what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendPick {
    /// The replica.
    pub key: ReplicaKey,
    /// Its estimated load.
    pub load: f64,
    /// Replicas that could have been taken.
    pub candidates: usize,
    /// Whether it was taken for the prompt's shared parts.
    pub affine: bool,
}

/// Replicas by key.
#[derive(Debug, Default)]
pub struct BackendTable {
    rows: SlotMap<ReplicaKey, BackendState>,
    ids: HashMap<String, ReplicaKey>,
    by_service: HashMap<String, Vec<ReplicaKey>>,
}

impl BackendTable {
    /// All replicas.
    pub fn rows(&self) -> impl Iterator<Item = (ReplicaKey, &BackendState)> {
        self.rows.iter()
    }

    /// A replica.
    pub fn get(&self, key: ReplicaKey) -> Option<&BackendState> {
        self.rows.get(key)
    }

    /// Takes one change. `unsound` says that the store was lately down: then a vanished entry may
    /// come back. Gives the id if the replica is newly known to leave.
    pub fn take(&mut self, change: BackendChange, now: BoxTime, unsound: bool) -> Option<String> {
        match change {
            BackendChange::Put(entry) => self.put(entry, now),
            BackendChange::Gone(id) => self.gone(&id, now, unsound),
        }
    }

    /// Takes a whole listing: what is not in it is gone. Gives the ids of replicas that are newly
    /// known to leave.
    pub fn take_all(
        &mut self,
        entries: Vec<BackendEntry>,
        now: BoxTime,
        unsound: bool,
    ) -> Vec<String> {
        let missing: Vec<String> = self
            .ids
            .keys()
            .filter(|id| !entries.iter().any(|entry| entry.id == **id))
            .cloned()
            .collect();
        let gone = missing.into_iter().map(BackendChange::Gone);
        let changes = gone.chain(entries.into_iter().map(BackendChange::Put));
        changes.filter_map(|change| self.take(change, now, unsound)).collect()
    }

    fn put(&mut self, entry: BackendEntry, now: BoxTime) -> Option<String> {
        let Some(key) = self.ids.get(&entry.id).copied() else {
            let key = self.rows.insert(BackendState {
                id_hash: xxh3_64(entry.id.as_bytes()),
                cold_until: now.plus_millis(entry.cold_ms),
                reported: 0,
                reported_at: now,
                since_report: 0,
                outstanding: 0,
                failures: 0,
                passes: 0,
                passed_until: BoxTime::default(),
                lapses_at: None,
                entry: entry.clone(),
            });
            self.ids.insert(entry.id.clone(), key);
            self.by_service.entry(entry.service.clone()).or_default().push(key);
            return entry.leaving.then_some(entry.id);
        };
        let row = &mut self.rows[key];
        let news = entry.leaving && !row.entry.leaving;
        row.lapses_at = None;
        // A leaving mark is never taken back within one life of a replica.
        let leaving = row.entry.leaving || entry.leaving;
        let id = entry.id.clone();
        row.entry = BackendEntry { leaving, ..entry };
        news.then_some(id)
    }

    fn gone(&mut self, id: &str, now: BoxTime, unsound: bool) -> Option<String> {
        let key = self.ids.get(id).copied()?;
        let row = &mut self.rows[key];
        if unsound && !row.entry.leaving {
            row.lapses_at.get_or_insert(now.plus_millis(LAPSE_GRACE_MS));
            return None;
        }
        self.remove(key);
        Some(id.to_owned())
    }

    fn remove(&mut self, key: ReplicaKey) {
        let Some(row) = self.rows.remove(key) else { return };
        self.ids.remove(&row.entry.id);
        if let Some(keys) = self.by_service.get_mut(&row.entry.service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Drops entries whose grace is over.
    pub fn forget_lapsed(&mut self, now: BoxTime) {
        let lapsed: Vec<ReplicaKey> = self
            .rows
            .iter()
            .filter(|(_, row)| row.lapses_at.is_some_and(|at| at <= now))
            .map(|(key, _)| key)
            .collect();
        for key in lapsed {
            self.remove(key);
        }
    }

    /// Marks a replica as leaving, by its id. Returns whether that is news.
    pub fn mark_leaving(&mut self, id: &str) -> bool {
        let Some(key) = self.ids.get(id) else { return false };
        !std::mem::replace(&mut self.rows[*key].entry.leaving, true)
    }

    /// Picks a replica; `None` if there is none that may be used.
    pub fn pick(&self, ask: &BackendAsk) -> Option<BackendPick> {
        let keys = self.by_service.get(ask.service)?;
        let fits = |key: &&ReplicaKey| {
            let row = &self.rows[**key];
            row.usable(ask.now)
                && ask.version.takes(&row.entry.version)
                && !ask.tried.contains(*key)
        };
        let usable: Vec<ReplicaKey> = keys.iter().filter(fits).copied().collect();
        let well: Vec<ReplicaKey> =
            usable.iter().copied().filter(|key| self.rows[*key].passed_until <= ask.now).collect();
        // With more than half passed over the cause is not the replicas.
        let pool = if well.len() * 2 < usable.len() { usable } else { well };
        let lightest = self.lightest(&pool, ask)?;
        let least = self.rows[lightest].load(ask.now);
        let key = self.affine(&pool, ask, least).unwrap_or(lightest);
        Some(BackendPick {
            key,
            load: self.rows[key].load(ask.now),
            candidates: pool.len(),
            affine: key != lightest,
        })
    }

    /// The lightest replica; ties go by chance, and the box's own zone counts for something.
    fn lightest(&self, pool: &[ReplicaKey], ask: &BackendAsk) -> Option<ReplicaKey> {
        let weigh = |key: &ReplicaKey| {
            let row = &self.rows[*key];
            let far = if row.entry.zone == ask.zone { 0.0 } else { ZONE_MARGIN };
            row.load(ask.now) + far
        };
        let order = |key: &ReplicaKey| mix(self.rows[*key].id_hash ^ ask.dice);
        pool.iter()
            .copied()
            .min_by(|a, b| weigh(a).total_cmp(&weigh(b)).then_with(|| order(a).cmp(&order(b))))
    }

    /// The replica that holds the prompt's shared parts: the same from every box, by id and parts
    /// only, among those that are not much fuller than the lightest.
    fn affine(&self, pool: &[ReplicaKey], ask: &BackendAsk, least: f64) -> Option<ReplicaKey> {
        if ask.affinity == 0 {
            return None;
        }
        let near = |key: &ReplicaKey| self.rows[*key].load(ask.now) <= least + AFFINITY_MARGIN;
        let weight = |key: &ReplicaKey| mix(self.rows[*key].id_hash ^ ask.affinity);
        pool.iter().copied().filter(near).min_by_key(weight)
    }

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
            row.reported = load.running + load.waiting;
            row.reported_at = now;
            row.since_report = 0;
        }
    }

    /// Notes that a request has ended, and how well the replica did.
    pub fn ended(&mut self, key: ReplicaKey, did: BackendDeed, now: BoxTime) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.outstanding = row.outstanding.saturating_sub(1);
        row.reported = row.reported.saturating_sub(1);
        match did {
            BackendDeed::Served => {
                row.failures = 0;
                row.passes = 0;
            }
            BackendDeed::Failed => row.failures += 1,
            BackendDeed::Unreachable => row.failures += PASS_OVER_FAILURES,
            BackendDeed::Neither => {}
        }
        if row.failures >= PASS_OVER_FAILURES {
            let span = (PASS_OVER_FIRST_MS << row.passes.min(8)).min(PASS_OVER_LIMIT_MS);
            row.passed_until = now.plus_millis(span);
            row.passes += 1;
            row.failures = 0;
        }
    }
}

/// How well a replica did on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendDeed {
    /// It answered.
    Served,
    /// It failed, or broke off.
    Failed,
    /// No connection came about.
    Unreachable,
    /// The end says nothing of it: the caller left, or it said that it is full.
    Neither,
}
