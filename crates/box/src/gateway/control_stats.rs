//! Statistics of control traffic, each with two labels: calls of this box to the platform's store,
//! and bytes of its datagrams to other boxes. Both cost money, and the store serves a limited
//! number of calls a second.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use metrics::counter;

/// Interval between log lines with the sums so far, in milliseconds. They show an operator what a
/// busy store was called for, at six lines a minute of each kind at most.
pub const LOG_INTERVAL_MS: u64 = 10_000;

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// The newest record of each key, one call a page.
    List,
    /// Records from an offset on.
    Read,
    /// A write of a record.
    Append,
    /// A request for the leader's lease, or its release.
    Join,
}

impl StoreCall {
    fn label(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Read => "read",
            Self::Append => "append",
            Self::Join => "join",
        }
    }
}

/// Kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// A gossip message that responds to no request.
    Gossip,
    /// A sync request.
    SyncRequest,
    /// A sync response.
    SyncResponse,
    /// The placement of a prompt.
    Placement,
    /// A request for usage counts, or the counts.
    Usage,
}

impl DatagramKind {
    fn label(self) -> &'static str {
        match self {
            Self::Gossip => "note",
            Self::SyncRequest => "ask",
            Self::SyncResponse => "answer",
            Self::Placement => "placement",
            Self::Usage => "usage",
        }
    }
}

/// Sums by two labels.
#[derive(Debug, Default)]
struct LabelSums {
    sums: Mutex<BTreeMap<(&'static str, &'static str), u64>>,
}

impl LabelSums {
    fn add(&self, labels: (&'static str, &'static str), amount: u64) {
        let mut sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        *sums.entry(labels).or_default() += amount;
    }

    fn summary(&self) -> String {
        let sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = sums.iter().map(|((first, second), sum)| format!("{first} {second} {sum}"));
        rows.collect::<Vec<_>>().join(", ")
    }
}

/// Cost of control traffic so far.
#[derive(Debug, Default)]
pub struct ControlStats {
    calls: LabelSums,
    bytes: LabelSums,
}

impl ControlStats {
    /// Counts a call to the store, whatever its outcome.
    pub fn count_call(&self, topic: &'static str, call: StoreCall) {
        counter!("ravenspoke_store_calls_total", "topic" => topic, "call" => call.label())
            .increment(1);
        self.calls.add((topic, call.label()), 1);
    }

    /// Counts a datagram to a box in this box's availability zone or in another one.
    pub fn count_datagram(&self, kind: DatagramKind, same_zone: bool, bytes: usize) {
        let zone = if same_zone { "near" } else { "far" };
        counter!("ravenspoke_note_bytes_total", "kind" => kind.label(), "zone" => zone)
            .increment(bytes as u64);
        self.bytes.add((kind.label(), zone), bytes as u64);
    }

    /// Counts a datagram that was dropped because too many were queued.
    pub fn count_dropped(&self, kind: DatagramKind) {
        counter!("ravenspoke_notes_dropped_total", "kind" => kind.label()).increment(1);
        self.bytes.add((kind.label(), "dropped"), 1);
    }

    /// Calls to the store so far, by topic and kind, in one line.
    pub fn calls(&self) -> String {
        self.calls.summary()
    }

    /// Bytes of datagrams so far by kind and zone, and the number of dropped ones, in one line.
    pub fn bytes(&self) -> String {
        self.bytes.summary()
    }
}
