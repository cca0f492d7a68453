//! Requests that wait at this box for room at a replica: when they enter and leave the waiting room
//! of [`super::scheduling::waiting_room`].

use super::event::{DecisionInputs, RefusalReason, RouteEffect, RouteEvent, WaitOrder};
use super::request::RouteRequest;
use super::scheduling::pick::BackendPick;
use super::scheduling::waiting_room::{
    WaitingKey, WaitingRequest, BODIES_DIVISOR, PRIORITIES, STEP_SHARE,
};
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::replica::mix;
use crate::time::BoxTime;

/// Which waiting requests may leave because of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RoomCheck {
    /// None.
    None,
    /// Those of the service of this request, which gave up its place at a replica.
    ServiceOf(RequestTicket),
    /// Those of all services.
    All,
}

impl RoomCheck {
    /// Returns which waiting requests an event concerns.
    pub(super) fn of(event: &RouteEvent) -> Self {
        match event {
            RouteEvent::HeadReceived(ticket, _)
            | RouteEvent::AttemptResumed(ticket)
            | RouteEvent::FormerEnded(ticket, _)
            | RouteEvent::AttemptFailed(ticket, _)
            | RouteEvent::ResponseFinished(ticket)
            | RouteEvent::DeadlinePassed(ticket)
            | RouteEvent::StopEnding(ticket)
            | RouteEvent::WaitEnded(ticket)
            | RouteEvent::CallerDisconnected(ticket) => Self::ServiceOf(*ticket),
            RouteEvent::Tick
            | RouteEvent::BackendsChanged(_)
            | RouteEvent::BackendsInvalidated(_)
            | RouteEvent::BackendsListed { .. }
            | RouteEvent::PlanRead { .. }
            | RouteEvent::PlanReceived { .. }
            | RouteEvent::EvacuationsRead(_)
            | RouteEvent::EvacuationsReceived(_)
            | RouteEvent::StopRequested => Self::All,
            _ => Self::None,
        }
    }
}

/// Requests that compete for the same replicas: their zones and whether they are on trial.
type CompetitorGroup = (Option<Vec<String>>, bool);

/// A request that stays, and the least time until a replica would begin any of its group.
type BlockedGroup = (CompetitorGroup, f64);

impl RouteState {
    /// Lets a request wait that was not sent yet and would begin late at the replica chosen for it,
    /// or before others that wait. Returns whether it waits.
    pub(super) fn enter_room(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        pick: &BackendPick,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        let Some(request) = self.requests.get(&ticket) else { return false };
        if self.stopping() || !self.may_wait(request) {
            return false;
        }
        let service = request.service.clone();
        let waiting = self.waiting_request(stamp, ticket, request, pick);
        let waited_ms = stamp.now.millis_since(request.arrived);
        let left_ms = waiting.target_ms.saturating_sub(waited_ms) as f64;
        if pick.expected_ms > left_ms {
            self.rooms.note_late(&service, waiting.priority, waiting.target_ms, stamp.now);
        }
        let limit_ms = self.rooms.limit_ms(&service, &waiting, stamp.now).min(left_ms);
        let is_next = !self.rooms.has_before(&service, &waiting, stamp.now);
        if begins_within(pick, limit_ms) && is_next {
            return false;
        }
        let Some(key) = self.rooms.enter(&service, waiting, self.bodies_limit()) else {
            return false;
        };
        let Some(request) = self.requests.get_mut(&ticket) else { return false };
        request.waiting = Some(key);
        request.entered_room = Some(stamp.now);
        let order = self.wait_order(stamp, ticket, pick, &service);
        out.extend(order.map(|order| RouteEffect::Wait(ticket, order)));
        true
    }

    /// Whether a request may wait. Plain calls have no expected time, and a request that waited or
    /// was tried before goes to a replica at once.
    fn may_wait(&self, request: &RouteRequest) -> bool {
        let is_first = !request.was_tried() && request.forward_tried.is_empty();
        let is_new = request.entered_room.is_none() && request.begun().is_none();
        let has_prompt = request.prompt.is_some();
        is_first && is_new && has_prompt && self.controls_overload(&request.service)
    }

