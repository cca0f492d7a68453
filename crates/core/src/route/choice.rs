//! Chooses the replica of a request's next attempt, by the version that its trial assigns and the
//! work of its prompt.

use super::event::TrialInputs;
use super::model_latency::ServiceLatency;
use super::request::RouteRequest;
use super::scheduling::pick::{BackendPick, BackendQuery, VersionFilter};
use super::scheduling::placement::PromptWork;
use super::trial::{TrialState, VersionTrial};
use super::trial_progress::TrialPhase;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::replica::mix;
use crate::time::BoxTime;

/// Load that a replica on trial is to have while it takes all requests without a session, as a
/// share of its slots. Some versions fail only from half of the slots on.
const WINDOW_LOAD: f64 = 0.5;

/// Replicas on trial for sessions, as a multiple of those that would carry the load of the old ones:
/// their prefix caches are empty at first.
const SESSION_SPREAD: f64 = 2.0;

/// The replica chosen for an attempt, with the part that a trial of its service had in it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptChoice {
    pub(super) pick: BackendPick,
    pub(super) trial: Option<TrialInputs>,
}

impl RouteState {
    /// Chooses the replica of a request's next attempt with the model in row `size`.
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
        // While the trial is undecided, a partly relayed answer continues on the version that began
        // it.
        let on_trial = trial.is_some_and(|trial| {
            let open =
                trial.state == TrialState::Running && !trial.is_ejected(stamp.now, store_away);
            let begun = request.begun().filter(|_| open);
            begun.map_or_else(
                || trial.takes(request.session, stamp.now, store_away),
                |begun| begun.on_trial,
            )
        });
        let version = trial.map_or(VersionFilter::Any, |trial| version_filter(trial, on_trial));
        let excluded = request.excluded();
        let query = BackendQuery {
            service: &request.service,
            version,
            heard_by: self.fresh.as_of().filter(|_| !on_trial),
            most: trial
                .filter(|_| on_trial)
                .and_then(|trial| self.canary_replicas(trial, request.session, stamp.now)),
            work: self.prompt_work(request, size),
            zone: &self.settings.zone,
            evacuated: &self.evacuated,
            zones: request.zones.as_deref(),
            bounds_cold: self.bounds_cold(&request.service),
            tried: &excluded,
            random: stamp.random,
            now: stamp.now,
        };
        let (pick, fell_back) = self.pick_version(request, &query, trial)?;
        let trial =
            trial.map(|trial| TrialInputs { age_ms: trial.age_ms(stamp.now), share, fell_back });
        Some(AttemptChoice { pick, trial })
    }

    /// Picks a replica of the version that a query asks for or, if none is usable, of any version that
    /// was not found bad. Returns whether it is of another version.
    fn pick_version(
        &self,
        request: &RouteRequest,
        query: &BackendQuery,
        trial: Option<&VersionTrial>,
    ) -> Option<(BackendPick, bool)> {
        if let Some(pick) = self.backends.pick(query) {
            return Some((pick, false));
        }
        // A session does not change its version because brittle replicas have no room for a moment.
        if request.session != 0 && self.backends.any_without_room(query) {
            return None;
        }
        let of_any_age = BackendQuery { heard_by: None, ..*query };
        if let Some(pick) = self.backends.pick(&of_any_age) {
            return Some((pick, false));
        }
        let version = fallback_filter(trial);
        let pick = self.backends.pick(&BackendQuery { version, most: None, ..of_any_age })?;
        Some((pick, true))
    }

    /// Number of replicas that the version on trial uses while it has a share of the requests, so
    /// that their load is not far below the one to come; `None` for all.
    fn canary_replicas(&self, trial: &VersionTrial, session: u64, now: BoxTime) -> Option<usize> {
        let order = &trial.order;
        let usable = |version| self.backends.version_load(&order.service, version, now);
        if trial.state != TrialState::Running || trial.phase == TrialPhase::Carried {
            return None;
        }
        let (count, _) = usable(VersionFilter::Only(&order.version));
        let share = if session == 0 {
            usable(version_filter(trial, false)).1 / WINDOW_LOAD
        } else {
            trial.trial_share() * SESSION_SPREAD
        };
        Some(((count as f64 * share).ceil() as usize).clamp(1, count.max(1)))
    }

    /// Returns the work of reading a request's prompt with the model in row `size`, if it has a
    /// prompt.
    pub(super) fn prompt_work(
        &self,
        request: &RouteRequest,
        size: Option<usize>,
    ) -> Option<PromptWork> {
        let prompt = request.prompt?;
        let unknown = ServiceLatency::default();
        let latency = self.latencies.get(&request.service).unwrap_or(&unknown);
        let size = size.unwrap_or(0);
        let shared = if request.affinity == 0 { 0 } else { mix(request.affinity ^ size as u64) };
        Some(PromptWork {
            shared,
            shared_ms: latency.read_ms(size, f64::from(prompt.shared)),
            own_ms: latency.read_ms(size, f64::from(prompt.own)),
            kilobytes: request.body_bytes as f64 / 1_000.0,
        })
    }
}

/// Returns the filter for the version on trial, or for the others.
fn version_filter(trial: &VersionTrial, on_trial: bool) -> VersionFilter<'_> {
    let version = trial.order.version.as_str();
    if on_trial {
        VersionFilter::Only(version)
    } else {
        VersionFilter::Baseline { on_trial: version, history: &trial.history }
    }
}

/// Returns the filter if no replica of the preferred version is usable.
fn fallback_filter(trial: Option<&VersionTrial>) -> VersionFilter<'_> {
    let Some(trial) = trial else { return VersionFilter::Any };
    let is_barred = trial.is_rejected() || !trial.may_expose();
    let barred = is_barred.then_some(trial.order.version.as_str());
    VersionFilter::NotBad { barred, history: &trial.history }
}
