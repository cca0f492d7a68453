//! A replica of a plain service: it works on `slots` requests at a time, queues a few more and rejects
//! the others. Of a share of its answers it sends a second copy a moment later, on the same channel.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ravenspoke_standins::platform::site::own_address;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

#[derive(Clone)]
pub struct Desk {
    pub address: SocketAddr,
    pub id: String,
    pub service: &'static str,
    slots: usize,
    queue: usize,
    work: Duration,
    /// One of so many answers is sent twice, the second time after this; 0 for none.
    pub twice: Arc<AtomicUsize>,
    late: Duration,
    answers: Arc<AtomicUsize>,
    places: Arc<Semaphore>,
    running: Arc<Semaphore>,
    /// What happened, in order: a request's id, and what was done.
    log: Arc<Mutex<Vec<(String, &'static str)>>>,
}

/// What a replica of a plain service is started with.
pub struct DeskPlan {
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    pub late: Duration,
}

impl Desk {
    pub async fn start(id: &str, service: &'static str, plan: &DeskPlan) -> Self {
        let listener = TcpListener::bind((own_address(), 0)).await.expect("a free port");
        let desk = Self {
            address: listener.local_addr().expect("it listens"),
            id: id.to_owned(),
            service,
            slots: plan.slots,
            queue: plan.queue,
            work: plan.work,
            late: plan.late,
            twice: Arc::default(),
            answers: Arc::default(),
            places: Arc::new(Semaphore::new(plan.slots + plan.queue)),
            running: Arc::new(Semaphore::new(plan.slots)),
            log: Arc::default(),
        };
        let server = desk.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        desk
    }

    pub fn entry(&self) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "regina-hall",
            "version": "v1", "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        })
    }

    pub fn log(&self) -> Vec<(String, &'static str)> {
        self.log.lock().expect("not poisoned").clone()
    }

    fn note(&self, id: &str, what: &'static str) {
        self.log.lock().expect("not poisoned").push((id.to_owned(), what));
    }

    fn load(&self) -> String {
        let running = self.slots - self.running.available_permits();
        let here = self.slots + self.queue - self.places.available_permits();
        format!("{running},{},{}", here.saturating_sub(running), self.slots)
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, writer) = stream.into_split();
        let writer = Arc::new(tokio::sync::Mutex::new(writer));
        let mut bytes = Vec::new();
        while let Some(head) = read_request(&mut reader, &mut bytes).await? {
            let header = |name: &str| {
                let rows = head.lines().filter_map(|line| line.split_once(':'));
                let mut rows = rows.filter(|(row, _)| row.eq_ignore_ascii_case(name));
                rows.next().map(|(_, value)| value.trim().to_owned())
            };
            let id = header("x-ravenspoke-request-id").unwrap_or_default();
            let misdirected =
                header("x-ravenspoke-target-instance").is_some_and(|id| id != self.id);
            let answer = if misdirected {
                format!("HTTP/1.1 421 Misdirected Request\r\nX-Ravenspoke-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n")
            } else if let Ok(_place) = self.places.clone().try_acquire_owned() {
                let mut next = [0; 1];
                let _slot = tokio::select! {
                    slot = self.running.clone().acquire_owned() => slot.expect("it is never closed"),
                    // One request at a time on a channel: what comes meanwhile is its end.
                    _ = reader.read(&mut next) => return Ok(()),
                };
                self.note(&id, "began");
                tokio::select! {
                    () = tokio::time::sleep(self.work) => {}
                    _ = reader.read(&mut next) => {
                        self.note(&id, "dropped, its channel was closed");
                        return Ok(());
                    }
                }
                let body = format!("done {id} at {}\n", self.id);
                format!(
                    "HTTP/1.1 200 OK\r\nX-Ravenspoke-Request-Id: {id}\r\n\
                     X-Ravenspoke-Response-Stamp: {}.{id}\r\nX-Ravenspoke-Instance-Load: {}\r\n\
                     Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    self.load(),
                    body.len()
                )
            } else {
                self.note(&id, "rejected");
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Ravenspoke-Request-Id: {id}\r\n\
                     X-Ravenspoke-Not-Executed: 1\r\nX-Ravenspoke-Instance-Load: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.load()
                )
            };
            writer.lock().await.write_all(answer.as_bytes()).await?;
            let every = self.twice.load(Ordering::Relaxed);
            let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            if every > 0 && number % every == 0 {
                let (writer, late, desk) = (writer.clone(), self.late, self.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(late).await;
                    if writer.lock().await.write_all(answer.as_bytes()).await.is_ok() {
                        desk.note(&id, "its answer was sent again");
                    }
                });
            }
        }
        Ok(())
    }
}

/// Reads a request with its body. Returns its head, or `None` at the end of the channel.
async fn read_request(
    reader: &mut OwnedReadHalf,
    bytes: &mut Vec<u8>,
) -> std::io::Result<Option<String>> {
    let mut piece = [0; 4096];
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        match reader.read(&mut piece).await? {
            0 => return Ok(None),
            count => bytes.extend_from_slice(&piece[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let lower = head.to_ascii_lowercase();
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    while bytes.len() < head_end + length {
        match reader.read(&mut piece).await? {
            0 => return Ok(None),
            count => bytes.extend_from_slice(&piece[..count]),
        }
    }
    bytes.drain(..head_end + length);
    Ok(Some(head))
}
