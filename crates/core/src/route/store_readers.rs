//! When a box reads the store itself: it is one of the store readers, or it receives too little
//! from other boxes.
//!
//! Load pattern: hundreds of boxes, of which a few read the store and inform the rest. A box that
//! receives nothing, or that lost the store, must neither wait forever for the others nor overload
//! the store together with them.

use super::event::RouteEffect;
use super::startup::StartupState;
use super::{peers, RouteState};
use crate::event::EventStamp;
use crate::time::BoxTime;

/// A box whose plan no reader has confirmed for this long reads the store itself, in milliseconds.
/// It covers two sync requests, and the age of the reader's own knowledge.
pub const PLAN_READ_AGE_MS: u64 = 3_000;

/// A reader whose plan is older than this, in milliseconds, reads it without a long poll. With a
/// long poll and a store that takes 2.5 s for a call, the plan would become older than a key may be
/// accepted for.
pub const LONG_POLL_AGE_MS: u64 = 500;

/// A box that received no sync response about the replicas' entries for this long reads them
/// itself, in milliseconds. It covers the age of a reader's own knowledge and two sync requests.
pub const ENTRIES_READ_AGE_MS: u64 = 4_000;

/// A box that cannot reach the store leaves it to others for at least this long, in milliseconds,
/// which covers a sync request, a retry of a reader and the time until all agree on the readers.
pub const DEFER_MIN_MS: u64 = 2_000;

/// Upper bound of a random time beyond [`DEFER_MIN_MS`], in milliseconds. The box then tries again,
/// because it may be the only one that reaches the store; of many boxes, some do so at any time.
pub const DEFER_SPREAD_MS: u64 = 7_000;

/// A box that waits for a restored store to show a lost plan reads the store itself if no reader
/// has responded for this long, in milliseconds, which is the time until boxes agree on other
/// readers.
pub const READER_LOST_MS: u64 = 4_000;

/// Role of a box in reading the store for the fleet.
#[derive(Debug, Default)]
pub(super) struct ReaderState {
    /// When a call to the store last failed, if none has succeeded since.
    pub(super) store_failed_at: Option<BoxTime>,
    /// For how long after that failure it leaves the store to others, in milliseconds.
    pub(super) defer_ms: u64,
    /// When this box begins to act as a store reader, if it is one.
    pub(super) reader_at: Option<BoxTime>,
    /// Whether it was last reported as a store reader.
    pub(super) reported_reader: bool,
    /// Whether it was last reported as leaving a read to others.
    pub(super) reported_deferral: bool,
    /// Since when callers may be directed to this box.
    pub(super) open_since: Option<BoxTime>,
}

impl RouteState {
    /// Whether this box must read the operator's records itself: it is a reader, or no other box
    /// has recently confirmed its knowledge or sent what is new.
    pub fn must_read_plan(&self, now: BoxTime) -> bool {
        let outdated = self.is_outdated(self.fresh.age_ms(now), PLAN_READ_AGE_MS, now);
        let deferred = self.defers_to_others(now);
        self.is_reader(now) || self.is_behind(now) || (outdated && !deferred)
    }

    /// Whether other boxes have read further and did not send the records. The records may be too
    /// large for a message, so that no response replaces a read, even after a failed call.
    pub fn is_behind(&self, now: BoxTime) -> bool {
        let long = |at: BoxTime| now.millis_since(at) >= peers::BEHIND_MS;
        self.sync.lagging || self.sync.behind_since.is_some_and(long)
    }

    /// Whether this box cannot reach the store, or the store lost its plan, and it leaves it to
    /// boxes that respond to find out when the store is back. A box that announces that it reads
    /// never does: others may leave the store to it.
    pub(super) fn defers_to_others(&self, now: BoxTime) -> bool {
        let within = |limit_ms| move |at: BoxTime| now.millis_since(at) < limit_ms;
        let failed = self.reader.store_failed_at.is_some_and(within(self.reader.defer_ms));
        let answered = failed && self.sync.answered_at.is_some_and(within(peers::SYNC_ANSWERED_MS));
        // No box can confirm that the plan is current, so only the response of a reader replaces a
        // read.
        let read_at = self.sync.reader_answered_at;
        let read = self.awaits_plan() && read_at.is_some_and(within(READER_LOST_MS));
        (answered || read) && !self.announces_reads(now)
    }

    /// Records a call to the store that failed, or one that succeeded after such a call.
    pub(super) fn record_store_call(&mut self, stamp: EventStamp, failed: bool) {
        self.reader.store_failed_at = failed.then_some(stamp.now);
        self.reader.defer_ms = DEFER_MIN_MS + stamp.random % DEFER_SPREAD_MS;
    }

    /// Whether this box tells others that it reads the store, as a store reader or during its start.
    pub(super) fn announces_reads(&self, now: BoxTime) -> bool {
        self.reads_for_others(now) || self.reads_at_start()
    }

    /// Whether this box must read the replicas' entries itself: it is a reader, or no other box has
    /// recently sent the changes.
    pub fn must_read_entries(&self, now: BoxTime) -> bool {
        let outdated = self.is_outdated(self.entries.age_ms(now), ENTRIES_READ_AGE_MS, now);
        // During a store outage, reads of the plan find out when the store is back.
        let unreachable =
            self.store_away(now) && self.store_unreachable(now) && !self.reads_at_start();
        let deferred = self.entries.is_listing(now) || self.defers_to_others(now);
        self.is_reader(now) || (outdated && !unreachable && !deferred)
    }

