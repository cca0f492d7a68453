//! Follows the topics of the platform's store, and writes this box's own record to it. Verdicts are
//! in [`super::verdicts`]; the calls are made by [`super::topic_follower`].

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use ravenspoke_adapter::records::{read_backend, BACKEND_TOPIC, BOX_TOPIC, OPERATOR_TOPIC};
use ravenspoke_adapter::store::{KeyedRecord, StoreClient, CALL_MS};
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::backend::BackendChange;
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::RouteState;
use ravenspoke_core::time::BoxTime;
use tokio::time::timeout;

use super::driver::GatewayDriver;
use super::observe;
use super::operator_records::apply_read;
use super::topic_follower::{TopicFollower, TopicUpdate, RETRY_MS};

/// Long-poll wait of a store reader, in milliseconds. It trades the cost of calls against the age
/// of the data. A store that drops its history may answer nothing for a second and then abort
/// waiting calls, and a leaving replica must be known within two seconds.
pub const READER_WAIT_MS: u64 = 1_000;

/// Pause of a store reader between two reads of replica entries, in milliseconds. Many replicas
/// start or stop at the same time, and without the pause each change would cost a call.
pub const READER_PAUSE_MS: u64 = 350;

/// Interval between reads of the list of boxes, in milliseconds. Gossip is faster; the list only
/// repairs what gossip misses.
pub const BOX_LIST_INTERVAL_MS: u64 = 60_000;

/// Follows the operator's plan and orders.
pub async fn follow_operator(driver: Arc<GatewayDriver>, store: StoreClient) {
    let mut follower =
        TopicFollower::new(driver.clone(), store, OPERATOR_TOPIC, RouteState::must_read_plan);
    let mut next = None;
    let mut undecoded = false;
    let mut discarded = None;
    loop {
        follower.wait_until_due().await;
        // The box may know later records by gossip than by its own reads.
        let known_to = driver.state().read_to();
        next = if undecoded {
            None
        } else {
            next.max((known_to > TopicPosition::default()).then_some(known_to))
        };
        // A box that does not read for others only fetches existing records, because gossip has
        // shown it to be behind or it has received nothing.
        let long_polls = driver.state().long_polls_plan(driver.now());
        let wait_ms = if long_polls { READER_WAIT_MS } else { 0 };
        let began_at = next;
        match follower.read(&mut next, wait_ms).await {
            // Later records arrived by gossip while the read was in flight.
            Some(_) if next.is_some_and(|next| next < driver.state().read_to()) => {
                let read_to = driver.state().read_to();
                if std::mem::replace(&mut discarded, next) == next {
                    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                } else {
                    observe::log_read_discarded(next.unwrap_or_default(), read_to);
                }
            }
            Some(update) => {
                let asked_at = current_as_of(&driver, &update);
                // A record that can't be decoded may be a newer plan, so nothing is renewed and
                // everything is read again.
                let from = began_at.filter(|_| update.listed_to.is_none());
                let to = next.unwrap_or_default();
                undecoded = !apply_read(&driver, asked_at, from, to, &update.records);
                // The read does not confirm the plan: a record can't be decoded, or the store has
                // lost a plan.
                if driver.state().plan_as_of() < Some(asked_at) {
                    follower.pause_before_reread().await;
                }
            }
            None => follower.wait_to_retry().await,
        }
    }
}

/// The time as of which a read shows the topic. A long poll that found nothing is current as of the
/// end of its wait, if it lasted that long; any other read may have been answered at once.
fn current_as_of(driver: &GatewayDriver, update: &TopicUpdate) -> BoxTime {
    let held = driver.now().millis_since(update.asked_at) >= update.wait_ms;
    if held && update.listed_to.is_none() && update.records.is_empty() {
        return update.asked_at.plus_millis(update.wait_ms);
    }
    update.asked_at
}

