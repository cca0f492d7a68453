//! Brittle replicas: they fail if they must reject too many requests in a second for want of room,
//! and say so in their answers.
//!
//! Load pattern: a burst reaches hundreds of boxes at once, each of which sees free slots in the last
//! report of the same replica. So while a service is brittle, the slots of each of its replicas are
//! divided among the boxes, in an order that all boxes compute alike. A box sends no more requests at
//! a time than its share, so that the boxes together fit into the slots, and rejects the rest itself.
//! A box whose request a replica rejects nevertheless leaves that replica alone for so long that all
//! boxes together stay within half of what it bears.
//!
//! Replicas say it in all their answers, and boxes gossip it by service.

use std::collections::HashMap;

use super::backend::{service_hash, BackendState, BackendTable};
use super::event::{AnswerHead, RouteEffect};
use super::rate_share::FleetNames;
use super::scheduling::pick::BackendQuery;
use super::RouteState;
use crate::event::EventStamp;
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// How long a service counts as brittle after the last answer that says so, in milliseconds. Each
/// answer of its replicas says it.
pub const BRITTLE_KEPT_MS: u64 = 5_000;

/// How long a report is gossiped, in milliseconds: several gossip messages reach all boxes.
pub const BRITTLE_GOSSIP_MS: u64 = 1_500;

/// Share of the rejections that a replica bears which the boxes cause together, at most.
pub const REJECTIONS_USED: f64 = 0.5;

/// Longest time for which a box leaves a replica alone after a rejection, in milliseconds.
pub const REJECTED_LIMIT_MS: u64 = 5_000;

/// Time after which a share that is used up has room again, in milliseconds: about the length of a
/// short answer.
pub const ROOM_RETRY_MS: u64 = 200;

/// A brittle service, as boxes gossip it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BrittleUpdate {
    /// The service, by [`service_hash`] of its name.
    pub service: u64,
    /// Rejections in a second that a replica bears; `None` if the service is no longer brittle.
    pub per_s: Option<f64>,
    /// How long ago a replica reported it, in milliseconds.
    pub age_ms: u64,
}

/// What replicas last reported of their service.
#[derive(Clone, Copy, Debug)]
struct BrittleReport {
    per_s: Option<f64>,
    at: BoxTime,
}

/// The services that are brittle or were until recently, by [`service_hash`] of their names.
#[derive(Debug, Default)]
pub(super) struct BrittleServices {
    reports: HashMap<u64, BrittleReport>,
}

impl BrittleServices {
    /// Applies a report of `at`, unless a later one is known. Returns whether the service became
    /// brittle or ceased to be.
    fn apply(&mut self, service: u64, per_s: Option<f64>, at: BoxTime) -> bool {
        let known = self.reports.get(&service);
        if known.is_some_and(|known| known.at > at) || (known.is_none() && per_s.is_none()) {
            return false;
        }
        let was_brittle = known.is_some_and(|known| known.per_s.is_some());
        if was_brittle || per_s.is_some() {
            self.reports.insert(service, BrittleReport { per_s, at });
        }
        was_brittle != per_s.is_some()
    }

    /// Rejections in a second that a replica of a service bears, if the service is brittle.
    fn per_s(&self, service: u64, now: BoxTime) -> Option<f64> {
        let report = self.reports.get(&service)?;
        report.per_s.filter(|_| now.millis_since(report.at) < BRITTLE_KEPT_MS)
    }

    /// Removes reports that have expired.
    fn forget(&mut self, now: BoxTime) {
        self.reports.retain(|_, report| now.millis_since(report.at) < BRITTLE_KEPT_MS);
    }

    /// The reports to gossip.
    fn updates(&self, now: BoxTime) -> Vec<BrittleUpdate> {
        let update = |(service, report): (&u64, &BrittleReport)| BrittleUpdate {
            service: *service,
            per_s: report.per_s,
            age_ms: now.millis_since(report.at),
        };
        let updates = self.reports.iter().map(update);
        updates.filter(|update| update.age_ms < BRITTLE_GOSSIP_MS).collect()
    }
}

