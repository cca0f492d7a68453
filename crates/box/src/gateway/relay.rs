//! Forwards a stream in whole events, and resumes it at another place when it breaks or pauses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use ravenspoke_adapter::headers;
use ravenspoke_core::route::event::{AttemptFailure, RouteEvent, SendOrder};

use super::attempts::{run_attempts, AttemptOutcome, AttemptRequest};
use super::driver::RequestStep;
use super::exchange::{BufferedRequest, GatewayContext, RequestGuard};
use super::observe;
use super::replica_call::{put_back, FailedAttempt, ReplicaBody};
use super::responses::{AbortedResponse, CallerBody};
use super::stream_reader::{StreamPiece, StreamReader, StreamSource};

/// An open stream. It is dropped when the caller disconnects, which closes the connection to the
/// replica.
struct StreamRelay {
    context: Arc<GatewayContext>,
    caller: BufferedRequest,
    guard: RequestGuard,
    order: Arc<SendOrder>,
    reader: StreamReader,
    /// Time waited for the replica since the last event. Time in which the caller does not read does
    /// not count, and comments do not end the wait.
    quiet: Duration,
    /// Whether the reducer knows that the replica pauses.
    is_paused: bool,
}

/// What a stream waited for.
enum RelaySignal {
    Piece(StreamPiece),
    Stalled,
    DeadlinePassed,
}

/// The body of a stream for the caller.
pub(super) fn relay_stream(
    context: Arc<GatewayContext>,
    caller: BufferedRequest,
    guard: RequestGuard,
    order: Arc<SendOrder>,
    source: StreamSource,
) -> CallerBody {
    let is_resumed = headers::resumes_stream(&caller.headers);
    let reader = StreamReader::new(source, is_resumed, caller.share.account());
    let quiet = Duration::ZERO;
    let relay = StreamRelay { context, caller, guard, order, reader, quiet, is_paused: false };
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
        let mut resumed = None;
        loop {
            let began = Instant::now();
            let signal = match resumed.take() {
                Some(piece) => RelaySignal::Piece(piece),
                None => self.next_signal().await,
            };
            self.quiet += began.elapsed();
            match signal {
                RelaySignal::Piece(StreamPiece::Events(events)) => {
                    if self.order.pass.is_none() {
                        self.context.driver.note_heard();
                    }
                    if events.has_event {
                        self.note_event();
                    }
                    return Ok(Some(events.bytes));
                }
                RelaySignal::Piece(StreamPiece::End) => {
                    self.end();
                    return Ok(None);
                }
                RelaySignal::Piece(StreamPiece::Broken(why)) => {
                    self.log_failed(AttemptFailure::Broken, why, began);
                    // The connection is closed before the reducer names another place, so that no
                    // two work on the request.
                    self.reader.close();
                    let ticket = self.guard.name.ticket;
                    let failed = RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken);
                    let step = self.guard.feed(failed);
                    resumed = self.resume(step).await?;
                }
                RelaySignal::Stalled => {
                    self.is_paused = true;
                    let step = self.guard.feed(RouteEvent::AttemptStalled(self.guard.name.ticket));
                    if step.is_some() {
                        self.log_failed(AttemptFailure::Silent, "no event within the limit", began);
                        resumed = self.resume(step).await?;
                    }
                    self.quiet = Duration::ZERO;
                }
                RelaySignal::DeadlinePassed => {
                    self.guard.feed(RouteEvent::DeadlinePassed(self.guard.name.ticket));
                    return Err(AbortedResponse("the deadline has passed"));
                }
            }
        }
    }

    /// Records that an event has arrived.
    fn note_event(&mut self) {
        self.quiet = Duration::ZERO;
        if std::mem::take(&mut self.is_paused) {
            self.guard.feed(RouteEvent::AttemptResumed(self.guard.name.ticket));
        }
    }

    fn log_failed(&self, failure: AttemptFailure, why: &str, began: Instant) {
        let link_use = self.reader.link_use();
        let failed = FailedAttempt { failure, why: why.to_owned(), link_use, written: None };
        observe::log_attempt_failed(&self.guard.name, &failed, began.elapsed());
    }

    async fn next_signal(&mut self) -> RelaySignal {
        let clock = self.context.driver.clock();
        let pause_limit = Duration::from_millis(self.order.pause_ms);
        let stall_limit = pause_limit.saturating_sub(self.quiet);
        let left = self.context.driver.until(self.order.deadline);
        match clock.within(left.min(stall_limit), self.reader.next()).await {
            Some(piece) => RelaySignal::Piece(piece),
            None if left <= stall_limit => RelaySignal::DeadlinePassed,
            None => RelaySignal::Stalled,
        }
    }

    /// Asks for the rest of the stream at the places that the reducer names, after the last whole
    /// event. The stream is read meanwhile if it only pauses; returns the piece with which it goes on.
    async fn resume(
        &mut self,
        mut step: Option<RequestStep>,
    ) -> Result<Option<StreamPiece>, AbortedResponse> {
        loop {
            let Some(RequestStep::Send(order)) = step else {
                return Err(AbortedResponse("no replica could resume the stream"));
            };
            let request = AttemptRequest {
                context: &self.context,
                caller: &self.caller,
                resume_after: self.reader.last_id(),
            };
            let keeps = order.overlap_ms.is_some();
            if !keeps {
                self.reader.close();
            }
            let kept = keeps.then_some(&mut self.reader);
            match run_attempts(&request, &mut self.guard, order, kept).await {
                AttemptOutcome::Response(order, response) => {
                    let ReplicaBody::Stream(body, link) = response.body else {
                        return Err(AbortedResponse("the resumed response is not a stream"));
                    };
                    let (link_use, headers) = (response.link_use, response.head.headers);
                    self.order = order;
                    self.is_paused = false;
                    self.quiet = Duration::ZERO;
                    self.reader.replace(StreamSource { body, link, link_use, headers });
                    return Ok(None);
                }
                AttemptOutcome::StreamResumed(piece) => {
                    self.is_paused = false;
                    return Ok(Some(piece));
                }
                AttemptOutcome::StreamKept => return Ok(None),
                AttemptOutcome::Ended(next) => step = next,
            }
        }
    }

    fn end(&mut self) {
        if let Some(source) = self.reader.take_source() {
            put_back(&self.context, source.link, &source.headers);
        }
        self.guard.finish(http::StatusCode::OK.as_u16());
    }
}
