//! An attempt that pauses is kept until another place has taken the request.
//!
//! A sound replica may pause, and all others may be full meanwhile; a box that took a request up may
//! not be heard of for a while. So a request that may go on elsewhere asks for another place while its
//! former attempt is still read. Its next event, or its response, ends the search; a place
//! that refuses or fails costs nothing but itself. The former attempt ends once another place answers,
//! or [`OVERLAP_MS`] after the last one was asked: a replica rejects at once what it has no room for,
//! and no request is to be at work at two places for long.
//!
//! The answer of a model is kept likewise while a larger one is asked, and is relayed if none takes
//! the request.

use super::backend_health::BackendOutcome;
use super::event::{FormerEnd, RouteEffect};
use super::request::{RouteRequest, RunningAttempt, RunningForward};
use super::retry_budget::SendCause;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;

/// Time for which an attempt is kept beside the one that may replace it, in milliseconds.
pub const OVERLAP_MS: u64 = 250;

/// The same for the answer of a smaller model, whose replica goes on writing it meanwhile.
pub const ANSWER_OVERLAP_MS: u64 = 50;

/// Places that are asked while an attempt pauses, at most. What they reject draws on the retry
/// budget.
pub const PLACES_ASKED: u32 = 2;

/// Where a request is that may go on elsewhere.
#[derive(Clone, Debug)]
enum FormerPlace {
    /// At a replica.
    Replica(RunningAttempt),
    /// At another box, which is silent.
    Peer(RunningForward),
}

impl FormerPlace {
    fn attempt(&self) -> Option<&RunningAttempt> {
        match self {
            FormerPlace::Replica(attempt) => Some(attempt),
            FormerPlace::Peer(_) => None,
        }
    }
}

/// An attempt that is kept while another place is asked.
#[derive(Clone, Debug)]
pub(super) struct FormerAttempt {
    place: FormerPlace,
    /// Why another place is asked.
    pub(super) cause: SendCause,
    /// Places asked so far.
    asked: u32,
    /// Replicas that refused the request meanwhile.
    pub(super) refused: Vec<ReplicaKey>,
    /// Number of boxes that the request was forwarded to before.
    forwards_before: usize,
}

/// What came of a place that was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlaceOutcome {
    /// It did not take the request.
    Refused,
    /// It may have run the request, and has no answer.
    Failed,
}

impl RouteRequest {
    /// Puts the current attempt aside while another place is asked.
    fn set_former(&mut self, cause: SendCause) {
        if self.former.is_some() {
            return;
        }
        let replica = self.attempt.take().map(FormerPlace::Replica);
        let Some(place) = replica.or_else(|| self.forward.take().map(FormerPlace::Peer)) else {
            return;
        };
        self.former = Some(FormerAttempt {
            place,
            cause,
            asked: 0,
            refused: Vec::new(),
            forwards_before: self.forward_tried.len(),
        });
    }

    /// Lets the replica of the current attempt be asked again, since that one was not needed.
    fn allow_again(&mut self) {
        let Some(attempt) = &self.attempt else { return };
        self.tried.retain(|key| *key != attempt.replica);
    }

    fn return_to_replica(&mut self, attempt: RunningAttempt) {
        self.size = attempt.size;
        if !self.tried.contains(&attempt.replica) {
            self.tried.push(attempt.replica);
        }
        self.attempt = Some(attempt);
    }

    /// Goes on at another box. What was sent elsewhere meanwhile is taken off the attempts that this
    /// box kept for itself.
    fn return_to_peer(&mut self, forward: RunningForward) {
        let reserved = self.route.attempts.saturating_sub(self.attempts_used());
        self.forward = Some(RunningForward { reserved, ..forward });
    }

    /// Returns the time for which its former attempt is kept beside the next one, if there is one.
    pub(super) fn overlap_ms(&self) -> Option<u64> {
        let answers = |former: &FormerAttempt| former.cause == SendCause::LargerModel;
        let overlap_ms = |former| if answers(former) { ANSWER_OVERLAP_MS } else { OVERLAP_MS };
        self.former.as_ref().map(overlap_ms)
    }

    /// Returns the attempts that run, the former one included.
    pub(super) fn running_attempts(&self) -> impl Iterator<Item = &RunningAttempt> {
        let former = self.former.as_ref().and_then(|former| former.place.attempt());
        self.attempt.iter().chain(former)
    }

