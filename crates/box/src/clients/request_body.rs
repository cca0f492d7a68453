//! Reads the bodies of requests, within limits of size, time and memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::EXPECT;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ravenspoke_core::time::BoxTime;

use super::connection_table::{ActiveRequest, AwaitingAnswer, ReadingBody, BODY_STALL_MS};
use super::memory_account::{AccountExhausted, MemoryAccount, MemoryShare};
use crate::clock::BoxClock;

/// Time for which the body of a refused request is read and dropped, in milliseconds. Its client
/// reads the response only after it has sent the body.
const DISCARD_MS: u64 = 5_000;

/// Memory that a byte of a body takes: as it is held, and as it is written to a replica.
const BODY_COPIES: usize = 2;

/// Memory of a body that is allocated first if its length is not announced, in bytes.
const FIRST_BYTES: usize = 4 << 10;

/// Length from which on a body has to arrive steadily while memory is short, in bytes.
const STEADY_BYTES: usize = 64 << 10;

/// Bytes that have to arrive of such a body within [`BODY_STALL_MS`].
const LEAST_PROGRESS_BYTES: usize = 16 << 10;

/// A body in memory.
#[derive(Debug)]
pub struct HeldBody {
    /// Its bytes.
    pub bytes: Bytes,
    /// What it takes of the process's memory.
    pub share: MemoryShare,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyFailure {
    /// It is too large.
    #[error("the body is too large")]
    TooLarge,
    /// The process has no memory for it.
    #[error(transparent)]
    NoMemory(#[from] AccountExhausted),
    /// It took longer than its request may take.
    #[error("the body did not arrive in time")]
    Late,
    /// It does not arrive steadily, and others need the memory.
    #[error("the body stalls while memory is short")]
    Stalled,
    /// It ended early.
    #[error("the request body was truncated")]
    Truncated,
}

/// Limits of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Its length, in bytes.
    pub bytes: usize,
    /// Time in which it has to arrive.
    pub time: Duration,
}

/// Reads the body of a request. The rest of one that is refused is read and dropped in the background.
///
/// # Errors
/// Returns [`BodyFailure`].
pub async fn read_body(
    mut body: Incoming,
    request: ActiveRequest<ReadingBody>,
    headers: &HeaderMap,
    limits: BodyLimits,
    clock: &BoxClock,
) -> Result<(HeldBody, ActiveRequest<AwaitingAnswer>), BodyFailure> {
    match read_within(&mut body, limits, request.account(), clock).await {
        Ok(held) => Ok((held, request.body_read())),
        Err(failure) => {
            discard_body(body, request, headers, limits.bytes);
            Err(failure)
        }
    }
}

/// Reads up to `limit` bytes of a body that nobody needs, in the background. A client that sends more,
/// or takes longer, sees its connection closed.
pub fn discard_body(
    mut body: Incoming,
    request: ActiveRequest<ReadingBody>,
    headers: &HeaderMap,
    limit: usize,
) {
    // A client that asks before it sends a body sends none after a refusal.
    if body.is_end_stream() || headers.contains_key(EXPECT) {
        return;
    }
    let request = request.discard();
    tokio::spawn(async move {
        let mut left = limit;
        let read = async {
            while let Some(Ok(frame)) = body.frame().await {
                let length = frame.data_ref().map_or(0, Bytes::len);
                let Some(rest) = left.checked_sub(length) else { return };
                left = rest;
            }
        };
        // Whoever takes longer sees the connection closed.
        let _ = tokio::time::timeout(Duration::from_millis(DISCARD_MS), read).await;
        drop(request);
    });
}

async fn read_within(
    body: &mut Incoming,
    limits: BodyLimits,
    account: &Arc<MemoryAccount>,
    clock: &BoxClock,
) -> Result<HeldBody, BodyFailure> {
    let began = clock.now();
    let announced = body.size_hint().exact().map_or(0, |length| length as usize);
    if announced > limits.bytes {
        return Err(BodyFailure::TooLarge);
    }
    let mut buffer = BodyBuffer::new(account);
    buffer.reserve(announced)?;
    let mut progress = BodyProgress { checked_at: began, checked_bytes: 0 };
    loop {
        let left = limits.time.saturating_sub(clock.since(began));
        let wait = left.min(progress.until_check(clock));
        match clock.within(wait, body.frame()).await {
            Some(None) => return Ok(buffer.into_held()),
            Some(Some(frame)) => {
                let frame = frame.map_err(|_| BodyFailure::Truncated)?;
                if let Ok(data) = frame.into_data() {
                    buffer.push(&data, limits.bytes)?;
                }
            }
            None => {}
        }
        if clock.since(began) >= limits.time {
            return Err(BodyFailure::Late);
        }
        let stalls = progress.check(clock, buffer.bytes.len());
        if stalls && buffer.is_large() && account.is_short() {
            return Err(BodyFailure::Stalled);
        }
    }
}

/// Progress of a body since the last check.
struct BodyProgress {
    checked_at: BoxTime,
    /// Bytes that had arrived by the last check.
    checked_bytes: usize,
}

impl BodyProgress {
    /// Time until the next check is due.
    fn until_check(&self, clock: &BoxClock) -> Duration {
        clock.until(self.checked_at.plus_millis(BODY_STALL_MS))
    }

    /// Whether a check is due that finds too little progress. `bytes` have arrived.
    fn check(&mut self, clock: &BoxClock, bytes: usize) -> bool {
        if !self.until_check(clock).is_zero() {
            return false;
        }
        let progress = bytes - self.checked_bytes;
        *self = Self { checked_at: clock.now(), checked_bytes: bytes };
        progress < LEAST_PROGRESS_BYTES
    }
}

/// A body while it arrives. What it allocates is accounted for before.
struct BodyBuffer {
    bytes: Vec<u8>,
    share: MemoryShare,
}

impl BodyBuffer {
    fn new(account: &Arc<MemoryAccount>) -> Self {
        Self { bytes: Vec::new(), share: MemoryShare::new(account) }
    }

    /// Makes room for a body of `length` bytes.
    fn reserve(&mut self, length: usize) -> Result<(), BodyFailure> {
        self.share.grow_for_body(length.saturating_mul(BODY_COPIES))?;
        self.bytes.reserve_exact(length - self.bytes.len());
        Ok(())
    }

    fn push(&mut self, data: &[u8], limit: usize) -> Result<(), BodyFailure> {
        let length = self.bytes.len() + data.len();
        if length > limit {
            return Err(BodyFailure::TooLarge);
        }
        if length > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(FIRST_BYTES).min(limit);
            self.reserve(doubled.max(length))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Whether it has to arrive steadily.
    fn is_large(&self) -> bool {
        self.bytes.capacity() >= STEADY_BYTES
    }

    fn into_held(self) -> HeldBody {
        HeldBody { bytes: Bytes::from(self.bytes), share: self.share }
    }
}
