//! A request in flight and its current attempt: plain data that the decisions share.

use super::admission::{RequestAdmission, RouteTerms};
use super::backend_health::BackendOutcome;
use super::event::{
    AnswerHead, BegunAnswer, ForwardProgress, PromptPart, PromptSize, SpentAttempts,
};
use super::former::FormerAttempt;
use super::model_cascade::ModelConfidence;
use super::poison::RequestFeature;
use super::run_record::{AttemptPermit, RunRecord};
use super::scheduling::waiting_room::{aged_priority, WaitingKey};
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// A request in flight.
#[derive(Clone, Debug)]
pub(super) struct RouteRequest {
    /// Version of the plan that admitted it, here or at the box that forwarded it.
    pub(super) plan_version: u64,
    pub(super) route: RouteTerms,
    pub(super) service: String,
    pub(super) account: Option<String>,
    /// Priority of its account, or else of its route; 0 is the most urgent.
    pub(super) priority: u8,
    /// API key with which it was admitted.
    pub(super) key: Option<String>,
    /// Whether it may wait only while its key is valid.
    pub(super) needs_key: bool,
    /// Availability zones that may serve it; `None` for all.
    pub(super) zones: Option<Vec<String>>,
    pub(super) affinity: u64,
    /// Tokens of its prompt, if it has one.
    pub(super) prompt: Option<PromptSize>,
    pub(super) body_bytes: usize,
    pub(super) session: u64,
    /// Hash of its content; 0 for none.
    pub(super) content: u64,
    /// Parts of its prompt that other requests may share.
    pub(super) parts: Vec<PromptPart>,
    /// What it may have in common with requests that crash replicas.
    pub(super) features: Vec<RequestFeature>,
    /// Hash of its id.
    pub(super) id_hash: u64,
    /// Row in `route.sizes` of the model that answers, if the router chooses it.
    pub(super) size: Option<usize>,
    /// Confidence of the last model in its answer, whether that was kept or dropped.
    pub(super) confidence: Option<ModelConfidence>,
    pub(super) arrived: BoxTime,
    pub(super) deadline: BoxTime,
    pub(super) tried: Vec<ReplicaKey>,
    pub(super) sends: u32,
    pub(super) connect_failures: u32,
    /// Attempts of this box at replicas that broke after they were written.
    pub(super) breaks: u32,
    /// Attempts that a replica rejected without running it and that do not count as such.
    pub(super) rejections: u32,
    /// When it is sent again after a rejection, if it waits for that.
    pub(super) pauses_until: Option<BoxTime>,
    /// Whether its usage was counted, which happens once, when a replica is known to have run it.
    pub(super) counted: bool,
    /// Whether any replica may have begun to run it.
    pub(super) runs: RunRecord,
    /// Whether a bad answer was counted for the trial of its service. What fails one replica often
    /// fails the next one too, so later attempts show nothing.
    pub(super) counted_bad: bool,
    /// Whether the caller has received a response head.
    pub(super) relayed: bool,
    /// Whether that response began on a version on trial.
    pub(super) relayed_on_trial: bool,
    /// Whether the answer that is relayed is a success of a replica that this box chose.
    pub(super) succeeds: bool,
    /// Whether several replicas wrote it, one after the other.
    pub(super) was_resumed: bool,
    /// Outcome for the replica whose answer was relayed.
    pub(super) outcome: BackendOutcome,
    pub(super) attempt: Option<RunningAttempt>,
    /// The attempt before it, which is kept until another place has taken the request.
    pub(super) former: Option<FormerAttempt>,
    /// Its place in the waiting room, while it waits.
    pub(super) waiting: Option<WaitingKey>,
    /// When it entered the waiting room.
    pub(super) entered_room: Option<BoxTime>,
    /// When it left the waiting room.
    pub(super) left_room: Option<BoxTime>,
    /// How far the forwarding box has brought it, if another box forwarded it to this one.
    pub(super) received: Option<ForwardProgress>,
    /// Boxes to which it was forwarded.
    pub(super) forward_tried: Vec<String>,
    /// The box that has it now.
    pub(super) forward: Option<RunningForward>,
    /// Work that it asks for, in milliseconds, if it counts as demand of its account and no replica
    /// has begun it.
    pub(super) work: Option<f64>,
    /// Retry time if it is refused, in milliseconds, where it is known.
    pub(super) retry_after_ms: Option<u64>,
}

