//! The life of a request: found a route, answered, failed, or refused. Its attempts are in
//! [`super::attempt`], and what they teach is in [`super::learn`].
//!
//! One place ends a request without a replica's answer ([`RouteState::give_up`]), and there alone it
//! is decided whether "has not run" may be said.

use super::attempt::RunningAttempt;
use super::budget::SendCause;
use super::deeds::BackendDeed;
use super::event::{
    AnswerHead, AttemptFailure, DecisionInputs, PromptSize, RefusalReason, RouteAsk, RouteEffect,
    RouteRefusal,
};
use super::pace::ServicePace;
use super::plan::{KeyHolder, RouteSpec};
use super::sizes::{self, SizeOpinion};
use super::{RouteState, STOP_TAKE_MS};
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;
use crate::replica::mix;
use crate::time::BoxTime;

/// Connections that did not come about and cost a request none of its attempts, at most.
pub const FREE_CONNECTS: u32 = 3;

/// A stream of which the caller has a part is given to the last replica that may be asked only after
/// this many pauses in a row: should that one fail, the answer is lost, and the first may only be slow.
pub const LAST_PAUSES: u32 = 3;

/// Callers are told to come back after this, in milliseconds, when replicas are full: about what a
/// short answer takes.
pub const FULL_RETRY_MS: u64 = 300;

/// Callers are told to come back after this, in milliseconds, when this box can't serve: by then
/// they have another address.
pub const ELSEWHERE_RETRY_MS: u64 = 100;

/// A request in hand.
#[derive(Clone, Debug)]
pub(super) struct RouteRequest {
    pub(super) route: RouteSpec,
    pub(super) service: String,
    pub(super) account: Option<String>,
    pub(super) affinity: u64,
    /// Tokens of its prompt, if it has one.
    pub(super) prompt: Option<PromptSize>,
    pub(super) body_bytes: usize,
    pub(super) session: u64,
    /// Row of `route.sizes` that answers, where the router chooses.
    pub(super) size: Option<usize>,
    /// What its model thought of the last answer that was dropped or kept.
    pub(super) opinion: Option<SizeOpinion>,
    pub(super) arrived: BoxTime,
    pub(super) deadline: BoxTime,
    pub(super) tried: Vec<ReplicaKey>,
    pub(super) sends: u32,
    pub(super) free_connects: u32,
    /// Whether any replica may have begun to work on it.
    pub(super) may_have_run: bool,
    /// Whether the caller has the head of an answer.
    pub(super) relayed: bool,
    /// Whether that answer began on a version on trial.
    pub(super) relayed_on_trial: bool,
    /// How well the replica whose answer was relayed did.
    pub(super) deed: BackendDeed,
    pub(super) attempt: Option<RunningAttempt>,
    /// When it is to come back if it is turned away, in milliseconds, where that is known.
    pub(super) retry_after_ms: Option<u64>,
}

impl RouteState {
    pub(super) fn on_arrived(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        ask: RouteAsk,
        out: &mut Vec<RouteEffect>,
    ) {
        let request = match self.admit(stamp, &ask) {
            Ok(request) => request,
            Err(reason) => {
                out.push(RouteEffect::Refuse(ticket, refusal(reason, false), self.inputs(stamp)));
                return;
            }
        };
        let budget = self.budgets.entry(request.service.clone()).or_default();
        budget.earn(self.settings.budget, stamp.now);
        self.requests.insert(ticket, request);
        self.send(stamp, ticket, RefusalReason::NoReplica, out);
    }

    fn admit(&self, stamp: EventStamp, ask: &RouteAsk) -> Result<RouteRequest, RefusalReason> {
        let since = self.stopping_since;
        if since.is_some_and(|since| stamp.now.millis_since(since) >= STOP_TAKE_MS) {
            return Err(RefusalReason::Stopping);
        }
        if !self.has_plan() {
            return Err(RefusalReason::NoPlan);
        }
        let (route, holder) = self.find_route(stamp, ask)?;
        let allowed = ask.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let service = pick_target(route, stamp.dice).ok_or(RefusalReason::NoReplica)?;
        let chooses = ask.any_model && !route.sizes.is_empty();
        Ok(RouteRequest {
            service,
            account: holder.map(|holder| holder.name.clone()),
            affinity: ask.affinity,
            prompt: prompt_size(ask),
            body_bytes: ask.body_bytes,
            session: ask.session,
            size: if chooses { sizes::first_size(&route.sizes) } else { None },
            opinion: None,
            arrived: stamp.now,
            deadline: stamp.now.plus_millis(allowed),
            tried: Vec::new(),
            sends: 0,
            free_connects: 0,
            may_have_run: false,
            relayed: false,
            relayed_on_trial: false,
            deed: BackendDeed::Served,
            attempt: None,
            retry_after_ms: None,
            route: route.clone(),
        })
    }

