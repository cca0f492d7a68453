//! The socket that callers connect to.
//!
//! The kernel completes connections before they are accepted, so all pending ones are accepted
//! before the socket is closed.

use std::io::ErrorKind;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

/// The entry's listening socket.
pub struct ListeningEntry(TcpListener);

impl ListeningEntry {
    /// Binds the address and starts listening.
    ///
    /// # Errors
    /// Returns the error of the operating system, for example if the address is in use.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        TcpListener::bind(address).await.map(Self)
    }

    /// Waits for a caller's connection.
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
