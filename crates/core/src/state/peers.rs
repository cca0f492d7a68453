//! Messages between boxes: heartbeats, bundles, bills for witnesses, ratings and leaving notices.

use crate::appender::LogStream;
use crate::bills::OWNER_SILENCE_MS;
use crate::cascade::QualityCount;
use crate::effect::BoxEffect;
use crate::event::EventStamp;
use crate::ids::ReplicaKey;
use crate::membership::ListedBox;
use crate::message::{
    BillNumbers, BundleRequest, HeartbeatReply, LeavingNotice, PeerBody, PeerHeartbeat,
    PeerMessage, PeerSummary, QualityRequest, QualityRow, QualityUpdate, RecordBody, VerdictRecord,
};
use crate::replica::{ListedReplica, LoadReport};
use crate::time::BoxTime;

use super::BoxState;

/// How long heartbeats repeat that a replica is leaving, in milliseconds.
const NOTICE_REPEAT_MS: u64 = 10_000;

/// Maximum number of leaving replicas, and of halted versions, in one heartbeat.
const NOTICES_PER_HEARTBEAT: usize = 16;

impl BoxState {
    pub(super) fn on_list_read(
        &mut self,
        stamp: EventStamp,
        boxes: Vec<ListedBox>,
        replicas: &[ListedReplica],
        out: &mut Vec<BoxEffect>,
    ) {
        self.members.apply_list(boxes);
        self.replicas.set_boxes(self.members.listed_count());
        if self.stopping_since.is_some() {
            self.members.mark_leaving(&self.settings.name.clone());
        }
        let before: Vec<String> = self.leaving_names();
        self.replicas.apply_list(replicas);
        for name in self.leaving_names() {
            if !before.contains(&name) {
                self.announce_leaving(stamp, &name, out);
            }
        }
    }

    fn leaving_names(&self) -> Vec<String> {
        let leaving = self.replicas.rows().filter(|(_, row)| row.leaving);
        leaving.map(|(_, row)| row.listed.name.clone()).collect()
    }

    pub(super) fn on_load_reported(
        &mut self,
        stamp: EventStamp,
        name: &str,
        at: BoxTime,
        report: &LoadReport,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(key) = self.replicas.find(name) else { return };
        let versions =
            report.versions.iter().map(|version| self.names.versions.intern(version)).collect();
        if self.replicas.apply_report(key, report, versions, at) {
            self.announce_leaving(stamp, name, out);
        }
        if self.queues.values().any(|queue| !queue.is_empty()) {
            self.drain_queues(stamp, out);
        }
    }

    pub(super) fn on_replica_leaving(
        &mut self,
        stamp: EventStamp,
        key: ReplicaKey,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(row) = self.replicas.get(key) else { return };
        let name = row.listed.name.clone();
        self.apply_leaving(stamp, &name, out);
    }

    fn apply_leaving(&mut self, stamp: EventStamp, name: &str, out: &mut Vec<BoxEffect>) {
        if self.replicas.mark_leaving(name) {
            self.announce_leaving(stamp, name, out);
        }
    }

    fn announce_leaving(&mut self, stamp: EventStamp, name: &str, out: &mut Vec<BoxEffect>) {
        self.leaving_notices.push_back((stamp.now, name.to_owned()));
        out.push(BoxEffect::ReplicaLeaving(name.to_owned()));
        let notice = LeavingNotice { replica: name.to_owned() };
        self.gossip(PeerBody::Leaving(notice), out);
    }

    /// Sends a message to the next few boxes of the heartbeat round. Receivers of a verdict or a
    /// leaving notice send it on if it is new to them.
    pub(super) fn gossip(&mut self, body: PeerBody, out: &mut Vec<BoxEffect>) {
        for name in self.members.next_targets() {
            out.push(BoxEffect::SendPeer(name, body.clone()));
        }
    }

