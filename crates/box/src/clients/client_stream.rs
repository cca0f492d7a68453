//! A client's connection, which counts what it receives, and records whether the client takes the
//! bytes offered to it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection_table::OpenConnection;
use super::listen::{BODY_BUFFER_BYTES, RECEIVE_BUFFER_BYTES};
use super::slow_readers::{ReaderMeter, SEND_BUFFER_BYTES, UNSENT_BYTES};

/// A client's connection.
pub struct ClientStream {
    stream: TcpStream,
    connection: Arc<OpenConnection>,
    /// Progress of the client in reading, if it is recorded.
    meter: Option<Arc<ReaderMeter>>,
    /// Bytes of the body that is received.
    body_bytes: usize,
    /// Whether the receive buffer is the one for long bodies.
    is_wide: bool,
}

impl ClientStream {
    /// Wraps a connection.
    pub fn new(
        stream: TcpStream,
        connection: Arc<OpenConnection>,
        meter: Option<Arc<ReaderMeter>>,
    ) -> Self {
        Self { stream, connection, meter, body_bytes: 0, is_wide: false }
    }

    /// Fits the kernel's receive buffer to what arrives: a long body needs a larger one.
    fn fit_buffer(&mut self, received: usize) {
        if !self.connection.reads_body() {
            self.body_bytes = 0;
            return self.set_wide(false);
        }
        self.body_bytes += received;
        let is_long = self.body_bytes > RECEIVE_BUFFER_BYTES;
        if is_long && !self.is_wide && self.connection.widen() {
            self.set_wide(true);
        }
    }

    fn set_wide(&mut self, is_wide: bool) {
        if is_wide != self.is_wide {
            self.is_wide = is_wide;
            let bytes = if is_wide { BODY_BUFFER_BYTES } else { RECEIVE_BUFFER_BYTES };
            // Where it can't be set, the buffer stays as it was.
            let _ = socket2::SockRef::from(&self.stream).set_recv_buffer_size(bytes);
        }
    }

    /// Records the outcome of a write of `offered` bytes.
    fn record(&self, offered: usize, written: &Poll<io::Result<usize>>) {
        let Some(meter) = &self.meter else { return };
        match written {
            Poll::Ready(Ok(taken)) => meter.record_write(offered, *taken),
            Poll::Pending => meter.record_write(offered, 0),
            Poll::Ready(Err(_)) => {}
        }
    }
}

/// Sets the options of a client's connection: small writes are sent at once, and the kernel accepts
/// few bytes that the client does not take.
///
/// # Errors
/// Returns the error of the operating system, for example if the client has closed the connection.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_tcp_notsent_lowat(UNSENT_BYTES)
}

impl Drop for ClientStream {
    /// Resets the connection of a stalled reader: a normal close would look like the end of a
    /// response that has neither a length nor chunks, and the kernel would keep the bytes.
    fn drop(&mut self) {
        if !self.meter.as_ref().is_some_and(|meter| meter.is_ended()) {
            return;
        }
        // An error means that the connection is closed already.
        let _ = self.stream.set_zero_linger();
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        if received > 0 {
            self.connection.receive(received).map_err(io::Error::other)?;
            self.fit_buffer(received);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(bytes.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(slices.iter().map(|slice| slice.len()).sum(), &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
