//! Events that a routing box receives and effects that it requests, as plain data.

use super::backend::BackendChange;
use super::evacuation::{EvacuationDigest, EvacuationRead, ZoneOrder};
use super::leader::lease::{LeaderPart, LeaseAnswer};
use super::leader::scale::ScaleSubject;
use super::leader::usage::{UsageRequest, UsageResponse};
use super::leader::{CallOutcome, LeaderCall, LeaderOrder, LeaderRecord};
use super::paths::PathPhase;
use super::peers::{GossipMessage, PlanPosition, SyncRequest};
use super::plan::RoutePlan;
use super::poison::{CrashJudgement, PoisonFinding, PoisonRecord, RequestFeature};
use super::scheduling::account_shares::ShareSummary;
use super::scheduling::placement::PlacementUpdate;
use super::shares::AccountUse;
use super::trial::{CarryDelay, TrialOrder, TrialState, TrialVerdict, VerdictBasis};
use super::trial_progress::TrialCheckpoint;
use super::trial_stats::TrialFinding;
use crate::event::RequestTicket;
use crate::ids::ReplicaKey;
use crate::position::TopicPosition;
use crate::time::BoxTime;

pub use super::admission::{RequestAdmission, RouteTerms};
pub use super::exchange::{
    AnswerHead, AttemptFailure, BegunAnswer, CallerRequest, DecisionInputs, FormerEnd, ForwardPass,
    ForwardProgress, ForwardedRequest, PromptPart, PromptSize, RefusalReason, RouteRefusal,
    SendOrder, SpentAttempts, TrialInputs, WaitOrder,
};

