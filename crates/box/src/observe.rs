//! Numbered log events and metrics. A test checks that the catalogue `docs/EVENTS.md` matches this
//! file.

use metrics::counter;
use ravenspoke_core::attempt::{RequestRefusal, RunState};
use ravenspoke_core::effect::BoxEffect;
use tracing::{error, info, warn};

use crate::clients::connection_table::ClosedConnections;
use crate::clients::request_body::BodyFailure;
use crate::clients::slow_readers::ReaderStall;

/// Numbers and names of the log events.
pub const EVENT_CATALOGUE: &[(u32, &str)] = &[
    (101, "box_started"),
    (102, "box_stopping"),
    (103, "box_exits"),
    (201, "bundle_in_force"),
    (202, "bundle_rejected"),
    (203, "order_given"),
    (210, "rollout_halted"),
    (211, "rollout_step"),
    (301, "request_refused"),
    (310, "replica_leaving"),
    (401, "bills_taken_over"),
    (402, "bill_unwitnessed"),
    (501, "log_unreachable"),
    (502, "list_unreachable"),
    (503, "append_failed"),
    (504, "order_failed"),
    (601, "peer_refused"),
    (701, "request_sent"),
    (702, "request_given_up"),
    (703, "answer_broken_off"),
    (704, "attempt_failed"),
    (705, "answer_passed_on"),
    (706, "caller_left"),
    (707, "head_came"),
    (710, "plan_in_force"),
    (711, "plan_too_old"),
    (712, "backend_leaving"),
    (713, "trial_moved"),
    (714, "verdict_due"),
    (715, "stop_begun"),
    (716, "trial_share_moved"),
    (717, "mark_due"),
    (718, "version_condemned"),
    (720, "gateway_started"),
    (721, "settings_read"),
    (722, "settings_unreadable"),
    (723, "gateway_exits"),
    (724, "seeds_unreadable"),
    (725, "callers_full"),
    (726, "callers_taken"),
    (727, "callers_refused"),
    (728, "request_waited"),
    (730, "store_lost"),
    (731, "store_regained"),
    (732, "record_unreadable"),
    (733, "note_unreadable"),
    (734, "socket_failed"),
    (735, "store_calls"),
    (736, "datagram_bytes"),
    (737, "records_untold"),
    (738, "reader_moved"),
    (739, "evacuation_moved"),
    (740, "header_unknown"),
    (741, "limit_moved"),
    (742, "request_fatal"),
    (743, "leaving_said"),
    (744, "box_woke"),
    (745, "store_restored"),
    (746, "store_era_unreadable"),
    (747, "read_passed_over"),
    (748, "leader_moved"),
    (749, "replicas_ordered"),
    (750, "lead_called"),
    (751, "lead_failed"),
    (752, "lease_unanswered"),
    (753, "scale_unsound"),
    (754, "verdict_basis"),
    (755, "trial_put_off"),
    (756, "replica_unreachable"),
    (757, "paths_changed"),
    (758, "request_forwarded"),
    (759, "forward_received"),
    (760, "forward_rejected"),
    (761, "brittle_changed"),
    (762, "brittle_rejected"),
    (763, "crash_judged"),
    (764, "poison_found"),
    (765, "poison_record_due"),
    (766, "request_waits"),
    (767, "reader_stalled"),
    (768, "shares_changed"),
    (769, "speed_changed"),
    (770, "contention_changed"),
    (771, "read_deferred"),
    (772, "lookups_refused"),
    (773, "task_ended"),
    (774, "panicked"),
    (775, "attempt_kept"),
    (776, "attempt_replaced"),
    (777, "body_refused"),
    (778, "verdict_withheld"),
    (779, "body_unfinished"),
    (780, "connections_closed"),
];

/// Logs a failed operation on a socket.
pub fn log_socket_failed(purpose: &str, error: &std::io::Error) {
    warn!(event = 734, name = "socket_failed", purpose, why = %error);
}

