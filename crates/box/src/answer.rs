//! Responses to callers: complete and streamed bodies, and errors in the protocol's format.

use std::io;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use ravenspoke_core::attempt::{RequestRefusal, RunState};
use ravenspoke_core::reason::ReasonCode;
use serde_json::json;
use tokio::sync::mpsc;

use crate::clients::connection_table::{ActiveRequest, AwaitingAnswer};
use crate::clients::endpoint::ActiveBody;
use crate::clients::memory_account::MemoryShare;
use crate::clients::whole_body::WholeBody;

/// Body of a response as it is written.
pub type AnswerStream = UnsyncBoxBody<Bytes, io::Error>;

/// Sender of body pieces. An error closes the connection, so that the caller sees an aborted
/// response.
pub type BodySender = mpsc::Sender<io::Result<Bytes>>;

/// Pieces that may be queued for a slow caller before reading from the replica pauses.
pub const BODY_PIECES: usize = 16;

/// A response whose head is known.
#[derive(Debug)]
pub struct HeadAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: AnswerBody,
}

/// The body of a response.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body, and what it takes of the memory if it is a replica's.
    Whole(Bytes, Option<MemoryShare>),
    /// A stream of pieces.
    Stream(mpsc::Receiver<io::Result<Bytes>>),
}

impl HeadAnswer {
    /// Creates a JSON response.
    pub fn json(status: u16, body: &serde_json::Value) -> Self {
        Self {
            status,
            content_type: "application/json".to_owned(),
            headers: Vec::new(),
            body: AnswerBody::Whole(body.to_string().into(), None),
        }
    }

    /// Creates the response to input that violates the protocol.
    pub fn malformed(message: &str) -> Self {
        let error = json!({
            "message": message, "type": "invalid_request_error",
            "code": "malformed_request", "run": "not_run",
        });
        Self::json(400, &json!({ "error": error }))
    }

    /// Creates the response to a refused request.
    pub fn refusal(refusal: &RequestRefusal, request: u128) -> Self {
        let mut answer = Self::json(status_of(refusal), &refusal_json(refusal, request));
        if let Some(millis) = refusal.retry_after_ms {
            answer.headers.push(("retry-after", millis.div_ceil(1_000).max(1).to_string()));
        }
        answer.headers.push(("x-ravenspoke-reason", refusal.reason.slug().to_owned()));
        answer
    }
}

/// The protocol's error object of a refusal.
pub fn refusal_json(refusal: &RequestRefusal, request: u128) -> serde_json::Value {
    let message = match &refusal.detail {
        Some(detail) => format!("{}: {detail}", refusal.reason.description()),
        None => refusal.reason.description().to_owned(),
    };
    let kind = match status_of(refusal) {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    json!({ "error": {
        "message": message,
        "type": kind,
        "code": refusal.reason.slug(),
        "run": run_state_name(refusal.run()),
        "retry_after_ms": refusal.retry_after_ms,
        "request_id": format!("{request:032x}"),
    } })
}

fn run_state_name(run: RunState) -> &'static str {
    match run {
        RunState::NotRun => "not_run",
        RunState::Unknown => "unknown",
        RunState::Ran => "ran",
    }
}

fn status_of(refusal: &RequestRefusal) -> u16 {
    match refusal.reason {
        ReasonCode::UnknownKey => 401,
        ReasonCode::NotAllowed => 403,
        ReasonCode::UnknownTarget => 404,
        ReasonCode::AlreadyClaimed | ReasonCode::SessionDrained => 409,
        ReasonCode::Withdrawn | ReasonCode::KeyExpired => 410,
        ReasonCode::BadToken | ReasonCode::BadClaimKey => 400,
        ReasonCode::QueueLate | ReasonCode::QueueFull => 429,
        ReasonCode::ReplicaFailed | ReasonCode::StreamBroken | ReasonCode::WrongEcho => 502,
        ReasonCode::Deadline => 504,
        _ => 503,
    }
}

impl HeadAnswer {
    /// A response with a plain text.
    pub fn text(status: u16, text: &'static str) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8".to_owned(),
            headers: Vec::new(),
            body: AnswerBody::Whole(Bytes::from_static(text.as_bytes()), None),
        }
    }

    /// The response for the client of `request`, which is active until it is written.
    pub fn into_response(self, request: ActiveRequest<AwaitingAnswer>) -> Response<AnswerStream> {
        let response = self.into_unread_response();
        response.map(|body| ActiveBody::new(body, request).boxed_unsync())
    }

    /// The response to a request whose body is not read, or whose connection closes after it.
    pub fn into_unread_response(self) -> Response<AnswerStream> {
        let mut response = Response::new(self.body.into_stream());
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = self.headers.iter().map(|(name, value)| (*name, value.as_str()));
        for (name, value) in headers.chain([("content-type", self.content_type.as_str())]) {
            // A value of a replica that is no header value is left out.
            if let Ok(value) = HeaderValue::from_str(value) {
                response.headers_mut().insert(HeaderName::from_static(name), value);
            }
        }
        response
    }
}

impl AnswerBody {
    fn into_stream(self) -> AnswerStream {
        match self {
            Self::Whole(bytes, share) => {
                let body = WholeBody::new(bytes, share, None);
                body.map_err(|infallible| match infallible {}).boxed_unsync()
            }
            Self::Stream(pieces) => {
                let pieces = futures_util::stream::unfold(pieces, |mut pieces| async {
                    pieces.recv().await.map(|piece| (piece.map(Frame::data), pieces))
                });
                StreamBody::new(pieces).boxed_unsync()
            }
        }
    }
}
