//! A connection to a replica while it is open, and what stands on it behind an answer.
//!
//! Bytes behind an answer show that its length may be wrong: the body that a caller would get may be
//! a part of the replica's. Only a second answer behind it leaves the first one whole.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{Connection, Parts, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::carried_ids::{CarriedIds, RequestId};
use super::replica_stream::{ReadAllowance, ReplicaStream, WrittenBytes};

/// Time within which a connection must be ready for the next request after a response, in
/// milliseconds. One that is not ready has not sent the whole request.
pub const READY_MS: u64 = 20;

/// Time for which bytes behind an empty answer are waited for, in milliseconds. A body that a wrong
/// length denies follows its head at once, or when the head is acknowledged, which may take 40 ms.
const EMPTY_WAIT_MS: u64 = 50;

/// Start of an answer.
const ANSWER_START: &[u8] = b"HTTP/1.";

type ReplicaConnection = Connection<TokioIo<ReplicaStream>, Full<Bytes>>;

/// Bytes behind an answer that begin no other answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bytes that are no answer follow it, so that its length is in doubt")]
pub struct UnexpectedBytes;

/// Whether these bytes may stand behind a whole answer.
fn check_bytes_behind(bytes: &[u8]) -> Result<(), UnexpectedBytes> {
    if bytes.is_empty() || bytes.starts_with(ANSWER_START) {
        Ok(())
    } else {
        Err(UnexpectedBytes)
    }
}

/// Time for which bytes behind an answer to a request with this method are waited for: none, unless it
/// is a success that has no body and should have one.
pub fn empty_wait(method: &Method, status: StatusCode, is_empty: bool) -> Duration {
    let needs_body = *method != Method::HEAD && status != StatusCode::NO_CONTENT;
    let is_doubtful = is_empty && needs_body && status.is_success();
    Duration::from_millis(if is_doubtful { EMPTY_WAIT_MS } else { 0 })
}

/// Runs a connection until it ends or is told to, and reports the bytes that belong to no answer.
async fn run_connection(
    mut connection: ReplicaConnection,
    stop: oneshot::Receiver<()>,
    ended: oneshot::Sender<Bytes>,
) {
    tokio::select! {
        // An error of the connection shows up in the request that uses it.
        _ = poll_fn(|context| connection.poll_without_shutdown(context)) => {}
        _ = stop => {}
    }
    let Parts { io, read_buf, .. } = connection.into_parts();
    let behind = match read_buf.is_empty() {
        true => io.into_inner().read_waiting(),
        false => read_buf,
    };
    // The request that used the connection may have ended.
    let _ = ended.send(behind);
}

/// The task that runs a connection. It closes the connection when this is dropped, whatever its state.
#[derive(Debug)]
struct ConnectionTask {
    task: AbortHandle,
    stop: Option<oneshot::Sender<()>>,
    /// Gets the bytes behind the last answer when the connection has ended.
    ended: oneshot::Receiver<Bytes>,
}

impl ConnectionTask {
    fn start(connection: ReplicaConnection) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (report, ended) = oneshot::channel();
        let task = tokio::spawn(run_connection(connection, stopped, report));
        Self { task: task.abort_handle(), stop: Some(stop), ended }
    }

    /// Ends the connection, if it runs.
    fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // It may have ended by itself.
            let _ = stop.send(());
        }
    }

    /// Waits for the end of the connection. Returns the bytes behind the last answer; none if they
    /// were returned before.
    async fn bytes_behind(&mut self) -> Bytes {
        if self.ended.is_terminated() {
            return Bytes::new();
        }
        (&mut self.ended).await.unwrap_or_default()
    }
}

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection to a replica; it is closed when dropped.
#[derive(Debug)]
pub struct ReplicaLink {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub used: bool,
    /// Bytes that may be read for the current part of a response.
    pub allowance: ReadAllowance,
    /// Bytes written to the connection.
    pub written: WrittenBytes,
    /// Number of the connection in this process, for the log.
    number: u64,
    carried: CarriedIds,
    address: SocketAddr,
    task: ConnectionTask,
}

/// What a connection carried before an attempt, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkUse {
    /// Number of the connection in this process.
    pub connection: u64,
    /// Requests that it carried before.
    pub earlier: usize,
    /// Whether one of them had the same id.
    pub repeats_id: bool,
}

impl ReplicaLink {
    /// A connection that has carried no request, and the task that runs it.
    pub(super) fn new(
        address: SocketAddr,
        number: u64,
        sender: SendRequest<Full<Bytes>>,
        connection: ReplicaConnection,
        allowance: ReadAllowance,
        written: WrittenBytes,
    ) -> Self {
        let (carried, task) = (CarriedIds::default(), ConnectionTask::start(connection));
        Self { sender, used: false, allowance, written, number, carried, address, task }
    }

    /// Records that a request is about to be written.
    pub fn carry(&mut self, id: RequestId) -> LinkUse {
        let repeats_id = self.carried.contains(id);
        let earlier = self.carried.len();
        self.carried.add(id);
        LinkUse { connection: self.number, earlier, repeats_id }
    }

    /// Address of the replica.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that it has carried.
    pub(super) fn carried(&self) -> &CarriedIds {
        &self.carried
    }

    /// Waits after a whole answer until the connection is ready for the next request or has ended, and
    /// for `quiet` in addition. It may be called again, also if it was not waited for.
    ///
    /// # Errors
    /// Returns [`UnexpectedBytes`] if bytes that begin no other answer stand behind this one.
    pub async fn settle(&mut self, quiet: Duration) -> Result<(), UnexpectedBytes> {
        let limit = Duration::from_millis(READY_MS);
        let ready = tokio::time::timeout(limit, self.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            self.task.stop();
            return check_bytes_behind(&self.task.bytes_behind().await);
        }
        if quiet.is_zero() {
            return Ok(());
        }
        let behind = tokio::time::timeout(quiet, self.task.bytes_behind()).await;
        check_bytes_behind(&behind.unwrap_or_default())
    }
}
