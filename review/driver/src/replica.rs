//! A sound replica of a model service: it streams events that name its service, goes on after
//! `Last-Event-Id`, and pauses when it is told to. It works on `slots` requests at a time, queues a
//! few more and rejects the others; it drops a request whose channel closes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ravenspoke_standins::platform::site::own_address;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Slots and queue of a replica, if a case doesn't set them.
const PLACES: (usize, usize) = (64, 192);

/// A run: the request's id, and the event after which it went on.
pub type Run = (String, u32);

#[derive(Clone)]
pub struct Replica {
    pub address: SocketAddr,
    pub id: String,
    pub service: &'static str,
    pub events: u32,
    pub gap_ms: u64,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Id of each request that it ran, and the tenant that the box named; empty for none.
    tenants: Arc<Mutex<Vec<(String, String)>>>,
    /// When it was told to pause, and the length of the next gap of each stream that runs then.
    pause: Arc<Mutex<Option<(Instant, Duration)>>>,
    /// Models with the confidence that each states in the head of its answers.
    confidence: Arc<Mutex<Vec<(String, u8)>>>,
    /// Requests that it works on at a time.
    slots: usize,
    /// Requests that may wait for a slot.
    queue: usize,
    /// One permit for each request that may be here, running or queued.
    places: Arc<Semaphore>,
    /// One permit for each request that may run.
    running: Arc<Semaphore>,
    /// Ids of the requests that it rejected.
    rejected: Arc<Mutex<Vec<String>>>,
    /// Ids of the requests that it runs.
    active: Arc<Mutex<Vec<String>>>,
    /// Notified when it ends.
    ended: Arc<tokio::sync::Notify>,
}

/// A request while it runs.
struct ActiveRun(Arc<Mutex<Vec<String>>>, String);

impl ActiveRun {
    fn new(active: &Arc<Mutex<Vec<String>>>, id: &str) -> Self {
        active.lock().expect("not poisoned").push(id.to_owned());
        Self(active.clone(), id.to_owned())
    }
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        let mut active = self.0.lock().expect("not poisoned");
        if let Some(row) = active.iter().position(|id| *id == self.1) {
            active.remove(row);
        }
    }
}

impl Replica {
    pub async fn start(id: &str, service: &'static str, events: u32, gap_ms: u64) -> Self {
        Self::start_with(id, service, events, gap_ms, PLACES).await
    }