    pub(super) fn send_heartbeats(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        while self
            .leaving_notices
            .front()
            .is_some_and(|(at, _)| stamp.now.millis_since(*at) > NOTICE_REPEAT_MS)
        {
            self.leaving_notices.pop_front();
        }
        let notices = self.leaving_notices.iter().rev().take(NOTICES_PER_HEARTBEAT);
        let named = &self.index.spec.rollouts;
        let halted =
            self.rollouts.iter().filter(|(name, row)| row.halted && named.contains_key(*name));
        let heartbeat = PeerHeartbeat {
            stamp: stamp.now.as_micros(),
            sequence: self.fold.sequence(),
            leaving: self.stopping_since.is_some(),
            leaving_replicas: notices.map(|(_, name)| name.clone()).collect(),
            halted: halted.map(|(name, _)| name.clone()).take(NOTICES_PER_HEARTBEAT).collect(),
        };
        self.gossip(PeerBody::Heartbeat(heartbeat), out);
    }

    /// Sends this box's new ratings to the next few boxes. Receivers do not send them on, so that
    /// no rating is counted twice.
    pub(super) fn send_quality(&mut self, out: &mut Vec<BoxEffect>) {
        let rows: Vec<QualityRow> = self
            .quality
            .drain_unshared()
            .into_iter()
            .map(|((model, class), count)| quality_row(model, class, count))
            .collect();
        if !rows.is_empty() {
            self.gossip(PeerBody::Quality(QualityUpdate { rows }), out);
        }
    }

    fn on_quality(&mut self, update: &QualityUpdate) {
        self.quality_received = true;
        for row in &update.rows {
            let count = QualityCount { good: f64::from(row.good), bad: f64::from(row.bad) };
            let is_count = |n: f64| n.is_finite() && n >= 0.0;
            if let (Ok(class), true) =
                (u8::try_from(row.class), is_count(count.good) && is_count(count.bad))
            {
                self.quality.add_shared(&row.model, class, count);
            }
        }
    }

    fn on_quality_request(&self, from: String, out: &mut Vec<BoxEffect>) {
        let rows = self.quality.rows().into_iter();
        let rows: Vec<QualityRow> =
            rows.map(|(model, class, count)| quality_row(model, class, count)).collect();
        if !rows.is_empty() {
            out.push(BoxEffect::SendPeer(from, PeerBody::Quality(QualityUpdate { rows })));
        }
    }

    pub(super) fn on_peer_message(
        &mut self,
        stamp: EventStamp,
        message: PeerMessage,
        out: &mut Vec<BoxEffect>,
    ) {
        let (from, incarnation) = (message.from, message.incarnation);
        let Some(body) = message.body else { return };
        if self.members.find(&from).is_none() {
            // The box list may not name a new box yet. Such a box is answered so that it can start,
            // but other messages from it are ignored.
            if !matches!(body, PeerBody::Heartbeat(_) | PeerBody::RequestBundle(_)) {
                return;
            }
        }
        match body {
            PeerBody::Heartbeat(heartbeat) => self.on_heartbeat(stamp, &from, &heartbeat, out),
            PeerBody::Reply(reply) => self.on_reply(&from, incarnation, &reply, out),
            PeerBody::Bundle(record) => {
                let outcome = self.fold.adopt_record(&record);
                self.on_bundle_folded(stamp, &record, outcome, Some(&from), out);
            }
            PeerBody::RequestBundle(request) => self.on_bundle_request(&from, request.have, out),
            PeerBody::Witness(witness) => {
                let numbers = witness.bills.iter().map(|bill| bill.number).collect();
                for bill in witness.bills {
                    self.ledger.add_held(&from, incarnation, bill);
                }
                let body = PeerBody::Witnessed(BillNumbers { numbers });
                out.push(BoxEffect::SendPeer(from, body));
            }
            PeerBody::Witnessed(held) => self.on_witnessed(stamp, &from, &held.numbers, out),
            PeerBody::Release(done) => self.ledger.release(&from, incarnation, &done.numbers),
            PeerBody::Verdict(verdict) => self.apply_verdict(&verdict, out),
            PeerBody::Leaving(notice) => {
                self.apply_leaving(stamp, &notice.replica, out);
            }
            PeerBody::Evidence(evidence) => self.on_evidence(stamp, &evidence, out),
            PeerBody::Quality(update) => self.on_quality(&update),
            PeerBody::RequestQuality(_) => self.on_quality_request(from, out),
        }
    }

