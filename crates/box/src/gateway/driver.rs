//! The driver: one lock around the reducer's state, one place that applies events.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ravenspoke_core::event::{EventStamp, RequestTicket};
use ravenspoke_core::route::event::{
    RefusalReason, RouteEffect, RouteEvent, RouteRefusal, SendOrder,
};
use ravenspoke_core::route::leader::usage::{UsageRequest, UsageResponse};
use ravenspoke_core::route::leader::LeaderOrder;
use ravenspoke_core::route::peers::{GossipMessage, SyncRequest};
use ravenspoke_core::route::placement::PlacementUpdate;
use ravenspoke_core::route::trial::TrialVerdict;
use ravenspoke_core::route::trial_progress::TrialCheckpoint;
use ravenspoke_core::route::RouteState;
use ravenspoke_core::time::{BoxTime, WallTime};
use tokio::sync::mpsc::{Sender, UnboundedSender};
use tokio::sync::Notify;

use super::control_stats::{ControlStats, DatagramKind};
use super::observe;
use super::operator_records::OperatorRecords;
use super::sync_pacer::SyncPacer;
use crate::clock::BoxClock;

/// What the reducer tells the task of one request.
#[derive(Debug)]
pub enum RequestStep {
    /// Send it to this replica.
    Send(Box<SendOrder>),
    /// Pass the answer on.
    Relay,
    /// End it with a refusal.
    Refuse(RouteRefusal),
    /// Break the answer off.
    Abort(RefusalReason),
}

/// A request of this box, as its task and the log know it.
#[derive(Clone, Debug)]
pub struct RequestName {
    /// Number given by this box.
    pub ticket: RequestTicket,
    /// Id given by the caller.
    pub id: String,
}

/// A datagram for other boxes.
pub enum PeerDatagram {
    /// A note, for each of these addresses.
    Gossip(Vec<String>, Box<GossipMessage>),
    /// Word of a placed prompt, for each of these addresses.
    Placement(Vec<String>, PlacementUpdate),
    /// An ask, for this address.
    SyncRequest(String, SyncRequest),
    /// A question for counts of usage, for each of these addresses.
    UsageRequest(Vec<String>, UsageRequest),
    /// Counts of usage, for this address.
    UsageResponse(String, UsageResponse),
}

impl PeerDatagram {
    /// About how long it is, in bytes, if it is an answer.
    pub fn sync_response_bytes(&self) -> Option<usize> {
        match self {
            Self::Gossip(_, message) if message.echo.is_some() => {
                Some(SyncPacer::expected_bytes(message))
            }
            _ => None,
        }
    }

    /// What it is.
    pub fn kind(&self) -> DatagramKind {
        match self {
            Self::Gossip(_, message) if message.echo.is_some() => DatagramKind::SyncResponse,
            Self::Gossip(..) => DatagramKind::Gossip,
            Self::Placement(..) => DatagramKind::Placement,
            Self::SyncRequest(..) => DatagramKind::SyncRequest,
            Self::UsageRequest(..) | Self::UsageResponse(..) => DatagramKind::Usage,
        }
    }
}

/// Other datagrams that wait to be sent, at most: what a minute of calm brings. On a link that is full the newest are
/// dropped; notes repeat what they say.
pub const GOSSIP_QUEUE_LIMIT: usize = 256;

/// Channels that effects are handed to.
pub struct GatewaySinks {
    /// Datagrams for other boxes that nobody asked for, and asks.
    pub gossip: Sender<PeerDatagram>,
    /// Answers to other boxes' asks; they wait for the rest. [`SyncPacer`] bounds them.
    pub sync_responses: UnboundedSender<PeerDatagram>,
    /// Verdicts for the store.
    pub verdicts: UnboundedSender<TrialVerdict>,
    /// Marks of trials for the store.
    pub checkpoints: UnboundedSender<TrialCheckpoint>,
    /// What this box is to do for all.
    pub leader_orders: UnboundedSender<LeaderOrder>,
}

/// The reducer's state, its clocks and its sinks.
pub struct GatewayDriver {
    state: Mutex<RouteState>,
    sinks: GatewaySinks,
    clock: Arc<BoxClock>,
    next_ticket: AtomicU64,
    /// The operator's records, for boxes that ask for them.
    operator: Mutex<OperatorRecords>,
    /// Tells that callers are to be served.
    pub accept_callers: Notify,
    /// Whether the store may have this box's record of where it hears notes.
    pub registered: AtomicBool,
    /// What answers to other boxes may take of the link.
    pub sync_pacer: SyncPacer,
    /// What control has cost so far.
    pub stats: ControlStats,
}

impl GatewayDriver {
    /// A driver of `state`.
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
            operator: Mutex::default(),
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

    /// The same clock, for what keeps it.
    pub fn shared_clock(&self) -> Arc<BoxClock> {
        self.clock.clone()
    }

    /// The time by it.
    pub fn now(&self) -> BoxTime {
        self.clock.now()
    }

    /// How long it is until `time`.
    pub fn until(&self, time: BoxTime) -> Duration {
        self.clock.until(time)
    }

    /// Looks at the state.
    pub fn state(&self) -> MutexGuard<'_, RouteState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The operator's records as this box knows them.
    pub fn operator(&self) -> MutexGuard<'_, OperatorRecords> {
        self.operator.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A number for a new request.
    pub fn next_ticket(&self) -> RequestTicket {
        RequestTicket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    fn stamp(&self) -> EventStamp {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall = WallTime(u64::try_from(wall.as_millis()).unwrap_or(u64::MAX));
        EventStamp { now: self.now(), wall, random: rand::random() }
    }

    fn apply(&self, event: RouteEvent) -> Vec<RouteEffect> {
        let mut state = self.state();
        // Stamped under the lock: a pause before it can't make an old time look current.
        state.apply(self.stamp(), event)
    }

    /// Applies an event that is no request's, and hands its effects on.
    pub fn feed(&self, event: RouteEvent) {
        for effect in self.apply(event) {
            self.dispatch(effect);
        }
    }

    /// Applies an event of a request, and gives what its task is to do.
    pub fn feed_request(&self, name: &RequestName, event: RouteEvent) -> Option<RequestStep> {
        let mut step = None;
        for effect in self.apply(event) {
            observe::log_request(name, &effect);
            match effect {
                RouteEffect::Send(_, order) => step = Some(RequestStep::Send(Box::new(order))),
                RouteEffect::Relay(_) => step = Some(RequestStep::Relay),
                RouteEffect::Refuse(_, refusal, _) => step = Some(RequestStep::Refuse(refusal)),
                RouteEffect::AbortResponse(_, reason) => step = Some(RequestStep::Abort(reason)),
                other => self.dispatch(other),
            }
        }
        step
    }

    /// Queues a datagram; where too many wait it is dropped and counted.
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
            RouteEffect::AcceptCallers => self.accept_callers.notify_one(),
            RouteEffect::RunLeaderStep(order) => drop(self.sinks.leader_orders.send(order)),
            RouteEffect::RequestUsage(to, request) => {
                self.queue(PeerDatagram::UsageRequest(to, request))
            }
            RouteEffect::SendUsage(to, message) => {
                self.queue(PeerDatagram::UsageResponse(to, message))
            }
            _ => {}
        }
    }
}
