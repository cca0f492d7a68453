//! Reads the platform's store, and writes verdicts and this box's own record to it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ravenspoke_adapter::records::{
    read_backend, read_operator, read_verdict, write_verdict, OperatorRecord, BACKEND_TOPIC,
    BOX_TOPIC, OPERATOR_TOPIC, VERDICT_TOPIC,
};
use ravenspoke_adapter::store::{AppendOutcome, KeyedRecord, StoreClient, StoreError};
use ravenspoke_core::route::backend::BackendChange;
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::trial::{TrialState, TrialVerdict};
use ravenspoke_core::time::BoxTime;
use tokio::sync::mpsc::UnboundedReceiver;

use super::driver::GatewayDriver;
use super::observe;

/// A read of the operator's topic waits this long for a record, in milliseconds: the price of a call
/// against the age of what is known.
pub const OPERATOR_WAIT_MS: u64 = 2_000;

/// Replicas' entries are read this often, in milliseconds: a leaving one must be known everywhere
/// within two seconds of the store's word.
pub const BACKEND_EVERY_MS: u64 = 900;

/// Verdicts are read this often, in milliseconds, while a trial is under way.
pub const VERDICT_EVERY_MS: u64 = 2_000;

/// Other boxes' records are read this often, in milliseconds; notes are quicker, this mends what they
/// can't.
pub const BOX_EVERY_MS: u64 = 10_000;

/// A failed call is tried again after this, in milliseconds.
pub const RETRY_MS: u64 = 250;

/// Times that a verdict is tried when the topic grows meanwhile.
pub const VERDICT_TRIES: usize = 4;

/// Reads the store for one topic, and knows whether it can be reached.
struct TopicFollower {
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    topic: &'static str,
    lost_at: Option<Instant>,
}

impl TopicFollower {
    fn new(driver: Arc<GatewayDriver>, store: StoreClient, topic: &'static str) -> Self {
        Self { driver, store, topic, lost_at: None }
    }

    /// Notes how a call went, and gives what it read.
    fn check<T>(&mut self, result: Result<T, StoreError>) -> Option<T> {
        match result {
            Ok(found) => {
                if let Some(at) = self.lost_at.take() {
                    observe::note_store_regained(self.topic, at.elapsed());
                }
                Some(found)
            }
            Err(error) => {
                if self.lost_at.is_none() {
                    observe::note_store_lost(self.topic, &error);
                }
                self.lost_at.get_or_insert_with(Instant::now);
                self.driver.feed(RouteEvent::StoreFailed);
                None
            }
        }
    }

    /// Records from `next` on, or all of them without it; `None` if the call failed.
    async fn read(&mut self, next: &mut Option<u64>, wait_ms: u64) -> Option<TopicNews> {
        metrics::counter!("ravenspoke_store_calls_total", "topic" => self.topic).increment(1);
        if let Some(from) = *next {
            match self.store.read(self.topic, from, wait_ms).await {
                Err(StoreError::Gone) => *next = None,
                result => {
                    let read = self.check(result)?;
                    // A topic that ends before what was read has lost its history.
                    *next = (read.end >= from).then_some(read.next);
                    if next.is_some() {
                        return Some(TopicNews { whole: false, records: read.records });
                    }
                }
            }
        }
        let result = self.store.newest(self.topic).await;
        let listing = self.check(result)?;
        *next = Some(listing.end);
        Some(TopicNews { whole: true, records: listing.records })
    }
}

/// What a read showed.
struct TopicNews {
    /// Whether these are all keys of the topic.
    whole: bool,
    records: Vec<KeyedRecord>,
}

/// Follows the operator's plan and orders.
pub async fn follow_operator(driver: Arc<GatewayDriver>, store: StoreClient) {
    let mut follower = TopicFollower::new(driver.clone(), store, OPERATOR_TOPIC);
    let mut next = None;
    loop {
        let asked_at = driver.now();
        match follower.read(&mut next, OPERATOR_WAIT_MS).await {
            Some(news) => {
                let asked_at = shown_at(&driver, asked_at, &news);
                if !take_operator(&driver, asked_at, news.records) {
                    // What can't be decoded may be a newer plan: nothing is renewed, all is read anew.
                    next = None;
                    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                }
            }
            None => {
                let pause = tokio::time::sleep(Duration::from_millis(RETRY_MS));
                tokio::select! {
                    () = pause => {}
                    () = driver.read_plan.notified() => {}
                }
            }
        }
    }
}

/// As of when a read that began at `asked_at` shows the topic. One that found nothing was held for
/// the whole wait before it was answered; any other may have been answered at once.
fn shown_at(driver: &GatewayDriver, asked_at: BoxTime, news: &TopicNews) -> BoxTime {
    let held = driver.now().millis_since(asked_at) >= OPERATOR_WAIT_MS;
    if held && !news.whole && news.records.is_empty() {
        return asked_at.plus_millis(OPERATOR_WAIT_MS);
    }
    asked_at
}

/// Takes the operator's records. Returns false if one can't be decoded.
fn take_operator(driver: &GatewayDriver, asked_at: BoxTime, records: Vec<KeyedRecord>) -> bool {
    let mut orders = Vec::new();
    let mut plan = None;
    let mut sound = true;
    for record in records {
        let Some(value) = &record.value else { continue };
        match read_operator(&record.key, value) {
            Ok(OperatorRecord::Plan(newest)) => plan = Some(*newest),
            Ok(OperatorRecord::Order(order)) => orders.push(order),
            Ok(OperatorRecord::Other) => {}
            Err(error) => {
                observe::note_bad_record(&error);
                sound = false;
            }
        }
    }
    if sound || plan.is_some() {
        driver.feed(RouteEvent::PlanRead { asked_at, plan });
    }
    if !orders.is_empty() {
        driver.feed(RouteEvent::OrdersRead(orders));
    }
    sound
}

