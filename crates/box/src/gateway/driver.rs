//! The driver: holds the reducer's state under one lock and is the only place that applies events.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ravenspoke_core::event::{EventStamp, RequestTicket};
use ravenspoke_core::route::arrival::HeadTerms;
use ravenspoke_core::route::event::{
    CallerRequest, RefusalReason, RouteEffect, RouteEvent, RouteRefusal, SendOrder,
};
use ravenspoke_core::route::leader::usage::{UsageRequest, UsageResponse};
use ravenspoke_core::route::leader::LeaderOrder;
use ravenspoke_core::route::peers::{GossipMessage, SyncRequest};
use ravenspoke_core::route::poison::PoisonRecord;
use ravenspoke_core::route::scheduling::placement::PlacementUpdate;
use ravenspoke_core::route::trial::TrialVerdict;
use ravenspoke_core::route::trial_progress::TrialCheckpoint;
use ravenspoke_core::route::RouteState;
use ravenspoke_core::time::{BoxTime, WallTime};
use tokio::sync::mpsc::{Sender, UnboundedSender};
use tokio::sync::{oneshot, watch, Notify};

use super::control_stats::{ControlStats, DatagramKind};
use super::observe;
use super::operator_records::OperatorRecords;
use super::probes::PathProbe;
use super::sync_pacer::SyncPacer;
use crate::clock::BoxClock;

/// Next step of a request's task, as the reducer decides it.
#[derive(Debug)]
pub enum RequestStep {
    /// Send the request to this replica.
    Send(Arc<SendOrder>),
    /// Wait for the next step, which another event brings.
    Wait(WaitingTurn),
    /// Go on with the attempt that was kept.
    KeepFormer,
    /// Forward the response.
    Relay,
    /// Refuse the request.
    Refuse(RouteRefusal),
    /// Abort the response.
    Abort(RefusalReason),
}

/// The next step of a request that waits, at the latest at its deadline.
#[derive(Debug)]
pub struct WaitingTurn {
    /// The request's deadline.
    pub until: BoxTime,
    /// Receives the step.
    pub step: oneshot::Receiver<RequestStep>,
}

/// A task that waits for the next step of its request.
struct WaitingTask {
    name: RequestName,
    step: oneshot::Sender<RequestStep>,
}

/// Effects of an event, separated by the request that they belong to.
#[derive(Default)]
struct AppliedEffects {
    /// Effects for the request of the event, and for the box.
    own: Vec<RouteEffect>,
    /// Steps of other requests, with the tasks that wait for them.
    others: Vec<(WaitingTask, RouteEffect)>,
    /// Receives the next step of the request of the event, if it waits from now on.
    turn: Option<oneshot::Receiver<RequestStep>>,
}

/// Identity of a request in its task and in the log.
#[derive(Clone, Debug)]
pub struct RequestName {
    /// Number assigned by this box.
    pub ticket: RequestTicket,
    /// Id assigned by the caller.
    pub id: String,
}

/// A datagram to other boxes, with its addresses.
pub enum PeerDatagram {
    /// A gossip message, also one that responds to a sync request.
    Gossip(Vec<String>, Box<GossipMessage>),
    /// The placement of a prompt.
    Placement(Vec<String>, PlacementUpdate),
    /// A sync request.
    SyncRequest(String, SyncRequest),
    /// A request for usage counts.
    UsageRequest(Vec<String>, UsageRequest),
    /// A response with usage counts.
    UsageResponse(String, UsageResponse),
}

impl PeerDatagram {
    /// Expected length in bytes, if this is a sync response.
    pub fn sync_response_bytes(&self) -> Option<usize> {
        match self {
            Self::Gossip(_, message) if message.in_reply_to.is_some() => {
                Some(SyncPacer::expected_bytes(message))
            }
            _ => None,
        }
    }

