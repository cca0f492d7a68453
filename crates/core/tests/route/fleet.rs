//! Many boxes that start together, in virtual time: which of them read the store, how often they
//! call it, and how soon all know a change.

use ravenspoke_core::route::evacuation::{EvacuationRead, ZoneOrder};
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::peers::{CLIENTS_PER_READER, READERS_MIN};
use ravenspoke_core::route::RouteState;
use ravenspoke_core::time::BoxTime;

use crate::fixture::at;
use crate::plan_fleet::{fleet_with_replicas, Fleet, FleetBox, FleetSize};

/// Number of readers that a fleet of this size should have.
fn expected_readers(count: usize) -> usize {
    READERS_MIN.max(count.div_ceil(CLIENTS_PER_READER))
}

/// Whether about as many boxes are readers as should be. Each box counts the fleet by the messages
/// that it received, so that views differ by a few boxes, which costs a call and nothing more.
fn readers_agree(fleet: &Fleet, count: usize) -> bool {
    fleet.readers().abs_diff(expected_readers(count)) <= usize::from(count > CLIENTS_PER_READER)
}

#[test]
fn boxes_that_start_together_make_few_calls_and_agree_on_readers() {
    for count in [9, 300] {
        let mut fleet = fleet_with_replicas(count);
        let open = fleet.until_all(2_000, RouteState::is_synced);
        assert!(open.is_some_and(|ms| ms <= 700), "{count} boxes are synced after {open:?} ms");
        let start = fleet.calls();
        fleet.run_until(6_000);
        assert!(readers_agree(&fleet, count), "{} readers of {count}", fleet.readers());
        let settling = fleet.calls();
        // Readers make up to six calls a second; other boxes make none.
        let limit = count.max(12) as u32 / 2;
        assert!(start <= limit, "{count} boxes: {start} calls at the start");
        let reads = 36 * (expected_readers(count) as u32 + 1);
        assert!(settling <= limit + reads, "{count} boxes: {settling} calls afterwards");
        fleet.run_until(16_000);
        let call_rate = f64::from(fleet.calls()) / 10.0 / expected_readers(count) as f64;
        assert!(call_rate < 6.0, "{count} boxes: {call_rate} calls a second and reader");
        assert_eq!(fleet.open(), count);
        assert!(readers_agree(&fleet, count), "{} readers of {count}, later", fleet.readers());
    }
}

#[test]
fn new_plan_and_leaving_replica_reach_all_boxes_in_time() {
    for count in [9, 100] {
        let mut fleet = fleet_with_replicas(count);
        fleet.run_until(5_000);
        fleet.write_plan(2);
        let took = fleet.until_all(4_000, |state| state.plan().version == 2);
        assert!(took.is_some_and(|ms| ms <= 2_000), "{count} boxes: the plan after {took:?} ms");
        fleet.put("r3", true);
        let leaves = |state: &RouteState| {
            state.backends().rows().any(|(_, row)| row.entry.id == "r3" && row.entry.leaving)
        };
        let took = fleet.until_all(4_000, leaves);
        assert!(took.is_some_and(|ms| ms <= 1_500), "{count} boxes: leaving after {took:?} ms");
    }
}

#[test]
fn restart_of_all_boxes_recovers_fast_without_overloading_the_store() {
    for count in [9, 300] {
        let mut fleet = fleet_with_replicas(count);
        fleet.run_until(5_000);
        fleet.calls();
        fleet.restart_all();
        let took = fleet.until_all(2_000, RouteState::is_synced);
        assert!(took.is_some_and(|ms| ms <= 900), "{count} boxes are back after {took:?} ms");
        let calls = fleet.calls() as usize;
        assert!(calls <= count.max(20), "{count} boxes: {calls} calls");
    }
}

#[test]
fn most_gossip_of_a_large_fleet_stays_within_an_availability_zone() {
    let mut fleet = fleet_with_replicas(100);
    fleet.run_until(5_000);
    fleet.messages = [0; 2];

    fleet.run_until(10_000);

    let [same_zone, other_zone] = fleet.messages;
    let share = other_zone as f64 / (same_zone + other_zone) as f64;
    assert!(share <= 0.35, "{share} of {} messages go to another zone", same_zone + other_zone);
}

#[test]
fn other_boxes_replace_readers_that_fail() {
    for count in [9, 100] {
        let mut fleet = fleet_with_replicas(count);
        fleet.run_until(6_000);
        let now = BoxTime::from_millis(fleet.now);
        let readers: Vec<usize> =
            (0..count).filter(|number| fleet.boxes[*number].state.is_reader(now)).collect();
        readers.iter().for_each(|number| fleet.kill(*number));
        fleet.run_until(12_000);
        assert!(readers_agree(&fleet, count), "{} readers of {count}", fleet.readers());
        assert_eq!(fleet.open(), count - readers.len());
        fleet.write_plan(2);
        let took = fleet.until_all(4_000, |state| state.plan().version == 2);
        assert!(took.is_some_and(|ms| ms <= 2_000), "{count} boxes: the plan after {took:?} ms");
    }
}

