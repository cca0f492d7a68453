//! The operators' listener: state, decisions, metrics and the planned stop. All routes need the
//! operator key.

use std::sync::Arc;

use http::header::AUTHORIZATION;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use ravenspoke_core::event::BoxEvent;
use ravenspoke_core::reason::ReasonCode;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

use crate::clients::connection_table::{ActiveRequest, ReadingBody};
use crate::clients::endpoint::{whole_response, WholeResponse};
use crate::driver::BoxDriver;

/// Path prefix under which a decision is explained.
const EXPLAIN_PREFIX: &str = "/explain/";

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";

/// The operators' listener.
pub struct OperatorEntry {
    /// Driver of the reducer.
    pub driver: Arc<BoxDriver>,
    /// SHA-256 hash of the operator key.
    pub key_hash: [u8; 32],
    /// The recorded metrics.
    pub metrics: PrometheusHandle,
}

impl OperatorEntry {
    /// Answers a request.
    pub fn answer(
        &self,
        request: &Request<Incoming>,
        active: ActiveRequest<ReadingBody>,
    ) -> WholeResponse {
        let respond = |status, kind, text| whole_response(active, status, kind, text);
        if !self.has_key(request) {
            return respond(StatusCode::UNAUTHORIZED, TEXT, String::new());
        }
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/state") => respond(StatusCode::OK, JSON, self.state().to_string()),
            (&Method::GET, "/metrics") => respond(StatusCode::OK, TEXT, self.metrics.render()),
            (&Method::POST, "/stop") => {
                self.stop();
                respond(StatusCode::ACCEPTED, TEXT, String::new())
            }
            (&Method::GET, path) => {
                let decision = path.strip_prefix(EXPLAIN_PREFIX).and_then(|id| self.explain(id));
                match decision {
                    Some(decision) => respond(StatusCode::OK, JSON, decision.to_string()),
                    None => respond(StatusCode::NOT_FOUND, TEXT, String::new()),
                }
            }
            _ => respond(StatusCode::NOT_FOUND, TEXT, String::new()),
        }
    }

    fn has_key(&self, request: &Request<Incoming>) -> bool {
        let given = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let given = given.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        // Digests are compared instead of keys, so that the duration reveals nothing of the key.
        let hash: [u8; 32] = Sha256::digest(given).into();
        hash == self.key_hash
    }

    fn state(&self) -> Value {
        let dump = self.driver.state().dump(self.driver.now());
        serde_json::to_value(dump).unwrap_or_default()
    }

    fn explain(&self, request: &str) -> Option<Value> {
        let state = self.driver.state();
        let decision = state.decision(request)?;
        let words =
            |reason: &ReasonCode| json!({ "code": reason.slug(), "words": reason.description() });
        let reasons: Vec<Value> = decision.reasons.iter().map(words).collect();
        Some(json!({
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
        }))
    }

    fn stop(&self) {
        tracing::info!(event = 102, name = "box_stopping");
        self.driver.feed(BoxEvent::StopRequested);
    }
}
