//! States of an attempt, as types.
//!
//! A `Queued` attempt has no replica. A `Ready` attempt has one, but nothing was written to it.
//! From `Dispatched` on, the first byte may have been sent. Only a `Queued` attempt, or a `Ready`
//! one that is requeued, can be refused as "not run". A dispatched attempt has no such method, so
//! the compiler enforces that guarantee.

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

/// End of a request without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestRefusal {
    /// Reason.
    pub reason: ReasonCode,
    /// Whether the request ran. Private, so that only an attempt in the right state yields
    /// `NotRun`.
    run: RunState,
    /// Delay after which the caller should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Details for the caller, such as why a key was refused.
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

    /// Sets the delay after which the caller should retry, in milliseconds.
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// Adds details for the caller.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Creates a refusal for a key with which an earlier request may have run.
    pub fn earlier_may_have_run(reason: ReasonCode) -> Self {
        Self::new(reason, RunState::Unknown)
    }
}

/// State of an attempt that has no replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queued;

/// State of an attempt that has a replica to which nothing was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// The replica.
    pub replica: ReplicaKey,
    /// The requested version; `None` for a plain service.
    pub version: Option<VersionKey>,
    /// The write must begin before this.
    pub send_before: BoxTime,
    /// When the replica was chosen.
    pub at: BoxTime,
}

/// State of an attempt of which the first byte may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatched {
    /// The replica.
    pub replica: ReplicaKey,
    /// The requested version; `None` for a plain service.
    pub version: Option<VersionKey>,
    /// When the replica was chosen.
    pub assigned_at: BoxTime,
    /// When the write began.
    pub at: BoxTime,
    /// When the first token arrived.
    pub first_token: Option<BoxTime>,
}

/// An attempt to answer a request, in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt<S> {
    /// Number of the attempt within its request, from 1.
    pub number: u32,
    /// Data of the state.
    pub state: S,
}

impl Attempt<Queued> {
    /// Creates the first attempt of a request.
    pub fn first() -> Self {
        Self { number: 1, state: Queued }
    }

    /// Assigns a replica to the attempt.
    pub fn assign(self, ready: Ready) -> Attempt<Ready> {
        Attempt { number: self.number, state: ready }
    }

    /// Ends the request, which did not run.
    pub fn refuse(self, reason: ReasonCode) -> RequestRefusal {
        RequestRefusal::new(reason, RunState::NotRun)
    }
}

impl Attempt<Ready> {
    /// Removes the replica, to which nothing was written.
    pub fn requeue(self) -> Attempt<Queued> {
        Attempt { number: self.number, state: Queued }
    }

    /// Begins the write.
    pub fn dispatch(self, at: BoxTime) -> Attempt<Dispatched> {
        let Ready { replica, version, at: assigned_at, .. } = self.state;
        let state = Dispatched { replica, version, assigned_at, at, first_token: None };
        Attempt { number: self.number, state }
    }
}

impl Attempt<Dispatched> {
    /// Returns the next attempt, for a request that may be repeated.
    pub fn next(self) -> Attempt<Queued> {
        Attempt { number: self.number + 1, state: Queued }
    }

    /// Ends the request, of which it is unknown whether it ran.
    pub fn end_unknown(self, reason: ReasonCode) -> RequestRefusal {
        RequestRefusal::new(reason, RunState::Unknown)
    }

    /// Ends the request after it ran.
    pub fn end_ran(self, reason: ReasonCode) -> RequestRefusal {
        RequestRefusal::new(reason, RunState::Ran)
    }
}
