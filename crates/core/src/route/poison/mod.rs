//! Poison requests (queries of death): requests that crash the replicas that run them are not sent
//! any more.
//!
//! Load pattern: many callers send such requests, and each replica that starts one crashes with all
//! other requests that it runs. What they share is a [`RequestFeature`]: the same content, if callers
//! repeat a request under other ids, or a prompt part, while no two of the requests are alike. Blame
//! belongs to features. Other requests on a crashed replica fail as well and are sent again, often to
//! the replica that crashes next, so that their features stand at crashes too. Poison differs from
//! them in that it is present at each crash, under several requests, and never answered in full.
//!
//! A broken attempt counts as a crash once its replica is unreachable or silent for a while.
//! Crashes under different requests at about the same time count once, since a power failure takes
//! down many replicas. A complete answer clears its features on all boxes, and [`answered`] remembers
//! which parts were answered lately. Parts that were answered before need more evidence, and crashes
//! that a poison part explains do not count against them. Boxes gossip crashes while they are new. Known poison is gossiped for as long as
//! it is kept, sent in full to a box that syncs, and written to the store, since boxes restart, stall
//! and lose their connections while callers continue. [`record`] keeps the state of one feature,
//! [`table`] judges all of them, [`stored`] keeps the records in the store.

mod answered;
mod evidence;
mod feature;
mod life;
mod record;
mod stored;
mod table;

pub use feature::{InvalidFeature, RequestFeature};
pub use life::{LifeSigns, LifeUpdate, OBJECTION_MS, RESTART_LEAST_MS};
pub use record::ReplicaFate;
pub(super) use stored::StoredPoison;
pub use stored::{PoisonRecord, PoisonState, POISON_READ_MS, STORED_LIMIT};
pub(super) use table::PoisonFeatures;

use evidence::CrashEvidence;
use life::CrashProof;
use record::{ReplicaCrash, UnconfirmedCrash};
use serde::Serialize;

use super::backend::{service_hash, BackendState};
use super::backend_health::{BackendOutcome, EJECTION_FIRST_MS};
use super::event::{PromptPart, RefusalReason, RouteEffect};
use super::request::RunningAttempt;
use super::RouteState;
use crate::event::{EventStamp, RequestTicket};
use crate::time::BoxTime;

/// Crashes after which a content is refused, whatever the requests.
pub const POISON_CRASHES: usize = 3;

/// The same where the crashes were under different requests. A request that merely ran on a crashed
/// replica is mostly a single one that is sent again.
pub const POISON_CRASHES_DISTINCT: usize = 2;

/// Crashes after which a prompt part is refused that was never answered.
pub const PART_CRASHES: usize = 4;

/// Different contents that these crashes must be under. Under a single one, the content is to blame.
pub const PART_CRASHES_DISTINCT: usize = 2;

/// Moments at which these crashes must be. A power failure takes down many replicas at once.
pub const PART_MOMENTS: usize = 3;

/// Time since the first of these crashes, in milliseconds: boxes on which the part was answered before
/// say so within a round of gossip.
pub const PART_CRASHES_MS: u64 = 1_000;

/// Crashes after which a part that was never answered is suspected, whatever the contents.
pub const SUSPECT_CRASHES: usize = 2;

/// Time after the last crash for which requests with a suspected part are not sent, in milliseconds:
/// all boxes hear of the crashes meanwhile, and attempts in flight are answered or crash.
pub const SUSPECT_MS: u64 = 1_500;

/// Spread of the time at which callers with a suspected part may retry, in milliseconds.
const SUSPECT_SPREAD_MS: u64 = 500;

/// Crashes after which a part is refused that was answered before them. A harmless part that many
/// requests share stands at most crashes of another one, until that one is found.
pub const ANSWERED_PART_CRASHES: usize = 6;

/// Moments at which these crashes must be.
pub const ANSWERED_PART_MOMENTS: usize = 4;

/// Time for which an answer to a part must last, in milliseconds, for the part to count as one that was
/// answered before its crashes. It refutes none of them before it is complete.
pub const ANSWERING_MS: u64 = 1_000;

