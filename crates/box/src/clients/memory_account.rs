//! Counts the bytes that a process holds for clients, all of them together.
//!
//! Each connection, head, body and answer has a share of the account from before it is held until it
//! is dropped. Large bodies leave a part of the account free, so that short requests are served while
//! large ones fill it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::Notify;

/// Memory that a process needs for itself, in bytes: code, tables, and messages of other boxes.
pub const PROCESS_BYTES: usize = 32 << 20;

/// Part of the other memory that the account hands out, as numerator and denominator. The rest
/// covers what the allocator and the kernel need in addition.
const ACCOUNT_PART: (usize, usize) = (2, 3);

/// Least part of the process's memory that the account hands out, as a divisor.
const LEAST_DIVISOR: usize = 4;

/// Bytes that a body or an answer leaves free for shorter ones, as a multiple of its own.
const SPARE_FACTOR: usize = 4;

/// Largest part of the account that it has to leave free, as a divisor.
const SPARE_DIVISOR: usize = 4;

/// Part of the account beyond which what is unfinished makes room, as a divisor.
const SHORT_DIVISOR: usize = 2;

/// Memory of a partial event that is not accounted for, in bytes.
const SHORT_EVENT_BYTES: usize = 32 << 10;

/// The account has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("other clients take the memory")]
pub struct AccountExhausted;

/// Memory for clients, in bytes.
#[derive(Debug)]
pub struct MemoryAccount {
    limit: usize,
    used: AtomicUsize,
    /// Notified when a share is given back while somebody may wait for it.
    released: Notify,
}

impl MemoryAccount {
    /// The account of a process that may use `process_bytes` of memory.
    pub fn new(process_bytes: usize) -> Self {
        let (part, of) = ACCOUNT_PART;
        let handed_out = process_bytes.saturating_sub(PROCESS_BYTES) / of * part;
        let limit = handed_out.max(process_bytes / LEAST_DIVISOR);
        Self { limit, used: AtomicUsize::new(0), released: Notify::new() }
    }

    /// Splits off a part of `1 / divisor` for other clients.
    pub fn split(&mut self, divisor: usize) -> Self {
        let limit = self.limit / divisor;
        self.limit -= limit;
        Self { limit, used: AtomicUsize::new(0), released: Notify::new() }
    }

    /// Bytes that all shares take.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Whether so much of the account is taken that what is unfinished has to make room.
    pub fn is_short(&self) -> bool {
        self.used() > self.limit / SHORT_DIVISOR
    }

    /// Bytes that a body or an answer of `bytes` in all has to leave free.
    fn spare_beside(&self, bytes: usize) -> usize {
        bytes.saturating_mul(SPARE_FACTOR).min(self.limit / SPARE_DIVISOR)
    }

    /// Takes `bytes` if `spare` more are free.
    fn take(&self, bytes: usize, spare: usize) -> Result<(), AccountExhausted> {
        let limit = self.limit.saturating_sub(spare);
        let next = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let taken = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        taken.map(drop).map_err(|_| AccountExhausted)
    }

    fn give_back(&self, bytes: usize) {
        if bytes > 0 {
            self.used.fetch_sub(bytes, Ordering::Relaxed);
            self.released.notify_waiters();
        }
    }
}

/// Bytes of the account. They are given back when this is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    account: Arc<MemoryAccount>,
    bytes: usize,
}

impl MemoryShare {
    /// A share of no bytes.
    pub fn new(account: &Arc<MemoryAccount>) -> Self {
        Self { account: account.clone(), bytes: 0 }
    }

    /// The account that it belongs to.
    pub fn account(&self) -> &Arc<MemoryAccount> {
        &self.account
    }

    /// Grows to `bytes` in all, for a connection or a head. A larger share stays as it is.
    ///
    /// # Errors
    /// Returns [`AccountExhausted`] if there is no room; the share stays as it was.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), AccountExhausted> {
        self.grow_beside(bytes, 0)
    }

    /// Grows to `bytes` in all, for a body, which leaves room for shorter ones.
    ///
    /// # Errors
    /// Returns [`AccountExhausted`] if there is no room; the share stays as it was.
    pub fn grow_for_body(&mut self, bytes: usize) -> Result<(), AccountExhausted> {
        self.grow_beside(bytes, self.account.spare_beside(bytes))
    }

    /// Grows to `bytes` in all, for an answer, which leaves room for shorter ones. Waits for the room.
    pub async fn wait_for_answer(&mut self, bytes: usize) {
        let account = self.account.clone();
        loop {
            let released = account.released.notified();
            if self.grow_beside(bytes, account.spare_beside(bytes)).is_ok() {
                return;
            }
            released.await;
        }
    }

    /// Fits to a partial event whose buffer has `held` bytes and may double. A short one takes nothing.
    /// Waits for the room.
    pub async fn hold_event(&mut self, held: usize) {
        if held <= SHORT_EVENT_BYTES {
            self.shrink_to(0);
        } else {
            self.wait_for_answer(2 * held).await;
        }
    }

    fn grow_beside(&mut self, bytes: usize, spare: usize) -> Result<(), AccountExhausted> {
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 {
            self.account.take(more, spare)?;
            self.bytes += more;
        }
        Ok(())
    }

    /// Gives back what goes beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        self.bytes -= less;
        self.account.give_back(less);
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.account.give_back(self.bytes);
    }
}
