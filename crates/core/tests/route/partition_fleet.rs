//! A simulated fleet whose boxes may lose their network paths to replicas, with callers that cache
//! the addresses of boxes, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use ravenspoke_core::event::{EventStamp, RequestTicket};
use ravenspoke_core::ids::ReplicaKey;
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::event::{
    AnswerHead, AttemptFailure, CallerRequest, FormerEnd, RouteEffect, RouteEvent, SendOrder,
};
use ravenspoke_core::route::plan::RoutePlan;
use ravenspoke_core::route::{RouteSettings, RouteState};
use ravenspoke_core::time::{BoxTime, WallTime};

use crate::fixture::{ask, at, entry, head, plan, session, settings};

/// Number of zones, each with a part of the boxes and replicas.
pub const ZONES: usize = 4;

/// Requests a second for each box.
const RATE: f64 = 8.0;

/// Interval between ticks of a box, in milliseconds.
const TICK_MS: u64 = 200;

/// Time from the request to the begin and to the end of its response, in milliseconds.
const ANSWER_MS: (u64, u64) = (40, 240);

/// Time after which a connection attempt without a response fails, in milliseconds.
const CONNECT_MS: u64 = 250;

/// Time for which boxes use connections that were open when their paths began to hang, in
/// milliseconds.
const POOL_MS: u64 = 1_000;

/// Number of callers.
const CALLERS: usize = 60;

/// Time for which callers cache addresses, and for which every third one does, in milliseconds.
const CACHE_MS: (u64, u64) = (2_000, 6_000);

/// How connections fail on a lost path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFailure {
    /// New ones are refused; open ones continue.
    Refused,
    /// New ones are refused; open ones are reset.
    Reset,
    /// Packets are dropped.
    Hanging,
}

/// A step of the simulation. Steps of an attempt carry its number, and apply only while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    Tick(usize),
    Head(usize, u64, u64),
    End(usize, u64),
    Fail(usize, u64, u64),
    Break(usize, u64, u64),
    Overlap(usize, u64, u64),
    Stall(usize, u64, u64),
    Deadline(usize, u64),
    Probed(usize, ReplicaKey, bool),
}

/// A first try of a caller.
#[derive(Clone, Copy, Debug)]
pub struct FirstTry {
    /// When it was sent, in milliseconds.
    pub at: u64,
    /// The box that it was sent to.
    pub entry: usize,
    /// When it ended, and whether it was served.
    pub ended: Option<(u64, bool)>,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
struct RunningTry {
    number: u64,
    order: SendOrder,
    head: bool,
}

struct CallerView {
    boxes: Vec<usize>,
    until: u64,
    cache_ms: u64,
}

/// Boxes and replicas with the paths between them.
pub struct PartitionFleet {
    pub boxes: Vec<RouteState>,
    keys: Vec<HashMap<ReplicaKey, usize>>,
    replicas: usize,
    /// Lost paths, by box and replica.
    lost: Vec<Vec<bool>>,
    /// Replicas that are down for all boxes.
    pub down: Vec<bool>,
    /// Until when each replica sends and accepts nothing, in milliseconds.
    pub silent_until: Vec<u64>,
    /// Requests that were sent to more than one replica.
    pub repeats: usize,
    failure: PathFailure,
    lost_at: u64,
    pub now: u64,
    random: u64,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    step_number: u64,
    tickets: u64,
    attempts: HashMap<(usize, u64), RunningTry>,
    /// Attempts that are kept while another place is asked.
    former: HashMap<(usize, u64), RunningTry>,
    attempt_number: u64,
    callers: Vec<CallerView>,
    tries: HashMap<(usize, u64), FirstTry>,
    /// Requests as callers sent them, by box and ticket.
    requests: HashMap<(usize, u64), CallerRequest>,
    /// The forwarding box and its ticket, by box and ticket of a forwarded request.
    origins: HashMap<(usize, u64), (usize, u64)>,
    /// Requests that each box forwarded.
    pub forwards: Vec<usize>,
    /// Whether all requests have the same content.
    pub one_content: bool,
    /// Versions and contents that boxes found bad.
    pub verdicts: Vec<RouteEffect>,
    /// Attempts of each box that failed on their path.
    pub failed_sends: Vec<usize>,
    /// Requests that each box sent to replicas that it reaches.
    pub sends: Vec<usize>,
    next_arrival: f64,
    plan: RoutePlan,
}

impl PartitionFleet {
    pub fn start(boxes: usize, replicas: usize) -> Self {
        let mut fleet = Self {
            boxes: (0..boxes).map(new_state).collect(),
            keys: vec![HashMap::new(); boxes],
            replicas,
            lost: vec![vec![false; replicas]; boxes],
            down: vec![false; replicas],
            silent_until: vec![0; replicas],
            repeats: 0,
            failure: PathFailure::Refused,
            lost_at: 0,
            now: 1_000,
            random: 11,
            steps: BinaryHeap::new(),
            step_number: 0,
            tickets: 0,
            attempts: HashMap::new(),
            former: HashMap::new(),
            attempt_number: 0,
            callers: Vec::new(),
            tries: HashMap::new(),
            requests: HashMap::new(),
            origins: HashMap::new(),
            forwards: vec![0; boxes],
            one_content: false,
            verdicts: Vec::new(),
            failed_sends: vec![0; boxes],
            sends: vec![0; boxes],
            next_arrival: 1_000.0,
            plan: plan(1),
        };
        for number in 0..boxes {
            fleet.begin(number);
            fleet.push(1_000 + number as u64, Step::Tick(number));
        }
        fleet.callers = (0..CALLERS).map(|number| new_caller(number, boxes)).collect();
        fleet.push(1_000, Step::Arrive);
        fleet
    }