#[test]
fn store_outage_causes_few_calls_and_all_boxes_recover_after_it() {
    for count in [9, 100, 300] {
        let mut fleet = fleet_with_replicas(count);
        fleet.run_until(6_000);
        fleet.calls();

        fleet.outage_until = fleet.now + 8_000;
        fleet.run_until(fleet.outage_until);

        // Readers try three times a second, any other box once.
        let readers = 3 * 2 * 8 * (expected_readers(count) as u32 + 1);
        let calls = fleet.calls();
        assert!(calls <= readers + count as u32, "{count} boxes: {calls} calls");
        fleet.write_plan(2);
        let took = fleet.until_all(5_000, |state| state.plan().version == 2);
        assert!(took.is_some_and(|ms| ms <= 2_500), "{count} boxes: the plan after {took:?} ms");
        fleet.run_until(fleet.now + 1_500);
        assert_eq!(fleet.open(), count, "callers are directed to all again");
    }
}

/// Gossip alone carries the evacuation to 300 boxes, half of which cannot reach the store, with 3
/// of 100 datagrams lost.
#[test]
fn evacuation_of_a_zone_and_its_end_reach_all_boxes_within_two_seconds() {
    let mut fleet = Fleet::start(300);
    fleet.run_until(8_000);
    for (known_to, evacuated) in [(50, true), (51, false)] {
        let order = ZoneOrder { zone: "zone-1".to_owned(), evacuated };
        let read = EvacuationRead { from: None, to: at(known_to), orders: vec![order] };
        fleet.feed(0, RouteEvent::EvacuationsRead(read));
        let ordered_at = fleet.now;
        fleet.run_until(ordered_at + 2_000);
        let now = BoxTime::from_millis(fleet.now);
        let knows = |subject: &FleetBox| {
            subject.state.dump(now).evacuated.iter().any(|zone| zone == "zone-1") == evacuated
        };
        let known = fleet.boxes.iter().filter(|subject| knows(subject)).count();
        assert_eq!(known, 300, "evacuated {evacuated}");
    }
}

/// Slow links: a listing of all replicas takes a box longer than its turn to read the store, and
/// twenty times as long as a listing that it sends to another box.
const LARGE: FleetSize = FleetSize { link: 250, page: 20 };
const LARGE_REPLICAS: usize = 1_000;

#[test]
fn boxes_that_start_with_many_replicas_learn_them_from_each_other() {
    for count in [30, 100, 300] {
        let mut fleet = Fleet::start_with(count, LARGE);
        fleet.put_replicas(LARGE_REPLICAS);

        let took = fleet.until_all(20_000, RouteState::is_synced);

        let (calls, listings) = (fleet.calls(), fleet.listed_entries / LARGE_REPLICAS as u64);
        let label = format!("{count} boxes: after {took:?} ms, {calls} calls, {listings} listings");
        // Boxes that learn of no other in time, or that rank themselves first in the order, list
        // the store as well.
        assert!(listings <= 12, "{label}");
        assert!(calls <= 50 * 12 + 2 * count as u32, "{label}");
        assert!(took.is_some_and(|ms| ms <= 4_000), "{label}");
    }
}

#[test]
fn boxes_that_know_all_replicas_get_no_listing_as_others_are_added() {
    let mut fleet = Fleet::start_with(100, LARGE);
    fleet.put_replicas(LARGE_REPLICAS / 2);
    let known = |fleet: &Fleet| fleet.boxes.iter().all(|subject| subject.state.is_synced());
    while !known(&fleet) {
        fleet.run_until(fleet.now + 100);
        fleet.put_replicas(10);
    }
    fleet.gossiped_entries = 0;

    for _ in 0..60 {
        fleet.run_until(fleet.now + 100);
        fleet.put_replicas(10);
    }

    assert_eq!(fleet.gossiped_entries, 0, "entries of listings");
}

#[test]
fn gossip_keeps_up_with_thousands_of_new_replicas() {
    let mut fleet = fleet_with_replicas(30);
    fleet.run_until(5_000);
    fleet.calls();

    for _ in 0..60 {
        fleet.run_until(fleet.now + 100);
        fleet.put_replicas(200);
    }

    assert_eq!(fleet.non_reader_calls(), 0, "calls of boxes that are not readers");
    fleet.run_until(fleet.now + 1_500);
    let all = |subject: &FleetBox| subject.state.backends().rows().count() == 12_020;
    assert!(fleet.boxes.iter().all(all));
}
