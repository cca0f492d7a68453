//! Group commit: each stream of the log has one bounded queue, with at most one batch in flight.
//!
//! The log accepts a few hundred appends per second from all boxes together, so a box spaces its
//! batches by the number of listed boxes. A batch whose acknowledgement is lost is sent again as a
//! whole; readers drop the repeats by the natural key of each record.

use std::collections::VecDeque;

use crate::message::LogRecord;
use crate::time::BoxTime;

/// Appends per second that all boxes together may use of the log's capacity.
pub const FLEET_APPENDS_PER_SECOND: u64 = 200;

/// Maximum number of records in one batch.
pub const BATCH_RECORDS: usize = 512;

/// First pause after a failed append, in milliseconds; doubled up to [`RETRY_LIMIT_MS`].
pub const RETRY_FIRST_MS: u64 = 50;

/// Longest pause after failed appends, in milliseconds.
pub const RETRY_LIMIT_MS: u64 = 2_000;

/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogStream {
    /// Bundles that operators publish, and bundles that boxes carry forward.
    Bundles,
    /// Claims, voids and outcomes.
    Claims,
    /// Bills.
    Bills,
    /// Rollout verdicts.
    Verdicts,
    /// Leases on ordering the replicas of pools.
    Leases,
}

impl LogStream {
    /// Every stream.
    pub const ALL: [LogStream; 5] =
        [Self::Bundles, Self::Claims, Self::Bills, Self::Verdicts, Self::Leases];

    /// Name of the stream in the log.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Bundles => "bundles",
            Self::Claims => "claims",
            Self::Bills => "bills",
            Self::Verdicts => "verdicts",
            Self::Leases => "leases",
        }
    }
}

/// Queue of records that wait for one stream.
#[derive(Debug)]
pub struct AppendQueue {
    waiting: VecDeque<LogRecord>,
    in_flight: Vec<LogRecord>,
    limit: usize,
    next_at: BoxTime,
    retry_ms: u64,
}

impl AppendQueue {
    /// Creates a queue that is full at `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            limit,
            next_at: BoxTime::default(),
            retry_ms: RETRY_FIRST_MS,
        }
    }

    /// Adds a record, also to a full queue. The caller checks [`Self::is_full`] before it begins
    /// work that will need a record; records of work that has begun are always accepted.
    pub fn push(&mut self, record: LogRecord) {
        self.waiting.push_back(record);
    }

    /// Number of records held, including those in flight.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.in_flight.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the queue has reached its limit, so that no work should begin that needs a record.
    pub fn is_full(&self) -> bool {
        self.len() >= self.limit
    }

    /// Whether the last append failed.
    pub fn is_failing(&self) -> bool {
        self.retry_ms > RETRY_FIRST_MS
    }

    /// Returns the batch to append now, if one is due.
    pub fn take_batch(&mut self, now: BoxTime, boxes: usize) -> Option<Vec<LogRecord>> {
        if !self.in_flight.is_empty() || self.waiting.is_empty() || now < self.next_at {
            return None;
        }
        let count = self.waiting.len().min(BATCH_RECORDS);
        self.in_flight = self.waiting.drain(..count).collect();
        self.next_at = now.plus_millis(batch_interval_ms(boxes));
        Some(self.in_flight.clone())
    }

    /// Handles that the batch in flight was appended, and returns it.
    pub fn batch_done(&mut self) -> Vec<LogRecord> {
        self.retry_ms = RETRY_FIRST_MS;
        std::mem::take(&mut self.in_flight)
    }

    /// Handles that the append failed or its acknowledgement was lost: the batch goes back to the
    /// front of the queue.
    pub fn batch_failed(&mut self, now: BoxTime) {
        for record in std::mem::take(&mut self.in_flight).into_iter().rev() {
            self.waiting.push_front(record);
        }
        self.next_at = now.plus_millis(self.retry_ms);
        self.retry_ms = (self.retry_ms * 2).min(RETRY_LIMIT_MS);
    }
}

/// Interval between batches of one stream of one box, in milliseconds. With it all boxes together
/// stay within [`FLEET_APPENDS_PER_SECOND`] on the three streams that are written to most.
pub fn batch_interval_ms(boxes: usize) -> u64 {
    const BUSY_STREAMS: u64 = 3;
    (boxes.max(1) as u64 * BUSY_STREAMS * 1_000).div_ceil(FLEET_APPENDS_PER_SECOND)
}
