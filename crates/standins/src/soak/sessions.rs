//! A roll-out runs through every seed: no session is moved to and fro by what happens to boxes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::judge::{BrokenGuarantee, SoakRecord, RECONNECT_LIMIT};
use super::recorder::{AskEnd, AskRecord, PlayedFault};
use super::schedule::SoakFault;
use crate::platform::replica::ReplicaStandin;
use crate::platform::site::SITE_SERVICE;

/// Version that serves at first.
pub const OLD_VERSION: &str = "v1";

/// Version that is brought in.
pub const NEW_VERSION: &str = "v2";

/// Replicas of the new version: one may be busy.
pub(super) const NEW_REPLICAS: usize = 2;

/// Time that the order gives: its second half begins amid the faults, and it ends with the run.
const ROLLOUT_TIME: Duration = Duration::from_secs(11);

/// A session is forgotten after this without a request: the platform's bound.
const SESSION_TTL: Duration = Duration::from_millis(5_000);

/// Requests that may run on another version than the one before them: the platform's bound.
const MOVED_LIMIT: usize = 3;

/// The operator's order.
pub(super) fn order() -> Value {
    json!({
        "service": SITE_SERVICE, "target_version": NEW_VERSION,
        "duration_s": ROLLOUT_TIME.as_secs(),
    })
}

/// How an order went.
pub struct PlayedRollout {
    /// When it was given.
    pub ordered_at: Instant,
    /// Whether the version was rolled back in the end.
    pub rolled_back: bool,
}

/// Requests of a session that ran on another version than the one before them, where that may not be.
pub(super) fn check_sessions(
    record: &SoakRecord,
    asks: &[AskRecord],
    faults: &[PlayedFault],
) -> Vec<BrokenGuarantee> {
    let versions = versions_by_id(record);
    let served = |ask: &&AskRecord| matches!(ask.end, AskEnd::Answered { status: 200, .. });
    let mut sessions: HashMap<u32, Vec<&AskRecord>> = HashMap::new();
    for ask in asks.iter().filter(served) {
        sessions.entry(ask.session).or_default().push(ask);
    }
    let mut moved = Vec::new();
    for ask in sessions.values().flatten() {
        let Some(last) = previous_request(&sessions[&ask.session], ask) else { continue };
        let (Some(from), Some(to)) = (versions.get(&last.id), versions.get(&ask.id)) else {
            continue;
        };
        let disturbed = faults.iter().any(|row| {
            separates_boxes(row.fault) && row.overlaps(last.sent_at, ask.ended_at, RECONNECT_LIMIT)
        });
        let forgotten = is_progress_lost(faults, last.sent_at, ask.ended_at);
        if !disturbed && !forgotten && is_forbidden(record.rollout, ask, from, to) {
            moved.push(format!("{from} then {to}: {last:?}, {ask:?}"));
        }
    }
    if moved.len() <= MOVED_LIMIT {
        return Vec::new();
    }
    moved.insert(0, format!("{} requests ran on another version than their session", moved.len()));
    moved
}

/// Version of the replica that ran a request last, by request id.
fn versions_by_id(record: &SoakRecord) -> HashMap<String, &'static str> {
    let left = record.left.iter().map(|left| &left.replica);
    let old = record.replicas.iter().chain(left).map(|replica| (replica, OLD_VERSION));
    let new = record.new_replicas.iter().map(|replica| (replica, NEW_VERSION));
    let rows = |(replica, version): (&ReplicaStandin, &'static str)| {
        replica.runs().into_iter().map(move |run| (run.at, run.id, version))
    };
    let mut runs: Vec<(Instant, String, &str)> = old.chain(new).flat_map(rows).collect();
    runs.sort_by_key(|run| run.0);
    runs.into_iter().map(|(_, id, version)| (id, version)).collect()
}

/// The request of the session that ended last before this one was sent.
fn previous_request<'a>(session: &[&'a AskRecord], ask: &AskRecord) -> Option<&'a AskRecord> {
    let recent = |other: &&&AskRecord| {
        other.ended_at <= ask.sent_at && ask.sent_at - other.ended_at < SESSION_TTL
    };
    session.iter().filter(recent).max_by_key(|other| other.ended_at).copied()
}

/// Whether a session may not go from one version to the other at this time.
fn is_forbidden(rollout: &PlayedRollout, ask: &AskRecord, from: &str, to: &str) -> bool {
    let first_half = ask.ended_at < rollout.ordered_at + ROLLOUT_TIME / 2;
    match (from == OLD_VERSION, to == OLD_VERSION) {
        (true, false) => first_half,
        (false, true) => !first_half && !rollout.rolled_back,
        _ => false,
    }
}

/// Whether all boxes were killed, near this time, so soon after the store came back from an older copy that nobody could
/// write again what the copy lacked: how far the roll-out had come was known nowhere then.
fn is_progress_lost(faults: &[PlayedFault], from: Instant, until: Instant) -> bool {
    let of = |fault: SoakFault| faults.iter().filter(move |row| row.fault == fault);
    of(SoakFault::BoxesKilled).filter(|killed| killed.overlaps(from, until, RECONNECT_LIMIT)).any(
        |killed| {
            of(SoakFault::StoreRestored).any(|restored| {
                (restored.from..restored.until + RECONNECT_LIMIT).contains(&killed.from)
            })
        },
    )
}

/// Whether a fault keeps a box from what the others know. A kill, a stop or a start doesn't.
fn separates_boxes(fault: SoakFault) -> bool {
    match fault {
        SoakFault::BoxPaused(_)
        | SoakFault::Store(..)
        | SoakFault::StoreSlow
        | SoakFault::StoreLoses
        | SoakFault::StorePath(..) => true,
        SoakFault::BoxKilled(_)
        | SoakFault::BoxesKilled
        | SoakFault::BoxStopped(_)
        | SoakFault::BoxTold(_)
        | SoakFault::StoreCompacts
        | SoakFault::StoreRestored
        | SoakFault::Replica(..)
        | SoakFault::ReplicaPath(..)
        | SoakFault::ReplicaLeaves
        | SoakFault::ReplicaCold
        | SoakFault::ZoneEmptied
        | SoakFault::KeyTaken
        | SoakFault::PlanChanged => false,
    }
}
