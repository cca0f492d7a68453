//! Handles the head of an answer: the answer is relayed, or another replica or a larger model gets
//! the request.

use super::backend_health::BackendOutcome;
use super::event::{AnswerHead, FormerEnd, RefusalReason, RouteEffect};
use super::former::PlaceOutcome;
use super::model_cascade::{self, ModelConfidence};
use super::model_latency::ServiceLatency;
use super::retry_budget::SendCause;
use super::run_record::NotRunProof;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};

impl RouteState {
    /// Decides on the head of an answer: relay it, try another replica or model, or refuse the
    /// request.
    pub(super) fn on_head(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        head: AnswerHead,
        out: &mut Vec<RouteEffect>,
    ) {
        if self.is_forwarded(ticket) {
            return self.on_forward_head(stamp, ticket, head, out);
        }
        self.learn_latency(stamp, ticket, head);
        self.learn_speed(stamp, ticket, head, out);
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(attempt) = request.attempt else { return };
        let service = request.service.clone();
        self.note_answered(stamp, attempt.replica);
        if let Some(load) = head.load {
            let mean_ms = self.latencies.get(&service).map_or(0.0, ServiceLatency::mean_ms);
            self.backends.reported(attempt.replica, load, mean_ms, stamp.now);
        }
        if !head.other_replica {
            self.record_stated(attempt.replica, head, stamp.now);
        }
        self.learn_limit(stamp, attempt.replica, head, out);
        self.learn_backoff(stamp, attempt.replica, head);
        self.learn_brittle(stamp, attempt.replica, head, out);
        self.learn_leaving(stamp, attempt.replica, head, out);
        if let Some(proof) = NotRunProof::of_answer(&head) {
            return self.on_rejected(stamp, ticket, proof, out);
        }
        let took_ms = stamp.now.millis_since(attempt.began) as f64;
        self.handle_head(stamp, ticket, head, took_ms, out);
    }

    /// Sends a request elsewhere, or later, that a replica did not run.
    fn on_rejected(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        proof: NotRunProof,
        out: &mut Vec<RouteEffect>,
    ) {
        let is_other = proof == NotRunProof::OtherReplica;
        let outcome =
            if is_other { BackendOutcome::Unreachable } else { BackendOutcome::Inconclusive };
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.runs.settle(proof);
        }
        self.record_refused_place(ticket);
        self.end_attempt(stamp, ticket, outcome);
        if self.has_former(ticket) {
            return self.ask_next_place(stamp, ticket, PlaceOutcome::Refused, out);
        }
        if is_other || !self.wait_after_rejection(stamp, ticket, out) {
            self.resend(stamp, ticket, RefusalReason::Full, out);
        }
    }

    /// Decides on the head of an answer that began after `took_ms`, from a replica that ran the
    /// request.
    fn handle_head(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        head: AnswerHead,
        took_ms: f64,
        out: &mut Vec<RouteEffect>,
    ) {
        self.count_usage(stamp.wall, ticket);
        self.record_begun(stamp.now, ticket);
        let Some(request) = self.requests.get(&ticket) else { return };
        let (kind, relayed) = (request.route.kind, request.relayed);
        // The rest of a stream can only be a success.
        let failed = head.status >= 500 || !head.proven || (relayed && !head.is_success());
        self.count_answer(ticket, failed, took_ms);
        self.record_trial_load(ticket, head.load);
        if failed && self.has_former(ticket) {
            self.end_attempt(stamp, ticket, BackendOutcome::Failed);
            return self.ask_next_place(stamp, ticket, PlaceOutcome::Failed, out);
        }
        self.end_former(stamp, ticket, FormerEnd::Replaced);
        if failed && kind.repeatable() && self.reassign(stamp, ticket, SendCause::Failure, out) {
            return;
        }
        if !head.proven || (failed && relayed) {
            self.end_attempt(stamp, ticket, BackendOutcome::Failed);
            self.give_up(stamp, ticket, RefusalReason::Failed, out);
            return;
        }
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.outcome = if failed { BackendOutcome::Failed } else { BackendOutcome::Served };
            if let Some(attempt) = &mut request.attempt {
                attempt.answer = Some(head);
            }
        }
        if !failed && self.escalate(stamp, ticket, head, out) {
            return;
        }
        self.begin_relay(stamp, ticket);
        out.push(RouteEffect::Relay(ticket));
    }

    /// Records that the answer of the current attempt is relayed from now on.
    pub(super) fn begin_relay(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(attempt) = &mut request.attempt else { return };
        attempt.answers_since = Some(stamp.now);
        request.succeeds = attempt.answer.is_some_and(|head| head.is_success());
        request.was_resumed = request.relayed;
        if !request.relayed {
            request.relayed_on_trial = attempt.on_trial;
        }
        request.relayed = true;
    }

    /// Sends the request to a larger model in place of one with low confidence, if that is allowed.
    fn escalate(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        head: AnswerHead,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        let Some(size) = request.size.filter(|_| request.begun().is_none()) else { return false };
        let Some(score) = head.confidence else { return false };
        // The replica did nothing wrong, and its prefix cache may hold the prompt's prefix.
        let tried = request.tried.pop();
        let next = self.next_size(stamp, ticket, ModelConfidence { size, score });
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        let Some(next) = next else {
            request.tried.extend(tried);
            return false;
        };
        request.size = Some(next);
        if self.reassign(stamp, ticket, SendCause::LargerModel, out) {
            return true;
        }
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.size = Some(size);
            request.tried.extend(tried);
        }
        false
    }

    /// Returns the model to ask next, given the confidence of the last one in its answer.
    fn next_size(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        confidence: ModelConfidence,
    ) -> Option<usize> {
        let request = self.requests.get_mut(&ticket)?;
        let gains = self.gains.entry(request.service.clone()).or_default();
        if let Some(before) = request.confidence.replace(confidence) {
            gains.learn(before, confidence);
        }
        let request = self.requests.get(&ticket)?;
        let gains = self.gains.get(&request.service)?;
        let spent_ms = stamp.now.millis_since(request.arrived) as f64;
        let target_ms = request.route.target_ms.max(1) as f64;
        let target_share = |size: usize| {
            let choice = self.choose(stamp, ticket, Some(size));
            (spent_ms + choice.map_or(0.0, |choice| choice.pick.expected_ms)) / target_ms
        };
        model_cascade::next_size(request.route.sizes.len(), confidence, gains, target_share)
    }
}
