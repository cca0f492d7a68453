//! A box that routes by host and prefix on the users' platform.
//!
//! [`driver`] holds the reducer's state. [`entry`] takes callers' connections, [`exchange`] serves one
//! request, [`responses`] makes what its caller gets, [`relay`] passes a stream on and takes it up
//! elsewhere when it breaks, [`event_splitter`] cuts it into whole events, [`pool`] keeps connections to
//! replicas. [`follow`] follows the platform's store, `topic_follower` calls it for one topic, `store_calls`
//! are its calls under way; [`verdicts`] are read and written there, and how far trials have come ([`checkpoints`]).
//! [`control_stats`] counts what that and datagrams cost. [`gossip`] talks to other boxes in the datagrams of [`gossip_wire`], and [`operator_records`] tells them what the operator wrote.
//! [`directory`] answers who asks for addresses, readiness, state and metrics. [`observe`] logs, and `strange` which headers
//! of replicas are not known here.
//! [`reload`] takes changes of the settings. [`process`] puts them together.

pub mod checkpoints;
pub mod control_stats;
pub mod directory;
pub mod driver;
pub mod entry;
pub mod event_splitter;
pub mod exchange;
pub mod follow;
pub mod gossip;
pub mod gossip_wire;
pub mod leader;
mod listen;
pub mod observe;
pub mod operator_records;
pub mod pool;
pub mod process;
pub mod relay;
pub mod reload;
pub mod responses;
mod store_calls;
pub mod sync_pacer;
mod topic_follower;
mod unknown_headers;
pub mod verdicts;
