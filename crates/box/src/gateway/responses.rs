//! Responses to callers: bodies, refusals, and the error that aborts a response.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use ravenspoke_core::route::event::RouteRefusal;

/// Reason for aborting a response. The caller's connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("response aborted: {0}")]
pub struct AbortedResponse(pub &'static str);

/// Body of a response to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, AbortedResponse>;

/// A body whose bytes are all available.
pub(super) fn full_body(bytes: Bytes) -> CallerBody {
    Full::new(bytes).map_err(|infallible| match infallible {}).boxed_unsync()
}

/// A response with a short text.
pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<CallerBody> {
    let mut response = Response::new(full_body(Bytes::from_static(text.as_bytes())));
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
