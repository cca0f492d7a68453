//! Log events and metrics of a routing box. `docs/EVENTS.md` is the catalogue.
//!
//! Each decision that affects a request or changes the box's state has a line with its inputs and
//! their age. Lines go to a bounded buffer and never block; dropped lines are counted.

use std::net::SocketAddr;
use std::time::Duration;

use metrics::{counter, gauge, histogram};
use ravenspoke_adapter::records::RecordError;
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::event::{
    AnswerHead, DecisionInputs, ForwardProgress, ForwardedRequest, PromptPart, RouteEffect,
    SendOrder, WaitOrder,
};
use ravenspoke_core::route::leader::scale::ScaleSubject;
use ravenspoke_core::route::leader::{CallOutcome, LeaderCall};
use ravenspoke_core::route::paths::PathPhase;
use ravenspoke_core::route::poison::{CrashJudgement, PoisonFinding, PoisonRecord};
use ravenspoke_core::route::readiness::KnowledgeSummary;
use ravenspoke_core::route::scheduling::account_shares::ShareSummary;
use ravenspoke_core::route::shares::{AccountUse, MEASURED_ACCOUNTS};
use ravenspoke_core::route::trial::TrialVerdict;
use tracing::{error, info, warn};

use super::control_stats::ControlStats;
use super::driver::RequestName;
use super::forward::UnknownForwarder;
use super::pool::LinkUse;
use super::replica_call::FailedAttempt;
use super::slow_readers::{ReaderStall, StallCause};

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

