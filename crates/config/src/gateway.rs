//! Settings of a box that routes by host and prefix, on a platform that gives them to the process.

use std::net::SocketAddr;

use ravenspoke_core::route::leader::LeaderBounds;
use ravenspoke_core::route::peers::BoxCapacity;
use ravenspoke_core::route::plan_freshness::FreshBounds;
use ravenspoke_core::route::region::ZoneRegions;
use ravenspoke_core::route::retry_budget::BudgetBounds;

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Box name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Where callers connect.
    pub entry: SocketAddr,
    /// Where the platform asks whether the box is ready.
    pub ready: SocketAddr,
    /// Where callers ask which addresses to use.
    pub directory: SocketAddr,
    /// Where other boxes' notes are heard, by UDP.
    pub notes: SocketAddr,
    /// Where other boxes may hear notes; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Seeds that are no addresses, as they are written.
    pub invalid_seeds: Vec<String>,
    /// Address of the platform's store, `IP:port`.
    pub store: String,
    /// How long a plan may be relied on.
    pub fresh: FreshBounds,
    /// How many further sends are allowed.
    pub budget: BudgetBounds,
    /// Time between the signal to stop and the kill, in milliseconds.
    pub grace_ms: u64,
    /// How long callers may keep an answer about addresses, in milliseconds.
    pub keep_ms: u64,
    /// Descriptors that the process may have open.
    pub descriptors: usize,
    /// What the box has for its work.
    pub capacity: BoxCapacity,
    /// Region of each availability zone.
    pub regions: ZoneRegions,
    /// What one box does for all, if the platform has any of it.
    pub leader: Option<LeaderSettings>,
}

/// What one box does for all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderSettings {
    /// Address of the platform's API, `IP:port`.
    pub cloud: String,
    /// Bounds of what is done.
    pub bounds: LeaderBounds,
}
