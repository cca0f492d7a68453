//! Exposure of a version on trial: how many of a service's requests it received, and how many its
//! bound allows.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::time::BoxTime;

/// Bound on the requests that a version on trial may receive, from its order to the end of the
/// order's duration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ExposureBounds {
    /// Share of the requests to the service.
    pub share: f64,
    /// Number of requests beyond that share.
    pub slack: f64,
}

impl Default for ExposureBounds {
    fn default() -> Self {
        Self { share: 0.15, slack: 30.0 }
    }
}

/// Requests sent to replicas of a service since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ExposureCount {
    /// Attempts sent to the version on trial.
    pub canary: u64,
    /// Requests sent to any version, each counted once however often it is sent.
    pub all: u64,
}

/// Part of the bound that the phases of a trial use; the rest covers load that grows towards the end.
const PLANNED_PART: f64 = 0.95;

/// Part of the bound that is kept for the time in which a version carries all sessions: the old
/// replicas stop once it is accepted, so it receives all requests until the duration ends.
const CARRY_PART: f64 = 0.4;

/// Least time for which a version carries all sessions before the duration ends, in milliseconds:
/// the operator sees a verdict up to a second after it was written.
const CARRY_MIN_MS: f64 = 1_000.0;

/// Time after which a version that carries all sessions may be accepted, in milliseconds. By then
/// all boxes send it all sessions.
pub const DONE_AFTER_MS: u64 = 200;

/// Upper bound of the share of requests without a session.
const WINDOW_SHARE_LIMIT: f64 = 0.25;

/// Part of the slack that may be used. The rest covers requests that a box does not know of yet.
const SLACK_PART: f64 = 0.5;

/// Part of the slack that requests without a session may use before a version carries all.
const WINDOW_SLACK_PART: f64 = 0.3;

impl ExposureBounds {
    /// Fraction of an order's duration after which a version may carry all sessions.
    pub fn carry_at(&self, duration_ms: u64) -> f64 {
        let least = CARRY_MIN_MS / duration_ms.max(1) as f64;
        1.0 - least.max(CARRY_PART * self.share).min(PLANNED_PART * self.share)
    }

    /// Share of the sessions that a version gets from `start`, a fraction of the order's duration,
    /// until it may carry all.
    pub fn trial_share(&self, duration_ms: u64, start: f64) -> f64 {
        let carry_at = self.carry_at(duration_ms);
        (PLANNED_PART * self.share - (1.0 - carry_at)) / (carry_at - start)
    }

    /// Share of the requests without a session that a version gets from `start` until it may carry
    /// all, if the service gets `expected` requests in the order's duration. With few requests,
    /// what the slack allows is most of the evidence.
    pub fn window_share(&self, duration_ms: u64, start: f64, expected: f64) -> f64 {
        let slack = WINDOW_SLACK_PART * self.slack / expected.max(1.0);
        (self.trial_share(duration_ms, start) + slack).min(WINDOW_SHARE_LIMIT)
    }

    /// Requests that a version may receive of `all` requests.
    pub fn allowed(&self, all: f64) -> f64 {
        self.share * all + SLACK_PART * self.slack
    }
}

impl ExposureCount {
    fn plus(self, other: Self) -> Self {
        Self { canary: self.canary + other.canary, all: self.all + other.all }
    }
}

/// Interval between two marks of the request rate, in milliseconds: long enough for the counts of
/// other boxes to arrive.
const RATE_MARK_MS: u64 = 1_000;

/// Number of requests at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct RateMark {
    at: BoxTime,
    all: u64,
}

/// Counts of another box. A box that restarts counts from zero again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct PeerCount {
    incarnation: u64,
    /// Counts of its earlier processes.
    former: ExposureCount,
    /// Counts of its current process.
    current: ExposureCount,
}

/// Requests sent by all boxes since the order, as far as this box knows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExposureTally {
    own: ExposureCount,
    peers: BTreeMap<String, PeerCount>,
    /// The last two marks, the older one first.
    marks: [RateMark; 2],
}

impl ExposureTally {
    /// Adds an attempt that this box sends to a replica.
    pub fn add_sent(&mut self, on_trial: bool, is_first: bool) {
        self.own.all += u64::from(is_first);
        self.own.canary += u64::from(on_trial);
    }

    /// Removes an attempt of which nothing was written to the replica.
    pub fn remove_unsent(&mut self, on_trial: bool, is_first: bool) {
        self.own.all = self.own.all.saturating_sub(u64::from(is_first));
        self.own.canary = self.own.canary.saturating_sub(u64::from(on_trial));
    }

    /// Counts of this box.
    pub fn own(&self) -> ExposureCount {
        self.own
    }

    /// Applies the counts that another box reported.
    pub fn apply_peer(&mut self, name: &str, incarnation: u64, current: ExposureCount) {
        let peer = self.peers.entry(name.to_owned()).or_default();
        if incarnation != peer.incarnation {
            peer.former = peer.former.plus(peer.current);
            peer.incarnation = incarnation;
        }
        peer.current = current;
    }

    /// Marks the number of requests, if that is due.
    pub fn mark_rate(&mut self, now: BoxTime) {
        if now.millis_since(self.marks[1].at) >= RATE_MARK_MS {
            self.marks = [self.marks[1], RateMark { at: now, all: self.total().all }];
        }
    }

    /// Requests to the service a millisecond: of late, or since the order if that is more.
    pub fn rate(&self, now: BoxTime, age_ms: u64) -> f64 {
        let all = self.total().all;
        let mark = self.marks[0];
        let span_ms = now.millis_since(mark.at).max(1) as f64;
        let lately = all.saturating_sub(mark.all) as f64 / span_ms;
        lately.max(all as f64 / age_ms.max(1) as f64)
    }

    /// Counts of all boxes.
    pub fn total(&self) -> ExposureCount {
        let peers = self.peers.values().map(|peer| peer.former.plus(peer.current));
        peers.fold(self.own, ExposureCount::plus)
    }
}
