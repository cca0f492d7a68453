//! The operators' listener: state, decisions, metrics and the planned stop. All routes need the
//! operator key.

use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use ravenspoke_core::event::BoxEvent;
use ravenspoke_core::reason::ReasonCode;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::Json;
use rocket::{get, post, routes, Route, State};
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

use crate::driver::BoxDriver;

/// SHA-256 hash of the operator key.
pub struct OperatorHash(pub [u8; 32]);

/// Proof that the request carried the operator key.
struct OperatorAccess;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for OperatorAccess {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let given = request.headers().get_one("authorization");
        let given = given.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        let hash: [u8; 32] = Sha256::digest(given).into();
        match request.rocket().state::<OperatorHash>() {
            // Digests are compared instead of keys, so that the duration reveals nothing of the
            // key.
            Some(OperatorHash(expected)) if *expected == hash => Outcome::Success(Self),
            _ => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

/// The routes of the operators' listener.
pub fn operator_routes() -> Vec<Route> {
    routes![state, explain, render_metrics, stop]
}

#[get("/state")]
fn state(_access: OperatorAccess, driver: &State<Arc<BoxDriver>>) -> Json<Value> {
    let now = driver.now();
    let dump = driver.state().dump(now);
    Json(serde_json::to_value(dump).unwrap_or_default())
}

#[get("/explain/<request>")]
fn explain(
    _access: OperatorAccess,
    request: &str,
    driver: &State<Arc<BoxDriver>>,
) -> Option<Json<Value>> {
    let state = driver.state();
    let decision = state.decision(request)?;
    let words =
        |reason: &ReasonCode| json!({ "code": reason.slug(), "words": reason.description() });
    let reasons: Vec<Value> = decision.reasons.iter().map(words).collect();
    Some(Json(json!({
        "request": decision.request,
        "account": decision.account,
        "target": decision.target,
        "version": decision.version,
        "attempts": decision.attempts,
        "cost": decision.cost,
        "bundle": decision.bundle,
        "reasons": reasons,
        "refusal": decision.refusal.as_ref().map(|refusal| json!({
            "code": refusal.reason.slug(),
            "words": refusal.reason.description(),
            "run": refusal.run(),
            "detail": refusal.detail,
        })),
    })))
}

#[get("/metrics")]
fn render_metrics(_access: OperatorAccess, handle: &State<PrometheusHandle>) -> String {
    handle.render()
}

#[post("/stop")]
fn stop(_access: OperatorAccess, driver: &State<Arc<BoxDriver>>) -> Status {
    tracing::info!(event = 102, name = "box_stopping");
    driver.feed(BoxEvent::StopRequested);
    Status::Accepted
}
