//! A request in hand and its attempt under way: plain data that the decisions on them share.

use super::backend_health::BackendOutcome;
use super::event::PromptSize;
use super::model_cascade::ModelConfidence;
use super::plan::RouteSpec;
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// A request in hand.
#[derive(Clone, Debug)]
pub(super) struct RouteRequest {
    pub(super) route: RouteSpec,
    pub(super) service: String,
    pub(super) account: Option<String>,
    /// Availability zones in which it may be served; `None` for all.
    pub(super) zones: Option<Vec<String>>,
    pub(super) affinity: u64,
    /// Tokens of its prompt, if it has one.
    pub(super) prompt: Option<PromptSize>,
    pub(super) body_bytes: usize,
    pub(super) session: u64,
    /// Hash of what it asks for; 0 for none.
    pub(super) content: u64,
    /// Hash of its id.
    pub(super) id_hash: u64,
    /// Row of `route.sizes` that answers, where the router chooses.
    pub(super) size: Option<usize>,
    /// What its model thought of the last answer that was dropped or kept.
    pub(super) confidence: Option<ModelConfidence>,
    pub(super) arrived: BoxTime,
    pub(super) deadline: BoxTime,
    pub(super) tried: Vec<ReplicaKey>,
    pub(super) sends: u32,
    pub(super) connect_failures: u32,
    /// Whether a replica is known to have begun to work on it.
    pub(super) counted: bool,
    /// Whether any replica may have begun to work on it.
    pub(super) may_have_run: bool,
    /// Whether the caller has the head of an answer.
    pub(super) relayed: bool,
    /// Whether that answer began on a version on trial.
    pub(super) relayed_on_trial: bool,
    /// How well the replica whose answer was relayed did.
    pub(super) outcome: BackendOutcome,
    pub(super) attempt: Option<RunningAttempt>,
    /// When it is to come back if it is turned away, in milliseconds, where that is known.
    pub(super) retry_after_ms: Option<u64>,
}

impl RouteRequest {
    /// Whether its attempts and its time allow another send.
    pub(super) fn may_be_sent(&self, now: BoxTime) -> bool {
        self.sends < self.route.attempts && now < self.deadline
    }
}

/// An attempt under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningAttempt {
    pub(super) replica: ReplicaKey,
    pub(super) began: BoxTime,
    /// Whether it runs on a version on trial.
    pub(super) on_trial: bool,
    /// Pauses so far.
    pub(super) pauses: u32,
    /// Whether it was held against its version: that happens once, however often it fails.
    pub(super) counted_bad: bool,
    /// Whether the replica was taken to hold the prompt's shared parts.
    pub(super) cached: bool,
    /// Whether nothing was known to wait there.
    pub(super) was_idle: bool,
}
