//! Requests that this box forwards through another one, because it cannot reach a replica for them.
//!
//! What admitted the request goes with it, and the other box does not check it again: its plan may be
//! older or newer. It chooses version, model and replica, and counts the request in its budgets and
//! trials. What replicas rejected counts at both boxes. It never forwards the request again. Its
//! response is relayed; a 4xx or 503 of its own means that it does not take the request and that
//! nothing ran.
//!
//! The forwarding box keeps one attempt for itself: if the other box fails, it is not known at how
//! many replicas the request ran.

use super::attempt::stall_limits;
use super::backend::service_hash;
use super::backend_health::BackendOutcome;
use super::choice::AttemptChoice;
use super::event::{
    AnswerHead, AttemptFailure, BegunAnswer, FormerEnd, ForwardPass, ForwardProgress,
    ForwardedRequest, RefusalReason, RouteEffect, SendOrder,
};
use super::former::PlaceOutcome;
use super::peers::ForwardQuery;
use super::request::RunningForward;
use super::retry_budget::SendCause;
use super::run_record::NotRunProof;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;

/// Boxes that a request is forwarded to, at most, if they could not send it to a replica either.
pub const FORWARD_LIMIT: usize = 3;

/// Time for which a box gets no requests for a service after it refused one, in milliseconds: its
/// own gossip tells by then what it reaches.
pub const FORWARD_REFUSED_MS: u64 = 600;

/// Time for which a box gets no requests after a connection to it failed, in milliseconds.
pub const FORWARD_FAILED_MS: u64 = 1_000;

/// Broken attempts of a request after which it is forwarded. Its path may break what replicas would
/// answer, although connections to them succeed.
pub const BREAKS_BEFORE_FORWARD: u32 = 2;

/// Status with which another box ends a request whose deadline has passed.
const TIME_UP_STATUS: u16 = 504;

impl RouteState {
    /// Returns the box that a request should be forwarded to, rather than be sent by this box as
    /// chosen: the box reaches no replica for it, or only replicas of another version than the one
    /// that the request should get, its paths are in doubt and failed the request before, or the
    /// request broke at several replicas.
    pub(super) fn better_forward(
        &self,
        stamp: EventStamp,
        ticket: RequestTicket,
        choice: Option<&AttemptChoice>,
    ) -> Option<ForwardTarget> {
        let fell_back = |choice: &AttemptChoice| choice.trial.is_some_and(|trial| trial.fell_back);
        let request = self.requests.get(&ticket)?;
        let in_doubt = || self.paths.is_suspect() || self.is_silent_everywhere(stamp.now);
        let keeps_breaking = request.breaks >= BREAKS_BEFORE_FORWARD;
        let doubtful = keeps_breaking || request.was_tried() && in_doubt();
        let sendable = choice.is_some_and(|choice| !fell_back(choice));
        if !self.paths.is_lost() && !doubtful && sendable {
            return None;
        }
        let exhausted = request.received.is_some()
            || request.forward_tried.len() >= FORWARD_LIMIT
            || !request.may_be_sent(stamp.now);
        let lost = self.paths.is_lost()
            || doubtful
            || self.backends.any_blocked(&request.service, stamp.now);
        if exhausted || !lost {
            return None;
        }
        let query = ForwardQuery {
            service: service_hash(&request.service),
            zone: &self.settings.zone,
            tried: &request.forward_tried,
            random: stamp.random,
            now: stamp.now,
        };
        let (name, info) = self.peers.forward_target(&query)?;
        let (name, address, key) = (name.clone(), info.gossip_address.clone(), info.forward_key);
        Some(ForwardTarget { name, address, key })
    }

    /// Forwards a request to another box.
    pub(super) fn send_forward(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        target: ForwardTarget,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(permit) = request.permit() else {
            return self.give_up(stamp, ticket, RefusalReason::Failed, out);
        };
        let inputs = self.request_inputs(stamp, request);
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if request.forward_tried.is_empty() {
            // The other box counts the request for the retry budget.
            if let Some(budget) = self.budgets.get_mut(&request.service) {
                budget.give_back(self.settings.budget, stamp.now);
            }
        }
        let left = request.route.attempts.saturating_sub(request.attempts_used());
        let reserved = u32::from(left > 1);
        let begun = request.begun();
        let progress = ForwardProgress {
            attempts: left - reserved,
            is_repeat: request.attempts_used() > 0 || request.runs.may_have_run(),
            rejections: request.rejections,
            is_counted: !request.forward_tried.is_empty(),
            begun,
        };
        let passed = ForwardedRequest { admission: Box::new(request.admission()), progress };
        let pass = ForwardPass { key: target.key, request: passed };
        request.runs.begin(permit);
        request.forward_tried.push(target.name.clone());
        request.forward = Some(RunningForward { peer: target.name.clone(), reserved });
        let (head_ms, pause_ms) = stall_limits(request, stamp.now);
        let order = SendOrder {
            number: request.sends + 1,
            replica: ReplicaKey::default(),
            replica_id: target.name,
            address: target.address,
            version: String::new(),
            route: request.route.name.clone(),
            kind: request.route.kind,
            model: None,
            account: None,
            session: request.session,
            content: request.content,
            parts: request.parts.clone(),
            urgency: None,
            deadline: request.deadline,
            head_ms,
            pause_ms,
            overlap_ms: request.overlap_ms(),
            inputs: Box::new(inputs),
            pass: Some(pass),
        };
        out.push(RouteEffect::Send(ticket, order));
    }

