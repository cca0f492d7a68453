//! The rules of routing by host and prefix, each on the real reducer in virtual time.

mod budget;
mod calls;
mod cold;
mod evacuations;
mod fixture;
mod fleet;
mod lives;
mod loads;
mod membership;
mod models;
mod placement;
mod plan;
mod readers;
mod requests;
mod restarts;
mod trials;
