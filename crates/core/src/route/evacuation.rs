//! Availability zones under evacuation: the operator orders that no further requests go to their
//! replicas until the order is withdrawn.
//!
//! Load pattern: a zone is evacuated while boxes are cut off from the store, start, or lose
//! datagrams. The evacuated zones are one value, versioned by the position up to which the
//! operator's records were read: the box that has read further is right about all zones, also about
//! orders that were withdrawn. So each gossip message carries the whole value, a few bytes, and a
//! box that receives any message knows as much as its sender, without a sync request and whatever
//! messages it missed before.
//!
//! A store that was restored from an older copy may lack some orders for a while and show some that
//! were withdrawn. Known orders that it lacks are kept for a grace period, until the operator has
//! written them again.
//!
//! Otherwise this knowledge does not expire: a box that receives nothing keeps to its last state.
//! Requests that need a key are refused there after seconds anyway, because the plan is too old.
//! For all others, an outdated order costs the replicas of a zone, while an order dropped too early
//! would be violated.

use serde::Serialize;

use crate::position::TopicPosition;
use crate::time::BoxTime;

/// How long an order that a restored store does not show is kept, in milliseconds: the operator
/// writes lost orders again within seconds.
pub const ORDER_GRACE_MS: u64 = 10_000;

/// An order for one zone, given or withdrawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneOrder {
    /// The availability zone.
    pub zone: String,
    /// Whether it is under evacuation; `false` if the order was withdrawn.
    pub evacuated: bool,
}

/// Orders that a read of the operator's records returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRead {
    /// Position from which the records were read; `None` if the newest record of every zone was
    /// read, so that a zone without a record has no order.
    pub from: Option<TopicPosition>,
    /// Position up to which the records were read.
    pub to: TopicPosition,
    /// The orders in these records, in the store's order.
    pub orders: Vec<ZoneOrder>,
}

/// The zones under evacuation, as boxes gossip them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationDigest {
    /// Position up to which the operator's records were read.
    pub known_to: TopicPosition,
    /// All zones under evacuation at that position, sorted.
    pub zones: Vec<String>,
}

/// The zones under evacuation, as far as this box knows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EvacuatedZones {
    #[serde(skip)]
    known_to: TopicPosition,
    zones: Vec<String>,
    /// Zones whose orders were known before the store was restored and that it has not shown since,
    /// each with the end of its grace period.
    #[serde(skip)]
    unseen: Vec<(String, BoxTime)>,
}

impl EvacuatedZones {
    /// Whether no requests may be sent to the replicas of a zone.
    pub fn contains(&self, zone: &str) -> bool {
        self.has_order(zone) || self.unseen.iter().any(|(unseen, _)| unseen == zone)
    }

    /// Whether the operator's records up to the known position hold an order for a zone.
    fn has_order(&self, zone: &str) -> bool {
        self.zones.iter().any(|evacuated| evacuated == zone)
    }

    /// All zones that get no requests, sorted.
    pub fn zones(&self) -> Vec<String> {
        let unseen = self.unseen.iter().map(|(zone, _)| zone);
        let mut all: Vec<String> = self.zones.iter().chain(unseen).cloned().collect();
        all.sort();
        all.dedup();
        all
    }

    /// The value that is sent to other boxes.
    pub fn digest(&self) -> EvacuationDigest {
        EvacuationDigest { known_to: self.known_to, zones: self.zones.clone() }
    }

    /// Applies a read of the operator's records, and returns what changed.
    pub fn apply_read(&mut self, read: EvacuationRead, now: BoxTime) -> Vec<ZoneOrder> {
        let EvacuationRead { from, to, orders } = read;
        // The records between the known position and the start of the read may hold other orders.
        // The complete value arrives by gossip from a box that has read them.
        if to < self.known_to || from.is_some_and(|from| from > self.known_to) {
            return Vec::new();
        }
        let before = self.zones();
        let mut zones = if from.is_some() { self.zones.clone() } else { Vec::new() };
        for order in orders {
            self.unseen.retain(|(zone, _)| *zone != order.zone);
            zones.retain(|zone| *zone != order.zone);
            if order.evacuated {
                zones.push(order.zone);
            }
        }
        self.replace(to, zones, now);
        self.changes_since(&before)
    }

    /// Merges another box's digest, and returns what changed.
    pub fn merge(&mut self, digest: &EvacuationDigest, now: BoxTime) -> Vec<ZoneOrder> {
        let before = self.zones();
        if digest.known_to.era < self.known_to.era {
            digest.zones.iter().for_each(|zone| self.keep_unseen(zone, now));
        } else if digest.known_to > self.known_to {
            self.replace(digest.known_to, digest.zones.clone(), now);
        }
        self.changes_since(&before)
    }

    /// Drops orders whose grace period has passed, and returns what changed.
    pub fn drop_expired(&mut self, now: BoxTime) -> Vec<ZoneOrder> {
        if self.unseen.iter().all(|(_, until)| now < *until) {
            return Vec::new();
        }
        let before = self.zones();
        self.unseen.retain(|(_, until)| now < *until);
        self.changes_since(&before)
    }

    fn replace(&mut self, known_to: TopicPosition, mut zones: Vec<String>, now: BoxTime) {
        zones.sort();
        zones.dedup();
        let restored = known_to.era > self.known_to.era;
        let former = std::mem::replace(&mut self.zones, zones);
        self.known_to = known_to;
        if restored {
            former.iter().for_each(|zone| self.keep_unseen(zone, now));
        }
    }

    /// Starts the grace period of an order that the store no longer shows.
    fn keep_unseen(&mut self, zone: &str, now: BoxTime) {
        let kept = self.unseen.iter().any(|(unseen, _)| unseen == zone);
        if !kept && !self.has_order(zone) {
            self.unseen.push((zone.to_owned(), now.plus_millis(ORDER_GRACE_MS)));
        }
    }

    /// The orders given and withdrawn compared with `before`.
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
