//! Tests of heads that frame an answer beyond doubt, and of others.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode, Version};
use ravenspoke_framing::{AnswerFrame, BrokenHead};

/// Checks an answer to a POST with this status and these header lines.
fn check(status: u16, lines: &[(&str, &str)]) -> Result<(), BrokenHead> {
    check_answer(&Method::POST, Version::HTTP_11, status, lines)
}

fn check_answer(
    method: &Method,
    version: Version,
    status: u16,
    lines: &[(&str, &str)],
) -> Result<(), BrokenHead> {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name: HeaderName = name.parse().expect("a name");
        headers.append(name, HeaderValue::from_str(value).expect("a value"));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    AnswerFrame { method, version, status, headers: &headers }.check()
}

#[test]
fn sound_heads_are_taken() {
    for lines in [
        &[("content-length", "12")][..],
        &[("connection", "close")],
        &[("connection", "x-name, Close")],
        &[("content-length", "0")],
        &[("transfer-encoding", "chunked")],
        &[("transfer-encoding", "Chunked ")],
    ] {
        for status in [200, 302, 404, 503, 599] {
            assert_eq!(check(status, lines), Ok(()), "{status} {lines:?}");
        }
    }
    assert_eq!(check(204, &[("content-length", "0")]), Ok(()));
    assert_eq!(check(204, &[]), Ok(()));
    assert_eq!(check(304, &[("content-length", "12")]), Ok(()));
    assert_eq!(check(304, &[]), Ok(()));
    assert_eq!(check_answer(&Method::HEAD, Version::HTTP_11, 200, &[]), Ok(()));
    assert_eq!(check_answer(&Method::GET, Version::HTTP_10, 200, &[]), Ok(()));
}

#[test]
fn statuses_of_no_final_answer_are_refused() {
    for status in [100, 101, 199, 600, 999] {
        assert_eq!(check(status, &[]), Err(BrokenHead::Status(status)));
    }
}

#[test]
fn other_codings_than_chunks_are_refused() {
    for coding in ["gzip", "", "chunke", "gzip, chunked", "chunked, chunked", "chunked, gzip"] {
        assert_eq!(check(200, &[("transfer-encoding", coding)]), Err(BrokenHead::Coding));
    }
    let lines = [("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")];
    assert_eq!(check(200, &lines), Err(BrokenHead::Coding));
}

#[test]
fn lengths_that_are_not_one_number_are_refused() {
    for length in ["", "x", "-1", "+1", "1 2", "1, 1", "99999999999999999999"] {
        assert_eq!(check(200, &[("content-length", length)]), Err(BrokenHead::Length));
    }
    let lines = [("content-length", "1"), ("content-length", "1")];
    assert_eq!(check(200, &lines), Err(BrokenHead::Length));
}

#[test]
fn lengths_beside_chunks_are_refused() {
    let lines = [("content-length", "12"), ("transfer-encoding", "chunked")];
    assert_eq!(check(200, &lines), Err(BrokenHead::LengthBesideChunks));
}

#[test]
fn heads_that_tell_no_end_are_refused() {
    for lines in [
        &[][..],
        &[("x-length", "12")],
        &[("connection", "keep-alive")],
        &[("connection", "closed")],
    ] {
        for status in [200, 404, 503] {
            assert_eq!(check(status, lines), Err(BrokenHead::NoEnd), "{status} {lines:?}");
        }
    }
}

#[test]
fn bodies_of_answers_without_content_are_refused() {
    for line in [("content-length", "5"), ("transfer-encoding", "chunked")] {
        assert_eq!(check(204, &[line]), Err(BrokenHead::Bodyless(204)));
    }
}
