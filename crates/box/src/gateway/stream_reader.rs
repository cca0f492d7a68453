//! Reads a stream from a place that answers it, in whole events.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http::HeaderMap;
use hyper::body::Incoming;

use super::event_splitter::{EventSplitter, WholeEvents, EVENT_LIMIT};
use super::replica_link::{LinkUse, ReplicaLink};

use crate::clients::memory_account::{MemoryAccount, MemoryShare};
use http_body_util::BodyExt;

/// Maximum number of bytes that are read of a stream between two events. Chunks have a few bytes in
/// addition to the events.
pub(super) const STREAM_ALLOWANCE: usize = 2 * EVENT_LIMIT;

/// The far side of a stream. Dropping it closes the connection.
pub struct StreamSource {
    pub(super) body: Incoming,
    pub(super) link: ReplicaLink,
    pub(super) link_use: LinkUse,
    /// Headers of the response.
    pub(super) headers: HeaderMap,
}

/// Next piece of a stream.
#[derive(Debug)]
pub enum StreamPiece {
    /// Whole events.
    Events(WholeEvents),
    /// The stream ended where an event may end.
    End,
    /// The stream broke.
    Broken(&'static str),
}

/// Reads a stream that may have several sources, one after the other.
pub struct StreamReader {
    source: Option<StreamSource>,
    splitter: EventSplitter,
    /// Comments that were read and not relayed yet.
    held_comments: BytesMut,
    /// Whether the stream may end: the caller has an event of it.
    may_end: bool,
    /// What a long event takes of the memory while it is partial.
    share: MemoryShare,
}

impl StreamReader {
    /// Creates a reader of `source`. `is_resumed`: whether the caller has the events before it.
    /// Long events take their memory from `account`.
    pub(super) fn new(
        source: StreamSource,
        is_resumed: bool,
        account: &Arc<MemoryAccount>,
    ) -> Self {
        let (splitter, held_comments) = (EventSplitter::default(), BytesMut::new());
        let share = MemoryShare::new(account);
        Self { source: Some(source), splitter, held_comments, may_end: is_resumed, share }
    }

    /// The next piece, after the comments that were held. Nothing is lost if the future is dropped
    /// before it is ready.
    pub(super) async fn next(&mut self) -> StreamPiece {
        let piece = self.read_piece().await;
        if self.held_comments.is_empty() {
            return piece;
        }
        match piece {
            StreamPiece::Events(events) => {
                self.held_comments.extend_from_slice(&events.bytes);
                let bytes = self.held_comments.split().freeze();
                StreamPiece::Events(WholeEvents { bytes, ..events })
            }
            StreamPiece::End => {
                let bytes = self.held_comments.split().freeze();
                StreamPiece::Events(WholeEvents { bytes, has_event: false })
            }
            StreamPiece::Broken(_) => piece,
        }
    }

    /// Holds comments, which [`Self::next`] returned, until the next piece.
    pub(super) fn hold_comments(&mut self, comments: &[u8]) {
        self.held_comments.extend_from_slice(comments);
    }

    async fn read_piece(&mut self) -> StreamPiece {
        loop {
            self.share.hold_event(self.splitter.held_bytes()).await;
            let Some(source) = &mut self.source else {
                return StreamPiece::Broken("no connection to a replica");
            };
            let bytes = match source.body.frame().await {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return StreamPiece::Broken("the stream broke"),
                None if self.splitter.has_partial() => {
                    return StreamPiece::Broken("the stream ended within an event");
                }
                None if !self.may_end => {
                    return StreamPiece::Broken("the stream ended without an event");
                }
                None => {
                    return match source.link.settle(Duration::ZERO).await {
                        Ok(()) => StreamPiece::End,
                        Err(_) => StreamPiece::Broken("bytes follow the end of the stream"),
                    };
                }
            };
            match self.splitter.push(&bytes) {
                Ok(Some(events)) => {
                    if events.has_event {
                        self.may_end = true;
                        source.link.allowance.set(STREAM_ALLOWANCE);
                    }
                    return StreamPiece::Events(events);
                }
                Ok(None) => {}
                Err(_) => return StreamPiece::Broken("an event is too long"),
            }
        }
    }

    /// Goes on with another source, which begins after the last whole event.
    pub(super) fn replace(&mut self, source: StreamSource) {
        self.splitter.drop_partial();
        self.source = Some(source);
    }

    /// Closes the connection.
    pub(super) fn close(&mut self) {
        self.source = None;
    }

    /// The source, once the stream has ended.
    pub(super) fn take_source(&mut self) -> Option<StreamSource> {
        self.source.take()
    }

    /// Id of the last whole event that had one.
    pub(super) fn last_id(&self) -> Option<String> {
        self.splitter.last_id().map(str::to_owned)
    }

    /// The use of the connection, while there is one.
    pub(super) fn link_use(&self) -> Option<LinkUse> {
        self.source.as_ref().map(|source| source.link_use)
    }
}
