//! Callers: they resolve the boxes' addresses at the boxes, cache them for a while, send requests
//! to them, and reuse connections until the box closes them.

use std::future::Future;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::Client;
use serde_json::Value;
use tokio::sync::watch;

use super::recorder::{AskEnd, AskKind, AskRecord, SoakRecorder};
use super::sockets::kernel_sockets;
use crate::platform::site::SITE_KEY;
use crate::platform::site_box::{directory_url, entry_address, listed_addresses, SITE_HOST};

/// API key that a fault may revoke.
pub const SECOND_KEY: &str = "second-key";

/// Number of callers.
pub const CALLERS: usize = 10;

/// Time for which callers cache addresses: the platform's usual two seconds.
const ADDRESS_TTL: Duration = Duration::from_millis(2_000);

/// Timeout of a request for addresses. Another box may be resolver afterwards.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of sessions that callers share. Each has a request every few hundredths of a second,
/// through any box.
const SESSIONS: u32 = 12;

/// Upper bound of a caller's pause between two requests, in milliseconds.
const PAUSE_MS: u64 = 25;

/// Deadline of a request, in milliseconds.
pub const DEADLINE_MS: u64 = 3_500;

/// A caller aborts a request that is not answered within this time, 2 s past its deadline.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 2_000);

/// Time before the client's timeout at which the kernel's sockets are listed.
const SOCKET_LIST_LEAD: Duration = Duration::from_millis(300);

/// A caller, which sends one request at a time.
pub struct SoakCaller {
    number: usize,
    rng: StdRng,
    http: Client,
    boxes: Vec<IpAddr>,
    addresses: Vec<IpAddr>,
    resolved_at: Option<Instant>,
    recorder: Arc<SoakRecorder>,
}

impl SoakCaller {
    /// Creates a caller that resolves addresses at `boxes`.
    pub fn new(seed: u64, number: usize, boxes: Vec<IpAddr>, recorder: Arc<SoakRecorder>) -> Self {
        let rng = StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
        let http = Client::builder().timeout(CLIENT_TIMEOUT).no_proxy().build().expect("a client");
        Self { number, rng, http, boxes, addresses: Vec::new(), resolved_at: None, recorder }
    }

    /// Sends requests until `stop` is set.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut count = 0;
        while !*stop.borrow_and_update() {
            count += 1;
            self.refresh_addresses().await;
            self.ask(count).await;
            let pause = Duration::from_millis(self.rng.gen_range(1..PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Asks a random box for addresses if the cached ones are missing or too old.
    async fn refresh_addresses(&mut self) {
        if self.resolved_at.is_some_and(|at| at.elapsed() < ADDRESS_TTL)
            && !self.addresses.is_empty()
        {
            return;
        }
        let resolver = self.boxes[self.rng.gen_range(0..self.boxes.len())];
        if let Some(addresses) = resolve(&self.http, resolver).await {
            self.addresses = addresses;
            self.resolved_at = Some(Instant::now());
        }
    }

    /// Sends a request to a random address and records how it ended. An address that fails is
    /// removed if others are left.
    async fn ask(&mut self, count: u64) {
        if self.addresses.is_empty() {
            return;
        }
        let index = self.rng.gen_range(0..self.addresses.len());
        let to = self.addresses[index];
        let kind = match self.rng.gen_range(0..10) {
            0..=3 => AskKind::File,
            4..=6 => AskKind::Read,
            _ => AskKind::Chat,
        };
        let second_key = self.rng.gen_bool(0.3);
        let session = self.rng.gen_range(0..SESSIONS);
        let id = format!("c{}-{count}", self.number);
        let sent_at = Instant::now();
        let (end, sockets) =
            with_sockets(send(&self.http, to, kind, &id, second_key, session), to).await;
        let failed = !matches!(end, AskEnd::Answered { .. });
        let ended_at = Instant::now();
        self.recorder.record_ask(AskRecord {
            id,
            kind,
            second_key,
            session,
            to,
            sent_at,
            ended_at,
            end,
            sockets,
        });
        if failed && self.addresses.len() > 1 {
            self.addresses.remove(index);
        }
    }
}

/// Waits for a request's end. Shortly before the client's timeout the kernel's list of sockets of
/// the box is read and returned with the end.
async fn with_sockets(request: impl Future<Output = AskEnd>, to: IpAddr) -> (AskEnd, Vec<String>) {
    tokio::pin!(request);
    match tokio::time::timeout(CLIENT_TIMEOUT - SOCKET_LIST_LEAD, &mut request).await {
        Ok(end) => (end, Vec::new()),
        Err(_) => {
            let sockets = kernel_sockets(to);
            (request.await, sockets)
        }
    }
}

/// Returns the addresses that a box lists, or `None` if it does not answer in time.
pub async fn resolve(http: &Client, resolver: IpAddr) -> Option<Vec<IpAddr>> {
    let answer = http.get(directory_url(resolver)).timeout(DIRECTORY_TIMEOUT).send().await.ok()?;
    let answer: Value = answer.json().await.ok()?;
    let addresses = listed_addresses(&answer)?;
    Some(addresses.iter().filter_map(|address| address.split(':').next()?.parse().ok()).collect())
}

/// Sends one request and reads its response.
pub async fn send(
    http: &Client,
    to: IpAddr,
    kind: AskKind,
    id: &str,
    second_key: bool,
    session: u32,
) -> AskEnd {
    let key = if second_key { SECOND_KEY } else { SITE_KEY };
    let url = format!("http://{}{}", entry_address(to), kind.path());
    let mut request = http
        .post(url)
        .header("Host", SITE_HOST)
        .header("X-Ravenspoke-Request-Id", id)
        .header("X-Ravenspoke-Deadline-Ms", DEADLINE_MS.to_string())
        .header("Authorization", format!("Bearer {key}"))
        .header("Session", format!("session-{session}"))
        .body("body");
    if kind == AskKind::Chat {
        request = request.header("Accept", "text/event-stream");
    }
    let answer = match request.send().await {
        Ok(answer) => answer,
        Err(error) if error.is_connect() => return AskEnd::NotSent,
        Err(error) => return AskEnd::Broken(format!("{error:?}")),
    };
    let status = answer.status().as_u16();
    let retry_after = answer.headers().contains_key("retry-after");
    match answer.text().await {
        Ok(body) => AskEnd::Answered { status, body, retry_after },
        Err(error) => AskEnd::Broken(format!("{error:?}")),
    }
}
