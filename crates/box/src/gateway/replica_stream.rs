//! A connection to a replica, of which only a bounded number of bytes is read for each part of a
//! response.
//!
//! Load pattern: a replica that sends without end, in a way that adds nothing to a head or a body,
//! such as interim responses or the leading zeros of a chunk's size.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of a response head, and of what is read ahead of a body, in bytes.
pub const READ_BUFFER_BYTES: usize = 64 << 10;

/// The replica sent more bytes than the part of the response may have.
#[derive(Debug, thiserror::Error)]
#[error("the replica sends more bytes than a response may have")]
pub struct TooManyBytes;

/// Number of bytes that may still be read from a connection.
#[derive(Clone, Debug)]
pub struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    /// The allowance for a head, with the start of the body that is read together with it.
    pub const HEAD_BYTES: usize = 2 * READ_BUFFER_BYTES;

    /// Creates the allowance of a connection before its first request.
    pub fn for_head() -> Self {
        Self(Arc::new(AtomicUsize::new(Self::HEAD_BYTES)))
    }

    /// Sets the bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Bytes that may still be read.
    fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Subtracts bytes that were read. Another thread may have set the allowance since.
    fn subtract(&self, bytes: usize) {
        let less = |left: usize| Some(left.saturating_sub(bytes));
        // The closure always returns a value, so the update can't fail.
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
    }
}

/// Number of bytes that were handed to the operating system on a connection.
#[derive(Clone, Debug, Default)]
pub struct WrittenBytes(Arc<AtomicUsize>);

impl WrittenBytes {
    /// Bytes so far.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A connection to a replica.
pub struct ReplicaStream {
    stream: TcpStream,
    allowance: ReadAllowance,
    written: WrittenBytes,
}

impl ReplicaStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, allowance: ReadAllowance, written: WrittenBytes) -> Self {
        Self { stream, allowance, written }
    }

    fn note_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.written.add(*bytes);
        }
    }
}

impl AsyncRead for ReplicaStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.left() == 0 {
            return Poll::Ready(Err(io::Error::other(TooManyBytes)));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.allowance.subtract(buffer.filled().len() - before);
        read
    }
}

impl AsyncWrite for ReplicaStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_written(&result);
        result
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
