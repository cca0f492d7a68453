//! Connections to replicas. Each carries one request at a time, and returns to the pool only when
//! it is known to be clean: the request was written and the response read completely, and no
//! further bytes have arrived. None carries two requests with the same id, so that an answer's id
//! names the request that it belongs to, however late it arrives.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use ravenspoke_core::time::BoxTime;
use tokio::net::{TcpSocket, TcpStream};

use super::carried_ids::RequestId;
use super::observe;
use super::replica_link::ReplicaLink;
use super::replica_stream::{
    ReadAllowance, ReplicaStream, WrittenBytes, READ_BUFFER_BYTES, RECEIVE_BUFFER_BYTES,
};
use crate::clock::BoxClock;

/// Connect timeout, in milliseconds. A connection across availability zones takes a few
/// milliseconds, and a lost SYN is retransmitted only after a second.
pub const CONNECT_MS: u64 = 250;

/// Maximum idle time of a connection if the replica does not name one, in milliseconds.
pub const IDLE_MS: u64 = 4_000;

/// Maximum idle time of a connection for a request that may run only once, in milliseconds. A
/// replica may drop an idle connection without notice, and then it is unknown whether the request
/// ran.
pub const SINGLE_IDLE_MS: u64 = 250;

/// Margin subtracted from the idle time that the replica names, in milliseconds, because its timer
/// started when it sent the response.
pub const IDLE_MARGIN_MS: u64 = 900;

/// Maximum number of idle connections to one replica.
pub const IDLE_LIMIT: usize = 12;

/// A replica that acknowledges no bytes for this long is unreachable, in milliseconds. A sound one may
/// be silent for about a second. Keep-alive probes, if any, give up after it too.
pub const UNSENT_MS: u64 = 3_000;

/// Time after which a probed connection must still be open, in milliseconds. A proxy on the path may
/// accept a connection and close it at once.
pub const PROBE_HOLD_MS: u64 = 20;

struct IdleLink {
    link: ReplicaLink,
    since: BoxTime,
    until: BoxTime,
}

impl IdleLink {
    /// Whether it is open, and its idle time is not over.
    fn is_usable(&self, now: BoxTime) -> bool {
        self.until > now && self.link.sender.is_ready()
    }

    /// Whether a request may use it. An answer on it belongs to the request whose id it bears, so no
    /// two requests on it may have the same id.
    fn fits(&self, id: RequestId, repeatable: bool, now: BoxTime) -> bool {
        let is_fresh = repeatable || now.millis_since(self.since) <= SINGLE_IDLE_MS;
        is_fresh && !self.link.carried().contains(id)
    }
}

/// Idle connections by address.
pub struct ReplicaPool {
    /// The box's own address, from which it connects, if it has to.
    local: Option<IpAddr>,
    clock: Arc<BoxClock>,
    next_number: AtomicU64,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleLink>>>,
}

impl ReplicaPool {
    /// Creates an empty pool that connects from `local`, or from any address, and whose idle times are
    /// measured by `clock`.
    pub fn new(local: Option<IpAddr>, clock: Arc<BoxClock>) -> Self {
        Self { local, clock, next_number: AtomicU64::new(1), idle: Mutex::default() }
    }

    /// Takes a usable idle connection to `address`, for a request with this id that may or may not be
    /// `repeatable`. The one used last comes first.
    pub fn take(
        &self,
        address: SocketAddr,
        id: RequestId,
        repeatable: bool,
    ) -> Option<ReplicaLink> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.get_mut(&address)?;
        let now = self.clock.now();
        links.retain(|idle_link| idle_link.is_usable(now));
        let row = links.iter().rposition(|idle_link| idle_link.fits(id, repeatable, now))?;
        Some(links.remove(row).link)
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Returns the error of the operating system, or a timeout.
    pub async fn open(&self, address: SocketAddr, limit: Duration) -> std::io::Result<ReplicaLink> {
        let stream = tokio::time::timeout(limit, self.connect(address)).await??;
        stream.set_nodelay(true)?;
        let unsent = Duration::from_millis(UNSENT_MS);
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(unsent))?;
        let allowance = ReadAllowance::for_head();
        let written = WrittenBytes::default();
        let stream = ReplicaStream::new(stream, allowance.clone(), written.clone());
        let stream = TokioIo::new(stream);
        let shaken = Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(stream).await;
        let (sender, connection) = shaken.map_err(std::io::Error::other)?;
        metrics::counter!("ravenspoke_replica_connections_total").increment(1);
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        Ok(ReplicaLink::new(address, number, sender, connection, allowance, written))
    }

    /// Connects, from the box's own address if it has one, so that the network sees which box it is.
    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(local) = self.local {
            socket.bind(SocketAddr::new(local, 0))?;
        }
        if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32) {
            observe::log_socket_failed("receive buffer", &error);
        }
        socket.connect(address).await
    }

    /// Opens a connection and keeps it for the next request. Returns whether that succeeded.
    pub async fn probe(&self, address: SocketAddr) -> bool {
        let opened = self.open(address, Duration::from_millis(CONNECT_MS)).await;
        let Ok(link) = opened else { return false };
        tokio::time::sleep(Duration::from_millis(PROBE_HOLD_MS)).await;
        let is_open = !link.sender.is_closed();
        if is_open {
            self.put_back(link, None);
        }
        is_open
    }

    /// Returns a connection to the pool after a whole response, if it is ready for the next request.
    pub fn put_back(&self, mut link: ReplicaLink, kept_ms: Option<u64>) {
        let kept_ms = kept_ms.map_or(IDLE_MS, |kept| kept.saturating_sub(IDLE_MARGIN_MS));
        if kept_ms == 0 || link.carried().is_full() || !link.sender.is_ready() {
            return;
        }
        link.used = true;
        let since = self.clock.now();
        let until = since.plus_millis(kept_ms.min(IDLE_MS));
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.entry(link.address()).or_default();
        if links.len() < IDLE_LIMIT {
            links.push(IdleLink { link, since, until });
        }
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for links in idle.values_mut() {
            links.retain(|idle_link| idle_link.is_usable(now));
        }
        idle.retain(|_, links| !links.is_empty());
    }
}
