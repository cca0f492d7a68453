//! Replicas that say in an answer that they leave.
//!
//! The store may be away as a replica says so, and other boxes have no request there: who got the answer marks the
//! replica's entry, and tells all others, as it does with what the store tells.

use super::backend::{BackendChange, BackendEntry, BackendTable, ChangeKind};
use super::event::{AnswerHead, RouteEffect};
use super::RouteState;
use crate::event::EventStamp;
use crate::ids::ReplicaKey;

impl BackendTable {
    /// Marks a replica that says that it leaves. Gives its entry so marked, if that is news.
    fn mark_leaving(&mut self, key: ReplicaKey) -> Option<BackendChange> {
        let row = self.rows.get_mut(key).filter(|row| !row.entry.leaving)?;
        row.entry.leaving = true;
        Some(BackendChange { id: row.entry.id.clone(), at: row.at, entry: Some(row.entry.clone()) })
    }

    /// Takes a leaving mark from an entry that is not later than the one known. Within one life of a replica it is never
    /// taken back, so the order does not matter.
    pub(super) fn apply_leaving(&mut self, entry: &BackendEntry) -> ChangeKind {
        let key = self.ids.get(&entry.id).copied().filter(|_| entry.leaving);
        let same_incarnation = |key: &ReplicaKey| self.rows[*key].entry.born == entry.born;
        match key.filter(same_incarnation).and_then(|key| self.mark_leaving(key)) {
            Some(_) => ChangeKind::Leaving,
            None => ChangeKind::None,
        }
    }
}

impl RouteState {
    /// Takes what the head of a replica's answer says of its leaving.
    pub(super) fn learn_leaving(
        &mut self,
        stamp: EventStamp,
        key: ReplicaKey,
        head: AnswerHead,
        out: &mut Vec<RouteEffect>,
    ) {
        if !head.leaving || head.other_replica {
            return;
        }
        let Some(change) = self.backends.mark_leaving(key) else { return };
        out.push(RouteEffect::LeavingReported(change.id.clone()));
        self.announce_change(stamp, change, ChangeKind::Leaving, out);
    }
}
