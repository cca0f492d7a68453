//! A simulated fleet in virtual time: boxes that ask a store for the leader's lease, and a platform
//! that carries out the leader's calls. Boxes freeze, restart, and lose the store or the platform's
//! API; calls are carried out late.

use std::collections::{BTreeMap, BTreeSet};

use ravenspoke_core::event::EventStamp;
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::event::{RouteEffect, RouteEvent};
use ravenspoke_core::route::leader::lease::{token, LeaseAnswer};
use ravenspoke_core::route::leader::scale::{ScalePlan, ScaleSubject};
use ravenspoke_core::route::leader::usage::{AccountCounts, UsageBounds};
use ravenspoke_core::route::leader::{
    CallOutcome, LeaderBounds, LeaderCall, LeaderOrder, LeaderRecord, LeaderStep, NumberedRecord,
};
use ravenspoke_core::route::plan::ServicePlan;
use ravenspoke_core::route::RouteState;
use ravenspoke_core::time::{BoxTime, WallTime};

use crate::fixture::{ask, at, entry, head, order_in, plan, settings};

/// Length of the lease, in milliseconds.
pub const LEASE_MS: u64 = 3_000;

/// Length of a window, in milliseconds.
pub const WINDOW_MS: u64 = 5_000;

/// A report is due this long after the end of its window, in milliseconds.
pub const REPORT_DUE_MS: u64 = 10_000;

/// The wall clock at the start, in Unix milliseconds.
const WALL_START_MS: u64 = 1_700_000_001_000;

/// Interval between ticks of a box, in milliseconds.
const TICK_MS: u64 = 200;

/// Greatest extra delay of a slow call, in milliseconds.
const SLOW_CALL_MS: u64 = 4_000;

/// Zones of the service, and the number of replicas in each at the start.
pub const ZONES: [&str; 3] = ["east", "north", "west"];
pub const ZONE_SIZE: u32 = 20;

/// Interval at which the platform carries out orders of replicas, in milliseconds.
const ORDER_INTERVAL_MS: u64 = 4_000;

/// A call that the platform carried out.
#[derive(Debug)]
pub struct DoneCall {
    pub at: u64,
    pub holder: usize,
    pub token: u64,
    pub call: LeaderCall,
}

/// The store: a membership group, which grants the lease, and the leader's records.
#[derive(Debug, Default)]
struct LeaseStore {
    generation: u64,
    /// Members, each with the time of its last request.
    members: BTreeMap<(usize, u32), u64>,
    owner: Option<(usize, u32)>,
    /// The owner loses the lease to this member when it next requests it.
    next_owner: Option<(usize, u32)>,
    epoch: u64,
    /// Number of the next record in the epoch.
    next: u64,
    records: BTreeMap<String, LeaderRecord>,
}

impl LeaseStore {
    fn expire(&mut self, now: u64) {
        let before = self.members.len();
        self.members.retain(|_, last_seen| now - *last_seen < LEASE_MS);
        if self.members.len() != before {
            self.generation += 1;
        }
        if self.owner.is_some_and(|owner| !self.members.contains_key(&owner)) {
            self.owner = None;
        }
        if self.next_owner.is_some_and(|owner| !self.members.contains_key(&owner)) {
            self.next_owner = None;
        }
    }

    fn join(&mut self, member: (usize, u32), known: u64, now: u64) -> (u64, bool) {
        self.expire(now);
        if self.members.insert(member, now).is_none() {
            self.generation += 1;
        }
        if self.owner == Some(member) && self.next_owner.is_some() && known >= self.generation {
            self.owner = self.next_owner.take();
        }
        if self.owner.is_none() {
            self.owner = Some(self.next_owner.take().unwrap_or(member));
            self.generation += 1;
        }
        (self.generation, self.owner == Some(member) && self.next_owner.is_none())
    }

    /// Grants the lease to a random member, unasked.
    fn regrant(&mut self, draw: u64) {
        let members: Vec<_> = self.members.keys().copied().collect();
        if let Some(index) = draw.checked_rem(members.len() as u64) {
            self.next_owner =
                Some(members[index as usize]).filter(|next| self.owner != Some(*next));
            self.generation += 1;
        }
    }
}

