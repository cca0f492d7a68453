//! Many boxes that start together, in virtual time: who reads the store, how often it is called, and how
//! soon all know what changes. Datagrams take a while and some are lost; the store answers after 4 ms.

use std::collections::BinaryHeap;

use ravenspoke_core::event::EventStamp;
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::evacuation::{EvacuationRead, ZoneOrder};
use ravenspoke_core::route::event::{RouteEffect, RouteEvent};
use ravenspoke_core::route::peers::{PeerNote, ASKERS_LIMIT, READERS_MIN};
use ravenspoke_core::route::{RouteSettings, RouteState};
use ravenspoke_core::time::{BoxTime, WallTime};

use crate::fixture::{entry, plan, settings};

/// One way between two boxes, in milliseconds.
const WAY_MS: u64 = 2;

/// A call to the store, in milliseconds.
const CALL_MS: u64 = 4;

/// A reader's read waits so long for a record, in milliseconds.
const WAIT_MS: u64 = 1_000;

/// Boxes that all others are told to ask first.
const SEEDS: usize = 3;

/// Availability zones that the boxes lie in.
const ZONES: usize = 6;

/// Pauses between two tries of a store that is away, in milliseconds: the least and the most of a reader, then of
/// any other box.
const RETRIES_MS: [(u64, u64); 2] = [(250, 500), (1_000, 8_000)];

/// Datagrams lost of 100.
const LOST: u64 = 3;

/// What happens to a box.
#[derive(Clone, Debug)]
enum Step {
    Tick,
    LookForPlan,
    LookForEntries,
    LookForBoxes,
    PlanRead { asked_at: u64, shown_at: u64 },
    EntriesRead { asked_at: u64, listing: bool },
    BoxesRead,
    Hear(Box<RouteEvent>),
}

struct Due {
    at: u64,
    number: u64,
    to: usize,
    life: u32,
    step: Step,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

struct FleetBox {
    state: RouteState,
    life: u32,
    dead: bool,
    calls: u32,
    /// Pause before its next try of the store, while that is away, in milliseconds.
    retry_ms: u64,
}

/// A fleet before a store.
struct Fleet {
    boxes: Vec<FleetBox>,
    steps: BinaryHeap<Due>,
    now: u64,
    random: u64,
    /// Versions of the plan, with when the store took them; the offset is the index.
    plans: Vec<u64>,
    /// Entries of replicas and when the store took them; the offset is the index.
    entries: Vec<(u64, BackendChange)>,
    listed: Vec<String>,
    /// Until when the store refuses all calls.
    away_until: u64,
    /// Notes that were sent within an availability zone, and to another.
    notes: [u64; 2],
}

impl Fleet {
    /// A fleet of `count` boxes that are told of three of them, started within a tenth of a second.
    fn start(count: usize) -> Self {
        let mut fleet = Self {
            boxes: Vec::new(),
            steps: BinaryHeap::new(),
            now: 0,
            random: 11,
            plans: vec![0],
            entries: Vec::new(),
            listed: Vec::new(),
            away_until: 0,
            notes: [0; 2],
        };
        for number in 0..count {
            let state = RouteState::new(fleet.settings(number, 0));
            fleet.boxes.push(FleetBox { state, life: 0, dead: false, calls: 0, retry_ms: 0 });
        }
        for number in 0..count {
            let at = fleet.draw(100);
            fleet.launch(number, at);
        }
        fleet
    }

    fn settings(&self, number: usize, life: u32) -> RouteSettings {
        RouteSettings {
            incarnation: u64::from(life) + 1,
            is_seed: number < SEEDS,
            zone: format!("zone-{}", number % ZONES),
            ..settings(&format!("box-{number}"))
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) % below
    }

    fn push(&mut self, at: u64, to: usize, step: Step) {
        let number = self.steps.len() as u64 + (self.now << 24) + self.draw(1 << 20);
        let life = self.boxes[to].life;
        self.steps.push(Due { at, number, to, life, step });
    }

