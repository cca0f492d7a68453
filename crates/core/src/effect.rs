//! Effects: what the reducer instructs the box to do.

use crate::appender::LogStream;
use crate::attempt::RequestRefusal;
use crate::event::RequestTicket;
use crate::fold::FoldRejection;
use crate::ids::RequestKey;
use crate::message::{BillRecord, LogRecord, OutcomeRecord, PeerBody};
use crate::reason::ReasonCode;
use crate::time::BoxTime;

/// An attempt to prepare: the replica and how to call it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOrder {
    /// Number of the attempt within its request, from 1.
    pub number: u32,
    /// Replica name.
    pub replica: String,
    /// Its address.
    pub address: String,
    /// Requested version; empty for a plain service.
    pub version: String,
    /// Whether the answer is held until it is rated.
    pub buffered: bool,
    /// Number of tokens that the caller already has, to resume an aborted stream.
    pub resume_from: u32,
    /// The write must begin before this.
    pub send_before: BoxTime,
    /// New session token for the caller, if its content changed.
    pub session_token: Option<String>,
}

/// An order to a replica of a pool: the versions that it should have loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOrder {
    /// Replica name.
    pub replica: String,
    /// Its address.
    pub address: String,
    /// Fencing token.
    pub token: u64,
    /// Versions that the replica should have loaded.
    pub versions: Vec<String>,
    /// The write must begin before this.
    pub send_before: BoxTime,
}

/// An effect, the output of [`crate::state::BoxState::apply`].
#[derive(Clone, Debug, PartialEq)]
pub enum BoxEffect {
    /// Prepare this attempt, then report [`crate::event::BoxEvent::SendStarting`].
    PrepareAttempt(RequestTicket, RequestKey, AttemptOrder),
    /// The write may begin now.
    Send(RequestTicket),
    /// Rate the held answer before it is released.
    RateHeldAnswer(RequestTicket, RequestKey),
    /// Rate the answer, which is released without waiting for the rating.
    RateReleasedAnswer(RequestTicket),
    /// Release the end of the answer: the request is billed.
    Finish(RequestTicket, Vec<ReasonCode>),
    /// End the request without a complete answer.
    Refuse(RequestTicket, RequestRefusal),
    /// Answer with the recorded outcome of an earlier request with the same key.
    Replay(RequestTicket, OutcomeRecord),
    /// Send an order to a replica, unless its time has passed. Orders name a target state, so a
    /// repeat is harmless.
    Order(PoolOrder),
    /// Append a batch to the log, then report `AppendDone` or `AppendFailed`.
    Append(LogStream, Vec<LogRecord>),
    /// Send a message to another box.
    SendPeer(String, PeerBody),
    /// Report that a bundle came into force.
    BundleInForce {
        /// Its sequence.
        sequence: u64,
        /// Its digest.
        digest: String,
    },
    /// Report that a bundle record was rejected.
    BundleRejected(FoldRejection),
    /// Read the bundles stream now: a peer has a higher sequence.
    ReadBundles,
    /// Report that a rollout was halted.
    RolloutHalted(String),
    /// Report that a rollout reached a step.
    RolloutStep(String, u32),
    /// Report that a replica is leaving.
    ReplicaLeaving(String),
    /// Report that this box, as a witness, appends the bills of an owner that was lost.
    OwnerLost {
        /// Name of the owner.
        owner: String,
        /// Number of bills appended for it.
        bills: usize,
    },
    /// Report that an answer was released although its bill has too few witnesses.
    Unwitnessed(BillRecord),
    /// The box may exit: no request runs, and its records are in the log or, after a grace period,
    /// its bills are held by witnesses.
    ExitAllowed,
}
