//! Tombstones of removed replicas: neither a late change nor an older copy of the store may bring
//! one back.

use std::collections::{BTreeSet, HashMap};

use super::backend::{is_other_incarnation, BackendEntry};
use crate::position::TopicPosition;

/// When this many tombstones are kept, all of them are dropped. It is twice the number of replicas
/// of the largest fleet, all replaced at once, and takes some 1.5 MB.
const TOMBSTONE_LIMIT: usize = 16_384;

/// Tombstone of a removed replica.
#[derive(Debug)]
struct ReplicaTombstone {
    /// Position of the removal in the store.
    at: TopicPosition,
    /// Last entry, if the replica had reported that it was leaving.
    left: Option<BackendEntry>,
}

/// Tombstones by replica id.
#[derive(Debug, Default)]
pub(super) struct ReplicaTombstones {
    rows: HashMap<String, ReplicaTombstone>,
    /// In the order of removal.
    by_change: BTreeSet<(TopicPosition, String)>,
    /// Position from which on all tombstones are kept.
    kept_from: TopicPosition,
}

impl ReplicaTombstones {
    /// Position at which a replica was removed, if it has a tombstone.
    pub(super) fn position(&self, id: &str) -> Option<TopicPosition> {
        self.rows.get(id).map(|row| row.at)
    }

    /// Whether an entry belongs to an incarnation that had reported that it was leaving and was
    /// removed, before the store was restored from a copy that still has it.
    pub(super) fn has_left(&self, entry: &BackendEntry, at: TopicPosition) -> bool {
        let row = self.rows.get(&entry.id).filter(|row| row.at.era < at.era);
        let left = row.and_then(|row| row.left.as_ref());
        left.is_some_and(|left| !is_other_incarnation(left, entry))
    }

    /// Inserts the tombstone of a replica that was removed at `at`, with its entry if it had
    /// reported that it was leaving.
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

    /// Drops the tombstone of a replica that is back.
    pub(super) fn forget(&mut self, id: &str) {
        if let Some(row) = self.rows.remove(id) {
            self.by_change.remove(&(row.at, id.to_owned()));
        }
    }

    /// Number of tombstones.
    pub(super) fn count(&self) -> usize {
        self.rows.len()
    }

    /// Position from which on all removals are known.
    pub(super) fn kept_from(&self) -> TopicPosition {
        self.kept_from
    }

    /// Removals from a position on, with their positions, in that order.
    pub(super) fn since(
        &self,
        from: TopicPosition,
    ) -> impl Iterator<Item = (&String, TopicPosition)> {
        self.by_change.range((from, String::new())..).map(|(at, id)| (id, *at))
    }
}
