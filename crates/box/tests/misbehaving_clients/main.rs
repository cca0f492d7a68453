//! Clients that do not behave, at boxes as processes: crowds that send large, endless or unfinished
//! requests, read nothing, or only connect; and replicas that send many answers without end at once.
//!
//! Each test fixes its crowd and its bounds. It checks that the process lives, that its memory and
//! its open descriptors stay within the bounds, and that an ordinary request is answered while the
//! crowd is still connected. Memory is what the process has resident, and what the kernel holds for
//! its connections.
//!
//! The tests run one at a time, in a stage of their own of `scripts/test`.

mod bundle_box;
mod crowd;
mod endless_servers;
mod gauge;
mod routing_box;
