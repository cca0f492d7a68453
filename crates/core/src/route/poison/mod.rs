//! Requests under which replicas end: one that crashes each replica that runs it is sent no further.
//!
//! Load pattern: many callers ask the same thing, and each replica that begins to work on it ends, with all that runs there.
//! Each try of each caller is another request to another box, so what they have in common is what they ask for: its
//! *content*, by a hash. Whoever else ran there ended as well, and is sent on, often to the replica that ends next. What
//! tells it apart: it is there at each end, under several requests, and is never answered.
//!
//! An attempt that breaks counts as an end once its replica can't be reached, or says nothing to anybody for a while.
//! Ends under different requests at about the same moment count once, since a loss of power takes many replicas, and an
//! answer clears a content, on all boxes. Boxes tell ends on while they are new. What is known to crash replicas is told
//! on for as long as it is kept, and whole to a box that asks: boxes start again, stand still and lose their links while
//! callers go on. [`record`] keeps one content.

mod record;

use std::collections::HashMap;

use record::{ContentRecord, EndFate, ReplicaEnd};
use serde::Serialize;

use super::backend::BackendState;
use super::event::{RefusalReason, RouteEffect};
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// Ends under one content after which it is sent no further, whatever its requests.
pub const FATAL_ENDS: usize = 3;

/// The same where the ends were under different requests: a bystander is mostly one request that is sent on.
pub const FATAL_ENDS_APART: usize = 2;

/// Ends of replicas under different requests within this count once, in milliseconds: what takes many at once is no request.
pub const SAME_MOMENT_MS: u64 = 100;

/// A replica that this box has heard nothing of for so long after an attempt broke is taken to have ended, in milliseconds:
/// another that only broke a connection answers somebody meanwhile.
pub const UNHEARD_MS: u64 = 300;

/// A replica that tells its load so long after an attempt broke has not ended, in milliseconds: what it said before that was
/// under way.
pub const LIVED_MS: u64 = 100;

/// Sights of a replica's end within this are of the same one, in milliseconds: it takes seconds to start again.
pub const END_SPREAD_MS: u64 = 1_000;

/// Requests in hand at one end that are kept, at most.
const REQUESTS_KEPT: usize = 4;

/// An end is kept for this long, in milliseconds: callers repeat themselves for about as long.
pub const END_KEPT_MS: u64 = 60_000;

/// An end is told on for this long, in milliseconds: several notes pass it on to all boxes of hundreds.
pub const CRASH_GOSSIP_MS: u64 = 3_000;

/// That a content crashes replicas binds for this long after the last end, in milliseconds: callers go on for minutes, and
/// each try ends all that a replica has in hand.
pub const FATAL_BINDS_MS: u64 = 300_000;

/// It is kept for this long, in milliseconds: after [`FATAL_BINDS_MS`] the next end alone makes it bind again.
pub const FATAL_KEPT_MS: u64 = 600_000;

/// Words of contents in one note, at most, by turns: some 120 bytes.
pub const POISON_PER_MESSAGE: usize = 8;

/// The same in an answer to an ask: what is known in all, in most cases; some 900 bytes.
pub const POISON_PER_RESPONSE: usize = 64;

/// Ends in one note, at most; those of contents with most ends first: some 900 bytes.
const ENDS_TOLD: usize = 24;

/// Contents that are kept, at most; the one whose last end is the oldest gives way.
const CONTENT_LIMIT: usize = 1_024;

/// A replica's end while it worked on a request, as one box tells it to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashUpdate {
    /// Hash of what the request asked for.
    pub content: u64,
    /// Hash of the request's id.
    pub request: u64,
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
}

/// What one box tells another of a content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoisonUpdate {
    /// Hash of what requests ask for.
    pub content: u64,
    /// How long ago the last replica ended under it, or it was answered, in milliseconds.
    pub age_ms: u64,
    /// Whether it was answered: replicas that ended before did so for another reason.
    pub answered: bool,
}

/// A content under which replicas ended, as operators see it.
#[derive(Debug, Serialize)]
pub struct PoisonDump {
    /// Hash of what requests ask for, as in logs.
    pub content: String,
    /// Ends known here.
    pub ends: usize,
    /// How long ago the last end was, in milliseconds, if it is known to crash replicas.
    pub fatal_age_ms: Option<u64>,
}

