//! Scheduling under load: which replica gets a request, and what is rejected.
//!
//! - [`pick`]: the choice among replicas
//! - [`placement`]: the cost of a prompt at each replica
//! - [`backlog`]: work queued at a replica
//! - [`loads`]: what replicas and boxes report of loads
//! - [`admission`]: requests that are rejected for lack of time
//! - [`control`]: which of this a deployment asks for
//! - [`replica_speed`]: how fast each replica is; `speed_feedback` feeds it
//! - [`contention`]: when a service has too little room
//! - [`waiting_room`]: requests that wait for room, and their order
//! - [`account_shares`]: what client accounts get of it, by [`account_demand`] and [`max_min`]

pub mod account_demand;
pub mod account_shares;
pub mod admission;
pub mod backlog;
pub mod contention;
pub mod control;
pub mod loads;
pub mod max_min;
pub mod pick;
pub mod placement;
pub mod replica_speed;
mod speed_feedback;
pub mod waiting_room;
