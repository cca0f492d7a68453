//! The attempts of a request: a replica gets it, how long it is waited for, and whether there may be
//! another attempt when one keeps silent, fails or ends.

use super::admission::{latest_return, turned_away};
use super::backend_health::{BackendOutcome, UNREACHABLE_DELAY_MS};
use super::choice::AttemptChoice;
use super::event::{AttemptFailure, DecisionInputs, RefusalReason, RouteEffect, SendOrder};
use super::pick::BackendPick;
use super::placement::urgency;
use super::plan::{RouteKind, RouteSpec};
use super::request::RunningAttempt;
use super::retry_budget::SendCause;
use super::verdict::advance;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};

/// A head that comes later than this many times the target is not waited for, where another replica
/// may be asked.
pub const HEAD_TARGETS: f64 = 1.0;

/// For an answer that is no stream: its work takes a fraction of the target.
pub const PLAIN_HEAD_TARGETS: f64 = 2.0;

/// A pause between events is not waited out beyond this part of the longest that counts in full.
pub const PAUSE_PART: f64 = 0.8;

/// Work up to which a replica counts as idle when its pace is learnt, in milliseconds: a few steps.
const QUIET_MS: f64 = 20.0;

/// Connections that did not come about and cost a request none of its attempts, at most.
pub const FREE_CONNECTS: u32 = 3;

/// A stream of which the caller has a part is given to the last replica that may be asked only after
/// this many pauses in a row: should that one fail, the answer is lost, and the first may only be slow.
pub const LAST_PAUSES: u32 = 3;

impl RouteState {
    /// Sends a request to a replica, or gives it up for `otherwise` if there is none.
    pub(super) fn send(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        otherwise: RefusalReason,
        out: &mut Vec<RouteEffect>,
    ) {
        if self.refuse_poison(stamp, ticket, out) {
            return;
        }
        self.advance_trial(stamp, ticket, out);
        self.share_newly_cold(stamp.now);
        let size = self.requests.get(&ticket).and_then(|request| request.size);
        let Some(choice) = self.choose(stamp, ticket, size) else {
            let reason = self.why_none(stamp, ticket).unwrap_or(otherwise);
            match reason {
                RefusalReason::Evacuated | RefusalReason::NoRegion => {
                    self.return_late(stamp, ticket);
                }
                RefusalReason::ReplicasLimited => self.return_in_turn(stamp, ticket),
                _ => {}
            }
            self.give_up(stamp, ticket, reason, out);
            return;
        };
        if self.turns_away(stamp, ticket, &choice.pick) {
            self.give_up(stamp, ticket, RefusalReason::DeadlineTooShort, out);
            return;
        }
        self.assign(stamp, ticket, choice, out);
    }

    /// A request's caller is to come back as late as it honours: sooner nothing will have changed.
    fn return_late(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let left_ms = request.deadline.millis_since(stamp.now);
        request.retry_after_ms = Some(latest_return(left_ms, stamp.random));
    }

    /// A request's caller is to come back when this box may send to a replica again that rests or is limited, if it honours that.
    fn return_in_turn(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        self.return_late(stamp, ticket);
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let held_back = self.backends.all_throttled(&request.service, stamp.now);
        let Some(next_at) = held_back.and_then(|service| service.next_at) else { return };
        let after_ms = next_at.millis_since(stamp.now);
        request.retry_after_ms = request.retry_after_ms.map(|late| late.min(after_ms));
    }

    /// Why no replica may get a request, where that is known.
    fn why_none(&self, stamp: EventStamp, ticket: RequestTicket) -> Option<RefusalReason> {
        let request = self.requests.get(&ticket)?;
        let service = &request.service;
        let zones = request.zones.as_deref();
        if zones.is_some_and(|zones| self.backends.none_in(service, zones, stamp.now)) {
            return Some(RefusalReason::NoRegion);
        }
        if self.backends.all_evacuated(service, &self.evacuated, stamp.now) {
            return Some(RefusalReason::Evacuated);
        }
        let held_back = self.backends.all_throttled(service, stamp.now);
        held_back.map(|_| RefusalReason::ReplicasLimited)
    }

