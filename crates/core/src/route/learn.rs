//! What answers teach: the lag of a service, the work of its models, the evidence in a trial.

use super::trial::TrialState;
use super::RouteState;
use crate::event::RequestTicket;

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

    /// Adds the attempt's answer to its service's trial, if there is one.
    pub(super) fn tally(&mut self, ticket: RequestTicket, bad: bool, took_ms: Option<f64>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let Some(attempt) = &mut request.attempt else { return };
        let Some(trial) = self.trials.get_mut(&request.service) else { return };
        if trial.state != TrialState::Running || attempt.blamed {
            return;
        }
        attempt.blamed = bad;
        let row = trial.own.entry(request.route.name.clone()).or_default();
        let side = if attempt.on_trial { &mut row.fresh } else { &mut row.base };
        side.add(bad, took_ms);
    }
}
