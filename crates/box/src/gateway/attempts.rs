//! The attempts of a request until one of them is answered. While an attempt pauses, another place may
//! be asked; the former attempt is read meanwhile, and whichever answers first is kept.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use ravenspoke_core::event::RequestTicket;
use ravenspoke_core::route::event::{AttemptFailure, FormerEnd, RouteEvent, SendOrder};
use ravenspoke_core::time::BoxTime;
use tokio::sync::{watch, Notify};

use super::driver::{GatewayDriver, RequestStep};
use super::exchange::{BufferedRequest, GatewayContext, RequestGuard};
use super::observe;
use super::replica_call::{call_replica, silent, FailedAttempt, ReplicaResponse};
use super::stream_reader::{StreamPiece, StreamReader};

/// A request as its attempts send it.
pub struct AttemptRequest<'a> {
    /// Shared context of requests.
    pub context: &'a GatewayContext,
    /// The caller's request.
    pub caller: &'a BufferedRequest,
    /// The last event that the caller has, if a stream is resumed.
    pub resume_after: Option<String>,
}

/// How the attempts ended.
pub enum AttemptOutcome {
    /// The response that the reducer relays, and the order that it answers.
    Response(Arc<SendOrder>, Box<ReplicaResponse>),
    /// The stream that was kept goes on with this piece.
    StreamResumed(StreamPiece),
    /// No other place has taken the request: the stream that was kept is read on.
    StreamKept,
    /// No response; the reducer's next step.
    Ended(Option<RequestStep>),
}

/// A call to a replica or to another box.
struct RunningCall<'a> {
    order: Arc<SendOrder>,
    began: BoxTime,
    /// When it stalls, if nothing arrives until then.
    stall_at: BoxTime,
    /// Notified when the request is being written.
    written: Arc<Notify>,
    /// Until when the former attempt is kept beside it, once that is known.
    overlap_until: Option<BoxTime>,
    response: BoxFuture<'a, Result<ReplicaResponse, FailedAttempt>>,
}

impl<'a> RunningCall<'a> {
    fn start(request: &'a AttemptRequest<'a>, guard: &RequestGuard, order: Arc<SendOrder>) -> Self {
        let (written, ticket) = (Arc::new(Notify::new()), guard.name.ticket);
        let (sent, writes) = (order.clone(), written.clone());
        let response = async move {
            let resume_after = request.resume_after.as_deref();
            call_replica(request.context, request.caller, ticket, &sent, resume_after, &writes)
                .await
        };
        let began = request.context.driver.now();
        let stall_at = began.plus_millis(order.head_ms);
        let response = Box::pin(response);
        Self { order, began, stall_at, written, overlap_until: None, response }
    }

    /// Time since it began.
    fn elapsed(&self, driver: &GatewayDriver) -> Duration {
        driver.clock().since(self.began)
    }

    /// Waits anew until it stalls.
    fn restart_stall(&mut self, now: BoxTime) {
        self.stall_at = now.plus_millis(self.order.head_ms);
    }

    /// The next time at which something is due, and what.
    fn next_timer(&self, has_former: bool) -> (BoxTime, CallSignal) {
        let timer = match self.overlap_until {
            Some(until) if has_former => Some((until, CallSignal::OverlapEnded)),
            None if has_former => None,
            _ => Some((self.stall_at, CallSignal::Stalled)),
        };
        let deadline = self.order.deadline;
        timer.filter(|(at, _)| *at < deadline).unwrap_or((deadline, CallSignal::DeadlinePassed))
    }
}

/// The attempt that is kept beside the current one.
enum FormerAttempt<'a> {
    /// Its response has not begun.
    Call(RunningCall<'a>),
    /// Its response has begun, and is not relayed while a larger model is asked.
    Answer(Arc<SendOrder>, Box<ReplicaResponse>),
    /// The caller has a part of its response.
    Stream(&'a mut StreamReader),
}

/// What happens to a request's attempts.
enum CallSignal {
    FormerPiece(StreamPiece),
    FormerResponse(Result<ReplicaResponse, FailedAttempt>),
    Response(Result<ReplicaResponse, FailedAttempt>),
    Written,
    Rechecked,
    StopEnding,
    Stalled,
    OverlapEnded,
    DeadlinePassed,
}

/// Waits for the next piece or response of a former attempt; for ever if there is none.
async fn former_signal(former: &mut Option<FormerAttempt<'_>>) -> CallSignal {
    match former {
        Some(FormerAttempt::Stream(reader)) => CallSignal::FormerPiece(reader.next().await),
        Some(FormerAttempt::Call(call)) => CallSignal::FormerResponse(call.response.as_mut().await),
        Some(FormerAttempt::Answer(..)) | None => std::future::pending().await,
    }
}

/// What follows from a signal.
enum SignalOutcome {
    /// Nothing: the attempts go on.
    GoOn,
    /// The reducer's next step, with the response that led to it.
    Step(Option<RequestStep>, Option<Box<ReplicaResponse>>),
    /// The attempts have ended.
    Ended(AttemptOutcome),
}

/// The attempts of a request while none is answered: the current one, and the former one that is kept
/// beside it.
struct AttemptRun<'a> {
    request: &'a AttemptRequest<'a>,
    guard: &'a mut RequestGuard,
    rechecks: watch::Receiver<u64>,
    stop_ending: watch::Receiver<bool>,
    current: RunningCall<'a>,
    former: Option<FormerAttempt<'a>>,
}

