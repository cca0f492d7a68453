//! Routers of prompts: the reducer of the boxes, least reported load, or an oracle.

use std::collections::{BTreeMap, HashMap};

use ravenspoke_core::event::{EventStamp, RequestTicket};
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::event::{
    AnswerHead, AttemptFailure, CallerRequest, FormerEnd, PromptSize, RouteEffect, RouteEvent,
};
use ravenspoke_core::route::peers::BoxCapacity;
use ravenspoke_core::route::plan::{RouteKind, RoutePlan, RouteSpec, RouteTarget};
use ravenspoke_core::route::plan_freshness::FreshBounds;
use ravenspoke_core::route::retry_budget::BudgetBounds;
use ravenspoke_core::route::scheduling::loads::BackendLoad;
use ravenspoke_core::route::{RouteSettings, RouteState};
use ravenspoke_core::time::{BoxTime, WallTime};

use crate::prompt_engine::{EngineState, PromptJob};
use crate::prompt_site::{PromptClass, PromptFault, PromptRequest, PromptSite};
use crate::prompts::PromptPolicy;

/// Slots that engines report, far more than the prompts that run at once in a simulation.
const SLOTS: u32 = 64;

/// Maximum number of sends of one request.
const ATTEMPTS: u32 = 3;

/// Confidence, 0 to 100, below which the baseline sends the request to the largest model.
const BASELINE_CONFIDENCE: u8 = 50;

const SERVICE: &str = "pool";
const HOST: &str = "api.example";

/// State of the simulation when a router decides.
#[derive(Clone, Copy, Debug)]
pub struct PromptScene<'a> {
    /// The deployment.
    pub site: &'a PromptSite,
    /// The state of its engines, which only the oracle sees.
    pub engines: &'a [EngineState],
    /// All requests.
    pub requests: &'a [PromptRequest],
    /// Virtual time, in microseconds.
    pub now_us: u64,
}

/// Decision of a router on a request.
#[derive(Clone, Copy, Debug)]
pub enum RouterStep {
    /// Send the request to an engine.
    Send {
        /// Index of the engine.
        engine: usize,
        /// Index of the model.
        model: usize,
        /// Urgency in the queue of the engine.
        urgency: u8,
        /// Time without a response head after which the attempt counts as stalled, in microseconds.
        head_timeout_us: Option<u64>,
    },
    /// Relay the answer to the caller.
    Relay,
    /// Wait for the attempt in flight.
    Wait,
    /// Refuse the request.
    Refuse,
}

/// A received response head: the engine, whether the attempt succeeded, the model's confidence, and
/// the engine's waiting and running requests.
pub type ReceivedHead = (usize, bool, u8, u32, u32);

/// State of a request in a baseline: its last model and the number of its sends.
#[derive(Clone, Copy, Debug, Default)]
struct BaselineRow {
    model: usize,
    sends: u32,
}

/// A router under one of the policies.
pub struct PromptRouter {
    policy: PromptPolicy,
    /// The figure of their machines that engines state.
    machine_percent: Option<u32>,
    boxes: Vec<RouteState>,
    rows: HashMap<usize, BaselineRow>,
    /// Last reported load of each engine.
    reported: Vec<u32>,
    random: u64,
}

impl PromptRouter {
    /// Creates a router that knows all replicas of a site.
    pub fn new(policy: PromptPolicy, fault: PromptFault, site: &PromptSite) -> Self {
        let boxes = match policy {
            policy if policy.is_reducer() => {
                (0..site.boxes.len()).map(|row| new_box(site, row)).collect()
            }
            _ => Vec::new(),
        };
        let reported = vec![0; site.engines.len()];
        let learns = policy == PromptPolicy::Ravenspoke && fault == PromptFault::ChangingSpeeds;
        let machine_percent = learns.then_some(100);
        Self { policy, machine_percent, boxes, rows: HashMap::new(), reported, random: 1 }
    }

    /// Handles the arrival of a request.
    pub fn arrive(&mut self, row: usize, scene: &PromptScene) -> RouterStep {
        let request = &scene.requests[row];
        if self.policy.is_reducer() {
            let caller_request = CallerRequest {
                id: row.to_string(),
                host: HOST.to_owned(),
                path: format!("/{}/x", request.class),
                affinity: request.subject,
                prompt: PromptSize {
                    shared: request.tokens.0 as u32,
                    own: request.tokens.1 as u32,
                },
                body_bytes: (request.tokens.0 + request.tokens.1) as usize,
                any_model: true,
                ..CallerRequest::default()
            };
            let event = RouteEvent::RequestArrived(RequestTicket(row as u64), caller_request);
            return self.feed(request.entry_box, row, event, scene.now_us);
        }
        let site = scene.site;
        let able = |model: &usize| request.difficulty <= site.models[*model].1;
        let model = match self.policy {
            PromptPolicy::Oracle => (0..site.models.len()).find(able).unwrap_or(0),
            _ => 0,
        };
        self.send(row, model, scene)
    }

