//! The driver: one lock around the reducer's state, one place that applies events.
//!
//! Effects are handed on while the lock is held, in order, to channels that never block; so records
//! reach the appender, and messages their links, in the order in which the reducer gave them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use ravenspoke_core::appender::LogStream;
use ravenspoke_core::attempt::RequestRefusal;
use ravenspoke_core::effect::{AttemptOrder, BoxEffect, PoolOrder};
use ravenspoke_core::event::{BoxEvent, EventStamp, RequestTicket};
use ravenspoke_core::ids::RequestKey;
use ravenspoke_core::message::{LogRecord, OutcomeRecord, PeerBody};
use ravenspoke_core::reason::ReasonCode;
use ravenspoke_core::state::BoxState;
use ravenspoke_core::time::{BoxTime, WallTime};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;

use crate::clock::BoxClock;
use crate::observe;

/// What the reducer tells the task of one request.
#[derive(Debug)]
pub enum RequestStep {
    /// Prepare this attempt and report that the write begins.
    Prepare(RequestKey, AttemptOrder),
    /// Write now.
    Send,
    /// Have the held answer rated.
    RateHeld(RequestKey),
    /// Have the answer rated, later.
    RateReleased,
    /// The end of the answer may leave.
    Finish(Vec<ReasonCode>),
    /// The request ends without a whole answer.
    Refuse(RequestRefusal),
    /// The call ran earlier.
    Replay(OutcomeRecord),
}

/// Channels that effects are handed to.
pub struct EffectSinks {
    /// Batches for the log.
    pub appends: UnboundedSender<(LogStream, Vec<LogRecord>)>,
    /// Messages to other boxes.
    pub peers: UnboundedSender<(String, PeerBody)>,
    /// Orders to replicas.
    pub orders: UnboundedSender<PoolOrder>,
}

/// The reducer's state, its clocks and its sinks.
pub struct BoxDriver {
    state: Mutex<BoxState>,
    steps: Mutex<HashMap<RequestTicket, UnboundedSender<RequestStep>>>,
    sinks: EffectSinks,
    clock: BoxClock,
    next_ticket: AtomicU64,
    /// Wakes the reader of the bundles stream.
    pub read_bundles: Notify,
    /// Set when nothing is owed any more after a planned stop.
    pub may_exit: Notify,
}

impl BoxDriver {
    /// A driver of `state`.
    pub fn new(state: BoxState, sinks: EffectSinks, clock: BoxClock) -> Self {
        Self {
            state: Mutex::new(state),
            steps: Mutex::default(),
            sinks,
            clock,
            next_ticket: AtomicU64::new(1),
            read_bundles: Notify::new(),
            may_exit: Notify::new(),
        }
    }

    /// The time by the box's clock.
    pub fn now(&self) -> BoxTime {
        self.clock.now()
    }

    fn stamp(&self) -> EventStamp {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall = WallTime(u64::try_from(wall.as_millis()).unwrap_or(u64::MAX));
        EventStamp { now: self.now(), wall, random: rand::random() }
    }

    /// Looks at the state.
    pub fn state(&self) -> MutexGuard<'_, BoxState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an event and hands its effects on.
    pub fn feed(&self, event: BoxEvent) {
        let mut state = self.state();
        // Stamped under the lock: a pause before it can't make an old time look current.
        for effect in state.apply(self.stamp(), event) {
            self.dispatch(effect);
        }
    }

    /// Opens the channel of a new request.
    pub fn open_request(&self) -> (RequestTicket, UnboundedReceiver<RequestStep>) {
        let ticket = RequestTicket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = unbounded_channel();
        self.lock_steps().insert(ticket, sender);
        (ticket, receiver)
    }

    /// Forgets a request's channel.
    pub fn close_request(&self, ticket: RequestTicket) {
        self.lock_steps().remove(&ticket);
    }

    /// Requests in hand.
    pub fn in_flight_count(&self) -> usize {
        self.lock_steps().len()
    }

    fn lock_steps(&self) -> MutexGuard<'_, HashMap<RequestTicket, UnboundedSender<RequestStep>>> {
        self.steps.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn step(&self, ticket: RequestTicket, step: RequestStep) {
        if let Some(sender) = self.lock_steps().get(&ticket) {
            // A request whose task has ended takes no more steps.
            let _ = sender.send(step);
        }
    }

    fn dispatch(&self, effect: BoxEffect) {
        observe::note_effect(&effect);
        match effect {
            BoxEffect::PrepareAttempt(ticket, key, order) => {
                self.step(ticket, RequestStep::Prepare(key, order));
            }
            BoxEffect::Send(ticket) => self.step(ticket, RequestStep::Send),
            BoxEffect::RateHeldAnswer(ticket, key) => self.step(ticket, RequestStep::RateHeld(key)),
            BoxEffect::RateReleasedAnswer(ticket) => self.step(ticket, RequestStep::RateReleased),
            BoxEffect::Finish(ticket, reasons) => self.step(ticket, RequestStep::Finish(reasons)),
            BoxEffect::Refuse(ticket, refusal) => self.step(ticket, RequestStep::Refuse(refusal)),
            BoxEffect::Replay(ticket, outcome) => self.step(ticket, RequestStep::Replay(outcome)),
            // The receivers live as long as the process.
            BoxEffect::Append(stream, batch) => drop(self.sinks.appends.send((stream, batch))),
            BoxEffect::SendPeer(name, body) => drop(self.sinks.peers.send((name, body))),
            BoxEffect::Order(order) => drop(self.sinks.orders.send(order)),
            BoxEffect::ReadBundles => self.read_bundles.notify_one(),
            BoxEffect::ExitAllowed => self.may_exit.notify_one(),
            BoxEffect::BundleInForce { .. }
            | BoxEffect::BundleRejected(_)
            | BoxEffect::RolloutHalted(_)
            | BoxEffect::RolloutStep(..)
            | BoxEffect::ReplicaLeaving(_)
            | BoxEffect::OwnerLost { .. }
            | BoxEffect::Unwitnessed(_) => {}
        }
    }
}
