//! What a box knows, and whether it can serve: its plan, the replicas, the progress of trials and its
//! way to the store.

use super::peers::{self, LocalPeer};
use super::{trial, RouteState, ADVERTISED_AGE_MS};
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// What a box knows, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnowledgeSummary {
    /// Version of the plan; 0 without one.
    pub plan_version: u64,
    /// Number of replicas.
    pub replicas: usize,
    /// Whether its network paths to replicas are lost.
    pub paths_lost: bool,
    /// Number of other boxes that are live.
    pub peers: usize,
    /// Time since a call to the store failed, if none has succeeded since, in milliseconds.
    pub store_failed_ms: Option<u64>,
}

impl RouteState {
    /// Summarizes what the box knows.
    pub fn knowledge(&self, now: BoxTime) -> KnowledgeSummary {
        KnowledgeSummary {
            plan_version: self.table.plan().version,
            replicas: self.backends.rows().count(),
            paths_lost: self.paths.is_lost(),
            peers: self.peers.live_count(now) - 1,
            store_failed_ms: self.reader.store_failed_at.map(|at| now.millis_since(at)),
        }
    }

    pub(super) fn has_plan(&self) -> bool {
        self.table.plan().version > 0
    }

    /// Whether callers may be directed to this box.
    pub fn open(&self, now: BoxTime) -> bool {
        let fresh = self.fresh.age_ms(now).is_some_and(|age| age < ADVERTISED_AGE_MS);
        self.ready(now) && fresh && self.knows_replicas()
    }

    /// Whether this box began to accept callers, before a planned stop if one has begun.
    pub(super) fn entry_opened(&self) -> bool {
        self.start.is_some_and(|start| start.entry_opened)
    }

    /// Whether the box serves: it accepts callers, and no planned stop has begun.
    pub fn ready(&self, now: BoxTime) -> bool {
        let accepts = self.entry_opened() && !self.stopping();
        accepts && self.has_plan() && self.fresh.honours_keys(now, self.settings.fresh)
    }

    /// Whether the planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.stopping_since.is_some()
    }

    /// All changes to the replicas' entries before this position are known.
    pub fn entries_to(&self) -> Option<TopicPosition> {
        self.entries.known_to()
    }

    /// Whether the box does not know the plan's freshness or the entries yet.
    pub(super) fn is_starting(&self) -> bool {
        self.fresh.is_unknown() || self.entries.known_to().is_none()
    }

    /// Whether the box started so recently that it does not know all others yet.
    pub(super) fn started_lately(&self, now: BoxTime) -> bool {
        self.start.is_none_or(|start| now.millis_since(start.at) < peers::STARTED_LATELY_MS)
    }

    /// Whether the box started so recently that it knows few others.
    pub(super) fn settling(&self, now: BoxTime) -> bool {
        self.start.is_some_and(|start| now.millis_since(start.at) < peers::START_SETTLE_MS)
    }

    /// This box as a candidate for a duty.
    pub(super) fn local_peer(&self, now: BoxTime) -> LocalPeer<'_> {
        // Other boxes rank this one by what it announces.
        let serves = self.open(now) || self.announces_reads(now);
        let (store_access, open_since) = (self.store_access(now), self.reader.open_since);
        LocalPeer {
            name: &self.settings.name,
            serves,
            store_access,
            store_read_at: self.fresh.as_of(),
            strong: self.settings.capacity.is_strong(),
            open_since,
        }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Whether a trial is running, so that verdicts must be read.
    pub fn has_running_trial(&self) -> bool {
        self.trials.values().any(|trial| trial.state == trial::TrialState::Running)
    }

    /// Version that the last known order for a service names.
    pub fn version_on_trial(&self, service: &str) -> Option<&str> {
        self.trials.get(service).map(|trial| trial.order.version.as_str())
    }

    /// Whether the store was not asked for the verdict of some trial yet: it may have ended before
    /// this box started.
    pub fn has_unread_verdicts(&self) -> bool {
        self.trials.values().any(|trial| !trial.verdict_read)
    }

    /// Whether the checkpoint of some trial must still be read: the trial was running before this
    /// box learned of it, and sessions may have been moved.
    pub fn has_unread_checkpoints(&self) -> bool {
        self.trials.values().any(|trial| trial.checkpoint_unread)
    }

    /// Whether the box knows enough to serve: a plan, the progress of trials, poison, and replicas.
    pub fn is_synced(&self) -> bool {
        let trials_known = !self.has_unread_verdicts() && !self.has_unread_checkpoints();
        self.has_plan() && trials_known && !self.has_unread_poison() && self.knows_replicas()
    }

    /// Whether a box that has started may accept callers: it is synced, or it has waited long
    /// enough.
    pub fn accepts_callers(&self, now: BoxTime) -> bool {
        let due = self.start.is_some_and(|start| now >= start.callers_at());
        due || self.is_synced() && !self.may_lack_order()
    }

    /// Whether the order for one of several versions of a service may not be known yet.
    fn may_lack_order(&self) -> bool {
        let Some(as_of) = self.fresh.as_of() else { return true };
        let mut changed = self.backends.versions.changed_since(as_of);
        changed.any(|service| !self.trials.contains_key(service))
    }

    /// Whether the replicas are known: all of them as of some time, and at least one. A few changes
    /// received by gossip are not enough for a caller whose replicas are among the others.
    pub(super) fn knows_replicas(&self) -> bool {
        self.entries.known_to().is_some() && self.has_backends()
    }

    /// Whether any replica is known.
    pub(super) fn has_backends(&self) -> bool {
        self.backends.rows().next().is_some()
    }
}
