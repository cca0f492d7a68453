//! Serves one request: gets each step from the reducer, sends the request to replicas, and returns
//! the response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use ravenspoke_adapter::headers;
use ravenspoke_core::route::event::{
    CallerRequest, ForwardedRequest, RouteEvent, RouteRefusal, SendOrder,
};

use super::attempts::{run_attempts, AttemptOutcome, AttemptRequest};
use super::body_budget::{BodyBudget, BodyShare};
use super::driver::{GatewayDriver, RequestName, RequestStep, WaitingTurn};
use super::forward::{self, RequestOrigin, UnknownForwarder};
use super::observe;
use super::pool::ReplicaPool;
use super::relay::relay_stream;
use super::replica_call::{ReplicaBody, ReplicaResponse};
use super::request_body::{read_body, BodyFailure, HeldBody};
use super::responses::{full_body, refusal_response, text_response, AbortedResponse, CallerBody};
use super::slow_readers::{ReadRequest, ReaderMeter, ReaderWatch};
use super::stream_reader::StreamSource;
use super::unknown_headers::UnknownHeaders;

/// Shared context of requests.
pub struct GatewayContext {
    /// Applies events to the reducer's state.
    pub driver: Arc<GatewayDriver>,
    /// Connections to replicas.
    pub pool: Arc<ReplicaPool>,
    /// Logs headers of replicas that the box does not know.
    pub unknown_headers: UnknownHeaders,
    /// Memory for the bodies of requests.
    pub bodies: Arc<BodyBudget>,
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
    /// What the body takes of the box's memory.
    _share: BodyShare,
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

/// How a request ends whose body is not held.
enum UnreadRequest {
    /// By this response.
    Answered(Box<Response<CallerBody>>),
    /// Without one.
    Aborted(AbortedResponse),
}

impl UnreadRequest {
    fn answered(response: Response<CallerBody>) -> Self {
        Self::Answered(Box::new(response))
    }
}

/// Reads the body of a request, within the plan's limits if a caller sent it. What another box
/// forwards it has read within the limits of its own plan.
async fn hold_body(
    context: &GatewayContext,
    head: &http::request::Parts,
    body: Incoming,
    origin: RequestOrigin,
) -> Result<HeldBody, UnreadRequest> {
    let limits = context.driver.state().plan().limits;
    let is_caller = origin == RequestOrigin::Caller;
    if is_caller && head_bytes(head) > limits.header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(UnreadRequest::answered(text_response(status, "the head is too large")));
    }
    let limit = if is_caller { limits.body_bytes } else { usize::MAX };
    read_body(body, limit, &context.bodies).await.map_err(|failure| match failure {
        BodyFailure::TooLarge => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            UnreadRequest::answered(text_response(status, "the body is too large"))
        }
        BodyFailure::NoMemory(_) => {
            observe::log_body_refused(&headers::request_id(head), context.bodies.used());
            UnreadRequest::answered(refusal_response(RouteRefusal::no_memory()))
        }
        BodyFailure::Truncated => {
            UnreadRequest::Aborted(AbortedResponse("the request body was truncated"))
        }
    })
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
    let (mut head, body) = request.into_parts();
    let forwarded = match take_forwarded(&context, &mut head, origin) {
        Ok(forwarded) => forwarded,
        Err(error) => {
            observe::log_forward_rejected(&error);
            return Ok(text_response(StatusCode::FORBIDDEN, "no box of this fleet"));
        }
    };
    let HeldBody { bytes: body, share } = match hold_body(&context, &head, body, origin).await {
        Ok(held) => held,
        Err(UnreadRequest::Answered(response)) => return Ok(*response),
        Err(UnreadRequest::Aborted(error)) => return Err(error),
    };
    let request = headers::read_request(&head);
    let content = xxhash_rust::xxh3::xxh3_64_with_seed(&body, request.content);
    let waited_ms = waited.as_millis() as u64;
    if let Some(forwarded) = &forwarded {
        observe::log_forward_received(&request.id, forwarded);
    }
    let is_forwarded = forwarded.is_some();
    let request =
        CallerRequest { body_bytes: body.len(), content, waited_ms, forward: forwarded, ..request };
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
        is_forwarded,
        reader,
        _share: share,
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
