//! The waiting room: requests that are held at the box until a replica has room, in the order of
//! their urgency.
//!
//! Load pattern: bursts of a few seconds in which prompts of several priorities arrive faster than
//! the replicas read them. A request in a replica's queue can no longer be reordered, so an urgent
//! one that arrives later waits behind all others. A room keeps the replicas' queues short and
//! sends the most urgent request first.
//!
//! Less urgent requests have longer targets, and by those alone they would fill the queues up to a
//! length at which each urgent request is late. While an urgent request was late a moment ago, less
//! urgent ones therefore leave only when the queues are short enough for the urgent ones.

use std::collections::BTreeMap;

use serde::Serialize;
use slotmap::SlotMap;

use crate::event::RequestTicket;
use crate::time::BoxTime;

/// Requests that wait for one service, at most.
pub const ROOM_LIMIT: usize = 256;

/// Divisor of the box's memory that bounds the bodies of waiting requests.
pub const BODIES_DIVISOR: usize = 16;

/// Share of its target that a request waits for each step of priority that it gains, and within
/// which a late request must begin at a replica.
pub const STEP_SHARE: f64 = 0.5;

/// Number of priorities that are told apart; higher ones count as the last.
pub const PRIORITIES: usize = 5;

/// How long a late request keeps less urgent ones back, in milliseconds: several requests of a box
/// that gets a few a second.
pub const LATE_KEPT_MS: u64 = 1_000;

/// Time without a tick after which the box was frozen, in milliseconds: five ticks.
const FROZEN_MS: u64 = 1_000;

/// Time in which a box that was frozen reads the answers that arrived meanwhile, in milliseconds. By
/// its clock, all replicas are overdue before that.
const WAKE_MS: u64 = 200;

slotmap::new_key_type! {
    /// A request in a waiting room.
    pub struct WaitingKey;
}

/// A request in a waiting room.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// Its ticket.
    pub ticket: RequestTicket,
    /// Priority of its account or route; 0 is the most urgent.
    pub priority: u8,
    /// Whether its account is above its share.
    pub over_share: bool,
    /// When it arrived at the box.
    pub arrived: BoxTime,
    /// Target of its route for the begin of the answer, in milliseconds.
    pub target_ms: u64,
    /// Its deadline.
    pub deadline: BoxTime,
    /// Size of its body.
    pub body_bytes: usize,
    /// Work of its prompt, in milliseconds.
    pub work_ms: f64,
}

/// Place of a waiting request in the order; the least one is the first to leave.
pub type WaitingRank = (i64, bool, BoxTime, RequestTicket);

impl WaitingRequest {
    /// Returns its priority after ageing, which may be negative.
    fn aged_priority(&self, now: BoxTime) -> i64 {
        aged_priority(self.priority, self.target_ms, now.millis_since(self.arrived))
    }

    /// Returns its place in the order.
    pub fn rank(&self, now: BoxTime) -> WaitingRank {
        (self.aged_priority(now), self.over_share, self.deadline, self.ticket)
    }

    /// Returns the time within which a replica must begin it, in milliseconds, so that it leaves:
    /// what is left of its target, or half of the target if that is longer.
    fn limit_ms(&self, now: BoxTime) -> f64 {
        let target_ms = self.target_ms as f64;
        let left_ms = target_ms - now.millis_since(self.arrived) as f64;
        left_ms.max(target_ms * STEP_SHARE)
    }
}

/// Returns a priority after ageing, which may be negative, for a request that arrived `waited_ms` ago.
pub fn aged_priority(priority: u8, target_ms: u64, waited_ms: u64) -> i64 {
    let step_ms = (target_ms as f64 * STEP_SHARE).max(1.0);
    let steps = waited_ms as f64 / step_ms;
    i64::from(priority) - steps as i64
}

/// The room of one service.
#[derive(Clone, Debug, Default)]
struct ServiceRoom {
    keys: Vec<WaitingKey>,
    /// Shortest target of late requests and when the last one was late, by priority.
    late: [Option<LateRequests>; PRIORITIES],
}

/// Late requests of one priority.
#[derive(Clone, Copy, Debug)]
struct LateRequests {
    target_ms: u64,
    at: BoxTime,
}

/// The waiting rooms of a box.
#[derive(Debug, Default)]
pub struct WaitingRooms {
    rows: SlotMap<WaitingKey, WaitingRequest>,
    services: BTreeMap<String, ServiceRoom>,
    body_bytes: usize,
    ticked_at: BoxTime,
    /// When the box has read what arrived while it was frozen.
    awake_at: BoxTime,
}

/// Waiting requests as operators see them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WaitingDump {
    /// Number of waiting requests by service and priority.
    pub waiting: BTreeMap<String, BTreeMap<u8, usize>>,
    /// Bytes of their bodies.
    pub body_bytes: usize,
}

impl WaitingRooms {
    /// Adds a request unless the room of its service is full or the bodies of all waiting requests
    /// would exceed `bytes_limit`.
    pub fn enter(
        &mut self,
        service: &str,
        request: WaitingRequest,
        bytes_limit: usize,
    ) -> Option<WaitingKey> {
        let room = self.services.entry(service.to_owned()).or_default();
        let body_bytes = self.body_bytes + request.body_bytes;
        if room.keys.len() >= ROOM_LIMIT || body_bytes > bytes_limit {
            return None;
        }
        let key = self.rows.insert(request);
        room.keys.push(key);
        self.body_bytes = body_bytes;
        Some(key)
    }

