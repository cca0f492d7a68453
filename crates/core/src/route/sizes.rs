//! Which of a route's models answers: the smallest that can be trusted with it.
//!
//! A model's own opinion of its answer, 0 to 100, comes with the head. Where it is low, the answer is
//! dropped before the caller has any of it, and a larger model is asked. Weighed in docs/POLICY.md
//! against always the largest and always the smallest.

/// An answer whose model is less sure than this is asked of a larger one, 0 to 100. From the bench:
/// docs/POLICY.md.
pub const SURE_ENOUGH: u8 = 50;

/// The model to begin with.
pub fn first_size(sizes: &[String]) -> Option<usize> {
    (!sizes.is_empty()).then_some(0)
}

/// The model to go on with after `size` answered with `confidence`; `None` to keep the answer.
pub fn next_size(sizes: &[String], size: usize, confidence: Option<u8>) -> Option<usize> {
    let sure = confidence.is_none_or(|sure| sure >= SURE_ENOUGH);
    let last = sizes.len().checked_sub(1)?;
    (!sure && size < last).then_some(last)
}