/// An event that a routing box receives.
#[derive(Clone, Debug)]
pub enum RouteEvent {
    /// Periodic timer.
    Tick,
    /// The plan was read from the store; `None` if it is unchanged.
    PlanRead {
        /// When the read began: it shows everything that the store held then.
        asked_at: BoxTime,
        /// Position after the last record that was read.
        read_to: TopicPosition,
        /// The plan.
        plan: Option<RoutePlan>,
    },
    /// Another box sent the plan that it knows; `None` if it is unchanged.
    PlanReceived {
        /// Time as of which that was the latest plan.
        as_of: BoxTime,
        /// Position up to which that box knows the operator's records.
        known: PlanPosition,
        /// The plan.
        plan: Option<RoutePlan>,
    },
    /// The operator's records about evacuations were read, possibly without a new order.
    EvacuationsRead(EvacuationRead),
    /// Another box sent the zones under evacuation along with the plan.
    EvacuationsReceived(EvacuationDigest),
    /// Orders to roll out versions were read.
    OrdersRead {
        /// Position after the last record that was read.
        read_to: TopicPosition,
        /// The orders.
        orders: Vec<TrialOrder>,
    },
    /// All verdicts of trials were read.
    VerdictsRead {
        /// When the read began.
        asked_at: BoxTime,
        /// The verdicts.
        verdicts: Vec<TrialVerdict>,
    },
    /// The store accepted a verdict of this box.
    VerdictStored(TrialVerdict),
    /// All checkpoints of running trials were read.
    CheckpointsRead {
        /// When the read began.
        asked_at: BoxTime,
        /// The checkpoints.
        checkpoints: Vec<TrialCheckpoint>,
    },
    /// The store accepted a checkpoint of this box.
    CheckpointStored(TrialCheckpoint),
    /// All records about poison were read.
    PoisonRead(Vec<PoisonRecord>),
    /// The store accepted a record of this box about poison.
    PoisonStored(PoisonRecord),
    /// Changes to the replicas' entries were read.
    BackendsChanged(Vec<BackendChange>),
    /// Entries of replicas were overwritten by records that name no replica; the changes remove
    /// them.
    BackendsInvalidated(Vec<BackendChange>),
    /// All entries of the replicas were listed.
    BackendsListed {
        /// End of the store's entries when the listing was made.
        end: TopicPosition,
        /// The entries.
        listed: Vec<BackendChange>,
    },
    /// All changes to the replicas' entries before a position were read.
    EntriesRead {
        /// Time as of which there were no others.
        as_of: BoxTime,
        /// The position.
        to: TopicPosition,
    },
    /// The store reported an era that differs from that of its last response. The era rises each
    /// time that the store is restored from an older copy of its data.
    EraObserved(u64),
    /// A call to the store failed.
    StoreFailed,
    /// A call to the store succeeded again.
    StoreRecovered,
    /// A gossip message of another box arrived.
    GossipReceived(Box<GossipMessage>),
    /// Another box placed a long prompt.
    PlacementReceived(PlacementUpdate),
    /// Another box sent a sync request.
    SyncRequested(SyncRequest),
    /// The store responded to a request for the leader lease.
    LeaseAnswered {
        /// When the request was sent.
        asked_at: BoxTime,
        /// The response.
        answer: LeaseAnswer,
    },
    /// The records of former leaders were read; their fencing tokens are no longer valid for
    /// writes.
    LeaderRecordsRead {
        /// Fencing token of this box.
        token: u64,
        /// Number of the next record under this token.
        next: u64,
        /// Records of the former leaders.
        records: Vec<LeaderRecord>,
    },
    /// The store accepted a leader record of this box.
    RecordStored {
        /// Fencing token under which it was written.
        token: u64,
        /// Number of the record.
        number: u64,
    },
    /// The store expects a record with another number under this token.
    RecordConflict {
        /// Fencing token.
        token: u64,
    },
    /// A call that this box made as the leader has ended.
    LeaderCallEnded(LeaderCall, CallOutcome),
    /// The leader requests this box's usage counts.
    UsageRequested(UsageRequest),
    /// Another box sent its usage counts.
    UsageReceived(UsageResponse),
    /// Gossip addresses at which other boxes may be.
    PeersDiscovered(Vec<String>),
    /// A caller's request arrived.
    RequestArrived(RequestTicket, CallerRequest),
    /// The response head of a replica arrived.
    HeadReceived(RequestTicket, AnswerHead),
    /// Nothing arrived for as long as the send order allows: another place may be asked, or the
    /// attempt continues. A stall alone never ends a request, nor the attempt.
    AttemptStalled(RequestTicket),
    /// A piece of a stream arrived from a replica. It is reported for all streams together, now and
    /// then.
    StreamHeard,
    /// Something arrived of an attempt after [`RouteEvent::AttemptStalled`]. If it is the former one
    /// that is kept beside another, that other one has been ended.
    AttemptResumed(RequestTicket),
    /// The former attempt, which was kept beside the current one, has been ended.
    FormerEnded(RequestTicket, FormerEnd),
    /// The attempt failed.
    AttemptFailed(RequestTicket, AttemptFailure),
    /// A new connection to a replica was tried.
    PathProbed {
        /// The replica.
        replica: ReplicaKey,
        /// Whether it succeeded.
        reached: bool,
    },
    /// The attempt may have to be given up, after [`RouteEffect::RecheckAttempts`].
    AttemptRechecked(RequestTicket),
    /// The whole response was relayed.
    ResponseFinished(RequestTicket),
    /// The deadline of the request passed.
    DeadlinePassed(RequestTicket),
    /// The box is about to exit, and the request has not ended.
    StopEnding(RequestTicket),
    /// The time of [`RouteEffect::Wait`] is over, and no other step came.
    WaitEnded(RequestTicket),
    /// The caller closed its connection.
    CallerDisconnected(RequestTicket),
    /// The operator requests a planned stop.
    StopRequested,
}

