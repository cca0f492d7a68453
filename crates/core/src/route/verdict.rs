//! Trials of new versions: orders, evidence of other boxes, verdicts.

use std::collections::BTreeMap;

use super::event::RouteEffect;
use super::peers::GossipMessage;
use super::trial::{TrialOrder, TrialState, TrialVerdict, VersionTrial};
use super::trial_progress::TrialCheckpoint;
use super::RouteState;
use crate::event::EventStamp;
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// A box waits this long for each box before it by rank, in milliseconds, before it writes a verdict
/// in their place, and this long before it writes it again: a call to the store and its record's way
/// back.
pub const VERDICT_TURN_MS: u64 = 500;

impl RouteState {
    pub(super) fn on_orders(
        &mut self,
        stamp: EventStamp,
        read_to: TopicPosition,
        orders: Vec<TrialOrder>,
        out: &mut Vec<RouteEffect>,
    ) {
        let restored = self.orders_era > 0 && read_to.era > self.orders_era;
        self.orders_era = self.orders_era.max(read_to.era);
        for order in orders {
            let known = self.trials.get(&order.service);
            if known.is_some_and(|trial| trial.order.version == order.version) {
                continue;
            }
            // A copy of the store may show an order that another one has replaced since.
            if restored && known.is_some_and(|trial| trial.replaced.contains(&order.version)) {
                continue;
            }
            let replaced = known.map(VersionTrial::replaced_versions).unwrap_or_default();
            self.verdict_at.remove(&order.service);
            let service = order.service.clone();
            let mut trial = VersionTrial::new(order, stamp.now);
            trial.replaced = replaced;
            // All records of some moments ago are known, and this was not among them: the store can have no
            // verdict or mark of it yet, and each box that would ask is a call.
            trial.looked = self.fresh.age_ms(stamp.now).is_some_and(|age| trial.is_new(age));
            out.push(moved(&trial));
            self.trials.insert(service, trial);
        }
    }

    /// Takes the store's word of all trials, as of `asked_at`.
    pub(super) fn on_verdicts(
        &mut self,
        asked_at: BoxTime,
        verdicts: Vec<TrialVerdict>,
        out: &mut Vec<RouteEffect>,
    ) {
        for verdict in verdicts {
            self.apply_verdict(verdict, true, out);
        }
        // An order that was read later may be of a trial that the listing did not show yet.
        for trial in self.trials.values_mut().filter(|trial| trial.heard_at <= asked_at) {
            let first = !trial.looked;
            trial.looked = true;
            // The store has word of it already: it came some way before this box heard of it.
            let under_way = trial.written && trial.state == TrialState::Running;
            trial.mark_unread |= first && under_way;
        }
    }

    /// Takes the store's marks of all trials, as of `asked_at`.
    pub(super) fn on_checkpoints(
        &mut self,
        stamp: EventStamp,
        asked_at: BoxTime,
        marks: Vec<TrialCheckpoint>,
    ) {
        for mark in marks {
            self.apply_checkpoint(stamp, &mark);
        }
        let asked_after = self.trials.values_mut().filter(|trial| trial.heard_at <= asked_at);
        asked_after.for_each(|trial| trial.mark_unread = false);
    }

    /// Takes a mark that stands in the store.
    pub(super) fn apply_checkpoint(&mut self, stamp: EventStamp, mark: &TrialCheckpoint) {
        let Some(trial) = self.trials.get_mut(&mark.service) else { return };
        if trial.order.version == mark.version {
            trial.learn(mark.progress, stamp.now);
            trial.note_marked(mark.progress);
        }
    }

