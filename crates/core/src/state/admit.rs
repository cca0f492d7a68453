//! Admission of an arriving request: all checks that need no replica.

use crate::attempt::{Attempt, RequestRefusal};
use crate::bundle::CascadeSpec;
use crate::cascade::{CascadePlan, RungView};
use crate::claims::{check_key, KeyError};
use crate::effect::BoxEffect;
use crate::event::{EventStamp, RequestDetails, RequestTarget};
use crate::freshness::FreshState;
use crate::ids::{AccountKey, RequestKey};
use crate::message::{ClaimRecord, RecordBody};
use crate::reason::ReasonCode;
use crate::session::SessionPins;
use crate::{appender::LogStream, fair_queue::FairQueue};

use super::dump::target_name;
use super::{next_random, BoxState, DecisionRecord, RequestStage, RequestState};

/// Retry delay for a caller of a box that has no current bundle or is stopping, in milliseconds.
const BUNDLE_WAIT_MS: u64 = 1_000;

/// Retry delay for a caller whose request needs the log while the log is unreachable or behind, in
/// milliseconds.
const LOG_WAIT_MS: u64 = 5_000;

impl BoxState {
    pub(super) fn on_request(
        &mut self,
        stamp: EventStamp,
        details: RequestDetails,
        out: &mut Vec<BoxEffect>,
    ) {
        self.counts.arrived += 1;
        let ticket = details.ticket;
        let id = details.id;
        let target = details.target.clone();
        match self.admit(stamp, details, out) {
            Ok(()) => {}
            Err(refusal) => {
                self.counts.refused += 1;
                self.record_decision(DecisionRecord::refused(id, target_name(&target), &refusal));
                out.push(BoxEffect::Refuse(ticket, refusal));
            }
        }
    }

    /// Refuses a request of which only the head has arrived, if its arrival would lead to that, so that
    /// its body need not be read. `key_hash` is the hash of its key.
    pub fn refuse_head(
        &mut self,
        stamp: EventStamp,
        id: u128,
        key_hash: &[u8; 32],
    ) -> Option<RequestRefusal> {
        let checked = self.check_box(stamp).and_then(|()| self.find_account(key_hash));
        let refusal = checked.err()?;
        self.counts.arrived += 1;
        self.counts.refused += 1;
        self.record_decision(DecisionRecord::refused(id, "", &refusal));
        Some(refusal)
    }

    fn find_account(&self, key_hash: &[u8; 32]) -> Result<AccountKey, RequestRefusal> {
        let account = self.index.account(key_hash);
        account.ok_or_else(|| Attempt::first().refuse(ReasonCode::UnknownKey))
    }

    fn admit(
        &mut self,
        stamp: EventStamp,
        details: RequestDetails,
        out: &mut Vec<BoxEffect>,
    ) -> Result<(), RequestRefusal> {
        self.check_box(stamp)?;
        let account = self.find_account(&details.key_hash)?;
        let bill_key = details
            .caller_key
            .as_ref()
            .map(|key| format!("{}/{key}", self.names.accounts.name(account)));
        let mut request = RequestState {
            ticket: details.ticket,
            id: details.id,
            account,
            bill_key,
            claim: None,
            repeatable: true,
            deadline: stamp.now.plus_millis(self.settings.queue_ms),
            stage: RequestStage::Waiting(Attempt::first()),
            rung: 0,
            gated: false,
            version: None,
            pins: SessionPins::new(),
            pins_changed: false,
            delivered: 0,
            avoid: None,
            reasons: Vec::new(),
            cost: 0.0,
            tokens: 0,
            attempts: 0,
            target: details.target,
        };
        match &request.target {
            RequestTarget::Model { .. } => self.admit_model(stamp, &mut request)?,
            RequestTarget::Service { .. } => {
                self.admit_service(stamp, &mut request, details.caller_key.as_deref())?;
            }
        }
        if request.repeatable {
            self.retry.earn();
            let key = self.insert(request);
            self.place(stamp, key, false, out);
            return Ok(());
        }
        self.claim(stamp, request, out)
    }

