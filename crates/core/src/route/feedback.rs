//! Learns from attempts and answers: queued work of replicas, latency of models and evidence for
//! trials.

use super::backend_health::LostAnswer;
use super::event::{AnswerHead, RouteEffect};
use super::scheduling::loads::BackendLoad;
use super::scheduling::pick::BackendPick;
use super::scheduling::placement::{PlacementUpdate, PLACEMENT_GOSSIP_WORK_MS};
use super::trial::VersionTrial;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;

impl RouteState {
    /// Adds the work of an attempt that is sent to `pick` to the replica's backlog, and announces a
    /// long prompt to other boxes.
    pub(super) fn record_placement(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        pick: &BackendPick,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(work) = self.prompt_work(request, request.size) else { return };
        let work_ms = pick.work_ms;
        let latency = self.latencies.entry(request.service.clone()).or_default();
        latency.sent(work_ms);
        let expected_ms = pick.expected_ms + latency.begin_ms(request.size.unwrap_or(0));
        self.backends.placed(pick.key, &work, work_ms, expected_ms, stamp.now);
        if work_ms >= PLACEMENT_GOSSIP_WORK_MS {
            let Some(row) = self.backends.get(pick.key) else { return };
            let replica = row.id_hash;
            let update = PlacementUpdate { replica, shared: work.shared, work_ms: work_ms as u32 };
            out.push(RouteEffect::SendPlacement(
                self.peers.gossip_targets(&self.settings.zone, stamp.random),
                update,
            ));
        }
    }

    /// Returns the time until the answer to a request begins at a replica of the usual speed with an
    /// idle queue, in milliseconds, or 1 without a prompt.
    pub(super) fn usual_ms(&self, ticket: RequestTicket, pick: &BackendPick) -> f64 {
        let Some(request) = self.requests.get(&ticket) else { return 1.0 };
        let latency = self.latencies.get(&request.service);
        let Some(latency) = latency.filter(|_| request.prompt.is_some()) else { return 1.0 };
        latency.begin_ms(request.size.unwrap_or(0)) + pick.work_ms * (1.0 + pick.load)
    }

    /// Updates a model's latency estimate from the head of an answer, if nothing else was queued.
    pub(super) fn learn_latency(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        head: AnswerHead,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let (Some(attempt), Some(prompt)) = (request.attempt, request.prompt) else { return };
        let was_idle = head.load.is_none_or(|load| load.waiting == 0) && attempt.was_idle;
        if head.not_run || head.other_replica {
            return;
        }
        self.backends.remove_pending(attempt.replica, attempt.began);
        if was_idle && head.status < 300 {
            let shared = if attempt.cached { 0 } else { prompt.shared };
            let tokens = f64::from(prompt.own) + f64::from(shared);
            let took_ms = stamp.now.millis_since(attempt.began) as f64;
            let slowness = self.answer_slowness(request, head);
            let latency = self.latencies.entry(request.service.clone()).or_default();
            latency.learn(request.size.unwrap_or(0), tokens, took_ms / slowness);
        }
    }

    /// Adds the attempt's answer to the trial of its service, if there is one, together with the
    /// replica's earlier lost answers: the replica is alive, so these were not due to a crash.
    pub(super) fn count_answer(&mut self, ticket: RequestTicket, bad: bool, took_ms: f64) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(attempt) = request.attempt else { return };
        let (replica, on_trial) = (attempt.replica, attempt.on_trial);
        let counted_bad = request.counted_bad;
        request.counted_bad |= bad;
        let (service, route) = (request.service.clone(), request.route.name.clone());
        let is_prompt = request.prompt.is_some();
        self.apply_lost_answers(&service, replica);
        if !counted_bad {
            let took_ms = (!bad).then_some(took_ms);
            let counts = |trial: &&mut VersionTrial| trial.counts_attempt(attempt.began);
            if let Some(trial) = self.trials.get_mut(&service).filter(counts) {
                trial.add_response(&route, on_trial, bad, took_ms, is_prompt);
            }
        }
    }

    /// Records the load of the replica that answers, for the trial of its service.
    pub(super) fn record_trial_load(&mut self, ticket: RequestTicket, load: Option<BackendLoad>) {
        let Some((request, load)) = self.requests.get(&ticket).zip(load) else { return };
        let Some(attempt) = request.attempt else { return };
        let counts = |trial: &&mut VersionTrial| trial.counts_attempt(attempt.began);
        let Some(trial) = self.trials.get_mut(&request.service).filter(counts) else { return };
        let row = trial.own.entry(request.route.name.clone()).or_default();
        let side = if attempt.on_trial { &mut row.canary } else { &mut row.baseline };
        side.record_load(f64::from(load.running) / f64::from(load.slots.max(1)));
    }

    /// Records a lost answer. It counts against the version unless the replica is gone.
    pub(super) fn count_lost_answer(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        if self.paths.is_lost() {
            return;
        }
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(attempt) = request.attempt else { return };
        if std::mem::replace(&mut request.counted_bad, true) {
            return;
        }
        let (route, on_trial) = (request.route.name.clone(), attempt.on_trial);
        let lost = LostAnswer { route, on_trial, began: attempt.began, at: stamp.now };
        self.backends.add_lost(attempt.replica, lost);
    }

    /// Counts the lost answers of replicas that still exist and have not answered since.
    pub(super) fn count_silent_replicas(&mut self, stamp: EventStamp) {
        for replica in self.backends.silent_replicas(stamp.now) {
            let Some(row) = self.backends.get(replica) else { continue };
            let service = row.entry.service.clone();
            self.apply_lost_answers(&service, replica);
        }
    }

    /// Adds a replica's lost answers to the trial of its service.
    fn apply_lost_answers(&mut self, service: &str, replica: ReplicaKey) {
        let lost_answers = self.backends.drain_lost(replica);
        let Some(trial) = self.trials.get_mut(service) else { return };
        for lost in lost_answers {
            if trial.counts_attempt(lost.began) {
                trial.add_response(&lost.route, lost.on_trial, true, None, false);
            }
        }
    }
}
