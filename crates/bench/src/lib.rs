//! Simulations that run the real reducers in virtual time, with small models of engines and
//! ratings. This crate is not published.
//!
//! [`fleet`] holds reducers, a log and a clock in one process: a box receives each message as an
//! event after a delay, and traffic is counted by the encoded size of each message. [`engine`]
//! models a replica, [`workload`] generates requests, [`policy`] names the policies (the reducer or
//! a baseline), [`plan`] defines the scenarios, and [`scenario`] runs and measures one. [`prompts`]
//! does the same for the reducer of routing boxes, on random deployments: [`prompt_engine`] models
//! an engine that reads prompts, and [`prompt_router`] routes them.

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
