//! Splits a stream's bytes into whole events, so that a caller never receives part of one.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes. A longer run without an end is not an event stream.
pub const EVENT_LIMIT: usize = 1 << 20;

/// An event is longer than [`EVENT_LIMIT`].
#[derive(Debug, thiserror::Error)]
#[error("an event is longer than {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

/// Whole events, or comments between them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvents {
    /// Their bytes.
    pub bytes: Bytes,
    /// Whether there is an event, and not only comments and blank lines.
    pub has_event: bool,
}

/// Buffers the bytes of a partial event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes, and returns the whole events that they complete.
    ///
    /// # Errors
    /// Returns [`EventTooLong`] if the partial event exceeds the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<WholeEvents>, EventTooLong> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.pending, searched) else {
            let long = self.pending.len() > EVENT_LIMIT;
            return if long { Err(EventTooLong) } else { Ok(None) };
        };
        let whole = self.pending.split_to(end).freeze();
        if self.pending.is_empty() {
            // The rest of a long event's buffer is not kept.
            self.pending = BytesMut::new();
        }
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(Some(WholeEvents { has_event: has_event(&whole), bytes: whole }))
    }

    /// Memory that a partial event takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Whether a partial event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the partial event after the stream broke.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Offset after the last blank line.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let ends = |at: &usize| {
        let head = &bytes[..*at];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    };
    (from..=bytes.len()).rev().find(ends)
}

fn has_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.map(|id| String::from_utf8_lossy(id).trim().to_owned()).next()?;
    (!id.is_empty()).then_some(id)
}
