//! Replicas that are cold: for some seconds after a start they bear few requests a second, from all boxes together.
//!
//! Load pattern: a zone's replicas come back at the same moment, or all are started anew, and each of hundreds of boxes
//! chooses among them before any answer tells of the others' requests. So a box keeps to its part of what a cold replica
//! bears: the operator's figure by the number of boxes. With many boxes a part is far below one request a second; it is
//! saved up from a level that differs by box, so that the boxes' first requests do not come together. What a cold
//! replica may not get goes to warm ones. Where all are cold, a replica that bears 8 a second got 7, 16 and 22 in its fullest
//! second with 9, 84 and 300 boxes; with parts 7, 11 and 14, and 5 of 6,835 requests were refused (virtual time).

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::BoxTime;

/// What the operator says of a service's cold replicas.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WarmUpPlan {
    /// A replica is cold for this long after a start, in milliseconds.
    pub lasts_ms: u64,
    /// Requests that a cold one bears a second, from all boxes together.
    pub per_s: f64,
}

/// Requests that a box may have saved up for one cold replica.
const SAVED_LIMIT: f64 = 1.0;

/// What a cold replica bears in this time, in seconds, may come at its beginning, and again where a service has no other
/// replica: with what comes in the second after that it is 1.5 times the operator's figure, which is what cold replicas
/// are given in any second at least before they fall over.
const AHEAD_S: f64 = 0.25;

/// Of its part in a replica that could not be reached a box uses this much: what was saved up before the replica came back
/// comes at once.
const UNSURE_PART: f64 = 0.75;

/// A replica that could not be reached is taken to be down for this long afterwards, in milliseconds, and for cold from then
/// on: nobody may try it meanwhile, and its entry tells of its new start some two seconds after that. Where it counted as
/// cold from the last try alone, one got 20 requests in a second at 84 boxes where 17 are allowed (virtual time).
pub(super) const UNSEEN_MS: u64 = 4_000;

/// A box's part of what one cold replica bears.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WarmUpPart {
    /// Requests saved up at `at`, beside the level; below 0 if some were sent ahead.
    saved: f64,
    at: BoxTime,
    /// A number from 0 to 1 by which boxes begin at different levels.
    level: f64,
    /// What of the box's part is used.
    used: f64,
}

/// How pressing it is to use a cold replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdNeed {
    /// Others may be used.
    Others,
    /// There are no others.
    NoOthers,
}

impl WarmUpPart {
    /// The part of a box, told apart from others by its number `own`, in a replica that is cold from now on.
    pub(super) fn begin(replica: &str, own: u64, now: BoxTime) -> Self {
        let drawn = xxh3_64_with_seed(replica.as_bytes(), own);
        Self { saved: 0.0, at: now, level: drawn as f64 / u64::MAX as f64, used: 1.0 }
    }

    /// The same of a replica that comes back at a time that is not known.
    pub(super) fn begin_unsure(replica: &str, own: u64, now: BoxTime) -> Self {
        Self { used: UNSURE_PART, ..Self::begin(replica, own, now) }
    }

    /// Requests saved up at `now`, at `per_s` a second.
    fn saved(&self, per_s: f64, now: BoxTime) -> f64 {
        let per_s = per_s * self.used;
        let seconds = now.millis_since(self.at) as f64 / 1_000.0;
        let began = self.level * (SAVED_LIMIT + AHEAD_S * per_s);
        (self.saved + began + per_s * seconds).min(SAVED_LIMIT)
    }

    /// Whether a request may be sent, at `per_s` a second.
    pub(super) fn allows(&self, per_s: f64, need: ColdNeed, now: BoxTime) -> bool {
        let ahead = match need {
            ColdNeed::Others => 0.0,
            ColdNeed::NoOthers => AHEAD_S * per_s * self.used,
        };
        self.saved(per_s, now) + ahead >= SAVED_LIMIT
    }

    /// Notes that one was sent.
    pub(super) fn note_sent(&mut self, per_s: f64, now: BoxTime) {
        self.saved = self.saved(per_s, now) - 1.0;
        self.level = 0.0;
        self.at = now;
    }
}