/// Follows the replicas' entries.
pub async fn follow_backends(driver: Arc<GatewayDriver>, store: StoreClient) {
    let mut follower = TopicFollower::new(driver.clone(), store, BACKEND_TOPIC);
    let mut next = None;
    loop {
        let pause = match follower.read(&mut next, 0).await {
            Some(news) => {
                take_backends(&driver, news);
                BACKEND_EVERY_MS
            }
            None => RETRY_MS,
        };
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

fn take_backends(driver: &GatewayDriver, news: TopicNews) {
    let mut changes = Vec::new();
    for record in news.records {
        let Some(value) = record.value else {
            changes.push(BackendChange::Gone(record.key));
            continue;
        };
        match read_backend(&record.key, &value) {
            Ok(entry) => changes.push(BackendChange::Put(entry)),
            Err(error) => observe::note_bad_record(&error),
        }
    }
    if !news.whole {
        driver.feed(RouteEvent::BackendsChanged(changes));
        return;
    }
    let entries = changes.into_iter().filter_map(|change| match change {
        BackendChange::Put(entry) => Some(entry),
        BackendChange::Gone(_) => None,
    });
    driver.feed(RouteEvent::BackendsListed(entries.collect()));
}

/// Reads verdicts while a trial is under way.
pub async fn follow_verdicts(driver: Arc<GatewayDriver>, store: StoreClient) {
    let mut follower = TopicFollower::new(driver.clone(), store, VERDICT_TOPIC);
    let mut next = None;
    loop {
        if driver.state().on_trial() {
            if let Some(news) = follower.read(&mut next, 0).await {
                take_verdicts(&driver, &news.records);
            }
        } else {
            // A trial may begin for which the store has a verdict already: read all of them then.
            next = None;
        }
        tokio::time::sleep(Duration::from_millis(VERDICT_EVERY_MS)).await;
    }
}

fn take_verdicts(driver: &GatewayDriver, records: &[KeyedRecord]) -> Vec<TrialVerdict> {
    let mut verdicts = Vec::new();
    for record in records {
        let Some(value) = &record.value else { continue };
        match read_verdict(&record.key, value) {
            Ok(verdict) => verdicts.extend(verdict),
            Err(error) => observe::note_bad_record(&error),
        }
    }
    driver.feed(RouteEvent::VerdictsRead(verdicts.clone()));
    verdicts
}

/// Writes verdicts that are due, each only if the store has none that goes before it.
pub async fn write_verdicts(
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    mut due: UnboundedReceiver<TrialVerdict>,
) {
    let mut follower = TopicFollower::new(driver.clone(), store.clone(), VERDICT_TOPIC);
    while let Some(verdict) = due.recv().await {
        for _ in 0..VERDICT_TRIES {
            let listed = store.newest(VERDICT_TOPIC).await;
            let Some(listing) = follower.check(listed) else { break };
            let standing = take_verdicts(&driver, &listing.records);
            if standing.iter().any(|other| goes_before(other, &verdict)) {
                break;
            }
            let (key, value) = write_verdict(&verdict);
            let record = KeyedRecord { key, value: Some(value) };
            let appended = store.append(VERDICT_TOPIC, Some(listing.end), &record).await;
            match follower.check(appended) {
                Some(AppendOutcome::Taken) => {
                    driver.feed(RouteEvent::VerdictsRead(vec![verdict]));
                    break;
                }
                Some(AppendOutcome::Moved(_)) => {}
                // In doubt: the reducer asks again if the store shows no verdict.
                None => break,
            }
        }
    }
}

/// Whether a verdict that stands leaves nothing to write.
fn goes_before(standing: &TrialVerdict, wanted: &TrialVerdict) -> bool {
    let same = standing.service == wanted.service && standing.version == wanted.version;
    same && (standing.state != TrialState::Running || wanted.state == TrialState::Running)
}

/// Tells the store where this box hears notes, and learns where others do.
pub async fn follow_boxes(
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    name: String,
    address: String,
) {
    let mut follower = TopicFollower::new(driver.clone(), store.clone(), BOX_TOPIC);
    let own = KeyedRecord { key: name, value: Some(address.into_bytes()) };
    let mut told = false;
    let mut next = None;
    loop {
        if !told {
            let appended = store.append(BOX_TOPIC, None, &own).await;
            told = follower.check(appended).is_some();
        }
        let news = if told { follower.read(&mut next, 0).await } else { None };
        let pause = if news.is_some() { BOX_EVERY_MS } else { RETRY_MS };
        let values = news.into_iter().flat_map(|news| news.records).filter_map(|row| row.value);
        let addresses: Vec<String> =
            values.map(|value| String::from_utf8_lossy(&value).into_owned()).collect();
        driver.feed(RouteEvent::PeersNamed(addresses));
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Takes this box's record out of the store, at the planned stop.
pub async fn forget_box(store: &StoreClient, name: &str) {
    let record = KeyedRecord { key: name.to_owned(), value: None };
    if let Err(error) = store.append(BOX_TOPIC, None, &record).await {
        observe::note_store_lost(BOX_TOPIC, &error);
    }
}
