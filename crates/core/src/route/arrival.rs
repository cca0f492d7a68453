//! Handles the arrival of a request: finds its route, checks its key and starts the first attempt.
//! What a request of another box was admitted with comes with it.

use xxhash_rust::xxh3::xxh3_64;

use super::admission::{RequestAdmission, RouteTerms};
use super::backend_health::BackendOutcome;
use super::event::{
    CallerRequest, DecisionInputs, PromptSize, RefusalReason, RouteEffect, RouteRefusal,
};
use super::model_cascade;
use super::plan::{KeyHolder, RouteSpec};
use super::refuse::refusal;
use super::region::allowed_zones;
use super::request::RouteRequest;
use super::run_record::RunRecord;
use super::{poison, RouteState, STOP_ACCEPT_MS};
use crate::event::{EventStamp, RequestTicket};
use crate::replica::mix;

/// What holds for a request of which only the head has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadTerms {
    /// Time until its deadline or its route's timeout, whichever is earlier, in milliseconds.
    pub left_ms: u64,
}

impl RouteState {
    /// Admits a request and starts its first attempt, or refuses it.
    pub(super) fn on_request_arrived(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        caller: CallerRequest,
        out: &mut Vec<RouteEffect>,
    ) {
        let request = match self.admit(stamp, &caller) {
            Ok(request) => request,
            Err(reason) => {
                out.push(RouteEffect::Refuse(
                    ticket,
                    refusal(reason, Some(RunRecord::never_attempted())),
                    self.inputs(stamp),
                ));
                return;
            }
        };
        if !request.received.is_some_and(|received| received.is_counted) {
            let budget = self.budgets.entry(request.service.clone()).or_default();
            budget.earn(self.settings.budget, stamp.now);
        }
        self.requests.insert(ticket, request);
        self.send(stamp, ticket, RefusalReason::NoReplica, out);
    }

    /// Checks a request of which only the head has arrived.
    ///
    /// # Errors
    /// Returns the refusal that its arrival would lead to, so that its body need not be read, and the
    /// inputs of the decision.
    pub fn check_head(
        &self,
        stamp: EventStamp,
        caller: &CallerRequest,
    ) -> Result<HeadTerms, Box<(RouteRefusal, DecisionInputs)>> {
        let terms = self.head_terms(stamp, caller);
        terms.map_err(|reason| {
            let refusal = refusal(reason, Some(RunRecord::never_attempted()));
            Box::new((refusal, self.inputs(stamp)))
        })
    }

    fn head_terms(
        &self,
        stamp: EventStamp,
        caller: &CallerRequest,
    ) -> Result<HeadTerms, RefusalReason> {
        self.check_phase(stamp)?;
        let timeout_ms = match &caller.forward {
            Some(forwarded) => forwarded.admission.route.timeout_ms,
            None => self.find_route(stamp, caller)?.0.timeout_ms,
        };
        Ok(HeadTerms { left_ms: left_ms(caller, timeout_ms) })
    }

    /// Checks that the box takes requests.
    fn check_phase(&self, stamp: EventStamp) -> Result<(), RefusalReason> {
        let since = self.stopping_since;
        let too_late =
            |since| stamp.now.millis_since(since) >= STOP_ACCEPT_MS || !self.entry_opened();
        if since.is_some_and(too_late) {
            return Err(RefusalReason::BoxStopping);
        }
        if !self.has_plan() {
            return Err(RefusalReason::NoPlan);
        }
        Ok(())
    }

    /// Returns the state of a request that is admitted, or why it is refused. One that another box
    /// admitted is not checked again: the plans of the boxes may differ.
    fn admit(
        &self,
        stamp: EventStamp,
        caller: &CallerRequest,
    ) -> Result<RouteRequest, RefusalReason> {
        self.check_phase(stamp)?;
        let (admission, needs_key) = match &caller.forward {
            Some(forwarded) => (*forwarded.admission.clone(), false),
            None => self.admission(stamp, caller)?,
        };
        if self.ends_too_late(stamp.now, &admission.service, admission.route.kind.is_stream()) {
            return Err(RefusalReason::BoxStopping);
        }
        Ok(new_request(stamp, caller, admission, needs_key))
    }

    /// Returns what admits a request of a caller, and whether its route needs a key.
    fn admission(
        &self,
        stamp: EventStamp,
        caller: &CallerRequest,
    ) -> Result<(RequestAdmission, bool), RefusalReason> {
        let (route, holder) = self.find_route(stamp, caller)?;
        let service = pick_target(route, stamp.random).ok_or(RefusalReason::NoReplica)?;
        let account_regions = holder.map_or(&[][..], |holder| &holder.regions);
        let admission = RequestAdmission {
            plan_version: self.table.plan().version,
            route: RouteTerms::of(route),
            service,
            account: holder.map(|holder| holder.name.clone()),
            priority: holder.and_then(|holder| holder.priority).unwrap_or(route.priority),
            zones: allowed_zones(&self.settings.regions, &[&route.regions, account_regions]),
        };
        Ok((admission, !route.anonymous))
    }

    /// Finds the route of a request, and the holder of its key if it presents a known one.
    fn find_route(
        &self,
        stamp: EventStamp,
        caller: &CallerRequest,
    ) -> Result<(&RouteSpec, Option<&KeyHolder>), RefusalReason> {
        let route = self.table.find(&caller.host, &caller.path);
        let route = route.ok_or_else(|| self.denial(stamp, RefusalReason::NoRoute))?;
        let holder = self.find_holder(stamp, !route.anonymous, caller.key.as_deref())?;
        Ok((route, holder))
    }

