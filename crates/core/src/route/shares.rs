//! Fair shares of client accounts: records demand and work begun, holds accounts back, and
//! exchanges both with other boxes while a service is in contention.
//!
//! Load pattern: see [`super::scheduling::account_shares`]. Nothing is recorded for services
//! without overload control, and nobody is held back unless the service is in contention.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64;

use super::attempt::IDLE_WORK_MS;
use super::event::{RefusalReason, RouteEffect};
use super::peers::GossipMessage;
use super::request::RouteRequest;
use super::scheduling::account_demand::ShareUpdate;
use super::scheduling::account_shares::ServiceShares;
use super::scheduling::admission::latest_retry_ms;
use super::scheduling::contention::CONTENTION_KEPT_MS;
use super::scheduling::pick::BackendPick;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::time::BoxTime;

/// Services in contention that a message reports, at most.
pub const SHARES_PER_MESSAGE: usize = 2;

/// Interval between reports of a service's shares, in milliseconds.
pub const SHARES_REPORT_MS: u64 = 1_000;

/// Change of the level from which it is logged, as a share of it.
const LEVEL_CHANGE: f64 = 0.25;

/// Accounts whose shares are measured, for each service.
pub const MEASURED_ACCOUNTS: usize = 8;

/// Work of a request without a prompt, in units of work.
const PLAIN_CALL_WORK: f64 = 1.0;

/// Share and use of one account at this box.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountUse {
    /// Name of the account; empty for requests without one.
    pub account: String,
    /// Demand, in milliseconds of work per second.
    pub demand: f64,
    /// What it is granted, in the same unit.
    pub granted: f64,
}

/// State of a service's shares when it was last reported.
#[derive(Clone, Debug, Default)]
struct ReportedShares {
    at: BoxTime,
    contended: bool,
    level: Option<f64>,
}

/// Shares of accounts, by service.
#[derive(Debug, Default)]
pub(super) struct AccountShares {
    services: HashMap<String, ServiceShares>,
    reported: BTreeMap<String, ReportedShares>,
}

impl RouteState {
    /// Records the demand of a request that arrived, once, and refuses it if its account is over its
    /// share while the service is in contention.
    pub(super) fn refuse_over_share(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        pick: &BackendPick,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        let Some(work) = self.record_demand(stamp.now, ticket, pick) else { return false };
        if is_idle(pick) || !self.refreshes_shares(stamp.now, ticket) {
            return false;
        }
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        let Some(account) = request.account.as_deref().map(account_hash) else { return false };
        let Some(shares) = self.shares.services.get_mut(&request.service) else { return false };
        let limit_ms = latest_retry_ms(request.deadline.millis_since(stamp.now), stamp.random);
        let target_ms = request.route.target_ms;
        let after_ms = shares.admit(account, work, target_ms, limit_ms, stamp.now);
        let Some(after_ms) = after_ms else { return false };
        request.retry_after_ms = Some(after_ms);
        self.give_up(stamp, ticket, RefusalReason::OverShare, out);
        true
    }

    /// Records the work that a request asks for, and returns it if that was not done before.
    fn record_demand(
        &mut self,
        now: BoxTime,
        ticket: RequestTicket,
        pick: &BackendPick,
    ) -> Option<f64> {
        let request = self.requests.get(&ticket)?;
        if request.sends > 0 || request.work.is_some() || !self.controls_overload(&request.service)
        {
            return None;
        }
        let work = pick.work_ms.max(PLAIN_CALL_WORK);
        let request = self.requests.get_mut(&ticket)?;
        request.work = Some(work);
        let name = request.account.as_deref().unwrap_or_default();
        let account = request.account.as_deref().map_or(0, account_hash);
        let shares = self.shares.services.entry(request.service.clone()).or_default();
        shares.own.ask(account, name, work, now);
        Some(work)
    }

    /// Brings the shares up to date for a request. Returns false if its service is not in contention.
    fn refreshes_shares(&mut self, now: BoxTime, ticket: RequestTicket) -> bool {
        let Some(request) = self.requests.get(&ticket) else { return false };
        let contended = self.contention.is_contended(&request.service, now);
        let boxes = self.peers.fleet_count(now);
        let shares = self.shares.services.get_mut(&request.service);
        if let Some(shares) = shares.filter(|_| contended) {
            shares.refresh(boxes, now);
        }
        contended
    }

    /// Records that a replica began a request, once, if its demand was recorded. Only the head of an
    /// answer shows that: what was sent may queue beyond the capacity.
    pub(super) fn record_begun(&mut self, now: BoxTime, ticket: RequestTicket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(work) = request.work.take() else { return };
        if let Some(shares) = self.shares.services.get_mut(&request.service) {
            shares.own.begin(work, now);
        }
    }

