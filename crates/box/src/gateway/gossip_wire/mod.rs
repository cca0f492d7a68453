//! Datagrams between boxes, encoded in protobuf.
//!
//! A datagram is a gossip message, a sync request, a placement, a usage request or its response.
//! Long messages are [`packed`]. `replica`, `share`, `trial`, `peer`, `sync`, `usage`, `position` and
//! [`records`] define the parts, and [`pages`] caches packed pages of replica entries.

pub mod packed;
pub mod pages;
mod peer;
mod position;
pub mod records;
mod replica;
mod share;
mod sync;
mod trial;
mod usage;

use prost::Message;
use ravenspoke_adapter::store::KeyedRecord;
use ravenspoke_core::route::backend::BackendChange;
use ravenspoke_core::route::leader::usage::{UsageRequest, UsageResponse};
use ravenspoke_core::route::peers::{GossipMessage, SyncRequest};
use ravenspoke_core::route::scheduling::placement::PlacementUpdate;

use packed::{deflate, inflate, PackedError};
use peer::{
    read_budget, read_evacuation, read_peer_info, read_summary, write_budget, write_evacuation,
    write_peer_info, write_summary, WireBudget, WireEvacuation, WirePeerInfo, WireSummary,
};
use position::{read_plan_position, write_plan_position, WirePlanPosition};
use records::PackedRecords;
use replica::{
    read_brittle, read_change, read_crash, read_latency, read_life, read_limit, read_load,
    read_placement, read_poison, read_speeds, read_unreachable, read_withdrawn, write_brittle,
    write_change, write_crash, write_latency, write_life, write_limit, write_load, write_placement,
    write_poison, write_speed, write_unreachable, WireBrittle, WireChange, WireCrash, WireLatency,
    WireLife, WireLimit, WireLoad, WirePlacement, WirePoison, WireSpeed, WireUnreachable,
};
use share::{read_shares, write_share, WireShare};
use sync::{
    read_coverage, read_sync_request, write_coverage, write_sync_request, WireEntryCoverage,
    WireSyncRequest,
};
use trial::{read_trial, read_verdict, write_trial, write_verdict, WireTrial, WireVerdict};
use usage::{
    read_usage_request, read_usage_response, write_usage_request, write_usage_response,
    WireUsageRequest, WireUsageResponse,
};

/// Length from which a gossip message is deflated, in bytes. The entries of 300 replicas shrink
/// from 26,597 to 4,714 bytes, and the updates of seven other boxes from 769 to 385. Shorter
/// messages repeat too little to gain.
const DEFLATE_FROM_BYTES: usize = 256;

#[derive(Clone, PartialEq, Message)]
struct WireGossip {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(message, optional, tag = "4")]
    info: Option<WirePeerInfo>,
    #[prost(message, optional, tag = "25")]
    plan_position: Option<WirePlanPosition>,
    #[prost(uint64, tag = "26")]
    era: u64,
    #[prost(message, repeated, tag = "9")]
    changes: Vec<WireChange>,
    #[prost(message, repeated, tag = "10")]
    trials: Vec<WireTrial>,
    #[prost(message, repeated, tag = "11")]
    verdicts: Vec<WireVerdict>,
    #[prost(string, repeated, tag = "12")]
    others: Vec<String>,
    #[prost(uint64, optional, tag = "13")]
    read_age_ms: Option<u64>,
    #[prost(message, optional, tag = "14")]
    in_reply_to: Option<WireSyncRequest>,
    #[prost(message, repeated, tag = "15")]
    loads: Vec<WireLoad>,
    #[prost(message, repeated, tag = "16")]
    duty_holders: Vec<WireSummary>,
    #[prost(message, optional, tag = "17")]
    entries: Option<WireEntryCoverage>,
    #[prost(message, repeated, tag = "18")]
    budgets: Vec<WireBudget>,
    #[prost(message, repeated, tag = "19")]
    latencies: Vec<WireLatency>,
    #[prost(message, optional, tag = "20")]
    evacuation: Option<WireEvacuation>,
    #[prost(message, repeated, tag = "21")]
    unreachable: Vec<WireUnreachable>,
    #[prost(message, repeated, tag = "22")]
    limits: Vec<WireLimit>,
    #[prost(message, repeated, tag = "23")]
    crashes: Vec<WireCrash>,
    #[prost(message, repeated, tag = "24")]
    poison: Vec<WirePoison>,
    #[prost(message, repeated, tag = "27")]
    brittle: Vec<WireBrittle>,
    #[prost(message, repeated, tag = "29")]
    speeds: Vec<WireSpeed>,
    #[prost(message, repeated, tag = "30")]
    lives: Vec<WireLife>,
    /// Findings that were taken back. Older boxes would take them for poison in the other list.
    #[prost(message, repeated, tag = "31")]
    withdrawn: Vec<WirePoison>,
    #[prost(message, repeated, tag = "28")]
    shares: Vec<WireShare>,
}

