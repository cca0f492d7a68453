//! Stand-in for a replica. It runs requests, streams events, and fails in ways that the protocol
//! describes.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::endless::EndlessPart;
use super::wire::{chunk, full_response, read_request, response_head, WireRequest};

/// Requests that a replica states to process at once.
const SLOTS: u32 = 8;

/// Start of the paths that a fault of one route affects.
const BAD_ROUTE: &str = "/read/";

/// Time for which a brittle replica is down after it fell over.
const FALL_TIME: Duration = Duration::from_millis(2_000);

/// Additional time of a response that a version makes slow.
const SLOW_TIME: Duration = Duration::from_millis(120);

/// How a replica treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaMode {
    /// Responds normally.
    #[default]
    Well,
    /// Is full: responds 503 and states that it did not run the request.
    Full,
    /// Runs the request and responds 500.
    Failing,
    /// Runs the request and closes the connection without a response.
    Closing,
    /// Runs the request and never responds.
    Silent,
    /// Sends its response twice.
    Surplus,
    /// Responds with another request's id.
    WrongId,
    /// Responds without the response stamp, which proves that a replica sent it.
    Unproven,
    /// Aborts streams within the event of this number.
    CutAt(u32),
    /// Stalls streams for good before the event of this number.
    PauseAt(u32),
    /// Sends bodies with neither a length nor chunks, which end with their connection.
    Unframed,
    /// The same, and ends the connection within the event of this number.
    UnframedCutAt(u32),
    /// Sends bodies of this many bytes.
    Large(usize),
    /// Sends this part of a response without end.
    Endless(EndlessPart),
}

impl ReplicaMode {
    /// Whether bodies end with their connection.
    fn is_unframed(self) -> bool {
        matches!(self, ReplicaMode::Unframed | ReplicaMode::UnframedCutAt(_))
    }
}

/// What a replica does with a request that a test decides on beforehand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAnswer {
    /// It rejects the request for want of room.
    Reject,
    /// It runs the request.
    Run,
}

/// How the responses of a bad version are bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadManner {
    /// They fail.
    Errors,
    /// They take longer.
    Slow,
    /// They fail while half of the slots or more are busy.
    UnderLoad,
    /// They fail on one route.
    OneRoute,
    /// They fail from some time after the start of the replica on.
    Late,
}

/// Fault of a replica's version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionFault {
    /// How its responses are bad.
    pub manner: BadManner,
    /// Share of the responses that are bad.
    pub share: f64,
    /// When the fault begins, if it is late.
    pub begins_at: Instant,
}

impl VersionFault {
    /// Whether it affects a request, while the replica runs `running` others.
    fn affects(&self, request: &WireRequest, id: &str, running: u32) -> bool {
        let applies = match self.manner {
            BadManner::Errors | BadManner::Slow => true,
            BadManner::UnderLoad => running >= SLOTS / 2,
            BadManner::OneRoute => request.target.starts_with(BAD_ROUTE),
            BadManner::Late => Instant::now() >= self.begins_at,
        };
        let hash = id.bytes().fold(0_u32, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x9e37_79b1).rotate_left(13)
        });
        applies && f64::from(hash) < self.share * f64::from(u32::MAX)
    }
}

/// A request that a replica ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRun {
    /// Request id.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// When it started.
    pub at: Instant,
    /// Whether the caller disconnected before the end of a stream.
    pub left: bool,
}

#[derive(Default)]
struct ReplicaRecord {
    mode: ReplicaMode,
    /// What it does with the next requests.
    next_answers: VecDeque<NextAnswer>,
    /// Whether each whole response is sent again in place of the next one on its connection.
    repeats_late: bool,
    version_fault: Option<VersionFault>,
    /// Requests that it has room for, if that is limited.
    room: Option<u32>,
    /// Requests that it runs now.
    running: u32,
    /// Times of responses that its version made bad.
    bad_at: Vec<Instant>,
    /// Rate limit that it announces, in requests a second.
    limit_per_s: Option<f64>,
    /// `Retry-After` of its rejections, in seconds.
    retry_after_s: Option<f64>,
    /// Rejections in a second that it bears, if it says that it is brittle.
    brittle_per_s: Option<u32>,
    /// It is down until this time after it rejected too many requests.
    down_until: Option<Instant>,
    /// How often that happened.
    falls: usize,
    /// It reads and writes nothing until this time.
    silent_until: Option<Instant>,
    /// Whether its responses announce that it leaves.
    leaving: bool,
    /// Times of its rejections.
    turned_away: Vec<Instant>,
    /// Body of requests that crash it, with all that it runs.
    crash_body: Option<Vec<u8>>,
    /// Prompt part of requests that crash it, wherever it stands but at the end.
    crash_part: Option<String>,
    runs: Vec<ReplicaRun>,
    connections: u32,
    /// Bytes that it wrote of parts without end.
    endless_bytes: usize,
}

