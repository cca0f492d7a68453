//! Canary analysis of rollouts: a new version is tried in steps, on few boxes, within an exposure
//! budget of the fleet.
//!
//! In each step only the *canary boxes* send new work to the version at the step's share. They are
//! the first [`CANARY_BOXES`] of the box list by a hash of box and version, so the exposure before
//! a verdict does not grow with the number of boxes. Other boxes use the share of the last step
//! that passed. Evidence, which is rated answers and failures by request class, is sent to the
//! first canary box, which runs the tests. A step passes after enough answers that are no worse
//! than those of the replaced version. A cumulative sum of log-likelihood ratios, over all classes
//! and for each class, halts the rollout. A halt is sent to peers at once and appended to the log
//! as a verdict, so that a new box does not continue the rollout.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::bundle::RolloutSpec;

/// Number of boxes that try a step before its verdict.
pub const CANARY_BOXES: usize = 2;

/// Number of request classes.
pub const CLASS_COUNT: usize = 8;

/// Margins by which the share of bad answers of a bad version exceeds that of the replaced version.
/// Each margin has its own test: the small one detects slight faults, the large one detects gross
/// faults sooner.
pub const BAD_MARGINS: [f64; 2] = [0.15, 0.4];

/// Log-likelihood ratio in favour of a bad version at which the rollout is halted.
pub const HALT_EVIDENCE: f64 = 7.5;

/// Number of judged answers needed for a step to pass.
pub const STEP_ANSWERS: u32 = 60;

/// Log-likelihood ratio in favour of a bad version above which a step does not pass yet.
pub const PASS_EVIDENCE: f64 = 2.0;

/// Minimum share of bad answers assumed for the replaced version.
pub const BASELINE_BAD_FLOOR: f64 = 0.03;

/// Minimum number of ratings of the replaced version for an estimate of its share of bad answers.
pub const BASELINE_ANSWERS: f64 = 20.0;

/// Numbers of judged answers of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct JudgedCount {
    /// Good answers.
    pub good: u32,
    /// Bad answers and failures.
    pub bad: u32,
}

/// Result of the tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardVerdict {
    /// Halt the rollout.
    Halt,
    /// Continue with this step.
    Step(u32),
}

/// State of one rollout on one box.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RolloutState {
    /// Step on trial, from 0; the number of steps once all have passed.
    pub step: u32,
    /// Whether it is halted.
    pub halted: bool,
    /// Requests that this box sent to the version in this step.
    pub exposed: u32,
    /// Log-likelihood ratios by margin, over all classes at index 0 and for each class after it.
    /// Only the first canary box uses them.
    evidence: [[f64; CLASS_COUNT + 1]; BAD_MARGINS.len()],
    /// Number of answers judged in this step.
    judged: u32,
    /// Judged answers that this box has not yet sent to the first canary box, by class.
    pub unsent: BTreeMap<u8, JudgedCount>,
}

impl RolloutState {
    /// Share of new work that this box, at `rank` among the boxes, sends to the version, in
    /// percent.
    pub fn share(&self, spec: &RolloutSpec, rank: usize) -> u8 {
        if self.halted {
            return 0;
        }
        let step = self.step as usize;
        let passed = if step == 0 { 0 } else { spec.steps[(step - 1).min(spec.steps.len() - 1)] };
        if step >= spec.steps.len() || rank >= CANARY_BOXES {
            return passed;
        }
        if self.exposed < self.allowance(spec, rank) {
            spec.steps[step]
        } else {
            0
        }
    }

    /// Number of requests that the box of this rank may expose in a step.
    fn allowance(&self, spec: &RolloutSpec, rank: usize) -> u32 {
        let boxes = CANARY_BOXES as u32;
        spec.exposure_budget / boxes + u32::from((rank as u32) < spec.exposure_budget % boxes)
    }

    /// Adds a judged answer of the version on this box, to be sent to the first canary box.
    pub fn add_judged(&mut self, class: u8, good: bool) {
        let count = self.unsent.entry(class).or_default();
        if good {
            count.good += 1;
        } else {
            count.bad += 1;
        }
    }

    /// Adds evidence on the first canary box and returns the verdict, if there is one.
    /// `baseline_bad` is the share of bad answers of the replaced version on the class.
    pub fn add_evidence(
        &mut self,
        spec: &RolloutSpec,
        class: u8,
        count: JudgedCount,
        baseline_bad: f64,
    ) -> Option<GuardVerdict> {
        if self.halted {
            return None;
        }
        let baseline = baseline_bad.clamp(BASELINE_BAD_FLOOR, 0.8);
        let class = usize::from(class).min(CLASS_COUNT - 1) + 1;
        for (margin, evidence) in BAD_MARGINS.iter().zip(&mut self.evidence) {
            let worse = (baseline + margin).min(0.95);
            let for_bad = (worse / baseline).ln();
            let for_good = ((1.0 - worse) / (1.0 - baseline)).ln();
            for index in [0, class] {
                let sum = evidence[index]
                    + f64::from(count.good) * for_good
                    + f64::from(count.bad) * for_bad;
                evidence[index] = sum.max(0.0);
            }
        }
        self.judged += count.good + count.bad;
        let strongest = self.evidence.iter().flatten().copied().fold(0.0, f64::max);
        if strongest >= HALT_EVIDENCE {
            return Some(GuardVerdict::Halt);
        }
        let has_step_left = (self.step as usize) < spec.steps.len();
        if has_step_left && self.judged >= STEP_ANSWERS && strongest <= PASS_EVIDENCE {
            return Some(GuardVerdict::Step(self.step + 1));
        }
        None
    }

    /// Applies a verdict of this box or of another. A halt is final, and the step never decreases.
    /// Returns false if it was known or the rollout was already halted.
    pub fn apply_verdict(&mut self, halted: bool, step: u32) -> bool {
        let is_new = !self.halted && (halted || step > self.step);
        self.halted |= halted;
        if step > self.step {
            self.step = step;
            self.exposed = 0;
            self.judged = 0;
        }
        is_new
    }
}
