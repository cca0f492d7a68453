//! The fault soak: injects faults drawn from a seed into boxes that run as processes, and checks
//! the platform's guarantees from what callers and replicas recorded.
//!
//! [`schedule`] draws the faults, `site` starts the boxes and their surroundings, `inflict` injects
//! the faults, and [`proxy`] causes those of the network. [`callers`] send requests, [`recorder`]
//! holds the records, [`judge`] checks the guarantees, [`sessions`] checks those of the rollout
//! that runs with every seed, and [`play`] puts a run together. No fault affects clocks or disks,
//! because boxes use only the monotonic clock and no disk.

pub mod callers;
mod exposure;
mod inflict;
pub mod judge;
mod partitions;
pub mod play;
pub mod proxy;
pub mod recorder;
pub mod schedule;
pub mod sessions;
mod site;
mod sockets;
