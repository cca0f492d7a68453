//! Orders to pools: limited in number, fenced by tokens, and resumed by another box.

use std::collections::BTreeMap;

use ravenspoke_bench::fixture::listed_replica;
use ravenspoke_bench::fleet::VirtualFleet;
use ravenspoke_core::bundle::{BundleSpec, PoolSpec};
use ravenspoke_core::effect::BoxEffect;
use ravenspoke_core::event::BoxEvent;
use ravenspoke_core::replica::LoadReport;

use crate::support::*;

/// A bundle with a pool of engines that loads the model on at most two replicas at once.
fn pooled(checks_token: bool) -> BundleSpec {
    let mut spec = bundle_text(V1, "serving");
    let pool = PoolSpec { models: vec!["small".to_owned()], checks_token, loads_at_once: 2 };
    spec.pools.insert("engines".to_owned(), pool);
    spec
}

/// Simulated engines that record the orders of the fleet and report their versions to every box.
#[derive(Default)]
struct SimulatedEngines {
    loaded: BTreeMap<String, Vec<String>>,
    tokens: Vec<(usize, u64, String)>,
    in_flight: usize,
    max_in_flight: usize,
}

impl SimulatedEngines {
    /// Records the orders since the last call, then reports to every box. With `complete_loads`,
    /// the engines complete all loads at once; otherwise they never do.
    fn record_orders(&mut self, fleet: &mut VirtualFleet, complete_loads: bool) {
        for (index, effect) in fleet.take_effects() {
            if let BoxEffect::Order(order) = effect {
                self.tokens.push((index, order.token, order.replica.clone()));
                self.in_flight += 1;
                self.max_in_flight = self.max_in_flight.max(self.in_flight);
                if complete_loads {
                    self.loaded.insert(order.replica, order.versions);
                }
            }
        }
        if complete_loads {
            self.in_flight = 0;
        }
        for index in 0..fleet.boxes.len() {
            for number in 0..6 {
                let replica = format!("engine-{number}");
                let versions = self.loaded.get(&replica).cloned().unwrap_or_default();
                let report = LoadReport { versions, slots: 8, ..LoadReport::default() };
                let at = fleet.box_time(index);
                fleet.feed(index, BoxEvent::LoadReported { replica, at, report });
            }
        }
    }

    /// Runs until a box gives an order; panics after two minutes without one.
    fn run_to_first_order(&mut self, fleet: &mut VirtualFleet, complete_loads: bool) {
        for _ in 0..120 {
            if !self.tokens.is_empty() {
                return;
            }
            self.run(fleet, 1, complete_loads);
        }
        panic!("no box gave an order within two minutes");
    }

    fn run(&mut self, fleet: &mut VirtualFleet, seconds: u64, complete_loads: bool) {
        for _ in 0..seconds {
            fleet.run_ms(1_000);
            self.record_orders(fleet, complete_loads);
        }
    }
}

fn pooled_fleet(checks_token: bool) -> VirtualFleet {
    let replicas =
        (0..6).map(|n| listed_replica(&format!("engine-{n}"), "engines", true)).collect();
    let mut fleet = VirtualFleet::new(3, 3, 9, replicas);
    publish(&mut fleet, None, &pooled(checks_token));
    fleet
}

#[test]
fn orders_keep_the_load_limit_and_an_interrupted_roll_out_resumes_with_a_higher_token() {
    for checks in [true, false] {
        let mut fleet = pooled_fleet(checks);
        let mut engines = SimulatedEngines::default();

        engines.run_to_first_order(&mut fleet, true);
        let (holder, token, _) = engines.tokens[0].clone();
        assert!(engines.loaded.len() <= 2, "the roll-out is not complete yet");
        fleet.kill(holder);
        engines.run(&mut fleet, 60, true);

        assert_eq!(engines.loaded.len(), 6, "another box completes the roll-out");
        assert!(engines.max_in_flight <= 2, "at most two replicas load at once");
        let later = engines.tokens.iter().filter(|(index, ..)| *index != holder);
        assert!(later.clone().count() > 0);
        assert!(later.clone().all(|(_, later, _)| *later > token));
    }
}

#[test]
fn paused_lease_holder_gives_no_order_after_its_lease_ends() {
    let mut fleet = pooled_fleet(false);
    let mut engines = SimulatedEngines::default();
    engines.run_to_first_order(&mut fleet, false);
    let holder = engines.tokens[0].0;

    // The holder can't read its successor's lease, and its own orders are due for repetition.
    fleet.log_unreachable.insert(holder);
    fleet.pause(holder);
    engines.run(&mut fleet, 140, false);
    let before = engines.tokens.len();
    fleet.resume(holder);
    engines.run(&mut fleet, 5, false);

    let late = engines.tokens[before..].iter().filter(|(index, ..)| *index == holder);
    assert_eq!(late.count(), 0);
    let others = engines.tokens.iter().filter(|(index, ..)| *index != holder);
    assert!(others.count() > 0, "its successor gives orders");

    engines.run(&mut fleet, 150, true);
    assert_eq!(engines.loaded.len(), 6, "its successor completes the loads");
}
