//! The operator's records, as one box tells them to another: packed once for all that ask for the same.

use prost::Message;
use ravenspoke_adapter::store::KeyedRecord;

use super::packed::{deflate, inflate, PackedError};
use super::position::{read_position, WirePosition};

/// A record of the operator; without a value, its key was dropped.
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

/// Records of the operator, packed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PackedRecords(Vec<u8>);

impl PackedRecords {
    /// Packs records; none give no bytes.
    pub fn pack(records: &[KeyedRecord]) -> Self {
        if records.is_empty() {
            return Self::default();
        }
        let records = records.iter().map(write_record).collect();
        Self(deflate(&WireRecords { records }.encode_to_vec()))
    }

    /// Records as they came in a datagram.
    pub(super) fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// Their bytes in a datagram.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// The records.
    ///
    /// # Errors
    /// [`PackedError`], if another box sent what is none.
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
