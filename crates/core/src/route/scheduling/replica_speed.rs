//! Learned speed of each replica, relative to the others of its service.
//!
//! Load pattern: replicas on shared machines. Some machines are twice as fast as others for good,
//! some become several times slower for seconds, and neighbours slow any of them down for parts of
//! a second. In a large fleet a box gets an answer of the same replica only now and then, so boxes
//! share their samples.
//!
//! A sample is the logarithm of the time that an answer took, divided by the usual time and by the
//! replica's own figure of what its neighbours cost, less the typical sample of the route. So the
//! mean over a service's answers is 1, and an error of the usual time cancels out. The usual time
//! is in turn learned from times divided by the ratio.

use std::collections::{HashMap, VecDeque};

use serde::Serialize;

use crate::time::BoxTime;

/// Bounds of a replica's time ratio.
pub const RATIO_RANGE: (f64, f64) = (0.4, 2.5);

/// Bounds of the figure that a replica states of its machine, in percent of the usual time.
pub const PERCENT_RANGE: (u32, u32) = (25, 400);

/// Bounds of the ratio and the stated figure together. A replica that states a false low figure
/// attracts no more requests than one with the lowest ratio.
const SLOWNESS_RANGE: (f64, f64) = (0.4, 4.0);

/// How long a stated figure is used, in milliseconds: it changes many times a second.
pub const PERCENT_KEPT_MS: u64 = 300;

/// Weight of the ratio 1 against samples, in samples.
const PRIOR_SAMPLES: f64 = 4.0;

/// Largest weight of former samples, which gives a half-life of 20.
const SAMPLES_LIMIT: f64 = 28.0;

/// The same for the estimate that shows changes, which gives a half-life of 2.4.
const RECENT_LIMIT: f64 = 3.0;

/// Difference of the two estimates from which the replica has changed, as a logarithm: by
/// two thirds. Noise that halves or doubles one answer in five does not reach it.
const CHANGE_LOG: f64 = 0.5;

/// Half-life of samples, in milliseconds: a replica without requests is tried again.
const SAMPLE_HALF_LIFE_MS: f64 = 30_000.0;

/// The same for a slow replica, which gets few requests but whose recovery is to be noticed within
/// seconds. For all replicas it is too short: noise would make the shares of equal ones uneven.
const SLOW_HALF_LIFE_MS: f64 = 4_000.0;

/// Logarithm of the ratio from which a replica is slow in this sense: one step of the ratio in use.
const SLOW_LOG: f64 = 0.15;

/// Steps of the ratio in use, as a logarithm. With equal replicas, all boxes would otherwise choose
/// the one whose noise is the most favourable.
const RATIO_STEP_LOG: f64 = 0.15;

/// Weight of a sample in the typical sample of a route: it follows within some ten answers.
const TYPICAL_WEIGHT: f64 = 0.05;

/// Routes with a typical sample, at most.
const ROUTE_LIMIT: usize = 256;

/// Requests for each of which one goes to a slow replica, of its even share.
pub const EXPLORE_EVERY: u64 = 20;

/// Updates in one message, at most: some 280 bytes.
pub const SPEEDS_PER_MESSAGE: usize = 8;

/// Samples in one update, at most.
pub const SAMPLES_PER_UPDATE: u32 = 8;

/// How long an update is gossiped, in milliseconds: four messages to some boxes each.
pub const SPEED_GOSSIP_MS: u64 = 2_000;

/// Change of a ratio from which it is logged, as a factor.
pub const REPORTED_CHANGE: f64 = 1.25;

/// Samples of one box about a replica, as boxes gossip them. A box sends the same update several
/// times, to different boxes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedUpdate {
    /// The replica, by [`crate::route::backend::backend_hash`] of its id.
    pub replica: u64,
    /// Mean time ratio of the samples, in percent.
    pub percent: u32,
    /// Number of samples.
    pub samples: u32,
    /// Messages of the sender since the first one with this update. A box that received that or a
    /// later one has applied the update.
    pub messages_ago: u32,
}

impl SpeedUpdate {
    /// Returns the update within its bounds, or `None` if it states no sample or no ratio.
    pub fn checked(self) -> Option<Self> {
        let (least, most) = RATIO_RANGE;
        let in_percent = |ratio: f64| (ratio * 100.0) as u32;
        let percent = self.percent.clamp(in_percent(least), in_percent(most));
        let samples = self.samples.min(SAMPLES_PER_UPDATE);
        let is_sound = self.percent > 0 && samples > 0;
        is_sound.then_some(Self { percent, samples, ..self })
    }
}

/// What a replica stated of its machine.
#[derive(Clone, Copy, Debug, Serialize)]
struct StatedFigure {
    factor: f64,
    at: BoxTime,
}

/// Learned speed of a replica.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReplicaSpeed {
    /// Logarithm of the time ratio.
    log: f64,
    /// The same from the last few samples.
    recent_log: f64,
    /// Weight of the samples behind it as of `at`.
    samples: f64,
    at: BoxTime,
    stated: Option<StatedFigure>,
    /// Logarithm of the ratio that was last logged.
    #[serde(skip)]
    reported_log: f64,
}

impl ReplicaSpeed {
    /// Records the machine's figure of the moment, in percent of the usual time.
    pub fn state(&mut self, percent: u32, now: BoxTime) {
        self.stated = Some(StatedFigure { factor: stated_factor(Some(percent)), at: now });
    }

