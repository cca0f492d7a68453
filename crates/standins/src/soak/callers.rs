//! Callers: they ask boxes which addresses to use, keep the answer for a while, and keep connections open
//! until the process behind them is gone.

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
use crate::platform::site_box::{directory_url, entry_address, named_in, SITE_HOST};

/// Key that a fault may take away.
pub const SECOND_KEY: &str = "second-key";

/// Callers at work.
pub const CALLERS: usize = 10;

/// Callers keep an answer about addresses for this long: the platform's usual two seconds.
const ADDRESS_TTL: Duration = Duration::from_millis(2_000);

/// A box's answer about addresses comes within this, or another box is asked.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sessions that callers share: each has a request every few hundredths of a second, by way of any box.
const SESSIONS: u32 = 12;

/// Longest pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 25;

/// How long a caller waits, in milliseconds.
pub const DEADLINE_MS: u64 = 3_500;

/// A caller ends a request that is not answered this long after its time.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 2_000);

/// So long before it gives up a caller looks at what the kernel lists of its connection.
const SOCKET_LIST_LEAD: Duration = Duration::from_millis(300);

/// One caller.
pub struct SoakCaller {
    number: usize,
    rng: StdRng,
    http: Client,
    boxes: Vec<IpAddr>,
    named: Vec<IpAddr>,
    asked_at: Option<Instant>,
    recorder: Arc<SoakRecorder>,
}

impl SoakCaller {
    /// A caller that knows the boxes it may ask for addresses.
    pub fn new(seed: u64, number: usize, boxes: Vec<IpAddr>, recorder: Arc<SoakRecorder>) -> Self {
        let rng = StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
        let http = Client::builder().timeout(CLIENT_TIMEOUT).no_proxy().build().expect("a client");
        Self { number, rng, http, boxes, named: Vec::new(), asked_at: None, recorder }
    }

    /// Asks until told to stop.
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

    /// Asks a box for addresses, if the last answer is too old.
    async fn refresh_addresses(&mut self) {
        if self.asked_at.is_some_and(|at| at.elapsed() < ADDRESS_TTL) && !self.named.is_empty() {
            return;
        }
        let asked = self.boxes[self.rng.gen_range(0..self.boxes.len())];
        if let Some(named) = resolve(&self.http, asked).await {
            self.named = named;
            self.asked_at = Some(Instant::now());
        }
    }

    /// Sends a request to one of the addresses and notes how it ended.
    async fn ask(&mut self, count: u64) {
        if self.named.is_empty() {
            return;
        }
        let place = self.rng.gen_range(0..self.named.len());
        let to = self.named[place];
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
        if failed && self.named.len() > 1 {
            self.named.remove(place);
        }
    }
}

/// Waits for a request's end; where that takes so long that the caller is about to give up, gives what the kernel lists of
/// the connections to its box by then.
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

/// Addresses that a box names.
pub async fn resolve(http: &Client, asked: IpAddr) -> Option<Vec<IpAddr>> {
    let answer = http.get(directory_url(asked)).timeout(DIRECTORY_TIMEOUT).send().await.ok()?;
    let answer: Value = answer.json().await.ok()?;
    let named = named_in(&answer)?;
    Some(named.iter().filter_map(|address| address.split(':').next()?.parse().ok()).collect())
}

/// Sends one request.
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