impl RouteRequest {
    /// Returns whether its attempts, its deadline and what may have run allow another attempt.
    pub(super) fn may_be_sent(&self, now: BoxTime) -> bool {
        self.attempts_used() < self.route.attempts && now < self.deadline && self.permit().is_some()
    }

    /// Grants another attempt, unless one may have run and its route allows only one run.
    pub(super) fn permit(&self) -> Option<AttemptPermit> {
        self.runs.permit(self.route.kind.repeatable())
    }

    /// Returns the attempts that count against the limit of its route.
    pub(super) fn attempts_used(&self) -> u32 {
        self.sends.saturating_sub(self.rejections)
    }

    /// Returns what this box has spent on it.
    pub(super) fn spent(&self) -> SpentAttempts {
        let before = self.received.unwrap_or_default();
        SpentAttempts {
            sends: self.sends.saturating_sub(u32::from(before.is_repeat) + before.rejections),
            rejections: self.rejections.saturating_sub(before.rejections),
        }
    }

    /// Returns its priority, which falls while it waits.
    pub(super) fn priority_at(&self, now: BoxTime) -> u8 {
        if self.entered_room.is_none() {
            return self.priority;
        }
        let until = self.left_room.unwrap_or(now);
        let waited_ms = until.millis_since(self.arrived);
        let aged = aged_priority(self.priority, self.route.target_ms, waited_ms);
        u8::try_from(aged).unwrap_or(0)
    }

    /// Returns what admitted it, for a box that takes it up.
    pub(super) fn admission(&self) -> RequestAdmission {
        RequestAdmission {
            plan_version: self.plan_version,
            route: self.route.clone(),
            service: self.service.clone(),
            account: self.account.clone(),
            priority: self.priority,
            zones: self.zones.clone(),
        }
    }

    /// Returns whether an attempt was made.
    pub(super) fn was_tried(&self) -> bool {
        self.connect_failures > 0 || self.sends > 0
    }

    /// Returns how the answer began of which the caller has a part, here or at the box that forwarded
    /// the request.
    pub(super) fn begun(&self) -> Option<BegunAnswer> {
        if self.relayed {
            return Some(BegunAnswer { size: self.size, on_trial: self.relayed_on_trial });
        }
        self.received.and_then(|received| received.begun)
    }

    /// Notes that another version is on trial now: the one that began its answer is not.
    pub(super) fn leave_trial(&mut self) {
        self.relayed_on_trial = false;
        if let Some(begun) = self.received.as_mut().and_then(|received| received.begun.as_mut()) {
            begun.on_trial = false;
        }
    }
}

/// A current attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningAttempt {
    pub(super) replica: ReplicaKey,
    pub(super) began: BoxTime,
    /// Whether it runs on a version on trial.
    pub(super) on_trial: bool,
    /// Row of its model in the route's sizes, if the router chose it.
    pub(super) size: Option<usize>,
    /// Head of its answer, unless the replica failed it.
    pub(super) answer: Option<AnswerHead>,
    /// When its answer began that is relayed.
    pub(super) answers_since: Option<BoxTime>,
    /// Pauses since anything last arrived.
    pub(super) pauses: u32,
    /// Whether the replica was assumed to have the prompt's prefix cached.
    pub(super) cached: bool,
    /// Whether no queued work was known there.
    pub(super) was_idle: bool,
    /// Expected time until the answer begins, in milliseconds.
    pub(super) expected_ms: u64,
    /// Time until the answer begins at a replica of the usual speed with an idle queue, in
    /// milliseconds; 1 without a prompt.
    pub(super) usual_ms: f64,
}

/// A request at the box to which it was forwarded.
#[derive(Clone, Debug)]
pub(super) struct RunningForward {
    /// Name of the box.
    pub(super) peer: String,
    /// Attempts that this box kept for itself.
    pub(super) reserved: u32,
}
