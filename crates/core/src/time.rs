//! Time as the reducer sees it: a monotonic box clock and a wall clock, both handed in with events.
//!
//! The reducer never reads a clock. The box stamps every event, so the same events give the same
//! effects on a bench, in a golden file and in production.

use serde::Serialize;

/// A point on the box's monotonic clock, in microseconds since the box started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct BoxTime(pub u64);

impl BoxTime {
    /// Builds a time from whole milliseconds since the box started.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Milliseconds since the box started, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// This time moved later by `millis` milliseconds.
    pub const fn plus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis * 1_000))
    }

    /// This time moved earlier by `millis` milliseconds; zero at the earliest.
    pub const fn minus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis * 1_000))
    }

    /// Milliseconds from `earlier` to this time; zero if `earlier` is later.
    pub const fn millis_since(self, earlier: BoxTime) -> u64 {
        self.0.saturating_sub(earlier.0) / 1_000
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; used only to bound the age of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct WallTime(pub u64);
