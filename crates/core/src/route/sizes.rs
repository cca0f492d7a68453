//! Which of a route's models answers: the smallest that can be trusted with it.
//!
//! A model's own opinion of its answer, 0 to 100, comes with the head. Where it is low, the answer is
//! dropped before the caller has any of it, and a larger model is asked. Weighed in docs/POLICY.md
//! against always the largest and always the smallest.

use super::pick::ModelPart;

/// An answer whose model is less sure than this is asked of a larger one while replicas are idle, 0 to
/// 100. From the bench: docs/POLICY.md.
pub const SURE_IDLE: f64 = 50.0;

/// The same where replicas are busy: a larger model takes time that others wait for.
pub const SURE_BUSY: f64 = 28.0;

/// Lag of a service up to which its replicas count as idle.
pub const IDLE_LAG: f64 = 0.09;

/// Lag from which they count as busy.
pub const BUSY_LAG: f64 = 0.19;

/// Weight of one answer in the lag.
const LAG_WEIGHT: f64 = 0.03;

/// How long a service's replicas take to begin their answers, as a share of the routes' targets: a
/// mean that fades. Unlike a load, a box learns it from its own requests alone, however many boxes and
/// replicas there are.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLag(f64);

impl ServiceLag {
    /// Adds an answer that began after `took_ms`.
    pub fn add(&mut self, took_ms: f64, target_ms: u64) {
        let share = (took_ms / target_ms.max(1) as f64).min(2.0);
        self.0 += (share - self.0) * LAG_WEIGHT;
    }

    /// How sure a model must be for its answer to be kept.
    pub fn sure_enough(self) -> f64 {
        let busy = ((self.0 - IDLE_LAG) / (BUSY_LAG - IDLE_LAG)).clamp(0.0, 1.0);
        SURE_IDLE + (SURE_BUSY - SURE_IDLE) * busy
    }
}

/// Part of a service's replicas for its smallest model before anything is known of the work, from the
/// bench: 0.2 and 0.45 gave more late answers.
pub const FIRST_SHARE: f64 = 0.3;

/// Least and largest such part.
pub const SHARE_BOUNDS: (f64, f64) = (0.15, 0.6);

/// Weight of one answer in the work of the models.
const WORK_WEIGHT: f64 = 0.004;

/// How the time that replicas take to begin their answers is parted between the smallest model and the
/// larger ones: what one request adds to it is what those behind it wait for. A mean that fades.
#[derive(Clone, Copy, Debug)]
pub struct ModelWork {
    first_ms: f64,
    rest_ms: f64,
}

impl Default for ModelWork {
    /// The parts before anything is known, as the work of answers of 100 ms.
    fn default() -> Self {
        Self { first_ms: 100.0 * FIRST_SHARE, rest_ms: 100.0 * (1.0 - FIRST_SHARE) }
    }
}

impl ModelWork {
    /// Adds an answer of the model in row `size` that began after `took_ms`.
    pub fn add(&mut self, size: usize, took_ms: f64) {
        let (first, rest) = if size == 0 { (took_ms, 0.0) } else { (0.0, took_ms) };
        self.first_ms += (first - self.first_ms) * WORK_WEIGHT;
        self.rest_ms += (rest - self.rest_ms) * WORK_WEIGHT;
    }

    /// The smallest model's part.
    pub fn first_share(self) -> f64 {
        let (least, most) = SHARE_BOUNDS;
        (self.first_ms / (self.first_ms + self.rest_ms)).clamp(least, most)
    }

    /// The part of the replicas for the model in row `size`.
    pub fn part(self, size: Option<usize>) -> ModelPart {
        match size {
            None => ModelPart::Whole,
            Some(0) => ModelPart::First(self.first_share()),
            Some(_) => ModelPart::Rest(self.first_share()),
        }
    }
}

/// The model to begin with.
pub fn first_size(sizes: &[String]) -> Option<usize> {
    (!sizes.is_empty()).then_some(0)
}

/// The model to go on with after `size` answered with `confidence`, `None` to keep the answer.
pub fn next_size(
    sizes: &[String],
    size: usize,
    confidence: Option<u8>,
    lag: ServiceLag,
) -> Option<usize> {
    let sure = confidence.is_none_or(|sure| f64::from(sure) >= lag.sure_enough());
    let last = sizes.len().checked_sub(1)?;
    (!sure && size < last).then_some(last)
}
