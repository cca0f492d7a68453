//! Cuts a stream's bytes into whole events, so that a caller never has a part of one.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes: a stream that sends more without an end is no stream of events.
pub const EVENT_LIMIT: usize = 1 << 20;

/// An event is longer than [`EVENT_LIMIT`].
#[derive(Debug, thiserror::Error)]
#[error("an event is longer than {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

/// Bytes that came, and what is whole of them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes, and gives the whole events that they complete.
    ///
    /// # Errors
    /// [`EventTooLong`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.pending, searched) else {
            let long = self.pending.len() > EVENT_LIMIT;
            return if long { Err(EventTooLong) } else { Ok(None) };
        };
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(Some(whole))
    }

    /// Whether a part of an event waits for its end.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the part of an event that will never end.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Offset behind the last blank line.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let ends = |at: &usize| {
        let head = &bytes[..*at];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    };
    (from..=bytes.len()).rev().find(ends)
}

fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.map(|id| String::from_utf8_lossy(id).trim().to_owned()).next()?;
    (!id.is_empty()).then_some(id)
}
