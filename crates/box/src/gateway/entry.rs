//! Accepts callers' connections, and closes them without losing requests at the planned stop.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::header::{HeaderValue, CONNECTION};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ravenspoke_adapter::headers;
use ravenspoke_core::route::event::RouteRefusal;
use ravenspoke_core::time::BoxTime;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::exchange::{serve_request, GatewayContext, RequestArrival};
use super::forward::{ForwardAttempt, RequestOrigin};
use super::observe;
use super::responses::{refusal_response, AbortedResponse, CallerBody};
use crate::clients::client_stream::{set_options, ClientStream};
use crate::clients::connection_table::{ConnectionTable, OpenConnection};
use crate::clients::endpoint::HttpLimits;
use crate::clients::listen::ClientListener;
use crate::clients::slow_readers::ReaderMeter;

/// Time beyond the plan's idle timeout after which an idle connection is closed, in milliseconds.
pub const IDLE_SLACK_MS: u64 = 5_000;

/// Share of the process's file descriptors that callers may use.
pub const CALLER_SHARE: f64 = 0.6;

/// Share of the process's file descriptors that boxes may use in addition to forward requests.
pub const FORWARD_SHARE: f64 = 0.1;

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
    /// Open connections of callers and other boxes.
    pub connections: Arc<ConnectionTable>,
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
    pub async fn run(self, listener: ClientListener) {
        self.accept(&listener).await;
        match listener.close() {
            Ok(pending) => pending.into_iter().for_each(|stream| self.admit(stream)),
            Err(error) => observe::log_socket_failed("entry", &error),
        }
        if self.origin == RequestOrigin::Caller {
            observe::log_entry_closed(self.connections.open());
        }
    }

    async fn accept(&self, listener: &ClientListener) {
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
        let admitted = self.connections.admit(self.limit);
        let was_full = self.full.swap(admitted.is_err(), Ordering::Relaxed);
        let Ok(connection) = admitted else {
            observe::count_rejected_caller();
            if !was_full {
                observe::log_callers_full(self.limit);
            }
            return;
        };
        if let Err(error) = set_options(&stream) {
            observe::log_socket_failed("entry", &error);
        }
        // A box that forwards reads only as its own caller does, which that box observes.
        let is_caller = self.origin == RequestOrigin::Caller;
        let meter = is_caller.then(|| self.context.readers.add());
        let caller = CallerConnection {
            context: self.context.clone(),
            origin: self.origin,
            connection: connection.clone(),
            meter: meter.clone(),
        };
        let served = caller.serve(stream, self.phase.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = served => {}
                () = connection.closing() => {}
                // The connection and its response are dropped, and with them the connection to the
                // replica.
                () = wait_stalled(meter.as_deref()) => {}
            }
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

/// A connection that is served.
#[derive(Clone)]
struct CallerConnection {
    context: Arc<GatewayContext>,
    origin: RequestOrigin,
    connection: Arc<OpenConnection>,
    /// Progress of the caller in reading, if it is recorded.
    meter: Option<Arc<ReaderMeter>>,
}

impl CallerConnection {
    async fn serve(self, stream: TcpStream, phase: watch::Receiver<EntryPhase>) {
        let wait = wait_to_serve(&self.context, phase.clone()).await;
        let start_wait = StartWait::new(wait, self.context.driver.now());
        let limits = self.context.driver.state().plan().limits;
        let idle_ms = limits.idle_ms + IDLE_SLACK_MS;
        let limits = HttpLimits { head_bytes: limits.header_bytes, idle_ms };
        let stream = ClientStream::new(stream, self.connection.clone(), self.meter.clone());
        let phase_now = phase.clone();
        let service = service_fn(move |request| {
            let waited = start_wait.take(self.context.driver.now());
            let attempt = ForwardAttempt::of_request(self.origin, request.headers());
            let (caller, phase) = (self.clone(), phase_now.clone());
            async move {
                let mut response = caller.respond(request, waited).await;
                if let (Ok(response), Some(attempt)) = (&mut response, attempt) {
                    attempt.write(response.headers_mut());
                }
                let stops = *phase.borrow() >= EntryPhase::Stopping;
                if let (Ok(response), true) = (&mut response, stops) {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                response
            }
        });
        let connection = limits.builder().serve_connection(TokioIo::new(stream), service);
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

    async fn respond(
        self,
        request: Request<Incoming>,
        waited: Duration,
    ) -> Result<Response<CallerBody>, AbortedResponse> {
        let Ok(active) = self.connection.begin_request() else {
            let used = self.connection.account().used();
            observe::log_body_refused(&headers::request_id(request.headers()), used);
            let mut response = refusal_response(RouteRefusal::no_memory());
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            return Ok(response);
        };
        let arrival = RequestArrival { origin: self.origin, waited, reader: self.meter, active };
        serve_request(self.context, request, arrival).await
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
