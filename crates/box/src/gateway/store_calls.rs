//! Overlapping calls to the platform's store: a late call is not cancelled, further calls begin
//! beside it, and the first answer counts.
//!
//! Load pattern: a store that takes a second or more for each call. A call that is cancelled and
//! retried would never be answered there, and a call that begins only after the previous one has
//! ended returns data that is twice as old as a call takes. A store that no longer answers looks
//! the same until an answer arrives, so a late call counts as a failed one meanwhile.

use std::future::Future;
use std::time::{Duration, Instant};

use futures_util::future::{select_all, BoxFuture, FutureExt};
use ravenspoke_adapter::store::{CallActivity, StoreError, CALL_MS};
use ravenspoke_core::time::BoxTime;

/// Maximum number of open calls of one follower. It suits a store that takes four seconds a call,
/// which is also the maximum age of data that may be relied on.
pub const OPEN_LIMIT: usize = 4;

/// A call that was answered.
#[derive(Debug)]
pub(super) struct AnsweredCall<T> {
    /// Start of the call; the answer is at least as recent.
    pub(super) asked_at: BoxTime,
    /// Long-poll wait that was requested, in milliseconds.
    pub(super) wait_ms: u64,
    /// The answer.
    pub(super) value: T,
}

/// A call that is open.
struct OpenCall<T> {
    asked_at: BoxTime,
    wait_ms: u64,
    began: Instant,
    activity: CallActivity,
    answer: BoxFuture<'static, Result<T, StoreError>>,
}

/// Next result of the open calls.
pub(super) enum CallStep<T> {
    /// A call was answered. Calls that began before it are dropped, because they can't show
    /// anything newer.
    Answered(AnsweredCall<T>),
    /// A call failed, after this time.
    Failed(StoreError, Duration),
    /// No result within the limit.
    Nothing,
}

/// The open calls of a follower, ordered by their start.
pub(super) struct OpenCalls<T> {
    open: Vec<OpenCall<T>>,
    /// Whether the lateness of the last call was reported.
    late_reported: bool,
}

impl<T> Default for OpenCalls<T> {
    fn default() -> Self {
        Self { open: Vec::new(), late_reported: false }
    }
}

impl<T: Send + 'static> OpenCalls<T> {
    /// Adds a call that begins now; `activity` shows its progress.
    pub(super) fn begin(
        &mut self,
        asked_at: BoxTime,
        wait_ms: u64,
        activity: CallActivity,
        answer: impl Future<Output = Result<T, StoreError>> + Send + 'static,
    ) {
        let (began, answer) = (Instant::now(), answer.boxed());
        self.open.push(OpenCall { asked_at, wait_ms, began, activity, answer });
        self.late_reported = false;
    }

    /// Whether no call is open.
    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether another call may begin: none is open, or the last one is late and the limit is not
    /// reached.
    pub(super) fn has_room(&self) -> bool {
        self.open.len() < OPEN_LIMIT && self.open.last().is_none_or(OpenCall::is_late)
    }

    /// Time since the start of the last call, if it is late and this was not reported yet.
    pub(super) fn newly_late(&mut self) -> Option<Duration> {
        let last = self.open.last().filter(|call| !self.late_reported && call.is_late())?;
        self.late_reported = true;
        Some(last.began.elapsed())
    }

    /// Time until the last call counts as late.
    pub(super) fn until_late(&self) -> Duration {
        self.open.last().map_or(Duration::ZERO, OpenCall::until_late)
    }

    /// The next result within `limit`.
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
    /// Time until the call counts as late: no bytes of its answer have arrived for longer than the
    /// store usually takes.
    fn until_late(&self) -> Duration {
        Duration::from_millis(self.wait_ms + CALL_MS).saturating_sub(self.activity.quiet())
    }

    fn is_late(&self) -> bool {
        self.until_late().is_zero()
    }
}
