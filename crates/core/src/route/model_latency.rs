//! How long engines take to read prompts, learnt from answers, and what a request is expected to cost them.
//!
//! The load pattern: models that differ in pace by ten times and prompts that differ in length by a
//! hundred run on the same replicas. What a token of each model takes is not told anywhere, so it is learnt:
//! a running median, which a wrong guess of what a replica holds or a full queue does not drag along. Where hundreds of
//! boxes see two requests a second each, one alone would need half a minute to know the pace of the largest model, and
//! ask it for whatever it is unsure of until then: so boxes tell each other what they have learnt.

use serde::Serialize;

/// Time to read a token before any answer came, in milliseconds. Any will do: some thirty answers later
/// it is forgotten.
const FIRST_TOKEN_MS: f64 = 0.03;

/// Time to begin an answer without its prompt, before any answer came, in milliseconds.
const FIRST_BEGIN_MS: f64 = 20.0;

/// Least step of a running median, as a part of it: it follows a change by a half within 14 answers.
const STEP: f64 = 0.05;

/// First step, as a part: the first answers find the order of magnitude.
const FIRST_STEP: f64 = 0.7;

/// Answers that take the step down by a half.
const STEP_ANSWERS: f64 = 3.0;

/// Part of the answers that begin sooner than the time to begin: it is that of the quickest.
const BEGIN_PART: f64 = 0.1;

/// Prompts with fewer tokens to be read say nothing of the time for a token.
const LEARN_TOKENS: f64 = 500.0;

/// Weight of one send in the mean work.
const MEAN_WEIGHT: f64 = 0.02;

/// Answers after which a pace is known: what more were seen adds nothing to its weight.
const KNOWN_ANSWERS: f64 = 30.0;

/// Weight of another box's word against what this one has learnt, where it has seen nothing to speak of: boxes hear some
/// words a second, and one that is far off is soon outweighed.
const HEARD_WEIGHT: f64 = 0.5;

/// Models of a service of which word is taken, at most: what a wrong note may cost in memory.
const MODELS_HEARD: usize = 64;

/// What a box tells of a quantile that it learnt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyEstimate {
    /// The time, in milliseconds.
    pub ms: f64,
    /// Answers behind it, up to those after which it is known.
    pub answers: f64,
}

/// What a box tells of the pace of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelLatency {
    /// Time to read a token.
    pub token: LatencyEstimate,
    /// Time to begin an answer without its prompt.
    pub begin: LatencyEstimate,
}

/// What a box tells of the latencies of a service's models.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LatencyUpdate {
    /// Service.
    pub service: String,
    /// By row among the route's models.
    pub models: Vec<ModelLatency>,
}

/// A running quantile, by steps towards each value.
#[derive(Clone, Copy, Debug, Serialize)]
struct RunningQuantile {
    value: f64,
    part: f64,
    seen: f64,
}

impl RunningQuantile {
    fn new(value: f64, part: f64) -> Self {
        Self { value, part, seen: 0.0 }
    }

    fn add(&mut self, sample: f64) {
        self.seen += 1.0;
        let step = STEP.max(FIRST_STEP / (1.0 + self.seen / STEP_ANSWERS));
        let step = if sample > self.value { step * self.part } else { step * (self.part - 1.0) };
        self.value *= (2.0 * step).exp();
    }

    fn told(&self) -> LatencyEstimate {
        LatencyEstimate { ms: self.value, answers: self.seen.min(KNOWN_ANSWERS) }
    }

    /// Comes nearer to what another box has learnt, by how much each of them has seen.
    fn merge(&mut self, other: LatencyEstimate) {
        let sound = other.ms.is_finite() && other.ms > 0.0 && other.answers.is_finite();
        if !sound || other.answers < 1.0 {
            return;
        }
        let answers = other.answers.min(KNOWN_ANSWERS);
        if self.seen == 0.0 {
            (self.value, self.seen) = (other.ms, answers);
            return;
        }
        let part = HEARD_WEIGHT * answers / (answers + self.seen.min(KNOWN_ANSWERS));
        self.value *= (other.ms / self.value).powf(part);
        self.seen = self.seen.max(answers);
    }
}

/// Pace of one model on a service's replicas.
#[derive(Clone, Copy, Debug, Serialize)]
struct ModelPace {
    token_ms: RunningQuantile,
    begin_ms: RunningQuantile,
}

impl Default for ModelPace {
    fn default() -> Self {
        Self {
            token_ms: RunningQuantile::new(FIRST_TOKEN_MS, 0.5),
            begin_ms: RunningQuantile::new(FIRST_BEGIN_MS, BEGIN_PART),
        }
    }
}

/// Paces of a service's models.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceLatency {
    /// By row among the route's models; the first also where callers name their own.
    models: Vec<ModelPace>,
    mean_ms: f64,
}

impl ServiceLatency {
    /// Time to read `tokens` with the model in row `size`, in milliseconds.
    pub fn read_ms(&self, size: usize, tokens: f64) -> f64 {
        self.model(size).token_ms.value * tokens
    }

    /// Time to begin an answer without its prompt, in milliseconds.
    pub fn begin_ms(&self, size: usize) -> f64 {
        self.model(size).begin_ms.value
    }

    /// Mean time that a request's prompt takes to be read, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// The pace of a model; one that was not asked yet is taken for no faster than the one before it.
    fn model(&self, size: usize) -> ModelPace {
        let known = self.models.get(size).filter(|pace| pace.begin_ms.seen > 0.0);
        let before = || self.models.iter().take(size).rfind(|pace| pace.begin_ms.seen > 0.0);
        known.or_else(before).copied().unwrap_or_default()
    }

    /// What is told to other boxes.
    pub fn told(&self) -> Vec<ModelLatency> {
        let told = |pace: &ModelPace| ModelLatency {
            token: pace.token_ms.told(),
            begin: pace.begin_ms.told(),
        };
        self.models.iter().map(told).collect()
    }

    /// Takes what another box has learnt of models that this one knows of.
    pub fn merge(&mut self, models: &[ModelLatency]) {
        let count = models.len().min(MODELS_HEARD);
        if self.models.len() < count {
            self.models.resize(count, ModelPace::default());
        }
        for (own, other) in self.models.iter_mut().zip(models) {
            own.token_ms.merge(other.token);
            own.begin_ms.merge(other.begin);
        }
    }

    /// Notes that a prompt that takes `work_ms` to read was sent.
    pub fn sent(&mut self, work_ms: f64) {
        self.mean_ms += (work_ms - self.mean_ms) * MEAN_WEIGHT;
    }

    /// Learns from an answer that nothing was waiting before: it began after `took_ms`, with `tokens` of
    /// its prompt to be read.
    pub fn learn(&mut self, size: usize, tokens: f64, took_ms: f64) {
        if self.models.len() <= size {
            self.models.resize(size + 1, ModelPace::default());
        }
        let pace = &mut self.models[size];
        pace.begin_ms.add(took_ms);
        if tokens >= LEARN_TOKENS {
            pace.token_ms.add((took_ms - pace.begin_ms.value).max(0.0) / tokens);
        }
    }
}
