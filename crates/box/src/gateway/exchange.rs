//! Serves one request: gets each step from the reducer, sends the request to replicas, and returns
//! the response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use ravenspoke_adapter::headers;
use ravenspoke_core::event::RequestTicket;
use ravenspoke_core::route::event::{
    AnswerHead, AttemptFailure, CallerRequest, ForwardPass, ForwardedRequest, RouteEvent, SendOrder,
};

use super::carried_ids::RequestId;
use super::driver::{GatewayDriver, RequestName, RequestStep, WaitingTurn};
use super::forward::{self, ForwardAttempt, RequestOrigin, UnknownForwarder};
use super::observe;
use super::pool::{LinkUse, ReplicaLink, ReplicaPool};
use super::relay::{relay_stream, StreamSource, STREAM_ALLOWANCE};
use super::replica_stream::ReadAllowance;
use super::responses::{full_body, refusal_response, text_response, AbortedResponse, CallerBody};
use super::slow_readers::{ReadRequest, ReaderMeter, ReaderWatch};
use super::unknown_headers::UnknownHeaders;

/// Maximum size of a response that is not a stream, in bytes. It is read completely before any of
/// it is forwarded.
pub const RESPONSE_LIMIT: usize = 4 << 20;

/// Maximum number of bytes that are read for a response that is not a stream. Chunks have a few
/// bytes in addition to the body.
const RESPONSE_ALLOWANCE: usize = 2 * RESPONSE_LIMIT;

/// Shared context of requests.
pub struct GatewayContext {
    /// Applies events to the reducer's state.
    pub driver: Arc<GatewayDriver>,
    /// Connections to replicas.
    pub pool: Arc<ReplicaPool>,
    /// Logs headers of replicas that the box does not know.
    pub unknown_headers: UnknownHeaders,
    /// Disconnects callers that do not read, if load control asks for it.
    pub readers: Option<Arc<ReaderWatch>>,
}

/// A caller's request with its whole body.
pub struct BufferedRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Whether another box forwarded it.
    pub(super) is_forwarded: bool,
    /// Progress of the caller in reading the response, if it is recorded.
    pub(super) reader: Option<Arc<ReaderMeter>>,
}

/// Reports a disconnected caller to the reducer when the task of its request is dropped.
pub struct RequestGuard {
    pub(super) driver: Arc<GatewayDriver>,
    pub(super) name: RequestName,
    pub(super) began: Instant,
    ended: bool,
}

impl RequestGuard {
    /// Applies an event of the request. A refusal or an abort ends the request.
    pub fn feed(&mut self, event: RouteEvent) -> Option<RequestStep> {
        let step = self.driver.feed_request(&self.name, event);
        self.record_end(step.as_ref());
        step
    }

    /// Waits for the step that ends the wait of the request, at the latest until the time that the reducer set.
    async fn wait_turn(&mut self, mut turn: WaitingTurn) -> Option<RequestStep> {
        let left = self.driver.until(turn.until);
        let step = self.driver.clock().within(left, &mut turn.step).await;
        // A step that was sent at the deadline is not lost.
        let step = step.and_then(Result::ok).or_else(|| turn.step.try_recv().ok());
        if step.is_none() {
            return self.feed(RouteEvent::WaitEnded(self.name.ticket));
        }
        self.record_end(step.as_ref());
        step
    }

    fn record_end(&mut self, step: Option<&RequestStep>) {
        self.ended |= matches!(step, Some(RequestStep::Refuse(_) | RequestStep::Abort(_)));
    }

    /// Records that the whole response was forwarded.
    pub fn finish(&mut self, status: u16) {
        self.feed(RouteEvent::ResponseFinished(self.name.ticket));
        self.ended = true;
        observe::log_response_finished(&self.name, status, self.began.elapsed());
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.ended {
            observe::log_caller_disconnected(&self.name, self.began.elapsed());
            self.feed(RouteEvent::CallerDisconnected(self.name.ticket));
        }
    }
}

