//! Checks the platform's guarantees against the records of callers and replicas.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::callers::DEADLINE_MS;
use super::exposure::check_exposure;
use super::partitions::check_partitions;
use super::recorder::{AskEnd, AskKind, AskRecord, InjectedFault, SoakRecorder};
use super::schedule::SoakFault;
use super::sessions::{check_sessions, RolloutResult};
use super::site::COLD_PER_S;
use crate::platform::replica::{ReplicaRun, ReplicaStandin};

/// Time after its revocation in the store from which a key runs nothing. The platform's bound.
const REVOKE_LIMIT: Duration = Duration::from_millis(5_000);

/// Time after its draining mark in the store from which a replica gets no requests. The platform's
/// bound.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);

/// Time after a fault from which a box counts as connected again. The platform's bound.
pub(super) const RECONNECT_LIMIT: Duration = Duration::from_millis(3_000);

/// Time after the order in the store from which an evacuated zone gets no requests. The platform's
/// bound.
const EVACUATE_LIMIT: Duration = Duration::from_millis(5_000);

/// Factor and summand by which the requests in a second may exceed [`COLD_PER_S`] before a cold
/// replica fails. The platform's bound.
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Falls of a service's brittle replicas that are allowed: some, and a share of their number. The
/// platform's bound for one time in which they are brittle; runs have one.
const FALLS_ALLOWED: f64 = 2.0;
const FALLS_SHARE: f64 = 0.1;

/// Tolerance beyond a bound, as the machine runs other work and records are made a little late.
pub(super) const SLACK: Duration = Duration::from_millis(400);

/// Time for which callers may still send to a box that was asked to stop, because they cache
/// addresses for this long.
const STALE_ADDRESS_TIME: Duration = Duration::from_millis(2_000);

/// A request is answered at most this long after its deadline.
const LATE_LIMIT: Duration = Duration::from_millis(1_000);

/// A replica that left.
pub struct LeftReplica {
    /// The replica.
    pub replica: ReplicaStandin,
    /// When it was started.
    pub started_at: Instant,
    /// Time for which it was cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// When its entry in the store was marked as draining.
    pub draining_at: Instant,
}

/// A span in which the first replica's zone was evacuated.
#[derive(Clone, Copy, Debug)]
pub struct EvacuationSpan {
    /// When the order was written to the store.
    pub ordered_at: Instant,
    /// When it was withdrawn.
    pub withdrawn_at: Instant,
}

/// The records of a run.
pub struct SoakRecord<'a> {
    /// Records of requests and faults.
    pub recorder: &'a SoakRecorder,
    /// Replicas that stayed.
    pub replicas: &'a [ReplicaStandin],
    /// Replicas of the new version.
    pub new_replicas: &'a [ReplicaStandin],
    /// The rollout of the new version.
    pub rollout: &'a RolloutResult,
    /// Spans in which the zone of the first of `replicas` was evacuated.
    pub evacuated: &'a [EvacuationSpan],
    /// Replicas that left.
    pub left: &'a [LeftReplica],
    /// Address of each box.
    pub boxes: &'a [std::net::IpAddr],
}

/// Description of a guarantee that was broken.
pub type BrokenGuarantee = String;

/// Checks all guarantees.
pub fn judge(record: &SoakRecord) -> Vec<BrokenGuarantee> {
    let asks = record.recorder.asks();
    let faults = record.recorder.faults();
    let runs = runs_by_id(record);
    let mut broken = Vec::new();
    for ask in &asks {
        let ran = runs.get(ask.id.as_str()).map_or(0, Vec::len);
        broken.extend(check_ask(ask, ran).map(|what| format!("{what}: {ask:?}, {ran} runs")));
        broken.extend(check_cut(record, &faults, ask, ran));
        broken.extend(check_deadline(record, &faults, ask));
    }
    broken.extend(check_stops(record, &asks, &faults, &runs));
    broken.extend(check_key(record, &asks, &runs));
    broken.extend(check_leaving(record, &faults));
    broken.extend(check_evacuated(record, &faults));
    broken.extend(check_cold(record));
    broken.extend(check_sessions(record, &asks, &faults));
    broken.extend(check_exposure(record, &faults));
    broken.extend(check_falls(record));
    broken.extend(check_partitions(record.boxes, &asks, &faults));
    broken
}

fn runs_by_id(record: &SoakRecord) -> HashMap<String, Vec<ReplicaRun>> {
    let left = record.left.iter().map(|left| &left.replica);
    let mut runs: HashMap<String, Vec<ReplicaRun>> = HashMap::new();
    let all = record.replicas.iter().chain(record.new_replicas).chain(left);
    for run in all.flat_map(ReplicaStandin::runs) {
        runs.entry(run.id.clone()).or_default().push(run);
    }
    runs
}

