//! Calls to the platform's store for one topic, their failures, and the pauses between two tries.

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

use super::driver::GatewayDriver;
use super::observe::{self, StoreRole};
use super::store_calls::{AnsweredCall, CallStep, OpenCalls};
use super::tally::StoreCall;

/// A box looks this often whether it must read itself, in milliseconds.
pub const TURN_LOOK_MS: u64 = 200;

/// While it starts and knows nothing, it looks this often, in milliseconds: callers wait.
pub const START_LOOK_MS: u64 = 20;

/// A failed call is tried again after this, in milliseconds; twice as long each further time.
pub const RETRY_MS: u64 = 250;

/// Longest pause between two tries of a reader, in milliseconds: all must know of a leaving replica
/// two seconds after the store's word.
pub const RETRY_READER_LIMIT_MS: u64 = 500;

/// Shortest pause between two tries of the other boxes, in milliseconds: where many lost the store at once,
/// readers find out when it is back.
pub const RETRY_OTHERS_MS: u64 = 1_000;

/// Longest pause between two tries of the other boxes, in milliseconds.
pub const RETRY_LIMIT_MS: u64 = 8_000;

/// A box that waits for its next try looks this often whether it must try sooner, in milliseconds.
pub const RETRY_LOOK_MS: u64 = 50;

/// Pause between two tries of a box that others could not tell what they have read, in milliseconds: a confirmed plan
/// must be in force within two or three seconds.
pub const RETRY_BEHIND_MS: u64 = 500;

/// A box looks this often whether the store has come back from a copy, in milliseconds, to write again what it wrote.
pub const ERA_LOOK_MS: u64 = 1_000;

/// Whether a box with this state has to call the store for a topic now.
type TurnCheck = fn(&RouteState, BoxTime) -> bool;

/// Reads the store for one topic, and knows whether it can be reached.
pub(super) struct TopicFollower {
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    topic: &'static str,
    /// Whether calls are due, the first ones and those beside a late one.
    due: TurnCheck,
    /// Reads that are open, each with the position that it began at.
    reads: OpenCalls<(TopicPosition, TopicRead)>,
    /// When the store was lost, if it is.
    lost_at: Option<BoxTime>,
    /// When a call last failed or was found late, with chance for the pause after it.
    failed_at: BoxTime,
    jitter: f64,
    /// Pause before the next try, while the store is lost, in milliseconds.
    retry_ms: u64,
    /// The store's era in the last answer, 0 before the first.
    era: u64,
}

