//! The scenarios of calls: workload, faults and bundle of each.

use crate::fixture::caller_hash;
use crate::policy::{COST, TARGET};
use crate::workload::WorkloadPlan;

/// Time between load reports, in microseconds.
pub const REPORT_US: u64 = 250_000;

/// Quality of the new version in a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadKind {
    /// There is no rollout.
    None,
    /// As good as the old version.
    Good,
    /// Half of its answers are bad from the start.
    AtOnce,
    /// A third of its answers are bad from the fourth minute on.
    Slowly,
    /// Half of its answers of class 1 are bad.
    OneClass,
}

/// A scenario: its workload, size and faults.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioPlan {
    /// Name in results.
    pub name: &'static str,
    /// Number of engines of the cheap and of the strong model.
    pub engines: (usize, usize),
    /// Number of boxes.
    pub boxes: usize,
    /// Workload.
    pub work: WorkloadPlan,
    /// Quality of the new version, if one is rolled out.
    pub bad: BadKind,
    /// Second from which on the rating service is down.
    pub rating_down: Option<u64>,
    /// Second from which on the log is down.
    pub log_down: Option<u64>,
    /// Second from which on half of the engines of the strong model are gone.
    pub pool_out: Option<u64>,
    /// Age of load reports when they arrive, in microseconds.
    pub lag_us: u64,
    /// Start and end of a stall of one engine of each model, in seconds.
    pub frozen: Option<(u64, u64)>,
    /// Whether refused callers retry after 10 ms.
    pub retry_storm: bool,
    /// Whether requests of account 0 are left out.
    pub without_large: bool,
    /// Requests before this second are served but not measured, because every policy starts without
    /// learned state.
    pub measure_from: u64,
}

/// The scenarios of the Coteau deployment, or of the agency's if `coteau` is false.
pub fn scenarios(coteau: bool) -> Vec<ScenarioPlan> {
    let (engines, boxes, rate) = if coteau { ((14, 6), 9, 5.0) } else { ((8, 4), 7, 3.0) };
    let work = WorkloadPlan {
        rate,
        seconds: 300,
        burst_from: u64::MAX,
        burst_to: 0,
        burst: 1.0,
        long_prompts: false,
        accounts: 10,
        large_share: 0.3,
        prefixes: 120,
    };
    let base = ScenarioPlan {
        name: "steady",
        engines,
        boxes,
        work,
        bad: BadKind::None,
        rating_down: None,
        log_down: None,
        pool_out: None,
        lag_us: REPORT_US,
        frozen: None,
        retry_storm: false,
        without_large: false,
        measure_from: 60,
    };
    let burst = WorkloadPlan { burst_from: 120, burst_to: 240, burst: 6.0, ..work };
    let busy = WorkloadPlan { rate: rate * 2.0, ..work };
    let long = WorkloadPlan { seconds: 600, ..busy };
    let greedy = WorkloadPlan { rate: rate * 5.0, large_share: 0.8, ..work };
    let rolled = |name, bad| ScenarioPlan { name, work: long, bad, ..base };
    vec![
        base,
        ScenarioPlan { name: "cold_start", measure_from: 0, ..base },
        ScenarioPlan { name: "shift_start", work: burst, ..base },
        ScenarioPlan {
            name: "tender_deadline",
            work: WorkloadPlan { long_prompts: true, burst: 4.0, ..burst },
            ..base
        },
        rolled("bad_version_at_once", BadKind::AtOnce),
        rolled("bad_version_slowly", BadKind::Slowly),
        rolled("bad_version_one_class", BadKind::OneClass),
        rolled("good_version", BadKind::Good),
        ScenarioPlan { name: "rating_down", rating_down: Some(100), ..base },
        ScenarioPlan { name: "log_down", log_down: Some(60), ..base },
        ScenarioPlan { name: "pool_out", work: busy, pool_out: Some(100), ..base },
        ScenarioPlan { name: "stale_reports", work: busy, lag_us: 2_000_000, ..base },
        ScenarioPlan { name: "frozen_replica", work: busy, frozen: Some((100, 160)), ..base },
        ScenarioPlan { name: "retry_storm", work: burst, retry_storm: true, ..base },
        ScenarioPlan { name: "one_large_account", work: greedy, ..base },
        ScenarioPlan { name: "without_large_account", work: greedy, without_large: true, ..base },
    ]
}

/// The bundle of a scenario, as TOML.
pub fn bundle_text(plan: ScenarioPlan) -> String {
    let rollout = match plan.bad {
        BadKind::None => "",
        _ => {
            "[rollouts.small-2]\nfrom = \"small-1\"\nsteps = [5, 25, 100]\nexposure_budget = 100\n"
        }
    };
    let accounts: String = (0..plan.work.accounts)
        .map(|account| {
            let hash = hex::encode(caller_hash(&format!("account-{account}")));
            format!("[accounts.a{account}]\nkey_hashes = [\"{hash}\"]\nallow = [\"assist\"]\n")
        })
        .collect();
    format!(
        "[models.small]\ncost_per_1k = {}\nversion = \"small-1\"\n\
         [models.large]\ncost_per_1k = {}\nversion = \"large-1\"\n\
         [versions.small-1]\nmodel = \"small\"\nstate = \"serving\"\n\
         [versions.small-2]\nmodel = \"small\"\nstate = \"serving\"\n\
         [versions.large-1]\nmodel = \"large\"\nstate = \"serving\"\n\
         [cascades.assist]\nrungs = [\"small\", \"large\"]\ntarget = {TARGET}\n{rollout}{accounts}",
        COST[0], COST[1]
    )
}
