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
pub const RETRY_MS: u64 = 700;

/// A report is no longer sent this many windows after its own.
const REPORT_EXPIRY_WINDOWS: u64 = usage::WINDOWS_KEPT as u64;

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
    stored: bool,
    /// Not sent again before this.
    next_at: BoxTime,
}

/// Sizes of a service's zones, as this box knows them.
#[derive(Clone, Debug)]
struct KnownSize {
    size: ServiceSize,
    /// Whether they stand in the store.
    stored: bool,
}

/// A record that is being written.
#[derive(Clone, Debug)]
struct PendingWrite {
    numbered: NumberedRecord,
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
    takeover_token: Option<u64>,
    /// When they were last asked for.
    takeover_sent_at: Option<BoxTime>,
    /// The last window that was reported.
    last_reported: Option<u64>,
    round: Option<UsageRound>,
    pending: Option<PendingReport>,
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
    fn reset_for(&mut self, token: u64) {
        if self.takeover_token.is_some_and(|former| former != token) {
            let (part, counts) = (self.part, std::mem::take(&mut self.counts));
            *self = Self { part, counts, ..Self::default() };
        }
    }

    /// The step that writes a record, if it is its turn: one that may be on its way is written again until the store
    /// has it, so that it can't come behind a later one.
    fn write_step(&mut self, record: LeaderRecord, now: BoxTime) -> Option<LeaderStep> {
        let number = self.next_number;
        let writing = self.writing.get_or_insert_with(|| PendingWrite {
            numbered: NumberedRecord { number, record: record.clone() },
            next_at: now,
        });
        if writing.numbered.record != record || now < writing.next_at {
            return None;
        }
        writing.next_at = now.plus_millis(RETRY_MS);
        Some(LeaderStep::WriteRecord(writing.numbered.clone()))
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
        answer: LeaseAnswer,
        out: &mut Vec<RouteEffect>,
    ) {
        let length_ms = self.lease_ms();
        let former = self.leader.part;
        self.leader.part.apply_answer(answer, asked_at, stamp.now, length_ms);
        self.report_part_change(former, out);
    }

    /// Tells when the box's part has changed. Under the token that it had before it goes on where it was: no other box
    /// had the lease since.
    fn report_part_change(&mut self, former: LeaderPart, out: &mut Vec<RouteEffect>) {
        let part = self.leader.part;
        if let LeaderPart::Settling(lease) = part {
            self.leader.reset_for(lease.token());
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
            self.leader.counts.add(bounds.window_at(wall), account);
        }
    }

    /// Answers the holder's question for this box's counts.
    pub(super) fn on_usage_requested(&self, request: &UsageRequest, out: &mut Vec<RouteEffect>) {
        let usage =
            UsageReport { window: request.window, counts: self.leader.counts.of(request.window) };
        let response =
            UsageResponse { gossip_address: self.settings.gossip_address.clone(), usage };
        out.push(RouteEffect::SendUsage(request.gossip_address.clone(), response));
    }

    /// Takes another box's counts.
    pub(super) fn on_usage_received(&mut self, response: &UsageResponse) {
        if let Some(round) = &mut self.leader.round {
            round.add_response(response);
        }
    }

    /// Takes what former holders left.
    pub(super) fn on_leader_records(
        &mut self,
        token: u64,
        next_number: u64,
        records: Vec<LeaderRecord>,
    ) {
        let is_own =
            matches!(self.leader.part, LeaderPart::Acting(lease) if lease.token() == token);
        // A late answer shows what this box has gone beyond.
        if !is_own || self.leader.takeover_token == Some(token) {
            return;
        }
        self.leader.takeover_token = Some(token);
        self.leader.next_number = next_number;
        self.leader.writing = None;
        for record in records {
            match record {
                // Whether it was sent is not known, and the same once more changes nothing.
                LeaderRecord::Usage(report) => {
                    self.leader.last_reported = Some(report.window);
                    let next_at = BoxTime::default();
                    self.leader.pending = Some(PendingReport { report, stored: true, next_at });
                }
                LeaderRecord::Size(size) => {
                    self.leader
                        .sizes
                        .insert(size.service.clone(), KnownSize { size, stored: true });
                }
            }
        }
    }

