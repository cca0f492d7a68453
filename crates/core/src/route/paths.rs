//! This box's network paths to replicas, apart from the state of the replicas themselves.
//!
//! A connection that fails shows that a path is lost, not that a replica is down: other boxes may
//! still reach it. So a path is kept for each replica, and replicas whose path fails get nothing
//! from this box until a connection succeeds. Their requests are forwarded through another box; see
//! [`super::forward`].
//!
//! If the connections to several replicas fail, the box tries others. If those fail too, it has lost
//! its paths: callers are directed to other boxes, and whatever failed meanwhile is no evidence
//! against replicas, versions or contents. Open connections may outlive the paths, so that answers
//! on them do not show that new connections succeed.

use std::collections::BTreeSet;
use std::ops::Bound;

use serde::Serialize;

use super::backend::{BackendState, BackendTable};
use super::backend_health::UnreachableUpdate;
use super::event::RouteEffect;
use super::request::RouteRequest;
use super::RouteState;
use crate::event::EventStamp;
use crate::ids::ReplicaKey;
use crate::replica::mix;
use crate::time::BoxTime;

/// Time for which a replica gets nothing after a failed connection, in milliseconds. It doubles
/// with each further failure.
pub const PATH_RETRY_FIRST_MS: u64 = 500;

/// Longest such time, in milliseconds. Probes mostly find a restored path sooner.
pub const PATH_RETRY_LIMIT_MS: u64 = 4_000;

/// Consecutive failed connections after which requests leave a replica that may be repeated. A sound
/// replica may be silent for longer than the first of them takes.
pub const LOST_FAILURES: u32 = 2;

/// Replicas whose connections must fail before the box checks all of its paths.
pub const SUSPECT_REPLICAS: usize = 2;

/// Least time between two such checks, in milliseconds.
pub const RECHECK_MS: u64 = 200;

/// Other replicas that are probed then. The paths are lost if none can be connected to.
pub const SUSPECT_PROBES: usize = 3;

/// Replicas that are probed in each tick while the paths are lost.
pub const LOST_PROBES: usize = 2;

/// Time beyond the expected one without a response head after which a replica's path is probed, in
/// milliseconds, if nothing arrives from other replicas either.
pub const SILENCE_MS: u64 = 300;

/// The same while other replicas answer, in milliseconds.
pub const SINGLE_SILENCE_MS: u64 = 1_000;

/// Time for which connections must succeed before callers are directed to the box again, in
/// milliseconds.
pub const RESTORED_MS: u64 = 1_000;

/// Time from the first failed connection within which an answer shows that the replica did not
/// restart meanwhile, in milliseconds.
pub const ALIVE_MS: u64 = 1_500;

/// The path to one replica.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ReplicaPath {
    /// Consecutive failed connections.
    failures: u32,
    /// No request is sent before this time.
    retry_at: BoxTime,
    /// When a response head last arrived or a connection last succeeded.
    reached_at: Option<BoxTime>,
}

impl ReplicaPath {
    /// Records a failed connection. Others that failed at the same time count once.
    fn fail(&mut self, now: BoxTime) {
        if self.is_blocked(now) {
            return;
        }
        let span_ms = (PATH_RETRY_FIRST_MS << self.failures.min(8)).min(PATH_RETRY_LIMIT_MS);
        self.retry_at = now.plus_millis(span_ms);
        self.failures += 1;
    }

    /// Forgets failed connections.
    fn clear(&mut self) {
        self.failures = 0;
        self.retry_at = BoxTime::default();
    }

    /// Whether the replica gets nothing from this box.
    pub(super) fn is_blocked(&self, now: BoxTime) -> bool {
        now < self.retry_at
    }

    /// Whether connections failed for longer than a sound replica may be silent.
    pub(super) fn is_lost(&self, now: BoxTime) -> bool {
        self.is_blocked(now) && self.failures >= LOST_FAILURES
    }

