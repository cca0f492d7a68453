//! Requests under which replicas crash: one that crashes each replica that runs it is sent no further.
//!
//! Load pattern: many callers ask the same thing, and each replica that begins to work on it crashes, with all that runs there.
//! Each try of each caller is another request to another box, so what they have in common is what they ask for: its
//! *content*, by a hash. Whoever else ran there ended as well, and is sent on, often to the replica that crashes next. What
//! tells it apart: it is there at each crash, under several requests, and is never answered.
//!
//! An attempt that breaks counts as an crash once its replica can't be reached, or says nothing to anybody for a while.
//! Ends under different requests at about the same moment count once, since a loss of power takes many replicas, and an
//! answer clears a content, on all boxes. Boxes tell crashes on while they are new. What is known to crash replicas is update
//! on for as long as it is kept, and whole to a box that asks: boxes start again, stand still and lose their links while
//! callers go on. [`record`] keeps one content.

mod record;

use std::collections::HashMap;

use record::{ContentRecord, ReplicaCrash, ReplicaFate};
use serde::Serialize;

use super::backend::BackendState;
use super::event::{RefusalReason, RouteEffect};
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// Ends under one content after which it is sent no further, whatever its requests.
pub const POISON_CRASHES: usize = 3;

/// The same where the crashes were under different requests: a bystander is mostly one request that is sent on.
pub const POISON_CRASHES_DISTINCT: usize = 2;

/// Ends of replicas under different requests within this count once, in milliseconds: what takes many at once is no request.
pub const SIMULTANEOUS_MS: u64 = 100;

/// A replica that this box has heard nothing of for so long after an attempt broke is taken to have ended, in milliseconds:
/// another that only broke a connection answers somebody meanwhile.
pub const CRASH_SILENCE_MS: u64 = 300;

/// A replica that tells its load so long after an attempt broke has not ended, in milliseconds: what it said before that was
/// under way.
pub const SURVIVED_MS: u64 = 100;

/// Sights of a replica's crash within this are of the same one, in milliseconds: it takes seconds to start again.
pub const SAME_CRASH_MS: u64 = 1_000;

/// Requests in hand at one crash that are kept, at most.
const CRASH_REQUEST_LIMIT: usize = 4;

/// An crash is kept for this long, in milliseconds: callers repeat themselves for about as long.
pub const CRASH_KEPT_MS: u64 = 60_000;

/// An crash is update on for this long, in milliseconds: several updates pass it on to all boxes of hundreds.
pub const CRASH_GOSSIP_MS: u64 = 3_000;

/// That a content crashes replicas binds for this long after the last crash, in milliseconds: callers go on for minutes, and
/// each try crashes all that a replica has in hand.
pub const POISON_REFUSED_MS: u64 = 300_000;

/// It is kept for this long, in milliseconds: after [`POISON_REFUSED_MS`] the next crash alone makes it bind again.
pub const POISON_KEPT_MS: u64 = 600_000;

/// Words of contents in one update, at most, by turns: some 120 bytes.
pub const POISON_PER_MESSAGE: usize = 8;

/// The same in an answer to an ask: what is known in all, in most cases; some 900 bytes.
pub const POISON_PER_RESPONSE: usize = 64;

/// Ends in one update, at most; those of contents with most crashes first: some 900 bytes.
const CRASHES_PER_MESSAGE: usize = 24;

/// Contents that are kept, at most; the one whose last crash is the oldest gives way.
const CONTENT_LIMIT: usize = 1_024;

/// A replica's crash while it worked on a request, as one box tells it to another.
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
    #[serde(rename = "ends")]
    pub crashes: usize,
    /// How long ago the last crash was, in milliseconds, if it is known to crash replicas.
    #[serde(rename = "fatal_age_ms")]
    pub poison_age_ms: Option<u64>,
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

    fn add_crash(&mut self, content: u64, crash: ReplicaCrash, now: BoxTime) {
        self.row(content).add_crash(crash, now);
    }

    fn merge(&mut self, update: &PoisonUpdate, now: BoxTime) {
        // What was answered is no news of a content of which nothing bad is known.
        if !update.answered || self.rows.contains_key(&update.content) {
            self.row(update.content).merge(update, now);
        }
    }

    fn is_poison(&self, content: u64, now: BoxTime) -> bool {
        self.rows.get(&content).is_some_and(|row| row.is_poison(now))
    }

    /// The record of a content, if it was not logged yet that it is sent no further.
    fn first_refusal(&mut self, content: u64) -> Option<&ContentRecord> {
        let row = self.rows.get_mut(&content).filter(|row| !row.logged)?;
        row.logged = true;
        Some(row)
    }

    /// Takes update that a content was answered. Returns whether replicas had ended under it.
    fn clear(&mut self, content: u64, now: BoxTime) -> bool {
        self.rows.get_mut(&content).is_some_and(|row| row.clear(now))
    }

    /// Settles crashes by what became of their replicas. Returns whether there were any.
    fn settle(&mut self, fate: &dyn Fn(ReplicaKey, BoxTime) -> ReplicaFate, now: BoxTime) -> bool {
        let mut settled = false;
        for row in self.rows.values_mut() {
            settled |= row.settle(fate, now);
        }
        settled
    }

    fn forget(&mut self, now: BoxTime) {
        self.rows.retain(|_, row| row.is_kept(now));
    }

    fn crash_updates(&self, now: BoxTime) -> Vec<CrashUpdate> {
        let updates = |(content, row): (&u64, &ContentRecord)| {
            let crashes: Vec<CrashUpdate> = row.crash_updates(*content, now).collect();
            let count = crashes.len();
            crashes.into_iter().map(move |update| (count, update))
        };
        let mut updates: Vec<(usize, CrashUpdate)> = self.rows.iter().flat_map(updates).collect();
        updates.sort_by_key(|(crashes, update)| (std::cmp::Reverse(*crashes), update.age_ms));
        updates.truncate(CRASHES_PER_MESSAGE);
        updates.into_iter().map(|(_, update)| update).collect()
    }

    /// At most `limit` updates of contents, from another one on with each `turn`.
    fn poison_updates(&self, turn: u64, limit: usize, now: BoxTime) -> Vec<PoisonUpdate> {
        let updates =
            self.rows.iter().filter_map(|(content, row)| row.poison_update(*content, now));
        let mut updates: Vec<PoisonUpdate> = updates.collect();
        updates.sort_by_key(|update| update.content);
        if updates.len() > limit {
            let first = turn.wrapping_mul(limit as u64) % updates.len() as u64;
            updates.rotate_left(first as usize);
            updates.truncate(limit);
        }
        updates
    }

    fn dump(&self, now: BoxTime) -> Vec<PoisonDump> {
        let dump = |(content, row): (&u64, &ContentRecord)| PoisonDump {
            content: format!("{content:016x}"),
            crashes: row.count(now),
            poison_age_ms: row.poison_age_ms(now),
        };
        self.rows.iter().map(dump).collect()
    }
}