    /// Whether a request that was not sent yet has no time left for what waits where it would begin soonest.
    fn turns_away(&mut self, stamp: EventStamp, ticket: RequestTicket, pick: &BackendPick) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        if request.sends > 0 || request.prompt.is_none() {
            return false;
        }
        let left_ms = request.deadline.millis_since(stamp.now);
        let target_ms = request.route.target_ms;
        let after = turned_away(pick.expected_ms, left_ms, target_ms, stamp.random);
        request.retry_after_ms = after;
        after.is_some()
    }

    /// Takes what is known by now into the trial of a request's service. A bad version's verdict doesn't
    /// wait for the next tick: each request until it stands may meet the version.
    fn advance_trial(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(trial) = self.trials.get_mut(&request.service) else { return };
        advance(trial, stamp.now, out);
        if trial.due_back() {
            self.judge_trials(stamp, out);
        }
    }

    /// The model for a request's next attempt. The last one that is allowed goes to the smallest: where a
    /// larger one failed or kept silent, an answer that may do is worth more than none.
    fn settle_size(&mut self, ticket: RequestTicket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let last = request.sends + 1 >= request.route.attempts;
        if last && !request.relayed {
            request.size = request.size.map(|_| 0);
        }
    }

    /// Gives a request to a replica.
    fn assign(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        choice: AttemptChoice,
        out: &mut Vec<RouteEffect>,
    ) {
        let pick = choice.pick;
        let inputs = DecisionInputs {
            candidates: pick.candidates,
            load: pick.load,
            affine: pick.affine,
            expected_ms: pick.expected_ms,
            wait_ms: pick.wait_ms,
            work_ms: pick.work_ms,
            trial: choice.trial,
            ..self.inputs(stamp)
        };
        self.backends.sent(pick.key, stamp.now);
        self.place(stamp, ticket, &pick, out);
        let Some(row) = self.backends.get(pick.key) else { return };
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        // What runs is told by the replica, also where no replica of the version wished for was left.
        let trial = self.trials.get(&request.service);
        let on_trial = trial.is_some_and(|trial| trial.is_on_trial(&row.entry.version));
        request.attempt = Some(RunningAttempt {
            replica: pick.key,
            began: stamp.now,
            on_trial,
            pauses: 0,
            blamed: false,
            held: pick.holds,
            quiet: pick.wait_ms <= QUIET_MS,
        });
        request.tried.push(pick.key);
        request.sends += 1;
        let spare = request.route.kind.repeatable() && request.sends < request.route.attempts;
        let left = request.deadline.millis_since(stamp.now);
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
            urgency: request.size.map(urgency),
            deadline: request.deadline,
            head_ms: if spare { head_ms(&request.route).min(left) } else { left },
            pause_ms: if spare { pause_ms(&request.route).min(left) } else { left },
            inputs,
        };
        out.push(RouteEffect::Send(ticket, order));
    }

    /// Ends the attempt under way and gives the request to another replica, if there is one and
    /// attempts, time and budget allow it. Else nothing changes.
    pub(super) fn go_elsewhere(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        cause: SendCause,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        let size = self.requests.get(&ticket).and_then(|request| request.size);
        if cause != SendCause::LargerModel {
            self.settle_size(ticket);
        }
        self.advance_trial(stamp, ticket, out);
        self.share_newly_cold(stamp.now);
        let next = self.requests.get(&ticket).and_then(|request| request.size);
        let choice = self.choose(stamp, ticket, next);
        let Some(choice) = choice.filter(|_| self.may_send_again(stamp, ticket, cause)) else {
            if let Some(request) = self.requests.get_mut(&ticket) {
                request.size = size;
            }
            return false;
        };
        let deed = match cause {
            SendCause::LargerModel => BackendOutcome::Served,
            SendCause::Failure | SendCause::Silence => BackendOutcome::Failed,
        };
        self.end_attempt(stamp, ticket, deed);
        self.assign(stamp, ticket, choice, out);
        true
    }

    /// Sends a request again that may be sent again, or gives it up for `otherwise` if attempts, time or
    /// budget forbid it.
    pub(super) fn try_again(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        otherwise: RefusalReason,
        out: &mut Vec<RouteEffect>,
    ) {
        if self.may_send_again(stamp, ticket, SendCause::Failure) {
            self.settle_size(ticket);
            self.send(stamp, ticket, otherwise, out);
        } else {
            self.give_up(stamp, ticket, otherwise, out);
        }
    }

    /// Sends a request in place of an attempt of which nothing was written. The retry budget bounds what arrives at replicas,
    /// so it has no part in this: with it, 257 requests of a day on which a quarter of 140 replicas crashed were refused
    /// after one connection that did not come about.
    fn try_in_place(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.may_be_sent(stamp.now) {
            self.settle_size(ticket);
            self.send(stamp, ticket, RefusalReason::NoReplica, out);
        } else {
            self.give_up(stamp, ticket, RefusalReason::NoReplica, out);
        }
    }

    /// Whether attempts, time and the fleet's budget allow another send; takes it from the budget.
    fn may_send_again(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        cause: SendCause,
    ) -> bool {
        let Some(request) = self.requests.get(&ticket) else { return false };
        if !request.may_be_sent(stamp.now) || self.is_poison(stamp, ticket) {
            return false;
        }
        let boxes = self.peers.fleet_count(stamp.now);
        let budget = self.budgets.entry(request.service.clone()).or_default();
        budget.spend(self.settings.budget, boxes, cause, stamp.now)
    }

    pub(super) fn end_attempt(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        deed: BackendOutcome,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if let Some(attempt) = request.attempt.take() {
            self.backends.left(attempt.replica, attempt.began);
            self.backends.ended(attempt.replica, deed, stamp.now);
            if deed == BackendOutcome::Unreachable {
                self.settle_crashes(stamp.now);
                self.mark_unreachable_cold(attempt.replica);
                self.rounds.next_round =
                    self.rounds.next_round.min(stamp.now.plus_millis(UNREACHABLE_DELAY_MS));
            }
        }
    }

    /// Goes elsewhere if there is where to go and the budget allows it; else the attempt goes on.
    pub(super) fn on_attempt_stalled(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(attempt) = &mut request.attempt else { return };
        attempt.pauses += 1;
        let last = request.sends + 1 >= request.route.attempts;
        let too_early = request.relayed && last && attempt.pauses < LAST_PAUSES;
        if !request.route.kind.repeatable() || too_early {
            return;
        }
        self.tally_lost(stamp, ticket);
        if self.go_elsewhere(stamp, ticket, SendCause::Silence, out) {
            if let Some(request) = self.requests.get_mut(&ticket) {
                request.may_have_run = true;
            }
        }
    }

    pub(super) fn on_failed(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        failure: AttemptFailure,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let unwritten = match failure {
            AttemptFailure::NeverSent => Some(BackendOutcome::Unreachable),
            AttemptFailure::Withdrawn => Some(BackendOutcome::Neither),
            AttemptFailure::Broken | AttemptFailure::Silent => None,
        };
        if let Some(deed) = unwritten {
            request.free_connects += 1;
            if request.free_connects <= FREE_CONNECTS {
                request.sends -= 1;
            }
            self.end_attempt(stamp, ticket, deed);
            self.try_in_place(stamp, ticket, out);
            return;
        }
        request.may_have_run = true;
        if failure == AttemptFailure::Broken {
            self.note_broken(stamp, ticket);
        }
        self.tally_lost(stamp, ticket);
        self.end_attempt(stamp, ticket, BackendOutcome::Failed);
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.route.kind.repeatable() {
            self.try_again(stamp, ticket, RefusalReason::Failed, out);
        } else {
            self.give_up(stamp, ticket, RefusalReason::Failed, out);
        }
    }

    pub(super) fn on_response_finished(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let deed =
            self.requests.get(&ticket).map_or(BackendOutcome::Neither, |request| request.deed);
        if deed == BackendOutcome::Served {
            self.clear_content(stamp, ticket);
        }
        self.end_attempt(stamp, ticket, deed);
        self.requests.remove(&ticket);
    }

    pub(super) fn on_caller_disconnected(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        self.end_attempt(stamp, ticket, BackendOutcome::Neither);
        self.requests.remove(&ticket);
    }

    pub(super) fn on_deadline_passed(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.may_have_run |= request.attempt.is_some();
        if !request.relayed {
            self.tally_lost(stamp, ticket);
        }
        self.end_attempt(stamp, ticket, BackendOutcome::Neither);
        self.give_up(stamp, ticket, RefusalReason::DeadlinePassed, out);
    }
}

/// How long a head is waited for where another replica may be asked, in milliseconds.
fn head_ms(route: &RouteSpec) -> u64 {
    let targets = if route.kind.is_stream() { HEAD_TARGETS } else { PLAIN_HEAD_TARGETS };
    (route.target_ms as f64 * targets) as u64
}

/// How long an event is waited for there, in milliseconds.
fn pause_ms(route: &RouteSpec) -> u64 {
    match route.kind {
        RouteKind::Stream { .. } if route.pause_ms > 0 => {
            (route.pause_ms as f64 * PAUSE_PART) as u64
        }
        _ => route.timeout_ms,
    }
}
