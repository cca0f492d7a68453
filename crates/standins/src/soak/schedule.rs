//! Draws the faults of a run from a seed. Each has a start and a length; faults may overlap.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::proxy::ProxyFault;
use crate::platform::replica::ReplicaMode;
use crate::platform::site::{OPERATOR_TOPIC, REPLICA_TOPIC};
use crate::platform::store::StoreOutage;

/// Faults start within this time from the start of traffic.
pub const FAULT_WINDOW: Duration = Duration::from_millis(8_000);

/// Time for recovery between the last fault and the end of a run. Expired entries are back two
/// seconds after the store is, and a box retries within two seconds.
pub const RECOVERY_TIME: Duration = Duration::from_millis(4_500);

/// Time within which a fleet must serve after all its boxes have returned: the platform's bound.
pub const RESTART_RECOVERY_TIME: Duration = Duration::from_millis(12_000);

/// Number of boxes of a site.
pub const BOXES: usize = 3;

/// Number of boxes of a site whose boxes are all killed: more than read the store for the others.
pub const RESTART_BOXES: usize = 7;

/// Number of replicas that stay for the whole run. Others are added and removed.
pub const REPLICAS: usize = 4;

/// Minimum and maximum number of faults of a run, without those that are added separately.
const FAULT_COUNT: (usize, usize) = (4, 9);

/// Longest fault, in milliseconds.
const LONGEST_MS: u64 = 2_500;

/// Longest fault of the store, in milliseconds. Longer than boxes accept keys without the store.
const LONGEST_STORE_MS: u64 = 7_000;

/// Shortest fault, in milliseconds. Many times the pause of a caller between requests.
const SHORTEST_MS: u64 = 150;

/// Earliest start of a fault, in milliseconds. Callers send requests by then.
const FIRST_AT_MS: u64 = 200;

/// Minimum time between the outages of two boxes, in which the first box restarts.
const RESTART_MARGIN: Duration = Duration::from_millis(500);

/// Delay of each piece of data on a delayed network path.
const PATH_DELAY: Duration = Duration::from_millis(80);

/// Event at which a replica aborts or pauses a stream: neither the first nor the last.
const MIDDLE_EVENT: u32 = 3;

/// Replica faults added to every run. There are nine modes, and each must occur often.
const REPLICA_FAULTS: usize = 3;

/// Probability that all boxes are killed at once in a run. Frequent enough among fifty seeds.
const ALL_KILLED_PROBABILITY: f64 = 0.25;

/// Probability that a zone is evacuated in a run, and that a cold replica is added.
const ZONE_EMPTIED_PROBABILITY: f64 = 0.4;

/// Probability that the store is restored from a copy in a run.
const RESTORED_PROBABILITY: f64 = 0.4;

/// Range of the length of an evacuation, in milliseconds. Longer than the time within which the
/// platform requires all boxes to act on it.
const ZONE_EMPTIED_MS: (u64, u64) = (5_500, 9_000);

/// Probability that a box loses its paths to all replicas in a run, and that all boxes do.
const PATHS_LOST_PROBABILITY: f64 = 0.5;
const ALL_PATHS_LOST_PROBABILITY: f64 = 0.15;

/// Probability that a sound replica is silent in a run, and the range of the time, in milliseconds.
const SILENT_PROBABILITY: f64 = 0.4;
const SILENT_MS: (u64, u64) = (500, 1_500);

/// Probability that replicas are brittle in a run.
const BRITTLE_PROBABILITY: f64 = 0.4;

/// Range of the length of faults to which boxes must have adapted before they are over, in
/// milliseconds.
const LONG_FAULT_MS: (u64, u64) = (4_500, 7_500);

/// Number of stops and kills in a series.
const SERIES: u32 = 30;

/// Time between the starts of two faults of a series.
const SERIES_EVERY: Duration = Duration::from_millis(700);

/// Most stops and kills beside lost paths or repeated answers, and their distance as a multiple of that in a series.
const PARTITION_OUTAGES: u32 = 3;
const PARTITION_STRETCH: u32 = 3;

/// Most kills of all boxes in a run of restarts.
const RESTARTS: u32 = 2;

/// Longest time from the start of a store outage to the kill of all boxes beside it, in
/// milliseconds.
const RESTART_LEAD_MS: u64 = 2_000;

