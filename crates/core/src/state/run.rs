//! Attempts: the last check before the write, the end of an attempt, and retries.

use crate::attempt::{Attempt, Dispatched, Queued, RequestRefusal};
use crate::claims::check_key;
use crate::effect::BoxEffect;
use crate::event::{AttemptEnd, EventStamp, RequestTarget, RequestTicket};
use crate::freshness::FreshState;
use crate::ids::RequestKey;
use crate::reason::ReasonCode;
use crate::retry::ATTEMPT_LIMIT;

use super::settle::WholeAnswer;
use super::{BoxState, QueueName, RequestStage};

impl BoxState {
    /// Handles that the box is about to write. Since the decision the process may have been paused
    /// or the bundle may have changed, so all conditions of the write are checked again here.
    pub(super) fn on_send_starting(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let RequestStage::Ready(ready) = request.stage else { return };
        match self.check_send(stamp, key) {
            Ok(()) => {
                let request = &mut self.requests[key];
                request.stage = RequestStage::Running(ready.dispatch(stamp.now));
                request.attempts += 1;
                self.counts.dispatched += 1;
                out.push(BoxEffect::Send(request.ticket));
            }
            Err(refusal) => {
                self.replicas.record_ended(ready.state.replica, ready.state.at);
                let attempt = ready.requeue();
                match refusal {
                    SendRefusal::PlaceAgain if stamp.now < self.requests[key].deadline => {
                        self.requests[key].stage = RequestStage::Waiting(attempt);
                        self.place(stamp, key, false, out);
                    }
                    SendRefusal::PlaceAgain => {
                        self.end_refused(key, attempt.refuse(ReasonCode::Deadline), out);
                    }
                    SendRefusal::Reason(reason) => {
                        self.end_refused(key, attempt.refuse(reason).retry_after(1_000), out);
                    }
                    SendRefusal::Refusal(refusal) => self.end_refused(key, refusal, out),
                }
            }
        }
    }

    fn check_send(&self, stamp: EventStamp, key: RequestKey) -> Result<(), SendRefusal> {
        let request = &self.requests[key];
        if self.fresh_state(stamp.now) == FreshState::CutOff {
            return Err(SendRefusal::Reason(ReasonCode::CutOff));
        }
        if let Some(version) = request.version {
            self.check_version(request.account, version, true).map_err(SendRefusal::Reason)?;
        }
        if let (Some((claim, _)), false) = (&request.claim, request.repeatable) {
            let caller_key = claim.rsplit('/').next();
            check_key(caller_key, stamp.wall, self.settings.retention_ms)
                .map_err(|error| SendRefusal::Refusal(super::admit::key_refusal(error)))?;
            // The claim's deadline bounds the wait of the caller, also if the process was paused.
            if stamp.now > request.deadline {
                return Err(SendRefusal::Reason(ReasonCode::Deadline));
            }
        }
        let RequestStage::Ready(ready) = &request.stage else {
            return Err(SendRefusal::PlaceAgain);
        };
        let leaving = self.replicas.get(ready.state.replica).is_none_or(|replica| replica.leaving);
        if leaving || stamp.now > ready.state.send_before {
            return Err(SendRefusal::PlaceAgain);
        }
        Ok(())
    }

