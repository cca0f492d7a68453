//! What one box does for all: it reports usage and orders replicas, under a lease with a fencing token.
//!
//! [`lease`] who may · [`usage`] how many requests of each client account ran · [`scale`] how many replicas there are to be.
//!
//! The platform refuses calls with a lower token than it has seen, but a call without an answer may be carried out seconds
//! later. So what was decided stands in the store, under the same token, before it is first sent, and whoever gets the
//! lease next begins with what stands there.

pub mod lease;
pub mod scale;
pub mod usage;

use std::collections::BTreeMap;

use serde::Serialize;

use super::event::RouteEffect;
use super::trial::{TrialState, VersionTrial};
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::time::{BoxTime, WallTime};

use lease::{LeaderPart, LeaseAnswer};
use scale::{ScaleOrders, ScaleSubject, ServiceSize};
use usage::{
    RoundStep, UsageBounds, UsageCounts, UsageReport, UsageRequest, UsageResponse, UsageRound,
};

/// What is not answered is sent again after this, in milliseconds.
pub const SEND_AGAIN_MS: u64 = 700;

/// A report is no longer sent this many windows after its own.
const REPORT_WINDOWS: u64 = usage::WINDOWS_KEPT as u64;

/// Bounds of what one box does for all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LeaderBounds {
    /// Length of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Bounds of the reports, if usage is to be reported.
    pub usage: Option<UsageBounds>,
    /// Whether replicas are to be ordered.
    pub scales: bool,
}

/// What a holder leaves in the store for the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderRecord {
    /// The last report.
    Usage(UsageReport),
    /// Sizes of a service's zones.
    Size(ServiceSize),
}

/// A call to the platform that only the holder may make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderCall {
    /// A report.
    Report(UsageReport),
    /// An order of replicas.
    Scale(ScaleSubject, u32),
}

/// How a call of the holder ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform did it.
    Done,
    /// The platform refused it: a higher token was seen, or there is nothing to be had.
    Refused,
    /// No answer came, or one that says nothing: it may be done, or not.
    Unknown,
}

/// What the holder's task is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderOrder {
    /// The fencing token.
    pub token: u64,
    /// Nothing is begun from then on.
    pub until: BoxTime,
    /// The step.
    pub step: LeaderStep,
}

/// A record for the next holder, as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedRecord {
    /// Its number among those of this token: the store takes each once, and in turn.
    pub number: u64,
    /// The record.
    pub record: LeaderRecord,
}

/// A step of the holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderStep {
    /// Bar former holders from writing, and read what they left.
    TakeOver,
    /// Write this for the next holder.
    WriteRecord(NumberedRecord),
    /// Make this call.
    Call(LeaderCall),
}

/// The report under way.
#[derive(Clone, Debug)]
struct PendingReport {
    report: UsageReport,
    /// Whether it stands in the store.
    kept: bool,
    /// Not sent again before this.
    next_at: BoxTime,
}

/// Sizes of a service's zones, as this box knows them.
#[derive(Clone, Debug)]
struct KnownSize {
    size: ServiceSize,
    /// Whether they stand in the store.
    kept: bool,
}

/// A record that is being written.
#[derive(Clone, Debug)]
struct PendingWrite {
    kept: NumberedRecord,
    /// Not sent again before this.
    next_at: BoxTime,
}

/// This box's part in what one box does for all.
#[derive(Debug, Default)]
pub(super) struct LeaderState {
    pub(super) part: LeaderPart,
    /// This box's own counts.
    counts: UsageCounts,
    /// The token under which the former holders' records were read.
    took_over: Option<u64>,
    /// When they were last asked for.
    asked_at: Option<BoxTime>,
    /// The last window that was reported.
    reported_to: Option<u64>,
    round: Option<UsageRound>,
    open: Option<PendingReport>,
    /// The record that is being written.
    writing: Option<PendingWrite>,
    /// Number of the next one.
    next_number: u64,
    /// Sizes by service.
    sizes: BTreeMap<String, KnownSize>,
    orders: ScaleOrders,
}

