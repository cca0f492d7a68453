//! Where a cascade starts: learned for each request class from ratings.
//!
//! A cascade's target is a share of all its answers. For each class and model the box keeps decayed
//! counts of answers that met the quality target, and uses their lower bound. Each cascade has
//! a *quality price*: the rung that costs least, after its expected quality is paid for, answers; the
//! price rises while the chosen rungs fall short of the target and falls while they exceed it. So the
//! cheap rung is spent on the classes where a unit of cost saves the most quality.
//!
//! While too little is known of a class its cheap answers are rated before release, with escalation,
//! which is safe and teaches. That waits for the whole answer, so known classes are not gated: only
//! a small share is, to keep learning. While ratings are down the last estimates serve, and without
//! them the last rung.

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

/// Quality above the target that the price aims at.
pub const TARGET_MARGIN: f64 = 0.01;

/// Change of the price for each answer, as a share of the last rung's cost and of the shortfall.
pub const PRICE_STEP: f64 = 0.25;

/// First price, and its bound, in costs of the last rung.
pub const PRICE_FIRST: f64 = 4.0;

/// Highest price, in costs of the last rung.
pub const PRICE_LIMIT: f64 = 20.0;

/// Quality assumed of a last rung that was hardly rated.
const LAST_QUALITY: f64 = 0.97;

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
    prices: HashMap<String, f64>,
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

    /// Plans a request of `class` for the cascade called `name`; `dice` decides on exploration.
    pub fn plan(
        &mut self,
        name: &str,
        rungs: &[RungView<'_>],
        target: f64,
        class: u8,
        dice: u64,
    ) -> CascadePlan {
        let last = rungs.len().saturating_sub(1);
        let down = self.rating_down();
        let last_cost = rungs.get(last).map_or(0.0, |rung| rung.cost);
        let last_count =
            rungs.get(last).map_or(QualityCount::default(), |rung| self.count(rung.model, class));
        let last_known = last_count.total() >= MIN_RATINGS;
        let last_quality = if last_known { last_count.mean() } else { LAST_QUALITY };
        let price = self.prices.get(name).copied().unwrap_or(PRICE_FIRST * last_cost);
        let mut best = CascadePlan { rung: last, gated: false, reason: ReasonCode::CascadeStrong };
        let (mut best_net, mut best_quality) = (last_cost - price * last_quality, last_quality);
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
            let quality = count.lower();
            let net = rung.cost - price * quality;
            if net < best_net {
                (best_net, best_quality) = (net, quality);
                best = CascadePlan { rung: index, gated: false, reason: ReasonCode::CascadeCheap };
            }
        }
        if down && !known && last > 0 {
            return CascadePlan { rung: last, gated: false, reason: ReasonCode::CascadeSafe };
        }
        let shortfall = target + TARGET_MARGIN - best_quality;
        let next = price + PRICE_STEP * last_cost * shortfall;
        self.prices.insert(name.to_owned(), next.clamp(0.0, PRICE_LIMIT * last_cost));
        if best.rung == last && last > 0 && !down && dice % 256 < EXPLORE_SHARE {
            return gated(0);
        }
        best
    }
}

fn gated(rung: usize) -> CascadePlan {
    CascadePlan { rung, gated: true, reason: ReasonCode::CascadeGated }
}
