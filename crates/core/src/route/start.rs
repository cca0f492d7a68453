//! A box's start: it asks others for what it must know, and reads the store itself if nobody tells it.

use super::peers::{
    START_ASK_DOUBLINGS, START_ASK_MS, START_SEED_MS, START_SPREAD_MS, START_WAIT_MS,
};
use crate::event::EventStamp;
use crate::time::BoxTime;

/// How a box was started.
#[derive(Clone, Copy, Debug)]
pub(super) struct BoxStart {
    /// When.
    pub(super) at: BoxTime,
    /// From when on it reads the store itself.
    pub(super) read_at: BoxTime,
    asks: u32,
}

impl BoxStart {
    /// A start now of a box that the others are told to ask, or of any other.
    pub(super) fn new(stamp: EventStamp, is_seed: bool) -> Self {
        let wait_ms = if is_seed {
            stamp.dice % START_SEED_MS
        } else {
            START_WAIT_MS + stamp.dice % START_SPREAD_MS
        };
        Self { at: stamp.now, read_at: stamp.now.plus_millis(wait_ms), asks: 0 }
    }

    /// Counts an ask. Gives when to ask again, in milliseconds.
    pub(super) fn note_ask(&mut self) -> u64 {
        let doublings = self.asks.min(START_ASK_DOUBLINGS);
        self.asks += 1;
        START_ASK_MS << doublings
    }
}