    /// Lets a box that knows nothing read the store.
    fn begin(&mut self, number: usize) {
        let others = (0..self.boxes.len()).filter(|other| *other != number);
        let addresses = others.map(|other| format!("box-{other}:90")).collect();
        self.feed(number, RouteEvent::PeersDiscovered(addresses));
        self.read_plan(number, true);
        for replica in 0..self.replicas {
            self.read_entry(number, replica);
        }
        let now = BoxTime::from_millis(self.now);
        let to = at(self.replicas as u64 + 2);
        self.feed(number, RouteEvent::EntriesRead { as_of: now, to });
    }

    fn read_plan(&mut self, number: usize, is_first: bool) {
        let asked_at = BoxTime::from_millis(self.now);
        let plan = is_first.then(|| self.plan.clone());
        self.feed(number, RouteEvent::PlanRead { asked_at, read_to: at(1), plan });
    }

    fn read_entry(&mut self, number: usize, replica: usize) {
        let id = format!("r{replica}");
        let zone = format!("zone-{}", replica % ZONES);
        let entry = BackendEntry { zone, slots: 16, ..entry(&id, "v1") };
        let change =
            BackendChange { id: id.clone(), at: at(replica as u64 + 1), entry: Some(entry) };
        self.feed(number, RouteEvent::BackendsChanged(vec![change]));
        let mut rows = self.boxes[number].backends().rows();
        let key = rows.find(|(_, row)| row.entry.id == id).expect("a row").0;
        self.keys[number].insert(key, replica);
    }

    /// Restarts a box, which loses its requests.
    pub fn restart(&mut self, number: usize) {
        self.boxes[number] = new_state(number);
        self.keys[number].clear();
        self.attempts.retain(|(owner, _), _| *owner != number);
        self.former.retain(|(owner, _), _| *owner != number);
        self.begin(number);
    }

