//! A connection to a replica, of which only a bounded number of bytes is read for each part of a
//! response.
//!
//! Load pattern: a replica that sends without end, in a way that adds nothing to a head or a body,
//! such as interim responses or the leading zeros of a chunk's size.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of a response head, and of what is read ahead of a body, in bytes.
pub const READ_BUFFER_BYTES: usize = 64 << 10;

/// Receive buffer of a connection, in bytes. The kernel doubles it for its own overhead.
pub const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Receive buffer while a long answer is read whose memory is accounted for, in bytes.
pub const WIDE_BUFFER_BYTES: usize = 256 << 10;

/// Bytes that are read at once on a connection without a wide buffer, at most.
const PIECE_BYTES: usize = 16 << 10;

/// Bytes that are looked at behind the end of an answer, at most.
const WAITING_BYTES: usize = 64;

/// The replica sent more bytes than the part of the response may have.
#[derive(Debug, thiserror::Error)]
#[error("the replica sends more bytes than a response may have")]
pub struct TooManyBytes;

/// What may still be read from a connection, and how fast.
#[derive(Clone, Debug)]
pub struct ReadAllowance(Arc<AllowedRead>);

#[derive(Debug)]
struct AllowedRead {
    /// Bytes that may still be read.
    bytes: AtomicUsize,
    /// Whether the receive buffer may be a wide one.
    is_wide: AtomicBool,
}

impl ReadAllowance {
    /// The allowance for a head, with the start of the body that is read together with it.
    pub const HEAD_BYTES: usize = 2 * READ_BUFFER_BYTES;

    /// Creates the allowance of a connection before its first request.
    pub fn for_head() -> Self {
        let (bytes, is_wide) = (AtomicUsize::new(Self::HEAD_BYTES), AtomicBool::new(false));
        Self(Arc::new(AllowedRead { bytes, is_wide }))
    }

    /// Sets the bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.bytes.store(bytes, Ordering::Relaxed);
    }

    /// Allows a wide receive buffer until the next request.
    pub fn widen(&self) {
        self.0.is_wide.store(true, Ordering::Relaxed);
    }

    fn is_wide(&self) -> bool {
        self.0.is_wide.load(Ordering::Relaxed)
    }

    fn narrow(&self) {
        self.0.is_wide.store(false, Ordering::Relaxed);
    }

    /// Bytes that may still be read.
    fn left(&self) -> usize {
        self.0.bytes.load(Ordering::Relaxed)
    }

    /// Subtracts bytes that were read. Another thread may have set the allowance since.
    fn subtract(&self, bytes: usize) {
        let less = |left: usize| Some(left.saturating_sub(bytes));
        // The closure always returns a value, so the update can't fail.
        let _ = self.0.bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
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
    /// Whether the receive buffer is a wide one.
    is_wide: bool,
}

impl ReplicaStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, allowance: ReadAllowance, written: WrittenBytes) -> Self {
        Self { stream, allowance, written, is_wide: false }
    }

    /// The first of the bytes that have arrived and were not read.
    pub fn read_waiting(&self) -> Bytes {
        let mut bytes = [0; WAITING_BYTES];
        // An error means that there are none.
        let read = self.stream.try_read(&mut bytes).unwrap_or(0);
        Bytes::copy_from_slice(&bytes[..read])
    }

    fn note_written(&mut self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.written.add(*bytes);
        }
        self.allowance.narrow();
        self.set_wide(false);
    }

    /// Reads what has arrived, a piece at a time unless the receive buffer is wide.
    fn read_piece(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_wide || buffer.remaining() <= PIECE_BYTES {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let mut bytes = [0; PIECE_BYTES];
        let mut piece = ReadBuf::new(&mut bytes);
        let read = Pin::new(&mut self.stream).poll_read(context, &mut piece);
        buffer.put_slice(piece.filled());
        read
    }

    fn set_wide(&mut self, is_wide: bool) {
        if is_wide != self.is_wide {
            self.is_wide = is_wide;
            let bytes = if is_wide { WIDE_BUFFER_BYTES } else { RECEIVE_BUFFER_BYTES };
            // Where it can't be set, the buffer stays as it was.
            let _ = socket2::SockRef::from(&self.stream).set_recv_buffer_size(bytes);
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
        let is_wide = self.allowance.is_wide();
        self.set_wide(is_wide);
        let read = self.read_piece(context, buffer);
        let received = buffer.filled().len() - before;
        self.allowance.subtract(received);
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
