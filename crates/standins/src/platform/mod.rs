//! Stand-ins for the users' platform, written from its published protocol: the store, replicas, the
//! platform's API, and a site of routing boxes that run as processes.
//!
//! Each stand-in has settings for its faults and records the requests that it gets, so that tests
//! check what arrived and do not rely on what the router reports.

pub mod cloud;
pub mod endless;
mod group;
pub mod replica;
pub mod scripted;
pub mod site;
pub mod site_box;
pub mod store;
pub mod wire;
