//! Forwards a stream in whole events, and resumes it at another replica when it breaks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::HeaderMap;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use ravenspoke_core::route::event::{AttemptFailure, RouteEvent, SendOrder};

use super::driver::RequestStep;
use super::event_splitter::{EventSplitter, EVENT_LIMIT};
use super::exchange::{attempt, AttemptOutcome, BufferedRequest, GatewayContext, RequestGuard};
use super::observe;
use super::pool::{LinkUse, ReplicaLink};
use super::replica_call::{put_back, FailedAttempt, ReplicaBody};
use super::responses::{AbortedResponse, CallerBody};

/// Maximum number of bytes that are read of a stream between two events. Chunks have a few bytes in
/// addition to the events.
pub(super) const STREAM_ALLOWANCE: usize = 2 * EVENT_LIMIT;

/// An open stream. It is dropped when the caller disconnects, which closes the connection to the
/// replica.
struct StreamRelay {
    context: Arc<GatewayContext>,
    caller: BufferedRequest,
    guard: RequestGuard,
    order: Box<SendOrder>,
    splitter: EventSplitter,
    source: Option<StreamSource>,
    /// Time waited for the replica since the last event. Time in which the caller does not read does
    /// not count, and bytes that complete no event do not end the wait.
    quiet: Duration,
}

/// The replica's side of a stream.
pub(super) struct StreamSource {
    pub(super) body: Incoming,
    pub(super) link: ReplicaLink,
    pub(super) link_use: LinkUse,
    /// Headers of the replica's response.
    pub(super) headers: HeaderMap,
}

/// Next piece of a stream.
enum StreamPiece {
    Bytes(Bytes),
    End,
    Broken(&'static str),
    Stalled,
    DeadlinePassed,
}

/// The body of a stream for the caller.
pub(super) fn relay_stream(
    context: Arc<GatewayContext>,
    caller: BufferedRequest,
    guard: RequestGuard,
    order: Box<SendOrder>,
    source: StreamSource,
) -> CallerBody {
    let (splitter, source) = (EventSplitter::default(), Some(source));
    let quiet = Duration::ZERO;
    let relay = StreamRelay { context, caller, guard, order, splitter, source, quiet };
    let pieces = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next_events().await {
            Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
            Ok(None) => None,
            Err(broken) => Some((Err(broken), None)),
        }
    });
    StreamBody::new(pieces).boxed_unsync()
}

impl StreamRelay {
    /// The next whole events, or `None` at the end of the stream.
    async fn next_events(&mut self) -> Result<Option<Bytes>, AbortedResponse> {
        loop {
            let began = Instant::now();
            let pause_limit = Duration::from_millis(self.order.pause_ms);
            let piece = self.next_piece(pause_limit.saturating_sub(self.quiet)).await;
            self.quiet += began.elapsed();
            let why = match piece {
                StreamPiece::Bytes(bytes) => match self.splitter.push(&bytes) {
                    Ok(Some(events)) => {
                        if events.has_event {
                            self.note_event();
                        }
                        return Ok(Some(events.bytes));
                    }
                    Ok(None) => continue,
                    Err(_) => "an event is too long",
                },
                StreamPiece::End if self.splitter.has_partial() => {
                    "the stream ended within an event"
                }
                StreamPiece::End => {
                    self.end();
                    return Ok(None);
                }
                StreamPiece::Broken(why) => why,
                StreamPiece::Stalled => {
                    self.quiet = Duration::ZERO;
                    let step = self.guard.feed(RouteEvent::AttemptStalled(self.guard.name.ticket));
                    if step.is_none() {
                        continue;
                    }
                    self.log_failed(AttemptFailure::Silent, "no event within the limit", began);
                    self.resume(step).await?;
                    continue;
                }
                StreamPiece::DeadlinePassed => {
                    self.guard.feed(RouteEvent::DeadlinePassed(self.guard.name.ticket));
                    return Err(AbortedResponse("the deadline has passed"));
                }
            };
            self.log_failed(AttemptFailure::Broken, why, began);
            // The connection is closed before the reducer names another replica, so that no two
            // replicas work on the request.
            self.source = None;
            let failed = RouteEvent::AttemptFailed(self.guard.name.ticket, AttemptFailure::Broken);
            let step = self.guard.feed(failed);
            self.resume(step).await?;
        }
    }

    /// Allows the replica the time and the bytes of another event.
    fn note_event(&mut self) {
        self.quiet = Duration::ZERO;
        if let Some(source) = &self.source {
            source.link.allowance.set(STREAM_ALLOWANCE);
        }
    }

    fn log_failed(&self, failure: AttemptFailure, why: &str, began: Instant) {
        let link_use = self.source.as_ref().map(|source| source.link_use);
        let failed = FailedAttempt { failure, why: why.to_owned(), link_use, written: None };
        observe::log_attempt_failed(&self.guard.name, &failed, began.elapsed());
    }

    async fn next_piece(&mut self, stall_limit: Duration) -> StreamPiece {
        let Some(source) = &mut self.source else {
            return StreamPiece::Broken("no connection to a replica");
        };
        let left = self.context.driver.until(self.order.deadline);
        match self.context.driver.clock().within(left.min(stall_limit), source.body.frame()).await {
            Some(Some(Ok(frame))) => StreamPiece::Bytes(frame.into_data().unwrap_or_default()),
            Some(Some(Err(_))) => StreamPiece::Broken("the stream broke"),
            Some(None) => StreamPiece::End,
            None if left <= stall_limit => StreamPiece::DeadlinePassed,
            None => StreamPiece::Stalled,
        }
    }

    /// Resumes the stream at another replica, after the last whole event.
    async fn resume(&mut self, mut step: Option<RequestStep>) -> Result<(), AbortedResponse> {
        self.source = None;
        self.quiet = Duration::ZERO;
        self.splitter.drop_partial();
        let ticket = self.guard.name.ticket;
        loop {
            let Some(RequestStep::Send(order)) = step else {
                return Err(AbortedResponse("no replica could resume the stream"));
            };
            self.order = order;
            let last = self.splitter.last_id().map(str::to_owned);
            let outcome =
                attempt(&self.context, &self.caller, &mut self.guard, &self.order, last.as_deref());
            match outcome.await {
                AttemptOutcome::Response(response) => {
                    step = self.guard.feed(RouteEvent::HeadReceived(ticket, response.decoded));
                    if !matches!(step, Some(RequestStep::Relay)) {
                        continue;
                    }
                    let ReplicaBody::Stream(body, link) = response.body else {
                        return Err(AbortedResponse("the resumed response is not a stream"));
                    };
                    let (link_use, headers) = (response.link_use, response.head.headers);
                    self.source = Some(StreamSource { body, link, link_use, headers });
                    return Ok(());
                }
                AttemptOutcome::Ended(next) => step = next,
            }
        }
    }

    fn end(&mut self) {
        if let Some(source) = self.source.take() {
            put_back(&self.context, source.link, &source.headers);
        }
        self.guard.finish(http::StatusCode::OK.as_u16());
    }
}