    /// Cuts paths from a box to replicas.
    pub fn lose_paths(
        &mut self,
        number: usize,
        replicas: impl Fn(usize) -> bool,
        failure: PathFailure,
    ) {
        self.failure = failure;
        self.lost_at = self.now;
        for replica in (0..self.replicas).filter(|replica| replicas(*replica)) {
            self.lost[number][replica] = true;
        }
        let keys = &self.keys[number];
        let hit = |order: &SendOrder| keys.get(&order.replica).is_some_and(|row| replicas(*row));
        let mut broken: Vec<(u64, u64)> = Vec::new();
        for ((owner, ticket), attempt) in &mut self.attempts {
            if *owner == number && hit(&attempt.order) && failure != PathFailure::Refused {
                self.attempt_number += 1;
                attempt.number = self.attempt_number;
                broken.push((*ticket, attempt.number));
            }
        }
        broken.sort_unstable();
        for (ticket, attempt) in broken {
            if failure == PathFailure::Reset {
                self.push(self.now, Step::Break(number, ticket, attempt));
            } else {
                self.push(self.now + 1_000, Step::Stall(number, ticket, attempt));
            }
        }
    }

    /// Restores all paths of a box.
    pub fn restore_paths(&mut self, number: usize) {
        self.lost[number].fill(false);
    }

    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.random >> 33
    }

    fn push(&mut self, at: u64, step: Step) {
        self.step_number += 1;
        self.steps.push(Reverse((at, self.step_number, step)));
    }

    /// Applies an event to a box and handles its effects.
    pub fn feed(&mut self, number: usize, event: RouteEvent) {
        let random = self.draw() << 20;
        let now = BoxTime::from_millis(self.now);
        let stamp = EventStamp { now, wall: WallTime(0), random };
        for effect in self.boxes[number].apply(stamp, event) {
            self.handle(number, effect);
        }
    }

