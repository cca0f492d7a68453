//! Answers of backend servers that are no answers, or whose end is in doubt, at a box of signed
//! bundles: none of them reaches a caller as an answer.

use std::path::PathBuf;

use ravenspoke_standins::fleet::{
    key_hash, once_key, wait_for, BinaryPaths, FleetPlan, RunningFleet,
};
use ravenspoke_standins::list::ReplicaRow;
use ravenspoke_standins::platform::scripted::{AnswerScript, ScriptedReplica};
use ravenspoke_standins::platform::wire::WireRequest;
use serde_json::json;

const KEY: &str = "caller-key";

/// Body of the service's answers.
const BODY: &str = "a whole body";

/// Whole answer of an engine.
const CHAT_ANSWER: &str =
    r#"{"usage":{"completion_tokens":1},"choices":[{"message":{"content":"because"}}]}"#;

/// Events of an engine's stream.
const CHAT_EVENTS: &str =
    "data: {\"choices\":[{\"delta\":{\"content\":\"because\"}}]}\n\ndata: [DONE]\n\n";

/// Length line of [`BODY`].
const LENGTH: &str = "Content-Length: 12\r\n";

/// A box before one plain service and one engine, which answer by scripts.
struct BrokenFleet {
    fleet: RunningFleet,
    server: ScriptedReplica,
}

fn binaries() -> BinaryPaths {
    let entry_box = PathBuf::from(env!("CARGO_BIN_EXE_ravenspoked"));
    let command = entry_box.with_file_name("ravenspoke");
    assert!(command.exists(), "build the command first: cargo build --workspace --bins");
    BinaryPaths { entry_box, command }
}

fn bundle() -> String {
    format!(
        "[models.small]\ncost_per_1k = 1.0\nversion = \"small-1\"\n\
         [versions.small-1]\nmodel = \"small\"\nstate = \"serving\"\n\
         [accounts.a]\nkey_hashes = [\"{}\"]\nallow = [\"small\"]\nservices = [\"broker\"]\n\
         [services.broker]\nnot_repeatable = [\"POST /releases\"]\n",
        key_hash(KEY)
    )
}

/// A sound answer with these header lines.
fn answer(request: &WireRequest, status: &str, lines: &str, body: &str) -> Vec<u8> {
    let echo = request.header("x-ravenspoke-attempt").unwrap_or_default();
    format!("HTTP/1.1 {status}\r\nX-Ravenspoke-Attempt: {echo}\r\n{lines}\r\n{body}").into_bytes()
}

/// The answer to a question for the load, which is sound; `None` to others.
fn load_answer(request: &WireRequest) -> Option<AnswerScript> {
    let load = json!({ "versions": ["small-1"], "running": 0, "waiting": 0, "slots": 64 });
    let load = load.to_string();
    let lines = format!("Content-Length: {}\r\n", load.len());
    let bytes = (request.path() == "/load").then(|| answer(request, "200 OK", &lines, &load))?;
    Some(AnswerScript::kept(bytes))
}

impl BrokenFleet {
    async fn start() -> Self {
        let boxes = vec![("box-1".to_owned(), "hall-1".to_owned())];
        let plan = FleetPlan { boxes, engines: Vec::new(), limits: String::new() };
        let mut fleet = RunningFleet::start(plan, binaries()).await;
        let server = ScriptedReplica::start(|_| AnswerScript::default()).await;
        let row = |name: &str, service: &str, engine| ReplicaRow {
            name: name.to_owned(),
            address: server.address.to_string(),
            zone: "hall-1".to_owned(),
            service: service.to_owned(),
            engine,
            leaving: false,
        };
        fleet.rows_mut().replicas =
            vec![row("engine-1", "engines", true), row("broker-1", "broker", false)];
        fleet.publish_list().await;
        fleet.publish("bundle-1.toml", &bundle()).await;
        let broken = Self { fleet, server };
        broken.answer_with("200 OK", LENGTH, BODY, false);
        wait_for("the box serves", || async {
            (broken.call().await == Some((200, BODY.to_owned()))).then_some(())
        })
        .await;
        broken
    }

    /// Makes the server answer so, and close the connection or not.
    fn answer_with(&self, status: &str, lines: &str, body: &str, closes: bool) {
        let (status, lines, body) = (status.to_owned(), lines.to_owned(), body.to_owned());
        self.server.set_script(move |request| {
            load_answer(request).unwrap_or_else(|| {
                let bytes = answer(request, &status, &lines, &body);
                AnswerScript { closes, ..AnswerScript::kept(bytes) }
            })
        });
    }

