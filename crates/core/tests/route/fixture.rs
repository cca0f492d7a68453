//! A routing box with a plan and replicas, and helpers that drive it.

use std::collections::BTreeMap;

use ravenspoke_core::event::{EventStamp, RequestTicket};
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::event::{
    AnswerHead, CallerRequest, RefusalReason, RouteEffect, RouteEvent, RouteRefusal, SendOrder,
};
use ravenspoke_core::route::peers::{BoxCapacity, GossipMessage};
use ravenspoke_core::route::plan::{KeyHolder, RouteKind, RoutePlan, RouteSpec, RouteTarget};
use ravenspoke_core::route::plan_freshness::FreshBounds;
use ravenspoke_core::route::retry_budget::BudgetBounds;
use ravenspoke_core::route::trial::TrialOrder;
use ravenspoke_core::route::{RouteSettings, RouteState};
use ravenspoke_core::time::{BoxTime, WallTime};

pub const KEY: &str = "alpha-key";
pub const HOST: &str = "api.example";

/// A position in the store's first era.
pub fn at(offset: u64) -> TopicPosition {
    TopicPosition::new(1, offset)
}

/// A box under test and its clock.
pub struct TestBox {
    pub state: RouteState,
    pub now: u64,
    random: u64,
    tickets: u64,
    pub offset: u64,
}

pub fn settings(name: &str) -> RouteSettings {
    RouteSettings {
        name: name.to_owned(),
        zone: "east".to_owned(),
        incarnation: 1,
        forward_key: 9,
        entry_address: format!("{name}:80"),
        gossip_address: format!("{name}:90"),
        is_seed: false,
        capacity: BoxCapacity::default(),
        fresh: FreshBounds { revoke_ms: Some(5_000), apply_ms: 2_000 },
        budget: BudgetBounds { ratio: 0.9, slack: 60.0, window_ms: 10_000 },
        exposure: Default::default(),
        leader: None,
        regions: BTreeMap::new(),
        load: Default::default(),
        drain_ms: 7_500,
    }
}

pub fn route(name: &str, kind: RouteKind) -> RouteSpec {
    RouteSpec {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout_ms: 5_000,
        target_ms: 1_000,
        pause_ms: 1_000,
        priority: 1,
        attempts: 3,
        anonymous: false,
        sizes: Vec::new(),
        regions: Vec::new(),
        targets: vec![RouteTarget { service: "pool".to_owned(), weight: 1 }],
    }
}

pub fn plan(version: u64) -> RoutePlan {
    let holder = KeyHolder {
        name: "alpha".to_owned(),
        keys: vec![KEY.to_owned()],
        priority: None,
        regions: Vec::new(),
    };
    RoutePlan {
        version,
        routes: vec![
            route("read", RouteKind::Idempotent),
            route("file", RouteKind::Single),
            route("chat", RouteKind::Stream { resumable: true }),
        ],
        holders: Some(vec![holder]),
        ..RoutePlan::default()
    }
}

pub fn entry(id: &str, version: &str) -> BackendEntry {
    BackendEntry {
        id: id.to_owned(),
        address: format!("{id}:80"),
        service: "pool".to_owned(),
        zone: "east".to_owned(),
        version: version.to_owned(),
        slots: 4,
        leaving: false,
        cold_ms: 0,
        born: None,
        spot: false,
    }
}

pub fn head(status: u16) -> AnswerHead {
    AnswerHead {
        status,
        load: None,
        machine_percent: None,
        confidence: None,
        limit_per_s: None,
        backoff_ms: None,
        brittle_per_s: None,
        leaving: false,
        not_run: false,
        other_replica: false,
        proven: true,
        begun: None,
        spent: Default::default(),
    }
}

pub fn ask(path: &str) -> CallerRequest {
    CallerRequest {
        id: "r1".to_owned(),
        host: HOST.to_owned(),
        path: path.to_owned(),
        key: Some(KEY.to_owned()),
        deadline_ms: Some(4_000),
        ..CallerRequest::default()
    }
}

