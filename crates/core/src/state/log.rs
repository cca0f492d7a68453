//! Reads and appends of the platform's log: the folds of its streams and the batches to append.

use crate::appender::LogStream;
use crate::bundle::{BundleIndex, BundleSpec};
use crate::claims::ClaimOutcome;
use crate::effect::BoxEffect;
use crate::event::EventStamp;
use crate::fold::FoldOutcome;
use crate::ids::RequestKey;
use crate::message::{
    BillRecord, BundleRecord, ClaimRecord, LogRecord, PeerBody, RecordBody, VerdictRecord,
};
use crate::time::BoxTime;

use super::{BoxState, RequestStage};

/// Properties of a read of a stream, see [`crate::event::BoxEvent::LogRead`].
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamRead {
    pub stream: LogStream,
    pub asked_at: BoxTime,
    pub first: u64,
    pub tail: u64,
    pub age_ms: u64,
}

impl BoxState {
    pub(super) fn on_log_read(
        &mut self,
        stamp: EventStamp,
        read: StreamRead,
        records: Vec<(u64, LogRecord)>,
        out: &mut Vec<BoxEffect>,
    ) {
        match read.stream {
            LogStream::Bundles => self.read_bundles(stamp, read, records, out),
            LogStream::Claims => self.read_claims(stamp, read, records, out),
            LogStream::Verdicts => self.read_verdicts(read, records, out),
            LogStream::Leases => self.read_leases(stamp, read, records),
            LogStream::Bills => {}
        }
    }

    fn read_bundles(
        &mut self,
        stamp: EventStamp,
        read: StreamRead,
        records: Vec<(u64, LogRecord)>,
        out: &mut Vec<BoxEffect>,
    ) {
        if read.first > self.fold.next_offset() {
            self.fold.record_gap(read.first);
        }
        for (offset, record) in records {
            if let Some(RecordBody::Bundle(bundle)) = record.body {
                let outcome = self.fold.fold_record(offset, &bundle);
                self.on_bundle_folded(stamp, &bundle, outcome, None, out);
                if bundle.sequence == self.fold.sequence() {
                    self.bundle_seen = (read.asked_at, read.age_ms);
                }
            } else {
                self.fold.skip_record(offset);
            }
        }
        if self.fold.anchored() && self.fold.next_offset() >= read.tail {
            self.fresh.renew(read.asked_at);
        }
    }

    /// Handles the outcome of folding a bundle record. `from` is the peer that sent it; `None` if
    /// it was read from the log.
    pub(super) fn on_bundle_folded(
        &mut self,
        stamp: EventStamp,
        record: &BundleRecord,
        outcome: FoldOutcome,
        from: Option<&str>,
        out: &mut Vec<BoxEffect>,
    ) {
        match outcome {
            FoldOutcome::Accepted => self.apply_bundle(stamp, record, out),
            FoldOutcome::Repeated => {}
            FoldOutcome::Rejected(rejection) => match from {
                Some(peer) if record.sequence > self.fold.sequence() => {
                    self.request_bundle(peer, out);
                }
                Some(_) => {}
                None => out.push(BoxEffect::BundleRejected(rejection)),
            },
        }
    }

    fn apply_bundle(&mut self, stamp: EventStamp, record: &BundleRecord, out: &mut Vec<BoxEffect>) {
        let Some(bundle) = self.fold.in_force() else { return };
        let (sequence, digest) = (bundle.sequence, bundle.digest.clone());
        // The fold accepted the bundle, so its sections are valid.
        let Ok(spec) = BundleSpec::from_sections(&bundle.sections) else { return };
        self.index = BundleIndex::build(spec, &mut self.names);
        self.bundle_seen = (stamp.now, 0);
        out.push(BoxEffect::BundleInForce { sequence, digest });
        for name in self.members.next_targets() {
            if self.members.find(&name).is_some_and(|row| row.sequence < sequence) {
                let record = BundleRecord { carried: false, folded_to: 0, ..record.clone() };
                out.push(BoxEffect::SendPeer(name, PeerBody::Bundle(record)));
            }
        }
        self.drain_queues(stamp, out);
    }

