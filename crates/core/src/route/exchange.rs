//! Requests, responses and attempts as the reducer sees them, as plain data.

use std::fmt;

use super::admission::RequestAdmission;
use super::plan::RouteKind;
use super::scheduling::loads::BackendLoad;
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// A part of a prompt, by its id or a hash of it; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPart(pub u64);

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A caller's request, decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id that the caller assigned.
    pub id: String,
    /// Hash of its session; 0 without one.
    pub session: u64,
    /// Value of the `Host` header.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// API key, if the caller sent one.
    pub key: Option<String>,
    /// The caller's timeout, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Time that it waited at this box before it was read, in milliseconds.
    pub waited_ms: u64,
    /// Hash of the prompt parts that other requests share; 0 without any.
    pub affinity: u64,
    /// Tokens of the prompt.
    pub prompt: PromptSize,
    /// Size of the body in bytes.
    pub body_bytes: usize,
    /// Whether the router chooses the model.
    pub any_model: bool,
    /// Hash of the content, which identifies a caller's retries under other ids; 0 without one.
    pub content: u64,
    /// Parts of the prompt that other requests may share, each once.
    pub parts: Vec<PromptPart>,
    /// How the box received it that forwards it, if a caller did not send it to this one.
    pub forward: Option<ForwardedRequest>,
}

/// A request of another box, which forwards it to this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// What admitted it there.
    pub admission: Box<RequestAdmission>,
    /// How far that box has brought it.
    pub progress: ForwardProgress,
}

/// How far the box has brought a request that forwards it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForwardProgress {
    /// Replicas that it may still be sent to.
    pub attempts: u32,
    /// Whether it may have reached a replica before.
    pub is_repeat: bool,
    /// Rejections by replicas that it met so far.
    pub rejections: u32,
    /// Whether another box counts it for the retry budget.
    pub is_counted: bool,
    /// How the answer began of which the caller has a part.
    pub begun: Option<BegunAnswer>,
}

/// What a box that refuses a forwarded request has spent on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpentAttempts {
    /// Attempts that it handed to replicas.
    pub sends: u32,
    /// Rejections among them that count as no attempts.
    pub rejections: u32,
}

/// What the rest of a partly relayed answer must continue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BegunAnswer {
    /// Row of the model in the route's sizes, if the router chose it.
    pub size: Option<usize>,
    /// Whether the version was on trial.
    pub on_trial: bool,
}

/// Tokens of a prompt; both 0 if the caller does not state them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens in parts that other requests share.
    pub shared: u32,
    /// Tokens in the rest of the prompt.
    pub own: u32,
}

/// Response head of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Load that the replica reports.
    pub load: Option<BackendLoad>,
    /// How long work takes on the replica's machine now, in percent of the usual time, if the
    /// replica shares the machine with other work and says so.
    pub machine_percent: Option<u32>,
    /// Confidence of the model in its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Rate limit of the replica for all boxes together, in requests a second, if it states one.
    pub limit_per_s: Option<f64>,
    /// Backoff that the replica asks of this box when it rejects the request, in milliseconds, if
    /// it states one.
    pub backoff_ms: Option<u64>,
    /// Rejections in a second for want of room that the replica bears, if it says that it is brittle.
    pub brittle_per_s: Option<f64>,
    /// Whether the replica reports that it is leaving.
    pub leaving: bool,
    /// Whether the replica reports that it did not execute the request.
    pub not_run: bool,
    /// Whether another replica now responds at this address.
    pub other_replica: bool,
    /// Whether the response carries the replica's proof.
    pub proven: bool,
    /// How the answer began, if a box responds to which this one forwarded the request.
    pub begun: Option<BegunAnswer>,
    /// What that box has spent, if it refuses the request.
    pub spent: SpentAttempts,
}

impl AnswerHead {
    /// Whether the status is that of a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was established; nothing was written.
    NeverSent,
    /// The connection broke, or the response does not belong to this request.
    Broken,
    /// The replica sent nothing for too long, and another one is tried.
    Silent,
    /// The replica became unusable after it was chosen; nothing was written.
    Withdrawn,
}

/// How an attempt ended that was kept while another place was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormerEnd {
    /// Another place has the request, or the time for which it is kept has passed.
    Replaced,
    /// Its connection broke.
    Broken,
    /// The request has ended.
    Dropped,
}

