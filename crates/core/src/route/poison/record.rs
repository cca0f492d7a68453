//! The state of one feature: its crashes, and whether it is poison.

use super::evidence::CrashEvidence;
use super::life::{CrashProof, OBJECTION_MS};
use super::{
    CrashUpdate, PoisonUpdate, RequestFeature, CRASH_GOSSIP_MS, CRASH_KEPT_MS, CRASH_REQUEST_LIMIT,
    POISON_KEPT_MS, POISON_REFUSED_MS, SAME_CRASH_MS, SIMULTANEOUS_MS, SUSPECT_CRASHES, SUSPECT_MS,
};
use crate::ids::ReplicaKey;
use crate::time::BoxTime;

/// A replica's crash while it ran requests with the same feature.
#[derive(Clone, Debug)]
pub(super) struct ReplicaCrash {
    /// Hashes that tell the requests apart: of their ids for a content, of their contents for a
    /// part.
    pub(super) requests: Vec<u64>,
    /// The replica, by a hash of its id.
    pub(super) replica: u64,
    /// Key of the replica while the crash is unconfirmed.
    pub(super) unconfirmed: Option<UnconfirmedCrash>,
    /// Whether only this box observed it.
    pub(super) own: bool,
    /// Whether only the paths of this box may have been lost. It counts once another box has observed
    /// the crash of the replica.
    pub(super) doubtful: bool,
    /// Since when other boxes may object to it.
    pub(super) told_at: BoxTime,
    /// Whether no box can object.
    pub(super) certain: bool,
    pub(super) at: BoxTime,
}

/// What a crash is assumed from until it is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnconfirmedCrash {
    /// The replica.
    pub(super) replica: ReplicaKey,
    /// Whether the replica sent nothing, rather than broke a connection.
    pub(super) silent: bool,
}

impl ReplicaCrash {
    /// Returns whether two boxes, or two requests, observed the same crash.
    pub(super) fn is_same(&self, replica: u64, at: BoxTime) -> bool {
        let apart_ms = self.at.millis_since(at).max(at.millis_since(self.at));
        self.replica == replica && apart_ms < SAME_CRASH_MS
    }

    /// Merges another observation of this crash.
    fn merge(&mut self, other: ReplicaCrash) {
        for request in other.requests {
            if !self.requests.contains(&request) && self.requests.len() < CRASH_REQUEST_LIMIT {
                self.requests.push(request);
            }
        }
        self.unconfirmed = self.unconfirmed.and(other.unconfirmed);
        self.told_at = self.told_at.min(other.told_at);
        self.certain |= other.certain;
        self.own &= other.own;
        self.doubtful &= other.doubtful;
    }

    /// Whether it counts: no box has objected for long enough.
    fn counts(&self, now: BoxTime) -> bool {
        let is_heard = self.certain || now.millis_since(self.told_at) >= OBJECTION_MS;
        self.unconfirmed.is_none() && !self.doubtful && is_heard
    }

    /// Returns whether this crash and an earlier one were simultaneous under different requests.
    /// Crashes under one request follow each other.
    pub(super) fn is_simultaneous(&self, first: &ReplicaCrash) -> bool {
        let shared = self.requests.iter().any(|request| first.requests.contains(request));
        !shared && self.at.millis_since(first.at) < SIMULTANEOUS_MS
    }
}

/// The fate of a replica after an attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaFate {
    /// It crashed.
    Crashed,
    /// It answered other requests afterwards.
    Survived,
    /// Not known yet.
    Unknown,
    /// It seemed to have crashed, but only the paths of this box were lost.
    Retracted,
}

/// The crash of a replica, by a hash of its id.
pub(super) type CrashPoint = (u64, BoxTime);

/// The state of a feature.
#[derive(Clone, Debug, Default)]
pub(super) struct FeatureRecord {
    crashes: Vec<ReplicaCrash>,
    /// When it was last answered, as far as is known. Earlier crashes do not count.
    answered_at: Option<BoxTime>,
    /// When an answer last refuted a crash or the poison.
    cleared_at: Option<BoxTime>,
    /// The last crash, once the feature is known as poison.
    poison_at: Option<BoxTime>,
    /// Whether this box found it to be poison, and not only heard of it.
    found_here: bool,
    /// The last crash of a finding that was taken back, and until when others are told so.
    withdrawn: Option<(BoxTime, BoxTime)>,
    /// Whether its refusal was logged.
    pub(super) logged: bool,
}

impl FeatureRecord {
    /// Returns the time of the last crash, or of the answer that refuted it.
    fn last_at(&self) -> BoxTime {
        let last = self.crashes.iter().map(|crash| crash.at).max();
        let withdrawn_at = self.withdrawn.map(|(at, _)| at);
        last.max(self.cleared_at).max(self.poison_at).max(withdrawn_at).unwrap_or_default()
    }