    fn waiting_request(
        &self,
        stamp: EventStamp,
        ticket: RequestTicket,
        request: &RouteRequest,
        pick: &BackendPick,
    ) -> WaitingRequest {
        WaitingRequest {
            ticket,
            priority: request.priority,
            over_share: self.is_over_share(request, stamp.now),
            arrived: request.arrived,
            target_ms: request.route.target_ms,
            deadline: request.deadline,
            body_bytes: request.body_bytes,
            work_ms: pick.work_ms,
        }
    }

    fn wait_order(
        &self,
        stamp: EventStamp,
        ticket: RequestTicket,
        pick: &BackendPick,
        service: &str,
    ) -> Option<WaitOrder> {
        let request = self.requests.get(&ticket)?;
        let inputs = DecisionInputs {
            candidates: pick.candidates,
            expected_ms: pick.expected_ms,
            wait_ms: pick.wait_ms,
            work_ms: pick.work_ms,
            ..self.request_inputs(stamp, request)
        };
        let waiting = self.rooms.count(service);
        let left_ms = request.deadline.millis_since(stamp.now);
        Some(WaitOrder { until: request.deadline, left_ms, waiting, rejections: 0, inputs })
    }

    /// Bytes that the bodies of waiting requests may have; without a memory limit, their number
    /// bounds them.
    fn bodies_limit(&self) -> usize {
        match self.settings.load.memory_bytes {
            0 => usize::MAX,
            bytes => bytes / BODIES_DIVISOR,
        }
    }

    /// Number of waiting requests by priority.
    pub fn waiting_by_priority(&self) -> [usize; PRIORITIES] {
        self.rooms.count_by_priority()
    }

    /// Returns the services whose waiting requests have to be checked.
    pub(super) fn services_to_check(&self, check: RoomCheck) -> Vec<String> {
        match check {
            _ if self.rooms.is_empty() => Vec::new(),
            RoomCheck::None => Vec::new(),
            RoomCheck::ServiceOf(ticket) => {
                let request = self.requests.get(&ticket);
                request.map(|request| request.service.clone()).into_iter().collect()
            }
            RoomCheck::All => self.rooms.services(),
        }
    }

    /// Lets waiting requests leave: those that a replica would begin soon enough are sent, and those
    /// that can no longer begin before their deadline are refused.
    pub(super) fn check_rooms(
        &mut self,
        stamp: EventStamp,
        services: Vec<String>,
        out: &mut Vec<RouteEffect>,
    ) {
        for service in services {
            self.update_room(stamp, &service, out);
            if self.stopping() || !self.rooms.is_waking(stamp.now) {
                self.check_room(stamp, &service, out);
            }
        }
    }

    /// Refuses waiting requests whose key was revoked or whose content crashes replicas, and updates
    /// which accounts are above their shares.
    fn update_room(&mut self, stamp: EventStamp, service: &str, out: &mut Vec<RouteEffect>) {
        for key in self.rooms.in_order(service, stamp.now) {
            let Some(ticket) = self.rooms.get(key).map(|row| row.ticket) else { continue };
            let Some(request) = self.requests.get(&ticket) else { continue };
            let over_share = self.is_over_share(request, stamp.now);
            self.rooms.set_over_share(key, over_share);
            if let Err(reason) = self.recheck_key(stamp, request) {
                self.give_up(stamp, ticket, reason, out);
                continue;
            }
            if !self.refuse_poison(stamp, ticket, out) {
                self.refuse_late(stamp, ticket, 0.0, out);
            }
        }
    }

