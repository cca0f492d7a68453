//! Arbitrary bytes decode to a message or an error without a panic, and valid frames round-trip.

use bytes::BytesMut;
use proptest::prelude::*;
use ravenspoke_core::message::{PeerBody, PeerHeartbeat, PeerMessage};
use ravenspoke_peer::{FrameError, PeerCodec, PeerHello, FRAME_LIMIT};
use tokio_util::codec::{Decoder, Encoder};

fn heartbeat(stamp: u64, name: &str) -> PeerMessage {
    let heartbeat = PeerHeartbeat { stamp, sequence: 7, ..PeerHeartbeat::default() };
    PeerMessage {
        from: name.to_owned(),
        incarnation: 3,
        body: Some(PeerBody::Heartbeat(heartbeat)),
    }
}

proptest! {
    #[test]
    fn any_bytes_decode_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut buffer = BytesMut::from(bytes.as_slice());
        let mut codec = PeerCodec::default();
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
    }

    #[test]
    fn message_split_at_any_byte_is_decoded(stamp in any::<u64>(), name in "[a-z]{0,40}", cut in 0usize..200) {
        let message = heartbeat(stamp, &name);
        let mut wire = BytesMut::new();
        PeerCodec::default().encode(message.clone(), &mut wire).expect("a short frame");
        let tail = wire.split_off(cut.min(wire.len()));
        let mut codec = PeerCodec::default();
        let mut decoded = codec.decode(&mut wire).expect("no error in a valid frame");
        if decoded.is_none() {
            wire.extend_from_slice(&tail);
            decoded = codec.decode(&mut wire).expect("no error in a valid frame");
        }
        prop_assert_eq!(decoded, Some(message));
    }

    #[test]
    fn hello_with_another_key_is_invalid(key in proptest::collection::vec(any::<u8>(), 16..40)) {
        let hello = PeerHello::answer(&key, b"challenge", "box-1");
        prop_assert!(hello.is_valid(&key, b"challenge"));
        prop_assert!(!hello.is_valid(&key, b"another"));
        prop_assert!(!hello.is_valid(b"another key, long", b"challenge"));
    }
}

#[test]
fn frame_with_a_length_over_the_limit_is_rejected() {
    let mut buffer = BytesMut::new();
    buffer.extend_from_slice(&(FRAME_LIMIT as u32 + 1).to_be_bytes());

    let decoded = PeerCodec::default().decode(&mut buffer);

    assert!(matches!(decoded, Err(FrameError::Io(_))));
}
