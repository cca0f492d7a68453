//! Probes of the network paths to replicas: a connection is opened, and kept for the next request.

use std::sync::Arc;

use ravenspoke_core::ids::ReplicaKey;
use ravenspoke_core::route::event::RouteEvent;
use tokio::sync::mpsc::UnboundedReceiver;

use super::driver::GatewayDriver;
use super::pool::ReplicaPool;

/// A replica to connect to.
#[derive(Clone, Debug)]
pub struct PathProbe {
    /// The replica.
    pub replica: ReplicaKey,
    /// Its address.
    pub address: String,
}

/// Runs the probes that the reducer requests, each in its own task.
pub async fn run_probes(
    driver: Arc<GatewayDriver>,
    pool: Arc<ReplicaPool>,
    mut due: UnboundedReceiver<PathProbe>,
) {
    while let Some(probe) = due.recv().await {
        let (driver, pool) = (driver.clone(), pool.clone());
        tokio::spawn(async move {
            let reached = match probe.address.parse() {
                Ok(address) => pool.probe(address).await,
                Err(_) => false,
            };
            driver.feed(RouteEvent::PathProbed { replica: probe.replica, reached });
        });
    }
}
