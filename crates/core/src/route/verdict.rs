//! Trials in the route state: orders, other boxes' evidence, verdicts and checkpoints.

use std::collections::BTreeMap;

use super::event::RouteEffect;
use super::peers::GossipMessage;
use super::trial::{TrialOrder, TrialState, TrialVerdict, VersionTrial};
use super::trial_progress::TrialCheckpoint;
use super::RouteState;
use crate::event::EventStamp;
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// Before a box writes a verdict, it waits this long for each box of a lower rank, in milliseconds,
/// and twice as long before it writes again: the time for a call to the store and for its record to
/// be read.
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
            // A restored store may show an order that another one has replaced since.
            if restored && known.is_some_and(|trial| trial.history.contains(&order.version)) {
                continue;
            }
            let history = known.map(|trial| trial.history_before(&order.version));
            let serves_already = known.is_some_and(|trial| trial.has_accepted(&order.version));
            self.verdict_at.remove(&order.service);
            let service = order.service.clone();
            let mut trial = VersionTrial::new(order, self.settings.exposure, stamp.now);
            trial.history = history.unwrap_or_default();
            if serves_already {
                trial.state = TrialState::Done;
            }
            // This box knows all records up to a moment ago, and the order was not among them. So
            // the store cannot have a verdict or checkpoint of this trial yet, and asking would
            // cost one call a box.
            trial.verdict_read = self.fresh.age_ms(stamp.now).is_some_and(|age| trial.is_new(age));
            out.push(state_changed(&trial));
            for request in self.requests.values_mut().filter(|request| request.service == service) {
                request.leave_trial();
            }
            self.trials.insert(service, trial);
        }
    }

    /// Applies the store's verdicts on all trials, as of `asked_at`.
    pub(super) fn on_verdicts(
        &mut self,
        asked_at: BoxTime,
        verdicts: Vec<TrialVerdict>,
        out: &mut Vec<RouteEffect>,
    ) {
        for verdict in verdicts {
            self.apply_verdict(verdict, true, out);
        }
        // The listing may lack the verdict of a trial whose order was received after the request.
        for trial in self.trials.values_mut().filter(|trial| trial.received_at <= asked_at) {
            let is_first_read = !trial.verdict_read;
            trial.verdict_read = true;
            // The store has its state already, so it made progress before this box received the
            // order.
            let under_way = trial.written && trial.state == TrialState::Running;
            trial.checkpoint_unread |= is_first_read && under_way;
        }
    }

    /// Applies the store's checkpoints of all trials, as of `asked_at`.
    pub(super) fn on_checkpoints(
        &mut self,
        stamp: EventStamp,
        asked_at: BoxTime,
        checkpoints: Vec<TrialCheckpoint>,
    ) {
        for checkpoint in checkpoints {
            self.apply_checkpoint(stamp, &checkpoint);
        }
        let asked_after = self.trials.values_mut().filter(|trial| trial.received_at <= asked_at);
        asked_after.for_each(|trial| trial.checkpoint_unread = false);
    }

    /// Applies a checkpoint that the store has.
    pub(super) fn apply_checkpoint(&mut self, stamp: EventStamp, checkpoint: &TrialCheckpoint) {
        let Some(trial) = self.trials.get_mut(&checkpoint.service) else { return };
        if trial.order.version == checkpoint.version {
            trial.merge_progress(checkpoint.progress, stamp.now);
            trial.history.merge(&checkpoint.history);
            trial.note_checkpoint(checkpoint.progress);
        }
    }

    /// Applies a verdict that the store has or had in an earlier era. An ended trial never starts
    /// again.
    pub(super) fn apply_verdict(
        &mut self,
        verdict: TrialVerdict,
        is_stored: bool,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(trial) = self.trials.get_mut(&verdict.service) else { return };
        if trial.order.version != verdict.version {
            return;
        }
        let ended = verdict.state != TrialState::Running;
        trial.written |= is_stored && (ended || trial.state == TrialState::Running);
        if trial.state == TrialState::Running && ended {
            trial.state = verdict.state;
            out.push(state_changed(trial));
            // Gossiped with the next tick: until other boxes have it, they send sessions to other
            // versions.
            self.rounds.next_round = BoxTime::default();
        }
    }

    /// Verdicts that the store has, as far as this box knows.
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
        message: &GossipMessage,
        out: &mut Vec<RouteEffect>,
    ) {
        // The store may have lost what a box in an earlier era knows it to have.
        let is_stored = message.era == self.era;
        for update in &message.trials {
            let Some(trial) = self.trials.get_mut(&update.service) else { continue };
            if trial.order.version != update.version {
                continue;
            }
            trial.merge_progress(update.progress, stamp.now);
            trial.history.merge(&update.history);
            if is_stored {
                trial.note_checkpoint(update.checkpoint);
            }
            let incarnation = message.info.incarnation;
            let peer = trial.peers.entry(message.name.clone()).or_default();
            peer.apply(incarnation, &update.stats);
            trial.exposure.apply_peer(&message.name, incarnation, update.exposure);
        }
        for verdict in &message.verdicts {
            self.apply_verdict(verdict.clone(), is_stored, out);
        }
    }

    /// Number of boxes that come before this one in writing verdicts and checkpoints.
    fn duty_rank(&self, now: BoxTime) -> u64 {
        self.peers.rank(&self.local_peer(now), now) as u64
    }

    /// Writes verdicts that are due, and the state of trials that the store has no record of. The
    /// first box by rank does so at once, each other box in its turn if the store has no record by
    /// then.
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
                out.push(RouteEffect::VerdictExplained {
                    service: service.clone(),
                    version: trial.order.version.clone(),
                    state,
                    basis: trial.basis(stamp.now),
                });
                out.push(RouteEffect::WriteVerdict(TrialVerdict {
                    service: service.clone(),
                    version: trial.order.version.clone(),
                    state,
                }));
            }
        }
    }

    /// Writes checkpoints that are due, box by box like verdicts.
    pub(super) fn write_checkpoints(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let rank = self.duty_rank(stamp.now);
        for (service, trial) in &self.trials {
            match trial.checkpoint_due(stamp.now) {
                None => drop(self.checkpoint_at.remove(service)),
                Some(checkpoint)
                    if takes_turn(&mut self.checkpoint_at, service, rank, stamp.now) =>
                {
                    out.push(RouteEffect::WriteCheckpoint(checkpoint));
                }
                Some(_) => {}
            }
        }
    }

    /// Advances all trials to the current time, and logs changed shares.
    pub(super) fn advance_trials(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let store_away = self.store_away(stamp.now);
        for trial in self.trials.values_mut() {
            let settled = trial.carries_at_ms;
            advance(trial, stamp.now, out);
            if trial.carries_at_ms != settled {
                self.rounds.next_round = BoxTime::default();
            }
            let delay = trial.delay(stamp.now).filter(|_| !trial.delay_logged);
            if let Some(delay) = delay {
                trial.delay_logged = true;
                out.push(RouteEffect::CarryDelayed {
                    service: trial.order.service.clone(),
                    version: trial.order.version.clone(),
                    age_ms: trial.age_ms(stamp.now),
                    delay,
                });
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

/// Advances a trial to the current time.
pub(super) fn advance(trial: &mut VersionTrial, now: BoxTime, out: &mut Vec<RouteEffect>) {
    if let Some(finding) = trial.advance(now) {
        let (service, version) = (trial.order.service.clone(), trial.order.version.clone());
        out.push(RouteEffect::VersionRejected { service, version, finding });
    }
}

/// Whether it is this box's turn to write a service's record. Its next turn is then set to a later
/// time.
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

fn state_changed(trial: &VersionTrial) -> RouteEffect {
    let (runs, bad) = trial.answers();
    RouteEffect::TrialStateChanged {
        service: trial.order.service.clone(),
        version: trial.order.version.clone(),
        state: trial.state,
        runs,
        bad,
    }
}