    /// The route that takes a request, and the holder of its key if it shows one that is known.
    fn find_route(
        &self,
        stamp: EventStamp,
        ask: &RouteAsk,
    ) -> Result<(&RouteSpec, Option<&KeyHolder>), RefusalReason> {
        let bounds = self.settings.fresh;
        let deny = |reason| {
            let sure = self.fresh.may_deny(stamp.now, bounds);
            if sure {
                reason
            } else {
                RefusalReason::Stale
            }
        };
        let route = self.table.find(&ask.host, &ask.path);
        let route = route.ok_or_else(|| deny(RefusalReason::NoRoute))?;
        let keyed = self.table.asks_for_keys() && !route.anonymous;
        if keyed && !self.fresh.honours_keys(stamp.now, bounds) {
            return Err(RefusalReason::Stale);
        }
        let holder = ask.key.as_deref().and_then(|key| self.table.holder(key));
        if keyed && holder.is_none() {
            return Err(deny(RefusalReason::UnknownKey));
        }
        Ok((route, holder))
    }

    /// Decides on the head of an answer: passed on, asked of another replica or model, or refused.
    pub(super) fn on_head(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        head: AnswerHead,
        out: &mut Vec<RouteEffect>,
    ) {
        self.learn_placement(stamp, ticket, head);
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(attempt) = request.attempt else { return };
        if let Some(load) = head.load {
            let mean_ms = self.paces.get(&request.service).map_or(0.0, ServicePace::mean_ms);
            self.backends.reported(attempt.replica, load, mean_ms, stamp.now);
        }
        if head.not_run || head.other_replica {
            let deed =
                if head.other_replica { BackendDeed::Unreachable } else { BackendDeed::Neither };
            self.end_attempt(stamp, ticket, deed);
            self.try_again(stamp, ticket, RefusalReason::Full, out);
            return;
        }
        let took_ms = stamp.now.millis_since(attempt.began) as f64;
        self.judge_head(stamp, ticket, head, took_ms, out);
    }

    /// Decides on the head of an answer that began after `took_ms`, of a replica that ran the request.
    fn judge_head(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        head: AnswerHead,
        took_ms: f64,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.may_have_run = true;
        let failed = head.status >= 500 || !head.proven;
        self.tally(ticket, failed, took_ms);
        let Some(request) = self.requests.get(&ticket) else { return };
        let (kind, relayed) = (request.route.kind, request.relayed);
        if failed && kind.repeatable() && self.go_elsewhere(stamp, ticket, SendCause::Failure, out)
        {
            return;
        }
        if !head.proven || (failed && relayed) {
            self.end_attempt(stamp, ticket, BackendDeed::Failed);
            self.give_up(stamp, ticket, RefusalReason::Failed, out);
            return;
        }
        if !failed && self.ask_larger(stamp, ticket, head, out) {
            return;
        }
        if let Some(request) = self.requests.get_mut(&ticket) {
            if !request.relayed {
                request.relayed_on_trial = request.attempt.is_some_and(|attempt| attempt.on_trial);
            }
            request.relayed = true;
            request.deed = if failed { BackendDeed::Failed } else { BackendDeed::Served };
        }
        out.push(RouteEffect::Relay(ticket));
    }

