//! Test of a replica that names a rate limit, with boxes as processes.

use std::path::Path;
use std::time::{Duration, Instant};

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::site::{RunningSite, SITE_KEY};

/// Requests a second that the limited replica names.
const LIMIT_PER_S: f64 = 2.0;

/// Time after which a newly named limit is binding, the shortest of the platform's bounds.
const LIMIT_DELAY: Duration = Duration::from_millis(3_000);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_millis(4_000);

/// Maximum number of requests to the replica in a window: one and a half times its limit, plus
/// five.
const REQUESTS_ALLOWED: usize = 17;

/// Time between two requests of callers, ten times what the replica takes.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

#[tokio::test]
async fn all_boxes_together_keep_to_a_replicas_rate_limit() {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let limited = site.start_replica("i-needy", 3, 1).await;
    let unlimited = site.start_replica("i-well", 3, 1).await;
    let mut boxes = Vec::new();
    for name in ["box-1", "box-2", "box-3"] {
        boxes.push(site.start_ready(name).await);
    }
    for subject in &boxes {
        wait_for("the box knows the replicas and the other boxes", || async {
            let state = subject.state().await?;
            let count = |field: &str| state[field].as_array().map_or(0, Vec::len);
            (count("backends") == 2 && count("peers") == 2).then_some(())
        })
        .await;
    }

    limited.set_limit(Some(LIMIT_PER_S));
    let limited_at = Instant::now();
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
    let mut statuses = Vec::new();
    while limited_at.elapsed() < LIMIT_DELAY + 2 * WINDOW {
        ticks.tick().await;
        let number = statuses.len();
        let subject = &boxes[number % boxes.len()];
        let request = site.request(subject, "POST", "/read/x", &format!("r-{number}")).body("b");
        statuses.push(request.send().await.map_or(0, |response| response.status().as_u16()));
    }

    let arrivals: Vec<Instant> = limited.runs().iter().map(|run| run.at).collect();
    let bounded = arrivals.iter().filter(|at| **at >= limited_at + LIMIT_DELAY);
    let within =
        |from: Instant| arrivals.iter().filter(|at| (from..from + WINDOW).contains(*at)).count();
    let fullest = bounded.map(|at| within(*at)).max().unwrap_or(0);
    assert!(fullest <= REQUESTS_ALLOWED, "{fullest} requests in the fullest window");
    assert!(statuses.iter().all(|status| *status == 200), "the other replica takes the rest");
    assert!(unlimited.runs().len() > arrivals.len());
}
