//! Reads the platform's store, and writes this box's own record to it. Verdicts are in
//! [`super::verdicts`].

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ravenspoke_adapter::records::{read_backend, BACKEND_TOPIC, BOX_TOPIC, OPERATOR_TOPIC};
use ravenspoke_adapter::store::{
    AppendOutcome, KeyedRecord, StoreClient, StoreError, TopicListing,
};
use ravenspoke_core::route::backend::BackendChange;
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::RouteState;
use ravenspoke_core::time::BoxTime;

use super::driver::GatewayDriver;
use super::observe::{self, StoreRole};
use super::tally::StoreCall;
use super::told::take_operator;

/// A reader's read waits this long for a record, in milliseconds: the price of a call against the age
/// of what is known. A store that drops its history may answer nothing for a second and then cut who
/// waits; a leaving replica must be known within two.
pub const READER_WAIT_MS: u64 = 1_000;

/// A reader of the entries pauses this long between two reads, in milliseconds: replicas come and go in
/// crowds, and each would cost a call.
pub const READER_PAUSE_MS: u64 = 350;

/// A box looks this often whether it must read itself, in milliseconds.
pub const TURN_LOOK_MS: u64 = 200;

/// While it starts and knows nothing, it looks this often, in milliseconds: callers wait.
pub const START_LOOK_MS: u64 = 20;

/// Other boxes' records are read this often, in milliseconds; notes are quicker, this mends what they
/// can't.
pub const BOX_EVERY_MS: u64 = 60_000;

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

/// Reads the store for one topic, and knows whether it can be reached.
pub(super) struct TopicFollower {
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    topic: &'static str,
    lost_at: Option<Instant>,
    /// Pause before the next try, while the store is lost, in milliseconds.
    retry_ms: u64,
}

impl TopicFollower {
    pub(super) fn new(driver: Arc<GatewayDriver>, store: StoreClient, topic: &'static str) -> Self {
        Self { driver, store, topic, lost_at: None, retry_ms: RETRY_MS }
    }

    /// Lists the newest record of each key; `None` if the call failed.
    pub(super) async fn list(&mut self) -> Option<TopicListing> {
        let began = Instant::now();
        let result = self.store.newest(self.topic).await;
        let pages = result.as_ref().map_or(1, |listing| listing.pages);
        for _ in 0..pages {
            self.driver.tally.count_call(self.topic, StoreCall::List);
        }
        self.check(began, result)
    }

    /// Appends a record; with `at`, only if the topic ends there. `None` if the call failed: the record may
    /// be there all the same.
    pub(super) async fn append(
        &mut self,
        at: Option<u64>,
        record: &KeyedRecord,
    ) -> Option<AppendOutcome> {
        self.driver.tally.count_call(self.topic, StoreCall::Append);
        let began = Instant::now();
        let result = self.store.append(self.topic, at, record).await;
        self.check(began, result)
    }

    /// What this box does about the store's loss.
    fn role(&self) -> StoreRole {
        let (state, now) = (self.driver.state(), self.driver.now());
        StoreRole { reads: state.is_reader(now), tries: !state.leaves_tries_to_others(now) }
    }

    /// Notes how a call went that began at `began`, and gives what it read.
    fn check<T>(&mut self, began: Instant, result: Result<T, StoreError>) -> Option<T> {
        match result {
            Ok(found) => {
                self.retry_ms = RETRY_MS;
                if let Some(at) = self.lost_at.take() {
                    observe::note_store_regained(self.topic, at.elapsed());
                    self.driver.feed(RouteEvent::StoreBack);
                }
                Some(found)
            }
            Err(error) => {
                observe::note_store_error();
                self.driver.feed(RouteEvent::StoreFailed);
                if self.lost_at.is_none() {
                    observe::note_store_lost(self.topic, &error, began.elapsed(), self.role());
                }
                self.lost_at.get_or_insert_with(Instant::now);
                None
            }
        }
    }