    /// Status and body of the answer to a call that may run once; `None` without a whole one.
    async fn call(&self) -> Option<(u16, String)> {
        let answer = self.fleet.release(0, KEY, &once_key()).send().await.ok()?;
        let status = answer.status().as_u16();
        Some((status, answer.text().await.ok()?))
    }

    /// Status and body of the answer to a chat request; `None` without a whole one.
    async fn chat(&self, is_stream: bool) -> Option<(u16, String)> {
        let answer = self.fleet.chat(0, KEY, "small", is_stream).send().await.ok()?;
        let status = answer.status().as_u16();
        Some((status, answer.text().await.ok()?))
    }

    /// Asserts that no caller gets an engine's answer with these lines, as one whose body is `body`.
    async fn assert_chat_refused(&self, lines: &str, body: &str, is_stream: bool) {
        let content = if is_stream { CHAT_EVENTS } else { CHAT_ANSWER };
        for closes in [false, true] {
            let sound = format!("Content-Length: {}\r\n", content.len());
            self.answer_with("200 OK", &sound, content, false);
            wait_for("a sound answer is passed on", || async {
                let got = self.chat(is_stream).await;
                got.filter(|(status, _)| *status == 200).map(drop)
            })
            .await;

            self.answer_with("200 OK", lines, body, closes);
            let got = self.chat(is_stream).await;

            let is_whole = got.as_ref().is_some_and(|(status, _)| *status == 200);
            assert!(!is_whole, "{lines:?}, stream: {is_stream}, closes: {closes}: {got:?}");
        }
    }

    /// Asserts that no caller gets such an answer of the service.
    async fn assert_refused(&self, status: &str, lines: &str, body: &str) {
        for closes in [false, true] {
            self.answer_with(status, lines, body, closes);
            let got = self.call().await;
            let is_refused = got.as_ref().is_none_or(|(status, _)| [502, 504].contains(status));
            assert!(is_refused, "{status} {lines:?}, closes: {closes}: {got:?}");
        }
    }
}

/// Guards against raw bytes of another coding that pass for the service's body.
#[tokio::test]
async fn service_answers_whose_end_is_in_doubt_are_refused() {
    let fleet = BrokenFleet::start().await;
    let chunked = "c\r\na whole body\r\n0\r\n\r\n";
    for (lines, body) in [
        ("Transfer-Encoding: gzip\r\n", BODY),
        ("Transfer-Encoding: gzip, chunked\r\n", chunked),
        ("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", chunked),
        ("Content-Lenght: 12\r\n", BODY),
    ] {
        fleet.assert_refused("200 OK", lines, body).await;
    }
    for status in ["600 Status", "999 Status", "101 Switching Protocols"] {
        fleet.assert_refused(status, LENGTH, BODY).await;
    }
}

/// Guards against an engine's answer, whole or a stream, whose end is in doubt.
#[tokio::test]
async fn engine_answers_whose_end_is_in_doubt_are_refused() {
    let fleet = BrokenFleet::start().await;
    for (content, is_stream) in [(CHAT_ANSWER, false), (CHAT_EVENTS, true)] {
        for lines in ["Transfer-Encoding: gzip\r\n", "Content-Lenght: 12\r\n"] {
            fleet.assert_chat_refused(lines, content, is_stream).await;
        }
        let short = format!("Content-Length: {}\r\n", content.len());
        fleet.assert_chat_refused(&short, &format!("{content}more"), is_stream).await;
    }
}

/// Guards against a part of the service's body that passes for the whole.
#[tokio::test]
async fn service_answers_that_are_longer_than_their_length_are_refused() {
    let fleet = BrokenFleet::start().await;

    for lines in ["Content-Length: 5\r\n", "Content-Length: 0\r\n"] {
        fleet.assert_refused("200 OK", lines, BODY).await;
    }
}

/// Guards against a call that runs where a backend server sends it.
#[tokio::test]
async fn redirects_of_a_service_are_not_followed() {
    let fleet = BrokenFleet::start().await;
    let elsewhere = ScriptedReplica::start(|request| {
        AnswerScript::kept(answer(request, "200 OK", LENGTH, BODY))
    })
    .await;
    let lines = format!("Location: http://{}/\r\nContent-Length: 0\r\n", elsewhere.address);

    fleet.answer_with("307 Temporary Redirect", &lines, "", false);
    let got = fleet.call().await;

    assert_eq!(elsewhere.requests(), 0, "{got:?}");
}
