//! Planned stops in calm, with boxes as processes: a request that can't end before the box does is not
//! taken while another box serves, and one that has not ended gets an answer all the same.

use std::path::Path;
use std::time::{Duration, Instant};

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::scripted::{AnswerScript, ScriptedReplica};
use ravenspoke_standins::platform::site::{
    RunningSite, OPERATOR_TOPIC, REPLICA_TOPIC, SITE_KEY, SITE_SERVICE,
};
use ravenspoke_standins::platform::site_box::{SiteBox, SITE_HOST};
use ravenspoke_standins::platform::wire::full_response;
use serde_json::json;

/// Time from the signal to the kill, as the settings of the site's boxes name it.
const GRACE: Duration = Duration::from_secs(8);

/// Requests from which a box learns how long they take.
const SAMPLES: usize = 12;

/// Two boxes before one replica, on a route of calls that may run once.
struct StoppingSite {
    /// It holds the store and the settings of the boxes.
    _site: RunningSite,
    boxes: Vec<SiteBox>,
    server: ScriptedReplica,
}

impl StoppingSite {
    /// A site whose replica takes this long for each request.
    async fn start(work: Duration) -> Self {
        let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
        site.store.put(OPERATOR_TOPIC, "config", &plan());
        let server = ScriptedReplica::start(move |request| {
            let id = request.header("x-ravenspoke-request-id").unwrap_or_default();
            let proof = [("X-Ravenspoke-Request-Id", id), ("X-Ravenspoke-Response-Stamp", "stamp")];
            let bytes = full_response(200, &proof, b"done");
            AnswerScript { delay: work, ..AnswerScript::kept(bytes) }
        })
        .await;
        site.store.put(REPLICA_TOPIC, "i-1", &server.entry(SITE_SERVICE));
        let boxes = vec![site.start_ready("box-1").await, site.start_ready("box-2").await];
        for subject in &boxes {
            wait_for("the box knows the replica and the other box", || async {
                let knows = subject.state().await?["backends"].as_array()?.len() == 1;
                (knows && subject.resolve().await?.len() == 2).then_some(())
            })
            .await;
        }
        Self { _site: site, boxes, server }
    }

    /// Sends a call to the first box on a connection of its own. Returns the status of its answer; 0
    /// if the connection was closed without one.
    async fn call(&self, id: &str) -> u16 {
        let http = reqwest::Client::new();
        let request = http.post(self.boxes[0].entry("/file/x")).header("Host", SITE_HOST);
        let request = request.header("X-Ravenspoke-Request-Id", id).body("b");
        let request = request.header("X-Ravenspoke-Deadline-Ms", "20000");
        let request = request.header("Authorization", format!("Bearer {SITE_KEY}"));
        let answer = request.send().await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    /// Sends calls at once, and waits for their answers.
    async fn learn(&self) {
        let ids: Vec<String> = (0..SAMPLES).map(|number| format!("learn-{number}")).collect();
        let calls = ids.iter().map(|id| self.call(id));
        let statuses = futures_util::future::join_all(calls).await;
        assert_eq!(statuses, [200; SAMPLES], "calls are served before the stop");
    }

    /// Stops the first box. Returns when it was told.
    fn stop(&self) -> Instant {
        self.boxes[0].signal("TERM");
        Instant::now()
    }
}

fn plan() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "file", "host": SITE_HOST, "path_prefix": "/file/", "kind": "non_idempotent",
            "timeout_ms": 20_000, "target_latency_ms": 10_000, "priority": 1,
            "service": SITE_SERVICE, "max_attempts": 2,
        }],
        "services": [{ "name": SITE_SERVICE, "max_connections": 100 }],
        "tenants": [{ "name": "alpha", "api_keys": [SITE_KEY] }],
        "limits": { "max_body_bytes": 100_000, "max_header_bytes": 8_192 },
    })
}

/// Guards against requests that are cut without an answer at the end of the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_do_not_end_in_the_grace_period_get_an_answer() {
    let all = StoppingSite::start(GRACE * 2).await;
    let (early, late) = tokio::join!(all.call("early"), async {
        wait_for("the first call runs", || async {
            all.server.has_received("early").then_some(())
        })
        .await;
        let told = all.stop();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let status = all.call("late").await;
        assert!(told.elapsed() < GRACE, "answered before the box is killed");
        status
    });

    assert_eq!((early, late), (502, 502));
    assert!(all.server.has_received("late"), "it was passed on: nothing was known of its time");
}

/// Guards against requests that are taken although they can't end within the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_can_not_end_in_the_grace_period_are_refused() {
    let all = StoppingSite::start(Duration::from_secs(6)).await;
    all.learn().await;

    let told = all.stop();
    let (early, late) = tokio::join!(all.call("early"), async {
        tokio::time::sleep(Duration::from_millis(2_200)).await;
        let began = Instant::now();
        let status = all.call("late").await;
        assert!(began.elapsed() < Duration::from_millis(500), "it is refused at once");
        status
    });

    assert_eq!((early, late), (200, 503));
    assert!(told.elapsed() < GRACE);
    assert!(!all.server.has_received("late"), "what is refused has not run");
}
