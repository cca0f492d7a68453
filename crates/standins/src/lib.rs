//! Stand-ins of the systems around ravenspoke, for tests and the quickstart. Unpublished.
//!
//! Each is a small HTTP server on a free loopback port. Every fault is a setting that
//! `POST /faults` changes; what ran is counted and read at `GET /counts`, so that a test's witness is
//! the stand-in and not the router's word.

pub mod engine;
pub mod fleet;
pub mod list;
pub mod log;
pub mod platform;
pub mod rating;
pub mod serve;
pub mod service;
pub mod soak;
