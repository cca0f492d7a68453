//! Where a cascade starts: learned for each request class from ratings.
//!
//! For each class and model the box keeps decayed counts of answers that met the quality target.
//! Three plans are weighed by expected cost: a cheap rung as it is, where the lower bound of its
//! success meets the target; a cheap rung whose answer is rated before release, with escalation; and
//! the last rung. While too little is known the answer is rated, which is safe and teaches; while
//! ratings are down the last estimates serve, and without them the last rung.

use std::collections::HashMap;

use serde::Serialize;

use crate::reason::ReasonCode;

/// Counts are halved when they reach this, so that old ratings fade.
pub const DECAY_AT: f64 = 400.0;

/// Ratings of a class below which its estimate is not used.
pub const MIN_RATINGS: f64 = 20.0;

/// Standard errors between the mean and the lower bound.
pub const BOUND_ERRORS: f64 = 1.64;

/// Share of requests, in 1/256, that try the cheap rung with a gate although it does not pay now.
pub const EXPLORE_SHARE: u64 = 3;

/// Cost of rating one answer before release, as a share of the last rung's cost: its latency.
pub const GATE_PRICE: f64 = 0.02;

/// Ratings that must fail in a row before the service counts as down.
pub const RATING_DOWN_FAILURES: u32 = 3;

/// Decayed counts of one model on one request class.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct QualityCount {
    /// Answers that met the target.
    pub good: f64,
    /// Answers that did not.
    pub bad: f64,
}

impl QualityCount {
    fn total(self) -> f64 {
        self.good + self.bad
    }

    /// Share of good answers, one of each added.
    pub fn mean(self) -> f64 {
        (self.good + 1.0) / (self.total() + 2.0)
    }

    /// Lower bound of the share.
    pub fn lower(self) -> f64 {
        let mean = self.mean();
        mean - BOUND_ERRORS * (mean * (1.0 - mean) / (self.total() + 2.0)).sqrt()
    }

    fn add(&mut self, good: bool) {
        if self.total() >= DECAY_AT {
            self.good /= 2.0;
            self.bad /= 2.0;
        }
        if good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
    }
}

/// A rung as the plan sees it.
#[derive(Clone, Copy, Debug)]
pub struct RungView<'a> {
    /// Model.
    pub model: &'a str,
    /// Cost of an answer of usual length, in cost units.
    pub cost: f64,
}

/// Which rung answers first, and whether its answer is rated before release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CascadePlan {
    /// Index of the rung.
    pub rung: usize,
    /// Whether the answer is rated before release.
    pub gated: bool,
    /// Why.
    pub reason: ReasonCode,
}

/// What was learned.
#[derive(Debug, Default)]
pub struct QualityTable {
    counts: HashMap<(String, u8), QualityCount>,
    rating_failures: u32,
}

impl QualityTable {
    /// Adds a rating.
    pub fn add(&mut self, model: &str, class: u8, good: bool) {
        self.rating_failures = 0;
        match self.counts.get_mut(&(model.to_owned(), class)) {
            Some(count) => count.add(good),
            None => {
                let mut count = QualityCount::default();
                count.add(good);
                self.counts.insert((model.to_owned(), class), count);
            }
        }
    }

    /// Notes that a rating could not be had.
    pub fn rating_failed(&mut self) {
        self.rating_failures = self.rating_failures.saturating_add(1);
    }

    /// Whether the rating service counts as down.
    pub fn rating_down(&self) -> bool {
        self.rating_failures >= RATING_DOWN_FAILURES
    }

    /// Count of a model on a class.
    pub fn count(&self, model: &str, class: u8) -> QualityCount {
        // A lookup by owned key costs an allocation; the tables are small and the path is measured.
        self.counts.get(&(model.to_owned(), class)).copied().unwrap_or_default()
    }

    /// All counts, for the dump.
    pub fn rows(&self) -> Vec<(String, u8, QualityCount)> {
        let mut rows: Vec<_> =
            self.counts.iter().map(|((model, class), c)| (model.clone(), *class, *c)).collect();
        rows.sort_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        rows
    }

    /// Plans a request of `class`; `dice` decides on exploration.
    pub fn plan(&self, rungs: &[RungView<'_>], target: f64, class: u8, dice: u64) -> CascadePlan {
        let last = rungs.len().saturating_sub(1);
        let down = self.rating_down();
        let safe = CascadePlan { rung: last, gated: false, reason: ReasonCode::CascadeSafe };
        let mut best = CascadePlan { reason: ReasonCode::CascadeStrong, ..safe };
        let last_cost = rungs.get(last).map_or(0.0, |rung| rung.cost);
        let mut best_cost = last_cost;
        let mut known = false;
        for (index, rung) in rungs.iter().enumerate().take(last) {
            let count = self.count(rung.model, class);
            if count.total() < MIN_RATINGS {
                if !down {
                    return gated(index);
                }
                continue;
            }
            known = true;
            if count.lower() >= target && rung.cost < best_cost {
                best_cost = rung.cost;
                best = CascadePlan { rung: index, gated: false, reason: ReasonCode::CascadeCheap };
            }
            let escalated = rung.cost + (1.0 - count.mean() + GATE_PRICE) * last_cost;
            if !down && escalated < best_cost {
                best_cost = escalated;
                best = gated(index);
            }
        }
        if down && !known {
            return safe;
        }
        if best.rung == last && last > 0 && !down && dice % 256 < EXPLORE_SHARE {
            return gated(0);
        }
        best
    }
}

fn gated(rung: usize) -> CascadePlan {
    CascadePlan { rung, gated: true, reason: ReasonCode::CascadeGated }
}
