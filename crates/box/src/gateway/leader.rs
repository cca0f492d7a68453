//! Asks the store for the lease of what one box does for all, and carries the holder's steps out.

use std::sync::Arc;
use std::time::Duration;

use ravenspoke_adapter::cloud::CloudClient;
use ravenspoke_adapter::records::{read_leader, write_leader, LEADER_TOPIC};
use ravenspoke_adapter::store::{
    GroupMember, GroupMembership, KeyedRecord, ProducerEpoch, StoreClient, StoreError, CALL_MS,
};
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::leader::lease::{token, LeaseAnswer};
use ravenspoke_core::route::leader::{
    CallOutcome, LeaderCall, LeaderOrder, LeaderRecord, LeaderStep, NumberedRecord,
};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use super::driver::GatewayDriver;
use super::observe;
use super::tally::StoreCall;

/// Group of the boxes that ask for the lease.
const GROUP: &str = "leader";

/// Name of the holder as a writer of [`LEADER_TOPIC`].
const PRODUCER: &str = "leader";

/// A box asks for the lease this many times in its length: two asks in a row may be lost.
pub const ASKS_IN_LEASE: u64 = 3;

/// A box looks this often whether it asks for the lease, in milliseconds.
pub const LEASE_LOOK_MS: u64 = 100;

/// This box as one of those that ask for the lease. Each life of its process is another.
fn member(name: &str, incarnation: u64, ttl_ms: u64) -> GroupMember {
    let name = format!("{name}-{incarnation:x}");
    GroupMember { group: GROUP, topic: LEADER_TOPIC, name, ttl_ms }
}

/// Asks for the lease while this box may have it, and gives it back when it may not.
pub async fn follow_lease(driver: Arc<GatewayDriver>, store: StoreClient, name: String) {
    let incarnation = driver.state().incarnation();
    let mut joined = None;
    loop {
        if !driver.state().wants_lease(driver.now()) {
            if let Some(member) = joined.take() {
                leave(&driver, &store, &member).await;
            }
            tokio::time::sleep(Duration::from_millis(LEASE_LOOK_MS)).await;
            continue;
        }
        let lease_ms = driver.state().lease_ms();
        let (member, generation) =
            joined.take().unwrap_or_else(|| (member(&name, incarnation, lease_ms), 0));
        let heard = ask_for_lease(&driver, &store, &member, generation).await;
        joined = Some((member, heard.unwrap_or(generation)));
        tokio::time::sleep(Duration::from_millis(lease_ms / ASKS_IN_LEASE)).await;
    }
}

/// Asks once. Gives the generation that was heard, if an answer came.
async fn ask_for_lease(
    driver: &GatewayDriver,
    store: &StoreClient,
    member: &GroupMember,
    generation: u64,
) -> Option<u64> {
    driver.tally.count_call(LEADER_TOPIC, StoreCall::Join);
    let asked_at = driver.now();
    let answer = timeout(Duration::from_millis(CALL_MS), store.join(member, generation)).await;
    match answer {
        Ok(Ok(GroupMembership { era, generation, has_first })) => {
            let answer = LeaseAnswer { token: token(era, generation), granted: has_first };
            driver.feed(RouteEvent::LeaseAnswered { asked_at, answer });
            Some(generation)
        }
        Ok(Err(error)) => {
            observe::note_lease_unanswered(&error);
            None
        }
        Err(_) => {
            observe::note_lease_unanswered(&"no answer in time");
            None
        }
    }
}

/// Leaves the group, so that another box gets the lease at once.
async fn leave(driver: &GatewayDriver, store: &StoreClient, (member, _): &(GroupMember, u64)) {
    driver.tally.count_call(LEADER_TOPIC, StoreCall::Join);
    let left = timeout(Duration::from_millis(CALL_MS), store.leave(member)).await;
    if let Ok(Err(error)) = left {
        observe::note_lease_unanswered(&error);
    }
}

/// The holder's tools.
struct LeaderTools {
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    cloud: CloudClient,
}

/// Carries the holder's steps out, each on its own: a call that is not answered must not hold up others.
pub async fn carry_out_steps(
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    cloud: CloudClient,
    mut due: UnboundedReceiver<LeaderOrder>,
) {
    let tools = Arc::new(LeaderTools { driver, store, cloud });
    while let Some(order) = due.recv().await {
        let tools = tools.clone();
        tokio::spawn(async move { tools.carry_out(order).await });
    }
}

impl LeaderTools {
    /// Whether an order may still be begun: its lease stands.
    fn may_begin(&self, order: &LeaderOrder) -> bool {
        self.driver.now() < order.until
    }

    async fn carry_out(&self, order: LeaderOrder) {
        if !self.may_begin(&order) {
            return;
        }
        let done = match &order.step {
            LeaderStep::TakeOver => self.take_over(order.token).await,
            LeaderStep::WriteRecord(kept) => self.keep(order.token, kept).await,
            LeaderStep::Call(call) => return self.call(&order, call).await,
        };
        if let Err(error) = done {
            observe::note_lead_failed("store", &error);
        }
    }

    /// Bars former holders from writing, and reads what they left.
    async fn take_over(&self, token: u64) -> Result<(), StoreError> {
        self.driver.tally.count_call(LEADER_TOPIC, StoreCall::Append);
        let epoch = ProducerEpoch { producer: PRODUCER, epoch: token, sequence: 0 };
        let next = self.store.begin_epoch(LEADER_TOPIC, epoch).await?;
        self.driver.tally.count_call(LEADER_TOPIC, StoreCall::List);
        let listing = self.store.newest(LEADER_TOPIC).await?;
        let left = listing.records.iter().filter_map(read_left).collect();
        self.driver.feed(RouteEvent::LeaderRecordsRead { token, next, left });
        Ok(())
    }

    /// Writes a record for the next holder.
    async fn keep(&self, token: u64, kept: &NumberedRecord) -> Result<(), StoreError> {
        self.driver.tally.count_call(LEADER_TOPIC, StoreCall::Append);
        let number = kept.number;
        let epoch = ProducerEpoch { producer: PRODUCER, epoch: token, sequence: number };
        let (key, value) = write_leader(&kept.record);
        let record = KeyedRecord::new(key, Some(value));
        match self.store.append_in_epoch(LEADER_TOPIC, epoch, Some(&record)).await {
            Ok(()) => self.driver.feed(RouteEvent::RecordStored { token, number }),
            Err(error @ StoreError::OutOfSequence { .. }) => {
                self.driver.feed(RouteEvent::RecordConflict { token });
                return Err(error);
            }
            Err(error) => return Err(error),
        }
        Ok(())
    }

    async fn call(&self, order: &LeaderOrder, call: &LeaderCall) {
        let outcome = self.cloud.call(call, order.token).await.unwrap_or_else(|error| {
            observe::note_lead_failed("call", &error);
            CallOutcome::Unknown
        });
        observe::note_lead_called(call, order.token, outcome);
        self.driver.feed(RouteEvent::LeaderCallEnded(call.clone(), outcome));
    }
}

fn read_left(record: &KeyedRecord) -> Option<LeaderRecord> {
    let value = record.value.as_ref()?;
    read_leader(&record.key, value).unwrap_or_else(|error| {
        observe::note_bad_record(&error);
        None
    })
}