    /// Handles a response head.
    pub fn head(
        &mut self,
        row: usize,
        (engine, good, confidence, waiting, running): ReceivedHead,
        scene: &PromptScene,
    ) -> RouterStep {
        let request = &scene.requests[row];
        self.reported[engine] = waiting + running;
        if self.policy.is_reducer() {
            let head = AnswerHead {
                begun: None,
                spent: Default::default(),
                brittle_per_s: None,
                status: if good { 200 } else { 500 },
                machine_percent: self.machine_percent,
                load: Some(BackendLoad { running, waiting, slots: SLOTS }),
                confidence: good.then_some(confidence),
                limit_per_s: None,
                backoff_ms: None,
                leaving: false,
                not_run: false,
                other_replica: false,
                proven: true,
            };
            let event = RouteEvent::HeadReceived(RequestTicket(row as u64), head);
            return self.feed(request.entry_box, row, event, scene.now_us);
        }
        let row_state = self.rows.get(&row).copied().unwrap_or_default();
        if row_state.sends >= ATTEMPTS {
            return if good { RouterStep::Relay } else { RouterStep::Refuse };
        }
        let last = scene.site.models.len() - 1;
        let unsure =
            self.policy == PromptPolicy::LeastReportedLoad && confidence < BASELINE_CONFIDENCE;
        match (good, unsure && row_state.model < last) {
            (false, _) => self.send(row, row_state.model, scene),
            (true, true) => self.send(row, last, scene),
            (true, false) => RouterStep::Relay,
        }
    }

    /// Handles a failed connection; `sent` tells whether the request had been sent.
    pub fn broken(
        &mut self,
        row: usize,
        (engine, sent): (usize, bool),
        scene: &PromptScene,
    ) -> RouterStep {
        let request = &scene.requests[row];
        if self.policy.is_reducer() {
            let failure = if sent { AttemptFailure::Broken } else { AttemptFailure::NeverSent };
            let event = RouteEvent::AttemptFailed(RequestTicket(row as u64), failure);
            return self.feed(request.entry_box, row, event, scene.now_us);
        }
        // The engine counts as full until its next report.
        self.reported[engine] += SLOTS;
        let row_state = self.rows.get(&row).copied().unwrap_or_default();
        if row_state.sends >= ATTEMPTS {
            return RouterStep::Refuse;
        }
        self.send(row, row_state.model, scene)
    }

    /// Handles an attempt without a response head within its time.
    pub fn stalled(&mut self, row: usize, entry_box: usize, now_us: u64) -> RouterStep {
        match self.policy {
            policy if policy.is_reducer() => {
                let event = RouteEvent::AttemptStalled(RequestTicket(row as u64));
                self.feed(entry_box, row, event, now_us)
            }
            _ => RouterStep::Wait,
        }
    }

    /// Handles a complete answer.
    pub fn finished(&mut self, row: usize, entry_box: usize, now_us: u64) {
        if self.policy.is_reducer() {
            let event = RouteEvent::ResponseFinished(RequestTicket(row as u64));
            self.feed(entry_box, row, event, now_us);
        }
    }

    /// Ticks all boxes, and confirms that their plan is current.
    pub fn tick(&mut self, now_us: u64) {
        for number in 0..self.boxes.len() {
            let asked_at = BoxTime::from_micros(now_us);
            let event =
                RouteEvent::PlanRead { asked_at, read_to: TopicPosition::new(1, 1), plan: None };
            self.feed(number, usize::MAX, event, now_us);
            self.feed(number, usize::MAX, RouteEvent::Tick, now_us);
        }
    }

    /// Feeds an event to a box, delivers its messages to other boxes, and returns the decision on
    /// request `row`.
    fn feed(&mut self, number: usize, row: usize, event: RouteEvent, now_us: u64) -> RouterStep {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let stamp = EventStamp {
            now: BoxTime::from_micros(now_us),
            wall: WallTime(0),
            random: self.random ^ (self.random >> 29),
        };
        let mut step = RouterStep::Wait;
        for effect in self.boxes[number].apply(stamp, event) {
            match effect {
                RouteEffect::Send(ticket, order) if ticket.0 == row as u64 => {
                    if order.overlap_ms.is_some() {
                        // Engines here do not resume what another one has got.
                        let ended = RouteEvent::FormerEnded(ticket, FormerEnd::Replaced);
                        drop(self.boxes[number].apply(stamp, ended));
                    }
                    let model = order.model.as_deref().and_then(|model| model.parse().ok());
                    step = RouterStep::Send {
                        engine: order.replica_id.parse().expect("replicas are named by row"),
                        model: model.unwrap_or(0),
                        urgency: order.urgency.unwrap_or(5),
                        head_timeout_us: Some(order.head_ms * 1_000),
                    };
                }
                RouteEffect::Relay(_) => step = RouterStep::Relay,
                RouteEffect::Refuse(..) | RouteEffect::AbortResponse(..) => {
                    step = RouterStep::Refuse
                }
                RouteEffect::SendGossip(to, message) => {
                    for target in self.box_indexes(&to) {
                        let event = RouteEvent::GossipReceived(Box::new((*message).clone()));
                        drop(self.boxes[target].apply(stamp, event));
                    }
                }
                RouteEffect::SendPlacement(to, update) => {
                    for target in self.box_indexes(&to) {
                        drop(
                            self.boxes[target].apply(stamp, RouteEvent::PlacementReceived(update)),
                        );
                    }
                }
                _ => {}
            }
        }
        step
    }

