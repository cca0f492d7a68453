//! Sends one attempt of a request to a replica or to another box, and reads what belongs to it.
//!
//! An answer belongs to an attempt if it repeats the request's id, and no other request with that id
//! was written to its connection ([`super::carried_ids`]). The answer of another box also repeats the
//! number that was drawn for the attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use ravenspoke_adapter::headers;
use ravenspoke_core::event::RequestTicket;
use ravenspoke_core::route::event::{
    AnswerHead, AttemptFailure, ForwardPass, RouteEvent, SendOrder,
};
use ravenspoke_framing::AnswerFrame;
use tokio::sync::Notify;

use super::carried_ids::RequestId;
use super::exchange::{BufferedRequest, GatewayContext};
use super::forward::{self, ForwardAttempt};
use super::observe;
use super::pool::CONNECT_MS;
use super::replica_link::{empty_wait, LinkUse, ReplicaLink};
use super::replica_stream::{ReadAllowance, RECEIVE_BUFFER_BYTES, WIDE_BUFFER_BYTES};
use super::stream_reader::STREAM_ALLOWANCE;
use crate::clients::memory_account::{MemoryAccount, MemoryShare};
use crate::clients::request_body::HeldBody;

/// Maximum size of a response that is not a stream, in bytes. It is read completely before any of
/// it is forwarded.
pub const RESPONSE_LIMIT: usize = 4 << 20;

/// Maximum number of bytes that are read for a response that is not a stream. Chunks have a few
/// bytes in addition to the body.
const RESPONSE_ALLOWANCE: usize = 2 * RESPONSE_LIMIT;

/// A replica's response.
pub struct ReplicaResponse {
    pub(super) head: http::response::Parts,
    pub(super) decoded: AnswerHead,
    pub(super) body: ReplicaBody,
    /// The connection on which it came.
    pub(super) link_use: LinkUse,
}

impl ReplicaResponse {
    /// Whether a place answers the request, and neither rejects it nor fails.
    pub(super) fn is_answer(&self) -> bool {
        self.decoded.proven && !self.decoded.not_run && self.decoded.status < 500
    }
}

/// Body of a replica's response.
pub enum ReplicaBody {
    /// A whole body.
    Whole(HeldBody),
    /// A stream that is still open.
    Stream(Incoming, ReplicaLink),
}

/// A failed attempt.
#[derive(Debug)]
pub struct FailedAttempt {
    /// How it failed.
    pub failure: AttemptFailure,
    /// What is known of the cause.
    pub why: String,
    /// The connection, if the attempt had one.
    pub link_use: Option<LinkUse>,
    /// Bytes that it wrote, if that is known.
    pub written: Option<usize>,
}

/// A failure before any byte was written.
fn never_sent(why: String) -> FailedAttempt {
    FailedAttempt { failure: AttemptFailure::NeverSent, why, link_use: None, written: Some(0) }
}

/// A failed attempt whose connection the caller of this function does not have.
pub(super) fn silent(why: &str) -> FailedAttempt {
    let why = why.to_owned();
    FailedAttempt { failure: AttemptFailure::Silent, why, link_use: None, written: None }
}

/// A connection while it carries an attempt.
struct AttemptLink {
    link: ReplicaLink,
    link_use: LinkUse,
    /// Bytes that had been written to the connection before.
    written_before: usize,
}

impl AttemptLink {
    fn new(mut link: ReplicaLink, id: RequestId) -> Self {
        let written_before = link.written.count();
        let link_use = link.carry(id);
        Self { link, link_use, written_before }
    }

    fn failed(&self, failure: AttemptFailure, why: String) -> FailedAttempt {
        let written = self.link.written.count() - self.written_before;
        FailedAttempt { failure, why, link_use: Some(self.link_use), written: Some(written) }
    }
}

