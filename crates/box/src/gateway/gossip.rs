//! Receives and sends datagrams between boxes: gossip messages, sync requests and responses, and
//! the operator's records in sync responses.

use std::net::SocketAddr;
use std::sync::Arc;

use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::peers::GossipMessage;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};

use super::control_stats::DatagramKind;
use super::driver::{GatewayDriver, PeerDatagram};
use super::gossip_wire::pages::PackedPages;
use super::gossip_wire::{
    decode_datagram, encode_gossip, encode_placement, encode_sync_request, encode_usage_request,
    encode_usage_response, DecodedDatagram,
};
use super::observe;
use super::operator_records::apply_received;
use super::sync_pacer::SyncSlot;

/// Maximum size of a datagram, in bytes.
pub const DATAGRAM_LIMIT: usize = 60_000;

/// Maximum overhead of the records in a datagram, in bytes: their tag and length.
const RECORDS_OVERHEAD: usize = 8;

/// Receives datagrams of other boxes and feeds them to the reducer.
pub async fn receive_datagrams(driver: Arc<GatewayDriver>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => match decode_datagram(&buffer[..length]) {
                Ok(DecodedDatagram::SyncRequest(request)) if driver.sync_pacer.has_room() => {
                    driver.feed(RouteEvent::SyncRequested(request));
                }
                // The request is dropped; the requesting box sends it to another box.
                Ok(DecodedDatagram::SyncRequest(_)) => {
                    driver.stats.count_dropped(DatagramKind::SyncResponse)
                }
                Ok(DecodedDatagram::Placement(placement)) => {
                    driver.feed(RouteEvent::PlacementReceived(placement));
                }
                Ok(DecodedDatagram::Gossip(message, records)) => {
                    if let Some(records) = records {
                        apply_received(&driver, &message, &records);
                    }
                    driver.feed(RouteEvent::GossipReceived(message));
                }
                Ok(DecodedDatagram::UsageRequest(request)) => {
                    driver.feed(RouteEvent::UsageRequested(request))
                }
                Ok(DecodedDatagram::UsageResponse(response)) => {
                    driver.feed(RouteEvent::UsageReceived(response))
                }
                Ok(DecodedDatagram::Empty) => observe::log_bad_gossip("the datagram is empty"),
                Err(error) => observe::log_bad_gossip(&error.to_string()),
            },
            // A datagram to a box that no longer runs results in an error on this socket.
            Err(error) => observe::log_socket_failed("notes", &error),
        }
    }
}

/// Sends datagrams to other boxes. Sync responses are sent only when nothing else is queued.
pub async fn send_datagrams(
    driver: Arc<GatewayDriver>,
    socket: Arc<UdpSocket>,
    mut gossip: Receiver<PeerDatagram>,
    mut responses: UnboundedReceiver<PeerDatagram>,
) {
    let mut pages = PackedPages::default();
    let mut slot = SyncSlot::default();
    loop {
        let pause = slot.until_free(driver.now());
        let datagram = tokio::select! {
            biased;
            datagram = gossip.recv() => datagram,
            datagram = responses.recv(), if pause.is_zero() => datagram,
            () = tokio::time::sleep(pause), if !pause.is_zero() => continue,
        };
        // The senders live as long as the process.
        let Some(datagram) = datagram else { return };
        let response_bytes = datagram.sync_response_bytes();
        let bytes = send_datagram(&driver, &socket, &mut pages, datagram).await;
        if let Some(expected) = response_bytes {
            driver.sync_pacer.remove_queued(expected);
            slot.add_sent(bytes, &driver.sync_pacer, driver.now());
        }
    }
}

/// Sends a datagram. Returns its length in bytes.
async fn send_datagram(
    driver: &GatewayDriver,
    socket: &UdpSocket,
    pages: &mut PackedPages,
    datagram: PeerDatagram,
) -> usize {
    let kind = datagram.kind();
    let (targets, bytes) = match datagram {
        PeerDatagram::Gossip(targets, message) => {
            (targets, encode_with_records(driver, pages, &message))
        }
        PeerDatagram::Placement(targets, placement) => (targets, encode_placement(placement)),
        PeerDatagram::SyncRequest(target, request) => (vec![target], encode_sync_request(&request)),
        PeerDatagram::UsageRequest(targets, request) => (targets, encode_usage_request(&request)),
        PeerDatagram::UsageResponse(target, response) => {
            (vec![target], encode_usage_response(&response))
        }
    };
    for target in &targets {
        let same_zone = driver.state().is_in_same_zone(target);
        driver.stats.count_datagram(kind, same_zone, bytes.len());
    }
    for target in targets.iter().filter_map(|target| target.parse::<SocketAddr>().ok()) {
        if let Err(error) = socket.send_to(&bytes, target).await {
            observe::log_socket_failed("notes", &error);
        }
    }
    bytes.len()
}

/// Encodes a message with the operator's records that the requesting box lacks, if all fit into a
/// datagram. A box that receives replica entries without the records sends another request, and a
/// box that needs more than a datagram reads the store.
fn encode_with_records(
    driver: &GatewayDriver,
    pages: &mut PackedPages,
    message: &GossipMessage,
) -> Vec<u8> {
    let page = pages.get_or_pack(message);
    let without_records = encode_gossip(message, None, page);
    let Some(request) = message
        .in_reply_to
        .as_ref()
        .filter(|request| request.plan_position < message.plan_position)
    else {
        return without_records;
    };
    let mut operator = driver.operator();
    let records = operator.records_after(request.plan_position);
    if without_records.len() + records.as_bytes().len() + RECORDS_OVERHEAD > DATAGRAM_LIMIT {
        operator.log_oversized(request.plan_position.read_to, DATAGRAM_LIMIT);
        return without_records;
    }
    encode_gossip(message, Some(records), page)
}
