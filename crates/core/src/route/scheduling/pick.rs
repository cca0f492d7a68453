//! Picks the replica for a request. A prompt goes to the replica with the lowest placement cost, by
//! [`super::placement`], and other requests to the least loaded of a random sample.

use super::placement::{PromptWork, ReplicaView};
use super::replica_speed::EXPLORE_EVERY;
use crate::ids::ReplicaKey;
use crate::replica::mix;
use crate::route::backend::BackendTable;
use crate::route::evacuation::EvacuatedZones;
use crate::route::version_history::VersionHistory;
use crate::time::BoxTime;

/// Load difference, as a share of slots, from which a replica of another availability zone is worth
/// the traffic between zones.
pub const ZONE_MARGIN: f64 = 0.25;

/// Replicas of which a request without a prompt gets the least loaded. Each box receives a
/// replica's load only now and then, and boxes with the same reports would choose the same replica.
const SAMPLE_SIZE: usize = 2;

/// Distinguishes the draw of requests that go to slow replicas from other uses of the same random
/// number.
const EXPLORE_SALT: u64 = 0x5f3c;

/// Latest begin of a request that is sent to a slow replica so that its recovery is noticed, in
/// milliseconds. Beyond it, callers would pay for that, and the service would seem contended.
const EXPLORE_LIMIT_MS: f64 = 500.0;

/// What a request needs, and which replicas may serve it.
#[derive(Clone, Copy, Debug)]
pub struct BackendQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// Versions allowed.
    pub version: VersionFilter<'a>,
    /// Versions that this box first heard of later than this, and than of another version, are not
    /// used; `None` for no limit.
    pub heard_by: Option<BoxTime>,
    /// At most this many replicas are used, the same ones on every box; `None` for all.
    pub most: Option<usize>,
    /// Work of reading its prompt, if it has one.
    pub work: Option<PromptWork>,
    /// Availability zone of the box.
    pub zone: &'a str,
    /// Availability zones under evacuation, whose replicas get nothing.
    pub evacuated: &'a EvacuatedZones,
    /// Availability zones in which the request may be served; `None` for all.
    pub zones: Option<&'a [String]>,
    /// Whether the operator limits the requests to cold replicas.
    pub bounds_cold: bool,
    /// Replicas already tried by this request.
    pub tried: &'a [ReplicaKey],
    /// A random number.
    pub random: u64,
    /// The current time.
    pub now: BoxTime,
}

/// A filter on versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFilter<'a> {
    /// Any.
    Any,
    /// This version only.
    Only(&'a str),
    /// The version that serves beside the one on trial.
    Baseline {
        /// Version on trial.
        on_trial: &'a str,
        /// What came of the earlier orders.
        history: &'a VersionHistory,
    },
    /// Any version that was not found bad.
    NotBad {
        /// Version on trial, if it may get no requests.
        barred: Option<&'a str>,
        /// What came of the earlier orders.
        history: &'a VersionHistory,
    },
}

impl VersionFilter<'_> {
    pub(in crate::route) fn matches(self, version: &str) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(wanted) => version == wanted,
            VersionFilter::Baseline { on_trial, history } => {
                version != on_trial && history.is_baseline(version)
            }
            VersionFilter::NotBad { barred, history } => {
                barred != Some(version) && !history.is_rolled_back(version)
            }
        }
    }
}

/// A picked replica, with the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendPick {
    /// The replica.
    pub key: ReplicaKey,
    /// Estimated load, as a share of slots.
    pub load: f64,
    /// Number of replicas to choose from.
    pub candidates: usize,
    /// Whether the replica is known to have the prompt's prefix cached, or is designated to cache
    /// it for all boxes.
    pub affine: bool,
    /// Whether it is known to have the prefix cached.
    pub cached: bool,
    /// Expected time until the answer begins, beyond that of an idle replica with an empty prompt,
    /// in milliseconds; 0 without a prompt.
    pub expected_ms: f64,
    /// Work queued at the replica, in milliseconds.
    pub wait_ms: f64,
    /// Work of the prompt itself at the replica, in milliseconds.
    pub work_ms: f64,
    /// How many times longer than usual it takes, if replicas' speeds are learned.
    pub slowness: Option<f64>,
}