    /// Kind of the datagram, for statistics.
    pub fn kind(&self) -> DatagramKind {
        match self {
            Self::Gossip(_, message) if message.in_reply_to.is_some() => DatagramKind::SyncResponse,
            Self::Gossip(..) => DatagramKind::Gossip,
            Self::Placement(..) => DatagramKind::Placement,
            Self::SyncRequest(..) => DatagramKind::SyncRequest,
            Self::UsageRequest(..) | Self::UsageResponse(..) => DatagramKind::Usage,
        }
    }
}

/// Limit on queued datagrams other than sync responses, which is what a minute of normal traffic
/// produces. On a saturated link new ones are dropped; later gossip messages repeat their contents.
pub const GOSSIP_QUEUE_LIMIT: usize = 256;

/// Least time between two reports to the reducer that pieces of streams arrive, in milliseconds. It
/// is well below the silence that makes a box doubt its paths.
const HEARD_INTERVAL_MS: u64 = 100;

/// Channels that effects are sent to.
pub struct GatewaySinks {
    /// Gossip messages, sync requests and other datagrams except sync responses.
    pub gossip: Sender<PeerDatagram>,
    /// Sync responses, sent only when no other datagram is queued. [`SyncPacer`] bounds their
    /// number.
    pub sync_responses: UnboundedSender<PeerDatagram>,
    /// Verdicts to write to the store.
    pub verdicts: UnboundedSender<TrialVerdict>,
    /// Checkpoints of trials to write to the store.
    pub checkpoints: UnboundedSender<TrialCheckpoint>,
    /// Records about poison to write to the store.
    pub poison: UnboundedSender<PoisonRecord>,
    /// Replicas whose paths are to be probed.
    pub probes: UnboundedSender<PathProbe>,
    /// Orders for this box as the leader.
    pub leader_orders: UnboundedSender<LeaderOrder>,
}

/// The reducer's state with its clock and its sinks.
pub struct GatewayDriver {
    state: Mutex<RouteState>,
    sinks: GatewaySinks,
    clock: Arc<BoxClock>,
    next_ticket: AtomicU64,
    /// When the reducer was last told that a piece of a stream arrived, in milliseconds.
    heard_ms: AtomicU64,
    /// Tasks that wait for the next step of their request. It is only changed under the lock of the
    /// state, so that no step is emitted before its task is known.
    waiting: Mutex<HashMap<RequestTicket, WaitingTask>>,
    /// The operator's records, for boxes that request them.
    operator: Mutex<OperatorRecords>,
    /// Changes when requests in flight have to be rechecked.
    pub rechecks: watch::Sender<u64>,
    /// Whether the box is about to exit, so that requests in flight have to end.
    pub stop_ending: watch::Sender<bool>,
    /// Notified when callers are to be served.
    pub accept_callers: Notify,
    /// Whether the store may hold this box's record with its gossip address.
    pub registered: AtomicBool,
    /// Limits the bandwidth of sync responses.
    pub sync_pacer: SyncPacer,
    /// Cost of control traffic so far.
    pub stats: ControlStats,
}

impl GatewayDriver {
    /// Creates a driver of `state`.
    pub fn new(
        state: RouteState,
        sinks: GatewaySinks,
        clock: Arc<BoxClock>,
        sync_pacer: SyncPacer,
    ) -> Self {
        Self {
            state: Mutex::new(state),
            sinks,
            clock,
            next_ticket: AtomicU64::new(1),
            heard_ms: AtomicU64::new(0),
            waiting: Mutex::default(),
            operator: Mutex::default(),
            rechecks: watch::Sender::new(0),
            stop_ending: watch::Sender::new(false),
            accept_callers: Notify::new(),
            registered: AtomicBool::new(false),
            sync_pacer,
            stats: ControlStats::default(),
        }
    }

    /// The box's clock.
    pub fn clock(&self) -> &BoxClock {
        &self.clock
    }

