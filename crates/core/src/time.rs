//! Time as the reducer sees it: a monotonic box clock and a wall clock, both handed in with events.
//!
//! The reducer never reads a clock. The box stamps every event, so the same events give the same
//! effects on a bench, in a golden file and in production.

use serde::Serialize;

/// A point on the box's monotonic clock, in microseconds since the box started; below zero before that.
///
/// Other boxes tell how long ago something was. What lies before this box's own start must keep its age:
/// rounded to the start, an old order or an old word on keys would be taken for a young one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct BoxTime(i64);

impl BoxTime {
    /// Builds a time from whole milliseconds since the box started.
    pub const fn from_millis(millis: u64) -> Self {
        Self::from_micros(millis.saturating_mul(1_000))
    }

    /// Builds a time from whole microseconds since the box started.
    pub const fn from_micros(micros: u64) -> Self {
        Self(if micros > i64::MAX as u64 { i64::MAX } else { micros as i64 })
    }

    /// Whole milliseconds since the box started; zero before.
    pub const fn as_millis(self) -> u64 {
        self.as_micros() / 1_000
    }

    /// Whole microseconds since the box started; zero before.
    pub const fn as_micros(self) -> u64 {
        if self.0 > 0 {
            self.0 as u64
        } else {
            0
        }
    }

    /// This time moved later by `millis` milliseconds.
    pub const fn plus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(Self::from_millis(millis).0))
    }

    /// This time moved earlier by `millis` milliseconds, also to before the box started.
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

/// Wall-clock time in milliseconds since the Unix epoch; used only to bound the age of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct WallTime(pub u64);