impl BackendTable {
    /// Picks a replica, or returns `None` if none is usable.
    pub fn pick(&self, query: &BackendQuery) -> Option<BackendPick> {
        let keys = self.by_service.get(query.service)?;
        let late = |heard_by| self.versions.later_than(query.service, heard_by).collect();
        let late: Vec<&str> = query.heard_by.map_or_else(Vec::new, late);
        let fits = |key: &&ReplicaKey| {
            let row = &self.rows[**key];
            row.usable(query.now)
                && !row.path.is_blocked(query.now)
                && !query.evacuated.contains(&row.entry.zone)
                && query.zones.is_none_or(|zones| zones.contains(&row.entry.zone))
                && !(query.bounds_cold && row.too_cold(query.now))
                && row.accepts_requests(query.now)
                && query.version.matches(&row.entry.version)
                && !late.contains(&row.entry.version.as_str())
                && !query.tried.contains(*key)
        };
        let usable: Vec<ReplicaKey> = keys.iter().filter(fits).copied().collect();
        let healthy: Vec<ReplicaKey> = usable
            .iter()
            .copied()
            .filter(|key| !self.rows[*key].is_passed_over(query.now))
            .collect();
        // With more than half passed over, the cause is not the replicas.
        let mut pool = if healthy.len() * 2 < usable.len() { usable } else { healthy };
        pool.truncate(query.most.unwrap_or(usize::MAX));
        let probe = pool.iter().copied().find(|key| self.rows[*key].limit.needs_probe(query.now));
        if let Some(probe) = probe.or_else(|| self.explored(&pool, query)) {
            pool = vec![probe];
        }
        let placed = query.work.and_then(|work| self.cheapest(&pool, query, &work));
        let (key, view) = match placed {
            Some((key, view)) => (key, Some(view)),
            None => (self.least_loaded(&pool, query)?, None),
        };
        let learned = self.shares_machines(query.service);
        let expected = view.zip(query.work).map_or(0.0, |(view, work)| view.expected_ms(&work));
        Some(BackendPick {
            key,
            load: self.rows[key].load(query.now),
            candidates: pool.len(),
            affine: view.is_some_and(|view| view.cached || view.designated),
            cached: view.is_some_and(|view| view.cached),
            expected_ms: expected,
            wait_ms: view.map_or(0.0, |view| view.wait_ms),
            slowness: learned.then(|| self.rows[key].speed.slowness(query.now)),
            work_ms: view.zip(query.work).map_or(0.0, |(view, work)| work.read_ms(view.cached)),
        })
    }

    /// Number of usable replicas that match a filter, and their mean load as a share of slots.
    pub(in crate::route) fn version_load(
        &self,
        service: &str,
        version: VersionFilter,
        now: BoxTime,
    ) -> (usize, f64) {
        let keys = self.by_service.get(service).into_iter().flatten();
        let rows = keys.map(|key| &self.rows[*key]);
        let matching = rows.filter(|row| row.usable(now) && version.matches(&row.entry.version));
        let loads: Vec<f64> = matching.map(|row| row.load(now)).collect();
        (loads.len(), loads.iter().sum::<f64>() / loads.len().max(1) as f64)
    }

    /// Returns whether a service has usable replicas, but none in these availability zones.
    pub(in crate::route) fn none_in(&self, service: &str, zones: &[String], now: BoxTime) -> bool {
        let keys = self.by_service.get(service).into_iter().flatten();
        let mut usable = keys.map(|key| &self.rows[*key]).filter(|row| row.usable(now)).peekable();
        usable.peek().is_some() && usable.all(|row| !zones.contains(&row.entry.zone))
    }

    /// Returns whether a service has usable replicas, but all are in zones under evacuation.
    pub(in crate::route) fn all_evacuated(
        &self,
        service: &str,
        evacuated: &EvacuatedZones,
        now: BoxTime,
    ) -> bool {
        let keys = self.by_service.get(service).into_iter().flatten();
        let mut usable = keys.map(|key| &self.rows[*key]).filter(|row| row.usable(now)).peekable();
        usable.peek().is_some() && usable.all(|row| evacuated.contains(&row.entry.zone))
    }

