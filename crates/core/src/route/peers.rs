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
use super::entries::{EntryWish, ListingPage};
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

/// A box that was heard of through others is taken for living for this long after it spoke, in
/// milliseconds: where notes go to a few of many boxes, word of one takes up to three rounds.
pub const TOLD_SILENT_MS: u64 = 2_500;

/// Boxes that ask one reader, at most, with an ask each [`ASK_EVERY_MS`]: some 80 answers a second, a
/// hundredth of a core.
pub const ASKERS_LIMIT: usize = 64;

/// A box that was started lately acts on finding itself a reader after this, in milliseconds: each knows few
/// others yet and would take itself for one. Of 300 that start together 94 did after one second, 8 after this.
pub const START_SETTLE_MS: u64 = 1_500;

/// Any other box does after this, in milliseconds: it takes over before the others, who no longer hear from a
/// reader, read the store themselves.
pub const READER_SETTLE_MS: u64 = 300;

/// A box was started lately for this long, in milliseconds: until then word of all others has come.
pub const STARTED_LATELY_MS: u64 = 5_000;

/// A box that has started asks others for what it must know, and reads the store itself only after
/// this, in milliseconds: some answers' way between zones. It asks again after as long, then after twice as
/// long each time: where all start at once, the few that all know of must not be asked more than they can
/// answer.
pub const START_ASK_MS: u64 = 40;

/// Times that the pause between a starting box's asks is doubled, at most: then it asks as often as any other.
pub const START_ASK_DOUBLINGS: u32 = 4;

/// A box that others are told to ask first reads the store this long after its start at the latest, by chance,
/// if nobody knew, in milliseconds: the others wait for it.
pub const START_SEED_MS: u64 = 40;

/// Any other box reads the store itself so long after its start, in milliseconds: where all start at once,
/// processes are slow to answer, and a second of each call's worth passes before callers give up a connection.
pub const START_WAIT_MS: u64 = 250;

/// Beyond [`START_WAIT_MS`], by chance, in milliseconds: of boxes that start at the same moment few read the
/// store, and tell the others.
pub const START_SPREAD_MS: u64 = 750;

/// A box that could not reach the store goes behind the others in reading it for this long, in milliseconds,
/// unless a call succeeds.
pub const CUT_MS: u64 = 20_000;

/// Time between two asks, in milliseconds.
pub const ASK_EVERY_MS: u64 = 800;

/// A box that hears that another has read further asks that one for the records, and reads the store
/// itself after this, in milliseconds: an ask and its answer, once lost and repeated.
pub const BEHIND_MS: u64 = 500;

/// Who got no answer asks another box after this, in milliseconds: answers take a few.
pub const ASK_AGAIN_MS: u64 = 150;

/// An answer to an ask that was sent longer ago says nothing, in milliseconds.
pub const ECHO_LIMIT_MS: u64 = 3_000;

/// Boxes told of beyond those with duties: who follows when one dies is known by then.
pub const LEADS_SPARE: usize = 2;

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
    /// Whether it can't reach the store.
    pub cut: bool,
    /// Offset up to which it has read the operator's records.
    pub read_to: u64,
    /// How long ago that was all there was, in milliseconds; `None` if it has read nothing yet.
    pub read_age_ms: Option<u64>,
    /// The ask that this note answers.
    pub echo: Option<PeerAsk>,
    /// Changes to the replicas' entries: in an answer what the ask wants, else what is news.
    pub changes: Vec<BackendChange>,
    /// How far an answer shows the replicas' entries.
    pub entries: EntryWord,
    /// Loads of busy replicas.
    pub loads: Vec<LoadNote>,
    /// Trials under way.
    pub trials: Vec<TrialNote>,
    /// Verdicts known.
    pub verdicts: Vec<TrialVerdict>,
    /// Where other boxes hear notes.
    pub others: Vec<String>,
    /// Boxes with duties for the others, where a note does not reach all.
    pub leads: Vec<PeerSummary>,
}

/// How far an answer shows the replicas' entries; see [`super::entries::EntryAnswer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryWord {
    /// All changes before this offset are known with it.
    pub known_to: Option<u64>,
    /// How long ago that was all there was, in milliseconds.
    pub age_ms: Option<u64>,
    /// The page of a listing, if it is one.
    pub page: Option<ListingPage>,
}

/// What a box tells of another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerSummary {
    /// Name.
    pub name: String,
    /// Random number of this life of its process.
    pub incarnation: u64,
    /// Number of its last note that was heard.
    pub number: u64,
    /// Where it hears notes.
    pub note_address: String,
    /// Where it takes callers.
    pub entry_address: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether callers may be sent to it.
    pub open: bool,
    /// Whether it can't reach the store.
    pub cut: bool,
    /// How long ago it spoke, in milliseconds.
    pub age_ms: u64,
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
    /// What it wants to know of the replicas' entries.
    pub entries: EntryWish,
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
    /// Whether it can't reach the store.
    pub cut: bool,
    /// When it was heard last.
    pub heard_at: BoxTime,
}

