//! Carries out the effects of one request: sends attempts to replicas, reads their responses and
//! reports the results.
//!
//! The task of a request waits for the reducer's steps. On `Prepare` it reports that it is about to
//! send; on `Send`, which ends the reducer's checks, it sends at once. It reports the result to the
//! reducer as an event, from which the next step follows. The head of a streamed response goes to
//! the caller with the first piece; a held response, and the end of every response, wait for the
//! reducer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{HeaderMap, ACCEPT, CONTENT_TYPE};
use http::{Method, Request};
use http_body_util::Full;
use ravenspoke_core::attempt::RequestRefusal;
use ravenspoke_core::effect::AttemptOrder;
use ravenspoke_core::event::{AttemptEnd, BoxEvent, RequestTicket};
use ravenspoke_core::ids::RequestKey;
use ravenspoke_core::message::OutcomeRecord;
use ravenspoke_core::reason::ReasonCode;
use ravenspoke_services::RatingClient;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc::{channel, UnboundedReceiver};
use tokio::sync::oneshot;

use crate::answer::{refusal_json, AnswerBody, BodySender, HeadAnswer, BODY_PIECES};
use crate::chat_body::ChatBody;
use crate::clients::memory_account::MemoryShare;
use crate::driver::{BoxDriver, RequestStep};
use crate::stream::EventReader;
use crate::upstream::{UpstreamAnswer, UpstreamCall, UpstreamClient, UpstreamError};

/// Header in which a backend server repeats the id of the attempt.
pub const ECHO_HEADER: &str = "x-ravenspoke-attempt";

/// Header in which a backend server reports that it did not run a request.
pub const RUN_HEADER: &str = "x-ravenspoke-run";

/// Header that asks an engine to resume a stream after this many tokens.
pub const RESUME_HEADER: &str = "x-ravenspoke-resume";

/// Shared resources of the box that an exchange uses.
pub struct ExchangeTools {
    /// Driver of the reducer.
    pub driver: Arc<BoxDriver>,
    /// Client for replicas.
    pub upstream: Arc<UpstreamClient>,
    /// Client of the rating service.
    pub rating: RatingClient,
    /// Longest time without data from a replica before an attempt fails.
    pub idle_timeout: Duration,
    /// Largest response, in bytes.
    pub answer_bytes: usize,
}

/// The request that is sent to the replica.
#[derive(Clone, Debug)]
pub enum CallContent {
    /// A chat completion; the box replaces the model's name by the version.
    Chat {
        /// The caller's body.
        body: ChatBody,
        /// Request class, for rating.
        class: u8,
    },
    /// An operation of a plain service.
    Service {
        /// HTTP method.
        method: Method,
        /// Path and query.
        path: String,
        /// Media type.
        content_type: String,
        /// Body.
        body: Bytes,
        /// The caller's idempotency key, which is passed on.
        caller_key: Option<String>,
    },
}

impl CallContent {
    /// Method of the request.
    fn method(&self) -> &Method {
        match self {
            Self::Chat { .. } => &Method::POST,
            Self::Service { method, .. } => method,
        }
    }
}

/// A complete response that is held until the reducer releases it.
struct HeldAnswer {
    status: u16,
    content_type: String,
    body: Bytes,
    share: MemoryShare,
}

/// Memory of an answer while it is read, as a multiple of its bytes: a buffer that grows doubles.
const ANSWER_COPIES: usize = 2;

