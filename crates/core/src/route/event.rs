//! What can happen to a routing box, and what it can be told to do, as data.

use super::backend::BackendChange;
use super::evacuation::{EvacuationDigest, EvacuationRead, ZoneOrder};
use super::leader::lease::{LeaderPart, LeaseAnswer};
use super::leader::scale::ScaleSubject;
use super::leader::usage::{UsageRequest, UsageResponse};
use super::leader::{CallOutcome, LeaderCall, LeaderOrder, LeaderRecord};
use super::loads::BackendLoad;
use super::peers::{GossipMessage, PlanPosition, SyncRequest};
use super::placement::PlacementUpdate;
use super::plan::{RouteKind, RoutePlan};
use super::trial::{TrialOrder, TrialState, TrialVerdict};
use super::trial_progress::TrialCheckpoint;
use super::trial_stats::TrialFinding;
use crate::event::RequestTicket;
use crate::ids::ReplicaKey;
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// A caller's request, decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id that the caller gave it.
    pub id: String,
    /// Hash of the session that it belongs to; 0 for none.
    pub session: u64,
    /// Host that it names.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// Key that the caller shows.
    pub key: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// How long it has waited at this box before it was read, in milliseconds.
    pub waited_ms: u64,
    /// Hash of the prompt's shared parts; 0 for none.
    pub affinity: u64,
    /// Tokens of the prompt.
    pub prompt: PromptSize,
    /// Bytes of the body.
    pub body_bytes: usize,
    /// Whether the caller leaves the model to the router.
    pub any_model: bool,
    /// Hash of what it asks for, by which a caller's further tries are known, whose ids differ; 0 for none.
    pub content: u64,
}

/// Tokens of a prompt; both 0 where the caller doesn't tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// In parts that other requests share.
    pub shared: u32,
    /// In the rest.
    pub own: u32,
}

/// The head of a replica's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Load that it tells.
    pub load: Option<BackendLoad>,
    /// How sure the model is of its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// Requests a second that the replica takes from all boxes together, where it names a limit.
    pub limit_per_s: Option<f64>,
    /// How long the replica, which turned the request away, wants nothing from this box, in milliseconds, where it says so.
    pub rest_ms: Option<u64>,
    /// Whether the replica says that it leaves.
    pub leaving: bool,
    /// Whether the replica says that it did not run the request.
    pub not_run: bool,
    /// Whether another replica answers at this address now.
    pub other_replica: bool,
    /// Whether the answer carries the replica's proof.
    pub proven: bool,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection came about: nothing was written.
    NeverSent,
    /// The connection broke, or what came was no answer to this request.
    Broken,
    /// Nothing came for too long, and another replica is asked.
    Silent,
    /// The replica may get nothing more since it was chosen: nothing was written.
    Withdrawn,
}

