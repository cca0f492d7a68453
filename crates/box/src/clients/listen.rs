//! Listening sockets for clients.
//!
//! The kernel completes connections before they are accepted, so all pending ones are accepted
//! before the socket is closed.

use std::io::ErrorKind;
use std::net::SocketAddr;

use crate::observe::log_socket_failed;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that the kernel completes before they are accepted.
const BACKLOG: u32 = 1_024;

/// Receive buffer of a connection, in bytes, which bounds what the kernel holds of a client that is
/// not read. The kernel doubles it for its own overhead.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Receive buffer of a connection while a long body arrives, in bytes: enough for a distant client.
pub const BODY_BUFFER_BYTES: usize = 128 << 10;

/// A listening socket.
pub struct ClientListener(TcpListener);

impl ClientListener {
    /// Binds the address and starts listening. Connections inherit the size of the receive buffer.
    ///
    /// # Errors
    /// Returns the error of the operating system, for example if the address is in use.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32) {
            log_socket_failed("receive buffer", &error);
        }
        socket.bind(address)?;
        socket.listen(BACKLOG).map(Self)
    }

    /// Waits for a connection.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub async fn accept(&self) -> std::io::Result<TcpStream> {
        let (stream, _) = self.0.accept().await?;
        Ok(stream)
    }

    /// Closes the socket. Returns the pending connections: unaccepted, they would be reset together
    /// with the requests that they carry.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub fn close(self) -> std::io::Result<Vec<TcpStream>> {
        let listener = self.0.into_std()?;
        let mut pending = Vec::new();
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    pending.push(TcpStream::from_std(stream)?);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(pending),
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
    }
}
