//! Gossip and sync responses: what this box sends to others, and what it applies from them, namely
//! changes of replicas, trials, and the freshness of its knowledge.

use std::collections::VecDeque;

use super::backend::{BackendChange, ChangeKind};
use super::entry_sync::EntryAnswer;
use super::event::RouteEffect;
use super::model_latency::{LatencyUpdate, ServiceLatency};
use super::peers::{
    self, BudgetUpdate, EntryCoverage, GossipMessage, PeerInfo, SyncRequest, TrialUpdate,
};
use super::poison::{POISON_PER_MESSAGE, POISON_PER_RESPONSE};
use super::retry_budget::SendCount;
use super::startup::StartupState;
use super::{BackendSource, RouteState};
use crate::event::EventStamp;
use crate::time::BoxTime;

/// A change of a replica is announced for this long, in milliseconds, which is three messages.
/// Boxes that receive it announce it in turn.
pub const CHANGE_GOSSIP_MS: u64 = 1_500;

/// Upper bound of the changes in one message, the newest first. A box later reads from the store
/// the changes that it missed.
pub const CHANGES_PER_ROUND: usize = 40;

/// Rounds of gossip, and the changes that they announce.
#[derive(Debug, Default)]
pub(super) struct GossipRounds {
    /// Number of the last message.
    pub(super) last_number: u64,
    /// When the next round is due.
    pub(super) next_round: BoxTime,
    /// Changes of replicas, with the time at which this box learned of them.
    pub(super) changes: VecDeque<(BoxTime, BackendChange)>,
}

/// Purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessageKind {
    /// Sent to some boxes in each round.
    Round,
    /// Responds to a sync request.
    Response,
}

impl RouteState {
    /// Announces a change of a replica at once, and again for a while.
    pub(super) fn announce_change(
        &mut self,
        stamp: EventStamp,
        change: BackendChange,
        kind: ChangeKind,
        out: &mut Vec<RouteEffect>,
    ) {
        if kind == ChangeKind::None {
            return;
        }
        if kind == ChangeKind::Leaving {
            out.push(RouteEffect::BackendLeaving(change.id.clone()));
        }
        self.rounds.changes.retain(|(_, other)| other.id != change.id);
        self.rounds.changes.push_back((stamp.now, change));
        self.rounds.next_round = BoxTime::default();
    }

    /// Sends a round of gossip, if one is due.
    pub(super) fn send_gossip(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        if stamp.now < self.rounds.next_round {
            return;
        }
        self.rounds.next_round = stamp.now.plus_millis(peers::GOSSIP_INTERVAL_MS);
        self.peers.forget(stamp.now);
        let recent = |at: BoxTime| stamp.now.millis_since(at) < CHANGE_GOSSIP_MS;
        self.rounds.changes.retain(|(at, _)| recent(*at));
        let targets = self.peers.gossip_targets(&self.settings.zone, stamp.random);
        if !targets.is_empty() {
            let message = self.message(stamp, MessageKind::Round);
            out.push(RouteEffect::SendGossip(targets, Box::new(message)));
        }
    }