/// Contents under which replicas ended lately, by their hashes.
#[derive(Debug, Default)]
pub(super) struct PoisonContents {
    rows: HashMap<u64, ContentRecord>,
}

impl PoisonContents {
    /// The record of a content, where there may have to be room for it.
    fn row(&mut self, content: u64) -> &mut ContentRecord {
        if self.rows.len() >= CONTENT_LIMIT && !self.rows.contains_key(&content) {
            let oldest = self.rows.iter().min_by_key(|(_, row)| row.last_at()).map(|(key, _)| *key);
            oldest.map(|key| self.rows.remove(&key));
        }
        self.rows.entry(content).or_default()
    }

    fn note(&mut self, content: u64, end: ReplicaEnd, now: BoxTime) {
        self.row(content).note(end, now);
    }

    fn merge(&mut self, word: &PoisonUpdate, now: BoxTime) {
        // What was answered is no news of a content of which nothing bad is known.
        if !word.answered || self.rows.contains_key(&word.content) {
            self.row(word.content).merge(word, now);
        }
    }

    fn is_poison(&self, content: u64, now: BoxTime) -> bool {
        self.rows.get(&content).is_some_and(|row| row.is_poison(now))
    }

    /// The record of a content, if it was not logged yet that it is sent no further.
    fn first_met(&mut self, content: u64) -> Option<&ContentRecord> {
        let row = self.rows.get_mut(&content).filter(|row| !row.logged)?;
        row.logged = true;
        Some(row)
    }

    /// Takes note that a content was answered. Returns whether replicas had ended under it.
    fn clear(&mut self, content: u64, now: BoxTime) -> bool {
        self.rows.get_mut(&content).is_some_and(|row| row.clear(now))
    }

    /// Settles ends by what became of their replicas. Returns whether there were any.
    fn settle(&mut self, fate: &dyn Fn(ReplicaKey, BoxTime) -> EndFate, now: BoxTime) -> bool {
        let mut settled = false;
        for row in self.rows.values_mut() {
            settled |= row.settle(fate, now);
        }
        settled
    }

    fn forget(&mut self, now: BoxTime) {
        self.rows.retain(|_, row| row.is_kept(now));
    }

    fn told(&self, now: BoxTime) -> Vec<CrashUpdate> {
        let notes = |(content, row): (&u64, &ContentRecord)| {
            let ends: Vec<CrashUpdate> = row.crash_updates(*content, now).collect();
            let count = ends.len();
            ends.into_iter().map(move |note| (count, note))
        };
        let mut told: Vec<(usize, CrashUpdate)> = self.rows.iter().flat_map(notes).collect();
        told.sort_by_key(|(ends, note)| (std::cmp::Reverse(*ends), note.age_ms));
        told.truncate(ENDS_TOLD);
        told.into_iter().map(|(_, note)| note).collect()
    }

    /// At most `limit` words of contents, from another one on with each `turn`.
    fn words(&self, turn: u64, limit: usize, now: BoxTime) -> Vec<PoisonUpdate> {
        let words = self.rows.iter().filter_map(|(content, row)| row.word(*content, now));
        let mut words: Vec<PoisonUpdate> = words.collect();
        words.sort_by_key(|word| word.content);
        if words.len() > limit {
            let first = turn.wrapping_mul(limit as u64) % words.len() as u64;
            words.rotate_left(first as usize);
            words.truncate(limit);
        }
        words
    }

    fn dump(&self, now: BoxTime) -> Vec<PoisonDump> {
        let dump = |(content, row): (&u64, &ContentRecord)| PoisonDump {
            content: format!("{content:016x}"),
            ends: row.count(now),
            fatal_age_ms: row.fatal_age_ms(now),
        };
        self.rows.iter().map(dump).collect()
    }
}

impl BackendState {
    /// What became of a replica after an attempt broke at `at`.
    fn fate_since(&self, at: BoxTime, now: BoxTime) -> EndFate {
        let unreachable_at = self.unreachable_at.filter(|unreachable_at| *unreachable_at >= at);
        let lived = self.reported_at.millis_since(at) >= LIVED_MS;
        match unreachable_at {
            Some(unreachable_at) if !lived || self.reported_at >= unreachable_at => EndFate::Ended,
            _ if lived => EndFate::Lived,
            _ if self.reported_at < at && now.millis_since(at) >= UNHEARD_MS => EndFate::Ended,
            _ => EndFate::Open,
        }
    }
}

