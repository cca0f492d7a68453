//! Crowds at a box of signed bundles, with the limits that it has by default.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use ravenspoke_standins::engine::EngineFaults;
use ravenspoke_standins::fleet::{key_hash, wait_for, BinaryPaths, FleetPlan, RunningFleet};
use serde_json::json;

use super::crowd::{BodyFraming, ClientCrowd, ClientRequest};
use super::gauge::ProcessGauge;

/// Bound on the memory of the box, in megabytes. It is the memory that a box takes without a setting.
const MEMORY_MB: usize = 512;

/// Bound on open descriptors: what this process and its children may open.
const DESCRIPTORS: usize = 20_000;

/// Longest body that a box takes without a setting, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// Longest frame that boxes exchange, in bytes.
const FRAME_LIMIT: usize = 1 << 20;

/// Time within which an ordinary client gives up.
const PATIENCE: Duration = Duration::from_secs(30);

pub(super) const KEY: &str = "caller-key";

/// A box with an engine and a bundle in force, and what is sampled of its process.
pub(super) struct BoxUnderTest {
    pub(super) fleet: RunningFleet,
    gauge: ProcessGauge,
}

impl BoxUnderTest {
    pub(super) async fn start() -> Self {
        let engine =
            EngineFaults { versions: ["small-1".to_owned()].into(), ..EngineFaults::default() };
        let plan = FleetPlan {
            boxes: vec![("box-1".to_owned(), "hall-1".to_owned())],
            engines: vec![engine],
            limits: String::new(),
        };
        let fleet = RunningFleet::start(plan, binaries()).await;
        fleet.publish("bundle-1.toml", &bundle()).await;
        wait_for("the box serves", || async { (answer(&fleet).await == 200).then_some(()) }).await;
        let subject = &fleet.boxes[0];
        let entry: SocketAddr = subject.row.entry.parse().expect("an address");
        let gauge = ProcessGauge::start(subject.pid(), entry.ip());
        Self { fleet, gauge }
    }

    /// Address at which the box accepts callers.
    pub(super) fn entry(&self) -> SocketAddr {
        self.fleet.boxes[0].row.entry.parse().expect("an address")
    }

    /// Checks the process, and that an ordinary request is answered.
    pub(super) async fn check(&self) {
        assert_eq!(answer(&self.fleet).await, 200, "an ordinary request is answered");
        self.gauge.check(MEMORY_MB << 20, DESCRIPTORS);
    }

    /// Brings a crowd to the entry, and checks the box while the crowd stays.
    async fn bear(&self, count: usize, request: &ClientRequest) {
        self.bear_at(&self.fleet.boxes[0].row.entry, count, request).await;
    }

    /// Brings a crowd to one of the box's addresses, and checks the box while the crowd stays.
    async fn bear_at(&self, address: &str, count: usize, request: &ClientRequest) {
        let address = address.parse().expect("an address");
        let crowd = ClientCrowd::start(address, count, request);
        crowd.settle().await;
        self.check().await;
        drop(crowd);
    }
}

fn binaries() -> BinaryPaths {
    let entry_box = PathBuf::from(env!("CARGO_BIN_EXE_ravenspoked"));
    let command = entry_box.with_file_name("ravenspoke");
    assert!(command.exists(), "build the command first: cargo build --workspace --bins");
    BinaryPaths { entry_box, command }
}

fn bundle() -> String {
    format!(
        "[models.small]\ncost_per_1k = 1.0\nversion = \"small-1\"\n\
         [versions.small-1]\nmodel = \"small\"\nstate = \"serving\"\n\
         [accounts.a]\nkey_hashes = [\"{}\"]\nallow = [\"small\"]\nservices = [\"broker\"]\n\
         [services.broker]\nnot_repeatable = [\"POST /releases\"]\n",
        key_hash(KEY)
    )
}

/// Status of the answer to an ordinary request on a new connection; 0 without one.
async fn answer(fleet: &RunningFleet) -> u16 {
    let client = reqwest::Client::builder().timeout(PATIENCE).build().expect("a client");
    let url = format!("{}/v1/chat/completions", fleet.boxes[0].entry_url());
    let body = json!({
        "model": "small", "max_tokens": 8,
        "messages": [{ "role": "user", "content": "why did my seat vanish?" }],
    });
    let answer = client.post(url).bearer_auth(KEY).json(&body).send().await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

/// Head of a chat request up to its framing.
fn head(key: Option<&str>) -> String {
    let key = key.map_or(String::new(), |key| format!("Authorization: Bearer {key}\r\n"));
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: box\r\nContent-Type: application/json\r\n{key}"
    )
}

