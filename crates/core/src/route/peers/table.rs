//! The other boxes as this one knows them, and addresses at which other boxes may be.

use std::collections::BTreeMap;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    GossipMessage, PeerInfo, PeerSummary, ADDRESSES_PER_MESSAGE, GOSSIP_FANOUT, GOSSIP_SAME_ZONE,
    INDIRECT_SILENT_MS, PEER_EXPIRY_MS, SILENT_MS,
};
use crate::time::BoxTime;

/// What this box knows of another one.
#[derive(Clone, Debug, Serialize)]
pub struct PeerState {
    /// State as that box reported it.
    #[serde(flatten)]
    pub info: PeerInfo,
    /// Number of its last message; 0 if it is known through others only.
    pub number: u64,
    /// When it sent its last message.
    #[serde(rename = "heard_at")]
    pub seen_at: BoxTime,
}

impl PeerState {
    /// Whether it sent a message recently.
    pub(super) fn is_live(&self, now: BoxTime) -> bool {
        now.millis_since(self.seen_at) < SILENT_MS
    }

    /// Whether it sent a message recently, to this box or to another one.
    pub(super) fn may_hold_duty(&self, now: BoxTime) -> bool {
        now.millis_since(self.seen_at) < INDIRECT_SILENT_MS
    }
}

/// The other boxes, by name.
#[derive(Debug, Default)]
pub struct PeerTable {
    pub(super) rows: BTreeMap<String, PeerState>,
    /// Addresses from which no message was received, with the time when they became known.
    unverified: BTreeMap<String, BoxTime>,
    /// Boxes that get no forwarded requests until some time, for one service or for all.
    avoided: BTreeMap<(String, Option<u64>), BoxTime>,
}

/// What a request needs of the box that it is forwarded to.
#[derive(Clone, Copy, Debug)]
pub struct ForwardQuery<'a> {
    /// Hash of its service.
    pub service: u64,
    /// Availability zone of this box.
    pub zone: &'a str,
    /// Boxes that already had it.
    pub tried: &'a [String],
    /// A random number.
    pub random: u64,
    /// The current time.
    pub now: BoxTime,
}

impl PeerTable {
    /// All other boxes.
    pub fn rows(&self) -> impl Iterator<Item = (&String, &PeerState)> {
        self.rows.iter()
    }

    /// Applies the state in a message. Returns false if the message is older than one that was
    /// received.
    pub fn merge(&mut self, message: &GossipMessage, now: BoxTime) -> bool {
        let known = self.rows.get(&message.name);
        let same = known.filter(|row| row.info.incarnation == message.info.incarnation);
        if same.is_some_and(|row| row.number >= message.number) {
            return false;
        }
        let state = PeerState { info: message.info.clone(), number: message.number, seen_at: now };
        self.put(&message.name, state);
        true
    }

    /// Number of the last message received from the process that sent this one; 0 if there is none.
    pub(in crate::route) fn received_number(&self, message: &GossipMessage) -> u64 {
        let known = self.rows.get(&message.name);
        let same = known.filter(|row| row.info.incarnation == message.info.incarnation);
        same.map_or(0, |row| row.number)
    }

    /// Applies what another box reported of duty holders.
    pub fn apply_duty_holders(&mut self, duty_holders: &[PeerSummary], me: &str, now: BoxTime) {
        for peer in
            duty_holders.iter().filter(|peer| peer.name != me && peer.age_ms < INDIRECT_SILENT_MS)
        {
            self.apply_duty_holder(peer, now.minus_millis(peer.age_ms));
        }
    }

    /// Applies what was reported of a box that sent a message at `seen_at`.
    fn apply_duty_holder(&mut self, peer: &PeerSummary, seen_at: BoxTime) {
        let here = |row: &PeerState| row.info.gossip_address == peer.info.gossip_address;
        let later = |row: &PeerState| row.seen_at >= seen_at;
        // An address belongs to one box: the one that sent the last message from it.
        let stands =
            |(name, row): (&String, &PeerState)| (*name == peer.name || here(row)) && later(row);
        if self.rows.iter().any(stands) {
            return;
        }
        let known = self.rows.get(&peer.name);
        let same = known.filter(|row| row.info.incarnation == peer.info.incarnation);
        // Only messages of the box itself are numbered: one that is still in transit must not
        // appear outdated.
        let number = same.map_or(0, |row| row.number);
        let state = PeerState { info: peer.info.clone(), number, seen_at };
        self.put(&peer.name, state);
    }

    /// Stores a box, in place of any other at its address.
    fn put(&mut self, name: &str, state: PeerState) {
        let address = &state.info.gossip_address;
        self.unverified.remove(address);
        self.rows.retain(|other, row| other == name || row.info.gossip_address != *address);
        self.rows.insert(name.to_owned(), state);
    }

    /// Adds addresses at which other boxes may be.
    pub fn add_addresses(&mut self, addresses: &[String], own: &str, now: BoxTime) {
        for address in addresses {
            let known = self.rows.values().any(|row| row.info.gossip_address == *address);
            if !known && address != own {
                self.unverified.entry(address.clone()).or_insert(now);
            }
        }
    }

    /// Removes boxes that were silent for long, and addresses that did not respond.
    pub fn forget(&mut self, now: BoxTime) {
        self.rows.retain(|_, row| now.millis_since(row.seen_at) < PEER_EXPIRY_MS);
        self.unverified.retain(|_, at| now.millis_since(*at) < PEER_EXPIRY_MS);
        self.avoided.retain(|_, until| *until > now);
    }

    /// Number of live boxes, including this one.
    pub fn live_count(&self, now: BoxTime) -> usize {
        1 + self.rows.values().filter(|row| row.is_live(now)).count()
    }

