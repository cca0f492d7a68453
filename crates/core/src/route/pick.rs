//! Which replica answers a request: for a prompt the one where placing it costs least, by
//! [`super::placement`], else the lightest.

use super::backend::BackendTable;
use super::evacuation::EvacuatedZones;
use super::placement::{PromptWork, ReplicaView};
use crate::ids::ReplicaKey;
use crate::replica::mix;
use crate::time::BoxTime;

/// Share of slots that another availability zone's replica must be lighter to be worth its bytes.
pub const ZONE_MARGIN: f64 = 0.25;

/// Replicas of which a plain call takes the lightest. Each box hears of a replica's load now and then, and those that heard the
/// same choose the same: where three of six replicas of six slots were left at a load of two thirds, 205 of 2,494 calls of
/// 300 boxes were late or refused with the lightest of all; with two drawn, and loads that fade to the usual one, none of
/// 2,458 (virtual time).
const DRAWN: usize = 2;

/// Which replicas a pick may take.
#[derive(Clone, Copy, Debug)]
pub struct BackendQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Version wanted, if one is.
    pub version: VersionFilter<'a>,
    /// What reading its prompt takes, for a request with one.
    pub work: Option<PromptWork>,
    /// Availability zone of the box.
    pub zone: &'a str,
    /// Availability zones whose replicas get nothing.
    pub evacuated: &'a EvacuatedZones,
    /// Availability zones in which the request may be served; `None` for all.
    pub zones: Option<&'a [String]>,
    /// Whether the operator bounds what cold replicas get.
    pub bounds_cold: bool,
    /// Replicas that this request has been sent to.
    pub tried: &'a [ReplicaKey],
    /// A random number.
    pub random: u64,
    /// The time.
    pub now: BoxTime,
}

/// Versions that a pick may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// Any.
    Any,
    /// This one alone.
    Only(&'a str),
    /// Any but this one.
    Not(&'a str),
}

impl VersionFilter<'_> {
    fn takes(self, version: &str) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(wanted) => version == wanted,
            VersionFilter::Not(unwanted) => version != unwanted,
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
    /// Whether it is known to hold the prompt's shared parts, or is to hold them for all.
    pub affine: bool,
    /// Whether it is known to hold them.
    pub holds: bool,
    /// Until the answer is expected to begin, beside what an idle replica takes for an empty prompt, in
    /// milliseconds; 0 without a prompt.
    pub expected_ms: f64,
    /// Work that waits there, in milliseconds.
    pub wait_ms: f64,
    /// Work of the prompt itself there, in milliseconds.
    pub work_ms: f64,
}

impl BackendTable {
    /// Picks a replica; `None` if there is none that may be used.
    pub fn pick(&self, ask: &BackendQuery) -> Option<BackendPick> {
        let keys = self.by_service.get(ask.service)?;
        let fits = |key: &&ReplicaKey| {
            let row = &self.rows[**key];
            row.usable(ask.now)
                && !ask.evacuated.contains(&row.entry.zone)
                && ask.zones.is_none_or(|zones| zones.contains(&row.entry.zone))
                && !(ask.bounds_cold && row.too_cold(ask.now))
                && row.takes_more(ask.now)
                && ask.version.takes(&row.entry.version)
                && !ask.tried.contains(*key)
        };
        let usable: Vec<ReplicaKey> = keys.iter().filter(fits).copied().collect();
        let well: Vec<ReplicaKey> =
            usable.iter().copied().filter(|key| self.rows[*key].ejected_until <= ask.now).collect();
        // With more than half passed over the cause is not the replicas.
        let mut pool = if well.len() * 2 < usable.len() { usable } else { well };
        let asked = pool.iter().copied().find(|key| self.rows[*key].limit.asks(ask.now));
        if let Some(asked) = asked {
            pool = vec![asked];
        }
        let placed = ask.work.and_then(|work| self.cheapest(&pool, ask, &work));
        let (key, view) = match placed {
            Some((key, view)) => (key, Some(view)),
            None => (self.lightest(&pool, ask)?, None),
        };
        let expected = view.zip(ask.work).map_or(0.0, |(view, work)| view.expected_ms(&work));
        Some(BackendPick {
            key,
            load: self.rows[key].load(ask.now),
            candidates: pool.len(),
            affine: view.is_some_and(|view| view.holds || view.holder),
            holds: view.is_some_and(|view| view.holds),
            expected_ms: expected,
            wait_ms: view.map_or(0.0, |view| view.wait_ms),
            work_ms: view.zip(ask.work).map_or(0.0, |(view, work)| work.read_ms(view.holds)),
        })
    }

