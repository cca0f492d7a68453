//! Limits the part of a box's link that sync responses to other boxes take.
//!
//! Load pattern: hundreds of boxes start at once, and each requests pages from the few boxes that
//! know all replicas. A response that is queued for long is useless, because the requesting box has
//! asked another box by then. So few responses are queued, and a box that can't respond soon drops
//! a sync request before doing any work for it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ravenspoke_core::route::peers::GossipMessage;
use ravenspoke_core::time::BoxTime;

/// Maximum share of a box's link for sync responses. The rest is for callers and replicas.
pub const SYNC_LINK_SHARE: f64 = 0.25;

/// Maximum time that a sync response is queued, in milliseconds.
pub const SYNC_QUEUE_MS: u64 = 250;

/// Limit on queued bytes of sync responses on any link. Unpacked, a queued response takes some
/// twenty times its encoded size in memory.
pub const SYNC_QUEUE_BYTES: f64 = 512_000.0;

/// Size of a sync response without replica entries, in bytes.
const BASE_BYTES: usize = 600;

/// Size of one deflated entry in a sync response, in bytes.
const ENTRY_BYTES: usize = 16;

/// Rate limit and queue size of sync responses.
#[derive(Debug)]
pub struct SyncPacer {
    bytes_per_s: f64,
    queued: AtomicUsize,
}

impl SyncPacer {
    /// Creates a pacer for a link of `link_mbps` megabits a second.
    pub fn new(link_mbps: f64) -> Self {
        let bytes_per_s = (link_mbps * 1e6 / 8.0 * SYNC_LINK_SHARE).max(1.0);
        Self { bytes_per_s, queued: AtomicUsize::new(0) }
    }

    /// Estimated size of a sync response, in bytes.
    pub fn expected_bytes(message: &GossipMessage) -> usize {
        BASE_BYTES + ENTRY_BYTES * message.changes.len()
    }

    /// Whether another response would be sent within the queue's time limit.
    pub fn has_room(&self) -> bool {
        let limit = self.bytes_per_s * SYNC_QUEUE_MS as f64 / 1_000.0;
        (self.queued.load(Ordering::Relaxed) as f64) < limit.min(SYNC_QUEUE_BYTES)
    }

    /// Adds a response to the queue.
    pub fn add_queued(&self, bytes: usize) {
        self.queued.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Removes a response from the queue.
    pub fn remove_queued(&self, bytes: usize) {
        self.queued.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Time to send `bytes` at the paced rate, in microseconds.
    fn send_time_us(&self, bytes: usize) -> u64 {
        (bytes as f64 / self.bytes_per_s * 1e6) as u64
    }
}

/// Time from which the next sync response may be sent.
#[derive(Debug, Default)]
pub struct SyncSlot {
    free_at: BoxTime,
}

impl SyncSlot {
    /// Time left until the next response may be sent.
    pub fn until_free(&self, now: BoxTime) -> Duration {
        Duration::from_micros(self.free_at.as_micros().saturating_sub(now.as_micros()))
    }

    /// Records a response that was sent.
    pub fn add_sent(&mut self, bytes: usize, pacer: &SyncPacer, now: BoxTime) {
        let begin = self.free_at.max(now).as_micros();
        self.free_at = BoxTime::from_micros(begin + pacer.send_time_us(bytes));
    }
}