    /// Checks whether the box can serve requests at all.
    fn check_box(&self, stamp: EventStamp) -> Result<(), RequestRefusal> {
        let refuse = |reason| Err(Attempt::first().refuse(reason).retry_after(BUNDLE_WAIT_MS));
        if self.has_stopped_accepting(stamp.now) {
            return refuse(ReasonCode::Stopping);
        }
        if self.fold.in_force().is_none() {
            return refuse(ReasonCode::NoBundle);
        }
        if self.fresh_state(stamp.now) == FreshState::CutOff {
            return refuse(ReasonCode::CutOff);
        }
        let bills = self.appends.get(&LogStream::Bills);
        if bills.is_some_and(|queue| queue.is_full()) {
            return Err(Attempt::first().refuse(ReasonCode::BillBacklog).retry_after(LOG_WAIT_MS));
        }
        Ok(())
    }

    fn admit_model(
        &mut self,
        stamp: EventStamp,
        request: &mut RequestState,
    ) -> Result<(), RequestRefusal> {
        let RequestTarget::Model { name, class, session, .. } = &request.target else {
            return Ok(());
        };
        let refuse = |reason| Err(Attempt::first().refuse(reason));
        let spec = &self.index.spec;
        let account = self.names.accounts.name(request.account);
        let allow = spec.accounts.get(account).map_or(&[][..], |row| &row.allow);
        let model = spec.versions.get(name).map(|row| &row.model);
        if model.is_none() && !spec.models.contains_key(name) && !spec.cascades.contains_key(name) {
            return refuse(ReasonCode::UnknownTarget);
        }
        if !allow.contains(name) && !model.is_some_and(|model| allow.contains(model)) {
            return refuse(ReasonCode::NotAllowed);
        }
        if let Some(token) = session {
            let claims = self.settings.token_keys.verify(token).map_err(|error| {
                Attempt::first().refuse(ReasonCode::BadToken).detail(error.to_string())
            })?;
            if claims.account != account {
                return refuse(ReasonCode::BadToken);
            }
            request.pins = claims.pins;
        }
        if let Some(cascade) = spec.cascades.get(name) {
            let cascade = cascade.clone();
            let plan = self.plan_cascade(name, &cascade, *class, next_random(stamp.random));
            request.rung = plan.rung;
            request.gated = plan.gated;
            request.reasons.push(plan.reason);
        }
        Ok(())
    }

    fn plan_cascade(
        &mut self,
        name: &str,
        cascade: &CascadeSpec,
        class: u8,
        random: u64,
    ) -> CascadePlan {
        let models = &self.index.spec.models;
        let cost_of = |model: &'_ String| models.get(model).map_or(0.0, |row| row.cost_per_1k);
        let rungs: Vec<RungView<'_>> =
            cascade.rungs.iter().map(|model| RungView { model, cost: cost_of(model) }).collect();
        self.quality.plan(name, &rungs, cascade.target, class, random)
    }

    fn admit_service(
        &mut self,
        stamp: EventStamp,
        request: &mut RequestState,
        caller_key: Option<&str>,
    ) -> Result<(), RequestRefusal> {
        let RequestTarget::Service { name, method, path } = &request.target else {
            return Ok(());
        };
        let spec = &self.index.spec;
        let Some(service) = spec.services.get(name) else {
            return Err(Attempt::first().refuse(ReasonCode::UnknownTarget));
        };
        let account = self.names.accounts.name(request.account);
        if !spec.accounts.get(account).is_some_and(|row| row.services.contains(name)) {
            return Err(Attempt::first().refuse(ReasonCode::NotAllowed));
        }
        request.reasons.push(ReasonCode::ServiceRoute);
        if service.runs_once(method, path) {
            request.repeatable = false;
            let retention = self.settings.retention_ms;
            check_key(caller_key, stamp.wall, retention).map_err(key_refusal)?;
        }
        Ok(())
    }