    /// Finds the holder of a key, if it is known. `needs_key` states whether the route needs one. A plan
    /// that is too old names no holder, since another one may hold the key by now.
    fn find_holder(
        &self,
        stamp: EventStamp,
        needs_key: bool,
        key: Option<&str>,
    ) -> Result<Option<&KeyHolder>, RefusalReason> {
        let keyed = self.table.asks_for_keys() && needs_key;
        let names_holder = self.table.asks_for_keys() && key.is_some();
        let is_stale = !self.fresh.honours_keys(stamp.now, self.settings.fresh);
        if (keyed || names_holder) && is_stale {
            return Err(RefusalReason::PlanStale);
        }
        let holder = key.and_then(|key| self.table.holder(key));
        if keyed && holder.is_none() {
            return Err(self.denial(stamp, RefusalReason::UnknownKey));
        }
        Ok(holder)
    }

    /// Returns why a request is denied for `reason`, which a box with a stale plan cannot know.
    fn denial(&self, stamp: EventStamp, reason: RefusalReason) -> RefusalReason {
        if self.fresh.may_deny(stamp.now, self.settings.fresh) {
            reason
        } else {
            RefusalReason::PlanStale
        }
    }

    /// Returns why a request that this box admitted by its key may no longer be sent, if the key was
    /// revoked or the plan became too old to accept keys.
    pub(super) fn recheck_key(
        &self,
        stamp: EventStamp,
        request: &RouteRequest,
    ) -> Result<(), RefusalReason> {
        if !request.needs_key {
            return Ok(());
        }
        let holder = self.find_holder(stamp, request.needs_key, request.key.as_deref())?;
        if holder.map(|holder| &holder.name) == request.account.as_ref() {
            Ok(())
        } else {
            Err(self.denial(stamp, RefusalReason::UnknownKey))
        }
    }
}

/// Returns the state of an admitted request.
fn new_request(
    stamp: EventStamp,
    caller: &CallerRequest,
    admission: RequestAdmission,
    needs_key: bool,
) -> RouteRequest {
    let RequestAdmission { plan_version, mut route, service, account, priority, zones } = admission;
    let received = caller.forward.as_ref().map(|forwarded| forwarded.progress);
    if let Some(received) = received {
        route.attempts = received.attempts + u32::from(received.is_repeat);
    }
    let begun_size = received.and_then(|received| received.begun?.size);
    let chooses = caller.any_model && !route.sizes.is_empty();
    let size = begun_size.filter(|size| *size < route.sizes.len());
    let size = size.or_else(|| model_cascade::first_size(&route.sizes)).filter(|_| chooses);
    let left_ms = left_ms(caller, route.timeout_ms);
    RouteRequest {
        plan_version,
        features: poison::features(caller.content, &service, &caller.parts),
        service,
        account,
        priority,
        key: caller.key.clone(),
        needs_key,
        zones,
        affinity: caller.affinity,
        prompt: prompt_size(caller),
        body_bytes: caller.body_bytes,
        session: caller.session,
        content: caller.content,
        parts: caller.parts.clone(),
        id_hash: xxh3_64(caller.id.as_bytes()),
        size,
        confidence: None,
        arrived: stamp.now,
        deadline: stamp.now.plus_millis(left_ms),
        tried: Vec::new(),
        sends: received.map_or(0, |received| u32::from(received.is_repeat) + received.rejections),
        connect_failures: 0,
        breaks: 0,
        rejections: received.map_or(0, |received| received.rejections),
        pauses_until: None,
        counted: false,
        counted_bad: false,
        runs: RunRecord::default(),
        relayed: false,
        relayed_on_trial: false,
        succeeds: false,
        was_resumed: false,
        outcome: BackendOutcome::Served,
        attempt: None,
        former: None,
        waiting: None,
        entered_room: None,
        left_room: None,
        received,
        forward_tried: Vec::new(),
        forward: None,
        work: None,
        retry_after_ms: None,
        route,
    }
}

/// Time that a request of a route with this timeout has left as it arrives, in milliseconds.
fn left_ms(caller: &CallerRequest, timeout_ms: u64) -> u64 {
    let allowed_ms = caller.deadline_ms.unwrap_or(timeout_ms).min(timeout_ms);
    allowed_ms.saturating_sub(caller.waited_ms)
}

/// Tokens assumed for a prompt whose size the caller does not state. A short prompt is
/// assumed; the latency that is learned under this assumption fits other requests without a size.
const DEFAULT_PROMPT_TOKENS: u32 = 1_000;

/// Returns the size of a request's prompt, if it has one.
fn prompt_size(caller: &CallerRequest) -> Option<PromptSize> {
    if caller.prompt != PromptSize::default() {
        return Some(caller.prompt);
    }
    let assumed = if caller.affinity == 0 {
        PromptSize { shared: 0, own: DEFAULT_PROMPT_TOKENS }
    } else {
        PromptSize { shared: DEFAULT_PROMPT_TOKENS, own: 0 }
    };
    (caller.affinity != 0 || caller.any_model).then_some(assumed)
}

/// Picks a service of the route, by the weights of its targets.
fn pick_target(route: &RouteSpec, random: u64) -> Option<String> {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut left = mix(random ^ 0x7370) % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return Some(target.service.clone());
        }
        left -= weight;
    }
    None
}
