//! Cache of packed pages of replica entries: each page is packed once for all boxes that request
//! it.

use std::collections::VecDeque;

use prost::Message;
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::backend::BackendChange;
use ravenspoke_core::route::peers::GossipMessage;

use super::packed::{deflate, inflate, PackedError};
use super::replica::{read_change, write_change, WireChange};

/// Maximum number of cached pages: all pages of ten thousand replicas, and some that have changed
/// since.
const PAGE_CACHE_LIMIT: usize = 32;

/// Number of entries from which a page is cached. Shorter pages differ from each other, and are
/// packed quickly.
const CACHED_FROM_ENTRIES: usize = 100;

#[derive(Clone, PartialEq, Message)]
struct WireChanges {
    #[prost(message, repeated, tag = "1")]
    changes: Vec<WireChange>,
}

/// Identity of a page. A change of one of its replicas moves that replica out of the page.
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

/// Recently packed pages.
#[derive(Debug, Default)]
pub struct PackedPages(VecDeque<(PageKey, Vec<u8>)>);

impl PackedPages {
    /// The packed entries of a sync response, if there are enough to cache.
    pub fn get_or_pack(&mut self, message: &GossipMessage) -> Option<&[u8]> {
        message.in_reply_to.as_ref().filter(|_| message.changes.len() >= CACHED_FROM_ENTRIES)?;
        let key = PageKey::of(&message.changes)?;
        let index = match self.0.iter().position(|(known, _)| *known == key) {
            Some(index) => index,
            None => {
                if self.0.len() >= PAGE_CACHE_LIMIT {
                    self.0.pop_front();
                }
                self.0.push_back((key, pack(&message.changes)));
                self.0.len() - 1
            }
        };
        self.0.get(index).map(|(_, bytes)| bytes.as_slice())
    }
}

fn pack(changes: &[BackendChange]) -> Vec<u8> {
    let changes = changes.iter().map(write_change).collect();
    deflate(&WireChanges { changes }.encode_to_vec())
}

/// Unpacks the entries of a page.
pub(super) fn unpack(bytes: &[u8]) -> Result<Vec<BackendChange>, PackedError> {
    let changes = WireChanges::decode(inflate(bytes)?.as_slice())?.changes;
    Ok(changes.into_iter().map(read_change).collect())
}