    /// Appends the bundle in force and the verdicts on rollouts again, before the log's retention
    /// removes them. Boxes wait by rank, so that usually one box appends and the others read it in
    /// time.
    pub(super) fn carry_bundle(&mut self, stamp: EventStamp) {
        let Some(record) = self.fold.carry_record() else { return };
        let rank = self.members.rank("carry") as u64;
        let quarter = self.settings.retention_ms / 4;
        let turn = quarter + rank * quarter / self.members.listed_count().max(1) as u64;
        let (seen_at, age_ms) = self.bundle_seen;
        if stamp.now.millis_since(seen_at) + age_ms < turn {
            return;
        }
        self.bundle_seen = (stamp.now, 0);
        self.push_record(LogStream::Bundles, RecordBody::Bundle(record));
        let verdicts: Vec<VerdictRecord> = self
            .rollouts
            .iter()
            .filter(|(_, state)| state.halted || state.step > 0)
            .map(|(version, state)| VerdictRecord {
                version: version.clone(),
                halted: state.halted,
                step: state.step,
            })
            .collect();
        for verdict in verdicts {
            self.push_record(LogStream::Verdicts, RecordBody::Verdict(verdict));
        }
    }

    fn read_claims(
        &mut self,
        stamp: EventStamp,
        read: StreamRead,
        records: Vec<(u64, LogRecord)>,
        out: &mut Vec<BoxEffect>,
    ) {
        self.claim_next = self.claim_next.max(read.first);
        for (offset, record) in records {
            if offset < self.claim_next {
                continue;
            }
            self.claim_next = offset + 1;
            match record.body {
                Some(RecordBody::Claim(claim)) => {
                    let outcome = self.claims.fold_claim(&claim, stamp.now.as_millis());
                    if record.incarnation == self.settings.incarnation {
                        self.own_claim_read(stamp, &claim, outcome, out);
                    }
                }
                Some(RecordBody::Void(claim)) => self.claims.fold_void(&claim),
                Some(RecordBody::Outcome(outcome)) => self.claims.fold_outcome(&outcome),
                _ => {}
            }
        }
    }

    /// Handles a claim of this box that was read back from the log.
    fn own_claim_read(
        &mut self,
        stamp: EventStamp,
        claim: &ClaimRecord,
        outcome: ClaimOutcome,
        out: &mut Vec<BoxEffect>,
    ) {
        let is_own = |(_, request): &(RequestKey, &super::RequestState)| {
            request.claim.as_ref().is_some_and(|(_, nonce)| *nonce == claim.nonce)
        };
        // If the request was refused in the meantime, it is not found and is never dispatched.
        let Some((key, request)) = self.requests.iter().find(is_own) else { return };
        let RequestStage::Claiming(attempt) = request.stage else { return };
        match outcome {
            ClaimOutcome::First => self.on_claim_won(stamp, key, attempt, out),
            ClaimOutcome::Lost(outcome) => self.on_claim_lost(key, outcome, out),
            ClaimOutcome::Ignored => {}
        }
    }

    fn read_verdicts(
        &mut self,
        read: StreamRead,
        records: Vec<(u64, LogRecord)>,
        out: &mut Vec<BoxEffect>,
    ) {
        self.verdict_next = self.verdict_next.max(read.first);
        for (offset, record) in records {
            if offset < self.verdict_next {
                continue;
            }
            self.verdict_next = offset + 1;
            if let Some(RecordBody::Verdict(verdict)) = record.body {
                self.apply_verdict(&verdict, out);
            }
        }
    }

    /// Emits the batches that are due.
    pub(super) fn append_due(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        let boxes = self.members.listed_count();
        for (stream, queue) in &mut self.appends {
            if let Some(batch) = queue.take_batch(stamp.now, boxes) {
                out.push(BoxEffect::Append(*stream, batch));
            }
        }
    }

    pub(super) fn on_append_done(
        &mut self,
        stamp: EventStamp,
        stream: LogStream,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(queue) = self.appends.get_mut(&stream) else { return };
        let done = queue.batch_done();
        let bills: Vec<BillRecord> = done
            .into_iter()
            .filter_map(|record| match record.body {
                Some(RecordBody::Bill(bill)) => Some(bill),
                _ => None,
            })
            .collect();
        self.bills_appended(&bills, out);
        self.append_due(stamp, out);
    }

    pub(super) fn on_append_failed(&mut self, stamp: EventStamp, stream: LogStream) {
        if let Some(queue) = self.appends.get_mut(&stream) {
            queue.batch_failed(stamp.now);
        }
    }
}
