//! Availability zones under evacuation: the operator asks that nothing further be sent to their replicas until the order
//! is withdrawn.
//!
//! Load pattern: a zone is emptied while boxes are cut off from the store, start, or lose datagrams. The zones are one
//! value, versioned by the offset up to which the operator's records were read: whoever has read further is right about
//! all of them, an order that was withdrawn included. So each note carries the whole value, a few bytes, and a box that
//! hears any other knows as much as that one, without an ask and whatever it missed before.
//!
//! A store that comes back from an older copy may lack orders for a while, and show some that were withdrawn. Those that
//! it lacks are kept as they are known, until the operator has written them again.
//!
//! Else what a box knows of them does not expire: one that hears from nobody keeps to the last word. Requests that need a
//! key end there after seconds, with the plan's age; for the others an old order costs a zone's replicas, and an
//! order forgotten too early would be broken.

use serde::Serialize;

use crate::position::TopicPosition;
use crate::time::BoxTime;

/// An order that a store which came back from a copy does not show is kept for this long, in milliseconds: the operator
/// writes again what was lost, within seconds.
pub const ORDER_GRACE_MS: u64 = 10_000;

/// One zone's order, given or withdrawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneOrder {
    /// The availability zone.
    pub zone: String,
    /// Whether it is under evacuation; `false` if the order was withdrawn.
    pub evacuated: bool,
}

/// Orders as a read of the operator's records showed them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRead {
    /// Position from which on the records were read; `None` if all newest records were, so that a zone without one has no
    /// order.
    pub from: Option<TopicPosition>,
    /// Position up to which they were read.
    pub to: TopicPosition,
    /// The orders among them, in the store's order.
    pub orders: Vec<ZoneOrder>,
}

/// The zones under evacuation, as one box tells them to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationDigest {
    /// Position up to which the operator's records were read.
    pub known_to: TopicPosition,
    /// All zones under evacuation then, sorted.
    pub zones: Vec<String>,
}

/// The zones under evacuation, as far as a box knows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EvacuatedZones {
    #[serde(skip)]
    known_to: TopicPosition,
    zones: Vec<String>,
    /// Zones whose orders were known when the store came back from a copy, and which it has not shown since, with
    /// until when these are kept.
    #[serde(skip)]
    expiring: Vec<(String, BoxTime)>,
}

impl EvacuatedZones {
    /// Whether nothing may be sent to the replicas of a zone.
    pub fn contains(&self, zone: &str) -> bool {
        self.has_order(zone) || self.expiring.iter().any(|(expiring, _)| expiring == zone)
    }

    /// Whether the store's records up to the known position show an order for a zone.
    fn has_order(&self, zone: &str) -> bool {
        self.zones.iter().any(|shown| shown == zone)
    }

    /// All zones that get nothing, sorted.
    pub fn zones(&self) -> Vec<String> {
        let expiring = self.expiring.iter().map(|(zone, _)| zone);
        let mut all: Vec<String> = self.zones.iter().chain(expiring).cloned().collect();
        all.sort();
        all.dedup();
        all
    }

    /// What is told to other boxes.
    pub fn digest(&self) -> EvacuationDigest {
        EvacuationDigest { known_to: self.known_to, zones: self.zones.clone() }
    }

    /// Takes what was read. Gives what of it is news.
    pub fn apply_read(&mut self, read: EvacuationRead, now: BoxTime) -> Vec<ZoneOrder> {
        let EvacuationRead { from, to, orders } = read;
        // Records between what is known and what was read may hold other orders; whoever told of them told the zones.
        if to < self.known_to || from.is_some_and(|from| from > self.known_to) {
            return Vec::new();
        }
        let before = self.zones();
        let mut zones = if from.is_some() { self.zones.clone() } else { Vec::new() };
        for order in orders {
            self.expiring.retain(|(zone, _)| *zone != order.zone);
            zones.retain(|zone| *zone != order.zone);
            if order.evacuated {
                zones.push(order.zone);
            }
        }
        self.replace(to, zones, now);
        self.changes_since(&before)
    }

    /// Takes another box's word. Gives what of it is news.
    pub fn merge(&mut self, digest: &EvacuationDigest, now: BoxTime) -> Vec<ZoneOrder> {
        let before = self.zones();
        if digest.known_to.era < self.known_to.era {
            digest.zones.iter().for_each(|zone| self.keep_expiring(zone, now));
        } else if digest.known_to > self.known_to {
            self.replace(digest.known_to, digest.zones.clone(), now);
        }
        self.changes_since(&before)
    }

    /// Ends the keeping of orders that were not written again. Gives what of it is news.
    pub fn drop_expired(&mut self, now: BoxTime) -> Vec<ZoneOrder> {
        if self.expiring.iter().all(|(_, until)| now < *until) {
            return Vec::new();
        }
        let before = self.zones();
        self.expiring.retain(|(_, until)| now < *until);
        self.changes_since(&before)
    }

    fn replace(&mut self, known_to: TopicPosition, mut zones: Vec<String>, now: BoxTime) {
        zones.sort();
        zones.dedup();
        let restored = known_to.era > self.known_to.era;
        let former = std::mem::replace(&mut self.zones, zones);
        self.known_to = known_to;
        if restored {
            former.iter().for_each(|zone| self.keep_expiring(zone, now));
        }
    }

    /// Keeps an order that the store does not show any more.
    fn keep_expiring(&mut self, zone: &str, now: BoxTime) {
        let kept = self.expiring.iter().any(|(expiring, _)| expiring == zone);
        if !kept && !self.has_order(zone) {
            self.expiring.push((zone.to_owned(), now.plus_millis(ORDER_GRACE_MS)));
        }
    }

    /// What of the zones is no longer as it was.
    fn changes_since(&self, before: &[String]) -> Vec<ZoneOrder> {
        let after = self.zones();
        let given = after.iter().filter(|zone| !before.contains(zone));
        let withdrawn = before.iter().filter(|zone| !after.contains(zone));
        let order = |zone: &String, evacuated| ZoneOrder { zone: zone.clone(), evacuated };
        given
            .map(|zone| order(zone, true))
            .chain(withdrawn.map(|zone| order(zone, false)))
            .collect()
    }
}
