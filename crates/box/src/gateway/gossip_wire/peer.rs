//! Messages about boxes: the sender's own information, and its summaries of others.

use prost::Message;
use ravenspoke_core::route::evacuation::EvacuationDigest;
use ravenspoke_core::route::peers::{BudgetUpdate, PeerInfo, PeerSummary};
use ravenspoke_core::route::retry_budget::SendCount;
use ravenspoke_core::route::store_access::StoreAccess;

use super::position::{read_position, WirePosition};

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireSummary {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(message, optional, tag = "2")]
    info: Option<WirePeerInfo>,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

/// A box's information about itself.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WirePeerInfo {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(string, tag = "2")]
    gossip_address: String,
    #[prost(string, tag = "3")]
    entry_address: String,
    #[prost(string, tag = "4")]
    zone: String,
    #[prost(bool, tag = "5")]
    open: bool,
    #[prost(uint32, tag = "6")]
    store_access: u32,
    #[prost(bool, tag = "7")]
    reads_store: bool,
    #[prost(bool, tag = "8")]
    strong: bool,
    #[prost(bool, tag = "10")]
    paths_lost: bool,
    #[prost(fixed64, repeated, tag = "11")]
    unreached: Vec<u64>,
    /// Boxes that check forwarded requests like new ones send their key with tag 9 instead.
    #[prost(fixed64, tag = "12")]
    forward_key: u64,
}

/// Retries of a box in a window, for the retry budget.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireBudget {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint32, tag = "3")]
    sends: u32,
}

/// Evacuated availability zones.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireEvacuation {
    #[prost(message, optional, tag = "3")]
    known_to: Option<WirePosition>,
    #[prost(string, repeated, tag = "2")]
    zones: Vec<String>,
}

pub(super) fn write_evacuation(digest: &EvacuationDigest) -> WireEvacuation {
    WireEvacuation { known_to: Some(digest.known_to.into()), zones: digest.zones.clone() }
}

pub(super) fn read_evacuation(wire: WireEvacuation) -> EvacuationDigest {
    EvacuationDigest { known_to: read_position(wire.known_to), zones: wire.zones }
}

pub(super) fn write_budget(update: &BudgetUpdate) -> WireBudget {
    let SendCount { requests, sends } = update.count;
    WireBudget { service: update.service.clone(), requests, sends }
}

pub(super) fn read_budget(wire: WireBudget) -> BudgetUpdate {
    let WireBudget { service, requests, sends } = wire;
    BudgetUpdate { service, count: SendCount { requests, sends } }
}

pub(super) fn write_summary(summary: &PeerSummary) -> WireSummary {
    WireSummary {
        name: summary.name.clone(),
        info: Some(write_peer_info(&summary.info)),
        age_ms: summary.age_ms,
    }
}

pub(super) fn read_summary(summary: WireSummary) -> PeerSummary {
    PeerSummary {
        name: summary.name,
        info: summary.info.map(read_peer_info).unwrap_or_default(),
        age_ms: summary.age_ms,
    }
}

fn write_access(access: StoreAccess) -> u32 {
    match access {
        StoreAccess::Working => 0,
        StoreAccess::Failed => 1,
        StoreAccess::Unknown => 2,
    }
}

fn read_access(wire: u32) -> StoreAccess {
    match wire {
        0 => StoreAccess::Working,
        1 => StoreAccess::Failed,
        _ => StoreAccess::Unknown,
    }
}

pub(super) fn write_peer_info(info: &PeerInfo) -> WirePeerInfo {
    WirePeerInfo {
        incarnation: info.incarnation,
        gossip_address: info.gossip_address.clone(),
        entry_address: info.entry_address.clone(),
        zone: info.zone.clone(),
        open: info.open,
        store_access: write_access(info.store_access),
        reads_store: info.reads_store,
        strong: info.strong,
        forward_key: info.forward_key,
        paths_lost: info.paths_lost,
        unreached: info.unreached.clone(),
    }
}

pub(super) fn read_peer_info(info: WirePeerInfo) -> PeerInfo {
    PeerInfo {
        incarnation: info.incarnation,
        gossip_address: info.gossip_address,
        entry_address: info.entry_address,
        zone: info.zone,
        open: info.open,
        store_access: read_access(info.store_access),
        reads_store: info.reads_store,
        strong: info.strong,
        forward_key: info.forward_key,
        paths_lost: info.paths_lost,
        unreached: info.unreached,
    }
}
