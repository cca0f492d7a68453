//! The connections of clients: their number, what their heads take, and which one gives way.
//!
//! Load pattern: clients connect and send nothing, a head without an end, or a body that stalls. A
//! head has a time limit. When there is no room for a further connection, the one that has been
//! without progress for longest and serves nobody is closed.
//!
//! Time is counted in checks, because a box that was frozen has not read what had arrived.

use std::marker::PhantomData;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slotmap::{new_key_type, SlotMap};
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

use super::listen::{BODY_BUFFER_BYTES, RECEIVE_BUFFER_BYTES};
use super::memory_account::{AccountExhausted, MemoryAccount, MemoryShare};

/// Interval of the checks, in milliseconds.
pub const CHECK_MS: u64 = 250;

/// Time beyond the limit for a head after which its connection is closed, in milliseconds: the time
/// that it takes on its way.
const HEAD_SLACK_MS: u64 = 1_000;

/// Time without progress after which a body may give way to a new connection, in milliseconds.
pub const BODY_STALL_MS: u64 = 2_000;

/// Memory of a connection without a request, in bytes: its read buffer, its task and its socket.
pub const CONNECTION_BYTES: usize = 16 << 10;

/// Memory of a request in addition to its head and body, in bytes: its task, and a second read
/// buffer, since the head keeps the first one.
pub const REQUEST_BYTES: usize = 12 << 10;

/// Memory that a byte of a head takes: as it was read, and decoded.
const HEAD_COPIES: usize = 2;

/// Memory of a client that sends on before its request is answered, in bytes: what the kernel holds
/// of it, with its overhead.
const QUEUED_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES;

/// The same while a long body arrives, in bytes.
const WIDE_BYTES: usize = 2 * BODY_BUFFER_BYTES;

/// Checks without progress before which no connection gives way: a second, in which its client may
/// have sent what was not read yet.
const QUIET_CHECKS: u32 = (1_000 / CHECK_MS) as u32;

/// Checks without progress after which a body stalls.
const STALL_CHECKS: u32 = (BODY_STALL_MS / CHECK_MS) as u32;

new_key_type! {
    /// A connection in the table.
    struct ConnectionKey;
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// For a request.
    Idle,
    /// For the rest of a head that began at this check.
    Head { began: u32 },
    /// For the rest of a body.
    Body,
    /// For the rest of a body that nobody needs, since the request is refused.
    Discard,
    /// For the answer.
    Answer,
}

/// How little it is worth to keep a connection, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum KeepRank {
    /// It has carried no request, sends a head, or its request is refused.
    Unserved,
    /// It rests after a request.
    Resting,
    /// Its body stalls.
    Stalled,
}

#[derive(Debug)]
struct ConnectionRecord {
    phase: ConnectionPhase,
    /// Check at which it last received anything.
    progress: u32,
    /// Whether it has carried a request.
    is_used: bool,
    /// Bytes of the head that is read or whose request is served.
    head_bytes: usize,
    /// Bytes received behind the request that is served.
    ahead_bytes: usize,
    /// Whether the kernel may hold more of it, since a long body arrives.
    is_wide: bool,
    share: MemoryShare,
    closing: Arc<Notify>,
}

impl ConnectionRecord {
    /// Sets what the connection takes in its phase.
    fn recharge(&mut self) -> Result<(), AccountExhausted> {
        let serves = matches!(self.phase, ConnectionPhase::Body | ConnectionPhase::Answer);
        let request = if serves { REQUEST_BYTES } else { 0 };
        let queued = if self.ahead_bytes > 0 { QUEUED_BYTES } else { 0 };
        let wide = if self.is_wide { WIDE_BYTES } else { 0 };
        let heads = HEAD_COPIES * (self.head_bytes + self.ahead_bytes);
        let bytes = CONNECTION_BYTES + request + queued + wide + heads;
        self.share.grow_to(bytes)?;
        self.share.shrink_to(bytes);
        Ok(())
    }

    /// Counts bytes that were received at this check.
    fn receive(&mut self, bytes: usize, now: u32) {
        self.progress = now;
        match self.phase {
            // The reader of the body accounts for it.
            ConnectionPhase::Body | ConnectionPhase::Discard => {}
            ConnectionPhase::Idle => {
                self.phase = ConnectionPhase::Head { began: now };
                self.head_bytes = bytes;
            }
            ConnectionPhase::Head { .. } => self.head_bytes += bytes,
            ConnectionPhase::Answer => self.ahead_bytes += bytes,
        }
    }

    /// Ends the request. What was received behind it begins the next one.
    fn end_request(&mut self, now: u32) {
        self.is_used = true;
        self.is_wide = false;
        self.head_bytes = std::mem::take(&mut self.ahead_bytes);
        self.progress = now;
        self.phase = match self.head_bytes {
            0 => ConnectionPhase::Idle,
            _ => ConnectionPhase::Head { began: now },
        };
        // It takes less than before.
        let _ = self.recharge();
    }

