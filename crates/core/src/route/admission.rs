//! What admits a request: the terms of its route, its service, its client account and the zones that
//! may serve it. They are decided once, by the box that the caller sent it to, and hold until its end,
//! also at a box that takes it up later and knows another plan.

use super::plan::{RouteKind, RouteSpec};

/// The terms of a route that its admitted requests keep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTerms {
    /// Route name.
    pub name: String,
    /// How its requests may be repeated.
    pub kind: RouteKind,
    /// Time within which a response, or the first event of a stream, has full value, in
    /// milliseconds.
    pub target_ms: u64,
    /// Longest pause between events with full value, in milliseconds; 0 if unset.
    pub pause_ms: u64,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Number of replicas that a request may be sent to.
    pub attempts: u32,
    /// Models that may answer, the smallest first; empty if the caller names the model.
    pub sizes: Vec<String>,
}

impl RouteTerms {
    /// The terms of a route.
    pub(super) fn of(route: &RouteSpec) -> Self {
        Self {
            name: route.name.clone(),
            kind: route.kind,
            target_ms: route.target_ms,
            pause_ms: route.pause_ms,
            timeout_ms: route.timeout_ms,
            attempts: route.attempts,
            sizes: route.sizes.clone(),
        }
    }
}

/// What admitted a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestAdmission {
    /// Version of the plan that admitted it.
    pub plan_version: u64,
    /// Terms of its route.
    pub route: RouteTerms,
    /// Service that runs it.
    pub service: String,
    /// Client account that held its key; `None` if it presented no known one.
    pub account: Option<String>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Availability zones that may serve it; `None` for all.
    pub zones: Option<Vec<String>>,
}
