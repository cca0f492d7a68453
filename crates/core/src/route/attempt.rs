//! The attempts of a request: which replica gets it, how long the router waits for it, and whether
//! another attempt is allowed when one stalls, fails or breaks.

use super::admission::RouteTerms;
use super::backend_health::{BackendOutcome, UNREACHABLE_DELAY_MS};
use super::choice::AttemptChoice;
use super::event::{
    AttemptFailure, DecisionInputs, FormerEnd, RefusalReason, RouteEffect, SendOrder,
};
use super::former::PlaceOutcome;
use super::plan::RouteKind;
use super::request::{RouteRequest, RunningAttempt};
use super::retry_budget::SendCause;
use super::run_record::NotRunProof;
use super::scheduling::admission::{latest_retry_ms, overload_retry_ms};
use super::scheduling::pick::BackendPick;
use super::scheduling::placement::{load_urgency, urgency};
use super::verdict::advance;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// Time limit of a response head where another replica may be tried, as a multiple of the latency
/// target.
pub const HEAD_TARGETS: f64 = 1.0;

/// The same for an answer that is no stream: its work takes a fraction of the target.
pub const UNARY_HEAD_TARGETS: f64 = 2.0;

/// Time limit of a pause between events, as a share of the longest pause that counts in full.
pub const PAUSE_SHARE: f64 = 0.8;

/// Queued work up to which a replica counts as idle when its latency is learned, in milliseconds: a
/// few steps of the engine.
pub(super) const IDLE_WORK_MS: f64 = 20.0;

/// Failed connections that do not count as attempts of a request, at most.
pub const FREE_CONNECT_FAILURES: u32 = 3;

/// Consecutive pauses after which a partly relayed stream is moved to the last replica that may be
/// tried. If that one fails, the answer is lost, while the first may only be slow.
pub const LAST_REPLICA_PAUSES: u32 = 3;

impl RouteState {
    /// Sends a request to a replica, or refuses it for `otherwise` if there is none.
    pub(super) fn send(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        otherwise: RefusalReason,
        out: &mut Vec<RouteEffect>,
    ) {
        if self.refuse_dangerous(stamp, ticket, out) {
            return;
        }
        self.advance_trial(stamp, ticket, out);
        self.share_newly_cold(stamp.now);
        let size = self.requests.get(&ticket).and_then(|request| request.size);
        let choice = self.choose(stamp, ticket, size);
        if let Some(target) = self.better_forward(stamp, ticket, choice.as_ref()) {
            return self.send_forward(stamp, ticket, target, out);
        }
        let choice = choice.filter(|_| !self.paths.is_lost());
        let Some(choice) = choice else {
            let reason = self.no_replica_reason(stamp, ticket).unwrap_or(otherwise);
            match reason {
                RefusalReason::Evacuated | RefusalReason::NoRegion => {
                    self.set_latest_retry(stamp, ticket);
                }
                RefusalReason::ReplicasLimited => self.set_backoff_retry(stamp, ticket),
                _ => {}
            }
            self.give_up(stamp, ticket, reason, out);
            return;
        };
        self.record_contention(stamp, ticket, &choice.pick);
        if self.refuse_over_share(stamp, ticket, &choice.pick, out) {
            return;
        }
        if self.rejects_overload(stamp, ticket, &choice.pick) {
            self.give_up(stamp, ticket, RefusalReason::DeadlineTooShort, out);
            return;
        }
        if self.enter_room(stamp, ticket, &choice.pick, out) {
            return;
        }
        self.assign(stamp, ticket, choice, out);
    }

    /// Sets the retry time to the latest that the caller accepts: nothing changes sooner.
    pub(super) fn set_latest_retry(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let left_ms = request.deadline.millis_since(stamp.now);
        request.retry_after_ms = Some(latest_retry_ms(left_ms, stamp.random));
    }

    /// Sets the retry time to when this box may again send to a replica that backs off or is rate
    /// limited, if the caller accepts that.
    fn set_backoff_retry(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        self.set_latest_retry(stamp, ticket);
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let throttled = self.backends.all_throttled(&request.service, stamp.now);
        let Some(next_at) = throttled.and_then(|service| service.next_at) else { return };
        let after_ms = next_at.millis_since(stamp.now);
        request.retry_after_ms = request.retry_after_ms.map(|late| late.min(after_ms));
    }