impl LeaderState {
    /// Forgets what it decided under another token than this.
    fn begin(&mut self, token: u64) {
        if self.took_over.is_some_and(|former| former != token) {
            let (part, counts) = (self.part, std::mem::take(&mut self.counts));
            *self = Self { part, counts, ..Self::default() };
        }
    }

    /// The step that writes a record, if it is its turn: one that may be on its way is written again until the store
    /// has it, so that it can't come behind a later one.
    fn write(&mut self, record: LeaderRecord, now: BoxTime) -> Option<LeaderStep> {
        let number = self.next_number;
        let writing = self.writing.get_or_insert_with(|| PendingWrite {
            kept: NumberedRecord { number, record: record.clone() },
            next_at: now,
        });
        if writing.kept.record != record || now < writing.next_at {
            return None;
        }
        writing.next_at = now.plus_millis(SEND_AGAIN_MS);
        Some(LeaderStep::WriteRecord(writing.kept.clone()))
    }
}

impl RouteState {
    /// Whether this box asks the store for the lease: one of the readers, or the holder.
    pub fn wants_lease(&self, now: BoxTime) -> bool {
        let bounds = self.settings.leader;
        let any = bounds.is_some_and(|bounds| bounds.usage.is_some() || bounds.scales);
        any && !self.stopping() && (self.is_reader(now) || self.leader.part.has_lease())
    }

    /// Whether it has the lease, so that it gives it back when it stops.
    pub fn has_lease(&self) -> bool {
        self.leader.part.has_lease()
    }

    /// Length of the lease, in milliseconds.
    pub fn lease_ms(&self) -> u64 {
        self.settings.leader.unwrap_or_default().lease_ms
    }

    /// Takes the store's answer to an ask for the lease.
    pub(super) fn on_lease(
        &mut self,
        stamp: EventStamp,
        asked_at: BoxTime,
        word: LeaseAnswer,
        out: &mut Vec<RouteEffect>,
    ) {
        let length_ms = self.lease_ms();
        let former = self.leader.part;
        self.leader.part.apply_answer(word, asked_at, stamp.now, length_ms);
        self.note_part(former, out);
    }

    /// Tells when the box's part has changed. Under the token that it had before it goes on where it was: no other box
    /// had the lease since.
    fn note_part(&mut self, former: LeaderPart, out: &mut Vec<RouteEffect>) {
        let part = self.leader.part;
        if let LeaderPart::Settling(lease) = part {
            self.leader.begin(lease.token());
        }
        if std::mem::discriminant(&former) != std::mem::discriminant(&part) {
            out.push(RouteEffect::LeaderPartChanged(part));
        }
    }

    /// Counts a request whose run begins, for the report of its window.
    pub(super) fn count_usage(&mut self, wall: WallTime, ticket: RequestTicket) {
        let Some(bounds) = self.settings.leader.and_then(|bounds| bounds.usage) else { return };
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if std::mem::replace(&mut request.counted, true) {
            return;
        }
        if let Some(account) = &request.account {
            self.leader.counts.note(bounds.window_at(wall), account);
        }
    }

    /// Answers the holder's question for this box's counts.
    pub(super) fn on_usage_requested(&self, ask: &UsageRequest, out: &mut Vec<RouteEffect>) {
        let usage = UsageReport { window: ask.window, counts: self.leader.counts.of(ask.window) };
        let note = UsageResponse { gossip_address: self.settings.gossip_address.clone(), usage };
        out.push(RouteEffect::SendUsage(ask.gossip_address.clone(), note));
    }

    /// Takes another box's counts.
    pub(super) fn on_usage_received(&mut self, note: &UsageResponse) {
        if let Some(round) = &mut self.leader.round {
            round.add_response(note);
        }
    }