/// A running replica.
#[derive(Clone)]
pub struct ReplicaStandin {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Id of this start of the replica.
    pub id: String,
    /// Number of events in a stream.
    pub events: u32,
    /// Time between two events, in milliseconds.
    pub gap_ms: u64,
    record: Arc<Mutex<ReplicaRecord>>,
    /// Set when it has crashed.
    ended: watch::Sender<bool>,
}

impl ReplicaStandin {
    /// Starts a replica on a free port of `ip`.
    pub async fn start(ip: IpAddr, id: &str, events: u32, gap_ms: u64) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let (ended, _) = watch::channel(false);
        let record = Arc::default();
        let replica = Self { address, id: id.to_owned(), events, gap_ms, record, ended };
        let server = replica.clone();
        tokio::spawn(async move {
            let mut ended = server.ended.subscribe();
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.map(|accepted| accepted.0),
                    _ = ended.changed() => break,
                };
                let Ok(stream) = stream else { break };
                if server.is_down() {
                    drop(stream.set_zero_linger());
                    continue;
                }
                server.lock().connections += 1;
                let server = server.clone();
                let mut ended = server.ended.subscribe();
                tokio::spawn(async move {
                    // The caller sees how the connection ends.
                    tokio::select! {
                        served = server.serve(stream) => drop(served),
                        _ = ended.changed() => {}
                    }
                });
            }
        });
        replica
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how it treats requests that arrive from now on.
    pub fn set_mode(&self, mode: ReplicaMode) {
        self.lock().mode = mode;
    }

    /// Sets what it does with the next requests; its mode applies to those after them.
    pub fn answer_next(&self, answers: impl IntoIterator<Item = NextAnswer>) {
        self.lock().next_answers = answers.into_iter().collect();
    }

    /// Sets whether it sends each whole response a second time, when the next request arrives on the
    /// same connection and before the response to that one.
    pub fn repeat_late(&self, repeats: bool) {
        self.lock().repeats_late = repeats;
    }

    /// Sets how many requests it has room for; it rejects others at once, also while it is silent.
    pub fn set_room(&self, room: u32) {
        self.lock().room = Some(room);
    }

    /// Sets the rate limit that its responses announce, in requests a second from all boxes
    /// together.
    pub fn set_limit(&self, limit_per_s: Option<f64>) {
        self.lock().limit_per_s = limit_per_s;
    }

    /// Sets the `Retry-After` of its rejections, in seconds.
    pub fn set_backoff(&self, retry_after_s: Option<f64>) {
        self.lock().retry_after_s = retry_after_s;
    }

    /// Makes it say that it is brittle: it then has no room beyond its slots, and falls over if it
    /// rejects more than this number of requests in a second.
    pub fn set_brittle(&self, per_s: Option<u32>) {
        self.lock().brittle_per_s = per_s;
    }

    /// Makes it read and write nothing for a while, and go on then.
    pub fn fall_silent(&self, length: Duration) {
        self.lock().silent_until = Some(Instant::now() + length);
    }

    fn has_no_room(&self) -> bool {
        let record = self.lock();
        record.room.is_some_and(|room| record.running >= room)
    }

    /// Waits until it is not silent.
    async fn wait_silence(&self) {
        loop {
            let until = self.lock().silent_until;
            let Some(until) = until.filter(|until| *until > Instant::now()) else { return };
            tokio::time::sleep_until(until.into()).await;
        }
    }

    /// Returns how often it fell over.
    pub fn falls(&self) -> usize {
        self.lock().falls
    }

    /// Whether it is down because it fell over.
    fn is_down(&self) -> bool {
        self.lock().down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Falls over if it has rejected too many requests in the last second. Returns whether it has.
    fn check_fall(&self) -> bool {
        let now = Instant::now();
        let mut record = self.lock();
        let Some(per_s) = record.brittle_per_s else { return false };
        let recent = record.turned_away.iter().rev();
        let recent = recent.take_while(|at| now - **at < Duration::from_secs(1)).count();
        if recent <= per_s as usize {
            return false;
        }
        record.falls += 1;
        record.turned_away.clear();
        record.down_until = Some(now + FALL_TIME);
        true
    }

    /// Announces in its responses from now on that it leaves.
    pub fn say_leaving(&self) {
        self.lock().leaving = true;
    }

    /// Returns the times of its rejections.
    pub fn turned_away(&self) -> Vec<Instant> {
        self.lock().turned_away.clone()
    }

    /// Makes requests with this body crash it.
    pub fn end_on(&self, body: &[u8]) {
        self.lock().crash_body = Some(body.to_owned());
    }

    /// Makes requests with this prompt part crash it, unless it is their last part.
    pub fn end_on_part(&self, part: &str) {
        self.lock().crash_part = Some(part.to_owned());
    }

    /// Whether a request crashes it.
    fn is_crashed_by(&self, request: &WireRequest) -> bool {
        let record = self.lock();
        let parts = request.header("x-ravenspoke-prefix-hash").unwrap_or_default();
        let mut shared = parts.rsplit(',').skip(1).map(|part| part.split(':').next());
        record.crash_body.as_deref() == Some(request.body.as_slice())
            || record.crash_part.is_some()
                && shared.any(|part| part == record.crash_part.as_deref())
    }

    /// Whether it has crashed.
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Headers of each response that describe its own status.
    fn status_headers(&self) -> Vec<(&'static str, String)> {
        let record = self.lock();
        let limit = record.limit_per_s.map(|limit| ("Server-Limit", limit.to_string()));
        let leaving = record.leaving.then(|| ("Server-Leaving", "1".to_owned()));
        let brittle = record.brittle_per_s.map(|count| ("Server-Brittle", count.to_string()));
        limit.into_iter().chain(leaving).chain(brittle).collect()
    }

    /// Records a rejection and returns its response.
    fn reject(&self, id: &str) -> Vec<u8> {
        let mut own_headers = self.status_headers();
        let mut record = self.lock();
        record.turned_away.push(Instant::now());
        own_headers.extend(record.retry_after_s.map(|rest| ("Retry-After", rest.to_string())));
        let mut headers = vec![("X-Ravenspoke-Request-Id", id), ("X-Ravenspoke-Not-Executed", "1")];
        headers.extend(own_headers.iter().map(|(name, value)| (*name, value.as_str())));
        full_response(503, &headers, b"")
    }

    /// Returns the requests that it ran.
    pub fn runs(&self) -> Vec<ReplicaRun> {
        self.lock().runs.clone()
    }

    /// Returns the number of connections that it accepted.
    pub fn connections(&self) -> u32 {
        self.lock().connections
    }

    /// Returns how many bytes it wrote of parts without end.
    pub fn endless_bytes(&self) -> usize {
        self.lock().endless_bytes
    }

    /// Writes a part of a response without end, until the connection is closed.
    async fn write_endless(
        &self,
        stream: &mut BufReader<TcpStream>,
        id: &str,
        part: EndlessPart,
    ) -> std::io::Result<bool> {
        stream.write_all(&part.start(id)).await?;
        let piece = part.piece();
        loop {
            stream.write_all(&piece).await?;
            self.lock().endless_bytes += piece.len();
            if let Some(pause) = part.pause() {
                pause_or_disconnect(stream, pause).await?;
            }
        }
    }

    /// Returns the same replica with the address of a proxy before it.
    pub fn behind(&self, address: SocketAddr) -> Self {
        Self { address, ..self.clone() }
    }

    /// Sets the fault of its version.
    pub fn set_version_fault(&self, fault: Option<VersionFault>) {
        self.lock().version_fault = fault;
    }

    /// Times of the responses that its version made bad.
    pub fn bad_times(&self) -> Vec<Instant> {
        self.lock().bad_at.clone()
    }

    /// Whether its version makes the response to this request bad, which is then recorded.
    fn is_made_bad(&self, request: &WireRequest, id: &str) -> Option<BadManner> {
        let mut record = self.lock();
        let running = record.running;
        let fault = record.version_fault.filter(|fault| fault.affects(request, id, running))?;
        record.bad_at.push(Instant::now());
        Some(fault.manner)
    }

    /// Returns its entry for the store.
    pub fn entry(&self, service: &str, version: &str, state: &str) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": "east",
            "version": version, "slots": SLOTS, "state": state, "cold_remaining_ms": 0, "sequence": 1,
        })
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        self.wait_silence().await;
        let mode = self.lock().mode;
        if mode == ReplicaMode::Endless(EndlessPart::Banner) {
            self.write_endless(&mut stream, "", EndlessPart::Banner).await?;
        }
        let mut held: Option<Vec<u8>> = None;
        while let Some(request) = read_request(&mut stream).await? {
            if let Some(response) = held.take() {
                stream.write_all(&response).await?;
            }
            if !self.answer(&mut stream, &request, &mut held).await? {
                break;
            }
        }
        Ok(())
    }

    /// Writes a whole response, and holds a copy of it if it is to be sent again.
    async fn respond(
        &self,
        stream: &mut BufReader<TcpStream>,
        response: Vec<u8>,
        held: &mut Option<Vec<u8>>,
    ) -> std::io::Result<()> {
        stream.write_all(&response).await?;
        *held = self.lock().repeats_late.then_some(response);
        Ok(())
    }

    /// Responds to a request. Returns whether the connection stays open.
    async fn answer(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &WireRequest,
        held: &mut Option<Vec<u8>>,
    ) -> std::io::Result<bool> {
        let id = request.header("x-ravenspoke-request-id").unwrap_or_default().to_owned();
        let expected = request.header("x-ravenspoke-target-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Ravenspoke-Request-Id", id.as_str())];
            self.respond(stream, full_response(421, &headers, b""), held).await?;
            return Ok(true);
        }
        let mode = self.lock().mode;
        if self.has_no_room() {
            self.respond(stream, self.reject(&id), held).await?;
            return Ok(true);
        }
        self.wait_silence().await;
        if self.is_down() {
            return Ok(false);
        }
        let is_full = {
            let record = self.lock();
            record.brittle_per_s.is_some() && record.running >= SLOTS
        };
        let next = self.lock().next_answers.pop_front();
        let rejects = next.map_or(mode == ReplicaMode::Full, |next| next == NextAnswer::Reject);
        if rejects || is_full {
            self.respond(stream, self.reject(&id), held).await?;
            return Ok(!self.check_fall());
        }
        let row = self.record_run(&id, request);
        if self.is_crashed_by(request) {
            self.ended.send_replace(true);
            return Ok(false);
        }
        if let ReplicaMode::Endless(part) = mode {
            self.lock().running += 1;
            let ended = self.write_endless(stream, &id, part).await;
            let mut record = self.lock();
            record.running -= 1;
            record.runs[row].left = ended.is_err();
            drop(record);
            return ended;
        }
        match self.is_made_bad(request, &id) {
            Some(BadManner::Slow) => tokio::time::sleep(SLOW_TIME).await,
            Some(_) => return self.plain(stream, &id, ReplicaMode::Failing, held).await,
            None => {}
        }
        if request.header("accept") == Some("text/event-stream") {
            self.lock().running += 1;
            let went_on = self.stream(stream, request, &id, mode).await;
            let mut record = self.lock();
            record.running -= 1;
            record.runs[row].left = went_on.is_err();
            drop(record);
            return went_on;
        }
        self.plain(stream, &id, mode, held).await
    }

    fn record_run(&self, id: &str, request: &WireRequest) -> usize {
        let mut record = self.lock();
        record.runs.push(ReplicaRun {
            id: id.to_owned(),
            target: request.target.clone(),
            body: request.body.clone(),
            headers: request.headers.clone(),
            at: Instant::now(),
            left: false,
        });
        record.runs.len() - 1
    }

    async fn plain(
        &self,
        stream: &mut BufReader<TcpStream>,
        id: &str,
        mode: ReplicaMode,
        held: &mut Option<Vec<u8>>,
    ) -> std::io::Result<bool> {
        let body = match mode {
            ReplicaMode::Large(length) => "x".repeat(length),
            _ => format!("{} answers {id}", self.id),
        };
        let id = if mode == ReplicaMode::WrongId { "another" } else { id };
        let mut headers =
            vec![("X-Ravenspoke-Request-Id", id), ("X-Ravenspoke-Instance-Load", "1,0,8")];
        if mode != ReplicaMode::Unproven {
            headers.push(("X-Ravenspoke-Response-Stamp", "stamp"));
        }
        let own_headers = self.status_headers();
        headers.extend(own_headers.iter().map(|(name, value)| (*name, value.as_str())));
        let status = if mode == ReplicaMode::Failing { 500 } else { 200 };
        let answer = full_response(status, &headers, body.as_bytes());
        match mode {
            ReplicaMode::Closing => return Ok(false),
            ReplicaMode::Silent => return std::future::pending().await,
            mode if mode.is_unframed() => {
                headers.push(("Connection", "close"));
                let mut answer = response_head(status, &headers);
                answer.extend(b"\r\n");
                answer.extend(body.as_bytes());
                stream.write_all(&answer).await?;
                return Ok(false);
            }
            ReplicaMode::Surplus => stream.write_all(&[answer.clone(), answer].concat()).await?,
            _ => self.respond(stream, answer, held).await?,
        }
        Ok(true)
    }

    async fn stream(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &WireRequest,
        id: &str,
        mode: ReplicaMode,
    ) -> std::io::Result<bool> {
        match mode {
            ReplicaMode::Closing => return Ok(false),
            ReplicaMode::Silent => return wait_for_disconnect(stream).await,
            _ => {}
        }
        let after: u32 =
            request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut headers = vec![
            ("X-Ravenspoke-Request-Id", id),
            ("X-Ravenspoke-Response-Stamp", "stamp"),
            ("Content-Type", "text/event-stream"),
        ];
        let framed = |bytes: &[u8]| if mode.is_unframed() { bytes.to_vec() } else { chunk(bytes) };
        headers.push(match mode.is_unframed() {
            true => ("Connection", "close"),
            false => ("Transfer-Encoding", "chunked"),
        });
        let own_headers = self.status_headers();
        headers.extend(own_headers.iter().map(|(name, value)| (*name, value.as_str())));
        let mut head = response_head(200, &headers);
        head.extend(b"\r\n");
        stream.write_all(&head).await?;
        for number in after + 1..=self.events {
            self.wait_silence().await;
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            match mode {
                ReplicaMode::CutAt(at) | ReplicaMode::UnframedCutAt(at) if at == number => {
                    stream.write_all(&framed(&event.as_bytes()[..9])).await?;
                    return Ok(false);
                }
                ReplicaMode::PauseAt(at) if at == number => {
                    return wait_for_disconnect(stream).await
                }
                _ => stream.write_all(&framed(event.as_bytes())).await?,
            }
            pause_or_disconnect(stream, Duration::from_millis(self.gap_ms)).await?;
        }
        if mode.is_unframed() {
            return Ok(false);
        }
        stream.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }
}

/// Waits for `pause`. Returns an error if the caller disconnects meanwhile.
async fn pause_or_disconnect(
    stream: &mut BufReader<TcpStream>,
    pause: Duration,
) -> std::io::Result<()> {
    match tokio::time::timeout(pause, stream.read_u8()).await {
        Err(_) => Ok(()),
        Ok(Err(error)) => Err(error),
        Ok(Ok(_)) => Err(std::io::Error::other("bytes where none are due")),
    }
}

async fn wait_for_disconnect(stream: &mut BufReader<TcpStream>) -> std::io::Result<bool> {
    pause_or_disconnect(stream, Duration::MAX).await?;
    Ok(false)
}
