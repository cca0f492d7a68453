//! Requests for usage counts, and the counts.

use prost::Message;
use ravenspoke_core::route::leader::usage::{UsageReport, UsageRequest, UsageResponse};

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireUsageRequest {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(string, tag = "2")]
    gossip_address: String,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireUsageResponse {
    #[prost(string, tag = "1")]
    gossip_address: String,
    #[prost(uint64, tag = "2")]
    window: u64,
    #[prost(btree_map = "string, uint64", tag = "3")]
    counts: std::collections::BTreeMap<String, u64>,
}

pub(super) fn write_usage_request(request: &UsageRequest) -> WireUsageRequest {
    WireUsageRequest { window: request.window, gossip_address: request.gossip_address.clone() }
}

pub(super) fn read_usage_request(wire: WireUsageRequest) -> UsageRequest {
    UsageRequest { window: wire.window, gossip_address: wire.gossip_address }
}

pub(super) fn write_usage_response(response: &UsageResponse) -> WireUsageResponse {
    let UsageReport { window, counts } = response.usage.clone();
    WireUsageResponse { gossip_address: response.gossip_address.clone(), window, counts }
}

pub(super) fn read_usage_response(wire: WireUsageResponse) -> UsageResponse {
    let usage = UsageReport { window: wire.window, counts: wire.counts };
    UsageResponse { gossip_address: wire.gossip_address, usage }
}