impl PeerState {
    /// Whether it was heard lately.
    fn lives(&self, now: BoxTime) -> bool {
        now.millis_since(self.heard_at) < SILENT_MS
    }

    /// Whether it was heard lately, or others have lately heard it.
    fn leads(&self, now: BoxTime) -> bool {
        now.millis_since(self.heard_at) < TOLD_SILENT_MS
    }
}

/// This box among the candidates for a duty.
#[derive(Clone, Copy, Debug)]
pub struct OwnStanding<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether callers may be sent to it.
    pub open: bool,
    /// Whether it can't reach the store.
    pub cut: bool,
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
                cut: note.cut,
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

    /// Boxes of the fleet, this one included: where notes reach all, those that live; else all that were
    /// heard or heard of within [`FORGET_MS`], since each box hears the others but now and then.
    pub fn fleet_count(&self, now: BoxTime) -> usize {
        let live = self.live_count(now);
        if self.all_are_told() {
            return live;
        }
        1 + self.rows.len() + self.hearsay.len()
    }

    /// Whether the boxes that are known are so few that each note reaches all.
    fn all_are_told(&self) -> bool {
        self.rows.len() + self.hearsay.len() <= NOTE_FANOUT
    }

    /// Boxes that may have duties, this one included: those that reach the store first, of these those that
    /// serve, then by a hash of their names, so that they lie in different availability zones.
    fn candidates(&self, me: &OwnStanding, now: BoxTime) -> Vec<(bool, bool, u64, Option<&str>)> {
        // Where notes reach all, who did not speak is silent; else word of it may be under way.
        let few = self.all_are_told();
        let live = |row: &PeerState| if few { row.lives(now) } else { row.leads(now) };
        let others = self.rows.iter().filter(|(_, row)| live(row));
        let hash = |name: &str| xxh3_64(name.as_bytes());
        let mut all: Vec<(bool, bool, u64, Option<&str>)> = others
            .map(|(name, row)| (row.cut, !row.open, hash(name), Some(name.as_str())))
            .chain([(me.cut, !me.open, hash(me.name), None)])
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
        (own, others.map(|row| row.note_address.clone()).collect())
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
            incarnation: row.incarnation,
            number: row.number,
            note_address: row.note_address.clone(),
            entry_address: row.entry_address.clone(),
            zone: row.zone.clone(),
            open: row.open,
            cut: row.cut,
            age_ms: now.millis_since(row.heard_at),
        })
        .collect()
    }

    /// Takes what another box told of boxes with duties.
    pub fn hear_leads(&mut self, leads: &[PeerSummary], me: &str, now: BoxTime) {
        for lead in leads.iter().filter(|lead| lead.name != me && lead.age_ms < TOLD_SILENT_MS) {
            let heard_at = now.minus_millis(lead.age_ms);
            let same = |row: &PeerState| row.note_address == lead.note_address;
            let later = |row: &PeerState| row.heard_at >= heard_at;
            if self.rows.get(&lead.name).is_some_and(later) {
                continue;
            }
            // An address has one box, and who was heard there last is it.
            if self.rows.iter().any(|(name, row)| *name != lead.name && same(row) && later(row)) {
                continue;
            }
            let known = self.rows.get(&lead.name);
            let known = known.filter(|row| row.incarnation == lead.incarnation);
            let newer = known.filter(|row| row.number > lead.number);
            let state = PeerState {
                incarnation: lead.incarnation,
                number: newer.map_or(lead.number, |row| row.number),
                note_address: lead.note_address.clone(),
                entry_address: lead.entry_address.clone(),
                zone: lead.zone.clone(),
                open: newer.map_or(lead.open, |row| row.open),
                cut: newer.map_or(lead.cut, |row| row.cut),
                heard_at,
            };
            self.hearsay.remove(&lead.note_address);
            self.rows.retain(|name, row| *name == lead.name || !same(row));
            self.rows.insert(lead.name.clone(), state);
        }
    }

    /// An address that may have a box, by chance: what a box asks that knows nobody yet.
    pub fn any_address(&self, dice: u64) -> Option<String> {
        let known = self.rows.values().map(|row| &row.note_address);
        let all: Vec<&String> = known.chain(self.hearsay.keys()).collect();
        let index = dice.checked_rem(all.len() as u64)?;
        all.get(index as usize).map(|address| (*address).clone())
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

    /// How many boxes come before this one in a duty that one box has.
    pub fn rank(&self, me: &OwnStanding, now: BoxTime) -> usize {
        let all = self.candidates(me, now);
        all.iter().position(|(_, _, _, name)| name.is_none()).unwrap_or(0)
    }
}