    /// Addresses for the next round of gossip of a box in `zone`: all if they are few, otherwise
    /// random ones, most of them in the same availability zone. The zone of an unverified address
    /// is unknown.
    pub fn gossip_targets(&self, zone: &str, random: u64) -> Vec<String> {
        let near = |row: &&PeerState| row.info.zone == zone;
        let known = |row: &PeerState| row.info.gossip_address.clone();
        let mut targets: Vec<String> = self.rows.values().filter(near).map(known).collect();
        let far = self.rows.values().filter(|row| !near(row)).map(known);
        let mut others: Vec<String> = far.chain(self.unverified.keys().cloned()).collect();
        if targets.len() + others.len() > GOSSIP_FANOUT {
            let order = |address: &String| xxh3_64_with_seed(address.as_bytes(), random);
            targets.sort_by_cached_key(order);
            others.sort_by_cached_key(order);
            targets.truncate(GOSSIP_SAME_ZONE.max(GOSSIP_FANOUT.saturating_sub(others.len())));
            others.truncate(GOSSIP_FANOUT - targets.len());
        }
        targets.append(&mut others);
        targets
    }

    /// Number of boxes in the fleet, including this one. If gossip reaches all boxes directly,
    /// these are the live ones; otherwise all that are known since [`PEER_EXPIRY_MS`], because each
    /// box receives messages from any other only now and then.
    pub fn fleet_count(&self, now: BoxTime) -> usize {
        let live = self.live_count(now);
        if self.gossip_reaches_all() {
            return live;
        }
        1 + self.rows.len() + self.unverified.len()
    }

    /// Names of the fleet's other boxes: those that [`Self::fleet_count`] counts and whose names
    /// are known.
    pub fn fleet_names(&self, now: BoxTime) -> impl Iterator<Item = &str> {
        let all = !self.gossip_reaches_all();
        let rows = self.rows.iter().filter(move |(_, row)| all || row.is_live(now));
        rows.map(|(name, _)| name.as_str())
    }

    /// Whether so few boxes are known that each message goes to all of them.
    pub fn gossip_reaches_all(&self) -> bool {
        self.rows.len() + self.unverified.len() <= GOSSIP_FANOUT
    }

    /// All addresses at which other boxes are or may be.
    pub fn addresses(&self) -> Vec<String> {
        let known = self.rows.values().map(|row| &row.info.gossip_address);
        known.chain(self.unverified.keys()).cloned().collect()
    }

    /// A random open box, if possible in the given availability zone: a box that knows nothing
    /// requests state from it first.
    pub fn any_open(&self, zone: &str, now: BoxTime, random: u64) -> Option<String> {
        let (near, far): (Vec<&PeerState>, Vec<&PeerState>) =
            self.open_rows(now).partition(|row| row.info.zone == zone);
        let rows = if near.is_empty() { far } else { near };
        let index = random.checked_rem(rows.len() as u64)?;
        rows.get(index as usize).map(|row| row.info.gossip_address.clone())
    }

    /// A random address at which a box may be, for a box that knows no other box yet.
    pub fn any_address(&self, random: u64) -> Option<String> {
        let known = self.rows.values().map(|row| &row.info.gossip_address);
        let all: Vec<&String> = known.chain(self.unverified.keys()).collect();
        let index = random.checked_rem(all.len() as u64)?;
        all.get(index as usize).map(|address| (*address).clone())
    }

    /// Random addresses of a few other boxes.
    pub fn some_addresses(&self, random: u64) -> Vec<String> {
        let first = (random % self.rows.len().max(1) as u64) as usize;
        let rows = self.rows.values().chain(self.rows.values()).skip(first);
        let some = rows.take(ADDRESSES_PER_MESSAGE.min(self.rows.len()));
        some.map(|row| row.info.gossip_address.clone()).collect()
    }

    /// Returns a box that reaches replicas of the request's service, at random, and of this box's
    /// availability zone if there is one.
    pub fn forward_target(&self, query: &ForwardQuery) -> Option<(&String, &PeerInfo)> {
        let fits = |row: &(&String, &PeerState)| {
            let (name, PeerState { info, .. }) = *row;
            info.open
                && row.1.is_live(query.now)
                && info.forward_key != 0
                && !info.paths_lost
                && !info.unreached.contains(&query.service)
                && !query.tried.contains(name)
                && !self.is_avoided(name, query)
        };
        let order = |(name, row): &(&String, &PeerState)| {
            let far = row.info.zone != query.zone;
            (far, xxh3_64_with_seed(name.as_bytes(), query.random))
        };
        let target = self.rows.iter().filter(fits).min_by_key(order);
        target.map(|(name, row)| (name, &row.info))
    }

    fn is_avoided(&self, name: &str, query: &ForwardQuery) -> bool {
        let until = |service| self.avoided.get(&(name.to_owned(), service));
        let until = until(None).max(until(Some(query.service)));
        until.is_some_and(|until| *until > query.now)
    }

    /// Forwards nothing to a box until some time, for one service or for all.
    pub fn avoid(&mut self, name: &str, service: Option<u64>, until: BoxTime) {
        self.avoided.insert((name.to_owned(), service), until);
    }

    /// Whether a box sent a message recently.
    pub fn is_live_peer(&self, name: &str, now: BoxTime) -> bool {
        self.rows.get(name).is_some_and(|row| row.is_live(now))
    }

    /// Live boxes that callers may be directed to.
    pub fn open_rows(&self, now: BoxTime) -> impl Iterator<Item = &PeerState> {
        self.rows.values().filter(move |row| row.info.open && row.is_live(now))
    }
}
