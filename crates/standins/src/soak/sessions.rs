//! Checks that faults of boxes do not switch sessions between versions during a rollout, which
//! runs with every seed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::judge::{BrokenGuarantee, SoakRecord, RECONNECT_LIMIT};
use super::recorder::{AskEnd, AskRecord, InjectedFault};
use super::schedule::SoakFault;
use crate::platform::replica::ReplicaStandin;
use crate::platform::site::SITE_SERVICE;

/// Version that serves at the start.
pub const OLD_VERSION: &str = "v1";

/// Version that is rolled out.
pub const NEW_VERSION: &str = "v2";

/// Number of replicas of the new version. More than one, as one may be busy.
pub(super) const NEW_REPLICAS: usize = 2;

/// Length of the rollout in its order. The second half starts during the faults, and it ends with
/// the run.
pub(super) const ROLLOUT_TIME: Duration = Duration::from_secs(11);

/// Time without requests after which a session is forgotten. The platform's bound.
const SESSION_TTL: Duration = Duration::from_millis(5_000);

/// Number of requests that may run on another version than the session's previous request. The
/// platform's bound.
const MOVED_LIMIT: usize = 3;

/// The operator's order of the rollout.
pub(super) fn order() -> Value {
    json!({
        "service": SITE_SERVICE, "target_version": NEW_VERSION,
        "duration_s": ROLLOUT_TIME.as_secs(),
    })
}

/// Start and result of a rollout.
pub struct RolloutResult {
    /// When it was ordered.
    pub ordered_at: Instant,
    /// Whether the new version was rolled back by the end of the run.
    pub rolled_back: bool,
    /// Whether the new version is bad. Sessions may leave it then.
    pub is_bad: bool,
}

/// Finds requests that ran on another version than the session's previous request without cause.
pub(super) fn check_sessions(
    record: &SoakRecord,
    asks: &[AskRecord],
    faults: &[InjectedFault],
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

/// Version of the replica that last ran each request, by request id.
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

/// The latest request of the session that ended before this one was sent, unless it is too old.
fn previous_request<'a>(session: &[&'a AskRecord], ask: &AskRecord) -> Option<&'a AskRecord> {
    let recent = |other: &&&AskRecord| {
        other.ended_at <= ask.sent_at && ask.sent_at - other.ended_at < SESSION_TTL
    };
    session.iter().filter(recent).max_by_key(|other| other.ended_at).copied()
}

/// Whether a session must not switch between these versions at this time: to the new one in the
/// first half of the rollout, and back in the second half, unless the new version is bad or was
/// rolled back.
fn is_forbidden(rollout: &RolloutResult, ask: &AskRecord, from: &str, to: &str) -> bool {
    let first_half = ask.ended_at < rollout.ordered_at + ROLLOUT_TIME / 2;
    match (from == OLD_VERSION, to == OLD_VERSION) {
        (true, false) => first_half,
        (false, true) => !first_half && !rollout.rolled_back && !rollout.is_bad,
        _ => false,
    }
}

/// Whether the rollout's progress was lost near this time: all boxes were killed so soon after the
/// store was restored from an older copy that no box could rewrite what the copy lacked.
fn is_progress_lost(faults: &[InjectedFault], from: Instant, until: Instant) -> bool {
    let of = |fault: SoakFault| faults.iter().filter(move |row| row.fault == fault);
    of(SoakFault::BoxesKilled).filter(|killed| killed.overlaps(from, until, RECONNECT_LIMIT)).any(
        |killed| {
            of(SoakFault::StoreRestored).any(|restored| {
                (restored.from..restored.until + RECONNECT_LIMIT).contains(&killed.from)
            })
        },
    )
}

/// Whether a fault keeps a running box from the state that the others share. A kill, a stop or a
/// start does not.
pub(super) fn separates_boxes(fault: SoakFault) -> bool {
    match fault {
        SoakFault::BoxPaused(_)
        | SoakFault::Store(..)
        | SoakFault::StoreTopic(..)
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
        | SoakFault::RepeatedAnswers(_)
        | SoakFault::BoxPaths(..)
        | SoakFault::AllPaths(..)
        | SoakFault::Brittle(..)
        | SoakFault::ReplicaSilent(..)
        | SoakFault::ReplicaPath(..)
        | SoakFault::ReplicaLeaves
        | SoakFault::ReplicaCold
        | SoakFault::ZoneEmptied
        | SoakFault::KeyTaken
        | SoakFault::PlanChanged => false,
    }
}
