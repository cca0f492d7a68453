//! Datagrams between boxes, in protobuf.
//!
//! A datagram is a note or an ask; a long note is [`packed`]. `replica`, `trial`, `peer`, `ask`, `position` and
//! [`records`] hold the messages of its parts.

mod ask;
pub mod packed;
pub mod pages;
mod peer;
mod position;
pub mod records;
mod replica;
mod trial;
mod usage;

use prost::Message;
use ravenspoke_adapter::store::KeyedRecord;
use ravenspoke_core::route::backend::BackendChange;
use ravenspoke_core::route::leader::usage::{UsageRequest, UsageResponse};
use ravenspoke_core::route::peers::{GossipMessage, SyncRequest};
use ravenspoke_core::route::placement::PlacementUpdate;

use ask::{read_ask, read_word, write_ask, write_word, WireAsk, WireEntryWord};
use packed::{deflate, inflate, PackedError};
use peer::{
    read_budget, read_card, read_evacuation, read_summary, write_budget, write_card,
    write_evacuation, write_summary, WireBudget, WireCard, WireEvacuation, WireSummary,
};
use position::{read_known, write_known, WireKnownPlan};
use records::PackedRecords;
use replica::{
    read_change, read_content, read_down, read_end, read_limit, read_load, read_pace,
    read_placement, write_change, write_content, write_down, write_end, write_limit, write_load,
    write_pace, write_placement, WireChange, WireContent, WireDown, WireEnd, WireLimit, WireLoad,
    WirePace, WirePlacement,
};
use trial::{read_trial, read_verdict, write_trial, write_verdict, WireTrial, WireVerdict};
use usage::{read_usage, read_usage_ask, write_usage, write_usage_ask, WireUsage, WireUsageAsk};

/// A note from this length on is deflated, in bytes: 300 replicas' entries come from 26,597 to 4,714 bytes, word of
/// seven other boxes from 769 to 385. Shorter ones repeat too little to gain.
const PACK_FROM: usize = 256;

#[derive(Clone, PartialEq, Message)]
struct WireNote {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(message, optional, tag = "4")]
    info: Option<WireCard>,
    #[prost(message, optional, tag = "25")]
    known: Option<WireKnownPlan>,
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
    in_reply_to: Option<WireAsk>,
    #[prost(message, repeated, tag = "15")]
    loads: Vec<WireLoad>,
    #[prost(message, repeated, tag = "16")]
    duty_holders: Vec<WireSummary>,
    #[prost(message, optional, tag = "17")]
    entries: Option<WireEntryWord>,
    #[prost(message, repeated, tag = "18")]
    budgets: Vec<WireBudget>,
    #[prost(message, repeated, tag = "19")]
    latencies: Vec<WirePace>,
    #[prost(message, optional, tag = "20")]
    evacuation: Option<WireEvacuation>,
    #[prost(message, repeated, tag = "21")]
    down: Vec<WireDown>,
    #[prost(message, repeated, tag = "22")]
    limits: Vec<WireLimit>,
    #[prost(message, repeated, tag = "23")]
    crashes: Vec<WireEnd>,
    #[prost(message, repeated, tag = "24")]
    contents: Vec<WireContent>,
}

/// A datagram is one of these.
#[derive(Clone, PartialEq, Message)]
struct WireDatagram {
    #[prost(message, optional, tag = "1")]
    note: Option<WireNote>,
    #[prost(message, optional, tag = "2")]
    ask: Option<WireAsk>,
    /// The operator's records that the answered ask wants, packed; not set where they are left out.
    #[prost(bytes = "vec", optional, tag = "5")]
    records: Option<Vec<u8>>,
    #[prost(message, optional, tag = "4")]
    placement: Option<WirePlacement>,
    /// The note, deflated, in place of `note`.
    #[prost(bytes = "vec", tag = "6")]
    packed_note: Vec<u8>,
    #[prost(message, optional, tag = "7")]
    usage_ask: Option<WireUsageAsk>,
    #[prost(message, optional, tag = "8")]
    usage: Option<WireUsage>,
    /// The note's changes to replicas' entries, deflated, where they are a page of a listing.
    #[prost(bytes = "vec", tag = "9")]
    packed_page: Vec<u8>,
}

/// Encodes a note as a datagram, with the records that the ask it answers wants, if they are not left out. `page` is what
/// was packed of its changes, if that was.
pub fn encode_note(
    note: &GossipMessage,
    records: Option<&PackedRecords>,
    page: Option<&[u8]>,
) -> Vec<u8> {
    let changes = if page.is_some() { &[][..] } else { &note.changes };
    let note = write_note(note, changes);
    let bytes = note.encode_to_vec();
    let datagram = WireDatagram {
        records: records.map(|records| records.as_bytes().to_vec()),
        packed_page: page.unwrap_or_default().to_vec(),
        ..WireDatagram::default()
    };
    if bytes.len() < PACK_FROM {
        return WireDatagram { note: Some(note), ..datagram }.encode_to_vec();
    }
    WireDatagram { packed_note: deflate(&bytes), ..datagram }.encode_to_vec()
}

/// Encodes an ask as a datagram.
pub fn encode_ask(ask: &SyncRequest) -> Vec<u8> {
    let ask = Some(write_ask(ask));
    WireDatagram { ask, ..WireDatagram::default() }.encode_to_vec()
}

