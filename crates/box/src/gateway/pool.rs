//! Connections to replicas. One carries one request at a time, and goes back only when it is proven
//! clean: the request was written whole, the answer read whole, and nothing else has come.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use ravenspoke_core::time::BoxTime;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::clock::BoxClock;

/// A connection must come up within this, in milliseconds: across availability zones it takes a few,
/// and a lost opening packet is sent again only after a second.
pub const CONNECT_MS: u64 = 250;

/// An idle connection is used this long, in milliseconds, where the replica doesn't say.
pub const IDLE_MS: u64 = 4_000;

/// A request that may run only once goes out on a connection that was idle for this long at most, in
/// milliseconds: a replica may forget an idle one without a word, and then nobody knows whether it ran.
pub const SINGLE_IDLE_MS: u64 = 250;

/// Kept back from the time for which the replica says it keeps an idle connection, in milliseconds:
/// its clock began when it sent its answer.
pub const IDLE_MARGIN_MS: u64 = 900;

/// Idle connections to one replica, at most.
pub const IDLE_LIMIT: usize = 12;

/// A replica that takes no bytes for this long is gone, in milliseconds.
pub const UNSENT_MS: u64 = 2_000;

/// A connection must be ready for the next request within this after an answer, in milliseconds; one
/// that isn't has not taken the whole request.
pub const READY_MS: u64 = 20;

/// Closes the connection when dropped, whatever it is doing.
#[derive(Debug)]
struct ClosingTask(AbortHandle);

impl Drop for ClosingTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a replica. Dropped, it is closed at once.
#[derive(Debug)]
pub struct ReplicaLink {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub used: bool,
    address: SocketAddr,
    _task: ClosingTask,
}

struct IdleLink {
    link: ReplicaLink,
    since: BoxTime,
    until: BoxTime,
}

/// Idle connections by address.
pub struct ReplicaPool {
    clock: Arc<BoxClock>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleLink>>>,
}

impl ReplicaPool {
    /// A pool without connections, whose ages are by `clock`.
    pub fn new(clock: Arc<BoxClock>) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    /// An idle connection to `address`, if there is a sound one, for a request that may be
    /// `repeatable`.
    pub fn take(&self, address: SocketAddr, repeatable: bool) -> Option<ReplicaLink> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.get_mut(&address)?;
        let now = self.clock.now();
        // The last one in is the one that was idle for the shortest time.
        if !repeatable
            && links.last().is_some_and(|row| now.millis_since(row.since) > SINGLE_IDLE_MS)
        {
            return None;
        }
        while let Some(row) = links.pop() {
            if row.until > now && row.link.sender.is_ready() {
                return Some(row.link);
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// What the system says, or that it took too long.
    pub async fn open(&self, address: SocketAddr, limit: Duration) -> std::io::Result<ReplicaLink> {
        let limit = limit.min(Duration::from_millis(CONNECT_MS));
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let unsent = Duration::from_millis(UNSENT_MS);
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(unsent))?;
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        metrics::counter!("ravenspoke_replica_connections_total").increment(1);
        let task = tokio::spawn(async move {
            // How a connection ends shows at the request that uses it.
            let _ = connection.await;
        });
        let _task = ClosingTask(task.abort_handle());
        Ok(ReplicaLink { sender, used: false, address, _task })
    }

    /// Takes a connection back after a whole answer, once it is proven clean.
    pub async fn put_back(&self, mut link: ReplicaLink, kept_ms: Option<u64>) {
        let kept_ms = kept_ms.map_or(IDLE_MS, |kept| kept.saturating_sub(IDLE_MARGIN_MS));
        let ready = tokio::time::timeout(Duration::from_millis(READY_MS), link.sender.ready());
        if kept_ms == 0 || !matches!(ready.await, Ok(Ok(()))) {
            return;
        }
        link.used = true;
        let since = self.clock.now();
        let until = since.plus_millis(kept_ms.min(IDLE_MS));
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(link.address).or_default();
        if links.len() < IDLE_LIMIT {
            links.push(IdleLink { link, since, until });
        }
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for links in idle.values_mut() {
            links.retain(|row| row.until > now && row.link.sender.is_ready());
        }
        idle.retain(|_, links| !links.is_empty());
    }
}
