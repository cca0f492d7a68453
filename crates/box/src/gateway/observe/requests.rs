//! Log events and metrics of single requests.

use std::time::Duration;

use metrics::{counter, gauge, histogram};
use ravenspoke_core::route::event::{
    AnswerHead, DecisionInputs, ForwardProgress, ForwardedRequest, PromptPart, RouteEffect,
    SendOrder, WaitOrder,
};
use tracing::{info, warn};

use crate::clients::request_body::BodyFailure;
use crate::clients::slow_readers::{ReaderStall, StallCause};
use crate::gateway::driver::RequestName;
use crate::gateway::forward::UnknownForwarder;
use crate::gateway::replica_call::FailedAttempt;
use crate::gateway::replica_link::LinkUse;
use crate::observe::count_body_unfinished;

/// Logs a decision about a request.
pub fn log_request(name: &RequestName, effect: &RouteEffect) {
    let id = name.id.as_str();
    match effect {
        RouteEffect::Send(_, order) if order.pass.is_some() => log_forward(id, order),
        RouteEffect::Send(_, order) => log_send(id, order),
        RouteEffect::Wait(_, order) => log_wait(id, order),
        RouteEffect::Refuse(_, refusal, inputs) => {
            record_waited(inputs);
            let reason = refusal.reason.slug();
            counter!("ravenspoke_route_refused_total", "reason" => reason).increment(1);
            info!(
                event = 702,
                name = "request_given_up",
                id,
                account = inputs.account,
                priority = inputs.priority,
                waited_ms = inputs.waited_ms,
                over_share = inputs.over_share,
                reason,
                status = refusal.status,
                retry_after_ms = refusal.retry_after_ms,
                plan = inputs.plan_version,
                plan_age_ms = inputs.plan_age_ms,
            );
        }
        RouteEffect::KeepFormer(_) => {
            counter!("ravenspoke_attempts_kept_total", "because" => "no_place").increment(1);
            info!(event = 775, name = "attempt_kept", id, because = "no_place");
        }
        RouteEffect::AbortResponse(_, reason) => {
            counter!("ravenspoke_broken_off_total").increment(1);
            warn!(event = 703, name = "answer_broken_off", id, reason = reason.slug());
        }
        _ => {}
    }
}

fn log_wait(id: &str, order: &WaitOrder) {
    let WaitOrder { until: _, left_ms, waiting, rejections, inputs } = order;
    counter!("ravenspoke_requests_waited_total").increment(1);
    info!(
        event = 766,
        name = "request_waits",
        id,
        account = inputs.account,
        priority = inputs.priority,
        expected_ms = inputs.expected_ms.round(),
        candidates = inputs.candidates,
        waiting,
        rejections,
        left_ms,
        plan = inputs.plan_version,
        plan_age_ms = inputs.plan_age_ms,
    );
}

/// Records how long a request waited, when it leaves the waiting room.
fn record_waited(inputs: &DecisionInputs) {
    if let Some(waited_ms) = inputs.waited_ms {
        histogram!("ravenspoke_waiting_seconds").record(waited_ms as f64 / 1_000.0);
    }
}

/// Sets the number of waiting requests of each priority.
pub fn set_waiting(by_priority: &[usize]) {
    for (priority, waiting) in by_priority.iter().enumerate() {
        gauge!("ravenspoke_waiting_requests", "priority" => priority.to_string())
            .set(*waiting as f64);
    }
}

fn log_send(id: &str, order: &SendOrder) {
    if order.number == 1 {
        record_waited(&order.inputs);
    }
    counter!("ravenspoke_sends_total", "attempt" => order.number.to_string()).increment(1);
    info!(
        event = 701,
        name = "request_sent",
        id,
        attempt = order.number,
        route = order.route,
        account = order.inputs.account,
        priority = order.inputs.priority,
        waited_ms = order.inputs.waited_ms,
        over_share = order.inputs.over_share,
        replica = order.replica_id,
        address = order.address,
        version = order.version,
        model = order.model,
        plan = order.inputs.plan_version,
        plan_age_ms = order.inputs.plan_age_ms,
        candidates = order.inputs.candidates,
        load = order.inputs.load,
        affine = order.inputs.affine,
        expected_ms = order.inputs.expected_ms.round(),
        wait_ms = order.inputs.wait_ms.round(),
        work_ms = order.inputs.work_ms.round(),
        urgency = order.urgency,
        speed = order.inputs.speed,
        session = order.inputs.trial.map(|_| format!("{:016x}", order.session)),
        trial_age_ms = order.inputs.trial.map(|trial| trial.age_ms),
        trial_share = order.inputs.trial.map(|trial| trial.share),
        trial_gave_way = order.inputs.trial.map(|trial| trial.fell_back),
        content = format!("{:016x}", order.content),
        parts = part_names(&order.parts),
        head_ms = order.head_ms,
        overlap_ms = order.overlap_ms,
    );
}

/// Parts of a prompt that are logged, at most.
const PARTS_LOGGED: usize = 8;

fn part_names(parts: &[PromptPart]) -> String {
    let names: Vec<String> = parts.iter().take(PARTS_LOGGED).map(PromptPart::to_string).collect();
    names.join(",")
}

fn log_forward(id: &str, order: &SendOrder) {
    counter!("ravenspoke_forwards_total").increment(1);
    let progress = order.pass.as_ref().map(|pass| pass.request.progress);
    let admission = order.pass.as_ref().map(|pass| &pass.request.admission);
    info!(
        event = 758,
        name = "request_forwarded",
        id,
        to = order.replica_id,
        address = order.address,
        route = order.route,
        attempts = progress.map(|progress| progress.attempts),
        repeat = progress.map(|progress| progress.is_repeat),
        resumes = progress.is_some_and(|progress| progress.begun.is_some()),
        admitted_by = admission.map(|admission| admission.plan_version),
        service = admission.map(|admission| admission.service.as_str()),
        plan = order.inputs.plan_version,
        plan_age_ms = order.inputs.plan_age_ms,
    );
}

