//! The callers' listener: chat completions, the model list, plain services and box addresses.

use std::sync::Arc;
use std::time::Duration;

use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{request, HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use ravenspoke_core::event::{BoxEvent, RequestDetails, RequestTarget};
use ravenspoke_core::rollout::CLASS_COUNT;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use crate::answer::{AnswerStream, HeadAnswer};
use crate::chat_body::ChatBody;
use crate::clients::connection_table::{ActiveRequest, ReadingBody};
use crate::clients::memory_account::MemoryShare;
use crate::clients::request_body::{discard_body, read_body, BodyFailure, BodyLimits, HeldBody};
use crate::clock::BoxClock;
use crate::exchange::{CallContent, ExchangeTools, RequestExchange};
use crate::observe;

/// Longest accepted header value, in bytes.
const HEADER_LIMIT: usize = 2_048;

/// Header of an answer with the request's id.
const REQUEST_HEADER: &str = "x-ravenspoke-request";

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Limits of the callers' listener.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time in which a request body has to arrive, in milliseconds.
    pub body_ms: u64,
    /// Maximum number of requests in flight.
    pub requests: usize,
    /// How long callers may cache the address response, in milliseconds.
    pub address_ttl_ms: u64,
}

impl EntryLimits {
    fn body(&self) -> BodyLimits {
        BodyLimits { bytes: self.body_bytes, time: Duration::from_millis(self.body_ms) }
    }
}

/// The headers of a caller's request that the box uses.
struct CallerHeaders {
    key_hash: [u8; 32],
    session: Option<String>,
    caller_key: Option<String>,
    class: Option<u8>,
    zone: Option<String>,
    content_type: String,
}

impl CallerHeaders {
    fn read(headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let owned = |name| text(name).map(str::to_owned);
        let key = text(AUTHORIZATION.as_str()).and_then(|value| value.strip_prefix("Bearer "));
        Self {
            key_hash: Sha256::digest(key.unwrap_or_default()).into(),
            session: owned("x-ravenspoke-session"),
            caller_key: owned("idempotency-key"),
            class: text("x-ravenspoke-class").and_then(|value| value.parse().ok()),
            zone: owned("x-ravenspoke-zone"),
            content_type: owned(CONTENT_TYPE.as_str())
                .unwrap_or_else(|| "application/json".to_owned()),
        }
    }
}

/// What a caller asks for, by method and path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryRoute {
    Health,
    Chat,
    Models,
    Addresses,
    Service,
    Unknown,
}

impl EntryRoute {
    fn find(method: &Method, path: &str) -> Self {
        match (method, path) {
            (&Method::GET, "/health") => Self::Health,
            (&Method::POST, "/v1/chat/completions") => Self::Chat,
            (&Method::GET, "/v1/models") => Self::Models,
            (&Method::GET, "/v1/entry") => Self::Addresses,
            (_, path) if path.starts_with(SERVICES_PREFIX) => Self::Service,
            _ => Self::Unknown,
        }
    }
}

/// The callers' listener.
pub struct CallerEntry {
    /// Shared resources of requests.
    pub tools: Arc<ExchangeTools>,
    /// Its limits.
    pub limits: EntryLimits,
}

