//! Work of the leader, the one box that reports usage and orders replicas for the whole fleet,
//! under a lease with a fencing token.
//!
//! [`lease`]: which box is the leader. [`usage`]: how many requests of each client account ran.
//! [`scale`]: how many replicas each service has.
//!
//! The platform refuses a call whose token is lower than one that it has seen, but a call without
//! an answer may still be carried out seconds later. So each decision is written to the store under
//! the same token before it is first sent, and the next leader starts from the stored records.

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

/// Delay before an unanswered step is sent again, in milliseconds.
pub const RETRY_MS: u64 = 700;

/// Number of windows after which a report is no longer sent.
const REPORT_EXPIRY_WINDOWS: u64 = usage::WINDOWS_KEPT as u64;

/// Settings of the leader's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LeaderBounds {
    /// Length of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Settings of the usage reports; `None` if usage is not reported.
    pub usage: Option<UsageBounds>,
    /// Whether the leader orders replicas.
    pub scales: bool,
}

/// A decision that a leader writes to the store, for itself and for the next leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderRecord {
    /// The latest usage report.
    Usage(UsageReport),
    /// Sizes of a service's zones.
    Size(ServiceSize),
}

/// A call to the platform that only the leader may make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderCall {
    /// Sends a usage report.
    Report(UsageReport),
    /// Sets the number of replicas of a subject.
    Scale(ScaleSubject, u32),
}

/// How a call of the leader ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform carried it out.
    Done,
    /// The platform refused it: it has seen a higher token, or has no such replicas.
    Refused,
    /// There was no answer, or one that does not tell whether the call was carried out.
    Unknown,
}

/// A step that the leader's task is to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderOrder {
    /// The fencing token under which the step is carried out.
    pub token: u64,
    /// The step must not start at this time or later.
    pub until: BoxTime,
    /// The step.
    pub step: LeaderStep,
}

/// A leader record with its number, as it is written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedRecord {
    /// Number among the records of this token. The store accepts each number once, in order.
    pub number: u64,
    /// The record.
    pub record: LeaderRecord,
}

/// A step of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderStep {
    /// Fence off former leaders' writes, and read the records that they left.
    TakeOver,
    /// Write a record to the store.
    WriteRecord(NumberedRecord),
    /// Make a call to the platform.
    Call(LeaderCall),
}

/// The report that is being written and sent.
#[derive(Clone, Debug)]
struct PendingReport {
    report: UsageReport,
    /// Whether the store has it.
    stored: bool,
    /// It is not sent again before this time.
    next_at: BoxTime,
}

/// Sizes of a service's zones, as this box knows them.
#[derive(Clone, Debug)]
struct KnownSize {
    size: ServiceSize,
    /// Whether the store has them.
    stored: bool,
}

/// A record that is being written.
#[derive(Clone, Debug)]
struct PendingWrite {
    numbered: NumberedRecord,
    /// It is not sent again before this time.
    next_at: BoxTime,
}

/// This box's part in the leadership, and its work while it is the leader.
#[derive(Debug, Default)]
pub(super) struct LeaderState {
    pub(super) part: LeaderPart,
    /// This box's own usage counts.
    counts: UsageCounts,
    /// The token under which the former leaders' records were read.
    takeover_token: Option<u64>,
    /// When the takeover step was last sent.
    takeover_sent_at: Option<BoxTime>,
    /// The last window that was reported.
    last_reported: Option<u64>,
    round: Option<UsageRound>,
    pending: Option<PendingReport>,
    /// The record that is being written.
    writing: Option<PendingWrite>,
    /// Number of the next record.
    next_number: u64,
    /// Zone sizes by service.
    sizes: BTreeMap<String, KnownSize>,
    orders: ScaleOrders,
}

impl LeaderState {
    /// Drops all decisions made under a token other than this one.
    fn reset_for(&mut self, token: u64) {
        if self.takeover_token.is_some_and(|former| former != token) {
            let (part, counts) = (self.part, std::mem::take(&mut self.counts));
            *self = Self { part, counts, ..Self::default() };
        }
    }

