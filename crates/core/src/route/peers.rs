//! The other boxes: who lives, what they know, and which of them callers are sent to.
//!
//! Boxes tell each other by datagrams. A note carries what its sender is and has seen; a box that is
//! silent for [`SILENT_MS`] is no longer named to callers. News is told on at once by who hears it, to
//! a few others each: it is everywhere after a few steps, whatever the size of the fleet.
//!
//! Few boxes read the store often, the *readers*; the others ask one of them. An answer says as of when
//! the reader knew what it knows, and counts from the *asker's* clock: a datagram that was under way for
//! long, or an asker that was frozen, makes the answer older, never newer.

use std::collections::BTreeMap;

use serde::Serialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::backend::BackendChange;
use super::loads::LoadNote;
use super::progress::TrialProgress;
use super::tally::RouteTallies;
use super::trial::TrialVerdict;
use crate::time::BoxTime;

/// Time between two notes to the same box, in milliseconds.
pub const NOTE_EVERY_MS: u64 = 500;

/// A box that has said nothing for this long is no longer named to callers, in milliseconds: three
/// notes in a row may be lost, the fourth is late.
pub const SILENT_MS: u64 = 1_800;

/// A box that has said nothing for this long is forgotten, in milliseconds.
pub const FORGET_MS: u64 = 60_000;

/// Boxes that a note is sent to each time; at most this many, chosen anew.
pub const NOTE_FANOUT: usize = 12;

/// Boxes that read the store often, at least: any two may be gone at once.
pub const READERS_MIN: usize = 3;

/// Boxes that ask one reader, at most, with one ask a second each.
pub const ASKERS_LIMIT: usize = 24;

/// Time between two asks, in milliseconds.
pub const ASK_EVERY_MS: u64 = 800;

/// A box that hears that another has read further asks that one for the records, and reads the store
/// itself after this, in milliseconds: an ask and its answer, once lost and repeated.
pub const BEHIND_MS: u64 = 500;

/// Such a box asks again after this, in milliseconds.
pub const ASK_AGAIN_MS: u64 = 150;

/// An answer to an ask that was sent longer ago says nothing, in milliseconds.
pub const ECHO_LIMIT_MS: u64 = 3_000;

/// Replicas told to a box that knows none, at most: what a datagram holds.
pub const REPLICAS_TOLD: usize = 300;

/// Addresses of other boxes that a note tells of.
pub const TOLD_OF: usize = 6;

/// Addresses in an answer to a caller, at most; the platform's limit.
pub const NAMED_LIMIT: usize = 64;

/// What a box says of one trial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrialNote {
    /// Service.
    pub service: String,
    /// Version on trial.
    pub version: String,
    /// How far it has come.
    pub progress: TrialProgress,
    /// The last mark in the store that the sender knows of.
    pub marked: TrialProgress,
    /// What the sender saw.
    pub tallies: RouteTallies,
}

/// What a box tells another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerNote {
    /// Name of the sender.
    pub name: String,
    /// Random number of this life of its process.
    pub incarnation: u64,
    /// Number of the note; a lower one than seen is old.
    pub number: u64,
    /// Where it hears notes.
    pub note_address: String,
    /// Where it takes callers.
    pub entry_address: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether callers may be sent to it.
    pub open: bool,
    /// Offset up to which it has read the operator's records.
    pub read_to: u64,
    /// How long ago that was all there was, in milliseconds; `None` if it has read nothing yet.
    pub read_age_ms: Option<u64>,
    /// The ask that this note answers.
    pub echo: Option<PeerAsk>,
    /// Changes to the replicas' entries that it lately learnt.
    pub changes: Vec<BackendChange>,
    /// Loads of busy replicas.
    pub loads: Vec<LoadNote>,
    /// Trials under way.
    pub trials: Vec<TrialNote>,
    /// Verdicts known.
    pub verdicts: Vec<TrialVerdict>,
    /// Where other boxes hear notes.
    pub others: Vec<String>,
}

/// A box's question to a reader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerAsk {
    /// Where the answer goes.
    pub note_address: String,
    /// Random number of this life of the asker's process.
    pub incarnation: u64,
    /// The asker's clock when it asked.
    pub asked_at: BoxTime,
    /// Offset up to which it has read the operator's records: it wants what is behind.
    pub read_to: u64,
    /// Whether it knows no replica, and wants all.
    pub wants_replicas: bool,
}

/// What is known of another box.
#[derive(Clone, Debug, Serialize)]
pub struct PeerState {
    /// Random number of this life of its process.
    pub incarnation: u64,
    /// Number of its last note.
    pub number: u64,
    /// Where it hears notes.
    pub note_address: String,
    /// Where it takes callers.
    pub entry_address: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether callers may be sent to it.
    pub open: bool,
    /// When it was heard last.
    pub heard_at: BoxTime,
}