    /// How little it is worth to keep, and since when it has made no progress; `None` while it is
    /// served or makes progress.
    fn rank(&self, now: u32) -> Option<(KeepRank, u32)> {
        let quiet = now.wrapping_sub(self.progress);
        let rank = match self.phase {
            ConnectionPhase::Answer => return None,
            ConnectionPhase::Body if quiet < STALL_CHECKS => return None,
            _ if quiet < QUIET_CHECKS => return None,
            ConnectionPhase::Body => KeepRank::Stalled,
            ConnectionPhase::Idle if self.is_used => KeepRank::Resting,
            _ => KeepRank::Unserved,
        };
        Some((rank, u32::MAX - quiet))
    }
}

/// There is no room for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no room for a further connection")]
pub struct ConnectionsFull;

/// Connections that were closed since the check before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClosedConnections {
    /// Because their head took too long.
    pub late_heads: usize,
    /// For a new connection.
    pub gave_way: usize,
}

/// Connections by key, and what happened to them.
#[derive(Debug, Default)]
struct TableState {
    connections: SlotMap<ConnectionKey, ConnectionRecord>,
    /// Number of the current check.
    now: u32,
    gave_way: usize,
}

impl TableState {
    /// Closes the connection that is least worth keeping but for `kept`, if there is one.
    fn close_least(&mut self, kept: Option<ConnectionKey>) -> Option<()> {
        let now = self.now;
        let others = self.connections.iter().filter(|(key, _)| Some(*key) != kept);
        let ranks = others.filter_map(|(key, record)| Some((record.rank(now)?, key)));
        let (_, key) = ranks.min_by_key(|(rank, _)| *rank)?;
        self.connections.remove(key)?.closing.notify_one();
        self.gave_way += 1;
        Some(())
    }

    /// Changes a connection, and what it takes with it. Others give way if need be. One that has to
    /// close is not changed.
    fn change(
        &mut self,
        key: ConnectionKey,
        change: impl FnOnce(&mut ConnectionRecord),
    ) -> Result<(), AccountExhausted> {
        let Some(record) = self.connections.get_mut(key) else { return Ok(()) };
        change(record);
        loop {
            let Some(record) = self.connections.get_mut(key) else { return Ok(()) };
            if record.recharge().is_ok() {
                return Ok(());
            }
            self.close_least(Some(key)).ok_or(AccountExhausted)?;
        }
    }

    /// Closes connections whose head takes more than `limit` checks, and returns their number.
    fn close_late(&mut self, limit: u32) -> usize {
        let (now, before) = (self.now, self.connections.len());
        self.connections.retain(|_, record| {
            let ConnectionPhase::Head { began } = record.phase else { return true };
            let keeps = now.wrapping_sub(began) <= limit;
            if !keeps {
                record.closing.notify_one();
            }
            keeps
        });
        before - self.connections.len()
    }
}

/// The connections of some listeners.
#[derive(Debug)]
pub struct ConnectionTable {
    account: Arc<MemoryAccount>,
    state: Mutex<TableState>,
}

impl ConnectionTable {
    /// A table without connections.
    pub fn new(account: MemoryAccount) -> Arc<Self> {
        Arc::new(Self { account: Arc::new(account), state: Mutex::default() })
    }

    /// Memory for the clients of this table.
    pub fn account(&self) -> &Arc<MemoryAccount> {
        &self.account
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.lock().connections.len()
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection, of `limit` at most. Another one gives way if need be.
    ///
    /// # Errors
    /// Returns [`ConnectionsFull`] if all others are served.
    pub fn admit(self: &Arc<Self>, limit: usize) -> Result<Arc<OpenConnection>, ConnectionsFull> {
        let mut state = self.lock();
        let mut share = MemoryShare::new(&self.account);
        if state.connections.len() >= limit {
            state.close_least(None).ok_or(ConnectionsFull)?;
        } else if self.account.is_short() {
            // Where all others are served there may be room still.
            let _ = state.close_least(None);
        }
        share.grow_to(CONNECTION_BYTES).map_err(|_| ConnectionsFull)?;
        let closing = Arc::new(Notify::new());
        let record = ConnectionRecord {
            phase: ConnectionPhase::Idle,
            progress: state.now,
            is_used: false,
            head_bytes: 0,
            ahead_bytes: 0,
            is_wide: false,
            share,
            closing: closing.clone(),
        };
        let key = state.connections.insert(record);
        Ok(Arc::new(OpenConnection { table: self.clone(), key, closing }))
    }

    /// Counts a check, and closes connections whose head takes longer than `head_ms`.
    pub fn check(&self, head_ms: u64) -> ClosedConnections {
        let mut state = self.lock();
        state.now = state.now.wrapping_add(1);
        let limit = u32::try_from((head_ms + HEAD_SLACK_MS) / CHECK_MS).unwrap_or(u32::MAX);
        let late_heads = state.close_late(limit);
        ClosedConnections { late_heads, gave_way: std::mem::take(&mut state.gave_way) }
    }

    /// Checks the connections regularly, for ever. `head_ms` returns the time limit for a head,
    /// `report` learns what was closed.
    pub async fn run_checks(
        self: Arc<Self>,
        head_ms: impl Fn() -> u64,
        report: impl Fn(ClosedConnections),
    ) {
        let mut checks = tokio::time::interval(Duration::from_millis(CHECK_MS));
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            checks.tick().await;
            let closed = self.check(head_ms());
            if closed != ClosedConnections::default() {
                report(closed);
            }
        }
    }
}

