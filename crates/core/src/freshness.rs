//! The freshness rule: a box that cannot tell whether its bundle is current must stop, and a platform
//! outage must not stop the fleet.
//!
//! A box is *fresh* while it read the log's tail itself, or had it from a peer that did, within the
//! lease. Times count from when the box *asked*, on its own clock, so an answer that waited in a
//! socket while the box was paused makes nothing fresh. When the lease lapses the box serves on only
//! while it sees a strict majority of the listed boxes, itself counted, none of which reaches the
//! log; any that did would have renewed the lease. Otherwise it refuses.
//!
//! A majority may so serve on, cut off from a log that a minority still reaches. That is why
//! a bundle is reported *in force* only once a majority of the listed boxes confirmed it and a lease
//! has passed: every majority that serves on then has a confirming box in it, which passes the bundle
//! on. A box that restarted has forgotten what it confirmed, so it counts toward a majority only
//! once it has learnt something of the log itself. And a box that heard of a newer bundle counts nobody
//! until it has that bundle. `spec/freshness.pml` checks this and refutes it
//! without each guard. Boxes that read a bundle obey it at once.

use serde::Serialize;

use crate::time::BoxTime;

/// How long a box may rely on what it read, in milliseconds.
pub const FRESH_LEASE_MS: u64 = 3_000;

/// What the box may rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FreshState {
    /// The lease holds.
    Fresh,
    /// The log is down for a majority of the boxes, this one included.
    OutageMajority,
    /// The box is cut off.
    CutOff,
}

/// The box's freshness.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshLease {
    fresh_at: Option<BoxTime>,
}

impl FreshLease {
    /// The log was read to its tail by a read that was asked at `asked_at`.
    pub fn renew(&mut self, asked_at: BoxTime) {
        if self.fresh_at.is_none_or(|fresh_at| fresh_at < asked_at) {
            self.fresh_at = Some(asked_at);
        }
    }

    /// A peer answered a beat sent at `asked_at`; what it knows of the log was `age_ms` old then.
    pub fn renew_from_peer(&mut self, asked_at: BoxTime, age_ms: u64) {
        // Older than this box's own start: it would prove nothing since.
        if asked_at.as_millis() >= age_ms {
            self.renew(asked_at.minus_millis(age_ms));
        }
    }

    /// Age of what the box knows, in milliseconds; `u64::MAX` for never.
    pub fn age_ms(&self, now: BoxTime) -> u64 {
        self.fresh_at.map_or(u64::MAX, |fresh_at| now.millis_since(fresh_at))
    }

    /// What the box may rely on, where `seen` of `listed` boxes were lately heard, itself counted.
    /// The boxes are counted only once the lease has lapsed: this is asked for each request.
    pub fn state(&self, now: BoxTime, listed: usize, seen: impl FnOnce() -> usize) -> FreshState {
        if self.age_ms(now) <= FRESH_LEASE_MS {
            FreshState::Fresh
        } else if self.fresh_at.is_some() && listed > 1 && seen() * 2 > listed {
            FreshState::OutageMajority
        } else {
            FreshState::CutOff
        }
    }

    /// When the lease lapses.
    pub fn expires_at(&self) -> Option<BoxTime> {
        self.fresh_at.map(|fresh_at| fresh_at.plus_millis(FRESH_LEASE_MS))
    }
}
