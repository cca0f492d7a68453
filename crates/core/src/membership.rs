//! Which boxes there are: the platform's box list, which lags, and heartbeats between boxes.
//!
//! Each second a box beats to a few others, chosen in turn from a shuffled round, and each answers
//! with what it knows of a few more. State is one row a listed box; bytes a second are bounded by
//! the fan-out, not by the number of boxes. A restarted box has a new incarnation and is a new box.
//! Leaving marks travel with the answers, ahead of the box list.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::freshness::FRESH_LEASE_MS;
use crate::message::PeerSummary;
use crate::time::BoxTime;

/// Boxes beaten to in each round.
pub const HEARTBEAT_FAN_OUT: usize = 4;

/// Other boxes described in each answer.
pub const SUMMARY_COUNT: usize = 12;

/// Milliseconds between rounds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// A box as the box list gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ListedBox {
    /// Box name.
    pub name: String,
    /// Address for callers, `IP:port`.
    pub entry: String,
    /// Address for peers, `IP:port`.
    pub peer: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// What is known of a listed box.
#[derive(Clone, Debug, Serialize)]
pub struct PeerState {
    /// As listed.
    pub listed: ListedBox,
    /// Incarnation lately heard; 0 for none.
    pub incarnation: u64,
    /// When it was certainly alive, on this box's clock.
    pub alive_at: Option<BoxTime>,
    /// Sequence that it had in force.
    pub sequence: u64,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// Whether it has learnt something of the log since it started: only then does it count toward
    /// a majority that serves on through an outage. A box that restarted has forgotten what it
    /// confirmed (`spec/freshness.pml`, mutant `PROVED`).
    pub proved: bool,
}

/// The boxes that this box knows of, itself included.
#[derive(Debug, Default)]
pub struct BoxMembership {
    me: String,
    rows: BTreeMap<String, PeerState>,
    round: Vec<String>,
    round_number: u64,
}

impl BoxMembership {
    /// Membership of the box called `me`.
    pub fn new(me: &str) -> Self {
        Self { me: me.to_owned(), ..Self::default() }
    }

    /// Takes a new reading of the box list; rows of boxes that went are dropped.
    pub fn apply_list(&mut self, listed: Vec<ListedBox>) {
        let mut before = std::mem::take(&mut self.rows);
        for row in listed {
            let name = row.name.clone();
            let mut state = before.remove(&name).unwrap_or(PeerState {
                listed: row.clone(),
                incarnation: 0,
                alive_at: None,
                sequence: 0,
                leaving: false,
                proved: false,
            });
            state.listed = row;
            self.rows.insert(name, state);
        }
    }

    /// Listed boxes, this one included if it is listed.
    pub fn listed_count(&self) -> usize {
        self.rows.len()
    }

    /// All rows by name.
    pub fn rows(&self) -> impl Iterator<Item = &PeerState> {
        self.rows.values()
    }

    /// A row.
    pub fn find(&self, name: &str) -> Option<&PeerState> {
        self.rows.get(name)
    }

    /// Other listed boxes.
    pub fn peers(&self) -> impl Iterator<Item = &PeerState> {
        self.rows.values().filter(|row| row.listed.name != self.me)
    }

    /// How old word of a box may be before it counts as silent: the lease, and at larger sizes the
    /// rounds that word of a box takes to come round.
    pub fn silence_ms(&self) -> u64 {
        let per_round = (HEARTBEAT_FAN_OUT * (1 + SUMMARY_COUNT)) as u64;
        let rounds = (self.rows.len() as u64).div_ceil(per_round);
        FRESH_LEASE_MS.max(3 * rounds * HEARTBEAT_INTERVAL_MS)
    }

    /// Whether a box was lately heard.
    pub fn is_alive(&self, row: &PeerState, now: BoxTime) -> bool {
        row.alive_at.is_some_and(|at| now.millis_since(at) <= self.silence_ms())
    }

    /// Boxes that count toward a majority: lately heard and proved, this one counted if listed.
    pub fn seen_count(&self, now: BoxTime) -> usize {
        let alive = self.peers().filter(|row| row.proved && self.is_alive(row, now)).count();
        alive + usize::from(self.rows.contains_key(&self.me))
    }

    /// Highest sequence that any listed box was heard to have in force.
    pub fn newest_sequence(&self) -> u64 {
        self.rows.values().map(|row| row.sequence).max().unwrap_or(0)
    }

