//! Tests of the encoding of datagrams between boxes: messages round-trip, and arbitrary bytes do no
//! harm.

use proptest::prelude::*;
use ravenspoke_adapter::store::KeyedRecord;
use ravenspoke_box::gateway::gossip_wire::packed::{PackedError, INFLATED_LIMIT};
use ravenspoke_box::gateway::gossip_wire::records::PackedRecords;
use ravenspoke_box::gateway::gossip_wire::{
    decode_datagram, encode_gossip, encode_sync_request, DecodedDatagram,
};
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::entry_sync::{EntryQuery, ListingPage, CHANGES_PER_MESSAGE};
use ravenspoke_core::route::model_latency::{LatencyEstimate, LatencyUpdate, ModelLatency};
use ravenspoke_core::route::peers::{
    BudgetUpdate, EntryCoverage, GossipMessage, PeerInfo, PeerSummary, PlanPosition, SyncRequest,
    TrialUpdate,
};
use ravenspoke_core::route::retry_budget::SendCount;
use ravenspoke_core::route::scheduling::account_demand::{
    AccountDemand, ShareUpdate, NAMED_ACCOUNTS,
};
use ravenspoke_core::route::scheduling::replica_speed::{
    SpeedUpdate, SAMPLES_PER_UPDATE, SPEEDS_PER_MESSAGE,
};
use ravenspoke_core::route::shares::SHARES_PER_MESSAGE;
use ravenspoke_core::route::store_access::StoreAccess;
use ravenspoke_core::route::trial::TrialState;
use ravenspoke_core::route::version_history::FormerTrial;
use ravenspoke_core::time::BoxTime;

/// Maximum size of a datagram, in bytes. One of the operator's records may come with a listing
/// page.
const DATAGRAM_LIMIT: usize = ravenspoke_box::gateway::gossip::DATAGRAM_LIMIT;

/// A position in the store's third era.
fn at(offset: u64) -> TopicPosition {
    TopicPosition::new(3, offset)
}

fn peer_info(name: &str) -> PeerInfo {
    PeerInfo {
        forward_key: 77,
        paths_lost: true,
        unreached: vec![5, 6],
        incarnation: 17,
        gossip_address: format!("10.1.0.{}:7680", name.len()),
        entry_address: format!("10.1.0.{}:8603", name.len()),
        zone: "west".to_owned(),
        open: true,
        store_access: StoreAccess::Unknown,
        strong: true,
        reads_store: true,
    }
}

fn sync_request() -> SyncRequest {
    SyncRequest {
        gossip_address: "10.1.0.9:7680".to_owned(),
        incarnation: 3,
        asked_at: BoxTime::from_micros(77_001),
        plan_position: PlanPosition { version: 5, read_to: at(12) },
        entries: EntryQuery { known_to: Some(at(40)), page_from: at(7), has_backends: true },
    }
}

