//! The callers' listener: chat completions, the model list, plain services and box addresses.

use std::sync::Arc;

use bytes::Bytes;
use ravenspoke_core::event::{BoxEvent, RequestDetails, RequestTarget};
use ravenspoke_core::rollout::CLASS_COUNT;
use rocket::data::{ByteUnit, Data, ToByteUnit};
use rocket::http::{Method, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::Responder;
use rocket::route::{Handler, Outcome as RouteOutcome, Route};
use rocket::serde::json::Json;
use rocket::{get, post, routes, State};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use crate::answer::{AnswerBody, HeadAnswer};
use crate::exchange::{ExchangeTools, RequestExchange, UpstreamCall};
use crate::messages::check_messages;

/// Bytes of a prompt that form its prefix; enough to tell system prompts apart.
const PREFIX_BYTES: usize = 512;

/// Longest accepted header value, in bytes.
const HEADER_LIMIT: usize = 2_048;

/// Limits of the callers' listener.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Maximum number of requests in flight.
    pub requests: usize,
    /// How long callers may cache the address response, in milliseconds.
    pub address_ttl_ms: u64,
}

/// The headers of a caller's request that the box uses.
struct CallerHeaders {
    key_hash: [u8; 32],
    session: Option<String>,
    caller_key: Option<String>,
    class: Option<u8>,
    zone: Option<String>,
    content_type: String,
    too_long: bool,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallerHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let headers = request.headers();
        let too_long = headers.iter().any(|header| header.value().len() > HEADER_LIMIT);
        let text = |name| headers.get_one(name).map(str::to_owned);
        let key = headers.get_one("authorization").and_then(|value| value.strip_prefix("Bearer "));
        Outcome::Success(Self {
            key_hash: Sha256::digest(key.unwrap_or_default()).into(),
            session: text("x-ravenspoke-session"),
            caller_key: text("idempotency-key"),
            class: headers.get_one("x-ravenspoke-class").and_then(|value| value.parse().ok()),
            zone: text("x-ravenspoke-zone"),
            content_type: text("content-type").unwrap_or_else(|| "application/json".to_owned()),
            too_long,
        })
    }
}

/// The routes of the callers' listener.
pub fn entry_routes() -> Vec<Route> {
    let mut routes = routes![chat_completions, list_models, entry_addresses, health];
    for method in [Method::Get, Method::Post, Method::Put, Method::Patch, Method::Delete] {
        routes.push(Route::new(method, "/services/<name>/<path..>", ServiceHandler));
    }
    routes
}

#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

#[post("/v1/chat/completions", data = "<data>")]
async fn chat_completions(
    headers: CallerHeaders,
    data: Data<'_>,
    tools: &State<Arc<ExchangeTools>>,
    limits: &State<EntryLimits>,
) -> HeadAnswer {
    let body = match read_body(&headers, data, limits).await {
        Ok(body) => body,
        Err(answer) => return *answer,
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return HeadAnswer::malformed("the body is not JSON");
    };
    let checked = body["messages"].as_array().map_or(Ok(()), |rows| check_messages(rows));
    if let Err(message) = checked {
        return HeadAnswer::malformed(&message);
    }
    let Some(target) = chat_target(&headers, &body) else {
        let message = "the body needs `model`, a string, and `messages`, a list that is not empty";
        return HeadAnswer::malformed(message);
    };
    let class = match &target {
        RequestTarget::Model { class, .. } => *class,
        RequestTarget::Service { .. } => 0,
    };
    let stream = body["stream"].as_bool().unwrap_or(false);
    let call = UpstreamCall::Chat { body, stream, class };
    exchange(tools, limits, headers, target, call).await
}