/// An event.
#[derive(Clone, Debug)]
pub enum RouteEvent {
    /// Time passed.
    Tick,
    /// The plan was read from the store; `None` if it is as it was.
    PlanRead {
        /// The records read are all that there was then.
        asked_at: BoxTime,
        /// Position behind the last record that was read.
        read_to: TopicPosition,
        /// The plan.
        plan: Option<RoutePlan>,
    },
    /// Another box told the plan that it knows; `None` if it has no other.
    PlanReceived {
        /// As of when that was all there was.
        as_of: BoxTime,
        /// How far that box knows the operator's records.
        known: PlanPosition,
        /// The plan.
        plan: Option<RoutePlan>,
    },
    /// Orders to evacuate availability zones were read, or that there are no others.
    EvacuationsRead(EvacuationRead),
    /// Another box told, beside the plan, which zones are under evacuation.
    EvacuationsReceived(EvacuationDigest),
    /// Orders to bring versions in were read.
    OrdersRead {
        /// Position behind the last record that was read.
        read_to: TopicPosition,
        /// The orders.
        orders: Vec<TrialOrder>,
    },
    /// All verdicts were read.
    VerdictsRead {
        /// When the store was asked for them.
        asked_at: BoxTime,
        /// The verdicts.
        verdicts: Vec<TrialVerdict>,
    },
    /// A verdict of this box was taken by the store.
    VerdictStored(TrialVerdict),
    /// All marks of trials under way were read.
    CheckpointsRead {
        /// When the store was asked for them.
        asked_at: BoxTime,
        /// The checkpoints.
        checkpoints: Vec<TrialCheckpoint>,
    },
    /// A mark of this box was taken by the store.
    CheckpointStored(TrialCheckpoint),
    /// Changes to the replicas' entries were read.
    BackendsChanged(Vec<BackendChange>),
    /// Entries of replicas were replaced by something that names none; the changes say that they are gone.
    BackendsInvalidated(Vec<BackendChange>),
    /// All entries of the replicas were read.
    BackendsListed {
        /// Where the store's entries ended when the listing was made.
        end: TopicPosition,
        /// The entries.
        listed: Vec<BackendChange>,
    },
    /// All changes to the replicas' entries before an offset were read.
    EntriesRead {
        /// There were no others then.
        as_of: BoxTime,
        /// The position.
        to: TopicPosition,
    },
    /// The store named its era, another one than in the last answer. It rises each time that the store comes back from an
    /// older copy of its data.
    EraObserved(u64),
    /// A call to the store failed.
    StoreFailed,
    /// The store answers again.
    StoreRecovered,
    /// Another box's note came.
    GossipReceived(Box<GossipMessage>),
    /// Another box has placed a long prompt.
    PlacementReceived(PlacementUpdate),
    /// Another box asks how fresh this one's knowledge is.
    SyncRequested(SyncRequest),
    /// The store answered an ask for the lease of what one box does for all.
    LeaseAnswered {
        /// When it was asked.
        asked_at: BoxTime,
        /// What it answered.
        answer: LeaseAnswer,
    },
    /// What former holders of the lease left was read, and they can write no more.
    LeaderRecordsRead {
        /// This box's token.
        token: u64,
        /// Number of the next record under it.
        next: u64,
        /// What they left.
        left: Vec<LeaderRecord>,
    },
    /// A record of this box for the next holder stands in the store.
    RecordStored {
        /// The token that it was written under.
        token: u64,
        /// Its number.
        number: u64,
    },
    /// The store expects a record of another number under this token.
    RecordConflict {
        /// The token.
        token: u64,
    },
    /// A call of this box as the holder has ended.
    LeaderCallEnded(LeaderCall, CallOutcome),
    /// The holder asks for this box's counts of usage.
    UsageRequested(UsageRequest),
    /// Another box told its counts.
    UsageReceived(UsageResponse),
    /// Addresses where other boxes may be.
    PeersDiscovered(Vec<String>),
    /// A caller's request arrived.
    RequestArrived(RequestTicket, CallerRequest),
    /// The head of a replica's answer came.
    HeadReceived(RequestTicket, AnswerHead),
    /// Nothing came for as long as the order says: another replica may be asked, or the attempt is
    /// waited for further. Silence alone never ends a request.
    AttemptStalled(RequestTicket),
    /// The attempt failed.
    AttemptFailed(RequestTicket, AttemptFailure),
    /// The whole answer was passed on.
    ResponseFinished(RequestTicket),
    /// The time of the request is up.
    DeadlinePassed(RequestTicket),
    /// The caller went away.
    CallerDisconnected(RequestTicket),
    /// The operator asks for a planned stop.
    StopRequested,
}

/// Why a request ends without a replica's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No plan is known yet.
    NoPlan,
    /// What the box knows is too old to honour keys.
    PlanStale,
    /// No route takes the request.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// No replica may be used.
    NoReplica,
    /// All replicas are in availability zones under evacuation.
    Evacuated,
    /// No replica is in a region in which the request may be served.
    NoRegion,
    /// All replicas rest, or name limits that leave no room for it on this box.
    ReplicasLimited,
    /// Every replica that was asked said that it is full.
    Full,
    /// It would not begin before its deadline on any replica.
    DeadlineTooShort,
    /// Replicas end when they work on what it asks for.
    CrashesReplicas,
    /// It may have run, and no further attempt is allowed.
    Failed,
    /// The time is up.
    DeadlinePassed,
    /// The box stops, and could no longer serve it before it is killed.
    BoxStopping,
}

