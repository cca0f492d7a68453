//! Choice of model, version and replica. Each attempt is checked against the bundle in force when
//! it is placed, so a retry, an escalation and a resumed stream are checked again.

use crate::attempt::{Attempt, Queued, Ready};
use crate::bundle::VersionState;
use crate::effect::{AttemptOrder, BoxEffect};
use crate::event::{EventStamp, RequestTarget};
use crate::fair_queue::QueueRefusal;
use crate::freshness::FreshState;
use crate::ids::{AccountKey, RequestKey, VersionKey};
use crate::reason::ReasonCode;
use crate::replica::{PickMethod, PickOutcome, PickQuery};
use crate::session::SessionClaims;
use crate::time::BoxTime;

use super::{next_random, BoxState, QueueName, RequestStage};

/// Maximum time from the pick of a replica to the start of the write, in milliseconds.
const SEND_TIMEOUT_MS: u64 = 1_000;

/// A version with the reason of its choice, or the reason why there is none.
type VersionChoice = Result<(VersionKey, ReasonCode), ReasonCode>;

impl BoxState {
    /// Places a waiting request: assigns a replica, queues the request or refuses it. Returns false
    /// if the request came from its queue and must continue to wait there.
    pub(super) fn place(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        from_queue: bool,
        out: &mut Vec<BoxEffect>,
    ) -> bool {
        let Some(request) = self.requests.get(key) else { return true };
        let RequestStage::Waiting(attempt) = request.stage else { return true };
        if let Err(reason) = self.choose_version(stamp, key) {
            let refusal = attempt.refuse(reason);
            self.end_refused(key, refusal, out);
            return true;
        }
        match self.pick_replica(stamp, key) {
            PickOutcome::Picked(replica, method) => {
                self.assign(stamp, key, attempt, replica, method, out);
                true
            }
            PickOutcome::NoReplica => {
                let refusal = attempt.refuse(ReasonCode::NoReplica).retry_after(1_000);
                self.end_refused(key, refusal, out);
                true
            }
            PickOutcome::Full if from_queue => false,
            PickOutcome::Full => {
                self.enqueue(stamp, key, attempt, out);
                true
            }
        }
    }

    /// Chooses a version for the request, or checks that it may still use the one it has.
    fn choose_version(&mut self, stamp: EventStamp, key: RequestKey) -> Result<(), ReasonCode> {
        let request = &self.requests[key];
        let RequestTarget::Model { name, .. } = &request.target else { return Ok(()) };
        let account = request.account;
        if let Some(version) = request.version {
            return self.check_version(account, version, true);
        }
        let spec = &self.index.spec;
        let choice = if spec.versions.contains_key(name) {
            self.exact_version(account, name)
        } else {
            let model = match spec.cascades.get(name) {
                Some(cascade) => cascade.rungs.get(request.rung),
                None => Some(name),
            };
            let model = model.cloned().ok_or(ReasonCode::UnknownTarget)?;
            self.model_version(stamp, key, &model)
        };
        let (version, reason) = choice?;
        let model = self.model_of(version).to_owned();
        let name = self.names.versions.name(version).to_owned();
        let request = &mut self.requests[key];
        request.version = Some(version);
        request.reasons.push(reason);
        if request.pins.get(&model) != Some(&name) {
            request.pins.insert(model, name);
            request.pins_changed = true;
        }
        Ok(())
    }

    fn exact_version(&self, account: AccountKey, name: &str) -> VersionChoice {
        let version = self.names.versions.find(name).ok_or(ReasonCode::UnknownTarget)?;
        self.check_version(account, version, false)?;
        Ok((version, ReasonCode::ExactVersion))
    }

