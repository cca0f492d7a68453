//! A simulated fleet: reducers, a log and a virtual clock in one process.
//!
//! The clock of each box starts with the box. Messages arrive after a delay, and a cut link drops
//! them. The log can lose the acknowledgement of an append, or apply an append late after it
//! failed. Effects that concern requests are collected for the caller of the simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use ravenspoke_core::appender::LogStream;
use ravenspoke_core::effect::BoxEffect;
use ravenspoke_core::event::{BoxEvent, EventStamp};
use ravenspoke_core::message::{LogRecord, PeerMessage};
use ravenspoke_core::replica::ListedReplica;
use ravenspoke_core::state::{BoxSettings, BoxState};
use ravenspoke_core::time::{BoxTime, WallTime};

use crate::fixture::{box_settings, listed_box};

/// One-way network delay between boxes, in microseconds.
pub const PEER_DELAY_US: u64 = 1_500;

/// Duration of an append to the log or of a read, in microseconds.
pub const LOG_DELAY_US: u64 = 4_000;

/// Interval of the periodic reads of each stream, in microseconds.
pub const POLL_US: u64 = 1_000_000;

/// Interval between ticks of a box, in microseconds.
pub const TICK_US: u64 = 20_000;

/// Wall-clock time at virtual time zero, in milliseconds.
pub const WALL_START_MS: u64 = 1_800_000_000_000;

/// A scheduled event of the simulation.
#[derive(Clone, Debug, PartialEq)]
enum DueEvent {
    Tick(usize, u64),
    Poll(usize, u64),
    Read(usize, u64, LogStream, u64),
    Deliver(usize, PeerMessage),
    AppendEnd(usize, u64, LogStream, bool),
    LateEffect(LogStream, Vec<LogRecord>),
}

/// Faults of the log.
#[derive(Clone, Debug, Default)]
pub struct LogFaults {
    /// Whether all appends and reads fail.
    pub outage: bool,
    /// Number of appends to come that succeed without an acknowledgement.
    pub lose_acks: u32,
    /// Number of appends to come that fail and still take effect `late_us` later.
    pub late_effects: u32,
    /// Delay of late appends, in microseconds.
    pub late_us: u64,
}

/// A simulated box.
pub struct VirtualBox {
    /// The reducer's state.
    pub state: BoxState,
    /// Box name.
    pub name: String,
    /// Whether the box runs.
    pub alive: bool,
    /// Whether the box is paused; its events wait.
    pub paused: bool,
    started_us: u64,
    incarnation: u64,
    waiting: Vec<BoxEvent>,
    /// Bytes of control messages sent, with a length prefix of 4 bytes each.
    pub sent_bytes: u64,
    /// Number of control messages sent.
    pub sent_messages: u64,
}

/// A simulated fleet with its log and clock.
pub struct VirtualFleet {
    /// Boxes.
    pub boxes: Vec<VirtualBox>,
    /// Faults of the log.
    pub log_faults: LogFaults,
    /// Boxes that can't reach the log.
    pub log_unreachable: BTreeSet<usize>,
    /// Pairs of boxes that can't reach each other, the lower index first.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// First offset and records of each stream.
    pub streams: BTreeMap<LogStream, (u64, Vec<LogRecord>)>,
    /// Number of appends that took effect.
    pub appends: u64,
    /// Effects that concern requests, with the index of the box that returned them.
    pub effects: Vec<(usize, BoxEffect)>,
    now_us: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, DueEvent>,
    next_event: u64,
    rng: StdRng,
    replicas: Vec<ListedReplica>,
    tune: fn(&mut BoxSettings),
    zones: usize,
}

impl VirtualFleet {
    /// Creates a fleet of `count` boxes in `zones` availability zones.
    pub fn new(count: usize, zones: usize, seed: u64, replicas: Vec<ListedReplica>) -> Self {
        Self::tuned(count, zones, seed, replicas, |_| {})
    }

    /// Creates a fleet as [`VirtualFleet::new`] does, with the settings of each box changed by
    /// `tune`.
    pub fn tuned(
        count: usize,
        zones: usize,
        seed: u64,
        replicas: Vec<ListedReplica>,
        tune: fn(&mut BoxSettings),
    ) -> Self {
        let mut fleet = Self {
            boxes: Vec::new(),
            log_faults: LogFaults::default(),
            log_unreachable: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            streams: BTreeMap::new(),
            appends: 0,
            effects: Vec::new(),
            now_us: 0,
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            rng: StdRng::seed_from_u64(seed),
            replicas,
            tune,
            zones,
        };
        for index in 0..count {
            let (name, zone) = (format!("box-{index}"), format!("zone-{}", index % zones));
            let state = fleet.fresh_state(&name, &zone, index as u64 + 1);
            fleet.boxes.push(VirtualBox {
                state,
                name,
                alive: true,
                paused: false,
                started_us: 0,
                incarnation: index as u64 + 1,
                waiting: Vec::new(),
                sent_bytes: 0,
                sent_messages: 0,
            });
        }
        for index in 0..count {
            fleet.start_box(index);
        }
        fleet
    }

