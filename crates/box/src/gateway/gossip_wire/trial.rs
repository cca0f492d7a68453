//! Trials of new versions and their verdicts in gossip messages.

use prost::{Enumeration, Message};
use ravenspoke_core::route::peers::TrialUpdate;
use ravenspoke_core::route::trial::{TrialState, TrialVerdict};
use ravenspoke_core::route::trial_exposure::ExposureCount;
use ravenspoke_core::route::trial_progress::{TrialPhase, TrialProgress};
use ravenspoke_core::route::trial_stats::{TrialStats, VersionStats};
use ravenspoke_core::route::version_history::FormerTrial;

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireTrial {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    version: String,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    #[prost(message, repeated, tag = "4")]
    routes: Vec<WireRoute>,
    #[prost(enumeration = "WirePhase", tag = "5")]
    phase: i32,
    #[prost(message, optional, tag = "6")]
    checkpoint: Option<WireProgress>,
    #[prost(uint64, optional, tag = "7")]
    carries_at_ms: Option<u64>,
    #[prost(uint64, tag = "8")]
    sent_to_canary: u64,
    #[prost(uint64, tag = "9")]
    sent_to_all: u64,
    #[prost(message, repeated, tag = "10")]
    history: Vec<WireFormer>,
}

/// An earlier order for the service.
#[derive(Clone, PartialEq, Message)]
struct WireFormer {
    #[prost(string, tag = "1")]
    version: String,
    /// As in [`WireVerdict`].
    #[prost(uint32, tag = "2")]
    state: u32,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireProgress {
    #[prost(enumeration = "WirePhase", tag = "1")]
    phase: i32,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(uint64, optional, tag = "3")]
    carries_at_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Enumeration)]
#[repr(i32)]
enum WirePhase {
    Held = 0,
    Shared = 1,
    Carried = 2,
}

impl From<TrialPhase> for WirePhase {
    fn from(phase: TrialPhase) -> Self {
        match phase {
            TrialPhase::Held => WirePhase::Held,
            TrialPhase::Shared => WirePhase::Shared,
            TrialPhase::Carried => WirePhase::Carried,
        }
    }
}

impl From<WirePhase> for TrialPhase {
    fn from(phase: WirePhase) -> Self {
        match phase {
            WirePhase::Held => TrialPhase::Held,
            WirePhase::Shared => TrialPhase::Shared,
            WirePhase::Carried => TrialPhase::Carried,
        }
    }
}

#[derive(Clone, PartialEq, Message)]
struct WireRoute {
    #[prost(string, tag = "1")]
    route: String,
    #[prost(message, optional, tag = "2")]
    canary: Option<WireStats>,
    #[prost(message, optional, tag = "3")]
    baseline: Option<WireStats>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireStats {
    #[prost(float, tag = "1")]
    runs: f32,
    #[prost(float, tag = "2")]
    bad: f32,
    #[prost(float, tag = "3")]
    timed: f32,
    #[prost(float, tag = "4")]
    log_sum: f32,
    #[prost(float, tag = "5")]
    log_square: f32,
    #[prost(float, tag = "6")]
    peak_load: f32,
    #[prost(float, tag = "7")]
    judged: f32,
    #[prost(float, tag = "8")]
    slow: f32,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireVerdict {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    version: String,
    /// 0 running, 1 done, 2 rolled back.
    #[prost(uint32, tag = "3")]
    state: u32,
}

fn write_stats(stats: &VersionStats) -> WireStats {
    WireStats {
        runs: stats.runs as f32,
        bad: stats.bad as f32,
        timed: stats.timed as f32,
        log_sum: stats.log_sum as f32,
        log_square: stats.log_square as f32,
        peak_load: stats.peak_load as f32,
        judged: stats.judged as f32,
        slow: stats.slow as f32,
    }
}

fn read_stats(stats: Option<WireStats>) -> VersionStats {
    let stats = stats.unwrap_or_default();
    VersionStats {
        runs: f64::from(stats.runs),
        bad: f64::from(stats.bad),
        timed: f64::from(stats.timed),
        log_sum: f64::from(stats.log_sum),
        log_square: f64::from(stats.log_square),
        peak_load: f64::from(stats.peak_load),
        judged: f64::from(stats.judged),
        slow: f64::from(stats.slow),
    }
}

pub(super) fn write_trial(trial: &TrialUpdate) -> WireTrial {
    let route = |(route, stats): (&String, &TrialStats)| WireRoute {
        route: route.clone(),
        canary: Some(write_stats(&stats.canary)),
        baseline: Some(write_stats(&stats.baseline)),
    };
    WireTrial {
        service: trial.service.clone(),
        version: trial.version.clone(),
        age_ms: trial.progress.age_ms,
        phase: WirePhase::from(trial.progress.phase) as i32,
        carries_at_ms: trial.progress.carries_at_ms,
        checkpoint: Some(write_progress(trial.checkpoint)),
        routes: trial.stats.iter().map(route).collect(),
        sent_to_canary: trial.exposure.canary,
        sent_to_all: trial.exposure.all,
        history: trial.history.trials().iter().map(write_former).collect(),
    }
}

fn write_former(former: &FormerTrial) -> WireFormer {
    WireFormer { version: former.version.clone(), state: write_state(former.state) }
}

fn read_former(former: WireFormer) -> FormerTrial {
    FormerTrial { version: former.version, state: read_state(former.state) }
}

fn write_progress(progress: TrialProgress) -> WireProgress {
    let phase = WirePhase::from(progress.phase) as i32;
    WireProgress { phase, age_ms: progress.age_ms, carries_at_ms: progress.carries_at_ms }
}

pub(super) fn read_trial(trial: WireTrial) -> TrialUpdate {
    let progress = TrialProgress {
        phase: trial.phase().into(),
        age_ms: trial.age_ms,
        carries_at_ms: trial.carries_at_ms,
    };
    let checkpoint = trial.checkpoint.unwrap_or_default();
    let checkpoint = TrialProgress {
        phase: checkpoint.phase().into(),
        age_ms: checkpoint.age_ms,
        carries_at_ms: checkpoint.carries_at_ms,
    };
    let route = |wire: WireRoute| {
        let stats =
            TrialStats { canary: read_stats(wire.canary), baseline: read_stats(wire.baseline) };
        (wire.route, stats)
    };
    TrialUpdate {
        service: trial.service,
        version: trial.version,
        progress,
        checkpoint,
        stats: trial.routes.into_iter().map(route).collect(),
        exposure: ExposureCount { canary: trial.sent_to_canary, all: trial.sent_to_all },
        history: trial.history.into_iter().map(read_former).collect(),
    }
}

pub(super) fn write_verdict(verdict: &TrialVerdict) -> WireVerdict {
    let state = write_state(verdict.state);
    WireVerdict { service: verdict.service.clone(), version: verdict.version.clone(), state }
}

pub(super) fn read_verdict(verdict: WireVerdict) -> TrialVerdict {
    let state = read_state(verdict.state);
    TrialVerdict { service: verdict.service, version: verdict.version, state }
}

fn write_state(state: TrialState) -> u32 {
    match state {
        TrialState::Running => 0,
        TrialState::Done => 1,
        TrialState::RolledBack => 2,
    }
}

fn read_state(state: u32) -> TrialState {
    match state {
        1 => TrialState::Done,
        2 => TrialState::RolledBack,
        _ => TrialState::Running,
    }
}