impl BackendState {
    /// Whether this box has no room left in its share of the replica's slots.
    pub(super) fn share_used_up(&self) -> bool {
        self.slot_share.is_some_and(|share| self.outstanding >= share)
    }
}

impl BackendTable {
    /// Whether a brittle replica of the versions allowed is usable but has no room for this box.
    pub(super) fn any_without_room(&self, query: &BackendQuery) -> bool {
        let keys = self.by_service.get(query.service).into_iter().flatten();
        let rows = keys.map(|key| &self.rows[*key]);
        let allowed = rows.filter(|row| query.version.matches(&row.entry.version));
        let mut brittle = allowed.filter(|row| row.slot_share.is_some() && row.usable(query.now));
        brittle.any(|row| !row.accepts_requests(query.now))
    }

    /// Sets this box's shares of the slots of brittle replicas, and none for others.
    fn share_slots(&mut self, services: &BrittleServices, fleet: &FleetNames, now: BoxTime) {
        for row in self.rows.values_mut() {
            let service = service_hash(&row.entry.service);
            let is_brittle = services.per_s(service, now).is_some();
            row.slot_share = is_brittle.then(|| fleet.part_of(row.entry.slots, row.id_hash));
        }
    }
}

impl RouteState {
    /// Applies what the head of a replica's answer says of its service.
    pub(super) fn learn_brittle(
        &mut self,
        stamp: EventStamp,
        key: ReplicaKey,
        head: AnswerHead,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(row) = self.backends.get(key).filter(|_| !head.other_replica) else { return };
        let (service, name) = (service_hash(&row.entry.service), row.entry.service.clone());
        // A rejection may lack the header.
        if head.brittle_per_s.is_some() || (head.proven && !head.not_run) {
            self.apply_brittle(stamp, service, head.brittle_per_s, stamp.now, out);
        }
        let Some(per_s) = self.brittle.per_s(service, stamp.now) else { return };
        if head.not_run && head.status == 503 {
            let boxes = self.peers.fleet_count(stamp.now) as f64;
            let pause_ms = 1_000.0 * boxes / (REJECTIONS_USED * per_s.max(f64::MIN_POSITIVE));
            let pause_ms = (pause_ms as u64).min(REJECTED_LIMIT_MS);
            self.backends.back_off(key, stamp.now.plus_millis(pause_ms));
            out.push(RouteEffect::BrittleRejected { service: name, pause_ms });
        }
    }

    /// Applies reports received from other boxes.
    pub(super) fn apply_brittle_updates(
        &mut self,
        stamp: EventStamp,
        updates: &[BrittleUpdate],
        out: &mut Vec<RouteEffect>,
    ) {
        for update in updates.iter().filter(|update| update.age_ms < BRITTLE_GOSSIP_MS) {
            let at = stamp.now.minus_millis(update.age_ms);
            self.apply_brittle(stamp, update.service, update.per_s, at, out);
        }
    }

    fn apply_brittle(
        &mut self,
        stamp: EventStamp,
        service: u64,
        per_s: Option<f64>,
        at: BoxTime,
        out: &mut Vec<RouteEffect>,
    ) {
        if self.brittle.apply(service, per_s, at) {
            self.share_slots(stamp.now);
            self.rounds.next_round = BoxTime::default();
            out.push(RouteEffect::BrittleChanged { service, per_s });
        }
    }

    /// Sets this box's shares again, as boxes join and leave and reports expire.
    pub(super) fn update_slot_shares(&mut self, now: BoxTime) {
        if !self.brittle.reports.is_empty() {
            self.share_slots(now);
            self.brittle.forget(now);
        }
    }

    fn share_slots(&mut self, now: BoxTime) {
        let fleet = self.fleet_names(now);
        self.backends.share_slots(&self.brittle, &fleet, now);
    }

    /// The reports to gossip.
    pub(super) fn brittle_updates(&self, now: BoxTime) -> Vec<BrittleUpdate> {
        self.brittle.updates(now)
    }
}