    /// Whether what this box knows is older than `limit_ms`, or is still unknown some time after
    /// its start.
    fn is_outdated(&self, age_ms: Option<u64>, limit_ms: u64, now: BoxTime) -> bool {
        match age_ms {
            Some(age) => age >= limit_ms,
            None => self.start.is_none_or(|start| self.is_own_turn(start, now)),
        }
    }

    /// Whether it is the turn of a box that started and received nothing to read the store. If many
    /// start together, the first ones in the order read it and inform the others; a box that knows
    /// of one that reads, or of one that is open, waits for it.
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

    /// Begins to read the store if it is this box's turn. A box that has begun continues even if
    /// another one has begun as well.
    pub(super) fn begin_start_read(&mut self, now: BoxTime) {
        let turn = self.start.is_some_and(|start| self.is_own_turn(start, now));
        if let Some(start) = self.start.as_mut().filter(|_| turn) {
            // Other starting boxes wait for boxes that announce that they read.
            if !std::mem::replace(&mut start.reads, true) {
                self.rounds.next_round = BoxTime::default();
            }
        }
    }

    /// Records since when callers may be directed to this box.
    pub(super) fn update_open_since(&mut self, now: BoxTime) {
        let since = self.reader.open_since.unwrap_or(now);
        self.reader.open_since = self.open(now).then_some(since);
    }

    /// Announces at once that this box, which started recently, can respond to requests.
    pub(super) fn announce_open(&mut self, now: BoxTime) {
        let open = self.open(now);
        let start = self.start.as_mut().filter(|start| open && !start.announced_open);
        if let Some(start) = start {
            start.announced_open = true;
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Whether it started recently and reads the store because it received nothing, so that it can
    /// soon inform others.
    pub(super) fn reads_at_start(&self) -> bool {
        self.is_starting() && self.start.is_some_and(|start| start.reads)
    }

    /// Whether this box registers its gossip address in the store and reads the addresses of
    /// others. Readers do, so that starting boxes find one, and so does a box that receives no
    /// messages.
    pub fn must_read_box_list(&self, now: BoxTime) -> bool {
        let alone = self.peers.live_count(now) == 1;
        !self.settling(now) && (self.is_reader(now) || alone)
    }

    /// Whether a read of the operator's records is a long poll. An outdated plan is read at once:
    /// callers would no longer be directed to a reader that waited with it.
    pub fn long_polls_plan(&self, now: BoxTime) -> bool {
        let old = self.fresh.age_ms(now).is_none_or(|age| age >= LONG_POLL_AGE_MS);
        self.is_reader(now) && !old
    }

    /// Whether this box is one of the store readers.
    pub fn is_reader(&self, now: BoxTime) -> bool {
        self.reader.reader_at.is_some_and(|at| now >= at)
    }

    /// Whether it is a store reader and remains one, because no planned stop has begun.
    pub(super) fn reads_for_others(&self, now: BoxTime) -> bool {
        self.is_reader(now) && !self.stopping()
    }

    /// Lets a box that started and read the store by itself continue at once if it is a store
    /// reader. Boxes that started with it learn from it what follows, such as a rollout order.
    pub(super) fn continue_reading(&mut self, now: BoxTime) {
        if self.settling(now) && self.peers.readers(&self.local_peer(now), now).0 {
            self.reader.reader_at = Some(now);
        }
    }

    /// Records when this box begins to act as a store reader.
    pub(super) fn update_reader_at(&mut self, now: BoxTime) {
        if !self.peers.readers(&self.local_peer(now), now).0 {
            self.reader.reader_at = None;
            return;
        }
        let settle_ms =
            if self.started_lately(now) { peers::START_SETTLE_MS } else { peers::READER_SETTLE_MS };
        self.reader.reader_at.get_or_insert(now.plus_millis(settle_ms));
    }

    /// Reports when this box becomes a store reader or ceases to be one.
    pub(super) fn report_reader_change(&mut self, now: BoxTime, out: &mut Vec<RouteEffect>) {
        let is_reader = self.is_reader(now);
        if is_reader == self.reader.reported_reader {
            return;
        }
        self.reader.reported_reader = is_reader;
        let (store_unreachable, plan_age_ms) =
            (self.store_unreachable(now), self.fresh.age_ms(now));
        out.push(RouteEffect::ReaderChanged { is_reader, store_unreachable, plan_age_ms });
    }

    /// Whether this box needs to read the plan and leaves it to others.
    fn leaves_read_to_others(&self, now: BoxTime) -> bool {
        let outdated = self.is_outdated(self.fresh.age_ms(now), PLAN_READ_AGE_MS, now);
        outdated && !self.must_read_plan(now)
    }

    /// Reports when this box begins to leave a read of the plan to others, or ceases to.
    pub(super) fn report_deferral_change(&mut self, now: BoxTime, out: &mut Vec<RouteEffect>) {
        let defers = self.leaves_read_to_others(now);
        if std::mem::replace(&mut self.reader.reported_deferral, defers) == defers {
            return;
        }
        let to = defers.then(|| self.sync.answered_by.clone());
        let failed_ms = self.reader.store_failed_at.map(|at| now.millis_since(at));
        let plan_version = self.table.plan().version;
        out.push(RouteEffect::ReadDeferralChanged { to, failed_ms, plan_version });
    }
}
