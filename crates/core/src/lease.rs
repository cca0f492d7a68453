//! Leases on pools: which box may send orders to the replicas of a pool.
//!
//! The writer of the latest record in the log holds the lease, and the offset of the record is the
//! fencing token. The holder counts the term from before it sent the append; other boxes count from
//! when they read the record. A backend server that checks tokens refuses one that is lower than
//! any it has seen. For servers that do not, a new holder waits until no order of the previous
//! holder can be in flight, and a holder checks the rest of its term immediately before it sends
//! (`spec/lease.pml`).

use std::collections::BTreeMap;

use serde::Serialize;

use crate::time::BoxTime;

/// Term of a lease, in milliseconds.
pub const LEASE_TERM_MS: u64 = 10_000;

/// Timeout of an order, in milliseconds.
pub const ORDER_TIMEOUT_MS: u64 = 2_000;

/// A lease as this box read it from the log.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LeaseEntry {
    /// Incarnation of the holder.
    pub holder: u64,
    /// Offset of the record, which is the fencing token.
    pub token: u64,
    /// End of the term, counted from the request by the holder and from the read by other boxes.
    pub until: BoxTime,
    /// Before this the holder must not send orders to servers that do not check tokens.
    pub settled_at: BoxTime,
}

/// The fold of the `leases` stream.
#[derive(Debug, Default)]
pub struct LeaseFold {
    entries: BTreeMap<String, LeaseEntry>,
}

impl LeaseFold {
    /// Folds the record at offset `token`, whose term began at `from` on this box's clock.
    pub fn fold_lease(&mut self, pool: &str, holder: u64, token: u64, from: BoxTime, term_ms: u64) {
        let before = self.entries.get(pool);
        let settled_at = match before {
            Some(entry) if entry.holder == holder => entry.settled_at,
            Some(entry) => entry.until.plus_millis(ORDER_TIMEOUT_MS).max(entry.settled_at),
            // The box does not know who held the lease before the first record that it read.
            None => from.plus_millis(LEASE_TERM_MS + ORDER_TIMEOUT_MS),
        };
        let until = from.plus_millis(term_ms.min(LEASE_TERM_MS));
        self.entries.insert(pool.to_owned(), LeaseEntry { holder, token, until, settled_at });
    }

    /// Returns the latest lease on a pool.
    pub fn find(&self, pool: &str) -> Option<&LeaseEntry> {
        self.entries.get(pool)
    }

    /// Returns the lease of `me` if it may send orders to the pool now. `checks_token` says whether
    /// the pool's servers check fencing tokens.
    pub fn may_order(
        &self,
        pool: &str,
        me: u64,
        checks_token: bool,
        now: BoxTime,
    ) -> Option<&LeaseEntry> {
        let entry = self.entries.get(pool)?;
        let is_holder = entry.holder == me && now < entry.until;
        (is_holder && (checks_token || now >= entry.settled_at)).then_some(entry)
    }

    /// Whether `me` should request the lease: nobody holds it, or half of its own term has passed.
    pub fn needs_renewal(&self, pool: &str, me: u64, now: BoxTime) -> bool {
        match self.entries.get(pool) {
            Some(entry) if entry.holder == me => now.plus_millis(LEASE_TERM_MS / 2) >= entry.until,
            Some(entry) => now >= entry.until,
            None => true,
        }
    }
}
