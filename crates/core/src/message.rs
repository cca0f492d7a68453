//! Messages between boxes and records in the platform's log.
//!
//! Both derive `prost` messages, so the build needs no code generator and no generated code is
//! committed. Every log record carries the incarnation of the box that wrote it and a natural key
//! (bundle sequence, claim nonce, bill key, verdict) by which readers drop repeats. Repeats occur
//! because an append is sent again when its acknowledgement is lost, and the first one may have
//! taken effect or may still take effect later.

use prost::{Message, Oneof};

/// One section of a bundle: a top-level entry such as `accounts.alpha`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BundleSection {
    /// Section name, `table.entry`.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The section's content as canonical JSON.
    #[prost(string, tag = "2")]
    pub json: String,
}

/// An operator's signature over a bundle's sequence, base and digest.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SignOff {
    /// Name of the operator's key, from the settings.
    #[prost(string, tag = "1")]
    pub key_id: String,
    /// Ed25519 signature, 64 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub signature: Vec<u8>,
}

/// A bundle, complete or as the sections that differ from its base.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BundleRecord {
    /// One more than the sequence of the base; the first bundle is 1.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Digest of the base, or `none` for the first bundle.
    #[prost(string, tag = "2")]
    pub base: String,
    /// Digest of the complete bundle, after the change.
    #[prost(string, tag = "3")]
    pub digest: String,
    /// Whether `changed` holds every section.
    #[prost(bool, tag = "4")]
    pub whole: bool,
    /// New and changed sections.
    #[prost(message, repeated, tag = "5")]
    pub changed: Vec<BundleSection>,
    /// Names of removed sections.
    #[prost(string, repeated, tag = "6")]
    pub removed: Vec<String>,
    /// Sign-offs.
    #[prost(message, repeated, tag = "7")]
    pub sign_offs: Vec<SignOff>,
    /// Whether a box wrote this record to carry the bundle in force forward: it appends the
    /// complete bundle again before the log's retention removes the earlier record.
    #[prost(bool, tag = "8")]
    pub carried: bool,
    /// For a carried record, the offset up to which its writer had folded the stream.
    #[prost(uint64, tag = "9")]
    pub folded_to: u64,
}

/// A claim to run a call that must not be repeated.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimRecord {
    /// Client account and caller's key, `account/uuid`.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Random number, unique to the claim.
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
}

/// How a claimed call ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OutcomeRecord {
    /// Client account and caller's key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Nonce of the claim that ran.
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    /// HTTP status of the backend server's answer.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// The answer's body, if it is at most [`crate::claims::OUTCOME_BODY_LIMIT`] bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
}

/// One billed request.
#[derive(Clone, PartialEq, Message)]
pub struct BillRecord {
    /// Key by which readers drop repeats: `account/caller-key`, or `incarnation/number`.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Client account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Version that gave the answer, or the name of the plain service.
    #[prost(string, tag = "3")]
    pub version: String,
    /// Request id in hexadecimal.
    #[prost(string, tag = "4")]
    pub request: String,
    /// Cost over all attempts, in the bundle's cost units.
    #[prost(double, tag = "5")]
    pub cost: f64,
    /// Tokens generated over all attempts.
    #[prost(uint32, tag = "6")]
    pub tokens: u32,
    /// Attempts made.
    #[prost(uint32, tag = "7")]
    pub attempts: u32,
    /// Sequence of the bundle that allowed the last attempt.
    #[prost(uint64, tag = "8")]
    pub bundle: u64,
    /// Codes of the reasons of the decision, see [`crate::reason::ReasonCode`].
    #[prost(uint32, repeated, tag = "9")]
    pub reasons: Vec<u32>,
    /// Number of the bill on its box, from 1.
    #[prost(uint64, tag = "10")]
    pub number: u64,
}

/// A verdict of the rollout guard.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VerdictRecord {
    /// Version under rollout.
    #[prost(string, tag = "1")]
    pub version: String,
    /// Whether the rollout is halted; otherwise it has reached `step`.
    #[prost(bool, tag = "2")]
    pub halted: bool,
    /// Step that the rollout has reached, from 0.
    #[prost(uint32, tag = "3")]
    pub step: u32,
}

/// A lease on sending orders to the replicas of a pool; its log offset is the fencing token.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseRecord {
    /// Pool that the holder may order.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Duration of the lease in milliseconds. The holder counts it from before it sent the append,
    /// other boxes from when they read the record.
    #[prost(uint64, tag = "2")]
    pub term_ms: u64,
    /// Time on the holder's clock before it sent the append, in microseconds. Only the holder uses
    /// it.
    #[prost(uint64, tag = "3")]
    pub asked_us: u64,
}

/// Content of a log record.
#[derive(Clone, PartialEq, Oneof)]
pub enum RecordBody {
    /// A bundle.
    #[prost(message, tag = "3")]
    Bundle(BundleRecord),
    /// A claim.
    #[prost(message, tag = "4")]
    Claim(ClaimRecord),
    /// A claimant's statement that it will never run the claim.
    #[prost(message, tag = "5")]
    Void(ClaimRecord),
    /// The outcome of a claimed call.
    #[prost(message, tag = "6")]
    Outcome(OutcomeRecord),
    /// A bill.
    #[prost(message, tag = "7")]
    Bill(BillRecord),
    /// A verdict.
    #[prost(message, tag = "8")]
    Verdict(VerdictRecord),
    /// A lease.
    #[prost(message, tag = "9")]
    Lease(LeaseRecord),
}

