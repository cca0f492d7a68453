//! Usage by client account: each box counts the requests whose run began in a window of the wall clock; the box that acts
//! for all collects the counts and reports each window once.
//!
//! What was reported stands in the store before it is sent, so that the next holder sends the same or nothing.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::time::WallTime;

/// Windows whose counts a box keeps: what is collected is at most some windows late.
pub const WINDOWS_KEPT: usize = 8;

/// Counts of a window are asked for this long after its end at the earliest, in milliseconds: boxes' clocks differ, and a
/// run that has begun is counted when its answer begins to arrive.
pub const COLLECTION_DELAY_MS: u64 = 1_000;

/// Boxes that have not told their counts are asked again after this, in milliseconds.
pub const USAGE_RETRY_MS: u64 = 600;

/// Bounds of the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct UsageBounds {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// A report is due this long after its window's end, in milliseconds.
    pub late_ms: u64,
}

impl UsageBounds {
    /// The window that a time lies in, counted from the start of 1970.
    pub fn window_at(&self, wall: WallTime) -> u64 {
        wall.0 / self.window_ms.max(1)
    }

    /// When a window ends, in Unix milliseconds.
    fn end_ms(&self, window: u64) -> u64 {
        (window + 1) * self.window_ms.max(1)
    }
}

/// Counts by client account.
pub type AccountCounts = BTreeMap<String, u64>;

/// The usage of a window, from all boxes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: u64,
    /// Requests whose run began in it.
    pub counts: AccountCounts,
}

/// A question for another box's counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageRequest {
    /// The window.
    pub window: u64,
    /// Where the answer goes.
    pub gossip_address: String,
}

/// A box's counts of a window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageResponse {
    /// Where the box hears notes.
    pub gossip_address: String,
    /// What it counted.
    pub usage: UsageReport,
}

/// This box's own counts.
#[derive(Clone, Debug, Default)]
pub struct UsageCounts {
    windows: BTreeMap<u64, AccountCounts>,
}

impl UsageCounts {
    /// Counts a request whose run began.
    pub fn add(&mut self, window: u64, account: &str) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(account) {
            Some(count) => *count += 1,
            None => {
                counts.insert(account.to_owned(), 1);
            }
        }
        while self.windows.len() > WINDOWS_KEPT {
            self.windows.pop_first();
        }
    }

    /// What was counted in a window.
    pub fn of(&self, window: u64) -> AccountCounts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }
}

/// The collection of one window's counts.
#[derive(Clone, Debug)]
pub struct UsageRound {
    report: UsageReport,
    /// Boxes whose counts are in it, by where they hear notes.
    responded: BTreeSet<String>,
    /// When boxes were last asked, in Unix milliseconds.
    asked_at: Option<u64>,
}

/// What a collection needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundStep {
    /// Nothing yet.
    Wait,
    /// The counts of boxes that hear notes there.
    Request(Vec<String>),
    /// It is complete, or it is time to report it as it is.
    Report(UsageReport),
}

impl UsageRound {
    /// A collection that begins with this box's own counts.
    pub fn begin(window: u64, own: AccountCounts) -> Self {
        let report = UsageReport { window, counts: own };
        Self { report, responded: BTreeSet::new(), asked_at: None }
    }

    /// The window.
    pub fn window(&self) -> u64 {
        self.report.window
    }

    /// Takes another box's counts, once.
    pub fn add_response(&mut self, response: &UsageResponse) {
        if response.usage.window != self.report.window
            || !self.responded.insert(response.gossip_address.clone())
        {
            return;
        }
        for (account, count) in &response.usage.counts {
            *self.report.counts.entry(account.clone()).or_default() += count;
        }
    }

    /// What is to be done now, where the other boxes hear notes at `boxes`.
    pub fn step(&mut self, bounds: UsageBounds, addresses: &[String], wall: WallTime) -> RoundStep {
        let end_ms = bounds.end_ms(self.report.window);
        if wall.0 < end_ms + COLLECTION_DELAY_MS {
            return RoundStep::Wait;
        }
        let missing: Vec<String> = addresses
            .iter()
            .filter(|address| !self.responded.contains(*address))
            .cloned()
            .collect();
        let is_overdue = wall.0 >= end_ms + bounds.late_ms / 2 && self.asked_at.is_some();
        if is_overdue || missing.is_empty() {
            return RoundStep::Report(self.report.clone());
        }
        if self.asked_at.is_some_and(|at| wall.0.abs_diff(at) < USAGE_RETRY_MS) {
            return RoundStep::Wait;
        }
        self.asked_at = Some(wall.0);
        RoundStep::Request(missing)
    }
}
