//! The body of a response that is held whole.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::memory_account::MemoryShare;
use super::slow_readers::ReaderMeter;

/// Bytes that are handed to the connection at once. It takes more when it has written most of them,
/// so that the body is dropped only when nearly all of it is written.
const PIECE_BYTES: usize = 16 << 10;

/// A body that is held whole, with its share of the memory, until it is written.
pub struct WholeBody {
    /// What is left of it.
    bytes: Bytes,
    _share: Option<MemoryShare>,
    /// Progress of the client in reading, if it is recorded.
    reader: Option<Arc<ReaderMeter>>,
}

impl WholeBody {
    /// The body of a response to the client of `reader`. A short one of the process itself has no
    /// share of the memory.
    pub fn new(bytes: Bytes, share: Option<MemoryShare>, reader: Option<Arc<ReaderMeter>>) -> Self {
        Self { bytes, _share: share, reader }
    }
}

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.bytes.len().min(PIECE_BYTES);
        // A copy does not keep the rest of the body.
        let piece = Bytes::copy_from_slice(&self.bytes.split_to(length));
        if let Some(reader) = &self.reader {
            reader.set_unwritten(self.bytes.len());
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

impl Drop for WholeBody {
    fn drop(&mut self) {
        if let Some(reader) = &self.reader {
            reader.set_unwritten(0);
        }
    }
}
