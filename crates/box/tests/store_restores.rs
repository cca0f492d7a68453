//! Tests of a store that is restored from an older copy of its data, with boxes as processes and
//! stand-ins of the platform.

use std::path::Path;
use std::time::{Duration, Instant};

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::site::{RunningSite, SITE_KEY};
use ravenspoke_standins::platform::site_box::SiteBox;
use ravenspoke_standins::platform::store::{StoreCopy, StoreFaults, StoreOutage};

/// Time within which a confirmed plan must be in force after a store outage ends.
const APPLY_WITHIN: Duration = Duration::from_secs(3);

/// Three boxes that have plan 5, and a copy of the store from when plan 3 was the newest.
async fn site_copied_at_plan_3() -> (RunningSite, Vec<SiteBox>, StoreCopy) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    for version in 1..=3 {
        site.write_plan(version, &[SITE_KEY]);
    }
    let _ = site.start_replica("i-1", 3, 1).await;
    let copy = site.store.copy();
    for version in 4..=5 {
        site.write_plan(version, &[SITE_KEY]);
    }
    let boxes: Vec<SiteBox> =
        (0..3).map(|number| site.start_box(&format!("box-{number}"))).collect();
    for subject in &boxes {
        wait_for("the box is ready", || async { subject.ready().await.then_some(()) }).await;
        wait_in_force(subject, 5).await;
    }
    (site, boxes, copy)
}

/// Makes the store unreachable, and waits until all boxes have lost it.
async fn make_unreachable(site: &RunningSite, boxes: &[SiteBox]) {
    site.store.set_faults(StoreFaults { outage: StoreOutage::Reset, ..StoreFaults::default() });
    wait_for("all boxes lost the store", || async {
        boxes.iter().all(|subject| !subject.events("store_lost").is_empty()).then_some(())
    })
    .await;
}

async fn wait_in_force(subject: &SiteBox, version: u64) {
    wait_for("the plan is in force", || async {
        let mut plans = subject.events("plan_in_force").into_iter();
        plans.any(|event| event["version"] == version).then_some(())
    })
    .await;
}

async fn assert_in_force(boxes: &[SiteBox], version: u64) {
    let began = Instant::now();
    for subject in boxes {
        wait_in_force(subject, version).await;
    }
    assert!(began.elapsed() < APPLY_WITHIN, "{:?}", began.elapsed());
}

#[tokio::test]
async fn plan_at_a_reused_offset_comes_into_force() {
    let (site, boxes, copy) = site_copied_at_plan_3().await;
    make_unreachable(&site, &boxes).await;
    drop(site.store.restore(copy));

    // The topic ends at the same offset as before, so a read from there finds nothing.
    site.write_plan(6, &[SITE_KEY]);
    site.write_plan(7, &[SITE_KEY]);
    site.store.set_faults(StoreFaults::default());

    assert_in_force(&boxes, 7).await;
}

#[tokio::test]
async fn plan_in_a_topic_shortened_by_a_restore_comes_into_force() {
    let (site, boxes, copy) = site_copied_at_plan_3().await;
    make_unreachable(&site, &boxes).await;
    let lost = site.store.restore(copy);
    site.store.set_faults(StoreFaults::default());
    site.store.write_again(lost);

    site.write_plan(6, &[SITE_KEY]);

    assert_in_force(&boxes, 6).await;
}

#[tokio::test]
async fn restore_with_rewritten_records_causes_no_refusals_or_extra_listings() {
    let (site, boxes, copy) = site_copied_at_plan_3().await;
    make_unreachable(&site, &boxes).await;
    let lost = site.store.restore(copy);
    site.store.write_again(lost);
    site.store.set_faults(StoreFaults::default());
    for subject in &boxes {
        wait_for("the box is ready", || async { subject.ready().await.then_some(()) }).await;
    }
    let calls = |subject: &SiteBox| site.store.calls(subject.ip, "log-newest");
    let before: Vec<u64> = boxes.iter().map(calls).collect();

    // Longer than a key may be honoured without a valid read.
    let until = Instant::now() + Duration::from_secs(6);
    let mut ticks = tokio::time::interval(Duration::from_millis(100));
    while Instant::now() < until {
        ticks.tick().await;
        for subject in &boxes {
            let response = site.request(subject, "POST", "/read/x", "r1").body("b").send().await;
            assert_eq!(response.expect("a response").status(), 200);
        }
    }

    for (subject, before) in boxes.iter().zip(before) {
        let listings = calls(subject) - before;
        assert!(listings <= 10, "{listings} listings in six seconds");
    }
}
