//! Tests of answers that are cut at any byte: none of them reaches a caller as a whole answer.
//!
//! A box runs as a process before a server that writes the first bytes of an answer and closes.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::site::{
    own_address, RunningSite, REPLICA_TOPIC, SITE_KEY, SITE_SERVICE,
};
use ravenspoke_standins::platform::site_box::SiteBox;
use ravenspoke_standins::platform::wire::{chunk, full_response, read_request, response_head};
use serde_json::json;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Body of a plain answer.
const BODY: &[u8] = b"a whole body";

/// Events of a stream.
const EVENTS: u32 = 2;

/// How an answer is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerForm {
    /// With a length.
    Length,
    /// In chunks.
    Chunks,
    /// With a length, after an interim response.
    Interim,
    /// A stream of events in chunks.
    Events,
}

impl AnswerForm {
    /// The whole answer to a request.
    fn answer(self, id: &str) -> Vec<u8> {
        let proof = [("X-Ravenspoke-Request-Id", id), ("X-Ravenspoke-Response-Stamp", "stamp")];
        let whole = || full_response(200, &proof, BODY);
        match self {
            Self::Length => whole(),
            Self::Interim => {
                [b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".to_vec(), whole()].concat()
            }
            Self::Chunks => chunked(&proof, &[BODY[..5].to_vec(), BODY[5..].to_vec()]),
            Self::Events => {
                let event = |number| format!("id: {number}\ndata: piece {number}\n\n").into_bytes();
                let pieces: Vec<Vec<u8>> = (1..=EVENTS).map(event).collect();
                let head = [&proof[..], &[("Content-Type", "text/event-stream")]].concat();
                chunked(&head, &pieces)
            }
        }
    }

    /// Method and path of its requests.
    fn target(self) -> (&'static str, &'static str) {
        match self {
            Self::Events => ("POST", "/chat/x"),
            _ => ("POST", "/file/x"),
        }
    }
}

fn chunked(headers: &[(&str, &str)], pieces: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = response_head(200, headers);
    bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
    pieces.iter().for_each(|piece| bytes.extend(chunk(piece)));
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// A server that cuts its answers.
#[derive(Default)]
struct CutServer {
    /// Bytes of an answer that it writes.
    kept: AtomicUsize,
    /// Requests that it received.
    requests: AtomicUsize,
}

impl CutServer {
    async fn serve(&self, stream: TcpStream, form: AnswerForm) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let Some(request) = read_request(&mut stream).await? else { return Ok(()) };
        self.requests.fetch_add(1, Ordering::Relaxed);
        let answer = form.answer(request.header("x-ravenspoke-request-id").unwrap_or_default());
        let kept = self.kept.load(Ordering::Relaxed).min(answer.len());
        stream.write_all(&answer[..kept]).await?;
        stream.shutdown().await
    }
}

/// A box before a server whose answers have this form.
async fn site_with_cut_server(form: AnswerForm) -> (RunningSite, SiteBox, Arc<CutServer>) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    let listener = TcpListener::bind((own_address(), 0)).await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    let server = Arc::new(CutServer::default());
    let serving = server.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let server = serving.clone();
            // The box sees how the connection ends.
            tokio::spawn(async move { drop(server.serve(stream, form).await) });
        }
    });
    let entry = json!({
        "service": SITE_SERVICE, "address": address.to_string(), "zone": "east", "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
    });
    site.store.put(REPLICA_TOPIC, "i-cut", &entry);
    let subject = site.start_ready("box-1").await;
    wait_for("the box knows the server", || async {
        (subject.state().await?["backends"].as_array()?.len() == 1).then_some(())
    })
    .await;
    (site, subject, server)
}

/// What a caller got.
#[derive(Debug)]
struct CallerAnswer {
    /// Its status; 0 if the connection was closed without an answer.
    status: u16,
    /// The body, if it was framed as whole.
    body: Option<Vec<u8>>,
}

/// Sends requests until one has reached the server, and returns its answer. The box leaves a replica
/// alone for a while after failures.
async fn ask_cut(
    site: &RunningSite,
    subject: &SiteBox,
    server: &CutServer,
    form: AnswerForm,
) -> CallerAnswer {
    let (method, path) = form.target();
    let received = server.requests.load(Ordering::Relaxed);
    let sent = AtomicUsize::new(0);
    wait_for("a request reaches the server", || async {
        let id = format!("r{received}-{}", sent.fetch_add(1, Ordering::Relaxed));
        let request = site.request(subject, method, path, &id).body(id.clone());
        let answer = request.header("Accept", "text/event-stream").send().await;
        let status = answer.as_ref().map_or(0, |answer| answer.status().as_u16());
        let body = match answer {
            Ok(answer) => answer.bytes().await.ok().map(|body| body.to_vec()),
            Err(_) => None,
        };
        let has_reached = server.requests.load(Ordering::Relaxed) > received;
        has_reached.then_some(CallerAnswer { status, body })
    })
    .await
}

async fn assert_no_cut_answer_looks_whole(form: AnswerForm) {
    let (site, subject, server) = site_with_cut_server(form).await;
    let length = form.answer("r0-0").len();
    for kept in 0..length {
        server.kept.store(kept, Ordering::Relaxed);
        let answer = ask_cut(&site, &subject, &server, form).await;
        // A stream has a head before it breaks.
        let is_whole = answer.status == 200 && answer.body.is_some();
        assert!(!is_whole, "{form:?} cut after {kept} of {length} bytes: {answer:?}");
        assert_ne!(answer.status, 503, "{form:?} cut after {kept} bytes: it may have run");
        server.kept.store(usize::MAX, Ordering::Relaxed);
        let answer = ask_cut(&site, &subject, &server, form).await;
        assert_eq!(answer.status, 200, "{form:?} whole after a cut at {kept}");
        assert!(answer.body.is_some_and(|body| body.len() >= BODY.len()));
    }
}

/// Guards against a cut head, body or size of a chunk that is passed on as a whole answer.
#[tokio::test]
async fn answer_with_length_that_is_cut_is_not_whole() {
    assert_no_cut_answer_looks_whole(AnswerForm::Length).await;
}

#[tokio::test]
async fn answer_in_chunks_that_is_cut_is_not_whole() {
    assert_no_cut_answer_looks_whole(AnswerForm::Chunks).await;
}

#[tokio::test]
async fn answer_after_an_interim_response_that_is_cut_is_not_whole() {
    assert_no_cut_answer_looks_whole(AnswerForm::Interim).await;
}

#[tokio::test]
async fn stream_that_is_cut_is_not_whole() {
    assert_no_cut_answer_looks_whole(AnswerForm::Events).await;
}
