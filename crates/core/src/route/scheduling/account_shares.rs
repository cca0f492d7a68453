//! Fair shares of client accounts in the capacity of a service, for the whole fleet.
//!
//! Load pattern: one account sends eight times its usual load for some seconds while replicas are
//! away, at dozens of boxes that get a few requests a second each. No box sees the contention
//! alone, so boxes gossip the demand of the heaviest accounts and the work that replicas began for
//! them. From what it heard, each box computes the level at which demands take up the capacity, and
//! grants each account the same fraction of its demand at this box as the fleet grants it.
//!
//! What a box lets through beyond that is bounded whatever it heard, by its own measurements: it
//! grants at most [`GROWTH_LIMIT`] times the work that replicas began for it, or an even part of
//! the capacity that it heard of. All boxes together therefore grant at most `GROWTH_LIMIT + 1`
//! times the capacity, under any loss, order or repetition of messages. With complete reports they
//! grant [`GRANTED_PART`] of the capacity.

use std::collections::HashMap;

use super::account_demand::{AccountRow, BoxDemand, ShareUpdate, DEMAND_WINDOW_MS};
use super::max_min::{max_min_level, DemandRow};
use crate::route::peers::GOSSIP_INTERVAL_MS;
use crate::time::BoxTime;

/// Part of the work begun that is granted. The rest lets the queues drain that stand at the replicas:
/// with all of it granted, they would stay beyond the target.
pub const GRANTED_PART: f64 = 0.8;

/// How long the update of another box is used, in milliseconds. In a fleet of some ninety boxes,
/// where each message goes to a few of them, most are heard from within this time.
pub const SHARES_KEPT_MS: u64 = 3_000;

/// Work that a box grants at most, as a multiple of what replicas began for it. Callers that move to
/// a box within a second must not be held back for long.
pub const GROWTH_LIMIT: f64 = 2.0;

/// A box that hears from no other one holds nobody back until replicas have begun work for it for
/// this long, in milliseconds: it does not know the capacity before.
pub const BEGUN_EVIDENCE_MS: u64 = 1_000;

/// Interval between computations of the level, in milliseconds, unless an update arrives. It bounds
/// their cost where hundreds of requests a second arrive.
const LEVEL_INTERVAL_MS: u64 = 50;

/// Boxes whose updates are kept, at most.
const REPORTS_LIMIT: usize = 1_024;

/// Part of the target's worth of its share from which an account counts as over its share. Below
/// it, single requests of an account that sends evenly would count.
const OVER_SHARE_PART: f64 = 0.25;

/// Shares of the accounts of one service at this box.
#[derive(Clone, Debug, Default)]
pub struct ServiceShares {
    /// Demand at this box.
    pub own: BoxDemand,
    /// Updates of other boxes by name, with the time of their receipt.
    reports: HashMap<String, (BoxTime, ShareUpdate)>,
    /// When the level was last computed; `None` if it is outdated.
    computed_at: Option<BoxTime>,
    /// The level among the demands of the boxes heard from, if accounts are held back.
    level: Option<f64>,
    /// The last level with other boxes, divided by their number.
    box_level: Option<f64>,
}

/// What a box knows of a service's demand, for logs. Rates are in milliseconds of work per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareSummary {
    /// Level above which accounts are held back, among the boxes heard from; `None` for nobody.
    pub level: Option<f64>,
    /// Work begun by the boxes heard from.
    pub capacity: f64,
    /// Demand at the boxes heard from.
    pub demand: f64,
    /// Number of boxes heard from, including this one.
    pub boxes: usize,
}

impl ServiceShares {
    /// Applies the update of another box.
    pub fn merge(&mut self, name: &str, update: &ShareUpdate, now: BoxTime) {
        let is_kept = self.reports.contains_key(name) || self.reports.len() < REPORTS_LIMIT;
        if update.is_valid() && is_kept {
            self.reports.insert(name.to_owned(), (now, update.clone()));
            self.computed_at = None;
        }
    }

    /// Computes what each account gets, if that is outdated. `boxes` is the number of boxes in the
    /// fleet as far as this box knows.
    pub fn refresh(&mut self, boxes: usize, now: BoxTime) {
        let recent = |at: BoxTime| now.millis_since(at) < LEVEL_INTERVAL_MS;
        if !self.computed_at.is_some_and(recent) {
            self.compute(boxes, now);
        }
    }

    /// Holds nobody back any longer.
    pub fn release(&mut self, now: BoxTime) {
        self.reports.retain(|_, (at, _)| now.millis_since(*at) < SHARES_KEPT_MS);
        self.own.forget_idle(now);
        self.level = None;
        self.box_level = None;
        self.computed_at = None;
        self.own.rows.values_mut().for_each(|row| row.grant(1.0, now));
    }

    /// Whether an account is over its share by more than a part of what the share covers in
    /// `target_ms`.
    pub fn is_over(&self, account: u64, target_ms: u64, now: BoxTime) -> bool {
        let row = self.own.rows.get(&account).filter(|row| row.is_cut());
        row.is_some_and(|row| row.debt(now) > OVER_SHARE_PART * row.worth(target_ms, now))
    }

