//! What the crashes under a feature show.

use std::collections::BTreeSet;

use super::record::ReplicaCrash;
use super::{
    RequestFeature, ANSWERED_PART_CRASHES, ANSWERED_PART_CRASHES_MS, ANSWERED_PART_MOMENTS,
    PART_CRASHES, PART_CRASHES_DISTINCT, PART_CRASHES_MS, PART_MOMENTS, POISON_CRASHES,
    POISON_CRASHES_DISTINCT,
};
use crate::time::BoxTime;

/// The crashes under a feature that count, in numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CrashEvidence {
    /// Crashes.
    pub(super) crashes: usize,
    /// The same without those simultaneous with one of another request.
    pub(super) moments: usize,
    /// Different requests at all crashes.
    pub(super) requests: usize,
    /// Different requests at the first crash of each moment.
    moment_requests: usize,
    /// Time since the first crash, in milliseconds.
    lasts_ms: u64,
}

impl CrashEvidence {
    /// Sums up confirmed crashes.
    pub(super) fn new<'a>(crashes: impl Iterator<Item = &'a ReplicaCrash>, now: BoxTime) -> Self {
        let mut crashes: Vec<&ReplicaCrash> = crashes.collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut moments: Vec<&ReplicaCrash> = Vec::with_capacity(crashes.len());
        for crash in &crashes {
            if !moments.iter().any(|first| crash.is_simultaneous(first)) {
                moments.push(crash);
            }
        }
        Self {
            crashes: crashes.len(),
            moments: moments.len(),
            requests: distinct_requests(&crashes),
            moment_requests: distinct_requests(&moments),
            lasts_ms: crashes.first().map_or(0, |first| now.millis_since(first.at)),
        }
    }

    /// Whether it shows that the feature crashes replicas.
    pub(super) fn convicts(&self, feature: RequestFeature, was_answered: bool) -> bool {
        if !feature.is_part() {
            let apart = self.moments >= POISON_CRASHES_DISTINCT
                && self.moment_requests >= POISON_CRASHES_DISTINCT;
            return apart || self.moments >= POISON_CRASHES;
        }
        let (crashes, moments, lasts_ms) = if was_answered {
            (ANSWERED_PART_CRASHES, ANSWERED_PART_MOMENTS, ANSWERED_PART_CRASHES_MS)
        } else {
            (PART_CRASHES, PART_MOMENTS, PART_CRASHES_MS)
        };
        self.crashes >= crashes
            && self.moments >= moments
            && self.requests >= PART_CRASHES_DISTINCT
            && self.lasts_ms >= lasts_ms
    }
}

fn distinct_requests(crashes: &[&ReplicaCrash]) -> usize {
    let requests: BTreeSet<u64> =
        crashes.iter().flat_map(|crash| &crash.requests).copied().collect();
    requests.len()
}
