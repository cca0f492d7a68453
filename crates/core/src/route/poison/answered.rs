//! Prompt parts that replicas lately answered in full.
//!
//! A part that crashes replicas is never answered. When replicas crash, a part that was answered
//! before needs more evidence than one of which nothing is known. Answers are counted without
//! messages; only when a part stands at a crash do boxes gossip that it was answered.

use std::collections::HashMap;

use super::RequestFeature;
use crate::time::BoxTime;

/// Parts in each of the two generations.
const GENERATION_SIZE: usize = 2_048;

/// Parts with the time of their last complete answer, the most recent ones.
#[derive(Debug, Default)]
pub(super) struct AnsweredParts {
    newer: HashMap<RequestFeature, BoxTime>,
    older: HashMap<RequestFeature, BoxTime>,
}

impl AnsweredParts {
    /// Records an answer.
    pub(super) fn insert(&mut self, part: RequestFeature, now: BoxTime) {
        if self.newer.len() >= GENERATION_SIZE && !self.newer.contains_key(&part) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part, now);
    }

    /// Returns when a part was last answered, as far as that is kept.
    pub(super) fn answered_at(&self, part: RequestFeature) -> Option<BoxTime> {
        self.newer.get(&part).or_else(|| self.older.get(&part)).copied()
    }
}