/// Checks what a single request shows by its response and its number of runs.
fn check_ask(ask: &AskRecord, ran: usize) -> Option<&'static str> {
    if ask.kind == AskKind::File && ran > 1 {
        return Some("a call that may run once ran more than once");
    }
    let AskEnd::Answered { status, body, retry_after } = &ask.end else { return None };
    match status {
        408 | 421 | 429 | 503 if ask.kind == AskKind::File && ran > 0 => {
            Some("a refusal said that a call has not run, and it ran")
        }
        503 if !retry_after => Some("a refusal says not when to come back"),
        401 if !ask.second_key => Some("a key that is held was denied"),
        403 | 404 => Some("a route that is there was denied"),
        200 if !is_whole_answer(ask, body) => {
            Some("an answer was not the whole answer to its request")
        }
        _ => None,
    }
}

/// Whether a body is the complete response of one replica to this request.
fn is_whole_answer(ask: &AskRecord, body: &str) -> bool {
    if ask.kind == AskKind::Chat {
        return body == super::site::whole_stream();
    }
    body.ends_with(&format!(" answers {}", ask.id)) && body.matches(" answers ").count() == 1
}

/// A request that a box accepted ends with a response, also when the box restarts as planned.
fn check_cut(
    record: &SoakRecord,
    faults: &[InjectedFault],
    ask: &AskRecord,
    ran: usize,
) -> Option<BrokenGuarantee> {
    let AskEnd::Broken(why) = &ask.end else { return None };
    let excused = faults.iter().any(|row| {
        let here = |number: usize| record.boxes[number] == ask.to;
        let excuses = match row.fault {
            SoakFault::BoxKilled(number) | SoakFault::BoxPaused(number) => here(number),
            SoakFault::BoxesKilled => true,
            SoakFault::Replica(..)
            | SoakFault::RepeatedAnswers(_)
            | SoakFault::ReplicaPath(..)
            | SoakFault::AllPaths(..) => true,
            _ => false,
        };
        excuses && row.overlaps(ask.sent_at, ask.ended_at, SLACK)
    });
    // A request that arrives as the connection closes, and ran nowhere, was not accepted.
    let crossed = ran == 0 && ask.ended_at - ask.sent_at < SLACK;
    (!excused && !crossed).then(|| format!("a request was cut ({why}): {ask:?}, {ran} runs"))
}

/// A request is answered by its deadline.
fn check_deadline(
    record: &SoakRecord,
    faults: &[InjectedFault],
    ask: &AskRecord,
) -> Option<BrokenGuarantee> {
    let took = ask.ended_at - ask.sent_at;
    let paused = faults.iter().any(|row| {
        matches!(row.fault, SoakFault::BoxPaused(number) if record.boxes[number] == ask.to)
            && row.overlaps(ask.sent_at, ask.ended_at, SLACK)
    });
    let late = took > Duration::from_millis(DEADLINE_MS) + LATE_LIMIT && !paused;
    late.then(|| format!("a request was held for {took:?}: {ask:?}"))
}

/// A stopping box answers the requests that it accepts while callers may still send to it.
fn check_stops(
    record: &SoakRecord,
    asks: &[AskRecord],
    faults: &[InjectedFault],
    runs: &HashMap<String, Vec<ReplicaRun>>,
) -> Vec<BrokenGuarantee> {
    let mut broken = Vec::new();
    for stop in faults {
        let SoakFault::BoxStopped(number) = stop.fault else { continue };
        let known = stop.from..stop.from + STALE_ADDRESS_TIME;
        let cut = |ask: &&AskRecord| {
            ask.to == record.boxes[number]
                && known.contains(&ask.sent_at)
                && matches!(ask.end, AskEnd::Broken(_))
                && !runs.contains_key(&ask.id)
                && !killed_near(faults, number, ask)
        };
        let cut: Vec<&AskRecord> = asks.iter().filter(cut).collect();
        if let Some(first) = cut.first() {
            let count = cut.len();
            broken.push(format!("box {number} stopped and cut {count} requests, first {first:?}"));
        }
    }
    broken
}

/// Whether a box was killed or suspended near the time of a request.
fn killed_near(faults: &[InjectedFault], number: usize, ask: &AskRecord) -> bool {
    faults.iter().any(|row| {
        let here = match row.fault {
            SoakFault::BoxKilled(killed) | SoakFault::BoxPaused(killed) => killed == number,
            SoakFault::BoxesKilled => true,
            _ => false,
        };
        here && row.overlaps(ask.sent_at, ask.ended_at, SLACK)
    })
}

