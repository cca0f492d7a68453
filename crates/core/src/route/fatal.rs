//! Requests under which replicas end: one that crashes each replica that runs it is sent no further.
//!
//! Load pattern: many callers ask the same thing, and each replica that begins to work on it ends, with all that runs there.
//! Each try of each caller is another request to another box, so what they have in common is what they ask for: its
//! *content*, by a hash. Whoever else ran there ended as well, and is sent on, often to the replica that ends next. What
//! tells it apart: it is there at each end, under several requests, and is never answered.
//!
//! An attempt that breaks counts as an end once its replica can't be reached, or says nothing to anybody for a while.
//! Ends under different requests at about the same moment count once, since a loss of power takes many replicas, and an
//! answer clears a content. Boxes tell ends on, and forget them.

use std::collections::{BTreeSet, HashMap};

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

/// An end is kept for this long, in milliseconds: callers repeat themselves for about as long.
pub const END_KEPT_MS: u64 = 60_000;

/// An end is told on for this long, in milliseconds: several notes pass it on to all boxes of hundreds.
pub const END_TOLD_MS: u64 = 3_000;

/// Ends in one note, at most; those of contents with most ends first: some 900 bytes.
const ENDS_TOLD: usize = 24;

/// Contents that are kept, at most; the one whose last end is the oldest gives way.
const CONTENT_LIMIT: usize = 1_024;

/// A replica's end while it worked on a request, as one box tells it to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndNote {
    /// Hash of what the request asked for.
    pub content: u64,
    /// Hash of the request's id.
    pub request: u64,
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
}

/// A replica's end while it worked on a request.
#[derive(Clone, Copy, Debug)]
struct ReplicaEnd {
    request: u64,
    replica: u64,
    /// Its row, while it is not known that the replica itself ended.
    unsure: Option<ReplicaKey>,
    at: BoxTime,
}

/// What is known of a content.
#[derive(Clone, Debug, Default)]
struct ContentRecord {
    ends: Vec<ReplicaEnd>,
    /// When it was last answered; ends before that say nothing.
    cleared_at: Option<BoxTime>,
    /// Whether it was logged that it is sent no further.
    logged: bool,
}

impl ContentRecord {
    fn last_at(&self) -> BoxTime {
        let last = self.ends.iter().map(|end| end.at).max();
        last.max(self.cleared_at).unwrap_or_default()
    }

    fn note(&mut self, end: ReplicaEnd) {
        let known = self.ends.iter().any(|known| known.replica == end.replica);
        if !known && self.cleared_at.is_none_or(|at| at < end.at) {
            self.ends.push(end);
        }
    }

    /// Sure ends, without those at the moment of another request's: one request's ends follow each other.
    fn counted(&self, now: BoxTime) -> Vec<ReplicaEnd> {
        let kept =
            |end: &&ReplicaEnd| end.unsure.is_none() && now.millis_since(end.at) < END_KEPT_MS;
        let mut ends: Vec<ReplicaEnd> = self.ends.iter().filter(kept).copied().collect();
        ends.sort_by_key(|end| end.at);
        let mut counted: Vec<ReplicaEnd> = Vec::with_capacity(ends.len());
        for end in ends {
            let together = |first: &ReplicaEnd| {
                first.request != end.request && end.at.millis_since(first.at) < SAME_MOMENT_MS
            };
            if !counted.iter().any(together) {
                counted.push(end);
            }
        }
        counted
    }

    fn is_fatal(&self, now: BoxTime) -> bool {
        let ends = self.counted(now);
        let requests: BTreeSet<u64> = ends.iter().map(|end| end.request).collect();
        let apart = requests.len() >= FATAL_ENDS_APART && ends.len() >= FATAL_ENDS_APART;
        apart || ends.len() >= FATAL_ENDS
    }
}

/// Contents under which replicas ended lately, by their hashes.
#[derive(Debug, Default)]
pub(super) struct FatalContents {
    rows: HashMap<u64, ContentRecord>,
}

impl FatalContents {
    fn note(&mut self, content: u64, end: ReplicaEnd) {
        if self.rows.len() >= CONTENT_LIMIT && !self.rows.contains_key(&content) {
            let oldest = self.rows.iter().min_by_key(|(_, row)| row.last_at()).map(|(key, _)| *key);
            oldest.map(|key| self.rows.remove(&key));
        }
        self.rows.entry(content).or_default().note(end);
    }

    fn is_fatal(&self, content: u64, now: BoxTime) -> bool {
        self.rows.get(&content).is_some_and(|row| row.is_fatal(now))
    }

