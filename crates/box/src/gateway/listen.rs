//! Life of the socket that callers connect to: bound at the start, listening while the box takes callers, closed at the
//! planned stop before the process ends.
//!
//! A socket that is bound and does not listen refuses connections, so that a caller tries another address at once. One
//! that listens makes the kernel complete connections, whether anybody accepts them or not.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that the kernel keeps until they are accepted.
const ACCEPT_QUEUE: u32 = 1_024;

/// The entry's address, held by this process; connections to it are refused.
pub struct BoundEntry(TcpSocket);

/// The entry, listening.
pub struct ListeningEntry(TcpListener);

impl BoundEntry {
    /// Takes the address.
    ///
    /// # Errors
    /// What the system says, as where another process listens there.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // Connections of a former process may still be ending.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self(socket))
    }

    /// Lets callers connect from now on.
    ///
    /// # Errors
    /// What the system says, as where another process that held the address, too, listens by now.
    pub fn listen(self) -> std::io::Result<ListeningEntry> {
        self.0.listen(ACCEPT_QUEUE).map(ListeningEntry)
    }
}

impl ListeningEntry {
    /// Waits for a caller's connection.
    ///
    /// # Errors
    /// What the system says.
    pub async fn accept(&self) -> std::io::Result<TcpStream> {
        let (stream, _) = self.0.accept().await?;
        Ok(stream)
    }

    /// Refuses further connections. Gives those that are complete and that nobody accepted yet: they would be reset,
    /// with the requests that stand in them.
    ///
    /// # Errors
    /// What the system says.
    pub fn close(self) -> std::io::Result<Vec<TcpStream>> {
        let listener = self.0.into_std()?;
        let mut waiting = Vec::new();
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    waiting.push(TcpStream::from_std(stream)?);
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Ok(waiting),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
    }
}
