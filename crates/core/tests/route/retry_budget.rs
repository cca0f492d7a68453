//! The retry budget of a fleet whose boxes see few requests each.

use ravenspoke_core::route::retry_budget::{
    BudgetBounds, SendBudget, SendCause, SendCount, REPORT_KEPT_MS,
};
use ravenspoke_core::time::BoxTime;

/// Boxes of the fleet.
const BOXES: usize = 100;

/// Each box gossips its counts this often, in milliseconds, to [`GOSSIP_TARGETS`] others.
const GOSSIP_MS: u64 = 500;
const GOSSIP_TARGETS: usize = 12;

/// Requests a second to each box.
const RATE: u64 = 2;

/// Length of a simulation and of one step, in milliseconds.
const LENGTH_MS: u64 = 60_000;
const STEP_MS: u64 = 10;

const BOUNDS: BudgetBounds = BudgetBounds { ratio: 0.9, slack: 200.0, window_ms: 10_000 };

/// The extra attempts of a fleet.
struct FleetSends {
    /// Extra attempts needed, and made, from the tenth second on.
    wanted: u32,
    made: u32,
    /// The most that were made in any window beyond the operator's bound.
    excess: f64,
}

/// Returns a random number below `below`.
fn draw(state: &mut u64, below: u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    (*state >> 33) % below
}

/// Simulates a fleet. `demand` returns, for a time and a random number below 100, how many extra
/// attempts a request needs and why. With `gossips`, boxes exchange their counts.
fn simulate(gossips: bool, demand: impl Fn(u64, u64) -> (u32, SendCause)) -> FleetSends {
    let mut boxes = vec![SendBudget::default(); BOXES];
    let mut seed = 5;
    let mut sums = FleetSends { wanted: 0, made: 0, excess: f64::MIN };
    // Requests and extra attempts of each step.
    let mut steps: Vec<(u32, u32)> = Vec::new();
    for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let now = BoxTime::from_millis(now_ms);
        let mut step = (0, 0);
        for number in 0..BOXES {
            if draw(&mut seed, 1_000 / STEP_MS) < RATE {
                boxes[number].earn(BOUNDS, now);
                step.0 += 1;
                let (wanted, cause) = demand(now_ms, draw(&mut seed, 100));
                let may = |_: &u32| boxes[number].spend(BOUNDS, BOXES, cause, now);
                let made = (0..wanted).take_while(may).count() as u32;
                step.1 += made;
                if now_ms >= 10_000 {
                    sums.wanted += wanted;
                    sums.made += made;
                }
            }
            if gossips && now_ms % GOSSIP_MS == number as u64 * STEP_MS % GOSSIP_MS {
                let count = boxes[number].count(BOUNDS, now);
                for _ in 0..GOSSIP_TARGETS {
                    let to = draw(&mut seed, BOXES as u64) as usize;
                    boxes[to].merge(&format!("box-{number}"), count, now);
                }
            }
        }
        steps.push(step);
        let window = &steps[steps.len().saturating_sub((BOUNDS.window_ms / STEP_MS) as usize)..];
        let requests: u32 = window.iter().map(|step| step.0).sum();
        let sends: u32 = window.iter().map(|step| step.1).sum();
        let allowed = BOUNDS.ratio * f64::from(requests) + BOUNDS.slack;
        sums.excess = sums.excess.max(f64::from(sends) - allowed);
    }
    sums
}

/// More than half of the requests need an escalation to a larger model.
fn larger_models(_: u64, drawn: u64) -> (u32, SendCause) {
    (u32::from(drawn < 56), SendCause::LargerModel)
}

/// The same, and from the thirtieth second on each request fails wherever it is sent.
fn storm(now_ms: u64, drawn: u64) -> (u32, SendCause) {
    if now_ms >= 30_000 {
        return (2, SendCause::Failure);
    }
    larger_models(now_ms, drawn)
}

#[test]
fn budget_that_some_boxes_leave_serves_others() {
    let alone = simulate(false, larger_models);
    let together = simulate(true, larger_models);

    let denied = |sends: &FleetSends| 1.0 - f64::from(sends.made) / f64::from(sends.wanted);
    assert!(denied(&alone) > 0.05, "{} of the extra attempts were denied", denied(&alone));
    assert!(denied(&together) < 0.02, "{} of the extra attempts are denied", denied(&together));
}

/// Nothing fails for forty seconds, so the boxes have not spent their shares. Then each request
/// fails.
fn late_storm(now_ms: u64, _: u64) -> (u32, SendCause) {
    (if now_ms >= 40_000 { 2 } else { 0 }, SendCause::Failure)
}

#[test]
fn a_failure_storm_on_an_unspent_budget_stays_within_the_bound() {
    let sends = simulate(true, late_storm);

    assert!(sends.excess <= 0.0, "{} extra attempts beyond the budget", sends.excess);
}

#[test]
fn a_failure_storm_stays_within_the_bound() {
    let sends = simulate(true, storm);

    assert!(sends.excess <= 0.0, "{} extra attempts beyond the budget", sends.excess);
    assert!(sends.made > sends.wanted / 3, "{} of {}", sends.made, sends.wanted);
}

/// A box with 20 requests that has spent its own share, and that has just received `count` from
/// another box.
fn box_with_spent_share(count: SendCount) -> (SendBudget, BoxTime) {
    let mut budget = SendBudget::default();
    let now = BoxTime::from_millis(5_000);
    for _ in 0..20 {
        budget.earn(BOUNDS, now);
    }
    while budget.spend(BOUNDS, BOXES, SendCause::Failure, now) {}
    budget.merge("box-2", count, now);
    (budget, now)
}

#[test]
fn a_box_exceeds_its_share_only_while_others_leave_theirs() {
    let idle = SendCount { requests: 200, sends: 0 };
    let spent = SendCount { requests: 200, sends: 200 };
    for (count, allowed) in [(idle, true), (spent, false)] {
        let (mut budget, now) = box_with_spent_share(count);
        assert_eq!(budget.spend(BOUNDS, BOXES, SendCause::Failure, now), allowed, "{count:?}");
    }
}

#[test]
fn impossible_counts_do_not_overflow() {
    let most = SendCount { requests: u32::MAX, sends: u32::MAX };
    let (mut budget, now) = box_with_spent_share(most);
    budget.merge("box-3", most, now);
    assert!(!budget.spend(BOUNDS, BOXES, SendCause::Failure, now), "no budget is left");
}

#[test]
fn outdated_counts_leave_no_budget() {
    let (mut budget, now) = box_with_spent_share(SendCount { requests: 200, sends: 0 });
    let later = now.plus_millis(REPORT_KEPT_MS);
    assert!(!budget.spend(BOUNDS, BOXES, SendCause::Failure, later));
}

#[test]
fn a_box_never_exceeds_twice_its_share() {
    let (mut budget, now) = box_with_spent_share(SendCount { requests: 9_000, sends: 0 });
    let part = budget.count(BOUNDS, now).sends;
    while budget.spend(BOUNDS, BOXES, SendCause::Failure, now) {}
    assert!(budget.count(BOUNDS, now).sends <= 2 * (part + 1));
}
