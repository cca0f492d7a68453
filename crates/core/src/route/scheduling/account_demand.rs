//! Demand of client accounts for a service: what arrives at this box, and what boxes report of it.
//!
//! Load pattern: an account's load changes within a second, and each box sees a few requests a
//! second of it. Demand is therefore counted in work, as sums that decay within seconds, and added
//! up over the boxes that were heard from.

use std::collections::HashMap;

use serde::Serialize;

use crate::time::BoxTime;

/// Half-life of the sums of work, in milliseconds.
pub const DEMAND_HALF_LIFE_MS: f64 = 1_000.0;

/// Time whose work a decayed sum holds at a steady rate, in milliseconds.
pub const DEMAND_WINDOW_MS: f64 = DEMAND_HALF_LIFE_MS / std::f64::consts::LN_2;

/// Accounts that an update names, at most.
pub const NAMED_ACCOUNTS: usize = 8;

/// Accounts of a service that a box keeps, at most. Further ones are counted together, and are not
/// held back.
pub const KEPT_ACCOUNTS: usize = 1_024;

/// Half-life of an account's debt while it is not cut, in milliseconds. Contention pauses each time
/// that the queues fall below the target; what the account sent before is still in them, and would
/// otherwise be allowed again each time.
const RELEASED_HALF_LIFE_MS: f64 = 3_000.0;

/// Demand below which an account is forgotten, in milliseconds of work.
const NEGLIGIBLE_WORK: f64 = 0.01;

/// Upper bound of a reported sum of work, in milliseconds: larger ones are no measurements.
const REPORTED_WORK_LIMIT: f64 = 1e12;

/// Upper bound of the length of a service's name in an update, in bytes.
const SERVICE_NAME_LIMIT: usize = 256;

/// Demand of one account, as boxes gossip it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountDemand {
    /// Hash of the account's name; 0 for requests without an account.
    pub account: u64,
    /// Decayed sum of the work that it asked for, in milliseconds.
    pub work: f64,
}

/// Demand for a service in contention at one box, as boxes gossip it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareUpdate {
    /// Service.
    pub service: String,
    /// Time since a request last would have begun late at any box, in milliseconds.
    pub late_age_ms: u64,
    /// Decayed sum of the work that replicas began for the box, in milliseconds.
    pub begun: f64,
    /// The accounts with the largest demands, at most [`NAMED_ACCOUNTS`].
    pub accounts: Vec<AccountDemand>,
    /// Demand of all other accounts together, in milliseconds.
    pub other_work: f64,
    /// Number of the other accounts.
    pub other_accounts: u32,
}

impl ShareUpdate {
    /// Whether the update may be used: its sizes are within bounds, and its sums are measurements.
    pub fn is_valid(&self) -> bool {
        let sound = |work: f64| (0.0..=REPORTED_WORK_LIMIT).contains(&work);
        self.service.len() <= SERVICE_NAME_LIMIT
            && self.accounts.len() <= NAMED_ACCOUNTS
            && self.accounts.iter().all(|row| sound(row.work))
            && sound(self.begun)
            && sound(self.other_work)
    }
}

/// A sum of work that decays with [`DEMAND_HALF_LIFE_MS`].
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DecayedWork {
    sum: f64,
    at: BoxTime,
}

impl DecayedWork {
    /// Returns the sum at `now`, in milliseconds of work.
    pub fn sum(&self, now: BoxTime) -> f64 {
        let elapsed_ms = now.micros_since(self.at) as f64 / 1_000.0;
        self.sum * (-elapsed_ms / DEMAND_HALF_LIFE_MS).exp2()
    }

    /// Adds work.
    pub fn add(&mut self, work: f64, now: BoxTime) {
        self.sum = self.sum(now) + work;
        self.at = now.max(self.at);
    }
}

/// Demand of one account at this box, and how much of it is let through.
#[derive(Clone, Debug, Serialize)]
pub struct AccountRow {
    /// Name of the account; empty for requests without one.
    pub name: String,
    /// Work that it asked for.
    pub demand: DecayedWork,
    /// Share of its demand at this box that it gets, from 0 to 1.
    pub granted: f64,
    /// Work let through that its share has not covered yet, in milliseconds.
    debt: f64,
    /// When its share has covered the work of all callers that were told to return.
    returns_until: BoxTime,
}

