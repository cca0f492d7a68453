//! Calls that replicas reject for lack of room: they wait a moment and are sent again.
//!
//! Load pattern: all but one replica of a small plain service are away for seconds, and the last one
//! rejects what exceeds its queue. A rejected call has not run, but its route may allow one replica
//! only, so that a single rejection would end it while the queue has room again after some tens of
//! milliseconds. Callers retry once and later than that. Applies to services with overload control.

use super::event::{RefusalReason, RouteEffect, WaitOrder};
use super::retry_budget::SendCause;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::replica::mix;

/// Rejections after which a call is refused. Waiting longer than the pauses of so many, its caller
/// is served better by a retry at another box.
pub const REJECTION_LIMIT: u32 = 4;

/// First pause after a rejection, in milliseconds: about the time of one plain call. It doubles with
/// each further one.
pub const FIRST_PAUSE_MS: u64 = 40;

/// Share of a pause that is random, so that calls that were rejected together spread.
const PAUSE_JITTER: f64 = 0.5;

/// Returns the pause after this many rejections, in milliseconds.
pub fn pause_ms(rejections: u32, random: u64) -> u64 {
    let chance = (mix(random) % 1_000) as f64 / 1_000.0;
    let longest_ms = (FIRST_PAUSE_MS << rejections.saturating_sub(1).min(REJECTION_LIMIT)) as f64;
    (longest_ms * (1.0 - PAUSE_JITTER * chance)) as u64
}

impl RouteState {
    /// Lets a call wait that a replica rejected, if it may be sent again after a pause. Returns
    /// whether it waits. Rejections do not count as attempts, because nothing ran.
    pub(super) fn wait_after_rejection(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        let Some(request) = self.requests.get(&ticket) else { return false };
        let may_wait = request.prompt.is_none()
            && !request.runs.may_have_run()
            && request.rejections < REJECTION_LIMIT
            && self.controls_overload(&request.service);
        let until = stamp.now.plus_millis(pause_ms(request.rejections + 1, stamp.random));
        if !may_wait || until >= request.deadline {
            return false;
        }
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        request.rejections += 1;
        request.pauses_until = Some(until);
        // The same replica may have room by then.
        request.tried.clear();
        let Some(request) = self.requests.get(&ticket) else { return false };
        let left_ms = request.deadline.millis_since(stamp.now);
        let inputs = self.request_inputs(stamp, request);
        let rejections = request.rejections;
        let order = WaitOrder { until, left_ms, waiting: 0, rejections, inputs };
        out.push(RouteEffect::Wait(ticket, order));
        true
    }

    /// Sends a call again whose pause has ended, unless it has left otherwise or its deadline has
    /// passed.
    pub(super) fn on_wait_ended(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if request.pauses_until.take().is_none() || stamp.now >= request.deadline {
            return self.on_deadline_passed(stamp, ticket, out);
        }
        if self.may_send_again(stamp, ticket, SendCause::Failure) {
            self.send(stamp, ticket, RefusalReason::Full, out);
        } else {
            self.give_up(stamp, ticket, RefusalReason::Full, out);
        }
    }
}