/// A box, with its faults and timers.
struct FleetBox {
    state: RouteState,
    restarts: u32,
    frozen_until: u64,
    store_down_until: u64,
    api_down_until: u64,
    next_tick: u64,
    next_join: u64,
    generation: u64,
    tickets: u64,
}

/// An event, request or step under way.
enum Delivery {
    Event(usize, u32, RouteEvent),
    Join(usize, u32, u64, u64),
    Step(usize, u32, LeaderOrder),
}

/// The fleet, the store and the platform.
pub struct LeaderFleet {
    pub now: u64,
    random: u64,
    boxes: Vec<FleetBox>,
    store: LeaseStore,
    deliveries: BTreeMap<(u64, u64), Delivery>,
    delivery_count: u64,
    pub done: Vec<DoneCall>,
    /// Highest token seen, by subject of the call.
    highest_tokens: BTreeMap<String, u64>,
    /// Requests that started to run, by window.
    pub expected_counts: BTreeMap<u64, u64>,
    /// Whether faults are injected.
    pub faults: bool,
    /// Whether the platform has spot replicas available.
    pub has_spot: bool,
    orders: BTreeMap<ScaleSubject, u32>,
    offset: u64,
    replica_count: u64,
    running_replicas: BTreeMap<(String, bool), Vec<String>>,
    /// Whether the plan lets the leader order replicas.
    scales: bool,
    box_count: usize,
}

fn stamp(now: u64, random: u64) -> EventStamp {
    EventStamp { now: BoxTime::from_millis(now), wall: WallTime(WALL_START_MS + now), random }
}

impl LeaderFleet {
    pub fn new(boxes: usize, seed: u64, scales: bool) -> Self {
        let mut fleet = Self {
            now: 1_000,
            random: seed.wrapping_mul(2).wrapping_add(1),
            boxes: Vec::new(),
            store: LeaseStore::default(),
            deliveries: BTreeMap::new(),
            delivery_count: 0,
            done: Vec::new(),
            highest_tokens: BTreeMap::new(),
            expected_counts: BTreeMap::new(),
            faults: false,
            has_spot: true,
            orders: BTreeMap::new(),
            offset: 0,
            replica_count: 0,
            running_replicas: BTreeMap::new(),
            scales,
            box_count: boxes,
        };
        for number in 0..boxes {
            let started = fleet.start(number, 0);
            fleet.boxes.push(started);
        }
        for zone in ZONES {
            for _ in 0..ZONE_SIZE {
                fleet.add_replica(zone, false);
            }
        }
        fleet
    }

    /// A box that starts, and knows the plan and the replicas.
    fn start(&mut self, number: usize, restarts: u32) -> FleetBox {
        let usage = Some(UsageBounds { window_ms: WINDOW_MS, late_ms: REPORT_DUE_MS });
        let leader = Some(LeaderBounds { lease_ms: LEASE_MS, usage, scales: self.scales });
        let incarnation = 1 + u64::from(restarts);
        let name = format!("box-{number}");
        let mut state = RouteState::new(ravenspoke_core::route::RouteSettings {
            leader,
            incarnation,
            ..settings(&name)
        });
        let mut plan = plan(1);
        if self.scales {
            let scale = Some(ScalePlan { min: 1, max: 40, spot_price: Some(0.15) });
            plan.services
                .insert("pool".to_owned(), ServicePlan { scale, ..ServicePlan::default() });
        }
        let asked_at = BoxTime::from_millis(self.now);
        let read = RouteEvent::PlanRead { asked_at, read_to: at(1), plan: Some(plan) };
        drop(state.apply(stamp(self.now, 1), read));
        let tick = self.now + self.draw(TICK_MS);
        let mut started = FleetBox {
            state,
            restarts,
            frozen_until: 0,
            store_down_until: 0,
            api_down_until: 0,
            next_tick: tick,
            next_join: tick,
            generation: 0,
            tickets: 0,
        };
        let others = (0..self.box_count).map(|other| format!("box-{other}:90")).collect();
        drop(started.state.apply(stamp(self.now, 3), RouteEvent::PeersDiscovered(others)));
        let listed = self.entries();
        let end = at(self.offset + 1);
        drop(started.state.apply(stamp(self.now, 2), RouteEvent::BackendsListed { end, listed }));
        started
    }

