//! When a box reads the store itself: it is one of the few readers, or the others have told it too little.
//!
//! Load pattern: hundreds of boxes, of which a few read and the rest are told. A box that is told nothing, or that lost the
//! store, must neither wait for ever for the others nor storm the store with them.

use super::event::RouteEffect;
use super::startup::StartupState;
use super::{peers, RouteState};
use crate::time::BoxTime;

/// A box that no reader has told for this long that its knowledge is fresh reads the store itself, in
/// milliseconds: two asks, and what a reader's own knowledge may be old.
pub const PLAN_READ_AGE_MS: u64 = 3_000;

/// A reader whose plan is older than this, in milliseconds, reads it without waiting for a record: with the wait, and a
/// store that takes 2.5 s for a call, it would else be older than a key may be honoured before it is read.
pub const LONG_POLL_AGE_MS: u64 = 500;

/// A box that nobody has told for this long what differs in the replicas' entries reads them itself, in
/// milliseconds: what a reader's own knowledge may be old, and two asks.
pub const ENTRIES_READ_AGE_MS: u64 = 4_000;

/// A box that waits for the store to show a lost plan again reads it itself where no reader has answered it for this long,
/// in milliseconds: until boxes agree on other readers.
pub const READER_LOST_MS: u64 = 4_000;

/// A box's part in reading the store for all.
#[derive(Debug, Default)]
pub(super) struct ReaderState {
    /// When a call to the store last failed, if none succeeded since.
    pub(super) store_failed_at: Option<BoxTime>,
    /// From when on it reads for the others, if it is one of the readers.
    pub(super) reader_at: Option<BoxTime>,
    /// Whether it was last told to be a reader.
    pub(super) reported_reader: bool,
    /// Since when callers may be sent to this box.
    pub(super) open_since: Option<BoxTime>,
}

impl RouteState {
    /// Whether this box must read the operator's records itself: it is a reader, or no other box has
    /// told it lately that what it knows is fresh, or has told it what is new.
    pub fn must_read_plan(&self, now: BoxTime) -> bool {
        let outdated = self.is_outdated(self.fresh.age_ms(now), PLAN_READ_AGE_MS, now);
        let deferred = self.defers_to_others(now);
        self.is_reader(now) || self.is_behind(now) || (outdated && !deferred)
    }

    /// Whether others have read further and have not told this box what: it may be too long to be told, so that no
    /// answer of theirs stands for a read, also after a call that failed.
    pub fn is_behind(&self, now: BoxTime) -> bool {
        let long = |at: BoxTime| now.millis_since(at) >= peers::BEHIND_MS;
        self.sync.lagging || self.sync.behind_since.is_some_and(long)
    }

    /// Whether this box lost the store, or the store lost its plan, and others, who answer it, find out when it is back.
    pub(super) fn defers_to_others(&self, now: BoxTime) -> bool {
        let within = |limit_ms| move |at: BoxTime| now.millis_since(at) < limit_ms;
        let answered_at = self.sync.answered_at;
        let answered =
            self.store_unreachable(now) && answered_at.is_some_and(within(peers::SYNC_ANSWERED_MS));
        // Nobody can say that the plan is fresh, so that only word of one who reads stands for a read.
        let read_at = self.sync.reader_answered_at;
        let read = self.awaits_plan() && read_at.is_some_and(within(READER_LOST_MS));
        answered || read
    }

    /// Whether this box must read the replicas' entries itself: it is a reader, or no other box has told it
    /// lately what differs.
    pub fn must_read_entries(&self, now: BoxTime) -> bool {
        let outdated = self.is_outdated(self.entries.age_ms(now), ENTRIES_READ_AGE_MS, now);
        // While the store is away, reads of the plan find out when it is back.
        let unreachable = self.store_away(now) && self.store_unreachable(now);
        let deferred = self.entries.is_listing(now) || self.defers_to_others(now);
        self.is_reader(now) || (outdated && !unreachable && !deferred)
    }

    /// Whether others have told this box too little: what it knows is older than `limit_ms`, or it still knows
    /// nothing some time after its start.
    fn is_outdated(&self, age_ms: Option<u64>, limit_ms: u64, now: BoxTime) -> bool {
        match age_ms {
            Some(age) => age >= limit_ms,
            None => self.start.is_none_or(|start| self.is_own_turn(start, now)),
        }
    }

