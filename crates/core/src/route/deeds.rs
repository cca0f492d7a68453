//! What replicas do on requests, and how one that does badly is passed over.
//!
//! A replica that refuses connections, breaks answers or fails them is passed over for a while;
//! [`super::pick`] sees to it that this is at most half of a service at a time.

use super::backend::{BackendState, BackendTable};
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// Failures in a row after which a replica is passed over. Two: one may be the request's own fault.
pub const PASS_OVER_FAILURES: u32 = 2;

/// First span for which a replica is passed over, in milliseconds; doubled by each further one.
pub const PASS_OVER_FIRST_MS: u64 = 700;

/// Longest span for which a replica is passed over, in milliseconds.
pub const PASS_OVER_LIMIT_MS: u64 = 5_000;

/// How well a replica did on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendDeed {
    /// It answered.
    Served,
    /// It failed, or broke off.
    Failed,
    /// No connection came about.
    Unreachable,
    /// The end says nothing of it: the caller left, or it said that it is full.
    Neither,
}

impl BackendState {
    /// Passes it over for a span, longer each time in a row.
    fn pass_over(&mut self, now: BoxTime) {
        let span = (PASS_OVER_FIRST_MS << self.passes.min(8)).min(PASS_OVER_LIMIT_MS);
        self.passed_until = now.plus_millis(span);
        self.passes += 1;
        self.failures = 0;
    }
}

impl BackendTable {
    /// Notes that a request has ended, and how well the replica did.
    pub fn ended(&mut self, key: ReplicaKey, deed: BackendDeed, now: BoxTime) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.outstanding = row.outstanding.saturating_sub(1);
        row.reported = row.reported.saturating_sub(1);
        match deed {
            BackendDeed::Served => {
                row.failures = 0;
                row.passes = 0;
            }
            BackendDeed::Failed => row.failures += 1,
            BackendDeed::Unreachable => row.failures += PASS_OVER_FAILURES,
            BackendDeed::Neither => {}
        }
        if row.failures >= PASS_OVER_FAILURES {
            row.pass_over(now);
        }
    }
}
