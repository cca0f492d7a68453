//! Tests of the box's clock: it counts time in suspension, and waits end by it.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use ravenspoke_box::clock::{BoxClock, SuspensionWatch};
use ravenspoke_box::gateway::driver::{GatewayDriver, GatewaySinks};
use ravenspoke_box::gateway::sync_pacer::SyncPacer;
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::peers::BoxCapacity;
use ravenspoke_core::route::plan::RoutePlan;
use ravenspoke_core::route::plan_freshness::FreshBounds;
use ravenspoke_core::route::retry_budget::BudgetBounds;
use ravenspoke_core::route::{RouteSettings, RouteState};
use tokio::sync::mpsc::{channel, unbounded_channel};

/// A time longer than any test takes.
const TEST_LIMIT: Duration = Duration::from_secs(60);

fn clock() -> BoxClock {
    BoxClock::start().expect("the system has the clock")
}

#[test]
fn clock_counts_time_in_suspension() {
    let clock = clock();
    let before = clock.now();
    clock.skip(TEST_LIMIT);
    assert!(clock.since(before) >= TEST_LIMIT);
    assert_eq!(clock.until(before), Duration::ZERO);
}

#[tokio::test]
async fn wait_across_a_suspension_ends_soon_after_it() {
    let clock = clock();
    let wait = clock.within(TEST_LIMIT, std::future::pending::<()>());
    // Polled after the wait, which has begun by then.
    let wake = async { clock.skip(TEST_LIMIT) };
    let ended = tokio::time::timeout(TEST_LIMIT / 4, async { tokio::join!(wait, wake).0 }).await;
    assert_eq!(ended, Ok(None));
}

#[tokio::test]
async fn ready_future_wins_over_an_expired_wait() {
    let clock = clock();
    assert_eq!(clock.within(Duration::ZERO, async { 1 }).await, Some(1));
}

#[test]
fn suspension_is_reported_once_with_its_length() {
    let clock = clock();
    let mut watch = SuspensionWatch::start(&clock);
    assert_eq!(watch.check(&clock), None);
    clock.skip(Duration::from_secs(5));
    let length = watch.check(&clock).expect("it was suspended");
    assert_eq!(length.as_secs_f64().round(), 5.0, "{length:?}");
    assert_eq!(watch.check(&clock), None);
}

/// Time after which a box that knows a plan accepts callers in any case.
const START_TIME: Duration = Duration::from_secs(10);

/// Tells a driver's box that it has just read its plan.
fn read_plan(driver: &GatewayDriver) {
    let plan = Some(RoutePlan { version: 1, ..RoutePlan::default() });
    driver.feed(RouteEvent::PlanRead {
        asked_at: driver.now(),
        read_to: TopicPosition::new(1, 1),
        plan,
    });
}

/// A driver whose box accepts callers, has just read a plan, and may rely on it for [`TEST_LIMIT`] at
/// most.
fn driver_with_plan(clock: Arc<BoxClock>) -> GatewayDriver {
    let settings = RouteSettings {
        load: Default::default(),
        drain_ms: 7_500,
        forward_key: 1,
        name: "box-1".to_owned(),
        zone: "east".to_owned(),
        incarnation: 1,
        entry_address: "box-1:80".to_owned(),
        gossip_address: "box-1:90".to_owned(),
        is_seed: false,
        capacity: BoxCapacity::default(),
        fresh: FreshBounds { revoke_ms: Some(TEST_LIMIT.as_millis() as u64), apply_ms: 2_000 },
        budget: BudgetBounds { ratio: 0.1, slack: 10.0, window_ms: 10_000 },
        exposure: Default::default(),
        leader: None,
        regions: std::collections::BTreeMap::new(),
    };
    let sinks = GatewaySinks {
        gossip: channel(1).0,
        sync_responses: unbounded_channel().0,
        verdicts: unbounded_channel().0,
        checkpoints: unbounded_channel().0,
        poison: unbounded_channel().0,
        probes: unbounded_channel().0,
        leader_orders: unbounded_channel().0,
    };
    let pacer = SyncPacer::new(100.0);
    let driver = GatewayDriver::new(RouteState::new(settings), sinks, clock.clone(), pacer);
    read_plan(&driver);
    clock.skip(START_TIME);
    read_plan(&driver);
    driver
}

#[test]
fn plan_ages_during_a_suspension() {
    let clock = Arc::new(clock());
    let driver = driver_with_plan(clock.clone());
    assert!(driver.state().ready(driver.now()));
    clock.skip(TEST_LIMIT);
    assert!(!driver.state().ready(driver.now()));
}

/// Sources that may read the monotonic clock, which does not count suspensions: for logs, for
/// intervals of periodic work, and for the age of open store calls.
const MONOTONIC_CLOCK_SOURCES: [&str; 5] = [
    "clock.rs",
    "gateway/exchange.rs",
    "gateway/process.rs",
    "gateway/relay.rs",
    "gateway/store_calls.rs",
];

/// Collects the sources of the box with their paths below `src`.
fn sources(directory: &Path, below: &str, found: &mut Vec<(String, String)>) {
    for entry in std::fs::read_dir(directory).expect("sources") {
        let path = entry.expect("an entry").path();
        let name = format!("{below}{}", path.file_name().expect("a name").to_string_lossy());
        if path.is_dir() {
            sources(&path, &format!("{name}/"), found);
        } else {
            found.push((name, std::fs::read_to_string(&path).expect("a source")));
        }
    }
}

#[test]
fn decisions_do_not_use_the_monotonic_clock() {
    let mut found = Vec::new();
    sources(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/src")), "", &mut found);
    let monotonic = found.iter().filter(|(_, text)| text.contains("Instant::now"));
    let others: Vec<&str> = monotonic
        .map(|row| row.0.as_str())
        .filter(|name| !MONOTONIC_CLOCK_SOURCES.contains(name))
        .collect();
    assert_eq!(others, Vec::<&str>::new());
}
