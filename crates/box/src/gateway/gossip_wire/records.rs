//! The operator's records in sync responses, packed once for all boxes that request the same ones.

use prost::Message;
use ravenspoke_adapter::store::KeyedRecord;

use super::packed::{deflate, inflate, PackedError};
use super::position::{read_position, WirePosition};

/// A record of the operator. An empty value means that the key was deleted.
#[derive(Clone, PartialEq, Message)]
struct WireRecord {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(message, optional, tag = "4")]
    at: Option<WirePosition>,
    #[prost(bytes = "vec", tag = "3")]
    value: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct WireRecords {
    #[prost(message, repeated, tag = "1")]
    records: Vec<WireRecord>,
}

/// Packed records of the operator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PackedRecords(Vec<u8>);

impl PackedRecords {
    /// Packs records. An empty slice results in no bytes.
    pub fn pack(records: &[KeyedRecord]) -> Self {
        if records.is_empty() {
            return Self::default();
        }
        let records = records.iter().map(write_record).collect();
        Self(deflate(&WireRecords { records }.encode_to_vec()))
    }

    /// Wraps packed records from a datagram.
    pub(super) fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// The packed bytes for a datagram.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Unpacks the records.
    ///
    /// # Errors
    /// Returns [`PackedError`] if the bytes are not packed records.
    pub fn unpack(&self) -> Result<Vec<KeyedRecord>, PackedError> {
        if self.0.is_empty() {
            return Ok(Vec::new());
        }
        let bytes = inflate(&self.0)?;
        let records = WireRecords::decode(bytes.as_slice())?.records;
        Ok(records.into_iter().map(read_record).collect())
    }
}

fn write_record(record: &KeyedRecord) -> WireRecord {
    WireRecord {
        key: record.key.clone(),
        at: Some(record.at.into()),
        value: record.value.clone().unwrap_or_default(),
    }
}

fn read_record(record: WireRecord) -> KeyedRecord {
    let value = (!record.value.is_empty()).then_some(record.value);
    KeyedRecord { at: read_position(record.at), key: record.key, value }
}
