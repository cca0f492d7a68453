//! What control costs, counted by two labels each: calls of this box to the platform's store, and bytes of
//! its datagrams to other boxes. Both have their price, and the store serves a limited number a second.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use metrics::counter;

/// Time between two lines of the log that tell the sums so far, in milliseconds: an operator finds what a
/// busy store was asked for, at six lines of each kind a minute at most.
pub const LOG_INTERVAL_MS: u64 = 10_000;

/// A kind of call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// The newest record of each key, a page each.
    List,
    /// Records from an offset on.
    Read,
    /// A record is written.
    Append,
    /// The lease of what one box does for all is asked for, or given back.
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

/// A kind of datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// A note that nobody asked for.
    Gossip,
    /// An ask.
    SyncRequest,
    /// The answer to one.
    SyncResponse,
    /// Word of a placed prompt.
    Placement,
    /// A question for counts of usage, or the counts.
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

/// What control has cost so far.
#[derive(Debug, Default)]
pub struct ControlStats {
    calls: LabelSums,
    bytes: LabelSums,
}

impl ControlStats {
    /// Counts a call to the store, whatever becomes of it.
    pub fn count_call(&self, topic: &'static str, call: StoreCall) {
        counter!("ravenspoke_store_calls_total", "topic" => topic, "call" => call.label())
            .increment(1);
        self.calls.add((topic, call.label()), 1);
    }

    /// Counts a datagram to a box of this box's availability zone or another.
    pub fn count_datagram(&self, kind: DatagramKind, same_zone: bool, bytes: usize) {
        let zone = if same_zone { "near" } else { "far" };
        counter!("ravenspoke_note_bytes_total", "kind" => kind.label(), "zone" => zone)
            .increment(bytes as u64);
        self.bytes.add((kind.label(), zone), bytes as u64);
    }

    /// Counts a datagram that was dropped, since too many waited to be sent.
    pub fn count_dropped(&self, kind: DatagramKind) {
        counter!("ravenspoke_notes_dropped_total", "kind" => kind.label()).increment(1);
        self.bytes.add((kind.label(), "dropped"), 1);
    }

    /// Calls to the store so far, by topic and kind, as one line.
    pub fn calls(&self) -> String {
        self.calls.summary()
    }

    /// Bytes of datagrams so far, by kind and zone, and how many were dropped, as one line.
    pub fn bytes(&self) -> String {
        self.bytes.summary()
    }
}