impl RefusalReason {
    /// Name in logs and metrics.
    pub fn slug(self) -> &'static str {
        match self {
            RefusalReason::NoPlan => "no_plan",
            RefusalReason::PlanStale => "plan_stale",
            RefusalReason::NoRoute => "no_route",
            RefusalReason::UnknownKey => "unknown_key",
            RefusalReason::NoReplica => "no_replica",
            RefusalReason::Evacuated => "zones_evacuated",
            RefusalReason::NoRegion => "no_replica_in_region",
            RefusalReason::ReplicasLimited => "replicas_limited",
            RefusalReason::Full => "replicas_full",
            RefusalReason::DeadlineTooShort => "no_time",
            RefusalReason::CrashesReplicas => "crashes_replicas",
            RefusalReason::Failed => "replica_failed",
            RefusalReason::DeadlinePassed => "time_up",
            RefusalReason::BoxStopping => "box_stopping",
        }
    }
}

/// A refusal. Status 503 says that the request has not run and never will; 502 and 504 say nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRefusal {
    /// HTTP status.
    pub status: u16,
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// What a trial of the service had to do with a decision, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrialInputs {
    /// How long ago the order was given, as far as the box knew, in milliseconds.
    pub age_ms: u64,
    /// Share of the sessions that the version on trial got.
    pub share: f64,
    /// Whether no replica of the version wished for could be taken.
    pub fell_back: bool,
}

/// What a decision rested on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecisionInputs {
    /// Version of the plan.
    pub plan_version: u64,
    /// Its age, in milliseconds.
    pub plan_age_ms: u64,
    /// Replicas that could have been taken.
    pub candidates: usize,
    /// Estimated load of the one taken.
    pub load: f64,
    /// Whether it was taken for the prompt's shared parts.
    pub affine: bool,
    /// Until its answer is expected to begin, in milliseconds, where the prompt's size is known.
    pub expected_ms: f64,
    /// Work that was taken to wait there, in milliseconds.
    pub wait_ms: f64,
    /// Work of the request itself, in milliseconds.
    pub work_ms: f64,
    /// The trial of the service, if there is one.
    pub trial: Option<TrialInputs>,
}

/// A replica for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct SendOrder {
    /// Number of the attempt within its request, from 1.
    pub number: u32,
    /// The replica.
    pub replica: ReplicaKey,
    /// Its id.
    pub replica_id: String,
    /// Its address.
    pub address: String,
    /// Version of its software.
    pub version: String,
    /// Route name.
    pub route: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Model to ask for, where the router chooses.
    pub model: Option<String>,
    /// Client account, where keys are asked for.
    pub account: Option<String>,
    /// Hash of the caller's session; 0 for none.
    pub session: u64,
    /// Hash of what the request asks for.
    pub content: u64,
    /// Urgency among the prompts that wait at the replica, 0 first; `None` where it has no say.
    pub urgency: Option<u8>,
    /// The request's time is up then.
    pub deadline: BoxTime,
    /// Ask whether to go elsewhere when no head came for this long, in milliseconds.
    pub head_ms: u64,
    /// Ask whether to go elsewhere when no event came for this long, in milliseconds.
    pub pause_ms: u64,
    /// What the decision rested on.
    pub inputs: DecisionInputs,
}

