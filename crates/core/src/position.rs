//! Positions in a topic of the platform's store.

use std::fmt;

use serde::Serialize;

/// A position in a topic of the store, later ones greater. Where the store comes back from an older copy of its data, a
/// new era begins, and offsets are given out again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct TopicPosition {
    /// The store's era.
    pub era: u64,
    /// Records before it in the topic, in that era.
    pub offset: u64,
}

impl TopicPosition {
    /// A position.
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// The position behind `count` more records.
    pub const fn plus(self, count: u64) -> Self {
        Self { offset: self.offset + count, ..self }
    }

    /// The position of the record before it, or itself where there is none.
    pub const fn previous(self) -> Self {
        Self { offset: self.offset.saturating_sub(1), ..self }
    }
}

impl fmt::Display for TopicPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}