    /// Lets a request of `work` milliseconds through, or returns after how many milliseconds its
    /// account's share has room for it, at most `limit_ms`. The request's demand is recorded before.
    pub fn admit(
        &mut self,
        account: u64,
        work: f64,
        target_ms: u64,
        limit_ms: u64,
        now: BoxTime,
    ) -> Option<u64> {
        let row = self.own.rows.get_mut(&account)?;
        let worth = row.worth(target_ms, now);
        if row.is_cut() && row.debt(now) > worth {
            return Some(row.return_after_ms(work, worth, limit_ms, now));
        }
        row.let_through(work);
        None
    }

    /// Returns what is known of the demand.
    pub fn summary(&self, now: BoxTime) -> ShareSummary {
        let rate = |work: f64| work * 1_000.0 / DEMAND_WINDOW_MS;
        let rows = self.demand_rows(&self.named_demand(now));
        ShareSummary {
            level: self.level.map(rate),
            capacity: rate(self.capacity(now)),
            demand: rate(rows.iter().map(|row| row.work * row.accounts).sum()),
            boxes: 1 + self.reports.len(),
        }
    }

    fn compute(&mut self, boxes: usize, now: BoxTime) {
        self.computed_at = Some(now);
        self.reports.retain(|_, (at, _)| now.millis_since(*at) < SHARES_KEPT_MS);
        self.own.forget_idle(now);
        let named = self.named_demand(now);
        let rows = self.demand_rows(&named);
        let capacity = GRANTED_PART * self.capacity(now);
        let accounts: f64 = rows.iter().map(|row| row.accounts).sum();
        // One account alone takes nothing from others.
        let applies = accounts > 1.0 && self.knows_capacity(now);
        self.level = max_min_level(rows, capacity).filter(|_| applies);
        if !self.reports.is_empty() {
            self.box_level = self.level.map(|level| level / (1 + self.reports.len()) as f64);
        }
        let even_part = capacity / boxes.max(1 + self.reports.len()) as f64;
        let own_limit = self.own_level(even_part, now).filter(|_| applies);
        let isolation = self.isolation(now);
        for (account, row) in &mut self.own.rows {
            let demand = row.demand.sum(now);
            let fleet_demand = named.get(account).copied().unwrap_or(demand);
            let heard = self.level.map_or(1.0, |level| (level / fleet_demand).min(1.0));
            let alone = self.box_level.map_or(heard, |level| (level / demand).min(1.0));
            let bound = own_limit.map_or(1.0, |level| (level / demand).min(1.0));
            row.grant((heard + isolation * (alone - heard)).min(bound), now);
        }
    }

    /// Whether the work begun shows the capacity.
    fn knows_capacity(&self, now: BoxTime) -> bool {
        let long = |since: BoxTime| now.millis_since(since) >= BEGUN_EVIDENCE_MS;
        !self.reports.is_empty() || self.own.begun_since.is_some_and(long)
    }

    /// Returns how far this box is cut off from others, from 0 to 1 for one that hears nothing.
    fn isolation(&self, now: BoxTime) -> f64 {
        let ages = self.reports.values().map(|(at, _)| now.millis_since(*at));
        let silent_ms = ages.min().unwrap_or(SHARES_KEPT_MS).saturating_sub(GOSSIP_INTERVAL_MS);
        silent_ms as f64 / (SHARES_KEPT_MS - GOSSIP_INTERVAL_MS) as f64
    }

    /// Returns the level among the accounts at this box that bounds what it grants in total.
    fn own_level(&self, even_part: f64, now: BoxTime) -> Option<f64> {
        let single = |row: &AccountRow| DemandRow::single(row.demand.sum(now));
        let rows = self.own.rows.values().map(single).collect();
        max_min_level(rows, even_part.max(GROWTH_LIMIT * self.own.begun.sum(now)))
    }

    /// Returns the demand of all accounts that this box knows by name, at the boxes heard from.
    fn named_demand(&self, now: BoxTime) -> HashMap<u64, f64> {
        let own = self.own.rows.iter().map(|(account, row)| (*account, row.demand.sum(now)));
        let mut named: HashMap<u64, f64> = own.collect();
        for row in self.reports.values().flat_map(|(_, update)| &update.accounts) {
            *named.entry(row.account).or_default() += row.work;
        }
        named
    }

    /// Returns the demands at the boxes heard from. An account that several boxes do not name counts
    /// once for each of them: it seems lighter than it is, and is held back later.
    fn demand_rows(&self, named: &HashMap<u64, f64>) -> Vec<DemandRow> {
        let others = self.reports.values().filter(|(_, update)| update.other_accounts > 0);
        let others = others.map(|(_, update)| DemandRow {
            work: update.other_work / f64::from(update.other_accounts),
            accounts: f64::from(update.other_accounts),
        });
        named.values().copied().map(DemandRow::single).chain(others).collect()
    }

    /// Returns the work begun by the boxes heard from, in milliseconds.
    fn capacity(&self, now: BoxTime) -> f64 {
        let others: f64 = self.reports.values().map(|(_, update)| update.begun).sum();
        self.own.begun.sum(now) + others
    }
}
