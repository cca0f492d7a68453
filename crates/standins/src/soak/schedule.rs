//! Faults drawn from a seed: in series, overlapping, each with its beginning and length.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::proxy::ProxyFault;
use crate::platform::replica::ReplicaMode;
use crate::platform::store::StoreOutage;

/// Faults begin within this time.
pub const FAULT_WINDOW: Duration = Duration::from_millis(8_000);

/// After the faults the site is left alone for this long: what lapsed is back two seconds after the
/// store, and a box that waits to try again does so within two.
pub const RECOVERY_TIME: Duration = Duration::from_millis(4_500);

/// Boxes of a site.
pub const BOXES: usize = 3;

/// Replicas of a site that stay; others come and go.
pub const REPLICAS: usize = 4;

/// Least and most faults of a run.
const FAULT_COUNT: (usize, usize) = (4, 9);

/// Longest fault, in milliseconds.
const LONGEST_MS: u64 = 2_500;

/// Longest fault of the store, in milliseconds: past the time for which keys are honoured without it.
const LONGEST_STORE_MS: u64 = 7_000;

/// Shortest fault, in milliseconds. Many times the pause of a caller.
const SHORTEST_MS: u64 = 150;

/// The first fault begins after this, in milliseconds. Callers are at work by then.
const FIRST_AT_MS: u64 = 200;

/// Between two boxes that are taken away, at the least. Time to start the first again.
const RESTART_MARGIN: Duration = Duration::from_millis(500);

/// By this each piece comes later on a disturbed way.
const PATH_DELAY: Duration = Duration::from_millis(80);

/// Event of a stream at which a replica breaks off or pauses: neither the first nor the last.
const MIDDLE_EVENT: u32 = 3;

/// Replicas that misbehave in every run: there are nine ways, and each must come often.
const REPLICA_FAULTS: usize = 3;

/// Part of the runs in which all boxes are killed at once. Often enough among fifty seeds.
const ALL_KILLED_PROBABILITY: f64 = 0.25;

/// Part of the runs in which a zone is emptied, and in which a cold replica comes.
const ZONE_EMPTIED_PROBABILITY: f64 = 0.4;

/// Part of the runs in which the store comes back from a copy.
const RESTORED_PROBABILITY: f64 = 0.4;

/// A zone is emptied for this long, in milliseconds: longer than the platform allows until all boxes act on it.
const ZONE_EMPTIED_MS: (u64, u64) = (5_500, 9_000);

/// Stops and kills of boxes in a series.
const SERIES: u32 = 30;

/// Time between the beginnings of two of them.
const SERIES_EVERY: Duration = Duration::from_millis(700);

/// Shortest and longest time for which a killed box of a series is away, in milliseconds.
const SERIES_AWAY_MS: (u64, u64) = (50, 1_500);

/// What is done to the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// A box is killed and started again after the fault's length.
    BoxKilled(usize),
    /// All boxes are killed at once and started again.
    BoxesKilled,
    /// A box is asked to stop, and started again when it has ended.
    BoxStopped(usize),
    /// A box stands still.
    BoxPaused(usize),
    /// A box is told that its settings changed.
    BoxTold(usize),
    /// The store fails for all, or for one box.
    Store(StoreOutage, Option<usize>),
    /// The store is slow.
    StoreSlow,
    /// Appends are done and not answered.
    StoreLoses,
    /// The store forgets its history.
    StoreCompacts,
    /// The store is away for a moment, and comes back from a copy that is as old as the fault is long.
    StoreRestored,
    /// A box's way to the store is disturbed.
    StorePath(usize, ProxyFault),
    /// A replica misbehaves.
    Replica(usize, ReplicaMode),
    /// The way to a replica is disturbed.
    ReplicaPath(usize, ProxyFault),
    /// A replica is added that says that it leaves, and does when the fault is over.
    ReplicaLeaves,
    /// The zone of the first replica is emptied, and given back when the fault is over.
    ZoneEmptied,
    /// A cold replica is added, which leaves when the fault is over.
    ReplicaCold,
    /// A key is taken away for good.
    KeyTaken,
    /// The plan changes.
    PlanChanged,
}

impl SoakFault {
    /// Whether a box is away while it lasts.
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

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub struct TimedFault {
    /// When it begins, from the start of traffic.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What it is.
    pub fault: SoakFault,
}

/// The faults of a seed, in the order of their beginnings.
pub fn draw_faults(seed: u64) -> Vec<TimedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = rng.gen_range(FAULT_COUNT.0..=FAULT_COUNT.1);
    let mut faults: Vec<TimedFault> = (0..count).map(|_| draw(&mut rng)).collect();
    faults.extend((0..REPLICA_FAULTS).map(|_| draw_replica_fault(&mut rng)));
    // Drawn last: what a seed that once failed draws before it stays the same.
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
    // A box at a time is down, or paused: callers have two others.
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

/// A series of stops and kills of any boxes, which may meet a box that has just started, and nothing else.
pub fn draw_series(seed: u64) -> Vec<TimedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..SERIES).map(|number| draw_outage_of_box(&mut rng, number)).collect()
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
