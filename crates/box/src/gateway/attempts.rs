//! The attempts of a request until one of them is answered. While an attempt pauses, another place may
//! be asked; the former attempt is read meanwhile, and whichever answers first is kept.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
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

async fn next_signal(
    driver: &GatewayDriver,
    current: &mut RunningCall<'_>,
    former: &mut Option<FormerAttempt<'_>>,
    rechecks: &mut watch::Receiver<u64>,
) -> CallSignal {
    let has_former = former.is_some();
    let (at, timer) = current.next_timer(has_former);
    let (written, overlap_until) = (current.written.clone(), current.overlap_until);
    let signal = async {
        tokio::select! {
            // What has arrived of the former attempt counts first.
            biased;
            signal = former_signal(former) => signal,
            response = current.response.as_mut() => CallSignal::Response(response),
            () = written.notified(), if has_former && overlap_until.is_none() => CallSignal::Written,
            // The sender lives as long as the driver.
            _ = rechecks.changed() => CallSignal::Rechecked,
        }
    };
    driver.clock().within(driver.until(at), signal).await.unwrap_or(timer)
}

/// Sends the request as ordered, and to other places as the reducer decides, until one responds or the
/// reducer takes another step. `stream` is kept until then, if the order says so.
pub async fn run_attempts<'a>(
    request: &'a AttemptRequest<'a>,
    guard: &mut RequestGuard,
    order: Arc<SendOrder>,
    stream: Option<&'a mut StreamReader>,
) -> AttemptOutcome {
    let driver = &request.context.driver;
    let ticket = guard.name.ticket;
    let mut rechecks = driver.rechecks.subscribe();
    let mut current = RunningCall::start(request, guard, order);
    let mut former = stream.map(FormerAttempt::Stream);
    loop {
        let mut answered = None;
        let signal = next_signal(driver, &mut current, &mut former, &mut rechecks).await;
        let step = match signal {
            CallSignal::FormerPiece(StreamPiece::Broken(why)) => {
                end_former(guard, former.take(), FormerEnd::Broken, why);
                continue;
            }
            CallSignal::FormerPiece(piece) => {
                observe::log_attempt_resumed(&guard.name, current.elapsed(driver));
                guard.feed(RouteEvent::AttemptResumed(ticket));
                return AttemptOutcome::StreamResumed(piece);
            }
            CallSignal::FormerResponse(Ok(response)) if response.is_answer() => {
                let Some(FormerAttempt::Call(call)) = former.take() else { continue };
                observe::log_attempt_resumed(&guard.name, current.elapsed(driver));
                guard.feed(RouteEvent::AttemptResumed(ticket));
                current = call;
                receive(guard, &current, response, &mut answered)
            }
            CallSignal::FormerResponse(Err(failed)) if failed.failure == AttemptFailure::Broken => {
                end_former(guard, former.take(), FormerEnd::Broken, &failed.why);
                continue;
            }
            CallSignal::FormerResponse(_) => {
                end_former(guard, former.take(), FormerEnd::Replaced, "it has not run, or failed");
                continue;
            }
            CallSignal::Response(Ok(response)) => receive(guard, &current, response, &mut answered),
            CallSignal::Response(Err(failed)) => {
                observe::log_attempt_failed(&guard.name, &failed, current.elapsed(driver));
                guard.feed(RouteEvent::AttemptFailed(ticket, failed.failure))
            }
            CallSignal::Written => {
                let overlap_ms = current.order.overlap_ms.unwrap_or(0);
                current.overlap_until = Some(driver.now().plus_millis(overlap_ms));
                continue;
            }
            CallSignal::OverlapEnded => {
                end_former(guard, former.take(), FormerEnd::Replaced, "another place has it");
                current.restart_stall(driver.now());
                continue;
            }
            CallSignal::Rechecked => match guard.feed(RouteEvent::AttemptRechecked(ticket)) {
                None => continue,
                step => {
                    let why = "its path is lost, or it has a feature that crashes replicas";
                    observe::log_attempt_failed(&guard.name, &silent(why), current.elapsed(driver));
                    step
                }
            },
            CallSignal::Stalled => {
                current.restart_stall(driver.now());
                match guard.feed(RouteEvent::AttemptStalled(ticket)) {
                    None => continue,
                    step => {
                        let failed = silent("no response head within the limit");
                        observe::log_attempt_failed(&guard.name, &failed, current.elapsed(driver));
                        step
                    }
                }
            }
            CallSignal::DeadlinePassed => guard.feed(RouteEvent::DeadlinePassed(ticket)),
        };
        match step {
            Some(RequestStep::Send(order)) if order.overlap_ms.is_some() => {
                let next = RunningCall::start(request, guard, order);
                let last = std::mem::replace(&mut current, next);
                // With a former attempt, the last call has been refused or has failed.
                if former.is_none() {
                    former = Some(match answered {
                        Some(response) => FormerAttempt::Answer(last.order, response),
                        None => FormerAttempt::Call(last),
                    });
                }
            }
            Some(RequestStep::Relay) => {
                let Some(response) = answered else { return AttemptOutcome::Ended(None) };
                return AttemptOutcome::Response(current.order, response);
            }
            Some(RequestStep::KeepFormer) => match former.take() {
                Some(FormerAttempt::Call(call)) => {
                    current = call;
                    current.restart_stall(driver.now());
                }
                Some(FormerAttempt::Answer(order, response)) => {
                    return AttemptOutcome::Response(order, response);
                }
                Some(FormerAttempt::Stream(_)) => return AttemptOutcome::StreamKept,
                None => return AttemptOutcome::Ended(None),
            },
            step => {
                if let Some(FormerAttempt::Stream(reader)) = former {
                    reader.close();
                }
                return AttemptOutcome::Ended(step);
            }
        }
    }
}

/// Tells the reducer about a response, which is put into `answered`, and returns the next step.
fn receive(
    guard: &mut RequestGuard,
    call: &RunningCall<'_>,
    response: ReplicaResponse,
    answered: &mut Option<Box<ReplicaResponse>>,
) -> Option<RequestStep> {
    let (head, link_use) = (response.decoded, response.link_use);
    observe::log_head_received(&guard.name, &head, link_use, call.elapsed(&guard.driver));
    *answered = Some(Box::new(response));
    guard.feed(RouteEvent::HeadReceived(guard.name.ticket, head))
}

/// Closes the former attempt's connection, and tells the reducer.
fn end_former(
    guard: &mut RequestGuard,
    former: Option<FormerAttempt<'_>>,
    end: FormerEnd,
    why: &str,
) {
    let failure = match end {
        FormerEnd::Broken => AttemptFailure::Broken,
        FormerEnd::Replaced | FormerEnd::Dropped => AttemptFailure::Silent,
    };
    let mut failed = FailedAttempt { failure, ..silent(why) };
    if let Some(FormerAttempt::Stream(reader)) = former {
        failed.link_use = reader.link_use();
        reader.close();
    }
    observe::log_former_ended(&guard.name, &failed);
    guard.feed(RouteEvent::FormerEnded(guard.name.ticket, end));
}