    fn handle(&mut self, number: usize, effect: RouteEffect) {
        match effect {
            RouteEffect::KeepFormer(ticket) => self.return_to_former(number, ticket.0),
            RouteEffect::Send(ticket, order) if order.pass.is_some() => {
                self.forward(number, ticket.0, order);
            }
            RouteEffect::Send(ticket, order) => self.send(number, ticket.0, order),
            RouteEffect::Relay(ticket) => self.relay(number, ticket.0),
            RouteEffect::Refuse(ticket, refusal, _) => {
                self.attempts.remove(&(number, ticket.0));
                self.end_try(number, ticket.0, false);
                let answer = AnswerHead { proven: false, ..head(refusal.status) };
                self.answer_origin(number, ticket.0, answer);
            }
            RouteEffect::AbortResponse(ticket, _) => {
                self.attempts.remove(&(number, ticket.0));
                self.end_try(number, ticket.0, false);
            }
            RouteEffect::ProbePath(key, _) => self.probe(number, key),
            RouteEffect::RecheckAttempts => self.report_blocked(number),
            effect @ (RouteEffect::PoisonRefused { .. } | RouteEffect::VersionRejected { .. }) => {
                self.verdicts.push(effect);
            }
            RouteEffect::SendGossip(targets, message) => {
                for target in targets.iter().filter_map(|target| number_of(target)) {
                    self.feed(target, RouteEvent::GossipReceived(message.clone()));
                }
            }
            RouteEffect::SendSyncRequest(target, request) => {
                if let Some(target) = number_of(&target) {
                    self.feed(target, RouteEvent::SyncRequested(request));
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, number: usize, ticket: u64, order: SendOrder) {
        self.attempt_number += 1;
        let attempt = self.attempt_number;
        let replica = self.keys[number][&order.replica];
        let is_lost = self.lost[number][replica];
        self.repeats += usize::from(order.number > 1);
        let (head_ms, deadline) = (order.head_ms, order.deadline.as_millis());
        self.begin_attempt(number, ticket, RunningTry { number: attempt, order, head: false });
        let was_open = self.now < self.lost_at + POOL_MS;
        let after_ms = match self.failure {
            _ if self.down[replica] => Some(1),
            _ if !is_lost => None,
            PathFailure::Hanging => Some(CONNECT_MS),
            PathFailure::Refused | PathFailure::Reset => Some(1),
        };
        self.failed_sends[number] += usize::from(after_ms.is_some());
        self.sends[number] += usize::from(after_ms.is_none());
        let hangs = is_lost && self.failure == PathFailure::Hanging && was_open;
        match after_ms {
            _ if hangs => {}
            Some(after_ms) => self.push(self.now + after_ms, Step::Fail(number, ticket, attempt)),
            None => {
                let begins = self.now.max(self.silent_until[replica]) + ANSWER_MS.0;
                self.push(begins, Step::Head(number, ticket, attempt));
            }
        }
        self.push(self.now + head_ms, Step::Stall(number, ticket, attempt));
        self.push(deadline, Step::Deadline(number, ticket));
    }

    /// Makes an attempt the current one, and keeps the one before if its order says so.
    fn begin_attempt(&mut self, number: usize, ticket: u64, attempt: RunningTry) {
        let overlap_ms = attempt.order.overlap_ms;
        let count = attempt.number;
        let last = self.attempts.insert((number, ticket), attempt);
        if let Some(overlap_ms) = overlap_ms {
            if let Some(last) = last {
                self.former.entry((number, ticket)).or_insert(last);
            }
            self.push(self.now + overlap_ms, Step::Overlap(number, ticket, count));
        }
    }

    fn return_to_former(&mut self, number: usize, ticket: u64) {
        self.cancel_forwards(number, ticket);
        if let Some(former) = self.former.remove(&(number, ticket)) {
            self.attempts.insert((number, ticket), former);
        }
    }

    /// Ends what a box forwarded of a request.
    fn cancel_forwards(&mut self, number: usize, ticket: u64) {
        let own = self.origins.iter().filter(|(_, origin)| **origin == (number, ticket));
        let mut inner: Vec<(usize, u64)> = own.map(|(inner, _)| *inner).collect();
        inner.sort_unstable();
        for (target, inner) in inner {
            self.origins.remove(&(target, inner));
            self.attempts.remove(&(target, inner));
            self.feed(target, RouteEvent::CallerDisconnected(RequestTicket(inner)));
        }
    }

    fn is_former(&self, number: usize, ticket: u64, attempt: u64) -> bool {
        let former = self.former.get(&(number, ticket));
        former.is_some_and(|former| former.number == attempt)
    }

    fn end_former(&mut self, number: usize, ticket: u64, end: FormerEnd) {
        self.former.remove(&(number, ticket));
        self.feed(number, RouteEvent::FormerEnded(RequestTicket(ticket), end));
    }

    /// Delivers a forwarded request to its box.
    fn forward(&mut self, number: usize, ticket: u64, order: SendOrder) {
        self.forwards[number] += 1;
        self.attempt_number += 1;
        let attempt = self.attempt_number;
        let target = number_of(&order.address).expect("a box");
        let deadline = order.deadline.as_millis();
        let request = self.requests[&(number, ticket)].clone();
        let pass = order.pass.clone().expect("a pass");
        assert_eq!(pass.key, self.boxes[target].forward_key(), "the key of the box");
        self.begin_attempt(number, ticket, RunningTry { number: attempt, order, head: false });
        self.push(deadline, Step::Deadline(number, ticket));
        self.tickets += 1;
        let inner = self.tickets;
        self.origins.insert((target, inner), (number, ticket));
        let left = deadline.saturating_sub(self.now);
        let request =
            CallerRequest { forward: Some(pass.request), deadline_ms: Some(left), ..request };
        self.feed(target, RouteEvent::RequestArrived(RequestTicket(inner), request));
    }

    /// Hands the answer to a forwarded request to the box that forwarded it.
    fn answer_origin(&mut self, number: usize, ticket: u64, answer: AnswerHead) {
        if let Some((origin, outer)) = self.origins.remove(&(number, ticket)) {
            if self.attempts.contains_key(&(origin, outer)) {
                self.feed(origin, RouteEvent::HeadReceived(RequestTicket(outer), answer));
            }
        }
    }

    fn probe(&mut self, number: usize, key: ReplicaKey) {
        let replica = self.keys[number][&key];
        let is_lost = self.lost[number][replica];
        let is_silent = self.now < self.silent_until[replica];
        let hangs = is_silent || is_lost && self.failure == PathFailure::Hanging;
        let after_ms = if hangs && !self.down[replica] { CONNECT_MS } else { 1 };
        let reached = !is_lost && !is_silent && !self.down[replica];
        self.push(self.now + after_ms, Step::Probed(number, key, reached));
    }

    /// Tells all requests of a box that paths are lost.
    fn report_blocked(&mut self, number: usize) {
        let own = self.attempts.iter().filter(|((owner, _), row)| *owner == number && !row.head);
        let mut tickets: Vec<u64> = own.map(|((_, ticket), _)| *ticket).collect();
        tickets.sort_unstable();
        for ticket in tickets {
            self.feed(number, RouteEvent::AttemptRechecked(RequestTicket(ticket)));
        }
    }

    fn relay(&mut self, number: usize, ticket: u64) {
        self.former.remove(&(number, ticket));
        self.answer_origin(number, ticket, head(200));
        if let Some(attempt) = self.attempts.get_mut(&(number, ticket)) {
            attempt.head = true;
        }
        self.end_try(number, ticket, true);
        self.push(self.now + ANSWER_MS.1 - ANSWER_MS.0, Step::End(number, ticket));
    }

    fn end_try(&mut self, number: usize, ticket: u64, served: bool) {
        let now = self.now;
        if let Some(row) = self.tries.get_mut(&(number, ticket)) {
            row.ended.get_or_insert((now, served));
        }
    }

    /// Plays the fleet for a time.
    pub fn play(&mut self, length_ms: u64) {
        let end = self.now + length_ms;
        while let Some(Reverse((at, number, step))) = self.steps.pop() {
            if at >= end {
                self.steps.push(Reverse((at, number, step)));
                break;
            }
            self.now = self.now.max(at);
            self.run_step(step);
        }
        self.now = end;
    }

    fn is_running(&self, number: usize, ticket: u64, attempt: u64) -> bool {
        let running = self.attempts.get(&(number, ticket));
        running.is_some_and(|running| running.number == attempt)
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::Tick(number) => {
                self.read_plan(number, false);
                self.feed(number, RouteEvent::Tick);
                self.push(self.now + TICK_MS, Step::Tick(number));
            }
            Step::Probed(number, replica, reached) => {
                self.feed(number, RouteEvent::PathProbed { replica, reached });
            }
            Step::Head(number, ticket, attempt) if self.is_running(number, ticket, attempt) => {
                self.feed(number, RouteEvent::HeadReceived(RequestTicket(ticket), head(200)));
            }
            Step::Head(number, ticket, attempt) if self.is_former(number, ticket, attempt) => {
                self.feed(number, RouteEvent::AttemptResumed(RequestTicket(ticket)));
                self.return_to_former(number, ticket);
                self.feed(number, RouteEvent::HeadReceived(RequestTicket(ticket), head(200)));
            }
            Step::Overlap(number, ticket, attempt)
                if self.is_running(number, ticket, attempt)
                    && self.former.contains_key(&(number, ticket)) =>
            {
                self.end_former(number, ticket, FormerEnd::Replaced);
            }
            Step::Fail(number, ticket, attempt) | Step::Break(number, ticket, attempt)
                if self.is_former(number, ticket, attempt) =>
            {
                self.end_former(number, ticket, FormerEnd::Broken);
            }
            Step::End(number, ticket) if self.attempts.contains_key(&(number, ticket)) => {
                self.attempts.remove(&(number, ticket));
                self.feed(number, RouteEvent::ResponseFinished(RequestTicket(ticket)));
            }
            Step::Fail(number, ticket, attempt) if self.is_running(number, ticket, attempt) => {
                self.fail(number, ticket, AttemptFailure::NeverSent);
            }
            Step::Break(number, ticket, attempt) if self.is_running(number, ticket, attempt) => {
                self.fail(number, ticket, AttemptFailure::Broken);
            }
            Step::Stall(number, ticket, attempt) if self.is_running(number, ticket, attempt) => {
                self.stall(number, ticket, attempt);
            }
            Step::Deadline(number, ticket) => {
                let ended = self.tries.get(&(number, ticket)).is_none_or(|row| row.ended.is_some());
                if !ended {
                    self.former.remove(&(number, ticket));
                    self.attempts.remove(&(number, ticket));
                    self.feed(number, RouteEvent::DeadlinePassed(RequestTicket(ticket)));
                }
            }
            _ => {}
        }
    }

    fn fail(&mut self, number: usize, ticket: u64, failure: AttemptFailure) {
        self.attempts.remove(&(number, ticket));
        self.feed(number, RouteEvent::AttemptFailed(RequestTicket(ticket), failure));
    }

    fn stall(&mut self, number: usize, ticket: u64, attempt: u64) {
        let running = &self.attempts[&(number, ticket)];
        if running.head || self.former.contains_key(&(number, ticket)) {
            return;
        }
        let head_ms = running.order.head_ms.max(1);
        self.feed(number, RouteEvent::AttemptStalled(RequestTicket(ticket)));
        self.push(self.now + head_ms, Step::Stall(number, ticket, attempt));
    }

    fn arrive(&mut self) {
        let gap_ms = 1_000.0 / (RATE * self.boxes.len() as f64);
        self.next_arrival += gap_ms;
        self.push(self.next_arrival as u64, Step::Arrive);
        let caller = self.draw() as usize % CALLERS;
        self.refresh(caller);
        let boxes = &self.callers[caller].boxes;
        if boxes.is_empty() {
            return;
        }
        let entry = boxes[self.random as usize % boxes.len()];
        self.tickets += 1;
        let ticket = self.tickets;
        let first = FirstTry { at: self.now, entry, ended: None };
        self.tries.insert((entry, ticket), first);
        let path = ["/read/x", "/chat/x", "/file/x"][ticket as usize % 3];
        let request = CallerRequest {
            id: format!("r{ticket}"),
            session: session(caller as u64 + 1),
            content: if self.one_content { 77 } else { session(1_000 + ticket) },
            ..ask(path)
        };
        self.requests.insert((entry, ticket), request.clone());
        self.feed(entry, RouteEvent::RequestArrived(RequestTicket(ticket), request));
    }

    /// Renews a caller's addresses from the directory of a random box, if they have expired.
    fn refresh(&mut self, caller: usize) {
        if self.now < self.callers[caller].until {
            return;
        }
        let asked = self.draw() as usize % self.boxes.len();
        let now = BoxTime::from_millis(self.now);
        let addresses = self.boxes[asked].advertised_addresses(now);
        let view = &mut self.callers[caller];
        view.boxes = addresses.iter().filter_map(|address| number_of(address)).collect();
        view.until = self.now + view.cache_ms;
    }

    /// Boxes that the directory of a box lists.
    pub fn listed(&self, number: usize) -> Vec<usize> {
        let now = BoxTime::from_millis(self.now);
        let addresses = self.boxes[number].advertised_addresses(now);
        let mut listed: Vec<usize> =
            addresses.iter().filter_map(|address| number_of(address)).collect();
        listed.sort_unstable();
        listed
    }

    /// First tries that were sent from `from` until `until` to boxes that `which` selects, in
    /// milliseconds.
    pub fn tries(&self, from: u64, until: u64, which: impl Fn(usize) -> bool) -> Vec<FirstTry> {
        let rows = self.tries.values();
        rows.filter(|row| (from..until).contains(&row.at) && which(row.entry)).copied().collect()
    }
}

/// Number of the box with this address.
fn number_of(address: &str) -> Option<usize> {
    address.strip_prefix("box-")?.split(':').next()?.parse().ok()
}

fn new_caller(number: usize, boxes: usize) -> CallerView {
    let cache_ms = if number % 3 == 0 { CACHE_MS.1 } else { CACHE_MS.0 };
    let until = 1_000 + cache_ms * number as u64 / CALLERS as u64;
    CallerView { boxes: (0..boxes).collect(), until, cache_ms }
}

fn new_state(number: usize) -> RouteState {
    let name = format!("box-{number}");
    let zone = format!("zone-{}", number % ZONES);
    let incarnation = session(number as u64 + 1);
    RouteState::new(RouteSettings { zone, incarnation, ..settings(&name) })
}
