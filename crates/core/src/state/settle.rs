//! Steps after an answer: its rating, escalation, the bill, and the release of its end.

use crate::appender::LogStream;
use crate::attempt::{Attempt, Dispatched};
use crate::bills::{WITNESS_COUNT, WITNESS_LIMIT_MS, WITNESS_WAIT_MS};
use crate::claims::OUTCOME_BODY_LIMIT;
use crate::effect::BoxEffect;
use crate::event::{EventStamp, RequestTarget};
use crate::ids::RequestKey;
use crate::message::{
    BillNumbers, BillRecord, ClaimRecord, OutcomeRecord, PeerBody, RecordBody, WitnessBills,
};
use crate::reason::ReasonCode;

use super::{next_random, BoxState, RequestStage};

/// A complete answer of a replica.
pub(super) struct WholeAnswer {
    pub tokens: u32,
    pub status: u16,
    pub body: Vec<u8>,
}

impl BoxState {
    pub(super) fn on_answered(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        attempt: Attempt<Dispatched>,
        answer: WholeAnswer,
        out: &mut Vec<BoxEffect>,
    ) {
        let WholeAnswer { tokens, status, body } = answer;
        let cost = self.attempt_cost(key, tokens);
        let request = &mut self.requests[key];
        request.cost += cost;
        request.tokens += tokens;
        if request.gated {
            request.stage = RequestStage::Rating(attempt);
            out.push(BoxEffect::RateHeldAnswer(request.ticket, key));
            return;
        }
        if let Some((claim, nonce)) = request.claim.clone() {
            let body = if body.len() <= OUTCOME_BODY_LIMIT { body } else { Vec::new() };
            let outcome = OutcomeRecord { key: claim, nonce, status: u32::from(status), body };
            self.push_record(LogStream::Claims, RecordBody::Outcome(outcome));
        }
        if self.needs_rating(stamp, key) {
            out.push(BoxEffect::RateReleasedAnswer(self.requests[key].ticket));
        }
        self.bill_request(stamp, key, out);
    }

    fn attempt_cost(&self, key: RequestKey, tokens: u32) -> f64 {
        let request = &self.requests[key];
        let spec = &self.index.spec;
        match (&request.target, request.version) {
            (RequestTarget::Service { name, .. }, _) => {
                spec.services.get(name).map_or(0.0, |service| service.cost_per_call)
            }
            (_, Some(version)) => {
                let model = spec.models.get(self.model_of(version));
                model.map_or(0.0, |model| model.cost_per_1k * f64::from(tokens) / 1_000.0)
            }
            _ => 0.0,
        }
    }

    fn needs_rating(&self, stamp: EventStamp, key: RequestKey) -> bool {
        let request = &self.requests[key];
        let Some(version) = request.version else { return false };
        self.under_rollout(version).is_some()
            || request.reasons.contains(&ReasonCode::CascadeExplore)
            || next_random(stamp.random ^ 6) % 256 < self.settings.rate_share
    }

    /// Handles the rating of a held answer: bills the answer, or lets the next rung answer.
    pub(super) fn on_held_answer_rated(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        good: Option<bool>,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let RequestStage::Rating(attempt) = request.stage else { return };
        self.record_rating(stamp, key, good, out);
        if good == Some(true) {
            self.bill_request(stamp, key, out);
        } else {
            self.escalate(stamp, key, attempt, out);
        }
    }

    fn record_rating(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        good: Option<bool>,
        out: &mut Vec<BoxEffect>,
    ) {
        let request = &self.requests[key];
        let (Some(version), RequestTarget::Model { class, .. }) =
            (request.version, &request.target)
        else {
            return;
        };
        let (name, class) = (self.names.versions.name(version).to_owned(), *class);
        self.apply_rating(stamp, &name, class, good, out);
    }

    fn escalate(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        attempt: Attempt<Dispatched>,
        out: &mut Vec<BoxEffect>,
    ) {
        self.counts.escalated += 1;
        let rungs = self.rung_count(key);
        let rating_down = self.quality.rating_down();
        let request = &mut self.requests[key];
        request.reasons.push(ReasonCode::Escalated);
        request.rung = if rating_down { rungs - 1 } else { (request.rung + 1).min(rungs - 1) };
        request.gated = request.rung + 1 < rungs;
        request.version = None;
        // The cheap answer used up waiting time, so the next rung gets the full time again.
        request.deadline = stamp.now.plus_millis(self.settings.queue_ms);
        request.stage = RequestStage::Waiting(attempt.next());
        self.place(stamp, key, false, out);
    }

    fn rung_count(&self, key: RequestKey) -> usize {
        let RequestTarget::Model { name, .. } = &self.requests[key].target else { return 1 };
        self.index.spec.cascades.get(name).map_or(1, |cascade| cascade.rungs.len().max(1))
    }