/// Time that these crashes must last, in milliseconds: some other request with the part is answered
/// in it, if the part is harmless.
pub const ANSWERED_PART_CRASHES_MS: u64 = 2_500;

/// Crashes under different requests within this time count once, in milliseconds: an event that
/// takes down many replicas at once is not due to a request.
pub const SIMULTANEOUS_MS: u64 = 100;

/// Silence of a replica after a broken attempt that counts as a crash, in milliseconds. A replica
/// that only broke a connection answers some other request in this time.
pub const CRASH_SILENCE_MS: u64 = 300;

/// A replica that reports its load this long after a broken attempt has not crashed, in
/// milliseconds. Earlier reports may have been under way.
pub const SURVIVED_MS: u64 = 100;

/// Observations of a replica's crash within this time are of the same one, in milliseconds: a
/// restart takes seconds.
pub const SAME_CRASH_MS: u64 = 1_000;

/// Requests kept for each crash, at most: enough to show that they differ.
const CRASH_REQUEST_LIMIT: usize = 2;

/// How long a crash is kept, in milliseconds: callers retry for about as long.
pub const CRASH_KEPT_MS: u64 = 60_000;

/// How long a crash is gossiped, in milliseconds: several gossip messages reach all of hundreds of
/// boxes.
pub const CRASH_GOSSIP_MS: u64 = 3_000;

/// How long poison is refused after the last crash, in milliseconds. Callers continue for minutes,
/// and each attempt crashes a replica with all its requests.
pub const POISON_REFUSED_MS: u64 = 300_000;

/// How long poison is kept, in milliseconds. After [`POISON_REFUSED_MS`] a single crash makes it
/// refused again.
pub const POISON_KEPT_MS: u64 = 600_000;

/// Poison features in one gossip message, at most, in turns.
pub const POISON_PER_MESSAGE: usize = 8;

/// Poison features in one sync response, at most: mostly all that are known.
pub const POISON_PER_RESPONSE: usize = 64;

/// Crashes in one gossip message, at most.
const CRASHES_PER_MESSAGE: usize = 24;

/// Answers to features with crashes in one gossip message, at most.
const ANSWERS_PER_MESSAGE: usize = 24;

/// Judgements that are logged in a tick, at most.
const JUDGEMENT_LIMIT: usize = 64;

/// Features kept, at most.
const FEATURE_LIMIT: usize = 2_048;

/// Time after which a replica counts as alive that sent a request nothing and was not found
/// unreachable, in milliseconds.
const SILENCE_JUDGED_MS: u64 = 5_000;

/// A replica's crash while it ran a request, as boxes gossip it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashUpdate {
    /// Feature of the request.
    pub feature: RequestFeature,
    /// Hash that tells the request apart: of its id for a content, of its content for a part.
    pub request: u64,
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// How long ago the crash was, in milliseconds.
    pub age_ms: u64,
}

/// The state of a feature, as boxes gossip it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoisonUpdate {
    /// The feature.
    pub feature: RequestFeature,
    /// How long ago the last crash or answer was, in milliseconds.
    pub age_ms: u64,
    /// Whether it was answered. Earlier crashes had another cause.
    pub answered: bool,
    /// Whether the store holds it as poison.
    pub stored: bool,
    /// Whether the sender took back that it is poison, since replicas did not crash under it.
    pub withdrawn: bool,
}

/// What a broken attempt turned out to be, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashJudgement {
    /// Hash of the request's content.
    pub content: u64,
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// Whether and how it counts.
    pub fate: ReplicaFate,
}

/// A feature that was found to be poison, or cleared, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonFinding {
    /// The feature.
    pub feature: RequestFeature,
    /// Whether it is poison now.
    pub is_poison: bool,
    /// Whether this box found out, and not another one.
    pub judged_here: bool,
    /// Crashes known to this box.
    pub crashes: usize,
    /// Different requests at them.
    pub requests: usize,
}