/// A record in one of the log's streams.
#[derive(Clone, PartialEq, Message)]
pub struct LogRecord {
    /// Incarnation of the box that wrote it; 0 for an operator.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Content.
    #[prost(oneof = "RecordBody", tags = "3, 4, 5, 6, 7, 8, 9")]
    pub body: Option<RecordBody>,
}

/// What a box reports about another box.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerSummary {
    /// Box name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Age of the last heartbeat reply known from it, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Sequence that it has in force.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Whether it is leaving.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Whether it has obtained information on the log since it started.
    #[prost(bool, tag = "6")]
    pub proved: bool,
}

/// A heartbeat; the receiver answers it with a [`HeartbeatReply`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerHeartbeat {
    /// Time on the sender's clock when it sent this, in microseconds. Only the sender uses it.
    #[prost(uint64, tag = "1")]
    pub stamp: u64,
    /// Sequence that the sender has in force.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Replicas that the sender recently learned are leaving. They are repeated because a
    /// [`LeavingNotice`] is sent once and may not reach every box.
    #[prost(string, repeated, tag = "4")]
    pub leaving_replicas: Vec<String>,
    /// Versions whose rollout is halted.
    #[prost(string, repeated, tag = "5")]
    pub halted: Vec<String>,
}

/// The answer to a [`PeerHeartbeat`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeartbeatReply {
    /// The stamp of the heartbeat that this answers.
    #[prost(uint64, tag = "1")]
    pub echo: u64,
    /// Age of the answering box's information on the log, in milliseconds; `u64::MAX` if it has
    /// none.
    #[prost(uint64, tag = "2")]
    pub log_age_ms: u64,
    /// Sequence that the answering box has in force.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether the answering box is leaving.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Summaries of a few other boxes. They are in the reply and not in the heartbeat, so that
    /// their ages count from a time on the receiver's own clock.
    #[prost(message, repeated, tag = "5")]
    pub others: Vec<PeerSummary>,
}

/// Bills sent to a witness, which keeps a copy until they are in the log.
#[derive(Clone, PartialEq, Message)]
pub struct WitnessBills {
    /// The bills.
    #[prost(message, repeated, tag = "1")]
    pub bills: Vec<BillRecord>,
}

/// Numbers of bills that a witness acknowledges or that their owner releases.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BillNumbers {
    /// Bill numbers of the owner.
    #[prost(uint64, repeated, tag = "1")]
    pub numbers: Vec<u64>,
}

/// A notice that a replica is leaving. Boxes send it to each other because the box list lags.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeavingNotice {
    /// Replica name.
    #[prost(string, tag = "1")]
    pub replica: String,
}

/// Content of a message between boxes.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// A heartbeat.
    #[prost(message, tag = "3")]
    Heartbeat(PeerHeartbeat),
    /// The answer to a heartbeat.
    #[prost(message, tag = "4")]
    Reply(HeartbeatReply),
    /// The bundle in force, sent to a box that has a lower sequence.
    #[prost(message, tag = "5")]
    Bundle(BundleRecord),
    /// Bills for a witness to hold.
    #[prost(message, tag = "6")]
    Witness(WitnessBills),
    /// Numbers of bills that the witness now holds.
    #[prost(message, tag = "7")]
    Witnessed(BillNumbers),
    /// Numbers of bills that are in the log, so that the witness can drop them.
    #[prost(message, tag = "8")]
    Release(BillNumbers),
    /// A rollout verdict.
    #[prost(message, tag = "9")]
    Verdict(VerdictRecord),
    /// A notice that a replica is leaving.
    #[prost(message, tag = "10")]
    Leaving(LeavingNotice),
    /// A request for the complete bundle in force.
    #[prost(message, tag = "11")]
    RequestBundle(BundleRequest),
    /// Evidence on a version under rollout, for the first canary box.
    #[prost(message, tag = "12")]
    Evidence(RolloutEvidence),
    /// Ratings since the last round, or all ratings in answer to a [`QualityRequest`].
    #[prost(message, tag = "13")]
    Quality(QualityUpdate),
    /// A request of a new box for the ratings of the others.
    #[prost(message, tag = "14")]
    RequestQuality(QualityRequest),
}

/// Ratings by model and request class.
#[derive(Clone, PartialEq, Message)]
pub struct QualityUpdate {
    /// Rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<QualityRow>,
}

/// Ratings of one model on one request class.
#[derive(Clone, PartialEq, Message)]
pub struct QualityRow {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Request class.
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// Decayed number of answers that met the quality target.
    #[prost(float, tag = "3")]
    pub good: f32,
    /// Decayed number of answers that did not.
    #[prost(float, tag = "4")]
    pub bad: f32,
}

/// A request for the ratings that the receiver has.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct QualityRequest {}

/// Numbers of judged answers of a version under rollout, for one request class.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutEvidence {
    /// Version.
    #[prost(string, tag = "1")]
    pub version: String,
    /// Request class.
    #[prost(uint32, tag = "2")]
    pub class: u32,
    /// Good answers.
    #[prost(uint32, tag = "3")]
    pub good: u32,
    /// Bad answers and failures.
    #[prost(uint32, tag = "4")]
    pub bad: u32,
}

/// A request for the complete bundle in force.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BundleRequest {
    /// Sequence that the requesting box has in force.
    #[prost(uint64, tag = "1")]
    pub have: u64,
}

/// A message from one box to another.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// Name of the box that sent it.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Incarnation of the box that sent it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Content.
    #[prost(oneof = "PeerBody", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<PeerBody>,
}
