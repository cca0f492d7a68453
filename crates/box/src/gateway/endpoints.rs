//! Serves the endpoints beside the callers' entry: readiness checks, the directory, and metrics. Each
//! has connections and memory of its own, so that a crowd at one of them does not shut the others.

use std::future::ready;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use http::Request;
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use ravenspoke_config::gateway::GatewaySettings;
use tokio_util::sync::CancellationToken;

use super::directory::{answer_metrics, answer_ready, BoxDirectory};
use super::driver::GatewayDriver;
use super::process::listen;
use crate::clients::endpoint::{ClientEndpoint, EndpointLimits, HttpLimits};
use crate::clients::memory_account::MemoryAccount;
use crate::clients::slow_readers::ReaderWatch;
use crate::process::ProcessError;

/// Part of the memory for clients that the directory has, as a divisor.
const DIRECTORY_MEMORY_DIVISOR: usize = 8;

/// Part of the rest that readiness checks and metrics have each, as a divisor.
const CHECK_MEMORY_DIVISOR: usize = 16;

/// Share of the process's file descriptors that the directory may use.
const DIRECTORY_SHARE: f64 = 0.1;

/// Connections for readiness checks, and for metrics.
const CHECK_PLACES: usize = 128;

/// Limits of connections to the directory, readiness checks and metrics.
const ENDPOINT_HTTP: HttpLimits = HttpLimits { head_bytes: 8 << 10, idle_ms: 30_000 };

/// Time for a head at these endpoints, in milliseconds.
const ENDPOINT_HEAD_MS: u64 = 5_000;

/// Parts of the memory for clients that the endpoints beside the entry have.
pub(super) struct EndpointAccounts {
    directory: MemoryAccount,
    ready: MemoryAccount,
    metrics: MemoryAccount,
}

impl EndpointAccounts {
    /// Splits the parts off the memory for all clients.
    pub(super) fn split_from(memory: &mut MemoryAccount) -> Self {
        Self {
            directory: memory.split(DIRECTORY_MEMORY_DIVISOR),
            ready: memory.split(CHECK_MEMORY_DIVISOR),
            metrics: memory.split(CHECK_MEMORY_DIVISOR),
        }
    }
}

/// Serves the directory, readiness and, if a port is given, metrics.
pub(super) fn launch_endpoints(
    settings: &GatewaySettings,
    driver: &Arc<GatewayDriver>,
    readers: &Arc<ReaderWatch>,
    accounts: EndpointAccounts,
    metrics: PrometheusHandle,
    metrics_port: Option<u16>,
) -> Result<(), ProcessError> {
    let EndpointAccounts { directory, ready: ready_account, metrics: metrics_account } = accounts;
    let endpoint = |name, account, places| {
        let limits = EndpointLimits { places, http: ENDPOINT_HTTP, head_ms: ENDPOINT_HEAD_MS };
        ClientEndpoint::new(name, account, limits, readers, CancellationToken::new())
    };
    let checked = driver.clone();
    let check =
        move |request: Request<Incoming>, active| ready(answer_ready(&checked, &request, active));
    let checks = endpoint("ready", ready_account, CHECK_PLACES);
    tokio::spawn(checks.serve(listen(settings.ready, "ready")?, check));
    let directory_places = (settings.descriptors as f64 * DIRECTORY_SHARE) as usize;
    let lookups = endpoint("directory", directory, directory_places);
    let directory = Arc::new(BoxDirectory {
        driver: driver.clone(),
        address_ttl_ms: settings.address_ttl_ms,
        refusing: AtomicBool::new(false),
    });
    let lookup =
        move |request: Request<Incoming>, active| ready(directory.answer(&request, active));
    tokio::spawn(lookups.serve(listen(settings.directory, "directory")?, lookup));
    let Some(port) = metrics_port else { return Ok(()) };
    let address = SocketAddr::new(settings.entry.ip(), port);
    let shown = driver.clone();
    let show = move |request: Request<Incoming>, active| {
        ready(answer_metrics(&shown, &metrics, &request, active))
    };
    let shows = endpoint("metrics", metrics_account, CHECK_PLACES);
    tokio::spawn(shows.serve(listen(address, "metrics")?, show));
    Ok(())
}
