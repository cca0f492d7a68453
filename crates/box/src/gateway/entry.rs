//! Accepts callers' connections, and closes them without losing requests at the planned stop.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use ravenspoke_core::time::BoxTime;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::caller_stream::CallerStream;
use super::exchange::{serve_request, GatewayContext};
use super::forward::{ForwardAttempt, RequestOrigin};
use super::listen::ListeningEntry;
use super::observe;
use super::slow_readers::ReaderMeter;

/// Minimum read buffer of a connection, in bytes.
pub const BUFFER_BYTES: usize = 64 << 10;

/// Size of the read buffer as a multiple of the plan's head limit. A head slightly over the limit
/// is still read whole and gets a response.
pub const BUFFER_HEADS: usize = 2;

/// Time beyond the plan's idle timeout after which an idle connection is closed, in milliseconds.
pub const IDLE_SLACK_MS: u64 = 5_000;

/// Share of the process's file descriptors that callers may use.
pub const CALLER_SHARE: f64 = 0.6;

/// Share of the process's file descriptors that boxes may use in addition to forward requests.
pub const FORWARD_SHARE: f64 = 0.1;

/// Number of open connections of callers.
#[derive(Default)]
pub struct CallerCount(AtomicUsize);

impl CallerCount {
    /// The number of open connections.
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

/// Time within which a request that was sent right after connecting is read, in milliseconds.
pub const FIRST_REQUEST_MS: u64 = 100;

/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Phases of the entry, from the start of the box to its planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryPhase {
    /// The box is not synced yet; requests wait.
    Starting,
    /// Requests are served and connections kept alive.
    Open,
    /// The planned stop has begun; each connection ends with its next response.
    Stopping,
    /// Callers have learned of the stop; connections without a request are closed.
    Closing,
    /// No connections are accepted.
    Closed,
}

/// Accepts callers' connections up to the limit, and serves each one in its own task.
pub struct CallerEntry {
    /// Shared context of requests.
    pub context: Arc<GatewayContext>,
    /// Who connects.
    pub origin: RequestOrigin,
    /// Number of open connections.
    pub count: Arc<CallerCount>,
    /// Maximum number of open connections.
    pub limit: usize,
    /// Whether the last connection was over the limit.
    pub full: AtomicBool,
    /// Current phase of the entry.
    pub phase: watch::Receiver<EntryPhase>,
}

impl CallerEntry {
    /// Accepts connections until the entry is closed, including those pending in the kernel by
    /// then.
    pub async fn run(self, listener: ListeningEntry) {
        self.accept(&listener).await;
        match listener.close() {
            Ok(pending) => pending.into_iter().for_each(|stream| self.admit(stream)),
            Err(error) => observe::log_socket_failed("entry", &error),
        }
        if self.origin == RequestOrigin::Caller {
            observe::log_entry_closed(self.count.open());
        }
    }

