//! Events: the inputs of the reducer.

use crate::appender::LogStream;
use crate::ids::RequestKey;
use crate::membership::ListedBox;
use crate::message::{LogRecord, PeerMessage};
use crate::replica::{ListedReplica, LoadReport};
use crate::time::{BoxTime, WallTime};

/// Time and randomness that accompany every event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventStamp {
    /// Monotonic time.
    pub now: BoxTime,
    /// Wall-clock time.
    pub wall: WallTime,
    /// A random number; the only source of randomness.
    pub random: u64,
}

/// Number that the box assigns to a request before the reducer has a key for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
pub struct RequestTicket(pub u64);

/// What a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model, version or cascade of the bundle.
    Model {
        /// Its name.
        name: String,
        /// Estimated number of tokens in the prompt.
        prompt_tokens: u32,
        /// Request class, below [`crate::rollout::CLASS_COUNT`].
        class: u8,
        /// Hash of the prompt's prefix; 0 if it has none.
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
    /// Number assigned by the box.
    pub ticket: RequestTicket,
    /// Request id, unique across all boxes.
    pub id: u128,
    /// SHA-256 of the caller key.
    pub key_hash: [u8; 32],
    /// What the caller requests.
    pub target: RequestTarget,
    /// The caller's `Idempotency-Key`, if any.
    pub caller_key: Option<String>,
}

/// How an attempt ended, as the box saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer with its end marker and the id of this request.
    Answered {
        /// Tokens generated.
        tokens: u32,
        /// HTTP status, for plain services.
        status: u16,
        /// Body, for operations that must not be repeated.
        body: Vec<u8>,
    },
    /// The connection could not be established, so nothing was written.
    NeverConnected,
    /// The backend server reports that it did not run the request, because it is full or leaving.
    Declined {
        /// Whether it reports that it is leaving.
        leaving: bool,
    },
    /// The answer was aborted.
    Aborted {
        /// Tokens of this attempt that the caller already has.
        delivered: u32,
    },
    /// The answer carries the id of another request.
    WrongRequest,
}

/// An event, the input of [`crate::state::BoxState::apply`].
#[derive(Clone, Debug)]
pub enum BoxEvent {
    /// Time passed.
    Tick,
    /// A stream of the log was read.
    LogRead {
        /// Stream.
        stream: LogStream,
        /// When the read was requested, on this box's clock.
        asked_at: BoxTime,
        /// First offset that the log still keeps.
        first: u64,
        /// Offset after the last record of the stream.
        tail: u64,
        /// Age of the first of `records`, in milliseconds.
        age_ms: u64,
        /// Records with their offsets.
        records: Vec<(u64, LogRecord)>,
    },
    /// The batch in flight on this stream was appended to the log.
    AppendDone(LogStream),
    /// The append of the batch failed, or its acknowledgement was lost.
    AppendFailed(LogStream),
    /// The platform's box list was read.
    ListRead {
        /// Boxes of the fleet.
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
    /// The box is about to write the request to the replica that was picked for it.
    SendStarting(RequestKey),
    /// The first token of the answer arrived.
    FirstToken(RequestKey),
    /// An attempt ended.
    AttemptEnded(RequestKey, AttemptEnd),
    /// An answer that was held for its rating was rated; `None` if the rating failed.
    HeldAnswerRated(RequestKey, Option<bool>),
    /// An answer that was already released was rated.
    ReleasedAnswerRated {
        /// Version that gave it.
        version: String,
        /// Request class.
        class: u8,
        /// Rating; `None` if the rating failed.
        good: Option<bool>,
    },
    /// The caller closed its connection.
    CallerDisconnected(RequestTicket),
    /// The operator requested a planned stop.
    StopRequested,
}