/// A feature with crashes, as operators see it.
#[derive(Debug, Serialize)]
pub struct PoisonDump {
    /// The feature, as in logs.
    pub feature: String,
    /// Crashes known to this box.
    #[serde(rename = "ends")]
    pub crashes: usize,
    /// Different requests at them.
    pub requests: usize,
    /// How long ago the last crash was, in milliseconds, if the feature is poison.
    #[serde(rename = "fatal_age_ms")]
    pub poison_age_ms: Option<u64>,
}

/// The features of a request with this content and these prompt parts.
pub(super) fn features(content: u64, service: &str, parts: &[PromptPart]) -> Vec<RequestFeature> {
    let service = service_hash(service);
    let content = (content != 0).then_some(RequestFeature::Content(content));
    let parts = parts.iter().map(|part| RequestFeature::Part { service, part: *part });
    content.into_iter().chain(parts).collect()
}

impl BackendState {
    /// Returns the fate of a replica after an attempt broke at `at`.
    fn fate_since(&self, at: BoxTime, now: BoxTime) -> ReplicaFate {
        let unreachable_at = self.unreachable_at.filter(|unreachable_at| *unreachable_at >= at);
        let survived = self.reported_at.millis_since(at) >= SURVIVED_MS;
        match unreachable_at {
            Some(unreachable_at) if !survived || self.reported_at >= unreachable_at => {
                ReplicaFate::Crashed
            }
            _ if survived => ReplicaFate::Survived,
            _ if self.reported_at < at && now.millis_since(at) >= CRASH_SILENCE_MS => {
                ReplicaFate::Crashed
            }
            _ => ReplicaFate::Unknown,
        }
    }

    /// Returns the fate of a replica that had sent an attempt nothing for too long at `at`. Its
    /// silence alone shows no crash, and failed connections of this box may be due to the path.
    fn fate_since_silence(&self, at: BoxTime, now: BoxTime) -> ReplicaFate {
        let is_down = self.reported_until > at.plus_millis(EJECTION_FIRST_MS);
        if self.reported_at.millis_since(at) >= SURVIVED_MS || self.path.reached_since(at) {
            ReplicaFate::Survived
        } else if is_down {
            ReplicaFate::Crashed
        } else if now.millis_since(at) >= SILENCE_JUDGED_MS {
            ReplicaFate::Survived
        } else {
            ReplicaFate::Unknown
        }
    }
}

impl RouteState {
    /// Records a broken attempt: if its replica turns out to have crashed, it did so under this
    /// request. A leaving replica is ignored, since it exits for that reason. While the paths of this
    /// box are lost, another box has to observe the crash too.
    pub(super) fn record_broken(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        attempt: RunningAttempt,
    ) {
        self.record_crash(stamp, ticket, attempt, false);
    }

    /// Records an attempt to which its replica sent nothing for too long. It may have crashed without
    /// closing its connections.
    pub(super) fn record_silent(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        attempt: RunningAttempt,
    ) {
        self.record_crash(stamp, ticket, attempt, true);
    }

    fn record_crash(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        attempt: RunningAttempt,
        silent: bool,
    ) {
        let doubtful = self.paths.is_lost();
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(row) = self.backends.get(attempt.replica) else { return };
        if row.entry.leaving {
            return;
        }
        for feature in &request.features {
            let crash = ReplicaCrash {
                requests: vec![if feature.is_part() { request.content } else { request.id_hash }],
                replica: row.id_hash,
                unconfirmed: Some(UnconfirmedCrash { replica: attempt.replica, silent }),
                own: true,
                doubtful,
                told_at: stamp.now,
                certain: false,
                at: stamp.now,
            };
            self.poison.add_crash(*feature, crash);
        }
    }

