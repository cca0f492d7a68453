//! Feeds the learned speeds of replicas: from answers, from attempts without one, and from other
//! boxes.

use super::replica_speed::{stated_factor, SpeedUpdate};
use crate::event::{EventStamp, RequestTicket};
use crate::ids::ReplicaKey;
use crate::route::backend::{BackendState, BackendTable};
use crate::route::event::{AnswerHead, RouteEffect};
use crate::route::request::{RouteRequest, RunningAttempt};
use crate::route::RouteState;
use crate::time::BoxTime;

impl RouteState {
    /// Records the figure of its machine that a replica states.
    pub(in crate::route) fn record_stated(
        &mut self,
        replica: ReplicaKey,
        head: AnswerHead,
        now: BoxTime,
    ) {
        let Some(percent) = head.machine_percent else { return };
        self.backends.note_shared_machine(replica);
        if let Some(row) = self.backends.rows.get_mut(replica) {
            row.speed.state(percent, now);
        }
    }

    /// Returns how many times longer than usual an answer was expected to take at its replica.
    pub(in crate::route) fn answer_slowness(
        &self,
        request: &RouteRequest,
        head: AnswerHead,
    ) -> f64 {
        let Some(attempt) = request.attempt else { return 1.0 };
        if !self.backends.shares_machines(&request.service) {
            return 1.0;
        }
        let row = self.backends.get(attempt.replica);
        let ratio = row.map_or(1.0, |row| row.speed.ratio(attempt.began));
        ratio * stated_factor(head.machine_percent)
    }

    /// Learns from the head of an answer that met an idle queue.
    pub(in crate::route) fn learn_speed(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        head: AnswerHead,
        out: &mut Vec<RouteEffect>,
    ) {
        let was_run = !head.not_run && !head.other_replica && head.proven && head.status < 300;
        let was_queued = head.load.is_some_and(|load| load.waiting > 0);
        if !was_run || was_queued {
            return;
        }
        let factor = stated_factor(head.machine_percent);
        let Some((attempt, sample)) = self.speed_sample(stamp, ticket, factor) else { return };
        let Some(request) = self.requests.get(&ticket) else { return };
        let sample = self.speeds.relative(&request.route.name, sample);
        self.apply_sample(stamp, attempt.replica, sample, out);
    }

    /// Learns from an attempt without a head, if it took longer than the replica is known to take.
    pub(in crate::route) fn learn_silence(
        &mut self,
        stamp: EventStamp,
        ticket: RequestTicket,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.relayed {
            return;
        }
        let Some((attempt, sample)) = self.speed_sample(stamp, ticket, 1.0) else { return };
        let Some(request) = self.requests.get(&ticket) else { return };
        let Some(row) = self.backends.get(attempt.replica) else { return };
        let ratio = row.speed.ratio(stamp.now);
        let Some(sample) = self.speeds.peek_relative(&request.route.name, sample) else { return };
        if sample > ratio.ln() {
            self.apply_sample(stamp, attempt.replica, sample, out);
        }
    }

    /// Returns the sample of the current attempt as if its answer began now, if it counts.
    fn speed_sample(
        &self,
        stamp: EventStamp,
        ticket: RequestTicket,
        factor: f64,
    ) -> Option<(RunningAttempt, f64)> {
        let request = self.requests.get(&ticket)?;
        let attempt = request.attempt?;
        let row = self.backends.get(attempt.replica)?;
        let counts = attempt.was_idle
            && self.backends.shares_machines(&request.service)
            && !row.is_cold(stamp.now);
        let took_ms = (stamp.now.micros_since(attempt.began) as f64 / 1_000.0).max(1.0);
        counts.then(|| (attempt, (took_ms / (attempt.usual_ms.max(1.0) * factor)).ln()))
    }

    fn apply_sample(
        &mut self,
        stamp: EventStamp,
        replica: ReplicaKey,
        sample: f64,
        out: &mut Vec<RouteEffect>,
    ) {
        let Some(row) = self.backends.rows.get_mut(replica) else { return };
        row.learn_speed(sample, stamp.now);
        let id_hash = row.id_hash;
        self.speeds.announce(id_hash, sample, self.rounds.last_number + 1, stamp.now);
        self.report_speed(stamp.now, replica, out);
    }

    /// Applies the samples in a message that are not in an earlier one up to `received`.
    pub(in crate::route) fn apply_speeds(
        &mut self,
        now: BoxTime,
        updates: &[SpeedUpdate],
        (number, received): (u64, u64),
        out: &mut Vec<RouteEffect>,
    ) {
        let is_new =
            |update: &SpeedUpdate| number.saturating_sub(u64::from(update.messages_ago)) > received;
        let limit = super::replica_speed::SPEEDS_PER_MESSAGE;
        for update in updates.iter().take(limit).filter_map(|update| update.checked()) {
            if is_new(&update) {
                if let Some(key) = self.backends.apply_speed(&update, now) {
                    self.report_speed(now, key, out);
                }
            }
        }
    }

    /// Reports a ratio that changed by a quarter, with the extremes of its service.
    fn report_speed(&mut self, now: BoxTime, replica: ReplicaKey, out: &mut Vec<RouteEffect>) {
        let Some(row) = self.backends.rows.get_mut(replica) else { return };
        let Some(ratio) = row.speed.take_change(now) else { return };
        let (id, service) = (row.entry.id.clone(), row.entry.service.clone());
        let (fastest, slowest) = self.backends.speed_extremes(&service, now);
        out.push(RouteEffect::SpeedChanged { replica: id, service, ratio, fastest, slowest });
    }
}

impl BackendState {
    /// Learns a sample of its speed.
    fn learn_speed(&mut self, sample: f64, now: BoxTime) {
        self.speed.learn(sample, now);
        self.backlog.set_slowness(self.speed.ratio(now), now);
    }
}

impl BackendTable {
    /// Applies samples of another box, and returns the replica if they count.
    fn apply_speed(&mut self, update: &SpeedUpdate, now: BoxTime) -> Option<ReplicaKey> {
        let key = *self.hashes.get(&update.replica)?;
        if !self.shares_machines(&self.rows[key].entry.service) {
            return None;
        }
        let sample = (f64::from(update.percent) / 100.0).ln();
        for _ in 0..update.samples {
            self.rows[key].learn_speed(sample, now);
        }
        Some(key)
    }

    /// Returns the lowest and the highest ratio of a service's replicas.
    fn speed_extremes(&self, service: &str, now: BoxTime) -> (f64, f64) {
        let keys = self.by_service.get(service).into_iter().flatten();
        let ratios = keys.map(|key| self.rows[*key].speed.ratio(now));
        let widen = |(least, most): (f64, f64), ratio: f64| (least.min(ratio), most.max(ratio));
        ratios.fold((f64::INFINITY, 0.0), widen)
    }
}
