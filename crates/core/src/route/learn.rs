//! What answers teach: the lag of a service, the work of its models, the evidence in a trial.

use super::deeds::LostAnswer;
use super::trial::{TrialState, VersionTrial};
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;

impl RouteState {
    /// Adds an answer that began after `took_ms` to its service's lag, if it is a stream's, and to the
    /// work of its model, if the router chose one.
    pub(super) fn learn_pace(&mut self, ticket: RequestTicket, took_ms: f64) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.route.kind.is_stream() {
            let lag = self.lags.entry(request.service.clone()).or_default();
            lag.add(took_ms, request.route.target_ms);
        }
        if let Some(size) = request.size {
            self.work.entry(request.service.clone()).or_default().add(size, took_ms);
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
        for lost in self.backends.take_lost(replica) {
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
