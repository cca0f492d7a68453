//! Replicas that are gone: a change that comes late must not bring one back.

use std::collections::HashMap;

/// Ids are kept until there are this many; then all are forgotten.
const GONE_LIMIT: usize = 4_096;

/// Ids of replicas that are gone, with the offset of that in the store.
#[derive(Debug, Default)]
pub(super) struct GoneReplicas {
    offsets: HashMap<String, u64>,
}

impl GoneReplicas {
    /// The offset at which a replica was gone, if it is known to be.
    pub(super) fn offset(&self, id: &str) -> Option<u64> {
        self.offsets.get(id).copied()
    }

    /// Notes that a replica is gone as of `at`.
    pub(super) fn note(&mut self, id: &str, at: u64) {
        if self.offsets.len() >= GONE_LIMIT {
            self.offsets.clear();
        }
        self.offsets.insert(id.to_owned(), at);
    }

    /// Forgets one that is there again.
    pub(super) fn forget(&mut self, id: &str) {
        self.offsets.remove(id);
    }
}
