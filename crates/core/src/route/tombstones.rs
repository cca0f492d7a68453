//! Replicas that are gone: a change that comes late, or an older copy of the store, must not bring one back.

use std::collections::{BTreeSet, HashMap};

use super::backend::{is_other_incarnation, BackendEntry};
use crate::position::TopicPosition;

/// Ids are kept until there are this many; then all are forgotten. Twice the replicas of the largest
/// fleet aimed at, all replaced at once: some 1.5 MB.
const TOMBSTONE_LIMIT: usize = 16_384;

/// A replica that is gone.
#[derive(Debug)]
struct ReplicaTombstone {
    /// Position of that in the store.
    at: TopicPosition,
    /// Its last entry, if it had said that it leaves.
    left: Option<BackendEntry>,
}

/// Replicas that are gone, by id.
#[derive(Debug, Default)]
pub(super) struct ReplicaTombstones {
    rows: HashMap<String, ReplicaTombstone>,
    /// In the order in which they went.
    by_change: BTreeSet<(TopicPosition, String)>,
    /// Position from which on none was forgotten.
    kept_from: TopicPosition,
}

impl ReplicaTombstones {
    /// The position at which a replica was gone, if it is known to be.
    pub(super) fn position(&self, id: &str) -> Option<TopicPosition> {
        self.rows.get(id).map(|row| row.at)
    }

    /// Whether an entry is of a life of a replica that had said that it leaves and was gone, before the store came back
    /// from a copy that still has it.
    pub(super) fn has_left(&self, entry: &BackendEntry, at: TopicPosition) -> bool {
        let row = self.rows.get(&entry.id).filter(|row| row.at.era < at.era);
        let left = row.and_then(|row| row.left.as_ref());
        left.is_some_and(|left| !is_other_incarnation(left, entry))
    }

    /// Notes that a replica is gone as of `at`, with its entry if it had said that it leaves.
    pub(super) fn insert(&mut self, id: &str, at: TopicPosition, left: Option<BackendEntry>) {
        if self.rows.len() >= TOMBSTONE_LIMIT {
            let last = self.rows.values().map(|row| row.at).max().unwrap_or_default();
            self.kept_from = self.kept_from.max(last.plus(1));
            self.rows.clear();
            self.by_change.clear();
        }
        self.forget(id);
        self.by_change.insert((at, id.to_owned()));
        self.rows.insert(id.to_owned(), ReplicaTombstone { at, left });
    }

    /// Forgets one that is there again.
    pub(super) fn forget(&mut self, id: &str) {
        if let Some(row) = self.rows.remove(id) {
            self.by_change.remove(&(row.at, id.to_owned()));
        }
    }

    /// How many are known.
    pub(super) fn count(&self) -> usize {
        self.rows.len()
    }

    /// Position from which on all that went is known.
    pub(super) fn kept_from(&self) -> TopicPosition {
        self.kept_from
    }

    /// Those that went from a position on, with when, in that order.
    pub(super) fn since(
        &self,
        from: TopicPosition,
    ) -> impl Iterator<Item = (&String, TopicPosition)> {
        self.by_change.range((from, String::new())..).map(|(at, id)| (id, *at))
    }
}
