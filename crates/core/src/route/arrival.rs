//! Handles the arrival of a request: finds its route, checks its key and starts the first attempt.

use xxhash_rust::xxh3::xxh3_64;

use super::backend_health::BackendOutcome;
use super::event::{CallerRequest, PromptSize, RefusalReason, RouteEffect};
use super::model_cascade;
use super::plan::{KeyHolder, RouteSpec};
use super::refuse::refusal;
use super::region::allowed_zones;
use super::request::RouteRequest;
use super::run_record::RunRecord;
use super::{poison, RouteState, STOP_ACCEPT_MS};
use crate::event::{EventStamp, RequestTicket};
use crate::replica::mix;

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
        let budget = self.budgets.entry(request.service.clone()).or_default();
        budget.earn(self.settings.budget, stamp.now);
        self.requests.insert(ticket, request);
        self.send(stamp, ticket, RefusalReason::NoReplica, out);
    }

    /// Returns the state of a request that is admitted, or why it is refused.
    fn admit(
        &self,
        stamp: EventStamp,
        caller: &CallerRequest,
    ) -> Result<RouteRequest, RefusalReason> {
        let since = self.stopping_since;
        let too_late =
            |since| stamp.now.millis_since(since) >= STOP_ACCEPT_MS || !self.entry_opened();
        if since.is_some_and(too_late) {
            return Err(RefusalReason::BoxStopping);
        }
        if !self.has_plan() {
            return Err(RefusalReason::NoPlan);
        }
        let (route, holder) = self.find_route(stamp, caller)?;
        let allowed = caller.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
        let left = allowed.saturating_sub(caller.waited_ms);
        let service = pick_target(route, stamp.random).ok_or(RefusalReason::NoReplica)?;
        let chooses = caller.any_model && !route.sizes.is_empty();
        let account_regions = holder.map_or(&[][..], |holder| &holder.regions);
        let mut route = route.clone();
        if let Some(received) = caller.forward {
            route.attempts = received.attempts + u32::from(received.is_repeat);
        }
        let chosen = || model_cascade::first_size(&route.sizes);
        let begun_size = caller.forward.and_then(|received| received.begun?.size);
        let zones = allowed_zones(&self.settings.regions, &[&route.regions, account_regions]);
        let features = poison::features(caller.content, &service, &caller.parts);
        Ok(RouteRequest {
            service,
            account: holder.map(|holder| holder.name.clone()),
            priority: holder.and_then(|holder| holder.priority).unwrap_or(route.priority),
            key: caller.key.clone(),
            zones,
            affinity: caller.affinity,
            prompt: prompt_size(caller),
            body_bytes: caller.body_bytes,
            session: caller.session,
            content: caller.content,
            parts: caller.parts.clone(),
            features,
            id_hash: xxh3_64(caller.id.as_bytes()),
            size: if chooses { begun_size.or_else(chosen) } else { None },
            confidence: None,
            arrived: stamp.now,
            deadline: stamp.now.plus_millis(left),
            tried: Vec::new(),
            sends: u32::from(caller.forward.is_some_and(|received| received.is_repeat)),
            connect_failures: 0,
            rejections: 0,
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
            waiting: None,
            entered_room: None,
            left_room: None,
            received: caller.forward,
            forward_tried: Vec::new(),
            forward: None,
            work: None,
            retry_after_ms: None,
            route,
        })
    }

    /// Finds the route of a request, and the holder of its key if it presents a known one.
    fn find_route(
        &self,
        stamp: EventStamp,
        caller: &CallerRequest,
    ) -> Result<(&RouteSpec, Option<&KeyHolder>), RefusalReason> {
        let route = self.table.find(&caller.host, &caller.path);
        let route = route.ok_or_else(|| self.denial(stamp, RefusalReason::NoRoute))?;
        let holder = self.find_holder(stamp, route, caller.key.as_deref())?;
        Ok((route, holder))
    }

    /// Finds the holder of a key that is presented on a route, if it is known.
    fn find_holder(
        &self,
        stamp: EventStamp,
        route: &RouteSpec,
        key: Option<&str>,
    ) -> Result<Option<&KeyHolder>, RefusalReason> {
        let keyed = self.table.asks_for_keys() && !route.anonymous;
        if keyed && !self.fresh.honours_keys(stamp.now, self.settings.fresh) {
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

    /// Returns why a request that was admitted earlier may no longer be sent, if its key was revoked
    /// or the plan became too old to accept keys.
    pub(super) fn recheck_key(
        &self,
        stamp: EventStamp,
        request: &RouteRequest,
    ) -> Result<(), RefusalReason> {
        let holder = self.find_holder(stamp, &request.route, request.key.as_deref())?;
        if holder.map(|holder| &holder.name) == request.account.as_ref() {
            Ok(())
        } else {
            Err(self.denial(stamp, RefusalReason::UnknownKey))
        }
    }
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