    /// Whether a service has replicas, and none of them in these availability zones.
    pub(super) fn none_in(&self, service: &str, zones: &[String], now: BoxTime) -> bool {
        let keys = self.by_service.get(service).into_iter().flatten();
        let mut usable = keys.map(|key| &self.rows[*key]).filter(|row| row.usable(now)).peekable();
        usable.peek().is_some() && usable.all(|row| !zones.contains(&row.entry.zone))
    }

    /// Whether a service has replicas, and all of them are in zones under evacuation.
    pub(super) fn all_evacuated(
        &self,
        service: &str,
        evacuated: &EvacuatedZones,
        now: BoxTime,
    ) -> bool {
        let keys = self.by_service.get(service).into_iter().flatten();
        let mut usable = keys.map(|key| &self.rows[*key]).filter(|row| row.usable(now)).peekable();
        usable.peek().is_some() && usable.all(|row| evacuated.contains(&row.entry.zone))
    }

    /// The lightest of some replicas drawn by chance; the box's own zone counts for something.
    fn lightest(&self, pool: &[ReplicaKey], ask: &BackendQuery) -> Option<ReplicaKey> {
        let weigh = |key: &ReplicaKey| {
            let row = &self.rows[*key];
            let far = if row.entry.zone == ask.zone { 0.0 } else { ZONE_MARGIN };
            row.load(ask.now) + far
        };
        let order = |key: &ReplicaKey| mix(self.rows[*key].id_hash ^ ask.random);
        let mut drawn = pool.to_vec();
        drawn.sort_by_key(order);
        drawn.truncate(DRAWN);
        drawn.into_iter().min_by(|a, b| weigh(a).total_cmp(&weigh(b)))
    }

    /// The replica where placing a prompt costs least; ties go by chance.
    fn cheapest(
        &self,
        pool: &[ReplicaKey],
        ask: &BackendQuery,
        work: &PromptWork,
    ) -> Option<(ReplicaKey, ReplicaView)> {
        let holder = self.holder(pool, ask, work);
        let view = |key: &ReplicaKey| {
            let row = &self.rows[*key];
            let mut view = row.view(ask.now);
            view.holds = row.prefix_cache.holds(work.shared, ask.now);
            view.holder = holder == Some(*key);
            view.near = row.entry.zone == ask.zone;
            (*key, view)
        };
        let weigh = |(key, view): (ReplicaKey, ReplicaView)| {
            let order = mix(self.rows[key].id_hash ^ ask.random);
            (view.cost_ms(work), order, key, view)
        };
        let rows = pool.iter().map(view).map(weigh);
        let least = rows.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(_, _, key, view)| (key, view))
    }

    /// The replica that is taken to hold a prompt's shared parts where this box knows of none: the same
    /// from every box, or from every box of a zone, by the hashes of its id and the parts alone.
    fn holder(
        &self,
        pool: &[ReplicaKey],
        ask: &BackendQuery,
        work: &PromptWork,
    ) -> Option<ReplicaKey> {
        if work.shared == 0 {
            return None;
        }
        let weight = |key: &ReplicaKey| mix(self.rows[*key].id_hash ^ work.shared);
        let near = |key: &ReplicaKey| self.rows[*key].entry.zone == ask.zone;
        let own = pool.iter().copied().filter(near).min_by_key(weight);
        own.filter(|_| work.held_by_zone()).or_else(|| pool.iter().copied().min_by_key(weight))
    }
}