    /// Takes that a record of this box, of this number, stands in the store.
    pub(super) fn on_record_stored(&mut self, token: u64, number: u64) {
        if self.leader.takeover_token != Some(token) {
            return;
        }
        let written = self.leader.writing.take_if(|writing| writing.numbered.number == number);
        let Some(written) = written else { return };
        self.leader.next_number = number + 1;
        match written.numbered.record {
            LeaderRecord::Usage(report) => {
                if let Some(pending) =
                    self.leader.pending.as_mut().filter(|pending| pending.report == report)
                {
                    pending.stored = true;
                }
            }
            LeaderRecord::Size(size) => {
                if let Some(known) = self.leader.sizes.get_mut(&size.service) {
                    known.stored |= known.size == size;
                }
            }
        }
    }

    /// Takes that the store expects another record of this token: what it has is read anew.
    pub(super) fn on_record_conflict(&mut self, token: u64) {
        self.leader.takeover_token.take_if(|own| *own == token);
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
                self.leader.pending.take_if(|pending| pending.report == *report);
            }
            LeaderCall::Report(_) => {}
            LeaderCall::Scale(subject, wanted) if outcome != CallOutcome::Unknown => {
                let accepted = outcome == CallOutcome::Done;
                self.leader.orders.record_outcome(subject, *wanted, accepted, stamp.now);
            }
            LeaderCall::Scale(..) => {}
        }
    }

    /// Does what is due for all, if this box may.
    pub(super) fn run_leader(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let former = self.leader.part;
        self.leader.part.advance(stamp.now);
        self.report_part_change(former, out);
        let Some(bounds) = self.settings.leader else { return };
        let Some(lease) = self.leader.part.acting(stamp.now).copied() else { return };
        let (token, until) = (lease.token(), lease.acts_until());
        let mut steps = Vec::new();
        if self.leader.takeover_token == Some(token) {
            if let Some(usage) = bounds.usage {
                self.report_usage(stamp, usage, &mut steps, out);
            }
            if bounds.scales {
                self.order_replicas(stamp, &mut steps, out);
            }
        } else if self
            .leader
            .takeover_sent_at
            .is_none_or(|at| stamp.now.millis_since(at) >= RETRY_MS)
        {
            self.leader.takeover_sent_at = Some(stamp.now);
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
        let oldest = current.saturating_sub(REPORT_EXPIRY_WINDOWS);
        self.leader.pending.take_if(|pending| pending.report.window < oldest);
        if self.leader.pending.is_none() {
            self.collect_usage(stamp, bounds, oldest, out);
        }
        let Some(pending) = &mut self.leader.pending else { return };
        if !pending.stored {
            let record = LeaderRecord::Usage(pending.report.clone());
            steps.extend(self.leader.write_step(record, stamp.now));
        } else if stamp.now >= pending.next_at {
            pending.next_at = stamp.now.plus_millis(RETRY_MS);
            steps.push(LeaderStep::Call(LeaderCall::Report(pending.report.clone())));
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
        let next = self.leader.last_reported.map_or(oldest, |last| last + 1).max(oldest);
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
            RoundStep::Request(boxes) => {
                let gossip_address = self.settings.gossip_address.clone();
                out.push(RouteEffect::RequestUsage(
                    boxes,
                    UsageRequest { window: next, gossip_address },
                ));
            }
            RoundStep::Report(report) => {
                self.leader.round = None;
                self.leader.last_reported = Some(next);
                let next_at = BoxTime::default();
                self.leader.pending = Some(PendingReport { report, stored: false, next_at });
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
            let Some(plan) = plan.scale.as_ref().filter(|plan| plan.is_valid()) else { continue };
            let running = |trial: &VersionTrial| trial.state == TrialState::Running;
            // Two versions stand side by side until it ends: an order would empty the new one's replicas.
            if self.trials.get(service).is_some_and(running) {
                continue;
            }
            let zone_counts = self.backends.zone_counts(service, stamp.now);
            let initial = || KnownSize {
                size: ServiceSize::from_counts(service, &zone_counts),
                stored: false,
            };
            self.leader.sizes.entry(service.clone()).or_insert_with(initial);
            let Some(known) = self.leader.sizes.get(service) else { continue };
            if !known.stored {
                let record = LeaderRecord::Size(known.size.clone());
                steps.extend(self.leader.write_step(record, stamp.now));
                continue;
            }
            for (zone, size) in known.size.spread_evacuated(&|zone| self.evacuated.contains(zone)) {
                let count = zone_counts.get(zone).copied().unwrap_or_default();
                let target = scale::zone_target(plan, size, count);
                let kinds =
                    [(true, target.spot, count.spot), (false, target.on_demand, count.on_demand)];
                for (spot, wanted, current) in kinds {
                    let (service, zone) = (service.clone(), zone.to_owned());
                    let subject = ScaleSubject { service, zone, spot };
                    if self.leader.orders.is_due(&subject, wanted, current, stamp.now) {
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
