//! A box that routes by host and prefix on the users' platform.
//!
//! [`driver`] holds the reducer's state. [`entry`] takes callers' connections, [`exchange`] serves one
//! request, [`answers`] makes what its caller gets, [`relay`] passes a stream on and takes it up
//! elsewhere when it breaks, [`event_cut`] cuts it into whole events, [`pool`] keeps connections to
//! replicas. [`follow`] reads the platform's store, [`tally`] counts what that and datagrams cost, [`verdicts`] the verdicts in it, [`marks`] how far trials have come, [`notes`] talks
//! to other boxes in the datagrams of [`note_wire`], and [`told`] tells them what the operator wrote.
//! [`directory`] answers who asks for addresses, readiness, state and metrics. [`observe`] logs.
//! [`reload`] takes changes of the settings. [`process`] puts them together.

pub mod answers;
pub mod directory;
pub mod driver;
pub mod entry;
pub mod event_cut;
pub mod exchange;
pub mod follow;
pub mod marks;
pub mod note_wire;
pub mod notes;
pub mod observe;
pub mod pool;
pub mod process;
pub mod relay;
pub mod reload;
pub mod tally;
pub mod told;
pub mod verdicts;
