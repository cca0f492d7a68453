//! Tests of answers that are no answers in the protocol, or whose framing is in doubt: none of them
//! reaches a caller as an answer.
//!
//! A box runs as a process before a server that answers with given bytes.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::scripted::{AnswerScript, ScriptedReplica};
use ravenspoke_standins::platform::site::{RunningSite, REPLICA_TOPIC, SITE_KEY, SITE_SERVICE};
use ravenspoke_standins::platform::site_box::SiteBox;
use ravenspoke_standins::platform::wire::chunk;
use ravenspoke_standins::soak::proxy::{FaultProxy, ProxyFault};

use BodyFraming::{Behind, Chunked, Followed, None as Bodyless, Plain, Trailed};

/// Body of a plain answer.
const BODY: &str = "a whole body";

/// Events of a stream.
const EVENTS: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";

/// Entries of a server with several paths.
const PATHS: usize = 4;

/// Status line of a success.
const SUCCESS: &str = "HTTP/1.1 200 OK";

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerKind {
    /// A whole body; the request may run once.
    Whole,
    /// A stream of events.
    Stream,
}

impl AnswerKind {
    /// Path of its requests.
    fn path(self) -> &'static str {
        match self {
            Self::Whole => "/file/x",
            Self::Stream => "/chat/x",
        }
    }

    /// Body of a sound answer.
    fn body(self) -> &'static str {
        match self {
            Self::Whole => BODY,
            Self::Stream => EVENTS,
        }
    }
}

/// An answer whose parts a test replaces.
#[derive(Clone, Copy, Debug)]
struct AnswerShape {
    /// Status line.
    status: &'static str,
    /// Header lines, each with its end, in addition to the id and the stamp.
    lines: &'static str,
    /// How the body is written.
    framing: BodyFraming,
}

