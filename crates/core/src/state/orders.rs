//! Orders to pools, so that every replica loads the versions that the bundle in force names.
//!
//! The first live box by a hash of box and pool takes the lease on the pool, or a later box if that
//! one does not renew it. The holder compares the versions that replicas report with those that
//! they should have. An order names the complete target state, so the next holder can continue an
//! interrupted rollout, and a repeat is harmless. The number of replicas that load at the same
//! time is limited by the throughput of the weight store.

use crate::appender::LogStream;
use crate::bundle::PoolSpec;
use crate::effect::{BoxEffect, PoolOrder};
use crate::event::EventStamp;
use crate::lease::{LEASE_TERM_MS, ORDER_TIMEOUT_MS};
use crate::message::{LeaseRecord, LogRecord, RecordBody};
use crate::replica::ReplicaState;
use crate::time::BoxTime;

use super::log::StreamRead;
use super::BoxState;

/// Time after which a load that the replica's report does not show is ordered again, in
/// milliseconds.
const LOAD_TIMEOUT_MS: u64 = 120_000;

impl BoxState {
    pub(super) fn read_leases(
        &mut self,
        stamp: EventStamp,
        read: StreamRead,
        records: Vec<(u64, LogRecord)>,
    ) {
        self.lease_next = self.lease_next.max(read.first);
        for (offset, record) in records {
            if offset < self.lease_next {
                continue;
            }
            self.lease_next = offset + 1;
            let Some(RecordBody::Lease(lease)) = record.body else { continue };
            let is_own = record.incarnation == self.settings.incarnation;
            let from = if is_own { BoxTime::from_micros(lease.asked_us) } else { stamp.now };
            if is_own {
                self.lease_requested.remove(&lease.pool);
            }
            let (pool, term) = (&lease.pool, lease.term_ms);
            self.leases.fold_lease(pool, record.incarnation, offset, from, term);
        }
    }

    /// Renews leases and emits the orders that are due.
    pub(super) fn order_pools(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        if self.stopping_since.is_some() || self.fold.in_force().is_none() {
            return;
        }
        let pools = self.index.spec.pools.clone();
        for (name, pool) in &pools {
            if self.should_hold_lease(stamp, name) {
                self.renew_lease(stamp, name, out);
            }
            self.order_pool(stamp, name, pool, out);
        }
    }

    /// Whether this box should hold the lease on the pool: it already does, it is the first live
    /// box for the pool, or each box before it had one term to renew the lease and did not, because
    /// it is alive but cut off from the log.
    fn should_hold_lease(&self, stamp: EventStamp, pool: &str) -> bool {
        let job_name = format!("order/{pool}");
        let entry = self.leases.find(pool);
        let holds = entry.is_some_and(|entry| entry.holder == self.settings.incarnation);
        let turns = 1 + self.members.rank(&job_name) as u64;
        let expired_at = entry.map_or(BoxTime::default(), |entry| entry.until);
        holds
            || self.members.first_alive(&job_name, stamp.now).is_none()
            || stamp.now >= expired_at.plus_millis(turns * LEASE_TERM_MS)
    }

    fn renew_lease(&mut self, stamp: EventStamp, pool: &str, out: &mut Vec<BoxEffect>) {
        let me = self.settings.incarnation;
        let requested_at = self.lease_requested.get(pool);
        let pending = requested_at.is_some_and(|at| stamp.now.millis_since(*at) < LEASE_TERM_MS);
        if pending || !self.leases.needs_renewal(pool, me, stamp.now) {
            return;
        }
        self.lease_requested.insert(pool.to_owned(), stamp.now);
        let lease = LeaseRecord {
            pool: pool.to_owned(),
            term_ms: LEASE_TERM_MS,
            asked_us: stamp.now.as_micros(),
        };
        self.push_record(LogStream::Leases, RecordBody::Lease(lease));
        self.append_due(stamp, out);
    }

    fn order_pool(
        &mut self,
        stamp: EventStamp,
        name: &str,
        pool: &PoolSpec,
        out: &mut Vec<BoxEffect>,
    ) {
        let me = self.settings.incarnation;
        let lease = self.leases.may_order(name, me, pool.checks_token, stamp.now).copied();
        let Some(lease) = lease else { return };
        let target_versions = self.index.spec.pool_versions(pool);
        let outdated: Vec<(String, String)> = self
            .replicas
            .rows()
            .filter(|(_, row)| row.listed.engine && row.listed.service == name && !row.leaving)
            .filter(|(_, row)| row.reported_at > BoxTime::default())
            .filter(|(_, row)| self.loaded_names(row) != target_versions)
            .map(|(_, row)| (row.listed.name.clone(), row.listed.address.clone()))
            .collect();
        self.ordered.retain(|replica, (at, versions)| {
            let is_current =
                stamp.now.millis_since(*at) < LOAD_TIMEOUT_MS && *versions == target_versions;
            is_current && outdated.iter().any(|(name, _)| name == replica)
        });
        for (replica, address) in outdated {
            if self.ordered.len() >= pool.loads_at_once.max(1) as usize {
                return;
            }
            if self.ordered.contains_key(&replica) {
                continue;
            }
            self.ordered.insert(replica.clone(), (stamp.now, target_versions.clone()));
            let versions = target_versions.clone();
            let send_before = lease.until.min(stamp.now.plus_millis(ORDER_TIMEOUT_MS));
            let token = lease.token;
            out.push(BoxEffect::Order(PoolOrder {
                replica,
                address,
                token,
                versions,
                send_before,
            }));
        }
    }

    /// Names of the versions that a replica reported, sorted.
    fn loaded_names(&self, row: &ReplicaState) -> Vec<String> {
        let name = |key: &crate::ids::VersionKey| self.names.versions.name(*key).to_owned();
        let mut names: Vec<String> = row.versions.iter().map(name).collect();
        names.sort();
        names
    }
}
