//! A request ends without a replica's answer. Here alone it is decided whether "has not run" may be said.

use super::event::{DecisionInputs, RefusalReason, RouteEffect, RouteRefusal};
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};

/// Callers are told to come back after this, in milliseconds, when replicas are full: about what a
/// short answer takes.
pub const FULL_RETRY_MS: u64 = 300;

/// Callers are told to come back after this, in milliseconds, when this box can't serve: by then
/// they have another address.
pub const ELSEWHERE_RETRY_MS: u64 = 100;

impl RouteState {
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
            out.push(RouteEffect::AbortResponse(ticket, reason));
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

/// What a caller is told, by why and whether the request may have run.
pub(super) fn refusal(reason: RefusalReason, may_have_run: bool) -> RouteRefusal {
    let (status, retry_after_ms) = match reason {
        RefusalReason::NoRoute => (404, None),
        RefusalReason::UnknownKey => (401, None),
        RefusalReason::DeadlinePassed if may_have_run => (504, None),
        // What it asks for has run, if under other requests, and coming back does not help.
        RefusalReason::CrashesReplicas => (502, None),
        _ if may_have_run => (502, None),
        RefusalReason::Full
        | RefusalReason::DeadlineTooShort
        | RefusalReason::DeadlinePassed
        | RefusalReason::Failed => (503, Some(FULL_RETRY_MS)),
        RefusalReason::NoReplica => (503, Some(FULL_RETRY_MS)),
        // These last for seconds at least; the request's own time says how long its caller may wait.
        RefusalReason::Evacuated | RefusalReason::ReplicasLimited | RefusalReason::NoRegion => {
            (503, Some(FULL_RETRY_MS))
        }
        RefusalReason::NoPlan | RefusalReason::PlanStale | RefusalReason::BoxStopping => {
            (503, Some(ELSEWHERE_RETRY_MS))
        }
    };
    RouteRefusal { status, reason, retry_after_ms }
}
