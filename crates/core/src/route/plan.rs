//! What the operator wants routed where: plain data, and the table that answers lookups.
//!
//! A [`RoutePlan`] is the unsigned kin of a bundle: the platform's store takes only valid ones and
//! orders them, so there is nothing to sign, carry forward or claim.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::leader::scale::ScalePlan;
use super::warm_up::WarmUpPlan;

/// What may be done with a request of a route more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each caller's request.
    Single,
    /// A stream of events; `resumable` ones may be taken up at another replica.
    Stream {
        /// Whether another replica may go on behind the last whole event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn repeatable(self) -> bool {
        !matches!(self, RouteKind::Single | RouteKind::Stream { resumable: false })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteTarget {
    /// Service name.
    pub service: String,
    /// Part among the route's targets; any unit.
    pub weight: u32,
}

/// A route: which requests it takes and how they are to be served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteSpec {
    /// Route name.
    pub name: String,
    /// Host that callers name, in lower case, without a port.
    pub host: String,
    /// Path prefix, beginning and ending with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that the operator wants a request held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer, or a stream's first event, counts in full, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between events that counts in full, in milliseconds; 0 if none is set.
    pub pause_ms: u64,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Replicas that one request may be sent to.
    pub attempts: u32,
    /// Whether a request needs no key.
    pub anonymous: bool,
    /// Models that may answer, the smallest first; empty where the caller names its own.
    pub sizes: Vec<String>,
    /// Regions in which it may be served; empty for all.
    pub regions: Vec<String>,
    /// Services with their parts; never empty in a plan that was taken.
    pub targets: Vec<RouteTarget>,
}

/// A model that an engine can run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ModelPlan {
    /// Model name.
    pub name: String,
    /// Cost of 1,000 generated tokens; read tokens cost a quarter.
    pub cost: f64,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServicePlan {
    /// Connections that a replica takes from all boxes together; 0 if not told.
    pub connections: usize,
    /// Models, for a service of engines.
    pub models: Vec<ModelPlan>,
    /// How little its replicas bear while they are cold, if that is told.
    pub warm_up: Option<WarmUpPlan>,
    /// How many replicas it may have, if that is the router's to order.
    pub scale: Option<ScalePlan>,
}

/// A client account and its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyHolder {
    /// Account name.
    pub name: String,
    /// Keys that callers show. Not part of any dump.
    #[serde(skip)]
    pub keys: Vec<String>,
    /// Urgency that goes before the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served; empty for all.
    pub regions: Vec<String>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head, in milliseconds.
    pub header_ms: u64,
    /// Time that a connection may rest, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Used until a plan is known: what HTTP servers usually take.
    fn default() -> Self {
        Self { header_bytes: 16_384, body_bytes: 4 << 20, header_ms: 5_000, idle_ms: 30_000 }
    }
}

/// The whole plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RoutePlan {
    /// Version; a box never goes back to a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteSpec>,
    /// Services by name.
    pub services: BTreeMap<String, ServicePlan>,
    /// Client accounts; `None` where no key is asked for.
    pub holders: Option<Vec<KeyHolder>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// A plan made ready for lookups on the path of a request.
#[derive(Debug, Default)]
pub struct RouteTable {
    plan: RoutePlan,
    /// Rows of `plan.routes` by host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Rows of `plan.holders` by key.
    by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Indexes a plan.
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

    /// The route that takes `path` on `host`: the one with the longest prefix.
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

    /// Whether requests need a key at all.
    pub fn asks_for_keys(&self) -> bool {
        self.plan.holders.is_some()
    }
}
