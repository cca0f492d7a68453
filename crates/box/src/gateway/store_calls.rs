//! Calls to the platform's store that overlap: one that is late is not given up; others begin beside it, and the first
//! answer counts.
//!
//! Load pattern: a store that takes a second or more for each call. A call that is given up and begun anew would never be
//! answered there, and one that only begins when the last has ended shows what is twice as old as a call takes. A store
//! that has gone silent looks the same until an answer comes, so a late call counts as a failed one meanwhile.

use std::future::Future;
use std::time::{Duration, Instant};

use futures_util::future::{select_all, BoxFuture, FutureExt};
use ravenspoke_adapter::store::{CallActivity, StoreError, CALL_MS};
use ravenspoke_core::time::BoxTime;

/// Calls of one follower that are open at the same time, at most: what a store that takes four seconds needs, which is
/// as old as anything may be that is relied on.
pub const OPEN_LIMIT: usize = 4;

/// A call that was answered.
#[derive(Debug)]
pub(super) struct AnsweredCall<T> {
    /// When it began: what it shows is no older.
    pub(super) asked_at: BoxTime,
    /// How long the store was to wait for a record, in milliseconds.
    pub(super) wait_ms: u64,
    /// Its answer.
    pub(super) value: T,
}

/// A call that is open.
struct OpenCall<T> {
    asked_at: BoxTime,
    wait_ms: u64,
    began: Instant,
    pulse: CallActivity,
    answer: BoxFuture<'static, Result<T, StoreError>>,
}

/// What came next of the open calls.
pub(super) enum CallStep<T> {
    /// One was answered; those begun before it are dropped, since they show nothing that is newer.
    Answered(AnsweredCall<T>),
    /// One failed, which took so long.
    Failed(StoreError, Duration),
    /// Nothing, in the time that was given.
    Nothing,
}

/// The open calls of a follower, the last one begun at the end.
pub(super) struct OpenCalls<T> {
    open: Vec<OpenCall<T>>,
    /// Whether it was told that the last one is late.
    told_late: bool,
}

impl<T> Default for OpenCalls<T> {
    fn default() -> Self {
        Self { open: Vec::new(), told_late: false }
    }
}

impl<T: Send + 'static> OpenCalls<T> {
    /// Adds a call that begins now, to be watched by `pulse`.
    pub(super) fn begin(
        &mut self,
        asked_at: BoxTime,
        wait_ms: u64,
        pulse: CallActivity,
        answer: impl Future<Output = Result<T, StoreError>> + Send + 'static,
    ) {
        let (began, answer) = (Instant::now(), answer.boxed());
        self.open.push(OpenCall { asked_at, wait_ms, began, pulse, answer });
        self.told_late = false;
    }

    /// Whether none is open.
    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether another may begin: none is open, or the last one is late and few are.
    pub(super) fn has_room(&self) -> bool {
        self.open.len() < OPEN_LIMIT && self.open.last().is_none_or(OpenCall::is_late)
    }

    /// How long the last one has been open, if it is late and this was not told yet.
    pub(super) fn newly_late(&mut self) -> Option<Duration> {
        let last = self.open.last().filter(|call| !self.told_late && call.is_late())?;
        self.told_late = true;
        Some(last.began.elapsed())
    }

    /// Until the last one is late.
    pub(super) fn until_late(&self) -> Duration {
        self.open.last().map_or(Duration::ZERO, OpenCall::until_late)
    }

    /// What comes next, within `limit`.
    pub(super) async fn next(&mut self, limit: Duration) -> CallStep<T> {
        if self.open.is_empty() {
            tokio::time::sleep(limit).await;
            return CallStep::Nothing;
        }
        let answers = select_all(self.open.iter_mut().map(|call| &mut call.answer));
        let Ok((answer, index, _)) = tokio::time::timeout(limit, answers).await else {
            return CallStep::Nothing;
        };
        let OpenCall { asked_at, wait_ms, began, .. } = self.open.remove(index);
        match answer {
            Ok(value) => {
                self.open.retain(|call| call.asked_at > asked_at);
                CallStep::Answered(AnsweredCall { asked_at, wait_ms, value })
            }
            Err(error) => CallStep::Failed(error, began.elapsed()),
        }
    }
}

impl<T> OpenCall<T> {
    /// Until its answer has brought nothing for longer than the store usually needs.
    fn until_late(&self) -> Duration {
        Duration::from_millis(self.wait_ms + CALL_MS).saturating_sub(self.pulse.quiet())
    }

    fn is_late(&self) -> bool {
        self.until_late().is_zero()
    }
}
