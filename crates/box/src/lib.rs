//! The entry box: it reads sockets and clocks, passes events to the reducer, and carries out
//! effects.
//!
//! [`driver::BoxDriver`] holds the reducer's state and is the only place that applies events.
//! [`entry`] accepts callers' requests; [`chat_body`] reads those for models, whose messages
//! [`messages`] checks. [`exchange`]
//! carries out the effects of one request by calls of [`upstream`]; [`stream`] reads its event stream
//! and [`answer`] is its response. [`links`] exchanges messages with other boxes, [`follow`] reads and writes the log and
//! the box list, and [`operator`] serves the operators. [`observe`] turns effects into numbered log
//! events and metrics, [`clock`] is the source of all ages, and [`process`] assembles the box.
//! [`clients`] bounds what clients can make a process hold, at all listeners.
//! [`gateway`] is the box that routes by host and path prefix on the users' platform.

pub mod answer;
pub mod chat_body;
pub mod clients;
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
pub mod upstream;