    /// Indexes of the boxes with these gossip addresses.
    fn box_indexes(&self, addresses: &[String]) -> Vec<usize> {
        let count = self.boxes.len();
        let row = |address: &String| address.strip_suffix(":90")?.parse().ok();
        addresses.iter().filter_map(row).filter(|row| *row < count).collect()
    }

    /// Chooses the engine by a baseline and sends the request there.
    fn send(&mut self, row: usize, model: usize, scene: &PromptScene) -> RouterStep {
        let (request, site, engines) = (&scene.requests[row], scene.site, scene.engines);
        let row_state = self.rows.entry(row).or_default();
        row_state.model = model;
        row_state.sends += 1;
        let job = PromptJob {
            request: row,
            attempt: 0,
            model,
            urgency: 5,
            subject: request.subject * 8 + model as u64,
            tokens: request.tokens,
            token_us: site.token_us * site.models[model].0,
        };
        let cost = |engine: &usize| match self.policy {
            PromptPolicy::Oracle if !engines[*engine].up => f64::INFINITY,
            PromptPolicy::Oracle => {
                let state = &engines[*engine];
                state.queued_us() + 2.0 * state.work_us(&job) + state.failure_rate * 1e7
            }
            _ => f64::from(self.reported[*engine]),
        };
        let shift = row % engines.len();
        let rows = (0..engines.len()).map(|engine| (engine + shift) % engines.len());
        let engine = rows.min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap_or(0);
        // Requests sent since the last report count, as in the load estimate of the boxes.
        self.reported[engine] += 1;
        RouterStep::Send { engine, model, urgency: 5, head_timeout_us: None }
    }
}

/// The reducer of box `row` of a site, which knows the plan, all replicas and the addresses of the
/// other boxes.
pub fn new_box(site: &PromptSite, row: usize) -> RouteState {
    let mut state = RouteState::new(RouteSettings {
        load: Default::default(),
        drain_ms: 7_500,
        forward_key: 1,
        name: row.to_string(),
        zone: format!("zone-{}", site.boxes[row]),
        incarnation: 1 + row as u64,
        entry_address: format!("{row}:80"),
        gossip_address: format!("{row}:90"),
        is_seed: false,
        capacity: BoxCapacity::default(),
        fresh: FreshBounds { revoke_ms: None, apply_ms: 2_000 },
        budget: BudgetBounds { ratio: 0.9, slack: 60.0, window_ms: 10_000 },
        exposure: Default::default(),
        leader: None,
        regions: BTreeMap::new(),
    });
    let now = BoxTime::default();
    let stamp = EventStamp { now, wall: WallTime(0), random: row as u64 };
    let plan = Some(plan(site));
    drop(state.apply(
        stamp,
        RouteEvent::PlanRead { asked_at: now, read_to: TopicPosition::new(1, 1), plan },
    ));
    let change = |(number, zone): (usize, &usize)| BackendChange {
        id: number.to_string(),
        at: TopicPosition::new(1, 1 + number as u64),
        entry: Some(BackendEntry {
            id: number.to_string(),
            address: format!("{number}:70"),
            service: SERVICE.to_owned(),
            zone: format!("zone-{zone}"),
            version: "v1".to_owned(),
            slots: SLOTS,
            leaving: false,
            cold_ms: 0,
            born: None,
            spot: false,
        }),
    };
    let changes = site.engines.iter().enumerate().map(change).collect();
    drop(state.apply(stamp, RouteEvent::BackendsChanged(changes)));
    let others = (0..site.boxes.len()).map(|other| format!("{other}:90")).collect();
    drop(state.apply(stamp, RouteEvent::PeersDiscovered(others)));
    state
}

fn plan(site: &PromptSite) -> RoutePlan {
    let route = |(row, class): (usize, &PromptClass)| RouteSpec {
        name: row.to_string(),
        host: HOST.to_owned(),
        prefix: format!("/{row}/"),
        kind: RouteKind::Stream { resumable: true },
        timeout_ms: 20_000,
        target_ms: class.target_us / 1_000,
        pause_ms: 1_000,
        priority: row as u8,
        attempts: ATTEMPTS,
        anonymous: true,
        sizes: (0..site.models.len()).map(|model| model.to_string()).collect(),
        regions: Vec::new(),
        targets: vec![RouteTarget { service: SERVICE.to_owned(), weight: 1 }],
    };
    let routes = site.classes.iter().enumerate().map(route).collect();
    RoutePlan { version: 1, routes, ..RoutePlan::default() }
}
