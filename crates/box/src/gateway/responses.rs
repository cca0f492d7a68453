//! Responses to callers: bodies, refusals, and the error that aborts a response.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use ravenspoke_core::route::event::RouteRefusal;

use crate::clients::request_body::HeldBody;
use crate::clients::slow_readers::ReaderMeter;
use crate::clients::whole_body::WholeBody;

/// Reason for aborting a response. The caller's connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("response aborted: {0}")]
pub struct AbortedResponse(pub &'static str);

/// Body of a response to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, AbortedResponse>;

/// The body of a whole answer for the caller of `reader`.
pub(super) fn whole_body(held: HeldBody, reader: Option<Arc<ReaderMeter>>) -> CallerBody {
    let body = WholeBody::new(held.bytes, Some(held.share), reader);
    body.map_err(|infallible| match infallible {}).boxed_unsync()
}

/// A response with a short text.
pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<CallerBody> {
    let body = Full::new(Bytes::from_static(text.as_bytes()));
    let body = body.map_err(|infallible| match infallible {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// The response for a refusal.
pub(super) fn refusal_response(refusal: RouteRefusal) -> Response<CallerBody> {
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = text_response(status, refusal.reason.slug());
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(http::header::RETRY_AFTER, value);
        }
    }
    response
}
