//! Latency of models: how long engines take to read prompts, learned from answers, and the expected
//! work of a request.
//!
//! Load pattern: models whose latency differs tenfold and prompts whose length differs a
//! hundredfold run on the same replicas. No replica reports the time that a model takes per token,
//! so it is learned as a running median, which wrong guesses about cached prefixes or full queues
//! hardly move. Where hundreds of boxes handle two requests a second each, a single box would need
//! half a minute to learn the latency of the largest model, and would escalate every unsure answer
//! to it until then. Boxes therefore gossip their estimates.

use serde::Serialize;

/// Initial time to read a token, in milliseconds. Any value serves: after some thirty answers it
/// has no effect.
const INITIAL_TOKEN_MS: f64 = 0.03;

/// Initial time to begin an answer to an empty prompt, in milliseconds.
const INITIAL_BEGIN_MS: f64 = 20.0;

/// Smallest step of a running quantile, relative to its value. It follows a change by half within
/// 14 answers.
const MIN_STEP: f64 = 0.05;

/// First step, relative to the value. The first answers find the order of magnitude.
const INITIAL_STEP: f64 = 0.7;

/// Answers that halve the step.
const STEP_HALVING_ANSWERS: f64 = 3.0;

/// Quantile of the time to first token that counts as the time to begin: that of the fastest
/// answers.
const BEGIN_QUANTILE: f64 = 0.1;

/// Minimum number of tokens of a prompt from which the time per token is learned. Shorter ones
/// carry no information on it.
const MIN_LEARN_TOKENS: f64 = 500.0;

/// Weight of one request in the mean work.
const MEAN_WEIGHT: f64 = 0.02;

/// Answers after which an estimate has its full weight.
const FULL_WEIGHT_ANSWERS: f64 = 30.0;

/// Weight of another box's estimate against an established one of this box. Boxes receive a few a
/// second, so a wrong one is soon outweighed.
const REMOTE_WEIGHT: f64 = 0.5;

/// Models of a service accepted from another box, at most. It bounds the memory that an invalid
/// message can use.
const REMOTE_MODEL_LIMIT: usize = 64;

/// A quantile that a box has learned, as boxes gossip it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyEstimate {
    /// The time, in milliseconds.
    pub ms: f64,
    /// Answers behind it, up to the number for full weight.
    pub answers: f64,
}

/// Latency of one model, as boxes gossip it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelLatency {
    /// Time to read a token.
    pub token: LatencyEstimate,
    /// Time to begin an answer without its prompt.
    pub begin: LatencyEstimate,
}

/// Latencies of a service's models, as boxes gossip them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LatencyUpdate {
    /// Service.
    pub service: String,
    /// By row among the route's models.
    pub models: Vec<ModelLatency>,
}

/// A running quantile that steps towards each sample.
#[derive(Clone, Copy, Debug, Serialize)]
struct RunningQuantile {
    value: f64,
    #[serde(rename = "part")]
    quantile: f64,
    seen: f64,
}

impl RunningQuantile {
    fn new(value: f64, quantile: f64) -> Self {
        Self { value, quantile, seen: 0.0 }
    }

    /// Steps towards a sample.
    fn add(&mut self, sample: f64) {
        self.seen += 1.0;
        let step = MIN_STEP.max(INITIAL_STEP / (1.0 + self.seen / STEP_HALVING_ANSWERS));
        let step =
            if sample > self.value { step * self.quantile } else { step * (self.quantile - 1.0) };
        self.value *= (2.0 * step).exp();
    }

    /// Returns the estimate to gossip.
    fn estimate(&self) -> LatencyEstimate {
        LatencyEstimate { ms: self.value, answers: self.seen.min(FULL_WEIGHT_ANSWERS) }
    }

    /// Moves towards the estimate of another box, by how many answers each has seen.
    fn merge(&mut self, other: LatencyEstimate) {
        let sound = other.ms.is_finite() && other.ms > 0.0 && other.answers.is_finite();
        if !sound || other.answers < 1.0 {
            return;
        }
        let answers = other.answers.min(FULL_WEIGHT_ANSWERS);
        if self.seen == 0.0 {
            (self.value, self.seen) = (other.ms, answers);
            return;
        }
        let weight = REMOTE_WEIGHT * answers / (answers + self.seen.min(FULL_WEIGHT_ANSWERS));
        self.value *= (other.ms / self.value).powf(weight);
        self.seen = self.seen.max(answers);
    }
}

/// Latency estimates of one model on a service's replicas.
#[derive(Clone, Copy, Debug, Serialize)]
struct ModelEstimates {
    token_ms: RunningQuantile,
    begin_ms: RunningQuantile,
}

impl Default for ModelEstimates {
    fn default() -> Self {
        Self {
            token_ms: RunningQuantile::new(INITIAL_TOKEN_MS, 0.5),
            begin_ms: RunningQuantile::new(INITIAL_BEGIN_MS, BEGIN_QUANTILE),
        }
    }
}

/// Latency estimates of a service's models.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceLatency {
    /// By row among the route's models. The first row also serves callers that name a model.
    models: Vec<ModelEstimates>,
    mean_ms: f64,
}

impl ServiceLatency {
    /// Returns the time to read `tokens` with the model in row `size`, in milliseconds.
    pub fn read_ms(&self, size: usize, tokens: f64) -> f64 {
        self.model(size).token_ms.value * tokens
    }

    /// Returns the time to begin an answer to an empty prompt, in milliseconds.
    pub fn begin_ms(&self, size: usize) -> f64 {
        self.model(size).begin_ms.value
    }

    /// Returns the mean time to read a request's prompt, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns the estimates of a model. One without answers is assumed to be no faster than the
    /// next smaller one with answers.
    fn model(&self, size: usize) -> ModelEstimates {
        let known = self.models.get(size).filter(|latency| latency.begin_ms.seen > 0.0);
        let before = || self.models.iter().take(size).rfind(|latency| latency.begin_ms.seen > 0.0);
        known.or_else(before).copied().unwrap_or_default()
    }

    /// Returns the estimates of all models, for gossip.
    pub fn estimates(&self) -> Vec<ModelLatency> {
        let estimates = |latency: &ModelEstimates| ModelLatency {
            token: latency.token_ms.estimate(),
            begin: latency.begin_ms.estimate(),
        };
        self.models.iter().map(estimates).collect()
    }

    /// Merges the estimates of another box.
    pub fn merge(&mut self, models: &[ModelLatency]) {
        let count = models.len().min(REMOTE_MODEL_LIMIT);
        if self.models.len() < count {
            self.models.resize(count, ModelEstimates::default());
        }
        for (own, other) in self.models.iter_mut().zip(models) {
            own.token_ms.merge(other.token);
            own.begin_ms.merge(other.begin);
        }
    }

    /// Records a request whose prompt takes `work_ms` to read.
    pub fn sent(&mut self, work_ms: f64) {
        self.mean_ms += (work_ms - self.mean_ms) * MEAN_WEIGHT;
    }

    /// Learns from an answer with no queue before it, which began after `took_ms` and had `tokens`
    /// of its prompt to read.
    pub fn learn(&mut self, size: usize, tokens: f64, took_ms: f64) {
        if self.models.len() <= size {
            self.models.resize(size + 1, ModelEstimates::default());
        }
        let latency = &mut self.models[size];
        latency.begin_ms.add(took_ms);
        if tokens >= MIN_LEARN_TOKENS {
            latency.token_ms.add((took_ms - latency.begin_ms.value).max(0.0) / tokens);
        }
    }
}