/// A replica's response.
pub struct ReplicaResponse {
    pub(super) head: http::response::Parts,
    pub(super) decoded: AnswerHead,
    pub(super) body: ReplicaBody,
    /// The connection on which it came.
    pub(super) link_use: LinkUse,
}

/// Body of a replica's response.
pub enum ReplicaBody {
    /// A whole body.
    Whole(Bytes),
    /// A stream that is still open.
    Stream(Incoming, ReplicaLink),
}

/// Reason why a caller's request could not be read.
enum ReadFailure {
    /// The request is too large; status and text of the response.
    TooLarge(StatusCode, &'static str),
    /// The request was aborted.
    Broken(AbortedResponse),
}

/// Reads a caller's request within the plan's limits.
async fn read_whole(
    context: &GatewayContext,
    request: Request<Incoming>,
) -> Result<(http::request::Parts, Bytes), ReadFailure> {
    let (head, body) = request.into_parts();
    let limits = context.driver.state().plan().limits;
    if head_bytes(&head) > limits.header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(ReadFailure::TooLarge(status, "the head is too large"));
    }
    match Limited::new(body, limits.body_bytes).collect().await {
        Ok(body) => Ok((head, body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(ReadFailure::TooLarge(status, "the body is too large"))
        }
        Err(_) => {
            let broken = AbortedResponse("the request body was truncated");
            Err(ReadFailure::Broken(broken))
        }
    }
}

/// Serves a request that has waited for the box to start for `waited`.
///
/// # Errors
/// Returns [`AbortedResponse`] if the caller's request can't be read, or if no valid step is left.
pub async fn serve_request(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
    origin: RequestOrigin,
    waited: Duration,
    reader: Option<Arc<ReaderMeter>>,
) -> Result<Response<CallerBody>, AbortedResponse> {
    let (mut head, body) = match read_whole(&context, request).await {
        Ok(read) => read,
        Err(ReadFailure::TooLarge(status, text)) => return Ok(text_response(status, text)),
        Err(ReadFailure::Broken(broken)) => return Err(broken),
    };
    let forwarded = match take_forwarded(&context, &mut head, origin) {
        Ok(forwarded) => forwarded,
        Err(error) => {
            observe::log_forward_rejected(&error);
            return Ok(text_response(StatusCode::FORBIDDEN, "no box of this fleet"));
        }
    };
    let request = headers::read_request(&head);
    let content = xxhash_rust::xxh3::xxh3_64_with_seed(&body, request.content);
    let waited_ms = waited.as_millis() as u64;
    let request =
        CallerRequest { body_bytes: body.len(), content, waited_ms, forward: forwarded, ..request };
    if let Some(forwarded) = &forwarded {
        observe::log_forward_received(&request.id, forwarded);
    }
    if waited_ms > 0 {
        observe::log_request_waited(&request.id, waited_ms);
    }
    let driver = context.driver.clone();
    let name = RequestName { ticket: driver.next_ticket(), id: request.id.clone() };
    let mut guard = RequestGuard { driver, name, began: Instant::now(), ended: false };
    let mut step = guard.feed(RouteEvent::RequestArrived(guard.name.ticket, request));
    let caller = BufferedRequest {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        is_forwarded: forwarded.is_some(),
        reader,
    };
    loop {
        let order = match step {
            Some(RequestStep::Send(order)) => order,
            Some(RequestStep::Wait(turn)) => {
                step = guard.wait_turn(turn).await;
                continue;
            }
            Some(RequestStep::Refuse(refusal)) => return Ok(refusal_response(refusal)),
            _ => return Err(AbortedResponse("the reducer returned no step for the request")),
        };
        match attempt(&context, &caller, &mut guard, &order, None).await {
            AttemptOutcome::Response(response) => {
                step = guard.feed(RouteEvent::HeadReceived(guard.name.ticket, response.decoded));
                if matches!(step, Some(RequestStep::Relay)) {
                    return Ok(respond(context, caller, guard, order, *response));
                }
            }
            AttemptOutcome::Ended(next) => step = next,
        }
    }
}

/// Removes and decodes what another box adds to a request that it forwards.
fn take_forwarded(
    context: &GatewayContext,
    head: &mut http::request::Parts,
    origin: RequestOrigin,
) -> Result<Option<ForwardedRequest>, UnknownForwarder> {
    if origin == RequestOrigin::Caller {
        return Ok(None);
    }
    let key = context.driver.state().forward_key();
    forward::take_pass(&mut head.headers, key).map(Some)
}

/// Approximate size of a request's head in bytes, without separators and the constant part of the
/// request line.
fn head_bytes(head: &http::request::Parts) -> usize {
    let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let rows = head.headers.iter();
    target + rows.map(|(name, value)| name.as_str().len() + value.len()).sum::<usize>()
}

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// A response to this request.
    Response(Box<ReplicaResponse>),
    /// No response; the reducer's next step.
    Ended(Option<RequestStep>),
}

