//! Which boxes have duties for all: reading the store, writing what is due there.
//!
//! Load pattern: hundreds of boxes of which each hears any other but now and then. Each box orders all that
//! live by the same keys, and notes tell of those in front, so that all agree within some rounds; two views
//! that differ by a few boxes cost a call to the store and no more. Whose calls fail goes behind.

use xxhash_rust::xxh3::xxh3_64;

use super::table::{PeerState, PeerTable};
use super::{PeerSummary, ASKERS_LIMIT, LEADS_SPARE, READERS_MIN};
use crate::time::BoxTime;

/// This box among the candidates for a duty.
#[derive(Clone, Copy, Debug)]
pub struct OwnStanding<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether callers may be sent to it, or it reads the store for the others.
    pub serves: bool,
    /// Whether it can't reach the store.
    pub cut: bool,
    /// Since when callers may be sent to it; others that have said nothing since may have come as far.
    pub open_since: Option<BoxTime>,
}

impl OwnStanding<'_> {
    /// Whether another box serves or reads, or may do so by now.
    fn may_serve(&self, other: &PeerState) -> bool {
        other.card.serves() || self.open_since.is_some_and(|since| other.heard_at < since)
    }
}

/// By what boxes come one after the other in a duty: see [`PeerTable::candidates`].
fn candidate_key(cut: bool, serves: bool, name: &str) -> (bool, bool, u64) {
    (cut, !serves, xxh3_64(name.as_bytes()))
}

impl PeerTable {
    /// Boxes that may have duties, this one included: those that reach the store first, of these those that
    /// serve or read already (where the plan grows old on all, the readers stay), then by a hash of their names, so
    /// that they lie in different availability zones.
    fn candidates(&self, me: &OwnStanding, now: BoxTime) -> Vec<(bool, bool, u64, Option<&str>)> {
        let key = |cut, serves, name: &str, other| {
            let (cut, idle, hash) = candidate_key(cut, serves, name);
            (cut, idle, hash, other)
        };
        let others = self
            .living(now)
            .map(|(name, row)| key(row.card.cut, me.may_serve(row), name, Some(name.as_str())));
        let mut all: Vec<(bool, bool, u64, Option<&str>)> =
            others.chain([key(me.cut, me.serves, me.name, None)]).collect();
        all.sort();
        all
    }

    /// Other boxes that live: where notes reach all, who did not speak is silent; else word of it may be under way.
    fn living(&self, now: BoxTime) -> impl Iterator<Item = (&String, &PeerState)> {
        let few = self.all_are_told();
        let live = move |row: &PeerState| if few { row.lives(now) } else { row.leads(now) };
        self.rows.iter().filter(move |(_, row)| live(row))
    }

    /// How many boxes read the store for the others.
    fn reader_count(&self, now: BoxTime) -> usize {
        READERS_MIN.max(self.fleet_count(now).div_ceil(ASKERS_LIMIT))
    }

    /// Whether this box is one of the readers, and where the others of them hear notes.
    pub fn readers(&self, me: &OwnStanding, now: BoxTime) -> (bool, Vec<String>) {
        let mut all = self.candidates(me, now);
        all.truncate(self.reader_count(now));
        let own = all.iter().any(|(_, _, _, name)| name.is_none());
        let others = all.into_iter().filter_map(|(_, _, _, name)| self.rows.get(name?));
        (own, others.map(|row| row.card.note_address.clone()).collect())
    }

    /// What to tell of the boxes with duties, and of those next in their place; nothing where notes reach all.
    pub fn leads(&self, me: &OwnStanding, now: BoxTime) -> Vec<PeerSummary> {
        if self.all_are_told() {
            return Vec::new();
        }
        let mut all = self.candidates(me, now);
        all.truncate(self.reader_count(now) + LEADS_SPARE);
        let rows = all.into_iter().filter_map(|(_, _, _, name)| self.rows.get_key_value(name?));
        rows.map(|(name, row)| PeerSummary {
            name: name.clone(),
            card: row.card.clone(),
            age_ms: now.millis_since(row.heard_at),
        })
        .collect()
    }

    /// Whether another box lives that reaches the store and serves or reads for the others.
    pub fn any_serves(&self, now: BoxTime) -> bool {
        self.living(now).any(|(_, row)| row.card.serves() && !row.card.cut)
    }

    /// How many boxes come before this one in a duty that one box has.
    pub fn rank(&self, me: &OwnStanding, now: BoxTime) -> usize {
        let (own, others) = (candidate_key(me.cut, me.serves, me.name), self.living(now));
        let key = |(name, row): (&String, &PeerState)| {
            candidate_key(row.card.cut, me.may_serve(row), name)
        };
        others.filter(|other| key(*other) < own).count()
    }
}
