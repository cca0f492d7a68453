//! Stand-ins for the systems around ravenspoke, for tests and the quickstart. Unpublished.
//!
//! Each is a small HTTP server on a free loopback port. Its faults are settings that `POST /faults`
//! changes, and `GET /counts` returns counts of what ran, so that tests check the stand-in and do
//! not rely on what the router reports.

pub mod engine;
pub mod fleet;
pub mod list;
pub mod log;
pub mod platform;
pub mod rating;
pub mod serve;
pub mod service;
pub mod soak;