impl PeerState {
    /// Whether it was heard lately.
    fn lives(&self, now: BoxTime) -> bool {
        now.millis_since(self.heard_at) < SILENT_MS
    }
}

/// The other boxes, by name.
#[derive(Debug, Default)]
pub struct PeerTable {
    rows: BTreeMap<String, PeerState>,
    /// Addresses that were only heard of, with when.
    hearsay: BTreeMap<String, BoxTime>,
}

impl PeerTable {
    /// All other boxes.
    pub fn rows(&self) -> impl Iterator<Item = (&String, &PeerState)> {
        self.rows.iter()
    }

    /// Takes a note. Returns false if it is older than one that was taken.
    pub fn hear(&mut self, note: &PeerNote, now: BoxTime) -> bool {
        if let Some(row) = self.rows.get(&note.name) {
            if row.incarnation == note.incarnation && row.number >= note.number {
                return false;
            }
        }
        self.hearsay.remove(&note.note_address);
        // An address has one box; a box that took it over has another name.
        self.rows.retain(|name, row| *name == note.name || row.note_address != note.note_address);
        self.rows.insert(
            note.name.clone(),
            PeerState {
                incarnation: note.incarnation,
                number: note.number,
                note_address: note.note_address.clone(),
                entry_address: note.entry_address.clone(),
                zone: note.zone.clone(),
                open: note.open,
                heard_at: now,
            },
        );
        true
    }

    /// Notes addresses that may have a box.
    pub fn hear_of(&mut self, addresses: &[String], own: &str, now: BoxTime) {
        for address in addresses {
            let known = self.rows.values().any(|row| row.note_address == *address);
            if !known && address != own {
                self.hearsay.entry(address.clone()).or_insert(now);
            }
        }
    }

    /// Forgets boxes that were silent for long, and addresses where nobody answered.
    pub fn forget(&mut self, now: BoxTime) {
        self.rows.retain(|_, row| now.millis_since(row.heard_at) < FORGET_MS);
        self.hearsay.retain(|_, at| now.millis_since(*at) < FORGET_MS);
    }

    /// Boxes that live, this one included.
    pub fn live_count(&self, now: BoxTime) -> usize {
        1 + self.rows.values().filter(|row| row.lives(now)).count()
    }

    /// Addresses for the next round of notes: all if they are few, else some by chance.
    pub fn note_targets(&self, dice: u64) -> Vec<String> {
        let known = self.rows.values().map(|row| &row.note_address);
        let mut all: Vec<&String> = known.chain(self.hearsay.keys()).collect();
        if all.len() > NOTE_FANOUT {
            let order = |address: &&String| xxh3_64_with_seed(address.as_bytes(), dice);
            all.sort_by_cached_key(order);
            all.truncate(NOTE_FANOUT);
        }
        all.into_iter().cloned().collect()
    }

    /// Whether this box is one of the readers, and where the others of them hear notes. Readers are
    /// chosen by a hash of their names, so that they lie in different availability zones.
    pub fn readers(&self, me: &str, now: BoxTime) -> (bool, Vec<String>) {
        let live = self.rows.iter().filter(|(_, row)| row.lives(now));
        let mut all: Vec<(u64, Option<&String>)> = live
            .map(|(name, row)| (xxh3_64(name.as_bytes()), Some(&row.note_address)))
            .chain([(xxh3_64(me.as_bytes()), None)])
            .collect();
        all.sort();
        all.truncate(READERS_MIN.max(all.len().div_ceil(ASKERS_LIMIT)));
        let own = all.iter().any(|(_, address)| address.is_none());
        (own, all.into_iter().filter_map(|(_, address)| address.cloned()).collect())
    }

    /// Addresses of a few other boxes, by chance.
    pub fn some_addresses(&self, dice: u64) -> Vec<String> {
        let first = (dice % self.rows.len().max(1) as u64) as usize;
        let rows = self.rows.values().chain(self.rows.values()).skip(first);
        let some = rows.take(TOLD_OF.min(self.rows.len()));
        some.map(|row| row.note_address.clone()).collect()
    }

    /// Live boxes that callers may be sent to.
    pub fn open_rows(&self, now: BoxTime) -> impl Iterator<Item = &PeerState> {
        self.rows.values().filter(move |row| row.open && row.lives(now))
    }

    /// How many live boxes come before this one by name.
    pub fn rank(&self, me: &str, now: BoxTime) -> usize {
        let live = self.rows.iter().filter(|(_, row)| row.lives(now));
        live.filter(|(name, _)| name.as_str() < me).count()
    }
}