    /// When it is tried again.
    pub(super) fn retry_at(&self) -> BoxTime {
        self.retry_at
    }

    /// Whether anything arrived from the replica since `at`.
    pub(super) fn reached_since(&self, at: BoxTime) -> bool {
        self.reached_at.is_some_and(|reached_at| reached_at >= at)
    }
}

/// What a box knows of its paths as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum PathPhase {
    /// Connections succeed.
    #[default]
    Working,
    /// Connections to several replicas failed, and others are being probed.
    Suspect,
    /// No replica can be connected to.
    Lost,
}

/// The paths of a box.
#[derive(Debug)]
pub(super) struct BoxPaths {
    phase: PathPhase,
    /// When the phase began.
    since: BoxTime,
    /// Replicas whose connections failed since one last succeeded.
    failed: BTreeSet<ReplicaKey>,
    /// Replicas whose last connection failed.
    blocked: BTreeSet<ReplicaKey>,
    /// Replicas that are being probed.
    probing: BTreeSet<ReplicaKey>,
    /// Replicas that are probed to check all paths, in this phase.
    checked: BTreeSet<ReplicaKey>,
    /// Failed probes among them.
    failed_probes: usize,
    /// The blocked replica that was probed last.
    last_probed: ReplicaKey,
    /// When anything last arrived from any replica.
    reached_at: BoxTime,
    /// When the last response head, or piece of a stream, arrived from any replica.
    answered_at: BoxTime,
    /// Whether callers may be directed to this box.
    listed: bool,
}

impl Default for BoxPaths {
    fn default() -> Self {
        Self {
            phase: PathPhase::Working,
            since: BoxTime::default(),
            failed: BTreeSet::new(),
            blocked: BTreeSet::new(),
            probing: BTreeSet::new(),
            checked: BTreeSet::new(),
            failed_probes: 0,
            last_probed: ReplicaKey::default(),
            reached_at: BoxTime::default(),
            answered_at: BoxTime::default(),
            listed: true,
        }
    }
}

impl BoxPaths {
    pub(super) fn phase(&self) -> PathPhase {
        self.phase
    }

    /// Whether the box reaches no replica.
    pub(super) fn is_lost(&self) -> bool {
        self.phase == PathPhase::Lost
    }

    /// Whether connections to several replicas failed, and it is not known why.
    pub(super) fn is_suspect(&self) -> bool {
        self.phase == PathPhase::Suspect
    }

    /// Whether failures say anything about replicas, versions and contents.
    pub(super) fn is_working(&self) -> bool {
        self.phase == PathPhase::Working
    }

    /// Whether callers may be directed to this box.
    pub(super) fn is_listed(&self) -> bool {
        self.listed
    }

    fn enter(&mut self, phase: PathPhase, now: BoxTime) {
        self.phase = phase;
        self.since = now;
        self.begin_check();
    }

    /// Forgets which probes of the last check failed.
    fn begin_check(&mut self) {
        self.checked.clear();
        self.failed_probes = 0;
    }

    /// The next blocked replica to probe, in turns.
    fn next_blocked(&self) -> Option<ReplicaKey> {
        let after = (Bound::Excluded(self.last_probed), Bound::Unbounded);
        let free = |key: &&ReplicaKey| !self.probing.contains(*key);
        let next = self.blocked.range(after).find(free);
        next.or_else(|| self.blocked.iter().find(free)).copied()
    }
}

impl BackendTable {
    /// Whether a service has usable replicas, and the paths to all of them are blocked.
    pub(super) fn all_blocked(&self, service: &str, now: BoxTime) -> bool {
        let keys = self.by_service.get(service).into_iter().flatten();
        let mut usable = keys.map(|key| &self.rows[*key]).filter(|row| row.usable(now)).peekable();
        usable.peek().is_some() && usable.all(|row| row.path.is_blocked(now))
    }