impl AccountRow {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            demand: DecayedWork::default(),
            granted: 1.0,
            debt: 0.0,
            returns_until: BoxTime::default(),
        }
    }

    /// Returns its work that the share has not covered at `now`, in milliseconds. The share covers
    /// a part of each request of the account, at the rate at which the request decays in the sum.
    pub fn debt(&self, now: BoxTime) -> f64 {
        if !self.is_cut() {
            let elapsed_ms = now.millis_since(self.demand.at) as f64;
            return self.debt * (-elapsed_ms / RELEASED_HALF_LIFE_MS).exp2();
        }
        let covered = self.granted * (self.demand.sum - self.demand.sum(now));
        (self.debt - covered).max(0.0)
    }

    /// Returns the work that its share covers in `millis` milliseconds.
    pub fn worth(&self, millis: u64, now: BoxTime) -> f64 {
        self.granted * self.demand.sum(now) * millis as f64 / DEMAND_WINDOW_MS
    }

    /// Returns its demand, in milliseconds of work per second.
    pub fn demand_rate(&self, now: BoxTime) -> f64 {
        self.demand.sum(now) * 1_000.0 / DEMAND_WINDOW_MS
    }

    /// Whether it asks for more than its share.
    pub fn is_cut(&self) -> bool {
        self.granted < 1.0
    }

    /// Records that it asks for work.
    fn ask(&mut self, work: f64, now: BoxTime) {
        self.debt = self.debt(now);
        self.demand.add(work, now);
    }

    /// Records that work of it is let through.
    pub fn let_through(&mut self, work: f64) {
        if self.is_cut() {
            self.debt += work;
        }
    }

    /// Sets the share of its demand that it gets.
    pub fn grant(&mut self, granted: f64, now: BoxTime) {
        self.ask(0.0, now);
        self.granted = granted;
        if !self.is_cut() {
            self.returns_until = BoxTime::default();
        }
    }

    /// Returns when its share has room for `work` beyond `worth`, in milliseconds from now, if it
    /// goes on asking as it does. Callers that are told so in turn return in turn.
    pub fn return_after_ms(&mut self, work: f64, worth: f64, limit_ms: u64, now: BoxTime) -> u64 {
        let per_ms = self.worth(1, now);
        let after = |work: f64| if per_ms > 0.0 { (work / per_ms) as u64 } else { limit_ms };
        let room_ms = after(self.debt(now) - worth).max(self.returns_until.millis_since(now));
        let until_ms = room_ms.saturating_add(after(work)).min(limit_ms);
        self.returns_until = now.plus_millis(until_ms);
        room_ms.min(limit_ms)
    }
}

/// Demand for one service at this box.
#[derive(Clone, Debug, Default)]
pub struct BoxDemand {
    /// By hash of the account's name.
    pub rows: HashMap<u64, AccountRow>,
    /// Work of accounts beyond [`KEPT_ACCOUNTS`].
    unkept: DecayedWork,
    /// Work that replicas began.
    pub begun: DecayedWork,
    /// When replicas first began any.
    pub begun_since: Option<BoxTime>,
}

impl BoxDemand {
    /// Records that an account asks for work, in milliseconds.
    pub fn ask(&mut self, account: u64, name: &str, work: f64, now: BoxTime) {
        if !self.rows.contains_key(&account) && self.rows.len() >= KEPT_ACCOUNTS {
            return self.unkept.add(work, now);
        }
        self.rows.entry(account).or_insert_with(|| AccountRow::new(name)).ask(work, now);
    }

    /// Records that a replica began work, in milliseconds.
    pub fn begin(&mut self, work: f64, now: BoxTime) {
        self.begun_since.get_or_insert(now);
        self.begun.add(work, now);
    }

    /// Forgets accounts that ask for nothing any more.
    pub fn forget_idle(&mut self, now: BoxTime) {
        self.rows.retain(|_, row| row.demand.sum(now) >= NEGLIGIBLE_WORK);
    }

    /// Returns the accounts by demand, the largest first.
    pub fn heaviest(&self, now: BoxTime) -> Vec<AccountDemand> {
        let row = |(account, row): (&u64, &AccountRow)| AccountDemand {
            account: *account,
            work: row.demand.sum(now),
        };
        let mut demands: Vec<AccountDemand> = self.rows.iter().map(row).collect();
        demands.sort_by(|a, b| b.work.total_cmp(&a.work).then(a.account.cmp(&b.account)));
        demands
    }

    /// Returns the update for other boxes.
    pub fn update(&self, service: &str, late_age_ms: u64, now: BoxTime) -> ShareUpdate {
        let mut accounts = self.heaviest(now);
        let others = accounts.split_off(accounts.len().min(NAMED_ACCOUNTS));
        let other_work: f64 = others.iter().map(|row| row.work).sum();
        let unkept = self.unkept.sum(now);
        let has_unkept = unkept >= NEGLIGIBLE_WORK;
        ShareUpdate {
            service: service.to_owned(),
            late_age_ms,
            begun: self.begun.sum(now),
            accounts,
            other_work: other_work + unkept,
            other_accounts: others.len() as u32 + u32::from(has_unkept),
        }
    }
}
