//! What clients can make a process hold, and for how long, at all of its listeners.
//!
//! [`memory_account`] counts the bytes held for clients, so that all of them together stay within the
//! process's memory. [`connection_table`] keeps the connections: it bounds their number and the time
//! for a head, and closes the one that is least worth keeping when there is no room for another.
//! [`listen`] opens listeners, [`client_stream`] counts what a connection receives and is offered,
//! [`slow_readers`] disconnects clients that do not read, [`request_body`] reads a body within its
//! limits, [`whole_body`] is a response that is held whole, and [`endpoint`] serves listeners with small requests. [`process_memory`] tells how much
//! memory a process may use if its settings do not.

pub mod client_stream;
pub mod connection_table;
pub mod endpoint;
pub mod listen;
pub mod memory_account;
pub mod process_memory;
pub mod request_body;
pub mod slow_readers;
pub mod whole_body;
