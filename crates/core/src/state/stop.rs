//! Planned stop. The box is removed from the addresses for callers at once and continues to serve
//! while callers may cache its address. It exits once no request runs and its records are in the
//! log.

use crate::effect::BoxEffect;
use crate::event::EventStamp;
use crate::message::{PeerBody, PeerHeartbeat};
use crate::time::BoxTime;

use super::BoxState;

/// How long a stopping box waits for the log while witnesses hold all its bills, in milliseconds.
const BILL_GRACE_MS: u64 = 5_000;

/// Number of boxes that are notified of a stop directly. The others learn of it through heartbeats.
const STOP_FAN_OUT: usize = 32;

impl BoxState {
    pub(super) fn on_stop_requested(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(stamp.now);
        let me = self.settings.name.clone();
        self.members.mark_leaving(&me);
        let sequence = self.fold.sequence();
        let heartbeat = PeerHeartbeat {
            stamp: stamp.now.as_micros(),
            sequence,
            leaving: true,
            ..PeerHeartbeat::default()
        };
        for row in self.members.peers().take(STOP_FAN_OUT) {
            out.push(BoxEffect::SendPeer(
                row.listed.name.clone(),
                PeerBody::Heartbeat(heartbeat.clone()),
            ));
        }
    }

    /// Whether the box no longer accepts requests: callers' cached addresses have expired.
    pub(super) fn has_stopped_accepting(&self, now: BoxTime) -> bool {
        self.stopping_since
            .is_some_and(|since| now.millis_since(since) >= self.settings.entry_keep_ms)
    }

    pub(super) fn check_stopped(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        let Some(since) = self.stopping_since else { return };
        if !self.has_stopped_accepting(stamp.now) || !self.requests.is_empty() {
            return;
        }
        let has_unwritten = self.appends.values().any(|queue| !queue.is_empty());
        let grace = self.settings.entry_keep_ms + BILL_GRACE_MS;
        let witnessed = self.ledger.all_witnessed();
        if !has_unwritten || (witnessed && stamp.now.millis_since(since) >= grace) {
            out.push(BoxEffect::ExitAllowed);
        }
    }

    /// Whether a planned stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.is_some()
    }
}
