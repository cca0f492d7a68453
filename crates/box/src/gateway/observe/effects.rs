//! Log events and metrics of changes of the box's state.

use metrics::{counter, gauge};
use ravenspoke_core::route::event::RouteEffect;
use ravenspoke_core::route::leader::scale::ScaleSubject;
use ravenspoke_core::route::paths::PathPhase;
use ravenspoke_core::route::poison::{CrashJudgement, PoisonFinding, PoisonRecord};
use ravenspoke_core::route::scheduling::account_shares::ShareSummary;
use ravenspoke_core::route::shares::{AccountUse, MEASURED_ACCOUNTS};
use tracing::{info, warn};

/// Logs an effect that changes the box's state.
pub fn log_effect(effect: &RouteEffect) {
    match effect {
        RouteEffect::PlanInForce { version, routes, age_ms } => {
            gauge!("ravenspoke_plan_version").set(*version as f64);
            info!(event = 710, name = "plan_in_force", version, routes, age_ms);
        }
        RouteEffect::ReaderChanged { is_reader, store_unreachable, plan_age_ms } => {
            gauge!("ravenspoke_reader").set(f64::from(u8::from(*is_reader)));
            info!(
                event = 738,
                name = "reader_moved",
                reads = is_reader,
                cut = store_unreachable,
                plan_age_ms
            );
        }
        RouteEffect::ReadDeferralChanged { to, failed_ms, plan_version } => {
            gauge!("ravenspoke_read_deferred").set(f64::from(u8::from(to.is_some())));
            info!(
                event = 771,
                name = "read_deferred",
                deferred = to.is_some(),
                to = to.as_deref(),
                failed_ms,
                plan = plan_version
            );
        }
        RouteEffect::PlanTooOld { version } => {
            warn!(event = 711, name = "plan_too_old", version);
        }
        RouteEffect::StoreRestored { era, former } => {
            gauge!("ravenspoke_store_era").set(*era as f64);
            warn!(event = 745, name = "store_restored", era, former);
        }
        RouteEffect::BackendLeaving(replica) => {
            info!(event = 712, name = "backend_leaving", replica);
        }
        RouteEffect::PathPhaseChanged { phase, lasted_ms, failed } => {
            let is_lost = *phase == PathPhase::Lost;
            gauge!("ravenspoke_paths_lost").set(f64::from(u8::from(is_lost)));
            info!(event = 757, name = "paths_changed", ?phase, former_ms = lasted_ms, failed);
        }
        RouteEffect::ReplicaUnreachable { replica, reported_by } => {
            let told_by = if reported_by.is_some() { "other" } else { "own" };
            counter!("ravenspoke_replicas_unreachable_total", "told_by" => told_by).increment(1);
            info!(event = 756, name = "replica_unreachable", replica, told_by = reported_by);
        }
        RouteEffect::EvacuationChanged { order, known_to, in_flight } => {
            let zone = order.zone.clone();
            let evacuated = order.evacuated;
            gauge!("ravenspoke_zone_evacuated", "zone" => zone.clone())
                .set(f64::from(u8::from(evacuated)));
            info!(event = 739, name = "evacuation_moved", zone, evacuated, %known_to, in_hand = in_flight);
        }
        RouteEffect::CrashJudged(CrashJudgement { content, replica, fate }) => {
            let fate_label = format!("{fate:?}").to_lowercase();
            counter!("ravenspoke_crashes_judged_total", "fate" => fate_label).increment(1);
            let (content, replica) = (format!("{content:016x}"), format!("{replica:016x}"));
            info!(event = 763, name = "crash_judged", content, replica, ?fate);
        }
        RouteEffect::PoisonFound(finding) => {
            let PoisonFinding { feature, is_poison, judged_here, crashes, requests } = *finding;
            let found = if is_poison { "poison" } else { "cleared" };
            counter!("ravenspoke_poison_findings_total", "found" => found).increment(1);
            info!(event = 764, name = "poison_found", %feature, found, judged_here, crashes, requests);
        }
        RouteEffect::PoisonRefused { feature, account, crashes, requests, age_ms } => {
            counter!("ravenspoke_fatal_contents_total").increment(1);
            let ends = crashes;
            warn!(event = 742, name = "request_fatal", %feature, account, ends, requests, age_ms);
        }
        RouteEffect::LeavingReported(replica) => {
            counter!("ravenspoke_leaving_said_total").increment(1);
            info!(event = 743, name = "leaving_said", replica);
        }
        RouteEffect::LimitChanged { replica, per_s, own_per_s } => {
            counter!("ravenspoke_limits_moved_total").increment(1);
            info!(event = 741, name = "limit_moved", replica, per_s, own_per_s);
        }
        RouteEffect::BrittleChanged { service, per_s } => {
            let service = format!("{service:016x}");
            info!(event = 761, name = "brittle_changed", service, per_s);
        }
        RouteEffect::BrittleRejected { service, pause_ms } => {
            counter!("ravenspoke_brittle_rejections_total").increment(1);
            info!(event = 762, name = "brittle_rejected", service, pause_ms);
        }
        RouteEffect::SpeedChanged { replica, service, ratio, fastest, slowest } => {
            let extreme = |which: &'static str, ratio: f64| {
                let service = service.clone();
                gauge!("ravenspoke_replica_ratio", "service" => service, "extreme" => which)
                    .set(ratio);
            };
            extreme("fastest", *fastest);
            extreme("slowest", *slowest);
            info!(event = 769, name = "speed_changed", replica, service, ratio, fastest, slowest);
        }
        RouteEffect::ContentionChanged { service, contended, boxes } => {
            gauge!("ravenspoke_contention", "service" => service.clone())
                .set(f64::from(u8::from(*contended)));
            info!(event = 770, name = "contention_changed", service, contended, boxes);
        }
        RouteEffect::SharesMeasured { service, summary, heaviest, level_changed } => {
            measure_shares(service, heaviest);
            if *level_changed {
                log_shares(service, summary, heaviest);
            }
        }
        RouteEffect::TrialStateChanged { service, version, state, runs, bad } => {
            info!(event = 713, name = "trial_moved", service, version, ?state, runs, bad);
        }
        RouteEffect::TrialShareChanged { service, version, share, age_ms, runs, bad } => {
            gauge!("ravenspoke_trial_share", "service" => service.clone()).set(*share);
            info!(
                event = 716,
                name = "trial_share_moved",
                service,
                version,
                share,
                age_ms,
                runs,
                bad,
            );
        }
        RouteEffect::WriteVerdict(verdict) => {
            let (service, version, state) = (&verdict.service, &verdict.version, verdict.state);
            info!(event = 714, name = "verdict_due", service, version, ?state);
        }
        RouteEffect::VerdictExplained { service, version, state, basis } => {
            let (canary, baseline) = (&basis.stats.canary, &basis.stats.baseline);
            info!(
                event = 754,
                name = "verdict_basis",
                service,
                version,
                ?state,
                age_ms = basis.age_ms,
                runs = canary.runs,
                bad = canary.bad,
                other_runs = baseline.runs,
                other_bad = baseline.bad,
                slow = canary.slow,
                other_slow = baseline.slow,
                peak_load = canary.peak_load,
                other_peak_load = baseline.peak_load,
                least_shown_share = canary.least_shown_share(),
                sent_to_version = basis.exposure.canary,
                sent_to_service = basis.exposure.all,
            );
        }
        RouteEffect::CarryDelayed { service, version, age_ms, delay } => {
            info!(event = 755, name = "trial_put_off", service, version, age_ms, ?delay);
        }
        RouteEffect::VersionRejected { service, version, finding } => {
            let (route, stats) = (finding.route.as_deref().unwrap_or("all"), &finding.stats);
            warn!(
                event = 718,
                name = "version_condemned",
                service,
                version,
                route,
                fault = ?finding.fault,
                runs = stats.canary.runs,
                bad = stats.canary.bad,
                other_runs = stats.baseline.runs,
                other_bad = stats.baseline.bad,
                slow = stats.canary.slow,
                other_slow = stats.baseline.slow,
                times_slower = stats.times_slower(),
            );
        }
        RouteEffect::WriteCheckpoint(checkpoint) => {
            let (service, version) = (&checkpoint.service, &checkpoint.version);
            let (phase, age_ms) = (checkpoint.progress.phase, checkpoint.progress.age_ms);
            info!(event = 717, name = "mark_due", service, version, ?phase, age_ms);
        }
        RouteEffect::WritePoison(PoisonRecord { feature, state }) => {
            info!(event = 765, name = "poison_record_due", %feature, ?state);
        }
        RouteEffect::LeaderPartChanged(part) => {
            info!(event = 748, name = "leader_moved", ?part);
        }
        RouteEffect::ReplicasRequested { subject, wanted } => {
            let ScaleSubject { service, zone, spot } = subject;
            info!(event = 749, name = "replicas_ordered", service, zone, spot, wanted);
        }
        RouteEffect::ScaleBoundsInvalid { service, min, max } => {
            warn!(event = 753, name = "scale_unsound", service, min, max);
        }
        RouteEffect::StopBegun => info!(event = 715, name = "stop_begun"),
        _ => {}
    }
}

/// Logs shares of client accounts.
fn log_shares(service: &str, summary: &ShareSummary, heaviest: &[AccountUse]) {
    let uses = heaviest.iter().map(|row| {
        let AccountUse { account, demand, granted } = row;
        format!("{account} {demand:.0}/{granted:.0}")
    });
    info!(
        event = 768,
        name = "shares_changed",
        service,
        level = summary.level.map(f64::round),
        capacity = summary.capacity.round(),
        demand = summary.demand.round(),
        boxes = summary.boxes,
        heaviest = uses.collect::<Vec<_>>().join(", "),
    );
}

/// Measures share and use of the accounts with the largest demands, by their rank: accounts' names
/// as labels would be without bound.
fn measure_shares(service: &str, heaviest: &[AccountUse]) {
    for rank in 0..MEASURED_ACCOUNTS {
        let none = AccountUse::default();
        let AccountUse { demand, granted, .. } = heaviest.get(rank).unwrap_or(&none);
        let labels = [("service", service.to_owned()), ("rank", (rank + 1).to_string())];
        gauge!("ravenspoke_account_demand", &labels).set(*demand);
        gauge!("ravenspoke_account_share", &labels).set(*granted);
    }
}