    fn model_version(&mut self, stamp: EventStamp, key: RequestKey, model: &str) -> VersionChoice {
        let request = &self.requests[key];
        let account = request.account;
        if let Some(pinned) = request.pins.get(model) {
            let version = self.names.versions.find(pinned).ok_or(ReasonCode::Withdrawn)?;
            self.check_version(account, version, true)?;
            self.count_exposed(version);
            return Ok((version, ReasonCode::SessionVersion));
        }
        if let Some(version) = self.rollout_version(model, account, next_random(stamp.random ^ 1)) {
            self.count_exposed(version);
            return Ok((version, ReasonCode::RolloutShare));
        }
        let spec = self.index.spec.models.get(model).ok_or(ReasonCode::UnknownTarget)?;
        let version = self.names.versions.find(&spec.version).ok_or(ReasonCode::UnknownTarget)?;
        self.check_version(account, version, false)?;
        Ok((version, ReasonCode::DefaultVersion))
    }

    /// Checks whether `account` may use `version` now. A session may continue on a draining
    /// version.
    pub(super) fn check_version(
        &self,
        account: AccountKey,
        version: VersionKey,
        in_session: bool,
    ) -> Result<(), ReasonCode> {
        if !self.index.allows(account, version) {
            // A version that the bundle does not name counts as withdrawn.
            let named = self.index.spec.versions.contains_key(self.names.versions.name(version));
            return Err(if named { ReasonCode::NotAllowed } else { ReasonCode::Withdrawn });
        }
        match self.index.version_state(version) {
            VersionState::Withdrawn => Err(ReasonCode::Withdrawn),
            VersionState::Draining if !in_session => Err(ReasonCode::SessionDrained),
            _ => Ok(()),
        }
    }

    /// Model of a version in the bundle in force; empty if the bundle does not name the version.
    pub(super) fn model_of(&self, version: VersionKey) -> &str {
        let name = self.names.versions.name(version);
        self.index.spec.versions.get(name).map_or("", |row| &row.model)
    }

    fn pick_replica(&self, stamp: EventStamp, key: RequestKey) -> PickOutcome {
        let request = &self.requests[key];
        let (keys, prefix) = match (&request.target, request.version) {
            (RequestTarget::Model { prefix, .. }, Some(version)) => {
                (self.replicas.subset(version), *prefix)
            }
            (RequestTarget::Service { name, .. }, _) => (self.replicas.service_subset(name), 0),
            _ => return PickOutcome::NoReplica,
        };
        let random = next_random(stamp.random ^ 2);
        self.replicas.pick(keys, PickQuery { prefix, random, now: stamp.now, avoid: request.avoid })
    }

    fn assign(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        attempt: Attempt<Queued>,
        replica: crate::ids::ReplicaKey,
        method: PickMethod,
        out: &mut Vec<BoxEffect>,
    ) {
        self.replicas.record_assigned(replica, stamp.now);
        let send_before = self.send_before(stamp.now);
        let session_token = self.session_token(stamp, key);
        let request = &mut self.requests[key];
        request.pins_changed = false;
        match method {
            PickMethod::Affinity => request.reasons.push(ReasonCode::PrefixAffinity),
            PickMethod::TwoChoices => request.reasons.push(ReasonCode::TwoChoices),
            PickMethod::AllEjected => request.reasons.push(ReasonCode::NoHealthy),
        }
        let version = request.version;
        request.stage = RequestStage::Ready(attempt.assign(Ready {
            replica,
            version,
            send_before,
            at: stamp.now,
        }));
        let row = self.replicas.get(replica);
        let order = AttemptOrder {
            number: attempt.number,
            replica: row.map_or(String::new(), |row| row.listed.name.clone()),
            address: row.map_or(String::new(), |row| row.listed.address.clone()),
            version: version.map_or(String::new(), |v| self.names.versions.name(v).to_owned()),
            buffered: request.gated,
            resume_from: request.delivered,
            send_before,
            session_token,
        };
        out.push(BoxEffect::PrepareAttempt(request.ticket, key, order));
    }

    /// Time before which the write must begin: within [`SEND_TIMEOUT_MS`], and before the freshness
    /// lease expires while the box is fresh.
    fn send_before(&self, now: BoxTime) -> BoxTime {
        let latest = now.plus_millis(SEND_TIMEOUT_MS);
        match (self.fresh_state(now), self.fresh.expires_at()) {
            (FreshState::Fresh, Some(expires_at)) => latest.min(expires_at),
            _ => latest,
        }
    }

