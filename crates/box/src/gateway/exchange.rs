//! Serves one request: gets each step from the reducer, sends the request to replicas, and returns
//! the response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ravenspoke_adapter::headers;
use ravenspoke_core::route::event::{
    CallerRequest, ForwardedRequest, RouteEvent, RouteRefusal, SendOrder,
};
use ravenspoke_core::time::BoxTime;

use super::attempts::{run_attempts, AttemptOutcome, AttemptRequest};
use super::driver::{GatewayDriver, RequestName, RequestStep, WaitingTurn};
use super::forward::{self, RequestOrigin, UnknownForwarder};
use super::observe;
use super::pool::ReplicaPool;
use super::relay::relay_stream;
use super::replica_call::{ReplicaBody, ReplicaResponse};
use super::responses::{refusal_response, text_response, whole_body, AbortedResponse, CallerBody};
use super::stream_reader::StreamSource;
use super::unknown_headers::UnknownHeaders;
use crate::clients::connection_table::{ActiveRequest, AwaitingAnswer, ReadingBody};
use crate::clients::endpoint::ActiveBody;
use crate::clients::memory_account::MemoryShare;
use crate::clients::request_body::{discard_body, read_body, BodyFailure, BodyLimits, HeldBody};
use crate::clients::slow_readers::{ReadRequest, ReaderMeter, ReaderWatch};

/// Shared context of requests.
pub struct GatewayContext {
    /// Applies events to the reducer's state.
    pub driver: Arc<GatewayDriver>,
    /// Connections to replicas.
    pub pool: Arc<ReplicaPool>,
    /// Logs headers of replicas that the box does not know.
    pub unknown_headers: UnknownHeaders,
    /// Disconnects callers that do not read.
    pub readers: Arc<ReaderWatch>,
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
    /// What the body takes of the box's memory.
    pub(super) share: MemoryShare,
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

/// How a request arrives.
pub struct RequestArrival {
    /// Who sends it.
    pub origin: RequestOrigin,
    /// Time that it waited for the box to start.
    pub waited: Duration,
    /// Progress of its caller in reading, if it is recorded.
    pub reader: Option<Arc<ReaderMeter>>,
    /// Its connection.
    pub active: ActiveRequest<ReadingBody>,
}

/// A request whose head was read.
struct HeadRequest {
    head: http::request::Parts,
    caller: CallerRequest,
    name: RequestName,
    /// When its head was whole.
    began: BoxTime,
}

/// How a request ends whose body is not held.
enum UnreadRequest {
    /// By this response.
    Answered(Box<Response<CallerBody>>),
    /// Without one.
    Aborted(AbortedResponse),
}

impl UnreadRequest {
    fn answered(status: StatusCode, text: &'static str) -> Self {
        Self::Answered(Box::new(text_response(status, text)))
    }

    fn refused(refusal: RouteRefusal) -> Self {
        Self::Answered(Box::new(refusal_response(refusal)))
    }
}

/// Limits of a request's body, or the response that its head leads to. What another box forwards, that
/// box has read within the limits of its own plan.
fn check_head(
    context: &GatewayContext,
    request: &HeadRequest,
    origin: RequestOrigin,
) -> Result<BodyLimits, UnreadRequest> {
    let limits = context.driver.state().plan().limits;
    let is_caller = origin == RequestOrigin::Caller;
    if is_caller && head_bytes(&request.head) > limits.header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(UnreadRequest::answered(status, "the head is too large"));
    }
    let terms = context.driver.check_head(&request.name, &request.caller);
    let terms = terms.map_err(UnreadRequest::refused)?;
    let bytes = if is_caller { limits.body_bytes } else { usize::MAX };
    Ok(BodyLimits { bytes, time: Duration::from_millis(terms.left_ms) })
}

