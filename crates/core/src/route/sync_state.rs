//! Sync requests of a box to other boxes, and how far it is behind them.

use crate::time::BoxTime;

/// Sync requests of a box and their responses.
#[derive(Debug, Default)]
pub(super) struct SyncState {
    /// When the next request is due.
    pub(super) next_request: BoxTime,
    /// When the last request was sent, if it has no response yet.
    pub(super) unanswered_at: Option<BoxTime>,
    /// When another box last responded.
    pub(super) answered_at: Option<BoxTime>,
    /// Name of that box.
    pub(super) answered_by: String,
    /// When a box that reads the store last responded.
    pub(super) reader_answered_at: Option<BoxTime>,
    /// Since when another box is known to have read further.
    pub(super) behind_since: Option<BoxTime>,
    /// Whether a response lacked the records that this box is behind by.
    pub(super) lagging: bool,
    /// When those records may be requested again.
    pub(super) next_catch_up: BoxTime,
}