fn check_key(
    record: &SoakRecord,
    asks: &[AskRecord],
    runs: &HashMap<String, Vec<ReplicaRun>>,
) -> Vec<BrokenGuarantee> {
    let Some(revoked_at) = record.recorder.key_revoked_at() else { return Vec::new() };
    let late = |ask: &&AskRecord| {
        ask.second_key && ask.sent_at > revoked_at + REVOKE_LIMIT && runs.contains_key(&ask.id)
    };
    let describe = |ask: &AskRecord| format!("a key that was taken away ran a request: {ask:?}");
    asks.iter().filter(late).map(describe).collect()
}

/// Connected boxes send nothing to a leaving replica after the bound.
fn check_leaving(record: &SoakRecord, faults: &[InjectedFault]) -> Vec<BrokenGuarantee> {
    let mut broken = Vec::new();
    for left in record.left {
        for run in left.replica.runs() {
            let late = run.at > left.draining_at + DRAIN_LIMIT + SLACK;
            let disturbed = faults.iter().any(|row| {
                may_isolate(row.fault) && row.overlaps(left.draining_at, run.at, RECONNECT_LIMIT)
            });
            if late && !disturbed {
                let after = run.at - left.draining_at;
                broken.push(format!("{} ran {} {after:?} after it left", left.replica.id, run.id));
            }
        }
    }
    broken
}

/// Connected boxes send nothing to an evacuated zone after the bound, until the order is withdrawn.
fn check_evacuated(record: &SoakRecord, faults: &[InjectedFault]) -> Vec<BrokenGuarantee> {
    let mut broken = Vec::new();
    for (span, run) in record.evacuated.iter().flat_map(|span| {
        let runs = record.replicas[0].runs();
        runs.into_iter().map(move |run| (span, run))
    }) {
        let late = run.at > span.ordered_at + EVACUATE_LIMIT + SLACK && run.at < span.withdrawn_at;
        let disturbed = faults.iter().any(|row| {
            may_isolate(row.fault) && row.overlaps(span.ordered_at, run.at, RECONNECT_LIMIT)
        });
        if late && !disturbed {
            let after = run.at - span.ordered_at;
            broken.push(format!("a replica in an emptied zone ran {} after {after:?}", run.id));
        }
    }
    broken
}

/// Brittle replicas fall over no more often than the bound.
fn check_falls(record: &SoakRecord) -> Option<BrokenGuarantee> {
    let replicas = || record.replicas.iter().chain(record.new_replicas);
    let falls: usize = replicas().map(ReplicaStandin::falls).sum();
    let allowed = FALLS_ALLOWED + FALLS_SHARE * replicas().count() as f64;
    (falls as f64 > allowed).then(|| format!("brittle replicas fell over {falls} times"))
}

/// A cold replica gets no more requests from all boxes together than it can serve.
fn check_cold(record: &SoakRecord) -> Vec<BrokenGuarantee> {
    let bound = (COLD_PER_S * COLD_OVER + COLD_SLACK) as usize;
    let mut broken = Vec::new();
    for left in record.left.iter().filter(|left| left.cold_ms > 0) {
        let until = left.started_at + Duration::from_millis(left.cold_ms);
        let times: Vec<Instant> = left.replica.runs().iter().map(|run| run.at).collect();
        let cold = |at: &&Instant| **at < until;
        let second = Duration::from_secs(1);
        let within = |at: &Instant| {
            times.iter().filter(cold).filter(|other| (*at..*at + second).contains(*other)).count()
        };
        let fullest = times.iter().map(within).max().unwrap_or(0);
        if fullest > bound {
            broken.push(format!("cold {} ran {fullest} requests in a second", left.replica.id));
        }
    }
    broken
}

/// Whether a fault may cut a box off from the store or from other boxes.
fn may_isolate(fault: SoakFault) -> bool {
    match fault {
        SoakFault::BoxTold(_)
        | SoakFault::Replica(..)
        | SoakFault::RepeatedAnswers(_)
        | SoakFault::ReplicaPath(..)
        | SoakFault::BoxPaths(..)
        | SoakFault::AllPaths(..)
        | SoakFault::Brittle(..)
        | SoakFault::ReplicaSilent(..)
        | SoakFault::ReplicaLeaves
        | SoakFault::ReplicaCold
        | SoakFault::ZoneEmptied
        | SoakFault::KeyTaken
        | SoakFault::PlanChanged => false,
        SoakFault::BoxKilled(_)
        | SoakFault::BoxesKilled
        | SoakFault::BoxStopped(_)
        | SoakFault::BoxPaused(_)
        | SoakFault::Store(..)
        | SoakFault::StoreTopic(..)
        | SoakFault::StoreSlow
        | SoakFault::StoreLoses
        | SoakFault::StoreCompacts
        | SoakFault::StoreRestored
        | SoakFault::StorePath(..) => true,
    }
}
