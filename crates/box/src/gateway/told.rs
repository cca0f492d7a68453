//! The operator's records as this box knows them, told to boxes that ask: few boxes read the store.

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
use super::note_wire::records::PackedRecords;
use super::observe;

/// The newest record of each key.
#[derive(Debug, Default)]
pub struct OperatorRecords {
    newest: BTreeMap<String, KeyedRecord>,
    /// The newest plan, which a store that came back from a copy may have lost.
    plan: Option<PlanRecord>,
    /// What was told last, with the positions of its records: hundreds of boxes ask for the same.
    packed: (Vec<TopicPosition>, PackedRecords),
    /// Whether it was logged that these are too long to be told.
    untold: bool,
}

/// A record that holds a plan.
#[derive(Debug)]
struct PlanRecord {
    version: u64,
    record: KeyedRecord,
}

impl OperatorRecords {
    /// Takes records that were read or told, with the version of the plan among them.
    pub fn take(&mut self, records: &[KeyedRecord], plan_version: Option<u64>) {
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

    /// What a box that knows so much lacks, as a datagram holds it: a newer plan, and all other newest records behind
    /// its position.
    pub fn since(&mut self, known: PlanPosition) -> &PackedRecords {
        let plan = self.plan.as_ref().filter(|plan| plan.version > known.version);
        let plan = plan.map(|plan| &plan.record);
        let others = self.newest.values().filter(|record| !is_plan_key(&record.key));
        let others = others.filter(|record| record.at >= known.read_to);
        let wanted: Vec<&KeyedRecord> = others.chain(plan).collect();
        let positions: Vec<TopicPosition> = wanted.iter().map(|record| record.at).collect();
        if positions != self.packed.0 {
            let records: Vec<KeyedRecord> = wanted.into_iter().cloned().collect();
            self.packed = (positions, PackedRecords::pack(&records));
            self.untold = false;
        }
        &self.packed.1
    }

    /// Logs, once, that what was packed last is too long to be told to boxes that have read to `read_to`.
    pub fn note_untold(&mut self, read_to: TopicPosition, limit: usize) {
        if !std::mem::replace(&mut self.untold, true) {
            observe::note_records_untold(self.packed.1.as_bytes().len(), limit, read_to);
        }
    }
}

/// The orders to evacuate zones among records of the operator.
pub fn zone_orders(records: &[KeyedRecord]) -> Vec<ZoneOrder> {
    let order = |record: &KeyedRecord| {
        let zone = evacuation_zone(&record.key)?.to_owned();
        Some(ZoneOrder { zone, evacuated: record.value.is_some() })
    };
    records.iter().filter_map(order).collect()
}

/// Takes what this box read of the operator's records from `from` on, or all newest ones without it: all that there was
/// at `asked_at` up to `read_to`. Returns false if one can't be decoded.
pub fn take_read(
    driver: &GatewayDriver,
    asked_at: BoxTime,
    from: Option<TopicPosition>,
    read_to: TopicPosition,
    records: &[KeyedRecord],
) -> bool {
    let orders = zone_orders(records);
    // Before the plan: whoever has the plan of an offset must know the zones as of it.
    driver.feed(RouteEvent::EvacuationsRead(EvacuationRead { from, to: read_to, orders }));
    let Some(taken) = take_operator(driver, read_to, records) else { return false };
    driver.feed(RouteEvent::PlanRead { asked_at, read_to, plan: taken.plan });
    true
}

/// Records of the operator that were taken, all but the plan.
struct TakenRecords {
    /// The plan, if one is among them.
    plan: Option<RoutePlan>,
}

/// Takes the operator's records up to a position; `None` if one can't be decoded: it may be a newer plan, so nothing is
/// renewed.
fn take_operator(
    driver: &GatewayDriver,
    read_to: TopicPosition,
    records: &[KeyedRecord],
) -> Option<TakenRecords> {
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
    if !sound {
        return None;
    }
    driver.operator().take(records, plan.as_ref().map(|plan| plan.version));
    if !orders.is_empty() {
        driver.feed(RouteEvent::OrdersRead { read_to, orders });
    }
    Some(TakenRecords { plan })
}

/// Takes records that another box told in answer to an ask.
pub fn take_told(driver: &GatewayDriver, note: &GossipMessage, records: &[KeyedRecord]) {
    let (as_of, known) = {
        let state = driver.state();
        (state.message_as_of(note, driver.now()), state.plan_position())
    };
    let Some(as_of) = as_of else { return };
    // What it told begins where this box had read to when it asked: nothing is left out.
    let follows = note.in_reply_to.as_ref().is_some_and(|ask| ask.known <= known);
    if follows && note.known > known {
        // The records may lack the end of an order that the teller never had; its word of the zones is whole.
        driver.feed(RouteEvent::EvacuationsReceived(note.evacuation.clone()));
        if let Some(taken) = take_operator(driver, note.known.read_to, records) {
            driver.feed(RouteEvent::PlanReceived { as_of, known: note.known, plan: taken.plan });
        }
    }
}