    /// Builds a message. [`Self::on_sync_request`] fills in the changes of a response.
    fn message(&mut self, stamp: EventStamp, kind: MessageKind) -> GossipMessage {
        self.rounds.last_number += 1;
        let number = self.rounds.last_number;
        let (others, duty_holders, latencies) = if self.includes_peers(number, stamp.now) {
            let duty_holders = self.peers.duty_holders(&self.local_peer(stamp.now), stamp.now);
            (self.peers.some_addresses(stamp.random), duty_holders, self.latency_updates())
        } else {
            Default::default()
        };
        let budgets = self.budget_updates(stamp.now);
        let shares = match kind {
            MessageKind::Round => self.share_updates(stamp.now),
            MessageKind::Response => Vec::new(),
        };
        // Each of these scans all replicas, and rounds of gossip carry them to all boxes anyway:
        // responses are too frequent for such scans.
        let (loads, unreachable, limits) = if kind == MessageKind::Round
            || self.peers.gossip_reaches_all()
        {
            let backends = &self.backends;
            let now = stamp.now;
            (backends.load_updates(now), self.unreachable_updates(now), backends.limit_updates(now))
        } else {
            Default::default()
        };
        let trials = self.trials.values().map(|trial| TrialUpdate {
            service: trial.order.service.clone(),
            version: trial.order.version.clone(),
            progress: trial.progress(stamp.now),
            checkpoint: trial.checkpoint,
            stats: trial.own.clone(),
            exposure: trial.exposure.own(),
            history: trial.history.clone(),
        });
        GossipMessage {
            name: self.settings.name.clone(),
            number,
            info: self.own_info(stamp.now),
            era: self.era,
            plan_position: self.plan_position(),
            read_age_ms: self.fresh.age_ms(stamp.now),
            evacuation: self.evacuated.digest(),
            in_reply_to: None,
            entries: EntryCoverage::default(),
            changes: self
                .rounds
                .changes
                .iter()
                .rev()
                .take(CHANGES_PER_ROUND)
                .map(|row| row.1.clone())
                .collect(),
            loads,
            unreachable,
            limits,
            brittle: self.brittle_updates(stamp.now),
            crashes: self.crash_updates(stamp.now),
            lives: self.life_updates(stamp.now),
            poison: self.poison_updates(number, POISON_PER_MESSAGE, stamp.now),
            budgets,
            shares,
            latencies,
            speeds: self.speeds.updates(number, stamp.now),
            trials: trials.collect(),
            verdicts: self.verdicts(),
            others,
            duty_holders,
        }
    }

    /// Extra attempts of this box, for services with recent requests.
    fn budget_updates(&mut self, now: BoxTime) -> Vec<BudgetUpdate> {
        let bounds = self.settings.budget;
        let counts = self.budgets.iter_mut().map(|(service, budget)| BudgetUpdate {
            service: service.clone(),
            count: budget.count(bounds, now),
        });
        counts.filter(|update| update.count != SendCount::default()).collect()
    }

    /// Latency estimates of models, for services that have any.
    fn latency_updates(&self) -> Vec<LatencyUpdate> {
        let updates = self.latencies.iter().map(|(service, latency)| LatencyUpdate {
            service: service.clone(),
            models: latency.estimates(),
        });
        updates.filter(|message| !message.models.is_empty()).collect()
    }

    /// Whether the message of this number lists other boxes. Boxes that started recently always do,
    /// because boxes that start together have to find each other.
    fn includes_peers(&self, number: u64, now: BoxTime) -> bool {
        self.started_lately(now) || number % peers::PEERS_EVERY_MESSAGES == 0
    }

    /// State of this box for other boxes.
    fn own_info(&self, now: BoxTime) -> PeerInfo {
        PeerInfo {
            incarnation: self.settings.incarnation,
            gossip_address: self.settings.gossip_address.clone(),
            entry_address: self.settings.entry_address.clone(),
            zone: self.settings.zone.clone(),
            open: self.open(now),
            store_access: self.store_access(now),
            reads_store: self.announces_reads(now),
            strong: self.settings.capacity.is_strong(),
            forward_key: self.settings.forward_key,
            paths_lost: self.paths.is_lost() || !self.paths.is_listed(),
            unreached: self.unreached_services(now),
        }
    }

    /// Sends a sync request to a store reader, unless this box is one. A box that knows nothing yet
    /// sends requests to any box, repeatedly.
    pub(super) fn request_sync(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let unanswered = |at: BoxTime| stamp.now.millis_since(at) >= peers::SYNC_RETRY_MS;
        let again = !self.is_starting() && self.sync.unanswered_at.is_some_and(unanswered);
        if stamp.now < self.sync.next_request && !again {
            return;
        }
        let (own, readers) = self.peers.readers(&self.local_peer(stamp.now), stamp.now);
        // A box that started during a store outage knows no replica, even if it is a reader.
        if own && self.knows_replicas() {
            self.sync.unanswered_at = None;
            return;
        }
        let first = stamp.random.checked_rem(readers.len() as u64).unwrap_or(0) as usize;
        let reader = readers.get(first).filter(|_| !self.is_starting()).cloned();
        let any_open = || self.peers.any_open(&self.settings.zone, stamp.now, stamp.random);
        let reader = reader.or_else(any_open).or_else(|| self.peers.any_address(stamp.random));
        let Some(reader) = reader else { return };
        let pause_ms = self.sync_pause_ms(stamp.now);
        self.sync.next_request = stamp.now.plus_millis(pause_ms);
        self.sync.unanswered_at = Some(stamp.now);
        out.push(RouteEffect::SendSyncRequest(reader, self.sync_request(stamp)));
    }