    /// Waits before the next try, longer each time: refused calls are priced too. A box that meanwhile becomes a
    /// reader, or hears that it is behind, waits no longer than such a box does.
    pub(super) async fn wait_to_retry(&mut self) {
        let (began, jitter) = (Instant::now(), rand::random::<f64>());
        let mut pause_ms = self.pause_ms();
        while began.elapsed() < Duration::from_millis(pause_ms).mul_f64(1.0 + jitter / 4.0) {
            tokio::time::sleep(Duration::from_millis(RETRY_LOOK_MS)).await;
            pause_ms = self.pause_ms();
        }
        self.retry_ms = pause_ms * 2;
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

    /// Records from `next` on, or all of them without it; `None` if the call failed.
    pub(super) async fn read(&mut self, next: &mut Option<u64>, wait_ms: u64) -> Option<TopicNews> {
        if let Some(from) = *next {
            self.driver.tally.count_call(self.topic, StoreCall::Read);
            let began = Instant::now();
            match self.store.read(self.topic, from, wait_ms).await {
                Err(StoreError::Gone) => *next = None,
                result => {
                    let read = self.check(began, result)?;
                    // A topic that ends before what was read has lost its history.
                    *next = (read.end >= from).then_some(read.next);
                    if next.is_some() {
                        return Some(TopicNews { whole_to: None, records: read.records });
                    }
                }
            }
        }
        let listing = self.list().await?;
        *next = Some(listing.end);
        Some(TopicNews { whole_to: Some(listing.end), records: listing.records })
    }
}

/// What a read showed.
pub(super) struct TopicNews {
    /// Where the topic ended, if these are all its keys.
    whole_to: Option<u64>,
    pub(super) records: Vec<KeyedRecord>,
}

/// Follows the operator's plan and orders.
pub async fn follow_operator(driver: Arc<GatewayDriver>, store: StoreClient) {
    let mut follower = TopicFollower::new(driver.clone(), store, OPERATOR_TOPIC);
    let mut next = None;
    let mut unread = false;
    loop {
        wait_for_turn(&driver, RouteState::must_read).await;
        // Other boxes may have told more than this one has read.
        let told = driver.state().read_to();
        next = if unread { None } else { next.max((told > 0).then_some(told)) };
        let asked_at = driver.now();
        // Who is no reader reads only what there is: it has heard of more, or nobody told it anything.
        let waits = driver.state().waits_for_plan(asked_at);
        let wait_ms = if waits { READER_WAIT_MS } else { 0 };
        match follower.read(&mut next, wait_ms).await {
            Some(news) => {
                let asked_at = shown_at(&driver, asked_at, wait_ms, &news);
                // What can't be decoded may be a newer plan: nothing is renewed, all is read anew.
                unread = !take_operator(&driver, asked_at, next.unwrap_or(0), &news.records);
                if unread {
                    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                }
            }
            None => follower.wait_to_retry().await,
        }
    }
}

/// Waits until this box has to read itself.
async fn wait_for_turn(driver: &GatewayDriver, due: fn(&RouteState, BoxTime) -> bool) {
    while !due(&driver.state(), driver.now()) {
        let starts = !driver.state().knows_site();
        let look_ms = if starts { START_LOOK_MS } else { TURN_LOOK_MS };
        tokio::time::sleep(Duration::from_millis(look_ms)).await;
    }
}

/// As of when a read that began at `asked_at` shows the topic. One that found nothing was held for
/// the whole wait before it was answered; any other may have been answered at once.
fn shown_at(driver: &GatewayDriver, asked_at: BoxTime, wait_ms: u64, news: &TopicNews) -> BoxTime {
    let held = driver.now().millis_since(asked_at) >= wait_ms;
    if held && news.whole_to.is_none() && news.records.is_empty() {
        return asked_at.plus_millis(wait_ms);
    }
    asked_at
}

/// Follows the replicas' entries.
pub async fn follow_backends(driver: Arc<GatewayDriver>, store: StoreClient) {
    let mut follower = TopicFollower::new(driver.clone(), store, BACKEND_TOPIC);
    let mut next = None;
    loop {
        wait_for_turn(&driver, RouteState::must_read_entries).await;
        let asked_at = driver.now();
        let reader = driver.state().is_reader(asked_at);
        // Other boxes may have told more than this one has read.
        next = next.max(driver.state().entries_to());
        let wait_ms = if reader { READER_WAIT_MS } else { 0 };
        let Some(news) = follower.read(&mut next, wait_ms).await else {
            follower.wait_to_retry().await;
            continue;
        };
        let as_of = shown_at(&driver, asked_at, wait_ms, &news);
        let empty = news.records.is_empty();
        take_backends(&driver, news);
        if let Some(to) = next {
            driver.feed(RouteEvent::EntriesRead { as_of, to });
        }
        if !empty {
            // What comes meanwhile is read in one call.
            tokio::time::sleep(Duration::from_millis(READER_PAUSE_MS)).await;
        }
    }
}

fn take_backends(driver: &GatewayDriver, news: TopicNews) {
    let mut changes = Vec::new();
    for record in news.records {
        let entry = match &record.value {
            Some(value) => match read_backend(&record.key, value) {
                Ok(entry) => Some(entry),
                Err(error) => {
                    observe::note_bad_record(&error);
                    continue;
                }
            },
            None => None,
        };
        changes.push(BackendChange { id: record.key, at: record.offset, entry });
    }
    driver.feed(match news.whole_to {
        Some(end) => RouteEvent::BackendsListed { end, listed: changes },
        None => RouteEvent::BackendsChanged(changes),
    });
}

/// Tells the store where this box hears notes, and learns where others do. Readers do, for boxes that start
/// and reach none of those they were told of; and boxes that hear nobody.
pub async fn follow_boxes(
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    name: String,
    address: String,
) {
    let mut follower = TopicFollower::new(driver.clone(), store, BOX_TOPIC);
    let own = KeyedRecord::new(name, Some(address.into_bytes()));
    let mut told = false;
    let mut next = None;
    loop {
        wait_for_turn(&driver, RouteState::wants_boxes).await;
        if !told {
            // Whether or not an answer comes, the record may be there.
            driver.listed.store(true, Ordering::Relaxed);
            told = follower.append(None, &own).await.is_some();
        }
        if !told {
            follower.wait_to_retry().await;
            continue;
        }
        let Some(news) = follower.read(&mut next, 0).await else {
            follower.wait_to_retry().await;
            continue;
        };
        let values = news.records.into_iter().filter_map(|row| row.value);
        let addresses: Vec<String> =
            values.map(|value| String::from_utf8_lossy(&value).into_owned()).collect();
        driver.feed(RouteEvent::PeersNamed(addresses));
        tokio::time::sleep(Duration::from_millis(BOX_EVERY_MS)).await;
    }
}

/// Takes this box's record out of the store, at the planned stop.
pub async fn forget_box(driver: Arc<GatewayDriver>, store: StoreClient, name: &str) {
    let record = KeyedRecord::new(name.to_owned(), None);
    // A call that fails is logged; a box that starts and asks here in vain asks another.
    let _ = TopicFollower::new(driver, store, BOX_TOPIC).append(None, &record).await;
}
