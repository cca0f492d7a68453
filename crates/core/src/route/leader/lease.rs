//! The lease of the box that acts for all, from the platform's store.
//!
//! The store deals the lease to one of the boxes that ask for it, again and again, and to another when that one keeps
//! silent for the lease's length. It may deal it anew unasked, so a box that gets it first lets a whole length pass: until
//! then whoever had it may still rely on it.

use serde::Serialize;

use crate::time::BoxTime;

/// A holder stops acting this long before its lease may be dealt to another box, in milliseconds: a call's way.
pub const LEASE_MARGIN_MS: u64 = 200;

/// What the store answered to a box that asked for the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseAnswer {
    /// Rises each time that the lease is granted, and with the store's era.
    pub token: u64,
    /// Whether the box has the lease.
    pub granted: bool,
}

/// The phase of a lease that waits until no other box relies on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Settling {
    acts_at: BoxTime,
}

/// The phase of a lease that its holder acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Acting;

/// A lease in one of its phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LeaderLease<P> {
    token: u64,
    /// The store may deal it to another box from then on.
    until: BoxTime,
    phase: P,
}

impl<P> LeaderLease<P> {
    /// The fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Whether the store can't have dealt it to another box because of silence.
    fn is_valid(&self, now: BoxTime) -> bool {
        now < self.until
    }
}

impl LeaderLease<Settling> {
    /// A lease that was dealt by an answer to an ask of `asked_at`.
    fn granted(token: u64, asked_at: BoxTime, now: BoxTime, length_ms: u64) -> Self {
        let phase = Settling { acts_at: now.plus_millis(length_ms) };
        Self { token, until: asked_at.plus_millis(length_ms), phase }
    }

    fn settle(self) -> LeaderLease<Acting> {
        LeaderLease { token: self.token, until: self.until, phase: Acting }
    }
}

impl LeaderLease<Acting> {
    /// Until when its holder may act.
    pub fn acts_until(&self) -> BoxTime {
        self.until.minus_millis(LEASE_MARGIN_MS)
    }
}

/// This box's part in what one box does for all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum LeaderPart {
    /// None.
    #[default]
    Other,
    /// It was dealt the lease, and waits.
    Settling(LeaderLease<Settling>),
    /// It acts.
    Acting(LeaderLease<Acting>),
}

impl LeaderPart {
    /// Takes the store's answer to an ask of `asked_at`. A lease that lapsed meanwhile begins anew, with the token of the
    /// answer: another box may have had it.
    pub fn apply_answer(
        &mut self,
        answer: LeaseAnswer,
        asked_at: BoxTime,
        now: BoxTime,
        length_ms: u64,
    ) {
        let until = asked_at.plus_millis(length_ms);
        *self = match *self {
            _ if !answer.granted => Self::Other,
            Self::Settling(lease) if lease.is_valid(now) && same_era(lease.token, answer.token) => {
                Self::Settling(LeaderLease { until: lease.until.max(until), ..lease })
            }
            Self::Acting(lease) if lease.is_valid(now) && same_era(lease.token, answer.token) => {
                Self::Acting(LeaderLease { until: lease.until.max(until), ..lease })
            }
            _ => Self::Settling(LeaderLease::granted(answer.token, asked_at, now, length_ms)),
        };
    }

    /// Lets time pass: a lease that settled is acted on, one that was not renewed is none.
    pub fn advance(&mut self, now: BoxTime) {
        *self = match *self {
            Self::Settling(lease) if !lease.is_valid(now) => Self::Other,
            Self::Acting(lease) if !lease.is_valid(now) => Self::Other,
            Self::Settling(lease) if now >= lease.phase.acts_at => Self::Acting(lease.settle()),
            part => part,
        };
    }

    /// The lease, if the box may act on it now.
    pub fn acting(&self, now: BoxTime) -> Option<&LeaderLease<Acting>> {
        match self {
            Self::Acting(lease) if now < lease.acts_until() => Some(lease),
            _ => None,
        }
    }

    /// Whether the box was dealt the lease.
    pub fn has_lease(&self) -> bool {
        !matches!(self, Self::Other)
    }
}

/// Bits of a token for the count within one era of the store.
pub const TOKEN_ERA_SHIFT: u32 = 32;

/// The token of a lease that the store dealt in an era, with the count that it gives.
pub fn token(era: u64, count: u64) -> u64 {
    (era << TOKEN_ERA_SHIFT) | (count & ((1 << TOKEN_ERA_SHIFT) - 1))
}

fn same_era(one: u64, other: u64) -> bool {
    one >> TOKEN_ERA_SHIFT == other >> TOKEN_ERA_SHIFT
}