/// Logs an effect that changes the box's state.
pub fn log_effect(effect: &RouteEffect) {
    match effect {
        RouteEffect::PlanInForce { version, routes, age_ms } => {
            gauge!("ravenspoke_plan_version").set(*version as f64);
            info!(event = 710, name = "plan_in_force", version, routes, age_ms);
        }
        RouteEffect::ReaderChanged { is_reader, store_unreachable, plan_age_ms } => {
            gauge!("ravenspoke_reader").set(f64::from(u8::from(*is_reader)));
            info!(
                event = 738,
                name = "reader_moved",
                reads = is_reader,
                cut = store_unreachable,
                plan_age_ms
            );
        }
        RouteEffect::ReadDeferralChanged { to, failed_ms, plan_version } => {
            gauge!("ravenspoke_read_deferred").set(f64::from(u8::from(to.is_some())));
            info!(
                event = 771,
                name = "read_deferred",
                deferred = to.is_some(),
                to = to.as_deref(),
                failed_ms,
                plan = plan_version
            );
        }
        RouteEffect::PlanTooOld { version } => {
            warn!(event = 711, name = "plan_too_old", version);
        }
        RouteEffect::StoreRestored { era, former } => {
            gauge!("ravenspoke_store_era").set(*era as f64);
            warn!(event = 745, name = "store_restored", era, former);
        }
        RouteEffect::BackendLeaving(replica) => {
            info!(event = 712, name = "backend_leaving", replica);
        }
        RouteEffect::PathPhaseChanged { phase, lasted_ms, failed } => {
            let is_lost = *phase == PathPhase::Lost;
            gauge!("ravenspoke_paths_lost").set(f64::from(u8::from(is_lost)));
            info!(event = 757, name = "paths_changed", ?phase, former_ms = lasted_ms, failed);
        }
        RouteEffect::ReplicaUnreachable { replica, reported_by } => {
            let told_by = if reported_by.is_some() { "other" } else { "own" };
            counter!("ravenspoke_replicas_unreachable_total", "told_by" => told_by).increment(1);
            info!(event = 756, name = "replica_unreachable", replica, told_by = reported_by);
        }
        RouteEffect::EvacuationChanged { order, known_to, in_flight } => {
            let zone = order.zone.clone();
            let evacuated = order.evacuated;
            gauge!("ravenspoke_zone_evacuated", "zone" => zone.clone())
                .set(f64::from(u8::from(evacuated)));
            info!(event = 739, name = "evacuation_moved", zone, evacuated, %known_to, in_hand = in_flight);
        }
        RouteEffect::CrashJudged(CrashJudgement { content, replica, fate }) => {
            let fate_label = format!("{fate:?}").to_lowercase();
            counter!("ravenspoke_crashes_judged_total", "fate" => fate_label).increment(1);
            let (content, replica) = (format!("{content:016x}"), format!("{replica:016x}"));
            info!(event = 763, name = "crash_judged", content, replica, ?fate);
        }
        RouteEffect::PoisonFound(finding) => {
            let PoisonFinding { feature, is_poison, judged_here, crashes, requests } = *finding;
            let found = if is_poison { "poison" } else { "cleared" };
            counter!("ravenspoke_poison_findings_total", "found" => found).increment(1);
            info!(event = 764, name = "poison_found", %feature, found, judged_here, crashes, requests);
        }
        RouteEffect::PoisonRefused { feature, account, crashes, requests, age_ms } => {
            counter!("ravenspoke_fatal_contents_total").increment(1);
            let ends = crashes;
            warn!(event = 742, name = "request_fatal", %feature, account, ends, requests, age_ms);
        }
        RouteEffect::LeavingReported(replica) => {
            counter!("ravenspoke_leaving_said_total").increment(1);
            info!(event = 743, name = "leaving_said", replica);
        }
        RouteEffect::LimitChanged { replica, per_s, own_per_s } => {
            counter!("ravenspoke_limits_moved_total").increment(1);
            info!(event = 741, name = "limit_moved", replica, per_s, own_per_s);
        }
        RouteEffect::BrittleChanged { service, per_s } => {
            let service = format!("{service:016x}");
            info!(event = 761, name = "brittle_changed", service, per_s);
        }
        RouteEffect::BrittleRejected { service, pause_ms } => {
            counter!("ravenspoke_brittle_rejections_total").increment(1);
            info!(event = 762, name = "brittle_rejected", service, pause_ms);
        }
        RouteEffect::SpeedChanged { replica, service, ratio, fastest, slowest } => {
            let extreme = |which: &'static str, ratio: f64| {
                let service = service.clone();
                gauge!("ravenspoke_replica_ratio", "service" => service, "extreme" => which)
                    .set(ratio);
            };
            extreme("fastest", *fastest);
            extreme("slowest", *slowest);
            info!(event = 769, name = "speed_changed", replica, service, ratio, fastest, slowest);
        }
        RouteEffect::ContentionChanged { service, contended, boxes } => {
            gauge!("ravenspoke_contention", "service" => service.clone())
                .set(f64::from(u8::from(*contended)));
            info!(event = 770, name = "contention_changed", service, contended, boxes);
        }
        RouteEffect::SharesMeasured { service, summary, heaviest, level_changed } => {
            measure_shares(service, heaviest);
            if *level_changed {
                log_shares(service, summary, heaviest);
            }
        }
        RouteEffect::TrialStateChanged { service, version, state, runs, bad } => {
            info!(event = 713, name = "trial_moved", service, version, ?state, runs, bad);
        }
        RouteEffect::TrialShareChanged { service, version, share, age_ms, runs, bad } => {
            gauge!("ravenspoke_trial_share", "service" => service.clone()).set(*share);
            info!(
                event = 716,
                name = "trial_share_moved",
                service,
                version,
                share,
                age_ms,
                runs,
                bad,
            );
        }
        RouteEffect::WriteVerdict(verdict) => {
            let (service, version, state) = (&verdict.service, &verdict.version, verdict.state);
            info!(event = 714, name = "verdict_due", service, version, ?state);
        }
        RouteEffect::VerdictExplained { service, version, state, basis } => {
            let (canary, baseline) = (&basis.stats.canary, &basis.stats.baseline);
            info!(
                event = 754,
                name = "verdict_basis",
                service,
                version,
                ?state,
                age_ms = basis.age_ms,
                runs = canary.runs,
                bad = canary.bad,
                other_runs = baseline.runs,
                other_bad = baseline.bad,
                slow = canary.slow,
                other_slow = baseline.slow,
                peak_load = canary.peak_load,
                other_peak_load = baseline.peak_load,
                least_shown_share = canary.least_shown_share(),
                sent_to_version = basis.exposure.canary,
                sent_to_service = basis.exposure.all,
            );
        }
        RouteEffect::CarryDelayed { service, version, age_ms, delay } => {
            info!(event = 755, name = "trial_put_off", service, version, age_ms, ?delay);
        }
        RouteEffect::VersionRejected { service, version, finding } => {
            let (route, stats) = (finding.route.as_deref().unwrap_or("all"), &finding.stats);
            warn!(
                event = 718,
                name = "version_condemned",
                service,
                version,
                route,
                fault = ?finding.fault,
                runs = stats.canary.runs,
                bad = stats.canary.bad,
                other_runs = stats.baseline.runs,
                other_bad = stats.baseline.bad,
                slow = stats.canary.slow,
                other_slow = stats.baseline.slow,
                times_slower = stats.times_slower(),
            );
        }
        RouteEffect::WriteCheckpoint(checkpoint) => {
            let (service, version) = (&checkpoint.service, &checkpoint.version);
            let (phase, age_ms) = (checkpoint.progress.phase, checkpoint.progress.age_ms);
            info!(event = 717, name = "mark_due", service, version, ?phase, age_ms);
        }
        RouteEffect::WritePoison(PoisonRecord { feature, state }) => {
            info!(event = 765, name = "poison_record_due", %feature, ?state);
        }
        RouteEffect::LeaderPartChanged(part) => {
            info!(event = 748, name = "leader_moved", ?part);
        }
        RouteEffect::ReplicasRequested { subject, wanted } => {
            let ScaleSubject { service, zone, spot } = subject;
            info!(event = 749, name = "replicas_ordered", service, zone, spot, wanted);
        }
        RouteEffect::ScaleBoundsInvalid { service, min, max } => {
            warn!(event = 753, name = "scale_unsound", service, min, max);
        }
        RouteEffect::StopBegun => info!(event = 715, name = "stop_begun"),
        _ => {}
    }
}

