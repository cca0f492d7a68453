//! Which boxes have duties for all: reading the store, writing what is due there.
//!
//! Load pattern: hundreds of boxes of which each hears any other but now and then. Each box orders all that
//! live by the same keys, and notes tell of those in front, so that all agree within some rounds; two views
//! that differ by a few boxes cost a call to the store and no more. Whose calls fail goes behind.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::table::{PeerState, PeerTable};
use super::{PeerSummary, CLIENTS_PER_READER, READERS_MIN, SPARE_DUTY_HOLDERS};
use crate::time::BoxTime;

/// Processor time of a box that answers many others, in cores.
pub const STRONG_CORES: f64 = 0.5;

/// Link of a box that answers many others, in megabits a second.
pub const STRONG_LINK_MBPS: f64 = 100.0;

/// What a box has for its work, as its settings say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct BoxCapacity {
    /// Processor time, in cores.
    pub cores: f64,
    /// Link, in megabits a second.
    pub link_mbps: f64,
}

impl BoxCapacity {
    /// Whether the box can answer many others. Where boxes differ, a reader costs a small one much of what it has.
    pub fn is_strong(self) -> bool {
        self.cores >= STRONG_CORES && self.link_mbps >= STRONG_LINK_MBPS
    }
}

/// This box among the candidates for a duty.
#[derive(Clone, Copy, Debug)]
pub struct LocalPeer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether callers may be sent to it, or it reads the store for the others.
    pub serves: bool,
    /// Whether it can't reach the store.
    pub store_unreachable: bool,
    /// Whether it can answer many others.
    pub strong: bool,
    /// Since when callers may be sent to it; others that have said nothing since may have come as far.
    pub open_since: Option<BoxTime>,
}

impl LocalPeer<'_> {
    /// Whether another box serves or reads, or may do so by now.
    fn may_serve(&self, other: &PeerState) -> bool {
        other.info.serves() || self.open_since.is_some_and(|since| other.seen_at < since)
    }
}

/// By what boxes come one after the other in a duty: those that reach the store first, of these those that serve or read
/// already (where the plan grows old on all, the readers stay), then those that can answer many others, then by a hash
/// of their names, so that they lie in different availability zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateKey {
    store_unreachable: bool,
    idle: bool,
    weak: bool,
    hash: u64,
}

impl CandidateKey {
    fn of_own(me: &LocalPeer) -> Self {
        let hash = xxh3_64(me.name.as_bytes());
        Self { store_unreachable: me.store_unreachable, idle: !me.serves, weak: !me.strong, hash }
    }

    fn of_other(me: &LocalPeer, name: &str, other: &PeerState) -> Self {
        let (idle, hash) = (!me.may_serve(other), xxh3_64(name.as_bytes()));
        Self {
            store_unreachable: other.info.store_unreachable,
            idle,
            weak: !other.info.strong,
            hash,
        }
    }
}

/// A box that may have a duty; without a name, this one.
type Candidate<'a> = (CandidateKey, Option<&'a str>);

impl PeerTable {
    /// Boxes that may have duties, this one included, in their order.
    fn candidates(&self, me: &LocalPeer, now: BoxTime) -> Vec<Candidate<'_>> {
        let key = |name: &str, row: &PeerState| CandidateKey::of_other(me, name, row);
        let others = self.live_rows(now).map(|(name, row)| (key(name, row), Some(name.as_str())));
        let mut all: Vec<Candidate> = others.chain([(CandidateKey::of_own(me), None)]).collect();
        all.sort();
        all
    }

    /// Other boxes that live: where notes reach all, who did not speak is silent; else word of it may be under way.
    fn live_rows(&self, now: BoxTime) -> impl Iterator<Item = (&String, &PeerState)> {
        let few = self.gossip_reaches_all();
        let live =
            move |row: &PeerState| if few { row.is_live(now) } else { row.may_hold_duty(now) };
        self.rows.iter().filter(move |(_, row)| live(row))
    }

    /// How many boxes read the store for the others.
    fn reader_count(&self, now: BoxTime) -> usize {
        READERS_MIN.max(self.fleet_count(now).div_ceil(CLIENTS_PER_READER))
    }

    /// Whether this box is one of the readers, and where the others of them hear notes.
    pub fn readers(&self, me: &LocalPeer, now: BoxTime) -> (bool, Vec<String>) {
        let mut all = self.candidates(me, now);
        all.truncate(self.reader_count(now));
        let own = all.iter().any(|(_, name)| name.is_none());
        let others = all.into_iter().filter_map(|(_, name)| self.rows.get(name?));
        (own, others.map(|row| row.info.gossip_address.clone()).collect())
    }

    /// What to tell of the boxes with duties, and of those next in their place; nothing where notes reach all.
    pub fn duty_holders(&self, me: &LocalPeer, now: BoxTime) -> Vec<PeerSummary> {
        if self.gossip_reaches_all() {
            return Vec::new();
        }
        let mut all = self.candidates(me, now);
        all.truncate(self.reader_count(now) + SPARE_DUTY_HOLDERS);
        let rows = all.into_iter().filter_map(|(_, name)| self.rows.get_key_value(name?));
        rows.map(|(name, row)| PeerSummary {
            name: name.clone(),
            info: row.info.clone(),
            age_ms: now.millis_since(row.seen_at),
        })
        .collect()
    }

    /// Whether another box lives that reaches the store and serves or reads for the others.
    pub fn any_serves(&self, now: BoxTime) -> bool {
        self.live_rows(now).any(|(_, row)| row.info.serves() && !row.info.store_unreachable)
    }

    /// How many boxes come before this one in a duty that one box has.
    pub fn rank(&self, me: &LocalPeer, now: BoxTime) -> usize {
        let own = CandidateKey::of_own(me);
        let before =
            |(name, row): &(&String, &PeerState)| CandidateKey::of_other(me, name, row) < own;
        self.live_rows(now).filter(before).count()
    }
}
