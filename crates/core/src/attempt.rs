//! Life of an attempt, as types: what may be said of it follows from its state.
//!
//! `Queued` holds no replica. `Ready` was given one, but nothing has been written to it. From
//! `Dispatched` on, the first byte may have left. Only the first two can become a refusal that says
//! "not run"; a dispatched attempt has no such method, so the compiler keeps that promise.

use serde::Serialize;

use crate::ids::{ReplicaKey, VersionKey};
use crate::reason::ReasonCode;
use crate::time::BoxTime;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran,
}

/// The end of a request without a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestRefusal {
    /// Why.
    pub reason: ReasonCode,
    /// Whether it ran. Private to this module's constructors, so that `NotRun` needs a proof.
    run: RunState,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// More words for the caller, such as which key was refused and why.
    pub detail: Option<String>,
}

impl RequestRefusal {
    /// Whether the request ran.
    pub fn run(&self) -> RunState {
        self.run
    }

    fn new(reason: ReasonCode, run: RunState) -> Self {
        Self { reason, run, retry_after_ms: None, detail: None }
    }

    /// The same refusal with a time to come back.
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// The same refusal with more words.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// An earlier request with the same key may have run, so nothing is promised about the key.
    pub fn earlier_may_have_run(reason: ReasonCode) -> Self {
        Self::new(reason, RunState::Unknown)
    }
}

/// No replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queued;

/// A replica was chosen; nothing was written to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// The replica.
    pub replica: ReplicaKey,
    /// The version it is asked for; `None` for a plain service.
    pub version: Option<VersionKey>,
    /// The write must begin before this.
    pub send_before: BoxTime,
    /// When the replica was chosen.
    pub at: BoxTime,
}

/// The first byte may have left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatched {
    /// The replica.
    pub replica: ReplicaKey,
    /// The version it was asked for.
    pub version: Option<VersionKey>,
    /// When the replica was chosen.
    pub assigned_at: BoxTime,
    /// When the write began.
    pub at: BoxTime,
    /// When the first token came.
    pub first_token: Option<BoxTime>,
}

/// An attempt to answer a request, in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt<S> {
    /// Number of the attempt within its request, from 1.
    pub number: u32,
    /// What is known in this state.
    pub state: S,
}

impl Attempt<Queued> {
    /// The first attempt of a request.
    pub fn first() -> Self {
        Self { number: 1, state: Queued }
    }

    /// Gives the attempt a replica.
    pub fn assign(self, ready: Ready) -> Attempt<Ready> {
        Attempt { number: self.number, state: ready }
    }

    /// Ends the attempt before it ran.
    pub fn refuse(self, reason: ReasonCode) -> RequestRefusal {
        RequestRefusal::new(reason, RunState::NotRun)
    }
}

impl Attempt<Ready> {
    /// Takes the replica back; nothing was written.
    pub fn requeue(self) -> Attempt<Queued> {
        Attempt { number: self.number, state: Queued }
    }

    /// The write begins.
    pub fn dispatch(self, at: BoxTime) -> Attempt<Dispatched> {
        let Ready { replica, version, at: assigned_at, .. } = self.state;
        let state = Dispatched { replica, version, assigned_at, at, first_token: None };
        Attempt { number: self.number, state }
    }
}

impl Attempt<Dispatched> {
    /// The next attempt, for a request that may be repeated.
    pub fn next(self) -> Attempt<Queued> {
        Attempt { number: self.number + 1, state: Queued }
    }

    /// Ends the request; whether it ran is not known.
    pub fn end_unknown(self, reason: ReasonCode) -> RequestRefusal {
        RequestRefusal::new(reason, RunState::Unknown)
    }

    /// Ends the request after it ran.
    pub fn end_ran(self, reason: ReasonCode) -> RequestRefusal {
        RequestRefusal::new(reason, RunState::Ran)
    }
}
