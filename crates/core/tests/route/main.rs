//! Tests of request routing by host and path prefix, on the real reducer in virtual time.

mod backoff;
mod calls;
mod cold;
mod evacuations;
mod fixture;
mod fleet;
mod incarnations;
mod leader;
mod leader_fleet;
mod leaving;
mod loads;
mod membership;
mod models;
mod placement;
mod plan;
mod plan_fleet;
mod poison;
mod rate_limit;
mod regions;
mod replica_fleet;
mod requests;
mod restarts;
mod restores;
mod retry_budget;
mod store_readers;
mod trials;
