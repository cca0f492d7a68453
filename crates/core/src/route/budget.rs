//! The fleet's retry budget: each box keeps to its own traffic's part, so the sum stays within.

use crate::time::BoxTime;

/// Part of the operator's ratio that boxes use: requests that callers repeat on their own, and boxes
/// whose window lies differently, take from the same budget.
pub const RATIO_USED: f64 = 0.6;

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

/// Further sends that this box may make to one service, as a bucket that fills with requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendBudget {
    tokens: f64,
    /// `None` before the first request: the bucket begins full.
    filled_at: Option<BoxTime>,
}

impl SendBudget {
    /// Notes a request; `boxes` share the slack.
    pub fn earn(&mut self, bounds: BudgetBounds, boxes: usize, now: BoxTime) {
        self.refill(bounds, boxes, now);
        let limit = self.limit(bounds, boxes);
        self.tokens = (self.tokens + bounds.ratio * RATIO_USED).min(limit);
    }

    /// Takes one further send, if there is one.
    pub fn spend(&mut self, bounds: BudgetBounds, boxes: usize, now: BoxTime) -> bool {
        self.refill(bounds, boxes, now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// The bucket holds this box's part of the slack, and at least two sends.
    fn limit(self, bounds: BudgetBounds, boxes: usize) -> f64 {
        (bounds.slack / 2.0 / boxes.max(1) as f64).max(2.0)
    }

    fn refill(&mut self, bounds: BudgetBounds, boxes: usize, now: BoxTime) {
        let limit = self.limit(bounds, boxes);
        let share = self
            .filled_at
            .map_or(1.0, |at| now.millis_since(at) as f64 / bounds.window_ms.max(1) as f64);
        self.tokens = (self.tokens + limit * share).min(limit);
        self.filled_at = Some(now);
    }
}