impl CallerEntry {
    /// Answers a request.
    pub async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        active: ActiveRequest<ReadingBody>,
    ) -> Response<AnswerStream> {
        let (head, body) = request.into_parts();
        let headers = CallerHeaders::read(&head.headers);
        let route = EntryRoute::find(&head.method, head.uri.path());
        if let Some(answer) = self.answer_head(&head, &headers, route) {
            return refuse_unread(answer, &head, body, active, self.limits.body_bytes);
        }
        let read = read_body(body, active, &head.headers, self.limits.body(), self.clock()).await;
        let (held, active) = match read {
            Ok(read) => read,
            Err(failure) => return unread_answer(failure).into_unread_response(),
        };
        let answer = match route {
            EntryRoute::Chat => self.chat(headers, held).await,
            _ => self.call_service(&head, headers, held).await,
        };
        answer.into_response(active)
    }

    fn clock(&self) -> &BoxClock {
        self.tools.driver.clock()
    }

    /// The answer to a request that needs no body, or whose head shows that it can't be served.
    fn answer_head(
        &self,
        head: &request::Parts,
        headers: &CallerHeaders,
        route: EntryRoute,
    ) -> Option<HeadAnswer> {
        if head.headers.values().any(|value| value.len() > HEADER_LIMIT) {
            let mut answer = HeadAnswer::malformed("a header is longer than 2048 bytes");
            answer.status = 431;
            return Some(answer);
        }
        match route {
            EntryRoute::Health => Some(HeadAnswer::text(200, "ok\n")),
            EntryRoute::Models => Some(self.list_models(headers)),
            EntryRoute::Addresses => Some(self.list_addresses(headers)),
            EntryRoute::Unknown => Some(HeadAnswer::text(404, "no such path\n")),
            EntryRoute::Chat | EntryRoute::Service => self.refuse_head(headers),
        }
    }

    /// The refusal of a request that the box can't serve, whatever its body.
    fn refuse_head(&self, headers: &CallerHeaders) -> Option<HeadAnswer> {
        let driver = &self.tools.driver;
        if driver.in_flight_count() >= self.limits.requests {
            return Some(box_full("this box has too many requests in hand; use another address"));
        }
        let id: u128 = rand::random();
        let refusal = driver.refuse_head(id, &headers.key_hash)?;
        let mut answer = HeadAnswer::refusal(&refusal, id);
        answer.headers.push((REQUEST_HEADER, format!("{id:032x}")));
        Some(answer)
    }

    async fn chat(&self, headers: CallerHeaders, held: HeldBody) -> HeadAnswer {
        let body = match ChatBody::read(held.bytes) {
            Ok(body) => body,
            Err(message) => return HeadAnswer::malformed(&message),
        };
        let target = chat_target(&headers, &body);
        let class = match &target {
            RequestTarget::Model { class, .. } => *class,
            RequestTarget::Service { .. } => 0,
        };
        self.exchange(headers, target, CallContent::Chat { body, class }, held.share).await
    }

    async fn call_service(
        &self,
        head: &request::Parts,
        headers: CallerHeaders,
        held: HeldBody,
    ) -> HeadAnswer {
        let rest = head.uri.path().trim_start_matches(SERVICES_PREFIX);
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let path = format!("/{path}");
        let target = RequestTarget::Service {
            name: name.to_owned(),
            method: head.method.as_str().to_owned(),
            path: path.clone(),
        };
        let call = CallContent::Service {
            method: head.method.clone(),
            path: match head.uri.query() {
                Some(query) => format!("{path}?{query}"),
                None => path,
            },
            content_type: headers.content_type.clone(),
            body: held.bytes,
            caller_key: headers.caller_key.clone(),
        };
        self.exchange(headers, target, call, held.share).await
    }

    /// Passes the request to the reducer and waits for the head of its response.
    async fn exchange(
        &self,
        headers: CallerHeaders,
        target: RequestTarget,
        call: CallContent,
        share: MemoryShare,
    ) -> HeadAnswer {
        let driver = &self.tools.driver;
        let id: u128 = rand::random();
        let (ticket, steps) = driver.open_request();
        let (head, answer) = oneshot::channel();
        let task = RequestExchange::new(self.tools.clone(), ticket, id, call, share, head);
        driver.feed(BoxEvent::RequestArrived(RequestDetails {
            ticket,
            id,
            key_hash: headers.key_hash,
            target,
            caller_key: headers.caller_key,
        }));
        tokio::spawn(task.run(steps));
        let mut answer = answer.await.unwrap_or_else(|_| {
            let error = json!({ "message": "the request's task ended", "run": "unknown" });
            HeadAnswer::json(500, &json!({ "error": error }))
        });
        answer.headers.push((REQUEST_HEADER, format!("{id:032x}")));
        answer
    }

    fn list_models(&self, headers: &CallerHeaders) -> HeadAnswer {
        let state = self.tools.driver.state();
        let Some(account) = state.index().account(&headers.key_hash) else {
            let error = json!({ "error": {
                "message": "no client account has this caller key",
                "type": "authentication_error", "code": "invalid_api_key", "run": "not_run",
            } });
            return HeadAnswer::json(401, &error);
        };
        let name = state.names().accounts.name(account);
        let allow = state.index().spec.accounts.get(name).map(|row| row.allow.clone());
        let row = |id: String| json!({ "id": id, "object": "model", "owned_by": "ravenspoke" });
        let rows: Vec<Value> = allow.unwrap_or_default().into_iter().map(row).collect();
        HeadAnswer::json(200, &json!({ "object": "list", "data": rows }))
    }

    fn list_addresses(&self, headers: &CallerHeaders) -> HeadAnswer {
        let now = self.tools.driver.now();
        let state = self.tools.driver.state();
        // A random salt spreads the callers of one zone over its boxes.
        let rows = state.members().entries(headers.zone.as_deref(), rand::random(), now);
        let addresses: Vec<Value> =
            rows.iter().map(|row| json!({ "address": row.entry, "zone": row.zone })).collect();
        let keep_ms = self.limits.address_ttl_ms;
        HeadAnswer::json(200, &json!({ "addresses": addresses, "keep_ms": keep_ms }))
    }
}

