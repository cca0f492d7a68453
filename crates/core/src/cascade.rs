//! Where a cascade starts: learned for each request class from ratings.
//!
//! A cascade's target is a share of all its answers. For each class and model the box keeps decayed
//! counts of answers that met the quality target, and uses their lower bound; for each cascade it
//! keeps how often each class comes. Where all classes on the last rung would exceed the target, the
//! excess is spent on cheaper rungs, first on the class and rung that save the most cost for the
//! quality they lose; the class at the margin gets its cheaper rung for a share of its requests.
//! (A price that followed the shortfall request by request was tried first: it took hundreds of
//! requests a box to settle, docs/POLICY.md.)
//!
//! While too little is known of a class its cheap answers are rated before release, with escalation,
//! which is safe and teaches. That waits for the whole answer, so known classes are not gated: a small
//! share tries the cheap rung and is rated after it left. Boxes share what they learn. While ratings
//! are down the last estimates serve, and without them the last rung.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::reason::ReasonCode;
use crate::rollout::CLASS_COUNT;

/// Counts are halved when they reach this, so that old ratings fade.
pub const DECAY_AT: f64 = 400.0;

/// Ratings of a class below which its estimate is not used.
pub const MIN_RATINGS: f64 = 20.0;

/// Standard errors between the mean and the lower bound: the target is over all answers, so errors
/// of single classes even out, and a wide bound pays for quality that nobody asked for.
pub const BOUND_STANDARD_ERRORS: f64 = 0.5;

/// Share of requests, in 1/256, that try the cheapest rung although it is not planned, to learn.
pub const EXPLORE_SHARE: u64 = 2;

/// Quality above the target that is aimed at.
pub const TARGET_MARGIN: f64 = 0.005;

/// Requests of a cascade after which its class counts are halved.
pub const MIX_DECAY_AT: f64 = 2_000.0;

/// Quality assumed of a last rung that was hardly rated.
const DEFAULT_LAST_QUALITY: f64 = 0.97;

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
    counts: HashMap<String, [QualityCount; CLASS_COUNT]>,
    class_mixes: HashMap<String, [f64; CLASS_COUNT]>,
    unshared: BTreeMap<(String, u8), QualityCount>,
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
        let row = self.counts.get(model);
        row.map_or(QualityCount::default(), |row| row[usize::from(class).min(CLASS_COUNT - 1)])
    }

    /// All counts, for the dump.
    pub fn rows(&self) -> Vec<(String, u8, QualityCount)> {
        let classes = |(model, row): (&String, &[QualityCount; CLASS_COUNT])| {
            let model = model.clone();
            let rated = row.iter().enumerate().filter(|(_, count)| count.total() > 0.0);
            let rows = rated.map(|(class, count)| (model.clone(), class as u8, *count));
            rows.collect::<Vec<_>>()
        };
        let mut rows: Vec<_> = self.counts.iter().flat_map(classes).collect();
        rows.sort_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        rows
    }

    /// Takes the ratings of this box that it has not yet shared with others.
    pub fn drain_unshared(&mut self) -> BTreeMap<(String, u8), QualityCount> {
        std::mem::take(&mut self.unshared)
    }

    /// Adds what another box learnt.
    pub fn add_shared(&mut self, model: &str, class: u8, shared: QualityCount) {
        let count = self.count_mut(model, class);
        count.good += shared.good;
        count.bad += shared.bad;
        while count.total() > DECAY_AT {
            count.good /= 2.0;
            count.bad /= 2.0;
        }
    }

    /// Whether nothing was learnt yet.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Plans a request of `class` for the cascade called `name`; `random` decides shares.
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
        // The low bits decided on exploration.
        let sample = (random >> 16) as f64 / (1u64 << 48) as f64;
        if rung < last && sample < share {
            return CascadePlan { rung, gated: false, reason: ReasonCode::CascadeCheap };
        }
        strong
    }

    /// Counts a request of the class; gives the decayed counts of all classes.
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

    /// The cheaper rung of `class`, and for which share of its requests the target lets it answer.
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

    fn last_quality(&self, rungs: &[RungView<'_>], class: usize) -> f64 {
        let count = rungs.last().map(|rung| self.count(rung.model, class as u8));
        match count {
            Some(count) if count.total() >= MIN_RATINGS => count.mean(),
            _ => DEFAULT_LAST_QUALITY,
        }
    }

    /// The cheaper rung that saves the most cost for the quality it loses: rung, loss, worth.
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
