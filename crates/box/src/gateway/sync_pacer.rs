//! How much of its link a box gives to answers to other boxes.
//!
//! Load pattern: hundreds of boxes start at once and ask the few that know all replicas, each for pages of them. An answer
//! that waits for long comes too late: the box has asked another by then. So few wait, and a box that can't answer soon
//! passes an ask over before any work is done for it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ravenspoke_core::route::peers::GossipMessage;
use ravenspoke_core::time::BoxTime;

/// Part of a box's link that answers to other boxes take, at most: the rest is for callers and replicas.
pub const SYNC_LINK_SHARE: f64 = 0.25;

/// An answer waits for no longer than this, in milliseconds.
pub const SYNC_QUEUE_MS: u64 = 250;

/// Bytes of answers that wait, at most, however fast the link is: unpacked, what waits takes some twenty times its bytes in
/// memory.
pub const SYNC_QUEUE_BYTES: f64 = 512_000.0;

/// Bytes of an answer without replicas' entries.
const BASE_BYTES: usize = 600;

/// Bytes of an entry in an answer, deflated.
const ENTRY_BYTES: usize = 16;

/// What answers may take of a box's link, and how many bytes of them wait.
#[derive(Debug)]
pub struct SyncPacer {
    bytes_per_s: f64,
    queued: AtomicUsize,
}

impl SyncPacer {
    /// The pace for a link of so many megabits a second.
    pub fn new(link_mbps: f64) -> Self {
        let bytes_per_s = (link_mbps * 1e6 / 8.0 * SYNC_LINK_SHARE).max(1.0);
        Self { bytes_per_s, queued: AtomicUsize::new(0) }
    }

    /// About how long an answer is, in bytes.
    pub fn expected_bytes(message: &GossipMessage) -> usize {
        BASE_BYTES + ENTRY_BYTES * message.changes.len()
    }

    /// Whether another answer would be sent soon.
    pub fn has_room(&self) -> bool {
        let limit = self.bytes_per_s * SYNC_QUEUE_MS as f64 / 1_000.0;
        (self.queued.load(Ordering::Relaxed) as f64) < limit.min(SYNC_QUEUE_BYTES)
    }

    /// Notes an answer that waits.
    pub fn add_queued(&self, bytes: usize) {
        self.queued.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Notes that it no longer waits.
    pub fn remove_queued(&self, bytes: usize) {
        self.queued.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// How long an answer of so many bytes takes at this pace, in microseconds.
    fn send_time_us(&self, bytes: usize) -> u64 {
        (bytes as f64 / self.bytes_per_s * 1e6) as u64
    }
}

/// When the link is free for the next answer.
#[derive(Debug, Default)]
pub struct SyncSlot {
    free_at: BoxTime,
}

impl SyncSlot {
    /// Until it is free.
    pub fn until_free(&self, now: BoxTime) -> Duration {
        Duration::from_micros(self.free_at.as_micros().saturating_sub(now.as_micros()))
    }

    /// Notes that an answer was sent.
    pub fn add_sent(&mut self, bytes: usize, pacer: &SyncPacer, now: BoxTime) {
        let begin = self.free_at.max(now).as_micros();
        self.free_at = BoxTime::from_micros(begin + pacer.send_time_us(bytes));
    }
}
