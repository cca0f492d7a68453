//! Sync requests, and the range of replica entries that a sync response covers.

use prost::Message;
use ravenspoke_core::route::entry_sync::{EntryQuery, ListingPage};
use ravenspoke_core::route::peers::{EntryCoverage, SyncRequest};
use ravenspoke_core::time::BoxTime;

use super::position::{
    read_plan_position, read_position, write_plan_position, WirePlanPosition, WirePosition,
};

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireSyncRequest {
    #[prost(string, tag = "1")]
    gossip_address: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    /// Clock of the requesting box, in microseconds.
    #[prost(uint64, tag = "3")]
    asked_at: u64,
    #[prost(message, optional, tag = "9")]
    plan_position: Option<WirePlanPosition>,
    #[prost(message, optional, tag = "10")]
    entries_to: Option<WirePosition>,
    #[prost(message, optional, tag = "11")]
    page_from: Option<WirePosition>,
    #[prost(bool, tag = "8")]
    has_backends: bool,
}

/// The range of replica entries that a sync response covers.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireEntryCoverage {
    #[prost(message, optional, tag = "5")]
    known_to: Option<WirePosition>,
    #[prost(uint64, optional, tag = "2")]
    age_ms: Option<u64>,
    /// Set on a page of a listing. `page_next` is the start of the next page.
    #[prost(message, optional, tag = "6")]
    page_end: Option<WirePosition>,
    #[prost(message, optional, tag = "7")]
    page_next: Option<WirePosition>,
    #[prost(message, optional, tag = "8")]
    page_tombstones_from: Option<WirePosition>,
}

pub(super) fn write_sync_request(request: &SyncRequest) -> WireSyncRequest {
    WireSyncRequest {
        gossip_address: request.gossip_address.clone(),
        incarnation: request.incarnation,
        asked_at: request.asked_at.as_micros(),
        plan_position: Some(write_plan_position(request.plan_position)),
        entries_to: request.entries.known_to.map(Into::into),
        page_from: Some(request.entries.page_from.into()),
        has_backends: request.entries.has_backends,
    }
}

pub(super) fn read_sync_request(request: WireSyncRequest) -> SyncRequest {
    SyncRequest {
        gossip_address: request.gossip_address,
        incarnation: request.incarnation,
        asked_at: BoxTime::from_micros(request.asked_at),
        plan_position: read_plan_position(request.plan_position),
        entries: EntryQuery {
            known_to: request.entries_to.map(Into::into),
            page_from: read_position(request.page_from),
            has_backends: request.has_backends,
        },
    }
}

pub(super) fn write_coverage(coverage: EntryCoverage) -> WireEntryCoverage {
    WireEntryCoverage {
        known_to: coverage.known_to.map(Into::into),
        age_ms: coverage.age_ms,
        page_end: coverage.page.map(|page| page.end.into()),
        page_next: coverage.page.and_then(|page| page.next).map(Into::into),
        page_tombstones_from: coverage.page.map(|page| page.tombstones_from.into()),
    }
}

pub(super) fn read_coverage(coverage: WireEntryCoverage) -> EntryCoverage {
    let next = coverage.page_next.map(Into::into);
    let page = coverage.page_end.map(|end| {
        let end = end.into();
        let tombstones_from = coverage.page_tombstones_from.map_or(end, Into::into);
        ListingPage { end, next, tombstones_from }
    });
    let known_to = coverage.known_to.map(Into::into);
    EntryCoverage { known_to, age_ms: coverage.age_ms, page }
}
