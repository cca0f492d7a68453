//! What operators see: the dump of a box's state, and the decisions that `explain` shows.

use serde::Serialize;

use crate::attempt::RequestRefusal;
use crate::event::RequestTarget;
use crate::freshness::FreshState;
use crate::ids::VersionKey;
use crate::membership::PeerState;
use crate::reason::ReasonCode;
use crate::replica::ReplicaState;
use crate::rollout::RolloutState;
use crate::time::BoxTime;

use super::{BoxCounts, BoxState, RequestState, DECISION_LIMIT};

/// A decision, kept for `explain`.
#[derive(Clone, Debug, Serialize)]
pub struct DecisionRecord {
    /// Request id in hexadecimal.
    pub request: String,
    /// Client account; empty if none was found.
    pub account: String,
    /// What was asked for.
    pub target: String,
    /// Version that answered.
    pub version: Option<String>,
    /// Reasons of the choices, in order.
    pub reasons: Vec<ReasonCode>,
    /// How it ended, if not with a whole answer.
    pub refusal: Option<RequestRefusal>,
    /// Attempts dispatched.
    pub attempts: u32,
    /// Cost over all attempts.
    pub cost: f64,
    /// Sequence of the bundle in force when it ended.
    pub bundle: u64,
}

impl DecisionRecord {
    pub(super) fn refused(id: u128, target: &RequestTarget, refusal: &RequestRefusal) -> Self {
        Self {
            request: format!("{id:032x}"),
            account: String::new(),
            target: target_name(target).to_owned(),
            version: None,
            reasons: Vec::new(),
            refusal: Some(refusal.clone()),
            attempts: 0,
            cost: 0.0,
            bundle: 0,
        }
    }
}

fn target_name(target: &RequestTarget) -> &str {
    match target {
        RequestTarget::Model { name, .. } | RequestTarget::Service { name, .. } => name,
    }
}

/// The state of a box, without keys and prompts.
#[derive(Clone, Debug, Serialize)]
pub struct StateDump {
    /// Box name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Incarnation in hexadecimal.
    pub incarnation: String,
    /// Sequence in force; 0 for none.
    pub sequence: u64,
    /// Digest in force.
    pub digest: Option<String>,
    /// Whether the fold can tell winners from losers.
    pub anchored: bool,
    /// What the box may rely on.
    pub fresh: FreshState,
    /// Age of what it knows of the log, in milliseconds.
    pub log_age_ms: Option<u64>,
    /// Whether a planned stop was asked.
    pub stopping: bool,
    /// Other boxes and itself.
    pub boxes: Vec<PeerState>,
    /// Replicas.
    pub replicas: Vec<ReplicaState>,
    /// Versions that each replica has loaded, by replica name.
    pub loaded: Vec<(String, Vec<String>)>,
    /// Roll-outs by version.
    pub rollouts: Vec<(String, RolloutState)>,
    /// Learned quality: model, class, good, bad.
    pub quality: Vec<(String, u8, f64, f64)>,
    /// Requests in hand.
    pub requests: usize,
    /// Requests waiting for a replica.
    pub queued: usize,
    /// Claims known.
    pub claims: usize,
    /// Bills not yet in the log.
    pub bills_owned: usize,
    /// Bills held for other boxes.
    pub bills_held: usize,
    /// Answers released with too few witnesses.
    pub bills_unwitnessed: u64,
    /// Records waiting for the log, by stream.
    pub appends: Vec<(&'static str, usize)>,
    /// Counters.
    pub counts: BoxCounts,
}

impl BoxState {
    pub(super) fn describe(
        &self,
        request: &RequestState,
        refusal: Option<&RequestRefusal>,
        version: Option<VersionKey>,
    ) -> DecisionRecord {
        DecisionRecord {
            request: format!("{:032x}", request.id),
            account: self.names.accounts.name(request.account).to_owned(),
            target: target_name(&request.target).to_owned(),
            version: version.map(|version| self.names.versions.name(version).to_owned()),
            reasons: request.reasons.clone(),
            refusal: refusal.cloned(),
            attempts: request.attempts,
            cost: request.cost,
            bundle: self.fold.sequence(),
        }
    }

    pub(super) fn record_decision(&mut self, decision: DecisionRecord) {
        if self.decisions.len() >= DECISION_LIMIT {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// The decision on a request, while it is kept.
    pub fn decision(&self, request: &str) -> Option<&DecisionRecord> {
        self.decisions.iter().rev().find(|decision| decision.request == request)
    }

    /// Describes the state.
    pub fn dump(&self, now: BoxTime) -> StateDump {
        let age = self.fresh.age_ms(now);
        let version_names = |row: &ReplicaState| {
            row.versions.iter().map(|key| self.names.versions.name(*key).to_owned()).collect()
        };
        StateDump {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            incarnation: format!("{:016x}", self.settings.incarnation),
            sequence: self.fold.sequence(),
            digest: self.fold.in_force().map(|bundle| bundle.digest.clone()),
            anchored: self.fold.anchored(),
            fresh: self.fresh_state(now),
            log_age_ms: (age != u64::MAX).then_some(age),
            stopping: self.stopping_since.is_some(),
            boxes: self.members.rows().cloned().collect(),
            replicas: self.replicas.rows().map(|(_, row)| row.clone()).collect(),
            loaded: self
                .replicas
                .rows()
                .map(|(_, row)| (row.listed.name.clone(), version_names(row)))
                .collect(),
            rollouts: self.rollouts.iter().map(|(n, s)| (n.clone(), s.clone())).collect(),
            quality: self
                .quality
                .rows()
                .into_iter()
                .map(|(model, class, count)| (model, class, count.good, count.bad))
                .collect(),
            requests: self.requests.len(),
            queued: self.queues.values().map(|queue| queue.len()).sum(),
            claims: self.claims.len(),
            bills_owned: self.ledger.owned_len(),
            bills_held: self.ledger.held_len(),
            bills_unwitnessed: self.ledger.unwitnessed,
            appends: self.appends.iter().map(|(s, queue)| (s.name(), queue.len())).collect(),
            counts: self.counts,
        }
    }
}
