//! Reads and writes the store's marks of trials under way: how far they have come outlives every box.

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

/// Reads marks when this box has heard of a trial that was under way before.
pub(super) struct MarkReader {
    driver: Arc<GatewayDriver>,
    follower: TopicFollower,
}

impl MarkReader {
    pub(super) fn new(driver: Arc<GatewayDriver>, store: StoreClient) -> Self {
        Self {
            follower: TopicFollower::new(driver.clone(), store, CHECKPOINT_TOPIC, |_, _| true),
            driver,
        }
    }

    /// Reads all marks, if any is unread.
    pub(super) async fn read_if_due(&mut self) {
        if !self.driver.state().has_unread_checkpoints() {
            return;
        }
        match self.follower.read(&mut None, 0).await {
            Some(news) => drop(take_marks(&self.driver, news.asked_at, &news.records)),
            None => self.follower.wait_to_retry().await,
        }
    }
}

/// Writes marks that are due, each only if the store knows of no more.
pub async fn write_marks(
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    mut due: UnboundedReceiver<TrialCheckpoint>,
) {
    let mut follower = TopicFollower::new(driver.clone(), store, CHECKPOINT_TOPIC, |_, _| true);
    while let Some(mark) = due.recv().await {
        let (key, value) = write_checkpoint(&mark);
        let record = KeyedRecord::new(key, Some(value));
        let taken = append_unless(&mut follower, &record, |asked_at, standing| {
            let standing = take_marks(&driver, asked_at, standing);
            standing.iter().any(|other| tells_more(other, &mark))
        });
        if taken.await {
            driver.feed(RouteEvent::CheckpointStored(mark));
        }
    }
}

fn take_marks(
    driver: &GatewayDriver,
    asked_at: BoxTime,
    records: &[KeyedRecord],
) -> Vec<TrialCheckpoint> {
    let mut marks = Vec::new();
    for record in records {
        let Some(value) = &record.value else { continue };
        match read_checkpoint(&record.key, value) {
            Ok(mark) => marks.push(mark),
            Err(error) => observe::note_bad_record(&error),
        }
    }
    driver.feed(RouteEvent::CheckpointsRead { asked_at, checkpoints: marks.clone() });
    marks
}

/// Whether a mark that stands leaves nothing to write.
fn tells_more(standing: &TrialCheckpoint, wanted: &TrialCheckpoint) -> bool {
    let same = standing.service == wanted.service && standing.version == wanted.version;
    let (phase, age) = (standing.progress.phase, standing.progress.age_ms);
    let later = phase > wanted.progress.phase;
    let equal = phase == wanted.progress.phase && age >= wanted.progress.age_ms;
    same && (later || equal) && !wanted.progress.names_earlier_carry(standing.progress)
}
