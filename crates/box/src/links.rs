//! Links to other boxes: one outgoing connection for each box to which this one sends messages.
//!
//! Messages are hints and repeats are harmless, so a link that cannot keep up drops new messages,
//! and the reducer requests what it lacks again. Requests to witness bills are repeated after a
//! bound.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use ravenspoke_core::event::BoxEvent;
use ravenspoke_core::message::{PeerBody, PeerMessage};
use ravenspoke_peer::{hello_codec, raw_codec, PeerCodec, PeerHello, CHALLENGE_BYTES};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{channel, Receiver, Sender, UnboundedReceiver};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedWrite};

use crate::driver::BoxDriver;

/// Messages that may be queued for one link.
const LINK_QUEUE: usize = 1_024;

/// Timeout for connecting and the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Boxes that may connect at the same time. Who connects is not known before the handshake.
const HANDSHAKE_LIMIT: usize = 256;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time without messages after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The identity with which this box connects to others.
#[derive(Clone)]
pub struct LinkIdentity {
    /// Box name.
    pub name: String,
    /// Incarnation of the box's process.
    pub incarnation: u64,
    /// Secret that all boxes share.
    pub key: Arc<[u8]>,
}

/// Passes messages to links and opens links as needed.
pub async fn run_links(
    identity: LinkIdentity,
    driver: Arc<BoxDriver>,
    mut messages: UnboundedReceiver<(String, PeerBody)>,
) {
    let mut links: HashMap<String, Sender<PeerMessage>> = HashMap::new();
    while let Some((name, body)) = messages.recv().await {
        let message = PeerMessage {
            from: identity.name.clone(),
            incarnation: identity.incarnation,
            body: Some(body),
        };
        let link = links.get(&name).filter(|link| !link.is_closed());
        let link = match link {
            Some(link) => link.clone(),
            None => {
                let address = driver.state().members().find(&name).map(|r| r.listed.peer.clone());
                let Some(address) = address else { continue };
                let (sender, receiver) = channel(LINK_QUEUE);
                tokio::spawn(run_link(identity.clone(), address, receiver));
                links.insert(name, sender.clone());
                sender
            }
        };
        // A full queue means that the other box does not read; it will request what it misses.
        let _ = link.try_send(message);
    }
}

/// Writes one link's messages until the link is idle or fails; the next message opens a new link.
async fn run_link(identity: LinkIdentity, address: String, mut messages: Receiver<PeerMessage>) {
    let connected = timeout(CONNECT_TIMEOUT, connect(&identity, &address)).await;
    let Ok(Ok(stream)) = connected else { return };
    let mut frames = FramedWrite::new(stream, PeerCodec::default());
    while let Ok(Some(message)) = timeout(IDLE_TIMEOUT, messages.recv()).await {
        if frames.feed(message).await.is_err() {
            return;
        }
        while let Ok(message) = messages.try_recv() {
            if frames.feed(message).await.is_err() {
                return;
            }
        }
        if frames.flush().await.is_err() {
            return;
        }
    }
}

async fn connect(identity: &LinkIdentity, address: &str) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut frames = Framed::new(stream, raw_codec());
    let challenge = frames.next().await.ok_or(std::io::ErrorKind::UnexpectedEof)??;
    let hello = PeerHello::answer(&identity.key, &challenge, &identity.name);
    frames.send(Bytes::from(hello.encode_to_vec())).await?;
    Ok(frames.into_inner())
}

/// Accepts links from other boxes.
pub async fn accept_links(identity: LinkIdentity, driver: Arc<BoxDriver>, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(HANDSHAKE_LIMIT));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, or the box disconnected at once.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(handshake) = handshakes.clone().try_acquire_owned() else {
            metrics::counter!("ravenspoke_peers_refused_total").increment(1);
            continue;
        };
        tokio::spawn(read_link(identity.clone(), driver.clone(), stream, handshake));
    }
}

async fn read_link(
    identity: LinkIdentity,
    driver: Arc<BoxDriver>,
    stream: TcpStream,
    handshake: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let hello = timeout(CONNECT_TIMEOUT, accept_hello(&identity, stream)).await;
    drop(handshake);
    let Ok(Ok((name, mut frames))) = hello else {
        metrics::counter!("ravenspoke_peers_refused_total").increment(1);
        tracing::warn!(event = 601, name = "peer_refused");
        return;
    };
    while let Some(Ok(message)) = frames.next().await {
        // Messages are accepted only from the box that authenticated the link.
        if message.from == name {
            driver.feed(BoxEvent::PeerMessage(message));
        }
    }
}

async fn accept_hello(
    identity: &LinkIdentity,
    stream: TcpStream,
) -> std::io::Result<(String, Framed<TcpStream, PeerCodec>)> {
    let challenge: [u8; CHALLENGE_BYTES] = rand::random();
    let mut frames = Framed::new(stream, hello_codec());
    frames.send(Bytes::copy_from_slice(&challenge)).await?;
    let hello = frames.next().await.ok_or(std::io::ErrorKind::UnexpectedEof)??;
    let hello = PeerHello::decode(hello).map_err(std::io::Error::other)?;
    if !hello.is_valid(&identity.key, &challenge) {
        return Err(std::io::ErrorKind::PermissionDenied.into());
    }
    // The peer does not wait after its hello, so bytes that were read ahead go to the next codec.
    Ok((hello.name, frames.map_codec(|_| PeerCodec::default())))
}
