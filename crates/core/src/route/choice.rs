//! Which replica a request's next attempt would go to: the version of its trial, and what its prompt takes.

use super::event::TrialInputs;
use super::model_latency::ServiceLatency;
use super::pick::{BackendPick, BackendQuery, VersionFilter};
use super::placement::PromptWork;
use super::request::RouteRequest;
use super::trial::{TrialState, VersionTrial};
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::replica::mix;

/// A replica for an attempt, with what a trial of its service had to do with it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptChoice {
    pub(super) pick: BackendPick,
    pub(super) trial: Option<TrialInputs>,
}

impl RouteState {
    /// The replica for a request's next attempt, with the model in row `size`.
    pub(super) fn choose(
        &self,
        stamp: EventStamp,
        ticket: RequestTicket,
        size: Option<usize>,
    ) -> Option<AttemptChoice> {
        let request = self.requests.get(&ticket)?;
        let trial = self.trials.get(&request.service);
        let store_away = self.store_away(stamp.now);
        let share = trial.map_or(0.0, |trial| trial.share(stamp.now, store_away));
        let version = trial.map_or(VersionFilter::Any, |trial| {
            // While it is open which version stays, an answer goes on with the one that began it.
            let open =
                trial.state == TrialState::Running && !trial.is_ejected(stamp.now, store_away);
            let on_trial = if request.relayed && open {
                request.relayed_on_trial
            } else {
                trial.session_draw(request.session, stamp.random) < share
            };
            version_wish(trial, on_trial)
        });
        let ask = BackendQuery {
            service: &request.service,
            version,
            work: self.prompt_work(request, size),
            zone: &self.settings.zone,
            evacuated: &self.evacuated,
            zones: request.zones.as_deref(),
            bounds_cold: self.bounds_cold(&request.service),
            tried: &request.tried,
            random: stamp.random,
            now: stamp.now,
        };
        let wished = self.backends.pick(&ask);
        // A wish that nobody fits gives way, but never to a version that is bad.
        let fallback =
            || self.backends.pick(&BackendQuery { version: fallback_wish(trial), ..ask });
        let pick = wished.or_else(fallback)?;
        let trial = trial.map(|trial| TrialInputs {
            age_ms: trial.age_ms(stamp.now),
            share,
            fell_back: wished.is_none(),
        });
        Some(AttemptChoice { pick, trial })
    }

    /// What reading a request's prompt takes with its model, if it has one.
    pub(super) fn prompt_work(
        &self,
        request: &RouteRequest,
        size: Option<usize>,
    ) -> Option<PromptWork> {
        let prompt = request.prompt?;
        let unknown = ServiceLatency::default();
        let pace = self.latencies.get(&request.service).unwrap_or(&unknown);
        let size = size.unwrap_or(0);
        let shared = if request.affinity == 0 { 0 } else { mix(request.affinity ^ size as u64) };
        Some(PromptWork {
            shared,
            shared_ms: pace.read_ms(size, f64::from(prompt.shared)),
            own_ms: pace.read_ms(size, f64::from(prompt.own)),
            kilobytes: request.body_bytes as f64 / 1_000.0,
        })
    }
}

/// Which versions a new attempt is to go to: the one on trial, or the others.
fn version_wish(trial: &VersionTrial, on_trial: bool) -> VersionFilter<'_> {
    let version = trial.order.version.as_str();
    if on_trial {
        VersionFilter::Only(version)
    } else {
        VersionFilter::Not(version)
    }
}

fn fallback_wish(trial: Option<&VersionTrial>) -> VersionFilter<'_> {
    match trial {
        Some(trial) if trial.finds_bad() => VersionFilter::Not(&trial.order.version),
        _ => VersionFilter::Any,
    }
}
