//! Stand-in for a model engine with resumable streams, a bounded batch, an outdated load report and
//! bad answers.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use rocket::http::ContentType;
use rocket::serde::json::Json;
use rocket::{get, post, routes, State};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::sync::{mpsc, Semaphore};

use crate::rating::BAD_MARK;
use crate::serve::{launch, rocket_on, RequestHeaders, RunningServer, StreamedResponse};

/// Settings and faults of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Loaded versions.
    pub versions: BTreeSet<String>,
    /// Versions that give bad answers.
    pub bad: BTreeSet<String>,
    /// Time to the first token, in milliseconds.
    pub prefill_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Number of streams that are still to be aborted after half of their tokens.
    pub cut: u32,
    /// Number of streams that are still to end after half of their tokens, without the end marker.
    pub no_marker: u32,
    /// Number of responses that are still to carry a wrong attempt id.
    pub wrong_echo: u32,
    /// Do not respond to requests.
    pub frozen: bool,
    /// Decline all requests because the engine is leaving.
    pub leaving: bool,
    /// Age of the load report, in milliseconds.
    pub lag_ms: u64,
    /// Time that loading a version takes, in milliseconds.
    pub load_ms: u64,
    /// Whether orders with a lower fencing token than an earlier one are refused.
    pub checks_token: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            versions: BTreeSet::new(),
            bad: BTreeSet::new(),
            prefill_ms: 2,
            token_ms: 1,
            cut: 0,
            no_marker: 0,
            wrong_echo: 0,
            frozen: false,
            leaving: false,
            lag_ms: 0,
            load_ms: 0,
            checks_token: true,
        }
    }
}

/// Number of requests in a batch.
const SLOTS: usize = 64;

struct EngineState {
    faults: Mutex<EngineFaults>,
    /// Number of requests that ran, by version.
    run_counts: Mutex<BTreeMap<String, u64>>,
    slots: Semaphore,
    /// Fencing tokens of the accepted orders.
    tokens: Mutex<Vec<u64>>,
}

impl EngineState {
    fn faults(&self) -> EngineFaults {
        self.faults.lock().expect("no panic while locked").clone()
    }