/// An effect that a routing box requests.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteEffect {
    /// Send the request to a replica.
    Send(RequestTicket, SendOrder),
    /// Let the request wait: a later event sends or refuses it.
    Wait(RequestTicket, WaitOrder),
    /// Go on with the former attempt: no other place has taken the request.
    KeepFormer(RequestTicket),
    /// Relay the response to the caller.
    Relay(RequestTicket),
    /// End the request with a refusal.
    Refuse(RequestTicket, RouteRefusal, DecisionInputs),
    /// Abort the response: the caller has received a part of it, and the rest is unavailable.
    AbortResponse(RequestTicket, RefusalReason),
    /// Send a gossip message to other boxes.
    SendGossip(Vec<String>, Box<GossipMessage>),
    /// Send the placement of a long prompt to other boxes.
    SendPlacement(Vec<String>, PlacementUpdate),
    /// Send a sync request to a store reader.
    SendSyncRequest(String, SyncRequest),
    /// Write a verdict to the store, unless the store has one.
    WriteVerdict(TrialVerdict),
    /// Write the progress of a trial to the store, unless the store has later progress.
    WriteCheckpoint(TrialCheckpoint),
    /// Write a record about poison to the store, unless the store has it.
    WritePoison(PoisonRecord),
    /// A plan came into force.
    PlanInForce {
        /// Its version.
        version: u64,
        /// Number of its routes.
        routes: usize,
        /// Age of the knowledge behind it, in milliseconds.
        age_ms: u64,
    },
    /// This box became a store reader, or ceased to be one.
    ReaderChanged {
        /// Whether it reads the store for the other boxes.
        is_reader: bool,
        /// Whether it cannot reach the store.
        store_unreachable: bool,
        /// Age of its plan, in milliseconds, if it has one.
        plan_age_ms: Option<u64>,
    },
    /// This box needs to read the plan and from now on leaves it to others, or no longer does.
    ReadDeferralChanged {
        /// Name of the box that answered it last, if it leaves the read to others.
        to: Option<String>,
        /// Time since a call to the store failed, if none has succeeded since, in milliseconds.
        failed_ms: Option<u64>,
        /// Version of its plan; 0 without one.
        plan_version: u64,
    },
    /// A plan was older than the one in force and was discarded.
    PlanTooOld {
        /// Its version.
        version: u64,
    },
    /// A replica is leaving or was removed.
    BackendLeaving(String),
    /// Try a new connection to the replica at this address.
    ProbePath(ReplicaKey, String),
    /// Requests in flight may have to be moved or ended: paths turned out to be lost, or a feature of
    /// theirs to crash replicas.
    RecheckAttempts,
    /// What the box knows of its paths to replicas changed.
    PathPhaseChanged {
        /// New phase.
        phase: PathPhase,
        /// Length of the former phase, in milliseconds.
        lasted_ms: u64,
        /// Replicas whose connections failed since one last succeeded.
        failed: usize,
    },
    /// A replica is passed over from now on, because connections to it fail.
    ReplicaUnreachable {
        /// Id of the replica.
        replica: String,
        /// Box whose connection failed; `None` for this box.
        reported_by: Option<String>,
    },
    /// The store was restored from an older copy of its data.
    StoreRestored {
        /// New era.
        era: u64,
        /// Previous era.
        former: u64,
    },
    /// The evacuation of an availability zone began or ended.
    EvacuationChanged {
        /// The order.
        order: ZoneOrder,
        /// Position of the operator's records that shows it.
        known_to: TopicPosition,
        /// Requests in flight at replicas of the zone; they continue.
        in_flight: usize,
    },
    /// A broken attempt turned out to be a crash of its replica, or not.
    CrashJudged(CrashJudgement),
    /// A feature of requests was found to crash replicas, or cleared.
    PoisonFound(PoisonFinding),
    /// A request has a feature that crashes replicas.
    PoisonRefused {
        /// The feature.
        feature: RequestFeature,
        /// Client account of the request.
        account: Option<String>,
        /// Number of replicas that it crashed, as far as this box knows.
        crashes: usize,
        /// Number of different requests at these crashes.
        requests: usize,
        /// Time since the last crash, in milliseconds.
        age_ms: Option<u64>,
    },
    /// The replica with this id reported in a response that it is leaving.
    LeavingReported(String),
    /// A replica stated a new rate limit, or withdrew its limit.
    LimitChanged {
        /// Id of the replica.
        replica: String,
        /// Requests a second from all boxes together; `None` without a limit.
        per_s: Option<f64>,
        /// Share of this box, in requests a second.
        own_per_s: f64,
    },
    /// The replicas of a service became brittle, or are no longer.
    BrittleChanged {
        /// The service, by [`super::backend::service_hash`] of its name.
        service: u64,
        /// Rejections in a second that a replica bears; `None` if it is no longer brittle.
        per_s: Option<f64>,
    },
    /// A brittle replica rejected a request of this box, which leaves it alone for a while.
    BrittleRejected {
        /// Name of the service.
        service: String,
        /// For how long, in milliseconds.
        pause_ms: u64,
    },
    /// The learned speed of a replica changed.
    SpeedChanged {
        /// Id of the replica.
        replica: String,
        /// Its service.
        service: String,
        /// How many times longer than usual it takes.
        ratio: f64,
        /// The lowest such ratio among the replicas of the service.
        fastest: f64,
        /// The highest one.
        slowest: f64,
    },
    /// A service is in contention from now on, or no longer.
    ContentionChanged {
        /// Name of the service.
        service: String,
        /// Whether it is in contention.
        contended: bool,
        /// Number of boxes that reported on it within the last seconds, including this one.
        boxes: usize,
    },
    /// Shares of client accounts of a service in contention, about once a second.
    SharesMeasured {
        /// Name of the service.
        service: String,
        /// Demand and capacity.
        summary: ShareSummary,
        /// Accounts with the largest demands at this box.
        heaviest: Vec<AccountUse>,
        /// Whether the level changed considerably since the last report of a change.
        level_changed: bool,
    },
    /// The state of a trial changed.
    TrialStateChanged {
        /// Service.
        service: String,
        /// Version on trial.
        version: String,
        /// New state.
        state: TrialState,
        /// Responses of the version so far.
        runs: f64,
        /// Failures among them.
        bad: f64,
    },
    /// A verdict on a version is due, and rests on this.
    VerdictExplained {
        /// Service.
        service: String,
        /// Version on trial.
        version: String,
        /// State that the verdict gives to the trial.
        state: TrialState,
        /// What it rests on.
        basis: VerdictBasis,
    },
    /// A version does not carry all sessions although it is time for that.
    CarryDelayed {
        /// Service.
        service: String,
        /// Version on trial.
        version: String,
        /// Age of the order, in milliseconds.
        age_ms: u64,
        /// Why.
        delay: CarryDelay,
    },
    /// This box rejected a version on trial, and writes a verdict.
    VersionRejected {
        /// Service.
        service: String,
        /// Version on trial.
        version: String,
        /// Evidence against it.
        finding: TrialFinding,
    },
    /// The share of the sessions that a version on trial receives at this box changed.
    TrialShareChanged {
        /// Service.
        service: String,
        /// Version on trial.
        version: String,
        /// New share, from 0 to 1.
        share: f64,
        /// Age of the order as far as this box knows, in milliseconds.
        age_ms: u64,
        /// Responses of the version so far, from all boxes.
        runs: f64,
        /// Failures among them.
        bad: f64,
    },
    /// The leader role of this box changed.
    LeaderPartChanged(LeaderPart),
    /// Run a step as the leader.
    RunLeaderStep(LeaderOrder),
    /// The target number of replicas changed.
    ReplicasRequested {
        /// Service, zone and kind of the replicas.
        subject: ScaleSubject,
        /// Target number of replicas.
        wanted: u32,
    },
    /// The scale bounds of a service allow no number of replicas, so that none are requested.
    ScaleBoundsInvalid {
        /// Service.
        service: String,
        /// Lower bound in each zone.
        min: u32,
        /// Upper bound.
        max: u32,
    },
    /// Request the usage counts of other boxes.
    RequestUsage(Vec<String>, UsageRequest),
    /// Send this box's usage counts to the leader.
    SendUsage(String, UsageResponse),
    /// The planned stop has begun.
    StopBegun,
    /// Callers are accepted from now on.
    AcceptCallers,
}