    /// Whether a request is at another box.
    pub(super) fn is_forwarded(&self, ticket: RequestTicket) -> bool {
        self.requests.get(&ticket).is_some_and(|request| request.forward.is_some())
    }

    /// Handles the response head of the box that a request was forwarded to.
    pub(super) fn on_forward_head(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        head: AnswerHead,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if head.proven && (!request.relayed || head.is_success()) {
            let begins = !request.relayed;
            if let Some(BegunAnswer { size, on_trial }) = head.begun.filter(|_| begins) {
                request.size = size.or(request.size);
                request.relayed_on_trial = on_trial;
            }
            request.relayed = true;
            request.outcome = BackendOutcome::Inconclusive;
            request.succeeds = false;
            self.end_former(stamp, ticket, FormerEnd::Replaced);
            out.push(RouteEffect::Relay(ticket));
            return;
        }
        let Some(forward) = request.forward.take() else { return };
        if let Some(proof) = NotRunProof::of_peer_answer(&head) {
            request.runs.settle(proof);
            request.retry_after_ms = head.backoff_ms;
            let service = Some(service_hash(&request.service));
            let until = stamp.now.plus_millis(FORWARD_REFUSED_MS);
            self.peers.avoid(&forward.peer, service, until);
            request.rejections += head.spent.rejections;
            request.sends += head.spent.rejections;
            if self.has_former(ticket) {
                return self.ask_next_place(stamp, ticket, PlaceOutcome::Refused, out);
            }
            if head.spent.sends == 0 {
                return self.send(stamp, ticket, RefusalReason::NoReplica, out);
            }
            // It arrived at replicas of the other box, so that the next attempt is an extra one.
            return self.resend(stamp, ticket, RefusalReason::Full, out);
        }
        request.sends = request.route.attempts - forward.reserved + request.rejections;
        let relayed = request.relayed;
        if relayed || request.former.is_some() {
            self.peers.avoid(&forward.peer, None, stamp.now.plus_millis(FORWARD_FAILED_MS));
        }
        if self.has_former(ticket) {
            return self.ask_next_place(stamp, ticket, PlaceOutcome::Failed, out);
        }
        if head.status == TIME_UP_STATUS {
            return self.give_up(stamp, ticket, RefusalReason::DeadlinePassed, out);
        }
        // The caller has a part of the answer. That another box could not go on does not end it.
        if relayed {
            return self.resend(stamp, ticket, RefusalReason::NoReplica, out);
        }
        self.give_up(stamp, ticket, RefusalReason::Failed, out);
    }

    /// Handles a failed exchange with the box that a request was forwarded to.
    pub(super) fn on_forward_failed(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        failure: AttemptFailure,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(forward) = request.forward.take() else { return };
        self.peers.avoid(&forward.peer, None, stamp.now.plus_millis(FORWARD_FAILED_MS));
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let proof = NotRunProof::of_failure(failure);
        if let Some(proof) = proof {
            request.runs.settle(proof);
        } else {
            request.sends = request.route.attempts - forward.reserved + request.rejections;
        }
        let is_unwritten = proof.is_some();
        let is_repeatable = request.route.kind.repeatable();
        if self.has_former(ticket) {
            return self.ask_next_place(stamp, ticket, PlaceOutcome::Failed, out);
        }
        if is_unwritten {
            return self.send(stamp, ticket, RefusalReason::NoReplica, out);
        }
        if is_repeatable {
            self.resend(stamp, ticket, RefusalReason::Failed, out);
        } else {
            self.give_up(stamp, ticket, RefusalReason::Failed, out);
        }
    }

    /// Handles a pause of a forwarded request. The other box handles those of its replica, so that
    /// only its own silence matters: then another place is asked for the request, which stays where it
    /// is until one takes it. The other box may have used all attempts that it was granted.
    pub(super) fn on_forward_stalled(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(forward) = &request.forward else { return };
        let may_repeat = request.route.kind.repeatable() && forward.reserved > 0;
        let is_silent = !self.peers.is_live_peer(&forward.peer, stamp.now);
        if !may_repeat || !is_silent || request.former.is_some() {
            return;
        }
        request.sends = request.route.attempts - forward.reserved + request.rejections;
        let avoided_until = stamp.now.plus_millis(FORWARD_FAILED_MS);
        self.peers.avoid(&forward.peer, None, avoided_until);
        self.reassign(stamp, ticket, SendCause::PathLost, out);
    }

    /// Key that other boxes present when they forward requests to this one.
    pub fn forward_key(&self) -> u64 {
        self.settings.forward_key
    }

    /// How the response to a request began, for the box that forwarded it.
    pub fn begun_answer(&self, ticket: RequestTicket) -> Option<BegunAnswer> {
        self.requests.get(&ticket)?.begun()
    }
}

/// The box that a request is forwarded to.
pub(super) struct ForwardTarget {
    name: String,
    address: String,
    key: u64,
}