    /// Whether a service has a usable replica whose path is blocked.
    pub(super) fn any_blocked(&self, service: &str, now: BoxTime) -> bool {
        let keys = self.by_service.get(service).into_iter().flatten();
        let mut rows = keys.map(|key| &self.rows[*key]);
        rows.any(|row| row.usable(now) && row.path.is_blocked(now))
    }

    /// Records that something arrived from a replica. It ends what other boxes reported, and shows
    /// that the replica did not restart if the failed connection was recent.
    fn record_reached(&mut self, key: ReplicaKey, now: BoxTime) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.path.reached_at = Some(now);
        row.life.note(now);
        row.reported_until = BoxTime::default();
        if row.unreachable_since.is_some_and(|at| now.millis_since(at) < ALIVE_MS) {
            row.assumed_cold_until = BoxTime::default();
        }
    }

    /// Forgets what failed connections since `since` seemed to show: the paths of this box caused
    /// them.
    fn discard_failures(&mut self, since: BoxTime) {
        for row in self.rows.values_mut() {
            row.assumed_cold_until = BoxTime::default();
            row.unreachable_at = row.unreachable_at.filter(|at| *at < since);
            row.lost.retain(|lost| lost.at < since);
        }
    }

    /// Unblocks the paths to all replicas.
    fn clear_paths(&mut self) {
        for row in self.rows.values_mut() {
            row.path.clear();
        }
    }

    /// Usable replicas to probe in the order of their hashes, those of which no box says that its
    /// connection failed first.
    fn probe_candidates(
        &self,
        paths: &BoxPaths,
        count: usize,
        stamp: EventStamp,
    ) -> Vec<ReplicaKey> {
        let free = |key: &ReplicaKey| !paths.probing.contains(key);
        let rows = self.rows.iter().filter(|(key, row)| row.usable(stamp.now) && free(key));
        let is_down = |key: &ReplicaKey| {
            let is_reported = |row: &BackendState| {
                row.path.is_blocked(stamp.now) || row.reported_until > stamp.now
            };
            paths.failed.contains(key) || self.rows.get(*key).is_some_and(is_reported)
        };
        let order = |row: &(ReplicaKey, u64)| (is_down(&row.0), row.1);
        let mut rows: Vec<(ReplicaKey, u64)> =
            rows.map(|(key, row)| (key, mix(row.id_hash ^ stamp.random))).collect();
        rows.sort_by_key(order);
        rows.truncate(count);
        rows.into_iter().map(|(key, _)| key).collect()
    }
}

impl RouteState {
    /// Records that the connection to a replica failed.
    pub(super) fn note_path_failed(
        &mut self,
        stamp: EventStamp,
        key: ReplicaKey,
        out: &mut Vec<RouteEffect>,
    ) {
        if let Some(row) = self.backends.rows.get_mut(key) {
            let was_blocked = row.path.is_blocked(stamp.now);
            row.path.fail(stamp.now);
            self.paths.blocked.insert(key);
            if !was_blocked && row.outstanding > 0 {
                out.push(RouteEffect::RecheckAttempts);
            }
        }
        self.note_suspicion(stamp, key, out);
    }

    /// Records a failure at a replica that its path may have caused.
    pub(super) fn note_suspicion(
        &mut self,
        stamp: EventStamp,
        key: ReplicaKey,
        out: &mut Vec<RouteEffect>,
    ) {
        self.paths.failed.insert(key);
        let suspicious = SUSPECT_REPLICAS.min(self.backends.rows.len().max(1));
        let is_due = stamp.now.millis_since(self.paths.since) >= RECHECK_MS;
        if self.paths.is_working() && is_due && self.paths.failed.len() >= suspicious {
            self.change_phase(stamp, PathPhase::Suspect, out);
            self.send_probes(stamp, SUSPECT_PROBES, out);
        }
    }

    /// Records that a response head arrived from a replica.
    pub(super) fn note_answered(&mut self, stamp: EventStamp, key: ReplicaKey) {
        self.paths.answered_at = stamp.now;
        self.note_reached(stamp, key);
    }

