//! Log events and metrics of the platform's store.

use std::time::Duration;

use metrics::counter;
use ravenspoke_adapter::records::RecordError;
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::trial::TrialVerdict;
use tracing::{error, info, warn};

use crate::gateway::control_stats::ControlStats;

/// Logs that a call to the store failed or is late, `after` its start, and what the box does about
/// it.
pub fn log_store_lost(topic: &str, why: &dyn std::fmt::Display, after: Duration, role: StoreRole) {
    let after_ms = after.as_millis() as u64;
    let StoreRole { reads, tries } = role;
    warn!(event = 730, name = "store_lost", topic, after_ms, reads, tries, %why);
}

/// Role of a box that lost the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreRole {
    /// Whether it reads the store for the other boxes.
    pub reads: bool,
    /// Whether it retries itself, or leaves that to boxes that respond to its sync requests.
    pub tries: bool,
}

/// Counts a failed call to the store.
pub fn count_store_error() {
    counter!("ravenspoke_store_errors_total").increment(1);
}

/// Logs that other boxes must read the operator's records from the store, because the packed
/// records don't fit into a datagram.
pub fn log_oversized_records(bytes: usize, limit: usize, from: TopicPosition) {
    warn!(event = 737, name = "records_untold", bytes, limit, %from);
}

/// Logs that an answer of the store has no era, or an invalid one.
pub fn log_invalid_era(value: &str) {
    warn!(event = 746, name = "store_era_unreadable", value);
}

/// Logs that a read of the operator's records is discarded, because it ends before a position that
/// this box already knows by gossip.
pub fn log_read_discarded(end: TopicPosition, read_to: TopicPosition) {
    counter!("ravenspoke_reads_passed_over_total").increment(1);
    warn!(event = 747, name = "read_passed_over", %end, %read_to);
}

/// Logs that a follower reached the store again.
pub fn log_store_regained(topic: &str, after: Duration) {
    let after_ms = after.as_millis() as u64;
    info!(event = 731, name = "store_regained", topic, after_ms);
}

/// The last logged costs of control traffic.
#[derive(Debug, Default)]
pub struct LoggedCosts {
    calls: String,
    bytes: String,
}

impl LoggedCosts {
    /// Logs the calls to the store and the bytes of datagrams so far, if they have changed.
    pub fn log_changes(&mut self, stats: &ControlStats) {
        let (calls, bytes) = (stats.calls(), stats.bytes());
        if calls != self.calls {
            info!(event = 735, name = "store_calls", calls);
            self.calls = calls;
        }
        if bytes != self.bytes {
            info!(event = 736, name = "datagram_bytes", bytes);
            self.bytes = bytes;
        }
    }
}

/// Logs a record that can't be decoded.
pub fn log_bad_record(error: &RecordError) {
    counter!("ravenspoke_bad_records_total").increment(1);
    error!(event = 732, name = "record_unreadable", why = %error);
}

/// Logs that a verdict is not written, because `newest` is the version of the operator's newest
/// order for its service, if one is known.
pub fn log_verdict_withheld(verdict: &TrialVerdict, newest: Option<&str>) {
    let TrialVerdict { service, version, state } = verdict;
    info!(event = 778, name = "verdict_withheld", service, version, ?state, newest);
}
