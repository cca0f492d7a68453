//! The entry box: it reads sockets and clocks, feeds events to the reducer, and carries effects out.
//!
//! [`driver::BoxDriver`] holds the reducer's state and is the only place that applies events.
//! [`entry`] takes callers' requests, [`exchange`] carries one request's effects out against the
//! replicas, [`links`] talks to other boxes, [`follow`] reads the platform, [`operator`] serves the
//! operators, and [`observe`] turns effects into numbered log events and metrics. [`process`] puts
//! them together, and [`clock`] is where all ages are taken from. [`gateway`] is the box that routes by host and
//! prefix on the users' platform.

pub mod answer;
pub mod clock;
pub mod driver;
pub mod entry;
pub mod exchange;
pub mod follow;
pub mod gateway;
pub mod links;
pub mod messages;
pub mod observe;
pub mod operator;
pub mod process;
pub mod stream;