    fn use_fault(&self, pick: impl Fn(&mut EngineFaults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock().expect("no panic while locked");
        let left = pick(&mut faults);
        let spent = *left > 0;
        *left -= u32::from(spent);
        spent
    }
}

/// Returns the tokens of an answer, each followed by a space.
fn response_tokens(count: u64, bad: bool) -> Vec<String> {
    let word = if bad { BAD_MARK } else { "right" };
    (0..count).map(|index| format!("{word}{index} ")).collect()
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat(
    body: Json<Value>,
    headers: RequestHeaders,
    state: &State<Arc<EngineState>>,
) -> StreamedResponse {
    let faults = state.faults();
    if faults.leaving {
        return StreamedResponse::whole(503, "{}")
            .header("x-ravenspoke-run", "not_run")
            .header("x-ravenspoke-leaving", "1");
    }
    if faults.frozen {
        std::future::pending::<()>().await;
    }
    let version = body["model"].as_str().unwrap_or_default().to_owned();
    if !faults.versions.contains(&version) {
        return StreamedResponse::whole(404, "{}").header("x-ravenspoke-run", "not_run");
    }
    let echo = match state.use_fault(|faults| &mut faults.wrong_echo) {
        true => "another request".to_owned(),
        false => headers.get("x-ravenspoke-attempt").unwrap_or_default().to_owned(),
    };
    *state.run_counts.lock().expect("no panic while locked").entry(version.clone()).or_default() +=
        1;
    let count = body["max_tokens"].as_u64().unwrap_or(8).min(4_096);
    let tokens = response_tokens(count, faults.bad.contains(&version));
    let permit = state.slots.acquire().await.expect("the slots stay open");
    pause(faults.prefill_ms).await;
    if !body["stream"].as_bool().unwrap_or(false) {
        pause(faults.token_ms * count).await;
        drop(permit);
        let text = tokens.concat();
        let whole = json!({
            "id": "stand-in", "object": "chat.completion", "model": version,
            "choices": [{ "index": 0, "finish_reason": "stop",
                "message": { "role": "assistant", "content": text } }],
            "usage": { "prompt_tokens": 1, "completion_tokens": count, "total_tokens": count + 1 },
        });
        return StreamedResponse::whole(200, whole.to_string())
            .header("x-ravenspoke-attempt", echo);
    }
    drop(permit);
    let resume = headers.get("x-ravenspoke-resume").and_then(|n| n.parse().ok()).unwrap_or(0);
    let usage = body["stream_options"]["include_usage"].as_bool().unwrap_or(false);
    let (sender, pieces) = mpsc::channel(64);
    let answer = TokenStream { version, tokens, resume, usage };
    tokio::spawn(stream(state.inner().clone(), answer, sender));
    StreamedResponse {
        status: 200,
        content_type: ContentType::new("text", "event-stream"),
        headers: vec![("x-ravenspoke-attempt", echo)],
        pieces,
    }
}

/// Sleeps. Sets no timer for zero, because a timer takes up to a millisecond.
async fn pause(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

/// A stream to be sent.
struct TokenStream {
    version: String,
    tokens: Vec<String>,
    /// Number of tokens that the caller already has.
    resume: usize,
    /// Whether the caller asked for the usage after the answer.
    usage: bool,
}

impl TokenStream {
    fn event(&self, choices: Value, usage: Value) -> Bytes {
        let mut event = json!({
            "id": "stand-in", "object": "chat.completion.chunk", "model": self.version,
            "choices": choices,
        });
        if self.usage {
            event["usage"] = usage;
        }
        format!("data: {event}\n\n").into()
    }

    /// Returns the events after the tokens: the finish reason, the usage if it was asked for, and
    /// the end marker.
    fn end(&self) -> Vec<Bytes> {
        let last = json!([{ "index": 0, "delta": {}, "finish_reason": "stop" }]);
        let count = self.tokens.len();
        let usage =
            json!({ "prompt_tokens": 1, "completion_tokens": count, "total_tokens": count + 1 });
        let mut events = vec![self.event(last, Value::Null)];
        if self.usage {
            events.push(self.event(json!([]), usage));
        }
        events.push(Bytes::from_static(b"data: [DONE]\n\n"));
        events
    }
}

async fn stream(
    state: Arc<EngineState>,
    answer: TokenStream,
    sender: mpsc::Sender<io::Result<Bytes>>,
) {
    let Ok(_permit) = state.slots.acquire().await else { return };
    let token_ms = state.faults().token_ms;
    let cut = state.use_fault(|faults| &mut faults.cut);
    let no_marker = !cut && state.use_fault(|faults| &mut faults.no_marker);
    let half = answer.tokens.len() / 2;
    for (index, token) in answer.tokens.iter().enumerate().skip(answer.resume) {
        if cut && index == half {
            let _ = sender.send(Err(io::ErrorKind::ConnectionAborted.into())).await;
            return;
        }
        if no_marker && index == half {
            return;
        }
        let piece = json!([{ "index": 0, "delta": { "content": token }, "finish_reason": null }]);
        if sender.send(Ok(answer.event(piece, Value::Null))).await.is_err() {
            return;
        }
        pause(token_ms).await;
    }
    for event in answer.end() {
        if sender.send(Ok(event)).await.is_err() {
            return;
        }
    }
}

#[post("/orders", data = "<order>")]
async fn orders(order: Json<Value>, state: &State<Arc<EngineState>>) -> rocket::http::Status {
    let token = order["token"].as_u64().unwrap_or(0);
    let versions: BTreeSet<String> =
        serde_json::from_value(order["versions"].clone()).unwrap_or_default();
    {
        let mut tokens = state.tokens.lock().expect("no panic while locked");
        let highest = tokens.iter().max().copied().unwrap_or(0);
        if state.faults().checks_token && token < highest {
            return rocket::http::Status::Conflict;
        }
        tokens.push(token);
    }
    let state = state.inner().clone();
    tokio::spawn(async move {
        pause(state.faults().load_ms).await;
        state.faults.lock().expect("no panic while locked").versions = versions;
    });
    rocket::http::Status::Accepted
}

#[get("/load")]
fn load(state: &State<Arc<EngineState>>) -> Json<Value> {
    let faults = state.faults();
    let running = SLOTS - state.slots.available_permits();
    Json(json!({
        "versions": faults.versions, "running": running, "waiting": 0, "slots": SLOTS,
        "leaving": faults.leaving, "age_ms": faults.lag_ms,
    }))
}

#[post("/faults", data = "<faults>")]
fn set_faults(faults: Json<EngineFaults>, state: &State<Arc<EngineState>>) {
    *state.faults.lock().expect("no panic while locked") = faults.into_inner();
}

#[get("/counts")]
fn counts(state: &State<Arc<EngineState>>) -> Json<BTreeMap<String, u64>> {
    Json(state.run_counts.lock().expect("no panic while locked").clone())
}

/// Starts an engine with these settings and faults.
pub async fn start(faults: EngineFaults) -> RunningServer {
    let state = Arc::new(EngineState {
        faults: Mutex::new(faults),
        run_counts: Mutex::default(),
        slots: Semaphore::new(SLOTS),
        tokens: Mutex::default(),
    });
    launch(rocket_on(0).manage(state).mount("/", routes![chat, load, orders, set_faults, counts]))
        .await
}