impl<'a> AttemptRun<'a> {
    fn driver(&self) -> &'a GatewayDriver {
        &self.request.context.driver
    }

    fn ticket(&self) -> RequestTicket {
        self.guard.name.ticket
    }

    async fn next_signal(&mut self) -> CallSignal {
        let has_former = self.former.is_some();
        let (at, timer) = self.current.next_timer(has_former);
        let (written, overlap_until) = (self.current.written.clone(), self.current.overlap_until);
        let driver = self.driver();
        let signal = async {
            tokio::select! {
                // What has arrived of the former attempt counts first.
                biased;
                signal = former_signal(&mut self.former) => signal,
                response = self.current.response.as_mut() => CallSignal::Response(response),
                () = written.notified(), if has_former && overlap_until.is_none() => {
                    CallSignal::Written
                }
                // The sender lives as long as the driver.
                _ = self.rechecks.changed() => CallSignal::Rechecked,
                _ = self.stop_ending.wait_for(|is_ending| *is_ending) => CallSignal::StopEnding,
            }
        };
        driver.clock().within(driver.until(at), signal).await.unwrap_or(timer)
    }

    fn on_signal(&mut self, signal: CallSignal) -> SignalOutcome {
        match signal {
            CallSignal::FormerPiece(piece) => self.on_former_piece(piece),
            CallSignal::FormerResponse(result) => self.on_former_response(result),
            CallSignal::Response(Ok(response)) => self.on_response(response),
            CallSignal::Response(Err(failed)) => {
                self.log_failed(&failed);
                self.step_after(RouteEvent::AttemptFailed(self.ticket(), failed.failure))
            }
            CallSignal::Written => {
                let overlap_ms = self.current.order.overlap_ms.unwrap_or(0);
                self.current.overlap_until = Some(self.driver().now().plus_millis(overlap_ms));
                SignalOutcome::GoOn
            }
            CallSignal::OverlapEnded => {
                self.current.restart_stall(self.driver().now());
                self.end_former(FormerEnd::Replaced, "another place has it")
            }
            CallSignal::Rechecked => {
                let why = "its path is lost, or it has a feature that crashes replicas";
                self.step_if_any(RouteEvent::AttemptRechecked(self.ticket()), why)
            }
            CallSignal::Stalled => {
                self.current.restart_stall(self.driver().now());
                let why = "no response head within the limit";
                self.step_if_any(RouteEvent::AttemptStalled(self.ticket()), why)
            }
            CallSignal::StopEnding => self.step_after(RouteEvent::StopEnding(self.ticket())),
            CallSignal::DeadlinePassed => {
                self.step_after(RouteEvent::DeadlinePassed(self.ticket()))
            }
        }
    }

    /// Handles a piece of the stream that is kept: it goes on, unless it broke or the piece is a
    /// comment, which a replica may send without working on the request.
    fn on_former_piece(&mut self, piece: StreamPiece) -> SignalOutcome {
        match piece {
            StreamPiece::Broken(why) => self.end_former(FormerEnd::Broken, why),
            StreamPiece::Events(events) if !events.has_event => {
                if let Some(FormerAttempt::Stream(reader)) = &mut self.former {
                    reader.hold_comments(&events.bytes);
                }
                SignalOutcome::GoOn
            }
            StreamPiece::Events(_) | StreamPiece::End => {
                self.note_resumed();
                SignalOutcome::Ended(AttemptOutcome::StreamResumed(piece))
            }
        }
    }

    /// Handles the response of a former attempt, which counts if it is an answer.
    fn on_former_response(
        &mut self,
        result: Result<ReplicaResponse, FailedAttempt>,
    ) -> SignalOutcome {
        match result {
            Ok(response) if response.is_answer() => {
                if let Some(FormerAttempt::Call(call)) = self.former.take() {
                    self.note_resumed();
                    self.current = call;
                }
                self.on_response(response)
            }
            Err(failed) if failed.failure == AttemptFailure::Broken => {
                self.end_former(FormerEnd::Broken, &failed.why)
            }
            _ => self.end_former(FormerEnd::Replaced, "it has not run, or failed"),
        }
    }

    /// Handles the response to the current call.
    fn on_response(&mut self, response: ReplicaResponse) -> SignalOutcome {
        let (head, link_use) = (response.decoded, response.link_use);
        let after = self.current.elapsed(self.driver());
        observe::log_head_received(&self.guard.name, &head, link_use, after);
        let step = self.guard.feed(RouteEvent::HeadReceived(self.ticket(), head));
        SignalOutcome::Step(step, Some(Box::new(response)))
    }

    /// Records that the former attempt goes on and the current one is not needed.
    fn note_resumed(&mut self) {
        let after = self.current.elapsed(self.driver());
        observe::log_attempt_resumed(&self.guard.name, after);
        self.guard.feed(RouteEvent::AttemptResumed(self.ticket()));
    }

    /// Closes the former attempt's connection, and tells the reducer.
    fn end_former(&mut self, end: FormerEnd, why: &str) -> SignalOutcome {
        let failure = match end {
            FormerEnd::Broken => AttemptFailure::Broken,
            FormerEnd::Replaced | FormerEnd::Dropped => AttemptFailure::Silent,
        };
        let mut failed = FailedAttempt { failure, ..silent(why) };
        if let Some(FormerAttempt::Stream(reader)) = self.former.take() {
            failed.link_use = reader.link_use();
            reader.close();
        }
        observe::log_former_ended(&self.guard.name, &failed);
        self.guard.feed(RouteEvent::FormerEnded(self.ticket(), end));
        SignalOutcome::GoOn
    }

    fn step_after(&mut self, event: RouteEvent) -> SignalOutcome {
        SignalOutcome::Step(self.guard.feed(event), None)
    }

    /// Goes on after an event, unless the reducer takes a step. Then the current attempt is logged as
    /// silent.
    fn step_if_any(&mut self, event: RouteEvent, why: &str) -> SignalOutcome {
        let step = self.guard.feed(event);
        if step.is_none() {
            return SignalOutcome::GoOn;
        }
        self.log_failed(&silent(why));
        SignalOutcome::Step(step, None)
    }

    fn log_failed(&self, failed: &FailedAttempt) {
        let after = self.current.elapsed(self.driver());
        observe::log_attempt_failed(&self.guard.name, failed, after);
    }

    /// Takes a step of the reducer. Returns how the attempts ended, if they have.
    fn take_step(
        &mut self,
        step: Option<RequestStep>,
        answered: Option<Box<ReplicaResponse>>,
    ) -> Option<AttemptOutcome> {
        match step {
            Some(RequestStep::Send(order)) if order.overlap_ms.is_some() => {
                self.ask(order, answered);
                None
            }
            Some(RequestStep::KeepFormer) => self.keep_former(),
            Some(RequestStep::Relay) => Some(match answered {
                Some(response) => AttemptOutcome::Response(self.current.order.clone(), response),
                None => AttemptOutcome::Ended(None),
            }),
            step => {
                if let Some(FormerAttempt::Stream(reader)) = self.former.take() {
                    reader.close();
                }
                Some(AttemptOutcome::Ended(step))
            }
        }
    }

    /// Asks another place, and keeps the attempt that came before.
    fn ask(&mut self, order: Arc<SendOrder>, answered: Option<Box<ReplicaResponse>>) {
        let next = RunningCall::start(self.request, self.guard, order);
        let last = std::mem::replace(&mut self.current, next);
        // With a former attempt, the last call has been refused or has failed.
        if self.former.is_none() {
            self.former = Some(match answered {
                Some(response) => FormerAttempt::Answer(last.order, response),
                None => FormerAttempt::Call(last),
            });
        }
    }

    /// Goes on with the former attempt. Returns how the attempts ended, if that needs no more waiting.
    fn keep_former(&mut self) -> Option<AttemptOutcome> {
        match self.former.take() {
            Some(FormerAttempt::Call(call)) => {
                self.current = call;
                self.current.restart_stall(self.driver().now());
                None
            }
            Some(FormerAttempt::Answer(order, response)) => {
                Some(AttemptOutcome::Response(order, response))
            }
            Some(FormerAttempt::Stream(_)) => Some(AttemptOutcome::StreamKept),
            None => Some(AttemptOutcome::Ended(None)),
        }
    }
}

/// Sends the request as ordered, and to other places as the reducer decides, until one responds or the
/// reducer takes another step. `stream` is kept until then, if the order says so.
pub async fn run_attempts<'a>(
    request: &'a AttemptRequest<'a>,
    guard: &'a mut RequestGuard,
    order: Arc<SendOrder>,
    stream: Option<&'a mut StreamReader>,
) -> AttemptOutcome {
    let rechecks = request.context.driver.rechecks.subscribe();
    let stop_ending = request.context.driver.stop_ending.subscribe();
    let current = RunningCall::start(request, guard, order);
    let former = stream.map(FormerAttempt::Stream);
    let mut run = AttemptRun { request, guard, rechecks, stop_ending, current, former };
    loop {
        let signal = run.next_signal().await;
        let ended = match run.on_signal(signal) {
            SignalOutcome::GoOn => None,
            SignalOutcome::Step(step, answered) => run.take_step(step, answered),
            SignalOutcome::Ended(outcome) => Some(outcome),
        };
        if let Some(outcome) = ended {
            return outcome;
        }
    }
}
