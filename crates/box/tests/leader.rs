//! Tests of the leader's work, with boxes as processes and stand-ins of the platform's store and
//! API.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::cloud::{CloudOutage, CloudStandin};
use ravenspoke_standins::platform::site::{own_address, RunningSite, SITE_KEY, WINDOW_S};
use ravenspoke_standins::platform::site_box::SiteBox;

/// A site with a replica, whose platform has an API.
async fn site_with_cloud() -> (RunningSite, CloudStandin) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    let cloud = CloudStandin::start(own_address()).await;
    site.cloud = Some(cloud.address);
    site.write_plan(1, &[SITE_KEY]);
    drop(site.start_replica("a", 3, 1).await);
    (site, cloud)
}

/// Reported counts by window.
fn reports(cloud: &CloudStandin) -> BTreeMap<u64, BTreeSet<String>> {
    let mut reports: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    for call in cloud.calls().iter().filter(|call| call.path == "/usage") {
        let window = call.body["window"].as_u64().expect("a window");
        reports.entry(window).or_default().insert(call.body["counts"].to_string());
    }
    reports
}

/// The box whose call was accepted last.
fn last_leader(cloud: &CloudStandin) -> Option<String> {
    cloud.calls().last().map(|call| call.holder.clone())
}

async fn wait_for_reports(cloud: &CloudStandin, more: usize) {
    let before = reports(cloud).len();
    wait_for("windows are reported", || async {
        (reports(cloud).len() >= before + more).then_some(())
    })
    .await;
}

/// Sends `times` requests to each box, and returns the usage window of the last response.
async fn send_requests(site: &RunningSite, boxes: &[SiteBox], times: usize) -> u64 {
    for number in 0..times {
        for subject in boxes {
            let id = format!("{}-{number}", subject.ip);
            let response = site.request(subject, "POST", "/read/x", &id).body("b").send().await;
            assert!(response.is_ok_and(|response| response.status().is_success()));
        }
    }
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a time after 1970").as_secs() / WINDOW_S
}

#[tokio::test]
async fn usage_of_all_boxes_is_reported_by_one_leader() {
    let (mut site, cloud) = site_with_cloud().await;
    let mut boxes = Vec::new();
    for name in ["box-1", "box-2", "box-3"] {
        boxes.push(site.start_ready(name).await);
    }
    wait_for_reports(&cloud, 1).await;

    let last = send_requests(&site, &boxes, 10).await;

    wait_for("the window is reported", || async {
        reports(&cloud).contains_key(&last).then_some(())
    })
    .await;
    let counted: u64 =
        cloud.calls().iter().filter_map(|call| call.body["counts"]["alpha"].as_u64()).sum();
    assert_eq!(counted, 30);
    let holders: BTreeSet<String> = cloud.calls().into_iter().map(|call| call.holder).collect();
    assert_eq!(holders.len(), 1, "{holders:?}");
}

#[tokio::test]
async fn another_box_reports_usage_after_the_leader_is_killed_stopped_or_frozen() {
    for signal in ["KILL", "TERM", "STOP"] {
        let (mut site, cloud) = site_with_cloud().await;
        let mut boxes = BTreeMap::new();
        for name in ["box-1", "box-2", "box-3"] {
            boxes.insert(name.to_owned(), site.start_ready(name).await);
        }
        wait_for_reports(&cloud, 1).await;
        let leader = last_leader(&cloud).expect("a leader");

        boxes[&leader].signal(signal);
        wait_for_reports(&cloud, 3).await;
        boxes[&leader].signal("CONT");
        wait_for_reports(&cloud, 2).await;

        assert_ne!(last_leader(&cloud), Some(leader), "{signal}");
        let tokens: BTreeSet<(u64, String)> =
            cloud.calls().into_iter().map(|call| (call.token, call.holder)).collect();
        let numbers: BTreeSet<u64> = tokens.iter().map(|(token, _)| *token).collect();
        assert_eq!(numbers.len(), tokens.len(), "{signal}: {tokens:?}");
        assert!(reports(&cloud).values().all(|counts| counts.len() == 1), "{signal}");
    }
}

#[tokio::test]
async fn usage_reports_are_retried_unchanged_during_an_api_outage() {
    let (mut site, cloud) = site_with_cloud().await;
    let subject = site.start_ready("box-1").await;
    wait_for_reports(&cloud, 1).await;

    for outage in [CloudOutage::Busy, CloudOutage::Silent] {
        cloud.set_outage(outage, 0);
        send_requests(&site, std::slice::from_ref(&subject), 3).await;
        let before = cloud.asked();
        wait_for("the report is sent again", || async {
            (cloud.asked() >= before + 2).then_some(())
        })
        .await;
        cloud.set_outage(CloudOutage::None, 0);
        wait_for_reports(&cloud, 2).await;
    }

    assert!(reports(&cloud).values().all(|counts| counts.len() == 1));
    assert_eq!(cloud.refused(), 0);
}