/// Follows the replicas' entries.
pub async fn follow_backends(driver: Arc<GatewayDriver>, store: StoreClient) {
    let mut follower =
        TopicFollower::new(driver.clone(), store, BACKEND_TOPIC, RouteState::must_read_entries);
    let mut next = None;
    loop {
        follower.wait_until_due().await;
        let is_reader = driver.state().is_reader(driver.now());
        // The box may know later records by gossip than by its own reads.
        next = next.max(driver.state().entries_to());
        let wait_ms = if is_reader { READER_WAIT_MS } else { 0 };
        let Some(update) = follower.read(&mut next, wait_ms).await else {
            follower.wait_to_retry().await;
            continue;
        };
        let as_of = current_as_of(&driver, &update);
        let empty = update.records.is_empty();
        apply_backends(&driver, update);
        if let Some(to) = next {
            driver.feed(RouteEvent::EntriesRead { as_of, to });
        }
        if !empty {
            // Changes that arrive during the pause are read in one call.
            tokio::time::sleep(Duration::from_millis(READER_PAUSE_MS)).await;
        }
    }
}

fn apply_backends(driver: &GatewayDriver, update: TopicUpdate) {
    let (mut changes, mut invalid) = (Vec::new(), Vec::new());
    for record in update.records {
        let entry = record.value.as_ref().map(|value| read_backend(&record.key, value)).transpose();
        let entry = entry.map_err(|error| observe::log_bad_record(&error));
        let change = |entry| BackendChange { id: record.key, at: record.at, entry };
        match entry {
            Ok(entry) => changes.push(change(entry)),
            // An invalid entry of another writer names no usable replica, and the entry that it
            // replaced is not used any longer.
            Err(()) => invalid.push(change(None)),
        }
    }
    driver.feed(match update.listed_to {
        Some(end) => RouteEvent::BackendsListed { end, listed: changes },
        None => RouteEvent::BackendsChanged(changes),
    });
    if !invalid.is_empty() {
        driver.feed(RouteEvent::BackendsInvalidated(invalid));
    }
}

/// Registers this box's gossip address in the store, and reads the addresses of other boxes. Store
/// readers do so for boxes that start and can't reach any box they know of, and boxes that receive
/// no gossip do so for themselves.
pub async fn follow_boxes(
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    name: String,
    address: String,
) {
    let mut follower =
        TopicFollower::new(driver.clone(), store, BOX_TOPIC, RouteState::must_read_box_list);
    let own = KeyedRecord::new(name, Some(address.into_bytes()));
    // Store era in which this box is registered.
    let mut registered_in = None;
    let mut next = None;
    loop {
        follower.wait_until_due().await;
        if registered_in != Some(follower.era()) {
            // The record may be in the store even if no answer arrives.
            driver.registered.store(true, Ordering::Relaxed);
            if follower.append(None, &own).await.is_none() {
                follower.wait_to_retry().await;
                continue;
            }
            registered_in = Some(follower.era());
        }
        let Some(update) = follower.read(&mut next, 0).await else {
            follower.wait_to_retry().await;
            continue;
        };
        let values = update.records.into_iter().filter_map(|row| row.value);
        let addresses: Vec<String> =
            values.map(|value| String::from_utf8_lossy(&value).into_owned()).collect();
        driver.feed(RouteEvent::PeersDiscovered(addresses));
        follower.wait_for_era(registered_in, Duration::from_millis(BOX_LIST_INTERVAL_MS)).await;
    }
}

/// Removes this box's record from the store at the planned stop.
pub async fn deregister_box(driver: Arc<GatewayDriver>, store: StoreClient, name: &str) {
    let record = KeyedRecord::new(name.to_owned(), None);
    let mut follower = TopicFollower::new(driver, store, BOX_TOPIC, |_, _| true);
    // A failed call is logged. A starting box that contacts this one in vain tries another. The
    // timeout keeps a late call from exceeding the grace period.
    let _ = timeout(Duration::from_millis(CALL_MS), follower.append(None, &record)).await;
}
