//! Tests of evacuations of availability zones, with boxes as processes and stand-ins of the
//! platform.
//!
//! They guard against orders that no box reads: in that case, 5,896 requests were sent to replicas
//! of evacuated zones more than five seconds after the store had confirmed the order.

use std::path::Path;
use std::time::Duration;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::ReplicaStandin;
use ravenspoke_standins::platform::site::{
    evacuation_key, own_address, RunningSite, OPERATOR_TOPIC, REPLICA_TOPIC, SITE_KEY, SITE_SERVICE,
};
use ravenspoke_standins::platform::site_box::SiteBox;
use ravenspoke_standins::platform::store::{StoreFaults, StoreOutage};
use serde_json::json;

/// Number of requests that shows where a box sends them. With two replicas of equal load, the
/// probability that one of them gets none is 2^-20.
const REQUESTS: usize = 20;

/// Time within which an evacuation order must reach every connected box, the shortest one that the
/// platform guarantees.
const EVACUATE_WITHIN: Duration = Duration::from_millis(5_000);

/// A site with a plan, and a replica in each of two zones.
async fn two_zones() -> (RunningSite, ReplicaStandin, ReplicaStandin) {
    let site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let east = start_in(&site, "i-east", "east").await;
    let west = start_in(&site, "i-west", "west").await;
    (site, east, west)
}

async fn start_in(site: &RunningSite, id: &str, zone: &str) -> ReplicaStandin {
    let replica = ReplicaStandin::start(own_address(), id, 3, 1).await;
    let mut entry = replica.entry(SITE_SERVICE, "v1", "ready");
    entry["zone"] = json!(zone);
    site.store.put(REPLICA_TOPIC, id, &entry);
    replica
}

fn evacuate(site: &RunningSite, zone: &str) {
    site.store.put(OPERATOR_TOPIC, &evacuation_key(zone), &json!({}));
}

fn withdraw_evacuation(site: &RunningSite, zone: &str) {
    site.store.drop_key(OPERATOR_TOPIC, &evacuation_key(zone));
}

/// The zones that a box considers evacuated.
async fn evacuated(subject: &SiteBox) -> Option<Vec<String>> {
    let state = subject.state().await?;
    let zones = state["evacuated"].as_array()?;
    Some(zones.iter().filter_map(|zone| zone.as_str().map(str::to_owned)).collect())
}

async fn wait_evacuated(subject: &SiteBox, zones: &[&str]) {
    let known = wait_for("the box knows the zones under evacuation", || async {
        (evacuated(subject).await? == zones).then_some(())
    });
    tokio::time::timeout(EVACUATE_WITHIN, known).await.expect("it knows them in time");
}

async fn wait_replicas(subject: &SiteBox, count: usize) {
    wait_for("the box knows the replicas", || async {
        let state = subject.state().await?;
        (state["backends"].as_array()?.len() == count).then_some(())
    })
    .await;
}

/// Sends requests, and returns their statuses.
async fn send_requests(site: &RunningSite, subject: &SiteBox, label: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let request = site.request(subject, "POST", "/read/x", &format!("{label}-{number}"));
        let response = request.body("b").send().await;
        statuses.push(response.map_or(0, |response| response.status().as_u16()));
    }
    statuses
}

#[tokio::test]
async fn evacuated_zone_gets_no_requests_until_the_order_is_withdrawn() {
    let (mut site, east, west) = two_zones().await;
    let subject = site.start_ready("box-1").await;
    wait_replicas(&subject, 2).await;

    evacuate(&site, "east");
    wait_evacuated(&subject, &["east"]).await;
    let before = east.runs().len();
    assert_eq!(send_requests(&site, &subject, "emptied").await, [200; REQUESTS]);
    assert_eq!((east.runs().len() - before, west.runs().len()), (0, REQUESTS));

    withdraw_evacuation(&site, "east");
    wait_evacuated(&subject, &[]).await;
    assert_eq!(send_requests(&site, &subject, "back").await, [200; REQUESTS]);
    assert!(east.runs().len() > before, "a zone is used after its order is withdrawn");
}

#[tokio::test]
async fn evacuation_of_all_zones_refuses_callers_at_once_with_retry_after() {
    let (mut site, east, west) = two_zones().await;
    let subject = site.start_ready("box-1").await;
    wait_replicas(&subject, 2).await;

    evacuate(&site, "east");
    evacuate(&site, "west");
    wait_evacuated(&subject, &["east", "west"]).await;
    let request = site.request(&subject, "POST", "/file/x", "none").body("b").send();
    let response = tokio::time::timeout(Duration::from_millis(500), request).await;

    let response = response.expect("at once").expect("a response");
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!((east.runs().len(), west.runs().len()), (0, 0));
}

#[tokio::test]
async fn starting_and_cut_off_boxes_learn_evacuations_from_others() {
    let (mut site, east, _west) = two_zones().await;
    let (reader, cut_off) = (site.start_ready("box-1").await, site.start_ready("box-2").await);
    wait_replicas(&cut_off, 2).await;
    let outage = StoreFaults {
        outage: StoreOutage::Reset,
        only: [cut_off.ip].into_iter().collect(),
        ..StoreFaults::default()
    };
    site.store.set_faults(outage);

    evacuate(&site, "east");
    wait_evacuated(&reader, &["east"]).await;
    wait_evacuated(&cut_off, &["east"]).await;
    let started = site.start_ready("box-3").await;
    wait_replicas(&started, 2).await;
    assert_eq!(evacuated(&started).await, Some(vec!["east".to_owned()]));
    for (label, subject) in [("cut", &cut_off), ("started", &started)] {
        assert_eq!(send_requests(&site, subject, label).await, [200; REQUESTS]);
    }
    assert_eq!(east.runs().len(), 0);

    withdraw_evacuation(&site, "east");
    wait_evacuated(&cut_off, &[]).await;
    wait_evacuated(&started, &[]).await;
}

#[tokio::test]
async fn evacuation_order_survives_a_store_compaction() {
    let (mut site, east, _west) = two_zones().await;
    let subject = site.start_ready("box-1").await;
    wait_replicas(&subject, 2).await;
    evacuate(&site, "east");
    wait_evacuated(&subject, &["east"]).await;

    withdraw_evacuation(&site, "east");
    evacuate(&site, "west");
    site.store.compact(OPERATOR_TOPIC);
    wait_evacuated(&subject, &["west"]).await;
    assert_eq!(send_requests(&site, &subject, "compacted").await, [200; REQUESTS]);
    assert_eq!(east.runs().len(), REQUESTS);
}
