//! Weighted fair queues: requests wait for a replica by client account, within deadlines and
//! limits.
//!
//! Each version and each plain service has one queue. The order is that of start-time fair
//! queueing: each request gets a tag by the weight of its account, and the request with the lowest
//! tag leaves first, so a large account's backlog delays only itself. A request that cannot be
//! served in time is refused as soon as that is known.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{AccountKey, RequestKey};
use crate::time::BoxTime;

/// Maximum number of requests of one account in one queue.
pub const ACCOUNT_QUEUE_LIMIT: usize = 512;

/// Weight of one departure in the moving average of the drain rate.
const DRAIN_WEIGHT: f64 = 0.05;

/// Shortest retry delay for a refused caller, in milliseconds.
const RETRY_FLOOR_MS: f64 = 500.0;

/// A waiting request.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    key: RequestKey,
    tag: f64,
    deadline: BoxTime,
}

/// Why a request is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The account has too many waiting requests.
    Full,
    /// It would be served after its deadline.
    Late,
}

/// A weighted fair queue.
#[derive(Debug, Default)]
pub struct FairQueue {
    accounts: BTreeMap<AccountKey, VecDeque<WaitingRequest>>,
    /// Tag of each account's last request.
    tags: BTreeMap<AccountKey, f64>,
    /// Highest tag that has left the queue.
    virtual_time: f64,
    length: usize,
    /// Time of the last departure after which requests still waited.
    last_departure: Option<BoxTime>,
    /// Moving average of the time between departures.
    departure_gap_ms: Option<f64>,
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Expected wait of a new request of `account` by the drain rate, in milliseconds; 0 while no
    /// rate is known.
    pub fn wait_ms(&self, account: AccountKey) -> f64 {
        let own = self.accounts.get(&account).map_or(0, VecDeque::len);
        let active = self.accounts.len() + usize::from(own == 0);
        let ahead = (own * active).min(self.length);
        self.departure_gap_ms.unwrap_or(0.0) * (ahead + 1) as f64
    }

    /// Adds a request.
    ///
    /// # Errors
    /// [`QueueRefusal`] if the account's queue is full or the request would be served too late.
    pub fn push(
        &mut self,
        account: AccountKey,
        weight: u32,
        key: RequestKey,
        deadline: BoxTime,
        now: BoxTime,
    ) -> Result<(), QueueRefusal> {
        let waiting = self.accounts.get(&account).map_or(0, VecDeque::len);
        if waiting >= ACCOUNT_QUEUE_LIMIT {
            return Err(QueueRefusal::Full);
        }
        if self.length > 0 && now.plus_millis(self.wait_ms(account) as u64) > deadline {
            return Err(QueueRefusal::Late);
        }
        let before = self.tags.get(&account).copied().unwrap_or(0.0);
        let tag = before.max(self.virtual_time) + 1.0 / f64::from(weight.max(1));
        self.tags.insert(account, tag);
        let request = WaitingRequest { key, tag, deadline };
        self.accounts.entry(account).or_default().push_back(request);
        self.length += 1;
        Ok(())
    }

    /// Puts a request back that was popped but could not be placed.
    pub fn requeue(
        &mut self,
        account: AccountKey,
        key: RequestKey,
        deadline: BoxTime,
        now: BoxTime,
    ) {
        let request = WaitingRequest { key, tag: self.virtual_time, deadline };
        self.accounts.entry(account).or_default().push_front(request);
        self.length += 1;
        self.last_departure = Some(now);
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self, now: BoxTime) -> Option<RequestKey> {
        let first_tag = |(_, queue): &(&AccountKey, &VecDeque<WaitingRequest>)| queue[0].tag;
        let account = *self
            .accounts
            .iter()
            .min_by(|a, b| first_tag(a).total_cmp(&first_tag(b)))
            .map(|(account, _)| account)?;
        let queue = self.accounts.get_mut(&account)?;
        let request = queue.pop_front()?;
        if queue.is_empty() {
            self.accounts.remove(&account);
        }
        self.length -= 1;
        self.virtual_time = self.virtual_time.max(request.tag);
        self.record_departure(now);
        Some(request.key)
    }

    fn record_departure(&mut self, now: BoxTime) {
        if let Some(last) = self.last_departure {
            let gap = now.micros_since(last) as f64 / 1_000.0;
            let before = self.departure_gap_ms.unwrap_or(gap);
            self.departure_gap_ms = Some(before + (gap - before) * DRAIN_WEIGHT);
        }
        // The time between departures shows the drain rate only while requests still wait.
        self.last_departure = (self.length > 0).then_some(now);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: BoxTime) -> Vec<RequestKey> {
        let mut late = Vec::new();
        self.accounts.retain(|_, queue| {
            queue.retain(|request| {
                let keep = request.deadline > now;
                if !keep {
                    late.push(request.key);
                }
                keep
            });
            !queue.is_empty()
        });
        self.length -= late.len();
        late
    }

    /// Removes a request, because its caller disconnected.
    pub fn remove(&mut self, key: RequestKey) {
        let mut removed = 0;
        self.accounts.retain(|_, queue| {
            let before = queue.len();
            queue.retain(|request| request.key != key);
            removed += before - queue.len();
            !queue.is_empty()
        });
        self.length -= removed;
    }

    /// Removes and returns all requests, in order of account.
    pub fn drain(&mut self) -> Vec<RequestKey> {
        self.length = 0;
        let queues = std::mem::take(&mut self.accounts);
        queues.into_values().flatten().map(|request| request.key).collect()
    }

    /// Retry delay for a refused caller, in milliseconds: the time to drain the present queue, plus
    /// jitter of up to half of it by `random`, so that callers do not return together.
    pub fn retry_after_ms(&self, random: u64) -> u64 {
        let drained =
            (self.departure_gap_ms.unwrap_or(0.0) * self.length as f64).max(RETRY_FLOOR_MS);
        (drained * (1.0 + (random % 512) as f64 / 1_024.0)) as u64
    }
}
