//! Test of a request that crashes each replica that runs it, with boxes as processes.

use std::path::Path;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::ReplicaStandin;
use ravenspoke_standins::platform::site::{RunningSite, SITE_KEY};
use ravenspoke_standins::platform::site_box::SiteBox;

/// Maximum number of crashes by one request: the number of attempts that its route allows.
const CRASHES_ALLOWED: usize = 3;

async fn status(site: &RunningSite, subject: &SiteBox, id: &str, body: &'static str) -> u16 {
    let response = site.request(subject, "POST", "/read/x", id).body(body).send();
    response.await.map_or(0, |response| response.status().as_u16())
}

fn crashed(replicas: &[ReplicaStandin]) -> usize {
    replicas.iter().filter(|replica| replica.has_ended()).count()
}

#[tokio::test]
async fn poison_request_is_refused_by_all_boxes() {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let mut replicas = Vec::new();
    for id in ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"] {
        let replica = site.start_replica(id, 3, 1).await;
        replica.end_on(b"deadly");
        replicas.push(replica);
    }
    let first = site.start_ready("box-1").await;
    let second = site.start_ready("box-2").await;
    for subject in [&first, &second] {
        wait_for("the box knows the replicas and the other box", || async {
            let state = subject.state().await?;
            let count = |field: &str| state[field].as_array().map_or(0, Vec::len);
            (count("backends") == replicas.len() && count("peers") == 1).then_some(())
        })
        .await;
    }

    let first_status = status(&site, &first, "first", "deadly").await;
    assert_eq!((first_status, crashed(&replicas)), (502, CRASHES_ALLOWED));
    for subject in [&first, &second] {
        wait_for("the box knows the poison request", || async {
            let state = subject.state().await?;
            let known = state["fatal"].as_array()?;
            known.iter().any(|row| row["fatal_age_ms"].is_u64()).then_some(())
        })
        .await;
    }
    for (number, subject) in [&first, &second].into_iter().enumerate() {
        let status_again = status(&site, subject, &format!("again-{number}"), "deadly").await;
        assert_eq!((status_again, crashed(&replicas)), (502, CRASHES_ALLOWED), "box {number}");
        let other_status = status(&site, subject, &format!("other-{number}"), "else").await;
        assert_eq!(other_status, 200, "other requests are served");
    }
    let refusals = second.events("request_given_up");
    assert!(refusals.iter().any(|line| line["reason"] == "crashes_replicas"), "{refusals:?}");
}