/// A datagram; one of its messages is set.
#[derive(Clone, PartialEq, Message)]
struct WireDatagram {
    #[prost(message, optional, tag = "1")]
    gossip: Option<WireGossip>,
    #[prost(message, optional, tag = "2")]
    sync_request: Option<WireSyncRequest>,
    /// The operator's records that the requesting box lacks, packed; not set if they are omitted.
    #[prost(bytes = "vec", optional, tag = "5")]
    records: Option<Vec<u8>>,
    #[prost(message, optional, tag = "4")]
    placement: Option<WirePlacement>,
    /// The deflated gossip message, in place of `gossip`.
    #[prost(bytes = "vec", tag = "6")]
    packed_gossip: Vec<u8>,
    #[prost(message, optional, tag = "7")]
    usage_request: Option<WireUsageRequest>,
    #[prost(message, optional, tag = "8")]
    usage: Option<WireUsageResponse>,
    /// Deflated changes to replica entries, where they are a page of a listing.
    #[prost(bytes = "vec", tag = "9")]
    packed_page: Vec<u8>,
}

/// Encodes a gossip message as a datagram, with the operator's records if they are given. `page`
/// holds the packed changes if they were packed before.
pub fn encode_gossip(
    gossip: &GossipMessage,
    records: Option<&PackedRecords>,
    page: Option<&[u8]>,
) -> Vec<u8> {
    let changes = if page.is_some() { &[][..] } else { &gossip.changes };
    let gossip = write_gossip(gossip, changes);
    let bytes = gossip.encode_to_vec();
    let datagram = WireDatagram {
        records: records.map(|records| records.as_bytes().to_vec()),
        packed_page: page.unwrap_or_default().to_vec(),
        ..WireDatagram::default()
    };
    if bytes.len() < DEFLATE_FROM_BYTES {
        return WireDatagram { gossip: Some(gossip), ..datagram }.encode_to_vec();
    }
    WireDatagram { packed_gossip: deflate(&bytes), ..datagram }.encode_to_vec()
}

/// Encodes a sync request as a datagram.
pub fn encode_sync_request(sync_request: &SyncRequest) -> Vec<u8> {
    let sync_request = Some(write_sync_request(sync_request));
    WireDatagram { sync_request, ..WireDatagram::default() }.encode_to_vec()
}

/// Encodes the placement of a prompt as a datagram.
pub fn encode_placement(placement: PlacementUpdate) -> Vec<u8> {
    let placement = Some(write_placement(placement));
    WireDatagram { placement, ..WireDatagram::default() }.encode_to_vec()
}

/// Encodes a request for usage counts as a datagram.
pub fn encode_usage_request(usage_request: &UsageRequest) -> Vec<u8> {
    let usage_request = Some(write_usage_request(usage_request));
    WireDatagram { usage_request, ..WireDatagram::default() }.encode_to_vec()
}

