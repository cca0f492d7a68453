//! Tests that docs/EVENTS.md and the code list the same events, and that the stream reader accepts
//! arbitrary bytes.

use proptest::prelude::*;
use ravenspoke_box::observe::EVENT_CATALOGUE;
use ravenspoke_box::stream::EventReader;

#[test]
fn documented_events_match_the_event_catalogue() {
    let page =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md"));
    let page = page.expect("docs/EVENTS.md is there");
    let listed: Vec<(u32, String)> = page
        .lines()
        .filter_map(|line| {
            let mut cells = line.strip_prefix("| ")?.split(" | ");
            let number = cells.next()?.parse().ok()?;
            Some((number, cells.next()?.trim_matches('`').to_owned()))
        })
        .collect();

    let coded: Vec<(u32, String)> =
        EVENT_CATALOGUE.iter().map(|(number, name)| (*number, (*name).to_owned())).collect();
    assert_eq!(listed, coded);
}

#[test]
fn logged_events_match_the_event_catalogue() {
    let mut logged = std::collections::BTreeSet::new();
    let gateway =
        ["mod", "effects", "requests", "store"].map(|name| format!("gateway/observe/{name}"));
    let others = ["observe", "links", "follow", "operator", "process", "main"].map(str::to_owned);
    for file in others.into_iter().chain(gateway) {
        let path = format!("{}/src/{file}.rs", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("a source file");
        for part in text.split("event = ").skip(1) {
            let number: String = part.chars().take_while(char::is_ascii_digit).collect();
            logged.extend(number.parse::<u32>());
        }
    }
    let coded: std::collections::BTreeSet<u32> =
        EVENT_CATALOGUE.iter().map(|(number, _)| *number).collect();
    assert_eq!(logged, coded);
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_end_a_stream_without_its_marker(
        pieces in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..80), 0..12)
    ) {
        let mut reader = EventReader::default();
        let mut all = Vec::new();
        for piece in &pieces {
            all.extend_from_slice(piece);
            if reader.push(piece).is_err() {
                return Ok(());
            }
        }
        let marked = all.windows(12).any(|window| window == b"data: [DONE]");
        prop_assert!(!reader.ended || marked);
    }

    #[test]
    fn stream_cut_before_its_marker_is_not_complete(cut in 0usize..60, step in 1usize..20) {
        let stream = b"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n";
        let end = stream.len() - 1 - cut.min(stream.len() - 1);
        let mut reader = EventReader::default();
        for piece in stream[..end].chunks(step) {
            reader.push(piece).expect("short events");
        }
        prop_assert!(!reader.ended);
    }
}
