//! The attempts of a request: which replica gets it, for how long it is waited for, and whether there
//! may be another attempt.

use super::admission::turned_away;
use super::budget::SendCause;
use super::deeds::BackendDeed;
use super::event::{DecisionInputs, RefusalReason, RouteEffect, SendOrder, TrialInputs};
use super::pace::ServicePace;
use super::pick::{BackendAsk, BackendPick, VersionWish};
use super::placement::PromptWork;
use super::plan::{RouteKind, RouteSpec};
use super::request::RouteRequest;
use super::trial::{TrialState, VersionTrial};
use super::verdict::advance;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;
use crate::replica::mix;
use crate::time::BoxTime;

/// A head that comes later than this many times the target is not waited for, where another replica
/// may be asked.
pub const HEAD_TARGETS: f64 = 1.0;

/// For an answer that is no stream: its work takes a fraction of the target.
pub const PLAIN_HEAD_TARGETS: f64 = 2.0;

/// A pause between events is not waited out beyond this part of the longest that counts in full.
pub const PAUSE_PART: f64 = 0.8;

/// Work up to which a replica counts as idle when its pace is learnt, in milliseconds: a few steps.
const QUIET_MS: f64 = 20.0;

/// A replica for an attempt, with what a trial of its service had to do with it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptChoice {
    pub(super) pick: BackendPick,
    trial: Option<TrialInputs>,
}

/// An attempt under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningAttempt {
    pub(super) replica: ReplicaKey,
    pub(super) began: BoxTime,
    /// Whether it runs on a version on trial.
    pub(super) on_trial: bool,
    /// Pauses so far.
    pub(super) pauses: u32,
    /// Whether it was held against its version: that happens once, however often it fails.
    pub(super) blamed: bool,
    /// Whether the replica was taken to hold the prompt's shared parts.
    pub(super) held: bool,
    /// Whether nothing was known to wait there.
    pub(super) quiet: bool,
}

impl RouteState {
    /// Sends a request to a replica, or gives it up for `otherwise` if there is none.
    pub(super) fn send(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        otherwise: RefusalReason,
        out: &mut Vec<RouteEffect>,
    ) {
        self.advance_trial(stamp, ticket, out);
        let size = self.requests.get(&ticket).and_then(|request| request.size);
        let Some(choice) = self.choose(stamp, ticket, size) else {
            self.give_up(stamp, ticket, otherwise, out);
            return;
        };
        if self.turns_away(stamp, ticket, &choice.pick) {
            self.give_up(stamp, ticket, RefusalReason::NoTime, out);
            return;
        }
        self.assign(stamp, ticket, choice, out);
    }

    /// Whether a request that was not sent yet has no time left for what waits where it would begin soonest.
    fn turns_away(&mut self, stamp: EventStamp, ticket: RequestTicket, pick: &BackendPick) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        if request.sends > 0 || request.prompt.is_none() {
            return false;
        }
        let left_ms = request.deadline.millis_since(stamp.now);
        let target_ms = request.route.target_ms;
        let after = turned_away(pick.expected_ms, left_ms, target_ms, stamp.dice);
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