    /// Removes a request.
    pub fn leave(&mut self, service: &str, key: WaitingKey) {
        let Some(request) = self.rows.remove(key) else { return };
        self.body_bytes -= request.body_bytes;
        if let Some(room) = self.services.get_mut(service) {
            room.keys.retain(|other| *other != key);
        }
    }

    /// A waiting request.
    pub fn get(&self, key: WaitingKey) -> Option<&WaitingRequest> {
        self.rows.get(key)
    }

    /// Records whether the account of a waiting request is above its share.
    pub fn set_over_share(&mut self, key: WaitingKey, over_share: bool) {
        if let Some(request) = self.rows.get_mut(key) {
            request.over_share = over_share;
        }
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Number of requests that wait for a service.
    pub fn count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |room| room.keys.len())
    }

    /// Number of waiting requests by priority.
    pub fn count_by_priority(&self) -> [usize; PRIORITIES] {
        let mut counts = [0; PRIORITIES];
        for row in self.rows.values() {
            counts[usize::from(row.priority).min(PRIORITIES - 1)] += 1;
        }
        counts
    }

    /// Services for which requests wait.
    pub fn services(&self) -> Vec<String> {
        let waited = self.services.iter().filter(|(_, room)| !room.keys.is_empty());
        waited.map(|(service, _)| service.clone()).collect()
    }

    /// Tickets of all waiting requests.
    pub fn tickets(&self) -> Vec<RequestTicket> {
        let mut tickets: Vec<RequestTicket> = self.rows.values().map(|row| row.ticket).collect();
        tickets.sort_unstable();
        tickets
    }

    /// Requests that wait for a service, in order.
    pub fn in_order(&self, service: &str, now: BoxTime) -> Vec<WaitingKey> {
        let mut keys = self.services.get(service).map_or_else(Vec::new, |room| room.keys.clone());
        keys.sort_by_cached_key(|key| self.rows[*key].rank(now));
        keys
    }

    /// Work of the requests that would leave before `request`, in milliseconds.
    pub fn work_ahead_ms(&self, service: &str, request: &WaitingRequest, now: BoxTime) -> f64 {
        let rank = request.rank(now);
        let keys = self.services.get(service).map_or(&[][..], |room| &room.keys);
        let ahead = keys.iter().map(|key| &self.rows[*key]).filter(|row| row.rank(now) < rank);
        ahead.map(|row| row.work_ms).sum()
    }

    /// Whether a request waits that would leave before `request`.
    pub fn has_before(&self, service: &str, request: &WaitingRequest, now: BoxTime) -> bool {
        let rank = request.rank(now);
        let keys = self.services.get(service).map_or(&[][..], |room| &room.keys);
        keys.iter().any(|key| self.rows[*key].rank(now) < rank)
    }

    /// Records that a request would begin late, or that it waits.
    pub fn note_late(&mut self, service: &str, priority: u8, target_ms: u64, now: BoxTime) {
        let room = self.services.entry(service.to_owned()).or_default();
        let row = &mut room.late[usize::from(priority).min(PRIORITIES - 1)];
        let known = row.filter(|late| now.millis_since(late.at) < LATE_KEPT_MS);
        let target_ms = known.map_or(target_ms, |late| late.target_ms.min(target_ms));
        *row = Some(LateRequests { target_ms, at: now });
    }

    /// Records a tick.
    pub fn note_tick(&mut self, now: BoxTime) {
        if now.millis_since(self.ticked_at) >= FROZEN_MS {
            self.awake_at = now.plus_millis(WAKE_MS);
        }
        self.ticked_at = now;
    }

    /// Whether the box was frozen until now, so that it does not know the present queues.
    pub fn is_waking(&self, now: BoxTime) -> bool {
        now.millis_since(self.ticked_at) >= FROZEN_MS || now < self.awake_at
    }

    /// Keeps late requests in mind while others wait because of them: without that, less urgent
    /// ones would fill the queues once a second.
    pub fn extend_late(&mut self, service: &str, now: BoxTime) {
        let Some(room) = self.services.get_mut(service) else { return };
        let recent = |late: &&mut LateRequests| now.millis_since(late.at) < LATE_KEPT_MS;
        for late in room.late.iter_mut().flatten().filter(recent) {
            late.at = now;
        }
    }

    /// Returns the time within which a replica must begin a request so that it is sent, in
    /// milliseconds.
    pub fn limit_ms(&self, service: &str, request: &WaitingRequest, now: BoxTime) -> f64 {
        let own_ms = request.limit_ms(now);
        let Some(room) = self.services.get(service) else { return own_ms };
        let aged = request.aged_priority(now).max(0) as usize;
        let urgent = room.late.iter().take(aged).flatten();
        let recent = urgent.filter(|late| now.millis_since(late.at) < LATE_KEPT_MS);
        recent.map(|late| late.target_ms as f64 * STEP_SHARE).fold(own_ms, f64::min)
    }

    /// Describes what waits.
    pub fn dump(&self) -> WaitingDump {
        let mut waiting = BTreeMap::new();
        for (service, room) in &self.services {
            let counts: &mut BTreeMap<u8, usize> = waiting.entry(service.clone()).or_default();
            for key in &room.keys {
                *counts.entry(self.rows[*key].priority).or_default() += 1;
            }
        }
        waiting.retain(|_, counts| !counts.is_empty());
        WaitingDump { waiting, body_bytes: self.body_bytes }
    }
}
