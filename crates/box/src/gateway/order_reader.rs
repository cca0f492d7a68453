//! Asks the store whether an order is still the operator's newest one for its service.

use std::sync::Arc;

use ravenspoke_adapter::records::{read_operator, OperatorRecord, OPERATOR_TOPIC};
use ravenspoke_adapter::store::{KeyedRecord, StoreClient};
use ravenspoke_core::route::trial::{TrialOrder, TrialVerdict};

use super::driver::GatewayDriver;
use super::observe;
use super::topic_follower::TopicFollower;

/// Reads the orders that were given since the last ones that this box knows.
pub(super) struct OrderReader {
    driver: Arc<GatewayDriver>,
    store: StoreClient,
}

impl OrderReader {
    pub(super) fn new(driver: Arc<GatewayDriver>, store: StoreClient) -> Self {
        Self { driver, store }
    }

    /// Whether no later order is known here or in the store for another version than the verdict's.
    /// Without an answer of the store that is unknown, and the result is false.
    pub(super) async fn is_current(&self, verdict: &TrialVerdict) -> bool {
        let known = self.driver.state().plan_position().read_to;
        let (driver, store) = (self.driver.clone(), self.store.clone());
        let mut follower = TopicFollower::new(driver, store, OPERATOR_TOPIC, |_, _| true);
        let Some(update) = follower.read(&mut Some(known), 0).await else { return false };
        let mut orders = update.records.iter().filter_map(read_order);
        let later = orders.rfind(|order| order.service == verdict.service);
        let version =
            later.map_or_else(|| self.known_version(verdict), |order| Some(order.version));
        let is_current = version.as_ref() == Some(&verdict.version);
        if !is_current {
            observe::log_verdict_withheld(verdict, version.as_deref());
        }
        is_current
    }

    /// Version of the last order that this box knows for the verdict's service.
    fn known_version(&self, verdict: &TrialVerdict) -> Option<String> {
        self.driver.state().version_on_trial(&verdict.service).map(str::to_owned)
    }
}

fn read_order(record: &KeyedRecord) -> Option<TrialOrder> {
    match read_operator(&record.key, record.value.as_deref()?) {
        Ok(OperatorRecord::Order(order)) => Some(order),
        _ => None,
    }
}