    /// Returns the least loaded replica of a random sample, with a bonus for the box's own zone.
    fn least_loaded(&self, pool: &[ReplicaKey], query: &BackendQuery) -> Option<ReplicaKey> {
        let learned = self.shares_machines(query.service);
        let weigh = |key: &ReplicaKey| {
            let row = &self.rows[*key];
            let penalty = if row.entry.zone == query.zone { 0.0 } else { ZONE_MARGIN };
            let load = if learned { row.slowed_load(query.now) } else { row.load(query.now) };
            load + penalty
        };
        let order = |key: &ReplicaKey| mix(self.rows[*key].id_hash ^ query.random);
        let mut sample = pool.to_vec();
        if learned {
            let weighted = |key: &ReplicaKey| self.weighted_order(*key, order(key), query.now);
            sample.sort_by(|a, b| weighted(a).total_cmp(&weighted(b)));
        } else {
            sample.sort_by_key(order);
        }
        sample.truncate(SAMPLE_SIZE);
        sample.into_iter().min_by(|a, b| weigh(a).total_cmp(&weigh(b)))
    }

    /// Returns a slow replica that gets this request so that its recovery is noticed: one of
    /// [`EXPLORE_EVERY`] of its even share, while it has no other request of this box.
    fn explored(&self, pool: &[ReplicaKey], query: &BackendQuery) -> Option<ReplicaKey> {
        let drawn = mix(query.random ^ EXPLORE_SALT);
        let is_due = drawn % EXPLORE_EVERY == 0 && query.tried.is_empty();
        if !is_due || pool.is_empty() || !self.shares_machines(query.service) {
            return None;
        }
        let key = pool[(drawn / EXPLORE_EVERY) as usize % pool.len()];
        let row = &self.rows[key];
        let is_idle = row.outstanding == 0 && row.backlog.wait_ms(query.now) == 0.0;
        let begins_ms = query.work.map_or(0.0, |work| row.view(query.now).expected_ms(&work));
        let is_slow = row.speed.ratio(query.now) > 1.0;
        (is_idle && is_slow && begins_ms <= EXPLORE_LIMIT_MS).then_some(key)
    }

    /// Returns the order of a replica by a hash, in which the first of several is drawn with a
    /// chance in proportion to its speed. With equal speeds it is the order of the hashes.
    fn weighted_order(&self, key: ReplicaKey, hash: u64, now: BoxTime) -> f64 {
        let draw = hash as f64 / u64::MAX as f64;
        -(1.0 - draw).max(f64::MIN_POSITIVE).ln() * self.rows[key].speed.ratio(now)
    }

    /// Returns the replica with the lowest placement cost. Ties are broken at random.
    fn cheapest(
        &self,
        pool: &[ReplicaKey],
        query: &BackendQuery,
        work: &PromptWork,
    ) -> Option<(ReplicaKey, ReplicaView)> {
        let designated = self.designated(pool, query, work);
        let view = |key: &ReplicaKey| {
            let row = &self.rows[*key];
            let mut view = row.view(query.now);
            view.cached = row.prefix_cache.contains(work.shared, query.now);
            view.designated = designated == Some(*key);
            view.same_zone = row.entry.zone == query.zone;
            (*key, view)
        };
        let weigh = |(key, view): (ReplicaKey, ReplicaView)| {
            let order = mix(self.rows[key].id_hash ^ query.random);
            (view.cost_ms(work), order, key, view)
        };
        let rows = pool.iter().map(view).map(weigh);
        let least = rows.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(_, _, key, view)| (key, view))
    }

    /// Returns the replica designated to cache a prompt's prefix, for boxes that know of no cached
    /// copy. It is the same for all boxes, or for all boxes of a zone, by rendezvous hashing of
    /// replica id and prefix.
    fn designated(
        &self,
        pool: &[ReplicaKey],
        query: &BackendQuery,
        work: &PromptWork,
    ) -> Option<ReplicaKey> {
        if work.shared == 0 {
            return None;
        }
        let hash = |key: &ReplicaKey| mix(self.rows[*key].id_hash ^ work.shared);
        let same_zone = |key: &ReplicaKey| self.rows[*key].entry.zone == query.zone;
        let learned = self.shares_machines(query.service);
        let first = |keys: &mut dyn Iterator<Item = ReplicaKey>| {
            if !learned {
                return keys.min_by_key(hash);
            }
            let weighted = |key: ReplicaKey| self.weighted_order(key, hash(&key), query.now);
            keys.min_by(|a, b| weighted(*a).total_cmp(&weighted(*b)))
        };
        let own = first(&mut pool.iter().copied().filter(same_zone));
        own.filter(|_| work.cached_per_zone()).or_else(|| first(&mut pool.iter().copied()))
    }
}