impl BackendState {
    /// What became of a replica after an attempt broke at `at`.
    fn fate_since(&self, at: BoxTime, now: BoxTime) -> ReplicaFate {
        let unreachable_at = self.unreachable_at.filter(|unreachable_at| *unreachable_at >= at);
        let survived = self.reported_at.millis_since(at) >= SURVIVED_MS;
        match unreachable_at {
            Some(unreachable_at) if !survived || self.reported_at >= unreachable_at => {
                ReplicaFate::Crashed
            }
            _ if survived => ReplicaFate::Survived,
            _ if self.reported_at < at && now.millis_since(at) >= CRASH_SILENCE_MS => {
                ReplicaFate::Crashed
            }
            _ => ReplicaFate::Unknown,
        }
    }
}

impl RouteState {
    /// Notes that an attempt broke: if its replica turns out to have ended, it did so under this request. One that leaves
    /// crashes for that.
    pub(super) fn record_broken(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let Some(request) = self.requests.get(&ticket).filter(|row| row.content != 0) else {
            return;
        };
        let Some(attempt) = request.attempt else { return };
        let Some(row) = self.backends.get(attempt.replica) else { return };
        if row.entry.leaving {
            return;
        }
        let crash = ReplicaCrash {
            requests: vec![request.id_hash],
            replica: row.id_hash,
            unconfirmed: Some(attempt.replica),
            at: stamp.now,
        };
        self.poison.add_crash(request.content, crash, stamp.now);
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
            self.rounds.next_note = BoxTime::default();
        }
    }

    /// Takes what other boxes tell of crashes, and of contents.
    pub(super) fn apply_crashes(
        &mut self,
        stamp: EventStamp,
        crashes: &[CrashUpdate],
        updates: &[PoisonUpdate],
    ) {
        for update in crashes.iter().filter(|update| update.age_ms < CRASH_GOSSIP_MS) {
            let at = stamp.now.minus_millis(update.age_ms);
            let CrashUpdate { content, request, replica, .. } = *update;
            let crash = ReplicaCrash { requests: vec![request], replica, unconfirmed: None, at };
            self.poison.add_crash(content, crash, stamp.now);
        }
        for update in updates.iter().filter(|update| update.age_ms < POISON_KEPT_MS) {
            self.poison.merge(update, stamp.now);
        }
    }

    /// Finds out which replicas ended while they worked.
    pub(super) fn settle_crashes(&mut self, now: BoxTime) {
        let backends = &self.backends;
        let fate = |key: ReplicaKey, at: BoxTime| {
            backends.get(key).map_or(ReplicaFate::Crashed, |row| row.fate_since(at, now))
        };
        let settled = self.poison.settle(&fate, now);
        self.poison.forget(now);
        if settled {
            // Each request until others know may crash one more replica.
            self.rounds.next_note = BoxTime::default();
        }
    }

    /// Ends that other boxes are update of.
    pub(super) fn crash_updates(&self, now: BoxTime) -> Vec<CrashUpdate> {
        self.poison.crash_updates(now)
    }

    /// What other boxes are update of contents with the update of this number.
    pub(super) fn poison_updates(&self, number: u64, now: BoxTime) -> Vec<PoisonUpdate> {
        self.poison.poison_updates(number, POISON_PER_MESSAGE, now)
    }

    /// What a box that asks is update of contents.
    pub(super) fn poison_response(&self, number: u64, now: BoxTime) -> Vec<PoisonUpdate> {
        self.poison.poison_updates(number, POISON_PER_RESPONSE, now)
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
        let Some(row) = self.poison.first_refusal(content) else { return };
        let (crashes, age_ms) = (row.count(stamp.now), row.poison_age_ms(stamp.now));
        out.push(RouteEffect::PoisonRefused { content, account, ends: crashes, age_ms });
    }
}
