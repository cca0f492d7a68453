//! Pages of the replicas' entries: packed once for all boxes that ask for the same.

use std::collections::VecDeque;

use prost::Message;
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::backend::BackendChange;
use ravenspoke_core::route::peers::GossipMessage;

use super::packed::{deflate, inflate, PackedError};
use super::replica::{read_change, write_change, WireChange};

/// Pages that are kept, at most: all of ten thousand replicas, and some that have changed since.
const PAGES_KEPT: usize = 32;

/// Answers with so many entries are kept: shorter ones differ from each other, and are packed soon.
const KEPT_FROM: usize = 100;

#[derive(Clone, PartialEq, Message)]
struct WireChanges {
    #[prost(message, repeated, tag = "1")]
    changes: Vec<WireChange>,
}

/// What tells two pages apart: a change of one of its replicas moves that out of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PageKey {
    first: TopicPosition,
    last: TopicPosition,
    count: usize,
}

impl PageKey {
    fn of(changes: &[BackendChange]) -> Option<Self> {
        let (first, last) = (changes.first()?.at, changes.last()?.at);
        Some(Self { first, last, count: changes.len() })
    }
}

/// Pages that were packed lately.
#[derive(Debug, Default)]
pub struct PackedPages(VecDeque<(PageKey, Vec<u8>)>);

impl PackedPages {
    /// The packed entries of an answer, if they are many.
    pub fn of(&mut self, note: &GossipMessage) -> Option<&[u8]> {
        note.in_reply_to.as_ref().filter(|_| note.changes.len() >= KEPT_FROM)?;
        let key = PageKey::of(&note.changes)?;
        let place = match self.0.iter().position(|(known, _)| *known == key) {
            Some(place) => place,
            None => {
                if self.0.len() >= PAGES_KEPT {
                    self.0.pop_front();
                }
                self.0.push_back((key, pack(&note.changes)));
                self.0.len() - 1
            }
        };
        self.0.get(place).map(|(_, bytes)| bytes.as_slice())
    }
}

fn pack(changes: &[BackendChange]) -> Vec<u8> {
    let changes = changes.iter().map(write_change).collect();
    deflate(&WireChanges { changes }.encode_to_vec())
}

/// The entries of a packed page.
pub(super) fn unpack(bytes: &[u8]) -> Result<Vec<BackendChange>, PackedError> {
    let changes = WireChanges::decode(inflate(bytes)?.as_slice())?.changes;
    Ok(changes.into_iter().map(read_change).collect())
}
