//! Each request is billed once: the bill is with two witnesses before the last piece of the answer.
//!
//! The owner hands the bill to two boxes in other availability zones, releases the end of the answer
//! when they hold it, and appends bills in batches later. A witness appends for an owner that
//! vanished. Readers drop repeats by the bill's key, so it does not matter who appended how often.
//! Weighed against appending before dispatch (an append's latency on each request, no service in an
//! outage) and batches alone (a killed box loses its last seconds); see `docs/DESIGN.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::RequestKey;
use crate::message::BillRecord;
use crate::time::BoxTime;

/// Witnesses for a bill.
pub const WITNESS_COUNT: usize = 2;

/// How long an owner waits for a witness before it asks others, in milliseconds.
pub const WITNESS_WAIT_MS: u64 = 150;

/// After this the answer is released although the bill has fewer witnesses than it should, in
/// milliseconds. The bill stays queued for the log; the case is counted.
pub const WITNESS_LIMIT_MS: u64 = 1_000;

/// How long an owner may be silent before its witnesses append for it, in milliseconds.
pub const OWNER_SILENCE_MS: u64 = 10_000;

/// A bill of this box that is not yet in the log.
#[derive(Clone, Debug)]
pub struct OwnedBill {
    /// The bill.
    pub record: BillRecord,
    /// Request whose end waits for witnesses.
    pub request: Option<RequestKey>,
    /// Boxes asked.
    pub asked: BTreeSet<String>,
    /// Boxes that hold it.
    pub held_by: BTreeSet<String>,
    /// When it was made.
    pub made_at: BoxTime,
    /// When witnesses were last asked.
    pub asked_at: BoxTime,
}

/// Bills that this box owns, and bills that it holds for others.
#[derive(Debug, Default)]
pub struct BillLedger {
    next_number: u64,
    owned: BTreeMap<u64, OwnedBill>,
    held: HashMap<(String, u64), BTreeMap<u64, BillRecord>>,
    /// Answers released with too few witnesses.
    pub unwitnessed: u64,
}

impl BillLedger {
    /// Number for the next bill.
    pub fn assign_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Adds a bill of this box.
    pub fn add_owned(&mut self, record: BillRecord, request: RequestKey, now: BoxTime) {
        let number = record.number;
        let bill = OwnedBill {
            record,
            request: Some(request),
            asked: BTreeSet::new(),
            held_by: BTreeSet::new(),
            made_at: now,
            asked_at: now,
        };
        self.owned.insert(number, bill);
    }

    /// A bill of this box.
    pub fn owned_mut(&mut self, number: u64) -> Option<&mut OwnedBill> {
        self.owned.get_mut(&number)
    }

    /// Numbers of bills whose answer waits for witnesses.
    pub fn unreleased(&self) -> Vec<u64> {
        let waiting = self.owned.iter().filter(|(_, bill)| bill.request.is_some());
        waiting.map(|(number, _)| *number).collect()
    }

    /// Notes that `witness` holds the bill; gives the request whose end may now leave.
    pub fn add_witness(&mut self, number: u64, witness: &str, needed: usize) -> Option<RequestKey> {
        let bill = self.owned.get_mut(&number)?;
        bill.held_by.insert(witness.to_owned());
        if bill.held_by.len() < needed {
            return None;
        }
        bill.request.take()
    }

    /// The bill is in the log. Gives the request whose end may leave, and the witnesses to release.
    pub fn remove_owned(&mut self, number: u64) -> Option<OwnedBill> {
        self.owned.remove(&number)
    }

    /// Bills of this box that are not in the log.
    pub fn owned_len(&self) -> usize {
        self.owned.len()
    }

    /// Holds a bill for another box.
    pub fn add_held(&mut self, owner: &str, incarnation: u64, record: BillRecord) {
        let bills = self.held.entry((owner.to_owned(), incarnation)).or_default();
        bills.insert(record.number, record);
    }

    /// The owner has these in the log.
    pub fn release(&mut self, owner: &str, incarnation: u64, numbers: &[u64]) {
        let key = (owner.to_owned(), incarnation);
        if let Some(bills) = self.held.get_mut(&key) {
            for number in numbers {
                bills.remove(number);
            }
            if bills.is_empty() {
                self.held.remove(&key);
            }
        }
    }

    /// Whether every bill of this box that is not in the log is held by a witness.
    pub fn all_witnessed(&self) -> bool {
        self.owned.values().all(|bill| !bill.held_by.is_empty())
    }

    /// Bills held for others.
    pub fn held_len(&self) -> usize {
        self.held.values().map(BTreeMap::len).sum()
    }

    /// Owners whose bills are held.
    pub fn held_owners(&self) -> Vec<(String, u64)> {
        let mut owners: Vec<_> = self.held.keys().cloned().collect();
        owners.sort();
        owners
    }

    /// Takes the bills held for an owner that vanished, to append them.
    pub fn drain_held(&mut self, owner: &(String, u64)) -> Vec<BillRecord> {
        self.held.remove(owner).unwrap_or_default().into_values().collect()
    }
}

/// Reads a bills stream: each bill once, in log order.
#[derive(Debug, Default)]
pub struct BillFold {
    keys: BTreeSet<String>,
    /// Bills, each once.
    pub bills: Vec<BillRecord>,
    /// Repeats that were dropped.
    pub repeats: usize,
}

impl BillFold {
    /// Folds a bill.
    pub fn fold_bill(&mut self, bill: BillRecord) {
        if self.keys.insert(bill.key.clone()) {
            self.bills.push(bill);
        } else {
            self.repeats += 1;
        }
    }
}
