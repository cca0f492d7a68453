//! Shares of a rate limit: how a limit on what all boxes together send to one replica is kept
//! without communication between them.
//!
//! If each box kept the whole limit by itself, the sum would be many times the limit. Equal shares
//! of hundreds of boxes are far below a request a second and could only be kept by random choice,
//! which has no upper bound. So only a few boxes send to such a replica, its *senders*: the first
//! by a hash of the names of box and replica, which all boxes compute alike. Each sender spaces its
//! requests evenly, so that in any period they send no more than their shares plus one request
//! each. Requests of other boxes go to other replicas.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::peers::PeerTable;
use super::RouteState;
use crate::replica::mix;
use crate::time::BoxTime;

/// Senders to a replica beyond the requests a second that it accepts. With this many more, some
/// sender has a request for it at any time, and one remains when others fail, while what they may
/// send at once stays small beside the limit.
pub const EXTRA_SENDERS: usize = 4;

/// This box's share of a limit on what a replica gets from all boxes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct SenderShare {
    /// Requests a second that this box may send; 0 if it is no sender.
    own_per_s: f64,
    /// When it last sent a request to the replica.
    sent_at: Option<BoxTime>,
}

impl SenderShare {
    /// Returns the requests a second that this box may send.
    pub(super) fn own_per_s(&self) -> f64 {
        self.own_per_s
    }

    /// Returns when this box may send the next request, or `None` if it is no sender.
    pub(super) fn next_at(&self) -> Option<BoxTime> {
        if self.own_per_s <= 0.0 {
            return None;
        }
        let interval_ms = (1_000.0 / self.own_per_s).ceil() as u64;
        Some(self.sent_at.map_or(BoxTime::default(), |at| at.plus_millis(interval_ms)))
    }

    /// Returns whether this box may send a request now.
    pub(super) fn allows(&self, now: BoxTime) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// Records that this box sent a request.
    pub(super) fn record_sent(&mut self, now: BoxTime) {
        self.sent_at = Some(now);
    }

    /// Sets this box's share of `per_s` requests a second to the replica with hash `replica`.
    pub(super) fn set_share(&mut self, per_s: f64, replica: u64, fleet: &FleetNames) {
        let senders = (per_s as usize + EXTRA_SENDERS).min(fleet.others.len() + 1);
        let weight = |name: u64| mix(name ^ replica);
        let before = fleet.others.iter().filter(|other| weight(**other) < weight(fleet.own));
        let is_sender = before.count() < senders;
        self.own_per_s = if is_sender { per_s / senders as f64 } else { 0.0 };
    }
}

/// The boxes that share limits, by hashes of their names.
pub(super) struct FleetNames {
    own: u64,
    others: Vec<u64>,
}

impl FleetNames {
    /// This box's part of `count` slots of the replica with hash `replica`. The parts of all boxes add
    /// up to `count`; the remainder goes to the first boxes in the replica's order.
    pub(super) fn part_of(&self, count: u32, replica: u64) -> u32 {
        let weight = |name: u64| mix(name ^ replica);
        let before = self.others.iter().filter(|other| weight(**other) < weight(self.own)).count();
        let boxes = self.others.len() as u32 + 1;
        count / boxes + u32::from((before as u32) < count % boxes)
    }

    fn new(own: &str, peers: &PeerTable, now: BoxTime) -> Self {
        let hash = |name: &str| xxh3_64(name.as_bytes());
        Self { own: hash(own), others: peers.fleet_names(now).map(hash).collect() }
    }
}

impl RouteState {
    /// Returns the boxes that share limits, as far as this box knows them.
    pub(super) fn fleet_names(&self, now: BoxTime) -> FleetNames {
        FleetNames::new(&self.settings.name, &self.peers, now)
    }
}
