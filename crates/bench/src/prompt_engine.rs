//! An engine that reads prompts one after another, the more urgent first, and keeps what it read.

use std::collections::VecDeque;

/// A prompt for an engine.
#[derive(Clone, Copy, Debug)]
pub struct PromptJob {
    /// Row of the request.
    pub request: usize,
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// Row of the model.
    pub model: usize,
    /// Urgency, 0 first.
    pub urgency: u8,
    /// Its shared parts with its model.
    pub subject: u64,
    /// Tokens in shared parts and in the rest.
    pub tokens: (f64, f64),
    /// Time for a token, in microseconds.
    pub token_us: f64,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Whether it takes prompts.
    pub up: bool,
    /// Number of its life: what was begun in an earlier one is lost.
    pub life: u64,
    /// How many times its usual time it takes.
    pub slowness: f64,
    /// Share of its answers that fail.
    pub grey: f64,
    /// Answers that have begun and are not whole.
    pub running: u32,
    queue: VecDeque<PromptJob>,
    reading: Option<(PromptJob, f64)>,
    /// Shared parts kept, the latest first, with their tokens.
    kept: VecDeque<(u64, f64)>,
    memory: f64,
}

impl EngineState {
    /// An idle engine that keeps `memory` tokens.
    pub fn new(memory: f64) -> Self {
        Self {
            up: true,
            life: 0,
            slowness: 1.0,
            grey: 0.0,
            running: 0,
            queue: VecDeque::new(),
            reading: None,
            kept: VecDeque::new(),
            memory,
        }
    }

    /// Prompts that wait or are read.
    pub fn waiting(&self) -> usize {
        self.queue.len() + usize::from(self.reading.is_some())
    }

    /// Takes a prompt, behind those that are as urgent.
    pub fn submit(&mut self, job: PromptJob) {
        let place = self.queue.iter().position(|other| other.urgency > job.urgency);
        self.queue.insert(place.unwrap_or(self.queue.len()), job);
    }

    /// Drops what waits of a request.
    pub fn cancel(&mut self, request: usize) {
        self.queue.retain(|job| job.request != request);
    }

    /// Begins to read the next prompt, if none is read; gives the time that it takes, in microseconds.
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

    /// Ends the reading of a prompt, whose answer begins.
    pub fn read(&mut self) -> Option<PromptJob> {
        let (job, _) = self.reading.take()?;
        self.running += 1;
        Some(job)
    }

    /// Loses all that it has, and gives the prompts that were there.
    pub fn stop(&mut self) -> Vec<PromptJob> {
        self.up = false;
        self.life += 1;
        self.running = 0;
        self.kept.clear();
        self.reading.take().map(|row| row.0).into_iter().chain(self.queue.drain(..)).collect()
    }

    /// Time to read a prompt here, in microseconds.
    pub fn work_us(&self, job: &PromptJob) -> f64 {
        let held = self.kept.iter().any(|(subject, _)| *subject == job.subject);
        let tokens = job.tokens.1 + if held { 0.0 } else { job.tokens.0 };
        tokens * job.token_us * self.slowness
    }

    /// Work that waits here, in microseconds, what is being read in full.
    pub fn queued_us(&self) -> f64 {
        let reading = self.reading.map_or(0.0, |(_, took_us)| took_us);
        reading + self.queue.iter().map(|job| self.work_us(job)).sum::<f64>()
    }

    fn keep(&mut self, subject: u64, tokens: f64) {
        self.kept.retain(|(other, _)| *other != subject);
        self.kept.push_front((subject, tokens));
        let mut total = 0.0;
        let memory = self.memory;
        self.kept.retain(|(_, tokens)| {
            total += tokens;
            total <= memory
        });
    }
}