    /// The step that writes a record, if no other record is being written. A record that may still
    /// be on its way is written again until the store confirms it, so that it cannot arrive after a
    /// later one.
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
    /// Whether this box asks the store for the lease: it is a store reader or has the lease
    /// already.
    pub fn wants_lease(&self, now: BoxTime) -> bool {
        let bounds = self.settings.leader;
        let has_work = bounds.is_some_and(|bounds| bounds.usage.is_some() || bounds.scales);
        has_work && !self.stopping() && (self.is_reader(now) || self.leader.part.has_lease())
    }

    /// Whether this box has the lease, which it gives back when it stops.
    pub fn has_lease(&self) -> bool {
        self.leader.part.has_lease()
    }

    /// Length of the lease, in milliseconds.
    pub fn lease_ms(&self) -> u64 {
        self.settings.leader.unwrap_or_default().lease_ms
    }

    /// Applies the store's answer to a lease request sent at `asked_at`.
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

    /// Reports a change of the box's part. If it settles under the token that it had before, no
    /// other box has had the lease since, and its state stays valid.
    fn report_part_change(&mut self, former: LeaderPart, out: &mut Vec<RouteEffect>) {
        let part = self.leader.part;
        if let LeaderPart::Settling(lease) = part {
            self.leader.reset_for(lease.token());
        }
        if std::mem::discriminant(&former) != std::mem::discriminant(&part) {
            out.push(RouteEffect::LeaderPartChanged(part));
        }
    }

    /// Counts a request that starts to run, for the report of its window.
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

    /// Answers the leader's request for this box's counts.
    pub(super) fn on_usage_requested(&self, request: &UsageRequest, out: &mut Vec<RouteEffect>) {
        let usage =
            UsageReport { window: request.window, counts: self.leader.counts.of(request.window) };
        let response =
            UsageResponse { gossip_address: self.settings.gossip_address.clone(), usage };
        out.push(RouteEffect::SendUsage(request.gossip_address.clone(), response));
    }

    /// Adds another box's counts to the collection under way.
    pub(super) fn on_usage_received(&mut self, response: &UsageResponse) {
        if let Some(round) = &mut self.leader.round {
            round.add_response(response);
        }
    }

    /// Applies the records that former leaders left.
    pub(super) fn on_leader_records(
        &mut self,
        token: u64,
        next_number: u64,
        records: Vec<LeaderRecord>,
    ) {
        let is_own =
            matches!(self.leader.part, LeaderPart::Acting(lease) if lease.token() == token);
        // A late answer lacks what this box has decided since.
        if !is_own || self.leader.takeover_token == Some(token) {
            return;
        }
        self.leader.takeover_token = Some(token);
        self.leader.next_number = next_number;
        self.leader.writing = None;
        for record in records {
            match record {
                // It is not known whether it was sent. Sending the same report again changes
                // nothing.
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

    /// Marks this box's record of this number as stored.
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

    /// Makes the box read the records again: the store expected another record number under this
    /// token.
    pub(super) fn on_record_conflict(&mut self, token: u64) {
        self.leader.takeover_token.take_if(|own| *own == token);
    }

    /// Applies the outcome of a leader's call.
    pub(super) fn on_leader_call(
        &mut self,
        stamp: EventStamp,
        call: &LeaderCall,
        outcome: CallOutcome,
    ) {
        match call {
            // A refused report has a lower token than that of another leader, which reports from
            // now on.
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

    /// Carries out the leader's work that is due, if this box has the lease.
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

    /// Collects, stores and sends the next report.
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

    /// Collects the counts of the next window to report.
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
        let addresses = self.peers.addresses();
        let Some(round) = &mut self.leader.round else { return };
        match round.step(bounds, &addresses, stamp.wall) {
            RoundStep::Wait => {}
            RoundStep::Request(addresses) => {
                let gossip_address = self.settings.gossip_address.clone();
                out.push(RouteEffect::RequestUsage(
                    addresses,
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

    /// Orders replicas of the services whose plan lets their number change.
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
            // Both versions run until the trial ends. An order now would leave the new version
            // without replicas.
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
