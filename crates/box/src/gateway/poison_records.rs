//! Reads and writes the records about poison in the store, so that what crashes replicas is known
//! after a restart of all boxes.

use std::future::ready;
use std::sync::Arc;

use ravenspoke_adapter::records::{read_poison, write_poison, POISON_TOPIC};
use ravenspoke_adapter::store::{KeyedRecord, StoreClient};
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::poison::{PoisonRecord, PoisonState};
use ravenspoke_core::route::RouteState;
use tokio::sync::mpsc::UnboundedReceiver;

use super::driver::GatewayDriver;
use super::observe;
use super::topic_follower::TopicFollower;
use super::verdicts::append_unless;

/// Reads the records when that is due.
pub async fn follow_poison(driver: Arc<GatewayDriver>, store: StoreClient) {
    let due = RouteState::must_read_poison;
    let mut follower = TopicFollower::new(driver.clone(), store, POISON_TOPIC, due);
    loop {
        follower.wait_until_due().await;
        match follower.list().await {
            Some(listed) => drop(apply_poison(&driver, &listed.value.records)),
            None => follower.wait_to_retry().await,
        }
    }
}

/// Writes records that are due, each only if the store does not say the same.
pub async fn write_records(
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    mut due: UnboundedReceiver<PoisonRecord>,
) {
    let mut follower = TopicFollower::new(driver.clone(), store, POISON_TOPIC, |_, _| true);
    while let Some(record) = due.recv().await {
        let (key, value) = write_poison(&record);
        let keyed = KeyedRecord::new(key, value);
        let appended = append_unless(&mut follower, &keyed, |_, stored| {
            let stored = apply_poison(&driver, stored);
            let known = stored.iter().find(|other| other.feature == record.feature);
            ready(known.map_or(PoisonState::Dropped, |known| known.state) == record.state)
        });
        if appended.await {
            driver.feed(RouteEvent::PoisonStored(record));
        }
    }
}

fn apply_poison(driver: &GatewayDriver, stored: &[KeyedRecord]) -> Vec<PoisonRecord> {
    let mut records = Vec::new();
    for record in stored {
        let Some(value) = &record.value else { continue };
        match read_poison(&record.key, value) {
            Ok(record) => records.push(record),
            Err(error) => observe::log_bad_record(&error),
        }
    }
    driver.feed(RouteEvent::PoisonRead(records.clone()));
    records
}
