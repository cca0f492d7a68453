//! Test of replicas that fail if they must reject too many requests, with boxes as processes.

use std::path::Path;
use std::time::{Duration, Instant};

use ravenspoke_standins::platform::replica::ReplicaStandin;
use ravenspoke_standins::platform::site::{RunningSite, SITE_KEY};
use ravenspoke_standins::platform::site_box::SiteBox;

/// Rejections in a second that a replica bears.
const PER_S: u32 = 5;

/// Time within which boxes must know that replicas are brittle. The platform's bound.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_000);

/// Time between two requests before the bursts.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Streams at a time in a burst, five times the slots of both replicas.
const BURST: usize = 80;

/// Falls allowed: two, and a tenth of the replicas.
const FALLS_ALLOWED: usize = 2;

/// Sends streams to all boxes at once. Returns how many were served.
async fn burst(site: &RunningSite, boxes: &[SiteBox], name: &str) -> usize {
    let requests = (0..BURST).map(|number| {
        let request = site.chat(&boxes[number % boxes.len()], &format!("{name}-{number}"));
        tokio::spawn(async move {
            let answer = request.send().await.ok()?;
            let served = answer.status().is_success();
            (served && answer.text().await.is_ok()).then_some(())
        })
    });
    let mut served = 0;
    for request in requests.collect::<Vec<_>>() {
        served += usize::from(request.await.expect("the request ends").is_some());
    }
    served
}

#[tokio::test(flavor = "multi_thread")]
async fn bursts_make_no_brittle_replicas_fall_over() {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let replicas = [site.start_replica("i-a", 8, 40).await, site.start_replica("i-b", 8, 40).await];
    let mut boxes = Vec::new();
    for name in ["box-1", "box-2", "box-3"] {
        boxes.push(site.start_ready(name).await);
    }
    replicas.iter().for_each(|replica| replica.set_brittle(Some(PER_S)));
    let brittle_at = Instant::now();
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
    let mut number = 0;
    while brittle_at.elapsed() < KNOWN_WITHIN {
        number += 1;
        let request =
            site.request(&boxes[number % 3], "GET", "/read/x", &format!("before-{number}"));
        drop(request.send().await);
        ticks.tick().await;
    }

    let mut served = 0;
    for round in 0..8 {
        served += burst(&site, &boxes, &format!("round-{round}")).await;
    }

    let falls: usize = replicas.iter().map(ReplicaStandin::falls).sum();
    assert!(falls <= FALLS_ALLOWED, "{falls} falls");
    assert!(served >= 8 * 12, "{served} streams served of those that fit into the slots");
}
