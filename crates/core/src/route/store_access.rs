//! What a box knows of its own access to the store.
//!
//! Load pattern: an outage for all boxes, followed by one for some of them. A failed call shows
//! little once the store has answered another box: this box may reach it again as well. Boxes whose
//! access is unknown are candidates for duties before those that fail at present, so that a call
//! finds out which of them reach the store.

use serde::Serialize;

use super::RouteState;
use crate::time::BoxTime;

/// A failed call has no consequences after this time, in milliseconds.
pub const STORE_FAILED_MS: u64 = 20_000;

/// A box's access to the store, from the best.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum StoreAccess {
    /// No call has failed since one succeeded.
    #[default]
    Working,
    /// A call failed, and the store has answered another box since.
    Unknown,
    /// A call failed, and no box is known to have read the store since.
    Failed,
}

impl StoreAccess {
    /// The access of a box that was this at `at`, now that the store is known to have answered some
    /// box at `read_at`.
    pub fn after_read(self, at: BoxTime, read_at: Option<BoxTime>) -> Self {
        match self {
            StoreAccess::Failed if read_at > Some(at) => StoreAccess::Unknown,
            access => access,
        }
    }
}

impl RouteState {
    /// This box's access to the store.
    pub fn store_access(&self, now: BoxTime) -> StoreAccess {
        match self.reader.store_failed_at {
            Some(at) if now.millis_since(at) < STORE_FAILED_MS => {
                StoreAccess::Failed.after_read(at, self.fresh.as_of())
            }
            _ => StoreAccess::Working,
        }
    }

    /// Whether this box cannot reach the store at present.
    pub(super) fn store_unreachable(&self, now: BoxTime) -> bool {
        self.store_access(now) == StoreAccess::Failed
    }
}