    /// Returns whether the record is kept.
    pub(super) fn is_kept(&self, now: BoxTime) -> bool {
        let was_poison = self.poison_at.is_some() || self.withdrawn.is_some();
        let kept_ms = if was_poison { POISON_KEPT_MS } else { CRASH_KEPT_MS };
        now.millis_since(self.last_at()) < kept_ms
    }

    /// Returns the records' order of worth: the least are evicted first.
    pub(super) fn rank(&self) -> (bool, usize, BoxTime) {
        (self.poison_at.is_some(), self.crashes.len(), self.last_at())
    }

    /// Whether the feature is known as poison.
    pub(super) fn is_poison(&self) -> bool {
        self.poison_at.is_some()
    }

    /// The crashes that it explains, if it is poison.
    pub(super) fn explained(&self) -> impl Iterator<Item = CrashPoint> + '_ {
        let crashes = self.crashes.iter().filter(|_| self.is_poison());
        crashes.map(|crash| (crash.replica, crash.at))
    }

    /// Whether it may turn out to be poison: replicas lately crashed under it, and it was never
    /// answered. Returns how long that lasts, in milliseconds.
    pub(super) fn suspected_ms(&self, now: BoxTime) -> Option<u64> {
        if self.is_poison() || self.was_answered() || !self.is_suspicious() {
            return None;
        }
        let last = self.crashes.iter().map(|crash| crash.at).max()?;
        SUSPECT_MS.checked_sub(now.millis_since(last))
    }

    /// Whether it was answered, as far as is known.
    pub(super) fn was_answered(&self) -> bool {
        self.answered_at.is_some()
    }

    /// Records when it was answered before its crashes, if that is known.
    pub(super) fn note_answered(&mut self, at: Option<BoxTime>) {
        self.answered_at = self.answered_at.max(at);
    }

    /// Records a crash. Returns whether it is a new one.
    pub(super) fn add_crash(&mut self, crash: ReplicaCrash) -> bool {
        if self.answered_at.is_some_and(|at| at >= crash.at) {
            return false;
        }
        if let Some(known) =
            self.crashes.iter_mut().find(|known| known.is_same(crash.replica, crash.at))
        {
            known.merge(crash);
            return false;
        }
        self.crashes.push(crash);
        true
    }

    /// Whether enough replicas crashed to suspect it.
    pub(super) fn is_suspicious(&self) -> bool {
        self.crashes.iter().filter(|crash| !crash.doubtful).count() >= SUSPECT_CRASHES
    }

    /// Records a complete answer at `at`. Returns how many crashes it refutes, and whether the
    /// feature was poison until now.
    pub(super) fn clear(&mut self, at: BoxTime) -> (usize, bool) {
        if self.answered_at.is_some_and(|known| known >= at) {
            return (0, false);
        }
        let (crashes, was_poison) = (self.crashes.len(), self.is_poison());
        self.answered_at = Some(at);
        self.crashes.retain(|crash| crash.at > at);
        self.poison_at = self.poison_at.filter(|poison| *poison > at);
        self.logged &= self.poison_at.is_some();
        let refuted = crashes - self.crashes.len();
        let is_cleared = was_poison && !self.is_poison();
        if refuted > 0 || is_cleared {
            self.cleared_at = self.cleared_at.max(Some(at));
        }
        (refuted, is_cleared)
    }

    /// Merges the state received from another box.
    pub(super) fn merge(&mut self, update: &PoisonUpdate, now: BoxTime) {
        let at = now.minus_millis(update.age_ms);
        if update.answered {
            self.clear(at);
        } else if update.withdrawn {
            self.hear_withdrawal(update.feature, at, now);
        } else if let Some((withdrawn_at, told_until)) = &mut self.withdrawn {
            if at > *withdrawn_at {
                self.poison_at = self.poison_at.max(Some(at));
                self.withdrawn = None;
            } else {
                *told_until = now.plus_millis(CRASH_GOSSIP_MS);
            }
        } else if self.answered_at.is_none_or(|answered| answered < at) {
            self.poison_at = self.poison_at.max(Some(at));
        }
    }

    /// Takes back that the feature is poison. Returns whether it was.
    fn withdraw(&mut self, now: BoxTime) -> bool {
        let Some(at) = self.poison_at.take() else { return false };
        self.found_here = false;
        self.logged = false;
        self.withdrawn = Some((at, now.plus_millis(CRASH_GOSSIP_MS)));
        true
    }

    /// Applies that another box took its finding back, unless the crashes known here show it too.
    fn hear_withdrawal(&mut self, feature: RequestFeature, at: BoxTime, now: BoxTime) {
        if self.poison_at.is_none_or(|poison_at| poison_at > at) {
            return;
        }
        if self.found_here && self.is_shown(feature, now) {
            // The others believe a later crash than the one that was taken back.
            self.poison_at = Some(at.plus_millis(1));
        } else {
            self.withdraw(now);
        }
    }

    /// Whether the crashes known to this box still show that the feature is poison.
    fn is_shown(&self, feature: RequestFeature, now: BoxTime) -> bool {
        let crashes = self.crashes.iter().filter(|crash| crash.counts(now));
        CrashEvidence::new(crashes, now).convicts(feature, self.was_answered())
    }

    /// Removes crashes that are refuted, and counts those that are certain. Returns whether the feature
    /// is no longer poison. `alive` gets the replicas of refuted crashes.
    pub(super) fn weigh(
        &mut self,
        feature: RequestFeature,
        proof: &dyn Fn(u64, BoxTime) -> CrashProof,
        now: BoxTime,
        alive: &mut Vec<u64>,
    ) -> bool {
        let known = self.crashes.len();
        self.crashes.retain_mut(|crash| {
            if crash.unconfirmed.is_some() {
                return true;
            }
            match proof(crash.replica, crash.at) {
                CrashProof::Refuted => {
                    alive.push(crash.replica);
                    return false;
                }
                CrashProof::Certain => crash.certain = true,
                CrashProof::Open => {}
            }
            true
        });
        let refuted = self.crashes.len() < known;
        refuted && self.found_here && !self.is_shown(feature, now) && self.withdraw(now)
    }

    /// The crashes that boxes may still object to.
    pub(super) fn open_crashes(&self, now: BoxTime) -> impl Iterator<Item = CrashPoint> + '_ {
        let open = self.crashes.iter().filter(move |crash| !crash.counts(now));
        open.map(|crash| (crash.replica, crash.at))
    }

    /// Doubts the crashes since `since` that only this box observed, and takes back what followed from
    /// them. Returns their replicas. `is_confirmed` tells whether others saw the replica down.
    pub(super) fn doubt_own(
        &mut self,
        since: BoxTime,
        is_confirmed: &dyn Fn(CrashPoint) -> bool,
    ) -> Vec<u64> {
        let mut replicas = Vec::new();
        for crash in self.crashes.iter_mut().filter(|crash| crash.own && !crash.doubtful) {
            if crash.at >= since && !is_confirmed((crash.replica, crash.at)) {
                crash.doubtful = true;
                replicas.push(crash.replica);
            }
        }
        if !replicas.is_empty() {
            self.poison_at = self.poison_at.filter(|at| *at < since);
            self.logged &= self.poison_at.is_some();
        }
        replicas
    }

    /// Counts a doubtful crash, since another box observed it. Returns whether there was one.
    pub(super) fn corroborate(&mut self, replica: u64, at: BoxTime) -> bool {
        let same = self.crashes.iter_mut().filter(|crash| crash.is_same(replica, at));
        let mut found = false;
        for crash in same {
            found |= std::mem::take(&mut crash.doubtful);
        }
        found
    }

    /// The replicas' crashes that other boxes observed too.
    pub(super) fn shared_crashes(&self) -> impl Iterator<Item = CrashPoint> + '_ {
        let shared = self.crashes.iter().filter(|crash| !crash.own);
        shared.map(|crash| (crash.replica, crash.at))
    }

    /// Resolves unconfirmed crashes by the fate of their replicas. Returns whether any was
    /// confirmed that is not doubtful.
    pub(super) fn settle(
        &mut self,
        fate: &dyn Fn(UnconfirmedCrash, BoxTime) -> ReplicaFate,
        note: &mut dyn FnMut(u64, ReplicaFate),
        now: BoxTime,
    ) -> bool {
        let mut settled = false;
        self.crashes.retain_mut(|crash| {
            let Some(unconfirmed) = crash.unconfirmed else { return true };
            let fate = fate(unconfirmed, crash.at);
            if fate == ReplicaFate::Unknown {
                return true;
            }
            note(crash.replica, fate);
            crash.unconfirmed = None;
            crash.told_at = now;
            settled |= fate == ReplicaFate::Crashed && !crash.doubtful;
            fate == ReplicaFate::Crashed
        });
        settled
    }

    /// Returns whether the feature was never answered, and the number of crashes, if they show that it
    /// crashes replicas. Crashes that poison explains do not count against a part that was answered
    /// before, or against a content. Against any other part they count beside one that poison does not
    /// explain: such a part may be a second one that crashes replicas.
    pub(super) fn conviction(
        &self,
        feature: RequestFeature,
        explained: &[CrashPoint],
        now: BoxTime,
    ) -> Option<(bool, usize)> {
        let is_explained = |crash: &ReplicaCrash| {
            explained.iter().any(|(replica, at)| crash.is_same(*replica, *at))
        };
        let was_answered = self.was_answered();
        let is_shielded = was_answered || !feature.is_part();
        let counts = |crash: &&ReplicaCrash| !is_shielded || !is_explained(crash);
        let heard = self.confirmed(now).filter(|crash| crash.counts(now));
        let heard: Vec<&ReplicaCrash> = heard.collect();
        let all_explained = heard.iter().all(|crash| is_explained(crash));
        let evidence = CrashEvidence::new(heard.into_iter().filter(counts), now);
        let is_convicted = !all_explained && evidence.convicts(feature, was_answered);
        is_convicted.then_some((!was_answered, evidence.crashes))
    }

    /// Records that the feature is poison as of its last crash.
    pub(super) fn convict(&mut self, now: BoxTime) {
        let confirmed = self.crashes.iter().filter(|crash| crash.counts(now));
        self.poison_at = self.poison_at.max(confirmed.map(|crash| crash.at).max());
    }

    /// The confirmed crashes that still count.
    fn confirmed(&self, now: BoxTime) -> impl Iterator<Item = &ReplicaCrash> {
        let counts = move |crash: &&ReplicaCrash| {
            let counts = crash.unconfirmed.is_none() && !crash.doubtful;
            counts && now.millis_since(crash.at) < CRASH_KEPT_MS
        };
        self.crashes.iter().filter(counts)
    }

    /// Returns what the crashes known to this box show.
    pub(super) fn evidence(&self, now: BoxTime) -> CrashEvidence {
        CrashEvidence::new(self.confirmed(now), now)
    }

    /// Returns how long ago the last crash was, in milliseconds, if the feature is poison.
    pub(super) fn poison_age_ms(&self, now: BoxTime) -> Option<u64> {
        self.poison_at.map(|at| now.millis_since(at))
    }

    /// Returns whether the feature is poison, and may not even be tried again.
    pub(super) fn is_refused(&self, now: BoxTime) -> bool {
        let pending = || self.crashes.iter().any(|crash| !crash.counts(now) && !crash.doubtful);
        self.poison_age_ms(now).is_some_and(|age_ms| age_ms < POISON_REFUSED_MS || pending())
    }

    /// Returns the crashes to gossip, one update for each request.
    pub(super) fn crash_updates(
        &self,
        feature: RequestFeature,
        now: BoxTime,
    ) -> impl Iterator<Item = CrashUpdate> + '_ {
        let confirmed = self.confirmed(now);
        // Of poison, other boxes need only the replicas, to know what it explains.
        let limit = if self.is_poison() { 1 } else { CRASH_REQUEST_LIMIT };
        let updates = confirmed.flat_map(move |crash| {
            let (replica, age_ms) = (crash.replica, now.millis_since(crash.at));
            crash.requests.iter().take(limit).map(move |request| CrashUpdate {
                feature,
                request: *request,
                replica,
                age_ms,
            })
        });
        updates.filter(|update| update.age_ms < CRASH_GOSSIP_MS)
    }

    /// Returns the state to gossip if it is poison.
    pub(super) fn poison_update(
        &self,
        feature: RequestFeature,
        now: BoxTime,
    ) -> Option<PoisonUpdate> {
        let age_ms = self.poison_age_ms(now)?;
        Some(PoisonUpdate { feature, age_ms, ..PoisonUpdate::default() })
    }

    /// Records that this box found the feature to be poison.
    pub(super) fn find(&mut self, now: BoxTime) {
        self.convict(now);
        self.found_here = true;
        self.withdrawn = None;
    }

    /// Returns that the feature is not poison, to gossip, if this was taken back lately.
    pub(super) fn withdrawal_update(
        &self,
        feature: RequestFeature,
        now: BoxTime,
    ) -> Option<PoisonUpdate> {
        let (at, _) = self.withdrawn.filter(|(_, told_until)| *told_until > now)?;
        let age_ms = now.millis_since(at);
        Some(PoisonUpdate { feature, age_ms, withdrawn: true, ..PoisonUpdate::default() })
    }

    /// Returns the last answer to gossip: while what it refuted is gossiped, or later crashes are.
    pub(super) fn answer_update(
        &self,
        feature: RequestFeature,
        now: BoxTime,
    ) -> Option<PoisonUpdate> {
        let age_ms = now.millis_since(self.answered_at.filter(|_| !self.is_poison())?);
        let is_recent = |at: BoxTime| now.millis_since(at) < CRASH_GOSSIP_MS;
        let is_cleared = self.cleared_at.is_some_and(is_recent);
        let is_told = is_cleared || self.crashes.iter().any(|crash| is_recent(crash.at));
        is_told.then_some(PoisonUpdate {
            feature,
            age_ms,
            answered: true,
            ..PoisonUpdate::default()
        })
    }
}
