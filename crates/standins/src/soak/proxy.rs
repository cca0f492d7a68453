//! A loopback TCP proxy that injects network faults into its connections.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Largest piece that is forwarded at once, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// Fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// No fault.
    #[default]
    None,
    /// Each piece is delayed by this time.
    Delayed(Duration),
    /// Connections are reset, new ones too.
    Reset,
    /// Nothing is forwarded to the target.
    CutThere,
    /// Nothing is forwarded from the target.
    CutBack,
    /// Nothing is forwarded in either direction.
    Silent,
}

/// Direction of bytes: to the target, or back from it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

impl ProxyFault {
    fn blocks(self, way: Direction) -> bool {
        match self {
            ProxyFault::CutThere => way == Direction::There,
            ProxyFault::CutBack => way == Direction::Back,
            ProxyFault::Silent => true,
            ProxyFault::None | ProxyFault::Delayed(_) | ProxyFault::Reset => false,
        }
    }
}

/// A running proxy before the store or a replica.
pub struct FaultProxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    fault: watch::Sender<ProxyFault>,
}

impl FaultProxy {
    /// Starts a proxy on `ip` before `target`.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let (fault, state) = watch::channel(ProxyFault::None);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, state.clone()));
            }
        });
        Self { address, fault }
    }

    /// Sets the fault of present and future connections.
    pub fn set(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }
}

/// Forwards one connection until either side ends it.
async fn forward(client: TcpStream, target: SocketAddr, mut state: watch::Receiver<ProxyFault>) {
    // Without this, Nagle's algorithm delays small responses.
    drop(client.set_nodelay(true));
    if *state.borrow() == ProxyFault::Reset {
        return reset(client);
    }
    let Ok(upstream) = TcpStream::connect(target).await else { return reset(client) };
    drop(upstream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = upstream.into_split();
    tokio::select! {
        () = copy(client_read, target_write, Direction::There, state.clone()) => {}
        () = copy(target_read, client_write, Direction::Back, state.clone()) => {}
        // An error means that the proxy was dropped, which ends its connections too.
        _ = state.wait_for(|fault| *fault == ProxyFault::Reset) => {}
    }
}

/// Closes a connection with a reset.
fn reset(client: TcpStream) {
    drop(client.set_zero_linger());
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Direction,
    mut state: watch::Receiver<ProxyFault>,
) {
    let mut buffer = vec![0; PIECE_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let fault = *state.borrow();
        if let ProxyFault::Delayed(by) = fault {
            tokio::time::sleep(by).await;
        }
        // Bytes that a fault blocks are forwarded when it is over.
        let passed = state.wait_for(|fault| !fault.blocks(way)).await.is_ok();
        if !passed || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
