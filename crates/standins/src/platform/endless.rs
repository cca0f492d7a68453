//! Parts of a replica's response that never end.

use std::time::Duration;

use super::wire::{chunk, response_head};

/// Length that a response states and its body never reaches, in bytes.
const STATED_LENGTH: u64 = 1 << 40;

/// The same for a body that is sent slowly: one that a router may read.
const SLOW_LENGTH: u64 = 1 << 20;

/// Size of a piece of a part that is sent fast, in bytes.
const PIECE_BYTES: usize = 8 << 10;

/// Time between two pieces of a part that is sent slowly.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// A part of a response without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// Bytes before any request.
    Banner,
    /// Header lines.
    Headers,
    /// One header line, a byte at a time.
    SlowHeader,
    /// Interim responses (1xx).
    Interims,
    /// Interim responses, a byte at a time.
    SlowInterims,
    /// A body with a stated length.
    Length,
    /// A body with a stated length, a byte at a time.
    SlowLength,
    /// Chunks of a body.
    Chunks,
    /// Leading zeros of a chunk's size.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailers after the last chunk.
    Trailers,
    /// A body with neither a length nor chunks.
    Unframed,
    /// Bytes after a whole response.
    Surplus,
    /// Whole events of a stream.
    Events,
    /// One event of a stream.
    Event,
    /// One event of a stream, a byte at a time.
    SlowEvent,
    /// Comments of a stream.
    Comments,
    /// Comments of a stream, one at a time.
    SlowComments,
    /// Comment lines of a stream without blank lines, one at a time.
    SlowCommentLines,
}

impl EndlessPart {
    /// Bytes of the response before the part, for the request with this id.
    pub(super) fn start(self, id: &str) -> Vec<u8> {
        let framing = match self {
            Self::Banner | Self::Interims | Self::SlowInterims => return Vec::new(),
            Self::Headers => "",
            Self::SlowHeader => "X-Long: ",
            Self::Length => &format!("Content-Length: {STATED_LENGTH}\r\n\r\n"),
            Self::SlowLength => &format!("Content-Length: {SLOW_LENGTH}\r\n\r\n"),
            Self::Unframed => "Connection: close\r\n\r\n",
            Self::Surplus => "Content-Length: 2\r\n\r\nok",
            Self::ChunkExtension => "Transfer-Encoding: chunked\r\n\r\n5;",
            Self::Trailers => "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
            Self::Event | Self::SlowEvent => "Transfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n",
            _ => "Transfer-Encoding: chunked\r\n\r\n",
        };
        let headers = [("X-Ravenspoke-Request-Id", id), ("X-Ravenspoke-Response-Stamp", "stamp")];
        let mut bytes = response_head(200, &headers);
        bytes.extend(framing.as_bytes());
        bytes
    }

    /// Bytes that are repeated.
    pub(super) fn piece(self) -> Vec<u8> {
        let many = |text: &str| text.repeat(PIECE_BYTES / text.len()).into_bytes();
        match self {
            Self::Banner => many("hello\r\n"),
            Self::Headers | Self::Trailers => many("X-More: value\r\n"),
            Self::SlowHeader | Self::SlowLength => b"x".to_vec(),
            Self::Interims => many("HTTP/1.1 103 Early Hints\r\n\r\n"),
            Self::SlowInterims => b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(),
            Self::Length | Self::Unframed | Self::Surplus | Self::ChunkExtension => many("x"),
            Self::Chunks | Self::Event => chunk(&many("x")),
            Self::ChunkSize => many("0"),
            Self::Events => chunk(format!("data: {}\n\n", "x".repeat(PIECE_BYTES)).as_bytes()),
            Self::SlowEvent => chunk(b"x"),
            Self::Comments => chunk(&many(": wait\n\n")),
            Self::SlowComments => chunk(b": wait\n\n"),
            Self::SlowCommentLines => chunk(b": wait\n"),
        }
    }

    /// Time between two pieces, if they are sent slowly.
    pub(super) fn pause(self) -> Option<Duration> {
        let is_slow = matches!(
            self,
            Self::SlowHeader
                | Self::SlowInterims
                | Self::SlowLength
                | Self::SlowEvent
                | Self::SlowComments
                | Self::SlowCommentLines
        );
        is_slow.then_some(SLOW_PAUSE)
    }
}
