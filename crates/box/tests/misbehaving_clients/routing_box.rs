//! Crowds at a box that routes by host and path prefix, with the limits of a small installation.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::{ReplicaMode, ReplicaStandin};
use ravenspoke_standins::platform::site::{RunningSite, OPERATOR_TOPIC, SITE_KEY, SITE_SERVICE};
use ravenspoke_standins::platform::site_box::{SiteBox, SITE_HOST};
use serde_json::json;

use super::crowd::{BodyFraming, ClientCrowd, ClientRequest};
use super::gauge::ProcessGauge;

/// Memory of the box, in megabytes, and the bound on it.
const MEMORY_MB: u32 = 110;

/// Descriptors that the box may open, and the bound on them.
pub(super) const DESCRIPTORS: u32 = 4_100;

/// Descriptors of a box whose places a small crowd fills.
const FEW_DESCRIPTORS: u32 = 400;

/// Longest body that the plan allows, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// Longest head that the plan allows, in bytes.
const HEAD_LIMIT: usize = 8_192;

/// Replicas that a request may be sent to.
pub(super) const ATTEMPTS: usize = 2;

/// Length of an ordinary body, in bytes.
pub(super) const ORDINARY_BODY: usize = 2_000;

/// Time within which an ordinary client gives up.
const PATIENCE: Duration = Duration::from_secs(30);

/// A box before one replica, and what is sampled of its process.
pub(super) struct BoxUnderTest {
    pub(super) site: RunningSite,
    pub(super) replica: ReplicaStandin,
    pub(super) subject: SiteBox,
    gauge: ProcessGauge,
}

impl BoxUnderTest {
    pub(super) async fn start(descriptors: u32) -> Self {
        let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
        site.memory_mb = Some(MEMORY_MB);
        site.descriptors = descriptors;
        site.store.put(OPERATOR_TOPIC, "config", &plan());
        let replica = site.start_replica("i-1", 3, 1).await;
        let subject = site.start_ready("box-1").await;
        let gauge = ProcessGauge::start(subject.pid(), subject.ip);
        let started = Self { site, replica, subject, gauge };
        started.wait_replicas(1).await;
        started
    }

    /// Waits until the box knows this many replicas.
    pub(super) async fn wait_replicas(&self, count: usize) {
        wait_for("the box knows the replicas", || async {
            let state = self.subject.state().await?;
            (state["backends"].as_array()?.len() == count).then_some(())
        })
        .await;
    }

    /// Address at which the box accepts callers.
    pub(super) fn entry(&self) -> SocketAddr {
        self.subject.entry_address().parse().expect("an address")
    }

    /// Brings a crowd to the box's entry, and checks the box while the crowd stays.
    async fn bear(&self, count: usize, request: &ClientRequest) {
        self.bear_at(self.entry(), count, request).await;
    }

    /// Brings a crowd to one of the box's addresses, and checks the box while the crowd stays.
    async fn bear_at(&self, address: SocketAddr, count: usize, request: &ClientRequest) {
        let crowd = ClientCrowd::start(address, count, request);
        crowd.settle().await;
        self.check(ORDINARY_BODY).await;
        drop(crowd);
    }

    /// Checks the process, and that a request with a body of this length is answered.
    pub(super) async fn check(&self, body_bytes: usize) {
        assert_eq!(self.answer(body_bytes).await, 200, "an ordinary request is answered");
        self.gauge.check((MEMORY_MB as usize) << 20, self.site.descriptors as usize);
    }

    /// Status of the answer to an ordinary request on a new connection; 0 without one.
    async fn answer(&self, body_bytes: usize) -> u16 {
        let client = reqwest::Client::builder().timeout(PATIENCE).build().expect("a client");
        let request = client.post(self.subject.entry("/read/x")).header("Host", SITE_HOST);
        let id = format!("ordinary-{:08x}", rand::random::<u32>());
        let request = request.header("X-Ravenspoke-Request-Id", id);
        let request = request.header("Authorization", format!("Bearer {SITE_KEY}"));
        let answer = request.body(vec![b'o'; body_bytes]).send().await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }
}