/// How a body is written.
#[derive(Clone, Copy, Debug)]
enum BodyFraming {
    /// As it is; the header lines tell its length, or not.
    Plain,
    /// In chunks.
    Chunked,
    /// In chunks, with these lines behind the last one.
    Trailed(&'static str),
    /// As it is, in a second packet behind the head.
    Behind,
    /// As it is, followed by these bytes.
    Followed(&'static str),
    /// There is none.
    None,
}

impl AnswerShape {
    /// A success with these header lines.
    const fn success(lines: &'static str, framing: BodyFraming) -> Self {
        Self { status: SUCCESS, lines, framing }
    }

    /// The bytes of the answer to the request with this id, in pieces.
    fn pieces(self, id: &str, body: &str) -> Vec<Vec<u8>> {
        let Self { status, lines, framing } = self;
        let head = format!(
            "{status}\r\nX-Ravenspoke-Request-Id: {id}\r\nX-Ravenspoke-Response-Stamp: stamp\r\n\
             {lines}\r\n"
        );
        let head = head.into_bytes();
        match framing {
            BodyFraming::Plain => vec![[head, body.into()].concat()],
            BodyFraming::Chunked => {
                vec![[head, chunk(body.as_bytes()), b"0\r\n\r\n".to_vec()].concat()]
            }
            BodyFraming::Trailed(lines) => {
                let trailer = format!("0\r\n{lines}\r\n").into_bytes();
                vec![[head, chunk(body.as_bytes()), trailer].concat()]
            }
            BodyFraming::Behind => vec![head, body.into()],
            BodyFraming::Followed(bytes) => vec![[head, body.into(), bytes.into()].concat()],
            BodyFraming::None => vec![head],
        }
    }

    /// The script of a server that sends it.
    fn script(self, kind: AnswerKind, closes: bool) -> impl Fn(&str) -> AnswerScript {
        move |id| AnswerScript {
            pieces: self.pieces(id, kind.body()),
            closes,
            ..AnswerScript::default()
        }
    }
}

/// A sound answer.
const SOUND: AnswerShape =
    AnswerShape::success("Transfer-Encoding: chunked\r\n", BodyFraming::Chunked);

/// Line of a rejection.
const NOT_RUN: &str = "X-Ravenspoke-Not-Executed: 1\r\n";

/// A rejection whose end is in doubt, so that it proves nothing.
const REJECTION_IN_ANOTHER_CODING: AnswerShape = AnswerShape {
    status: "HTTP/1.1 503 Service Unavailable",
    lines: "X-Ravenspoke-Not-Executed: 1\r\nTransfer-Encoding: gzip\r\n",
    framing: BodyFraming::Plain,
};

/// A box before one server, which gives sound answers.
struct BrokenSite {
    site: RunningSite,
    subject: SiteBox,
    server: ScriptedReplica,
    sent: AtomicUsize,
    /// Paths from the box to the server, if they may be lost.
    paths: Vec<FaultProxy>,
    /// The box that serves then.
    other: Option<SiteBox>,
}

/// What a caller got.
#[derive(Debug)]
struct CallerAnswer {
    /// Its status; 0 if the connection was closed without an answer.
    status: u16,
    /// The body, if it was framed as whole.
    body: Option<Vec<u8>>,
}

impl BrokenSite {
    async fn start() -> Self {
        let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
        site.write_plan(1, &[SITE_KEY]);
        let server = ScriptedReplica::start(|_| AnswerScript::default()).await;
        site.store.put(REPLICA_TOPIC, "i-broken", &server.entry(SITE_SERVICE));
        let subject = site.start_ready("box-1").await;
        wait_for("the box knows the server", || async {
            (subject.state().await?["backends"].as_array()?.len() == 1).then_some(())
        })
        .await;
        Self { site, subject, server, sent: AtomicUsize::new(0), paths: Vec::new(), other: None }
    }

    /// Starts two boxes before one server, which has several entries, each with a path of its own.
    async fn start_with_paths() -> Self {
        let mut broken = Self::start().await;
        for number in 0..PATHS {
            let server = broken.server.address;
            let path = FaultProxy::start(server.ip(), server).await;
            let mut entry = broken.server.entry(SITE_SERVICE);
            entry["address"] = path.address.to_string().into();
            broken.site.store.put(REPLICA_TOPIC, &format!("i-{number}"), &entry);
            broken.paths.push(path);
        }
        broken.site.store.drop_key(REPLICA_TOPIC, "i-broken");
        let other = broken.site.start_ready("box-2").await;
        for subject in [&broken.subject, &other] {
            wait_for("the box knows the paths and the other box", || async {
                let knows = subject.state().await?["backends"].as_array()?.len() == PATHS;
                (knows && subject.resolve().await?.len() == 2).then_some(())
            })
            .await;
        }
        broken.other = Some(other);
        broken
    }

    /// Cuts the box off from the server, and waits until it has noticed.
    async fn lose_paths(&self) {
        self.answer_with(SOUND.script(AnswerKind::Whole, false));
        self.paths.iter().for_each(|path| path.set_from(self.subject.ip, ProxyFault::Reset));
        wait_for("the box notices that its paths are lost", || async {
            let id = format!("notice-{}", self.sent.fetch_add(1, Ordering::Relaxed));
            let request = self.site.request(&self.subject, "GET", "/read/x", &id);
            // Some of these fail while the box has not noticed.
            drop(request.send().await);
            let events = self.subject.events("paths_changed");
            events.last().filter(|event| event["phase"] == "Lost").map(drop)
        })
        .await;
    }

    /// Makes the server answer by this script.
    fn answer_with(&self, script: impl Fn(&str) -> AnswerScript + Send + Sync + 'static) {
        self.server.set_script(move |request| {
            script(request.header("x-ravenspoke-request-id").unwrap_or_default())
        });
    }

    /// Sends requests until one has reached the server, and returns its answer. The box leaves a
    /// replica alone for a while after failures.
    async fn ask(&self, kind: AnswerKind) -> CallerAnswer {
        wait_for("a request reaches the server", || async {
            let id = format!("r{}", self.sent.fetch_add(1, Ordering::Relaxed));
            let request = self.site.request(&self.subject, "POST", kind.path(), &id);
            let request = request.header("Accept", "text/event-stream").body(id.clone());
            let answer = request.send().await;
            let status = answer.as_ref().map_or(0, |answer| answer.status().as_u16());
            let body = match answer {
                Ok(answer) => answer.bytes().await.ok().map(|body| body.to_vec()),
                Err(_) => None,
            };
            self.server.has_received(&id).then_some(CallerAnswer { status, body })
        })
        .await
    }

    /// Asserts that no caller gets this answer, whether its connection is closed or not, and that a
    /// sound one after it is passed on.
    async fn assert_refused(&self, shape: AnswerShape, kind: AnswerKind) {
        for closes in [false, true] {
            self.answer_with(shape.script(kind, closes));
            let answer = self.ask(kind).await;
            // A stream has a head before it breaks.
            let is_cut = kind == AnswerKind::Stream && answer.body.is_none();
            let is_refused = matches!(answer.status, 502 | 504) || is_cut;
            assert!(is_refused, "{shape:?}, closes: {closes}: {answer:?}");

            self.assert_whole(SOUND, kind).await;
        }
    }

    /// Asserts that a caller gets this answer.
    async fn assert_whole(&self, shape: AnswerShape, kind: AnswerKind) {
        self.answer_with(shape.script(kind, shape.lines.contains("close")));
        let answer = self.ask(kind).await;
        let body = answer.body.as_deref();
        assert_eq!((answer.status, body), (200, Some(kind.body().as_bytes())), "{shape:?}");
    }
}

/// One test for each list of answers: its name, what the requests are for, and the answers.
macro_rules! refused_answers {
    ($($name:ident: $kind:ident, [$($shape:expr),* $(,)?];)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let site = BrokenSite::start().await;
                for shape in [$($shape),*] {
                    site.assert_refused(shape, AnswerKind::$kind).await;
                }
            }
        )*
    };
}