/// Sends the request to a replica and waits for its response within the limits of the order.
pub async fn attempt(
    context: &GatewayContext,
    caller: &BufferedRequest,
    guard: &mut RequestGuard,
    order: &SendOrder,
    resume_after: Option<&str>,
) -> AttemptOutcome {
    let began = Instant::now();
    let call = call_replica(context, caller, guard.name.ticket, order, resume_after);
    tokio::pin!(call);
    let mut rechecks = context.driver.rechecks.subscribe();
    let mut stall_at = context.driver.now().plus_millis(order.head_ms);
    let failed = loop {
        let left = context.driver.until(order.deadline);
        let stall_limit = context.driver.until(stall_at);
        let response = context.driver.clock().within(left.min(stall_limit), call.as_mut());
        let ended = tokio::select! {
            ended = response => ended,
            // The sender lives as long as the driver.
            _ = rechecks.changed() => {
                if let Some(step) = guard.feed(RouteEvent::AttemptRechecked(guard.name.ticket)) {
                    let failed = silent("its path is lost, or it has a feature that crashes replicas");
                    observe::log_attempt_failed(&guard.name, &failed, began.elapsed());
                    return AttemptOutcome::Ended(Some(step));
                }
                continue;
            }
        };
        match ended {
            Some(Ok(response)) => {
                let (head, link_use) = (&response.decoded, response.link_use);
                observe::log_head_received(&guard.name, head, link_use, began.elapsed());
                return AttemptOutcome::Response(Box::new(response));
            }
            Some(Err(failed)) => break failed,
            None if left <= stall_limit => {
                return AttemptOutcome::Ended(
                    guard.feed(RouteEvent::DeadlinePassed(guard.name.ticket)),
                );
            }
            None => stall_at = context.driver.now().plus_millis(order.head_ms),
        }
        // A stall does not end the attempt by itself: the reducer names another replica, or the
        // wait continues.
        if let Some(step) = guard.feed(RouteEvent::AttemptStalled(guard.name.ticket)) {
            let failed = silent("no response head within the limit");
            observe::log_attempt_failed(&guard.name, &failed, began.elapsed());
            return AttemptOutcome::Ended(Some(step));
        }
    };
    observe::log_attempt_failed(&guard.name, &failed, began.elapsed());
    let event = RouteEvent::AttemptFailed(guard.name.ticket, failed.failure);
    AttemptOutcome::Ended(guard.feed(event))
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
    /// Bytes that it wrote.
    pub written: usize,
}

fn never_sent(why: String) -> FailedAttempt {
    FailedAttempt { failure: AttemptFailure::NeverSent, why, link_use: None, written: 0 }
}

