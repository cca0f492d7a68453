//! Decides whether the head of an HTTP/1.1 answer tells beyond doubt where its body ends.
//!
//! HTTP libraries read many heads leniently: a coding that they don't know makes the connection's end
//! the body's end, as a spoilt name of the length does, and a length beside chunks is ignored. Whoever
//! reads an answer checks its head here before anything in it counts.

use http::header::{HeaderMap, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, StatusCode, Version};

/// The only transfer coding that is read.
const CHUNKED: &str = "chunked";

/// Value with which a head announces that the connection ends with the answer.
const CLOSE: &[u8] = b"close";

/// Largest status that HTTP defines a class for.
const LAST_STATUS: u16 = 599;

/// Why the head of an answer is not relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokenHead {
    /// The status is that of no final answer.
    #[error("the status {0} is that of no final answer")]
    Status(u16),
    /// The body has another transfer coding than `chunked`, or several.
    #[error("the body has another transfer coding than chunks")]
    Coding,
    /// A length stands beside a transfer coding.
    #[error("a length stands beside chunks")]
    LengthBesideChunks,
    /// The length is not one number.
    #[error("the length is not one number")]
    Length,
    /// Neither a length, nor chunks, nor the end of the connection tell where the body ends.
    #[error("nothing in the head tells where the body ends")]
    NoEnd,
    /// The status allows no body, and the head announces one.
    #[error("the status {0} allows no body")]
    Bodyless(u16),
}

/// What frames a final answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerFrame<'a> {
    /// Method of the request.
    pub method: &'a Method,
    /// Version of the protocol in which the answer came.
    pub version: Version,
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: &'a HeaderMap,
}

impl<'a> AnswerFrame<'a> {
    /// The frame of a response to a request with this method.
    pub fn of_response(method: &'a Method, response: &'a reqwest::Response) -> Self {
        let (version, status) = (response.version(), response.status());
        Self { method, version, status, headers: response.headers() }
    }

    /// Checks the answer's head.
    ///
    /// # Errors
    /// Returns [`BrokenHead`] if the answer's end, or that it is an answer, is in doubt.
    pub fn check(self) -> Result<(), BrokenHead> {
        let status = self.status.as_u16();
        if self.status.is_informational() || status > LAST_STATUS {
            return Err(BrokenHead::Status(status));
        }
        match (read_coding(self.headers)?, read_length(self.headers)?) {
            (true, Some(_)) => Err(BrokenHead::LengthBesideChunks),
            (true, None) | (false, Some(1..)) if self.status == StatusCode::NO_CONTENT => {
                Err(BrokenHead::Bodyless(status))
            }
            (false, None) if self.has_body() && !self.ends_connection() => Err(BrokenHead::NoEnd),
            _ => Ok(()),
        }
    }

    /// Whether a body follows the head.
    fn has_body(self) -> bool {
        let is_bodyless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&self.status);
        *self.method != Method::HEAD && !is_bodyless
    }

    /// Whether the head announces that the connection ends with the answer.
    fn ends_connection(self) -> bool {
        let is_close = |word: &[u8]| word.trim_ascii().eq_ignore_ascii_case(CLOSE);
        let mut values = self.headers.get_all(CONNECTION).iter();
        let closes = values.any(|value| value.as_bytes().split(|byte| *byte == b',').any(is_close));
        closes || self.version < Version::HTTP_11
    }
}

/// Whether the body is in chunks.
fn read_coding(headers: &HeaderMap) -> Result<bool, BrokenHead> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(false) };
    let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED.as_bytes());
    if is_chunked && codings.next().is_none() {
        Ok(true)
    } else {
        Err(BrokenHead::Coding)
    }
}

/// The length that the head states, in bytes.
fn read_length(headers: &HeaderMap) -> Result<Option<u64>, BrokenHead> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else { return Ok(None) };
    let digits = length.to_str().ok().filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let length = digits.and_then(|digits| digits.parse().ok());
    if length.is_some() && lengths.next().is_none() {
        Ok(length)
    } else {
        Err(BrokenHead::Length)
    }
}
