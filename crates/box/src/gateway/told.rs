//! The operator's records as this box knows them, told to boxes that ask: few boxes read the store.

use std::collections::BTreeMap;

use ravenspoke_adapter::records::{evacuation_zone, read_operator, OperatorRecord};
use ravenspoke_adapter::store::KeyedRecord;
use ravenspoke_core::route::evacuation::{EvacuationRead, ZoneOrder};
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::peers::PeerNote;
use ravenspoke_core::time::BoxTime;

use super::driver::GatewayDriver;
use super::note_wire::records::PackedRecords;
use super::observe;

/// The newest record of each key.
#[derive(Debug, Default)]
pub struct OperatorRecords {
    newest: BTreeMap<String, KeyedRecord>,
    /// What was told last, with the offsets of its records: hundreds of boxes ask for the same.
    packed: (Vec<u64>, PackedRecords),
    /// Whether it was logged that these are too long to be told.
    untold: bool,
}

impl OperatorRecords {
    /// Takes records that were read or told.
    pub fn take(&mut self, records: &[KeyedRecord]) {
        for record in records {
            let known = self.newest.get(&record.key);
            if known.is_none_or(|known| known.offset < record.offset) {
                self.newest.insert(record.key.clone(), record.clone());
            }
        }
    }

    /// All newest records from `read_to` on, as a datagram holds them.
    pub fn since(&mut self, read_to: u64) -> &PackedRecords {
        let wanted = || self.newest.values().filter(|record| record.offset >= read_to);
        let offsets: Vec<u64> = wanted().map(|record| record.offset).collect();
        if offsets != self.packed.0 {
            let records: Vec<KeyedRecord> = wanted().cloned().collect();
            self.packed = (offsets, PackedRecords::pack(&records));
            self.untold = false;
        }
        &self.packed.1
    }

    /// Logs, once, that what was packed last is too long to be told to boxes that have read to `read_to`.
    pub fn note_untold(&mut self, read_to: u64, limit: usize) {
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

/// Takes what this box read of the operator's records from `from` on, or all newest ones without it, as
/// [`take_operator`] does.
pub fn take_read(
    driver: &GatewayDriver,
    asked_at: BoxTime,
    from: Option<u64>,
    read_to: u64,
    records: &[KeyedRecord],
) -> bool {
    let orders = zone_orders(records);
    // Before the plan: whoever has the plan of an offset must know the zones as of it.
    driver.feed(RouteEvent::EvacuationsRead(EvacuationRead { from, to: read_to, orders }));
    take_operator(driver, asked_at, read_to, records)
}

/// Takes the operator's records, which are all that there was at `asked_at` up to `read_to`. Returns
/// false if one can't be decoded: it may be a newer plan, so nothing is renewed.
fn take_operator(
    driver: &GatewayDriver,
    asked_at: BoxTime,
    read_to: u64,
    records: &[KeyedRecord],
) -> bool {
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
        return false;
    }
    driver.operator().take(records);
    if !orders.is_empty() {
        driver.feed(RouteEvent::OrdersRead(orders));
    }
    driver.feed(RouteEvent::PlanRead { asked_at, read_to, plan });
    true
}

/// Takes records that another box told in answer to an ask.
pub fn take_told(driver: &GatewayDriver, note: &PeerNote, records: &[KeyedRecord]) {
    let (as_of, read_to) = {
        let state = driver.state();
        (state.word_as_of(note, driver.now()), state.read_to())
    };
    let asked_from = note.echo.as_ref().map_or(u64::MAX, |ask| ask.read_to);
    // What it told begins where this box had read to when it asked: nothing is left out.
    if let Some(as_of) = as_of.filter(|_| asked_from <= read_to && note.read_to > read_to) {
        // The records may lack the end of an order that the teller never had; its word of the zones is whole.
        driver.feed(RouteEvent::EvacuationsTold(note.evacuation.clone()));
        take_operator(driver, as_of, note.read_to, records);
    }
}