    /// Takes a verdict, which stands in the store or did in a former era. A trial that ended never begins anew.
    pub(super) fn apply_verdict(
        &mut self,
        verdict: TrialVerdict,
        stands: bool,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(trial) = self.trials.get_mut(&verdict.service) else { return };
        if trial.order.version != verdict.version {
            return;
        }
        let ended = verdict.state != TrialState::Running;
        trial.written |= stands && (ended || trial.state == TrialState::Running);
        if trial.state == TrialState::Running && ended {
            trial.state = verdict.state;
            out.push(moved(trial));
            // Told with the next tick: until they know, other boxes give sessions to other versions.
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Verdicts that this box knows to stand in the store.
    pub(super) fn verdicts(&self) -> Vec<TrialVerdict> {
        let written = self.trials.values().filter(|trial| trial.written);
        written
            .map(|trial| TrialVerdict {
                service: trial.order.service.clone(),
                version: trial.order.version.clone(),
                state: trial.state,
            })
            .collect()
    }

    pub(super) fn apply_trials(
        &mut self,
        stamp: EventStamp,
        note: &GossipMessage,
        out: &mut Vec<RouteEffect>,
    ) {
        // What a box knows to stand in the store of a former era, the store may have lost.
        let stands = note.era == self.era;
        for heard in &note.trials {
            let Some(trial) = self.trials.get_mut(&heard.service) else { continue };
            if trial.order.version != heard.version {
                continue;
            }
            trial.learn(heard.progress, stamp.now);
            if stands {
                trial.note_marked(heard.marked);
            }
            trial.peers.insert(note.name.clone(), heard.tallies.clone());
        }
        for verdict in &note.verdicts {
            self.apply_verdict(verdict.clone(), stands, out);
        }
    }

    /// How many boxes come before this one in writing what is due.
    fn duty_rank(&self, now: BoxTime) -> u64 {
        self.peers.rank(&self.local_peer(now), now) as u64
    }

    /// Writes what is due: the first box with duties at once, the others in their place if the
    /// store has no word of it by then.
    pub(super) fn judge_trials(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let rank = self.duty_rank(stamp.now);
        for (service, trial) in &self.trials {
            let state = match trial.due(stamp.now) {
                Some(state) => state,
                None if !trial.written => trial.state,
                None => {
                    self.verdict_at.remove(service);
                    continue;
                }
            };
            if takes_turn(&mut self.verdict_at, service, rank, stamp.now) {
                out.push(RouteEffect::WriteVerdict(TrialVerdict {
                    service: service.clone(),
                    version: trial.order.version.clone(),
                    state,
                }));
            }
        }
    }

    /// Marks in the store how far trials have come, box by box as verdicts are written.
    pub(super) fn write_checkpoints(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let rank = self.duty_rank(stamp.now);
        for (service, trial) in &self.trials {
            match trial.mark_due(stamp.now) {
                None => drop(self.checkpoint_at.remove(service)),
                Some(mark) if takes_turn(&mut self.checkpoint_at, service, rank, stamp.now) => {
                    out.push(RouteEffect::WriteCheckpoint(mark));
                }
                Some(_) => {}
            }
        }
    }

    /// Takes trials on to where they may be by now, and tells the log where that changes a share.
    pub(super) fn advance_trials(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let store_away = self.store_away(stamp.now);
        for trial in self.trials.values_mut() {
            let settled = trial.carries_at_ms;
            advance(trial, stamp.now, out);
            if trial.carries_at_ms != settled {
                self.rounds.next_round = BoxTime::default();
            }
            let share = trial.share(stamp.now, store_away);
            if share == trial.logged_share {
                continue;
            }
            trial.logged_share = share;
            let (runs, bad) = trial.answers();
            out.push(RouteEffect::TrialShareChanged {
                service: trial.order.service.clone(),
                version: trial.order.version.clone(),
                share,
                age_ms: trial.age_ms(stamp.now),
                runs,
                bad,
            });
        }
    }
}

/// Takes a trial on to where it may be by now.
pub(super) fn advance(trial: &mut VersionTrial, now: BoxTime, out: &mut Vec<RouteEffect>) {
    if let Some(finding) = trial.advance(now) {
        let (service, version) = (trial.order.service.clone(), trial.order.version.clone());
        out.push(RouteEffect::VersionRejected { service, version, finding });
    }
}

/// Whether it is this box's turn to write what is due of a service; its next turn comes later.
fn takes_turn(
    turns: &mut BTreeMap<String, BoxTime>,
    service: &str,
    rank: u64,
    now: BoxTime,
) -> bool {
    let first = now.plus_millis(rank * VERDICT_TURN_MS);
    let at = turns.entry(service.to_owned()).or_insert(first);
    if now < *at {
        return false;
    }
    *at = now.plus_millis(2 * VERDICT_TURN_MS);
    true
}

fn moved(trial: &VersionTrial) -> RouteEffect {
    let (runs, bad) = trial.answers();
    RouteEffect::TrialStateChanged {
        service: trial.order.service.clone(),
        version: trial.order.version.clone(),
        state: trial.state,
        runs,
        bad,
    }
}