/// Answers a request from its head. Its body is read and dropped.
fn refuse_unread(
    answer: HeadAnswer,
    head: &request::Parts,
    body: Incoming,
    active: ActiveRequest<ReadingBody>,
    limit: usize,
) -> Response<AnswerStream> {
    discard_body(body, active, &head.headers, limit);
    answer.into_unread_response()
}

/// The answer to a request whose body was not read.
fn unread_answer(failure: BodyFailure) -> HeadAnswer {
    if let BodyFailure::Late | BodyFailure::Stalled = failure {
        observe::count_body_unfinished(failure);
    }
    match failure {
        BodyFailure::TooLarge => {
            let mut answer = HeadAnswer::malformed("the body is larger than this box takes");
            answer.status = 413;
            answer
        }
        BodyFailure::NoMemory(_) => {
            box_full("the bodies of other requests take this box's memory; use another address")
        }
        BodyFailure::Late | BodyFailure::Stalled => {
            let mut answer = HeadAnswer::malformed("the body did not arrive in time");
            answer.status = 408;
            answer
        }
        BodyFailure::Truncated => HeadAnswer::malformed("the body broke off"),
    }
}

/// The refusal of a request that has no room at this box.
fn box_full(message: &str) -> HeadAnswer {
    let error = json!({ "error": {
        "message": message, "type": "rate_limit_error", "code": "box_full", "run": "not_run",
    } });
    let mut answer = HeadAnswer::json(429, &error);
    answer.headers.push(("retry-after", "1".to_owned()));
    answer
}

fn chat_target(headers: &CallerHeaders, body: &ChatBody) -> RequestTarget {
    // Four bytes per token is the usual estimate for English and Portuguese text.
    let prompt_tokens = u32::try_from(body.prompt_bytes / 4).unwrap_or(u32::MAX);
    let class = headers.class.filter(|class| usize::from(*class) < CLASS_COUNT);
    RequestTarget::Model {
        name: body.name.clone(),
        prompt_tokens,
        class: class.unwrap_or_else(|| length_class(prompt_tokens)),
        prefix: body.prefix,
        session: headers.session.clone(),
    }
}

/// Request class by prompt length, 4 to 7, for callers that name none.
fn length_class(prompt_tokens: u32) -> u8 {
    match prompt_tokens {
        0..=255 => 4,
        256..=2_047 => 5,
        2_048..=16_383 => 6,
        _ => 7,
    }
}