impl TopicFollower {
    pub(super) fn new(
        driver: Arc<GatewayDriver>,
        store: StoreClient,
        topic: &'static str,
        due: TurnCheck,
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

    /// The store's era, as its answers have named it.
    pub(super) fn era(&self) -> u64 {
        self.store.era().known()
    }

    /// Waits until the store is of another era than `known`, or for `limit`.
    pub(super) async fn wait_for_era(&mut self, known: Option<u64>, limit: Duration) {
        let until = self.driver.now().plus_millis(limit.as_millis() as u64);
        while known == Some(self.era()) && self.driver.now() < until {
            tokio::time::sleep(Duration::from_millis(ERA_LOOK_MS)).await;
        }
    }

    /// Waits until calls are due. Reads that were left open are dropped after a longer wait: nobody listened, and how
    /// they ended says nothing of the store as it is now.
    pub(super) async fn wait_for_turn(&mut self) {
        let began = self.driver.now();
        while !(self.due)(&self.driver.state(), self.driver.now()) {
            let starts = !self.driver.state().is_synced();
            let look_ms = if starts { START_LOOK_MS } else { TURN_LOOK_MS };
            tokio::time::sleep(Duration::from_millis(look_ms)).await;
        }
        if self.driver.clock().since(began) > Duration::from_millis(CALL_MS) {
            self.reads = OpenCalls::default();
        }
    }

    /// Lists the newest record of each key; `None` if the call failed.
    pub(super) async fn list(&mut self) -> Option<AnsweredCall<TopicListing>> {
        let topic = self.topic;
        let mut calls = OpenCalls::default();
        let call = |store: StoreClient, _| async move { store.newest(topic).await };
        let answered = self.answer(&mut calls, StoreCall::List, 0, call).await.ok()?;
        for _ in 1..answered.value.pages {
            self.driver.tally.count_call(topic, StoreCall::List);
        }
        Some(answered)
    }

    /// Appends a record; with `at`, only if the topic ends there. `None` if the call failed: the record may
    /// be there all the same.
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

    /// Records from `next` on, or all of them without it; `None` if the call failed.
    pub(super) async fn read(
        &mut self,
        next: &mut Option<TopicPosition>,
        wait_ms: u64,
    ) -> Option<TopicNews> {
        // What was read in a former era, the store may have lost.
        *next = next.filter(|next| next.era >= self.era());
        if let Some(from) = *next {
            match self.read_from(from, wait_ms).await {
                Err(StoreError::Gone) => *next = None,
                result => {
                    let AnsweredCall { asked_at, wait_ms, value: (from, read) } = result.ok()?;
                    // A topic that ends before what was read has lost its history.
                    *next = (read.end >= from).then_some(read.next.max(next.unwrap_or_default()));
                    if next.is_some() {
                        let records = read.records;
                        return Some(TopicNews { asked_at, wait_ms, whole_to: None, records });
                    }
                }
            }
        }
        self.reads = OpenCalls::default();
        let AnsweredCall { asked_at, wait_ms, value } = self.list().await?;
        *next = Some(value.end);
        let whole_to = Some(value.end);
        Some(TopicNews { asked_at, wait_ms, whole_to, records: value.records })
    }

    /// The next answer of the reads that are open and those that begin now, from `from` on.
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

    /// Calls the store until an answer comes or no call is left open.
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
                // Beside a call that is late there is no time to wait for a record.
                let wait_ms = if calls.is_empty() { wait_ms } else { 0 };
                self.driver.tally.count_call(self.topic, kind);
                let (store, pulse) = self.store.watched();
                calls.begin(self.driver.now(), wait_ms, pulse, call(store, wait_ms));
            }
            let look = calls.until_late().max(Duration::from_millis(RETRY_LOOK_MS));
            match calls.next(look).await {
                CallStep::Answered(answer) => {
                    self.note_answered();
                    return Ok(answer);
                }
                CallStep::Failed(StoreError::Gone, _) => return Err(StoreError::Gone),
                CallStep::Failed(error, after) => {
                    self.note_failed(&error, after);
                    if calls.is_empty() {
                        return Err(error);
                    }
                }
                CallStep::Nothing => {
                    if let Some(after) = calls.newly_late() {
                        self.note_failed(&"no answer yet", after);
                    }
                }
            }
        }
    }

    /// Whether another call may begin beside one that is late.
    fn may_try_again(&mut self) -> bool {
        let pause_ms = self.pause_ms();
        let tries =
            self.pause_is_over(pause_ms) && (self.due)(&self.driver.state(), self.driver.now());
        if tries {
            self.retry_ms = pause_ms * 2;
        }
        tries
    }

    /// Whether a pause of so long, and a part of it by chance, has passed since the last failure.
    fn pause_is_over(&self, pause_ms: u64) -> bool {
        let pause = Duration::from_millis(pause_ms).mul_f64(1.0 + self.jitter / 4.0);
        self.driver.clock().since(self.failed_at) >= pause
    }

    /// Notes that the store answers.
    fn note_answered(&mut self) {
        self.retry_ms = RETRY_MS;
        self.note_era();
        if let Some(at) = self.lost_at.take() {
            observe::note_store_regained(self.topic, self.driver.clock().since(at));
            self.driver.feed(RouteEvent::StoreRecovered);
        }
    }

    /// Notes the era that the store names.
    fn note_era(&mut self) {
        if let Some(value) = self.store.era().take_invalid() {
            observe::note_era_unread(&value);
        }
        let era = self.era();
        if std::mem::replace(&mut self.era, era) != era {
            self.driver.feed(RouteEvent::EraObserved(era));
        }
    }

    /// Notes a call that failed, or is late, `after` it began.
    fn note_failed(&mut self, why: &dyn std::fmt::Display, after: Duration) {
        observe::note_store_error();
        (self.failed_at, self.jitter) = (self.driver.now(), rand::random());
        self.driver.feed(RouteEvent::StoreFailed);
        if self.lost_at.is_none() {
            observe::note_store_lost(self.topic, why, after, self.role());
        }
        self.lost_at.get_or_insert(self.failed_at);
    }

    /// What this box does about the store's loss.
    fn role(&self) -> StoreRole {
        let (state, now) = (self.driver.state(), self.driver.now());
        StoreRole { reads: state.is_reader(now), tries: (self.due)(&state, now) }
    }

    /// Waits before the next try, longer each time: refused calls are priced too. A box that meanwhile becomes a
    /// reader, or hears that it is behind, waits no longer than such a box does.
    pub(super) async fn wait_to_retry(&mut self) {
        let mut pause_ms = self.pause_ms();
        while !self.pause_is_over(pause_ms) {
            tokio::time::sleep(Duration::from_millis(RETRY_LOOK_MS)).await;
            pause_ms = self.pause_ms();
        }
        self.retry_ms = pause_ms * 2;
    }

    /// Waits as after a failed call that was the first.
    pub(super) async fn pause_unrenewed(&mut self) {
        let (least_ms, _) = self.retry_span();
        tokio::time::sleep(Duration::from_millis(least_ms)).await;
    }

    /// Pause before the next try as things stand, in milliseconds.
    fn pause_ms(&self) -> u64 {
        let (least, most) = self.retry_span();
        self.retry_ms.clamp(least, most)
    }

    /// The shortest and the longest pause before the next try, in milliseconds.
    fn retry_span(&self) -> (u64, u64) {
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

/// What a read showed.
pub(super) struct TopicNews {
    /// When it began.
    pub(super) asked_at: BoxTime,
    /// How long the store was to wait for a record, in milliseconds.
    pub(super) wait_ms: u64,
    /// Where the topic ended, if these are all its keys.
    pub(super) whole_to: Option<TopicPosition>,
    pub(super) records: Vec<KeyedRecord>,
}
