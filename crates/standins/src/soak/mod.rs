//! The fault soak: real boxes as processes, a schedule of faults drawn from a seed, and the promises of
//! the platform checked from what callers and replicas saw.
//!
//! [`schedule`] draws the faults, `site` is what they are played on, `inflict` plays them, and [`proxy`]
//! brings about those of the network. [`callers`] ask and keep a record, [`recorder`] holds the records,
//! [`judge`] checks the promises, [`sessions`] those of the roll-out that runs through every seed, and
//! [`play`] puts a run together. Boxes use the steady clock only and
//! no disk, so no clock and no storage is misled.

pub mod callers;
mod inflict;
pub mod judge;
pub mod play;
pub mod proxy;
pub mod recorder;
pub mod schedule;
pub mod sessions;
mod site;
mod sockets;
