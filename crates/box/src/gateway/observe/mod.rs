//! Log events and metrics of a routing box. `docs/EVENTS.md` is the catalogue.
//!
//! Each decision that affects a request or changes the box's state has a line with its inputs and
//! their age. Lines go to a bounded buffer and never block; dropped lines are counted.
//!
//! `requests` has the events of single requests, `effects` those of changes of the box's state, and
//! `store` those of the platform's store. Here stand those of the process, its callers and the leader.

mod effects;
mod requests;
mod store;

use std::net::SocketAddr;

use metrics::counter;
use ravenspoke_core::route::leader::{CallOutcome, LeaderCall};
use ravenspoke_core::route::readiness::KnowledgeSummary;
use tracing::{error, info, warn};

pub use effects::log_effect;
pub use requests::*;
pub use store::*;

pub use crate::observe::{log_connections_closed, log_socket_failed};

/// Logs the start of the process.
pub fn log_started(name: &str, address: SocketAddr, seeds: &[SocketAddr]) {
    info!(event = 720, name = "gateway_started", box_name = name, %address, ?seeds);
}

/// Logs that the settings were read again.
pub fn log_reloaded(changed: bool) {
    info!(event = 721, name = "settings_read", changed);
}

/// Logs that the settings can't be read; the last valid ones stay in force.
pub fn log_reload_failed(why: &str) {
    warn!(event = 722, name = "settings_unreadable", why);
}

/// Logs seeds of the settings that are not addresses.
pub fn log_invalid_seeds(seeds: &[String]) {
    warn!(event = 724, name = "seeds_unreadable", ?seeds);
}

/// Counts a caller's connection that is closed because too many are open.
pub fn count_rejected_caller() {
    counter!("ravenspoke_callers_turned_away_total").increment(1);
}

/// Logs that callers' connections are closed from now on because too many are open.
pub fn log_callers_full(limit: usize) {
    warn!(event = 725, name = "callers_full", limit);
}

/// Logs that a request arrived while the box was starting.
pub fn log_request_waited(id: &str, waited_ms: u64) {
    info!(event = 728, name = "request_waited", id, waited_ms);
}

/// Logs that callers are served from now on, and what the box knows by then.
pub fn log_callers_accepted(knowledge: KnowledgeSummary) {
    let KnowledgeSummary { plan_version, replicas, paths_lost, peers, store_failed_ms } = knowledge;
    info!(
        event = 726,
        name = "callers_taken",
        plan = plan_version,
        replicas,
        paths_lost,
        peers,
        store_failed_ms,
    );
}

/// Counts a caller's lookup that named no box. The first one since a lookup named any is logged.
pub fn log_lookup_refused(is_first: bool, knowledge: KnowledgeSummary) {
    counter!("ravenspoke_lookups_refused_total").increment(1);
    if is_first {
        let KnowledgeSummary { plan_version, replicas, peers, .. } = knowledge;
        warn!(event = 772, name = "lookups_refused", plan = plan_version, replicas, peers);
    }
}

/// Logs that a task ended that should run as long as the process. It is started again after
/// `restart_ms`, or the process ends.
pub fn log_task_ended(task: &'static str, restart_ms: Option<u64>) {
    counter!("ravenspoke_tasks_ended_total", "task" => task).increment(1);
    error!(event = 773, name = "task_ended", task, restart_ms);
}

/// Logs a panic. It ends the request or the task that it belongs to.
pub fn log_panic(place: &str, why: &str) {
    counter!("ravenspoke_panics_total").increment(1);
    error!(event = 774, name = "panicked", place, why);
}

/// Logs that new connections are refused from now on, with the number of open ones.
pub fn log_entry_closed(open_connections: usize) {
    info!(event = 727, name = "callers_refused", open_connections);
}

/// Logs the exit of the process.
pub fn log_exit(open_connections: usize, in_flight: usize) {
    info!(event = 723, name = "gateway_exits", open_connections, in_hand = in_flight);
}

/// Logs the outcome of a call that the leader made.
pub fn log_leader_call(call: &LeaderCall, token: u64, outcome: CallOutcome) {
    let kind = match call {
        LeaderCall::Report(_) => "report",
        LeaderCall::Scale(..) => "scale",
    };
    counter!("ravenspoke_lead_calls_total", "call" => kind).increment(1);
    info!(event = 750, name = "lead_called", token, ?outcome, ?call);
}

/// Logs that an order of the leader failed; it is retried while the box holds the lease.
pub fn log_leader_step_failed(step: &'static str, why: &dyn std::fmt::Display) {
    warn!(event = 751, name = "lead_failed", step, %why);
}

/// Logs that the store did not answer a request for the leader's lease.
pub fn log_lease_failed(why: &dyn std::fmt::Display) {
    warn!(event = 752, name = "lease_unanswered", %why);
}

/// Logs a datagram of another box that can't be decoded.
pub fn log_bad_gossip(why: &str) {
    counter!("ravenspoke_bad_notes_total").increment(1);
    warn!(event = 733, name = "note_unreadable", why);
}
