//! Canary analysis of rollouts: shares, evidence and verdicts, see [`crate::rollout`].

use crate::appender::LogStream;
use crate::cascade::QualityCount;
use crate::effect::BoxEffect;
use crate::event::{EventStamp, RequestTarget};
use crate::ids::{AccountKey, RequestKey, VersionKey};
use crate::membership::HEARTBEAT_INTERVAL_MS;
use crate::message::{PeerBody, RecordBody, RolloutEvidence, VerdictRecord};
use crate::rollout::{GuardVerdict, JudgedCount, RolloutState, BASELINE_ANSWERS, CANARY_BOXES};

use super::BoxState;

/// Share of bad answers assumed for a replaced version with too few ratings.
const UNKNOWN_BASELINE_BAD: f64 = 0.1;

impl BoxState {
    /// Returns the name of the version if the bundle has a rollout of it.
    pub(super) fn under_rollout(&self, version: VersionKey) -> Option<&str> {
        let name = self.names.versions.name(version);
        self.index.spec.rollouts.get_key_value(name).map(|(name, _)| name.as_str())
    }

    /// Returns the version under rollout for a new session of `model`, if `random` selects it
    /// within the rollout's share.
    pub(super) fn rollout_version(
        &self,
        model: &str,
        account: AccountKey,
        random: u64,
    ) -> Option<VersionKey> {
        let spec = &self.index.spec;
        let (name, rollout) = spec
            .rollouts
            .iter()
            .find(|(name, _)| spec.versions.get(*name).is_some_and(|row| row.model == model))?;
        let version = self.names.versions.find(name)?;
        let initial = RolloutState::default();
        let state = self.rollouts.get(name).unwrap_or(&initial);
        let share = state.share(rollout, self.members.rank(name));
        let chosen = random % 100 < u64::from(share);
        let has_replica = !self.replicas.subset(version).is_empty();
        (chosen && has_replica && self.check_version(account, version, false).is_ok())
            .then_some(version)
    }

    /// Counts a request as exposed if its version is under rollout.
    pub(super) fn count_exposed(&mut self, version: VersionKey) {
        if let Some(name) = self.under_rollout(version).map(str::to_owned) {
            self.rollouts.entry(name).or_default().exposed += 1;
        }
    }

    /// Counts a failed attempt as a bad answer if its version is under rollout.
    pub(super) fn record_failure_evidence(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        let RequestTarget::Model { class, .. } = request.target else { return };
        let Some(version) = request.version else { return };
        if let Some(name) = self.under_rollout(version).map(str::to_owned) {
            self.rollouts.entry(name).or_default().add_judged(class, false);
        }
    }

    /// Applies a rating of an answer of `version`; `None` if the rating failed.
    pub(super) fn apply_rating(
        &mut self,
        stamp: EventStamp,
        version: &str,
        class: u8,
        good: Option<bool>,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(good) = good else {
            self.quality.rating_failed();
            return;
        };
        let spec = &self.index.spec;
        if spec.rollouts.contains_key(version) {
            self.rollouts.entry(version.to_owned()).or_default().add_judged(class, good);
            if self.members.rank(version) < CANARY_BOXES {
                self.flush_evidence(stamp, version, out);
            }
        } else if let Some(row) = spec.versions.get(version) {
            let model = row.model.clone();
            self.quality.add(&model, class, good);
        }
    }

    /// Sends collected evidence to the first canary box, at intervals that grow with the number of
    /// boxes.
    pub(super) fn send_evidence(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        /// Number of boxes from which the first canary box receives evidence in a second.
        const BOXES_PER_SECOND: u64 = 50;
        if stamp.now < self.next_evidence {
            return;
        }
        let rounds = (self.members.listed_count() as u64).div_ceil(BOXES_PER_SECOND).max(1);
        self.next_evidence = stamp.now.plus_millis(rounds * HEARTBEAT_INTERVAL_MS);
        let unsent: Vec<String> = self
            .rollouts
            .iter()
            .filter(|(_, state)| !state.unsent.is_empty())
            .map(|(version, _)| version.clone())
            .collect();
        for version in unsent {
            self.flush_evidence(stamp, &version, out);
        }
    }

    fn flush_evidence(&mut self, stamp: EventStamp, version: &str, out: &mut Vec<BoxEffect>) {
        let first_canary = self.members.first_alive(version, stamp.now);
        let Some(state) = self.rollouts.get_mut(version) else { return };
        for (class, count) in std::mem::take(&mut state.unsent) {
            let evidence = RolloutEvidence {
                version: version.to_owned(),
                class: u32::from(class),
                good: count.good,
                bad: count.bad,
            };
            match &first_canary {
                Some(name) => {
                    out.push(BoxEffect::SendPeer(name.clone(), PeerBody::Evidence(evidence)));
                }
                None => self.on_evidence(stamp, &evidence, out),
            }
        }
    }

    /// Adds evidence to the tests. This box is the first canary box, or the sender assumes so.
    pub(super) fn on_evidence(
        &mut self,
        stamp: EventStamp,
        evidence: &RolloutEvidence,
        out: &mut Vec<BoxEffect>,
    ) {
        let Some(spec) = self.index.spec.rollouts.get(&evidence.version).cloned() else { return };
        let class = u8::try_from(evidence.class).unwrap_or(u8::MAX);
        let baseline = self.baseline_bad(&evidence.version, class);
        let state = self.rollouts.entry(evidence.version.clone()).or_default();
        let count = JudgedCount { good: evidence.good, bad: evidence.bad };
        let Some(verdict) = state.add_evidence(&spec, class, count, baseline) else { return };
        let (halted, step) = match verdict {
            GuardVerdict::Halt => (true, state.step),
            GuardVerdict::Step(step) => (false, step),
        };
        let record = VerdictRecord { version: evidence.version.clone(), halted, step };
        self.push_record(LogStream::Verdicts, RecordBody::Verdict(record.clone()));
        self.apply_verdict(&record, out);
        self.append_due(stamp, out);
    }

    /// Share of bad answers of the version that `version` replaces, for a request class.
    fn baseline_bad(&self, version: &str, class: u8) -> f64 {
        let spec = &self.index.spec;
        let Some(model) = spec.versions.get(version).map(|row| &row.model) else {
            return UNKNOWN_BASELINE_BAD;
        };
        let count: QualityCount = self.quality.count(model, class);
        if count.good + count.bad < BASELINE_ANSWERS {
            return UNKNOWN_BASELINE_BAD;
        }
        1.0 - count.mean()
    }

    /// Applies a verdict of this box, of a peer or from the log, and gossips it if it is new.
    pub(super) fn apply_verdict(&mut self, verdict: &VerdictRecord, out: &mut Vec<BoxEffect>) {
        let state = self.rollouts.entry(verdict.version.clone()).or_default();
        if !state.apply_verdict(verdict.halted, verdict.step) {
            return;
        }
        out.push(match verdict.halted {
            true => BoxEffect::RolloutHalted(verdict.version.clone()),
            false => BoxEffect::RolloutStep(verdict.version.clone(), verdict.step),
        });
        self.gossip(PeerBody::Verdict(verdict.clone()), out);
    }
}