/// Logs a request that another box forwarded to this one.
pub fn log_forward_received(id: &str, request: &ForwardedRequest) {
    counter!("ravenspoke_forwards_received_total").increment(1);
    let ForwardProgress { attempts, is_repeat: repeat, rejections, begun, .. } = request.progress;
    let admission = &request.admission;
    info!(
        event = 759,
        name = "forward_received",
        id,
        attempts,
        repeat,
        rejections,
        resumes = begun.is_some(),
        admitted_by = admission.plan_version,
        service = admission.service,
        account = admission.account,
    );
}

/// Logs a request on the socket for other boxes that none of them sent.
pub fn log_forward_rejected(error: &UnknownForwarder) {
    counter!("ravenspoke_forwards_rejected_total").increment(1);
    warn!(event = 760, name = "forward_rejected", why = %error);
}

/// Logs a failed attempt: its response was invalid, or none came.
pub fn log_attempt_failed(name: &RequestName, failed: &FailedAttempt, after: Duration) {
    let FailedAttempt { failure, why, link_use, written } = failed;
    counter!("ravenspoke_attempts_failed_total").increment(1);
    info!(
        event = 704,
        name = "attempt_failed",
        id = name.id,
        ?failure,
        why,
        written,
        connection = link_use.map(|link| link.connection),
        carried = link_use.map(|link| link.earlier),
        repeats_id = link_use.map(|link| link.repeats_id),
        after_ms = after.as_millis() as u64,
    );
}

/// Logs that a paused attempt goes on, `after` another place was asked.
pub fn log_attempt_resumed(name: &RequestName, after: Duration) {
    counter!("ravenspoke_attempts_kept_total", "because" => "resumed").increment(1);
    let after_ms = after.as_millis() as u64;
    info!(event = 775, name = "attempt_kept", id = name.id, because = "resumed", after_ms);
}

/// Logs the end of an attempt that was kept while another place was asked.
pub fn log_former_ended(name: &RequestName, failed: &FailedAttempt) {
    let FailedAttempt { failure, why, link_use, .. } = failed;
    info!(
        event = 776,
        name = "attempt_replaced",
        id = name.id,
        ?failure,
        why,
        connection = link_use.map(|link| link.connection),
    );
}

/// Counts an answer that does not bear the id of the request that waits for it.
pub fn count_foreign_answer() {
    counter!("ravenspoke_foreign_answers_total").increment(1);
}

/// Logs the head of a replica's response, which the next decision depends on.
pub fn log_head_received(name: &RequestName, head: &AnswerHead, link: LinkUse, after: Duration) {
    let after_ms = after.as_millis() as u64;
    info!(
        event = 707,
        name = "head_came",
        id = name.id,
        status = head.status,
        not_run = head.not_run || head.other_replica,
        proven = head.proven,
        confidence = head.confidence,
        waiting = head.load.map(|load| load.waiting),
        running = head.load.map(|load| load.running),
        machine_percent = head.machine_percent,
        limit_per_s = head.limit_per_s,
        rest_ms = head.backoff_ms,
        leaving = head.leaving,
        connection = link.connection,
        carried = link.earlier,
        repeats_id = link.repeats_id,
        after_ms,
    );
}

/// Logs that the box was suspended.
pub fn log_suspension(length: Duration) {
    counter!("ravenspoke_suspensions_total").increment(1);
    warn!(event = 744, name = "box_woke", suspended_ms = length.as_millis() as u64);
}

/// Logs a request that is refused because the bodies of others take the box's memory.
pub fn log_body_refused(id: &str, held_bytes: usize) {
    counter!("ravenspoke_bodies_refused_total").increment(1);
    info!(event = 777, name = "body_refused", id, held_bytes);
}

/// Logs a request that is refused because its body does not arrive in time.
pub fn log_body_unfinished(id: &str, why: BodyFailure, held_bytes: usize) {
    count_body_unfinished(why);
    info!(event = 779, name = "body_unfinished", id, ?why, held_bytes);
}

/// Logs a header that the platform's adapter does not know, the first time that a replica sends it.
pub fn log_unknown_header(header: &str, value: &str, replica: &str) {
    counter!("ravenspoke_strange_headers_total").increment(1);
    warn!(event = 740, name = "header_unknown", header, value, replica);
}

/// Logs the end of a request whose response was forwarded.
pub fn log_response_finished(name: &RequestName, status: u16, took: Duration) {
    histogram!("ravenspoke_answer_seconds").record(took.as_secs_f64());
    let took_ms = took.as_millis() as u64;
    info!(event = 705, name = "answer_passed_on", id = name.id, status, took_ms);
}

/// Logs that the caller disconnected before the end of the response.
pub fn log_caller_disconnected(name: &RequestName, after: Duration) {
    counter!("ravenspoke_callers_left_total").increment(1);
    let after_ms = after.as_millis() as u64;
    info!(event = 706, name = "caller_left", id = name.id, after_ms);
}

/// Logs a caller that is disconnected because it does not read its response.
pub fn log_reader_stalled(stall: &ReaderStall) {
    let ReaderStall { request, cause, held_bytes, quiet_ms } = stall;
    let cause = match cause {
        StallCause::Stalled => "stalled",
        StallCause::Memory => "memory",
    };
    counter!("ravenspoke_readers_stalled_total", "cause" => cause).increment(1);
    let (id, account) = (request.id.as_str(), request.account.as_deref());
    info!(event = 767, name = "reader_stalled", id, account, cause, held_bytes, quiet_ms);
}
