//! Ends requests without a replica's answer. Only this module decides whether a refusal may state
//! that the request has not run.

use super::event::{
    DecisionInputs, FormerEnd, RefusalReason, RouteEffect, RouteRefusal, SpentAttempts,
};
use super::request::RouteRequest;
use super::run_record::{NotRunGrant, RunRecord};
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};

/// Retry time in refusals when replicas are full, in milliseconds: about the length of a short
/// answer.
pub const FULL_RETRY_MS: u64 = 300;

/// Retry time in refusals when this box cannot serve, in milliseconds: by then callers have another
/// address.
pub const ELSEWHERE_RETRY_MS: u64 = 100;

/// Status that promises that the request has not run and will not run.
const NOT_RUN_STATUS: u16 = 503;

impl RouteState {
    /// Ends a request without a replica's answer: refuses it, or aborts a response that has begun.
    pub(super) fn give_up(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        reason: RefusalReason,
        out: &mut Vec<RouteEffect>,
    ) {
        self.end_former(stamp, ticket, FormerEnd::Dropped);
        let Some(request) = self.remove_request(ticket) else { return };
        if request.relayed {
            out.push(RouteEffect::AbortResponse(ticket, reason));
            return;
        }
        let mut refusal = refusal(reason, request.runs.not_run());
        if refusal.retry_after_ms.is_some() {
            refusal.retry_after_ms = request.retry_after_ms.or(refusal.retry_after_ms);
        }
        refusal.spent = request.spent();
        let inputs = self.request_inputs(stamp, &request);
        out.push(RouteEffect::Refuse(ticket, refusal, inputs));
    }

    /// Returns the inputs of a decision about a request except for the replica.
    pub(super) fn request_inputs(
        &self,
        stamp: EventStamp,
        request: &RouteRequest,
    ) -> DecisionInputs {
        DecisionInputs {
            account: request.account.clone(),
            priority: Some(request.priority),
            waited_ms: self.room_ms(stamp.now, request),
            over_share: self.share_inputs(request, stamp.now),
            ..self.inputs(stamp)
        }
    }

    /// Returns the inputs of a decision that do not depend on the request.
    pub(super) fn inputs(&self, stamp: EventStamp) -> DecisionInputs {
        DecisionInputs {
            plan_version: self.table.plan().version,
            plan_age_ms: self.fresh.age_ms(stamp.now).unwrap_or(0),
            ..DecisionInputs::default()
        }
    }
}

impl RouteRefusal {
    /// The refusal of a request whose body the box has no memory for, so that it was not admitted.
    pub fn no_memory() -> Self {
        refusal(RefusalReason::NoMemory, Some(RunRecord::never_attempted()))
    }
}

/// Returns the refusal for a reason. Without a grant, the request may have run.
pub(super) fn refusal(reason: RefusalReason, grant: Option<NotRunGrant>) -> RouteRefusal {
    let (status, retry_after_ms) = match (reason, grant) {
        (RefusalReason::NoRoute, _) => (404, None),
        (RefusalReason::UnknownKey, _) => (401, None),
        (RefusalReason::DeadlinePassed, None) => (504, None),
        // Its content has run, if under other requests, and a retry does not help.
        (RefusalReason::CrashesReplicas, _) | (_, None) => (502, None),
        (reason, Some(grant)) => not_run_status(reason, grant),
    };
    RouteRefusal { status, reason, retry_after_ms, spent: SpentAttempts::default() }
}

/// Returns the status that promises that the request has not run, and the retry time.
fn not_run_status(reason: RefusalReason, _grant: NotRunGrant) -> (u16, Option<u64>) {
    let retry_after_ms = match reason {
        RefusalReason::NoPlan | RefusalReason::PlanStale | RefusalReason::BoxStopping => {
            ELSEWHERE_RETRY_MS
        }
        // Some of these last for seconds at least. The request's remaining time determines how long
        // its caller may wait.
        _ => FULL_RETRY_MS,
    };
    (NOT_RUN_STATUS, Some(retry_after_ms))
}