    /// Returns the replicas that it may not be sent to now.
    pub(super) fn excluded(&self) -> Vec<ReplicaKey> {
        let refused = self.former.iter().flat_map(|former| &former.refused);
        self.tried.iter().chain(refused).copied().collect()
    }

    /// Returns whether another place may be asked while its former attempt is kept.
    pub(super) fn may_ask(&self) -> bool {
        self.former.as_ref().is_none_or(|former| former.asked < PLACES_ASKED)
    }
}

impl RouteState {
    /// Makes room for the next attempt: keeps the current one, unless it has failed.
    pub(super) fn set_aside(&mut self, stamp: EventStamp, ticket: RequestTicket, cause: SendCause) {
        if cause == SendCause::Failure {
            return self.end_attempt(stamp, ticket, BackendOutcome::Failed);
        }
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        request.set_former(cause);
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if let Some(former) = &mut request.former {
            former.asked += 1;
        }
    }

    /// Whether a former attempt of a request is kept.
    pub(super) fn has_former(&self, ticket: RequestTicket) -> bool {
        self.requests.get(&ticket).is_some_and(|request| request.former.is_some())
    }

    /// Asks the next place, after what came of the last one, or goes on with the former attempt. An
    /// answer in hand is not risked again after a larger model has failed.
    pub(super) fn ask_next_place(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        last: PlaceOutcome,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(cause) = request.former.as_ref().map(|former| former.cause) else { return };
        let is_worth_it = last == PlaceOutcome::Refused || cause != SendCause::LargerModel;
        if is_worth_it && request.may_ask() && self.reassign(stamp, ticket, cause, out) {
            return;
        }
        self.return_to_former(ticket);
        if cause == SendCause::LargerModel {
            self.begin_relay(stamp, ticket);
        }
        out.push(RouteEffect::KeepFormer(ticket));
    }

    /// Records that an attempt was rejected while the former one is kept. It counts as none.
    pub(super) fn record_refused_place(&mut self, ticket: RequestTicket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let (Some(former), Some(attempt)) = (&mut request.former, request.attempt) else { return };
        former.refused.push(attempt.replica);
        request.tried.retain(|key| *key != attempt.replica);
        request.sends -= 1;
    }

    /// Makes the former attempt the current one again.
    fn return_to_former(&mut self, ticket: RequestTicket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(former) = request.former.take() else { return };
        request.forward_tried.truncate(former.forwards_before);
        match former.place {
            FormerPlace::Replica(attempt) => request.return_to_replica(attempt),
            FormerPlace::Peer(forward) => request.return_to_peer(forward),
        }
    }

    /// Handles the first sign of life of a replica whose attempt paused. If another place was asked
    /// meanwhile, it is not needed.
    pub(super) fn on_attempt_resumed(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        if self.has_former(ticket) {
            if let Some(request) = self.requests.get_mut(&ticket) {
                request.allow_again();
                request.forward = None;
            }
            self.end_attempt(stamp, ticket, BackendOutcome::Inconclusive);
            self.return_to_former(ticket);
        }
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(attempt) = &mut request.attempt else { return };
        attempt.pauses = 0;
        let replica = attempt.replica;
        self.note_answered(stamp, replica);
    }

    /// Handles the end of a former attempt: its connection broke, or it was kept for long enough.
    pub(super) fn on_former_ended(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        end: FormerEnd,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(former) = &request.former else { return };
        let attempt = former.place.attempt().copied();
        if let Some(attempt) = attempt.filter(|_| end == FormerEnd::Broken) {
            request.breaks += 1;
            self.record_broken(stamp, ticket, attempt);
            self.note_suspicion(stamp, attempt.replica, out);
        }
        self.end_former(stamp, ticket, end);
    }

    /// Ends the former attempt of a request, if one is kept.
    pub(super) fn end_former(&mut self, stamp: EventStamp, ticket: RequestTicket, end: FormerEnd) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(former) = request.former.take() else { return };
        let outcome = match (end, former.cause) {
            (FormerEnd::Dropped, _) | (FormerEnd::Replaced, SendCause::PathLost) => {
                BackendOutcome::Inconclusive
            }
            (FormerEnd::Replaced, SendCause::LargerModel) => BackendOutcome::Served,
            (FormerEnd::Replaced | FormerEnd::Broken, _) => BackendOutcome::Failed,
        };
        if let FormerPlace::Replica(attempt) = former.place {
            self.release(stamp, attempt, outcome);
        }
    }
}