    fn fresh_state(&self, name: &str, zone: &str, incarnation: u64) -> BoxState {
        let mut settings = box_settings(name, zone, incarnation);
        (self.tune)(&mut settings);
        BoxState::new(settings)
    }

    fn start_box(&mut self, index: usize) {
        let incarnation = self.boxes[index].incarnation;
        let jitter = self.rng.gen_range(0..TICK_US);
        self.feed_box_list(index);
        self.schedule(self.now_us + jitter, DueEvent::Tick(index, incarnation));
        self.schedule(self.now_us + jitter, DueEvent::Poll(index, incarnation));
    }

    /// Feeds the box list to a box.
    pub fn feed_box_list(&mut self, index: usize) {
        let zones = self.zones;
        let zone_of = |index: usize| format!("zone-{}", index % zones);
        let listed = |row: &VirtualBox, i: usize| listed_box(&row.name, &zone_of(i));
        let boxes = self.boxes.iter().enumerate().map(|(i, row)| listed(row, i)).collect();
        let replicas = self.replicas.clone();
        self.feed(index, BoxEvent::ListRead { boxes, replicas });
    }

    /// Schedules an event at `time`, in microseconds.
    fn schedule(&mut self, time: u64, due: DueEvent) {
        self.next_event += 1;
        self.due.push(Reverse((time, self.next_event)));
        self.events.insert(self.next_event, due);
    }

    /// Virtual time, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Time of the next event of the fleet, in microseconds.
    pub fn next_due_us(&self) -> u64 {
        self.due.peek().map_or(u64::MAX, |Reverse((time, _))| *time)
    }

    /// Time on the clock of a box.
    pub fn box_time(&self, index: usize) -> BoxTime {
        BoxTime::from_micros(self.now_us - self.boxes[index].started_us)
    }

    /// Feeds an event to a box. A paused box receives it when it resumes, a dead one never does.
    pub fn feed(&mut self, index: usize, event: BoxEvent) {
        if !self.boxes[index].alive {
            return;
        }
        if self.boxes[index].paused {
            self.boxes[index].waiting.push(event);
            return;
        }
        let stamp = EventStamp {
            now: self.box_time(index),
            wall: WallTime(WALL_START_MS + self.now_us / 1_000),
            random: self.rng.gen(),
        };
        for effect in self.boxes[index].state.apply(stamp, event) {
            self.carry_out(index, effect);
        }
    }

    fn carry_out(&mut self, index: usize, effect: BoxEffect) {
        match effect {
            BoxEffect::Append(stream, batch) => self.append(index, stream, batch),
            BoxEffect::SendPeer(name, body) => {
                let row = &mut self.boxes[index];
                let message = PeerMessage {
                    from: row.name.clone(),
                    incarnation: row.incarnation,
                    body: Some(body),
                };
                row.sent_bytes += message.encoded_len() as u64 + 4;
                row.sent_messages += 1;
                let Some(to) = self.boxes.iter().position(|row| row.name == name) else { return };
                let pair = (index.min(to), index.max(to));
                if !self.cut_links.contains(&pair) {
                    self.schedule(self.now_us + PEER_DELAY_US, DueEvent::Deliver(to, message));
                }
            }
            BoxEffect::ReadBundles => {
                let incarnation = self.boxes[index].incarnation;
                let read = DueEvent::Read(index, incarnation, LogStream::Bundles, self.now_us);
                self.schedule(self.now_us + LOG_DELAY_US, read);
            }
            other => self.effects.push((index, other)),
        }
    }

    fn append(&mut self, index: usize, stream: LogStream, batch: Vec<LogRecord>) {
        let incarnation = self.boxes[index].incarnation;
        let end = self.now_us + LOG_DELAY_US;
        if self.log_faults.outage || self.log_unreachable.contains(&index) {
            self.schedule(end, DueEvent::AppendEnd(index, incarnation, stream, false));
            return;
        }
        if self.log_faults.late_effects > 0 {
            self.log_faults.late_effects -= 1;
            self.schedule(end + self.log_faults.late_us, DueEvent::LateEffect(stream, batch));
            self.schedule(end, DueEvent::AppendEnd(index, incarnation, stream, false));
            return;
        }
        self.append_records(stream, batch);
        let acknowledged = self.log_faults.lose_acks == 0;
        self.log_faults.lose_acks = self.log_faults.lose_acks.saturating_sub(1);
        self.schedule(end, DueEvent::AppendEnd(index, incarnation, stream, acknowledged));
    }

    /// Adds records to the log and lets all boxes read them, except bills, which boxes don't read.
    pub fn append_records(&mut self, stream: LogStream, batch: Vec<LogRecord>) {
        self.appends += 1;
        self.streams.entry(stream).or_default().1.extend(batch);
        if matches!(stream, LogStream::Bills) {
            return;
        }
        for index in 0..self.boxes.len() {
            let incarnation = self.boxes[index].incarnation;
            let read = DueEvent::Read(index, incarnation, stream, self.now_us);
            self.schedule(self.now_us + LOG_DELAY_US, read);
        }
    }

