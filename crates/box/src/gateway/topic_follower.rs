//! Calls to the platform's store for one topic, with their failures and retries.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use ravenspoke_adapter::store::{
    AppendOutcome, KeyedRecord, StoreClient, StoreError, TopicListing, TopicRead, CALL_MS,
};
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::RouteState;
use ravenspoke_core::time::BoxTime;

use super::control_stats::StoreCall;
use super::driver::GatewayDriver;
use super::observe::{self, StoreRole};
use super::store_calls::{AnsweredCall, CallStep, OpenCalls};

/// Interval at which a box checks whether it must read the store itself, in milliseconds.
pub const DUE_POLL_MS: u64 = 200;

/// Interval of the same check while the box starts and is not synced, in milliseconds. Callers wait
/// meanwhile.
pub const START_POLL_MS: u64 = 20;

/// Initial pause after a failed call, in milliseconds. It doubles with each further failure.
pub const RETRY_MS: u64 = 250;

/// Longest retry pause of a store reader, in milliseconds. All boxes must know of a leaving replica
/// two seconds after the store confirmed the change.
pub const RETRY_READER_LIMIT_MS: u64 = 500;

/// Shortest retry pause of the other boxes, in milliseconds. If many boxes lose the store at the
/// same time, the store readers detect that it is reachable again.
pub const RETRY_OTHERS_MS: u64 = 1_000;

/// Longest retry pause of the other boxes, in milliseconds. All boxes but one may be unable to
/// reach the store, and the fleet must serve within some seconds of its return.
pub const RETRY_LIMIT_MS: u64 = 4_000;

/// Interval at which a box that waits for a retry checks whether it must retry sooner, in
/// milliseconds.
pub const RETRY_POLL_MS: u64 = 50;

/// Retry pause of a box that is behind because other boxes could not send it what they have read,
/// in milliseconds. A confirmed plan must be in force within two or three seconds.
pub const RETRY_BEHIND_MS: u64 = 500;

/// Interval at which a box checks whether the store's era has changed, in milliseconds. A new era
/// begins when the store is restored from a copy; the box then writes its own records again.
pub const ERA_POLL_MS: u64 = 1_000;

/// Whether a box with this state must call the store for a topic now.
type DueCheck = fn(&RouteState, BoxTime) -> bool;

/// Reads the store for one topic, and tracks whether it can be reached.
pub(super) struct TopicFollower {
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    topic: &'static str,
    /// Whether a call is due: a first one, or another one while an earlier call is late.
    due: DueCheck,
    /// Open reads, each with the position from which it reads.
    reads: OpenCalls<(TopicPosition, TopicRead)>,
    /// When the store was lost, if it is unreachable.
    lost_at: Option<BoxTime>,
    /// When a call last failed or was found late.
    failed_at: BoxTime,
    /// Jitter of the pause after that failure, between 0 and 1.
    jitter: f64,
    /// Pause before the next retry while the store is lost, in milliseconds.
    retry_ms: u64,
    /// The store's era in the last answer; 0 before the first one.
    era: u64,
}

impl TopicFollower {
    pub(super) fn new(
        driver: Arc<GatewayDriver>,
        store: StoreClient,
        topic: &'static str,
        due: DueCheck,
    ) -> Self {
        Self {
            driver,
            store,
            topic,
            due,
            reads: OpenCalls::default(),
            lost_at: None,
            failed_at: BoxTime::default(),
            jitter: 0.0,
            retry_ms: RETRY_MS,
            era: 0,
        }
    }

    /// The store's era according to its answers.
    pub(super) fn era(&self) -> u64 {
        self.store.era().known()
    }

    /// Waits until the store's era differs from `known`, at most for `limit`.
    pub(super) async fn wait_for_era(&mut self, known: Option<u64>, limit: Duration) {
        let until = self.driver.now().plus_millis(limit.as_millis() as u64);
        while known == Some(self.era()) && self.driver.now() < until {
            tokio::time::sleep(Duration::from_millis(ERA_POLL_MS)).await;
        }
    }

    /// Waits until calls are due. After a longer wait, open reads are dropped: nothing polled them,
    /// and their outcome does not show the present state of the store.
    pub(super) async fn wait_until_due(&mut self) {
        let began = self.driver.now();
        while !(self.due)(&self.driver.state(), self.driver.now()) {
            let is_starting = !self.driver.state().is_synced();
            let poll_ms = if is_starting { START_POLL_MS } else { DUE_POLL_MS };
            tokio::time::sleep(Duration::from_millis(poll_ms)).await;
        }
        if self.driver.clock().since(began) > Duration::from_millis(CALL_MS) {
            self.reads = OpenCalls::default();
        }
    }

