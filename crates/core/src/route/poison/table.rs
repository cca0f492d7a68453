//! The features with recent crashes, and the judgement of them together.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use super::answered::AnsweredParts;
use super::evidence::CrashEvidence;
use super::life::CrashProof;
use super::record::{CrashPoint, FeatureRecord, ReplicaCrash, ReplicaFate, UnconfirmedCrash};
use super::{
    CrashJudgement, CrashUpdate, PoisonDump, PoisonFinding, PoisonUpdate, RequestFeature,
    ANSWERS_PER_MESSAGE, CRASHES_PER_MESSAGE, FEATURE_LIMIT,
};
use crate::time::BoxTime;

/// Features with recent crashes.
#[derive(Debug, Default)]
pub(in crate::route) struct PoisonFeatures {
    rows: HashMap<RequestFeature, FeatureRecord>,
    answered: AnsweredParts,
    /// Whether other boxes should hear at once that a part was answered.
    pub(super) is_news: bool,
    /// Judgements that were not logged yet.
    pub(super) judged: Vec<CrashJudgement>,
    /// Features that became poison or were cleared, and were not logged yet.
    pub(super) findings: Vec<PoisonFinding>,
}

impl PoisonFeatures {
    /// Returns the record of a feature. Without room for it, the records that say least are evicted.
    fn row(&mut self, feature: RequestFeature) -> &mut FeatureRecord {
        if self.rows.len() >= FEATURE_LIMIT && !self.rows.contains_key(&feature) {
            self.evict();
        }
        let answered_at = self.answered.answered_at(feature);
        let row = self.rows.entry(feature).or_default();
        row.note_answered(answered_at);
        row
    }

    /// Evicts a quarter of the records: known poison last, and those with most crashes before.
    fn evict(&mut self) {
        let mut ranks: Vec<_> = self.rows.iter().map(|(key, row)| (row.rank(), *key)).collect();
        ranks.sort_unstable();
        ranks.truncate(FEATURE_LIMIT / 4);
        for (_, feature) in ranks {
            self.rows.remove(&feature);
        }
    }

    /// Records a crash under a feature, without judging it.
    pub(super) fn add_crash(&mut self, feature: RequestFeature, crash: ReplicaCrash) {
        let row = self.row(feature);
        // Boxes on which the part was not answered may soon blame it.
        self.is_news |= row.add_crash(crash) && row.is_suspicious() && row.was_answered();
    }

    /// Merges the state received from another box.
    pub(super) fn merge(&mut self, update: &PoisonUpdate, now: BoxTime) {
        // An answer or a withdrawal does not matter for a feature without crashes.
        let is_minor = update.answered || update.withdrawn;
        if is_minor && !self.rows.contains_key(&update.feature) {
            return;
        }
        let row = self.row(update.feature);
        let was_poison = row.is_poison();
        row.merge(update, now);
        let is_poison = row.is_poison();
        if was_poison != is_poison {
            self.note_finding(update.feature, false, now);
        }
        if was_poison && !is_poison {
            self.judge(now);
        }
    }

    /// Finds out which features are poison, those with most crashes first. Returns whether any became
    /// poison.
    pub(super) fn judge(&mut self, now: BoxTime) -> bool {
        // Further crashes keep what is poison refused.
        self.rows.values_mut().filter(|row| row.is_poison()).for_each(|row| row.convict(now));
        let mut found_any = false;
        loop {
            let found = self.most_convicted(now);
            if found.is_empty() {
                return found_any;
            }
            found_any = true;
            for feature in found {
                if let Some(row) = self.rows.get_mut(&feature) {
                    row.find(now);
                }
                self.note_finding(feature, true, now);
            }
        }
    }

    /// The features that are to be convicted next: of those with enough crashes the ones that were never
    /// answered, and have most of them.
    fn most_convicted(&self, now: BoxTime) -> Vec<RequestFeature> {
        let parts = self.rows.iter().filter(|(feature, _)| feature.is_part());
        let explained: Vec<CrashPoint> = parts.flat_map(|(_, row)| row.explained()).collect();
        let mut found = Vec::new();
        let mut most = (false, 0);
        for (feature, row) in self.rows.iter().filter(|(_, row)| !row.is_poison()) {
            let Some(conviction) = row.conviction(*feature, &explained, now) else { continue };
            if conviction > most {
                most = conviction;
                found.clear();
            }
            if conviction == most {
                found.push(*feature);
            }
        }
        found
    }

    /// How long any of these features remains suspected of crashing replicas, in milliseconds, if one
    /// is.
    pub(super) fn suspected_ms(&self, features: &[RequestFeature], now: BoxTime) -> Option<u64> {
        let parts = features.iter().filter(|feature| feature.is_part());
        parts.filter_map(|part| self.rows.get(part)?.suspected_ms(now)).max()
    }

