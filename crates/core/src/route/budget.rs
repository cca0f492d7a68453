//! The fleet's retry budget: each box keeps to its own traffic's part, so the sum stays within.
//!
//! The operator bounds further sends in every span of the window's length by a ratio of the requests in
//! it and a slack for the whole fleet. A box counts both in slots of a tenth of the window.

use crate::time::BoxTime;

/// Part of the operator's ratio that boxes use: the boundaries of their slots lie differently.
pub const RATIO_USED: f64 = 0.85;

/// Part of the operator's slack that boxes use.
pub const SLACK_USED: f64 = 0.5;

/// Part of the budget that is kept for requests that failed: asking a larger model may wait.
pub const KEPT_FOR_FAILURES: f64 = 0.25;

/// Further sends for silence alone, for each request: where replicas are slow because all of them are
/// busy, asking others as well makes it worse.
pub const SILENCE_RATIO: f64 = 0.05;

/// Slots of a window.
const SLOTS: u64 = 10;

/// Slots that are counted: one more, since the first and the last are not whole.
const COUNTED: usize = SLOTS as usize + 1;

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

/// Requests and further sends of this box to one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendBudget {
    slots: [BudgetSlot; COUNTED],
    /// Number of the newest slot, counted from the box's start.
    newest: u64,
}

impl SendBudget {
    /// Notes a request.
    pub fn earn(&mut self, bounds: BudgetBounds, now: BoxTime) {
        self.slot(bounds, now).requests += 1;
    }

    /// Takes one further send, if there is one; `boxes` share the slack.
    pub fn spend(
        &mut self,
        bounds: BudgetBounds,
        boxes: usize,
        cause: SendCause,
        now: BoxTime,
    ) -> bool {
        self.slot(bounds, now);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let sends: u32 = self.slots.iter().map(|slot| slot.sends).sum();
        let part = SLOTS as f64 / COUNTED as f64;
        let slack = bounds.slack * SLACK_USED / boxes.max(1) as f64;
        let limit = bounds.ratio * RATIO_USED * part * f64::from(requests) + slack;
        let silences: u32 = self.slots.iter().map(|slot| slot.silences).sum();
        let part = match cause {
            SendCause::Failure => 1.0,
            SendCause::Silence | SendCause::LargerModel => 1.0 - KEPT_FOR_FAILURES,
        };
        let silence_limit = (SILENCE_RATIO * f64::from(requests)).max(1.0);
        let patient = cause == SendCause::Silence && f64::from(silences) + 1.0 > silence_limit;
        let allowed = f64::from(sends) + 1.0 <= (limit * part).max(1.0) && !patient;
        let slot = self.slot(bounds, now);
        slot.sends += u32::from(allowed);
        slot.silences += u32::from(allowed && cause == SendCause::Silence);
        allowed
    }

    /// The slot of `now`; those that it follows by more than a window are emptied.
    fn slot(&mut self, bounds: BudgetBounds, now: BoxTime) -> &mut BudgetSlot {
        let current = now.as_millis() * SLOTS / bounds.window_ms.max(SLOTS);
        let passed = current.saturating_sub(self.newest).min(COUNTED as u64);
        for back in 0..passed {
            self.slots[((current - back) % COUNTED as u64) as usize] = BudgetSlot::default();
        }
        self.newest = self.newest.max(current);
        &mut self.slots[(self.newest % COUNTED as u64) as usize]
    }
}
