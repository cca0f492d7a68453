//! Decides whether the head of an HTTP/1.1 answer tells beyond doubt where its body ends.
//!
//! HTTP libraries read many heads leniently: a coding that they don't know makes the connection's end
//! the body's end, and a length beside chunks is ignored. Whoever reads an answer checks its head here
//! before anything in it counts.

use http::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::StatusCode;

/// The only transfer coding that is read.
const CHUNKED: &str = "chunked";

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
    /// The status allows no body, and the head announces one.
    #[error("the status {0} allows no body")]
    Bodyless(u16),
}

/// Checks the head of a final answer.
///
/// # Errors
/// Returns [`BrokenHead`] if the answer's end, or that it is an answer, is in doubt.
pub fn check_head(status: StatusCode, headers: &HeaderMap) -> Result<(), BrokenHead> {
    if status.is_informational() || status.as_u16() > LAST_STATUS {
        return Err(BrokenHead::Status(status.as_u16()));
    }
    let is_chunked = read_coding(headers)?;
    let length = read_length(headers)?;
    if is_chunked && length.is_some() {
        return Err(BrokenHead::LengthBesideChunks);
    }
    if status == StatusCode::NO_CONTENT && (is_chunked || length.is_some_and(|length| length > 0)) {
        return Err(BrokenHead::Bodyless(status.as_u16()));
    }
    Ok(())
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
