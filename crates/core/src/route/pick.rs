//! Which replica answers a request: the lightest, or one that holds the prompt's shared parts already.

use super::backend::BackendTable;
use super::parts::ModelPart;
use crate::ids::ReplicaKey;
use crate::replica::mix;
use crate::time::BoxTime;

/// Load, as a share of slots over the lightest replica's, up to which a replica that holds the
/// prompt's shared parts is preferred. Reading the parts again costs less than a fuller batch beyond.
pub const AFFINITY_MARGIN: f64 = 0.25;

/// Share of slots that another availability zone's replica must be lighter to be worth its bytes.
pub const ZONE_MARGIN: f64 = 0.25;

/// Load, as a share of slots over the lightest replica's, up to which a request stays in its model's
/// part of the replicas. Twice [`AFFINITY_MARGIN`]: beyond, the other part has room that this one lacks.
pub const PART_MARGIN: f64 = 0.5;

/// Which replicas a pick may take.
#[derive(Clone, Copy, Debug)]
pub struct BackendAsk<'a> {
    /// Service.
    pub service: &'a str,
    /// Version wanted, if one is.
    pub version: VersionWish<'a>,
    /// Part of the replicas for the request's model.
    pub part: ModelPart,
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

impl BackendTable {
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
        let part = self.part_with_room(&pool, ask);
        let lightest = self.lightest(part, ask)?;
        let least = self.rows[lightest].load(ask.now);
        let holder = self.affine(part, ask, least);
        let key = holder.unwrap_or(lightest);
        Some(BackendPick {
            key,
            load: self.rows[key].load(ask.now),
            candidates: pool.len(),
            affine: holder.is_some(),
        })
    }

    /// The replicas for the request's model; all of them where that part is much fuller.
    fn part_with_room<'a>(&self, pool: &'a [ReplicaKey], ask: &BackendAsk) -> &'a [ReplicaKey] {
        let least = |keys: &[ReplicaKey]| {
            let loads = keys.iter().map(|key| self.rows[*key].load(ask.now));
            loads.fold(f64::INFINITY, f64::min)
        };
        let part = ask.part.of(pool);
        if part.len() == pool.len() || least(part) > least(pool) + PART_MARGIN {
            return pool;
        }
        part
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
}
