//! Frames between boxes: a length of four bytes, then a `prost` message.
//!
//! A connection carries messages in one direction. The accepting box sends a challenge. The
//! connecting box answers with its name and a MAC over the challenge and the name, made with the
//! key that all boxes share, and then sends [`PeerMessage`]s. Replies travel over the connection
//! that the other box opened. Any input decodes to a message or a [`FrameError`], without a panic.

use bytes::{Bytes, BytesMut};
use hmac::{Hmac, Mac};
use prost::Message;
use ravenspoke_core::message::PeerMessage;
use sha2::Sha256;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Longest frame, in bytes. A complete bundle of the target size fits several times.
pub const FRAME_LIMIT: usize = 1 << 20;

/// Longest hello, in bytes.
pub const HELLO_LIMIT: usize = 4 << 10;

/// Length of a challenge, in bytes.
pub const CHALLENGE_BYTES: usize = 16;

/// Why a frame was rejected.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than [`FRAME_LIMIT`], or the connection failed.
    #[error("peer frame: {0}")]
    Io(#[from] std::io::Error),
    /// The frame is not a message of this version.
    #[error("peer frame is not a message: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// The first frame of the connecting box.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerHello {
    /// Name of the connecting box.
    #[prost(string, tag = "1")]
    pub name: String,
    /// MAC over the challenge and the name.
    #[prost(bytes = "vec", tag = "2")]
    pub mac: Vec<u8>,
}

impl PeerHello {
    /// Answers `challenge` as the box named `name`.
    pub fn answer(key: &[u8], challenge: &[u8], name: &str) -> Self {
        let mac = hello_mac(key, challenge, name).finalize().into_bytes().to_vec();
        Self { name: name.to_owned(), mac }
    }

    /// Whether the MAC was made with `key` over `challenge`.
    pub fn is_valid(&self, key: &[u8], challenge: &[u8]) -> bool {
        hello_mac(key, challenge, &self.name).verify_slice(&self.mac).is_ok()
    }
}

fn hello_mac(key: &[u8], challenge: &[u8], name: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is accepted");
    mac.update(challenge);
    mac.update(name.as_bytes());
    mac
}

/// The codec of raw frames, for the challenge and the hello.
pub fn raw_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec()
}

/// The codec of the accepting box until the handshake is over: a hello is short, and whoever sends more
/// is no box.
pub fn hello_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(HELLO_LIMIT).new_codec()
}

/// The codec of [`PeerMessage`]s.
#[derive(Debug)]
pub struct PeerCodec {
    frames: LengthDelimitedCodec,
}

impl Default for PeerCodec {
    fn default() -> Self {
        Self { frames: raw_codec() }
    }
}

impl Decoder for PeerCodec {
    type Item = PeerMessage;
    type Error = FrameError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<PeerMessage>, FrameError> {
        match self.frames.decode(bytes)? {
            Some(frame) => Ok(Some(PeerMessage::decode(frame.freeze())?)),
            None => Ok(None),
        }
    }
}

impl Encoder<PeerMessage> for PeerCodec {
    type Error = FrameError;

    fn encode(&mut self, message: PeerMessage, bytes: &mut BytesMut) -> Result<(), FrameError> {
        Ok(self.frames.encode(Bytes::from(message.encode_to_vec()), bytes)?)
    }
}