    /// Takes what former holders left.
    pub(super) fn on_leader_records(&mut self, token: u64, next: u64, left: Vec<LeaderRecord>) {
        let mine = matches!(self.leader.part, LeaderPart::Acting(lease) if lease.token() == token);
        // A late answer shows what this box has gone beyond.
        if !mine || self.leader.took_over == Some(token) {
            return;
        }
        self.leader.took_over = Some(token);
        self.leader.next_number = next;
        self.leader.writing = None;
        for record in left {
            match record {
                // Whether it was sent is not known, and the same once more changes nothing.
                LeaderRecord::Usage(report) => {
                    self.leader.reported_to = Some(report.window);
                    let next_at = BoxTime::default();
                    self.leader.open = Some(PendingReport { report, kept: true, next_at });
                }
                LeaderRecord::Size(size) => {
                    self.leader.sizes.insert(size.service.clone(), KnownSize { size, kept: true });
                }
            }
        }
    }

    /// Takes that a record of this box, of this number, stands in the store.
    pub(super) fn on_record_stored(&mut self, token: u64, number: u64) {
        if self.leader.took_over != Some(token) {
            return;
        }
        let written = self.leader.writing.take_if(|writing| writing.kept.number == number);
        let Some(written) = written else { return };
        self.leader.next_number = number + 1;
        match written.kept.record {
            LeaderRecord::Usage(report) => {
                if let Some(open) = self.leader.open.as_mut().filter(|open| open.report == report) {
                    open.kept = true;
                }
            }
            LeaderRecord::Size(size) => {
                if let Some(known) = self.leader.sizes.get_mut(&size.service) {
                    known.kept |= known.size == size;
                }
            }
        }
    }

    /// Takes that the store expects another record of this token: what it has is read anew.
    pub(super) fn on_record_conflict(&mut self, token: u64) {
        self.leader.took_over.take_if(|own| *own == token);
    }

    /// Takes how a call of the holder ended.
    pub(super) fn on_leader_call(
        &mut self,
        stamp: EventStamp,
        call: &LeaderCall,
        outcome: CallOutcome,
    ) {
        match call {
            // A refused report has a lower token than another holder's: that one reports on.
            LeaderCall::Report(report) if outcome != CallOutcome::Unknown => {
                self.leader.open.take_if(|open| open.report == *report);
            }
            LeaderCall::Report(_) => {}
            LeaderCall::Scale(subject, wanted) if outcome != CallOutcome::Unknown => {
                let taken = outcome == CallOutcome::Done;
                self.leader.orders.note(subject, *wanted, taken, stamp.now);
            }
            LeaderCall::Scale(..) => {}
        }
    }

    /// Does what is due for all, if this box may.
    pub(super) fn lead(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let former = self.leader.part;
        self.leader.part.pass(stamp.now);
        self.note_part(former, out);
        let Some(bounds) = self.settings.leader else { return };
        let Some(lease) = self.leader.part.acting(stamp.now).copied() else { return };
        let (token, until) = (lease.token(), lease.acts_until());
        let mut steps = Vec::new();
        if self.leader.took_over == Some(token) {
            if let Some(usage) = bounds.usage {
                self.report_usage(stamp, usage, &mut steps, out);
            }
            if bounds.scales {
                self.order_replicas(stamp, &mut steps, out);
            }
        } else if self.leader.asked_at.is_none_or(|at| stamp.now.millis_since(at) >= SEND_AGAIN_MS)
        {
            self.leader.asked_at = Some(stamp.now);
            steps.push(LeaderStep::TakeOver);
        }
        let order = |step| RouteEffect::RunLeaderStep(LeaderOrder { token, until, step });
        out.extend(steps.into_iter().map(order));
    }

