//! The roll-out guard: a new version is tried in steps, on few boxes, within a budget of the fleet.
//!
//! In a step only the *canary boxes* send it new work at the step's share; they are the first
//! [`CANARY_BOXES`] of the box list by a hash of box and version, so the exposure before a verdict
//! does not grow with the number of boxes. Other boxes use the share of the step that passed last.
//! Evidence (rated answers and failures, by request class) goes to the first canary box, which runs
//! the tests: a step passes after enough answers no worse than the replaced version's; a cumulative
//! sum of log-likelihood ratios, over all and for each class, halts. A halt passes between peers at
//! once and is appended as a verdict, so that no new box reopens the roll-out.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::bundle::RolloutSpec;

/// Boxes that try a step before its verdict.
pub const CANARY_BOXES: usize = 2;

/// Request classes.
pub const CLASS_COUNT: usize = 8;

/// The version is called bad when its share of bad answers is this much above the replaced one's. One
/// test for each margin: the small one finds a slight fault, the large one a gross fault sooner.
pub const BAD_MARGINS: [f64; 2] = [0.15, 0.4];

/// Evidence for "bad", as a log-likelihood ratio, at which a roll-out is halted.
pub const HALT_EVIDENCE: f64 = 7.5;

/// Answers that must be judged before a step passes.
pub const STEP_ANSWERS: u32 = 60;

/// Evidence for "bad" above which a step is not passed yet.
pub const PASS_EVIDENCE: f64 = 2.0;

/// Least share of bad answers assumed of the replaced version.
pub const BASELINE_BAD_FLOOR: f64 = 0.03;

/// Answers of the replaced version that the base rate is worked out from, at least.
pub const BASELINE_ANSWERS: f64 = 20.0;

/// Counts of judged answers of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct JudgedCount {
    /// Good answers.
    pub good: u32,
    /// Bad answers and failures.
    pub bad: u32,
}

/// A decision of the guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GuardVerdict {
    /// Halt the roll-out.
    Halt,
    /// Go on to this step.
    Step(u32),
}

/// State of one roll-out on one box.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RolloutState {
    /// Step under trial, from 0; the number of steps when all passed.
    pub step: u32,
    /// Whether it is halted.
    pub halted: bool,
    /// Requests that this box gave to the version in this step.
    pub exposed: u32,
    /// Evidence for "bad" over all classes and for each; the first canary box keeps it.
    evidence: [[f64; CLASS_COUNT + 1]; BAD_MARGINS.len()],
    judged: u32,
    /// Evidence that this box has not yet sent to the first canary box.
    pub unsent: BTreeMap<u8, JudgedCount>,
}

impl RolloutState {
    /// Share of new work that goes to the version on this box, in percent.
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

    /// Requests that the box of this rank may expose in a step.
    fn allowance(&self, spec: &RolloutSpec, rank: usize) -> u32 {
        let boxes = CANARY_BOXES as u32;
        spec.exposure_budget / boxes + u32::from((rank as u32) < spec.exposure_budget % boxes)
    }

    /// Notes a judged answer of the version on this box, to be sent to the first canary box.
    pub fn add_judged(&mut self, class: u8, good: bool) {
        let count = self.unsent.entry(class).or_default();
        if good {
            count.good += 1;
        } else {
            count.bad += 1;
        }
    }

    /// Weighs evidence on the first canary box. `baseline_bad` is the replaced version's share of bad
    /// answers on the class.
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

    /// Takes a verdict, own or read: a halt is for good, a step never goes back.
    /// Returns whether it is news.
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