/// Reads the body of a request if its head admits it.
async fn hold_body(
    context: &GatewayContext,
    request: &HeadRequest,
    body: Incoming,
    origin: RequestOrigin,
    active: ActiveRequest<ReadingBody>,
) -> Result<(HeldBody, ActiveRequest<AwaitingAnswer>), UnreadRequest> {
    let headers = &request.head.headers;
    let limits = match check_head(context, request, origin) {
        Ok(limits) => limits,
        Err(unread) => {
            discard_body(body, active, headers, context.driver.state().plan().limits.body_bytes);
            return Err(unread);
        }
    };
    let account = active.account().clone();
    read_body(body, active, headers, limits, context.driver.clock()).await.map_err(|failure| {
        let id = request.caller.id.as_str();
        match failure {
            BodyFailure::TooLarge => {
                UnreadRequest::answered(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
            }
            BodyFailure::NoMemory(_) => {
                observe::log_body_refused(id, account.used());
                UnreadRequest::refused(RouteRefusal::no_memory())
            }
            BodyFailure::Late | BodyFailure::Stalled => {
                observe::log_body_unfinished(id, failure, account.used());
                let text = "the body did not arrive in time";
                UnreadRequest::answered(StatusCode::REQUEST_TIMEOUT, text)
            }
            BodyFailure::Truncated => {
                UnreadRequest::Aborted(AbortedResponse("the request body was truncated"))
            }
        }
    })
}

/// Decodes the head of a request, with what another box adds if it forwards it.
fn read_head(
    context: &GatewayContext,
    mut head: http::request::Parts,
    origin: RequestOrigin,
    waited: Duration,
) -> Result<HeadRequest, Box<(http::request::Parts, UnknownForwarder)>> {
    let forward = match take_forwarded(context, &mut head, origin) {
        Ok(forward) => forward,
        Err(error) => return Err(Box::new((head, error))),
    };
    let waited_ms = waited.as_millis() as u64;
    let caller = CallerRequest { waited_ms, forward, ..headers::read_request(&head) };
    let name = RequestName { ticket: context.driver.next_ticket(), id: caller.id.clone() };
    Ok(HeadRequest { head, caller, name, began: context.driver.now() })
}

/// Serves a request.
///
/// # Errors
/// Returns [`AbortedResponse`] if the caller's request can't be read, or if no valid step is left.
pub async fn serve_request(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
    arrival: RequestArrival,
) -> Result<Response<CallerBody>, AbortedResponse> {
    let (head, body) = request.into_parts();
    let RequestArrival { origin, waited, reader, active } = arrival;
    let request = match read_head(&context, head, origin, waited) {
        Ok(request) => request,
        Err(unknown) => {
            let (head, error) = *unknown;
            observe::log_forward_rejected(&error);
            let limit = context.driver.state().plan().limits.body_bytes;
            discard_body(body, active, &head.headers, limit);
            return Ok(text_response(StatusCode::FORBIDDEN, "no box of this fleet"));
        }
    };
    let (held, active) = match hold_body(&context, &request, body, origin, active).await {
        Ok(held) => held,
        Err(UnreadRequest::Answered(response)) => return Ok(*response),
        Err(UnreadRequest::Aborted(error)) => return Err(error),
    };
    let response = serve_held(context, request, held, reader).await?;
    Ok(response.map(|body| ActiveBody::new(body, active).boxed_unsync()))
}

/// Serves a request that has arrived whole.
async fn serve_held(
    context: Arc<GatewayContext>,
    request: HeadRequest,
    held: HeldBody,
    reader: Option<Arc<ReaderMeter>>,
) -> Result<Response<CallerBody>, AbortedResponse> {
    let HeadRequest { head, caller: request, name, began } = request;
    let HeldBody { bytes: body, share } = held;
    let content = xxhash_rust::xxh3::xxh3_64_with_seed(&body, request.content);
    if let Some(forwarded) = &request.forward {
        observe::log_forward_received(&request.id, forwarded);
    }
    let is_forwarded = request.forward.is_some();
    if request.waited_ms > 0 {
        observe::log_request_waited(&request.id, request.waited_ms);
    }
    let driver = context.driver.clone();
    // The caller's deadline runs while its body arrives.
    let waited_ms = request.waited_ms + driver.clock().since(began).as_millis() as u64;
    let request = CallerRequest { body_bytes: body.len(), content, waited_ms, ..request };
    let mut guard = RequestGuard { driver, name, began: Instant::now(), ended: false };
    let mut step = guard.feed(RouteEvent::RequestArrived(guard.name.ticket, request));
    let caller = BufferedRequest {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        is_forwarded,
        reader,
        share,
    };
    loop {
        let order = match step {
            Some(RequestStep::Send(order)) => order,
            Some(RequestStep::Wait(turn)) => {
                step = guard.wait_turn(turn).await;
                continue;
            }
            Some(RequestStep::Refuse(refusal)) => {
                let mut response = refusal_response(refusal);
                if caller.is_forwarded {
                    forward::write_spent(response.headers_mut(), refusal.spent);
                }
                return Ok(response);
            }
            _ => return Err(AbortedResponse("the reducer returned no step for the request")),
        };
        let request = AttemptRequest { context: &context, caller: &caller, resume_after: None };
        match run_attempts(&request, &mut guard, order, None).await {
            AttemptOutcome::Response(order, response) => {
                return Ok(respond(context, caller, guard, order, *response));
            }
            AttemptOutcome::Ended(next) => step = next,
            AttemptOutcome::StreamResumed(_) | AttemptOutcome::StreamKept => step = None,
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

fn respond(
    context: Arc<GatewayContext>,
    caller: BufferedRequest,
    mut guard: RequestGuard,
    order: Arc<SendOrder>,
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
        ReplicaBody::Whole(held) => {
            guard.finish(status.as_u16());
            whole_body(held, caller.reader)
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