/// Sends the request to the order's replica, and reads the whole response or the head of a stream.
/// `written` is notified when the request is being written to an open connection.
pub(super) async fn call_replica(
    context: &GatewayContext,
    caller: &BufferedRequest,
    ticket: RequestTicket,
    order: &SendOrder,
    resume_after: Option<&str>,
    written: &Notify,
) -> Result<ReplicaResponse, FailedAttempt> {
    let address: SocketAddr = order
        .address
        .parse()
        .map_err(|_| never_sent("the entry has no valid address".to_owned()))?;
    let forward = order.pass.as_ref().map(|pass| (pass, ForwardAttempt::draw()));
    let request = || replica_request(context, caller, order, forward.as_ref(), resume_after);
    let id = RequestId::of(&caller.headers);
    let target = RequestTarget { order, address, ticket, id };
    let (response, mut attempt) = send_request(context, target, request, written).await?;
    let link_use = attempt.link_use;
    let (mut head, body) = response.into_parts();
    let frame = AnswerFrame {
        method: &caller.method,
        version: head.version,
        status: head.status,
        headers: &head.headers,
    };
    let framed = frame.check();
    framed.map_err(|broken| attempt.failed(AttemptFailure::Broken, broken.to_string()))?;
    let begun = forward::take_begun(&mut head.headers);
    let spent = forward::take_spent(&mut head.headers);
    let decoded = AnswerHead { begun, spent, ..headers::read_answer(&head) };
    // What another box responds by itself has no request id.
    let is_own = forward.is_some() && !decoded.proven;
    let repeats_id = is_own || headers::answers_request(&caller.headers, &head.headers);
    let repeats_attempt =
        forward.as_ref().is_none_or(|(_, attempt)| attempt.take_from(&mut head.headers));
    if !repeats_id || !repeats_attempt {
        observe::count_foreign_answer();
        let why = "the response belongs to another request".to_owned();
        return Err(attempt.failed(AttemptFailure::Broken, why));
    }
    if order.pass.is_none() {
        context.unknown_headers.log_new(&order.replica_id, &head.headers);
    }
    if order.kind.is_stream() && head.status.is_success() {
        attempt.link.allowance.set(STREAM_ALLOWANCE);
        let body = ReplicaBody::Stream(body, attempt.link);
        return Ok(ReplicaResponse { head, decoded, body, link_use });
    }
    attempt.link.allowance.set(RESPONSE_ALLOWANCE);
    let whole = read_answer(body, &attempt.link.allowance, caller.share.account()).await;
    let whole = whole.map_err(|error| attempt.failed(AttemptFailure::Broken, error))?;
    let wait = empty_wait(&caller.method, head.status, whole.bytes.is_empty());
    let settled = attempt.link.settle(wait).await;
    settled.map_err(|error| attempt.failed(AttemptFailure::Broken, error.to_string()))?;
    put_back(context, attempt.link, &head.headers);
    let body = ReplicaBody::Whole(whole);
    Ok(ReplicaResponse { head, decoded, body, link_use })
}

/// Reads a whole answer. It waits while other clients take the memory.
async fn read_answer(
    mut body: Incoming,
    allowance: &ReadAllowance,
    account: &Arc<MemoryAccount>,
) -> Result<HeldBody, String> {
    let mut buffer = AnswerBuffer::new(allowance, account);
    let announced = body.size_hint().exact().unwrap_or(0);
    buffer.reserve(usize::try_from(announced).unwrap_or(usize::MAX)).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(data) = frame.into_data() {
            buffer.reserve(buffer.bytes.len() + data.len()).await?;
            buffer.bytes.extend_from_slice(&data);
        }
    }
    Ok(HeldBody { bytes: Bytes::from(buffer.bytes), share: buffer.share })
}

/// An answer while it is read. What it allocates is accounted for before.
struct AnswerBuffer<'a> {
    bytes: Vec<u8>,
    share: MemoryShare,
    /// Allowance of the connection on which it arrives.
    allowance: &'a ReadAllowance,
    /// What the connection's wide receive buffer takes, if it has one. It is given back with the answer.
    wide: MemoryShare,
}

impl<'a> AnswerBuffer<'a> {
    fn new(allowance: &'a ReadAllowance, account: &Arc<MemoryAccount>) -> Self {
        let (share, wide) = (MemoryShare::new(account), MemoryShare::new(account));
        Self { bytes: Vec::new(), share, allowance, wide }
    }

