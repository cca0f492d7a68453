//! Model cascade: which of a route's models answers. It is the smallest one with enough confidence,
//! as far as time allows.
//!
//! A model's confidence in its own answer, 0 to 100, comes with the response head. If it is low,
//! the answer is dropped before the caller receives any of it, and a larger model is asked.
//!
//! Load pattern: a large model takes ten times as long as a small one, and while replicas are down
//! or a burst lasts, the second answers alone fill all replicas. The required confidence therefore
//! depends on when the larger model's answer would begin, on the replica where that is soonest. Up
//! to a quarter of the latency target every unsure answer is escalated, and none if the new answer
//! would miss the target. If the largest model would be slow, a middle one is asked instead if its
//! expected confidence suffices. How much more confident each model is than the smaller ones is
//! learned from the answers.

use serde::Serialize;

/// Confidence below which an answer is more likely wrong than right: the middle of the scale.
pub const NEUTRAL_CONFIDENCE: f64 = 50.0;

/// Share of the target up to which the largest model's answer may begin for every unsure answer to
/// be escalated. Payoff earned as a share of that owed, as means over ten random deployments and
/// five kinds of failure, at half and full load: 0.925 and 0.879 with a share of 0.12, 0.937 and
/// 0.864 with 0.25, 0.945 and 0.811 with 0.5.
pub const ESCALATE_ALL_SHARE: f64 = 0.25;

/// Confidence gain assumed for a larger model before its first answer.
const INITIAL_GAIN: f64 = 25.0;

/// Weight of one answer in a gain.
const GAIN_WEIGHT: f64 = 0.05;

/// Returns the confidence with which an answer is kept, if the largest model's answer would begin
/// after this share of the target.
pub fn required_confidence(share: f64) -> f64 {
    NEUTRAL_CONFIDENCE * ((1.0 - share) / (1.0 - ESCALATE_ALL_SHARE)).clamp(0.0, 1.0)
}

/// Returns the model to begin with.
pub fn first_size(sizes: &[String]) -> Option<usize> {
    (!sizes.is_empty()).then_some(0)
}

/// Confidence of the model in row `size` in its own answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelConfidence {
    /// Row among the route's models.
    pub size: usize,
    /// The confidence, 0 to 100.
    pub score: u8,
}

/// How much more confident each model is than smaller ones in answers to the same requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ConfidenceGains(Vec<f64>);

impl ConfidenceGains {
    /// Learns from the confidences of two answers to one request. Values at the ends of the scale
    /// are clipped there and say nothing about the distance.
    pub fn learn(&mut self, smaller: ModelConfidence, larger: ModelConfidence) {
        let clipped =
            |confidence: ModelConfidence| confidence.score == 0 || confidence.score >= 100;
        if smaller.size >= larger.size || clipped(smaller) || clipped(larger) {
            return;
        }
        if self.0.len() <= larger.size {
            self.0.resize(larger.size + 1, INITIAL_GAIN);
        }
        let gain = &mut self.0[larger.size];
        *gain += (f64::from(larger.score) - f64::from(smaller.score) - *gain) * GAIN_WEIGHT;
    }

    /// Returns the expected confidence, of 100, of the model in row `size` where a smaller one had
    /// `score`.
    pub fn expected(&self, size: usize, score: u8) -> f64 {
        f64::from(score) + self.0.get(size).copied().unwrap_or(INITIAL_GAIN)
    }
}

/// Returns the model to continue with, of `count`, or `None` to keep the answer. `target_share`
/// returns the share of the target after which an answer of a model would begin.
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
    let share = target_share(last);
    let suffices = |size: &usize| gains.expected(*size, confidence.score) >= NEUTRAL_CONFIDENCE;
    let between = (confidence.size + 1..last).find(suffices).filter(|_| share > ESCALATE_ALL_SHARE);
    let between = between.filter(|size| score < required_confidence(target_share(*size)));
    between.or_else(|| (score < required_confidence(share)).then_some(last))
}