    /// Lists the newest record of each key. Returns `None` if the call failed.
    pub(super) async fn list(&mut self) -> Option<AnsweredCall<TopicListing>> {
        let topic = self.topic;
        let mut calls = OpenCalls::default();
        let call = |store: StoreClient, _| async move { store.newest(topic).await };
        let answered = self.answer(&mut calls, StoreCall::List, 0, call).await.ok()?;
        for _ in 1..answered.value.pages {
            self.driver.stats.count_call(topic, StoreCall::List);
        }
        Some(answered)
    }

    /// Appends a record; with `at`, only if the topic ends there. Returns `None` if the call
    /// failed, in which case the record may have been written.
    pub(super) async fn append(
        &mut self,
        at: Option<TopicPosition>,
        record: &KeyedRecord,
    ) -> Option<AppendOutcome> {
        let topic = self.topic;
        let mut calls = OpenCalls::default();
        let call = |store: StoreClient, _| {
            let record = record.clone();
            async move { store.append(topic, at, &record).await }
        };
        let answered = self.answer(&mut calls, StoreCall::Append, 0, call).await;
        Some(answered.ok()?.value)
    }

    /// Reads records from `next` on, or all of them if it is `None`. Returns `None` if the call
    /// failed.
    pub(super) async fn read(
        &mut self,
        next: &mut Option<TopicPosition>,
        wait_ms: u64,
    ) -> Option<TopicUpdate> {
        // The store may have lost records that were read in an earlier era.
        *next = next.filter(|next| next.era >= self.era());
        if let Some(from) = *next {
            match self.read_to_end(from, wait_ms).await {
                Err(StoreError::Gone) => *next = None,
                result => {
                    let AnsweredCall { asked_at, wait_ms, value: (from, read) } = result.ok()?;
                    // A topic that ends before the position of the read has lost its history.
                    *next = (read.end >= from).then_some(read.next.max(next.unwrap_or_default()));
                    if next.is_some() {
                        let records = read.records;
                        return Some(TopicUpdate { asked_at, wait_ms, listed_to: None, records });
                    }
                }
            }
        }
        self.reads = OpenCalls::default();
        let AnsweredCall { asked_at, wait_ms, value } = self.list().await?;
        *next = Some(value.end);
        let listed_to = Some(value.end);
        Some(TopicUpdate { asked_at, wait_ms, listed_to, records: value.records })
    }

    /// Reads from `from` on up to the end that the store names in its first answer. An answer may stop
    /// short of it, and shows the topic as of no time that is known.
    async fn read_to_end(
        &mut self,
        from: TopicPosition,
        wait_ms: u64,
    ) -> Result<AnsweredCall<(TopicPosition, TopicRead)>, StoreError> {
        let mut answered = self.read_from(from, wait_ms).await?;
        let (_, whole) = &mut answered.value;
        let end = whole.end;
        while whole.next < end {
            let (_, part) = self.read_from(whole.next, 0).await?.value;
            if !whole.extend(part) {
                self.wait_to_retry().await;
            }
        }
        Ok(answered)
    }

    /// Begins reads from `from` on as they are due. Returns the next answer of any open read, which
    /// may have begun at an earlier position.
    async fn read_from(
        &mut self,
        from: TopicPosition,
        wait_ms: u64,
    ) -> Result<AnsweredCall<(TopicPosition, TopicRead)>, StoreError> {
        let topic = self.topic;
        let mut reads = std::mem::take(&mut self.reads);
        let call = |store: StoreClient, wait_ms| async move {
            Ok((from, store.read(topic, from, wait_ms).await?))
        };
        let answer = self.answer(&mut reads, StoreCall::Read, wait_ms, call).await;
        self.reads = reads;
        answer
    }

    /// Calls the store until a call is answered or all open calls have failed.
    async fn answer<T, F>(
        &mut self,
        calls: &mut OpenCalls<T>,
        kind: StoreCall,
        wait_ms: u64,
        call: impl Fn(StoreClient, u64) -> F,
    ) -> Result<AnsweredCall<T>, StoreError>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, StoreError>> + Send + 'static,
    {
        loop {
            if calls.is_empty() || (calls.has_room() && self.may_try_again()) {
                // Only a first call is a long poll. One that begins while another is late returns
                // at once.
                let wait_ms = if calls.is_empty() { wait_ms } else { 0 };
                self.driver.stats.count_call(self.topic, kind);
                let (store, activity) = self.store.watched();
                calls.begin(self.driver.now(), wait_ms, activity, call(store, wait_ms));
            }
            let poll_limit = calls.until_late().max(Duration::from_millis(RETRY_POLL_MS));
            match calls.next(poll_limit).await {
                CallStep::Answered(answer) => {
                    self.record_answer();
                    return Ok(answer);
                }
                CallStep::Failed(StoreError::Gone, _) => return Err(StoreError::Gone),
                CallStep::Failed(error, after) => {
                    self.record_failure(&error, after);
                    if calls.is_empty() {
                        return Err(error);
                    }
                }
                CallStep::Nothing => {
                    if let Some(after) = calls.newly_late() {
                        self.record_failure(&"no answer yet", after);
                    }
                }
            }
        }
    }

