//! Everything that can happen to a box, as data.

use crate::appender::LogStream;
use crate::ids::RequestKey;
use crate::membership::ListedBox;
use crate::message::{LogRecord, PeerMessage};
use crate::replica::{ListedReplica, LoadReport};
use crate::time::{BoxTime, WallTime};

/// What the box hands in with every event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventStamp {
    /// Monotonic time.
    pub now: BoxTime,
    /// Wall-clock time.
    pub wall: WallTime,
    /// A random number; the only source of chance.
    pub random: u64,
}

/// Number that the box gives a request before the reducer has a key for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
pub struct RequestTicket(pub u64);

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model, version or cascade of the bundle.
    Model {
        /// Its name.
        name: String,
        /// Tokens in the prompt, estimated.
        prompt_tokens: u32,
        /// Request class, below [`crate::rollout::CLASS_COUNT`].
        class: u8,
        /// Hash of the prompt's prefix; 0 for none.
        prefix: u64,
        /// Session token, if the caller sent one.
        session: Option<String>,
    },
    /// An operation of a plain service.
    Service {
        /// Its name.
        name: String,
        /// HTTP method.
        method: String,
        /// Path within the service.
        path: String,
    },
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestDetails {
    /// Number given by the box.
    pub ticket: RequestTicket,
    /// Request id, unique over all boxes.
    pub id: u128,
    /// SHA-256 of the caller key.
    pub key_hash: [u8; 32],
    /// What is asked for.
    pub target: RequestTarget,
    /// The caller's `Idempotency-Key`, if any.
    pub caller_key: Option<String>,
}

/// How an attempt ended, as the box saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer with its end marker and the right echo.
    Answered {
        /// Tokens generated.
        tokens: u32,
        /// HTTP status, for plain services.
        status: u16,
        /// Body, for operations that may not be repeated.
        body: Vec<u8>,
    },
    /// No connection came about: nothing was written.
    NeverConnected,
    /// The backend server says that it did not run the request, because it is full or leaving.
    Declined {
        /// Whether it says that it is leaving.
        leaving: bool,
    },
    /// The answer broke off.
    Aborted {
        /// Tokens that the caller has already been given.
        delivered: u32,
    },
    /// The answer was for another request.
    WrongEcho,
}

/// An event.
#[derive(Clone, Debug)]
pub enum BoxEvent {
    /// Time passed.
    Tick,
    /// A stream was read.
    LogRead {
        /// Stream.
        stream: LogStream,
        /// When the read was asked, on this box's clock.
        asked_at: BoxTime,
        /// First offset that the log still keeps.
        first: u64,
        /// Offset behind the last record of the stream.
        tail: u64,
        /// Age of the first record below, in milliseconds.
        age_ms: u64,
        /// Records with their offsets.
        records: Vec<(u64, LogRecord)>,
    },
    /// The batch in flight on this stream is in the log.
    AppendDone(LogStream),
    /// The batch failed, or its answer was lost.
    AppendFailed(LogStream),
    /// The box list was read.
    ListRead {
        /// Entry boxes.
        boxes: Vec<ListedBox>,
        /// Replicas of backend servers.
        replicas: Vec<ListedReplica>,
    },
    /// A message from another box.
    PeerMessage(PeerMessage),
    /// A replica reported its load.
    LoadReported {
        /// Replica name.
        replica: String,
        /// When the report was made, on this box's clock.
        at: BoxTime,
        /// The report.
        report: LoadReport,
    },
    /// A caller's request arrived.
    RequestArrived(RequestDetails),
    /// The box is about to write the request to the replica that it was given.
    SendStarting(RequestKey),
    /// The first token came.
    FirstToken(RequestKey),
    /// An attempt ended.
    AttemptEnded(RequestKey, AttemptEnd),
    /// An answer that waited for its rating was rated; `None` if no rating could be had.
    HeldAnswerRated(RequestKey, Option<bool>),
    /// An answer that had already left was rated.
    ReleasedAnswerRated {
        /// Version that gave it.
        version: String,
        /// Request class.
        class: u8,
        /// Rating; `None` if none could be had.
        good: Option<bool>,
    },
    /// The caller went away.
    CallerDisconnected(RequestTicket),
    /// The operator asks for a planned stop.
    StopRequested,
}
