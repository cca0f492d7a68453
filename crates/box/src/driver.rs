//! The driver holds the reducer's state under one lock and is the only place that applies events.
//!
//! It dispatches effects in order, while it holds the lock, to channels that never block. Records
//! therefore reach the appender, and messages their links, in the order in which the reducer
//! emitted them.

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

/// A step that the reducer sends to the task of one request.
#[derive(Debug)]
pub enum RequestStep {
    /// Prepare this attempt and report that it is about to be sent.
    Prepare(RequestKey, AttemptOrder),
    /// Send the prepared attempt now.
    Send,
    /// Have the held response rated before it may leave.
    RateHeld(RequestKey),
    /// Have the released response rated in the background.
    RateReleased,
    /// Send the end of the response.
    Finish(Vec<ReasonCode>),
    /// End the request with a refusal.
    Refuse(RequestRefusal),
    /// Return the stored outcome of a call that ran earlier.
    Replay(OutcomeRecord),
}

/// Channels to which effects are dispatched.
pub struct EffectSinks {
    /// Batches for the log.
    pub appends: UnboundedSender<(LogStream, Vec<LogRecord>)>,
    /// Messages to other boxes.
    pub peers: UnboundedSender<(String, PeerBody)>,
    /// Orders to replicas.
    pub orders: UnboundedSender<PoolOrder>,
}

/// The reducer's state, clock and sinks.
pub struct BoxDriver {
    state: Mutex<BoxState>,
    steps: Mutex<HashMap<RequestTicket, UnboundedSender<RequestStep>>>,
    sinks: EffectSinks,
    clock: BoxClock,
    next_ticket: AtomicU64,
    /// Wakes the reader of the bundles stream.
    pub read_bundles: Notify,
    /// Notified when no obligations are left after a planned stop.
    pub may_exit: Notify,
}

impl BoxDriver {
    /// Creates a driver of `state`.
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

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, BoxState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The box's clock.
    pub fn clock(&self) -> &BoxClock {
        &self.clock
    }

    /// Refuses a request of which only the head has arrived, if its arrival would lead to that.
    /// `key_hash` is the hash of its key.
    pub fn refuse_head(&self, id: u128, key_hash: &[u8; 32]) -> Option<RequestRefusal> {
        let mut state = self.state();
        let refusal = state.refuse_head(self.stamp(), id, key_hash)?;
        observe::record_refusal(&refusal);
        Some(refusal)
    }

    /// Applies an event and dispatches its effects.
    pub fn feed(&self, event: BoxEvent) {
        let mut state = self.state();
        // Stamped under the lock, so that a wait for the lock cannot make an old time look current.
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

    /// Removes a request's channel.
    pub fn close_request(&self, ticket: RequestTicket) {
        self.lock_steps().remove(&ticket);
    }

    /// Number of requests in flight.
    pub fn in_flight_count(&self) -> usize {
        self.lock_steps().len()
    }

    fn lock_steps(&self) -> MutexGuard<'_, HashMap<RequestTicket, UnboundedSender<RequestStep>>> {
        self.steps.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn step(&self, ticket: RequestTicket, step: RequestStep) {
        if let Some(sender) = self.lock_steps().get(&ticket) {
            // The task may have ended; it then needs no further steps.
            let _ = sender.send(step);
        }
    }

    fn dispatch(&self, effect: BoxEffect) {
        observe::record_effect(&effect);
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
            // The receivers live as long as the process, so these sends do not fail.
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
