//! Decision logic of the ravenspoke router, as a reducer without I/O.
//!
//! A *bundle* is the signed configuration of the fleet; a *box* is one router instance. A request
//! passes through these steps:
//!
//! 1. [`event::BoxEvent::RequestArrived`] is checked against the bundle in force ([`bundle`],
//!    [`fold`]).
//! 2. A call that must not be repeated waits for its claim in the log ([`claims`]).
//! 3. A model and a version are chosen ([`cascade`], [`rollout`], [`session`]).
//! 4. A replica is picked ([`replica`]), or the request waits in a [`fair_queue`].
//! 5. The box reports that it is about to write, and the decision is checked again. From then on
//!    the [`attempt`] is dispatched and can no longer be refused as "not run".
//! 6. The end of the answer is released when other boxes hold a copy of its bill ([`bills`]).
//!
//! All state is in [`state::BoxState`]. It changes only in [`state::BoxState::apply`], which takes
//! an [`event::BoxEvent`] with an [`event::EventStamp`] and returns [`effect::BoxEffect`]s. The
//! box, the benchmarks and the tests call the same function.
//!
//! [`route`] has a second reducer, for platforms that keep plans, entries and verdicts in a store
//! and use no bundles.

pub mod appender;
pub mod attempt;
pub mod bills;
pub mod bundle;
pub mod cascade;
pub mod claims;
pub mod effect;
pub mod event;
pub mod fair_queue;
pub mod fold;
pub mod freshness;
pub mod ids;
pub mod lease;
pub mod membership;
pub mod message;
pub mod position;
pub mod reason;
pub mod replica;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod session;
pub mod state;
pub mod time;
