//! Reads and writes the checkpoints of running trials in the store, so that their progress survives
//! a restart of all boxes.

use std::future::ready;
use std::sync::Arc;

use ravenspoke_adapter::records::{read_checkpoint, write_checkpoint, CHECKPOINT_TOPIC};
use ravenspoke_adapter::store::{KeyedRecord, StoreClient};
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::trial_progress::TrialCheckpoint;
use ravenspoke_core::time::BoxTime;
use tokio::sync::mpsc::UnboundedReceiver;

use super::driver::GatewayDriver;
use super::observe;
use super::topic_follower::TopicFollower;
use super::verdicts::append_unless;

/// Reads checkpoints after this box has learned of a trial that was already running.
pub(super) struct CheckpointReader {
    driver: Arc<GatewayDriver>,
    follower: TopicFollower,
}

impl CheckpointReader {
    pub(super) fn new(driver: Arc<GatewayDriver>, store: StoreClient) -> Self {
        Self {
            follower: TopicFollower::new(driver.clone(), store, CHECKPOINT_TOPIC, |_, _| true),
            driver,
        }
    }

    /// Reads all checkpoints, if a trial needs one.
    pub(super) async fn read_if_due(&mut self) {
        if !self.driver.state().has_unread_checkpoints() {
            return;
        }
        match self.follower.read(&mut None, 0).await {
            Some(update) => drop(apply_checkpoints(&self.driver, update.asked_at, &update.records)),
            None => self.follower.wait_to_retry().await,
        }
    }
}

/// Writes checkpoints that are due, each only if the store has none with the same or more progress.
pub async fn write_checkpoints(
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    mut due: UnboundedReceiver<TrialCheckpoint>,
) {
    let mut follower = TopicFollower::new(driver.clone(), store, CHECKPOINT_TOPIC, |_, _| true);
    while let Some(checkpoint) = due.recv().await {
        let (key, value) = write_checkpoint(&checkpoint);
        let record = KeyedRecord::new(key, Some(value));
        let appended = append_unless(&mut follower, &record, |asked_at, stored| {
            let stored = apply_checkpoints(&driver, asked_at, stored);
            ready(stored.iter().any(|other| supersedes(other, &checkpoint)))
        });
        if appended.await {
            driver.feed(RouteEvent::CheckpointStored(checkpoint));
        }
    }
}

fn apply_checkpoints(
    driver: &GatewayDriver,
    asked_at: BoxTime,
    records: &[KeyedRecord],
) -> Vec<TrialCheckpoint> {
    let mut checkpoints = Vec::new();
    for record in records {
        let Some(value) = &record.value else { continue };
        match read_checkpoint(&record.key, value) {
            Ok(checkpoint) => checkpoints.push(checkpoint),
            Err(error) => observe::log_bad_record(&error),
        }
    }
    driver.feed(RouteEvent::CheckpointsRead { asked_at, checkpoints: checkpoints.clone() });
    checkpoints
}

/// Whether a stored checkpoint makes the write unnecessary.
fn supersedes(stored: &TrialCheckpoint, new: &TrialCheckpoint) -> bool {
    let same = stored.service == new.service && stored.version == new.version;
    let (phase, age) = (stored.progress.phase, stored.progress.age_ms);
    let later = phase > new.progress.phase;
    let equal = phase == new.progress.phase && age >= new.progress.age_ms;
    same && (later || equal) && !new.progress.names_earlier_carry(stored.progress)
}