/// Hash of a caller's session.
pub fn session(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// A box that knows nothing.
pub fn new_box(name: &str) -> TestBox {
    new_box_with(settings(name))
}

/// A box with these settings that knows nothing.
pub fn new_box_with(settings: RouteSettings) -> TestBox {
    TestBox::of(RouteState::new(settings))
}

/// A box with plan 1 and replicas `a` and `b`.
pub fn ready_box() -> TestBox {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    subject.put(entry("a", "v1"));
    subject.put(entry("b", "v1"));
    subject
}

impl TestBox {
    /// A box with this state.
    pub fn of(state: RouteState) -> Self {
        Self { state, now: 1_000, random: 7, tickets: 0, offset: 0 }
    }

    pub fn feed(&mut self, event: RouteEvent) -> Vec<RouteEffect> {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let now = BoxTime::from_millis(self.now);
        self.state.apply(EventStamp { now, wall: WallTime(0), random: self.random }, event)
    }

    /// Delivers an order to roll out a version.
    pub fn give_order(&mut self, order: TrialOrder) -> Vec<RouteEffect> {
        self.feed(RouteEvent::OrdersRead { read_to: at(1), orders: vec![order] })
    }

    /// Delivers a read of the store that began now.
    pub fn read_plan(&mut self, plan: Option<RoutePlan>) -> Vec<RouteEffect> {
        let asked_at = BoxTime::from_millis(self.now);
        let read_to = at(plan.as_ref().map_or(0, |plan| plan.version));
        self.feed(RouteEvent::PlanRead { asked_at, read_to, plan })
    }

    pub fn put(&mut self, entry: BackendEntry) {
        let change = self.change(&entry.id.clone(), Some(entry));
        self.feed(RouteEvent::BackendsChanged(vec![change]));
        self.note_entries_read();
    }

    pub fn drop_entry(&mut self, id: &str) -> Vec<RouteEffect> {
        let change = self.change(id, None);
        let effects = self.feed(RouteEvent::BackendsChanged(vec![change]));
        self.note_entries_read();
        effects
    }

    /// Records that all changes so far were read now.
    pub fn note_entries_read(&mut self) {
        let now = BoxTime::from_millis(self.now);
        let event = RouteEvent::EntriesRead { as_of: now, to: at(self.offset + 1) };
        // This draws no random number, so that later draws stay the same.
        self.state.apply(EventStamp { now, wall: WallTime(0), random: self.random }, event);
    }

    /// A change at the store's next offset.
    fn change(&mut self, id: &str, entry: Option<BackendEntry>) -> BackendChange {
        self.offset += 1;
        BackendChange { id: id.to_owned(), at: at(self.offset), entry }
    }

    pub fn arrive(&mut self, ask: CallerRequest) -> (RequestTicket, Vec<RouteEffect>) {
        self.tickets += 1;
        let ticket = RequestTicket(self.tickets);
        (ticket, self.feed(RouteEvent::RequestArrived(ticket, ask)))
    }

    /// Sends a request and returns its send order.
    pub fn sent(&mut self, ask: CallerRequest) -> (RequestTicket, SendOrder) {
        let (ticket, effects) = self.arrive(ask);
        (ticket, order_in(&effects).expect("the request is sent"))
    }

    pub fn refused(&mut self, ask: CallerRequest) -> RouteRefusal {
        let (_, effects) = self.arrive(ask);
        refusal_in(&effects).expect("the request is refused")
    }
}

pub fn order_in(effects: &[RouteEffect]) -> Option<SendOrder> {
    effects.iter().find_map(|effect| match effect {
        RouteEffect::Send(_, order) => Some(order.clone()),
        _ => None,
    })
}

pub fn refusal_in(effects: &[RouteEffect]) -> Option<RouteRefusal> {
    effects.iter().find_map(|effect| match effect {
        RouteEffect::Refuse(_, refusal, _) => Some(*refusal),
        _ => None,
    })
}

pub fn gossip_in(effects: &[RouteEffect]) -> Option<GossipMessage> {
    effects.iter().find_map(|effect| match effect {
        RouteEffect::SendGossip(_, message) => Some((**message).clone()),
        _ => None,
    })
}

pub fn is_refused(refusal: RouteRefusal, status: u16, reason: RefusalReason) -> bool {
    refusal.status == status && refusal.reason == reason
}

/// Versions that serve 60 sessions, each version once.
pub fn versions(subject: &mut TestBox) -> Vec<String> {
    let mut versions: Vec<String> = (1..=60).map(|number| serve(subject, number)).collect();
    versions.sort();
    versions.dedup();
    versions
}

/// Serves a request of this session. Returns the version that ran it.
pub fn serve(subject: &mut TestBox, number: u64) -> String {
    let request = CallerRequest { session: session(number), ..ask("/file/x") };
    let (ticket, order) = subject.sent(request);
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    subject.feed(RouteEvent::ResponseFinished(ticket));
    order.version
}