    async fn accept(&self, listener: &ListeningEntry) {
        let mut phase = self.phase.clone();
        loop {
            let accepted = tokio::select! {
                // The sender lives as long as the process.
                _ = phase.wait_for(|phase| *phase == EntryPhase::Closed) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(stream) => self.admit(stream),
                Err(error) => {
                    // Out of file descriptors, or the caller disconnected at once; the next accept
                    // may succeed.
                    observe::log_socket_failed("entry", &error);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream) {
        let full = self.count.open() >= self.limit;
        let was_full = self.full.swap(full, Ordering::Relaxed);
        if full {
            observe::count_rejected_caller();
            if !was_full {
                observe::log_callers_full(self.limit);
            }
            return;
        }
        let counted = CountedCaller::new(&self.count);
        let (context, origin, phase) = (self.context.clone(), self.origin, self.phase.clone());
        // A box that forwards reads only as its own caller does, which that box observes.
        let is_caller = self.origin == RequestOrigin::Caller;
        let readers = self.context.readers.as_ref().filter(|_| is_caller);
        let meter = readers.map(|readers| readers.add());
        let stream = CallerStream::new(stream, meter.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = serve_caller(stream, context, origin, phase, meter.clone()) => {}
                // The connection and its response are dropped, and with them the connection to the
                // replica.
                () = wait_stalled(meter.as_deref()) => {}
            }
            drop(counted);
        });
    }
}

/// Waits until a caller does not read its response. Never ends if that is not recorded.
async fn wait_stalled(meter: Option<&ReaderMeter>) {
    match meter {
        Some(meter) => meter.wait_ended().await,
        None => std::future::pending().await,
    }
}

/// Waits until a connection without a request may be closed. A connection that was opened in the
/// closing phase may carry a request that has not been read yet.
async fn wait_to_close(mut phase: watch::Receiver<EntryPhase>) {
    let opened_in = *phase.borrow();
    // The sender lives as long as the process.
    let _ = phase.wait_for(|phase| *phase >= EntryPhase::Closing).await;
    if opened_in >= EntryPhase::Closing {
        tokio::time::sleep(Duration::from_millis(FIRST_REQUEST_MS)).await;
    }
}

async fn serve_caller(
    stream: CallerStream,
    context: Arc<GatewayContext>,
    origin: RequestOrigin,
    phase: watch::Receiver<EntryPhase>,
    meter: Option<Arc<ReaderMeter>>,
) {
    let wait = wait_to_serve(&context, phase.clone()).await;
    let start_wait = StartWait::new(wait, context.driver.now());
    let limits = context.driver.state().plan().limits;
    let idle_ms = limits.idle_ms + IDLE_SLACK_MS;
    let buffer = BUFFER_BYTES.max(BUFFER_HEADS * limits.header_bytes);
    let phase_now = phase.clone();
    let service = service_fn(move |request| {
        let waited = start_wait.take(context.driver.now());
        let attempt = ForwardAttempt::of_request(origin, request.headers());
        let response = serve_request(context.clone(), request, origin, waited, meter.clone());
        let phase = phase_now.clone();
        async move {
            let mut response = response.await;
            if let (Ok(response), Some(attempt)) = (&mut response, attempt) {
                attempt.write(response.headers_mut());
            }
            if let (Ok(response), true) = (&mut response, *phase.borrow() >= EntryPhase::Stopping) {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closes = tokio::select! {
        // A request that has arrived is read before its connection is closed.
        biased;
        // An error of the connection shows up in its request.
        _ = connection.as_mut() => false,
        () = wait_to_close(phase) => true,
    };
    if closes {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Waits until the box serves requests, or refuses them because it stops. Returns the time waited.
async fn wait_to_serve(
    context: &GatewayContext,
    mut phase: watch::Receiver<EntryPhase>,
) -> Duration {
    if *phase.borrow() > EntryPhase::Starting {
        return Duration::ZERO;
    }
    let connected_at = context.driver.now();
    // The sender lives as long as the process.
    let _ = phase.wait_for(|phase| *phase > EntryPhase::Starting).await;
    context.driver.clock().since(connected_at)
}

/// Time that a connection waited for the box to start, and its first request with it.
struct StartWait {
    wait_ms: AtomicU64,
    served_from: BoxTime,
}

impl StartWait {
    /// Creates a wait that ends now.
    fn new(wait: Duration, now: BoxTime) -> Self {
        Self { wait_ms: AtomicU64::new(wait.as_millis() as u64), served_from: now }
    }

    /// Wait of a request that is read now. A request that arrives after the start has not waited.
    fn take(&self, now: BoxTime) -> Duration {
        let wait_ms = self.wait_ms.swap(0, Ordering::Relaxed);
        let was_waiting = now.millis_since(self.served_from) < FIRST_REQUEST_MS;
        Duration::from_millis(if was_waiting { wait_ms } else { 0 })
    }
}