    /// Whether a box that was started and told nothing reads the store. Where many start together, those that come first
    /// do and tell the others; who hears of one that reads, or knows all, waits to be told.
    fn is_own_turn(&self, start: StartupState, now: BoxTime) -> bool {
        if start.reads || now < start.read_at {
            return start.reads;
        }
        let wait_ms = match (self.peers.any_serves(now), self.settings.is_seed) {
            (true, true) => peers::START_WAIT_MS,
            (true, false) => peers::START_SYNC_LIMIT_MS,
            (false, true) => 0,
            (false, false) => {
                let before = self.peers.rank(&self.local_peer(now), now) as u64;
                (before * peers::START_TURN_MS).min(peers::START_SYNC_LIMIT_MS)
            }
        };
        now >= start.read_at.plus_millis(wait_ms)
    }

    /// Takes this box's turn to read the store, if it has come. Who has begun does not stop for another who has, too.
    pub(super) fn begin_start_read(&mut self, now: BoxTime) {
        let turn = self.start.is_some_and(|start| self.is_own_turn(start, now));
        if let Some(start) = self.start.as_mut().filter(|_| turn) {
            // Others that start wait to be told by boxes that say so.
            if !std::mem::replace(&mut start.reads, true) {
                self.rounds.next_round = BoxTime::default();
            }
        }
    }

    /// Notes since when callers may be sent to this box.
    pub(super) fn update_open_since(&mut self, now: BoxTime) {
        let since = self.reader.open_since.unwrap_or(now);
        self.reader.open_since = self.open(now).then_some(since);
    }

    /// Tells others at once when this box, started lately, knows what they ask for.
    pub(super) fn announce_open(&mut self, now: BoxTime) {
        let open = self.open(now);
        let start = self.start.as_mut().filter(|start| open && !start.announced_open);
        if let Some(start) = start {
            start.announced_open = true;
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Whether it was started lately and reads the store for what nobody told it, so that it can soon tell others.
    pub(super) fn reads_at_start(&self) -> bool {
        self.is_starting() && self.start.is_some_and(|start| start.reads)
    }

    /// Whether this box tells the store where it hears notes, and reads where others do: readers, so that a
    /// box that starts finds one, and a box that hears nobody.
    pub fn must_read_box_list(&self, now: BoxTime) -> bool {
        let alone = self.peers.live_count(now) == 1;
        !self.settling(now) && (self.is_reader(now) || alone)
    }

    /// Whether a read of the operator's records is to wait for one. What is old is read anew at once: a reader
    /// that waited with it would no longer be named to callers.
    pub fn long_polls_plan(&self, now: BoxTime) -> bool {
        let old = self.fresh.age_ms(now).is_none_or(|age| age >= LONG_POLL_AGE_MS);
        self.is_reader(now) && !old
    }

    /// Whether this box is one of those that read the store often.
    pub fn is_reader(&self, now: BoxTime) -> bool {
        self.reader.reader_at.is_some_and(|at| now >= at)
    }

    /// Whether it does, and goes on.
    pub(super) fn reads_for_others(&self, now: BoxTime) -> bool {
        self.is_reader(now) && !self.stopping()
    }

    /// Who has started and read the store since nobody told it anything reads on at once, if it finds itself a
    /// reader: boxes that started with it learn from it what comes next, such as an order to bring a version in.
    pub(super) fn continue_reading(&mut self, now: BoxTime) {
        if self.settling(now) && self.peers.readers(&self.local_peer(now), now).0 {
            self.reader.reader_at = Some(now);
        }
    }

    /// Notes from when on this box is one of the readers.
    pub(super) fn update_reader_at(&mut self, now: BoxTime) {
        if !self.peers.readers(&self.local_peer(now), now).0 {
            self.reader.reader_at = None;
            return;
        }
        let settle_ms =
            if self.started_lately(now) { peers::START_SETTLE_MS } else { peers::READER_SETTLE_MS };
        self.reader.reader_at.get_or_insert(now.plus_millis(settle_ms));
    }

    /// Tells when this box becomes a reader, or is none any more.
    pub(super) fn report_reader_change(&mut self, now: BoxTime, out: &mut Vec<RouteEffect>) {
        let reads = self.is_reader(now);
        if reads == self.reader.reported_reader {
            return;
        }
        self.reader.reported_reader = reads;
        let (cut, plan_age_ms) = (self.store_unreachable(now), self.fresh.age_ms(now));
        out.push(RouteEffect::ReaderChanged { reads, cut, plan_age_ms });
    }
}