/// Encodes usage counts as a datagram.
pub fn encode_usage_response(response: &UsageResponse) -> Vec<u8> {
    let usage = Some(write_usage_response(response));
    WireDatagram { usage, ..WireDatagram::default() }.encode_to_vec()
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedDatagram {
    /// A gossip message, with the operator's records if it is a sync response that contains them.
    Gossip(Box<GossipMessage>, Option<Vec<KeyedRecord>>),
    /// A sync request.
    SyncRequest(SyncRequest),
    /// The placement of a prompt.
    Placement(PlacementUpdate),
    /// A request for usage counts.
    UsageRequest(UsageRequest),
    /// Usage counts.
    UsageResponse(UsageResponse),
    /// No content.
    Empty,
}

/// Decodes a datagram.
///
/// # Errors
/// Returns [`PackedError`] if the bytes are not a datagram of a box.
pub fn decode_datagram(bytes: &[u8]) -> Result<DecodedDatagram, PackedError> {
    let wire = WireDatagram::decode(bytes)?;
    if let Some(sync_request) = wire.sync_request {
        return Ok(DecodedDatagram::SyncRequest(read_sync_request(sync_request)));
    }
    if let Some(placement) = wire.placement {
        return Ok(DecodedDatagram::Placement(read_placement(placement)));
    }
    if let Some(usage_request) = wire.usage_request {
        return Ok(DecodedDatagram::UsageRequest(read_usage_request(usage_request)));
    }
    if let Some(usage) = wire.usage {
        return Ok(DecodedDatagram::UsageResponse(read_usage_response(usage)));
    }
    let records =
        wire.records.map(|bytes| PackedRecords::from_bytes(bytes).unpack()).transpose()?;
    let gossip = match wire.gossip {
        None if !wire.packed_gossip.is_empty() => {
            Some(WireGossip::decode(inflate(&wire.packed_gossip)?.as_slice())?)
        }
        gossip => gossip,
    };
    let Some(mut gossip) = gossip.map(read_gossip) else { return Ok(DecodedDatagram::Empty) };
    if !wire.packed_page.is_empty() {
        gossip.changes.extend(pages::unpack(&wire.packed_page)?);
    }
    Ok(DecodedDatagram::Gossip(Box::new(gossip), records))
}

fn write_gossip(gossip: &GossipMessage, changes: &[BackendChange]) -> WireGossip {
    let poison = gossip.poison.iter().filter(|update| !update.withdrawn);
    let withdrawn = gossip.poison.iter().filter(|update| update.withdrawn);
    WireGossip {
        name: gossip.name.clone(),
        number: gossip.number,
        info: Some(write_peer_info(&gossip.info)),
        plan_position: Some(write_plan_position(gossip.plan_position)),
        era: gossip.era,
        changes: changes.iter().map(write_change).collect(),
        trials: gossip.trials.iter().map(write_trial).collect(),
        verdicts: gossip.verdicts.iter().map(write_verdict).collect(),
        others: gossip.others.clone(),
        read_age_ms: gossip.read_age_ms,
        evacuation: Some(write_evacuation(&gossip.evacuation)),
        in_reply_to: gossip.in_reply_to.as_ref().map(write_sync_request),
        loads: gossip.loads.iter().map(write_load).collect(),
        duty_holders: gossip.duty_holders.iter().map(write_summary).collect(),
        entries: gossip.in_reply_to.as_ref().map(|_| write_coverage(gossip.entries)),
        unreachable: gossip.unreachable.iter().map(write_unreachable).collect(),
        limits: gossip.limits.iter().map(write_limit).collect(),
        brittle: gossip.brittle.iter().map(write_brittle).collect(),
        lives: gossip.lives.iter().map(write_life).collect(),
        crashes: gossip.crashes.iter().map(write_crash).collect(),
        poison: poison.map(write_poison).collect(),
        withdrawn: withdrawn.map(write_poison).collect(),
        shares: gossip.shares.iter().map(write_share).collect(),
        budgets: gossip.budgets.iter().map(write_budget).collect(),
        latencies: gossip.latencies.iter().map(write_latency).collect(),
        speeds: gossip.speeds.iter().map(write_speed).collect(),
    }
}

fn read_gossip(wire: WireGossip) -> GossipMessage {
    let poison = wire.poison.into_iter().map(read_poison);
    let withdrawn = wire.withdrawn.into_iter().map(read_withdrawn);
    GossipMessage {
        name: wire.name,
        number: wire.number,
        info: wire.info.map(read_peer_info).unwrap_or_default(),
        plan_position: read_plan_position(wire.plan_position),
        era: wire.era,
        read_age_ms: wire.read_age_ms,
        evacuation: wire.evacuation.map(read_evacuation).unwrap_or_default(),
        in_reply_to: wire.in_reply_to.map(read_sync_request),
        changes: wire.changes.into_iter().map(read_change).collect(),
        trials: wire.trials.into_iter().map(read_trial).collect(),
        verdicts: wire.verdicts.into_iter().map(read_verdict).collect(),
        others: wire.others,
        loads: wire.loads.into_iter().map(read_load).collect(),
        duty_holders: wire.duty_holders.into_iter().map(read_summary).collect(),
        entries: wire.entries.map(read_coverage).unwrap_or_default(),
        unreachable: wire.unreachable.into_iter().map(read_unreachable).collect(),
        limits: wire.limits.into_iter().map(read_limit).collect(),
        brittle: wire.brittle.into_iter().map(read_brittle).collect(),
        lives: wire.lives.into_iter().map(read_life).collect(),
        crashes: wire.crashes.into_iter().map(read_crash).collect(),
        poison: poison.chain(withdrawn).collect(),
        shares: read_shares(wire.shares),
        budgets: wire.budgets.into_iter().map(read_budget).collect(),
        latencies: wire.latencies.into_iter().map(read_latency).collect(),
        speeds: read_speeds(wire.speeds),
    }
}
