//! Few senders: how a bound on what all boxes together may send to one replica is kept without a word between them.
//!
//! A box that kept to all of the bound alone would let the sum be many times that; equal parts of hundreds of boxes are far
//! below a request a second, so that they can be drawn by chance only, and chance has no bound. So few boxes send to such a
//! replica, its *senders*: the first by a hash of their names and the replica's, which is the same on every box. Each keeps
//! even distances, so that in any span they send no more than their parts and one request each. Other boxes' requests go to
//! other replicas.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::peers::PeerTable;
use super::RouteState;
use crate::replica::mix;
use crate::time::BoxTime;

/// Senders to a replica beyond the requests a second that it takes. With as many more, some of them have a request
/// for it at any time, and one stays when others are lost; what each may send at once stays small beside the bound.
pub const EXTRA_SENDERS: usize = 4;

/// This box's part in a bound on what a replica gets from all boxes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct SenderShare {
    /// Requests a second that this box may send; 0 if it is none of the senders.
    own_per_s: f64,
    /// When it last sent a request there.
    sent_at: Option<BoxTime>,
}

impl SenderShare {
    /// Requests a second that this box may send.
    pub(super) fn own_per_s(&self) -> f64 {
        self.own_per_s
    }

    /// From when on this box may send the next request; `None` if it is none of the senders.
    pub(super) fn next_at(&self) -> Option<BoxTime> {
        if self.own_per_s <= 0.0 {
            return None;
        }
        let interval_ms = (1_000.0 / self.own_per_s).ceil() as u64;
        Some(self.sent_at.map_or(BoxTime::default(), |at| at.plus_millis(interval_ms)))
    }

    /// Whether this box may send a request now.
    pub(super) fn allows(&self, now: BoxTime) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// Notes that this box sent a request.
    pub(super) fn record_sent(&mut self, now: BoxTime) {
        self.sent_at = Some(now);
    }

    /// Takes this box's part in `per_s` requests a second to the replica of hash `replica`.
    pub(super) fn set_share(&mut self, per_s: f64, replica: u64, fleet: &FleetNames) {
        let senders = (per_s as usize + EXTRA_SENDERS).min(fleet.others.len() + 1);
        let weight = |name: u64| mix(name ^ replica);
        let before = fleet.others.iter().filter(|other| weight(**other) < weight(fleet.own));
        let is_sender = before.count() < senders;
        self.own_per_s = if is_sender { per_s / senders as f64 } else { 0.0 };
    }
}

/// The boxes that share bounds, by hashes of their names.
pub(super) struct FleetNames {
    own: u64,
    others: Vec<u64>,
}

impl FleetNames {
    fn new(own: &str, peers: &PeerTable, now: BoxTime) -> Self {
        let hash = |name: &str| xxh3_64(name.as_bytes());
        Self { own: hash(own), others: peers.fleet_names(now).map(hash).collect() }
    }
}

impl RouteState {
    /// The boxes that share bounds, as this one knows them.
    pub(super) fn fleet_names(&self, now: BoxTime) -> FleetNames {
        FleetNames::new(&self.settings.name, &self.peers, now)
    }
}