    fn note_reached(&mut self, stamp: EventStamp, key: ReplicaKey) {
        self.paths.reached_at = stamp.now;
        self.backends.record_reached(key, stamp.now);
    }

    /// Records that a piece of a stream arrived from a replica. It came on an open connection, which
    /// may outlive the path for new ones.
    pub(super) fn note_heard(&mut self, now: BoxTime) {
        self.paths.answered_at = now;
    }

    /// Whether several replicas are overdue, and nothing has arrived from any for a while. New
    /// connections may succeed nevertheless, at a proxy on the path.
    pub(super) fn is_silent_everywhere(&self, now: BoxTime) -> bool {
        if now.millis_since(self.paths.answered_at) < SILENCE_MS {
            return false;
        }
        let attempts = self.requests.values().flat_map(RouteRequest::running_attempts);
        let overdue = attempts.filter(|attempt| match attempt.answer {
            Some(_) => attempt.pauses > 0,
            None => now.millis_since(attempt.began) >= SILENCE_MS + 2 * attempt.expected_ms,
        });
        let replicas: BTreeSet<ReplicaKey> = overdue.map(|attempt| attempt.replica).collect();
        replicas.len() >= SUSPECT_REPLICAS
    }

    /// Applies the outcome of a new connection to a replica.
    pub(super) fn on_path_probed(
        &mut self,
        stamp: EventStamp,
        key: ReplicaKey,
        reached: bool,
        out: &mut Vec<RouteEffect>,
    ) {
        self.paths.probing.remove(&key);
        if reached {
            return self.note_connected(stamp, key, out);
        }
        self.note_path_failed(stamp, key, out);
        // Probes of replicas that failed before show nothing of other paths.
        if self.paths.phase() != PathPhase::Suspect || !self.paths.checked.remove(&key) {
            return;
        }
        self.paths.failed_probes += 1;
        let enough = SUSPECT_PROBES.min(self.backends.rows.len().max(1));
        if self.paths.failed_probes >= enough {
            self.discard_own_failures();
            self.paths.listed = false;
            self.change_phase(stamp, PathPhase::Lost, out);
        }
    }

    /// Records a successful connection. After one, the paths to all replicas are tried again.
    fn note_connected(&mut self, stamp: EventStamp, key: ReplicaKey, out: &mut Vec<RouteEffect>) {
        if self.paths.is_lost() {
            self.discard_own_failures();
            self.backends.clear_paths();
            self.paths.blocked.clear();
        }
        self.note_reached(stamp, key);
        if let Some(row) = self.backends.rows.get_mut(key) {
            row.path.clear();
        }
        self.paths.blocked.remove(&key);
        self.paths.failed.clear();
        if !self.paths.is_working() {
            self.change_phase(stamp, PathPhase::Working, out);
        }
    }

    fn change_phase(&mut self, stamp: EventStamp, phase: PathPhase, out: &mut Vec<RouteEffect>) {
        let lasted_ms = stamp.now.millis_since(self.paths.since);
        let failed = self.paths.failed.len();
        self.paths.enter(phase, stamp.now);
        if phase == PathPhase::Lost {
            out.push(RouteEffect::RecheckAttempts);
        }
        self.rounds.next_round = BoxTime::default();
        out.push(RouteEffect::PathPhaseChanged { phase, lasted_ms, failed });
    }

    /// Discards what this box concluded from failures since anything last arrived.
    fn discard_own_failures(&mut self) {
        let since = self.paths.reached_at;
        let backends = &self.backends;
        let is_down = |replica: u64| backends.is_reported_down(replica, since);
        self.poison.doubt_own(since, &is_down);
        self.backends.discard_failures(since);
    }

