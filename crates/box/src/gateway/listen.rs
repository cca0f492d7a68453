//! The socket that callers connect to. The kernel completes their connections whether or not anybody accepts them: each is
//! accepted before the socket is closed.

use std::io::ErrorKind;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

/// The entry's socket.
pub struct ListeningEntry(TcpListener);

impl ListeningEntry {
    /// Takes the address, and lets callers connect.
    ///
    /// # Errors
    /// What the system says, as where another process listens there.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        TcpListener::bind(address).await.map(Self)
    }

    /// Waits for a caller's connection.
    ///
    /// # Errors
    /// What the system says.
    pub async fn accept(&self) -> std::io::Result<TcpStream> {
        let (stream, _) = self.0.accept().await?;
        Ok(stream)
    }

    /// Refuses further connections. Gives those that nobody accepted yet: they would be reset, with the requests that
    /// stand in them.
    ///
    /// # Errors
    /// What the system says.
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
