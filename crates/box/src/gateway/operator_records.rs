//! The operator's records as this box knows them. Only few boxes read the store; the others receive
//! the records in sync responses.

use std::collections::BTreeMap;

use ravenspoke_adapter::records::{evacuation_zone, is_plan_key, read_operator, OperatorRecord};
use ravenspoke_adapter::store::KeyedRecord;
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::evacuation::{EvacuationRead, ZoneOrder};
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::peers::{GossipMessage, PlanPosition};
use ravenspoke_core::route::plan::RoutePlan;
use ravenspoke_core::time::BoxTime;

use super::driver::GatewayDriver;
use super::gossip_wire::records::PackedRecords;
use super::observe;

/// The newest record of each key.
#[derive(Debug, Default)]
pub struct OperatorRecords {
    newest: BTreeMap<String, KeyedRecord>,
    /// The newest plan, which a store restored from an older copy may have lost.
    plan: Option<PlanRecord>,
    /// The last packed records with their positions. They are cached because hundreds of boxes
    /// request the same ones.
    packed: (Vec<TopicPosition>, PackedRecords),
    /// Whether it was logged that the packed records don't fit into a datagram.
    oversize_logged: bool,
}

/// A record that holds a plan.
#[derive(Debug)]
struct PlanRecord {
    version: u64,
    record: KeyedRecord,
}

impl OperatorRecords {
    /// Merges records that were read or received, with the version of the plan among them.
    pub fn merge(&mut self, records: &[KeyedRecord], plan_version: Option<u64>) {
        for record in records {
            let known = self.newest.get(&record.key);
            if known.is_none_or(|known| known.at < record.at) {
                self.newest.insert(record.key.clone(), record.clone());
            }
        }
        let known = self.plan.as_ref().map_or(0, |plan| plan.version);
        let plan = records.iter().rfind(|record| is_plan_key(&record.key));
        if let Some((record, version)) = plan.cloned().zip(plan_version) {
            if version >= known {
                self.plan = Some(PlanRecord { version, record });
            }
        }
    }

    /// The packed records that a box at the position `known` lacks: a newer plan, and all other
    /// newest records from its position on.
    pub fn records_after(&mut self, known: PlanPosition) -> &PackedRecords {
        let plan = self.plan.as_ref().filter(|plan| plan.version > known.version);
        let plan = plan.map(|plan| &plan.record);
        let others = self.newest.values().filter(|record| !is_plan_key(&record.key));
        let others = others.filter(|record| record.at >= known.read_to);
        let missing: Vec<&KeyedRecord> = others.chain(plan).collect();
        let positions: Vec<TopicPosition> = missing.iter().map(|record| record.at).collect();
        if positions != self.packed.0 {
            let records: Vec<KeyedRecord> = missing.into_iter().cloned().collect();
            self.packed = (positions, PackedRecords::pack(&records));
            self.oversize_logged = false;
        }
        &self.packed.1
    }

    /// Logs, once, that the last packed records are too long for boxes that have read to `read_to`.
    pub fn log_oversized(&mut self, read_to: TopicPosition, limit: usize) {
        if !std::mem::replace(&mut self.oversize_logged, true) {
            observe::log_oversized_records(self.packed.1.as_bytes().len(), limit, read_to);
        }
    }
}

/// The evacuation orders among the operator's records.
pub fn zone_orders(records: &[KeyedRecord]) -> Vec<ZoneOrder> {
    let order = |record: &KeyedRecord| {
        let zone = evacuation_zone(&record.key)?.to_owned();
        Some(ZoneOrder { zone, evacuated: record.value.is_some() })
    };
    records.iter().filter_map(order).collect()
}

/// Applies the operator's records that this box read at `asked_at`: all records from `from` to
/// `read_to`, or all newest ones if `from` is `None`. Returns false if one can't be decoded.
pub fn apply_read(
    driver: &GatewayDriver,
    asked_at: BoxTime,
    from: Option<TopicPosition>,
    read_to: TopicPosition,
    records: &[KeyedRecord],
) -> bool {
    let orders = zone_orders(records);
    // Applied before the plan: a box that has the plan of an offset must know the evacuated zones
    // as of that offset.
    driver.feed(RouteEvent::EvacuationsRead(EvacuationRead { from, to: read_to, orders }));
    let Some(applied) = apply_records(driver, read_to, records) else { return false };
    driver.feed(RouteEvent::PlanRead { asked_at, read_to, plan: applied.plan });
    true
}

/// Result of applying the operator's records.
struct AppliedRecords {
    /// The plan, if there is one among the records.
    plan: Option<RoutePlan>,
}

/// Applies the operator's records up to a position. Returns `None` if one can't be decoded, because
/// it may be a newer plan; nothing is renewed then.
fn apply_records(
    driver: &GatewayDriver,
    read_to: TopicPosition,
    records: &[KeyedRecord],
) -> Option<AppliedRecords> {
    let mut orders = Vec::new();
    let mut plan = None;
    let mut decoded = true;
    for record in records {
        let Some(value) = &record.value else { continue };
        match read_operator(&record.key, value) {
            Ok(OperatorRecord::Plan(newest)) => plan = Some(*newest),
            Ok(OperatorRecord::Order(order)) => orders.push(order),
            Ok(OperatorRecord::Other) => {}
            Err(error) => {
                observe::log_bad_record(&error);
                decoded = false;
            }
        }
    }
    if !decoded {
        return None;
    }
    driver.operator().merge(records, plan.as_ref().map(|plan| plan.version));
    if !orders.is_empty() {
        driver.feed(RouteEvent::OrdersRead { read_to, orders });
    }
    Some(AppliedRecords { plan })
}

/// Applies records that another box sent in a sync response.
pub fn apply_received(driver: &GatewayDriver, message: &GossipMessage, records: &[KeyedRecord]) {
    let (as_of, known) = {
        let state = driver.state();
        (state.message_as_of(message, driver.now()), state.plan_position())
    };
    let Some(as_of) = as_of else { return };
    // The records begin at the position that this box sent in its request, so none is missing.
    let follows =
        message.in_reply_to.as_ref().is_some_and(|request| request.plan_position <= known);
    if follows && message.plan_position > known {
        // The records may lack the end of an order that the sender never had; its digest of
        // evacuated zones is complete.
        driver.feed(RouteEvent::EvacuationsReceived(message.evacuation.clone()));
        if let Some(applied) = apply_records(driver, message.plan_position.read_to, records) {
            driver.feed(RouteEvent::PlanReceived {
                as_of,
                known: message.plan_position,
                plan: applied.plan,
            });
        }
    }
}