    /// Probes paths, as the phase requires.
    pub(super) fn check_paths(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let backends = &self.backends;
        self.paths.blocked.retain(|key| backends.get(*key).is_some());
        self.paths.failed.retain(|key| backends.get(*key).is_some());
        self.paths.probing.retain(|key| backends.get(*key).is_some());
        match self.paths.phase() {
            PathPhase::Working => {
                self.probe_silent(stamp, out);
                self.probe_blocked(out);
                self.list_again(stamp.now);
            }
            PathPhase::Suspect if self.paths.probing.is_empty() => {
                self.paths.begin_check();
                self.send_probes(stamp, SUSPECT_PROBES, out);
            }
            PathPhase::Suspect => {}
            PathPhase::Lost => self.send_probes(stamp, LOST_PROBES, out),
        }
    }

    /// Lets callers be directed to this box again once its paths have worked for a while.
    fn list_again(&mut self, now: BoxTime) {
        if !self.paths.listed && now.millis_since(self.paths.since) >= RESTORED_MS {
            self.paths.listed = true;
            self.rounds.next_round = BoxTime::default();
        }
    }

    fn send_probes(&mut self, stamp: EventStamp, count: usize, out: &mut Vec<RouteEffect>) {
        for key in self.backends.probe_candidates(&self.paths, count, stamp) {
            self.paths.checked.insert(key);
            self.probe(key, out);
        }
    }

    pub(super) fn probe(&mut self, key: ReplicaKey, out: &mut Vec<RouteEffect>) {
        let Some(row) = self.backends.get(key) else { return };
        let address = row.entry.address.clone();
        if self.paths.probing.insert(key) {
            out.push(RouteEffect::ProbePath(key, address));
        }
    }

    fn probe_blocked(&mut self, out: &mut Vec<RouteEffect>) {
        if let Some(key) = self.paths.next_blocked() {
            self.paths.last_probed = key;
            self.probe(key, out);
        }
    }

    /// Probes the paths to replicas that were sent requests and have not answered any since.
    fn probe_silent(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        let all_silent = stamp.now.millis_since(self.paths.reached_at) >= SILENCE_MS;
        let limit_ms = if all_silent { SILENCE_MS } else { SINGLE_SILENCE_MS };
        let mut silent: Vec<(BoxTime, ReplicaKey)> = Vec::new();
        for request in self.requests.values().filter(|request| !request.relayed) {
            let Some(attempt) = request.attempt else { continue };
            let waited_ms = stamp.now.millis_since(attempt.began);
            let overdue = waited_ms >= limit_ms + 2 * attempt.expected_ms;
            let row = self.backends.get(attempt.replica);
            if overdue && row.is_some_and(|row| !row.path.reached_since(attempt.began)) {
                silent.push((attempt.began, attempt.replica));
            }
        }
        silent.sort_unstable();
        silent.dedup_by_key(|row| row.1);
        let count = if all_silent { SUSPECT_PROBES } else { 1 };
        for (_, key) in silent.into_iter().take(count) {
            self.probe(key, out);
        }
    }

    /// Hashes of the services of which this box reaches no replica.
    pub(super) fn unreached_services(&self, now: BoxTime) -> Vec<u64> {
        let rows = self.paths.blocked.iter().filter_map(|key| self.backends.get(*key));
        let services: BTreeSet<&str> = rows.map(|row| row.entry.service.as_str()).collect();
        let unreached =
            services.into_iter().filter(|service| self.backends.all_blocked(service, now));
        unreached.map(super::backend::service_hash).collect()
    }

    /// Replicas that are unreachable, for gossip. While the paths of this box are in doubt, it reports
    /// none.
    pub(super) fn unreachable_updates(&self, now: BoxTime) -> Vec<UnreachableUpdate> {
        if self.paths.is_working() {
            self.backends.unreachable_updates(now)
        } else {
            Vec::new()
        }
    }

    /// What this box knows of its paths to replicas.
    pub fn path_phase(&self) -> PathPhase {
        self.paths.phase()
    }
}
