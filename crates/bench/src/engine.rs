//! A small model of an engine: a bounded batch, prefill and decode rates, a prefix cache.
//!
//! The times of a request are computed from the load of the batch when the request enters it. A
//! freeze delays the times that fall after its start. No network is modelled.

use std::collections::VecDeque;

/// Parameters of a kind of engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineKind {
    /// Requests in a full batch.
    pub slots: u32,
    /// Prompt tokens read a second on an idle engine.
    pub prefill_rate: f64,
    /// Microseconds between output tokens on an idle engine.
    pub token_us: f64,
    /// Capacity of the prefix cache, in prefixes.
    pub prefixes: usize,
}

/// An engine of the cheap model.
pub const SMALL: EngineKind =
    EngineKind { slots: 16, prefill_rate: 8_000.0, token_us: 15_000.0, prefixes: 24 };

/// An engine of the strong model.
pub const LARGE: EngineKind =
    EngineKind { slots: 8, prefill_rate: 3_000.0, token_us: 26_000.0, prefixes: 12 };

/// A request as an engine sees it.
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

/// Times at which a job emits its first and last token, and the time between tokens.
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
    /// Whether the prefix was in the cache.
    pub hit: bool,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    /// Parameters.
    pub kind: EngineKind,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting for a place in the batch.
    pub waiting: VecDeque<EngineJob>,
    /// Start and end of a period in which the engine stalls, in microseconds.
    pub frozen: (u64, u64),
    /// Whether the engine has left the pool; it finishes its jobs.
    pub removed: bool,
    cache: VecDeque<u64>,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(kind: EngineKind) -> Self {
        let (waiting, cache) = (VecDeque::new(), VecDeque::new());
        Self { kind, running: 0, waiting, frozen: (0, 0), removed: false, cache }
    }

    /// Adds a job. Returns its times if it starts now, or `None` if it has to wait.
    pub fn submit(&mut self, job: EngineJob, now_us: u64) -> Option<JobTimes> {
        if self.running >= self.kind.slots {
            self.waiting.push_back(job);
            return None;
        }
        Some(self.start(job, now_us))
    }

    /// Removes a finished job from the batch. Returns the times of the job that takes its place.
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
        let slowdown = 1.0 + f64::from(self.running) / f64::from(self.kind.slots);
        let prefill = prompt / self.kind.prefill_rate * 1e6 * slowdown;
        let token_us = self.kind.token_us * slowdown;
        let first = self.delay_by_freeze(now_us, now_us + prefill as u64);
        let done = self
            .delay_by_freeze(now_us, now_us + (prefill + token_us * f64::from(job.tokens)) as u64);
        JobTimes { id: job.id, first_us: first, done_us: done, token_us, hit }
    }

    /// Delays `time_us` of a job that starts at `start_us` by the part of the freeze that it meets.
    fn delay_by_freeze(&self, start_us: u64, time_us: u64) -> u64 {
        let (from, to) = self.frozen;
        if time_us <= from || start_us >= to {
            return time_us;
        }
        time_us + (to - from.max(start_us))
    }

    /// Puts `prefix` at the head of the cache, and returns whether it was there before.
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
