//! The promises, checked from the records of callers and replicas.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::callers::DEADLINE_MS;
use super::recorder::{AskEnd, AskKind, AskRecord, PlayedFault, SoakRecorder};
use super::schedule::SoakFault;
use super::sessions::{check_sessions, PlayedRollout};
use super::site::COLD_PER_S;
use crate::platform::replica::{ReplicaRun, ReplicaStandin};

/// A key that was taken away runs nothing this long after the store's word: the platform's bound.
const REVOKE_LIMIT: Duration = Duration::from_millis(5_000);

/// A leaving replica gets nothing this long after the store's word: the platform's bound.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);

/// A box that was disturbed counts as in touch again after this: the platform's bound.
pub(super) const RECONNECT_LIMIT: Duration = Duration::from_millis(3_000);

/// An emptied zone gets nothing this long after the store's word: the platform's bound.
const EVACUATE_LIMIT: Duration = Duration::from_millis(5_000);

/// Beyond [`COLD_PER_S`] by these a cold replica falls over: the platform's bound.
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Allowed beyond a bound: the machine has other work, and records are made a little late.
const SLACK: Duration = Duration::from_millis(400);

/// Callers may send to a box for this long after it was asked to stop: they keep an answer about addresses for so long.
const STALE_ADDRESS_TIME: Duration = Duration::from_millis(2_000);

/// A request is answered this long after its time at the latest.
const LATE_LIMIT: Duration = Duration::from_millis(1_000);

/// A replica that left, with the store's word of it.
pub struct LeftReplica {
    /// The replica.
    pub replica: ReplicaStandin,
    /// When it came.
    pub came_at: Instant,
    /// For how long it was cold then, in milliseconds.
    pub cold_ms: u64,
    /// When the store had its mark.
    pub marked_at: Instant,
}

/// A span in which the first replica's zone was emptied.
#[derive(Clone, Copy, Debug)]
pub struct EmptiedSpan {
    /// When the store had the order.
    pub ordered_at: Instant,
    /// When it was withdrawn.
    pub withdrawn_at: Instant,
}

/// Everything that a run is judged by.
pub struct SoakRecord<'a> {
    /// Callers' records and faults.
    pub recorder: &'a SoakRecorder,
    /// Replicas that stayed.
    pub replicas: &'a [ReplicaStandin],
    /// Replicas of the version that is brought in.
    pub new_replicas: &'a [ReplicaStandin],
    /// The order to bring it in.
    pub rollout: &'a PlayedRollout,
    /// Spans in which the zone of the first of them was emptied.
    pub emptied: &'a [EmptiedSpan],
    /// Replicas that left.
    pub left: &'a [LeftReplica],
    /// Address of each box.
    pub boxes: &'a [std::net::IpAddr],
}

/// A promise that was broken, in words.
pub type BrokenGuarantee = String;

/// Checks all promises.
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
    broken.extend(check_emptied(record, &faults));
    broken.extend(check_cold(record));
    broken.extend(check_sessions(record, &asks, &faults));
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

/// What a single request shows.
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

/// Whether a body is the is_whole_answer answer of a stand-in to this request.
fn is_whole_answer(ask: &AskRecord, body: &str) -> bool {
    if ask.kind == AskKind::Chat {
        return body == super::site::whole_stream();
    }
    body.ends_with(&format!(" answers {}", ask.id)) && body.matches(" answers ").count() == 1
}

/// A request that a box took ends with an answer, whatever is planned there.
fn check_cut(
    record: &SoakRecord,
    faults: &[PlayedFault],
    ask: &AskRecord,
    ran: usize,
) -> Option<BrokenGuarantee> {
    let AskEnd::Broken(why) = &ask.end else { return None };
    let excused = faults.iter().any(|row| {
        let here = |number: usize| record.boxes[number] == ask.to;
        let excuses = match row.fault {
            SoakFault::BoxKilled(number) | SoakFault::BoxPaused(number) => here(number),
            SoakFault::BoxesKilled => true,
            SoakFault::Replica(..) | SoakFault::ReplicaPath(..) => true,
            _ => false,
        };
        excuses && row.overlaps(ask.sent_at, ask.ended_at, SLACK)
    });
    // One that crosses a close and was passed on to nobody was not taken.
    let crossed = ran == 0 && ask.ended_at - ask.sent_at < SLACK;
    (!excused && !crossed).then(|| format!("a request was cut ({why}): {ask:?}, {ran} runs"))
}

/// A request is answered in its time.
fn check_deadline(
    record: &SoakRecord,
    faults: &[PlayedFault],
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

/// While callers may still send to a box that stops, it answers what it takes.
fn check_stops(
    record: &SoakRecord,
    asks: &[AskRecord],
    faults: &[PlayedFault],
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

/// Whether a box was killed, or stood still, near a request.
fn killed_near(faults: &[PlayedFault], number: usize, ask: &AskRecord) -> bool {
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
    let Some(taken_at) = record.recorder.key_taken_at() else { return Vec::new() };
    let late = |ask: &&AskRecord| {
        ask.second_key && ask.sent_at > taken_at + REVOKE_LIMIT && runs.contains_key(&ask.id)
    };
    let told = |ask: &AskRecord| format!("a key that was taken away ran a request: {ask:?}");
    asks.iter().filter(late).map(told).collect()
}

/// A leaving replica gets nothing from boxes in touch after the bound.
fn check_leaving(record: &SoakRecord, faults: &[PlayedFault]) -> Vec<BrokenGuarantee> {
    let mut broken = Vec::new();
    for left in record.left {
        for run in left.replica.runs() {
            let late = run.at > left.marked_at + DRAIN_LIMIT + SLACK;
            let disturbed = faults.iter().any(|row| {
                may_isolate(row.fault) && row.overlaps(left.marked_at, run.at, RECONNECT_LIMIT)
            });
            if late && !disturbed {
                let after = run.at - left.marked_at;
                broken.push(format!("{} ran {} {after:?} after it left", left.replica.id, run.id));
            }
        }
    }
    broken
}

/// An emptied zone gets nothing from boxes in touch after the bound, until it is given back.
fn check_emptied(record: &SoakRecord, faults: &[PlayedFault]) -> Vec<BrokenGuarantee> {
    let mut broken = Vec::new();
    for (span, run) in record.emptied.iter().flat_map(|span| {
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

/// A cold replica gets from all boxes together no more than it bears.
fn check_cold(record: &SoakRecord) -> Vec<BrokenGuarantee> {
    let bound = (COLD_PER_S * COLD_OVER + COLD_SLACK) as usize;
    let mut broken = Vec::new();
    for left in record.left.iter().filter(|left| left.cold_ms > 0) {
        let until = left.came_at + Duration::from_millis(left.cold_ms);
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

/// Whether a fault takes a box or the store out of touch.
fn may_isolate(fault: SoakFault) -> bool {
    match fault {
        SoakFault::BoxTold(_)
        | SoakFault::Replica(..)
        | SoakFault::ReplicaPath(..)
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
        | SoakFault::StoreSlow
        | SoakFault::StoreLoses
        | SoakFault::StoreCompacts
        | SoakFault::StoreRestored
        | SoakFault::StorePath(..) => true,
    }
}