/// A failed attempt whose connection the caller of this function does not have.
pub(super) fn silent(why: &str) -> FailedAttempt {
    let why = why.to_owned();
    FailedAttempt { failure: AttemptFailure::Silent, why, link_use: None, written: 0 }
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
        FailedAttempt { failure, why, link_use: Some(self.link_use), written }
    }
}

/// Sends the request to the order's replica, and reads the whole response or the head of a stream.
async fn call_replica(
    context: &GatewayContext,
    caller: &BufferedRequest,
    ticket: RequestTicket,
    order: &SendOrder,
    resume_after: Option<&str>,
) -> Result<ReplicaResponse, FailedAttempt> {
    let address: SocketAddr = order
        .address
        .parse()
        .map_err(|_| never_sent("the entry has no valid address".to_owned()))?;
    let forward = order.pass.map(|pass| (pass, ForwardAttempt::draw()));
    let request = || replica_request(context, caller, order, forward.as_ref(), resume_after);
    let id = RequestId::of(&caller.headers);
    let (response, attempt) = send_request(context, order, address, ticket, id, request).await?;
    let link_use = attempt.link_use;
    let (mut head, body) = response.into_parts();
    let begun = forward::take_begun(&mut head.headers);
    let decoded = AnswerHead { begun, ..headers::read_answer(&head) };
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
    let whole = Limited::new(body, RESPONSE_LIMIT).collect().await;
    let whole = whole.map_err(|error| attempt.failed(AttemptFailure::Broken, error.to_string()))?;
    put_back(context, attempt.link, &head.headers);
    let body = ReplicaBody::Whole(whole.to_bytes());
    Ok(ReplicaResponse { head, decoded, body, link_use })
}

/// Sends `request` on an idle connection, or on a new one if no idle connection accepts it.
async fn send_request(
    context: &GatewayContext,
    order: &SendOrder,
    address: SocketAddr,
    ticket: RequestTicket,
    id: RequestId,
    request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, AttemptLink), FailedAttempt> {
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
    let limit = context.driver.until(order.deadline);
    let opened = context.pool.open(address, limit).await;
    opened.map_err(|error| never_sent(error.to_string()))
}

/// Returns a connection to the pool in a separate task, so that the caller's response does not wait
/// for the check of the connection.
pub(super) fn put_back(context: &GatewayContext, link: ReplicaLink, response: &HeaderMap) {
    let kept_ms = headers::kept_idle_ms(response);
    let pool = context.pool.clone();
    tokio::spawn(async move { pool.put_back(link, kept_ms).await });
}

fn replica_request(
    context: &GatewayContext,
    caller: &BufferedRequest,
    order: &SendOrder,
    forward: Option<&(ForwardPass, ForwardAttempt)>,
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

fn respond(
    context: Arc<GatewayContext>,
    caller: BufferedRequest,
    mut guard: RequestGuard,
    order: Box<SendOrder>,
    response: ReplicaResponse,
) -> Response<CallerBody> {
    if let Some(reader) = &caller.reader {
        let account = order.inputs.account.clone();
        reader.begin_response(ReadRequest { id: guard.name.id.clone(), account });
    }
    let is_stream = matches!(response.body, ReplicaBody::Stream(..));
    let status = response.head.status;
    let mut caller_headers = headers::caller_headers(&response.head.headers, is_stream);
    if caller.is_forwarded {
        if let Some(begun) = context.driver.state().begun_answer(guard.name.ticket) {
            forward::write_begun(&mut caller_headers, begun);
        }
    }
    let body = match response.body {
        ReplicaBody::Whole(bytes) => {
            guard.finish(status.as_u16());
            full_body(bytes)
        }
        ReplicaBody::Stream(body, link) => {
            let (link_use, headers) = (response.link_use, response.head.headers);
            let source = StreamSource { body, link, link_use, headers };
            relay_stream(context, caller, guard, order, source)
        }
    };
    let mut caller_response = Response::new(body);
    *caller_response.status_mut() = status;
    *caller_response.headers_mut() = caller_headers;
    caller_response
}
