//! Availability zones under evacuation: the operator asks that nothing further be sent to their replicas until the order
//! is withdrawn.
//!
//! Load pattern: a zone is emptied while boxes are cut off from the store, start, or lose datagrams. The zones are one
//! value, versioned by the offset up to which the operator's records were read: whoever has read further is right about
//! all of them, an order that was withdrawn included. So each note carries the whole value, a few bytes, and a box that
//! hears any other knows as much as that one, without an ask and whatever it missed before.
//!
//! What a box knows of them does not expire: one that hears from nobody keeps to the last word. Requests that need a
//! key end there after seconds, with the plan's age; for the others an old order costs a zone's replicas, and an
//! order forgotten too early would be broken.

use serde::Serialize;

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
    /// Offset from which on the records were read; `None` if all newest records were, so that a zone without one has no
    /// order.
    pub from: Option<u64>,
    /// Offset up to which they were read.
    pub to: u64,
    /// The orders among them, in the store's order.
    pub orders: Vec<ZoneOrder>,
}

/// The zones under evacuation, as one box tells them to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationWord {
    /// Offset up to which the operator's records were read.
    pub known_to: u64,
    /// All zones under evacuation then, sorted.
    pub zones: Vec<String>,
}

/// The zones under evacuation, as far as a box knows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EvacuatedZones {
    #[serde(skip)]
    known_to: u64,
    zones: Vec<String>,
}

impl EvacuatedZones {
    /// Whether nothing may be sent to the replicas of a zone.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.iter().any(|evacuated| evacuated == zone)
    }

    /// The zones, sorted.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// What is told to other boxes.
    pub fn word(&self) -> EvacuationWord {
        EvacuationWord { known_to: self.known_to, zones: self.zones.clone() }
    }

    /// Takes what was read. Gives what of it is news.
    pub fn take_read(&mut self, read: EvacuationRead) -> Vec<ZoneOrder> {
        let EvacuationRead { from, to, orders } = read;
        // Records between what is known and what was read may hold other orders; whoever told of them told the zones.
        if to < self.known_to || from.is_some_and(|from| from > self.known_to) {
            return Vec::new();
        }
        let mut zones = if from.is_some() { self.zones.clone() } else { Vec::new() };
        for order in orders {
            zones.retain(|zone| *zone != order.zone);
            if order.evacuated {
                zones.push(order.zone);
            }
        }
        self.replace(to, zones)
    }

    /// Takes another box's word. Gives what of it is news.
    pub fn hear(&mut self, word: &EvacuationWord) -> Vec<ZoneOrder> {
        if word.known_to <= self.known_to {
            return Vec::new();
        }
        self.replace(word.known_to, word.zones.clone())
    }

    fn replace(&mut self, known_to: u64, mut zones: Vec<String>) -> Vec<ZoneOrder> {
        zones.sort();
        zones.dedup();
        let missing = |of: &[String], zone: &String| !of.contains(zone);
        let given = zones.iter().filter(|zone| missing(&self.zones, zone));
        let withdrawn = self.zones.iter().filter(|zone| missing(&zones, zone));
        let order = |zone: &String, evacuated| ZoneOrder { zone: zone.clone(), evacuated };
        let news = given
            .map(|zone| order(zone, true))
            .chain(withdrawn.map(|zone| order(zone, false)))
            .collect();
        self.known_to = known_to;
        self.zones = zones;
        news
    }
}