    /// Makes room for an answer of `length` bytes.
    async fn reserve(&mut self, length: usize) -> Result<(), String> {
        if length > RESPONSE_LIMIT {
            return Err(format!("the answer is longer than {RESPONSE_LIMIT} bytes"));
        }
        if length > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).min(RESPONSE_LIMIT);
            let capacity = length.max(doubled);
            self.share.wait_for_answer(capacity).await;
            self.bytes.reserve_exact(capacity - self.bytes.len());
            if capacity > RECEIVE_BUFFER_BYTES {
                self.widen();
            }
        }
        Ok(())
    }

    /// Gives the connection a wide receive buffer while there is plenty of memory.
    fn widen(&mut self) {
        if !self.wide.account().is_short() && self.wide.grow_to(WIDE_BUFFER_BYTES).is_ok() {
            self.allowance.widen();
        }
    }
}

/// Where an attempt goes.
struct RequestTarget<'a> {
    order: &'a SendOrder,
    address: SocketAddr,
    ticket: RequestTicket,
    id: RequestId,
}

/// Sends `request` on an idle connection, or on a new one if no idle connection accepts it.
async fn send_request(
    context: &GatewayContext,
    target: RequestTarget<'_>,
    request: impl Fn() -> Request<Full<Bytes>>,
    written: &Notify,
) -> Result<(Response<Incoming>, AttemptLink), FailedAttempt> {
    let RequestTarget { order, address, ticket, id } = target;
    let mut link = match context.pool.take(address, id, order.kind.repeatable()) {
        Some(link) => link,
        None => open(context, order, address).await?,
    };
    loop {
        let mut attempt = AttemptLink::new(link, id);
        // Checked right before the write, because opening a connection may have taken a while.
        if !context.driver.state().may_write(ticket, context.driver.now()) {
            let why = "the replica was withdrawn after it was chosen".to_owned();
            return Err(attempt.failed(AttemptFailure::Withdrawn, why));
        }
        attempt.link.allowance.set(ReadAllowance::HEAD_BYTES);
        written.notify_one();
        let error = match attempt.link.sender.try_send_request(request()).await {
            Ok(response) => {
                if !attempt.link.used && order.pass.is_none() {
                    let (replica, reached) = (order.replica, true);
                    context.driver.feed(RouteEvent::PathProbed { replica, reached });
                }
                return Ok((response, attempt));
            }
            Err(error) => error,
        };
        // A returned request means that none of it was written, as when the replica closed an idle
        // connection.
        if error.message().is_none() {
            let why = error.into_error().to_string();
            return Err(attempt.failed(AttemptFailure::Broken, why));
        }
        if !attempt.link.used {
            let why = error.into_error().to_string();
            return Err(attempt.failed(AttemptFailure::NeverSent, why));
        }
        link = open(context, order, address).await?;
    }
}

async fn open(
    context: &GatewayContext,
    order: &SendOrder,
    address: SocketAddr,
) -> Result<ReplicaLink, FailedAttempt> {
    let limit = context.driver.until(order.deadline).min(Duration::from_millis(CONNECT_MS));
    let opened = context.pool.open(address, limit).await;
    opened.map_err(|error| never_sent(error.to_string()))
}

/// Returns a connection to the pool after this response.
pub(super) fn put_back(context: &GatewayContext, link: ReplicaLink, response: &HeaderMap) {
    context.pool.put_back(link, headers::kept_idle_ms(response));
}

fn replica_request(
    context: &GatewayContext,
    caller: &BufferedRequest,
    order: &SendOrder,
    forward: Option<&(&ForwardPass, ForwardAttempt)>,
    resume_after: Option<&str>,
) -> Request<Full<Bytes>> {
    let left_ms = context.driver.until(order.deadline).as_millis() as u64;
    let mut request = Request::new(Full::new(caller.body.clone()));
    *request.method_mut() = caller.method.clone();
    *request.uri_mut() = caller.uri.clone();
    *request.headers_mut() = match forward {
        None => headers::replica_headers(&caller.headers, order, left_ms, resume_after),
        Some((pass, attempt)) => {
            let to = &order.replica_id;
            let mut headers =
                headers::forwarded_headers(&caller.headers, to, left_ms, resume_after);
            forward::write_pass(&mut headers, pass);
            attempt.write(&mut headers);
            headers
        }
    };
    request
}