impl RouteState {
    /// Notes that an attempt broke: if its replica turns out to have ended, it did so under this request. One that leaves
    /// ends for that.
    pub(super) fn note_broken(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let Some(request) = self.requests.get(&ticket).filter(|row| row.content != 0) else {
            return;
        };
        let Some(attempt) = request.attempt else { return };
        let Some(row) = self.backends.get(attempt.replica) else { return };
        if row.entry.leaving {
            return;
        }
        let end = ReplicaEnd {
            requests: vec![request.id_hash],
            replica: row.id_hash,
            unsure: Some(attempt.replica),
            at: stamp.now,
        };
        self.poison.note(request.content, end, stamp.now);
    }

    /// Whether a request asks for what crashes replicas.
    pub(super) fn is_poison(&self, stamp: EventStamp, ticket: RequestTicket) -> bool {
        let content = self.requests.get(&ticket).map_or(0, |request| request.content);
        self.poison.is_poison(content, stamp.now)
    }

    /// A request was answered whole.
    pub(super) fn clear_content(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if self.poison.clear(request.content, stamp.now) {
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Takes what other boxes tell of ends, and of contents.
    pub(super) fn apply_crashes(
        &mut self,
        stamp: EventStamp,
        ends: &[CrashUpdate],
        words: &[PoisonUpdate],
    ) {
        for told in ends.iter().filter(|told| told.age_ms < CRASH_GOSSIP_MS) {
            let at = stamp.now.minus_millis(told.age_ms);
            let CrashUpdate { content, request, replica, .. } = *told;
            let end = ReplicaEnd { requests: vec![request], replica, unsure: None, at };
            self.poison.note(content, end, stamp.now);
        }
        for word in words.iter().filter(|word| word.age_ms < FATAL_KEPT_MS) {
            self.poison.merge(word, stamp.now);
        }
    }

    /// Finds out which replicas ended while they worked.
    pub(super) fn settle_crashes(&mut self, now: BoxTime) {
        let backends = &self.backends;
        let fate = |key: ReplicaKey, at: BoxTime| {
            backends.get(key).map_or(EndFate::Ended, |row| row.fate_since(at, now))
        };
        let settled = self.poison.settle(&fate, now);
        self.poison.forget(now);
        if settled {
            // Each request until others know may end one more replica.
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Ends that other boxes are told of.
    pub(super) fn crash_updates(&self, now: BoxTime) -> Vec<CrashUpdate> {
        self.poison.told(now)
    }

    /// What other boxes are told of contents with the note of this number.
    pub(super) fn poison_updates(&self, number: u64, now: BoxTime) -> Vec<PoisonUpdate> {
        self.poison.words(number, POISON_PER_MESSAGE, now)
    }

    /// What a box that asks is told of contents.
    pub(super) fn poison_response(&self, number: u64, now: BoxTime) -> Vec<PoisonUpdate> {
        self.poison.words(number, POISON_PER_RESPONSE, now)
    }

    /// Contents under which replicas ended, as operators see them.
    pub(super) fn poison_dump(&self, now: BoxTime) -> Vec<PoisonDump> {
        self.poison.dump(now)
    }

    /// Ends a request that asks for what crashes replicas. Returns whether it does.
    pub(super) fn refuse_poison(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        let poison = self.is_poison(stamp, ticket);
        if poison {
            self.log_poison(stamp, ticket, out);
            self.give_up(stamp, ticket, RefusalReason::CrashesReplicas, out);
        }
        poison
    }

    /// Logs a content that is sent no further, once, with a client account that asks for it.
    fn log_poison(&mut self, stamp: EventStamp, ticket: RequestTicket, out: &mut Vec<RouteEffect>) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let content = request.content;
        let account = request.account.clone();
        let Some(row) = self.poison.first_met(content) else { return };
        let (ends, age_ms) = (row.count(stamp.now), row.fatal_age_ms(stamp.now));
        out.push(RouteEffect::PoisonRefused { content, account, ends, age_ms });
    }
}
