//! Deflates parts of datagrams: updates of replicas and routes of plans are nearly the same for
//! each.

use std::io::{Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

/// Maximum size of inflated bytes: some fifty plans of 31 versions and 1,000 accounts, and a tenth
/// of the memory of a small box.
pub const INFLATED_LIMIT: usize = 8_000_000;

/// Reason why a datagram can't be read.
#[derive(Debug, thiserror::Error)]
pub enum PackedError {
    /// The bytes can't be inflated.
    #[error("the datagram can't be inflated: {0}")]
    Inflate(#[from] std::io::Error),
    /// The inflated bytes exceed [`INFLATED_LIMIT`].
    #[error("the inflated datagram exceeds {INFLATED_LIMIT} bytes")]
    TooLong,
    /// The bytes are not a message of a box.
    #[error("the datagram can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Deflates bytes.
pub(super) fn deflate(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(bytes).and_then(|()| encoder.finish());
    packed.expect("writing to a Vec never fails")
}

/// Inflates the output of [`deflate`].
pub(super) fn inflate(packed: &[u8]) -> Result<Vec<u8>, PackedError> {
    let mut bytes = Vec::new();
    let limit = INFLATED_LIMIT as u64 + 1;
    DeflateDecoder::new(packed).take(limit).read_to_end(&mut bytes)?;
    if bytes.len() > INFLATED_LIMIT {
        return Err(PackedError::TooLong);
    }
    Ok(bytes)
}
