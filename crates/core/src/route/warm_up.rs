//! Warm-up of cold replicas: for some seconds after a start they accept only few requests a second
//! from all boxes together.
//!
//! Load pattern: the replicas of a zone return at the same time, or all restart, and each of
//! hundreds of boxes chooses among them before any answer reports the others' requests. So only a
//! few boxes send to a cold replica; see [`super::rate_share`]. Requests beyond its limit go to
//! warm replicas.

use serde::Serialize;

use super::backend::BackendTable;
use super::rate_share::FleetNames;
use super::RouteState;
use crate::time::BoxTime;

/// The operator's settings for cold replicas of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WarmUpPlan {
    /// How long a replica is cold after a start, in milliseconds.
    pub lasts_ms: u64,
    /// Requests a second that a cold replica accepts from all boxes together.
    pub per_s: f64,
}

/// How long an unreachable replica is assumed to be down, in milliseconds. From then on it counts
/// as cold: no box may try it meanwhile, and its entry shows the restart only some two seconds
/// later.
pub(super) const ASSUMED_DOWN_MS: u64 = 4_000;

impl BackendTable {
    /// Sets this box's shares of cold replicas again, as boxes join and leave.
    fn share_cold(
        &mut self,
        warm_up: &dyn Fn(&str) -> Option<WarmUpPlan>,
        fleet: &FleetNames,
        now: BoxTime,
    ) {
        for row in self.rows.values_mut().filter(|row| row.is_cold(now)) {
            if let Some(plan) = warm_up(&row.entry.service) {
                row.warm_up.set_share(plan.per_s, row.id_hash, fleet);
            }
        }
    }

    /// Returns whether any replica is cold.
    fn any_cold(&self, now: BoxTime) -> bool {
        self.rows.values().any(|row| row.is_cold(now))
    }
}

impl RouteState {
    /// Sets this box's shares of cold replicas again.
    pub(super) fn share_cold(&mut self, now: BoxTime) {
        self.backends.newly_cold = false;
        if !self.backends.any_cold(now) {
            return;
        }
        let fleet = self.fleet_names(now);
        let services = &self.table.plan().services;
        let warm_up = |service: &str| services.get(service).and_then(|plan| plan.warm_up);
        self.backends.share_cold(&warm_up, &fleet, now);
    }

    /// The same, but only if a replica has become cold since the last time.
    pub(super) fn share_newly_cold(&mut self, now: BoxTime) {
        if self.backends.newly_cold {
            self.share_cold(now);
        }
    }

    /// Returns whether the operator limits the requests to cold replicas of a service.
    pub(super) fn bounds_cold(&self, service: &str) -> bool {
        let plan = self.table.plan().services.get(service);
        plan.is_some_and(|plan| plan.warm_up.is_some())
    }
}