    /// Collects, keeps and sends the report that is next.
    fn report_usage(
        &mut self,
        stamp: EventStamp,
        bounds: UsageBounds,
        steps: &mut Vec<LeaderStep>,
        out: &mut Vec<RouteEffect>,
    ) {
        let current = bounds.window_at(stamp.wall);
        let oldest = current.saturating_sub(REPORT_WINDOWS);
        self.leader.open.take_if(|open| open.report.window < oldest);
        if self.leader.open.is_none() {
            self.collect_usage(stamp, bounds, oldest, out);
        }
        let Some(open) = &mut self.leader.open else { return };
        if !open.kept {
            let record = LeaderRecord::Usage(open.report.clone());
            steps.extend(self.leader.write(record, stamp.now));
        } else if stamp.now >= open.next_at {
            open.next_at = stamp.now.plus_millis(SEND_AGAIN_MS);
            steps.push(LeaderStep::Call(LeaderCall::Report(open.report.clone())));
        }
    }

    /// Collects the counts of the window that is reported next.
    fn collect_usage(
        &mut self,
        stamp: EventStamp,
        bounds: UsageBounds,
        oldest: u64,
        out: &mut Vec<RouteEffect>,
    ) {
        let next = self.leader.reported_to.map_or(oldest, |last| last + 1).max(oldest);
        if next >= bounds.window_at(stamp.wall) {
            return;
        }
        if self.leader.round.as_ref().is_none_or(|round| round.window() != next) {
            let own = self.leader.counts.of(next);
            self.leader.round = Some(UsageRound::begin(next, own));
        }
        let boxes = self.peers.addresses();
        let Some(round) = &mut self.leader.round else { return };
        match round.step(bounds, &boxes, stamp.wall) {
            RoundStep::Wait => {}
            RoundStep::Ask(boxes) => {
                let gossip_address = self.settings.gossip_address.clone();
                out.push(RouteEffect::RequestUsage(
                    boxes,
                    UsageRequest { window: next, gossip_address },
                ));
            }
            RoundStep::Report(report) => {
                self.leader.round = None;
                self.leader.reported_to = Some(next);
                let next_at = BoxTime::default();
                self.leader.open = Some(PendingReport { report, kept: false, next_at });
            }
        }
    }

    /// Orders replicas of the services whose number may change.
    fn order_replicas(
        &mut self,
        stamp: EventStamp,
        steps: &mut Vec<LeaderStep>,
        out: &mut Vec<RouteEffect>,
    ) {
        if !self.knows_replicas() {
            return;
        }
        let services = &self.table.plan().services;
        for (service, plan) in services {
            let Some(plan) = plan.scale.as_ref().filter(|plan| plan.is_sound()) else { continue };
            let running = |trial: &VersionTrial| trial.state == TrialState::Running;
            // Two versions stand side by side until it ends: an order would empty the new one's replicas.
            if self.trials.get(service).is_some_and(running) {
                continue;
            }
            let zone_counts = self.backends.zone_counts(service, stamp.now);
            let found =
                || KnownSize { size: ServiceSize::found(service, &zone_counts), kept: false };
            self.leader.sizes.entry(service.clone()).or_insert_with(found);
            let Some(known) = self.leader.sizes.get(service) else { continue };
            if !known.kept {
                let record = LeaderRecord::Size(known.size.clone());
                steps.extend(self.leader.write(record, stamp.now));
                continue;
            }
            for (zone, size) in known.size.without(&|zone| self.evacuated.contains(zone)) {
                let stock = zone_counts.get(zone).copied().unwrap_or_default();
                let wish = scale::zone_target(plan, size, stock);
                let kinds =
                    [(true, wish.spot, stock.spot), (false, wish.on_demand, stock.on_demand)];
                for (spot, wanted, standing) in kinds {
                    let (service, zone) = (service.clone(), zone.to_owned());
                    let subject = ScaleSubject { service, zone, spot };
                    if self.leader.orders.is_due(&subject, wanted, standing, stamp.now) {
                        out.push(RouteEffect::ReplicasRequested {
                            subject: subject.clone(),
                            wanted,
                        });
                        steps.push(LeaderStep::Call(LeaderCall::Scale(subject, wanted)));
                    }
                }
            }
        }
    }
}
