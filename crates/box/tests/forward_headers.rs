//! Headers of requests that boxes forward to each other.

use http::{HeaderMap, HeaderValue};
use ravenspoke_box::gateway::forward::{
    take_pass, take_spent, write_pass, write_spent, UnknownForwarder,
};
use ravenspoke_core::route::event::{
    BegunAnswer, ForwardPass, ForwardProgress, ForwardedRequest, RequestAdmission, RouteTerms,
    SpentAttempts,
};
use ravenspoke_core::route::plan::RouteKind;

const KEY: u64 = 77;

const ID: &str = "x-ravenspoke-request-id";

fn pass() -> ForwardPass {
    let route = RouteTerms {
        name: "chat".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        target_ms: 1_500,
        pause_ms: 1_200,
        timeout_ms: 20_000,
        attempts: 3,
        sizes: vec!["small".to_owned(), "large".to_owned()],
    };
    let admission = RequestAdmission {
        plan_version: 7,
        route,
        service: "pool".to_owned(),
        account: Some("Zürich, east; \u{1f426}".to_owned()),
        priority: 2,
        zones: Some(vec!["east".to_owned()]),
    };
    let progress = ForwardProgress {
        attempts: 2,
        is_repeat: true,
        rejections: 3,
        is_counted: true,
        begun: Some(BegunAnswer { size: Some(1), on_trial: true }),
    };
    ForwardPass { key: KEY, request: ForwardedRequest { admission: Box::new(admission), progress } }
}

fn headers_of(id: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(ID, HeaderValue::from_static(id));
    headers
}

#[test]
fn forwarded_request_is_read_as_it_was_written_and_leaves_no_header() {
    let mut headers = headers_of("r1");
    write_pass(&mut headers, &pass());

    let taken = take_pass(&mut headers, KEY);

    assert_eq!(taken, Ok(pass().request));
    assert_eq!(headers.len(), 1, "{headers:?}");
}

/// Guards against a request that another one's admission lets in.
#[test]
fn admission_of_one_request_admits_no_other() {
    let mut headers = headers_of("r1");
    write_pass(&mut headers, &pass());
    headers.insert(ID, HeaderValue::from_static("r2"));

    assert_eq!(take_pass(&mut headers, KEY), Err(UnknownForwarder));
}

#[test]
fn request_without_an_admission_or_with_another_key_is_no_forwarded_one() {
    let mut without = headers_of("r1");
    write_pass(&mut without, &pass());
    without.remove("ravenspoke-admission");
    let mut other_key = headers_of("r1");
    write_pass(&mut other_key, &pass());

    assert_eq!(take_pass(&mut without, KEY), Err(UnknownForwarder));
    assert_eq!(take_pass(&mut other_key, KEY + 1), Err(UnknownForwarder));
}

#[test]
fn spent_attempts_are_read_as_they_were_written() {
    let mut headers = HeaderMap::new();
    let spent = SpentAttempts { sends: 4, rejections: 2 };
    write_spent(&mut headers, spent);

    assert_eq!(take_spent(&mut headers), spent);
    assert_eq!(take_spent(&mut headers), SpentAttempts::default());
}