    /// Trims a stream to its last `keep` records.
    pub fn trim(&mut self, stream: LogStream, keep: usize) {
        let (first, records) = self.streams.entry(stream).or_default();
        let drop = records.len().saturating_sub(keep);
        records.drain(..drop);
        *first += drop as u64;
    }

    fn read(&mut self, index: usize, stream: LogStream, asked_us: u64) {
        if self.log_faults.outage
            || self.log_unreachable.contains(&index)
            || !self.boxes[index].alive
        {
            return;
        }
        let (first, rows) = self.streams.entry(stream).or_default();
        let from = self.boxes[index].state.next_offset(stream).max(*first);
        let skip = (from - *first) as usize;
        let records = rows.iter().enumerate().skip(skip);
        let records = records.map(|(i, row)| (*first + i as u64, row.clone())).collect();
        let (first, tail) = (*first, *first + rows.len() as u64);
        let asked_at = BoxTime::from_micros(asked_us.saturating_sub(self.boxes[index].started_us));
        let event = BoxEvent::LogRead { stream, asked_at, first, tail, age_ms: 0, records };
        self.feed(index, event);
    }

    /// Runs the fleet until `until_us`.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse((time, id))) = self.due.peek().copied() {
            if time > until_us {
                break;
            }
            self.due.pop();
            self.now_us = time;
            if let Some(due) = self.events.remove(&id) {
                self.handle(due);
            }
        }
        self.now_us = until_us;
    }

    /// Runs the fleet for `millis` milliseconds.
    pub fn run_ms(&mut self, millis: u64) {
        self.run_until(self.now_us + millis * 1_000);
    }

    fn is_current(&self, index: usize, incarnation: u64) -> bool {
        self.boxes[index].alive && self.boxes[index].incarnation == incarnation
    }

    fn handle(&mut self, due: DueEvent) {
        match due {
            DueEvent::Tick(index, incarnation) if self.is_current(index, incarnation) => {
                if !self.boxes[index].paused {
                    self.feed(index, BoxEvent::Tick);
                }
                self.schedule(self.now_us + TICK_US, DueEvent::Tick(index, incarnation));
            }
            DueEvent::Poll(index, incarnation) if self.is_current(index, incarnation) => {
                if !self.boxes[index].paused {
                    for stream in [
                        LogStream::Bundles,
                        LogStream::Claims,
                        LogStream::Verdicts,
                        LogStream::Leases,
                    ] {
                        let read = DueEvent::Read(index, incarnation, stream, self.now_us);
                        self.schedule(self.now_us + LOG_DELAY_US, read);
                    }
                }
                self.schedule(self.now_us + POLL_US, DueEvent::Poll(index, incarnation));
            }
            DueEvent::Read(index, incarnation, stream, asked)
                if self.is_current(index, incarnation) =>
            {
                self.read(index, stream, asked);
            }
            DueEvent::Deliver(index, message) => self.feed(index, BoxEvent::PeerMessage(message)),
            DueEvent::AppendEnd(index, incarnation, stream, done)
                if self.is_current(index, incarnation) =>
            {
                let event = match done {
                    true => BoxEvent::AppendDone(stream),
                    false => BoxEvent::AppendFailed(stream),
                };
                self.feed(index, event);
            }
            DueEvent::LateEffect(stream, batch) => self.append_records(stream, batch),
            DueEvent::Tick(..)
            | DueEvent::Poll(..)
            | DueEvent::Read(..)
            | DueEvent::AppendEnd(..) => {}
        }
    }

    /// Kills a box, with all events that wait for it.
    pub fn kill(&mut self, index: usize) {
        self.boxes[index].alive = false;
        self.boxes[index].waiting.clear();
    }

    /// Restarts a killed box under a new incarnation, with empty state.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.rng.gen();
        let (name, zone) = (self.boxes[index].name.clone(), format!("zone-{}", index % self.zones));
        let state = self.fresh_state(&name, &zone, incarnation);
        let row = &mut self.boxes[index];
        (row.state, row.incarnation, row.started_us) = (state, incarnation, self.now_us);
        (row.alive, row.paused) = (true, false);
        self.start_box(index);
    }

    /// Pauses a box, as a stopped process: messages for it wait in its sockets.
    pub fn pause(&mut self, index: usize) {
        self.boxes[index].paused = true;
    }

    /// Resumes a paused box, which receives all waiting events at once.
    pub fn resume(&mut self, index: usize) {
        self.boxes[index].paused = false;
        for event in std::mem::take(&mut self.boxes[index].waiting) {
            self.feed(index, event);
        }
    }

    /// Removes and returns the collected effects that concern requests.
    pub fn take_effects(&mut self) -> Vec<(usize, BoxEffect)> {
        std::mem::take(&mut self.effects)
    }
}
