//! Takes callers' connections, and closes them politely at the planned stop.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::exchange::{serve_request, GatewayTools};
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

/// Takes connections for as long as the process runs.
pub async fn accept_callers(
    listener: TcpListener,
    tools: Arc<GatewayTools>,
    count: Arc<CallerCount>,
    limit: usize,
    stop: watch::Receiver<bool>,
) {
    let mut full = false;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Out of descriptors, or the caller was gone at once: the next may do better.
                observe::note_socket_failed("entry", &error);
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let was_full = std::mem::replace(&mut full, count.open() >= limit);
        if full {
            observe::note_caller_turned_away();
            if !was_full {
                observe::note_callers_full(limit);
            }
            continue;
        }
        let counted = CountedCaller::new(&count);
        let (tools, stop) = (tools.clone(), stop.clone());
        tokio::spawn(async move {
            serve_caller(stream, tools, stop).await;
            drop(counted);
        });
    }
}

async fn serve_caller(
    stream: TcpStream,
    tools: Arc<GatewayTools>,
    mut stop: watch::Receiver<bool>,
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
    let stopped = tokio::select! {
        // How a caller's connection ends shows at its request.
        _ = connection.as_mut() => false,
        _ = stop.wait_for(|stopped| *stopped) => true,
    };
    if stopped {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