const fn success(lines: &'static str, framing: BodyFraming) -> AnswerShape {
    AnswerShape::success(lines, framing)
}

const fn status(status: &'static str) -> AnswerShape {
    AnswerShape { status, lines: "Content-Length: 12\r\n", framing: BodyFraming::Plain }
}

refused_answers! {
    answers_whose_length_is_no_number: Whole, [
        success("Content-Length: 1x2\r\n", Plain),
        success("Content-Length: -12\r\n", Plain),
        success("Content-Length: +12\r\n", Plain),
        success("Content-Length: 1 2\r\n", Plain),
        success("Content-Length:\r\n", Plain),
        success("Content-Length: 12\u{1}\r\n", Plain),
        success("Content-Length: 99999999999999999999999\r\n", Plain),
        success("Content-Length: 12\r\nContent-Length: 5\r\n", Plain),
        success("Content-Length: 12, 5\r\n", Plain),
        success("Content-Length: 40\r\n", Plain),
    ];
    answers_with_a_line_that_is_no_field: Whole, [
        success("Content-Length: 12\r\nno field\r\n", Plain),
        success("no field\r\nContent-Length: 12\r\n", Plain),
        success("Content-Length: 12\r\n folded\r\n", Plain),
        success("Content-Length: 12\r\n: no name\r\n", Plain),
        success("Content-Length 12\r\n", Plain),
    ];
    answers_with_a_name_that_is_no_token: Whole, [
        success("X Name: value\r\nContent-Length: 12\r\n", Plain),
        success("Content-Length : 12\r\n", Plain),
        success("Content Length: 12\r\n", Plain),
        success("X-Na\u{1}me: value\r\nContent-Length: 12\r\n", Plain),
        success("X-Na\u{7f}me: value\r\nContent-Length: 12\r\n", Plain),
        success("Content-Len\0gth: 12\r\n", Plain),
        success("X-N\u{e4}me: value\r\nContent-Length: 12\r\n", Plain),
    ];
    answers_whose_status_is_no_number_of_three_digits: Whole, [
        status("HTTP/1.1 000 Status"),
        status("HTTP/1.1 099 Status"),
        status("HTTP/1.1 20 Status"),
        status("HTTP/1.1 2000 Status"),
        status("HTTP/1.1 2x0 Status"),
        status("HTTP/1.1  200 Status"),
    ];
    answers_with_a_spoilt_interim_answer_or_trailer: Whole, [
        status("HTTP/1.1 103 Early Hints\r\nno field\r\n\r\nHTTP/1.1 200 OK"),
        status("HTTP/1.1 103 Early Hints\r\nLink: x\r\n folded\r\n\r\nHTTP/1.1 200 OK"),
        status("HTTP/1.1 103 Early Hints\r\nX Name: x\r\n\r\nHTTP/1.1 200 OK"),
        success("Transfer-Encoding: chunked\r\n", Trailed("no field\r\n")),
        success("Transfer-Encoding: chunked\r\n", Trailed("X Name: x\r\n")),
        success("Transfer-Encoding: chunked\r\n", Trailed(" folded\r\n")),
    ];
    answers_whose_status_is_of_no_class: Whole, [
        status("HTTP/1.1 600 Status"),
        status("HTTP/1.1 999 Status"),
        status("HTTP/1.1 101 Switching Protocols"),
    ];
    answers_in_another_coding_than_chunks: Whole, [
        success("Transfer-Encoding: gzip\r\n", Plain),
        success("Transfer-Encoding: chunke\r\n", Chunked),
        success("Transfer-Encoding: xchunked\r\n", Chunked),
        success("Transfer-Encoding: identity\r\n", Plain),
        success("Transfer-Encoding: gzip\r\nContent-Length: 12\r\n", Plain),
        success("Transfer-Encoding: gzip, chunked\r\n", Chunked),
        success("Transfer-Encoding: chunked, chunked\r\n", Chunked),
        success("Transfer-Encoding: chunked, gzip\r\n", Chunked),
        success("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", Chunked),
        success("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", Chunked),
        success("Transfer-Encoding:\r\n", Plain),
        REJECTION_IN_ANOTHER_CODING,
    ];
    answers_with_the_same_length_twice: Whole, [
        success("Content-Length: 12\r\nContent-Length: 12\r\n", Plain),
        success("Content-Length: 12, 12\r\n", Plain),
    ];
    answers_without_content_that_have_a_length: Whole, [
        AnswerShape { framing: Bodyless, ..status("HTTP/1.1 204 No Content") },
    ];
    answers_with_a_length_beside_chunks: Whole, [
        success("Content-Length: x\r\nTransfer-Encoding: chunked\r\n", Chunked),
        success("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", Chunked),
        success("Transfer-Encoding: chunked\r\nContent-Length: 12\r\n", Chunked),
    ];
    answers_that_are_longer_than_their_length: Whole, [
        success("Content-Length: 5\r\n", Plain),
        success("Content-Length: 5\r\nConnection: close\r\n", Plain),
        success("Content-Length: 11\r\n", Plain),
        success("Content-Length: 0\r\n", Plain),
        success("Content-Length: 0\r\n", Behind),
        success("Content-Length: 5\r\n", Behind),
        success("Content-Length: 12\r\n", Followed("more")),
        success("Content-Length: 12\r\n", Followed("HTTP")),
        success("Transfer-Encoding: chunked\r\n", Followed("")),
    ];
    answers_that_tell_no_end: Whole, [
        success("", Plain),
        success("Content-Lenght: 12\r\n", Plain),
        success("Connection: keep-alive\r\n", Plain),
        success("Transfer-Encodin: chunked\r\n", Chunked),
        AnswerShape { status: "HTTP/1.1 503 Service Unavailable", ..success(NOT_RUN, Plain) },
    ];
    streams_that_tell_no_end: Stream, [
        success("", Plain),
        success("Transfer-Encodin: chunked\r\n", Chunked),
    ];
    answers_that_name_two_requests: Whole, [
        success("X-Ravenspoke-Request-Id: other\r\nContent-Length: 12\r\n", Plain),
    ];
    streams_in_another_coding_than_chunks: Stream, [
        success("Transfer-Encoding: gzip\r\n", Plain),
        success("Transfer-Encoding: chunke\r\n", Chunked),
        success("Transfer-Encoding: gzip, chunked\r\n", Chunked),
        success("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", Chunked),
    ];
    streams_that_are_longer_than_their_length: Stream, [
        success("Content-Length: 21\r\n", Plain),
        success("Content-Length: 0\r\n", Plain),
        success("Content-Length: 0\r\n", Behind),
        success("Content-Length: 0\r\n", Bodyless),
        success("Content-Length: 5\r\n", Plain),
    ];
}

