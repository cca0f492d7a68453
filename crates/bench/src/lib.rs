//! The bench: real reducers in virtual time, and small models of engines and ratings. Unpublished.
//!
//! [`fleet`] holds reducers, a log and a clock in one process: what a box would read from a socket is
//! handed to it as an event after a delay, and bytes are counted by the encoded size of each message.
//! [`engine`] models a replica, [`workload`] draws requests, [`policy`] routes them by the reducer or
//! by a baseline, [`plan`] names the scenarios, and [`scenario`] runs one and measures. [`prompts`] does the
//! same for the reducer of routing boxes, over deployments drawn at random: [`prompt_engine`] reads prompts,
//! [`prompt_router`] routes them.

pub mod baseline;
pub mod capacity;
pub mod engine;
pub mod fixture;
pub mod fleet;
pub mod plan;
pub mod plot;
pub mod policy;
pub mod prompt_engine;
pub mod prompt_router;
pub mod prompt_site;
pub mod prompts;
pub mod scenario;
pub mod workload;
