//! What a box asks of others, and how far it is behind them.

use crate::time::BoxTime;

/// The asks of a box, and their answers.
#[derive(Debug, Default)]
pub(super) struct SyncState {
    /// When the next ask is due.
    pub(super) next_request: BoxTime,
    /// When the last ask was sent, if no answer has come.
    pub(super) unanswered_at: Option<BoxTime>,
    /// When another box last answered an ask.
    pub(super) answered_at: Option<BoxTime>,
    /// When a box that reads the store for the others last did.
    pub(super) reader_answered_at: Option<BoxTime>,
    /// Since when it is known that another box has read further.
    pub(super) behind_since: Option<BoxTime>,
    /// Whether an answer to its ask for that lacked it.
    pub(super) lagging: bool,
    /// When it may ask for that again.
    pub(super) next_catch_up: BoxTime,
}
