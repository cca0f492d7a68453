//! Operator views: the dump of a box's state, and the decisions that `explain` shows.

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
    /// Name of the requested model, version, cascade or service.
    pub target: String,
    /// Version that answered.
    pub version: Option<String>,
    /// Reasons of the choices, in order.
    pub reasons: Vec<ReasonCode>,
    /// Refusal, if the request ended without a complete answer.
    pub refusal: Option<RequestRefusal>,
    /// Attempts dispatched.
    pub attempts: u32,
    /// Cost over all attempts.
    pub cost: f64,
    /// Sequence of the bundle in force when it ended.
    pub bundle: u64,
}

impl DecisionRecord {
    pub(super) fn refused(id: u128, target: &str, refusal: &RequestRefusal) -> Self {
        Self {
            request: format!("{id:032x}"),
            account: String::new(),
            target: target.to_owned(),
            version: None,
            reasons: Vec::new(),
            refusal: Some(refusal.clone()),
            attempts: 0,
            cost: 0.0,
            bundle: 0,
        }
    }
}

pub(super) fn target_name(target: &RequestTarget) -> &str {
    match target {
        RequestTarget::Model { name, .. } | RequestTarget::Service { name, .. } => name,
    }
}

/// State of a box, without keys and prompts.
#[derive(Clone, Debug, Serialize)]
pub struct StateDump {
    /// Box name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Incarnation in hexadecimal.
    pub incarnation: String,
    /// Sequence of the bundle in force; 0 for none.
    pub sequence: u64,
    /// Digest of the bundle in force.
    pub digest: Option<String>,
    /// Whether the fold of the bundles stream is anchored, see [`crate::fold`].
    pub anchored: bool,
    /// Freshness of the bundle.
    pub fresh: FreshState,
    /// Age of the box's information on the log, in milliseconds; `None` if it has none.
    pub log_age_ms: Option<u64>,
    /// Whether a planned stop was requested.
    pub stopping: bool,
    /// Listed boxes, including this one.
    pub boxes: Vec<PeerState>,
    /// Replicas.
    pub replicas: Vec<ReplicaState>,
    /// Versions that each replica has loaded, by replica name.
    pub loaded: Vec<(String, Vec<String>)>,
    /// Rollouts by version.
    pub rollouts: Vec<(String, RolloutState)>,
    /// Ratings as model, class, number of good answers and number of bad answers.
    pub quality: Vec<(String, u8, f64, f64)>,
    /// Number of unfinished requests.
    pub requests: usize,
    /// Number of requests that wait for a replica.
    pub queued: usize,
    /// Number of live claims.
    pub claims: usize,
    /// Number of bills of this box that are not yet in the log.
    pub bills_owned: usize,
    /// Number of bills held for other boxes.
    pub bills_held: usize,
    /// Number of answers released with too few witnesses.
    pub bills_unwitnessed: u64,
    /// Number of records that wait for the log, by stream.
    pub appends: Vec<(&'static str, usize)>,
    /// Counters since the box started.
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

    /// Returns the decision on a request by its hexadecimal id, while it is kept.
    pub fn decision(&self, request: &str) -> Option<&DecisionRecord> {
        self.decisions.iter().rev().find(|decision| decision.request == request)
    }

    /// Returns a description of the state.
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
