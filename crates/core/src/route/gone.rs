//! Replicas that are gone: a change that comes late must not bring one back.

use std::collections::HashMap;

/// Ids are kept until there are this many; then all are forgotten. Twice the replicas of the largest
/// fleet aimed at, all replaced at once: some 1.5 MB.
const GONE_LIMIT: usize = 16_384;

/// Ids of replicas that are gone, with the offset of that in the store.
#[derive(Debug, Default)]
pub(super) struct GoneReplicas {
    offsets: HashMap<String, u64>,
    /// Offset from which on none was forgotten.
    kept_from: u64,
}

impl GoneReplicas {
    /// The offset at which a replica was gone, if it is known to be.
    pub(super) fn offset(&self, id: &str) -> Option<u64> {
        self.offsets.get(id).copied()
    }

    /// Notes that a replica is gone as of `at`.
    pub(super) fn note(&mut self, id: &str, at: u64) {
        if self.offsets.len() >= GONE_LIMIT {
            let last = self.offsets.values().copied().max().unwrap_or(0);
            self.kept_from = self.kept_from.max(last + 1);
            self.offsets.clear();
        }
        self.offsets.insert(id.to_owned(), at);
    }

    /// Forgets one that is there again.
    pub(super) fn forget(&mut self, id: &str) {
        self.offsets.remove(id);
    }

    /// Offset from which on all that went is known.
    pub(super) fn kept_from(&self) -> u64 {
        self.kept_from
    }

    /// Those that went from an offset on, with when.
    pub(super) fn since(&self, from: u64) -> impl Iterator<Item = (&String, u64)> {
        let rows = self.offsets.iter().map(|(id, at)| (id, *at));
        rows.filter(move |(_, at)| *at >= from)
    }
}
