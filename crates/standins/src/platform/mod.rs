//! Stand-ins of the users' platform, written from its published protocol: the store, replicas, and a
//! site of routing boxes as processes before them.
//!
//! Each fault is a setting, and each keeps a record of what it was asked: a test's witness is the
//! stand-in and not the router's word.

pub mod cloud;
mod group;
pub mod replica;
pub mod site;
pub mod site_box;
pub mod store;
mod wire;
