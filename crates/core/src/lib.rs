//! Decisions of the ravenspoke router: data and one reducer, no I/O.
//!
//! The flow of a request: [`event::BoxEvent::RequestArrived`] is checked against the bundle in force
//! ([`bundle`], [`fold`]), a call that may not be repeated waits for its claim ([`claims`]), a model
//! and version are chosen ([`cascade`], [`rollout`], [`session`]) and a replica ([`replica`]), or the
//! request waits in a [`fair_queue`]. The box asks once more right before it writes, and from then on
//! the [`attempt`] is dispatched and can no longer be refused as "not run". The end of the answer
//! leaves when its bill is witnessed ([`bills`]).
//!
//! All state is in [`state::BoxState`]; all change goes through [`state::BoxState::apply`], which
//! takes an [`event::BoxEvent`] with an [`event::EventStamp`] and gives [`effect::BoxEffect`]s. The
//! box, the bench and the tests drive the same function.

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
