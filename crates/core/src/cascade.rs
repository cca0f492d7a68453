//! Model cascade: the choice of the first rung for each request class, from ratings of answers.
//!
//! The rungs of a cascade are its models, the cheapest first. The target of a cascade is a share of
//! all its answers. For each class and model the box keeps decayed counts of answers that met the
//! quality target, and uses the lower bound of their share. For each cascade it counts the requests
//! of each class. If the last rung alone would exceed the target, the excess is allocated to
//! cheaper rungs, first to the class and rung that save the most cost for the quality lost. The
//! last class to get a part of the excess uses its cheaper rung for a share of its requests only. A
//! price that follows the shortfall request by request is no alternative: it takes hundreds of
//! requests per box to converge (`docs/POLICY.md`).
//!
//! While a class has too few ratings, its cheap answers are rated before release and escalated if
//! they are bad, which is safe and yields ratings. That delays the caller until the answer is
//! complete, so it ends once the class has enough ratings. A small share of the requests then
//! explores the cheap rung, and these answers are rated after release. Boxes send their ratings to
//! each other. While the rating service is down, the last estimates are used, or the last rung if
//! there are none.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::reason::ReasonCode;
use crate::rollout::CLASS_COUNT;

/// Number of ratings at which the counts are halved, so that old ratings decay.
pub const DECAY_AT: f64 = 400.0;

/// Number of ratings of a class below which its estimate is not used.
pub const MIN_RATINGS: f64 = 20.0;

/// Standard errors between the mean and the lower bound. The target applies to all answers, so the
/// errors of single classes average out, and a wide bound would buy quality above the target.
pub const BOUND_STANDARD_ERRORS: f64 = 0.5;

/// Share of requests that explore the cheapest rung to collect ratings, in 1/256.
pub const EXPLORE_SHARE: u64 = 2;

/// Margin above the target that the plan aims for.
pub const TARGET_MARGIN: f64 = 0.005;

/// Number of requests of a cascade at which its class counts are halved.
pub const MIX_DECAY_AT: f64 = 2_000.0;

/// Quality assumed for a last rung with too few ratings.
const DEFAULT_LAST_QUALITY: f64 = 0.97;

/// Consecutive failed ratings after which the rating service counts as down.
pub const RATING_DOWN_FAILURES: u32 = 3;

/// Decayed counts of one model on one request class.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct QualityCount {
    /// Answers that met the quality target.
    pub good: f64,
    /// Answers that did not.
    pub bad: f64,
}

impl QualityCount {
    fn total(self) -> f64 {
        self.good + self.bad
    }

    /// Share of good answers, with one good and one bad answer added.
    pub fn mean(self) -> f64 {
        (self.good + 1.0) / (self.total() + 2.0)
    }

    /// Lower bound of the share of good answers.
    pub fn lower(self) -> f64 {
        let mean = self.mean();
        mean - BOUND_STANDARD_ERRORS * (mean * (1.0 - mean) / (self.total() + 2.0)).sqrt()
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

/// A rung with its cost.
#[derive(Clone, Copy, Debug)]
pub struct RungView<'a> {
    /// Model.
    pub model: &'a str,
    /// Cost of a typical answer, in a unit common to all rungs. A box uses the cost units per 1,000
    /// tokens.
    pub cost: f64,
}

/// The rung that answers first, and whether its answer is rated before release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CascadePlan {
    /// Index of the rung.
    pub rung: usize,
    /// Whether the answer is rated before release.
    pub gated: bool,
    /// Reason of the choice.
    pub reason: ReasonCode,
}

/// Ratings by model and class, and requests by cascade and class.
#[derive(Debug, Default)]
pub struct QualityTable {
    counts: HashMap<String, [QualityCount; CLASS_COUNT]>,
    /// Decayed numbers of requests by class, for each cascade.
    class_mixes: HashMap<String, [f64; CLASS_COUNT]>,
    /// Ratings of this box that were not yet sent to others.
    unshared: BTreeMap<(String, u8), QualityCount>,
    /// Consecutive failed ratings.
    rating_failures: u32,
}

impl QualityTable {
    /// Adds a rating.
    pub fn add(&mut self, model: &str, class: u8, good: bool) {
        self.rating_failures = 0;
        self.unshared.entry((model.to_owned(), class)).or_default().add(good);
        self.count_mut(model, class).add(good);
    }

    fn count_mut(&mut self, model: &str, class: u8) -> &mut QualityCount {
        let row = self.counts.entry(model.to_owned()).or_default();
        &mut row[usize::from(class).min(CLASS_COUNT - 1)]
    }

    /// Records that a rating failed.
    pub fn rating_failed(&mut self) {
        self.rating_failures = self.rating_failures.saturating_add(1);
    }

    /// Whether the rating service counts as down.
    pub fn rating_down(&self) -> bool {
        self.rating_failures >= RATING_DOWN_FAILURES
    }

    /// Returns the ratings of a model on a class.
    pub fn count(&self, model: &str, class: u8) -> QualityCount {
        let row = self.counts.get(model);
        row.map_or(QualityCount::default(), |row| row[usize::from(class).min(CLASS_COUNT - 1)])
    }

