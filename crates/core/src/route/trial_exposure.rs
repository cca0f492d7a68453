//! Exposure of a version on trial: how many of a service's requests it received, and how many its
//! bound allows.

use std::collections::BTreeMap;

use serde::Serialize;

/// Bound on the requests that a version on trial may receive, from its order to the end of the
/// order's duration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ExposureBounds {
    /// Share of the requests to the service.
    pub share: f64,
    /// Number of requests beyond that share.
    pub slack: f64,
}

impl Default for ExposureBounds {
    fn default() -> Self {
        Self { share: 0.15, slack: 30.0 }
    }
}

/// Requests sent to replicas of a service since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ExposureCount {
    /// Requests sent to the version on trial.
    pub canary: u64,
    /// Requests sent to any version.
    pub all: u64,
}

impl ExposureCount {
    fn plus(self, other: Self) -> Self {
        Self { canary: self.canary + other.canary, all: self.all + other.all }
    }
}

/// Counts of another box. A box that restarts counts from zero again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
struct PeerCount {
    /// Counts of its earlier processes.
    former: ExposureCount,
    /// Counts of its current process.
    current: ExposureCount,
}

/// Requests sent by all boxes since the order, as far as this box knows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExposureTally {
    own: ExposureCount,
    peers: BTreeMap<String, PeerCount>,
}

impl ExposureTally {
    /// Adds a request that this box sends to a replica.
    pub fn add_sent(&mut self, on_trial: bool) {
        self.own.all += 1;
        self.own.canary += u64::from(on_trial);
    }

    /// Removes a request of which nothing was written to the replica.
    pub fn remove_unsent(&mut self, on_trial: bool) {
        self.own.all = self.own.all.saturating_sub(1);
        self.own.canary = self.own.canary.saturating_sub(u64::from(on_trial));
    }

    /// Counts of this box.
    pub fn own(&self) -> ExposureCount {
        self.own
    }

    /// Applies the counts that another box reported.
    pub fn apply_peer(&mut self, name: &str, current: ExposureCount) {
        let peer = self.peers.entry(name.to_owned()).or_default();
        let restarted = current.all < peer.current.all / 2;
        if restarted {
            peer.former = peer.former.plus(peer.current);
        }
        peer.current = current;
    }

    /// Counts of all boxes.
    pub fn total(&self) -> ExposureCount {
        let peers = self.peers.values().map(|peer| peer.former.plus(peer.current));
        peers.fold(self.own, ExposureCount::plus)
    }
}
