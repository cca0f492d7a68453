//! Callers that do not read their responses.
//!
//! Load pattern: a caller sends requests and reads the responses slowly or not at all. The box would
//! hold the bytes, and a replica's slot stays occupied for each stream. A caller that takes nothing
//! while bytes wait for it is disconnected, which ends the work at the replica; a caller that takes
//! bytes slowly but steadily is served.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use ravenspoke_core::route::scheduling::control::LoadControl;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

/// Interval at which readers are checked, in milliseconds.
pub const READER_CHECK_MS: u64 = 250;

/// Time after which a caller that takes nothing is disconnected, in milliseconds: half of the time
/// after which replicas cut off a reader.
pub const READER_STALL_MS: u64 = 2_000;

/// The same without load control, in milliseconds: longer than any client pauses that still waits for
/// its answer.
pub const PATIENT_STALL_MS: u64 = 30_000;

/// Checks without progress after which a reader is stalled. The first one follows the last progress
/// by less than an interval. Checks are counted instead of time, because a box that was frozen has
/// not offered its callers anything meanwhile.
const fn stall_checks(stall_ms: u64) -> u32 {
    (stall_ms / READER_CHECK_MS) as u32 + 1
}

/// Share of the process's memory for bytes that wait for callers, as a divisor.
pub const MEMORY_DIVISOR: usize = 4;

/// Bytes that may wait for all callers together if the process's memory limit is unknown.
pub const UNKNOWN_MEMORY_BYTES: usize = 32 << 20;

/// Send buffer of a caller's connection, in bytes. The kernel doubles it for its own overhead.
pub const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Bytes of a caller's connection that the kernel accepts before it sends them. It then accepts more
/// each time that the caller has taken half of them, so that slow progress is visible.
pub const UNSENT_BYTES: u32 = 16 << 10;

/// Why a caller is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallCause {
    /// It takes nothing.
    Stalled,
    /// It is the slowest one while too many bytes wait for all callers.
    Memory,
}

/// The request whose response a caller reads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadRequest {
    /// Request id.
    pub id: String,
    /// Client account, if keys are required.
    pub account: Option<String>,
}

/// A caller that is disconnected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderStall {
    /// The request whose response it was reading.
    pub request: ReadRequest,
    /// Why it is disconnected.
    pub cause: StallCause,
    /// Bytes that wait for it.
    pub held_bytes: usize,
    /// Time for which bytes have waited without progress, in milliseconds.
    pub quiet_ms: u64,
}

#[derive(Default)]
struct ReaderProgress {
    request: ReadRequest,
    /// Bytes that the socket was offered and has not accepted.
    offered_bytes: usize,
    /// Bytes of the response that the socket was not offered yet.
    unwritten_bytes: usize,
    /// Bytes accepted since bytes began to wait.
    taken_bytes: u64,
    /// Checks since bytes began to wait.
    checks: u32,
    /// Checks since the last accepted byte.
    quiet_checks: u32,
    is_ended: bool,
}

impl ReaderProgress {
    /// Bytes that wait for the caller.
    fn held_bytes(&self) -> usize {
        self.offered_bytes + self.unwritten_bytes
    }

    /// Bytes accepted per check since bytes began to wait.
    fn rate(&self) -> u64 {
        self.taken_bytes / u64::from(self.checks.max(1))
    }
}

/// Progress of the reader of one connection.
#[derive(Default)]
pub struct ReaderMeter {
    progress: Mutex<ReaderProgress>,
    ended: Notify,
}

impl ReaderMeter {
    fn lock(&self) -> MutexGuard<'_, ReaderProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the request whose response follows.
    pub fn begin_response(&self, request: ReadRequest) {
        self.lock().request = request;
    }

    /// Records that the socket was offered some bytes and accepted `taken` of them.
    pub fn record_write(&self, offered: usize, taken: usize) {
        let mut progress = self.lock();
        progress.offered_bytes = offered.saturating_sub(taken);
        progress.taken_bytes += taken as u64;
        if taken > 0 {
            progress.quiet_checks = 0;
        }
        if progress.offered_bytes == 0 {
            progress.taken_bytes = 0;
            progress.checks = 0;
            progress.quiet_checks = 0;
        }
    }

    /// Records the bytes of the response that the socket was not offered yet.
    pub fn set_unwritten(&self, bytes: usize) {
        self.lock().unwritten_bytes = bytes;
    }

    /// Whether the caller is to be disconnected.
    pub fn is_ended(&self) -> bool {
        self.lock().is_ended
    }