/// Range of the length of store outages beside such a kill, in milliseconds. Boxes that have
/// started call the store within a second.
const RESTART_OUTAGE_MS: (u64, u64) = (1_500, 6_000);

/// Range of the time for which a killed box of a series is down, in milliseconds.
const SERIES_AWAY_MS: (u64, u64) = (50, 1_500);

/// A fault that is injected into the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// A box is killed and restarted after the fault's length.
    BoxKilled(usize),
    /// All boxes are killed at once and restarted.
    BoxesKilled,
    /// A box is asked to stop (SIGTERM), and restarted when it has exited.
    BoxStopped(usize),
    /// The process of a box is suspended (SIGSTOP).
    BoxPaused(usize),
    /// A box is told to reload its settings (SIGHUP).
    BoxTold(usize),
    /// The store fails for all boxes, or for one box.
    Store(StoreOutage, Option<usize>),
    /// The store fails for calls to one topic.
    StoreTopic(StoreOutage, &'static str),
    /// The store answers slowly.
    StoreSlow,
    /// The store does an append and does not answer it.
    StoreLoses,
    /// The store compacts its topics: only the newest value of each key stays.
    StoreCompacts,
    /// The store is briefly unreachable, and is restored from a copy that is as old as the fault is
    /// long.
    StoreRestored,
    /// The network path from a box to the store is faulty.
    StorePath(usize, ProxyFault),
    /// A replica misbehaves.
    Replica(usize, ReplicaMode),
    /// The network path to a replica is faulty.
    ReplicaPath(usize, ProxyFault),
    /// The network paths from a box to all replicas are faulty.
    BoxPaths(usize, ProxyFault),
    /// The network paths from all boxes to all replicas are faulty.
    AllPaths(ProxyFault),
    /// A replica reads and writes nothing for a while, and goes on then.
    ReplicaSilent(usize),
    /// All replicas reject drawn requests, and send each whole response again in place of the next one on
    /// its connection.
    RepeatedAnswers(u64),
    /// All replicas say that they are brittle, and one of them has no room.
    Brittle(usize),
    /// A replica is added, announces after the fault's length that it leaves, and is removed.
    ReplicaLeaves,
    /// The zone of the first replica is evacuated until the fault is over.
    ZoneEmptied,
    /// A cold replica is added, which leaves like that of [`SoakFault::ReplicaLeaves`].
    ReplicaCold,
    /// An API key is revoked for good.
    KeyTaken,
    /// A newer plan is written.
    PlanChanged,
}

impl SoakFault {
    /// Whether a box is down or suspended during the fault.
    fn takes_box(self) -> bool {
        matches!(
            self,
            SoakFault::BoxKilled(_)
                | SoakFault::BoxesKilled
                | SoakFault::BoxStopped(_)
                | SoakFault::BoxPaused(_)
        )
    }
}

/// A fault with its start and length.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    /// Start, from the start of traffic.
    pub at: Duration,
    /// Length.
    pub length: Duration,
    /// Kind of fault.
    pub fault: SoakFault,
}