fn change(number: usize) -> BackendChange {
    let mixed = (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let id = format!("i-{:010x}", mixed >> 24);
    let entry = BackendEntry {
        id: id.clone(),
        address: format!("10.{}.{}.{}:8566", number % 7, 64 + number / 250, number % 250),
        service: "model-replica-pool".to_owned(),
        zone: "some-zone-hall".to_owned(),
        version: "version-12".to_owned(),
        slots: 24,
        leaving: false,
        cold_ms: 0,
        born: None,
        spot: false,
    };
    BackendChange { id, at: at(number as u64), entry: Some(entry) }
}

fn latency(token_ms: f64) -> ModelLatency {
    let token = LatencyEstimate { ms: token_ms, answers: 12.0 };
    ModelLatency { token, begin: LatencyEstimate { ms: 32.0, answers: 30.0 } }
}

fn sync_response() -> GossipMessage {
    GossipMessage {
        name: "front-1".to_owned(),
        number: 5,
        info: peer_info("front-1"),
        era: 3,
        plan_position: PlanPosition { version: 6, read_to: at(12) },
        read_age_ms: Some(400),
        in_reply_to: Some(sync_request()),
        changes: vec![change(41), BackendChange { id: "i-1".to_owned(), at: at(42), entry: None }],
        entries: EntryCoverage {
            known_to: Some(at(43)),
            age_ms: Some(0),
            page: Some(ListingPage {
                end: at(43),
                next: Some(TopicPosition::default()),
                tombstones_from: at(41),
            }),
        },
        others: vec!["10.1.0.4:7680".to_owned()],
        budgets: vec![BudgetUpdate {
            service: "pool".to_owned(),
            count: SendCount { requests: 21, sends: 9 },
        }],
        latencies: vec![LatencyUpdate {
            service: "pool".to_owned(),
            models: vec![latency(0.25), latency(1.5)],
        }],
        speeds: vec![SpeedUpdate { replica: 9, percent: 180, samples: 3, messages_ago: 2 }],
        duty_holders: vec![PeerSummary {
            name: "f-2".to_owned(),
            info: peer_info("f-2"),
            age_ms: 900,
        }],
        ..GossipMessage::default()
    }
}

#[test]
fn sync_response_round_trips() {
    let message = sync_response();
    let decoded = decode_datagram(&encode_gossip(&message, None, None)).expect("a datagram");
    assert_eq!(decoded, DecodedDatagram::Gossip(Box::new(message), None));
}

#[test]
fn trial_with_what_came_of_earlier_orders_round_trips() {
    let states = [TrialState::Running, TrialState::Done, TrialState::RolledBack];
    let former = |(number, state): (usize, &TrialState)| FormerTrial {
        version: format!("v{number}"),
        state: *state,
    };
    let trial = TrialUpdate {
        service: "pool".to_owned(),
        version: "v9".to_owned(),
        history: states.iter().enumerate().map(former).collect(),
        ..TrialUpdate::default()
    };
    let message = GossipMessage { trials: vec![trial], ..GossipMessage::default() };

    let decoded = decode_datagram(&encode_gossip(&message, None, None)).expect("a datagram");

    assert_eq!(decoded, DecodedDatagram::Gossip(Box::new(message), None));
}

#[test]
fn gossip_message_without_a_request_has_no_entry_coverage() {
    let message =
        GossipMessage { in_reply_to: None, entries: EntryCoverage::default(), ..sync_response() };
    let decoded = decode_datagram(&encode_gossip(&message, None, None)).expect("a datagram");
    assert_eq!(decoded, DecodedDatagram::Gossip(Box::new(message), None));
}

/// The speeds that a box decodes from a message with these.
fn decoded_speeds(speeds: Vec<SpeedUpdate>) -> Vec<SpeedUpdate> {
    let message = GossipMessage { speeds, ..sync_response() };
    match decode_datagram(&encode_gossip(&message, None, None)) {
        Ok(DecodedDatagram::Gossip(message, _)) => message.speeds,
        other => panic!("{other:?}"),
    }
}

/// Without bounds, one faulty box could make a replica look a thousand times faster.
#[test]
fn speeds_of_replicas_are_bounded_when_they_are_decoded() {
    let update = SpeedUpdate { replica: 9, percent: 100, samples: 1, messages_ago: 0 };
    let low = SpeedUpdate { percent: 1, samples: u32::MAX, ..update };
    let high = SpeedUpdate { percent: u32::MAX, ..update };
    let without_ratio = SpeedUpdate { percent: 0, ..update };
    let without_samples = SpeedUpdate { samples: 0, ..update };
    let decoded = decoded_speeds(vec![low, high, without_ratio, without_samples]);
    let bounded_low = SpeedUpdate { percent: 40, samples: SAMPLES_PER_UPDATE, ..update };
    let bounded_high = SpeedUpdate { percent: 250, ..update };
    assert_eq!(decoded, [bounded_low, bounded_high]);
    assert_eq!(decoded_speeds(vec![update; 500]).len(), SPEEDS_PER_MESSAGE);
}

fn share(accounts: usize, work: f64) -> ShareUpdate {
    let row = |account| AccountDemand { account: 0x9e37_79b9_7f4a_7c15 ^ account as u64, work };
    ShareUpdate {
        service: "model-replica-pool".to_owned(),
        late_age_ms: 340,
        begun: 1_250.5,
        accounts: (0..accounts).map(row).collect(),
        other_work: 75.25,
        other_accounts: 16,
    }
}

fn decoded_shares(shares: Vec<ShareUpdate>) -> Vec<ShareUpdate> {
    let message = GossipMessage { shares, ..sync_response() };
    match decode_datagram(&encode_gossip(&message, None, None)) {
        Ok(DecodedDatagram::Gossip(message, _)) => message.shares,
        other => panic!("no gossip message: {other:?}"),
    }
}

#[test]
fn shares_round_trip_in_few_bytes() {
    let shares = vec![share(NAMED_ACCOUNTS, 640.5)];

    let length = |shares| {
        let message = GossipMessage { shares, ..GossipMessage::default() };
        encode_gossip(&message, None, None).len()
    };

    assert_eq!(decoded_shares(shares.clone()), shares);
    let bytes = length(shares) - length(Vec::new());
    assert!(bytes <= 160, "{bytes} bytes");
}

/// Guards against a damaged or hostile message that sets the level of a fleet.
#[test]
fn invalid_shares_are_dropped() {
    for work in [f64::NAN, f64::INFINITY, -1.0, 1e30] {
        let good = share(2, 5.0);
        let begun = ShareUpdate { begun: work, ..good.clone() };
        let other = ShareUpdate { other_work: work, ..good.clone() };
        for invalid in [share(1, work), begun, other] {
            let decoded = decoded_shares(vec![invalid, good.clone()]);
            assert_eq!(decoded, std::slice::from_ref(&good), "{work}");
        }
    }
    assert_eq!(decoded_shares(vec![share(NAMED_ACCOUNTS + 1, 5.0)]), []);
    assert_eq!(decoded_shares(vec![share(1, 5.0); SHARES_PER_MESSAGE + 1]), []);
}

#[test]
fn sync_request_round_trips() {
    for known_to in [None, Some(TopicPosition::default()), Some(at(40))] {
        let entries = EntryQuery { known_to, ..sync_request().entries };
        let request = SyncRequest { entries, ..sync_request() };
        let decoded = decode_datagram(&encode_sync_request(&request)).expect("a datagram");
        assert_eq!(decoded, DecodedDatagram::SyncRequest(request));
    }
}

#[test]
fn listing_page_fits_into_a_datagram() {
    let changes = (0..CHANGES_PER_MESSAGE).map(change).collect();
    let message = GossipMessage { changes, ..sync_response() };
    assert!(encode_gossip(&message, None, None).len() < DATAGRAM_LIMIT);
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic_the_decoder(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        // A datagram that can't be decoded has no effect beyond its own loss.
        drop(decode_datagram(&bytes));
    }

    #[test]
    fn truncated_datagram_does_not_panic_the_decoder(length in 0_usize..300) {
        let bytes = encode_gossip(&sync_response(), None, None);
        drop(decode_datagram(&bytes[..length.min(bytes.len())]));
    }
}

/// A plan of many routes, in the operator's format.
fn plan_of_many_routes() -> KeyedRecord {
    let route = |number: u64| {
        let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let (name, path) = (mixed >> 40, mixed & 0xff_ffff);
        serde_json::json!({
            "name": format!("r-{name:06x}"), "host": "api.example", "kind": "idempotent",
            "path_prefix": format!("/{path:06x}/{name:05x}/"), "timeout_ms": 4000,
            "target_latency_ms": 500, "priority": 1, "service": "pool", "max_attempts": 3,
            "allow_anonymous": false, "traffic_split": [{ "service": "pool", "weight": 1 }],
        })
    };
    let routes: Vec<serde_json::Value> = (0..1_000).map(route).collect();
    let plan = serde_json::json!({ "version": 9, "routes": routes });
    KeyedRecord { at: at(40), key: "config".to_owned(), value: Some(plan.to_string().into_bytes()) }
}

#[test]
fn plan_of_a_thousand_routes_fits_into_a_sync_response_with_a_listing_page() {
    let record = plan_of_many_routes();
    let message = GossipMessage {
        changes: (0..CHANGES_PER_MESSAGE).map(change).collect(),
        ..sync_response()
    };

    let packed = PackedRecords::pack(std::slice::from_ref(&record));
    let datagram = encode_gossip(&message, Some(&packed), None);

    assert!(record.value.as_ref().is_some_and(|value| value.len() > 3 * DATAGRAM_LIMIT));
    assert!(datagram.len() < DATAGRAM_LIMIT, "{} bytes", datagram.len());
    let decoded = decode_datagram(&datagram).expect("a datagram");
    assert_eq!(decoded, DecodedDatagram::Gossip(Box::new(message), Some(vec![record])));
}

#[test]
fn deleted_key_round_trips_without_a_value() {
    let record = KeyedRecord { at: at(7), key: "rollout/pool".to_owned(), value: None };
    let unpacked = PackedRecords::pack(std::slice::from_ref(&record)).unpack().expect("records");
    assert_eq!(unpacked, [record]);
}

#[test]
fn oversized_records_are_not_inflated() {
    let value = Some(vec![0; INFLATED_LIMIT]);
    let record = KeyedRecord { at: at(7), key: "config".to_owned(), value };
    let unpacked = PackedRecords::pack(std::slice::from_ref(&record)).unpack();
    assert!(matches!(unpacked, Err(PackedError::TooLong)));
}