/// An answer that is whole as it is framed is not refused for another one behind it.
#[tokio::test]
async fn answer_with_a_second_one_behind_it_is_whole() {
    let site = BrokenSite::start().await;
    let second = Followed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

    let shape = success("Content-Length: 12\r\n", second);

    site.assert_whole(shape, AnswerKind::Whole).await;
    site.assert_whole(SOUND, AnswerKind::Whole).await;
}

/// Guards against a broken answer that reaches a caller through the box that forwarded the request.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answers_to_forwarded_requests_are_refused() {
    let broken = BrokenSite::start_with_paths().await;
    broken.lose_paths().await;

    for shape in [
        success("Transfer-Encoding: gzip\r\n", Plain),
        success("Content-Length: 5\r\n", Plain),
        success("Content-Lenght: 12\r\n", Plain),
        status("HTTP/1.1 600 Status"),
    ] {
        broken.assert_refused(shape, AnswerKind::Whole).await;
    }

    assert!(
        !broken.subject.events("request_forwarded").is_empty(),
        "they went through another box"
    );
}

/// Guards against a success without the replica's proof, which its head names as of one connection.
#[tokio::test]
async fn proof_of_an_answer_reaches_the_caller_whatever_the_head_says() {
    let broken = BrokenSite::start().await;
    let lines = "Connection: X-Ravenspoke-Response-Stamp, X-Ravenspoke-Request-Id\r\n\
                 Content-Length: 12\r\n";
    broken.answer_with(success(lines, Plain).script(AnswerKind::Whole, false));

    let request = broken.site.request(&broken.subject, "POST", "/file/x", "r1").body("b");
    let answer = request.send().await.expect("an answer");

    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["x-ravenspoke-response-stamp"], "stamp");
    assert_eq!(answer.headers()["x-ravenspoke-request-id"], "r1");
}

/// The forms in which a sound replica may answer.
#[tokio::test]
async fn sound_answers_are_passed_on() {
    let site = BrokenSite::start().await;

    for lines in ["Content-Length: 12\r\n", "Content-Length: 12\r\nConnection: close\r\n"] {
        site.assert_whole(success(lines, Plain), AnswerKind::Whole).await;
    }
    for lines in ["Transfer-Encoding: chunked\r\n", "Transfer-Encoding: Chunked \r\n"] {
        site.assert_whole(success(lines, Chunked), AnswerKind::Whole).await;
        site.assert_whole(success(lines, Chunked), AnswerKind::Stream).await;
    }
    site.assert_whole(success("Content-Length: 42\r\n", Plain), AnswerKind::Stream).await;
    let ends_connection = success("Connection: close\r\n", Plain);
    site.assert_whole(ends_connection, AnswerKind::Whole).await;
    site.assert_whole(ends_connection, AnswerKind::Stream).await;
    let earlier_version = AnswerShape { status: "HTTP/1.0 200 OK", ..ends_connection };
    site.assert_whole(earlier_version, AnswerKind::Whole).await;
}