    /// Starts a box's tasks.
    fn launch(&mut self, number: usize, at: u64) {
        let seeds = (0..SEEDS).map(|seed| format!("box-{seed}:90")).collect();
        self.push(at, number, Step::Hear(Box::new(RouteEvent::PeersNamed(seeds))));
        for step in [Step::Tick, Step::LookForPlan, Step::LookForEntries, Step::LookForBoxes] {
            self.push(at + 1, number, step);
        }
    }

    fn kill(&mut self, number: usize) {
        self.boxes[number].dead = true;
        self.boxes[number].life += 1;
    }

    /// Kills all boxes and starts them anew within 300 ms.
    fn restart_all(&mut self) {
        for number in 0..self.boxes.len() {
            self.kill(number);
            let life = self.boxes[number].life;
            self.boxes[number].state = RouteState::new(self.settings(number, life));
            self.boxes[number].dead = false;
            let at = self.now + self.draw(300);
            self.launch(number, at);
        }
    }

    fn put(&mut self, id: &str, leaving: bool) {
        let entry = BackendEntry { leaving, ..entry(id, "v1") };
        let at = self.entries.len() as u64;
        let change = BackendChange { id: id.to_owned(), at, entry: Some(entry) };
        self.entries.push((self.now, change));
    }

    fn run_until(&mut self, until: u64) {
        while self.steps.peek().is_some_and(|due| due.at <= until) {
            let due = self.steps.pop().expect("a step is due");
            self.now = due.at;
            let subject = &self.boxes[due.to];
            if !subject.dead && subject.life == due.life {
                self.take(due.to, due.step);
            }
        }
        self.now = until;
    }