    /// Returns the feature for which a request is refused. Some time after its last crash, poison is
    /// tried again by boxes that read the store, one attempt at a time on each.
    fn refused_feature(&self, stamp: EventStamp, ticket: RequestTicket) -> Option<RequestFeature> {
        let features = &self.requests.get(&ticket)?.features;
        let is_tried = |feature: RequestFeature| {
            let mut others = self.requests.iter().filter(|(other, _)| **other != ticket);
            others.any(|(_, row)| row.attempt.is_some() && row.features.contains(&feature))
        };
        let may_try = |feature: RequestFeature| {
            let is_due = !self.poison.is_refused(feature, stamp.now);
            is_due && self.is_reader(stamp.now) && !is_tried(feature)
        };
        let mut poison = features.iter().filter(|feature| self.poison.is_poison(**feature));
        poison.find(|feature| !may_try(**feature)).copied()
    }

    /// Returns whether a request is refused since it has a feature that is poison.
    pub(super) fn is_poison(&self, stamp: EventStamp, ticket: RequestTicket) -> bool {
        self.refused_feature(stamp, ticket).is_some()
    }

    /// Returns how long a request remains suspected of crashing replicas, in milliseconds, if it is.
    fn suspected_ms(&self, stamp: EventStamp, ticket: RequestTicket) -> Option<u64> {
        self.poison.suspected_ms(&self.requests.get(&ticket)?.features, stamp.now)
    }

    /// Returns whether a request may not be sent again, since it may crash another replica.
    pub(super) fn may_crash_replicas(&self, stamp: EventStamp, ticket: RequestTicket) -> bool {
        self.is_poison(stamp, ticket) || self.suspected_ms(stamp, ticket).is_some()
    }

    /// Refuses a request with a feature that crashes replicas or is suspected of it. Returns whether
    /// it has one. A caller with a suspected one may retry when more is known.
    pub(super) fn refuse_dangerous(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        if self.refuse_poison(stamp, ticket, out) {
            return true;
        }
        let Some(suspected_ms) = self.suspected_ms(stamp, ticket) else { return false };
        self.set_latest_retry(stamp, ticket);
        if let Some(request) = self.requests.get_mut(&ticket) {
            let wait_ms = suspected_ms + stamp.random % SUSPECT_SPREAD_MS;
            request.retry_after_ms = request.retry_after_ms.map(|latest| latest.min(wait_ms));
        }
        self.give_up(stamp, ticket, RefusalReason::SuspectedOfCrashes, out);
        true
    }

