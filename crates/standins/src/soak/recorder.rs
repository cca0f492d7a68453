//! Records of the requests that callers sent and of the faults that were injected.

use std::net::IpAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::schedule::SoakFault;

/// Kinds of requests, by whether they may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskKind {
    /// Idempotent: may run more than once.
    Read,
    /// Not idempotent: runs once at most.
    File,
    /// A resumable stream.
    Chat,
}

impl AskKind {
    /// Path of a request of this kind.
    pub fn path(self) -> &'static str {
        match self {
            AskKind::Read => "/read/x",
            AskKind::File => "/file/x",
            AskKind::Chat => "/chat/x",
        }
    }
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AskEnd {
    /// The complete response arrived.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Response body.
        body: String,
        /// Whether it has a `Retry-After` header.
        retry_after: bool,
    },
    /// The connection could not be opened.
    NotSent,
    /// The connection or the client's timeout ended before the response did: the error.
    Broken(String),
}

/// A request and how it ended.
#[derive(Clone, Debug)]
pub struct AskRecord {
    /// Request id.
    pub id: String,
    /// Kind of request.
    pub kind: AskKind,
    /// Whether it used the key that may be revoked.
    pub second_key: bool,
    /// Number of its session.
    pub session: u32,
    /// Box that it was sent to.
    pub to: IpAddr,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub end: AskEnd,
    /// The kernel's sockets of the box shortly before the client's timeout, or empty if the request
    /// ended earlier.
    pub sockets: Vec<String>,
}

/// A fault that was injected.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// Kind of fault.
    pub fault: SoakFault,
    /// When it started.
    pub from: Instant,
    /// When it was over.
    pub until: Instant,
}

impl InjectedFault {
    /// Whether it overlaps the span, extended by `slack` at both ends.
    pub fn overlaps(&self, from: Instant, until: Instant, slack: Duration) -> bool {
        self.from <= until + slack && from <= self.until + slack
    }
}

/// All records of a run.
#[derive(Default)]
pub struct SoakRecorder {
    asks: Mutex<Vec<AskRecord>>,
    faults: Mutex<Vec<InjectedFault>>,
    revoked_at: Mutex<Option<Instant>>,
}

impl SoakRecorder {
    /// Records a request that ended.
    pub fn record_ask(&self, ask: AskRecord) {
        self.asks.lock().unwrap_or_else(PoisonError::into_inner).push(ask);
    }

    /// Records a fault that is over.
    pub fn record_fault(&self, fault: InjectedFault) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).push(fault);
    }

    /// Records the time at which the second key is first revoked.
    pub fn record_key_revoked(&self) {
        let mut taken = self.revoked_at.lock().unwrap_or_else(PoisonError::into_inner);
        taken.get_or_insert_with(Instant::now);
    }

    /// Returns all requests so far.
    pub fn asks(&self) -> Vec<AskRecord> {
        self.asks.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns all faults so far that are over.
    pub fn faults(&self) -> Vec<InjectedFault> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns when the second key was revoked, if it was.
    pub fn key_revoked_at(&self) -> Option<Instant> {
        *self.revoked_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
