//! Endpoints for addresses, readiness, state and metrics.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use ravenspoke_adapter::directory::{addresses_answer, READY_PATH, RESOLVE_PATH};

use super::driver::GatewayDriver;
use super::observe;
use crate::clients::connection_table::{ActiveRequest, ReadingBody};
use crate::clients::endpoint::{whole_response, WholeResponse};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the state dump, on the port of the metrics.
pub const STATE_PATH: &str = "/state";

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";

/// A request to one of these endpoints.
pub type EndpointRequest = ActiveRequest<ReadingBody>;

/// The response to a request for a path that an endpoint does not have.
fn not_found(active: EndpointRequest) -> WholeResponse {
    whole_response(active, StatusCode::NOT_FOUND, TEXT, String::new())
}

fn is_get(request: &Request<Incoming>, path: &str) -> bool {
    request.method() == Method::GET && request.uri().path() == path
}

/// Answers the platform's readiness check.
pub fn answer_ready(
    driver: &GatewayDriver,
    request: &Request<Incoming>,
    active: EndpointRequest,
) -> WholeResponse {
    if !is_get(request, READY_PATH) {
        return not_found(active);
    }
    let ready = driver.state().ready(driver.now());
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    whole_response(active, status, TEXT, String::new())
}

/// The directory, by which callers resolve the service to box addresses.
pub struct BoxDirectory {
    /// Holds what the box knows of the others.
    pub driver: Arc<GatewayDriver>,
    /// How long callers may cache a response, in milliseconds.
    pub address_ttl_ms: u64,
    /// Whether the last lookup named no box.
    pub refusing: AtomicBool,
}

impl BoxDirectory {
    /// Answers a lookup.
    pub fn answer(&self, request: &Request<Incoming>, active: EndpointRequest) -> WholeResponse {
        if !is_get(request, RESOLVE_PATH) {
            return not_found(active);
        }
        let now = self.driver.now();
        let addresses = self.driver.state().advertised_addresses(now);
        let was_refusing = self.refusing.swap(addresses.is_empty(), Ordering::Relaxed);
        if addresses.is_empty() {
            let knowledge = self.driver.state().knowledge(now);
            observe::log_lookup_refused(!was_refusing, knowledge);
            return whole_response(active, StatusCode::SERVICE_UNAVAILABLE, TEXT, String::new());
        }
        let text = addresses_answer(addresses, self.address_ttl_ms);
        whole_response(active, StatusCode::OK, JSON, text)
    }
}

/// Answers a request for the metrics or the state dump.
pub fn answer_metrics(
    driver: &GatewayDriver,
    metrics: &PrometheusHandle,
    request: &Request<Incoming>,
    active: EndpointRequest,
) -> WholeResponse {
    if is_get(request, METRICS_PATH) {
        return whole_response(active, StatusCode::OK, TEXT, metrics.render());
    }
    if !is_get(request, STATE_PATH) {
        return not_found(active);
    }
    match serde_json::to_string(&driver.state().dump(driver.now())) {
        Ok(dump) => whole_response(active, StatusCode::OK, JSON, dump),
        Err(_) => whole_response(active, StatusCode::INTERNAL_SERVER_ERROR, TEXT, String::new()),
    }
}
