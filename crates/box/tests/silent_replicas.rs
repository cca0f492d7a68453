//! Tests of sound replicas that are silent for about a second, with boxes as processes.

use std::path::Path;
use std::time::Duration;

use ravenspoke_standins::platform::replica::ReplicaStandin;
use ravenspoke_standins::platform::site::{RunningSite, SITE_KEY};

/// Time for which a replica is silent.
const SILENCE: Duration = Duration::from_millis(1_200);

/// Requests that wait at the silent replica.
const REQUESTS: usize = 8;

#[tokio::test(flavor = "multi_thread")]
async fn requests_at_a_replica_that_is_silent_for_a_while_are_answered_and_run_once() {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let replica: ReplicaStandin = site.start_replica("i-a", 6, 40).await;
    let subject = site.start_ready("box-1").await;
    let stream = site.chat(&subject, "running").send().await.expect("the stream begins");

    replica.fall_silent(SILENCE);
    let requests = (0..REQUESTS).map(|number| {
        // A body that the kernel's buffers do not hold completely.
        let request = site.request(&subject, "POST", "/file/x", &format!("waiting-{number}"));
        tokio::spawn(request.body(vec![b'x'; 90_000]).send())
    });

    for request in requests.collect::<Vec<_>>() {
        let answer = request.await.expect("the request ends").expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    let body = stream.text().await.expect("a whole stream");
    assert!(body.ends_with("id: 6\ndata: piece 6\n\n"), "{body}");
    let runs = replica.runs();
    assert_eq!(runs.len(), REQUESTS + 1, "each request ran once");
}
