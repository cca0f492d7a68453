//! The fold of the `claims` stream: calls that must not be repeated run at most once.
//!
//! A box appends a claim and reads the stream up to it. Only the first live claim for a key, in log
//! order, may run; a claim that is not first when it is read has lost permanently. The claimant may
//! void its own claim until it dispatches the call. A void can reach the log before its claim, so
//! the nonces of voided claims are kept. The caller's key is a UUIDv7, whose time gives its age. A
//! key older than the log's retention is refused, since its earlier claim may no longer be in the
//! log.

use std::collections::{HashMap, HashSet};

use serde::Serialize;
use uuid::{Uuid, Version};

use crate::message::{ClaimRecord, OutcomeRecord};
use crate::time::WallTime;

/// Largest answer body that an outcome record keeps, in bytes.
pub const OUTCOME_BODY_LIMIT: usize = 2_048;

/// How far a caller's clock may be ahead, in milliseconds.
pub const KEY_SKEW_MS: u64 = 60_000;

/// Why a caller's key is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// No key was given.
    #[error("this operation may not be repeated: send an Idempotency-Key header with a UUIDv7")]
    Missing,
    /// Not a UUIDv7.
    #[error("the Idempotency-Key is not a UUIDv7")]
    NotUuidV7,
    /// Older than the log's retention.
    #[error("the Idempotency-Key is older than the log's retention: whether an earlier request with it ran is not known")]
    Expired,
    /// From the future.
    #[error("the Idempotency-Key's time is in the future")]
    Future,
}

/// Checks that a caller's key is a UUIDv7 whose time is within the log's retention.
///
/// # Errors
/// [`KeyError`] if the key is refused. The request does not run then.
pub fn check_key(text: Option<&str>, now: WallTime, retention_ms: u64) -> Result<Uuid, KeyError> {
    let text = text.ok_or(KeyError::Missing)?;
    let uuid = Uuid::parse_str(text).map_err(|_| KeyError::NotUuidV7)?;
    if uuid.get_version() != Some(Version::SortRand) {
        return Err(KeyError::NotUuidV7);
    }
    let (seconds, nanos) = uuid.get_timestamp().ok_or(KeyError::NotUuidV7)?.to_unix();
    let created_ms = seconds * 1_000 + u64::from(nanos) / 1_000_000;
    if created_ms > now.0 + KEY_SKEW_MS {
        return Err(KeyError::Future);
    }
    // The margin is twice the skew: the clocks of the caller and the box may be off in either
    // direction.
    if created_ms + retention_ms.saturating_sub(2 * KEY_SKEW_MS) < now.0 {
        return Err(KeyError::Expired);
    }
    Ok(uuid)
}

/// The live claim for a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimEntry {
    /// Nonce of the first live claim.
    pub nonce: u64,
    /// Outcome of the call, once its claimant has recorded it.
    #[serde(skip)]
    pub outcome: Option<OutcomeRecord>,
    /// When the claim was read, in milliseconds on the box's clock.
    read_ms: u64,
}

/// Result of folding a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It is the first live claim: its claimant may run the call.
    First,
    /// Another claim was first; its outcome, if recorded.
    Lost(Option<OutcomeRecord>),
    /// It was voided before it reached the log, or is a repeat.
    Ignored,
}

/// State of the fold.
#[derive(Debug, Default)]
pub struct ClaimFold {
    live: HashMap<String, ClaimEntry>,
    /// Nonces of claims that were read.
    seen: HashSet<u64>,
    voided: HashSet<u64>,
    /// Time of the read, nonce and key of each claim, in the order of the reads.
    read_order: std::collections::VecDeque<(u64, u64, String)>,
}

impl ClaimFold {
    /// Folds a claim that was read at `now_ms` on the box's clock.
    pub fn fold_claim(&mut self, claim: &ClaimRecord, now_ms: u64) -> ClaimOutcome {
        if !self.seen.insert(claim.nonce) {
            return ClaimOutcome::Ignored;
        }
        self.read_order.push_back((now_ms, claim.nonce, claim.key.clone()));
        if self.voided.contains(&claim.nonce) {
            return ClaimOutcome::Ignored;
        }
        if let Some(entry) = self.live.get(&claim.key) {
            return ClaimOutcome::Lost(entry.outcome.clone());
        }
        let entry = ClaimEntry { nonce: claim.nonce, outcome: None, read_ms: now_ms };
        self.live.insert(claim.key.clone(), entry);
        ClaimOutcome::First
    }

    /// Folds a void of a claim by its claimant.
    pub fn fold_void(&mut self, claim: &ClaimRecord) {
        self.voided.insert(claim.nonce);
        if self.live.get(&claim.key).is_some_and(|entry| entry.nonce == claim.nonce) {
            self.live.remove(&claim.key);
        }
    }

    /// Folds an outcome.
    pub fn fold_outcome(&mut self, outcome: &OutcomeRecord) {
        if let Some(entry) = self.live.get_mut(&outcome.key) {
            if entry.nonce == outcome.nonce {
                entry.outcome = Some(outcome.clone());
            }
        }
    }

    /// Returns the live claim for `key`.
    pub fn find(&self, key: &str) -> Option<&ClaimEntry> {
        self.live.get(key)
    }

    /// Number of live claims.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether there is no live claim.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Removes claims read more than `keep_ms` ago. Keys of that age are refused by [`check_key`].
    pub fn remove_expired(&mut self, now_ms: u64, keep_ms: u64) {
        while let Some((read, nonce, key)) = self.read_order.front() {
            if read + keep_ms > now_ms {
                return;
            }
            self.seen.remove(nonce);
            self.voided.remove(nonce);
            if self.live.get(key).is_some_and(|entry| entry.read_ms <= *read) {
                self.live.remove(key);
            }
            self.read_order.pop_front();
        }
    }
}