    fn note_finding(&mut self, feature: RequestFeature, judged_here: bool, now: BoxTime) {
        let Some(row) = self.rows.get(&feature) else { return };
        let CrashEvidence { crashes, requests, .. } = row.evidence(now);
        let is_poison = row.is_poison();
        let finding = PoisonFinding { feature, is_poison, judged_here, crashes, requests };
        self.findings.push(finding);
    }

    /// Whether a feature is poison.
    pub(super) fn is_poison(&self, feature: RequestFeature) -> bool {
        self.rows.get(&feature).is_some_and(FeatureRecord::is_poison)
    }

    /// The features that are poison.
    pub(super) fn poison_features(&self) -> BTreeSet<RequestFeature> {
        let poison = self.rows.iter().filter(|(_, row)| row.is_poison());
        poison.map(|(feature, _)| *feature).collect()
    }

    /// Whether any feature is poison.
    pub(super) fn has_poison(&self) -> bool {
        self.rows.values().any(FeatureRecord::is_poison)
    }

    /// Whether a feature is poison, and may not even be tried again.
    pub(super) fn is_refused(&self, feature: RequestFeature, now: BoxTime) -> bool {
        self.rows.get(&feature).is_some_and(|row| row.is_refused(now))
    }

    /// Whether any part is suspected that was never answered.
    pub(super) fn has_suspects(&self, now: BoxTime) -> bool {
        let mut parts = self.rows.iter().filter(|(feature, _)| feature.is_part());
        parts.any(|(_, row)| row.suspected_ms(now).is_some())
    }

    /// Records that suspected ones of these features are being answered: they count as answered before
    /// all crashes that count.
    pub(super) fn note_answering(&mut self, features: &[RequestFeature], now: BoxTime) {
        for feature in features.iter().filter(|feature| feature.is_part()) {
            let Some(row) = self.rows.get_mut(feature) else { continue };
            if row.suspected_ms(now).is_some() {
                row.note_answered(Some(now.minus_millis(super::CRASH_KEPT_MS)));
                self.is_news = true;
            }
        }
    }

    /// Returns the record of a feature if its refusal was not logged yet.
    pub(super) fn first_refusal(&mut self, feature: RequestFeature) -> Option<&FeatureRecord> {
        let row = self.rows.get_mut(&feature).filter(|row| !row.logged)?;
        row.logged = true;
        Some(row)
    }

    /// Records a complete answer to a request with these features. Returns whether other boxes should
    /// know at once.
    pub(super) fn clear(&mut self, features: &[RequestFeature], now: BoxTime) -> bool {
        let mut is_news = false;
        let mut freed = false;
        for feature in features {
            if feature.is_part() {
                self.answered.insert(*feature, now);
            }
            let Some(row) = self.rows.get_mut(feature) else { continue };
            let (refuted, was_poison) = row.clear(now);
            is_news |= was_poison || refuted > 1 || (refuted > 0 && !feature.is_part());
            if was_poison {
                freed = true;
                self.note_finding(*feature, true, now);
            }
        }
        if freed {
            self.judge(now);
        }
        is_news
    }

    /// Resolves unconfirmed crashes by the fate of their replicas. Returns whether any was
    /// confirmed.
    pub(super) fn settle(
        &mut self,
        fate: &dyn Fn(UnconfirmedCrash, BoxTime) -> ReplicaFate,
        now: BoxTime,
    ) -> bool {
        let mut settled = false;
        for (feature, row) in &mut self.rows {
            let RequestFeature::Content(content) = *feature else {
                settled |= row.settle(fate, &mut |_, _| {}, now);
                continue;
            };
            let judged = &mut self.judged;
            let mut note = |replica, fate| judged.push(CrashJudgement { content, replica, fate });
            settled |= row.settle(fate, &mut note, now);
        }
        settled
    }

    /// Takes back crashes of replicas that are alive, and findings that rest on them. Returns these
    /// replicas.
    pub(super) fn weigh(
        &mut self,
        proof: &dyn Fn(u64, BoxTime) -> CrashProof,
        now: BoxTime,
    ) -> Vec<u64> {
        let mut alive = Vec::new();
        let mut withdrawn = Vec::new();
        for (feature, row) in &mut self.rows {
            let known = alive.len();
            if row.weigh(*feature, proof, now, &mut alive) {
                withdrawn.push(*feature);
            }
            let RequestFeature::Content(content) = *feature else { continue };
            let fate = ReplicaFate::Retracted;
            let judgements = alive[known..].iter().map(|replica| CrashJudgement {
                content,
                replica: *replica,
                fate,
            });
            self.judged.extend(judgements);
        }
        for feature in withdrawn {
            self.note_finding(feature, true, now);
        }
        alive.sort_unstable();
        alive.dedup();
        alive
    }