    /// Records that a request was answered completely, if that was with a success. An answer that was
    /// resumed shows nothing about parts: each replica wrote some of it only.
    pub(super) fn clear_features(&mut self, stamp: EventStamp, ticket: RequestTicket) {
        let Some(request) = self.requests.get(&ticket).filter(|row| row.succeeds) else { return };
        let is_shown = |feature: &&RequestFeature| !request.was_resumed || !feature.is_part();
        let shown: Vec<RequestFeature> =
            request.features.iter().filter(is_shown).copied().collect();
        if self.poison.clear(&shown, stamp.now) {
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Applies crashes and features received from other boxes.
    pub(super) fn apply_crashes(
        &mut self,
        stamp: EventStamp,
        crashes: &[CrashUpdate],
        updates: &[PoisonUpdate],
        out: &mut Vec<RouteEffect>,
    ) {
        self.note_stored(updates);
        for update in updates.iter().filter(|update| update.age_ms < POISON_KEPT_MS) {
            self.poison.merge(update, stamp.now);
        }
        for update in crashes.iter().filter(|update| update.age_ms < CRASH_GOSSIP_MS) {
            let crash = ReplicaCrash {
                requests: vec![update.request],
                replica: update.replica,
                unconfirmed: None,
                own: false,
                doubtful: false,
                told_at: stamp.now,
                certain: false,
                at: stamp.now.minus_millis(update.age_ms),
            };
            if self.backends.crash_proof(crash.replica, crash.at) == CrashProof::Refuted {
                self.backends.tell_alive(crash.replica, stamp.now);
                self.rounds.next_round = BoxTime::default();
                continue;
            }
            self.poison.corroborate(crash.replica, crash.at);
            self.poison.add_crash(update.feature, crash);
        }
        self.weigh_crashes(stamp.now);
        self.check_crashed(stamp, out);
        let is_found = !crashes.is_empty() && self.poison.judge(stamp.now);
        if std::mem::take(&mut self.poison.is_news) || is_found {
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Finds out which replicas crashed under their requests.
    pub(super) fn settle_crashes(&mut self, now: BoxTime) {
        let backends = &self.backends;
        let fate = |crash: UnconfirmedCrash, at: BoxTime| match backends.get(crash.replica) {
            Some(row) if crash.silent => row.fate_since_silence(at, now),
            Some(row) => row.fate_since(at, now),
            None => ReplicaFate::Crashed,
        };
        let settled = self.poison.settle(&fate, now);
        self.weigh_crashes(now);
        self.poison.forget(now);
        self.note_answering(now);
        self.poison.judge(now);
        if settled {
            // Until other boxes know, each request may crash one more replica.
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Records which suspected parts have been answered for a while.
    fn note_answering(&mut self, now: BoxTime) {
        if !self.poison.has_suspects(now) {
            return;
        }
        let lasts = |at: BoxTime| now.millis_since(at) >= ANSWERING_MS;
        for request in self.requests.values() {
            if request.attempt.and_then(|attempt| attempt.answers_since).is_some_and(lasts) {
                self.poison.note_answering(&request.features, now);
            }
        }
        if std::mem::take(&mut self.poison.is_news) {
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Logs which broken attempts turned out to be crashes, and which features poison. Attempts in
    /// flight with a new one are withdrawn.
    pub(super) fn report_poison(&mut self, out: &mut Vec<RouteEffect>) {
        let mut judged = std::mem::take(&mut self.poison.judged);
        judged.truncate(JUDGEMENT_LIMIT);
        out.extend(judged.into_iter().map(RouteEffect::CrashJudged));
        let mut findings = std::mem::take(&mut self.poison.findings);
        if findings.iter().any(|finding| finding.is_poison) {
            out.push(RouteEffect::RecheckAttempts);
        }
        findings.truncate(JUDGEMENT_LIMIT);
        out.extend(findings.into_iter().map(RouteEffect::PoisonFound));
    }

    /// Returns the crashes to gossip.
    pub(super) fn crash_updates(&self, now: BoxTime) -> Vec<CrashUpdate> {
        self.poison.crash_updates(now)
    }

    /// Returns the features for the gossip message with this number, with `limit` poison ones.
    pub(super) fn poison_updates(
        &self,
        number: u64,
        limit: usize,
        now: BoxTime,
    ) -> Vec<PoisonUpdate> {
        let mut updates = self.poison.poison_updates(number, limit, now);
        for update in &mut updates {
            update.stored = self.stored_poison.contains(update.feature);
        }
        updates.extend(self.poison.answer_updates(now));
        updates.extend(self.poison.withdrawal_updates(now));
        updates
    }

    /// Returns the features with crashes, as operators see them.
    pub(super) fn poison_dump(&self, now: BoxTime) -> Vec<PoisonDump> {
        self.poison.dump(now)
    }

    /// Refuses a request with a feature that is poison. Returns whether it has one.
    pub(super) fn refuse_poison(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) -> bool {
        let Some(feature) = self.refused_feature(stamp, ticket) else { return false };
        self.log_refusal(stamp, ticket, feature, out);
        self.end_attempt(stamp, ticket, BackendOutcome::Inconclusive);
        self.give_up(stamp, ticket, RefusalReason::CrashesReplicas, out);
        true
    }

    /// Logs the refusal of a feature once, with a client account that sent it.
    fn log_refusal(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        feature: RequestFeature,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        let account = request.account.clone();
        let Some(row) = self.poison.first_refusal(feature) else { return };
        let CrashEvidence { crashes, requests, .. } = row.evidence(stamp.now);
        let age_ms = row.poison_age_ms(stamp.now);
        out.push(RouteEffect::PoisonRefused { feature, account, crashes, requests, age_ms });
    }
}