    /// Whether the account of a request is over its share. Without contention no account is.
    pub(super) fn is_over_share(&self, request: &RouteRequest, now: BoxTime) -> bool {
        let Some(account) = request.account.as_deref() else { return false };
        let shares = self.shares.services.get(&request.service);
        let over = |shares: &ServiceShares| {
            shares.is_over(account_hash(account), request.route.target_ms, now)
        };
        self.contention.is_contended(&request.service, now) && shares.is_some_and(over)
    }

    /// Whether the account of a request is over its share, for the log; `None` without contention.
    pub(super) fn share_inputs(&self, request: &RouteRequest, now: BoxTime) -> Option<bool> {
        let contended = self.contention.is_contended(&request.service, now);
        contended.then(|| self.is_over_share(request, now))
    }

    /// Demand at this box for services in contention, for gossip.
    pub(super) fn share_updates(&self, now: BoxTime) -> Vec<ShareUpdate> {
        let mut contended: Vec<(u64, &String)> = self
            .contention
            .contended(now)
            .filter(|(service, _)| self.controls_overload(service))
            .map(|(service, late_age_ms)| (late_age_ms, service))
            .collect();
        contended.sort_unstable();
        contended.truncate(SHARES_PER_MESSAGE);
        let unknown = ServiceShares::default();
        let update = |(late_age_ms, service): (u64, &String)| {
            let shares = self.shares.services.get(service).unwrap_or(&unknown);
            shares.own.update(service, late_age_ms, now)
        };
        contended.into_iter().map(update).collect()
    }

    /// Applies what another box reports of services in contention.
    pub(super) fn apply_shares(&mut self, message: &GossipMessage, now: BoxTime) {
        for update in message.shares.iter().take(SHARES_PER_MESSAGE) {
            let service = &update.service;
            let applies = self.backends.serves(service) && self.controls_overload(service);
            if !applies || !update.is_valid() {
                continue;
            }
            if update.late_age_ms < CONTENTION_KEPT_MS {
                self.contention.extend(service, now.minus_millis(update.late_age_ms));
            }
            let shares = self.shares.services.entry(service.clone()).or_default();
            shares.merge(&message.name, update, now);
        }
    }

    /// Brings the shares of all services up to date, and reports what changed.
    pub(super) fn report_shares(&mut self, now: BoxTime, out: &mut Vec<RouteEffect>) {
        let boxes = self.peers.fleet_count(now);
        let backends = &self.backends;
        self.shares.services.retain(|service, _| backends.serves(service));
        self.shares.reported.retain(|service, _| backends.serves(service));
        for (service, shares) in &mut self.shares.services {
            let contended = self.contention.is_contended(service, now);
            if contended {
                shares.refresh(boxes, now);
            } else {
                shares.release(now);
            }
            let reported = self.shares.reported.entry(service.clone()).or_default();
            reported.report(service, shares, contended, now, out);
        }
    }
}

impl ReportedShares {
    /// Reports a service's shares while it is in contention, and the changes, at most once in
    /// [`SHARES_REPORT_MS`].
    fn report(
        &mut self,
        service: &str,
        shares: &ServiceShares,
        contended: bool,
        now: BoxTime,
        out: &mut Vec<RouteEffect>,
    ) {
        if now.millis_since(self.at) < SHARES_REPORT_MS || !(contended || self.contended) {
            return;
        }
        self.at = now;
        let service = service.to_owned();
        let summary = shares.summary(now);
        if contended != self.contended {
            self.contended = contended;
            let (service, boxes) = (service.clone(), summary.boxes);
            out.push(RouteEffect::ContentionChanged { service, contended, boxes });
        }
        let level_changed = is_changed(self.level, summary.level);
        if level_changed {
            self.level = summary.level;
        }
        let heaviest = heaviest_uses(shares, now);
        out.push(RouteEffect::SharesMeasured { service, summary, heaviest, level_changed });
    }
}

/// Whether a level changed by [`LEVEL_CHANGE`], or begins or ceases to hold anyone back.
fn is_changed(before: Option<f64>, after: Option<f64>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => (after - before).abs() >= LEVEL_CHANGE * before,
        (before, after) => before.is_some() != after.is_some(),
    }
}

/// Share and use of the accounts with the largest demands at this box.
fn heaviest_uses(shares: &ServiceShares, now: BoxTime) -> Vec<AccountUse> {
    let heaviest = shares.own.heaviest(now).into_iter().take(MEASURED_ACCOUNTS);
    let rows = heaviest.filter_map(|demand| shares.own.rows.get(&demand.account));
    let uses = rows.map(|row| AccountUse {
        account: row.name.clone(),
        demand: row.demand_rate(now),
        granted: row.worth(SHARES_REPORT_MS, now),
    });
    uses.collect()
}

/// Hash of an account's name.
fn account_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Whether the replica that was chosen would begin a request at once.
fn is_idle(pick: &BackendPick) -> bool {
    pick.wait_ms <= IDLE_WORK_MS && pick.load < 1.0
}
