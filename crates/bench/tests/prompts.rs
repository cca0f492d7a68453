//! Long prompts on random deployments: bounds for the boxes' reducer, also against the baseline.

use ravenspoke_bench::prompt_site::PromptFault;
use ravenspoke_bench::prompts::{run, PromptPolicy};

/// Mean of `measure` over four deployments whose engines are busy with prompts for the share `load`
/// of the time.
fn mean(fault: PromptFault, policy: PromptPolicy, load: f64, measure: &str) -> f64 {
    let seeds = 1..=4;
    let count = seeds.clone().count() as f64;
    seeds.map(|seed| run(fault, policy, load, seed).0[measure]).sum::<f64>() / count
}

#[test]
fn calm_deployments_have_few_late_answers() {
    let late = mean(PromptFault::Calm, PromptPolicy::Ravenspoke, 0.5, "late");
    assert!(late < 0.02, "{late}");
}

#[test]
fn engine_failures_near_full_load_cause_few_late_answers() {
    let late = mean(PromptFault::EnginesDown, PromptPolicy::Ravenspoke, 0.9, "late");
    let baseline = mean(PromptFault::EnginesDown, PromptPolicy::LeastReportedLoad, 0.9, "late");
    assert!(late < 0.08 && late * 4.0 < baseline, "{late} {baseline}");
}

#[test]
fn burst_of_the_high_value_class_keeps_most_of_the_value() {
    let worth = mean(PromptFault::HighValueBurst, PromptPolicy::Ravenspoke, 0.9, "worth");
    let baseline = mean(PromptFault::HighValueBurst, PromptPolicy::LeastReportedLoad, 0.9, "worth");
    assert!(worth > 0.65 && worth > baseline + 0.2, "{worth} {baseline}");
}

#[test]
fn slow_and_failing_engines_lose_almost_no_request() {
    let lost = mean(PromptFault::SlowAndFailing, PromptPolicy::Ravenspoke, 0.5, "lost");
    assert!(lost < 0.002, "{lost}");
}