/// A chat request whose body lacks its last byte.
fn unfinished(key: Option<&str>, framing: BodyFraming, length: usize) -> ClientRequest {
    ClientRequest::with_body(&head(key), framing, &vec![b' '; length], 1)
}

/// A chat request with a prompt of the longest length.
fn long_prompt() -> Vec<u8> {
    let around = json!({ "model": "small", "messages": [{ "role": "user", "content": "" }] });
    let prompt = "p".repeat(BODY_LIMIT - around.to_string().len());
    let body = json!({ "model": "small", "messages": [{ "role": "user", "content": prompt }] });
    body.to_string().into_bytes()
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_of_the_longest_length_that_do_not_end() {
    let subject = BoxUnderTest::start().await;
    let request = unfinished(Some(KEY), BodyFraming::Announced, BODY_LIMIT);
    subject.bear(200, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_of_the_longest_length_that_do_not_end() {
    let subject = BoxUnderTest::start().await;
    let request = unfinished(Some(KEY), BodyFraming::Chunked(64 << 10), BODY_LIMIT);
    subject.bear(200, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_without_a_key_that_do_not_end() {
    let subject = BoxUnderTest::start().await;
    let request = unfinished(None, BodyFraming::Chunked(64 << 10), BODY_LIMIT);
    subject.bear(200, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_far_over_the_limit() {
    let subject = BoxUnderTest::start().await;
    let request = unfinished(Some(KEY), BodyFraming::Chunked(64 << 10), 8 * BODY_LIMIT);
    subject.bear(300, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_of_empty_lists() {
    let subject = BoxUnderTest::start().await;
    let mut body = b"[[]".to_vec();
    while body.len() + 4 <= BODY_LIMIT {
        body.extend(b",[]");
    }
    body.push(b']');
    let request = ClientRequest::with_body(&head(Some(KEY)), BodyFraming::Announced, &body, 0);
    subject.bear(100, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_messages_of_empty_parts() {
    let subject = BoxUnderTest::start().await;
    let mut body =
        b"{\"model\":\"small\",\"messages\":[{\"role\":\"user\",\"content\":[{}".to_vec();
    while body.len() + 8 <= BODY_LIMIT {
        body.extend(b",{}");
    }
    body.extend(b"]}]}");
    let request = ClientRequest::with_body(&head(Some(KEY)), BodyFraming::Announced, &body, 0);
    subject.bear(100, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_prompts_of_the_longest_length_at_once() {
    let subject = BoxUnderTest::start().await;
    let request =
        ClientRequest::with_body(&head(Some(KEY)), BodyFraming::Announced, &long_prompt(), 0);
    subject.bear(100, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn service_calls_of_the_longest_length_that_do_not_end() {
    let subject = BoxUnderTest::start().await;
    let head = format!(
        "POST /services/broker/releases/7 HTTP/1.1\r\nHost: box\r\nIdempotency-Key: crowd\r\n\
         Authorization: Bearer {KEY}\r\n"
    );
    let body = vec![b'x'; BODY_LIMIT];
    let request = ClientRequest::with_body(&head, BodyFraming::Announced, &body, 1);
    subject.bear(200, &request).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end() {
    let subject = BoxUnderTest::start().await;
    let mut bytes = head(Some(KEY)).into_bytes();
    bytes.extend(b"X-Long: ");
    bytes.resize(390 << 10, b'h');
    subject.bear(2_000, &ClientRequest::raw(bytes)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_at_the_operators_address() {
    let subject = BoxUnderTest::start().await;
    let mut bytes = b"GET /state HTTP/1.1\r\nX-Long: ".to_vec();
    bytes.resize(390 << 10, b'h');
    let address = subject.fleet.boxes[0].row.operator.clone();
    subject.bear_at(&address, 2_000, &ClientRequest::raw(bytes)).await;
    assert!(subject.fleet.state(0).await.is_some(), "the operator is still answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn frames_of_strangers_at_the_address_of_other_boxes() {
    let subject = BoxUnderTest::start().await;
    let mut bytes = u32::try_from(FRAME_LIMIT).expect("a length").to_be_bytes().to_vec();
    bytes.resize(FRAME_LIMIT, b'f');
    let address = subject.fleet.boxes[0].row.peer.clone();
    subject.bear_at(&address, 2_000, &ClientRequest::raw(bytes)).await;
}