    /// The replica for a request's next attempt, with the model in row `size`.
    pub(super) fn choose(
        &self,
        stamp: EventStamp,
        ticket: RequestTicket,
        size: Option<usize>,
    ) -> Option<AttemptChoice> {
        let request = self.requests.get(&ticket)?;
        let trial = self.trials.get(&request.service);
        let store_away = self.store_away(stamp.now);
        let share = trial.map_or(0.0, |trial| trial.share(stamp.now, store_away));
        let version = trial.map_or(VersionWish::Any, |trial| {
            // While it is open which version stays, an answer goes on with the one that began it.
            let open =
                trial.state == TrialState::Running && !trial.passed_over(stamp.now, store_away);
            let on_trial = if request.relayed && open {
                request.relayed_on_trial
            } else {
                trial.lot(request.session, stamp.dice) < share
            };
            version_wish(trial, on_trial)
        });
        let ask = BackendAsk {
            service: &request.service,
            version,
            work: self.prompt_work(request, size),
            zone: &self.settings.zone,
            tried: &request.tried,
            dice: stamp.dice,
            now: stamp.now,
        };
        let wished = self.backends.pick(&ask);
        // A wish that nobody fits gives way, but never to a version that is bad.
        let fallback = || self.backends.pick(&BackendAsk { version: fallback_wish(trial), ..ask });
        let pick = wished.or_else(fallback)?;
        let trial = trial.map(|trial| TrialInputs {
            age_ms: trial.age_ms(stamp.now),
            share,
            gave_way: wished.is_none(),
        });
        Some(AttemptChoice { pick, trial })
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

    /// What reading a request's prompt takes with its model, if it has one.
    pub(super) fn prompt_work(
        &self,
        request: &RouteRequest,
        size: Option<usize>,
    ) -> Option<PromptWork> {
        let prompt = request.prompt?;
        let unknown = ServicePace::default();
        let pace = self.paces.get(&request.service).unwrap_or(&unknown);
        let size = size.unwrap_or(0);
        let shared = if request.affinity == 0 { 0 } else { mix(request.affinity ^ size as u64) };
        Some(PromptWork {
            shared,
            shared_ms: pace.read_ms(size, f64::from(prompt.shared)),
            own_ms: pace.read_ms(size, f64::from(prompt.own)),
            kilobytes: request.body_bytes as f64 / 1_000.0,
        })
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
        self.backends.sent(pick.key);
        self.place(stamp, ticket, &pick, out);
        let Some(row) = self.backends.get(pick.key) else { return };
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        // What runs is told by the replica, also where no replica of the version wished for was left.
        let trial = self.trials.get(&request.service);
        let on_trial = trial.is_some_and(|trial| trial.tries(&row.entry.version));
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
            urgency: request.size.map(|size| if size == 0 { 0 } else { 5 }),
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
        let next = self.requests.get(&ticket).and_then(|request| request.size);
        let choice = self.choose(stamp, ticket, next);
        let Some(choice) = choice.filter(|_| self.may_send_again(stamp, ticket, cause)) else {
            if let Some(request) = self.requests.get_mut(&ticket) {
                request.size = size;
            }
            return false;
        };
        let deed = match cause {
            SendCause::LargerModel => BackendDeed::Served,
            SendCause::Failure | SendCause::Silence => BackendDeed::Failed,
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

    /// Whether attempts, time and the fleet's budget allow another send; takes it from the budget.
    fn may_send_again(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        cause: SendCause,
    ) -> bool {
        let Some(request) = self.requests.get(&ticket) else { return false };
        if request.sends >= request.route.attempts || request.deadline <= stamp.now {
            return false;
        }
        let boxes = self.peers.live_count(stamp.now);
        let budget = self.budgets.entry(request.service.clone()).or_default();
        budget.spend(self.settings.budget, boxes, cause, stamp.now)
    }

    pub(super) fn end_attempt(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        deed: BackendDeed,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if let Some(attempt) = request.attempt.take() {
            self.backends.left(attempt.replica, attempt.began);
            self.backends.ended(attempt.replica, deed, stamp.now);
        }
    }
}

/// Which versions a new attempt is to go to: the one on trial, or the others.
fn version_wish(trial: &VersionTrial, on_trial: bool) -> VersionWish<'_> {
    let version = trial.order.version.as_str();
    if on_trial {
        VersionWish::Only(version)
    } else {
        VersionWish::Not(version)
    }
}

fn fallback_wish(trial: Option<&VersionTrial>) -> VersionWish<'_> {
    match trial {
        Some(trial) if trial.finds_bad() => VersionWish::Not(&trial.order.version),
        _ => VersionWish::Any,
    }
}

fn head_ms(route: &RouteSpec) -> u64 {
    let targets = if route.kind.is_stream() { HEAD_TARGETS } else { PLAIN_HEAD_TARGETS };
    (route.target_ms as f64 * targets) as u64
}

fn pause_ms(route: &RouteSpec) -> u64 {
    match route.kind {
        RouteKind::Stream { .. } if route.pause_ms > 0 => {
            (route.pause_ms as f64 * PAUSE_PART) as u64
        }
        _ => route.timeout_ms,
    }
}