/// Draws the faults of a seed, ordered by their start.
pub fn draw_faults(seed: u64) -> Vec<TimedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.gen_range(FAULT_COUNT.0..=FAULT_COUNT.1);
    let mut faults: Vec<TimedFault> = (0..count).map(|_| draw(&mut rng)).collect();
    faults.extend((0..REPLICA_FAULTS).map(|_| draw_replica_fault(&mut rng)));
    // Drawn last, so that a seed that failed before still draws the same faults up to here.
    if rng.gen_bool(ALL_KILLED_PROBABILITY) {
        faults.push(TimedFault { fault: SoakFault::BoxesKilled, ..draw(&mut rng) });
    }
    if rng.gen_bool(ZONE_EMPTIED_PROBABILITY) {
        let length = Duration::from_millis(rng.gen_range(ZONE_EMPTIED_MS.0..ZONE_EMPTIED_MS.1));
        faults.push(TimedFault { fault: SoakFault::ZoneEmptied, length, ..draw(&mut rng) });
    }
    if rng.gen_bool(ZONE_EMPTIED_PROBABILITY) {
        faults.push(TimedFault { fault: SoakFault::ReplicaCold, ..draw(&mut rng) });
    }
    if rng.gen_bool(RESTORED_PROBABILITY) {
        faults.push(TimedFault { fault: SoakFault::StoreRestored, ..draw(&mut rng) });
    }
    if rng.gen_bool(PATHS_LOST_PROBABILITY) {
        let fault = SoakFault::BoxPaths(rng.gen_range(0..BOXES), draw_loss(&mut rng));
        faults.push(draw_long(&mut rng, fault));
    }
    if rng.gen_bool(ALL_PATHS_LOST_PROBABILITY) {
        let fault = SoakFault::AllPaths(draw_loss(&mut rng));
        faults.push(draw_long(&mut rng, fault));
    }
    if rng.gen_bool(SILENT_PROBABILITY) {
        let length = Duration::from_millis(rng.gen_range(SILENT_MS.0..SILENT_MS.1));
        let fault = SoakFault::ReplicaSilent(rng.gen_range(0..REPLICAS));
        faults.push(TimedFault { fault, length, ..draw(&mut rng) });
    }
    if rng.gen_bool(BRITTLE_PROBABILITY) {
        let fault = SoakFault::Brittle(rng.gen_range(0..REPLICAS));
        faults.push(draw_long(&mut rng, fault));
    }
    // Only one box at a time is down or suspended, so that callers have two others.
    let mut down_until = Duration::ZERO;
    faults.sort_by_key(|row| row.at);
    faults.retain(|row| {
        let takes_box = row.fault.takes_box();
        let free = !takes_box || row.at >= down_until;
        if takes_box && free {
            down_until = row.at + row.length + RESTART_MARGIN;
        }
        free
    });
    faults
}

fn draw_long(rng: &mut StdRng, fault: SoakFault) -> TimedFault {
    let length = Duration::from_millis(rng.gen_range(LONG_FAULT_MS.0..LONG_FAULT_MS.1));
    TimedFault { fault, length, ..draw(rng) }
}

/// Draws how connections fail on a lost path.
fn draw_loss(rng: &mut StdRng) -> ProxyFault {
    let faults = [ProxyFault::Reset, ProxyFault::Refused, ProxyFault::Silent];
    faults[rng.gen_range(0..faults.len())]
}

/// Draws the loss and the return of one box's paths, again and again, and the stops and kills of a
/// series.
pub fn draw_partitions(seed: u64) -> Vec<TimedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let subject = rng.gen_range(0..BOXES);
    let loss = draw_loss(&mut rng);
    let lost = draw_long(&mut rng, SoakFault::BoxPaths(subject, loss));
    let mut faults = vec![TimedFault { at: Duration::from_millis(FIRST_AT_MS), ..lost }];
    faults.extend(draw_some_outages(&mut rng));
    faults
}

/// Draws replicas that reject often and repeat their answers, and the stops and kills beside them.
pub fn draw_repeats(seed: u64) -> Vec<TimedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let repeated = draw_long(&mut rng, SoakFault::RepeatedAnswers(seed));
    let mut faults = vec![TimedFault { at: Duration::from_millis(FIRST_AT_MS), ..repeated }];
    faults.extend(draw_some_outages(&mut rng));
    faults
}

/// Draws a few stops and kills, further apart than in a series.
fn draw_some_outages(rng: &mut StdRng) -> Vec<TimedFault> {
    let outages = rng.gen_range(0..=PARTITION_OUTAGES);
    let draw = |number| {
        let outage = draw_outage_of_box(rng, number);
        TimedFault { at: outage.at * PARTITION_STRETCH, ..outage }
    };
    (0..outages).map(draw).collect()
}

/// Draws a series of stops and kills of random boxes and no other faults. They may hit a box that
/// has just started.
pub fn draw_series(seed: u64) -> Vec<TimedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..SERIES).map(|number| draw_outage_of_box(&mut rng, number)).collect()
}

/// Draws kills of all boxes, each beside one or two outages of the store, in whole or in part.
pub fn draw_restarts(seed: u64) -> Vec<TimedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for _ in 0..rng.gen_range(1..=RESTARTS) {
        let killed = TimedFault { fault: SoakFault::BoxesKilled, ..draw(&mut rng) };
        for _ in 0..rng.gen_range(1..=2) {
            let lead = Duration::from_millis(rng.gen_range(0..RESTART_LEAD_MS));
            let length = rng.gen_range(RESTART_OUTAGE_MS.0..RESTART_OUTAGE_MS.1);
            faults.push(TimedFault {
                at: killed.at.saturating_sub(lead),
                length: Duration::from_millis(length),
                fault: draw_store_part(&mut rng),
            });
        }
        faults.push(killed);
    }
    faults
}

