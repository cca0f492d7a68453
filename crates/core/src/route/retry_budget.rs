//! The fleet's retry budget: how many extra attempts the boxes make together.
//!
//! In every window the operator allows extra attempts up to a ratio of the requests in it plus a
//! slack for the whole fleet. A box counts both in slots of a tenth of the window and gossips its
//! counts. It may always use the share that its own traffic earns. Beyond that it continues while
//! the boxes with recent reports have together not spent their shares.
//!
//! Load pattern: hundreds of boxes with some twenty requests a window each, half of which need one
//! extra attempt. By chance some boxes need more than their share while others use less. Boxes that
//! kept to their own shares would deny attempts for which the fleet's budget has room. The limits
//! below are for the other pattern, where all boxes need more at once, as when every request fails.
//! Since reports lag behind, they count for [`REPORT_KEPT_MS`] only, and each box stops at
//! [`OWN_SHARE_LIMIT`] times its own share.

use std::collections::HashMap;

use crate::time::BoxTime;

/// Share of the operator's ratio that boxes use, since the boundaries of their slots differ.
pub const RATIO_USED: f64 = 0.85;

/// Share of the operator's slack that boxes use.
pub const SLACK_USED: f64 = 0.5;

/// Share of the budget reserved for failed requests: an escalation to a larger model may wait.
/// Since boxes use what others leave, a tenth suffices.
pub const FAILURE_RESERVE: f64 = 0.1;

/// Extra attempts for stalls, for each request. Where replicas are slow because all are busy,
/// further attempts add to their load.
pub const STALL_RATIO: f64 = 0.05;

/// How long another box's counts are used, in milliseconds: two gossip messages, in which a box
/// receives from some twenty others. A failure storm that no report shows yet continues for as
/// long.
pub const REPORT_KEPT_MS: u64 = 1_000;

/// Extra attempts of a box, at most, as a multiple of its own share, however much others have left.
/// It bounds a failure storm that no report shows yet.
pub const OWN_SHARE_LIMIT: f64 = 2.0;

/// Slots of a window.
const WINDOW_SLOTS: u64 = 10;

/// Slots counted: one more, since the first and the last are incomplete.
const COUNTED_SLOTS: usize = WINDOW_SLOTS as usize + 1;

/// Bounds from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Extra attempts allowed for each request.
    pub ratio: f64,
    /// Extra attempts allowed to the whole fleet beyond the ratio in a window.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl BudgetBounds {
    /// Returns the extra attempts that boxes allow themselves for this many requests in the counted
    /// slots.
    fn limit(&self, requests: f64, slack: f64) -> f64 {
        let share = WINDOW_SLOTS as f64 / COUNTED_SLOTS as f64;
        self.ratio * RATIO_USED * share * requests + slack
    }
}

/// Why a request gets an extra attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendCause {
    /// An attempt failed.
    Failure,
    /// An attempt stalled.
    Stall,
    /// A larger model is asked.
    LargerModel,
    /// The path to the replica is lost.
    PathLost,
}

/// Requests and extra attempts in one slot.
#[derive(Clone, Copy, Debug, Default)]
struct BudgetSlot {
    requests: u32,
    sends: u32,
    /// Extra attempts for stalls.
    stalls: u32,
}

/// Requests and extra attempts in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCount {
    /// Requests.
    pub requests: u32,
    /// Extra attempts.
    pub sends: u32,
}

/// Requests and extra attempts to one service, of this box and as reported by others.
#[derive(Clone, Debug, Default)]
pub struct SendBudget {
    slots: [BudgetSlot; COUNTED_SLOTS],
    /// Number of the newest slot, counted from the box's start.
    newest: u64,
    /// Counts of other boxes by name, with the time of their receipt.
    reports: HashMap<String, (BoxTime, SendCount)>,
}

impl SendBudget {
    /// Records a request.
    pub fn earn(&mut self, bounds: BudgetBounds, now: BoxTime) {
        self.slot(bounds, now).requests += 1;
    }

    /// Takes back one recorded request, which another box counts.
    pub fn give_back(&mut self, bounds: BudgetBounds, now: BoxTime) {
        let slot = self.slot(bounds, now);
        slot.requests = slot.requests.saturating_sub(1);
    }

    /// Returns this box's counts, for gossip.
    pub fn count(&mut self, bounds: BudgetBounds, now: BoxTime) -> SendCount {
        self.slot(bounds, now);
        let requests = self.slots.iter().map(|slot| slot.requests).sum();
        let sends = self.slots.iter().map(|slot| slot.sends).sum();
        SendCount { requests, sends }
    }

    /// Merges the counts of another box.
    pub fn merge(&mut self, name: &str, count: SendCount, now: BoxTime) {
        self.reports.retain(|_, (at, _)| now.millis_since(*at) < REPORT_KEPT_MS);
        self.reports.insert(name.to_owned(), (now, count));
    }

    /// Spends one extra attempt if the budget allows it. The slack is shared by `boxes`.
    pub fn spend(
        &mut self,
        bounds: BudgetBounds,
        boxes: usize,
        cause: SendCause,
        now: BoxTime,
    ) -> bool {
        let own = self.count(bounds, now);
        let share = match cause {
            SendCause::Failure | SendCause::PathLost => 1.0,
            SendCause::Stall | SendCause::LargerModel => 1.0 - FAILURE_RESERVE,
        };
        let slack = bounds.slack * SLACK_USED / boxes.max(1) as f64;
        let limit = (share * bounds.limit(f64::from(own.requests), slack)).max(1.0);
        let next = f64::from(own.sends) + 1.0;
        let room = next <= limit
            || (next <= OWN_SHARE_LIMIT * limit
                && self.fleet_has_room(bounds, slack, share, own, now));
        let allowed = room && !(cause == SendCause::Stall && self.stalls_exhausted(own.requests));
        let slot = self.slot(bounds, now);
        slot.sends += u32::from(allowed);
        slot.stalls += u32::from(allowed && cause == SendCause::Stall);
        allowed
    }

    /// Returns whether this box and those with recent reports have together not spent their shares.
    fn fleet_has_room(
        &mut self,
        bounds: BudgetBounds,
        slack: f64,
        share: f64,
        own: SendCount,
        now: BoxTime,
    ) -> bool {
        self.reports.retain(|_, (at, _)| now.millis_since(*at) < REPORT_KEPT_MS);
        let counts = || self.reports.values().map(|(_, count)| count).chain([&own]);
        let requests = counts().map(|count| f64::from(count.requests)).sum();
        let sends: f64 = counts().map(|count| f64::from(count.sends)).sum();
        let slack = slack * counts().count() as f64;
        sends + 1.0 <= share * bounds.limit(requests, slack)
    }

    /// Returns whether another extra attempt for a stall would exceed [`STALL_RATIO`].
    fn stalls_exhausted(&self, requests: u32) -> bool {
        let stalls: u32 = self.slots.iter().map(|slot| slot.stalls).sum();
        f64::from(stalls) + 1.0 > (STALL_RATIO * f64::from(requests)).max(1.0)
    }

    /// Returns the slot of `now`, and clears those that are older than a window.
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
