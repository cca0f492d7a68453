//! Boxes that a note tells of.

use prost::Message;
use ravenspoke_core::route::peers::PeerSummary;

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireSummary {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(string, tag = "4")]
    note_address: String,
    #[prost(string, tag = "5")]
    entry_address: String,
    #[prost(string, tag = "6")]
    zone: String,
    #[prost(bool, tag = "7")]
    open: bool,
    #[prost(uint64, tag = "8")]
    age_ms: u64,
    #[prost(bool, tag = "9")]
    cut: bool,
}

pub(super) fn write_summary(summary: &PeerSummary) -> WireSummary {
    WireSummary {
        name: summary.name.clone(),
        incarnation: summary.incarnation,
        number: summary.number,
        note_address: summary.note_address.clone(),
        entry_address: summary.entry_address.clone(),
        zone: summary.zone.clone(),
        open: summary.open,
        cut: summary.cut,
        age_ms: summary.age_ms,
    }
}

pub(super) fn read_summary(summary: WireSummary) -> PeerSummary {
    PeerSummary {
        name: summary.name,
        incarnation: summary.incarnation,
        number: summary.number,
        note_address: summary.note_address,
        entry_address: summary.entry_address,
        zone: summary.zone,
        open: summary.open,
        cut: summary.cut,
        age_ms: summary.age_ms,
    }
}
