//! What a box asks of another, and how far the answer shows the replicas' entries.

use prost::Message;
use ravenspoke_core::route::entries::{EntryWish, ListingPage};
use ravenspoke_core::route::peers::{EntryWord, PeerAsk};
use ravenspoke_core::time::BoxTime;

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireAsk {
    #[prost(string, tag = "1")]
    note_address: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    /// The asker's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    asked_at: u64,
    #[prost(uint64, tag = "4")]
    read_to: u64,
    #[prost(uint64, optional, tag = "6")]
    entries_to: Option<u64>,
    #[prost(uint64, tag = "7")]
    page_from: u64,
    #[prost(bool, tag = "8")]
    has_rows: bool,
}

/// How far an answer shows the replicas' entries.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireEntryWord {
    #[prost(uint64, optional, tag = "1")]
    known_to: Option<u64>,
    #[prost(uint64, optional, tag = "2")]
    age_ms: Option<u64>,
    /// Set on the page of a listing, with where the next one begins.
    #[prost(uint64, optional, tag = "3")]
    page_end: Option<u64>,
    #[prost(uint64, optional, tag = "4")]
    page_next: Option<u64>,
}

pub(super) fn write_ask(ask: &PeerAsk) -> WireAsk {
    WireAsk {
        note_address: ask.note_address.clone(),
        incarnation: ask.incarnation,
        asked_at: ask.asked_at.as_micros(),
        read_to: ask.read_to,
        entries_to: ask.entries.known_to,
        page_from: ask.entries.page_from,
        has_rows: ask.entries.has_rows,
    }
}

pub(super) fn read_ask(ask: WireAsk) -> PeerAsk {
    PeerAsk {
        note_address: ask.note_address,
        incarnation: ask.incarnation,
        asked_at: BoxTime::from_micros(ask.asked_at),
        read_to: ask.read_to,
        entries: EntryWish {
            known_to: ask.entries_to,
            page_from: ask.page_from,
            has_rows: ask.has_rows,
        },
    }
}

pub(super) fn write_word(word: EntryWord) -> WireEntryWord {
    WireEntryWord {
        known_to: word.known_to,
        age_ms: word.age_ms,
        page_end: word.page.map(|page| page.end),
        page_next: word.page.and_then(|page| page.next),
    }
}

pub(super) fn read_word(word: WireEntryWord) -> EntryWord {
    let page = word.page_end.map(|end| ListingPage { end, next: word.page_next });
    EntryWord { known_to: word.known_to, age_ms: word.age_ms, page }
}
