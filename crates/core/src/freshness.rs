//! The freshness lease: a box that cannot tell whether its bundle is current stops serving, but an
//! outage of the platform's log does not stop the fleet.
//!
//! A box is *fresh* if it read the log to its tail within the lease, or received a heartbeat reply
//! from a peer that did. Times count from when the box sent its request, on its own clock, so a
//! response that waited in a socket while the box was paused does not make the box fresh. When the
//! lease has expired, the box continues to serve only while it sees a strict majority of the listed
//! boxes, itself included, and none of them reaches the log: a peer that did would have renewed the
//! lease. Otherwise the box refuses requests.
//!
//! A majority can therefore continue without the log while a minority still reaches it. For this
//! reason a bundle is reported as *in force* only when a majority of the listed boxes has confirmed
//! it and a lease has passed. Every majority that continues then includes a box that confirmed the
//! bundle and sends it to the others. Two rules protect this argument. A restarted box no longer
//! knows what it confirmed, so it counts toward a majority only after it has obtained information
//! on the log. A box that learned of a newer bundle counts no other box until it has that bundle.
//! The model `spec/freshness.pml` verifies the rule, and finds a violation if any of these
//! conditions is removed. A box applies a bundle as soon as it reads it.

use serde::Serialize;

use crate::time::BoxTime;

/// Duration of the freshness lease, in milliseconds.
pub const FRESH_LEASE_MS: u64 = 3_000;

/// Freshness of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FreshState {
    /// The lease holds.
    Fresh,
    /// The lease has expired, and the box sees a majority that does not reach the log either.
    OutageMajority,
    /// The lease has expired, and the box sees no majority.
    CutOff,
}

/// Freshness lease of a box.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshLease {
    fresh_at: Option<BoxTime>,
}

impl FreshLease {
    /// Renews the lease after a read to the log's tail that was requested at `requested_at`.
    pub fn renew(&mut self, requested_at: BoxTime) {
        if self.fresh_at.is_none_or(|fresh_at| fresh_at < requested_at) {
            self.fresh_at = Some(requested_at);
        }
    }

    /// Renews the lease after a reply to a heartbeat sent at `requested_at`. The peer's information
    /// on the log was `age_ms` old then.
    pub fn renew_from_peer(&mut self, requested_at: BoxTime, age_ms: u64) {
        // Information from before the start of this box does not count.
        if requested_at.as_millis() >= age_ms {
            self.renew(requested_at.minus_millis(age_ms));
        }
    }

    /// Age of the box's information on the log, in milliseconds; `u64::MAX` if it has none.
    pub fn age_ms(&self, now: BoxTime) -> u64 {
        self.fresh_at.map_or(u64::MAX, |fresh_at| now.millis_since(fresh_at))
    }

    /// Freshness of the box if `countable_boxes` of `listed` boxes count toward a majority, itself
    /// included. `countable_boxes` is called only after the lease has expired, because this method
    /// runs for each request.
    pub fn state(
        &self,
        now: BoxTime,
        listed: usize,
        countable_boxes: impl FnOnce() -> usize,
    ) -> FreshState {
        if self.age_ms(now) <= FRESH_LEASE_MS {
            FreshState::Fresh
        } else if self.fresh_at.is_some() && listed > 1 && countable_boxes() * 2 > listed {
            FreshState::OutageMajority
        } else {
            FreshState::CutOff
        }
    }

    /// When the lease expires.
    pub fn expires_at(&self) -> Option<BoxTime> {
        self.fresh_at.map(|fresh_at| fresh_at.plus_millis(FRESH_LEASE_MS))
    }
}
