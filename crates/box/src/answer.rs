//! Responses to callers: complete and streamed bodies, and errors in the protocol's format.

use std::io;

use bytes::Bytes;
use ravenspoke_core::attempt::{RequestRefusal, RunState};
use ravenspoke_core::reason::ReasonCode;
use rocket::http::{ContentType, Header, Status};
use rocket::response::{Responder, Response};
use rocket::Request;
use serde_json::json;
use tokio::sync::mpsc;

/// Sender of body pieces. An error closes the connection, so that the caller sees an aborted
/// response.
pub type BodySender = mpsc::Sender<io::Result<Bytes>>;

/// Pieces that may be queued for a slow caller before reading from the replica pauses.
pub const BODY_PIECES: usize = 64;

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
    /// The complete body.
    Whole(Bytes),
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
            body: AnswerBody::Whole(body.to_string().into()),
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

impl<'r> Responder<'r, 'static> for HeadAnswer {
    fn respond_to(self, _request: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        response.status(Status::new(self.status));
        let media = ContentType::parse_flexible(&self.content_type).unwrap_or(ContentType::Binary);
        response.header(media);
        for (name, value) in self.headers {
            response.header(Header::new(name, value));
        }
        match self.body {
            AnswerBody::Whole(bytes) => {
                response.sized_body(bytes.len(), io::Cursor::new(bytes));
            }
            AnswerBody::Stream(pieces) => {
                let pieces = futures_util::stream::unfold(pieces, |mut pieces| async {
                    pieces.recv().await.map(|piece| (piece, pieces))
                });
                let reader = tokio_util::io::StreamReader::new(Box::pin(pieces));
                response.streamed_body(reader);
            }
        }
        response.ok()
    }
}