    fn on_heartbeat(
        &mut self,
        stamp: EventStamp,
        from: &str,
        heartbeat: &PeerHeartbeat,
        out: &mut Vec<BoxEffect>,
    ) {
        if heartbeat.leaving {
            self.members.mark_leaving(from);
        }
        if heartbeat.sequence > self.fold.sequence() {
            self.request_bundle(from, out);
        }
        for replica in &heartbeat.leaving_replicas {
            self.apply_leaving(stamp, replica, out);
        }
        for version in &heartbeat.halted {
            let verdict = VerdictRecord { version: version.clone(), halted: true, step: 0 };
            self.apply_verdict(&verdict, out);
        }
        let reply = HeartbeatReply {
            echo: heartbeat.stamp,
            log_age_ms: self.fresh.age_ms(stamp.now),
            sequence: self.fold.sequence(),
            leaving: self.stopping_since.is_some(),
            others: self.members.summaries(from, stamp.now),
        };
        out.push(BoxEffect::SendPeer(from.to_owned(), PeerBody::Reply(reply)));
    }

    fn on_reply(
        &mut self,
        from: &str,
        incarnation: u64,
        reply: &HeartbeatReply,
        out: &mut Vec<BoxEffect>,
    ) {
        let sent_at = BoxTime::from_micros(reply.echo);
        let direct = PeerSummary {
            name: from.to_owned(),
            incarnation,
            age_ms: 0,
            sequence: reply.sequence,
            leaving: reply.leaving,
            proved: reply.log_age_ms != u64::MAX,
        };
        self.members.apply_summary(from, &direct, sent_at);
        if !self.quality_received && self.quality.is_empty() {
            let request = PeerBody::RequestQuality(QualityRequest {});
            out.push(BoxEffect::SendPeer(from.to_owned(), request));
        }
        for other in reply.others.iter().filter(|other| other.name != self.settings.name) {
            self.members.apply_summary(&other.name, other, sent_at);
        }
        if reply.sequence > self.fold.sequence() {
            // The peer has a newer bundle, so its reply must not renew the lease of this one.
            self.request_bundle(from, out);
        } else {
            self.fresh.renew_from_peer(sent_at, reply.log_age_ms);
        }
    }

    pub(super) fn request_bundle(&self, peer: &str, out: &mut Vec<BoxEffect>) {
        out.push(BoxEffect::ReadBundles);
        let request = BundleRequest { have: self.fold.sequence() };
        out.push(BoxEffect::SendPeer(peer.to_owned(), PeerBody::RequestBundle(request)));
    }

    fn on_bundle_request(&self, from: &str, have: u64, out: &mut Vec<BoxEffect>) {
        if let Some(bundle) = self.fold.in_force().filter(|bundle| bundle.sequence > have) {
            let body = PeerBody::Bundle(bundle.whole_record());
            out.push(BoxEffect::SendPeer(from.to_owned(), body));
        }
    }

    /// Appends the bills held for boxes that were lost: replaced, silent or no longer listed.
    pub(super) fn take_over_bills(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        for owner in self.ledger.held_owners() {
            let (name, incarnation) = &owner;
            let silence = OWNER_SILENCE_MS.max(self.members.silence_ms());
            let vanished = match self.members.find(name) {
                None => true,
                Some(row) if row.incarnation != 0 && row.incarnation != *incarnation => true,
                Some(row) => {
                    let alive_at = row.alive_at.unwrap_or_default();
                    stamp.now.millis_since(alive_at) > silence
                }
            };
            if !vanished {
                continue;
            }
            let bills = self.ledger.drain_held(&owner);
            out.push(BoxEffect::OwnerLost { owner: name.clone(), bills: bills.len() });
            for bill in bills {
                self.push_record(LogStream::Bills, RecordBody::Bill(bill));
            }
        }
    }
}

fn quality_row(model: String, class: u8, count: QualityCount) -> QualityRow {
    let (good, bad) = (count.good as f32, count.bad as f32);
    QualityRow { model, class: u32::from(class), good, bad }
}