    fn feed(&mut self, to: usize, event: RouteEvent) {
        let dice = self.draw(1 << 31) << 31 | self.draw(1 << 31);
        let now = BoxTime::from_millis(self.now);
        let effects =
            self.boxes[to].state.apply(EventStamp { now, wall: WallTime(0), dice }, event);
        for effect in effects {
            match effect {
                RouteEffect::SendNotes(targets, note) => {
                    for target in targets {
                        let far = number_of(&target) % ZONES != to % ZONES;
                        self.notes[usize::from(far)] += u64::from(note.echo.is_none());
                        self.send(&target, RouteEvent::PeerHeard(note.clone()));
                    }
                }
                RouteEffect::SendAsk(target, ask) => {
                    self.send(&target, RouteEvent::PeerAsked(ask));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, target: &str, event: RouteEvent) {
        let number = number_of(target);
        let lost = self.draw(100) < LOST;
        if !lost {
            self.push(self.now + WAY_MS, number, Step::Hear(Box::new(event)));
        }
    }

    fn take(&mut self, to: usize, step: Step) {
        let now = BoxTime::from_millis(self.now);
        let state = &self.boxes[to].state;
        let look = self.now + if state.knows_site() { 200 } else { 20 };
        match step {
            Step::Tick => {
                let next = self.now + if state.knows_site() { 200 } else { 40 };
                self.feed(to, RouteEvent::Tick);
                self.push(next, to, Step::Tick);
            }
            Step::LookForPlan if state.must_read(now) && self.is_away() => self.fail(to, step),
            Step::LookForEntries if state.must_read_entries(now) && self.is_away() => {
                self.fail(to, step);
            }
            Step::LookForPlan if state.must_read(now) => {
                let waits = state.waits_for_plan(now);
                let known = state.read_to() as usize;
                let next = self.plans.get(known).copied();
                // The test writes to the store only between two runs, at a time it knows by then.
                let held = if waits && next.is_none() { WAIT_MS } else { 0 };
                self.boxes[to].calls += 1;
                let at = self.now + held + CALL_MS;
                let shown_at = self.now + held;
                self.push(at, to, Step::PlanRead { asked_at: self.now, shown_at });
            }
            Step::LookForEntries if state.must_read_entries(now) => {
                let listing = state.entries_to().is_none();
                let known = state.entries_to().unwrap_or(0) as usize;
                let waits = state.is_reader(now) && !listing && known >= self.entries.len();
                self.boxes[to].calls += 1;
                let at = self.now + CALL_MS + if waits { WAIT_MS / 4 } else { 0 };
                self.push(at, to, Step::EntriesRead { asked_at: self.now, listing });
            }
            Step::LookForBoxes if state.wants_boxes(now) => {
                self.boxes[to].calls += 2;
                self.listed.push(format!("box-{to}:90"));
                self.push(self.now + 2 * CALL_MS, to, Step::BoxesRead);
            }
            Step::LookForPlan | Step::LookForEntries | Step::LookForBoxes => {
                self.push(look, to, step);
            }
            // A read that waits is cut when the store goes away.
            Step::PlanRead { .. } if self.is_away() => self.fail(to, Step::LookForPlan),
            Step::EntriesRead { .. } if self.is_away() => self.fail(to, Step::LookForEntries),
            Step::PlanRead { asked_at, shown_at } => {
                self.regain(to);
                self.read_plan(to, if shown_at > asked_at { shown_at } else { asked_at });
                self.push(self.now + 1, to, Step::LookForPlan);
            }
            Step::EntriesRead { asked_at, listing } => {
                self.read_entries(to, asked_at, listing);
                self.push(self.now + 1, to, Step::LookForEntries);
            }
            Step::BoxesRead => {
                self.feed(to, RouteEvent::PeersNamed(self.listed.clone()));
                self.push(self.now + 60_000, to, Step::LookForBoxes);
            }
            Step::Hear(event) => {
                if let RouteEvent::PeerHeard(note) = &*event {
                    self.take_records(to, note);
                }
                self.feed(to, *event);
            }
        }
    }

    fn is_away(&self) -> bool {
        self.now < self.away_until
    }

    /// A call that the store refused; it is tried again after a pause.
    fn fail(&mut self, to: usize, step: Step) {
        self.feed(to, RouteEvent::StoreFailed);
        let reader = self.boxes[to].state.is_reader(BoxTime::from_millis(self.now));
        let (least, most) = RETRIES_MS[usize::from(!reader)];
        let subject = &mut self.boxes[to];
        subject.calls += 1;
        let pause = subject.retry_ms.clamp(least, most);
        subject.retry_ms = pause * 2;
        let jitter = self.draw(pause / 4);
        self.push(self.now + pause + jitter, to, step);
    }

    fn regain(&mut self, to: usize) {
        if std::mem::take(&mut self.boxes[to].retry_ms) > 0 {
            self.feed(to, RouteEvent::StoreBack);
        }
    }

    /// The newest plan that the store had at `at`, with the offset behind it.
    fn plan_at(&self, at: u64) -> (u64, u64) {
        let count = self.plans.iter().filter(|written| **written <= at).count() as u64;
        (count, count)
    }

    fn read_plan(&mut self, to: usize, shown_at: u64) {
        let (version, read_to) = self.plan_at(shown_at);
        let asked_at = BoxTime::from_millis(shown_at);
        self.feed(to, RouteEvent::PlanRead { asked_at, read_to, plan: Some(plan(version)) });
    }

    fn read_entries(&mut self, to: usize, asked_at: u64, listing: bool) {
        let known = self.boxes[to].state.entries_to().unwrap_or(0);
        let there: Vec<BackendChange> = self
            .entries
            .iter()
            .filter(|(at, change)| *at <= asked_at && (listing || change.at >= known))
            .map(|row| row.1.clone())
            .collect();
        let end = self.entries.iter().filter(|(at, _)| *at <= asked_at).count() as u64;
        self.feed(
            to,
            if listing {
                RouteEvent::BackendsListed { end, listed: there }
            } else {
                RouteEvent::BackendsChanged(there)
            },
        );
        let as_of = BoxTime::from_millis(asked_at);
        self.feed(to, RouteEvent::EntriesRead { as_of, to: end });
    }

    /// The operator's records that an answer brings with it.
    fn take_records(&mut self, to: usize, note: &PeerNote) {
        let state = &self.boxes[to].state;
        let as_of = state.word_as_of(note, BoxTime::from_millis(self.now));
        let asked_from = note.echo.as_ref().map_or(u64::MAX, |ask| ask.read_to);
        let known = state.read_to();
        if let Some(asked_at) = as_of.filter(|_| asked_from <= known && note.read_to > known) {
            let plan = Some(plan(note.read_to));
            self.feed(to, RouteEvent::PlanRead { asked_at, read_to: note.read_to, plan });
        }
    }

    fn readers(&self) -> usize {
        let now = BoxTime::from_millis(self.now);
        let alive = self.boxes.iter().filter(|subject| !subject.dead);
        alive.filter(|subject| subject.state.is_reader(now)).count()
    }

    fn open(&self) -> usize {
        let now = BoxTime::from_millis(self.now);
        let alive = self.boxes.iter().filter(|subject| !subject.dead);
        alive.filter(|subject| subject.state.open(now)).count()
    }

    fn calls(&mut self) -> u32 {
        let calls = self.boxes.iter().map(|subject| subject.calls).sum();
        self.boxes.iter_mut().for_each(|subject| subject.calls = 0);
        calls
    }

    /// How long it takes from now until all living boxes are as `holds` says, in milliseconds.
    fn until_all(&mut self, limit: u64, holds: impl Fn(&RouteState) -> bool) -> Option<u64> {
        let began = self.now;
        while self.now < began + limit {
            self.run_until(self.now + 20);
            if self.boxes.iter().all(|subject| subject.dead || holds(&subject.state)) {
                return Some(self.now - began);
            }
        }
        None
    }
}

/// Number of the box that hears notes at an address.
fn number_of(address: &str) -> usize {
    let number = address.strip_prefix("box-").and_then(|rest| rest.strip_suffix(":90"));
    number.and_then(|number| number.parse().ok()).expect("an address")
}

/// Readers that a fleet of this size should have.
fn wanted(count: usize) -> usize {
    READERS_MIN.max(count.div_ceil(ASKERS_LIMIT))
}

/// Whether about as many boxes read as should: each box counts the fleet by what it has heard, so that
/// views differ by a few boxes, which costs a call and no more.
fn agreed(fleet: &Fleet, count: usize) -> bool {
    fleet.readers().abs_diff(wanted(count)) <= usize::from(count > ASKERS_LIMIT)
}

fn site(count: usize) -> Fleet {
    let mut fleet = Fleet::start(count);
    for number in 0..20 {
        fleet.put(&format!("r{number}"), false);
    }
    fleet
}

#[test]
fn boxes_that_start_together_make_few_calls_and_agree_on_who_reads() {
    for count in [9, 300] {
        let mut fleet = site(count);
        let open = fleet.until_all(2_000, RouteState::knows_site);
        assert!(open.is_some_and(|ms| ms <= 700), "{count} boxes know the site after {open:?} ms");
        let start = fleet.calls();
        fleet.run_until(6_000);
        assert!(agreed(&fleet, count), "{} readers of {count}", fleet.readers());
        let settling = fleet.calls();
        // Readers call up to six times a second; the others need nothing.
        let limit = count.max(12) as u32 / 2;
        assert!(start <= limit, "{count} boxes: {start} calls at the start");
        let reads = 36 * (wanted(count) as u32 + 1);
        assert!(settling <= limit + reads, "{count} boxes: {settling} calls afterwards");
        fleet.run_until(16_000);
        let calm = f64::from(fleet.calls()) / 10.0 / wanted(count) as f64;
        assert!(calm < 6.0, "{count} boxes: {calm} calls a second and reader");
        assert_eq!(fleet.open(), count);
        assert!(agreed(&fleet, count), "{} readers of {count}, later", fleet.readers());
    }
}

#[test]
fn all_boxes_know_a_new_plan_and_a_leaving_replica_soon() {
    for count in [9, 100] {
        let mut fleet = site(count);
        fleet.run_until(5_000);
        fleet.plans.push(fleet.now);
        let took = fleet.until_all(4_000, |state| state.plan().version == 2);
        assert!(took.is_some_and(|ms| ms <= 2_000), "{count} boxes: the plan after {took:?} ms");
        fleet.put("r3", true);
        let leaves = |state: &RouteState| {
            state.backends().rows().any(|(_, row)| row.entry.id == "r3" && row.entry.leaving)
        };
        let took = fleet.until_all(4_000, leaves);
        assert!(took.is_some_and(|ms| ms <= 1_500), "{count} boxes: leaving after {took:?} ms");
    }
}

#[test]
fn a_fleet_whose_boxes_were_all_killed_is_back_at_once_without_storming_the_store() {
    for count in [9, 300] {
        let mut fleet = site(count);
        fleet.run_until(5_000);
        fleet.calls();
        fleet.restart_all();
        let took = fleet.until_all(2_000, RouteState::knows_site);
        assert!(took.is_some_and(|ms| ms <= 900), "{count} boxes are back after {took:?} ms");
        let calls = fleet.calls() as usize;
        assert!(calls <= count.max(20), "{count} boxes: {calls} calls");
    }
}

#[test]
fn most_notes_of_a_large_fleet_stay_within_an_availability_zone() {
    let mut fleet = site(100);
    fleet.run_until(5_000);
    fleet.notes = [0; 2];

    fleet.run_until(10_000);

    let [near, far] = fleet.notes;
    let share = far as f64 / (near + far) as f64;
    assert!(share <= 0.35, "{share} of {} notes go to another zone", near + far);
}

#[test]
fn where_the_readers_die_others_read_in_their_place() {
    for count in [9, 100] {
        let mut fleet = site(count);
        fleet.run_until(6_000);
        let now = BoxTime::from_millis(fleet.now);
        let readers: Vec<usize> =
            (0..count).filter(|number| fleet.boxes[*number].state.is_reader(now)).collect();
        readers.iter().for_each(|number| fleet.kill(*number));
        fleet.run_until(12_000);
        assert!(agreed(&fleet, count), "{} readers of {count}", fleet.readers());
        assert_eq!(fleet.open(), count - readers.len());
        fleet.plans.push(fleet.now);
        let took = fleet.until_all(4_000, |state| state.plan().version == 2);
        assert!(took.is_some_and(|ms| ms <= 2_000), "{count} boxes: the plan after {took:?} ms");
    }
}

#[test]
fn while_the_store_is_away_few_boxes_try_it_and_all_are_back_soon_after_it() {
    for count in [9, 100, 300] {
        let mut fleet = site(count);
        fleet.run_until(6_000);
        fleet.calls();

        fleet.away_until = fleet.now + 8_000;
        fleet.run_until(fleet.away_until);

        // Readers try three times a second, any other box once.
        let readers = 3 * 2 * 8 * (wanted(count) as u32 + 1);
        let calls = fleet.calls();
        assert!(calls <= readers + count as u32, "{count} boxes: {calls} calls");
        fleet.plans.push(fleet.now);
        let took = fleet.until_all(5_000, |state| state.plan().version == 2);
        assert!(took.is_some_and(|ms| ms <= 2_500), "{count} boxes: the plan after {took:?} ms");
        fleet.run_until(fleet.now + 1_500);
        assert_eq!(fleet.open(), count, "callers are sent to all again");
    }
}

/// Word of emptied zones comes to all with notes alone, each some bytes: 300 boxes, half of which can't reach the store,
/// 3 of 100 datagrams lost.
#[test]
fn all_boxes_know_an_emptied_zone_and_that_it_is_back_within_two_seconds() {
    let mut fleet = Fleet::start(300);
    fleet.run_until(8_000);
    for (known_to, evacuated) in [(50, true), (51, false)] {
        let order = ZoneOrder { zone: "zone-1".to_owned(), evacuated };
        let read = EvacuationRead { from: None, to: known_to, orders: vec![order] };
        fleet.feed(0, RouteEvent::EvacuationsRead(read));
        let ordered_at = fleet.now;
        fleet.run_until(ordered_at + 2_000);
        let now = BoxTime::from_millis(fleet.now);
        let knows = |subject: &FleetBox| {
            subject.state.dump(now).evacuated.iter().any(|zone| zone == "zone-1") == evacuated
        };
        let known = fleet.boxes.iter().filter(|subject| knows(subject)).count();
        assert_eq!(known, 300, "evacuated {evacuated}");
    }
}
