//! Hears and sends datagrams between boxes: notes, asks, and the operator's records that an ask wants.

use std::net::SocketAddr;
use std::sync::Arc;

use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::peers::GossipMessage;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};

use super::answer_pace::AnswerSlot;
use super::driver::{GatewayDriver, PeerDatagram};
use super::note_wire::pages::PackedPages;
use super::note_wire::{
    decode_datagram, encode_ask, encode_note, encode_placement, encode_usage, encode_usage_ask,
    HeardDatagram,
};
use super::observe;
use super::tally::DatagramKind;
use super::told::take_told;

/// Largest datagram, in bytes.
pub const NOTE_LIMIT: usize = 60_000;

/// Bytes around the records in a datagram, at most: their tag and length.
const RECORDS_FRAME: usize = 8;

/// Hears other boxes' notes.
pub async fn hear_notes(driver: Arc<GatewayDriver>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; NOTE_LIMIT];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => match decode_datagram(&buffer[..length]) {
                Ok(HeardDatagram::Ask(ask)) if driver.answers.has_room() => {
                    driver.feed(RouteEvent::SyncRequested(ask));
                }
                // Who asked asks another box.
                Ok(HeardDatagram::Ask(_)) => driver.tally.count_dropped(DatagramKind::Answer),
                Ok(HeardDatagram::Placement(placement)) => {
                    driver.feed(RouteEvent::PlacementReceived(placement));
                }
                Ok(HeardDatagram::Note(note, records)) => {
                    if let Some(records) = records {
                        take_told(&driver, &note, &records);
                    }
                    driver.feed(RouteEvent::GossipReceived(note));
                }
                Ok(HeardDatagram::UsageRequest(ask)) => {
                    driver.feed(RouteEvent::UsageRequested(ask))
                }
                Ok(HeardDatagram::Usage(note)) => driver.feed(RouteEvent::UsageReceived(note)),
                Ok(HeardDatagram::Empty) => observe::note_bad_note("it is empty"),
                Err(error) => observe::note_bad_note(&error.to_string()),
            },
            // A box that is gone answers a note with an error on this socket.
            Err(error) => observe::note_socket_failed("notes", &error),
        }
    }
}

/// Sends notes and asks to other boxes, and answers where nothing else waits.
pub async fn send_notes(
    driver: Arc<GatewayDriver>,
    socket: Arc<UdpSocket>,
    mut notes: Receiver<PeerDatagram>,
    mut answers: UnboundedReceiver<PeerDatagram>,
) {
    let mut pages = PackedPages::default();
    let mut slot = AnswerSlot::default();
    loop {
        let busy = slot.until_free(driver.now());
        let datagram = tokio::select! {
            biased;
            datagram = notes.recv() => datagram,
            datagram = answers.recv(), if busy.is_zero() => datagram,
            () = tokio::time::sleep(busy), if !busy.is_zero() => continue,
        };
        // The senders live as long as the process.
        let Some(datagram) = datagram else { return };
        let answer = datagram.answer_bytes();
        let bytes = send_datagram(&driver, &socket, &mut pages, datagram).await;
        if let Some(expected) = answer {
            driver.answers.note_taken(expected);
            slot.note_sent(bytes, &driver.answers, driver.now());
        }
    }
}

/// Sends a datagram. Gives how long it was, in bytes.
async fn send_datagram(
    driver: &GatewayDriver,
    socket: &UdpSocket,
    pages: &mut PackedPages,
    datagram: PeerDatagram,
) -> usize {
    let kind = datagram.kind();
    let (targets, bytes) = match datagram {
        PeerDatagram::Note(targets, note) => (targets, encode_with_records(driver, pages, &note)),
        PeerDatagram::Placement(targets, placement) => (targets, encode_placement(placement)),
        PeerDatagram::Ask(target, ask) => (vec![target], encode_ask(&ask)),
        PeerDatagram::UsageRequest(targets, ask) => (targets, encode_usage_ask(&ask)),
        PeerDatagram::Usage(target, note) => (vec![target], encode_usage(&note)),
    };
    for target in &targets {
        let same_zone = driver.state().is_in_same_zone(target);
        driver.tally.count_datagram(kind, same_zone, bytes.len());
    }
    for target in targets.iter().filter_map(|target| target.parse::<SocketAddr>().ok()) {
        if let Err(error) = socket.send_to(&bytes, target).await {
            observe::note_socket_failed("notes", &error);
        }
    }
    bytes.len()
}

/// Encodes a note with the records that the ask wants which it answers, if all fits into a datagram. Who gets
/// its replicas' entries without them asks again, and who needs more than a datagram reads the store.
fn encode_with_records(
    driver: &GatewayDriver,
    pages: &mut PackedPages,
    note: &GossipMessage,
) -> Vec<u8> {
    let page = pages.of(note);
    let bare = encode_note(note, None, page);
    let Some(ask) = note.in_reply_to.as_ref().filter(|ask| ask.known < note.known) else {
        return bare;
    };
    let mut operator = driver.operator();
    let records = operator.since(ask.known);
    if bare.len() + records.as_bytes().len() + RECORDS_FRAME > NOTE_LIMIT {
        operator.note_untold(ask.known.read_to, NOTE_LIMIT);
        return bare;
    }
    encode_note(note, Some(records), page)
}