    pub(super) fn on_first_token(&mut self, stamp: EventStamp, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        if let RequestStage::Running(attempt) = &mut request.stage {
            if attempt.state.first_token.is_none() {
                attempt.state.first_token = Some(stamp.now);
                let Dispatched { replica, assigned_at, .. } = attempt.state;
                self.replicas.record_answered(replica, assigned_at, stamp.now);
            }
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        end: AttemptEnd,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let RequestStage::Running(attempt) = request.stage else { return };
        let Dispatched { replica, assigned_at, .. } = attempt.state;
        let queue = self.queue_of(key);
        self.replicas.record_ended(replica, assigned_at);
        match end {
            AttemptEnd::Answered { tokens, status, body } => {
                if attempt.state.first_token.is_none() {
                    self.replicas.record_answered(replica, assigned_at, stamp.now);
                }
                let answer = WholeAnswer { tokens, status, body };
                self.on_answered(stamp, key, attempt, answer, out);
            }
            AttemptEnd::Declined { leaving } => {
                if leaving {
                    self.on_replica_leaving(stamp, replica, out);
                } else {
                    self.replicas.record_failure(replica, stamp.now);
                }
                self.on_failed(stamp, key, attempt, ReasonCode::ReplicaFailed, out);
            }
            AttemptEnd::NeverConnected => {
                self.replicas.record_failure(replica, stamp.now);
                self.on_failed(stamp, key, attempt, ReasonCode::ReplicaFailed, out);
            }
            AttemptEnd::Aborted { delivered } => {
                self.replicas.record_failure(replica, stamp.now);
                self.record_failure_evidence(key);
                self.requests[key].delivered += delivered;
                self.on_failed(stamp, key, attempt, ReasonCode::StreamBroken, out);
            }
            AttemptEnd::WrongRequest => {
                self.replicas.record_failure(replica, stamp.now);
                self.record_failure_evidence(key);
                self.on_failed(stamp, key, attempt, ReasonCode::WrongEcho, out);
            }
        }
        if let Some(name) = queue {
            self.drain_queue(stamp, &name, out);
        }
    }

    fn on_failed(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        attempt: Attempt<Dispatched>,
        reason: ReasonCode,
        out: &mut Vec<BoxEffect>,
    ) {
        let request = &mut self.requests[key];
        let in_time = stamp.now < request.deadline || request.delivered > 0;
        let may_retry = request.repeatable && attempt.number < ATTEMPT_LIMIT && in_time;
        if !may_retry || !self.retry.spend() {
            self.end_refused(key, attempt.end_unknown(reason), out);
            return;
        }
        self.counts.retried += 1;
        request.avoid = Some(attempt.state.replica);
        request.reasons.push(ReasonCode::Retried);
        request.stage = RequestStage::Waiting(attempt.next());
        self.place(stamp, key, false, out);
    }

    pub(super) fn on_caller_disconnected(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(key) = self.tickets.get(&ticket).copied() else { return };
        let queue = self.queue_of(key);
        let refusal = match self.requests[key].stage {
            RequestStage::Waiting(attempt) | RequestStage::Claiming(attempt) => {
                self.remove_from_queue(key, queue.as_ref());
                attempt.refuse(ReasonCode::Cancelled)
            }
            RequestStage::Ready(attempt) => {
                self.replicas.record_ended(attempt.state.replica, attempt.state.at);
                attempt.requeue().refuse(ReasonCode::Cancelled)
            }
            RequestStage::Running(attempt) => {
                self.replicas.record_ended(attempt.state.replica, attempt.state.assigned_at);
                attempt.end_unknown(ReasonCode::Cancelled)
            }
            RequestStage::Rating(attempt) => attempt.end_ran(ReasonCode::Cancelled),
            // The answer is complete, so it is still billed, but its end is not delivered.
            RequestStage::Billing => return,
        };
        self.end_refused(key, refusal, out);
        if let Some(name) = queue {
            self.drain_queue(stamp, &name, out);
        }
    }

    fn remove_from_queue(&mut self, key: RequestKey, name: Option<&QueueName>) {
        if let Some(queue) = name.and_then(|name| self.queues.get_mut(name)) {
            queue.remove(key);
        }
    }

    /// Queue in which the request waits, or which its replica serves.
    fn queue_of(&self, key: RequestKey) -> Option<QueueName> {
        let request = self.requests.get(key)?;
        match &request.target {
            RequestTarget::Service { name, .. } => Some(QueueName::Service(name.clone())),
            RequestTarget::Model { .. } => request.version.map(QueueName::Version),
        }
    }

    /// Ends a request without a complete answer. The claim of a call that was never dispatched is
    /// voided.
    pub(super) fn end_refused(
        &mut self,
        key: RequestKey,
        refusal: RequestRefusal,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(request) = self.requests.remove(key) else { return };
        self.tickets.remove(&request.ticket);
        self.counts.refused += 1;
        if let (Some((claim, nonce)), 0) = (&request.claim, request.attempts) {
            self.void_claim(claim.clone(), *nonce);
        }
        self.record_decision(self.describe(&request, Some(&refusal), None));
        out.push(BoxEffect::Refuse(request.ticket, refusal));
    }

    /// Handles that the claim was read back as the first live one, so that the call may run.
    pub(super) fn on_claim_won(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        attempt: Attempt<Queued>,
        out: &mut Vec<BoxEffect>,
    ) {
        let request = &mut self.requests[key];
        request.reasons.push(ReasonCode::FirstClaim);
        request.stage = RequestStage::Waiting(attempt);
        if stamp.now > request.deadline {
            self.end_refused(key, attempt.refuse(ReasonCode::LogDown).retry_after(1_000), out);
            return;
        }
        self.place(stamp, key, false, out);
    }
}

/// Why a write may not begin.
enum SendRefusal {
    /// Place the request again.
    PlaceAgain,
    /// Refuse it for this reason.
    Reason(ReasonCode),
    /// Refuse it with this refusal.
    Refusal(RequestRefusal),
}