    fn session_token(&self, stamp: EventStamp, key: RequestKey) -> Option<String> {
        let request = &self.requests[key];
        if !request.pins_changed {
            return None;
        }
        let claims = SessionClaims {
            session: next_random(stamp.random ^ 3),
            account: self.names.accounts.name(request.account).to_owned(),
            pins: request.pins.clone(),
        };
        self.settings.token_keys.sign(&claims)
    }

    fn enqueue(
        &mut self,
        stamp: EventStamp,
        key: RequestKey,
        attempt: Attempt<Queued>,
        out: &mut Vec<BoxEffect>,
    ) {
        let request = &mut self.requests[key];
        let (account, deadline) = (request.account, request.deadline);
        let name = match (&request.target, request.version) {
            (RequestTarget::Service { name, .. }, _) => QueueName::Service(name.clone()),
            (RequestTarget::Model { .. }, Some(version)) => QueueName::Version(version),
            (RequestTarget::Model { .. }, None) => return,
        };
        request.reasons.push(ReasonCode::Queued);
        let weight = self.weight(account);
        let queue = self.queues.entry(name).or_default();
        if let Err(refusal) = queue.push(account, weight, key, deadline, stamp.now) {
            let retry_ms = Self::queue_retry_ms(Some(queue), next_random(stamp.random ^ 4));
            let reason = match refusal {
                QueueRefusal::Full => ReasonCode::QueueFull,
                QueueRefusal::Late => ReasonCode::QueueLate,
            };
            self.end_refused(key, attempt.refuse(reason).retry_after(retry_ms), out);
        }
    }

    /// Places waiting requests while replicas have room, and refuses those past their deadline.
    pub(super) fn drain_queues(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        let names: Vec<QueueName> =
            self.queues.iter().filter(|(_, q)| !q.is_empty()).map(|(n, _)| n.clone()).collect();
        for name in names {
            self.drain_queue(stamp, &name, out);
        }
    }

    /// Places the waiting requests of one queue, and refuses those past their deadline.
    pub(super) fn drain_queue(
        &mut self,
        stamp: EventStamp,
        name: &QueueName,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(mut queue) = self.queues.remove(name) else { return };
        for (count, key) in queue.expire(stamp.now).into_iter().enumerate() {
            let random = next_random(stamp.random ^ (count as u64 + 5));
            let retry_ms = Self::queue_retry_ms(Some(&queue), random);
            self.refuse_waiting(key, ReasonCode::QueueLate, retry_ms, out);
        }
        let mut random = stamp.random;
        while self.queue_has_room(name, stamp) {
            let Some(key) = queue.pop(stamp.now) else { break };
            random = next_random(random);
            if !self.place(EventStamp { random, ..stamp }, key, true, out) {
                self.requeue(stamp, &mut queue, key);
                break;
            }
        }
        self.queues.insert(name.clone(), queue);
    }

    fn queue_has_room(&self, name: &QueueName, stamp: EventStamp) -> bool {
        let keys = match name {
            QueueName::Version(version) => self.replicas.subset(*version),
            QueueName::Service(service) => self.replicas.service_subset(service),
        };
        let query = PickQuery { prefix: 0, random: stamp.random, now: stamp.now, avoid: None };
        // If there is no replica, waiting requests are placed too, which refuses them at once.
        !matches!(self.replicas.pick(keys, query), PickOutcome::Full)
    }

    fn requeue(
        &mut self,
        stamp: EventStamp,
        queue: &mut crate::fair_queue::FairQueue,
        key: RequestKey,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let (account, deadline) = (request.account, request.deadline);
        // The only replica with room is one that this request must avoid. The request keeps waiting
        // at the head of its account's queue, until its deadline at the latest.
        queue.requeue(account, key, deadline, stamp.now);
    }

    fn refuse_waiting(
        &mut self,
        key: RequestKey,
        reason: ReasonCode,
        retry_ms: u64,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        if let RequestStage::Waiting(attempt) = request.stage {
            self.end_refused(key, attempt.refuse(reason).retry_after(retry_ms), out);
        }
    }
}