/// Fields of an engine's whole answer that the box reads.
#[derive(Default, Deserialize)]
#[serde(default)]
struct ChatAnswer {
    usage: AnswerUsage,
    choices: Vec<AnswerChoice>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct AnswerUsage {
    completion_tokens: u64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct AnswerChoice {
    message: AnswerMessage,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct AnswerMessage {
    content: Option<String>,
}

/// The task of one request.
pub struct RequestExchange {
    /// Shared resources of the box.
    pub tools: Arc<ExchangeTools>,
    /// Ticket of the request.
    pub ticket: RequestTicket,
    /// Id of the request.
    pub id: u128,
    /// Request to the replica.
    pub call: CallContent,
    /// Receives the head of the response; `None` once the head is sent.
    pub head: Option<oneshot::Sender<HeadAnswer>>,
    /// Receives the pieces of a streamed response once its head is sent.
    pub body: Option<BodySender>,
    /// What the request's body takes of the memory.
    share: MemoryShare,
    /// A complete response that waits for its release.
    held: Option<HeldAnswer>,
    text: String,
    version: String,
    session_token: Option<String>,
    replica: String,
    key: Option<RequestKey>,
}

impl RequestExchange {
    /// Creates the task of a request that is about to be passed to the reducer.
    pub fn new(
        tools: Arc<ExchangeTools>,
        ticket: RequestTicket,
        id: u128,
        call: CallContent,
        share: MemoryShare,
        head: oneshot::Sender<HeadAnswer>,
    ) -> Self {
        Self {
            tools,
            ticket,
            id,
            call,
            head: Some(head),
            body: None,
            share,
            held: None,
            text: String::new(),
            version: String::new(),
            session_token: None,
            replica: String::new(),
            key: None,
        }
    }

    /// Runs the request to its end.
    pub async fn run(mut self, mut steps: UnboundedReceiver<RequestStep>) {
        let mut order = None;
        while let Some(step) = self.next_step(&mut steps).await {
            match step {
                RequestStep::Prepare(key, assigned) => {
                    self.key = Some(key);
                    if assigned.session_token.is_some() {
                        self.session_token = assigned.session_token.clone();
                    }
                    order = Some(assigned);
                    self.tools.driver.feed(BoxEvent::SendStarting(key));
                }
                RequestStep::Send => {
                    let (Some(key), Some(order)) = (self.key, order.take()) else { continue };
                    let end = self.attempt(key, &order).await;
                    match end {
                        Some(end) => self.tools.driver.feed(BoxEvent::AttemptEnded(key, end)),
                        None => self.report_disconnect(),
                    }
                }
                RequestStep::RateHeld(key) => {
                    let good = self.rate().await;
                    self.tools.driver.feed(BoxEvent::HeldAnswerRated(key, good));
                }
                RequestStep::RateReleased => self.rate_in_background(),
                RequestStep::Finish(reasons) => {
                    self.finish(&reasons).await;
                    break;
                }
                RequestStep::Refuse(refusal) => {
                    self.refuse(&refusal).await;
                    break;
                }
                RequestStep::Replay(outcome) => {
                    self.replay(outcome);
                    break;
                }
            }
        }
        self.tools.driver.close_request(self.ticket);
    }

    /// Waits for the next step, and reports a caller that disconnects meanwhile.
    async fn next_step(
        &mut self,
        steps: &mut UnboundedReceiver<RequestStep>,
    ) -> Option<RequestStep> {
        if let Ok(step) = steps.try_recv() {
            return Some(step);
        }
        let disconnected = match (&mut self.head, &self.body) {
            (Some(head), _) => {
                tokio::select! {
                    step = steps.recv() => return step,
                    () = head.closed() => true,
                }
            }
            (None, Some(body)) => {
                tokio::select! {
                    step = steps.recv() => return step,
                    () = body.closed() => true,
                }
            }
            (None, None) => false,
        };
        if disconnected {
            self.report_disconnect();
        }
        steps.recv().await
    }

    /// A share of the memory for an answer.
    fn new_share(&self) -> MemoryShare {
        MemoryShare::new(self.share.account())
    }

    fn report_disconnect(&mut self) {
        self.head = None;
        self.body = None;
        self.tools.driver.feed(BoxEvent::CallerDisconnected(self.ticket));
    }

    /// The call of an attempt; an error if the caller's request can't be written.
    fn upstream_call(&self, order: &AttemptOrder) -> http::Result<UpstreamCall> {
        let request = Request::builder().method(self.call.method());
        let request = request.header(ECHO_HEADER, self.echo(order)).header(ACCEPT, "*/*");
        let request = match &self.call {
            CallContent::Chat { body, .. } => {
                let request = request.uri("/v1/chat/completions");
                let request = request.header(CONTENT_TYPE, "application/json");
                let request = match order.resume_from {
                    0 => request,
                    tokens => request.header(RESUME_HEADER, tokens),
                };
                request.body(Full::new(body.for_version(&order.version).into()))
            }
            CallContent::Service { path, content_type, body, caller_key, .. } => {
                let request = request.uri(path).header(CONTENT_TYPE, content_type);
                let request = match caller_key {
                    Some(key) => request.header("idempotency-key", key),
                    None => request,
                };
                request.body(Full::new(body.clone()))
            }
        };
        let is_repeatable = matches!(self.call, CallContent::Chat { .. });
        Ok(UpstreamCall { address: order.address.clone(), request: request?, is_repeatable })
    }

    fn echo(&self, order: &AttemptOrder) -> String {
        format!("{:032x}.{}", self.id, order.number)
    }

    /// Makes one attempt; `None` if the caller disconnected.
    async fn attempt(&mut self, key: RequestKey, order: &AttemptOrder) -> Option<AttemptEnd> {
        self.version.clone_from(&order.version);
        self.replica.clone_from(&order.replica);
        let Ok(call) = self.upstream_call(order) else { return Some(AttemptEnd::NeverConnected) };
        let upstream = self.tools.upstream.clone();
        let sent = upstream.call(call);
        let idle_timeout = self.tools.idle_timeout;
        let sent = self.unless_disconnected(tokio::time::timeout(idle_timeout, sent)).await?;
        let response = match sent {
            Err(_elapsed) => return Some(AttemptEnd::Aborted { delivered: 0 }),
            Ok(Err(UpstreamError::NeverSent(_))) => return Some(AttemptEnd::NeverConnected),
            Ok(Err(_)) => return Some(AttemptEnd::Aborted { delivered: 0 }),
            Ok(Ok(response)) => response,
        };
        let response_header = |name| header(&response.headers, name);
        if response_header(RUN_HEADER) == Some("not_run") {
            let leaving = response_header("x-ravenspoke-leaving").is_some();
            return Some(AttemptEnd::Declined { leaving });
        }
        if response_header(ECHO_HEADER) != Some(self.echo(order).as_str()) {
            return Some(AttemptEnd::WrongRequest);
        }
        let streams = matches!(&self.call, CallContent::Chat { body, .. } if body.stream);
        if streams && response.status.is_success() {
            self.read_stream(key, order, response).await
        } else {
            self.read_whole(key, response).await
        }
    }

    /// Waits for `work`; `None` if the caller disconnects first.
    async fn unless_disconnected<T>(
        &mut self,
        work: impl std::future::Future<Output = T>,
    ) -> Option<T> {
        match (&mut self.head, &self.body) {
            (Some(head), _) => {
                tokio::select! {
                    done = work => Some(done),
                    () = head.closed() => None,
                }
            }
            (None, Some(body)) => {
                tokio::select! {
                    done = work => Some(done),
                    () = body.closed() => None,
                }
            }
            (None, None) => Some(work.await),
        }
    }

    async fn read_whole(
        &mut self,
        key: RequestKey,
        mut response: UpstreamAnswer,
    ) -> Option<AttemptEnd> {
        let status = response.status.as_u16();
        let media = header(&response.headers, "content-type").unwrap_or("application/json");
        let content_type = media.to_owned();
        let mut body = BytesMut::new();
        let mut share = self.new_share();
        loop {
            let piece = tokio::time::timeout(self.tools.idle_timeout, response.piece());
            match self.unless_disconnected(piece).await? {
                Ok(Ok(Some(piece))) => {
                    if body.is_empty() {
                        self.tools.driver.feed(BoxEvent::FirstToken(key));
                    }
                    let length = body.len() + piece.len();
                    if length > self.tools.answer_bytes {
                        return Some(AttemptEnd::Aborted { delivered: 0 });
                    }
                    self.unless_disconnected(share.wait_for_answer(ANSWER_COPIES * length)).await?;
                    body.extend_from_slice(&piece);
                }
                Ok(Ok(None)) => break,
                Ok(Err(_)) | Err(_) => return Some(AttemptEnd::Aborted { delivered: 0 }),
            }
        }
        self.tools.upstream.keep(response);
        let body = body.freeze();
        let mut tokens = 0;
        if matches!(self.call, CallContent::Chat { .. }) {
            if status >= 500 {
                return Some(AttemptEnd::Aborted { delivered: 0 });
            }
            let Ok(answer) = serde_json::from_slice::<ChatAnswer>(&body) else {
                return Some(AttemptEnd::Aborted { delivered: 0 });
            };
            tokens = u32::try_from(answer.usage.completion_tokens).unwrap_or(u32::MAX);
            let choice = answer.choices.into_iter().next().unwrap_or_default();
            self.text = choice.message.content.unwrap_or_default();
        }
        let kept = if matches!(self.call, CallContent::Service { .. }) {
            body.to_vec()
        } else {
            Vec::new()
        };
        self.held = Some(HeldAnswer { status, content_type, body, share });
        Some(AttemptEnd::Answered { tokens, status, body: kept })
    }

    async fn read_stream(
        &mut self,
        key: RequestKey,
        order: &AttemptOrder,
        mut response: UpstreamAnswer,
    ) -> Option<AttemptEnd> {
        let mut reader = EventReader::default();
        let mut held = BytesMut::new();
        let (mut share, mut partial) = (self.new_share(), self.new_share());
        let mut first = true;
        loop {
            self.unless_disconnected(partial.hold_event(reader.held_bytes())).await?;
            let piece = tokio::time::timeout(self.tools.idle_timeout, response.piece());
            let broken =
                AttemptEnd::Aborted { delivered: if order.buffered { 0 } else { reader.tokens } };
            let piece = match self.unless_disconnected(piece).await? {
                Ok(Ok(Some(piece))) => piece,
                Ok(Ok(None)) if reader.ended => break,
                Ok(Ok(None) | Err(_)) | Err(_) => return Some(broken),
            };
            if first {
                first = false;
                self.tools.driver.feed(BoxEvent::FirstToken(key));
            }
            let Ok(events) = reader.push(&piece) else { return Some(broken) };
            if order.buffered {
                let length = held.len() + events.len();
                if length > self.tools.answer_bytes {
                    return Some(broken);
                }
                self.unless_disconnected(share.wait_for_answer(ANSWER_COPIES * length)).await?;
                held.extend_from_slice(&events);
            } else if !events.is_empty() && !self.forward(events).await {
                return None;
            }
        }
        self.tools.upstream.keep(response);
        self.text = std::mem::take(&mut reader.text);
        if order.buffered {
            held.extend_from_slice(&EventReader::end_marker());
            let content_type = "text/event-stream".to_owned();
            let body = held.freeze();
            self.held = Some(HeldAnswer { status: 200, content_type, body, share });
        }
        let tokens = reader.tokens;
        Some(AttemptEnd::Answered { tokens, status: 200, body: Vec::new() })
    }

    /// Forwards a piece to the caller, preceded by the head if it is the first. Returns false if
    /// the caller disconnected.
    async fn forward(&mut self, piece: Bytes) -> bool {
        if self.body.is_none() {
            let (sender, receiver) = channel(BODY_PIECES);
            let head = self.head_answer(200, "text/event-stream", AnswerBody::Stream(receiver));
            let Some(to_caller) = self.head.take() else { return false };
            if to_caller.send(head).is_err() {
                return false;
            }
            self.body = Some(sender);
        }
        match &self.body {
            Some(body) => body.send(Ok(piece)).await.is_ok(),
            None => false,
        }
    }

    fn head_answer(&self, status: u16, content_type: &str, body: AnswerBody) -> HeadAnswer {
        let mut headers = vec![
            ("x-ravenspoke-version", self.version.clone()),
            ("x-ravenspoke-replica", self.replica.clone()),
        ];
        if let Some(token) = &self.session_token {
            headers.push(("x-ravenspoke-session", token.clone()));
        }
        HeadAnswer { status, content_type: content_type.to_owned(), headers, body }
    }

    async fn finish(&mut self, reasons: &[ReasonCode]) {
        if let Some(body) = self.body.take() {
            // A caller that disconnected does not need the end.
            let _ = body.send(Ok(EventReader::end_marker())).await;
            return;
        }
        let Some(held) = self.held.take() else { return };
        let whole = AnswerBody::Whole(held.body, Some(held.share));
        let mut answer = self.head_answer(held.status, &held.content_type, whole);
        let slugs: Vec<&str> = reasons.iter().map(|reason| reason.slug()).collect();
        answer.headers.push(("x-ravenspoke-reason", slugs.join(",")));
        if let Some(head) = self.head.take() {
            let _ = head.send(answer);
        }
    }

    /// Ends the request with a typed error. Before the head is sent, the error is the response.
    /// After it, the error is an event and the connection is closed, so that no caller takes the
    /// response for complete.
    async fn refuse(&mut self, refusal: &RequestRefusal) {
        if let Some(body) = self.body.take() {
            let event = format!("data: {}\n\n", refusal_json(refusal, self.id));
            let _ = body.send(Ok(event.into())).await;
            let abort = io::Error::new(io::ErrorKind::ConnectionAborted, refusal.reason.slug());
            let _ = body.send(Err(abort)).await;
        } else if let Some(head) = self.head.take() {
            let _ = head.send(HeadAnswer::refusal(refusal, self.id));
        }
    }

    fn replay(&mut self, outcome: OutcomeRecord) {
        let status = u16::try_from(outcome.status).unwrap_or(200);
        let mut answer = if outcome.body.is_empty() {
            HeadAnswer::json(status, &json!({ "run": "ran", "status": status }))
        } else {
            let body = AnswerBody::Whole(outcome.body.into(), None);
            self.head_answer(status, "application/json", body)
        };
        answer.headers.push(("x-ravenspoke-reason", "already_ran".to_owned()));
        if let Some(head) = self.head.take() {
            let _ = head.send(answer);
        }
    }

    fn question(&self) -> String {
        let CallContent::Chat { body, .. } = &self.call else { return String::new() };
        body.question()
    }

    fn class(&self) -> u8 {
        match self.call {
            CallContent::Chat { class, .. } => class,
            CallContent::Service { .. } => 0,
        }
    }

    async fn rate(&self) -> Option<bool> {
        let rating = &self.tools.rating;
        rating.rate(&self.version, self.class(), &self.question(), &self.text).await.ok()
    }

    /// Rates in a separate task, so that the response does not wait for the rating.
    fn rate_in_background(&self) {
        let (tools, version, class) = (self.tools.clone(), self.version.clone(), self.class());
        let (question, text) = (self.question(), self.text.clone());
        tokio::spawn(async move {
            let good = tools.rating.rate(&version, class, &question, &text).await.ok();
            tools.driver.feed(BoxEvent::ReleasedAnswerRated { version, class, good });
        });
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
