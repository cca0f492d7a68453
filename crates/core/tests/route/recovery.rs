//! All boxes restart while the store is away, in whole or in part: the fleet serves again in time,
//! and some box always tries to read what none of them knows.

use ravenspoke_core::route::RouteState;

use crate::plan_fleet::{fleet_with_replicas, Fleet, StoreOutage, StoreTopic};

/// Time within which a fleet serves again after all its boxes have restarted, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

/// Sizes of the simulated fleets.
const SIZES: [usize; 3] = [7, 84, 300];

const ALL_TOPICS: [StoreTopic; 3] = [StoreTopic::Plan, StoreTopic::Entries, StoreTopic::Boxes];

/// A fleet that has served for a while.
fn running_fleet(count: usize) -> Fleet {
    let mut fleet = fleet_with_replicas(count);
    fleet.run_until(8_000);
    fleet
}

/// An outage of some topics for all boxes, which begins now.
fn outage(fleet: &Fleet, topics: &[StoreTopic], lasts_ms: u64) -> StoreOutage {
    let (from, until) = (fleet.now, fleet.now + lasts_ms);
    StoreOutage { from, until, topics: topics.to_vec(), boxes: Vec::new() }
}

/// Restarts all boxes. Returns the time until all of them serve, in milliseconds.
fn restart_all(fleet: &mut Fleet) -> Option<u64> {
    fleet.restart_all();
    fleet.until_all(2 * RECOVERY_MS, RouteState::is_synced)
}

// Each box called the store once, failed, and left the store to boxes that knew as little; none
// called it for the next 20 s.
#[test]
fn boxes_that_restart_during_an_outage_do_not_all_leave_the_store_to_each_other() {
    for count in SIZES {
        for lasts_ms in [2_500, 4_500, 7_500] {
            let mut fleet = running_fleet(count);
            let outage = outage(&fleet, &ALL_TOPICS, lasts_ms);
            fleet.outages.push(outage);

            let took = restart_all(&mut fleet);

            let label = format!("{count} boxes, {lasts_ms} ms: serve after {took:?} ms");
            assert!(took.is_some_and(|ms| ms <= RECOVERY_MS), "{label}");
        }
    }
}