    /// Notes a box's own answer to a beat sent at `asked_at`. Returns whether its incarnation is new.
    pub fn apply_summary(&mut self, name: &str, summary: &PeerSummary, asked_at: BoxTime) -> bool {
        let Some(row) = self.rows.get_mut(name) else { return false };
        let alive_at = asked_at.minus_millis(summary.age_ms);
        if asked_at.as_millis() < summary.age_ms || row.alive_at.is_some_and(|at| at > alive_at) {
            return false;
        }
        let replaced = row.incarnation != 0 && row.incarnation != summary.incarnation;
        row.alive_at = Some(alive_at);
        row.incarnation = summary.incarnation;
        row.sequence = summary.sequence;
        row.leaving = summary.leaving;
        row.proved = summary.proved;
        replaced
    }

    /// Boxes to beat to in this round.
    pub fn next_targets(&mut self) -> Vec<String> {
        let mut targets = Vec::new();
        while targets.len() < HEARTBEAT_FAN_OUT.min(self.peers().count()) {
            let Some(name) = self.round.pop() else {
                self.refill_round();
                continue;
            };
            if self.rows.contains_key(&name) && !targets.contains(&name) {
                targets.push(name);
            }
        }
        targets
    }

    /// Orders a new round by a hash of box and round: no two boxes beat in step.
    fn refill_round(&mut self) {
        self.round_number += 1;
        let seed = xxhash_rust::xxh3::xxh3_64(self.me.as_bytes()) ^ self.round_number;
        let mut names: Vec<String> = self.peers().map(|row| row.listed.name.clone()).collect();
        names
            .sort_by_cached_key(|name| xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed));
        self.round = names;
    }

    /// What to tell an asker: the boxes most lately heard, others than the asker.
    pub fn summaries(&self, asker: &str, now: BoxTime) -> Vec<PeerSummary> {
        let mut rows: Vec<&PeerState> =
            self.peers().filter(|row| row.listed.name != asker && row.alive_at.is_some()).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.alive_at));
        let describe = |row: &&PeerState| PeerSummary {
            name: row.listed.name.clone(),
            incarnation: row.incarnation,
            age_ms: row.alive_at.map_or(u64::MAX, |at| now.millis_since(at)),
            sequence: row.sequence,
            leaving: row.leaving,
            proved: row.proved,
        };
        rows.iter().take(SUMMARY_COUNT).map(describe).collect()
    }

    /// Peers to witness a bill: alive, in other zones first, chosen by `salt`, none of `except`.
    pub fn witnesses(&self, salt: u64, zone: &str, now: BoxTime, except: &[String]) -> Vec<String> {
        let mut rows: Vec<&PeerState> = self
            .peers()
            .filter(|row| self.is_alive(row, now) && !row.leaving && !row.listed.leaving)
            .filter(|row| !except.contains(&row.listed.name))
            .collect();
        rows.sort_by_cached_key(|row| {
            let name = row.listed.name.as_bytes();
            (row.listed.zone == zone, xxhash_rust::xxh3::xxh3_64_with_seed(name, salt))
        });
        rows.iter().map(|row| row.listed.name.clone()).collect()
    }

    /// Entry boxes for a caller in `zone`: neither leaving nor silent, the caller's zone first.
    pub fn entries(&self, zone: Option<&str>, salt: u64, now: BoxTime) -> Vec<ListedBox> {
        let usable = |row: &&PeerState| {
            let mine = row.listed.name == self.me;
            !row.leaving && !row.listed.leaving && (mine || self.is_alive(row, now))
        };
        let mut rows: Vec<&PeerState> = self.rows.values().filter(usable).collect();
        rows.sort_by_cached_key(|row| {
            let name = row.listed.name.as_bytes();
            let far = zone.is_some_and(|zone| row.listed.zone != zone);
            (far, xxhash_rust::xxh3::xxh3_64_with_seed(name, salt))
        });
        rows.iter().map(|row| row.listed.clone()).collect()
    }

    /// Marks a box as leaving; used for this box on a planned stop.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(row) = self.rows.get_mut(name) {
            row.leaving = true;
        }
    }

    /// Rank of this box among the listed for a job called `salt`, 0 for the first.
    pub fn rank(&self, salt: &str) -> usize {
        let mine = job_weight(&self.me, salt);
        self.peers().filter(|row| job_weight(&row.listed.name, salt) < mine).count()
    }

    /// The first box for a job called `salt` of those that are alive; `None` if it is this one.
    pub fn first_alive(&self, salt: &str, now: BoxTime) -> Option<String> {
        let mine = job_weight(&self.me, salt);
        self.peers()
            .filter(|row| self.is_alive(row, now) && !row.leaving)
            .map(|row| (job_weight(&row.listed.name, salt), &row.listed.name))
            .filter(|(weight, _)| *weight < mine)
            .min()
            .map(|(_, name)| name.clone())
    }
}

/// Rendezvous weight of a box for a job.
fn job_weight(name: &str, salt: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(salt.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed)
}