fn plan() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "read", "host": SITE_HOST, "path_prefix": "/read/", "kind": "idempotent",
            "timeout_ms": 8000, "target_latency_ms": 500, "priority": 1,
            "service": SITE_SERVICE, "max_attempts": ATTEMPTS,
        }, {
            "name": "chat", "host": SITE_HOST, "path_prefix": "/chat/", "kind": "stream",
            "timeout_ms": 8000, "target_latency_ms": 500, "priority": 1,
            "service": SITE_SERVICE, "max_attempts": ATTEMPTS, "stream_resume": true, "gap_aim_ms": 500,
        }],
        "services": [{ "name": SITE_SERVICE, "max_connections": 3_000 }],
        "tenants": [{ "name": "alpha", "api_keys": [SITE_KEY] }],
        "limits": {
            "max_body_bytes": BODY_LIMIT, "max_header_bytes": HEAD_LIMIT,
            "header_timeout_ms": 2_000, "idle_timeout_ms": 10_000,
        },
    })
}

/// Head of a request up to its framing.
fn head(key: Option<&str>) -> String {
    head_for("/read/x", key)
}

/// Head of a request for this path up to its framing.
pub(super) fn head_for(path: &str, key: Option<&str>) -> String {
    let key = key.map_or(String::new(), |key| format!("Authorization: Bearer {key}\r\n"));
    format!(
        "POST {path} HTTP/1.1\r\nHost: {SITE_HOST}\r\nX-Ravenspoke-Request-Id: crowd\r\n\
         X-Ravenspoke-Deadline-Ms: 7000\r\n{key}"
    )
}

