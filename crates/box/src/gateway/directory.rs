//! Endpoints for addresses, readiness, state and metrics.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use ravenspoke_adapter::directory::{addresses_answer, READY_PATH, RESOLVE_PATH};
use rocket::http::{ContentType, Method, Status};
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};

use super::driver::GatewayDriver;
use super::observe;

/// Path of the state dump, on the port of the metrics.
pub const STATE_PATH: &str = "/state";

#[derive(Clone)]
struct ReadyHandler(Arc<GatewayDriver>);

#[rocket::async_trait]
impl Handler for ReadyHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let ready = self.0.state().ready(self.0.now());
        Outcome::from(request, if ready { Status::Ok } else { Status::ServiceUnavailable })
    }
}

#[derive(Clone)]
struct ResolveHandler {
    driver: Arc<GatewayDriver>,
    address_ttl_ms: u64,
    /// Whether the last lookup named no box.
    refusing: Arc<AtomicBool>,
}

#[rocket::async_trait]
impl Handler for ResolveHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let now = self.driver.now();
        let addresses = self.driver.state().advertised_addresses(now);
        let was_refusing = self.refusing.swap(addresses.is_empty(), Ordering::Relaxed);
        if addresses.is_empty() {
            let knowledge = self.driver.state().knowledge(now);
            observe::log_lookup_refused(!was_refusing, knowledge);
            return Outcome::from(request, Status::ServiceUnavailable);
        }
        Outcome::from(
            request,
            (ContentType::JSON, addresses_answer(addresses, self.address_ttl_ms)),
        )
    }
}

#[derive(Clone)]
struct MetricsHandler(PrometheusHandle);

#[rocket::async_trait]
impl Handler for MetricsHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        Outcome::from(request, (ContentType::Plain, self.0.render()))
    }
}

#[derive(Clone)]
struct StateHandler(Arc<GatewayDriver>);

#[rocket::async_trait]
impl Handler for StateHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let dump = serde_json::to_string(&self.0.state().dump(self.0.now()));
        match dump {
            Ok(dump) => Outcome::from(request, (ContentType::JSON, dump)),
            Err(_) => Outcome::from(request, Status::InternalServerError),
        }
    }
}

/// Routes of the platform's readiness check.
pub fn ready_routes(driver: &Arc<GatewayDriver>) -> Vec<Route> {
    vec![Route::new(Method::Get, READY_PATH, ReadyHandler(driver.clone()))]
}

/// Routes by which callers resolve the service to box addresses.
pub fn resolve_routes(driver: &Arc<GatewayDriver>, address_ttl_ms: u64) -> Vec<Route> {
    let refusing = Arc::new(AtomicBool::new(false));
    let handler = ResolveHandler { driver: driver.clone(), address_ttl_ms, refusing };
    vec![Route::new(Method::Get, RESOLVE_PATH, handler)]
}

/// Routes of the metrics and of the state dump.
pub fn metrics_routes(driver: &Arc<GatewayDriver>, handle: PrometheusHandle) -> Vec<Route> {
    vec![
        Route::new(Method::Get, "/metrics", MetricsHandler(handle)),
        Route::new(Method::Get, STATE_PATH, StateHandler(driver.clone())),
    ]
}
