//! Tests of plans that arrive late: long plans on slow links, and a store that answers slowly.
//!
//! Boxes run as processes with stand-ins of the platform. Tests wait for conditions with a time
//! limit.

use std::path::Path;
use std::time::{Duration, Instant};

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::site::{RunningSite, OPERATOR_TOPIC, SITE_KEY};
use ravenspoke_standins::platform::site_box::{SiteBox, SITE_HOST};
use ravenspoke_standins::platform::store::{StoreFaults, StoreOutage};

/// Number of routes of a plan that does not fit into a datagram even when packed.
const MANY_ROUTES: u64 = 4_250;

/// A site with `count` boxes that have the first plan.
async fn site_of(count: usize) -> (RunningSite, Vec<SiteBox>) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let _ = site.start_replica("i-1", 3, 1).await;
    let boxes: Vec<SiteBox> =
        (0..count).map(|number| site.start_box(&format!("box-{number}"))).collect();
    for subject in &boxes {
        wait_for("the box is ready", || async { subject.ready().await.then_some(()) }).await;
    }
    (site, boxes)
}

/// Whether the box is a store reader, according to its log.
fn is_store_reader(subject: &SiteBox) -> bool {
    subject.events("reader_moved").last().is_some_and(|event| event["reads"] == true)
}

/// Waits until three boxes are store readers, and returns the others.
async fn wait_for_non_readers(boxes: &[SiteBox]) -> Vec<&SiteBox> {
    wait_for("three boxes are store readers", || async {
        let (readers, non_readers): (Vec<_>, Vec<_>) =
            boxes.iter().partition(|subject| is_store_reader(subject));
        (readers.len() == 3).then_some(non_readers)
    })
    .await
}

/// Time until the box has the plan in force.
async fn time_until_in_force(subject: &SiteBox, version: u64) -> Duration {
    let began = Instant::now();
    wait_for("the plan is in force", || async {
        let mut plans = subject.events("plan_in_force").into_iter();
        plans.any(|event| event["version"] == version).then_some(())
    })
    .await;
    began.elapsed()
}

// Guards against store calls that are cancelled while they still receive bytes. With a plan of
// 890 KB on links of 10 Mbit/s, calls were cancelled after 900 ms with more than half of the bytes
// received, and 40 of 91 boxes ran requests by the old plan for 20 s. A call that keeps receiving
// bytes is answered, however long it takes.
#[tokio::test]
async fn long_plan_on_a_slow_link_comes_into_force() {
    let (site, boxes) = site_of(5).await;
    let non_readers = wait_for_non_readers(&boxes).await;
    let only = non_readers.iter().map(|subject| subject.ip).collect();
    site.store.set_faults(StoreFaults { only, rate: 500_000, ..StoreFaults::default() });

    site.write_long_plan(2, &[SITE_KEY], MANY_ROUTES);

    for subject in non_readers {
        let took = time_until_in_force(subject, 2).await;
        assert!(took < Duration::from_secs(6), "{took:?}, for 1.1 MB at 500 KB a second");
    }
}

// Guards against a long retry pause of boxes that can't receive a plan by gossip because it does
// not fit into a datagram: after one failed call they did not call the store again for 20 s, though
// it answered each call of the other boxes.
#[tokio::test]
async fn box_learns_a_long_plan_after_a_short_store_outage() {
    let (site, boxes) = site_of(5).await;
    let non_readers = wait_for_non_readers(&boxes).await;
    let only = non_readers.iter().map(|subject| subject.ip).collect();
    let outage = StoreOutage::Reset;
    site.store.set_faults(StoreFaults { only, outage, ..StoreFaults::default() });
    site.write_long_plan(2, &[SITE_KEY], MANY_ROUTES);
    for subject in &non_readers {
        wait_for("the box lost the store", || async {
            (!subject.events("store_lost").is_empty()).then_some(())
        })
        .await;
    }

    site.store.set_faults(StoreFaults::default());

    for subject in non_readers {
        let took = time_until_in_force(subject, 2).await;
        assert!(took < Duration::from_secs(3), "{took:?} after the store was back");
    }
}

#[tokio::test]
async fn store_readers_on_slow_links_read_a_long_plan() {
    let (site, boxes) = site_of(2).await;
    site.store.set_faults(StoreFaults { rate: 500_000, ..StoreFaults::default() });

    site.write_long_plan(2, &[SITE_KEY], MANY_ROUTES);

    for subject in &boxes {
        let took = time_until_in_force(subject, 2).await;
        assert!(took < Duration::from_secs(6), "{took:?}, for 1.1 MB at 500 KB a second");
    }
}

