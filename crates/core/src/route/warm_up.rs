//! Replicas that are cold: for some seconds after a start they bear few requests a second, from all boxes together.
//!
//! Load pattern: a zone's replicas come back at the same moment, or all are started anew, and each of hundreds of boxes
//! chooses among them before any answer tells of the others' requests. So few boxes send to a cold replica; see
//! [`super::rate_share`]. What it may not get goes to warm ones.

use serde::Serialize;

use super::backend::BackendTable;
use super::rate_share::FleetNames;
use super::RouteState;
use crate::time::BoxTime;

/// What the operator says of a service's cold replicas.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WarmUpPlan {
    /// A replica is cold for this long after a start, in milliseconds.
    pub lasts_ms: u64,
    /// Requests that a cold one bears a second, from all boxes together.
    pub per_s: f64,
}

/// A replica that could not be reached is taken to be down for this long afterwards, in milliseconds, and for cold from then
/// on: nobody may try it meanwhile, and its entry tells of its new start some two seconds after that.
pub(super) const ASSUMED_DOWN_MS: u64 = 4_000;

impl BackendTable {
    /// Works this box's parts in cold replicas out anew: boxes come and go.
    fn share_cold(
        &mut self,
        warm_up: &dyn Fn(&str) -> Option<WarmUpPlan>,
        fleet: &FleetNames,
        now: BoxTime,
    ) {
        for row in self.rows.values_mut().filter(|row| row.cold_until > now) {
            if let Some(plan) = warm_up(&row.entry.service) {
                row.warm_up.set_share(plan.per_s, row.id_hash, fleet);
            }
        }
    }

    /// Whether any replica is cold.
    fn any_cold(&self, now: BoxTime) -> bool {
        self.rows.values().any(|row| row.cold_until > now)
    }
}

impl RouteState {
    /// Works this box's parts in cold replicas out anew.
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

    /// Works them out where a replica is cold that was not when that was done last.
    pub(super) fn share_newly_cold(&mut self, now: BoxTime) {
        if self.backends.newly_cold {
            self.share_cold(now);
        }
    }

    /// Whether the operator bounds what cold replicas of a service get.
    pub(super) fn bounds_cold(&self, service: &str) -> bool {
        let plan = self.table.plan().services.get(service);
        plan.is_some_and(|plan| plan.warm_up.is_some())
    }
}
