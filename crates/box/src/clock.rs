//! The box's clock: the time since its start, including time for which the box was suspended.
//!
//! A box's state ages and its requests' deadlines pass while it is suspended, but the system's
//! monotonic clock, which drives timers, does not count that time. All ages are therefore taken
//! from this clock, and waits poll it.

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::errno::Errno;
use nix::time::{clock_gettime, ClockId};
use ravenspoke_core::time::BoxTime;

/// Interval at which a wait polls the clock, in milliseconds. A timer that was set before a
/// suspension fires late by the length of the suspension.
pub const POLL_INTERVAL_MS: u64 = 250;

/// Least difference between the two clocks that counts as a suspension, in milliseconds. Smaller
/// differences arise because the clocks are not read at the same moment.
pub const SUSPENSION_THRESHOLD_MS: u64 = 100;

/// The clock that includes suspensions cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("the clock that counts suspensions can't be read: {0}")]
pub struct ClockError(#[from] Errno);

/// The box's clock; it never goes backwards.
#[derive(Debug)]
pub struct BoxClock {
    started: Duration,
    /// The latest time that was returned, in microseconds.
    latest: AtomicU64,
    /// Time by which a test has advanced the clock, in microseconds.
    skipped: AtomicU64,
}

impl BoxClock {
    /// Starts the clock.
    ///
    /// # Errors
    /// Returns [`ClockError`] if the system has no such clock.
    pub fn start() -> Result<Self, ClockError> {
        let started = read(ClockId::CLOCK_BOOTTIME)?;
        Ok(Self { started, latest: AtomicU64::new(0), skipped: AtomicU64::new(0) })
    }

    /// The present time.
    pub fn now(&self) -> BoxTime {
        // The clock was readable at the start; if a later read fails, the latest time is returned.
        let since = read(ClockId::CLOCK_BOOTTIME).unwrap_or_default().saturating_sub(self.started);
        let micros = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
        let micros = micros.saturating_add(self.skipped.load(Ordering::Relaxed));
        let latest = self.latest.fetch_max(micros, Ordering::Relaxed);
        BoxTime::from_micros(micros.max(latest))
    }

    /// Time until `time`.
    pub fn until(&self, time: BoxTime) -> Duration {
        Duration::from_micros(time.micros_since(self.now()))
    }

    /// Time since `earlier`.
    pub fn since(&self, earlier: BoxTime) -> Duration {
        Duration::from_micros(self.now().micros_since(earlier))
    }

    /// Waits for `future` for at most `limit` by this clock; `None` if the limit passes first.
    pub async fn within<F: Future>(&self, limit: Duration, future: F) -> Option<F::Output> {
        let began = self.now();
        tokio::pin!(future);
        loop {
            let left = limit.saturating_sub(self.since(began));
            let wait = left.min(Duration::from_millis(POLL_INTERVAL_MS));
            if let Ok(output) = tokio::time::timeout(wait, future.as_mut()).await {
                return Some(output);
            }
            if left.is_zero() {
                return None;
            }
        }
    }

    /// Advances the clock, as a suspension does.
    pub fn skip(&self, length: Duration) {
        let micros = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        self.skipped.fetch_add(micros, Ordering::Relaxed);
    }
}

/// Detects suspensions of the box.
#[derive(Debug)]
pub struct SuspensionWatch {
    clock: BoxTime,
    monotonic: tokio::time::Instant,
}

impl SuspensionWatch {
    /// Starts watching.
    pub fn start(clock: &BoxClock) -> Self {
        Self { clock: clock.now(), monotonic: tokio::time::Instant::now() }
    }

    /// Returns for how long the box was suspended since the last call, if it was.
    pub fn check(&mut self, clock: &BoxClock) -> Option<Duration> {
        let next = Self::start(clock);
        let by_clock = Duration::from_micros(next.clock.micros_since(self.clock));
        let suspended = by_clock.saturating_sub(next.monotonic.duration_since(self.monotonic));
        *self = next;
        (suspended >= Duration::from_millis(SUSPENSION_THRESHOLD_MS)).then_some(suspended)
    }
}

fn read(id: ClockId) -> Result<Duration, Errno> {
    clock_gettime(id).map(Duration::from)
}
