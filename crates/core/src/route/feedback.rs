//! What sends and answers teach: work that waits at replicas, the pace of models, the evidence in a trial.

use super::backend_health::LostAnswer;
use super::event::{AnswerHead, RouteEffect};
use super::pick::BackendPick;
use super::placement::{PlacementUpdate, PLACEMENT_GOSSIP_WORK_MS};
use super::trial::{TrialState, VersionTrial};
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;

impl RouteState {
    /// Notes what an attempt that is sent to `pick` adds to the replica's work.
    pub(super) fn place(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        pick: &BackendPick,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(work) = self.prompt_work(request, request.size) else { return };
        let work_ms = pick.work_ms;
        let pace = self.latencies.entry(request.service.clone()).or_default();
        pace.sent(work_ms);
        let expected_ms = pick.expected_ms + pace.begin_ms(request.size.unwrap_or(0));
        self.backends.placed(pick.key, &work, work_ms, expected_ms, stamp.now);
        if work_ms >= PLACEMENT_GOSSIP_WORK_MS {
            let Some(row) = self.backends.get(pick.key) else { return };
            let replica = row.id_hash;
            let note = PlacementUpdate { replica, shared: work.shared, work_ms: work_ms as u32 };
            out.push(RouteEffect::SendPlacement(
                self.peers.gossip_targets(&self.settings.zone, stamp.random),
                note,
            ));
        }
    }

    /// Learns from the head of an answer, where nothing else waited, how fast its model reads.
    pub(super) fn learn_placement(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        head: AnswerHead,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let (Some(attempt), Some(prompt)) = (request.attempt, request.prompt) else { return };
        let quiet = head.load.is_none_or(|load| load.waiting == 0) && attempt.quiet;
        if head.not_run || head.other_replica {
            return;
        }
        self.backends.left(attempt.replica, attempt.began);
        if quiet && head.status < 300 {
            let shared = if attempt.held { 0 } else { prompt.shared };
            let tokens = f64::from(prompt.own) + f64::from(shared);
            let took_ms = stamp.now.millis_since(attempt.began) as f64;
            let pace = self.latencies.entry(request.service.clone()).or_default();
            pace.learn(request.size.unwrap_or(0), tokens, took_ms);
        }
    }

    /// Adds the attempt's answer to its service's trial, if there is one, and with it what the replica left
    /// out before: it lives, so that was not for a crash.
    pub(super) fn tally(&mut self, ticket: RequestTicket, bad: bool, took_ms: f64) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(attempt) = &mut request.attempt else { return };
        let (replica, on_trial, blamed) = (attempt.replica, attempt.on_trial, attempt.blamed);
        attempt.blamed |= bad;
        let (service, route) = (request.service.clone(), request.route.name.clone());
        self.hold_to_account(&service, replica);
        if !blamed {
            self.add_answer(&service, &route, on_trial, bad, (!bad).then_some(took_ms));
        }
    }

    /// Notes that the attempt's replica left its answer out: it is held against the version unless the
    /// replica is lost.
    pub(super) fn tally_lost(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(attempt) = &mut request.attempt else { return };
        if std::mem::replace(&mut attempt.blamed, true) {
            return;
        }
        let (route, on_trial) = (request.route.name.clone(), attempt.on_trial);
        self.backends.note_lost(attempt.replica, LostAnswer { route, on_trial, at: stamp.now });
    }

    /// Counts what replicas left out that are still there and have not answered since.
    pub(super) fn tally_silent(&mut self, stamp: EventStamp) {
        for replica in self.backends.silent_since(stamp.now) {
            let Some(row) = self.backends.get(replica) else { continue };
            let service = row.entry.service.clone();
            self.hold_to_account(&service, replica);
        }
    }

    fn hold_to_account(&mut self, service: &str, replica: ReplicaKey) {
        for lost in self.backends.drain_lost(replica) {
            self.add_answer(service, &lost.route, lost.on_trial, true, None);
        }
    }

    fn add_answer(
        &mut self,
        service: &str,
        route: &str,
        on_trial: bool,
        bad: bool,
        took_ms: Option<f64>,
    ) {
        let running = |trial: &&mut VersionTrial| trial.state == TrialState::Running;
        let Some(trial) = self.trials.get_mut(service).filter(running) else { return };
        let row = trial.own.entry(route.to_owned()).or_default();
        let side = if on_trial { &mut row.fresh } else { &mut row.base };
        side.add(bad, took_ms);
    }
}
