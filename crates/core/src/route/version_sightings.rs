//! When this box first heard of replicas of each version.
//!
//! The operator gives an order before the replicas of its version are started, but a box reads orders
//! and replicas from topics of their own. So a version that it first heard of after its last read of
//! the orders may be one whose order it does not know yet.

use std::collections::{BTreeMap, HashMap};

use crate::time::BoxTime;

/// Versions that are remembered for a service.
const VERSIONS_KEPT: usize = 16;

/// When this box first heard of each version, by service.
#[derive(Debug, Default)]
pub(super) struct VersionSightings {
    first_seen: HashMap<String, BTreeMap<String, BoxTime>>,
}

impl VersionSightings {
    /// Records that there is a replica of a version.
    pub(super) fn record(&mut self, service: &str, version: &str, now: BoxTime) {
        if self.first_seen.get(service).is_some_and(|versions| versions.contains_key(version)) {
            return;
        }
        let versions = self.first_seen.entry(service.to_owned()).or_default();
        if versions.len() >= VERSIONS_KEPT {
            let oldest = versions.iter().min_by_key(|(_, seen_at)| **seen_at);
            if let Some(oldest) = oldest.map(|(version, _)| version.clone()) {
                versions.remove(&oldest);
            }
        }
        versions.insert(version.to_owned(), now);
    }

    /// Versions of a service that this box first heard of after `as_of`, and after another one.
    pub(super) fn later_than(&self, service: &str, as_of: BoxTime) -> impl Iterator<Item = &str> {
        let versions = self.first_seen.get(service);
        let first = versions.and_then(|versions| versions.values().min().copied());
        let as_of = as_of.max(first.unwrap_or_default());
        let later = versions.into_iter().flatten().filter(move |(_, seen_at)| **seen_at > as_of);
        later.map(|(version, _)| version.as_str())
    }

    /// Services of which several versions are known, and one only since `as_of`.
    pub(super) fn changed_since(&self, as_of: BoxTime) -> impl Iterator<Item = &str> {
        let changed = self.first_seen.iter().filter(move |(_, versions)| {
            versions.len() > 1 && versions.values().any(|seen_at| *seen_at > as_of)
        });
        changed.map(|(service, _)| service.as_str())
    }
}