fn chat_target(headers: &CallerHeaders, body: &Value) -> Option<RequestTarget> {
    let name = body["model"].as_str()?.to_owned();
    let messages = body["messages"].as_array().filter(|messages| !messages.is_empty())?;
    let mut length = 0;
    let mut prefix = Vec::new();
    for content in messages.iter().filter_map(|message| message["content"].as_str()) {
        length += content.len();
        let room = PREFIX_BYTES - prefix.len();
        prefix.extend_from_slice(&content.as_bytes()[..content.len().min(room)]);
    }
    // Four bytes per token is the usual estimate for English and Portuguese text.
    let prompt_tokens = u32::try_from(length / 4).unwrap_or(u32::MAX);
    let class = headers.class.filter(|class| usize::from(*class) < CLASS_COUNT);
    Some(RequestTarget::Model {
        name,
        prompt_tokens,
        class: class.unwrap_or_else(|| length_class(prompt_tokens)),
        prefix: xxhash_rust::xxh3::xxh3_64(&prefix),
        session: headers.session.clone(),
    })
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

async fn read_body(
    headers: &CallerHeaders,
    data: Data<'_>,
    limits: &EntryLimits,
) -> Result<Bytes, Box<HeadAnswer>> {
    if headers.too_long {
        let mut answer = HeadAnswer::malformed("a header is longer than 2048 bytes");
        answer.status = 431;
        return Err(Box::new(answer));
    }
    let limit: ByteUnit = limits.body_bytes.bytes();
    match data.open(limit).into_bytes().await {
        Ok(body) if body.is_complete() => Ok(body.into_inner().into()),
        Ok(_) => {
            let mut answer = HeadAnswer::malformed("the body is larger than this box takes");
            answer.status = 413;
            Err(Box::new(answer))
        }
        Err(_) => Err(Box::new(HeadAnswer::malformed("the body broke off"))),
    }
}

/// Passes the request to the reducer and waits for the head of its response.
async fn exchange(
    tools: &Arc<ExchangeTools>,
    limits: &EntryLimits,
    headers: CallerHeaders,
    target: RequestTarget,
    call: UpstreamCall,
) -> HeadAnswer {
    let driver = &tools.driver;
    let id: u128 = rand::random();
    if driver.in_flight_count() >= limits.requests {
        let error = json!({ "error": {
            "message": "this box has too many requests in hand; use another address",
            "type": "rate_limit_error", "code": "box_full", "run": "not_run",
        } });
        let mut answer = HeadAnswer::json(429, &error);
        answer.headers.push(("retry-after", "1".to_owned()));
        return answer;
    }
    let (ticket, steps) = driver.open_request();
    let (head, answer) = oneshot::channel();
    let task = RequestExchange::new(tools.clone(), ticket, id, call, head);
    driver.feed(BoxEvent::RequestArrived(RequestDetails {
        ticket,
        id,
        key_hash: headers.key_hash,
        target,
        caller_key: headers.caller_key,
    }));
    tokio::spawn(task.run(steps));
    let mut answer = answer.await.unwrap_or_else(|_| {
        HeadAnswer::json(
            500,
            &json!({ "error": { "message": "the request's task ended", "run": "unknown" } }),
        )
    });
    answer.headers.push(("x-ravenspoke-request", format!("{id:032x}")));
    answer
}

#[get("/v1/models")]
fn list_models(headers: CallerHeaders, tools: &State<Arc<ExchangeTools>>) -> HeadAnswer {
    let state = tools.driver.state();
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

#[get("/v1/entry")]
fn entry_addresses(
    headers: CallerHeaders,
    tools: &State<Arc<ExchangeTools>>,
    limits: &State<EntryLimits>,
) -> Json<Value> {
    let now = tools.driver.now();
    let state = tools.driver.state();
    // A random salt spreads the callers of one zone over its boxes.
    let rows = state.members().entries(headers.zone.as_deref(), rand::random(), now);
    let addresses: Vec<Value> =
        rows.iter().map(|row| json!({ "address": row.entry, "zone": row.zone })).collect();
    Json(json!({ "addresses": addresses, "keep_ms": limits.address_ttl_ms }))
}

/// Handles all methods of `/services/<name>/<path..>`.
#[derive(Clone)]
struct ServiceHandler;

#[rocket::async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> RouteOutcome<'r> {
        let answer = serve(request, data).await;
        match answer.respond_to(request) {
            Ok(response) => RouteOutcome::Success(response),
            Err(status) => RouteOutcome::Error(status),
        }
    }
}

async fn serve(request: &Request<'_>, data: Data<'_>) -> HeadAnswer {
    let tools = request.rocket().state::<Arc<ExchangeTools>>();
    let limits = request.rocket().state::<EntryLimits>();
    let (Some(tools), Some(limits)) = (tools, limits) else {
        return HeadAnswer {
            status: Status::InternalServerError.code,
            content_type: "text/plain".to_owned(),
            headers: Vec::new(),
            body: AnswerBody::Whole(Bytes::new()),
        };
    };
    let Outcome::Success(headers) = CallerHeaders::from_request(request).await else {
        return HeadAnswer::malformed("the headers can't be read");
    };
    let body = match read_body(&headers, data, limits).await {
        Ok(body) => body,
        Err(answer) => return *answer,
    };
    let uri = request.uri();
    let rest = uri.path().as_str().trim_start_matches("/services/");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let path = format!("/{path}");
    let target = RequestTarget::Service {
        name: name.to_owned(),
        method: request.method().as_str().to_owned(),
        path: path.clone(),
    };
    let call = UpstreamCall::Service {
        method: request.method(),
        path: match uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path,
        },
        content_type: headers.content_type.clone(),
        body,
        caller_key: headers.caller_key.clone(),
    };
    exchange(tools, limits, headers, target, call).await
}
