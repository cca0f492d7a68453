//! A box's start: it asks others for what it must know, and reads the store itself if nobody tells it.

use super::peers::{START_ASK_DOUBLINGS, START_ASK_MS, START_SPREAD_MS, START_SPREAD_TOGETHER_MS};
use crate::event::EventStamp;
use crate::time::BoxTime;

/// How a box was started.
#[derive(Clone, Copy, Debug)]
pub(super) struct BoxStart {
    /// When.
    pub(super) at: BoxTime,
    /// From when on it reads the store itself.
    pub(super) read_at: BoxTime,
    /// Its place among boxes that start at the same moment, from 0 to 1.
    place: f64,
    asks: u32,
}

impl BoxStart {
    /// A start now.
    pub(super) fn new(stamp: EventStamp) -> Self {
        let place = (stamp.dice >> 11) as f64 / (1_u64 << 53) as f64;
        let mut start = Self { at: stamp.now, read_at: stamp.now, place, asks: 0 };
        start.read_within(START_SPREAD_MS);
        start
    }

    fn read_within(&mut self, spread_ms: u64) {
        let spread = (spread_ms as f64 * self.place) as u64;
        self.read_at = self.at.plus_millis(START_ASK_MS + spread);
    }

    /// Another box answers, which knows nothing either.
    pub(super) fn note_company(&mut self) {
        self.read_within(START_SPREAD_TOGETHER_MS);
    }

    /// Counts an ask. Gives when to ask again, in milliseconds.
    pub(super) fn note_ask(&mut self) -> u64 {
        let doublings = self.asks.min(START_ASK_DOUBLINGS);
        self.asks += 1;
        START_ASK_MS << doublings
    }
}