    /// Ends under a content of which that was not logged yet.
    fn first_met(&mut self, content: u64, now: BoxTime) -> Option<usize> {
        let row = self.rows.get_mut(&content).filter(|row| !row.logged)?;
        row.logged = true;
        Some(row.counted(now).len())
    }

    /// Takes note that a content was answered.
    fn clear(&mut self, content: u64, now: BoxTime) {
        if let Some(row) = self.rows.get_mut(&content) {
            *row = ContentRecord { cleared_at: Some(now), ..ContentRecord::default() };
        }
    }

    /// Settles ends of whose replicas `ended` is known. Returns whether there were any.
    fn settle(&mut self, ended: &dyn Fn(ReplicaKey, BoxTime) -> bool) -> bool {
        let mut settled = false;
        for end in self.rows.values_mut().flat_map(|row| &mut row.ends) {
            if end.unsure.is_some_and(|key| ended(key, end.at)) {
                end.unsure = None;
                settled = true;
            }
        }
        settled
    }

    fn forget(&mut self, now: BoxTime) {
        self.rows.retain(|_, row| now.millis_since(row.last_at()) < END_KEPT_MS);
    }

    fn told(&self, now: BoxTime) -> Vec<EndNote> {
        let sure = self.rows.iter().flat_map(|(content, row)| {
            let sure = row.ends.iter().filter(|end| end.unsure.is_none());
            sure.map(move |end| (row.ends.len(), *content, end))
        });
        let mut told: Vec<(usize, EndNote)> = sure
            .map(|(ends, content, end)| {
                let ReplicaEnd { request, replica, at, .. } = *end;
                (ends, EndNote { content, request, replica, age_ms: now.millis_since(at) })
            })
            .filter(|(_, note)| note.age_ms < END_TOLD_MS)
            .collect();
        told.sort_by_key(|(ends, note)| (std::cmp::Reverse(*ends), note.age_ms));
        told.truncate(ENDS_TOLD);
        told.into_iter().map(|(_, note)| note).collect()
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
            request: request.id_hash,
            replica: row.id_hash,
            unsure: Some(attempt.replica),
            at: stamp.now,
        };
        self.fatal.note(request.content, end);
    }

    /// Whether a request asks for what crashes replicas.
    pub(super) fn is_fatal(&self, stamp: EventStamp, ticket: RequestTicket) -> bool {
        let content = self.requests.get(&ticket).map_or(0, |request| request.content);
        self.fatal.is_fatal(content, stamp.now)
    }

    /// A request was answered whole.
    pub(super) fn clear_content(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        if let Some(request) = self.requests.get(&ticket) {
            self.fatal.clear(request.content, stamp.now);
        }
    }

    /// Takes what other boxes tell of ends.
    pub(super) fn hear_ends(&mut self, stamp: EventStamp, notes: &[EndNote]) {
        for told in notes.iter().filter(|told| told.age_ms < END_TOLD_MS) {
            let at = stamp.now.minus_millis(told.age_ms);
            let EndNote { content, request, replica, .. } = *told;
            self.fatal.note(content, ReplicaEnd { request, replica, unsure: None, at });
        }
    }

    /// Finds out which replicas ended while they worked.
    pub(super) fn settle_ends(&mut self, now: BoxTime) {
        let backends = &self.backends;
        let ended = |key: ReplicaKey, at: BoxTime| {
            backends.get(key).is_none_or(|row| {
                let down = row.down_at.is_some_and(|down| down >= at);
                down || (row.reported_at < at && now.millis_since(at) >= UNHEARD_MS)
            })
        };
        let settled = self.fatal.settle(&ended);
        self.fatal.forget(now);
        if settled {
            // Each request until others know may end one more replica.
            self.rounds.next_note = BoxTime::default();
        }
    }

    /// Ends that other boxes are told of.
    pub(super) fn told_ends(&self, now: BoxTime) -> Vec<EndNote> {
        self.fatal.told(now)
    }

    /// Ends a request that asks for what crashes replicas. Returns whether it does.
    pub(super) fn stop_fatal(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        let fatal = self.is_fatal(stamp, ticket);
        if fatal {
            self.log_fatal(stamp, ticket, out);
            self.give_up(stamp, ticket, RefusalReason::Fatal, out);
        }
        fatal
    }

    /// Logs a content that is sent no further, once, with a client account that asks for it.
    fn log_fatal(&mut self, stamp: EventStamp, ticket: RequestTicket, out: &mut Vec<RouteEffect>) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let content = request.content;
        let Some(ends) = self.fatal.first_met(content, stamp.now) else { return };
        out.push(RouteEffect::FatalMet { content, account: request.account.clone(), ends });
    }
}