    /// Pause before the next sync request, in milliseconds.
    fn sync_pause_ms(&mut self, now: BoxTime) -> u64 {
        let starting = self.is_starting();
        let mostly_open = 4 * self.peers.open_rows(now).count() >= self.peers.live_count(now);
        let start = self.start.as_mut().filter(|_| starting);
        let pause_ms = start.map_or(peers::SYNC_INTERVAL_MS, StartupState::count_request);
        if starting && mostly_open {
            pause_ms.min(peers::SYNC_RETRY_MS)
        } else {
            pause_ms
        }
    }

    /// A request for what this box lacks as of now.
    fn sync_request(&self, stamp: EventStamp) -> SyncRequest {
        SyncRequest {
            gossip_address: self.settings.gossip_address.clone(),
            incarnation: self.settings.incarnation,
            asked_at: stamp.now,
            plan_position: self.plan_position(),
            entries: self.entries.query(self.has_backends()),
        }
    }

    /// Responds to the sync request of another box.
    pub(super) fn on_sync_request(
        &mut self,
        stamp: EventStamp,
        request: SyncRequest,
        out: &mut Vec<RouteEffect>,
    ) {
        let to = vec![request.gossip_address.clone()];
        self.peers.add_addresses(&to, &self.settings.gossip_address, stamp.now);
        let mut message = self.message(stamp, MessageKind::Response);
        let EntryAnswer { changes, known_to, age_ms, page } =
            self.entries.answer(request.entries, &self.backends, stamp.now);
        message.changes = changes;
        message.poison = self.poison_updates(message.number, POISON_PER_RESPONSE, stamp.now);
        message.entries = EntryCoverage { known_to, age_ms, page };
        message.in_reply_to = Some(request);
        out.push(RouteEffect::SendGossip(to, Box::new(message)));
    }

    /// Applies a gossip message or a sync response, unless it is outdated or this box sent it.
    pub(super) fn on_gossip(
        &mut self,
        stamp: EventStamp,
        message: &GossipMessage,
        out: &mut Vec<RouteEffect>,
    ) {
        let received = self.peers.received_number(message);
        if message.name == self.settings.name || !self.peers.merge(message, stamp.now) {
            return;
        }
        if self.is_starting() && message.info.open && message.in_reply_to.is_none() {
            // That box has just become able to respond and has announced it to few others so far.
            self.sync.next_request = stamp.now;
        }
        self.peers.add_addresses(&message.others, &self.settings.gossip_address, stamp.now);
        self.peers.apply_duty_holders(&message.duty_holders, &self.settings.name, stamp.now);
        self.observe_era(message.era, stamp.now, out);
        let evacuations = self.evacuated.merge(&message.evacuation, stamp.now);
        self.apply_evacuations(stamp, evacuations, out);
        self.apply_entries(stamp, message, out);
        let latencies = &self.latencies;
        let mean_ms = |service: &str| latencies.get(service).map_or(0.0, ServiceLatency::mean_ms);
        for update in &message.loads {
            self.backends.apply_load(update, &mean_ms, stamp.now);
        }
        for update in &message.unreachable {
            let was_ejected = self.backends.is_passed_over(update.replica, stamp.now);
            if let Some(key) = self.backends.apply_unreachable(update, stamp.now) {
                self.mark_unreachable_cold(key, stamp.now);
                if !was_ejected {
                    self.report_unreachable(key, Some(&message.name), out);
                }
            }
        }
        self.apply_limits(stamp, &message.limits, out);
        self.apply_brittle_updates(stamp, &message.brittle, out);
        self.apply_lives(&message.lives, stamp.now);
        self.apply_crashes(stamp, &message.crashes, &message.poison, out);
        for update in &message.latencies {
            if self.backends.serves(&update.service) {
                self.latencies.entry(update.service.clone()).or_default().merge(&update.models);
            }
        }
        self.apply_speeds(stamp.now, &message.speeds, (message.number, received), out);
        for update in &message.budgets {
            if let Some(budget) = self.budgets.get_mut(&update.service) {
                budget.merge(&message.name, update.count, stamp.now);
            }
        }
        self.apply_shares(message, stamp.now);
        self.apply_trials(stamp, message, out);
        self.apply_freshness(stamp, message, out);
    }

