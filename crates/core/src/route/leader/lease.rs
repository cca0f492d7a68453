//! The leader's lease, which the platform's store grants.
//!
//! The store grants the lease to one of the boxes that keep asking for it, and to another one when
//! the leader has been silent for the length of the lease. It may also grant it to another box
//! unasked. So a box that is granted the lease waits for one length of it before it acts: until
//! then the former leader may still rely on it.

use serde::Serialize;

use crate::time::BoxTime;

/// The leader stops acting this long before its lease may be granted to another box, in
/// milliseconds: the time that a call may take on its way.
pub const LEASE_MARGIN_MS: u64 = 200;

/// The store's answer to a lease request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseAnswer {
    /// Fencing token. It rises with each grant and with the store's era.
    pub token: u64,
    /// Whether the box has the lease.
    pub granted: bool,
}

/// The phase of a lease in which its holder waits until no other box relies on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Settling {
    acts_at: BoxTime,
}

/// The phase of a lease in which its holder acts as the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Acting;

/// A lease in one of its phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LeaderLease<P> {
    token: u64,
    /// The store may grant it to another box from this time on.
    until: BoxTime,
    phase: P,
}

impl<P> LeaderLease<P> {
    /// The fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Whether the lease has not expired, so that the store cannot have granted it to another box
    /// because this one was silent.
    fn is_valid(&self, now: BoxTime) -> bool {
        now < self.until
    }
}

impl LeaderLease<Settling> {
    /// A lease that was granted in answer to a request sent at `asked_at`.
    fn granted(token: u64, asked_at: BoxTime, now: BoxTime, length_ms: u64) -> Self {
        let phase = Settling { acts_at: now.plus_millis(length_ms) };
        Self { token, until: asked_at.plus_millis(length_ms), phase }
    }

    fn settle(self) -> LeaderLease<Acting> {
        LeaderLease { token: self.token, until: self.until, phase: Acting }
    }
}

impl LeaderLease<Acting> {
    /// The time at which its holder stops acting.
    pub fn acts_until(&self) -> BoxTime {
        self.until.minus_millis(LEASE_MARGIN_MS)
    }
}

/// This box's part in the leadership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum LeaderPart {
    /// It has no lease.
    #[default]
    Other,
    /// It was granted the lease, and waits.
    Settling(LeaderLease<Settling>),
    /// It acts as the leader.
    Acting(LeaderLease<Acting>),
}

impl LeaderPart {
    /// Applies the store's answer to a request sent at `asked_at`. A lease that expired in the
    /// meantime starts again with the token of the answer, since another box may have had it.
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

    /// Moves on to a time: a lease that has settled becomes active, and one that was not renewed is
    /// lost.
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

    /// Whether the box was granted the lease.
    pub fn has_lease(&self) -> bool {
        !matches!(self, Self::Other)
    }
}

/// Number of token bits that hold the count within one era of the store.
pub const TOKEN_ERA_SHIFT: u32 = 32;

/// The token of the grant with this count in this era of the store.
pub fn token(era: u64, count: u64) -> u64 {
    (era << TOKEN_ERA_SHIFT) | (count & ((1 << TOKEN_ERA_SHIFT) - 1))
}

fn same_era(one: u64, other: u64) -> bool {
    one >> TOKEN_ERA_SHIFT == other >> TOKEN_ERA_SHIFT
}
