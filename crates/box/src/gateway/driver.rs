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

use super::answer_pace::AnswerPace;
use super::observe;
use super::tally::{ControlTally, DatagramKind};
use super::told::OperatorRecords;
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
    BreakOff(RefusalReason),
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
    Note(Vec<String>, Box<GossipMessage>),
    /// Word of a placed prompt, for each of these addresses.
    Placement(Vec<String>, PlacementUpdate),
    /// An ask, for this address.
    Ask(String, SyncRequest),
    /// A question for counts of usage, for each of these addresses.
    UsageRequest(Vec<String>, UsageRequest),
    /// Counts of usage, for this address.
    Usage(String, UsageResponse),
}

impl PeerDatagram {
    /// About how long it is, in bytes, if it is an answer.
    pub fn answer_bytes(&self) -> Option<usize> {
        match self {
            Self::Note(_, note) if note.in_reply_to.is_some() => {
                Some(AnswerPace::expected_bytes(note))
            }
            _ => None,
        }
    }

    /// What it is.
    pub fn kind(&self) -> DatagramKind {
        match self {
            Self::Note(_, note) if note.in_reply_to.is_some() => DatagramKind::Answer,
            Self::Note(..) => DatagramKind::Note,
            Self::Placement(..) => DatagramKind::Placement,
            Self::Ask(..) => DatagramKind::Ask,
            Self::UsageRequest(..) | Self::Usage(..) => DatagramKind::Usage,
        }
    }
}

/// Other datagrams that wait to be sent, at most: what a minute of calm brings. On a link that is full the newest are
/// dropped; notes repeat what they say.
pub const NOTES_QUEUED: usize = 256;

/// Channels that effects are handed to.
pub struct GatewaySinks {
    /// Datagrams for other boxes that nobody asked for, and asks.
    pub notes: Sender<PeerDatagram>,
    /// Answers to other boxes' asks; they wait for the rest. [`AnswerPace`] bounds them.
    pub answers: UnboundedSender<PeerDatagram>,
    /// Verdicts for the store.
    pub verdicts: UnboundedSender<TrialVerdict>,
    /// Marks of trials for the store.
    pub marks: UnboundedSender<TrialCheckpoint>,
    /// What this box is to do for all.
    pub lead: UnboundedSender<LeaderOrder>,
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
    pub callers_due: Notify,
    /// Whether the store may have this box's record of where it hears notes.
    pub listed: AtomicBool,
    /// What answers to other boxes may take of the link.
    pub answers: AnswerPace,
    /// What control has cost so far.
    pub tally: ControlTally,
}

impl GatewayDriver {
    /// A driver of `state`.
    pub fn new(
        state: RouteState,
        sinks: GatewaySinks,
        clock: Arc<BoxClock>,
        answers: AnswerPace,
    ) -> Self {
        Self {
            state: Mutex::new(state),
            sinks,
            clock,
            next_ticket: AtomicU64::new(1),
            operator: Mutex::default(),
            callers_due: Notify::new(),
            listed: AtomicBool::new(false),
            answers,
            tally: ControlTally::default(),
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
            self.hand_on(effect);
        }
    }

    /// Applies an event of a request, and gives what its task is to do.
    pub fn feed_request(&self, name: &RequestName, event: RouteEvent) -> Option<RequestStep> {
        let mut step = None;
        for effect in self.apply(event) {
            observe::note_request(name, &effect);
            match effect {
                RouteEffect::Send(_, order) => step = Some(RequestStep::Send(Box::new(order))),
                RouteEffect::Relay(_) => step = Some(RequestStep::Relay),
                RouteEffect::Refuse(_, refusal, _) => step = Some(RequestStep::Refuse(refusal)),
                RouteEffect::AbortResponse(_, reason) => step = Some(RequestStep::BreakOff(reason)),
                other => self.hand_on(other),
            }
        }
        step
    }

    /// Queues a datagram; where too many wait it is dropped and counted.
    fn queue(&self, datagram: PeerDatagram) {
        if let Some(bytes) = datagram.answer_bytes() {
            self.answers.note_queued(bytes);
            // The receiver lives as long as the process.
            return drop(self.sinks.answers.send(datagram));
        }
        let kind = datagram.kind();
        if self.sinks.notes.try_send(datagram).is_err() {
            self.tally.count_dropped(kind);
        }
    }

    fn hand_on(&self, effect: RouteEffect) {
        observe::note_effect(&effect);
        match effect {
            // The receivers live as long as the process.
            RouteEffect::SendGossip(to, note) => self.queue(PeerDatagram::Note(to, note)),
            RouteEffect::SendPlacement(to, placement) => {
                self.queue(PeerDatagram::Placement(to, placement));
            }
            RouteEffect::SendSyncRequest(to, ask) => self.queue(PeerDatagram::Ask(to, ask)),
            RouteEffect::WriteVerdict(verdict) => drop(self.sinks.verdicts.send(verdict)),
            RouteEffect::WriteCheckpoint(mark) => drop(self.sinks.marks.send(mark)),
            RouteEffect::AcceptCallers => self.callers_due.notify_one(),
            RouteEffect::RunLeaderStep(order) => drop(self.sinks.lead.send(order)),
            RouteEffect::RequestUsage(to, ask) => self.queue(PeerDatagram::UsageRequest(to, ask)),
            RouteEffect::SendUsage(to, note) => self.queue(PeerDatagram::Usage(to, note)),
            _ => {}
        }
    }
}
