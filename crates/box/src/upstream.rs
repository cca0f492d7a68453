//! Client for backend servers of a box of signed bundles. An answer's end is checked on its
//! connection, as [`crate::gateway`] does for replicas.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use ravenspoke_adapter::headers::kept_idle_ms;
use ravenspoke_framing::{AnswerFrame, BrokenHead};
use tokio::time::MissedTickBehavior;

use crate::clock::BoxClock;
use crate::gateway::carried_ids::RequestId;
use crate::gateway::pool::ReplicaPool;
use crate::gateway::replica_link::{empty_wait, ReplicaLink, UnexpectedBytes};
use crate::gateway::replica_stream::ReadAllowance;
use crate::stream::EVENT_LIMIT;

/// Time to connect to a backend server, its name's lookup included.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Interval at which connections that were idle for too long are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of bytes that are read for a piece of a body: an event, and a few bytes of chunks.
const PIECE_ALLOWANCE: usize = 2 * EVENT_LIMIT;

/// Why a call to a backend server has no answer.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// No byte of the request was written.
    #[error("the request was not sent: {0}")]
    NeverSent(String),
    /// The connection ended, or carried bytes that are no HTTP; the request may have run.
    #[error("no answer: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer's end is in doubt, or it is none; the request may have run.
    #[error(transparent)]
    Head(#[from] BrokenHead),
    /// Other bytes follow the answer; the request may have run.
    #[error(transparent)]
    Length(#[from] UnexpectedBytes),
}

/// A call to a backend server.
pub struct UpstreamCall {
    /// Address, as the box list names it.
    pub address: String,
    /// The request, without its host.
    pub request: Request<Full<Bytes>>,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
}

/// Client for backend servers, with a pool of connections.
pub struct UpstreamClient {
    pool: ReplicaPool,
    next_call: AtomicU64,
}

/// An answer whose head was read.
pub struct UpstreamAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    method: Method,
    body: Incoming,
    link: ReplicaLink,
    is_empty: bool,
}

impl UpstreamClient {
    /// Creates a client without connections, whose idle times are measured by `clock`.
    pub fn new(clock: BoxClock) -> Self {
        Self { pool: ReplicaPool::new(None, Arc::new(clock)), next_call: AtomicU64::new(1) }
    }

    /// Makes a call, and reads the head of its answer.
    ///
    /// # Errors
    /// Returns [`UpstreamError`] if no sound head arrives.
    pub async fn call(&self, call: UpstreamCall) -> Result<UpstreamAnswer, UpstreamError> {
        let UpstreamCall { address, mut request, is_repeatable } = call;
        let method = request.method().clone();
        let host = address.parse().map_err(|_| never_sent("the address is no host"))?;
        request.headers_mut().insert(header::HOST, host);
        let address = resolve(&address).await?;
        let id = RequestId::from_number(self.next_call.fetch_add(1, Ordering::Relaxed));
        let mut link = match self.pool.take(address, id, is_repeatable) {
            Some(link) => link,
            None => self.open(address).await?,
        };
        let (response, link) = loop {
            link.carry(id);
            link.allowance.set(ReadAllowance::HEAD_BYTES);
            let mut error = match link.sender.try_send_request(request).await {
                Ok(response) => break (response, link),
                Err(error) => error,
            };
            // A returned request means that none of it was written.
            request = match error.take_message() {
                Some(request) if link.used => request,
                Some(_) => return Err(never_sent(error.into_error())),
                None => return Err(error.into_error().into()),
            };
            link = self.open(address).await?;
        };
        let (head, body) = response.into_parts();
        let (version, status) = (head.version, head.status);
        AnswerFrame { method: &method, version, status, headers: &head.headers }.check()?;
        link.allowance.set(PIECE_ALLOWANCE);
        Ok(UpstreamAnswer { status, headers: head.headers, method, body, link, is_empty: true })
    }

    async fn open(&self, address: SocketAddr) -> Result<ReplicaLink, UpstreamError> {
        self.pool.open(address, CONNECT_LIMIT).await.map_err(never_sent)
    }

    /// Keeps the connection of an answer that was read to its end.
    pub fn keep(&self, answer: UpstreamAnswer) {
        self.pool.put_back(answer.link, kept_idle_ms(&answer.headers));
    }

    /// Closes connections that were idle for too long, for ever.
    pub async fn sweep(self: Arc<Self>) {
        let mut sweeps = tokio::time::interval(SWEEP_INTERVAL);
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            sweeps.tick().await;
            self.pool.sweep();
        }
    }
}

impl UpstreamAnswer {
    /// The next piece of the body; `None` once it is whole.
    ///
    /// # Errors
    /// Returns [`UpstreamError`] if the body breaks, or if its end is in doubt.
    pub async fn piece(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(piece) = frame?.into_data() {
                self.is_empty &= piece.is_empty();
                self.link.allowance.set(PIECE_ALLOWANCE);
                return Ok(Some(piece));
            }
        }
        self.link.settle(empty_wait(&self.method, self.status, self.is_empty)).await?;
        Ok(None)
    }
}

fn never_sent(error: impl ToString) -> UpstreamError {
    UpstreamError::NeverSent(error.to_string())
}

/// The first address of a host and port.
async fn resolve(address: &str) -> Result<SocketAddr, UpstreamError> {
    if let Ok(address) = address.parse() {
        return Ok(address);
    }
    let found = tokio::time::timeout(CONNECT_LIMIT, tokio::net::lookup_host(address)).await;
    let mut found = found.map_err(never_sent)?.map_err(never_sent)?;
    found.next().ok_or_else(|| never_sent("the name has no address"))
}