    /// Waits until the caller is to be disconnected.
    pub async fn wait_ended(&self) {
        self.ended.notified().await;
    }

    /// Counts a check. Returns whether the reader is stalled after `stall_checks` without progress.
    fn check(&self, stall_checks: u32) -> bool {
        let mut progress = self.lock();
        if progress.offered_bytes == 0 {
            return false;
        }
        progress.checks += 1;
        progress.quiet_checks += 1;
        progress.quiet_checks >= stall_checks
    }

    /// Bytes that wait for the caller.
    fn held_bytes(&self) -> usize {
        self.lock().held_bytes()
    }

    /// Has the caller disconnected.
    fn end(&self, cause: StallCause) -> ReaderStall {
        let mut progress = self.lock();
        progress.is_ended = true;
        self.ended.notify_one();
        ReaderStall {
            request: progress.request.clone(),
            cause,
            held_bytes: progress.held_bytes(),
            quiet_ms: u64::from(progress.quiet_checks.saturating_sub(1)) * READER_CHECK_MS,
        }
    }
}

/// Bounds what waits for all callers together.
pub struct ReaderWatch {
    limit_bytes: usize,
    stall_checks: u32,
    readers: Mutex<Vec<Weak<ReaderMeter>>>,
}

impl ReaderWatch {
    /// Creates a watch without readers, if load control asks for it.
    pub fn new(load: LoadControl) -> Option<Self> {
        let limit_bytes = match load.memory_bytes {
            0 => UNKNOWN_MEMORY_BYTES,
            memory => memory / MEMORY_DIVISOR,
        };
        load.overload.then(|| Self::with_limits(limit_bytes, READER_STALL_MS))
    }

    /// Creates a watch without readers that bears callers which take nothing for a while.
    pub fn patient(memory_bytes: usize) -> Self {
        Self::with_limits(memory_bytes / MEMORY_DIVISOR, PATIENT_STALL_MS)
    }

    fn with_limits(limit_bytes: usize, stall_ms: u64) -> Self {
        Self { limit_bytes, stall_checks: stall_checks(stall_ms), readers: Mutex::default() }
    }

    /// Adds the reader of a new connection.
    pub fn add(&self) -> Arc<ReaderMeter> {
        let meter = Arc::new(ReaderMeter::default());
        let mut readers = self.readers.lock().unwrap_or_else(PoisonError::into_inner);
        readers.push(Arc::downgrade(&meter));
        meter
    }

    /// Counts a check of all readers. Returns those that are disconnected by it.
    pub fn check(&self) -> Vec<ReaderStall> {
        let readers = self.open_readers();
        let (stalled, reading): (Vec<_>, Vec<_>) =
            readers.into_iter().partition(|meter| meter.check(self.stall_checks));
        let stalled = stalled.iter().map(|meter| meter.end(StallCause::Stalled));
        stalled.chain(self.end_slowest(reading)).collect()
    }

    fn open_readers(&self) -> Vec<Arc<ReaderMeter>> {
        let mut readers = self.readers.lock().unwrap_or_else(PoisonError::into_inner);
        readers.retain(|meter| meter.strong_count() > 0);
        let open = readers.iter().filter_map(Weak::upgrade);
        open.filter(|meter| !meter.is_ended()).collect()
    }

    /// Ends the slowest readers until the bytes that wait for the others are within the limit.
    fn end_slowest(&self, mut readers: Vec<Arc<ReaderMeter>>) -> Vec<ReaderStall> {
        readers.retain(|meter| meter.held_bytes() > 0);
        let mut held: usize = readers.iter().map(|meter| meter.held_bytes()).sum();
        if held <= self.limit_bytes {
            return Vec::new();
        }
        readers.sort_by_cached_key(|meter| meter.lock().rate());
        let mut ended = Vec::new();
        for meter in readers {
            if held <= self.limit_bytes {
                break;
            }
            let stall = meter.end(StallCause::Memory);
            held = held.saturating_sub(stall.held_bytes);
            ended.push(stall);
        }
        ended
    }

    /// Checks all readers regularly, for ever. `report` learns of each that is disconnected.
    pub async fn run(self: Arc<Self>, report: impl Fn(&ReaderStall)) {
        let mut checks = tokio::time::interval(Duration::from_millis(READER_CHECK_MS));
        // After a freeze, progress is visible before the next check.
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            checks.tick().await;
            self.check().iter().for_each(&report);
        }
    }
}