/// A connection that a client has open. Its place is free when this is dropped, or once the
/// connection has to close.
#[derive(Debug)]
pub struct OpenConnection {
    table: Arc<ConnectionTable>,
    key: ConnectionKey,
    closing: Arc<Notify>,
}

impl OpenConnection {
    /// Waits until the connection has to close.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }

    /// Memory for the clients of its table.
    pub fn account(&self) -> &Arc<MemoryAccount> {
        &self.table.account
    }

    /// Counts bytes that were received.
    ///
    /// # Errors
    /// Returns [`AccountExhausted`] if the process has no memory for what the client sends; the
    /// connection has to close.
    pub fn receive(&self, bytes: usize) -> Result<(), AccountExhausted> {
        let mut state = self.table.lock();
        let now = state.now;
        state.change(self.key, |record| record.receive(bytes, now))
    }

    /// Whether the rest of a body is awaited.
    pub fn reads_body(&self) -> bool {
        let state = self.table.lock();
        let record = state.connections.get(self.key);
        record.is_some_and(|record| record.phase == ConnectionPhase::Body)
    }

    /// Accounts for a larger receive buffer until the request ends. Returns whether there is room.
    pub fn widen(&self) -> bool {
        if self.table.account.is_short() {
            return false;
        }
        let mut state = self.table.lock();
        let Some(record) = state.connections.get_mut(self.key) else { return false };
        record.is_wide = true;
        record.is_wide = record.recharge().is_ok();
        record.is_wide
    }

    /// Begins a request whose head is whole.
    ///
    /// # Errors
    /// Returns [`AccountExhausted`] if the process has no memory for it; it has to be refused.
    pub fn begin_request(self: &Arc<Self>) -> Result<ActiveRequest<ReadingBody>, AccountExhausted> {
        self.set_phase(ConnectionPhase::Body)?;
        Ok(ActiveRequest { end: RequestEnd(self.clone()), stage: PhantomData })
    }

    /// Sets the phase and what the connection takes in it. One that has to close is in none.
    fn set_phase(&self, phase: ConnectionPhase) -> Result<(), AccountExhausted> {
        let mut state = self.table.lock();
        let now = state.now;
        state.change(self.key, |record| {
            record.phase = phase;
            record.progress = now;
        })
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.lock().connections.remove(self.key);
    }
}

/// Stage of a request whose body is read.
#[derive(Debug)]
pub struct ReadingBody;

/// Stage of a request that is refused, while the rest of its body is read and dropped.
#[derive(Debug)]
pub struct DiscardingBody;

/// Stage of a request that waits for its answer, or whose answer is written.
#[derive(Debug)]
pub struct AwaitingAnswer;

/// A request on a connection, from the end of its head to the end of its answer. Its connection is
/// idle again when this is dropped.
#[derive(Debug)]
pub struct ActiveRequest<Stage> {
    end: RequestEnd,
    stage: PhantomData<Stage>,
}

impl<Stage> ActiveRequest<Stage> {
    fn enter<Next>(self, phase: ConnectionPhase) -> ActiveRequest<Next> {
        // What a request takes does not grow after its head.
        let _ = self.end.0.set_phase(phase);
        ActiveRequest { end: self.end, stage: PhantomData }
    }

    /// Memory for the clients of its connection's table.
    pub fn account(&self) -> &Arc<MemoryAccount> {
        self.end.0.account()
    }
}

impl ActiveRequest<ReadingBody> {
    /// The body is whole.
    pub fn body_read(self) -> ActiveRequest<AwaitingAnswer> {
        self.enter(ConnectionPhase::Answer)
    }

    /// The request is refused.
    pub fn discard(self) -> ActiveRequest<DiscardingBody> {
        self.enter(ConnectionPhase::Discard)
    }
}

/// Ends the request of a connection when it is dropped.
#[derive(Debug)]
struct RequestEnd(Arc<OpenConnection>);

impl Drop for RequestEnd {
    fn drop(&mut self) {
        let mut state = self.0.table.lock();
        let now = state.now;
        if let Some(record) = state.connections.get_mut(self.0.key) {
            record.end_request(now);
        }
    }
}
