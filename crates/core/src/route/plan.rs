//! The operator's routing plan as plain data, and the table that answers lookups in it.
//!
//! A [`RoutePlan`] is the unsigned counterpart of a bundle: the platform's store accepts only valid
//! plans and orders them, so that plans have no signatures, carry-forward or claims.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::leader::scale::ScalePlan;
use super::warm_up::WarmUpPlan;

/// How a request of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RouteKind {
    /// May be executed more than once.
    Idempotent,
    /// Is executed at most once for each caller's request.
    Single,
    /// A stream of events.
    Stream {
        /// Whether another replica may continue the stream after the last complete event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have been executed may be sent again.
    pub fn repeatable(self) -> bool {
        !matches!(self, RouteKind::Single | RouteKind::Stream { resumable: false })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteTarget {
    /// Service name.
    pub service: String,
    /// Weight among the route's targets, in any unit.
    pub weight: u32,
}

/// A route: which requests it matches and how they are served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteSpec {
    /// Route name.
    pub name: String,
    /// Host that it matches, in lower case and without a port.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// How its requests may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which a response, or the first event of a stream, has full value, in
    /// milliseconds.
    pub target_ms: u64,
    /// Longest pause between events with full value, in milliseconds; 0 if unset.
    pub pause_ms: u64,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Number of replicas that a request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Models that may answer, the smallest first; empty if the caller names the model.
    pub sizes: Vec<String>,
    /// Regions in which its requests may be served; empty for all.
    pub regions: Vec<String>,
    /// Services with their weights; never empty in an accepted plan.
    pub targets: Vec<RouteTarget>,
}

/// A model that an engine can run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ModelPlan {
    /// Model name.
    pub name: String,
    /// Cost of 1,000 generated tokens; prompt tokens cost a quarter of it.
    pub cost: f64,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServicePlan {
    /// Connections that a replica accepts from all boxes together; 0 if unset.
    pub connections: usize,
    /// Models, if the service runs engines.
    pub models: Vec<ModelPlan>,
    /// Limits of its cold replicas, if set.
    pub warm_up: Option<WarmUpPlan>,
    /// Scale bounds, if the router scales the service.
    pub scale: Option<ScalePlan>,
}

/// A client account and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyHolder {
    /// Account name.
    pub name: String,
    /// API keys. Never part of a dump.
    #[serde(skip)]
    pub keys: Vec<String>,
    /// Urgency that overrides the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served; empty for all.
    pub regions: Vec<String>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CallerLimits {
    /// Size of a request head, in bytes.
    pub header_bytes: usize,
    /// Size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time for a request head, in milliseconds.
    pub header_ms: u64,
    /// Idle time of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Limits until a plan is known: common defaults of HTTP servers.
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4 << 20, header_ms: 5_000, idle_ms: 30_000 }
    }
}

/// A complete plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RoutePlan {
    /// Version; a box never goes back to a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteSpec>,
    /// Services by name.
    pub services: BTreeMap<String, ServicePlan>,
    /// Client accounts; `None` if no keys are required.
    pub holders: Option<Vec<KeyHolder>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// A plan with indexes for lookups in the request path.
#[derive(Debug, Default)]
pub struct RouteTable {
    plan: RoutePlan,
    /// Indexes into `plan.routes` by host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Indexes into `plan.holders` by key.
    by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Builds the indexes of a plan.
    pub fn build(plan: RoutePlan) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (row, route) in plan.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(row);
        }
        for rows in by_host.values_mut() {
            rows.sort_by_key(|row| std::cmp::Reverse(plan.routes[*row].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (row, holder) in plan.holders.iter().flatten().enumerate() {
            by_key.extend(holder.keys.iter().map(|key| (key.clone(), row)));
        }
        Self { plan, by_host, by_key }
    }

    /// The plan behind the table.
    pub fn plan(&self) -> &RoutePlan {
        &self.plan
    }

    /// The route with the longest prefix that matches `path` on `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rows = match self.by_host.get(host) {
            Some(rows) => rows,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut routes = rows.iter().map(|row| &self.plan.routes[*row]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// The account that holds `key`.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        let row = self.by_key.get(key)?;
        self.plan.holders.as_ref()?.get(*row)
    }

    /// Whether requests need a key.
    pub fn asks_for_keys(&self) -> bool {
        self.plan.holders.is_some()
    }
}