    /// Starts a replica with so many slots and places in its queue.
    pub async fn start_with(
        id: &str,
        service: &'static str,
        events: u32,
        gap_ms: u64,
        (slots, queue): (usize, usize),
    ) -> Self {
        let listener = TcpListener::bind((own_address(), 0)).await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let (id, runs, pause) = (id.to_owned(), Arc::default(), Arc::default());
        let (confidence, rejected, active) = (Arc::default(), Arc::default(), Arc::default());
        let (tenants, ended) = (Arc::default(), Arc::default());
        let places = Arc::new(Semaphore::new(slots + queue));
        let running = Arc::new(Semaphore::new(slots));
        let replica = Self {
            address,
            id,
            service,
            events,
            gap_ms,
            runs,
            tenants,
            pause,
            confidence,
            slots,
            queue,
            places,
            running,
            rejected,
            active,
            ended,
        };
        let server = replica.clone();
        tokio::spawn(async move {
            let mut serving = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    () = server.ended.notified() => return,
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        let server = server.clone();
                        serving.spawn(async move { server.serve(stream).await });
                    }
                }
            }
        });
        replica
    }

    /// Ends it: it closes its channels and accepts no others.
    pub fn end(&self) {
        self.ended.notify_one();
    }

    /// Makes the next gap between two events of each stream that it runs now this long.
    pub fn pause(&self, length: Duration) {
        *self.pause.lock().expect("not poisoned") = Some((Instant::now(), length));
    }

    /// The gap after an event of a stream that began at `began` and paused last at `paused`.
    fn gap(&self, began: Instant, paused: &mut Option<Instant>) -> Duration {
        let pause = *self.pause.lock().expect("not poisoned");
        match pause {
            Some((at, length)) if at > began && *paused != Some(at) => {
                *paused = Some(at);
                length
            }
            _ => Duration::from_millis(self.gap_ms),
        }
    }

    /// Sets what a model says of its answers.
    pub fn set_confidence(&self, model: &str, confidence: u8) {
        self.confidence.lock().expect("not poisoned").push((model.to_owned(), confidence));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// Id of each request that it ran, and the tenant that the box named; empty for none.
    pub fn tenants(&self) -> Vec<(String, String)> {
        self.tenants.lock().expect("not poisoned").clone()
    }

    /// Ids of the requests that it rejected without running them.
    pub fn rejected(&self) -> Vec<String> {
        self.rejected.lock().expect("not poisoned").clone()
    }

    /// Ids of the requests that it runs now.
    pub fn active(&self) -> Vec<String> {
        self.active.lock().expect("not poisoned").clone()
    }

    /// Its load as it states it: running, waiting, slots.
    pub fn load(&self) -> String {
        let running = self.slots - self.running.available_permits();
        let here = self.slots + self.queue - self.places.available_permits();
        format!("{running},{},{}", here.saturating_sub(running), self.slots)
    }

    pub fn entry(&self, state: &str) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "regina-hall",
            "version": "v1", "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": 1,
        })
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        loop {
            let head_end = loop {
                if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                    break at + 4;
                }
                let mut piece = [0; 4096];
                match stream.read(&mut piece).await? {
                    0 => return Ok(()),
                    count => bytes.extend_from_slice(&piece[..count]),
                }
            };
            let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
            let header = |name: &str| {
                let rows = head.lines().filter_map(|line| line.split_once(':'));
                let mut rows = rows.filter(|(row, _)| row.eq_ignore_ascii_case(name));
                rows.next().map(|(_, value)| value.trim().to_owned())
            };
            let length = header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            while bytes.len() < head_end + length {
                let mut piece = [0; 4096];
                match stream.read(&mut piece).await? {
                    0 => return Ok(()),
                    count => bytes.extend_from_slice(&piece[..count]),
                }
            }
            bytes.drain(..head_end + length);
            let id = header("x-ravenspoke-request-id").unwrap_or_default();
            let target = header("x-ravenspoke-target-instance");
            if target.is_some_and(|target| target != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Ravenspoke-Request-Id: {id}\r\n\
                     X-Ravenspoke-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            let after = header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            let Ok(_place) = self.places.clone().try_acquire_owned() else {
                self.rejected.lock().expect("not poisoned").push(id.clone());
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Ravenspoke-Request-Id: {id}\r\n\
                     X-Ravenspoke-Not-Executed: 1\r\nX-Ravenspoke-Instance-Load: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.load()
                );
                stream.write_all(answer.as_bytes()).await?;
                continue;
            };
            let mut next = [0; 4096];
            let _slot = tokio::select! {
                slot = self.running.clone().acquire_owned() => slot.expect("it is never closed"),
                // One request at a time on a channel: what comes meanwhile is its end.
                _ = stream.read(&mut next) => return Ok(()),
            };
            self.runs.lock().expect("not poisoned").push((id.clone(), after));
            let tenant = header("x-ravenspoke-tenant").unwrap_or_default();
            self.tenants.lock().expect("not poisoned").push((id.clone(), tenant));
            let _active = ActiveRun::new(&self.active, &id);
            let model = header("x-ravenspoke-model").unwrap_or_default();
            let confidence = {
                let rows = self.confidence.lock().expect("not poisoned");
                let row = rows.iter().find(|(row, _)| *row == model);
                row.map_or(String::new(), |(_, score)| format!("Confidence: {score}\r\n"))
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Ravenspoke-Request-Id: {id}\r\n\
                 X-Ravenspoke-Response-Stamp: {}.{id}\r\n{confidence}\
                 X-Ravenspoke-Instance-Load: {}\r\nContent-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n",
                self.id,
                self.load()
            );
            stream.write_all(answer.as_bytes()).await?;
            let (began, mut paused) = (Instant::now(), None);
            for number in after + 1..=self.events {
                let event = format!("id: {number}\ndata: {} {number}\n\n", self.service);
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await?;
                tokio::select! {
                    () = tokio::time::sleep(self.gap(began, &mut paused)) => {}
                    _ = stream.read(&mut next) => return Ok(()),
                }
            }
            stream.write_all(b"0\r\n\r\n").await?;
        }
    }
}
