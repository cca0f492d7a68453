//! Which of a route's models answers: the smallest that can be trusted with it.
//!
//! A model's own opinion of its answer, 0 to 100, comes with the head. Where it is low, the answer is
//! dropped before the caller has any of it, and a larger model is asked. Weighed in docs/POLICY.md
//! against always the largest and always the smallest.

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
