//! Billing records, replicated to two witnesses before the end of an answer is released.
//!
//! The box that served a request owns its bill. It sends the bill to two other boxes, the
//! *witnesses*, in other availability zones if possible, releases the end of the answer when they
//! hold it, and appends bills to the log in batches later. A witness appends the bills of an owner
//! that was lost. Readers drop repeats by the key of the bill, so a bill may be appended several
//! times and still counts once.
//!
//! The alternatives are worse: an append before dispatch adds its latency to each request and stops
//! service during an outage of the log, and batches alone lose the last seconds of a box that is
//! killed. See `docs/DESIGN.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::ids::RequestKey;
use crate::message::BillRecord;
use crate::time::BoxTime;

/// Number of witnesses for a bill.
pub const WITNESS_COUNT: usize = 2;

/// How long an owner waits for a witness before it sends the bill to other boxes, in milliseconds.
pub const WITNESS_WAIT_MS: u64 = 150;

/// Time after which an answer is released although its bill has too few witnesses, in milliseconds.
/// The bill stays queued for the log, and the case is counted.
pub const WITNESS_LIMIT_MS: u64 = 1_000;

/// How long an owner may be silent before its witnesses append its bills, in milliseconds.
pub const OWNER_SILENCE_MS: u64 = 10_000;

/// A bill of this box that is not yet in the log.
#[derive(Clone, Debug)]
pub struct OwnedBill {
    /// The bill.
    pub record: BillRecord,
    /// Request whose answer is held until enough witnesses have the bill; `None` once released.
    pub request: Option<RequestKey>,
    /// Boxes that were sent the bill.
    pub sent_to: BTreeSet<String>,
    /// Boxes that acknowledged it.
    pub held_by: BTreeSet<String>,
    /// When the bill was created.
    pub created_at: BoxTime,
    /// When the bill was last sent to witnesses.
    pub sent_at: BoxTime,
}

/// Bills that this box owns, and bills that it holds for others.
#[derive(Debug, Default)]
pub struct BillLedger {
    next_number: u64,
    owned: BTreeMap<u64, OwnedBill>,
    /// Bills held for other boxes, by owner name and incarnation, then by number.
    held: HashMap<(String, u64), BTreeMap<u64, BillRecord>>,
    /// Number of answers released with too few witnesses.
    pub unwitnessed: u64,
}

impl BillLedger {
    /// Returns the number for a new bill.
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
            sent_to: BTreeSet::new(),
            held_by: BTreeSet::new(),
            created_at: now,
            sent_at: now,
        };
        self.owned.insert(number, bill);
    }

    /// Returns a bill of this box.
    pub fn owned_mut(&mut self, number: u64) -> Option<&mut OwnedBill> {
        self.owned.get_mut(&number)
    }

    /// Numbers of bills whose answers wait for witnesses.
    pub fn unreleased(&self) -> Vec<u64> {
        let waiting = self.owned.iter().filter(|(_, bill)| bill.request.is_some());
        waiting.map(|(number, _)| *number).collect()
    }

    /// Records that `witness` holds the bill. Returns the request whose answer may now be released.
    pub fn add_witness(&mut self, number: u64, witness: &str, needed: usize) -> Option<RequestKey> {
        let bill = self.owned.get_mut(&number)?;
        bill.held_by.insert(witness.to_owned());
        if bill.held_by.len() < needed {
            return None;
        }
        bill.request.take()
    }

    /// Removes a bill that is in the log. The returned bill names the request whose answer may be
    /// released and the witnesses that can drop their copy.
    pub fn remove_owned(&mut self, number: u64) -> Option<OwnedBill> {
        self.owned.remove(&number)
    }

    /// Number of bills of this box that are not in the log.
    pub fn owned_len(&self) -> usize {
        self.owned.len()
    }

    /// Adds a bill that this box holds as a witness.
    pub fn add_held(&mut self, owner: &str, incarnation: u64, record: BillRecord) {
        let bills = self.held.entry((owner.to_owned(), incarnation)).or_default();
        bills.insert(record.number, record);
    }

    /// Drops bills that their owner has in the log.
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

    /// Number of bills held for other boxes.
    pub fn held_len(&self) -> usize {
        self.held.values().map(BTreeMap::len).sum()
    }

    /// Owners of the held bills, as name and incarnation, sorted.
    pub fn held_owners(&self) -> Vec<(String, u64)> {
        let mut owners: Vec<_> = self.held.keys().cloned().collect();
        owners.sort();
        owners
    }

    /// Removes and returns the bills held for an owner that was lost.
    pub fn drain_held(&mut self, owner: &(String, u64)) -> Vec<BillRecord> {
        self.held.remove(owner).unwrap_or_default().into_values().collect()
    }
}

/// The fold of the `bills` stream: each bill once, in log order.
#[derive(Debug, Default)]
pub struct BillFold {
    keys: BTreeSet<String>,
    /// Bills without repeats.
    pub bills: Vec<BillRecord>,
    /// Number of repeats that were dropped.
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