/// Draws an outage of the store for all boxes or one, or of one topic.
fn draw_store_part(rng: &mut StdRng) -> SoakFault {
    let outage = draw_outage(rng);
    match rng.gen_range(0..6) {
        0 => SoakFault::Store(outage, None),
        1 => SoakFault::Store(outage, Some(rng.gen_range(0..BOXES))),
        2 | 3 => SoakFault::StoreTopic(outage, OPERATOR_TOPIC),
        _ => SoakFault::StoreTopic(outage, REPLICA_TOPIC),
    }
}

fn draw_outage_of_box(rng: &mut StdRng, number: u32) -> TimedFault {
    let subject = rng.gen_range(0..BOXES);
    let stops = rng.gen_bool(0.5);
    let fault = if stops { SoakFault::BoxStopped(subject) } else { SoakFault::BoxKilled(subject) };
    let length = Duration::from_millis(rng.gen_range(SERIES_AWAY_MS.0..SERIES_AWAY_MS.1));
    let at = Duration::from_millis(FIRST_AT_MS) + SERIES_EVERY * number;
    TimedFault { at, length, fault }
}

fn draw(rng: &mut StdRng) -> TimedFault {
    let at = Duration::from_millis(rng.gen_range(FIRST_AT_MS..FAULT_WINDOW.as_millis() as u64));
    let fault = draw_fault(rng);
    let store = matches!(fault, SoakFault::Store(..) | SoakFault::StorePath(..));
    let longest = if store { LONGEST_STORE_MS } else { LONGEST_MS };
    TimedFault { at, length: Duration::from_millis(rng.gen_range(SHORTEST_MS..longest)), fault }
}

fn draw_replica_fault(rng: &mut StdRng) -> TimedFault {
    let fault = SoakFault::Replica(rng.gen_range(0..REPLICAS), draw_mode(rng));
    TimedFault { fault, ..draw(rng) }
}

fn draw_fault(rng: &mut StdRng) -> SoakFault {
    let (subject, replica) = (rng.gen_range(0..BOXES), rng.gen_range(0..REPLICAS));
    match rng.gen_range(0..16) {
        0 => SoakFault::BoxKilled(subject),
        1 | 2 => SoakFault::BoxStopped(subject),
        3 => SoakFault::BoxPaused(subject),
        4 => SoakFault::BoxTold(subject),
        5 => SoakFault::Store(draw_outage(rng), None),
        6 => SoakFault::Store(draw_outage(rng), Some(subject)),
        7 => SoakFault::StoreSlow,
        8 => SoakFault::StoreLoses,
        9 => SoakFault::StoreCompacts,
        10 => SoakFault::StorePath(subject, draw_path(rng)),
        11 => SoakFault::ReplicaPath(replica, draw_path(rng)),
        12 => SoakFault::ReplicaLeaves,
        13 => SoakFault::KeyTaken,
        14 => SoakFault::PlanChanged,
        _ => SoakFault::Replica(replica, draw_mode(rng)),
    }
}

fn draw_outage(rng: &mut StdRng) -> StoreOutage {
    let outages = [StoreOutage::Busy, StoreOutage::Silent, StoreOutage::Reset];
    outages[rng.gen_range(0..outages.len())]
}

fn draw_path(rng: &mut StdRng) -> ProxyFault {
    let faults = [
        ProxyFault::Delayed(PATH_DELAY),
        ProxyFault::Reset,
        ProxyFault::CutThere,
        ProxyFault::CutBack,
        ProxyFault::Silent,
    ];
    faults[rng.gen_range(0..faults.len())]
}

fn draw_mode(rng: &mut StdRng) -> ReplicaMode {
    let modes = [
        ReplicaMode::Full,
        ReplicaMode::Failing,
        ReplicaMode::Closing,
        ReplicaMode::Silent,
        ReplicaMode::Surplus,
        ReplicaMode::WrongId,
        ReplicaMode::Unproven,
        ReplicaMode::CutAt(MIDDLE_EVENT),
        ReplicaMode::PauseAt(MIDDLE_EVENT),
    ];
    modes[rng.gen_range(0..modes.len())]
}