/// Why a request ends without the response of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No plan is known yet.
    NoPlan,
    /// The plan is too old to accept keys.
    PlanStale,
    /// No route matches the request.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// No replica is usable.
    NoReplica,
    /// All replicas are in availability zones under evacuation.
    Evacuated,
    /// No replica is in a region in which the request may be served.
    NoRegion,
    /// All replicas are in backoff, or their rate limits leave this box no room for the request.
    ReplicasLimited,
    /// Every replica that was tried reported that it is full.
    Full,
    /// No replica is expected to begin the response before the deadline.
    DeadlineTooShort,
    /// The service is in contention, and the client account is over its share.
    OverShare,
    /// The content of the request crashes replicas.
    CrashesReplicas,
    /// Replicas crashed under a prompt part of the request, and it is not known yet whether the part
    /// is to blame.
    SuspectedOfCrashes,
    /// The request may have been executed, and no further attempt is allowed.
    Failed,
    /// The deadline passed.
    DeadlinePassed,
    /// The bodies of other requests take the memory of the box.
    NoMemory,
    /// The box is stopping and could not finish the request before the process is killed.
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
            RefusalReason::OverShare => "over_share",
            RefusalReason::CrashesReplicas => "crashes_replicas",
            RefusalReason::SuspectedOfCrashes => "suspected_of_crashes",
            RefusalReason::Failed => "replica_failed",
            RefusalReason::DeadlinePassed => "time_up",
            RefusalReason::NoMemory => "no_memory",
            RefusalReason::BoxStopping => "box_stopping",
        }
    }
}

/// A refusal. Status 503 guarantees that the request was not executed and will not be; 502 and 504
/// guarantee nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRefusal {
    /// HTTP status.
    pub status: u16,
    /// Reason.
    pub reason: RefusalReason,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// What this box has spent on the request, for the box that forwarded it.
    pub spent: SpentAttempts,
}

/// How a trial of the service affected a routing decision, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrialInputs {
    /// Age of the order as far as the box knows, in milliseconds.
    pub age_ms: u64,
    /// Share of the sessions that the version on trial receives.
    pub share: f64,
    /// Whether no replica of the selected version was usable, so that another version was chosen.
    pub fell_back: bool,
}

/// Inputs of a routing decision, for the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecisionInputs {
    /// Client account, if it is known.
    pub account: Option<String>,
    /// Priority of the request, 0 first, if its route is known.
    pub priority: Option<u8>,
    /// Time in the waiting room, in milliseconds, if the request entered it.
    pub waited_ms: Option<u64>,
    /// Whether its account is over its share, if the service is in contention.
    pub over_share: Option<bool>,
    /// Version of the plan.
    pub plan_version: u64,
    /// Age of the plan, in milliseconds.
    pub plan_age_ms: u64,
    /// Number of replicas that were eligible.
    pub candidates: usize,
    /// Estimated load of the chosen replica.
    pub load: f64,
    /// Whether the replica was chosen because it caches shared parts of the prompt.
    pub affine: bool,
    /// Expected time until the response begins, in milliseconds, if the prompt size is known.
    pub expected_ms: f64,
    /// Expected time in the replica's queue, in milliseconds.
    pub wait_ms: f64,
    /// Expected work of the request itself, in milliseconds.
    pub work_ms: f64,
    /// How many times longer than usual the replica is expected to take, if its speed is learned.
    pub speed: Option<f64>,
    /// The trial of the service, if one is running.
    pub trial: Option<TrialInputs>,
}

/// A request that waits for room at a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitOrder {
    /// When [`super::event::RouteEvent::WaitEnded`] is due.
    pub until: BoxTime,
    /// Time until its deadline, in milliseconds.
    pub left_ms: u64,
    /// Requests that wait for its service, with this one; 0 after a rejection.
    pub waiting: usize,
    /// Rejections by replicas after which it waits.
    pub rejections: u32,
    /// Inputs of the decision.
    pub inputs: DecisionInputs,
}

/// An attempt to send to a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct SendOrder {
    /// Number of the attempt within its request, from 1.
    pub number: u32,
    /// The replica.
    pub replica: ReplicaKey,
    /// Id of the replica.
    pub replica_id: String,
    /// Address of the replica.
    pub address: String,
    /// Software version of the replica.
    pub version: String,
    /// Route name.
    pub route: String,
    /// Whether and how the request may be repeated.
    pub kind: RouteKind,
    /// Model to request, if the router chooses it.
    pub model: Option<String>,
    /// Client account, if keys are required.
    pub account: Option<String>,
    /// Hash of the caller's session; 0 for none.
    pub session: u64,
    /// Hash of the content of the request.
    pub content: u64,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<PromptPart>,
    /// Urgency in the replica's queue, 0 first; `None` if urgency does not apply.
    pub urgency: Option<u8>,
    /// Deadline of the request.
    pub deadline: BoxTime,
    /// Time without a response head after which [`RouteEvent::AttemptStalled`] is due, in
    /// milliseconds.
    pub head_ms: u64,
    /// Time between two events of a stream after which [`RouteEvent::AttemptStalled`] is due, in
    /// milliseconds.
    pub pause_ms: u64,
    /// Time for which the former attempt is kept beside this one, in milliseconds, unless this one is
    /// answered sooner; `None` if there is none.
    pub overlap_ms: Option<u64>,
    /// Inputs of the decision.
    pub inputs: Box<DecisionInputs>,
    /// Set if the request goes to another box, which `replica_id` and `address` name, in place of a
    /// replica.
    pub pass: Option<ForwardPass>,
}

/// What a box hands over with a request that it forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardPass {
    /// Key of the receiving box, which shows that a box of its fleet forwards the request.
    pub key: u64,
    /// The request as this box leaves it.
    pub request: ForwardedRequest,
}