    /// Queues the claim of a call that must not be repeated. If the key has a live claim, answers
    /// by that claim instead.
    fn claim(
        &mut self,
        stamp: EventStamp,
        mut request: RequestState,
        out: &mut Vec<BoxEffect>,
    ) -> Result<(), RequestRefusal> {
        let key = request.bill_key.clone().unwrap_or_default();
        if let Some(entry) = self.claims.find(&key) {
            let outcome = entry.outcome.clone();
            return self.answer_claimed(&request, outcome, out);
        }
        let claims = self.appends.get(&LogStream::Claims);
        if claims.is_some_and(|queue| queue.is_failing() || queue.is_full()) {
            let refusal = Attempt::first().refuse(ReasonCode::LogDown).retry_after(LOG_WAIT_MS);
            return Err(refusal);
        }
        let nonce = next_random(stamp.random ^ self.settings.incarnation);
        request.claim = Some((key.clone(), nonce));
        request.deadline = stamp.now.plus_millis(self.settings.claim_ms);
        request.stage = RequestStage::Claiming(Attempt::first());
        self.insert(request);
        self.push_record(LogStream::Claims, RecordBody::Claim(ClaimRecord { key, nonce }));
        self.append_due(stamp, out);
        Ok(())
    }

    /// Answers a request whose key was claimed by an earlier request: with the recorded outcome, or
    /// with a refusal if none is known.
    fn answer_claimed(
        &mut self,
        request: &RequestState,
        outcome: Option<crate::message::OutcomeRecord>,
        out: &mut Vec<BoxEffect>,
    ) -> Result<(), RequestRefusal> {
        match outcome {
            Some(outcome) => {
                self.counts.answered += 1;
                out.push(BoxEffect::Replay(request.ticket, outcome));
                Ok(())
            }
            None => {
                let refusal = RequestRefusal::earlier_may_have_run(ReasonCode::AlreadyClaimed);
                Err(refusal.retry_after(LOG_WAIT_MS))
            }
        }
    }

    /// Answers a request of this box whose claim lost to an earlier one.
    pub(super) fn on_claim_lost(
        &mut self,
        key: RequestKey,
        outcome: Option<crate::message::OutcomeRecord>,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(request) = self.requests.remove(key) else { return };
        self.tickets.remove(&request.ticket);
        if let Err(refusal) = self.answer_claimed(&request, outcome, out) {
            self.counts.refused += 1;
            self.record_decision(self.describe(&request, Some(&refusal), None));
            out.push(BoxEffect::Refuse(request.ticket, refusal));
        }
    }

    /// Refuses requests whose claim was not read back in time, and voids their claims.
    pub(super) fn expire_claiming(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        let late: Vec<(RequestKey, Attempt<_>)> = self
            .requests
            .iter()
            .filter(|(_, request)| request.deadline < stamp.now)
            .filter_map(|(key, request)| match request.stage {
                RequestStage::Claiming(attempt) => Some((key, attempt)),
                _ => None,
            })
            .collect();
        for (key, attempt) in late {
            let refusal = attempt.refuse(ReasonCode::LogDown).retry_after(LOG_WAIT_MS);
            self.end_refused(key, refusal, out);
        }
    }

    fn insert(&mut self, request: RequestState) -> RequestKey {
        let ticket = request.ticket;
        let key = self.requests.insert(request);
        self.tickets.insert(ticket, key);
        key
    }

    /// Weight of an account in fair queueing.
    pub(super) fn weight(&self, account: AccountKey) -> u32 {
        let name = self.names.accounts.name(account);
        self.index.spec.accounts.get(name).map_or(1, |row| row.weight)
    }

    /// Retry delay for a caller that this queue refused, in milliseconds.
    pub(super) fn queue_retry_ms(queue: Option<&FairQueue>, random: u64) -> u64 {
        queue.map_or(BUNDLE_WAIT_MS, |queue| queue.retry_after_ms(random))
    }
}

/// Returns the refusal for a caller's key. With a key that is expired or in the future, an earlier
/// request may have run.
pub(super) fn key_refusal(error: KeyError) -> RequestRefusal {
    let refusal = match error {
        KeyError::Missing | KeyError::NotUuidV7 => Attempt::first().refuse(ReasonCode::BadClaimKey),
        KeyError::Future => RequestRefusal::earlier_may_have_run(ReasonCode::BadClaimKey),
        KeyError::Expired => RequestRefusal::earlier_may_have_run(ReasonCode::KeyExpired),
    };
    refusal.detail(error.to_string())
}
