//! Takes callers' connections, and closes them politely at the planned stop.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::exchange::{serve_request, GatewayTools};
use super::listen::ListeningEntry;
use super::observe;

/// Read buffer of a connection, in bytes, where the plan does not allow larger heads.
pub const BUFFER_BYTES: usize = 64 << 10;

/// Heads of the largest size allowed that a read buffer holds: a head that is a little too large is
/// read whole, and answered.
pub const BUFFER_HEADS: usize = 2;

/// A connection that rests longer than the plan allows is closed after this much more, in
/// milliseconds.
pub const IDLE_SLACK_MS: u64 = 5_000;

/// Part of the process's descriptors that callers may take.
pub const CALLER_PART: f64 = 0.6;

/// Open connections of callers.
#[derive(Default)]
pub struct CallerCount(AtomicUsize);

impl CallerCount {
    /// How many are open.
    pub fn open(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

struct CountedCaller(Arc<CallerCount>);

impl CountedCaller {
    fn new(count: &Arc<CallerCount>) -> Self {
        count.0.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for CountedCaller {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection that is taken while others are closed gets this long for its request, in milliseconds.
pub const FIRST_REQUEST_MS: u64 = 100;

/// Pause after a connection could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

/// How far a box's planned stop has come, for its callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryPhase {
    /// There is none: connections are kept.
    Open,
    /// It has begun: each connection ends with its next answer.
    Stopping,
    /// Callers know of it: connections without a request are closed.
    Closing,
    /// No more connections are taken.
    Closed,
}

/// Takes callers' connections, within the limit, and serves each in a task of its own.
pub struct CallerEntry {
    /// What requests are served with.
    pub tools: Arc<GatewayTools>,
    /// Open connections.
    pub count: Arc<CallerCount>,
    /// How many there may be.
    pub limit: usize,
    /// Whether the last connection found too many open.
    pub full: AtomicBool,
    /// How far the planned stop has come.
    pub phase: watch::Receiver<EntryPhase>,
}

impl CallerEntry {
    /// Takes connections until the entry is to be closed.
    pub async fn accept(&self, listener: &ListeningEntry) {
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                // The sender lives as long as the process.
                _ = phase.wait_for(|phase| *phase == EntryPhase::Closed) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(stream) => self.take(stream),
                Err(error) => {
                    // Out of descriptors, or the caller was gone at once: the next may do better.
                    observe::note_socket_failed("entry", &error);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }

    /// Closes the socket, and takes the connections that wait there.
    pub fn take_last(&self, listener: ListeningEntry) {
        match listener.close() {
            Ok(waiting) => waiting.into_iter().for_each(|stream| self.take(stream)),
            Err(error) => observe::note_socket_failed("entry", &error),
        }
    }

    fn take(&self, stream: TcpStream) {
        let full = self.count.open() >= self.limit;
        let was_full = self.full.swap(full, Ordering::Relaxed);
        if full {
            observe::note_caller_turned_away();
            if !was_full {
                observe::note_callers_full(self.limit);
            }
            return;
        }
        let counted = CountedCaller::new(&self.count);
        let (tools, phase) = (self.tools.clone(), self.phase.clone());
        tokio::spawn(async move {
            serve_caller(stream, tools, phase).await;
            drop(counted);
        });
    }
}

/// Waits until a connection without a request may be closed. One that was opened when others were closed already may
/// have sent its request, which is still to be read.
async fn wait_to_close(mut phase: watch::Receiver<EntryPhase>) {
    let opened_in = *phase.borrow();
    // The sender lives as long as the process.
    let _ = phase.wait_for(|phase| *phase >= EntryPhase::Closing).await;
    if opened_in >= EntryPhase::Closing {
        tokio::time::sleep(Duration::from_millis(FIRST_REQUEST_MS)).await;
    }
}

async fn serve_caller(
    stream: TcpStream,
    tools: Arc<GatewayTools>,
    phase: watch::Receiver<EntryPhase>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        observe::note_socket_failed("entry", &error);
    }
    let limits = tools.driver.state().plan().limits;
    let idle_ms = limits.idle_ms + IDLE_SLACK_MS;
    let buffer = BUFFER_BYTES.max(BUFFER_HEADS * limits.header_bytes);
    let service = service_fn(move |request| {
        let tools = tools.clone();
        async move {
            let mut answer = serve_request(tools.clone(), request).await;
            if let (Ok(answer), true) = (&mut answer, tools.stopping.load(Ordering::Relaxed)) {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            answer
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closes = tokio::select! {
        // A request that has come is read before its connection is closed.
        biased;
        // How a caller's connection ends shows at its request.
        _ = connection.as_mut() => false,
        () = wait_to_close(phase) => true,
    };
    if closes {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
