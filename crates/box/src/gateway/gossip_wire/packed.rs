//! Deflated bytes in datagrams: notes of replicas and plans of routes say nearly the same of each.

use std::io::{Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

/// Bytes are inflated to this many at most: some fifty plans of 31 versions and 1,000 accounts, and a tenth of the
/// memory of a small box.
pub const INFLATED_LIMIT: usize = 8_000_000;

/// Why a datagram can't be read.
#[derive(Debug, thiserror::Error)]
pub enum PackedError {
    /// It can't be inflated.
    #[error("it can't be inflated: {0}")]
    Inflate(#[from] std::io::Error),
    /// It is longer than anything that a box tells.
    #[error("it is longer than {INFLATED_LIMIT} bytes")]
    TooLong,
    /// It is no message of a box.
    #[error("it can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Deflates bytes.
pub(super) fn deflate(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(bytes).and_then(|()| encoder.finish());
    packed.expect("a vector takes all that is written to it")
}

/// Inflates what [`deflate`] made.
pub(super) fn inflate(packed: &[u8]) -> Result<Vec<u8>, PackedError> {
    let mut bytes = Vec::new();
    let limit = INFLATED_LIMIT as u64 + 1;
    DeflateDecoder::new(packed).take(limit).read_to_end(&mut bytes)?;
    if bytes.len() > INFLATED_LIMIT {
        return Err(PackedError::TooLong);
    }
    Ok(bytes)
}
