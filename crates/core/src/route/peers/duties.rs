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
}

impl PeerTable {
    /// Boxes that may have duties, this one included: those that reach the store first, of these those that
    /// serve or read already (where the plan grows old on all, the readers stay), then by a hash of their names, so
    /// that they lie in different availability zones.
    fn candidates(&self, me: &OwnStanding, now: BoxTime) -> Vec<(bool, bool, u64, Option<&str>)> {
        // Where notes reach all, who did not speak is silent; else word of it may be under way.
        let few = self.all_are_told();
        let live = |row: &PeerState| if few { row.lives(now) } else { row.leads(now) };
        let others = self.rows.iter().filter(|(_, row)| live(row));
        let hash = |name: &str| xxh3_64(name.as_bytes());
        let mut all: Vec<(bool, bool, u64, Option<&str>)> = others
            .map(|(name, row)| (row.card.cut, !row.card.serves(), hash(name), Some(name.as_str())))
            .chain([(me.cut, !me.serves, hash(me.name), None)])
            .collect();
        all.sort();
        all
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

    /// How many boxes come before this one in a duty that one box has.
    pub fn rank(&self, me: &OwnStanding, now: BoxTime) -> usize {
        let all = self.candidates(me, now);
        all.iter().position(|(_, _, _, name)| name.is_none()).unwrap_or(0)
    }
}
