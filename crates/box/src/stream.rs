//! Reads a stream of server-sent events piece by piece.
//!
//! Complete events are forwarded as they arrive; the end marker is withheld until the request is
//! billed. A stream that ends without the marker counts as aborted.

use bytes::{Bytes, BytesMut};
use serde_json::Value;

/// Longest event, in bytes.
pub const EVENT_LIMIT: usize = 1 << 20;

/// Longest answer text kept for rating, in bytes.
pub const TEXT_LIMIT: usize = 64 * 1024;

const END_MARKER: &[u8] = b"data: [DONE]";
const EVENT_END: &[u8] = b"\n\n";

/// An event is longer than [`EVENT_LIMIT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event of the stream is longer than {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

/// Reader of an event stream.
#[derive(Debug, Default)]
pub struct EventReader {
    pending: BytesMut,
    /// Complete events with content so far; each counts as one token.
    pub tokens: u32,
    /// Whether the end marker has arrived.
    pub ended: bool,
    /// Text of the response so far, for rating.
    pub text: String,
}

impl EventReader {
    /// Adds a piece and returns the complete events to forward, without the end marker.
    ///
    /// # Errors
    /// Returns [`EventTooLong`] if an event exceeds the limit; the stream cannot be read further.
    pub fn push(&mut self, piece: &[u8]) -> Result<Bytes, EventTooLong> {
        self.pending.extend_from_slice(piece);
        let mut complete = BytesMut::new();
        while let Some(length) = find(&self.pending, EVENT_END) {
            let event = self.pending.split_to(length + EVENT_END.len());
            if self.ended {
                continue;
            }
            if event.starts_with(END_MARKER) {
                self.ended = true;
            } else {
                self.count(&event);
                complete.extend_from_slice(&event);
            }
        }
        if self.pending.is_empty() {
            // The rest of a long event's buffer is not kept.
            self.pending = BytesMut::new();
        }
        if self.pending.len() > EVENT_LIMIT {
            return Err(EventTooLong);
        }
        Ok(complete.freeze())
    }

    /// Memory that a partial event takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.pending.capacity()
    }

    fn count(&mut self, event: &[u8]) {
        let Some(data) = event.strip_prefix(b"data: ") else { return };
        let Ok(value) = serde_json::from_slice::<Value>(data) else { return };
        let Some(content) = value["choices"][0]["delta"]["content"].as_str() else { return };
        if !content.is_empty() {
            self.tokens += 1;
            if self.text.len() + content.len() <= TEXT_LIMIT {
                self.text.push_str(content);
            }
        }
    }

    /// The end marker, which is forwarded last.
    pub fn end_marker() -> Bytes {
        Bytes::from_static(b"data: [DONE]\n\n")
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