/// Counts a client's connection that is closed because all others are served.
pub fn count_rejected_client() {
    counter!("ravenspoke_clients_turned_away_total").increment(1);
}

/// Counts a caller that is disconnected since it does not read its response.
pub fn count_reader_stalled(_stall: &ReaderStall) {
    counter!("ravenspoke_readers_stalled_total").increment(1);
}

/// Logs and counts a refusal.
pub fn record_refusal(refusal: &RequestRefusal) {
    let run = match refusal.run() {
        RunState::NotRun => "not_run",
        RunState::Unknown => "unknown",
        RunState::Ran => "ran",
    };
    let code = refusal.reason.slug();
    counter!("ravenspoke_refused_total", "code" => code, "run" => run).increment(1);
    tracing::debug!(event = 301, name = "request_refused", code, run);
}

/// Counts a request whose body does not arrive in time.
pub fn count_body_unfinished(why: BodyFailure) {
    let why = if why == BodyFailure::Stalled { "stalled" } else { "late" };
    counter!("ravenspoke_bodies_unfinished_total", "why" => why).increment(1);
}

/// Logs connections that were closed since the last check, to one kind of listener.
pub fn log_connections_closed(listener: &'static str, closed: ClosedConnections) {
    let ClosedConnections { late_heads, gave_way } = closed;
    let count = |cause, number: usize| {
        let counter = counter!("ravenspoke_connections_closed_total", "cause" => cause);
        counter.increment(number as u64);
    };
    count("late_head", late_heads);
    count("gave_way", gave_way);
    info!(event = 780, name = "connections_closed", listener, late_heads, gave_way);
}

/// Logs and counts an effect, if it has a log event or a metric.
pub fn record_effect(effect: &BoxEffect) {
    match effect {
        BoxEffect::BundleInForce { sequence, digest } => {
            metrics::gauge!("ravenspoke_bundle_sequence").set(*sequence as f64);
            info!(event = 201, name = "bundle_in_force", sequence, digest);
        }
        BoxEffect::BundleRejected(rejection) => {
            counter!("ravenspoke_bundles_rejected_total").increment(1);
            warn!(event = 202, name = "bundle_rejected", %rejection);
        }
        BoxEffect::RolloutHalted(version) => {
            counter!("ravenspoke_rollouts_halted_total").increment(1);
            warn!(event = 210, name = "rollout_halted", version);
        }
        BoxEffect::RolloutStep(version, step) => {
            info!(event = 211, name = "rollout_step", version, step);
        }
        BoxEffect::Refuse(_, refusal) => record_refusal(refusal),
        BoxEffect::Order(order) => {
            let versions = order.versions.join(" ");
            info!(event = 203, name = "order_given", order.replica, order.token, versions);
        }
        BoxEffect::ReplicaLeaving(replica) => {
            info!(event = 310, name = "replica_leaving", replica);
        }
        BoxEffect::OwnerLost { owner, bills } => {
            warn!(event = 401, name = "bills_taken_over", owner, bills);
        }
        BoxEffect::Unwitnessed(bill) => {
            counter!("ravenspoke_bills_unwitnessed_total").increment(1);
            error!(event = 402, name = "bill_unwitnessed", request = bill.request);
        }
        BoxEffect::Finish(..) => counter!("ravenspoke_answered_total").increment(1),
        BoxEffect::Send(_) => counter!("ravenspoke_dispatched_total").increment(1),
        BoxEffect::Append(stream, batch) => {
            counter!("ravenspoke_appends_total", "stream" => stream.name()).increment(1);
            counter!("ravenspoke_append_records_total", "stream" => stream.name())
                .increment(batch.len() as u64);
        }
        BoxEffect::SendPeer(..) => counter!("ravenspoke_peer_messages_total").increment(1),
        BoxEffect::PrepareAttempt(..)
        | BoxEffect::RateHeldAnswer(..)
        | BoxEffect::RateReleasedAnswer(_)
        | BoxEffect::Replay(..)
        | BoxEffect::ReadBundles
        | BoxEffect::ExitAllowed => {}
    }
}
