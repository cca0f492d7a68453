//! Reads the verdicts in the store, and writes this box's verdicts that are due.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use ravenspoke_adapter::records::{read_verdict, write_verdict, VERDICT_TOPIC};
use ravenspoke_adapter::store::{AppendOutcome, KeyedRecord, StoreClient};
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::trial::{TrialState, TrialVerdict};
use ravenspoke_core::time::BoxTime;
use tokio::sync::mpsc::UnboundedReceiver;

use super::checkpoints::CheckpointReader;
use super::driver::GatewayDriver;
use super::observe;
use super::order_reader::OrderReader;
use super::topic_follower::TopicFollower;

/// Interval between reads of verdicts while a trial is running, in milliseconds.
pub const VERDICT_INTERVAL_MS: u64 = 2_000;

/// Interval at which a box checks whether verdicts must be read, in milliseconds.
pub const VERDICT_POLL_MS: u64 = 50;

/// Maximum number of attempts to append a record while the topic grows.
pub const APPEND_ATTEMPTS: usize = 4;

/// Reads verdicts while a trial is running.
pub async fn follow_verdicts(driver: Arc<GatewayDriver>, store: StoreClient) {
    let mut checkpoints = CheckpointReader::new(driver.clone(), store.clone());
    let mut follower = TopicFollower::new(driver.clone(), store, VERDICT_TOPIC, |_, _| true);
    let mut next = None;
    let mut read_at = driver.now();
    loop {
        let unread = driver.state().has_unread_verdicts();
        if unread {
            // The store may hold a verdict from before this box started, so all of them are read.
            next = None;
        }
        // Store readers send later verdicts to the other boxes.
        let reads = driver.state().has_running_trial() && driver.state().is_reader(driver.now());
        if unread
            || (reads
                && driver.clock().since(read_at) >= Duration::from_millis(VERDICT_INTERVAL_MS))
        {
            read_at = driver.now();
            match follower.read(&mut next, 0).await {
                Some(update) => drop(apply_verdicts(&driver, update.asked_at, &update.records)),
                None => follower.wait_to_retry().await,
            }
        }
        // Only a verdict shows whether the trial was running before this box started.
        checkpoints.read_if_due().await;
        tokio::time::sleep(Duration::from_millis(VERDICT_POLL_MS)).await;
    }
}

fn apply_verdicts(
    driver: &GatewayDriver,
    asked_at: BoxTime,
    records: &[KeyedRecord],
) -> Vec<TrialVerdict> {
    let mut verdicts = Vec::new();
    for record in records {
        let Some(value) = &record.value else { continue };
        match read_verdict(&record.key, value) {
            Ok(verdict) => verdicts.extend(verdict),
            Err(error) => observe::log_bad_record(&error),
        }
    }
    driver.feed(RouteEvent::VerdictsRead { asked_at, verdicts: verdicts.clone() });
    verdicts
}

/// Writes verdicts that are due, each only if the store has none that supersedes it.
pub async fn write_verdicts(
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    mut due: UnboundedReceiver<TrialVerdict>,
) {
    let mut follower =
        TopicFollower::new(driver.clone(), store.clone(), VERDICT_TOPIC, |_, _| true);
    let orders = OrderReader::new(driver.clone(), store);
    while let Some(verdict) = due.recv().await {
        let (key, value) = write_verdict(&verdict);
        let record = KeyedRecord::new(key, Some(value));
        let (verdict, orders) = (&verdict, &orders);
        let appended = append_unless(&mut follower, &record, |asked_at, stored| {
            let stored = apply_verdicts(&driver, asked_at, stored);
            let is_superseded = stored.iter().any(|other| supersedes(other, verdict));
            let is_doubtful = stored.iter().any(|other| is_of_other_order(other, verdict));
            async move { is_superseded || is_doubtful && !orders.is_current(verdict).await }
        });
        if appended.await {
            driver.feed(RouteEvent::VerdictStored(verdict.clone()));
        }
    }
}

/// Appends a record, unless the topic has one that supersedes it. Returns whether the store
/// accepted it. The result is false if that is unknown, because the reducer requests the write
/// again if the store does not show the record.
pub(super) async fn append_unless<F: Future<Output = bool>>(
    follower: &mut TopicFollower,
    record: &KeyedRecord,
    is_superseded_by: impl Fn(BoxTime, &[KeyedRecord]) -> F,
) -> bool {
    for _ in 0..APPEND_ATTEMPTS {
        let Some(listed) = follower.list().await else { return false };
        let listing = listed.value;
        if is_superseded_by(listed.asked_at, &listing.records).await {
            return false;
        }
        match follower.append(Some(listing.end), record).await {
            Some(AppendOutcome::Taken) => return true,
            Some(AppendOutcome::Moved(_)) => {}
            None => return false,
        }
    }
    false
}

/// Whether a stored verdict makes the write unnecessary.
fn supersedes(stored: &TrialVerdict, new: &TrialVerdict) -> bool {
    let same = stored.service == new.service && stored.version == new.version;
    same && (stored.state != TrialState::Running || new.state == TrialState::Running)
}

/// Whether a stored verdict is of an earlier or later order for the same service.
fn is_of_other_order(stored: &TrialVerdict, new: &TrialVerdict) -> bool {
    stored.service == new.service && stored.version != new.version
}
