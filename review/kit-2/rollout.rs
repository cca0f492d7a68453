//! Roll-outs for the scripts of this review: the platform that starts and stops replicas, and the
//! clients of one service.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use crate::kit::*;

const REPLICAS: u8 = 6;
const CLIENTS: usize = 40;
const SESSIONS_PER_CLIENT: u64 = 4;

/// Duration of each order, as in the roll-outs that the site file lists.
pub const DURATION_MS: u64 = 16_000;

/// Time in which the platform starts the replicas of an order.
const START_MS: u64 = 300;

/// Interval at which the platform looks at the system's status.
pub const PLATFORM_POLL_MS: u64 = 200;

/// Time after which new replicas drain once the platform has seen `rolled_back`.
const DRAIN_AFTER_MS: u64 = 3_000;

/// Bounds of the settings: `expose_share` and `expose_slack`.
const EXPOSE_SHARE: f64 = 0.15;
const EXPOSE_SLACK: f64 = 30.0;

/// Time within which requests of a session belong together: `session_s`.
const SESSION_MS: u64 = 5_000;

/// Answers other than 200 that are recorded one by one.
const OTHERS_RECORDED: u64 = 60;

/// The bound of EXPOSURE for this many requests.
pub fn exposure_bound(all: usize) -> f64 {
    EXPOSE_SHARE * all as f64 + EXPOSE_SLACK
}

/// One answer in two of a bad version is a failure.
fn bad_handler() -> Handler {
    let count = AtomicU64::new(0);
    let good = plain_handler(15);
    Arc::new(move |replica, request, writer| {
        if count.fetch_add(1, Ordering::Relaxed) % 2 == 0 {
            return good(replica, request, writer);
        }
        sleep_ms(15);
        let id = request.header("x-ravenspoke-request-id").unwrap_or_default();
        let headers = [("X-Ravenspoke-Request-Id", id), ("X-Ravenspoke-Response-Stamp", "stamp")];
        writer.write_all(&answer_bytes(500, &headers, b"failed"))?;
        Ok(true)
    })
}

/// The platform and the operator.
pub struct Platform {
    pub store: Arc<Store>,
    record: Record,
    next_ip: u8,
    /// Replicas by version, in the order of their start.
    pub groups: Vec<(String, Vec<Arc<Replica>>)>,
    /// Groups that are to drain, and when.
    drains: Vec<(u64, usize)>,
}

impl Platform {
    /// Starts the store with a config, and the first replicas.
    pub fn start(record: &Record, version: &str) -> Self {
        let store = Store::start(&own_ip(250));
        store.put("keyed.op", "config", &config(1, &["site-key"], LIMITS));
        let record = record.clone();
        let mut platform =
            Self { store, record, next_ip: 100, groups: Vec::new(), drains: Vec::new() };
        platform.start_group(version, false);
        platform
    }

    /// Starts replicas of a version and writes their entries.
    fn start_group(&mut self, version: &str, bad: bool) {
        let number = self.groups.len();
        let replicas: Vec<_> = (0..REPLICAS)
            .map(|row| {
                let handler = if bad { bad_handler() } else { plain_handler(15) };
                Replica::start(&own_ip(self.next_ip + row), &format!("i-{number}-{row}"), handler)
            })
            .collect();
        self.next_ip += REPLICAS;
        for replica in &replicas {
            self.store.put("keyed.servers", &replica.id, &replica.entry("pool", version, "ready"));
        }
        self.record.line(&format!("replicas i-{number}-* of {version} have started"));
        self.groups.push((version.to_owned(), replicas));
    }

    /// Orders a version, and starts its replicas beside the old ones. Returns when the order was
    /// confirmed.
    pub fn order(&mut self, version: &str, bad: bool) -> u64 {
        let seconds = DURATION_MS / 1_000;
        let value = format!(
            "{{\"service\":\"pool\",\"target_version\":\"{version}\",\"duration_s\":{seconds}}}"
        );
        self.store.put("keyed.op", "rollout/pool", &value);
        let confirmed = now_ms();
        self.record.line(&format!("order: {version}, {seconds} s; the store has confirmed it"));
        sleep_ms(START_MS);
        self.start_group(version, bad);
        confirmed
    }