/// Logs shares of client accounts.
fn log_shares(service: &str, summary: &ShareSummary, heaviest: &[AccountUse]) {
    let uses = heaviest.iter().map(|row| {
        let AccountUse { account, demand, granted } = row;
        format!("{account} {demand:.0}/{granted:.0}")
    });
    info!(
        event = 768,
        name = "shares_changed",
        service,
        level = summary.level.map(f64::round),
        capacity = summary.capacity.round(),
        demand = summary.demand.round(),
        boxes = summary.boxes,
        heaviest = uses.collect::<Vec<_>>().join(", "),
    );
}

/// Measures share and use of the accounts with the largest demands, by their rank: accounts' names
/// as labels would be without bound.
fn measure_shares(service: &str, heaviest: &[AccountUse]) {
    for rank in 0..MEASURED_ACCOUNTS {
        let none = AccountUse::default();
        let AccountUse { demand, granted, .. } = heaviest.get(rank).unwrap_or(&none);
        let labels = [("service", service.to_owned()), ("rank", (rank + 1).to_string())];
        gauge!("ravenspoke_account_demand", &labels).set(*demand);
        gauge!("ravenspoke_account_share", &labels).set(*granted);
    }
}

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

/// Logs that a verdict is not written, because `newest` is the version of the operator's newest
/// order for its service, if one is known.
pub fn log_verdict_withheld(verdict: &TrialVerdict, newest: Option<&str>) {
    let TrialVerdict { service, version, state } = verdict;
    info!(event = 778, name = "verdict_withheld", service, version, ?state, newest);
}

/// Logs that new connections are refused from now on, with the number of open ones.
pub fn log_entry_closed(open_connections: usize) {
    info!(event = 727, name = "callers_refused", open_connections);
}

/// Logs the exit of the process.
pub fn log_exit(open_connections: usize, in_flight: usize) {
    info!(event = 723, name = "gateway_exits", open_connections, in_hand = in_flight);
}

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

/// Logs a datagram of another box that can't be decoded.
pub fn log_bad_gossip(why: &str) {
    counter!("ravenspoke_bad_notes_total").increment(1);
    warn!(event = 733, name = "note_unreadable", why);
}

/// Logs an error of one of the box's sockets.
pub fn log_socket_failed(purpose: &str, error: &std::io::Error) {
    warn!(event = 734, name = "socket_failed", purpose, why = %error);
}