/// Encodes word of a prompt that was placed as a datagram.
pub fn encode_placement(placement: PlacementUpdate) -> Vec<u8> {
    let placement = Some(write_placement(placement));
    WireDatagram { placement, ..WireDatagram::default() }.encode_to_vec()
}

/// Encodes a question for counts of usage as a datagram.
pub fn encode_usage_ask(ask: &UsageRequest) -> Vec<u8> {
    let usage_ask = Some(write_usage_ask(ask));
    WireDatagram { usage_ask, ..WireDatagram::default() }.encode_to_vec()
}

/// Encodes counts of usage as a datagram.
pub fn encode_usage(note: &UsageResponse) -> Vec<u8> {
    let usage = Some(write_usage(note));
    WireDatagram { usage, ..WireDatagram::default() }.encode_to_vec()
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq)]
pub enum HeardDatagram {
    /// A note, with the records that this box asked for, if they are not left out.
    Note(Box<GossipMessage>, Option<Vec<KeyedRecord>>),
    /// An ask.
    Ask(SyncRequest),
    /// A prompt that was placed.
    Placement(PlacementUpdate),
    /// A question for counts of usage.
    UsageRequest(UsageRequest),
    /// Counts of usage.
    Usage(UsageResponse),
    /// Nothing.
    Empty,
}

/// Decodes a datagram.
///
/// # Errors
/// [`PackedError`], if the bytes are no datagram of a box.
pub fn decode_datagram(bytes: &[u8]) -> Result<HeardDatagram, PackedError> {
    let wire = WireDatagram::decode(bytes)?;
    if let Some(ask) = wire.ask {
        return Ok(HeardDatagram::Ask(read_ask(ask)));
    }
    if let Some(placement) = wire.placement {
        return Ok(HeardDatagram::Placement(read_placement(placement)));
    }
    if let Some(ask) = wire.usage_ask {
        return Ok(HeardDatagram::UsageRequest(read_usage_ask(ask)));
    }
    if let Some(usage) = wire.usage {
        return Ok(HeardDatagram::Usage(read_usage(usage)));
    }
    let records =
        wire.records.map(|bytes| PackedRecords::from_bytes(bytes).unpack()).transpose()?;
    let note = match wire.note {
        None if !wire.packed_note.is_empty() => {
            Some(WireNote::decode(inflate(&wire.packed_note)?.as_slice())?)
        }
        note => note,
    };
    let Some(mut note) = note.map(read_note) else { return Ok(HeardDatagram::Empty) };
    if !wire.packed_page.is_empty() {
        note.changes.extend(pages::unpack(&wire.packed_page)?);
    }
    Ok(HeardDatagram::Note(Box::new(note), records))
}

fn write_note(note: &GossipMessage, changes: &[BackendChange]) -> WireNote {
    WireNote {
        name: note.name.clone(),
        number: note.number,
        info: Some(write_card(&note.info)),
        known: Some(write_known(note.known)),
        era: note.era,
        changes: changes.iter().map(write_change).collect(),
        trials: note.trials.iter().map(write_trial).collect(),
        verdicts: note.verdicts.iter().map(write_verdict).collect(),
        others: note.others.clone(),
        read_age_ms: note.read_age_ms,
        evacuation: Some(write_evacuation(&note.evacuation)),
        in_reply_to: note.in_reply_to.as_ref().map(write_ask),
        loads: note.loads.iter().map(write_load).collect(),
        duty_holders: note.duty_holders.iter().map(write_summary).collect(),
        entries: note.in_reply_to.as_ref().map(|_| write_word(note.entries)),
        down: note.down.iter().map(write_down).collect(),
        limits: note.limits.iter().map(write_limit).collect(),
        crashes: note.crashes.iter().map(write_end).collect(),
        contents: note.contents.iter().map(write_content).collect(),
        budgets: note.budgets.iter().map(write_budget).collect(),
        latencies: note.latencies.iter().map(write_pace).collect(),
    }
}

fn read_note(wire: WireNote) -> GossipMessage {
    GossipMessage {
        name: wire.name,
        number: wire.number,
        info: wire.info.map(read_card).unwrap_or_default(),
        known: read_known(wire.known),
        era: wire.era,
        read_age_ms: wire.read_age_ms,
        evacuation: wire.evacuation.map(read_evacuation).unwrap_or_default(),
        in_reply_to: wire.in_reply_to.map(read_ask),
        changes: wire.changes.into_iter().map(read_change).collect(),
        trials: wire.trials.into_iter().map(read_trial).collect(),
        verdicts: wire.verdicts.into_iter().map(read_verdict).collect(),
        others: wire.others,
        loads: wire.loads.into_iter().map(read_load).collect(),
        duty_holders: wire.duty_holders.into_iter().map(read_summary).collect(),
        entries: wire.entries.map(read_word).unwrap_or_default(),
        down: wire.down.into_iter().map(read_down).collect(),
        limits: wire.limits.into_iter().map(read_limit).collect(),
        crashes: wire.crashes.into_iter().map(read_end).collect(),
        contents: wire.contents.into_iter().map(read_content).collect(),
        budgets: wire.budgets.into_iter().map(read_budget).collect(),
        latencies: wire.latencies.into_iter().map(read_pace).collect(),
    }
}
