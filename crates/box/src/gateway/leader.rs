//! Requests the leader's lease from the store, and executes the leader's orders.

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

use super::control_stats::StoreCall;
use super::driver::GatewayDriver;
use super::observe;

/// Group of the boxes that request the lease.
const GROUP: &str = "leader";

/// Producer name under which the leader writes to [`LEADER_TOPIC`].
const PRODUCER: &str = "leader";

/// Number of lease requests in the length of a lease, so that two requests in a row may be lost.
pub const REQUESTS_PER_LEASE: u64 = 3;

/// Interval at which a box checks whether it should request the lease, in milliseconds.
pub const LEASE_POLL_MS: u64 = 100;

/// This box as a member of the group. Each incarnation of its process is a separate member.
fn member(name: &str, incarnation: u64, ttl_ms: u64) -> GroupMember {
    let name = format!("{name}-{incarnation:x}");
    GroupMember { group: GROUP, topic: LEADER_TOPIC, name, ttl_ms }
}

/// Requests the lease while this box may hold it, and releases it when it may not.
pub async fn follow_lease(driver: Arc<GatewayDriver>, store: StoreClient, name: String) {
    let incarnation = driver.state().incarnation();
    let mut joined = None;
    loop {
        if !driver.state().wants_lease(driver.now()) {
            if let Some(member) = joined.take() {
                leave(&driver, &store, &member).await;
            }
            tokio::time::sleep(Duration::from_millis(LEASE_POLL_MS)).await;
            continue;
        }
        let lease_ms = driver.state().lease_ms();
        let (member, generation) =
            joined.take().unwrap_or_else(|| (member(&name, incarnation, lease_ms), 0));
        let answered = request_lease(&driver, &store, &member, generation).await;
        joined = Some((member, answered.unwrap_or(generation)));
        tokio::time::sleep(Duration::from_millis(lease_ms / REQUESTS_PER_LEASE)).await;
    }
}

/// Requests the lease once. Returns the group's generation if an answer came.
async fn request_lease(
    driver: &GatewayDriver,
    store: &StoreClient,
    member: &GroupMember,
    generation: u64,
) -> Option<u64> {
    driver.stats.count_call(LEADER_TOPIC, StoreCall::Join);
    let asked_at = driver.now();
    let joined = timeout(Duration::from_millis(CALL_MS), store.join(member, generation)).await;
    match joined {
        Ok(Ok(GroupMembership { era, generation, has_first })) => {
            let answer = LeaseAnswer { token: token(era, generation), granted: has_first };
            driver.feed(RouteEvent::LeaseAnswered { asked_at, answer });
            Some(generation)
        }
        Ok(Err(error)) => {
            observe::log_lease_failed(&error);
            None
        }
        Err(_) => {
            observe::log_lease_failed(&"no answer within the call timeout");
            None
        }
    }
}

/// Leaves the group, so that another box gets the lease at once.
async fn leave(driver: &GatewayDriver, store: &StoreClient, (member, _): &(GroupMember, u64)) {
    driver.stats.count_call(LEADER_TOPIC, StoreCall::Join);
    let outcome = timeout(Duration::from_millis(CALL_MS), store.leave(member)).await;
    if let Ok(Err(error)) = outcome {
        observe::log_lease_failed(&error);
    }
}

/// Context of the leader's orders.
struct LeaderContext {
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    cloud: CloudClient,
}

/// Executes the leader's orders, each in its own task, so that an unanswered call does not delay
/// others.
pub async fn execute_orders(
    driver: Arc<GatewayDriver>,
    store: StoreClient,
    cloud: CloudClient,
    mut due: UnboundedReceiver<LeaderOrder>,
) {
    let context = Arc::new(LeaderContext { driver, store, cloud });
    while let Some(order) = due.recv().await {
        let context = context.clone();
        tokio::spawn(async move { context.execute(order).await });
    }
}

impl LeaderContext {
    /// Whether an order may still begin, that is, its lease has not expired.
    fn may_begin(&self, order: &LeaderOrder) -> bool {
        self.driver.now() < order.until
    }

    async fn execute(&self, order: LeaderOrder) {
        if !self.may_begin(&order) {
            return;
        }
        let result = match &order.step {
            LeaderStep::TakeOver => self.take_over(order.token).await,
            LeaderStep::WriteRecord(numbered) => self.write_record(order.token, numbered).await,
            LeaderStep::Call(call) => return self.call(&order, call).await,
        };
        if let Err(error) = result {
            observe::log_leader_step_failed("store", &error);
        }
    }

    /// Fences former leaders from writing, and reads the records that they wrote.
    async fn take_over(&self, token: u64) -> Result<(), StoreError> {
        self.driver.stats.count_call(LEADER_TOPIC, StoreCall::Append);
        let epoch = ProducerEpoch { producer: PRODUCER, epoch: token, sequence: 0 };
        let next = self.store.begin_epoch(LEADER_TOPIC, epoch).await?;
        self.driver.stats.count_call(LEADER_TOPIC, StoreCall::List);
        let listing = self.store.newest(LEADER_TOPIC).await?;
        let records = listing.records.iter().filter_map(decode_record).collect();
        self.driver.feed(RouteEvent::LeaderRecordsRead { token, next, records });
        Ok(())
    }

    /// Writes a record for the next leader.
    async fn write_record(&self, token: u64, numbered: &NumberedRecord) -> Result<(), StoreError> {
        self.driver.stats.count_call(LEADER_TOPIC, StoreCall::Append);
        let number = numbered.number;
        let epoch = ProducerEpoch { producer: PRODUCER, epoch: token, sequence: number };
        let (key, value) = write_leader(&numbered.record);
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
            observe::log_leader_step_failed("call", &error);
            CallOutcome::Unknown
        });
        observe::log_leader_call(call, order.token, outcome);
        self.driver.feed(RouteEvent::LeaderCallEnded(call.clone(), outcome));
    }
}

fn decode_record(record: &KeyedRecord) -> Option<LeaderRecord> {
    let value = record.value.as_ref()?;
    read_leader(&record.key, value).unwrap_or_else(|error| {
        observe::log_bad_record(&error);
        None
    })
}
