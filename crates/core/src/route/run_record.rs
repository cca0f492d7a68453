//! What is known of whether a request has run at a replica.
//!
//! Each attempt counts as run from the moment on at which it is handed out. Only evidence takes that
//! back, so that a path that forgets to report how an attempt ended can't lead to a refusal that
//! falsely states that nothing has run.

use super::event::{AnswerHead, AttemptFailure};

/// Statuses with which another box refuses a forwarded request that has not run.
const REFUSED_STATUSES: std::ops::Range<u16> = 400..500;

/// Status with which a box or a replica without room refuses a request that has not run.
const NO_ROOM_STATUS: u16 = 503;

/// First status that is not a success.
const FIRST_UNSUCCESSFUL: u16 = 300;

/// Evidence that an attempt has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotRunProof {
    /// Nothing was written.
    Unwritten(UnwrittenCause),
    /// The replica states that it rejected the request.
    Rejected,
    /// Another replica answers at the address, and does not run what is meant for the former one.
    OtherReplica,
    /// The box to which it was forwarded refused it.
    RefusedByPeer,
}

/// Why nothing of an attempt was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnwrittenCause {
    /// No connection was established.
    NoConnection,
    /// The replica was withdrawn after it was chosen.
    Withdrawn,
}

impl NotRunProof {
    /// The evidence in a failed attempt.
    pub(super) fn of_failure(failure: AttemptFailure) -> Option<Self> {
        match failure {
            AttemptFailure::NeverSent => Some(Self::Unwritten(UnwrittenCause::NoConnection)),
            AttemptFailure::Withdrawn => Some(Self::Unwritten(UnwrittenCause::Withdrawn)),
            AttemptFailure::Broken | AttemptFailure::Silent => None,
        }
    }

    /// The evidence in the answer of a replica. A success has run, whatever else its head states.
    pub(super) fn of_answer(head: &AnswerHead) -> Option<Self> {
        if head.other_replica {
            return Some(Self::OtherReplica);
        }
        (head.not_run && head.status >= FIRST_UNSUCCESSFUL).then_some(Self::Rejected)
    }

    /// The evidence in the answer of a box to which the request was forwarded. An answer that a
    /// replica wrote shows that the request has run.
    pub(super) fn of_peer_answer(head: &AnswerHead) -> Option<Self> {
        let refuses = head.status == NO_ROOM_STATUS || REFUSED_STATUSES.contains(&head.status);
        (refuses && !head.proven).then_some(Self::RefusedByPeer)
    }
}

/// The right to state in a refusal that the request has not run. Only [`RunRecord`] grants it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NotRunGrant(());

/// The right to hand out an attempt. Only [`RunRecord`] grants it.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct AttemptPermit(());

/// What is known of the attempts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RunRecord {
    /// Whether an attempt was handed out of which nothing is known.
    is_open: bool,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
}

impl RunRecord {
    /// Whether any attempt may have run.
    pub(super) fn may_have_run(self) -> bool {
        self.is_open || self.may_have_run
    }

    /// Grants another attempt, unless one may have run and the request may run only once.
    pub(super) fn permit(self, repeatable: bool) -> Option<AttemptPermit> {
        (repeatable || !self.may_have_run()).then_some(AttemptPermit(()))
    }

    /// Records that an attempt is handed out. The one before may have run, if it is not settled.
    pub(super) fn begin(&mut self, _permit: AttemptPermit) {
        self.may_have_run |= self.is_open;
        self.is_open = true;
    }

    /// Records that the last attempt has not run.
    pub(super) fn settle(&mut self, _proof: NotRunProof) {
        self.is_open = false;
    }

    /// Grants the statement that the request has not run, if that is known.
    pub(super) fn not_run(self) -> Option<NotRunGrant> {
        (!self.may_have_run()).then_some(NotRunGrant(()))
    }

    /// Grants that statement for a request of which no attempt was made.
    pub(super) fn never_attempted() -> NotRunGrant {
        NotRunGrant(())
    }
}