    /// The crashes that boxes may still object to.
    pub(super) fn open_crashes(&self, now: BoxTime) -> BTreeSet<CrashPoint> {
        self.rows.values().flat_map(|row| row.open_crashes(now)).collect()
    }

    /// Returns the findings that were taken back lately, to gossip.
    pub(super) fn withdrawal_updates(&self, now: BoxTime) -> Vec<PoisonUpdate> {
        let updates =
            self.rows.iter().filter_map(|(feature, row)| row.withdrawal_update(*feature, now));
        let mut updates: Vec<PoisonUpdate> = updates.collect();
        updates.sort_by_key(|update| (update.age_ms, update.feature));
        updates.truncate(ANSWERS_PER_MESSAGE);
        updates
    }

    /// Counts the doubtful crashes of a replica, since another box observed the same.
    pub(super) fn corroborate(&mut self, replica: u64, at: BoxTime) {
        for row in self.rows.values_mut() {
            self.is_news |= row.corroborate(replica, at);
        }
    }

    /// Doubts the crashes since `since` that only this box observed. `is_down` tells whether other
    /// boxes cannot reach a replica either.
    pub(in crate::route) fn doubt_own(&mut self, since: BoxTime, is_down: &dyn Fn(u64) -> bool) {
        let shared: Vec<CrashPoint> =
            self.rows.values().flat_map(FeatureRecord::shared_crashes).collect();
        let is_confirmed = |(replica, at): CrashPoint| {
            let is_same = |other: &CrashPoint| {
                other.0 == replica
                    && at.millis_since(other.1).max(other.1.millis_since(at)) < super::SAME_CRASH_MS
            };
            is_down(replica) || shared.iter().any(is_same)
        };
        for (feature, row) in &mut self.rows {
            let replicas = row.doubt_own(since, &is_confirmed);
            let RequestFeature::Content(content) = *feature else { continue };
            let fate = ReplicaFate::Retracted;
            let judgements =
                replicas.into_iter().map(|replica| CrashJudgement { content, replica, fate });
            self.judged.extend(judgements);
        }
    }

    /// Removes the records that have expired.
    pub(super) fn forget(&mut self, now: BoxTime) {
        self.rows.retain(|_, row| row.is_kept(now));
    }

    /// Returns the crashes to gossip: those of poison first, then those of features that were never
    /// answered, and among them those of features with most crashes.
    pub(super) fn crash_updates(&self, now: BoxTime) -> Vec<CrashUpdate> {
        let updates = |(feature, row): (&RequestFeature, &FeatureRecord)| {
            let crashes: Vec<CrashUpdate> = row.crash_updates(*feature, now).collect();
            let order = (!row.is_poison(), row.was_answered(), Reverse(crashes.len()));
            crashes.into_iter().map(move |update| (order, update))
        };
        let mut updates: Vec<_> = self.rows.iter().flat_map(updates).collect();
        updates.sort_by_key(|(order, update)| (*order, update.age_ms, update.feature));
        updates.truncate(CRASHES_PER_MESSAGE);
        updates.into_iter().map(|(_, update)| update).collect()
    }

    /// Returns at most `limit` poison features, beginning further on with each `turn`.
    pub(super) fn poison_updates(
        &self,
        turn: u64,
        limit: usize,
        now: BoxTime,
    ) -> Vec<PoisonUpdate> {
        let updates =
            self.rows.iter().filter_map(|(feature, row)| row.poison_update(*feature, now));
        let mut updates: Vec<PoisonUpdate> = updates.collect();
        updates.sort_by_key(|update| update.feature);
        if updates.len() > limit {
            let first = turn.wrapping_mul(limit as u64) % updates.len() as u64;
            updates.rotate_left(first as usize);
            updates.truncate(limit);
        }
        updates
    }

    /// Returns the answers to gossip, those to features with most crashes first.
    pub(super) fn answer_updates(&self, now: BoxTime) -> Vec<PoisonUpdate> {
        let updates = self.rows.iter().filter_map(|(feature, row)| {
            let update = row.answer_update(*feature, now)?;
            Some((Reverse(row.rank().1), update))
        });
        let mut updates: Vec<_> = updates.collect();
        updates.sort_by_key(|(crashes, update)| (*crashes, update.age_ms, update.feature));
        updates.truncate(ANSWERS_PER_MESSAGE);
        updates.into_iter().map(|(_, update)| update).collect()
    }

    pub(super) fn dump(&self, now: BoxTime) -> Vec<PoisonDump> {
        let dump = |(feature, row): (&RequestFeature, &FeatureRecord)| {
            let CrashEvidence { crashes, requests, .. } = row.evidence(now);
            PoisonDump {
                feature: feature.to_string(),
                crashes,
                requests,
                poison_age_ms: row.poison_age_ms(now),
            }
        };
        self.rows.iter().map(dump).collect()
    }
}
