//! Whether a replica that seemed to crash is still alive.
//!
//! A failed path looks like a crash to the box that loses it, while other boxes still reach the
//! replica. So a crash counts only after the others had time to object: a box that hears of one
//! connects to the replica, and gossips that it reached it. What a sign of life refutes is taken back.

use super::SURVIVED_MS;
use crate::event::EventStamp;
use crate::route::backend::{BackendState, BackendTable};
use crate::route::event::RouteEffect;
use crate::route::RouteState;
use crate::time::BoxTime;

/// Time that a replica takes to restart, at least, in milliseconds. Signs of life that are closer to
/// each other are of one life.
pub const RESTART_LEAST_MS: u64 = 2_500;

/// Time for which a box waits for objections to a crash, in milliseconds: two rounds of gossip.
pub const OBJECTION_MS: u64 = 1_000;

/// How long boxes gossip that a replica is alive that seemed to have crashed, in milliseconds.
const LIFE_GOSSIP_MS: u64 = 3_000;

/// Replicas in one gossip message that seemed to have crashed, at most: some 400 bytes.
const LIVES_PER_MESSAGE: usize = 24;

/// Replicas that a box connects to at a time to find out whether they crashed, at most.
const CHECK_LIMIT: usize = 16;

/// Signs of life of a replica that seemed to have crashed, as boxes gossip them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LifeUpdate {
    /// The replica, by [`crate::route::backend::backend_hash`] of its id.
    pub replica: u64,
    /// How long ago any box first reached it in this life, in milliseconds.
    pub first_age_ms: u64,
    /// How long ago any box last reached it, in milliseconds.
    pub age_ms: u64,
}

/// When any box reached a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct LifeSigns {
    /// The first and the last sign without a gap in which it may have restarted.
    span: Option<(BoxTime, BoxTime)>,
    /// When this box last tried to connect because of a crash.
    checked_at: BoxTime,
    /// Until when other boxes are told that it is alive.
    told_until: BoxTime,
}

impl LifeSigns {
    /// Records that it was reached all the time from `first` to `last`.
    fn note_span(&mut self, first: BoxTime, last: BoxTime) {
        let Some(known) = self.span else {
            self.span = Some((first, last));
            return;
        };
        let is_one_life = first.millis_since(known.1) < RESTART_LEAST_MS
            && known.0.millis_since(last) < RESTART_LEAST_MS;
        if is_one_life {
            self.span = Some((known.0.min(first), known.1.max(last)));
        } else if last > known.1 {
            self.span = Some((first, last));
        }
    }

    /// Records that it was reached.
    pub(in crate::route) fn note(&mut self, at: BoxTime) {
        self.note_span(at, at);
    }

    /// Whether a crash at `at` is refuted, since it was reached afterwards in the same life.
    fn refutes(&self, at: BoxTime) -> bool {
        self.span.is_some_and(|(first, last)| {
            last.millis_since(at) >= SURVIVED_MS && first.millis_since(at) < RESTART_LEAST_MS
        })
    }
}

/// What is known of a crash that was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CrashProof {
    /// The replica is alive.
    Refuted,
    /// No box can reach it any more.
    Certain,
    /// Some box may still reach it.
    Open,
}

impl BackendState {
    fn life_update(&self, now: BoxTime) -> Option<LifeUpdate> {
        let (first, last) = self.life.span.filter(|_| self.life.told_until > now)?;
        let (first_age_ms, age_ms) = (now.millis_since(first), now.millis_since(last));
        Some(LifeUpdate { replica: self.id_hash, first_age_ms, age_ms })
    }
}

impl BackendTable {
    /// Returns what is known of the crash of a replica. Without an entry it cannot be reached.
    pub(super) fn crash_proof(&self, replica: u64, at: BoxTime) -> CrashProof {
        let row = self.hashes.get(&replica).and_then(|key| self.rows.get(*key));
        match row {
            None => CrashProof::Certain,
            Some(row) if row.life.refutes(at) => CrashProof::Refuted,
            Some(_) => CrashProof::Open,
        }
    }

    /// Lets other boxes know that a replica is alive.
    pub(super) fn tell_alive(&mut self, replica: u64, now: BoxTime) {
        let key = self.hashes.get(&replica).copied();
        if let Some(row) = key.and_then(|key| self.rows.get_mut(key)) {
            row.life.told_until = now.plus_millis(LIFE_GOSSIP_MS);
        }
    }

    fn apply_life(&mut self, update: &LifeUpdate, now: BoxTime) {
        let key = self.hashes.get(&update.replica).copied();
        if let Some(row) = key.and_then(|key| self.rows.get_mut(key)) {
            let first = now.minus_millis(update.first_age_ms);
            row.life.note_span(first, now.minus_millis(update.age_ms));
        }
    }
}

impl RouteState {
    /// Takes back crashes of replicas that are alive, and counts those that no box objects to.
    pub(super) fn weigh_crashes(&mut self, now: BoxTime) {
        let backends = &self.backends;
        let is_alone = self.peers.live_count(now) == 1;
        let proof = |replica: u64, at: BoxTime| match backends.crash_proof(replica, at) {
            CrashProof::Open if is_alone => CrashProof::Certain,
            proof => proof,
        };
        let alive = self.poison.weigh(&proof, now);
        for replica in &alive {
            self.backends.tell_alive(*replica, now);
        }
        if !alive.is_empty() {
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Connects to replicas that seem to have crashed, once for each crash.
    pub(in crate::route) fn check_crashed(
        &mut self,
        stamp: EventStamp,
        out: &mut Vec<RouteEffect>,
    ) {
        let mut checks = 0;
        for (replica, at) in self.poison.open_crashes(stamp.now) {
            let Some(key) = self.backends.hashes.get(&replica).copied() else { continue };
            let Some(row) = self.backends.rows.get_mut(key) else { continue };
            let due_at = at.plus_millis(SURVIVED_MS);
            let is_due = stamp.now >= due_at && row.life.checked_at < due_at;
            if is_due && !row.life.refutes(at) && checks < CHECK_LIMIT {
                checks += 1;
                row.life.checked_at = stamp.now;
                self.probe(key, out);
            }
        }
    }

    /// Applies signs of life that other boxes told.
    pub(in crate::route) fn apply_lives(&mut self, updates: &[LifeUpdate], now: BoxTime) {
        for update in updates {
            self.backends.apply_life(update, now);
        }
    }

    /// Returns the replicas that seemed to have crashed and are alive, the latest first.
    pub(in crate::route) fn life_updates(&self, now: BoxTime) -> Vec<LifeUpdate> {
        let rows = self.backends.rows.values();
        let mut updates: Vec<LifeUpdate> = rows.filter_map(|row| row.life_update(now)).collect();
        updates.sort_by_key(|update| (update.age_ms, update.replica));
        updates.truncate(LIVES_PER_MESSAGE);
        updates
    }
}