    fn entries(&self) -> Vec<BackendChange> {
        let mut rows = Vec::new();
        for ((zone, spot), ids) in &self.running_replicas {
            for id in ids {
                rows.push(BackendChange {
                    id: id.clone(),
                    at: at(1),
                    entry: Some(replica_entry(id, zone, *spot)),
                });
            }
        }
        rows
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695);
        (self.random >> 33) % below.max(1)
    }

    fn schedule(&mut self, at: u64, delivery: Delivery) {
        self.delivery_count += 1;
        self.deliveries.insert((at, self.delivery_count), delivery);
    }

    fn broadcast(&mut self, change: BackendChange) {
        for number in 0..self.boxes.len() {
            let restarts = self.boxes[number].restarts;
            let event = RouteEvent::BackendsChanged(vec![change.clone()]);
            self.schedule(self.now + 1, Delivery::Event(number, restarts, event));
        }
    }

    fn add_replica(&mut self, zone: &str, spot: bool) {
        self.replica_count += 1;
        self.offset += 1;
        let id = format!("r-{}", self.replica_count);
        self.running_replicas.entry((zone.to_owned(), spot)).or_default().push(id.clone());
        let entry = Some(replica_entry(&id, zone, spot));
        self.broadcast(BackendChange { id, at: at(self.offset), entry });
    }

    fn drop_replica(&mut self, zone: &str, spot: bool) {
        let ids = self.running_replicas.entry((zone.to_owned(), spot)).or_default();
        let Some(id) = ids.pop() else { return };
        self.offset += 1;
        self.broadcast(BackendChange { id, at: at(self.offset), entry: None });
    }

    /// The platform reclaims all spot replicas of a zone.
    pub fn reclaim(&mut self, zone: &str) {
        while self.count(zone, true) > 0 {
            self.drop_replica(zone, true);
        }
        self.orders.retain(|subject, _| subject.zone != zone || !subject.spot);
    }

    pub fn count(&self, zone: &str, spot: bool) -> usize {
        self.running_replicas.get(&(zone.to_owned(), spot)).map_or(0, Vec::len)
    }

    /// Runs the fleet for this time.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 10;
            self.inject_fault();
            self.deliver();
            self.tick_boxes();
            self.apply_orders();
        }
    }

    fn inject_fault(&mut self) {
        if !self.faults || self.draw(50) != 0 {
            return;
        }
        let number = self.draw(self.boxes.len() as u64) as usize;
        let until = self.now + 300 + self.draw(8_000);
        match self.draw(6) {
            0 => self.boxes[number].frozen_until = until,
            1 => self.boxes[number].store_down_until = until,
            2 => self.boxes[number].api_down_until = until,
            3 => {
                let restarts = self.boxes[number].restarts + 1;
                self.boxes[number] = self.start(number, restarts);
            }
            4 => {
                let draw = self.draw(1_000);
                self.store.regrant(draw);
            }
            _ => {}
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Delivery::Event(number, restarts, event) => {
                    self.deliver_event(number, restarts, event)
                }
                Delivery::Join(number, restarts, asked_at, known) => {
                    self.join(number, restarts, asked_at, known);
                }
                Delivery::Step(number, restarts, order) => self.execute(number, restarts, order),
            }
        }
    }

    fn deliver_event(&mut self, number: usize, restarts: u32, event: RouteEvent) {
        let subject = &self.boxes[number];
        if subject.restarts != restarts {
            return;
        }
        if subject.frozen_until > self.now {
            let until = subject.frozen_until;
            return self.schedule(until, Delivery::Event(number, restarts, event));
        }
        let random = self.draw(u64::MAX);
        let effects = self.boxes[number].state.apply(stamp(self.now, random), event);
        self.run_effects(number, effects);
    }

    fn join(&mut self, number: usize, restarts: u32, asked_at: u64, known: u64) {
        let (generation, granted) = self.store.join((number, restarts), known, self.now);
        let subject = &mut self.boxes[number];
        if subject.restarts == restarts {
            subject.generation = generation;
        }
        let answer = LeaseAnswer { token: token(0, generation), granted };
        let asked_at = BoxTime::from_millis(asked_at);
        let delay_ms = 2 + self.draw(20);
        self.schedule(
            self.now + delay_ms,
            Delivery::Event(number, restarts, RouteEvent::LeaseAnswered { asked_at, answer }),
        );
    }

    fn tick_boxes(&mut self) {
        for number in 0..self.boxes.len() {
            if self.boxes[number].frozen_until > self.now || self.boxes[number].next_tick > self.now
            {
                continue;
            }
            self.boxes[number].next_tick = self.now + TICK_MS;
            self.read_plan(number);
            let restarts = self.boxes[number].restarts;
            self.deliver_event(number, restarts, RouteEvent::Tick);
            self.serve(number);
            self.ask_for_lease(number);
        }
    }

    /// The box reads the store, which has nothing new.
    fn read_plan(&mut self, number: usize) {
        let asked_at = BoxTime::from_millis(self.now);
        let event = RouteEvent::PlanRead { asked_at, read_to: at(1), plan: None };
        let restarts = self.boxes[number].restarts;
        self.deliver_event(number, restarts, event);
    }

    /// A request arrives at the box and is answered.
    fn serve(&mut self, number: usize) {
        self.boxes[number].tickets += 1;
        let ticket = ravenspoke_core::event::RequestTicket(self.boxes[number].tickets);
        let now = stamp(self.now, 11);
        let state = &mut self.boxes[number].state;
        let sent = state.apply(now, RouteEvent::RequestArrived(ticket, ask("/read/x")));
        if order_in(&sent).is_some() {
            drop(state.apply(now, RouteEvent::HeadReceived(ticket, head(200))));
            drop(state.apply(now, RouteEvent::ResponseFinished(ticket)));
            *self.expected_counts.entry(now.wall.0 / WINDOW_MS).or_default() += 1;
        }
    }

    fn ask_for_lease(&mut self, number: usize) {
        let subject = &self.boxes[number];
        let now = BoxTime::from_millis(self.now);
        if subject.next_join > self.now || !subject.state.wants_lease(now) {
            return;
        }
        let (restarts, known, store_down) =
            (subject.restarts, subject.generation, subject.store_down_until > self.now);
        self.boxes[number].next_join = self.now + LEASE_MS / 3;
        if !store_down {
            let delay_ms = 2 + self.draw(60);
            self.schedule(self.now + delay_ms, Delivery::Join(number, restarts, self.now, known));
        }
    }

    fn run_effects(&mut self, number: usize, effects: Vec<RouteEffect>) {
        let restarts = self.boxes[number].restarts;
        for effect in effects {
            match effect {
                RouteEffect::SendGossip(to, message) => {
                    for target in to {
                        self.send(&target, RouteEvent::GossipReceived(message.clone()));
                    }
                }
                RouteEffect::RequestUsage(to, request) => {
                    for target in to {
                        self.send(&target, RouteEvent::UsageRequested(request.clone()));
                    }
                }
                RouteEffect::SendUsage(to, response) => {
                    self.send(&to, RouteEvent::UsageReceived(response))
                }
                RouteEffect::RunLeaderStep(order)
                    if BoxTime::from_millis(self.now) < order.until =>
                {
                    self.send_step(number, restarts, order);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, target: &str, event: RouteEvent) {
        let number = target.trim_start_matches("box-").trim_end_matches(":90").parse::<usize>();
        let Some(number) = number.ok().filter(|number| *number < self.boxes.len()) else { return };
        let restarts = self.boxes[number].restarts;
        let delay_ms = 1 + self.draw(4);
        self.schedule(self.now + delay_ms, Delivery::Event(number, restarts, event));
    }

    /// Starts a step; a call may be carried out seconds later.
    fn send_step(&mut self, number: usize, restarts: u32, order: LeaderOrder) {
        let subject = &self.boxes[number];
        let is_call = matches!(order.step, LeaderStep::Call(_));
        let until = if is_call { subject.api_down_until } else { subject.store_down_until };
        if until > self.now {
            return;
        }
        let slow = self.faults && self.draw(4) == 0;
        let delay_ms = 2 + if slow { self.draw(SLOW_CALL_MS) } else { self.draw(20) };
        self.schedule(self.now + delay_ms, Delivery::Step(number, restarts, order));
    }

    fn execute(&mut self, number: usize, restarts: u32, order: LeaderOrder) {
        match order.step {
            LeaderStep::TakeOver => {
                if order.token < self.store.epoch {
                    return;
                }
                if order.token > self.store.epoch {
                    self.store.epoch = order.token;
                    self.store.next = 0;
                }
                let records = self.store.records.values().cloned().collect();
                let next = self.store.next;
                let event = RouteEvent::LeaderRecordsRead { token: order.token, next, records };
                self.schedule(self.now + 3, Delivery::Event(number, restarts, event));
            }
            LeaderStep::WriteRecord(NumberedRecord { number: count, record }) => {
                if order.token != self.store.epoch || count > self.store.next {
                    return;
                }
                let token = order.token;
                let stored = RouteEvent::RecordStored { token, number: count };
                self.schedule(self.now + 3, Delivery::Event(number, restarts, stored));
                if count < self.store.next {
                    return;
                }
                self.store.next += 1;
                let key = match &record {
                    LeaderRecord::Usage(_) => "usage".to_owned(),
                    LeaderRecord::Size(size) => size.service.clone(),
                };
                self.store.records.insert(key, record);
            }
            LeaderStep::Call(call) => {
                let outcome = self.platform_call(number, order.token, &call);
                self.schedule(
                    self.now + 3,
                    Delivery::Event(number, restarts, RouteEvent::LeaderCallEnded(call, outcome)),
                );
            }
        }
    }

    fn platform_call(&mut self, holder: usize, token: u64, call: &LeaderCall) -> CallOutcome {
        let subject = match call {
            LeaderCall::Report(_) => "usage".to_owned(),
            LeaderCall::Scale(subject, _) => format!("{} {}", subject.service, subject.zone),
        };
        let highest = self.highest_tokens.entry(subject).or_default();
        if token < *highest {
            return CallOutcome::Refused;
        }
        *highest = token;
        if let LeaderCall::Scale(subject, wanted) = call {
            if subject.spot && !self.has_spot && *wanted > 0 {
                return CallOutcome::Refused;
            }
            self.orders.insert(subject.clone(), *wanted);
        }
        self.done.push(DoneCall { at: self.now, holder, token, call: call.clone() });
        CallOutcome::Done
    }

    /// Starts replicas that were ordered, and removes surplus ones.
    fn apply_orders(&mut self) {
        if self.now % ORDER_INTERVAL_MS != 0 {
            return;
        }
        for (subject, wanted) in self.orders.clone() {
            while self.count(&subject.zone, subject.spot) < wanted as usize {
                self.add_replica(&subject.zone, subject.spot);
            }
            while self.count(&subject.zone, subject.spot) > wanted as usize {
                self.drop_replica(&subject.zone, subject.spot);
            }
        }
    }

    /// Reports that the platform accepted, by window.
    pub fn reports(&self) -> BTreeMap<u64, BTreeSet<AccountCounts>> {
        let mut reports: BTreeMap<u64, BTreeSet<AccountCounts>> = BTreeMap::new();
        for done in &self.done {
            if let LeaderCall::Report(report) = &done.call {
                reports.entry(report.window).or_default().insert(report.counts.clone());
            }
        }
        reports
    }

    /// The current window.
    pub fn window(&self) -> u64 {
        (WALL_START_MS + self.now) / WINDOW_MS
    }
}

fn replica_entry(id: &str, zone: &str, spot: bool) -> BackendEntry {
    BackendEntry { zone: zone.to_owned(), spot, ..entry(id, "v1") }
}
