//! Calls of this box to the platform's store, counted by topic and kind: each has its price, and the
//! store serves a limited number a second.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use metrics::counter;

/// Time between two lines of the log that tell the calls so far, in milliseconds: an operator finds what
/// a busy store was asked for, at six lines a minute at most.
pub const TELL_EVERY_MS: u64 = 10_000;

/// A kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreCall {
    /// The newest record of each key, a page each.
    List,
    /// Records from an offset on.
    Read,
    /// A record is written.
    Append,
}

impl StoreCall {
    fn label(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Read => "read",
            Self::Append => "append",
        }
    }
}

/// Calls so far.
#[derive(Debug, Default)]
pub struct StoreCalls {
    counts: Mutex<BTreeMap<(&'static str, StoreCall), u64>>,
}

impl StoreCalls {
    /// Counts a call, whatever becomes of it.
    pub fn count(&self, topic: &'static str, call: StoreCall) {
        counter!("ravenspoke_store_calls_total", "topic" => topic, "call" => call.label())
            .increment(1);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry((topic, call)).or_default() += 1;
    }

    /// The calls so far, as one line.
    pub fn summary(&self) -> String {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = counts.iter().map(|((topic, call), count)| {
            let call = call.label();
            format!("{topic} {call} {count}")
        });
        rows.collect::<Vec<_>>().join(", ")
    }
}
