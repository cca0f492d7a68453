//! What a box asks of another, and the operator's records that answer it.

use prost::Message;
use ravenspoke_adapter::store::KeyedRecord;
use ravenspoke_core::route::peers::PeerAsk;
use ravenspoke_core::time::BoxTime;

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireAsk {
    #[prost(string, tag = "1")]
    note_address: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    /// The asker's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    asked_at: u64,
    #[prost(uint64, tag = "4")]
    read_to: u64,
    #[prost(bool, tag = "5")]
    wants_replicas: bool,
}

/// A record of the operator; without a value, its key was dropped.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireRecord {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    offset: u64,
    #[prost(bytes = "vec", tag = "3")]
    value: Vec<u8>,
}

pub(super) fn write_ask(ask: &PeerAsk) -> WireAsk {
    WireAsk {
        note_address: ask.note_address.clone(),
        incarnation: ask.incarnation,
        asked_at: ask.asked_at.as_micros(),
        read_to: ask.read_to,
        wants_replicas: ask.wants_replicas,
    }
}

pub(super) fn read_ask(ask: WireAsk) -> PeerAsk {
    PeerAsk {
        note_address: ask.note_address,
        incarnation: ask.incarnation,
        asked_at: BoxTime::from_micros(ask.asked_at),
        read_to: ask.read_to,
        wants_replicas: ask.wants_replicas,
    }
}

pub(super) fn write_record(record: &KeyedRecord) -> WireRecord {
    WireRecord {
        key: record.key.clone(),
        offset: record.offset,
        value: record.value.clone().unwrap_or_default(),
    }
}

pub(super) fn read_record(record: WireRecord) -> KeyedRecord {
    let value = (!record.value.is_empty()).then_some(record.value);
    KeyedRecord { offset: record.offset, key: record.key, value }
}