    /// Returns why no replica may get a request, where that is known.
    fn no_replica_reason(&self, stamp: EventStamp, ticket: RequestTicket) -> Option<RefusalReason> {
        let request = self.requests.get(&ticket)?;
        let service = &request.service;
        let zones = request.zones.as_deref();
        if zones.is_some_and(|zones| self.backends.none_in(service, zones, stamp.now)) {
            return Some(RefusalReason::NoRegion);
        }
        if self.backends.all_evacuated(service, &self.evacuated, stamp.now) {
            return Some(RefusalReason::Evacuated);
        }
        let throttled = self.backends.all_throttled(service, stamp.now);
        throttled.map(|_| RefusalReason::ReplicasLimited)
    }

    /// Records whether a request that was not sent yet would begin after its target.
    fn record_contention(&mut self, stamp: EventStamp, ticket: RequestTicket, pick: &BackendPick) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let is_new = request.sends == 0 && request.entered_room.is_none();
        let is_first = is_new && request.prompt.is_some();
        if !is_first || !self.controls_overload(&request.service) {
            return;
        }
        let waited_ms = stamp.now.millis_since(request.arrived);
        let left_ms = request.route.target_ms.saturating_sub(waited_ms);
        self.contention.record(&request.service, pick.expected_ms, left_ms, stamp.now);
    }

    /// Returns whether a request that was not sent yet would miss its deadline even at the replica
    /// where it would begin soonest.
    fn rejects_overload(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        pick: &BackendPick,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        if request.sends > 0 || request.prompt.is_none() {
            return false;
        }
        let left_ms = request.deadline.millis_since(stamp.now);
        let target_ms = request.route.target_ms;
        let after = overload_retry_ms(pick.expected_ms, left_ms, target_ms, stamp.random);
        request.retry_after_ms = after;
        after.is_some()
    }

    /// Applies all evidence so far to the trial of a request's service. The verdict on a bad
    /// version does not wait for the next tick, since each request until then may reach that
    /// version.
    fn advance_trial(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(trial) = self.trials.get_mut(&request.service) else { return };
        advance(trial, stamp.now, out);
        if trial.is_rollback_due() {
            self.judge_trials(stamp, out);
        }
    }

    /// Sets the model of a request's next attempt. The last attempt allowed goes to the smallest
    /// model: where a larger one failed or stalled, an answer of lower quality is better than none.
    fn fall_back_to_small(&mut self, ticket: RequestTicket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let last = request.sends + 1 >= request.route.attempts;
        if last && request.begun().is_none() {
            request.size = request.size.map(|_| 0);
        }
    }

    /// Assigns a request to a replica.
    fn assign(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        choice: AttemptChoice,
        out: &mut Vec<RouteEffect>,
    ) {
        let pick = choice.pick;
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(permit) = request.permit() else {
            return self.give_up(stamp, ticket, RefusalReason::Failed, out);
        };
        let inputs = DecisionInputs {
            candidates: pick.candidates,
            load: pick.load,
            affine: pick.affine,
            expected_ms: pick.expected_ms,
            wait_ms: pick.wait_ms,
            work_ms: pick.work_ms,
            trial: choice.trial,
            speed: pick.slowness,
            ..self.request_inputs(stamp, request)
        };
        self.backends.sent(pick.key, stamp.now);
        self.record_placement(stamp, ticket, &pick, out);
        let urgency = self.urgency(stamp, ticket);
        let usual_ms = self.usual_ms(ticket, &pick);
        let Some(row) = self.backends.get(pick.key) else { return };
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.runs.begin(permit);
        // The version is that of the replica, even if no replica of the preferred version was left.
        let trial = self.trials.get_mut(&request.service);
        let on_trial =
            trial.is_some_and(|trial| trial.count_sent(&row.entry.version, request.sends == 0));
        request.attempt = Some(RunningAttempt {
            replica: pick.key,
            began: stamp.now,
            on_trial,
            size: request.size,
            answer: None,
            answers_since: None,
            pauses: 0,
            cached: pick.cached,
            was_idle: pick.wait_ms <= IDLE_WORK_MS,
            expected_ms: pick.expected_ms as u64,
            usual_ms,
        });
        request.tried.push(pick.key);
        request.sends += 1;
        let (head_ms, pause_ms) = stall_limits(request, stamp.now);
        let order = SendOrder {
            number: request.sends,
            replica: pick.key,
            replica_id: row.entry.id.clone(),
            address: row.entry.address.clone(),
            version: row.entry.version.clone(),
            route: request.route.name.clone(),
            kind: request.route.kind,
            model: request.size.map(|size| request.route.sizes[size].clone()),
            account: request.account.clone(),
            session: request.session,
            content: request.content,
            parts: request.parts.clone(),
            urgency,
            deadline: request.deadline,
            head_ms,
            pause_ms,
            overlap_ms: request.overlap_ms(),
            inputs: Box::new(inputs),
            pass: None,
        };
        out.push(RouteEffect::Send(ticket, order));
    }

    /// Returns the urgency of a request in a replica's queue, if it applies.
    fn urgency(&self, stamp: EventStamp, ticket: RequestTicket) -> Option<u8> {
        let request = self.requests.get(&ticket)?;
        if !self.controls_overload(&request.service) {
            return request.size.map(urgency);
        }
        request.prompt?;
        let over_share = self.is_over_share(request, stamp.now);
        Some(load_urgency(request.priority_at(stamp.now), over_share, request.size))
    }

    /// Assigns the request to another replica, if there is one and attempts, time and budget allow it.
    /// Otherwise nothing changes and `false` is returned. The current attempt ends if it has failed, and
    /// is kept otherwise.
    pub(super) fn reassign(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        cause: SendCause,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        let size = self.requests.get(&ticket).and_then(|request| request.size);
        if cause != SendCause::LargerModel {
            self.fall_back_to_small(ticket);
        }
        self.advance_trial(stamp, ticket, out);
        self.share_newly_cold(stamp.now);
        let next = self.requests.get(&ticket).and_then(|request| request.size);
        let choice = self.choose(stamp, ticket, next);
        let target = self.better_forward(stamp, ticket, choice.as_ref());
        let target = target.filter(|_| cause != SendCause::LargerModel);
        let choice = choice.filter(|_| !self.paths.is_lost());
        let possible = target.is_some() || choice.is_some();
        if !possible || !self.may_send_again(stamp, ticket, cause) {
            if let Some(request) = self.requests.get_mut(&ticket) {
                request.size = size;
            }
            return false;
        }
        self.set_aside(stamp, ticket, cause);
        match (target, choice) {
            (Some(target), _) => self.send_forward(stamp, ticket, target, out),
            (None, Some(choice)) => self.assign(stamp, ticket, choice, out),
            (None, None) => {}
        }
        true
    }

    /// Sends a request again, or refuses it for `otherwise` if attempts, time or budget forbid
    /// that.
    pub(super) fn resend(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        otherwise: RefusalReason,
        out: &mut Vec<RouteEffect>,
    ) {
        if self.may_send_again(stamp, ticket, SendCause::Failure) {
            self.fall_back_to_small(ticket);
            self.send(stamp, ticket, otherwise, out);
        } else {
            self.give_up(stamp, ticket, otherwise, out);
        }
    }

    /// Sends a request again whose last attempt wrote nothing to a replica. The retry budget bounds
    /// what arrives at replicas, so it does not apply here.
    fn resend_unwritten(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.may_be_sent(stamp.now) {
            self.fall_back_to_small(ticket);
            self.send(stamp, ticket, RefusalReason::NoReplica, out);
        } else {
            self.give_up(stamp, ticket, RefusalReason::NoReplica, out);
        }
    }

    /// Returns whether attempts, time and the fleet's retry budget allow another attempt, and
    /// spends it from the budget.
    pub(super) fn may_send_again(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        cause: SendCause,
    ) -> bool {
        let Some(request) = self.requests.get(&ticket) else { return false };
        if !request.may_be_sent(stamp.now) || self.may_crash_replicas(stamp, ticket) {
            return false;
        }
        let boxes = self.peers.fleet_count(stamp.now);
        let budget = self.budgets.entry(request.service.clone()).or_default();
        budget.spend(self.settings.budget, boxes, cause, stamp.now)
    }

    /// Ends the current attempt, and records its outcome for the replica. An unreachable replica is
    /// gossiped within [`UNREACHABLE_DELAY_MS`].
    pub(super) fn end_attempt(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        outcome: BackendOutcome,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if let Some(attempt) = request.attempt.take() {
            self.release(stamp, attempt, outcome);
        }
    }

    /// Gives back an attempt's place at its replica, and records its outcome for that.
    pub(super) fn release(
        &mut self,
        stamp: EventStamp,
        attempt: RunningAttempt,
        outcome: BackendOutcome,
    ) {
        self.backends.remove_pending(attempt.replica, attempt.began);
        self.backends.ended(attempt.replica, outcome, stamp.now);
        if outcome == BackendOutcome::Unreachable {
            self.settle_crashes(stamp.now);
            self.mark_unreachable_cold(attempt.replica, stamp.now);
            self.rounds.next_round =
                self.rounds.next_round.min(stamp.now.plus_millis(UNREACHABLE_DELAY_MS));
        }
    }

    /// Reports that a replica is passed over, because this box or another one cannot connect to it,
    /// once for each outage.
    pub(super) fn report_unreachable(
        &mut self,
        replica: ReplicaKey,
        reported_by: Option<&str>,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(replica) = self.backends.report_outage(replica) else { return };
        let reported_by = reported_by.map(str::to_owned);
        out.push(RouteEffect::ReplicaUnreachable { replica, reported_by });
    }

    /// Asks another replica for a stalled request if there is one and the budget allows it. The attempt
    /// continues until that one has taken the request.
    pub(super) fn on_attempt_stalled(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        if self.is_forwarded(ticket) {
            return self.on_forward_stalled(stamp, ticket, out);
        }
        if self.has_former(ticket) {
            return;
        }
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(attempt) = &mut request.attempt else { return };
        attempt.pauses += 1;
        let paused = *attempt;
        let last = request.sends + 1 >= request.route.attempts;
        let too_early = request.relayed && last && attempt.pauses < LAST_REPLICA_PAUSES;
        if !request.route.kind.repeatable() || too_early {
            return;
        }
        self.count_lost_answer(stamp, ticket);
        self.record_silent(stamp, ticket, paused);
        let path_lost = self.paths.is_lost() || self.is_silent_everywhere(stamp.now);
        if !path_lost {
            self.learn_silence(stamp, ticket, out);
        }
        let cause = if path_lost { SendCause::PathLost } else { SendCause::Stall };
        self.reassign(stamp, ticket, cause, out);
    }

    /// Ends a request with a feature that crashes replicas, before its replica begins to answer, and
    /// moves one whose path to its replica turned out to be lost, if it may be repeated.
    pub(super) fn on_attempt_rechecked(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        if self.refuse_poison(stamp, ticket, out) {
            return;
        }
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(attempt) = request.attempt else { return };
        let has_former = request.former.is_some();
        let Some(row) = self.backends.get(attempt.replica) else { return };
        let lost = self.paths.is_lost() || row.path.is_lost(stamp.now);
        let movable = request.route.kind.repeatable() && !request.relayed || has_former;
        if !lost || !movable || row.path.reached_since(attempt.began) {
            return;
        }
        if has_former {
            self.end_attempt(stamp, ticket, BackendOutcome::Inconclusive);
            return self.ask_next_place(stamp, ticket, PlaceOutcome::Failed, out);
        }
        self.reassign(stamp, ticket, SendCause::PathLost, out);
    }

    /// Handles a failed attempt: the request is sent again if it may be repeated, and refused
    /// otherwise.
    pub(super) fn on_failed(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        failure: AttemptFailure,
        out: &mut Vec<RouteEffect>,
    ) {
        if self.is_forwarded(ticket) {
            return self.on_forward_failed(stamp, ticket, failure, out);
        }
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if request.waiting.is_some() {
            return;
        }
        if let Some(proof) = NotRunProof::of_failure(failure) {
            let is_unreachable = failure == AttemptFailure::NeverSent;
            let outcome = if is_unreachable {
                BackendOutcome::Unreachable
            } else {
                BackendOutcome::Inconclusive
            };
            request.runs.settle(proof);
            let trial = self.trials.get_mut(&request.service);
            let counted = trial
                .zip(request.attempt)
                .filter(|(trial, attempt)| trial.counts_attempt(attempt.began));
            if let Some((trial, attempt)) = counted {
                trial.exposure.remove_unsent(attempt.on_trial, request.sends == 1);
            }
            request.connect_failures += 1;
            if request.connect_failures <= FREE_CONNECT_FAILURES {
                request.sends -= 1;
            }
            let replica = request.attempt.map(|attempt| attempt.replica);
            self.end_attempt(stamp, ticket, outcome);
            if let Some(replica) = replica.filter(|_| is_unreachable) {
                self.report_unreachable(replica, None, out);
                self.note_path_failed(stamp, replica, out);
            }
            if self.has_former(ticket) {
                self.ask_next_place(stamp, ticket, PlaceOutcome::Refused, out);
            } else {
                self.resend_unwritten(stamp, ticket, out);
            }
            return;
        }
        if let Some(attempt) = request.attempt.filter(|_| failure == AttemptFailure::Broken) {
            request.breaks += 1;
            self.record_broken(stamp, ticket, attempt);
            self.note_suspicion(stamp, attempt.replica, out);
        }
        self.count_lost_answer(stamp, ticket);
        self.end_attempt(stamp, ticket, BackendOutcome::Failed);
        if self.has_former(ticket) {
            return self.ask_next_place(stamp, ticket, PlaceOutcome::Failed, out);
        }
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.route.kind.repeatable() {
            self.resend(stamp, ticket, RefusalReason::Failed, out);
        } else {
            self.give_up(stamp, ticket, RefusalReason::Failed, out);
        }
    }

    /// Ends a request whose response was relayed completely.
    pub(super) fn on_response_finished(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let mut outcome = BackendOutcome::Inconclusive;
        if let Some(request) = self.requests.get(&ticket) {
            outcome = request.outcome;
            if request.succeeds {
                let took_ms = stamp.now.millis_since(request.arrived);
                self.durations.add(&request.service, request.route.kind.is_stream(), took_ms);
            }
        }
        self.clear_features(stamp, ticket);
        self.end_former(stamp, ticket, FormerEnd::Dropped);
        self.end_attempt(stamp, ticket, outcome);
        self.remove_request(ticket);
    }

    /// Ends a request whose caller disconnected.
    pub(super) fn on_caller_disconnected(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        self.end_former(stamp, ticket, FormerEnd::Dropped);
        self.end_attempt(stamp, ticket, BackendOutcome::Inconclusive);
        self.remove_request(ticket);
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn on_deadline_passed(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if !request.relayed {
            self.count_lost_answer(stamp, ticket);
        }
        self.end_attempt(stamp, ticket, BackendOutcome::Inconclusive);
        self.give_up(stamp, ticket, RefusalReason::DeadlinePassed, out);
    }

    /// Ends a request that has not ended when the box exits. Its replica is not to blame.
    pub(super) fn on_stop_ending(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        self.end_attempt(stamp, ticket, BackendOutcome::Inconclusive);
        self.give_up(stamp, ticket, RefusalReason::BoxStopping, out);
    }
}

/// Returns the time limits of a response head and of a pause between events, in milliseconds.
pub(super) fn stall_limits(request: &RouteRequest, now: BoxTime) -> (u64, u64) {
    let left_ms = request.deadline.millis_since(now);
    let retryable = request.route.kind.repeatable() && request.sends < request.route.attempts;
    if !retryable {
        return (left_ms, left_ms);
    }
    (head_ms(&request.route).min(left_ms), pause_ms(&request.route).min(left_ms))
}

/// Returns the time limit of a response head where another replica may be tried, in milliseconds.
fn head_ms(route: &RouteTerms) -> u64 {
    let targets = if route.kind.is_stream() { HEAD_TARGETS } else { UNARY_HEAD_TARGETS };
    (route.target_ms as f64 * targets) as u64
}

/// Returns the time limit of a pause between events there, in milliseconds.
fn pause_ms(route: &RouteTerms) -> u64 {
    match route.kind {
        RouteKind::Stream { .. } if route.pause_ms > 0 => {
            (route.pause_ms as f64 * PAUSE_SHARE) as u64
        }
        _ => route.timeout_ms,
    }
}
