//! Positions in a topic of the platform's store.

use std::fmt;

use serde::Serialize;

/// A position in a topic of the store; later positions are greater.
///
/// A new era begins when the store is restored from an older copy of its data, since it then
/// assigns the same offsets again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct TopicPosition {
    /// The store's era.
    pub era: u64,
    /// Number of records before it in the topic, in that era.
    pub offset: u64,
}

impl TopicPosition {
    /// Creates a position.
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the position after `count` more records.
    pub const fn plus(self, count: u64) -> Self {
        Self { offset: self.offset + count, ..self }
    }

    /// Returns the position of the previous record, or itself at the start of an era.
    pub const fn previous(self) -> Self {
        Self { offset: self.offset.saturating_sub(1), ..self }
    }
}

impl fmt::Display for TopicPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}