    /// Learns from a sample, the logarithm of a time ratio.
    pub fn learn(&mut self, sample: f64, now: BoxTime) {
        let (least, most) = RATIO_RANGE;
        let sample = sample.clamp(least.ln(), most.ln());
        let samples = self.weight(now);
        self.log += (sample - self.log) / (samples.min(SAMPLES_LIMIT) + 1.0);
        self.recent_log += (sample - self.recent_log) / (samples.min(RECENT_LIMIT) + 1.0);
        self.samples = samples.min(SAMPLES_LIMIT) + 1.0;
        self.at = now.max(self.at);
        if (self.log - self.recent_log).abs() > CHANGE_LOG {
            self.log = self.recent_log;
            self.samples = self.samples.min(PRIOR_SAMPLES);
        }
    }

    /// Returns the weight of its samples.
    fn weight(&self, now: BoxTime) -> f64 {
        let age_ms = now.millis_since(self.at) as f64;
        let half_life_ms =
            if self.log > SLOW_LOG { SLOW_HALF_LIFE_MS } else { SAMPLE_HALF_LIFE_MS };
        self.samples * (-age_ms / half_life_ms).exp2()
    }

    /// Returns how many times longer the replica takes than usual, without its neighbours.
    pub fn ratio(&self, now: BoxTime) -> f64 {
        let samples = self.weight(now);
        let log = self.log * samples / (samples + PRIOR_SAMPLES);
        ((log / RATIO_STEP_LOG).round() * RATIO_STEP_LOG).exp()
    }

    /// Returns how many times longer it takes than usual now.
    pub fn slowness(&self, now: BoxTime) -> f64 {
        let is_current = |stated: &StatedFigure| now.millis_since(stated.at) < PERCENT_KEPT_MS;
        let factor = self.stated.filter(is_current).map_or(1.0, |stated| stated.factor);
        let (least, most) = SLOWNESS_RANGE;
        (self.ratio(now) * factor).clamp(least, most)
    }

    /// Returns the ratio if it changed enough to be logged since that was done last.
    pub fn take_change(&mut self, now: BoxTime) -> Option<f64> {
        let ratio = self.ratio(now);
        if (ratio.ln() - self.reported_log).abs() < REPORTED_CHANGE.ln() {
            return None;
        }
        self.reported_log = ratio.ln();
        Some(ratio)
    }
}

/// Returns the factor of a machine's figure, 1 without one.
pub fn stated_factor(percent: Option<u32>) -> f64 {
    let (least, most) = PERCENT_RANGE;
    percent.map_or(1.0, |percent| f64::from(percent.clamp(least, most)) / 100.0)
}

/// The typical sample of a route.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalSample {
    log: f64,
    seen: f64,
}

/// An update that is gossiped.
#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    replica: u64,
    log: f64,
    samples: u32,
    /// Number of the first message with it.
    number: u64,
    at: BoxTime,
}

/// What a box learns of speeds beyond single replicas: typical samples, and what it gossips.
#[derive(Debug, Default)]
pub struct SpeedSamples {
    typical: HashMap<String, TypicalSample>,
    pending: VecDeque<PendingUpdate>,
}

impl SpeedSamples {
    /// Returns a sample relative to the typical one of its route, which learns from it.
    pub fn relative(&mut self, route: &str, sample: f64) -> f64 {
        if self.typical.len() >= ROUTE_LIMIT && !self.typical.contains_key(route) {
            self.typical.clear();
        }
        let typical = self.typical.entry(route.to_owned()).or_default();
        if typical.seen == 0.0 {
            typical.log = sample;
        }
        typical.seen += 1.0;
        let relative = sample - typical.log;
        let (least, most) = RATIO_RANGE;
        let weight = TYPICAL_WEIGHT.max(1.0 / (typical.seen + 1.0));
        typical.log += relative.clamp(least.ln(), most.ln()) * weight;
        relative
    }

    /// Returns a sample relative to the typical one of its route, if that is known.
    pub fn peek_relative(&self, route: &str, sample: f64) -> Option<f64> {
        self.typical.get(route).map(|typical| sample - typical.log)
    }

    /// Adds a sample to what is gossiped, from message `number` on.
    pub fn announce(&mut self, replica: u64, sample: f64, number: u64, now: BoxTime) {
        let (least, most) = RATIO_RANGE;
        let log = sample.clamp(least.ln(), most.ln());
        let same = |update: &&mut PendingUpdate| {
            update.replica == replica
                && update.number == number
                && update.samples < SAMPLES_PER_UPDATE
        };
        if let Some(update) = self.pending.iter_mut().find(same) {
            update.samples += 1;
            update.log += (log - update.log) / f64::from(update.samples);
            return;
        }
        if self.pending.len() >= SPEEDS_PER_MESSAGE {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingUpdate { replica, log, samples: 1, number, at: now });
    }

    /// Returns what message `number` announces.
    pub fn updates(&mut self, number: u64, now: BoxTime) -> Vec<SpeedUpdate> {
        self.pending.retain(|update| now.millis_since(update.at) < SPEED_GOSSIP_MS);
        let updates = self.pending.iter().map(|update| SpeedUpdate {
            replica: update.replica,
            percent: (update.log.exp() * 100.0).round() as u32,
            samples: update.samples,
            messages_ago: number.saturating_sub(update.number) as u32,
        });
        updates.collect()
    }
}