    /// Applies what another box sent about replicas: recent changes, or the response to a sync
    /// request.
    fn apply_entries(
        &mut self,
        stamp: EventStamp,
        message: &GossipMessage,
        out: &mut Vec<RouteEffect>,
    ) {
        let changes = message.changes.clone();
        let Some(request) = own_request(message, self.settings.incarnation, stamp.now) else {
            // Gossip carries final removals only. They apply even if this box has lost the store,
            // because a replica must receive nothing two seconds after the store shows its removal.
            return self.apply_backends(stamp, changes, BackendSource::Gossip, None, out);
        };
        self.sync.unanswered_at = None;
        self.sync.answered_at = Some(stamp.now);
        self.sync.answered_by.clone_from(&message.name);
        if message.info.open {
            self.note_poison_known();
        }
        if message.info.reads_store {
            self.sync.reader_answered_at = Some(stamp.now);
        }
        let EntryCoverage { known_to, age_ms, page } = message.entries;
        let as_of = age_ms.map(|age| request.asked_at.minus_millis(age));
        let Some(page) = page else {
            // A response that does not cover all changes leaves more to request.
            let more = age_ms.is_none() && known_to > request.entries.known_to;
            self.apply_backends(stamp, changes, BackendSource::Gossip, None, out);
            self.entries.apply_changes(request.entries, known_to, as_of);
            if more {
                // Periodic requests do not keep up with thousands of replicas.
                out.push(RouteEffect::SendSyncRequest(
                    message.info.gossip_address.clone(),
                    self.sync_request(stamp),
                ));
            }
            return;
        };
        match self.entries.apply_page(request.entries, page, &changes, as_of, stamp.now) {
            Some((end, listed)) => self.on_listed(stamp, end, listed, None, out),
            None if page.next.is_some() => {
                out.push(RouteEffect::SendSyncRequest(
                    message.info.gossip_address.clone(),
                    self.sync_request(stamp),
                ));
            }
            None => {}
        }
    }

    /// Renews the freshness of the plan by what another box has read, if this box has read as far.
    fn apply_freshness(
        &mut self,
        stamp: EventStamp,
        message: &GossipMessage,
        out: &mut Vec<RouteEffect>,
    ) {
        if message.plan_position > self.plan_position() {
            self.sync.behind_since.get_or_insert(stamp.now);
            // A response contains the requested records unless they are too large, alone or beside
            // a page of replicas. If they are missing without a page, the same request would be
            // answered in the same way.
            let answers = own_request(message, self.settings.incarnation, stamp.now)
                .is_some_and(|request| request.plan_position == self.plan_position());
            self.sync.lagging |= answers && message.entries.page.is_none();
            if stamp.now >= self.sync.next_catch_up && !self.sync.lagging {
                self.sync.next_catch_up = stamp.now.plus_millis(peers::SYNC_RETRY_MS);
                out.push(RouteEffect::SendSyncRequest(
                    message.info.gossip_address.clone(),
                    self.sync_request(stamp),
                ));
            }
            return;
        }
        let as_of = self.message_as_of(message, stamp.now);
        if let Some(as_of) = as_of.filter(|_| message.plan_position == self.plan_position()) {
            self.fresh.renew(as_of);
        }
    }

    /// Time on this box's clock as of which another box knew the content of its message. `None`
    /// unless the message answers a recent sync request of this process.
    pub fn message_as_of(&self, message: &GossipMessage, now: BoxTime) -> Option<BoxTime> {
        let request = own_request(message, self.settings.incarnation, now)?;
        Some(request.asked_at.minus_millis(message.read_age_ms?))
    }
}

/// The sync request that a message answers, if this process sent it recently.
fn own_request(message: &GossipMessage, incarnation: u64, now: BoxTime) -> Option<&SyncRequest> {
    let request =
        message.in_reply_to.as_ref().filter(|request| request.incarnation == incarnation)?;
    let recent = now.millis_since(request.asked_at) < peers::SYNC_RESPONSE_LIMIT_MS;
    (request.asked_at <= now && recent).then_some(request)
}
