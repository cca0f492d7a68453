//! A loopback TCP proxy that injects network faults into its connections, all of them or those from
//! one address.

use std::collections::HashMap;
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
    /// New connections are reset; open ones continue.
    Refused,
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
            ProxyFault::None | ProxyFault::Delayed(_) | ProxyFault::Reset | ProxyFault::Refused => {
                false
            }
        }
    }
}

/// Faults of a proxy.
#[derive(Clone, Debug, Default)]
struct ProxyFaults {
    /// Of connections from any address.
    all: ProxyFault,
    /// Of connections from some addresses.
    from: HashMap<IpAddr, ProxyFault>,
}

impl ProxyFaults {
    /// Fault of connections from an address.
    fn of(&self, source: IpAddr) -> ProxyFault {
        match self.from.get(&source) {
            Some(fault) if *fault != ProxyFault::None => *fault,
            _ => self.all,
        }
    }
}

/// Faults of one connection.
#[derive(Clone)]
struct ConnectionFaults {
    source: IpAddr,
    faults: watch::Receiver<ProxyFaults>,
}

impl ConnectionFaults {
    fn now(&self) -> ProxyFault {
        self.faults.borrow().of(self.source)
    }

    /// Waits until the fault is as `matches` says. Returns an error if the proxy was dropped.
    async fn wait_for(
        &mut self,
        matches: impl Fn(ProxyFault) -> bool,
    ) -> Result<(), watch::error::RecvError> {
        let source = self.source;
        self.faults.wait_for(|faults| matches(faults.of(source))).await.map(drop)
    }
}

/// A running proxy before the store or a replica.
pub struct FaultProxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    faults: watch::Sender<ProxyFaults>,
}

impl FaultProxy {
    /// Starts a proxy on `ip` before `target`.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let (faults, state) = watch::channel(ProxyFaults::default());
        tokio::spawn(async move {
            while let Ok((stream, source)) = listener.accept().await {
                let state = ConnectionFaults { source: source.ip(), faults: state.clone() };
                tokio::spawn(forward(stream, target, state));
            }
        });
        Self { address, faults }
    }

    /// Sets the fault of present and future connections.
    pub fn set(&self, fault: ProxyFault) {
        self.faults.send_modify(|faults| faults.all = fault);
    }

    /// Sets the fault of present and future connections from an address.
    pub fn set_from(&self, source: IpAddr, fault: ProxyFault) {
        self.faults.send_modify(|faults| {
            faults.from.insert(source, fault);
        });
    }
}

/// Forwards one connection until either side ends it.
async fn forward(client: TcpStream, target: SocketAddr, mut state: ConnectionFaults) {
    // Without this, Nagle's algorithm delays small responses.
    drop(client.set_nodelay(true));
    if matches!(state.now(), ProxyFault::Reset | ProxyFault::Refused) {
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
        _ = state.wait_for(|fault| fault == ProxyFault::Reset) => {}
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
    mut state: ConnectionFaults,
) {
    let mut buffer = vec![0; PIECE_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if let ProxyFault::Delayed(by) = state.now() {
            tokio::time::sleep(by).await;
        }
        // Bytes that a fault blocks are forwarded when it is over.
        let passed = state.wait_for(|fault| !fault.blocks(way)).await.is_ok();
        if !passed || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
