//! Usage by client account. Each box counts the requests that started to run in a window of the
//! wall clock; the leader collects the counts and reports each window once.
//!
//! A report is written to the store before it is sent, so that the next leader sends the same
//! report or none.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::time::WallTime;

/// Number of windows whose counts a box keeps. The leader collects counts at most some windows
/// late.
pub const WINDOWS_KEPT: usize = 8;

/// Minimum delay between the end of a window and the first request for its counts, in milliseconds.
/// The boxes' clocks differ, and a request that runs is counted only when its response begins to
/// arrive.
pub const COLLECTION_DELAY_MS: u64 = 1_000;

/// Delay before boxes that have not sent their counts are asked again, in milliseconds.
pub const USAGE_RETRY_MS: u64 = 600;

/// Settings of the usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct UsageBounds {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// A report is due this long after the end of its window, in milliseconds.
    pub late_ms: u64,
}

impl UsageBounds {
    /// The window that contains a time, counted from the start of 1970.
    pub fn window_at(&self, wall: WallTime) -> u64 {
        wall.0 / self.window_ms.max(1)
    }

    /// The end of a window, in Unix milliseconds.
    fn end_ms(&self, window: u64) -> u64 {
        (window + 1) * self.window_ms.max(1)
    }
}

/// Counts by client account.
pub type AccountCounts = BTreeMap<String, u64>;

/// The usage of one window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: u64,
    /// Requests that started to run in it.
    pub counts: AccountCounts,
}

/// The leader's request for a box's counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageRequest {
    /// The window.
    pub window: u64,
    /// Gossip address of the leader, which gets the response.
    pub gossip_address: String,
}

/// A box's counts of a window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageResponse {
    /// Gossip address of the box.
    pub gossip_address: String,
    /// The box's own counts.
    pub usage: UsageReport,
}

/// This box's own counts.
#[derive(Clone, Debug, Default)]
pub struct UsageCounts {
    windows: BTreeMap<u64, AccountCounts>,
}

impl UsageCounts {
    /// Counts a request that started to run.
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

    /// The counts of a window.
    pub fn of(&self, window: u64) -> AccountCounts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }
}

/// The leader's collection of one window's counts.
#[derive(Clone, Debug)]
pub struct UsageRound {
    report: UsageReport,
    /// Gossip addresses of the boxes whose counts are included.
    responded: BTreeSet<String>,
    /// When boxes were last asked, in Unix milliseconds.
    asked_at: Option<u64>,
}

/// The next step of a collection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundStep {
    /// Nothing is due yet.
    Wait,
    /// Ask the boxes at these gossip addresses for their counts.
    Request(Vec<String>),
    /// Report these counts: all boxes have answered, or the report is due.
    Report(UsageReport),
}

impl UsageRound {
    /// Starts a collection with this box's own counts.
    pub fn begin(window: u64, own: AccountCounts) -> Self {
        let report = UsageReport { window, counts: own };
        Self { report, responded: BTreeSet::new(), asked_at: None }
    }

    /// The window.
    pub fn window(&self) -> u64 {
        self.report.window
    }

    /// Adds another box's counts, unless they were added before.
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

    /// The step that is due now; `addresses` are the gossip addresses of the other boxes.
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
