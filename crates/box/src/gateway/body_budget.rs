//! Bounds the memory that bodies of requests take, all callers together.
//!
//! Each body draws on the budget from before it is read until its request has ended. Long bodies leave
//! a part of the budget to short ones, so that short requests are served while long ones fill the box.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Share of the process's memory for bodies, as a divisor. A body may stand in memory twice while it
/// is written to a replica.
const MEMORY_DIVISOR: usize = 3;

/// Length from which on a body is a long one, in bytes.
const LONG_BODY: usize = 256 << 10;

/// Part of the budget that long bodies leave free, as a divisor.
const SHORT_DIVISOR: usize = 4;

/// The budget has no room for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the bodies of other requests take the memory")]
pub struct BudgetExhausted;

/// Memory for the bodies of all requests, in bytes.
#[derive(Debug)]
pub struct BodyBudget {
    limit: usize,
    used: AtomicUsize,
}

impl BodyBudget {
    /// A budget for a process that may use `memory_bytes`; 0 for no limit.
    pub fn new(memory_bytes: usize) -> Self {
        let limit = match memory_bytes {
            0 => usize::MAX,
            bytes => bytes / MEMORY_DIVISOR,
        };
        Self { limit, used: AtomicUsize::new(0) }
    }

    /// Bytes that bodies take.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Takes `bytes` more for a body that will have `length` bytes, if there is room.
    fn take(&self, bytes: usize, length: usize) -> Result<(), BudgetExhausted> {
        let is_long = length >= LONG_BODY;
        let limit = if is_long { self.limit - self.limit / SHORT_DIVISOR } else { self.limit };
        let next = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let taken = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        taken.map(drop).map_err(|_| BudgetExhausted)
    }
}

/// What a body takes of the budget. It is given back when this is dropped.
#[derive(Debug)]
pub struct BodyShare {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyShare {
    /// A share of no bytes.
    pub fn new(budget: &Arc<BodyBudget>) -> Self {
        Self { budget: budget.clone(), bytes: 0 }
    }

    /// Makes room for a body of `length` bytes.
    ///
    /// # Errors
    /// Returns [`BudgetExhausted`] if there is none; the share stays as it was.
    pub fn grow_to(&mut self, length: usize) -> Result<(), BudgetExhausted> {
        let more = length.saturating_sub(self.bytes);
        self.budget.take(more, length)?;
        self.bytes += more;
        Ok(())
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
