//! Leases on pools: who may order the replicas of a pool, by the log's order.
//!
//! The latest record in the log holds the lease, and its offset is the fencing token. The holder
//! counts the term from before it sent the append; everybody else counts from when they read the
//! record. A server that checks tokens refuses a lower one. For servers that do not, a successor waits
//! until the one before it can have nothing under way, and a holder checks what is left of its term last
//! thing before it sends (`spec/lease.pml`).

use std::collections::BTreeMap;

use serde::Serialize;

use crate::time::BoxTime;

/// Term of a lease, in milliseconds.
pub const LEASE_TERM_MS: u64 = 10_000;

/// The longest an order may be under way, in milliseconds; it is given up before.
pub const ORDER_TIMEOUT_MS: u64 = 2_000;

/// A lease record as this box read it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LeaseEntry {
    /// Incarnation of the holder.
    pub holder: u64,
    /// Offset of the record.
    pub token: u64,
    /// End of the term: for the holder from when it asked, for others from when they read.
    pub until: BoxTime,
    /// Before this the holder may not order servers that do not check tokens.
    pub settled_at: BoxTime,
}

/// The fold of the `leases` stream.
#[derive(Debug, Default)]
pub struct LeaseFold {
    entries: BTreeMap<String, LeaseEntry>,
}

impl LeaseFold {
    /// Folds the record at offset `token`. `from` is when its term began on this box's clock.
    pub fn fold_lease(&mut self, pool: &str, holder: u64, token: u64, from: BoxTime, term_ms: u64) {
        let before = self.entries.get(pool);
        let settled_at = match before {
            Some(entry) if entry.holder == holder => entry.settled_at,
            Some(entry) => entry.until.plus_millis(ORDER_TIMEOUT_MS).max(entry.settled_at),
            // Nothing is known of holders before the first record that this box read.
            None => from.plus_millis(LEASE_TERM_MS + ORDER_TIMEOUT_MS),
        };
        let until = from.plus_millis(term_ms.min(LEASE_TERM_MS));
        self.entries.insert(pool.to_owned(), LeaseEntry { holder, token, until, settled_at });
    }

    /// The latest lease on a pool.
    pub fn find(&self, pool: &str) -> Option<&LeaseEntry> {
        self.entries.get(pool)
    }

    /// The token by which `me` may order the pool's servers now.
    pub fn may_order(
        &self,
        pool: &str,
        me: u64,
        checks_token: bool,
        now: BoxTime,
    ) -> Option<&LeaseEntry> {
        let entry = self.entries.get(pool)?;
        let mine = entry.holder == me && now < entry.until;
        (mine && (checks_token || now >= entry.settled_at)).then_some(entry)
    }

    /// Whether `me` should ask for the lease: it has none, or half of its term has passed.
    pub fn needs_renewal(&self, pool: &str, me: u64, now: BoxTime) -> bool {
        match self.entries.get(pool) {
            Some(entry) if entry.holder == me => now.plus_millis(LEASE_TERM_MS / 2) >= entry.until,
            Some(entry) => now >= entry.until,
            None => true,
        }
    }
}
