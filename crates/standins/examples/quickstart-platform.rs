//! The quickstart on the users' platform: runs a small site and checks each step.
//!
//! `scripts/quickstart --platform` builds everything and runs this.

use std::path::Path;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::{ReplicaMode, ReplicaStandin};
use ravenspoke_standins::platform::site::{RunningSite, SITE_KEY};
use ravenspoke_standins::platform::site_box::SiteBox;

/// Number of events of a stream, and the time between two events, in milliseconds.
const EVENTS: u32 = 20;
const GAP_MS: u64 = 20;

fn step(text: &str) {
    println!("  ok  {text}");
}

#[tokio::main]
async fn main() {
    let Some(binary) = std::env::args().nth(1) else {
        eprintln!("usage: quickstart-platform RAVENSPOKED");
        std::process::exit(2);
    };
    let mut site = RunningSite::start(Path::new(&binary)).await;
    site.write_plan(1, &[SITE_KEY]);
    let replicas = [
        site.start_replica("i-1", EVENTS, GAP_MS).await,
        site.start_replica("i-2", EVENTS, GAP_MS).await,
    ];
    let mut boxes = Vec::new();
    for name in ["box-1", "box-2", "box-3"] {
        boxes.push(site.start_ready(name).await);
    }
    wait_for("each box names all three", || async {
        (boxes[0].resolve().await?.len() == boxes.len()).then_some(())
    })
    .await;
    step(
        "three boxes read the plan and two replicas from the store, and name each other to callers",
    );
    check_call(&site, &boxes[0]).await;
    check_resume(&site, &boxes[1], &replicas).await;
    check_explanation(&site, &boxes[2], &replicas).await;
    check_revocation(&site, &boxes[0]).await;
    check_stop(&mut boxes).await;
    println!("quickstart, on the platform: every step showed what it should");
}

async fn check_call(site: &RunningSite, subject: &SiteBox) {
    let answer = site.request(subject, "POST", "/file/x", "first").send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    step(&format!("a call: {}", answer.text().await.expect("a body")));
}

async fn check_resume(site: &RunningSite, subject: &SiteBox, replicas: &[ReplicaStandin]) {
    replicas[0].set_mode(ReplicaMode::CutAt(5));
    for number in 0..6 {
        let answer = site.chat(subject, &format!("s-{number}")).send().await.expect("an answer");
        let text = answer.text().await.expect("a whole stream");
        assert_eq!(text.matches("data: piece").count() as u32, EVENTS);
    }
    replicas[0].set_mode(ReplicaMode::Well);
    step("streams that one replica breaks off within an event come whole");
}

async fn check_explanation(site: &RunningSite, subject: &SiteBox, replicas: &[ReplicaStandin]) {
    replicas.iter().for_each(|replica| replica.set_mode(ReplicaMode::Closing));
    let answer = site.request(subject, "POST", "/file/x", "lost").send().await.expect("an answer");
    assert_eq!(answer.status(), 502, "it may have run");
    replicas.iter().for_each(|replica| replica.set_mode(ReplicaMode::Well));
    let of_id = || {
        let mut lines = subject.events("request_given_up").into_iter();
        std::future::ready(lines.rfind(|line| line["id"] == "lost"))
    };
    let line = wait_for("the log has the end of the request", of_id).await;
    let runs =
        replicas.iter().flat_map(ReplicaStandin::runs).filter(|run| run.id == "lost").count();
    assert_eq!(runs, 1, "it is not sent again");
    step(&format!(
        "a call whose answer is lost ran once; its id gives the cause: {}",
        line["reason"]
    ));
}

async fn check_revocation(site: &RunningSite, subject: &SiteBox) {
    site.write_plan(2, &["another-key"]);
    wait_for("the key is refused", || async {
        let answer = site.request(subject, "POST", "/read/x", "r").send().await.ok()?;
        (answer.status() == 401).then_some(())
    })
    .await;
    step("a key that the operator took away is refused");
}

async fn check_stop(boxes: &mut [SiteBox]) {
    boxes[0].signal("TERM");
    wait_for("it is no longer named", || async {
        (boxes[1].resolve().await?.len() == boxes.len() - 1).then_some(())
    })
    .await;
    step("a box that is asked to stop is no longer named");
}
