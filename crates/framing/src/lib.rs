//! Decides whether the head of an HTTP/1.1 answer tells beyond doubt where its body ends.
//!
//! HTTP libraries read many heads leniently: a coding that they don't know makes the connection's end
//! the body's end. Whoever reads an answer checks its head here
//! before anything in it counts.

use http::header::{HeaderMap, TRANSFER_ENCODING};

/// The only transfer coding that is read.
const CHUNKED: &str = "chunked";

/// Why the head of an answer is not relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokenHead {
    /// The body has another transfer coding than `chunked`, or several.
    #[error("the body has another transfer coding than chunks")]
    Coding,
}

/// Checks the head of a final answer.
///
/// # Errors
/// Returns [`BrokenHead`] if the answer's end, or that it is an answer, is in doubt.
pub fn check_head(headers: &HeaderMap) -> Result<(), BrokenHead> {
    check_coding(headers)
}

/// Checks that the body is in chunks, if it has a transfer coding.
fn check_coding(headers: &HeaderMap) -> Result<(), BrokenHead> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(()) };
    let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED.as_bytes());
    if is_chunked && codings.next().is_none() {
        Ok(())
    } else {
        Err(BrokenHead::Coding)
    }
}
