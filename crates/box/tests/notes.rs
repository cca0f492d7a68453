//! Datagrams between boxes: what is written is read again, and any bytes are borne.

use proptest::prelude::*;
use ravenspoke_box::gateway::note_wire::{decode_datagram, encode_ask, encode_note, HeardDatagram};
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::entries::{EntryWish, ListingPage, CHANGES_TOLD};
use ravenspoke_core::route::peers::{EntryWord, PeerAsk, PeerCard, PeerNote, PeerSummary};
use ravenspoke_core::time::BoxTime;

/// Largest datagram, in bytes; one of the operator's records may come with a listing's page.
const NOTE_LIMIT: usize = ravenspoke_box::gateway::notes::NOTE_LIMIT;

fn card(name: &str) -> PeerCard {
    PeerCard {
        incarnation: 17,
        note_address: format!("10.1.0.{}:7680", name.len()),
        entry_address: format!("10.1.0.{}:8603", name.len()),
        zone: "west".to_owned(),
        open: true,
        cut: true,
    }
}

fn ask() -> PeerAsk {
    PeerAsk {
        note_address: "10.1.0.9:7680".to_owned(),
        incarnation: 3,
        asked_at: BoxTime::from_micros(77_001),
        read_to: 12,
        entries: EntryWish { known_to: Some(40), page_from: 7, has_rows: true },
    }
}

fn change(number: usize) -> BackendChange {
    let id = format!("i-{number:010x}");
    let entry = BackendEntry {
        id: id.clone(),
        address: "10.1.64.200:8566".to_owned(),
        service: "model-replica-pool".to_owned(),
        zone: "some-zone-hall".to_owned(),
        version: "version-12".to_owned(),
        slots: 24,
        leaving: false,
        cold_ms: 0,
    };
    BackendChange { id, at: number as u64, entry: Some(entry) }
}

fn answer() -> PeerNote {
    PeerNote {
        name: "front-1".to_owned(),
        number: 5,
        card: card("front-1"),
        read_to: 12,
        read_age_ms: Some(400),
        echo: Some(ask()),
        changes: vec![change(41), BackendChange { id: "i-1".to_owned(), at: 42, entry: None }],
        entries: EntryWord {
            known_to: Some(43),
            age_ms: Some(0),
            page: Some(ListingPage { end: 43, next: Some(0) }),
        },
        others: vec!["10.1.0.4:7680".to_owned()],
        leads: vec![PeerSummary { name: "f-2".to_owned(), card: card("f-2"), age_ms: 900 }],
        ..PeerNote::default()
    }
}

#[test]
fn an_answer_is_read_as_it_was_written() {
    let note = answer();
    let heard = decode_datagram(&encode_note(&note, &[])).expect("a datagram");
    assert_eq!(heard, HeardDatagram::Note(Box::new(note), Vec::new()));
}

#[test]
fn a_note_that_answers_nothing_has_no_word_of_entries() {
    let note = PeerNote { echo: None, entries: EntryWord::default(), ..answer() };
    let heard = decode_datagram(&encode_note(&note, &[])).expect("a datagram");
    assert_eq!(heard, HeardDatagram::Note(Box::new(note), Vec::new()));
}

#[test]
fn an_ask_is_read_as_it_was_written() {
    for known_to in [None, Some(0), Some(40)] {
        let entries = EntryWish { known_to, ..ask().entries };
        let ask = PeerAsk { entries, ..ask() };
        let heard = decode_datagram(&encode_ask(&ask)).expect("a datagram");
        assert_eq!(heard, HeardDatagram::Ask(ask));
    }
}

#[test]
fn a_page_of_a_listing_fits_into_a_datagram() {
    let changes = (0..CHANGES_TOLD).map(change).collect();
    let note = PeerNote { changes, ..answer() };
    assert!(encode_note(&note, &[]).len() < NOTE_LIMIT);
}

proptest! {
    #[test]
    fn any_bytes_are_borne(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        // Whether they are a datagram or not: nothing is lost but they.
        drop(decode_datagram(&bytes));
    }

    #[test]
    fn a_cut_datagram_is_borne(length in 0_usize..300) {
        let bytes = encode_note(&answer(), &[]);
        drop(decode_datagram(&bytes[..length.min(bytes.len())]));
    }
}
