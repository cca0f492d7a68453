//! A simulated engine that reads one prompt at a time, the most urgent first, and caches shared
//! prompt parts.

use std::collections::VecDeque;

/// A prompt for an engine.
#[derive(Clone, Copy, Debug)]
pub struct PromptJob {
    /// Index of the request.
    pub request: usize,
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// Index of the model.
    pub model: usize,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Cache key of the shared parts with this model.
    pub subject: u64,
    /// Tokens in the shared parts and in the rest of the prompt.
    pub tokens: (f64, f64),
    /// Time to read a token, in microseconds.
    pub token_us: f64,
}

/// State of a simulated engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Whether the engine accepts prompts.
    pub up: bool,
    /// Number of restarts; work that began before the last one is lost.
    pub generation: u64,
    /// Factor by which reading a prompt takes longer than usual.
    pub slowness: f64,
    /// Share of answers that fail.
    pub failure_rate: f64,
    /// Answers that have begun and are not complete.
    pub running: u32,
    queue: VecDeque<PromptJob>,
    reading: Option<(PromptJob, f64)>,
    /// Cached shared parts with their tokens, the most recently used first.
    cached: VecDeque<(u64, f64)>,
    memory: f64,
}

impl EngineState {
    /// Creates an idle engine that caches up to `memory` tokens.
    pub fn new(memory: f64) -> Self {
        Self {
            up: true,
            generation: 0,
            slowness: 1.0,
            failure_rate: 0.0,
            running: 0,
            queue: VecDeque::new(),
            reading: None,
            cached: VecDeque::new(),
            memory,
        }
    }

    /// Number of prompts that wait or are being read.
    pub fn waiting(&self) -> usize {
        self.queue.len() + usize::from(self.reading.is_some())
    }

    /// Queues a prompt behind those of the same urgency.
    pub fn submit(&mut self, job: PromptJob) {
        let place = self.queue.iter().position(|other| other.urgency > job.urgency);
        self.queue.insert(place.unwrap_or(self.queue.len()), job);
    }

    /// Removes the queued prompts of a request.
    pub fn cancel(&mut self, request: usize) {
        self.queue.retain(|job| job.request != request);
    }

    /// Starts to read the next prompt unless one is being read. Returns the time that it takes, in
    /// microseconds.
    pub fn start(&mut self) -> Option<u64> {
        if self.reading.is_some() {
            return None;
        }
        let job = self.queue.pop_front()?;
        let took_us = self.work_us(&job);
        self.keep(job.subject, job.tokens.0);
        self.reading = Some((job, took_us));
        Some(took_us as u64)
    }

    /// Finishes the reading of a prompt, whose answer begins, and returns the prompt.
    pub fn read(&mut self) -> Option<PromptJob> {
        let (job, _) = self.reading.take()?;
        self.running += 1;
        Some(job)
    }

    /// Stops the engine, which loses its cache and its prompts, and returns the prompts.
    pub fn stop(&mut self) -> Vec<PromptJob> {
        self.up = false;
        self.generation += 1;
        self.running = 0;
        self.cached.clear();
        self.reading.take().map(|row| row.0).into_iter().chain(self.queue.drain(..)).collect()
    }

    /// Time to read a prompt on this engine, in microseconds.
    pub fn work_us(&self, job: &PromptJob) -> f64 {
        let held = self.cached.iter().any(|(subject, _)| *subject == job.subject);
        let tokens = job.tokens.1 + if held { 0.0 } else { job.tokens.0 };
        tokens * job.token_us * self.slowness
    }

    /// Time to read all prompts of this engine, in microseconds. The prompt that is being read
    /// counts in full.
    pub fn queued_us(&self) -> f64 {
        let reading = self.reading.map_or(0.0, |(_, took_us)| took_us);
        reading + self.queue.iter().map(|job| self.work_us(job)).sum::<f64>()
    }

    /// Caches shared parts, and evicts the least recently used ones beyond the memory.
    fn keep(&mut self, subject: u64, tokens: f64) {
        self.cached.retain(|(other, _)| *other != subject);
        self.cached.push_front((subject, tokens));
        let mut total = 0.0;
        let memory = self.memory;
        self.cached.retain(|(_, tokens)| {
            total += tokens;
            total <= memory
        });
    }
}
