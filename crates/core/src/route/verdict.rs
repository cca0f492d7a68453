//! Trials of new versions: orders, evidence of other boxes, verdicts.

use super::event::RouteEffect;
use super::peers::PeerNote;
use super::trial::{TrialOrder, TrialState, TrialVerdict, VersionTrial};
use super::RouteState;
use crate::event::EventStamp;
use crate::time::BoxTime;

/// A box waits this long for each box before it by name, in milliseconds, before it writes a verdict
/// in their place, and this long before it writes it again: a call to the store and its record's way
/// back.
pub const VERDICT_TURN_MS: u64 = 500;

impl RouteState {
    pub(super) fn on_orders(
        &mut self,
        stamp: EventStamp,
        orders: Vec<TrialOrder>,
        out: &mut Vec<RouteEffect>,
    ) {
        for order in orders {
            let known = self.trials.get(&order.service);
            if known.is_some_and(|trial| trial.order.version == order.version) {
                continue;
            }
            self.verdict_at.remove(&order.service);
            let service = order.service.clone();
            let trial = VersionTrial::new(order, stamp.now);
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
            self.take_verdict(verdict, out);
        }
        // An order that was read later may be of a trial that the listing did not show yet.
        let asked_after = self.trials.values_mut().filter(|trial| trial.heard_at <= asked_at);
        asked_after.for_each(|trial| trial.looked = true);
    }

    /// Takes a verdict that stands in the store. A trial that ended never begins anew.
    pub(super) fn take_verdict(&mut self, verdict: TrialVerdict, out: &mut Vec<RouteEffect>) {
        let Some(trial) = self.trials.get_mut(&verdict.service) else { return };
        if trial.order.version != verdict.version {
            return;
        }
        trial.written = true;
        if trial.state == TrialState::Running && verdict.state != TrialState::Running {
            trial.state = verdict.state;
            out.push(moved(trial));
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

    pub(super) fn hear_trials(
        &mut self,
        stamp: EventStamp,
        note: &PeerNote,
        out: &mut Vec<RouteEffect>,
    ) {
        for heard in &note.trials {
            let Some(trial) = self.trials.get_mut(&heard.service) else { continue };
            if trial.order.version != heard.version {
                continue;
            }
            // Who heard of the order first knows best when it was given.
            trial.began = trial.began.min(stamp.now.minus_millis(heard.age_ms));
            trial.peers.insert(note.name.clone(), heard.tallies.clone());
        }
        for verdict in &note.verdicts {
            self.take_verdict(verdict.clone(), out);
        }
    }

    /// Writes what is due: the first live box by name at once, the others in their place if the
    /// store has no word of it by then.
    pub(super) fn judge_trials(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let rank = self.peers.rank(&self.settings.name, stamp.now) as u64;
        for (service, trial) in &self.trials {
            let state = match trial.due(stamp.now) {
                Some(state) => state,
                None if !trial.written => TrialState::Running,
                None => {
                    self.verdict_at.remove(service);
                    continue;
                }
            };
            let first = stamp.now.plus_millis(rank * VERDICT_TURN_MS);
            let at: &mut BoxTime = self.verdict_at.entry(service.clone()).or_insert(first);
            if stamp.now < *at {
                continue;
            }
            *at = stamp.now.plus_millis(2 * VERDICT_TURN_MS);
            out.push(RouteEffect::WriteVerdict(TrialVerdict {
                service: service.clone(),
                version: trial.order.version.clone(),
                state,
            }));
        }
    }

    /// Takes trials on to where they may be by now, and tells the log where that changes a share.
    pub(super) fn advance_trials(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        for trial in self.trials.values_mut() {
            trial.advance(stamp.now);
            let share = trial.share();
            if share == trial.logged_share {
                continue;
            }
            trial.logged_share = share;
            let (runs, bad) = trial.answers();
            out.push(RouteEffect::TrialShareMoved {
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

fn moved(trial: &VersionTrial) -> RouteEffect {
    let (runs, bad) = trial.answers();
    RouteEffect::TrialMoved {
        service: trial.order.service.clone(),
        version: trial.order.version.clone(),
        state: trial.state,
        runs,
        bad,
    }
}
