//! Which part of a service's replicas each of its models runs on, by the work that each model makes.

use crate::ids::ReplicaKey;

/// Replicas of a service from which on its models are kept apart: fewer leave a part without choice.
pub const PARTED_FROM: usize = 6;

/// Part of a service's replicas for its smallest model before anything is known of the work, from the
/// bench: 0.2 and 0.45 gave more late answers.
pub const FIRST_SHARE: f64 = 0.3;

/// Least and largest such part.
pub const SHARE_BOUNDS: (f64, f64) = (0.15, 0.6);

/// Weight of one answer in the work of the models.
const WORK_WEIGHT: f64 = 0.004;

/// Work that the models are taken to have made before anything is known, in milliseconds: one answer.
const FIRST_WORK_MS: f64 = 100.0;

/// The part of a service's replicas that a request's model runs on. A long prompt that a large model
/// reads holds up all that waits behind it, and a large model slows each step of its batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ModelPart {
    /// Any replica.
    Whole,
    /// This share of the replicas, the first of them by the hash of their ids.
    First(f64),
    /// What [`ModelPart::First`] with this share leaves.
    Rest(f64),
}

impl ModelPart {
    /// Its replicas, of `pool` in the order of the hashes of their ids.
    pub(super) fn of(self, pool: &[ReplicaKey]) -> &[ReplicaKey] {
        if pool.len() < PARTED_FROM {
            return pool;
        }
        let cut = |share: f64| (pool.len() as f64 * share).round() as usize;
        match self {
            ModelPart::Whole => pool,
            ModelPart::First(share) => &pool[..cut(share).clamp(1, pool.len())],
            ModelPart::Rest(share) => &pool[cut(share).min(pool.len() - 1)..],
        }
    }
}

/// How the time that replicas take to begin their answers is parted between the smallest model and the
/// larger ones: what one request adds to it is what those behind it wait for. A mean that fades.
#[derive(Clone, Copy, Debug)]
pub struct ModelWork {
    first_ms: f64,
    rest_ms: f64,
}

impl Default for ModelWork {
    fn default() -> Self {
        Self { first_ms: FIRST_WORK_MS * FIRST_SHARE, rest_ms: FIRST_WORK_MS * (1.0 - FIRST_SHARE) }
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
