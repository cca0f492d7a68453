//! What callers saw, and what was done to the site and when.

use std::net::IpAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::schedule::SoakFault;

/// Kinds of requests, by what may be done with them more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskKind {
    /// May be repeated.
    Read,
    /// Runs once at most.
    File,
    /// A stream that may be resumed.
    Chat,
}

impl AskKind {
    /// Path of such a request.
    pub fn path(self) -> &'static str {
        match self {
            AskKind::Read => "/read/x",
            AskKind::File => "/file/x",
            AskKind::Chat => "/chat/x",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AskEnd {
    /// An answer that came to its end.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body.
        body: String,
        /// Whether it says when to come back.
        retry_after: bool,
    },
    /// No connection came about.
    NotSent,
    /// The connection ended first.
    Broken(String),
}

/// A request and its end.
#[derive(Clone, Debug)]
pub struct AskRecord {
    /// Id.
    pub id: String,
    /// Kind.
    pub kind: AskKind,
    /// Whether it showed the key that may be taken away.
    pub second_key: bool,
    /// Session that it belongs to, by number.
    pub session: u32,
    /// Box that it was sent to.
    pub to: IpAddr,
    /// When.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How.
    pub end: AskEnd,
    /// What the kernel listed of connections to the box shortly before the caller gave up, if it came to that.
    pub sockets: Vec<String>,
}

/// A fault as it was played.
#[derive(Clone, Debug)]
pub struct PlayedFault {
    /// What was done.
    pub fault: SoakFault,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub until: Instant,
}

impl PlayedFault {
    /// Whether it lies within `slack` of the span.
    pub fn overlaps(&self, from: Instant, until: Instant, slack: Duration) -> bool {
        self.from <= until + slack && from <= self.until + slack
    }
}

/// All records of a run.
#[derive(Default)]
pub struct SoakRecorder {
    asks: Mutex<Vec<AskRecord>>,
    faults: Mutex<Vec<PlayedFault>>,
    taken_at: Mutex<Option<Instant>>,
}

impl SoakRecorder {
    /// Notes a request's end.
    pub fn record_ask(&self, ask: AskRecord) {
        self.asks.lock().unwrap_or_else(PoisonError::into_inner).push(ask);
    }

    /// Notes a fault that is over.
    pub fn record_fault(&self, fault: PlayedFault) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).push(fault);
    }

    /// Notes that the second key was taken away, the first time.
    pub fn record_key_taken(&self) {
        let mut taken = self.taken_at.lock().unwrap_or_else(PoisonError::into_inner);
        taken.get_or_insert_with(Instant::now);
    }

    /// Requests.
    pub fn asks(&self) -> Vec<AskRecord> {
        self.asks.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Faults.
    pub fn faults(&self) -> Vec<PlayedFault> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// When the second key was taken away.
    pub fn key_taken_at(&self) -> Option<Instant> {
        *self.taken_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
