//! Group commit: records wait for the log in one bounded queue a stream, one batch in flight.
//!
//! The log takes some hundred appends a second from all boxes together, so a box spaces its batches
//! by the number of listed boxes. A batch whose acknowledgement is lost is sent again whole; readers
//! drop the repeats by the natural key of each record.

use std::collections::VecDeque;

use crate::message::LogRecord;
use crate::time::BoxTime;

/// Appends a second that all boxes together may use, of what the log takes.
pub const FLEET_APPENDS_PER_SECOND: u64 = 200;

/// Records in one batch, at most.
pub const BATCH_RECORDS: usize = 512;

/// First wait after a failed append, in milliseconds; doubled up to [`RETRY_LIMIT_MS`].
pub const RETRY_FIRST_MS: u64 = 50;

/// Longest wait after failed appends, in milliseconds.
pub const RETRY_LIMIT_MS: u64 = 2_000;

/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogStream {
    /// Bundles of operators, and carried ones.
    Bundles,
    /// Claims, voids and outcomes.
    Claims,
    /// Bills.
    Bills,
    /// Roll-out verdicts.
    Verdicts,
    /// Leases on pools.
    Leases,
}

impl LogStream {
    /// Every stream.
    pub const ALL: [LogStream; 5] =
        [Self::Bundles, Self::Claims, Self::Bills, Self::Verdicts, Self::Leases];

    /// The stream's name in the log.
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

/// Queue of records for one stream.
#[derive(Debug)]
pub struct AppendQueue {
    waiting: VecDeque<LogRecord>,
    in_flight: Vec<LogRecord>,
    limit: usize,
    next_at: BoxTime,
    retry_ms: u64,
}

impl AppendQueue {
    /// A queue that holds at most `limit` records.
    pub fn new(limit: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            limit,
            next_at: BoxTime::default(),
            retry_ms: RETRY_FIRST_MS,
        }
    }

    /// Adds a record. The caller checks [`Self::is_full`] before it starts what needs a record;
    /// a record that is already owed is taken even so.
    pub fn push(&mut self, record: LogRecord) {
        self.waiting.push_back(record);
    }

    /// Records held, in flight ones included.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.in_flight.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether no further work should be begun that will owe a record.
    pub fn is_full(&self) -> bool {
        self.len() >= self.limit
    }

    /// Whether the last append failed.
    pub fn is_failing(&self) -> bool {
        self.retry_ms > RETRY_FIRST_MS
    }

    /// The batch to append now, if one is due.
    pub fn take_batch(&mut self, now: BoxTime, boxes: usize) -> Option<Vec<LogRecord>> {
        if !self.in_flight.is_empty() || self.waiting.is_empty() || now < self.next_at {
            return None;
        }
        let count = self.waiting.len().min(BATCH_RECORDS);
        self.in_flight = self.waiting.drain(..count).collect();
        self.next_at = now.plus_millis(batch_interval_ms(boxes));
        Some(self.in_flight.clone())
    }

    /// The batch in flight is in the log; gives it back.
    pub fn batch_done(&mut self) -> Vec<LogRecord> {
        self.retry_ms = RETRY_FIRST_MS;
        std::mem::take(&mut self.in_flight)
    }

    /// The batch in flight failed or its answer was lost: it goes first again.
    pub fn batch_failed(&mut self, now: BoxTime) {
        for record in std::mem::take(&mut self.in_flight).into_iter().rev() {
            self.waiting.push_front(record);
        }
        self.next_at = now.plus_millis(self.retry_ms);
        self.retry_ms = (self.retry_ms * 2).min(RETRY_LIMIT_MS);
    }
}

/// Milliseconds between batches of one stream of one box, so that all boxes stay within
/// [`FLEET_APPENDS_PER_SECOND`] on the three streams that requests write to.
pub fn batch_interval_ms(boxes: usize) -> u64 {
    const BUSY_STREAMS: u64 = 3;
    (boxes.max(1) as u64 * BUSY_STREAMS * 1_000).div_ceil(FLEET_APPENDS_PER_SECOND)
}