    /// State in the system's status, if that names the version.
    pub fn state_of(&self, version: &str) -> Option<&'static str> {
        let text = self.store.newest("keyed.status", "rollout/pool")?;
        let states = ["running", "done", "rolled_back"];
        let state = states.into_iter().find(|state| text.contains(&format!("\"{state}\"")))?;
        text.contains(&format!("\"{version}\"")).then_some(state)
    }

    /// Stops a group at once, without draining, as old replicas are at `done`.
    pub fn stop(&self, group: usize) {
        let (version, replicas) = &self.groups[group];
        for replica in replicas {
            replica.end();
            self.store.put("keyed.servers", &replica.id, "");
        }
        self.record.line(&format!("replicas i-{group}-* of {version} were stopped"));
    }

    /// Lets a group drain some seconds from now, as new replicas do after `rolled_back`.
    pub fn drain_later(&mut self, group: usize) {
        self.drains.push((now_ms() + DRAIN_AFTER_MS, group));
    }

    /// Waits until the platform looks at the status again, and lets groups drain that are due.
    pub fn wait(&mut self) {
        sleep_ms(PLATFORM_POLL_MS);
        let now = now_ms();
        let due: Vec<usize> =
            self.drains.iter().filter(|row| row.0 <= now).map(|row| row.1).collect();
        self.drains.retain(|row| row.0 > now);
        due.into_iter().for_each(|group| self.drain(group));
    }

    fn drain(&self, group: usize) {
        let (version, replicas) = &self.groups[group];
        for replica in replicas {
            let entry = replica.entry("pool", version, "draining");
            self.store.put("keyed.servers", &replica.id, &entry);
        }
        self.record.line(&format!("replicas i-{group}-* of {version} drain"));
    }

    /// Requests that replicas of a group ran between two times.
    pub fn runs(&self, group: usize, from: u64, to: u64) -> usize {
        let is_within = |run: &&Run| (from..to).contains(&run.at_ms);
        let count =
            |replica: &Arc<Replica>| replica.runs.lock().unwrap().iter().filter(is_within).count();
        self.groups[group].1.iter().map(count).sum()
    }

    /// Requests that all replicas ran between two times.
    pub fn all_runs(&self, from: u64, to: u64) -> usize {
        (0..self.groups.len()).map(|group| self.runs(group, from, to)).sum()
    }

    /// Requests between two times that ran on a group less than `session_s` after the request before
    /// them in their session had run on another version.
    pub fn moved_to(&self, group: usize, from: u64, to: u64) -> usize {
        let mut sessions: BTreeMap<String, Vec<(u64, usize)>> = BTreeMap::new();
        for (row, (_, replicas)) in self.groups.iter().enumerate() {
            for replica in replicas {
                for run in replica.runs.lock().unwrap().iter() {
                    sessions.entry(session_of(&run.id)).or_default().push((run.at_ms, row));
                }
            }
        }
        let version = |row: usize| self.groups[row].0.as_str();
        let is_moved = |pair: &&[(u64, usize)]| {
            let (before, next) = (pair[0], pair[1]);
            let changed = version(before.1) != version(next.1) && next.1 == group;
            changed && (from..to).contains(&next.0) && next.0 - before.0 < SESSION_MS
        };
        let moved = |runs: &mut Vec<(u64, usize)>| {
            runs.sort_unstable();
            runs.windows(2).filter(is_moved).count()
        };
        sessions.values_mut().map(moved).sum()
    }

    /// Records, for each second, how many requests the replicas of each group ran.
    fn record_runs(&self) {
        let mut rows: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (group, (_, replicas)) in self.groups.iter().enumerate() {
            for run in replicas.iter().flat_map(|replica| replica.runs.lock().unwrap().clone()) {
                let row = rows.entry(run.at_ms / 1_000);
                row.or_insert_with(|| vec![0; self.groups.len()])[group] += 1;
            }
        }
        let versions: Vec<_> = self.groups.iter().map(|group| group.0.as_str()).collect();
        self.record.line(&format!("requests run in each second, by replicas of {versions:?}:"));
        for (second, counts) in rows {
            self.record.line(&format!("second {second}: {counts:?}"));
        }
    }
}

/// The session of a request, by its id: the client's number and that of its request.
fn session_of(id: &str) -> String {
    let round = u64::from_str_radix(&id[4..], 16).unwrap_or(0);
    format!("s{}-{}", &id[..4], round % SESSIONS_PER_CLIENT)
}

/// Answers to clients by second, route and status; 0 stands for none.
type Answers = BTreeMap<(u64, &'static str, u16), u64>;

/// Clients that ask all the time: every third one sends calls that may run once.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<Answers>>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    pub fn start(nodes: &[Node], record: &Record) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answers = Arc::default();
        let others = Arc::new(AtomicU64::new(0));
        let clients = (0..CLIENTS)
            .map(|client| {
                let fronts = nodes.iter().map(Node::front).collect();
                let row = Client { number: client, fronts, record: record.clone() };
                let (stop, answers, others) = (stop.clone(), Arc::clone(&answers), others.clone());
                thread::spawn(move || row.run(&stop, &answers, &others))
            })
            .collect();
        Self { stop, answers, clients }
    }

    /// Ends the clients, and records what was answered and run.
    pub fn end(&mut self, platform: &Platform, record: &Record) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
        platform.record_runs();
        let answers = self.answers.lock().unwrap().clone();
        let sent: u64 = answers.values().sum();
        record.line(&format!("clients sent {sent} requests, each with an id of its own"));
        record.line("answers to clients by (second, route, status), status 0 for none:");
        record.line(&format!("{answers:?}"));
    }

    /// Answers other than 200 from a time on, on a route that may be repeated and on one that may not.
    pub fn failed_since(&self, from: u64) -> (u64, u64) {
        let answers = self.answers.lock().unwrap();
        let failed = |route: &str| {
            let rows = answers.iter().filter(|(key, _)| key.0 >= from / 1_000);
            rows.filter(|(key, _)| key.1 == route && key.2 != 200).map(|row| row.1).sum()
        };
        (failed("/read/x"), failed("/file/x"))
    }
}

struct Client {
    number: usize,
    fronts: Vec<SocketAddr>,
    record: Record,
}

impl Client {
    fn run(&self, stop: &AtomicBool, answers: &Mutex<Answers>, others: &AtomicU64) {
        let route = if self.number % 3 == 0 { "/file/x" } else { "/read/x" };
        for round in 0_u64.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{:04x}{round:012x}", self.number);
            let session = session_of(&id);
            let node = (self.number + round as usize) % self.fronts.len();
            let more = [("Session", session.as_str())];
            let bytes = request_bytes("POST", route, &id, 1_500, &more, b"body");
            let status = exchange(self.fronts[node], &bytes, 2_000).map_or(0, |a| a.status());
            *answers.lock().unwrap().entry((now_ms() / 1_000, route, status)).or_default() += 1;
            if status != 200 && others.fetch_add(1, Ordering::Relaxed) < OTHERS_RECORDED {
                self.record
                    .line(&format!("{id} ({session}) {route} to box {}: {status}", node + 1));
            }
            sleep_ms(150);
        }
    }
}