    /// Whether another call may begin beside a late one.
    fn may_try_again(&mut self) -> bool {
        let pause_ms = self.pause_ms();
        let is_due =
            self.pause_elapsed(pause_ms) && (self.due)(&self.driver.state(), self.driver.now());
        if is_due {
            self.retry_ms = pause_ms * 2;
        }
        is_due
    }

    /// Whether a pause of this length with jitter has passed since the last failure.
    fn pause_elapsed(&self, pause_ms: u64) -> bool {
        let pause = Duration::from_millis(pause_ms).mul_f64(1.0 + self.jitter / 4.0);
        self.driver.clock().since(self.failed_at) >= pause
    }

    /// Records an answer of the store.
    fn record_answer(&mut self) {
        self.retry_ms = RETRY_MS;
        self.record_era();
        if let Some(at) = self.lost_at.take() {
            observe::log_store_regained(self.topic, self.driver.clock().since(at));
            self.driver.feed(RouteEvent::StoreRecovered);
        }
    }

    /// Records the era that the store names.
    fn record_era(&mut self) {
        if let Some(value) = self.store.era().take_invalid() {
            observe::log_invalid_era(&value);
        }
        let era = self.era();
        if std::mem::replace(&mut self.era, era) != era {
            self.driver.feed(RouteEvent::EraObserved(era));
        }
    }

    /// Records a call that failed or is late, `after` its start.
    fn record_failure(&mut self, why: &dyn std::fmt::Display, after: Duration) {
        observe::count_store_error();
        (self.failed_at, self.jitter) = (self.driver.now(), rand::random());
        self.driver.feed(RouteEvent::StoreFailed);
        if self.lost_at.is_none() {
            observe::log_store_lost(self.topic, why, after, self.role());
        }
        self.lost_at.get_or_insert(self.failed_at);
    }

    /// Role of this box while the store is lost.
    fn role(&self) -> StoreRole {
        let (state, now) = (self.driver.state(), self.driver.now());
        StoreRole { reads: state.is_reader(now), tries: (self.due)(&state, now) }
    }

    /// Waits before the next retry. The pause doubles each time, because refused calls cost money
    /// too. If the box becomes a store reader or falls behind while it waits, the shorter pause of
    /// that role applies.
    pub(super) async fn wait_to_retry(&mut self) {
        let mut pause_ms = self.pause_ms();
        while !self.pause_elapsed(pause_ms) {
            tokio::time::sleep(Duration::from_millis(RETRY_POLL_MS)).await;
            pause_ms = self.pause_ms();
        }
        self.retry_ms = pause_ms * 2;
    }

    /// Waits for the shortest retry pause before repeating a read that did not confirm the plan.
    pub(super) async fn pause_before_reread(&mut self) {
        let (min_ms, _) = self.retry_bounds();
        tokio::time::sleep(Duration::from_millis(min_ms)).await;
    }

    /// Pause before the next retry in the box's present role, in milliseconds.
    fn pause_ms(&self) -> u64 {
        let (min_ms, max_ms) = self.retry_bounds();
        self.retry_ms.clamp(min_ms, max_ms)
    }

    /// Shortest and longest pause before the next retry, in milliseconds.
    fn retry_bounds(&self) -> (u64, u64) {
        let (state, now) = (self.driver.state(), self.driver.now());
        if state.is_reader(now) {
            (RETRY_MS, RETRY_READER_LIMIT_MS)
        } else if state.is_behind(now) {
            (RETRY_BEHIND_MS, RETRY_BEHIND_MS)
        } else {
            (RETRY_OTHERS_MS, RETRY_LIMIT_MS)
        }
    }
}

/// Result of a read.
pub(super) struct TopicUpdate {
    /// Start of the read.
    pub(super) asked_at: BoxTime,
    /// Long-poll wait that was requested, in milliseconds.
    pub(super) wait_ms: u64,
    /// End of the topic, if the records are a listing of all its keys.
    pub(super) listed_to: Option<TopicPosition>,
    pub(super) records: Vec<KeyedRecord>,
}
