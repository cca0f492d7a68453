//! How long requests take from their arrival to the end of their answer, by service.
//!
//! A box that stops does not take what is not expected to end before it exits, while another box serves.

use std::collections::HashMap;

use super::RouteState;
use crate::time::BoxTime;

/// Recent requests that are remembered of each service and kind of request.
const SAMPLE_LIMIT: usize = 15;

/// Requests from which on the usual duration is known.
const LEAST_SAMPLES: usize = 5;

/// Durations of recent requests, in milliseconds.
#[derive(Clone, Debug, Default)]
struct RecentDurations {
    samples: Vec<u64>,
    /// Row of the oldest sample, once all rows are taken.
    oldest: usize,
}

impl RecentDurations {
    fn add(&mut self, took_ms: u64) {
        if self.samples.len() < SAMPLE_LIMIT {
            self.samples.push(took_ms);
            return;
        }
        self.samples[self.oldest] = took_ms;
        self.oldest = (self.oldest + 1) % SAMPLE_LIMIT;
    }

    /// The median, if it is known.
    fn usual_ms(&self) -> Option<u64> {
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        (sorted.len() >= LEAST_SAMPLES).then(|| sorted[sorted.len() / 2])
    }
}

/// Durations of the requests that one service answers whole, and of its streams.
#[derive(Clone, Debug, Default)]
struct ServiceDurations {
    whole: RecentDurations,
    streams: RecentDurations,
}

/// Durations of the requests of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestDurations(HashMap<String, ServiceDurations>);

impl RequestDurations {
    /// Adds a request that has ended with a success.
    pub(super) fn add(&mut self, service: &str, is_stream: bool, took_ms: u64) {
        let durations = match self.0.get_mut(service) {
            Some(durations) => durations,
            None => self.0.entry(service.to_owned()).or_default(),
        };
        let recent = if is_stream { &mut durations.streams } else { &mut durations.whole };
        recent.add(took_ms);
    }

    /// How long such a request usually takes, in milliseconds, if that is known.
    pub(super) fn usual_ms(&self, service: &str, is_stream: bool) -> Option<u64> {
        let durations = self.0.get(service)?;
        let recent = if is_stream { &durations.streams } else { &durations.whole };
        recent.usual_ms()
    }
}

impl RouteState {
    /// Whether a request that arrives now is to be refused, because the box stops and will probably exit
    /// before its end, and another box serves.
    pub(super) fn ends_too_late(&self, now: BoxTime, service: &str, is_stream: bool) -> bool {
        let Some(since) = self.stopping_since else { return false };
        let exits_at = since.plus_millis(self.settings.drain_ms);
        let usual_ms = self.durations.usual_ms(service, is_stream);
        let is_late = usual_ms.is_some_and(|usual_ms| now.plus_millis(usual_ms) >= exits_at);
        is_late && self.peers.any_serves(now)
    }
}