// Guards against cancelled calls to a slow store: with 1.6 s for each call and a limit of 0.9 s, a
// confirmed plan was in force on no box until the store was fast again 3.4 s later.
#[tokio::test]
async fn plan_is_read_from_a_slow_store() {
    let (site, boxes) = site_of(2).await;
    site.store.set_faults(StoreFaults { slow_ms: 1_600, ..StoreFaults::default() });
    for subject in &boxes {
        // A call that was open before may be answered at once.
        let calls = || site.store.topic_calls(subject.ip, OPERATOR_TOPIC);
        let before = calls();
        wait_for("calls are slow", || async { (calls() > before + 1).then_some(()) }).await;
    }

    site.write_plan(2, &[SITE_KEY]);

    for subject in &boxes {
        let took = time_until_in_force(subject, 2).await;
        assert!(took < Duration::from_secs(5), "{took:?}");
    }
}

// Guards against reads that begin only after the previous one has ended. While the store took 1.6
// to 3.2 s for each call, 5,446 requests were refused as "plan_stale", by plans up to 8.2 s old.
// Overlapping reads keep the plan younger than the 4.6 s for which a key may be honoured: one call
// and the time between two.
#[tokio::test]
async fn slow_store_does_not_make_plans_stale() {
    let (site, boxes) = site_of(2).await;
    wait_for("both boxes read", || async { boxes.iter().all(is_store_reader).then_some(()) }).await;
    site.store.set_faults(StoreFaults { slow_ms: 2_500, ..StoreFaults::default() });

    let until = Instant::now() + Duration::from_secs(12);
    let mut ticks = tokio::time::interval(Duration::from_millis(20));
    let mut served = 0;
    while Instant::now() < until {
        ticks.tick().await;
        for subject in &boxes {
            let response = site.request(subject, "POST", "/read/x", "r1").body("b").send().await;
            served += u32::from(response.expect("a response").status() == 200);
        }
    }

    let refused: Vec<_> =
        boxes.iter().flat_map(|subject| subject.events("request_given_up")).collect();
    assert!(served > 200 && refused.is_empty(), "{served} served, refused: {refused:?}");
}

/// Routes of a plan of which three do not fit into one answer of the store.
const HALF_ANSWER_ROUTES: u64 = 2_500;

/// Status of a call that presents a key.
async fn status_with_key(site: &RunningSite, subject: &SiteBox, key: &str) -> u16 {
    let request = site.http.get(subject.entry("/read/x")).header("Host", SITE_HOST);
    let request = request.header("X-Ravenspoke-Request-Id", "r1").bearer_auth(key);
    request.send().await.expect("an answer").status().as_u16()
}

/// Sends calls with a key until one gets this status. Returns the statuses before.
async fn statuses_until(site: &RunningSite, subject: &SiteBox, key: &str, last: u16) -> Vec<u16> {
    let statuses = std::sync::Mutex::new(Vec::new());
    wait_for("the status is as expected", || async {
        let status = status_with_key(site, subject, key).await;
        statuses.lock().expect("not poisoned").push(status);
        (status == last).then_some(())
    })
    .await;
    statuses.into_inner().expect("not poisoned")
}

/// Guards against an answer of the store that stops short of the end and counts as the latest plan.
#[tokio::test]
async fn removed_key_is_not_honoured_while_the_plans_of_an_outage_are_read() {
    let (site, boxes) = site_of(1).await;
    let subject = &boxes[0];
    site.write_long_plan(2, &[SITE_KEY, "old-key"], 0);
    statuses_until(&site, subject, "old-key", 200).await;
    let outage = StoreFaults { outage: StoreOutage::Busy, ..StoreFaults::default() };
    site.store.set_faults(outage);
    statuses_until(&site, subject, "old-key", 503).await;
    for version in 3..8 {
        site.write_long_plan(version, &[SITE_KEY, "old-key"], HALF_ANSWER_ROUTES);
    }
    site.write_long_plan(8, &[SITE_KEY], 0);

    site.store.set_faults(StoreFaults { slow_ms: 300, ..StoreFaults::default() });

    let statuses = statuses_until(&site, subject, "old-key", 401).await;
    assert!(statuses.iter().all(|status| *status != 200), "{statuses:?}");
}
