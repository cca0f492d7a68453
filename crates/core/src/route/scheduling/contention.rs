//! Contention: when a service has too little room for the requests that arrive.
//!
//! Load pattern: bursts of a few seconds. A service is in contention while requests would begin
//! after the target of their route even on the replica where they would begin soonest.

use std::collections::HashMap;

use crate::time::BoxTime;

/// How long a service counts as contended after the last such request, in milliseconds: several
/// requests of a box that gets a few a second.
pub const CONTENTION_KEPT_MS: u64 = 1_000;

/// Services in contention, as far as this box knows.
#[derive(Debug, Default)]
pub struct ServiceContention {
    /// When a request last would have begun late, by service.
    late_at: HashMap<String, BoxTime>,
}

impl ServiceContention {
    /// Records when a request with `left_ms` until its target would begin.
    pub fn record(&mut self, service: &str, expected_ms: f64, left_ms: u64, now: BoxTime) {
        if expected_ms > left_ms as f64 {
            self.extend(service, now);
        }
    }

    /// Records that a service was in contention at `at`, as another box reports it.
    pub fn extend(&mut self, service: &str, at: BoxTime) {
        let late_at = self.late_at.entry(service.to_owned()).or_default();
        *late_at = at.max(*late_at);
    }

    /// Returns the services in contention, with the time since a request last would have begun late,
    /// in milliseconds.
    pub fn contended(&self, now: BoxTime) -> impl Iterator<Item = (&String, u64)> {
        let ages = self.late_at.iter().map(move |(service, at)| (service, now.millis_since(*at)));
        ages.filter(|(_, late_age_ms)| *late_age_ms < CONTENTION_KEPT_MS)
    }

    /// Returns whether a service is in contention.
    pub fn is_contended(&self, service: &str, now: BoxTime) -> bool {
        let late_at = self.late_at.get(service);
        late_at.is_some_and(|at| now.millis_since(*at) < CONTENTION_KEPT_MS)
    }
}
