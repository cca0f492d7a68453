//! The fold of the `claims` stream: calls that may not be repeated run at most once.
//!
//! A box appends a claim and reads the stream up to it. Only the first live claim for a key, in log
//! order, may run; a claim that was not first when it was read has lost for good. The claimant may
//! void its own claim while it has not dispatched. A void may land before its claim, so nonces that
//! were voided are kept. The caller's key is a UUIDv7: its time bounds its age, and a key older than
//! the log's retention is refused, since the log could have forgotten it.

use std::collections::{HashMap, HashSet};

use serde::Serialize;
use uuid::{Uuid, Version};

use crate::message::{ClaimRecord, OutcomeRecord};
use crate::time::WallTime;

/// Largest answer body kept in an outcome record, in bytes.
pub const OUTCOME_BODY_LIMIT: usize = 2_048;

/// How far a caller's clock may run ahead, in milliseconds.
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
    /// Older than the log remembers.
    #[error("the Idempotency-Key is older than the log's retention: whether an earlier request with it ran is not known")]
    Expired,
    /// From the future.
    #[error("the Idempotency-Key's time is in the future")]
    Future,
}

/// Checks the time of a caller's key against the log's retention.
///
/// # Errors
/// [`KeyError`], by which the request does not run.
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
    // The margin is twice the skew: the caller's clock and the box's may be off in either direction.
    if created_ms + retention_ms.saturating_sub(2 * KEY_SKEW_MS) < now.0 {
        return Err(KeyError::Expired);
    }
    Ok(uuid)
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimEntry {
    /// Nonce of the first live claim.
    pub nonce: u64,
    /// How it ended, once its claimant said so.
    #[serde(skip)]
    pub outcome: Option<OutcomeRecord>,
    read_ms: u64,
}

/// What folding a claim did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It is the first live claim: its claimant may run the call.
    First,
    /// Another claim was first; its outcome if known.
    Lost(Option<OutcomeRecord>),
    /// It was voided before it landed, or was folded before.
    Ignored,
}

/// State of the fold.
#[derive(Debug, Default)]
pub struct ClaimFold {
    live: HashMap<String, ClaimEntry>,
    seen: HashSet<u64>,
    voided: HashSet<u64>,
    read_order: std::collections::VecDeque<(u64, u64, String)>,
}

impl ClaimFold {
    /// Folds a claim read at box time `now_ms`.
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

    /// Folds a claimant's void.
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

    /// What is known of `key`.
    pub fn find(&self, key: &str) -> Option<&ClaimEntry> {
        self.live.get(key)
    }

    /// How many live claims are held.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether no live claim is held.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Forgets claims read more than `keep_ms` ago; keys that old are refused by their age.
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