    /// Returns all counts as model, class and count, sorted.
    pub fn rows(&self) -> Vec<(String, u8, QualityCount)> {
        let classes = |(model, row): (&String, &[QualityCount; CLASS_COUNT])| {
            let model = model.clone();
            let rated_classes = row.iter().enumerate().filter(|(_, count)| count.total() > 0.0);
            let rows = rated_classes.map(|(class, count)| (model.clone(), class as u8, *count));
            rows.collect::<Vec<_>>()
        };
        let mut rows: Vec<_> = self.counts.iter().flat_map(classes).collect();
        rows.sort_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        rows
    }

    /// Removes and returns the ratings of this box that were not yet sent to others.
    pub fn drain_unshared(&mut self) -> BTreeMap<(String, u8), QualityCount> {
        std::mem::take(&mut self.unshared)
    }

    /// Adds ratings that another box sent.
    pub fn add_shared(&mut self, model: &str, class: u8, shared: QualityCount) {
        let count = self.count_mut(model, class);
        count.good += shared.good;
        count.bad += shared.bad;
        while count.total() > DECAY_AT {
            count.good /= 2.0;
            count.bad /= 2.0;
        }
    }

    /// Whether there are no ratings yet.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Plans a request of `class` for the cascade `name`. `random` selects the requests of a share.
    pub fn plan(
        &mut self,
        name: &str,
        rungs: &[RungView<'_>],
        target: f64,
        class: u8,
        random: u64,
    ) -> CascadePlan {
        let last = rungs.len().saturating_sub(1);
        let class = usize::from(class).min(CLASS_COUNT - 1);
        let mix = self.count_request(name, class);
        let strong = CascadePlan { rung: last, gated: false, reason: ReasonCode::CascadeStrong };
        if last == 0 {
            return strong;
        }
        if self.count(rungs[0].model, class as u8).total() < MIN_RATINGS {
            return match self.rating_down() {
                true => CascadePlan { reason: ReasonCode::CascadeSafe, ..strong },
                false => CascadePlan { rung: 0, gated: true, reason: ReasonCode::CascadeGated },
            };
        }
        if !self.rating_down() && random % 256 < EXPLORE_SHARE {
            return CascadePlan { rung: 0, gated: false, reason: ReasonCode::CascadeExplore };
        }
        let (rung, share) = self.allocate_excess(rungs, target, &mix, class);
        // Uses other bits than the choice to explore.
        let sample = (random >> 16) as f64 / (1u64 << 48) as f64;
        if rung < last && sample < share {
            return CascadePlan { rung, gated: false, reason: ReasonCode::CascadeCheap };
        }
        strong
    }

    /// Counts a request of the class, and returns the decayed counts of all classes.
    fn count_request(&mut self, name: &str, class: usize) -> [f64; CLASS_COUNT] {
        if !self.class_mixes.contains_key(name) {
            self.class_mixes.insert(name.to_owned(), [0.0; CLASS_COUNT]);
        }
        let Some(mix) = self.class_mixes.get_mut(name) else { return [0.0; CLASS_COUNT] };
        mix[class] += 1.0;
        if mix.iter().sum::<f64>() > MIX_DECAY_AT {
            mix.iter_mut().for_each(|count| *count /= 2.0);
        }
        *mix
    }

    /// Returns the cheaper rung for `class`, and the share of its requests that may use it within
    /// the target.
    fn allocate_excess(
        &self,
        rungs: &[RungView<'_>],
        target: f64,
        mix: &[f64; CLASS_COUNT],
        class: usize,
    ) -> (usize, f64) {
        let total: f64 = mix.iter().sum();
        let mut excess = -(target + TARGET_MARGIN) * total;
        let mut candidates = Vec::with_capacity(CLASS_COUNT);
        for (class, count) in mix.iter().enumerate().filter(|(_, count)| **count > 0.0) {
            let quality = self.last_quality(rungs, class);
            excess += quality * count;
            if let Some((rung, loss, saving)) = self.best_cheaper_rung(rungs, class, quality) {
                candidates.push((saving, class, rung, loss * count));
            }
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, candidate_class, rung, loss) in candidates {
            let share = if loss <= 0.0 { 1.0 } else { (excess / loss).clamp(0.0, 1.0) };
            if candidate_class == class {
                return (rung, share);
            }
            excess -= loss * share;
        }
        (rungs.len() - 1, 0.0)
    }

    /// Share of good answers of the last rung on a class.
    fn last_quality(&self, rungs: &[RungView<'_>], class: usize) -> f64 {
        let count = rungs.last().map(|rung| self.count(rung.model, class as u8));
        match count {
            Some(count) if count.total() >= MIN_RATINGS => count.mean(),
            _ => DEFAULT_LAST_QUALITY,
        }
    }

    /// Returns the cheaper rung that saves the most cost for the quality it loses, as rung, loss
    /// and saving per loss.
    fn best_cheaper_rung(
        &self,
        rungs: &[RungView<'_>],
        class: usize,
        last_quality: f64,
    ) -> Option<(usize, f64, f64)> {
        let last_cost = rungs.last()?.cost;
        let candidates =
            rungs.iter().enumerate().take(rungs.len() - 1).filter_map(|(index, rung)| {
                let count = self.count(rung.model, class as u8);
                if count.total() < MIN_RATINGS {
                    return None;
                }
                let loss = (last_quality - count.lower()).max(0.0);
                Some((index, loss, (last_cost - rung.cost) / loss.max(1e-6)))
            });
        candidates.max_by(|a, b| a.2.total_cmp(&b.2))
    }
}