    /// Asks a larger model in place of an unsure one, if one may be asked.
    fn ask_larger(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        head: AnswerHead,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        let Some(size) = request.size.filter(|_| !request.relayed) else { return false };
        let Some(sure) = head.confidence else { return false };
        // The replica did nothing wrong, and it may hold the prompt's shared parts.
        let tried = request.tried.pop();
        let next = self.next_size(stamp, ticket, SizeOpinion { size, sure });
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        let Some(next) = next else {
            request.tried.extend(tried);
            return false;
        };
        request.size = Some(next);
        if self.go_elsewhere(stamp, ticket, SendCause::LargerModel, out) {
            return true;
        }
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.size = Some(size);
            request.tried.extend(tried);
        }
        false
    }

    /// The model to ask next in place of an answer that its model thinks so of.
    fn next_size(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        opinion: SizeOpinion,
    ) -> Option<usize> {
        let request = self.requests.get_mut(&ticket)?;
        let lifts = self.lifts.entry(request.service.clone()).or_default();
        if let Some(before) = request.opinion.replace(opinion) {
            lifts.learn(before, opinion);
        }
        let request = self.requests.get(&ticket)?;
        let lifts = self.lifts.get(&request.service)?;
        let spent_ms = stamp.now.millis_since(request.arrived) as f64;
        let target_ms = request.route.target_ms.max(1) as f64;
        let part_of = |size: usize| {
            let choice = self.choose(stamp, ticket, Some(size));
            (spent_ms + choice.map_or(0.0, |choice| choice.pick.expected_ms)) / target_ms
        };
        sizes::next_size(request.route.sizes.len(), opinion, lifts, part_of)
    }

    /// Goes elsewhere if there is where to go and the budget allows it; else the attempt goes on.
    pub(super) fn on_paused(
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
        if failure == AttemptFailure::NeverSent {
            request.free_connects += 1;
            if request.free_connects <= FREE_CONNECTS {
                request.sends -= 1;
            }
            self.end_attempt(stamp, ticket, BackendDeed::Unreachable);
            self.try_again(stamp, ticket, RefusalReason::NoReplica, out);
            return;
        }
        request.may_have_run = true;
        self.tally_lost(stamp, ticket);
        self.end_attempt(stamp, ticket, BackendDeed::Failed);
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.route.kind.repeatable() {
            self.try_again(stamp, ticket, RefusalReason::Failed, out);
        } else {
            self.give_up(stamp, ticket, RefusalReason::Failed, out);
        }
    }

    pub(super) fn on_finished(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let deed = self.requests.get(&ticket).map_or(BackendDeed::Neither, |request| request.deed);
        self.end_attempt(stamp, ticket, deed);
        self.requests.remove(&ticket);
    }

    pub(super) fn on_caller_left(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        self.end_attempt(stamp, ticket, BackendDeed::Neither);
        self.requests.remove(&ticket);
    }

    pub(super) fn on_time_up(
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
        self.end_attempt(stamp, ticket, BackendDeed::Neither);
        self.give_up(stamp, ticket, RefusalReason::TimeUp, out);
    }

    /// Ends a request without a replica's answer. The only place that decides what may be said.
    pub(super) fn give_up(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        reason: RefusalReason,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        if request.relayed {
            out.push(RouteEffect::BreakOff(ticket, reason));
            return;
        }
        let mut refusal = refusal(reason, request.may_have_run);
        if refusal.retry_after_ms.is_some() {
            refusal.retry_after_ms = request.retry_after_ms.or(refusal.retry_after_ms);
        }
        out.push(RouteEffect::Refuse(ticket, refusal, self.inputs(stamp)));
    }

    /// What a decision rests on, but for the replica.
    pub(super) fn inputs(&self, stamp: EventStamp) -> DecisionInputs {
        DecisionInputs {
            plan_version: self.table.plan().version,
            plan_age_ms: self.fresh.age_ms(stamp.now).unwrap_or(0),
            ..DecisionInputs::default()
        }
    }
}

/// Tokens of a prompt whose size the caller doesn't tell: a short one, of which the pace learnt is a guess
/// that serves others like it.
const UNTOLD_TOKENS: u32 = 1_000;

/// The size of a request's prompt, if it has one.
fn prompt_size(ask: &RouteAsk) -> Option<PromptSize> {
    if ask.prompt != PromptSize::default() {
        return Some(ask.prompt);
    }
    let untold = if ask.affinity == 0 {
        PromptSize { shared: 0, own: UNTOLD_TOKENS }
    } else {
        PromptSize { shared: UNTOLD_TOKENS, own: 0 }
    };
    (ask.affinity != 0 || ask.any_model).then_some(untold)
}

/// A service of the route, by the weights of its targets.
fn pick_target(route: &RouteSpec, dice: u64) -> Option<String> {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut left = mix(dice ^ 0x7370) % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return Some(target.service.clone());
        }
        left -= weight;
    }
    None
}

fn refusal(reason: RefusalReason, may_have_run: bool) -> RouteRefusal {
    let (status, retry_after_ms) = match reason {
        RefusalReason::NoRoute => (404, None),
        RefusalReason::UnknownKey => (401, None),
        RefusalReason::TimeUp if may_have_run => (504, None),
        _ if may_have_run => (502, None),
        RefusalReason::Full
        | RefusalReason::NoTime
        | RefusalReason::TimeUp
        | RefusalReason::Failed => (503, Some(FULL_RETRY_MS)),
        RefusalReason::NoReplica => (503, Some(FULL_RETRY_MS)),
        RefusalReason::NoPlan | RefusalReason::Stale | RefusalReason::Stopping => {
            (503, Some(ELSEWHERE_RETRY_MS))
        }
    };
    RouteRefusal { status, reason, retry_after_ms }
}
