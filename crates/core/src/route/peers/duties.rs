//! Which boxes have duties for the fleet: reading the store, and writing records that are due.
//!
//! Load pattern: hundreds of boxes, each of which receives messages from any other only now and
//! then. All boxes order the live boxes by the same keys, and gossip names the first ones, so that
//! they agree within a few rounds. Two views that differ by a few boxes cost a call to the store
//! and nothing more. A box whose calls fail moves to the end.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::table::{PeerState, PeerTable};
use super::{PeerSummary, CLIENTS_PER_READER, READERS_MIN, SPARE_DUTY_HOLDERS};
use crate::route::store_access::StoreAccess;
use crate::time::BoxTime;

/// Processor time of a box that can respond to many others, in cores.
pub const STRONG_CORES: f64 = 0.5;

/// Link of a box that can respond to many others, in megabits a second.
pub const STRONG_LINK_MBPS: f64 = 100.0;

/// Resources of a box, from its settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct BoxCapacity {
    /// Processor time, in cores.
    pub cores: f64,
    /// Link, in megabits a second.
    pub link_mbps: f64,
}

impl BoxCapacity {
    /// Whether the box can respond to many others. In a mixed fleet, reading the store for others
    /// would take a large part of a small box's resources.
    pub fn is_strong(self) -> bool {
        self.cores >= STRONG_CORES && self.link_mbps >= STRONG_LINK_MBPS
    }
}

/// This box as a candidate for a duty.
#[derive(Clone, Copy, Debug)]
pub struct LocalPeer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether callers may be directed to it, or it is a store reader.
    pub serves: bool,
    /// Its access to the store.
    pub store_access: StoreAccess,
    /// Time as of which it knows that the store answered it or another box.
    pub store_read_at: Option<BoxTime>,
    /// Whether it can respond to many others.
    pub strong: bool,
    /// Since when callers may be directed to it. Other boxes without a message since then may have
    /// become open as well.
    pub open_since: Option<BoxTime>,
}

impl LocalPeer<'_> {
    /// Whether another box is open or a reader, or may be by now.
    fn may_serve(&self, other: &PeerState) -> bool {
        other.info.serves() || self.open_since.is_some_and(|since| other.seen_at < since)
    }

    /// Another box's access to the store. Its report of a failure is outdated in the same way as a
    /// failure of this box.
    fn access_of(&self, other: &PeerState) -> StoreAccess {
        other.info.store_access.after_read(other.seen_at, self.store_read_at)
    }
}

/// Order of candidates for a duty. Boxes that reach the store come first, then those of which this
/// is unknown. Among equal ones, boxes that are open or readers come first: if the plan becomes
/// outdated on all boxes, the readers remain the same. Then come boxes that can respond to many
/// others, then the order is by a hash of the names, which spreads duties over availability zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateKey {
    store_access: StoreAccess,
    idle: bool,
    weak: bool,
    hash: u64,
}

impl CandidateKey {
    fn of_own(me: &LocalPeer) -> Self {
        let hash = xxh3_64(me.name.as_bytes());
        Self { store_access: me.store_access, idle: !me.serves, weak: !me.strong, hash }
    }

    fn of_other(me: &LocalPeer, name: &str, other: &PeerState) -> Self {
        let (idle, hash) = (!me.may_serve(other), xxh3_64(name.as_bytes()));
        Self { store_access: me.access_of(other), idle, weak: !other.info.strong, hash }
    }
}

/// A candidate for a duty; this box has no name here.
type Candidate<'a> = (CandidateKey, Option<&'a str>);

impl PeerTable {
    /// Candidates for duties, including this box, in order.
    fn candidates(&self, me: &LocalPeer, now: BoxTime) -> Vec<Candidate<'_>> {
        let key = |name: &str, row: &PeerState| CandidateKey::of_other(me, name, row);
        let others = self.live_rows(now).map(|(name, row)| (key(name, row), Some(name.as_str())));
        let mut all: Vec<Candidate> = others.chain([(CandidateKey::of_own(me), None)]).collect();
        all.sort();
        all
    }

    /// Other live boxes. If gossip reaches all boxes directly, a box without a message is silent;
    /// otherwise its message may still be in transit.
    fn live_rows(&self, now: BoxTime) -> impl Iterator<Item = (&String, &PeerState)> {
        let few = self.gossip_reaches_all();
        let live =
            move |row: &PeerState| if few { row.is_live(now) } else { row.may_hold_duty(now) };
        self.rows.iter().filter(move |(_, row)| live(row))
    }

    /// Number of store readers.
    fn reader_count(&self, now: BoxTime) -> usize {
        READERS_MIN.max(self.fleet_count(now).div_ceil(CLIENTS_PER_READER))
    }

    /// Whether this box is a store reader, and the gossip addresses of the other readers.
    pub fn readers(&self, me: &LocalPeer, now: BoxTime) -> (bool, Vec<String>) {
        let mut all = self.candidates(me, now);
        all.truncate(self.reader_count(now));
        let own = all.iter().any(|(_, name)| name.is_none());
        let others = all.into_iter().filter_map(|(_, name)| self.rows.get(name?));
        (own, others.map(|row| row.info.gossip_address.clone()).collect())
    }

    /// Duty holders and their successors, for gossip; empty if gossip reaches all boxes directly.
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

    /// Whether another live box is open or a reader, and is not known to have lost the store.
    pub fn any_serves(&self, now: BoxTime) -> bool {
        let lost = |row: &PeerState| row.info.store_access == StoreAccess::Failed;
        self.live_rows(now).any(|(_, row)| row.info.serves() && !lost(row))
    }

    /// Number of boxes that come before this one in a duty of a single box.
    pub fn rank(&self, me: &LocalPeer, now: BoxTime) -> usize {
        let own = CandidateKey::of_own(me);
        let before =
            |(name, row): &(&String, &PeerState)| CandidateKey::of_other(me, name, row) < own;
        self.live_rows(now).filter(before).count()
    }
}
