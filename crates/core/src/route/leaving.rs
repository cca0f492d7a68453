//! Replicas that announce in a response that they are leaving.
//!
//! The store may be unreachable at that moment, and other boxes may have no request at the replica.
//! So the box that gets the response marks the replica's entry as leaving and gossips the change,
//! as it does with changes read from the store.

use super::backend::{BackendChange, BackendEntry, BackendTable, ChangeKind};
use super::event::{AnswerHead, RouteEffect};
use super::RouteState;
use crate::event::EventStamp;
use crate::ids::ReplicaKey;

impl BackendTable {
    /// Marks a replica as leaving. Returns its changed entry unless it was marked before.
    fn mark_leaving(&mut self, key: ReplicaKey) -> Option<BackendChange> {
        let row = self.rows.get_mut(key).filter(|row| !row.entry.leaving)?;
        row.entry.leaving = true;
        Some(BackendChange { id: row.entry.id.clone(), at: row.at, entry: Some(row.entry.clone()) })
    }

    /// Applies the leaving mark of an entry that is not newer than the known one. A replica never
    /// withdraws the mark during one run of its process, so the order of the entries does not
    /// matter.
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
    /// Marks the replica as leaving if the head of its response says so.
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
