//! The operator's records, as one box tells them to another: deflated, since a plan of a thousand routes says
//! nearly the same of each.

use std::io::{Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use prost::Message;
use ravenspoke_adapter::store::KeyedRecord;

/// Records are inflated to this many bytes at most: some fifty plans of 31 versions and 1,000 accounts, and a
/// tenth of the memory of a small box.
pub const INFLATED_LIMIT: usize = 8_000_000;

/// A record of the operator; without a value, its key was dropped.
#[derive(Clone, PartialEq, Message)]
struct WireRecord {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    offset: u64,
    #[prost(bytes = "vec", tag = "3")]
    value: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct WireRecords {
    #[prost(message, repeated, tag = "1")]
    records: Vec<WireRecord>,
}

/// Why told records can't be read.
#[derive(Debug, thiserror::Error)]
pub enum PackedError {
    /// They can't be inflated.
    #[error("told records can't be inflated: {0}")]
    Inflate(#[from] std::io::Error),
    /// They are longer than any plan.
    #[error("told records are longer than {INFLATED_LIMIT} bytes")]
    TooLong,
    /// They are no records.
    #[error("told records can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
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
        let bytes = WireRecords { records }.encode_to_vec();
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        // A vector takes all that is written to it.
        let packed = encoder.write_all(&bytes).and_then(|()| encoder.finish());
        Self(packed.expect("a vector can be written"))
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
        let mut bytes = Vec::new();
        let limit = INFLATED_LIMIT as u64 + 1;
        DeflateDecoder::new(self.0.as_slice()).take(limit).read_to_end(&mut bytes)?;
        if bytes.len() > INFLATED_LIMIT {
            return Err(PackedError::TooLong);
        }
        let records = WireRecords::decode(bytes.as_slice())?.records;
        Ok(records.into_iter().map(read_record).collect())
    }
}

fn write_record(record: &KeyedRecord) -> WireRecord {
    WireRecord {
        key: record.key.clone(),
        offset: record.offset,
        value: record.value.clone().unwrap_or_default(),
    }
}

fn read_record(record: WireRecord) -> KeyedRecord {
    let value = (!record.value.is_empty()).then_some(record.value);
    KeyedRecord { offset: record.offset, key: record.key, value }
}
