//! Poison in the store, where it outlives every process.
//!
//! The first store reader by rank writes what is known as poison, and drops what no longer is. A box
//! that reads the store at its start reads the records; the other boxes get them with the response to
//! their sync request. What the store holds at a start counts as poison for a full term again, since
//! nothing tells how long all boxes were gone. While any poison is known, readers look for records
//! that an operator has marked as lifted.

use std::collections::BTreeSet;

use super::{PoisonUpdate, RequestFeature};
use crate::event::EventStamp;
use crate::route::event::RouteEffect;
use crate::route::RouteState;
use crate::time::BoxTime;

/// Interval at which readers look for lifted records while any poison is known, in milliseconds.
pub const POISON_READ_MS: u64 = 10_000;

/// Time that each reader gives the one before it to write a record, in milliseconds.
const WRITE_TURN_MS: u64 = 1_000;

/// Records in the store, at most.
pub const STORED_LIMIT: usize = 64;

/// A record of the store about a feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonRecord {
    /// The feature.
    pub feature: RequestFeature,
    /// What the record says.
    pub state: PoisonState,
}

/// What a record says about its feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonState {
    /// It crashes replicas.
    Poison,
    /// An operator wants it to be tried again.
    Lifted,
    /// Nothing any more; the record is deleted.
    Dropped,
}

/// What this box knows of the records.
#[derive(Debug, Default)]
pub(in crate::route) struct StoredPoison {
    /// Whether what the store or the other boxes know as poison is known.
    known: bool,
    /// When the records were last read.
    read_at: BoxTime,
    /// Features with a record.
    stored: BTreeSet<RequestFeature>,
    /// When this box writes the next record, if one is due.
    turn_at: Option<BoxTime>,
}

impl StoredPoison {
    /// Whether a feature has a record.
    pub(super) fn contains(&self, feature: RequestFeature) -> bool {
        self.stored.contains(&feature)
    }

    /// Returns the next record to write, given what is poison now.
    fn due(&self, poison: &BTreeSet<RequestFeature>) -> Option<PoisonRecord> {
        let dropped = self.stored.difference(poison).next();
        let dropped = dropped.map(|feature| (feature, PoisonState::Dropped));
        let room = self.stored.len() < STORED_LIMIT;
        let missing = poison.difference(&self.stored).next().filter(|_| room);
        let missing = missing.map(|feature| (feature, PoisonState::Poison));
        let (feature, state) = missing.or(dropped)?;
        Some(PoisonRecord { feature: *feature, state })
    }
}

impl RouteState {
    /// Whether the records about poison must be read now.
    pub fn must_read_poison(&self, now: BoxTime) -> bool {
        let at_start = !self.stored_poison.known && self.start.is_some_and(|start| start.reads);
        let outdated = now.millis_since(self.stored_poison.read_at) >= POISON_READ_MS;
        at_start || (outdated && self.is_reader(now) && self.poison.has_poison())
    }

    /// Whether this box still has to read at its start what is known as poison.
    pub(in crate::route) fn has_unread_poison(&self) -> bool {
        !self.stored_poison.known && self.start.is_some_and(|start| start.reads)
    }

    /// Records that an open box sent all that it knows as poison.
    pub(in crate::route) fn note_poison_known(&mut self) {
        self.stored_poison.known = true;
    }

    /// Forgets which records the store holds, since it was restored from an older copy.
    pub(in crate::route) fn forget_stored_poison(&mut self) {
        self.stored_poison.stored.clear();
    }

    /// Records which features other boxes know to be stored.
    pub(super) fn note_stored(&mut self, updates: &[PoisonUpdate]) {
        let stored = updates.iter().filter(|update| update.stored).map(|update| update.feature);
        self.stored_poison.stored.extend(stored);
    }

    /// Applies all records of the store. Only at the start do they say what is poison: later, what the
    /// boxes have seen is newer.
    pub(in crate::route) fn on_poison_read(&mut self, stamp: EventStamp, records: &[PoisonRecord]) {
        let is_first = !std::mem::replace(&mut self.stored_poison.known, true);
        self.stored_poison.read_at = stamp.now;
        self.stored_poison.stored = records.iter().map(|record| record.feature).collect();
        for PoisonRecord { feature, state } in records {
            let answered = match state {
                PoisonState::Poison if is_first => false,
                PoisonState::Lifted => true,
                PoisonState::Poison | PoisonState::Dropped => continue,
            };
            let update = PoisonUpdate {
                feature: *feature,
                age_ms: 0,
                answered,
                stored: true,
                withdrawn: false,
            };
            self.poison.merge(&update, stamp.now);
        }
        self.rounds.next_round = BoxTime::default();
    }

    /// Records that the store accepted a record of this box.
    pub(in crate::route) fn on_poison_stored(&mut self, record: PoisonRecord) {
        match record.state {
            PoisonState::Poison => drop(self.stored_poison.stored.insert(record.feature)),
            PoisonState::Lifted | PoisonState::Dropped => {
                self.stored_poison.stored.remove(&record.feature);
            }
        }
        self.stored_poison.turn_at = None;
    }

    /// Writes the next record that is due, if it is this box's turn.
    pub(in crate::route) fn write_poison(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let due = self.stored_poison.due(&self.poison.poison_features());
        let reads = self.stored_poison.known && self.is_reader(stamp.now);
        let Some(record) = due.filter(|_| reads) else {
            self.stored_poison.turn_at = None;
            return;
        };
        let rank = self.peers.rank(&self.local_peer(stamp.now), stamp.now) as u64;
        let first = stamp.now.plus_millis(rank * WRITE_TURN_MS);
        if stamp.now < *self.stored_poison.turn_at.get_or_insert(first) {
            return;
        }
        self.stored_poison.turn_at = Some(stamp.now.plus_millis(2 * WRITE_TURN_MS));
        out.push(RouteEffect::WritePoison(record));
    }
}
