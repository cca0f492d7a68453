//! A small model of an engine: a bounded batch, prefill and decode rates, a prefix cache.
//!
//! When a request enters the batch its times follow from the batch's load then; a freeze moves what
//! falls behind its start. No network is modelled.

use std::collections::VecDeque;

/// Kind of engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineKind {
    /// Requests that the batch takes.
    pub slots: u32,
    /// Prompt tokens a second.
    pub prefill_rate: f64,
    /// Microseconds between tokens of an idle engine.
    pub token_us: f64,
    /// Prefixes that the cache holds.
    pub prefixes: usize,
}

/// The cheap model's engine.
pub const SMALL: EngineKind =
    EngineKind { slots: 16, prefill_rate: 8_000.0, token_us: 15_000.0, prefixes: 24 };

/// The strong model's engine.
pub const LARGE: EngineKind =
    EngineKind { slots: 8, prefill_rate: 3_000.0, token_us: 26_000.0, prefixes: 12 };

/// Work for an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineJob {
    /// Number of the job.
    pub id: usize,
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Tokens in the answer.
    pub tokens: u32,
    /// Prefix of the prompt.
    pub prefix: u64,
}

/// When a job's first and last token come, and the time between tokens.
#[derive(Clone, Copy, Debug)]
pub struct JobTimes {
    /// Number of the job.
    pub id: usize,
    /// First token, in microseconds.
    pub first_us: u64,
    /// Last token, in microseconds.
    pub done_us: u64,
    /// Time between tokens, in microseconds.
    pub token_us: f64,
    /// Whether the prefix was cached.
    pub hit: bool,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// Its kind.
    pub kind: EngineKind,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting.
    pub waiting: VecDeque<EngineJob>,
    /// A time during which it does nothing, in microseconds.
    pub frozen: (u64, u64),
    /// Whether it is gone.
    pub gone: bool,
    cache: VecDeque<u64>,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(kind: EngineKind) -> Self {
        let (waiting, cache) = (VecDeque::new(), VecDeque::new());
        Self { kind, running: 0, waiting, frozen: (0, 0), gone: false, cache }
    }

    /// Takes a job; gives its times if it starts now.
    pub fn submit(&mut self, job: EngineJob, now_us: u64) -> Option<JobTimes> {
        if self.running >= self.kind.slots {
            self.waiting.push_back(job);
            return None;
        }
        Some(self.start(job, now_us))
    }

    /// Ends a job; gives the times of the one that starts in its place.
    pub fn finish(&mut self, now_us: u64) -> Option<JobTimes> {
        self.running = self.running.saturating_sub(1);
        let job = self.waiting.pop_front()?;
        Some(self.start(job, now_us))
    }

    fn start(&mut self, job: EngineJob, now_us: u64) -> JobTimes {
        self.running += 1;
        let hit = self.touch(job.prefix);
        // Half of the prompt is its prefix.
        let prompt = f64::from(job.prompt) * if hit { 0.5 } else { 1.0 };
        let crowd = 1.0 + f64::from(self.running) / f64::from(self.kind.slots);
        let prefill = prompt / self.kind.prefill_rate * 1e6 * crowd;
        let token_us = self.kind.token_us * crowd;
        let first = self.thaw(now_us, now_us + prefill as u64);
        let done = self.thaw(now_us, now_us + (prefill + token_us * f64::from(job.tokens)) as u64);
        JobTimes { id: job.id, first_us: first, done_us: done, token_us, hit }
    }

    fn thaw(&self, start_us: u64, time_us: u64) -> u64 {
        let (from, to) = self.frozen;
        if time_us <= from || start_us >= to {
            return time_us;
        }
        time_us + (to - from.max(start_us))
    }

    fn touch(&mut self, prefix: u64) -> bool {
        let place = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(place) = place {
            self.cache.remove(place);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(self.kind.prefixes);
        place.is_some()
    }
}