/// An effect.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteEffect {
    /// Send the request to this replica.
    Send(RequestTicket, SendOrder),
    /// Pass this answer on.
    Relay(RequestTicket),
    /// End the request with a refusal.
    Refuse(RequestTicket, RouteRefusal, DecisionInputs),
    /// Break the answer off: the caller has a part of it, and the rest can't be had.
    AbortResponse(RequestTicket, RefusalReason),
    /// Tell other boxes.
    SendGossip(Vec<String>, Box<GossipMessage>),
    /// Tell other boxes of a long prompt that was placed.
    SendPlacement(Vec<String>, PlacementUpdate),
    /// Ask a reader.
    SendSyncRequest(String, SyncRequest),
    /// Write a verdict to the store, unless it has one.
    WriteVerdict(TrialVerdict),
    /// Mark in the store how far a trial has come, unless it knows of more.
    WriteCheckpoint(TrialCheckpoint),
    /// A plan came into force.
    PlanInForce {
        /// Its version.
        version: u64,
        /// Routes in it.
        routes: usize,
        /// How old what is known with it is, in milliseconds.
        age_ms: u64,
    },
    /// This box has become one of the readers, or is none any more.
    ReaderChanged {
        /// Whether it reads for the others.
        reads: bool,
        /// Whether it can't reach the store.
        cut: bool,
        /// Age of its plan, in milliseconds, if it knows one.
        plan_age_ms: Option<u64>,
    },
    /// A plan was older than the one in force and was dropped.
    PlanTooOld {
        /// Its version.
        version: u64,
    },
    /// A replica leaves or is gone.
    BackendLeaving(String),
    /// The store came back from an older copy of its data.
    StoreRestored {
        /// Its era.
        era: u64,
        /// The era before.
        former: u64,
    },
    /// An availability zone is under evacuation from now on, or no longer.
    EvacuationChanged {
        /// The order.
        order: ZoneOrder,
        /// Position up to which the operator's records show it.
        known_to: TopicPosition,
        /// Requests in hand at replicas of the zone, which run on.
        in_flight: usize,
    },
    /// A request asks for what crashes replicas.
    PoisonRefused {
        /// Hash of what it asks for.
        content: u64,
        /// Its client account.
        account: Option<String>,
        /// Replicas that ended under it, as far as this box knows.
        ends: usize,
        /// How long ago the last end was, in milliseconds.
        age_ms: Option<u64>,
    },
    /// The replica of this id said in an answer that it leaves.
    LeavingReported(String),
    /// A replica named a limit, or names one no more.
    LimitChanged {
        /// Its id.
        replica: String,
        /// Requests a second from all boxes together; `None` without a limit.
        per_s: Option<f64>,
        /// Of these, what this box may send.
        own_per_s: f64,
    },
    /// A trial changed its state.
    TrialStateChanged {
        /// Service.
        service: String,
        /// Version on trial.
        version: String,
        /// New state.
        state: TrialState,
        /// Answers of the version so far.
        runs: f64,
        /// Failures among them.
        bad: f64,
    },
    /// This box found a version on trial bad; it gets a verdict.
    VersionRejected {
        /// Service.
        service: String,
        /// Version on trial.
        version: String,
        /// What speaks against it.
        finding: TrialFinding,
    },
    /// The share of the sessions that a version on trial gets here has changed.
    TrialShareChanged {
        /// Service.
        service: String,
        /// Version on trial.
        version: String,
        /// The share, from 0 to 1.
        share: f64,
        /// How long ago the order was given, as far as this box knows, in milliseconds.
        age_ms: u64,
        /// Answers of the version so far, on all boxes.
        runs: f64,
        /// Failures among them.
        bad: f64,
    },
    /// This box's part in what one box does for all has changed.
    LeaderPartChanged(LeaderPart),
    /// Do this as the holder of the lease.
    RunLeaderStep(LeaderOrder),
    /// Replicas are ordered.
    ReplicasRequested {
        /// Of which service, where and of which kind.
        subject: ScaleSubject,
        /// How many there are to be.
        wanted: u32,
    },
    /// The bounds of a service's replicas leave room for none: they are not ordered.
    ScaleBoundsInvalid {
        /// Service.
        service: String,
        /// At least so many in each zone.
        min: u32,
        /// At most so many.
        max: u32,
    },
    /// Ask other boxes for their counts of usage.
    RequestUsage(Vec<String>, UsageRequest),
    /// Tell the holder this box's counts.
    SendUsage(String, UsageResponse),
    /// The planned stop has begun.
    StopBegun,
    /// Callers are served from now on.
    AcceptCallers,
}