    /// The box's clock, for owners that outlive the borrow.
    pub fn shared_clock(&self) -> Arc<BoxClock> {
        self.clock.clone()
    }

    /// The current time of the box's clock.
    pub fn now(&self) -> BoxTime {
        self.clock.now()
    }

    /// Time left until `time`.
    pub fn until(&self, time: BoxTime) -> Duration {
        self.clock.until(time)
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, RouteState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the operator's records.
    pub fn operator(&self) -> MutexGuard<'_, OperatorRecords> {
        self.operator.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ticket for a new request.
    pub fn next_ticket(&self) -> RequestTicket {
        RequestTicket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    fn stamp(&self) -> EventStamp {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall = WallTime(u64::try_from(wall.as_millis()).unwrap_or(u64::MAX));
        EventStamp { now: self.now(), wall, random: rand::random() }
    }

    /// Applies an event, of the request `name` if it belongs to one.
    fn apply(&self, event: RouteEvent, name: Option<&RequestName>) -> AppliedEffects {
        let mut state = self.state();
        // Stamped under the lock, so that a wait for the lock can't make an old time look current.
        let effects = state.apply(self.stamp(), event);
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let own = name.map(|name| name.ticket);
        // A task that feeds an event does not wait any more.
        own.and_then(|ticket| waiting.remove(&ticket));
        let mut applied = AppliedEffects::default();
        for effect in effects {
            let other = step_ticket(&effect).filter(|ticket| Some(*ticket) != own);
            let Some(other) = other else {
                applied.own.push(effect);
                continue;
            };
            if let Some(task) = waiting.remove(&other) {
                applied.others.push((task, effect));
            }
        }
        let waits = |effect: &RouteEffect| matches!(effect, RouteEffect::Wait(..));
        if let Some(name) = name.filter(|_| applied.own.iter().any(waits)) {
            let (step, turn) = oneshot::channel();
            waiting.insert(name.ticket, WaitingTask { name: name.clone(), step });
            applied.turn = Some(turn);
        }
        applied
    }

    /// Checks a request of which only the head has arrived. A refusal is logged.
    ///
    /// # Errors
    /// Returns the refusal.
    pub fn check_head(
        &self,
        name: &RequestName,
        caller: &CallerRequest,
    ) -> Result<HeadTerms, RouteRefusal> {
        let checked = self.state().check_head(self.stamp(), caller);
        checked.map_err(|refused| {
            let (refusal, inputs) = *refused;
            observe::log_request(name, &RouteEffect::Refuse(name.ticket, refusal, inputs));
            refusal
        })
    }

    /// Applies an event that belongs to no request, and dispatches its effects.
    pub fn feed(&self, event: RouteEvent) {
        let applied = self.apply(event, None);
        resume_tasks(applied.others);
        for effect in applied.own {
            self.dispatch(effect);
        }
    }

    /// Records that a piece of a stream arrived from a replica. The reducer is told at most once each
    /// [`HEARD_INTERVAL_MS`].
    pub fn note_heard(&self) {
        let now_ms = self.now().as_millis();
        let last_ms = self.heard_ms.load(Ordering::Relaxed);
        if now_ms < last_ms + HEARD_INTERVAL_MS {
            return;
        }
        let told = Ordering::Relaxed;
        if self.heard_ms.compare_exchange(last_ms, now_ms, told, told).is_ok() {
            self.feed(RouteEvent::StreamHeard);
        }
    }

    /// Number of tasks that wait for the next step of their request.
    pub fn waiting_tasks(&self) -> usize {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Applies an event of a request, and returns the next step of its task.
    pub fn feed_request(&self, name: &RequestName, event: RouteEvent) -> Option<RequestStep> {
        let applied = self.apply(event, Some(name));
        resume_tasks(applied.others);
        let (mut step, mut turn) = (None, applied.turn);
        for effect in applied.own {
            observe::log_request(name, &effect);
            match effect {
                RouteEffect::Wait(_, order) => {
                    let until = order.until;
                    step = turn.take().map(|step| RequestStep::Wait(WaitingTurn { until, step }));
                }
                effect => match request_step(effect) {
                    Ok(next) => step = Some(next),
                    Err(other) => self.dispatch(*other),
                },
            }
        }
        step
    }

    /// Queues a datagram. If the queue is full, the datagram is dropped and counted.
    fn queue(&self, datagram: PeerDatagram) {
        if let Some(bytes) = datagram.sync_response_bytes() {
            self.sync_pacer.add_queued(bytes);
            // The receiver lives as long as the process.
            return drop(self.sinks.sync_responses.send(datagram));
        }
        let kind = datagram.kind();
        if self.sinks.gossip.try_send(datagram).is_err() {
            self.stats.count_dropped(kind);
        }
    }

    fn dispatch(&self, effect: RouteEffect) {
        observe::log_effect(&effect);
        match effect {
            // The receivers live as long as the process.
            RouteEffect::SendGossip(to, message) => self.queue(PeerDatagram::Gossip(to, message)),
            RouteEffect::SendPlacement(to, placement) => {
                self.queue(PeerDatagram::Placement(to, placement));
            }
            RouteEffect::SendSyncRequest(to, request) => {
                self.queue(PeerDatagram::SyncRequest(to, request))
            }
            RouteEffect::WriteVerdict(verdict) => drop(self.sinks.verdicts.send(verdict)),
            RouteEffect::WriteCheckpoint(checkpoint) => {
                drop(self.sinks.checkpoints.send(checkpoint))
            }
            RouteEffect::WritePoison(record) => drop(self.sinks.poison.send(record)),
            RouteEffect::ProbePath(replica, address) => {
                drop(self.sinks.probes.send(PathProbe { replica, address }))
            }
            RouteEffect::RecheckAttempts => self.rechecks.send_modify(|count| *count += 1),
            RouteEffect::AcceptCallers => self.accept_callers.notify_one(),
            RouteEffect::RunLeaderStep(order) => drop(self.sinks.leader_orders.send(order)),
            RouteEffect::RequestUsage(to, request) => {
                self.queue(PeerDatagram::UsageRequest(to, request))
            }
            RouteEffect::SendUsage(to, response) => {
                self.queue(PeerDatagram::UsageResponse(to, response))
            }
            _ => {}
        }
    }
}

/// Returns the request whose task an effect is a step of.
fn step_ticket(effect: &RouteEffect) -> Option<RequestTicket> {
    match effect {
        RouteEffect::Send(ticket, _)
        | RouteEffect::KeepFormer(ticket)
        | RouteEffect::Relay(ticket)
        | RouteEffect::Refuse(ticket, ..)
        | RouteEffect::AbortResponse(ticket, _) => Some(*ticket),
        _ => None,
    }
}

/// Returns the step that an effect is, or the effect if it is none.
fn request_step(effect: RouteEffect) -> Result<RequestStep, Box<RouteEffect>> {
    match effect {
        RouteEffect::Send(_, order) => Ok(RequestStep::Send(Arc::new(order))),
        RouteEffect::KeepFormer(_) => Ok(RequestStep::KeepFormer),
        RouteEffect::Relay(_) => Ok(RequestStep::Relay),
        RouteEffect::Refuse(_, refusal, _) => Ok(RequestStep::Refuse(refusal)),
        RouteEffect::AbortResponse(_, reason) => Ok(RequestStep::Abort(reason)),
        other => Err(Box::new(other)),
    }
}

/// Hands the steps of waiting requests to their tasks. A task that has ended meanwhile has told the
/// reducer so.
fn resume_tasks(steps: Vec<(WaitingTask, RouteEffect)>) {
    for (task, effect) in steps {
        observe::log_request(&task.name, &effect);
        if let Ok(step) = request_step(effect) {
            drop(task.step.send(step));
        }
    }
}
