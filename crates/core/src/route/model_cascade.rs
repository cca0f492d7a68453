//! Which of a route's models answers: the smallest that can be trusted with it, as far as time allows.
//!
//! A model's own confidence of its answer, 0 to 100, comes with the head. Where it is low, the answer is
//! dropped before the caller has any of it, and a larger model is asked.
//!
//! The load pattern: a large model takes ten times a small one's time, and while replicas are down or a
//! burst lasts, the second answers alone fill all of them. So what a larger model must be worth follows the
//! time after which its answer would begin, on the replica where that is soonest: with a quarter of the
//! target any unsure answer is asked again, and none that would be late for it. Where the largest is far off
//! a model between is asked instead, if it is expected to be score enough: how much surer each model is than
//! the smaller ones is learnt from the answers themselves.

use serde::Serialize;

/// A model that is less score than this is more likely wrong than right: the middle of the scale on which
/// models give their confidence.
pub const NEUTRAL_CONFIDENCE: f64 = 50.0;

/// Part of the target after which the largest model's answer may begin so that every unsure answer is
/// asked of it. On ten deployments drawn at random, payoff earned of that owed, means over five kinds of
/// trouble at half and full load: 0.925 and 0.879 at 0.12, 0.937 and 0.864 at 0.25, 0.945 and 0.811 at 0.5.
pub const ESCALATE_ALL_SHARE: f64 = 0.25;

/// How much surer a model is taken to be than a smaller one before it was asked.
const INITIAL_GAIN: f64 = 25.0;

/// Weight of one answer in a gain.
const GAIN_WEIGHT: f64 = 0.05;

/// How score an answer must be to be kept where the largest model's would begin after this part of the
/// target.
pub fn required_confidence(part: f64) -> f64 {
    NEUTRAL_CONFIDENCE * ((1.0 - part) / (1.0 - ESCALATE_ALL_SHARE)).clamp(0.0, 1.0)
}

/// The model to begin with.
pub fn first_size(sizes: &[String]) -> Option<usize> {
    (!sizes.is_empty()).then_some(0)
}

/// An confidence of the model in row `size` of its own answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelConfidence {
    /// Row among the route's models.
    pub size: usize,
    /// How score it is, 0 to 100.
    pub score: u8,
}

/// How much surer each model is than the smallest of its answers to the same requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ConfidenceGains(Vec<f64>);

impl ConfidenceGains {
    /// Learns from two opinions of answers to one request. Opinions at the ends of the scale are cut off
    /// there and say nothing of the distance.
    pub fn learn(&mut self, smaller: ModelConfidence, larger: ModelConfidence) {
        let cut = |confidence: ModelConfidence| confidence.score == 0 || confidence.score >= 100;
        if smaller.size >= larger.size || cut(smaller) || cut(larger) {
            return;
        }
        if self.0.len() <= larger.size {
            self.0.resize(larger.size + 1, INITIAL_GAIN);
        }
        let gain = &mut self.0[larger.size];
        *gain += (f64::from(larger.score) - f64::from(smaller.score) - *gain) * GAIN_WEIGHT;
    }

    /// How score the model in row `size` is expected to be, of 100, where a smaller one was `score`.
    pub fn expected(&self, size: usize, score: u8) -> f64 {
        f64::from(score) + self.0.get(size).copied().unwrap_or(INITIAL_GAIN)
    }
}

/// The model to go on with of `count`, `None` to keep the answer. `target_share` gives the part of the target
/// after which an answer of a model would begin.
pub fn next_size(
    count: usize,
    confidence: ModelConfidence,
    gains: &ConfidenceGains,
    target_share: impl Fn(usize) -> f64,
) -> Option<usize> {
    let last = count.checked_sub(1).filter(|last| confidence.size < *last)?;
    let score = f64::from(confidence.score);
    if score >= NEUTRAL_CONFIDENCE {
        return None;
    }
    let part = target_share(last);
    let does = |size: &usize| gains.expected(*size, confidence.score) >= NEUTRAL_CONFIDENCE;
    let between = (confidence.size + 1..last).find(does).filter(|_| part > ESCALATE_ALL_SHARE);
    let between = between.filter(|size| score < required_confidence(target_share(*size)));
    between.or_else(|| (score < required_confidence(part)).then_some(last))
}
