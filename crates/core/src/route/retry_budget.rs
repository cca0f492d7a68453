//! The fleet's retry budget: how many further sends the boxes make together.
//!
//! The operator bounds further sends in every span of the window's length by a ratio of the requests in
//! it and a slack for the whole fleet. A box counts both in slots of a tenth of the window, and tells the others
//! its counts with its notes. What its own traffic's part allows it may always send. Beyond that it goes on while
//! the boxes reports lately have together not spent theirs.
//!
//! Load pattern: hundreds of boxes with some twenty requests a window each, half of which want one more send. By
//! chance some want more than their part while others leave theirs. Where 100 boxes kept to their own parts, 5 of 100
//! wanted sends were denied, though the fleet's budget had room for all; now none is (virtual time).
//! The limits below are for the other pattern, where all boxes want more at once, as when every request fails: what
//! is reports lags behind, so it counts for [`REPORT_KEPT_MS`] alone, and each box stops at [`OWN_SHARE_LIMIT`] of its own part.

use std::collections::HashMap;

use crate::time::BoxTime;

/// Part of the operator's ratio that boxes use: the boundaries of their slots lie differently.
pub const RATIO_USED: f64 = 0.85;

/// Part of the operator's slack that boxes use.
pub const SLACK_USED: f64 = 0.5;

/// Part of the budget that is kept for requests that failed: asking a larger model may wait. Since boxes use what
/// others leave, a tenth does: with a quarter and a tenth 187 and 188 of some 18,600 requests failed (eight days).
pub const FAILURE_RESERVE: f64 = 0.1;

/// Further sends for silence alone, for each request: where replicas are slow because all of them are
/// busy, asking others as well makes it worse.
pub const SILENCE_RATIO: f64 = 0.05;

/// What another box told of its further sends counts for this long, in milliseconds: two notes, in which a box hears
/// some twenty others. A storm of failures that nobody has reports of yet goes on for as long: with 2,000 ms one that came
/// while nothing was spent went 10 sends beyond what the operator allows, of 2,000 (100 boxes, virtual time).
pub const REPORT_KEPT_MS: u64 = 1_000;

/// A box sends at most this many times its own part, however much the others have left: what a storm that nobody
/// has reports of yet may take.
pub const OWN_SHARE_LIMIT: f64 = 2.0;

/// Slots of a window.
const WINDOW_SLOTS: u64 = 10;

/// Slots that are counted: one more, since the first and the last are not whole.
const COUNTED_SLOTS: usize = WINDOW_SLOTS as usize + 1;

/// Bounds from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Further sends allowed for each request.
    pub ratio: f64,
    /// Further sends that the whole fleet may make beyond the ratio in a window.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl BudgetBounds {
    /// Further sends that boxes allow themselves for so many requests in the counted slots.
    fn limit(&self, requests: f64, slack: f64) -> f64 {
        let part = WINDOW_SLOTS as f64 / COUNTED_SLOTS as f64;
        self.ratio * RATIO_USED * part * requests + slack
    }
}

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendCause {
    /// An attempt failed.
    Failure,
    /// Nothing came for long.
    Silence,
    /// A larger model is asked.
    LargerModel,
}

/// Requests and further sends in one slot.
#[derive(Clone, Copy, Debug, Default)]
struct BudgetSlot {
    requests: u32,
    sends: u32,
    /// Those of the sends that were for silence.
    silences: u32,
}

/// Requests and further sends in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCount {
    /// Requests.
    pub requests: u32,
    /// Further sends.
    pub sends: u32,
}

/// Requests and further sends to one service: of this box, and of others as they told them.
#[derive(Clone, Debug, Default)]
pub struct SendBudget {
    slots: [BudgetSlot; COUNTED_SLOTS],
    /// Number of the newest slot, counted from the box's start.
    newest: u64,
    /// By the other box's name, with when it was reports.
    reports: HashMap<String, (BoxTime, SendCount)>,
}

impl SendBudget {
    /// Notes a request.
    pub fn earn(&mut self, bounds: BudgetBounds, now: BoxTime) {
        self.slot(bounds, now).requests += 1;
    }

    /// This box's counts, as it tells them.
    pub fn count(&mut self, bounds: BudgetBounds, now: BoxTime) -> SendCount {
        self.slot(bounds, now);
        let requests = self.slots.iter().map(|slot| slot.requests).sum();
        let sends = self.slots.iter().map(|slot| slot.sends).sum();
        SendCount { requests, sends }
    }

    /// Takes another box's counts.
    pub fn merge(&mut self, name: &str, count: SendCount, now: BoxTime) {
        self.reports.retain(|_, (at, _)| now.millis_since(*at) < REPORT_KEPT_MS);
        self.reports.insert(name.to_owned(), (now, count));
    }

    /// Takes one further send, if there is one; `boxes` share the slack.
    pub fn spend(
        &mut self,
        bounds: BudgetBounds,
        boxes: usize,
        cause: SendCause,
        now: BoxTime,
    ) -> bool {
        let own = self.count(bounds, now);
        let part = match cause {
            SendCause::Failure => 1.0,
            SendCause::Silence | SendCause::LargerModel => 1.0 - FAILURE_RESERVE,
        };
        let slack = bounds.slack * SLACK_USED / boxes.max(1) as f64;
        let limit = (part * bounds.limit(f64::from(own.requests), slack)).max(1.0);
        let next = f64::from(own.sends) + 1.0;
        let room = next <= limit
            || (next <= OWN_SHARE_LIMIT * limit
                && self.fleet_has_room(bounds, slack, part, own, now));
        let allowed =
            room && !(cause == SendCause::Silence && self.silence_exhausted(own.requests));
        let slot = self.slot(bounds, now);
        slot.sends += u32::from(allowed);
        slot.silences += u32::from(allowed && cause == SendCause::Silence);
        allowed
    }

    /// Whether this box and those reports lately have together not spent their parts of the budget.
    fn fleet_has_room(
        &mut self,
        bounds: BudgetBounds,
        slack: f64,
        part: f64,
        own: SendCount,
        now: BoxTime,
    ) -> bool {
        self.reports.retain(|_, (at, _)| now.millis_since(*at) < REPORT_KEPT_MS);
        let counts = || self.reports.values().map(|(_, count)| count).chain([&own]);
        let requests = counts().map(|count| f64::from(count.requests)).sum();
        let sends: f64 = counts().map(|count| f64::from(count.sends)).sum();
        let slack = slack * counts().count() as f64;
        sends + 1.0 <= part * bounds.limit(requests, slack)
    }

    /// Whether one more send for silence alone would be too many.
    fn silence_exhausted(&self, requests: u32) -> bool {
        let silences: u32 = self.slots.iter().map(|slot| slot.silences).sum();
        f64::from(silences) + 1.0 > (SILENCE_RATIO * f64::from(requests)).max(1.0)
    }

    /// The slot of `now`; those that it follows by more than a window are emptied.
    fn slot(&mut self, bounds: BudgetBounds, now: BoxTime) -> &mut BudgetSlot {
        let current = now.as_millis() * WINDOW_SLOTS / bounds.window_ms.max(WINDOW_SLOTS);
        let passed = current.saturating_sub(self.newest).min(COUNTED_SLOTS as u64);
        for back in 0..passed {
            self.slots[((current - back) % COUNTED_SLOTS as u64) as usize] = BudgetSlot::default();
        }
        self.newest = self.newest.max(current);
        &mut self.slots[(self.newest % COUNTED_SLOTS as u64) as usize]
    }
}
