//! Tests of heads that frame an answer beyond doubt, and of others.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use ravenspoke_framing::{check_head, BrokenHead};

fn check(lines: &[(&str, &str)]) -> Result<(), BrokenHead> {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name: HeaderName = name.parse().expect("a name");
        headers.append(name, HeaderValue::from_str(value).expect("a value"));
    }
    check_head(&headers)
}

#[test]
fn sound_heads_are_taken() {
    for lines in [
        &[][..],
        &[("content-length", "12")],
        &[("content-length", "0")],
        &[("transfer-encoding", "chunked")],
        &[("transfer-encoding", "Chunked ")],
    ] {
        assert_eq!(check(lines), Ok(()), "{lines:?}");
    }
}

#[test]
fn other_codings_than_chunks_are_refused() {
    for coding in ["gzip", "", "chunke", "gzip, chunked", "chunked, chunked", "chunked, gzip"] {
        assert_eq!(check(&[("transfer-encoding", coding)]), Err(BrokenHead::Coding));
    }
    let lines = [("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")];
    assert_eq!(check(&lines), Err(BrokenHead::Coding));
}
