//! Settings of a box that routes by host and path prefix on the users' platform.

use std::net::SocketAddr;

use ravenspoke_core::route::leader::LeaderBounds;
use ravenspoke_core::route::peers::BoxCapacity;
use ravenspoke_core::route::plan_freshness::FreshBounds;
use ravenspoke_core::route::region::ZoneRegions;
use ravenspoke_core::route::retry_budget::BudgetBounds;
use ravenspoke_core::route::scheduling::control::LoadControl;
use ravenspoke_core::route::trial_exposure::ExposureBounds;

/// Validated settings of a gateway box.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Box name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the callers' listener.
    pub entry: SocketAddr,
    /// Address of the readiness listener.
    pub ready: SocketAddr,
    /// Address of the listener that tells callers which box addresses to use.
    pub directory: SocketAddr,
    /// UDP address on which the box receives gossip.
    pub gossip: SocketAddr,
    /// Gossip addresses of other boxes; some may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Seeds that are not addresses, as written in the file.
    pub invalid_seeds: Vec<String>,
    /// Address of the platform's store, `IP:port`.
    pub store: String,
    /// Bounds on the age of the plan.
    pub fresh: FreshBounds,
    /// Retry budget.
    pub budget: BudgetBounds,
    /// Bound on what versions on trial receive.
    pub exposure: ExposureBounds,
    /// Time between the stop signal and the kill, in milliseconds.
    pub grace_ms: u64,
    /// How long callers may cache an address response, in milliseconds.
    pub address_ttl_ms: u64,
    /// Limit on open file descriptors of the process.
    pub descriptors: usize,
    /// CPU and network capacity of the box.
    pub capacity: BoxCapacity,
    /// Region of each availability zone.
    pub regions: ZoneRegions,
    /// Load control.
    pub load: LoadControl,
    /// Settings of the leader, if the platform has an API.
    pub leader: Option<LeaderSettings>,
}

/// Settings of the leader, the box that acts for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderSettings {
    /// Address of the platform's API, `IP:port`.
    pub cloud: String,
    /// Lease duration, usage windows and duties.
    pub bounds: LeaderBounds,
}
