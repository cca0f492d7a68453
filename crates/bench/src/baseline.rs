//! Baseline routers: common routing policies, and an oracle that serves as an upper bound.
//!
//! `round_robin` and `least_reported_load` choose the model as ravenspoke does, from their own
//! ratings, so that they differ in the choice of the replica only. No baseline limits the rate of
//! requests, queues them or refuses them.

use ravenspoke_core::cascade::{QualityTable, RungView};

use crate::workload::{meets, BenchRequest};

/// Kind of a baseline router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// The strong model for everything, least reported load.
    AlwaysStrong,
    /// The cheap model for everything, rated before release, then the strong one.
    CheapFirst,
    /// Model by learned quality, replicas in turn.
    RoundRobin,
    /// Model by learned quality, least reported load.
    LeastReportedLoad,
    /// As `least_reported_load`, with 5% of the requests for the cheap model on the new version for
    /// ten minutes.
    FixedCanary,
    /// As `least_reported_load`, but each prefix always goes to the same replica, whatever its
    /// load.
    UnboundedAffinity,
    /// Knows each request's difficulty and each engine's load.
    Oracle,
}

/// Model to use, 0 (cheap) or 1 (strong), and whether its answer is rated before release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelChoice {
    /// 0 cheap, 1 strong.
    pub model: usize,
    /// Whether the answer is rated before release.
    pub gated: bool,
}

/// A baseline router with its state.
#[derive(Debug)]
pub struct BaselineRouter {
    /// Kind of the baseline.
    pub kind: BaselineKind,
    /// Quality of each model, learned from ratings.
    pub quality: QualityTable,
    turn: usize,
}

impl BaselineRouter {
    /// A baseline without ratings.
    pub fn new(kind: BaselineKind) -> Self {
        Self { kind, quality: QualityTable::default(), turn: 0 }
    }

    /// Chooses the model.
    pub fn model(
        &mut self,
        request: &BenchRequest,
        costs: [f64; 2],
        target: f64,
        random: u64,
    ) -> ModelChoice {
        let plain = |model| ModelChoice { model, gated: false };
        match self.kind {
            BaselineKind::AlwaysStrong => plain(1),
            BaselineKind::CheapFirst => ModelChoice { model: 0, gated: true },
            BaselineKind::Oracle => plain(usize::from(!meets(crate::policy::STRENGTH[0], request))),
            BaselineKind::RoundRobin
            | BaselineKind::LeastReportedLoad
            | BaselineKind::UnboundedAffinity
            | BaselineKind::FixedCanary => {
                let rungs = [
                    RungView { model: "small", cost: costs[0] },
                    RungView { model: "large", cost: costs[1] },
                ];
                let plan = self.quality.plan("assist", &rungs, target, request.class, random);
                ModelChoice { model: plan.rung, gated: plan.gated }
            }
        }
    }

    /// Chooses one of the engines in `pool`. `reported` holds the last reported load of each
    /// engine, and `now` its current load, which only the oracle uses.
    pub fn replica(
        &mut self,
        pool: &[usize],
        reported: &[u32],
        now: &[u32],
        prefix: u64,
        random: u64,
    ) -> usize {
        self.turn += 1;
        let least = |loads: &[u32]| {
            let start = random as usize % pool.len();
            let order = (0..pool.len()).map(|step| pool[(start + step) % pool.len()]);
            order.min_by_key(|engine| loads[*engine]).unwrap_or(pool[0])
        };
        match self.kind {
            BaselineKind::RoundRobin => pool[self.turn % pool.len()],
            BaselineKind::UnboundedAffinity => pool[prefix as usize % pool.len()],
            BaselineKind::Oracle => least(now),
            _ => least(reported),
        }
    }
}
