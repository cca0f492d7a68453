//! Time types of the reducer: a monotonic clock of the box and a wall clock.
//!
//! The reducer never reads a clock. Every event carries a time stamp, so the same events give the
//! same effects in benchmarks, in golden files and in production.

use serde::Serialize;

/// A point on the box's monotonic clock, in microseconds since the box started.
///
/// Times before the start are negative. Other boxes send ages, and what is older than this box's
/// own process must keep its age: rounded up to the start, an old order or old information on keys
/// would be taken for a recent one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct BoxTime(i64);

impl BoxTime {
    /// Creates a time from whole milliseconds since the box started.
    pub const fn from_millis(millis: u64) -> Self {
        Self::from_micros(millis.saturating_mul(1_000))
    }

    /// Creates a time from whole microseconds since the box started.
    pub const fn from_micros(micros: u64) -> Self {
        Self(if micros > i64::MAX as u64 { i64::MAX } else { micros as i64 })
    }

    /// Whole milliseconds since the box started; zero for earlier times.
    pub const fn as_millis(self) -> u64 {
        self.as_micros() / 1_000
    }

    /// Whole microseconds since the box started; zero for earlier times.
    pub const fn as_micros(self) -> u64 {
        if self.0 > 0 {
            self.0 as u64
        } else {
            0
        }
    }

    /// Returns this time plus `millis` milliseconds.
    pub const fn plus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(Self::from_millis(millis).0))
    }

    /// Returns this time minus `millis` milliseconds, which may lie before the start of the box.
    pub const fn minus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(Self::from_millis(millis).0))
    }

    /// Whole milliseconds from `earlier` to this time; zero if `earlier` is later.
    pub const fn millis_since(self, earlier: BoxTime) -> u64 {
        self.micros_since(earlier) / 1_000
    }

    /// Microseconds from `earlier` to this time; zero if `earlier` is later.
    pub const fn micros_since(self, earlier: BoxTime) -> u64 {
        let micros = self.0.saturating_sub(earlier.0);
        if micros > 0 {
            micros as u64
        } else {
            0
        }
    }
}

/// Wall-clock time in milliseconds since the Unix epoch. Used only to check the age of idempotency
/// keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct WallTime(pub u64);