    fn check_room(&mut self, stamp: EventStamp, service: &str, out: &mut Vec<RouteEffect>) {
        let mut blocked: Vec<BlockedGroup> = Vec::new();
        for key in self.rooms.in_order(service, stamp.now) {
            let Some(row) = self.rooms.get(key).copied() else { continue };
            let stamp = EventStamp { random: mix(stamp.random ^ row.ticket.0), ..stamp };
            let Some(group) = self.competitors(stamp, row.ticket) else { continue };
            let least = blocked.iter().find(|(other, _)| *other == group).map(|row| row.1);
            if let Some(least_ms) = least.filter(|_| !self.stopping()) {
                self.refuse_late(stamp, row.ticket, least_ms, out);
            } else if let Some(wait_ms) = self.check_waiting(stamp, service, key, out) {
                blocked.push((group, wait_ms));
            }
        }
        if !blocked.is_empty() {
            self.rooms.extend_late(service, stamp.now);
        }
    }

    /// Returns the group of requests that compete with a waiting one.
    fn competitors(&self, stamp: EventStamp, ticket: RequestTicket) -> Option<CompetitorGroup> {
        let request = self.requests.get(&ticket)?;
        let trial = self.trials.get(&request.service);
        let store_away = self.store_away(stamp.now);
        let on_trial =
            trial.is_some_and(|trial| trial.takes(request.session, stamp.now, store_away));
        Some((request.zones.clone(), on_trial))
    }

    /// Sends or refuses a waiting request if it is time for that. Otherwise returns the queued work
    /// at the replica that would get it, in milliseconds.
    fn check_waiting(
        &mut self,
        stamp: EventStamp,
        service: &str,
        key: WaitingKey,
        out: &mut Vec<RouteEffect>,
    ) -> Option<f64> {
        let row = self.rooms.get(key).copied()?;
        let size = self.requests.get(&row.ticket)?.size;
        let choice = self.choose(stamp, row.ticket, size);
        if let Some(choice) = choice.filter(|_| !self.stopping() && !self.paths.is_lost()) {
            let left_ms = row.deadline.millis_since(stamp.now) as f64;
            let limit_ms = self.rooms.limit_ms(service, &row, stamp.now);
            if !begins_within(&choice.pick, limit_ms) && choice.pick.expected_ms < left_ms {
                return Some(choice.pick.wait_ms);
            }
        }
        // `send` refuses it if no replica is left, or none begins it before its deadline.
        self.leave_room(row.ticket);
        if let Some(request) = self.requests.get_mut(&row.ticket) {
            request.left_room = Some(stamp.now);
        }
        self.send(stamp, row.ticket, RefusalReason::NoReplica, out);
        None
    }

    /// Refuses a waiting request if even the queued work at the replicas lasts until its deadline.
    fn refuse_late(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        least_ms: f64,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let left_ms = request.deadline.millis_since(stamp.now) as f64;
        if least_ms >= left_ms {
            self.set_latest_retry(stamp, ticket);
            self.give_up(stamp, ticket, RefusalReason::DeadlineTooShort, out);
        }
    }

    /// Returns the time that a request spent in the waiting room, in milliseconds, if it entered it.
    pub(super) fn room_ms(&self, now: BoxTime, request: &RouteRequest) -> Option<u64> {
        let entered = request.entered_room?;
        Some(request.left_room.unwrap_or(now).millis_since(entered))
    }

    /// Removes a request from the waiting room.
    pub(super) fn leave_room(&mut self, ticket: RequestTicket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if let Some(key) = request.waiting.take() {
            self.rooms.leave(&request.service, key);
        }
    }

    /// Forgets a request, also one that waits.
    pub(super) fn remove_request(&mut self, ticket: RequestTicket) -> Option<RouteRequest> {
        self.leave_room(ticket);
        self.requests.remove(&ticket)
    }
}

/// Whether a replica begins a request within a limit, or has so little queued that waiting would not
/// help: a long prompt takes longer than its target even at an idle replica.
fn begins_within(pick: &BackendPick, limit_ms: f64) -> bool {
    pick.expected_ms <= limit_ms || pick.wait_ms <= limit_ms * STEP_SHARE
}