/// A request whose body lacks its last byte.
fn unfinished(key: Option<&str>, framing: BodyFraming, length: usize) -> ClientRequest {
    ClientRequest::with_body(&head(key), framing, &vec![b'x'; length], 1)
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_of_the_longest_length_that_do_not_end() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(Some(SITE_KEY), BodyFraming::Announced, BODY_LIMIT);
    subject.bear(100, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_of_tens_of_kilobytes_that_do_not_end() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(Some(SITE_KEY), BodyFraming::Announced, 60 << 10);
    subject.bear(2_000, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_of_the_longest_length_that_do_not_end() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(Some(SITE_KEY), BodyFraming::Chunked(64 << 10), BODY_LIMIT);
    subject.bear(100, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_just_below_long_ones_that_do_not_end() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(Some(SITE_KEY), BodyFraming::Chunked(64 << 10), 255 << 10);
    subject.bear(400, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_without_a_key_that_do_not_end() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(None, BodyFraming::Chunked(64 << 10), 255 << 10);
    subject.bear(400, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_of_small_chunks_that_do_not_end() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(Some(SITE_KEY), BodyFraming::Chunked(3 << 10), 130 << 10);
    subject.bear(600, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_of_chunks_of_one_byte_that_do_not_end() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(Some(SITE_KEY), BodyFraming::Chunked(1), 60 << 10);
    subject.bear(300, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_of_the_longest_length_at_once() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let body = vec![b'x'; BODY_LIMIT];
    let request = ClientRequest::with_body(&head(Some(SITE_KEY)), BodyFraming::Announced, &body, 0);
    subject.bear(100, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_far_over_the_limit() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(Some(SITE_KEY), BodyFraming::Announced, 16 * BODY_LIMIT);
    subject.bear(60, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_far_over_the_limit() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(Some(SITE_KEY), BodyFraming::Chunked(64 << 10), 16 * BODY_LIMIT);
    subject.bear(150, &request).await;
}

/// Guards against room that clients without a key keep from those who have one.
#[tokio::test(flavor = "multi_thread")]
async fn room_for_long_bodies_is_not_kept_by_clients_without_a_key() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(None, BodyFraming::Announced, BODY_LIMIT);
    let crowd = ClientCrowd::start(subject.entry(), 30, &request);
    crowd.settle().await;

    subject.check(BODY_LIMIT).await;
}

/// Guards against room that stalled clients keep for as long as they stay connected.
#[tokio::test(flavor = "multi_thread")]
async fn room_for_long_bodies_comes_back_while_stalled_clients_stay() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let request = unfinished(Some(SITE_KEY), BodyFraming::Announced, BODY_LIMIT);
    let crowd = ClientCrowd::start(subject.entry(), 30, &request);
    crowd.settle().await;

    wait_for("a long request is answered", || async {
        (subject.answer(BODY_LIMIT).await == 200).then_some(())
    })
    .await;

    subject.check(ORDINARY_BODY).await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let mut bytes = head(Some(SITE_KEY)).into_bytes();
    bytes.extend(b"X-Long: ");
    bytes.resize(60 << 10, b'h');
    subject.bear(2_400, &ClientRequest::raw(bytes)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_behind_requests_that_are_not_answered_yet() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    subject.replica.set_mode(ReplicaMode::Silent);
    let request = ClientRequest::with_body(&head(Some(SITE_KEY)), BodyFraming::Announced, b"x", 0);
    let request = request.followed_by(&vec![b'x'; 2 << 20]);
    let crowd = ClientCrowd::start(subject.entry(), 700, &request);
    crowd.settle().await;
    subject.replica.set_mode(ReplicaMode::Well);

    subject.check(ORDINARY_BODY).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_that_nobody_reads() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    subject.replica.set_mode(ReplicaMode::Large(3 << 20));
    let request = ClientRequest::with_body(&head(Some(SITE_KEY)), BodyFraming::Announced, b"x", 0);
    let crowd = ClientCrowd::start(subject.entry(), 100, &request);
    crowd.settle().await;
    wait_for("the crowd's requests have run", || async {
        (!subject.replica.runs().is_empty()).then_some(())
    })
    .await;
    subject.replica.set_mode(ReplicaMode::Well);

    subject.check(ORDINARY_BODY).await;
}

/// Guards against connections without a request that take all places.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_in_all_places() {
    let subject = BoxUnderTest::start(FEW_DESCRIPTORS).await;
    subject.bear(600, &ClientRequest::raw("")).await;
}

/// Guards against unfinished bodies that take all places.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_short_bodies_in_all_places() {
    let subject = BoxUnderTest::start(FEW_DESCRIPTORS).await;
    let request = unfinished(Some(SITE_KEY), BodyFraming::Announced, 100);
    subject.bear(600, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_at_the_readiness_check() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let mut bytes = b"GET /-/ready HTTP/1.1\r\nX-Long: ".to_vec();
    bytes.resize(390 << 10, b'h');
    let address = subject.subject.ready_address();
    subject.bear_at(address, 400, &ClientRequest::raw(bytes)).await;
    assert!(subject.subject.ready().await, "the box still reports that it is ready");
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_at_the_directory() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let mut bytes = b"GET /-/resolve HTTP/1.1\r\nX-Long: ".to_vec();
    bytes.resize(390 << 10, b'h');
    let address = subject.subject.directory_address();
    subject.bear_at(address, 400, &ClientRequest::raw(bytes)).await;
    assert!(subject.subject.resolve().await.is_some(), "the directory still answers");
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_at_the_metrics() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let mut bytes = b"GET /metrics HTTP/1.1\r\nX-Long: ".to_vec();
    bytes.resize(390 << 10, b'h');
    let address = subject.subject.metrics_address();
    subject.bear_at(address, 400, &ClientRequest::raw(bytes)).await;
    assert!(subject.subject.metrics().await.is_some(), "the metrics still answer");
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_where_other_boxes_forward_requests() {
    let subject = BoxUnderTest::start(DESCRIPTORS).await;
    let mut bytes = head(Some(SITE_KEY)).into_bytes();
    bytes.extend(b"X-Long: ");
    bytes.resize(60 << 10, b'h');
    let address = subject.subject.forward_address();
    subject.bear_at(address, 2_400, &ClientRequest::raw(bytes)).await;
}