    /// Creates the bill, queues it for the log and sends it to witnesses. The end of the answer is
    /// held until they have it.
    fn bill_request(&mut self, stamp: EventStamp, key: RequestKey, out: &mut Vec<BoxEffect>) {
        let number = self.ledger.assign_number();
        let request = &mut self.requests[key];
        request.stage = RequestStage::Billing;
        let request = &self.requests[key];
        let own_key = format!("{:016x}/{number}", self.settings.incarnation);
        let version = match (&request.target, request.version) {
            (RequestTarget::Service { name, .. }, _) => name.clone(),
            (_, Some(version)) => self.names.versions.name(version).to_owned(),
            _ => String::new(),
        };
        let record = BillRecord {
            key: request.bill_key.clone().unwrap_or(own_key),
            account: self.names.accounts.name(request.account).to_owned(),
            version,
            request: format!("{:032x}", request.id),
            cost: request.cost,
            tokens: request.tokens,
            attempts: request.attempts,
            bundle: self.fold.sequence(),
            reasons: request.reasons.iter().map(|reason| *reason as u32).collect(),
            number,
        };
        self.ledger.add_owned(record.clone(), key, stamp.now);
        self.push_record(LogStream::Bills, RecordBody::Bill(record));
        self.send_to_witnesses(stamp, number, out);
        self.append_due(stamp, out);
    }

    /// Chooses the boxes to which bills are sent until the next heartbeat.
    pub(super) fn choose_witnesses(&mut self, stamp: EventStamp) {
        let zone = &self.settings.zone;
        self.witnesses = self.members.witnesses(stamp.random, zone, stamp.now, &[]);
        self.witnesses.truncate(WITNESS_COUNT);
    }

    /// Number of witnesses needed: [`WITNESS_COUNT`], or the number of other live boxes if lower.
    fn witnesses_needed(&self, stamp: EventStamp) -> usize {
        let members = &self.members;
        let alive = members.peers().filter(|row| members.is_alive(row, stamp.now));
        alive.take(WITNESS_COUNT).count()
    }

    fn send_to_witnesses(&mut self, stamp: EventStamp, number: u64, out: &mut Vec<BoxEffect>) {
        let needed = self.witnesses_needed(stamp);
        let Some(bill) = self.ledger.owned_mut(number) else { return };
        let missing = needed.saturating_sub(bill.held_by.len());
        let sent_to: Vec<String> = bill.sent_to.iter().cloned().collect();
        let mut names = match sent_to.is_empty() && self.witnesses.len() >= missing {
            true => self.witnesses.clone(),
            false => self.members.witnesses(number, &self.settings.zone, stamp.now, &sent_to),
        };
        if names.len() < missing {
            // The bill was sent to all boxes already, so it is sent again to those that did not
            // acknowledge it.
            names = sent_to.into_iter().filter(|name| !bill.held_by.contains(name)).collect();
        }
        bill.sent_at = stamp.now;
        for name in names.into_iter().take(missing) {
            bill.sent_to.insert(name.clone());
            let bills = WitnessBills { bills: vec![bill.record.clone()] };
            out.push(BoxEffect::SendPeer(name, PeerBody::Witness(bills)));
        }
    }

    /// Sends bills to other boxes if witnesses did not acknowledge them in time, and releases
    /// answers after [`WITNESS_LIMIT_MS`].
    pub(super) fn retry_witnesses(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        for number in self.ledger.unreleased() {
            let Some(bill) = self.ledger.owned_mut(number) else { continue };
            if stamp.now.millis_since(bill.created_at) >= WITNESS_LIMIT_MS {
                let (request, record) = (bill.request.take(), bill.record.clone());
                self.ledger.unwitnessed += 1;
                out.push(BoxEffect::Unwitnessed(record));
                self.finish(request, out);
            } else if stamp.now.millis_since(bill.sent_at) >= WITNESS_WAIT_MS {
                self.send_to_witnesses(stamp, number, out);
            }
        }
    }

    pub(super) fn on_witnessed(
        &mut self,
        stamp: EventStamp,
        witness: &str,
        numbers: &[u64],
        out: &mut Vec<BoxEffect>,
    ) {
        let needed = self.witnesses_needed(stamp).max(1);
        for number in numbers {
            let request = self.ledger.add_witness(*number, witness, needed);
            self.finish(request, out);
        }
    }

    /// Handles that bills of this box are in the log: releases the answers, and lets the witnesses
    /// drop their copies.
    pub(super) fn bills_appended(&mut self, bills: &[BillRecord], out: &mut Vec<BoxEffect>) {
        let mut releases = std::collections::BTreeMap::<String, Vec<u64>>::new();
        for bill in bills {
            let ours =
                self.ledger.owned_mut(bill.number).is_some_and(|owned| owned.record == *bill);
            let Some(owned) = ours.then(|| self.ledger.remove_owned(bill.number)).flatten() else {
                continue;
            };
            for name in owned.sent_to {
                releases.entry(name).or_default().push(bill.number);
            }
            self.finish(owned.request, out);
        }
        for (name, numbers) in releases {
            out.push(BoxEffect::SendPeer(name, PeerBody::Release(BillNumbers { numbers })));
        }
    }

    /// Releases the end of the answer.
    fn finish(&mut self, key: Option<RequestKey>, out: &mut Vec<BoxEffect>) {
        let Some(request) = key.and_then(|key| self.requests.remove(key)) else { return };
        self.tickets.remove(&request.ticket);
        self.counts.answered += 1;
        self.record_decision(self.describe(&request, None, request.version));
        out.push(BoxEffect::Finish(request.ticket, request.reasons));
    }

    pub(super) fn void_claim(&mut self, key: String, nonce: u64) {
        self.push_record(LogStream::Claims, RecordBody::Void(ClaimRecord { key, nonce }));
    }
}
