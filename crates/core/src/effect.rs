//! Everything a box can be told to do, as data.

use crate::appender::LogStream;
use crate::attempt::RequestRefusal;
use crate::event::RequestTicket;
use crate::fold::FoldRejection;
use crate::ids::RequestKey;
use crate::message::{BillRecord, LogRecord, OutcomeRecord, PeerBody};
use crate::reason::ReasonCode;
use crate::time::BoxTime;

/// A replica for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOrder {
    /// Number of the attempt within its request, from 1.
    pub number: u32,
    /// Replica name.
    pub replica: String,
    /// Its address.
    pub address: String,
    /// Version asked for; empty for a plain service.
    pub version: String,
    /// Whether the answer is held until it was rated.
    pub buffered: bool,
    /// Tokens that the caller already has, to resume a broken stream.
    pub resume_from: u32,
    /// The write must begin before this.
    pub send_before: BoxTime,
    /// Session token for the caller, if it changed.
    pub session_token: Option<String>,
}

/// An order to a replica of a pool: the versions it should have loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOrder {
    /// Replica name.
    pub replica: String,
    /// Its address.
    pub address: String,
    /// Fencing token.
    pub token: u64,
    /// Versions.
    pub versions: Vec<String>,
    /// The write must begin before this.
    pub send_before: BoxTime,
}

/// An effect.
#[derive(Clone, Debug, PartialEq)]
pub enum BoxEffect {
    /// Prepare this attempt, then report [`crate::event::BoxEvent::SendStarting`].
    PrepareAttempt(RequestTicket, RequestKey, AttemptOrder),
    /// The write may begin now.
    Send(RequestTicket),
    /// Rate the held answer before it is released.
    RateHeldAnswer(RequestTicket, RequestKey),
    /// Rate the answer, which has left or will leave unrated.
    RateReleasedAnswer(RequestTicket),
    /// The end of the answer may leave: the request is billed.
    Finish(RequestTicket, Vec<ReasonCode>),
    /// The request ends without a whole answer.
    Refuse(RequestTicket, RequestRefusal),
    /// The call ran earlier; this was its answer.
    Replay(RequestTicket, OutcomeRecord),
    /// Give a replica an order, unless its time has passed; orders name a target state, so a repeat is
    /// harmless.
    Order(PoolOrder),
    /// Append a batch; then report `AppendDone` or `AppendFailed`.
    Append(LogStream, Vec<LogRecord>),
    /// Send a message to another box.
    SendPeer(String, PeerBody),
    /// A bundle came into force.
    BundleInForce {
        /// Its sequence.
        sequence: u64,
        /// Its digest.
        digest: String,
    },
    /// A bundle record was rejected.
    BundleRejected(FoldRejection),
    /// Read the bundles stream at once: a peer knows a higher sequence.
    ReadBundles,
    /// A roll-out was halted.
    RolloutHalted(String),
    /// A roll-out reached a step.
    RolloutStep(String, u32),
    /// A replica leaves.
    ReplicaLeaving(String),
    /// A witness appends bills for an owner that vanished.
    OwnerLost {
        /// Name of the owner.
        owner: String,
        /// Bills appended for it.
        bills: usize,
    },
    /// An answer left with fewer witnesses than it should have.
    Unwitnessed(BillRecord),
    /// The box may exit: nothing is owed any more.
    ExitAllowed,
}
