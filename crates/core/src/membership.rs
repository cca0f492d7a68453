//! Membership of the fleet: the platform's box list, which lags, and heartbeats between boxes.
//!
//! Each second a box sends a heartbeat to a few others, taken in turn from a shuffled round. Each
//! of them replies with summaries of a few more boxes. The state is one row for each listed box,
//! and the bytes per second are bounded by the fan-out, not by the number of boxes. A restarted box
//! has a new incarnation and counts as a new box. That a box is leaving is part of the replies and
//! summaries, and so arrives before the box list shows it.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::freshness::FRESH_LEASE_MS;
use crate::message::PeerSummary;
use crate::time::BoxTime;

/// Number of boxes that get a heartbeat at a time.
pub const HEARTBEAT_FAN_OUT: usize = 4;

/// Number of other boxes that each heartbeat reply describes.
pub const SUMMARY_COUNT: usize = 12;

/// Interval between heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// A box as the box list describes it.
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

/// State of a listed box.
#[derive(Clone, Debug, Serialize)]
pub struct PeerState {
    /// Entry of the box list.
    pub listed: ListedBox,
    /// Last known incarnation; 0 if none is known.
    pub incarnation: u64,
    /// Last time at which the box is known to have been alive, on this box's clock.
    pub alive_at: Option<BoxTime>,
    /// Sequence that it had in force at that time.
    pub sequence: u64,
    /// Whether it reported that it is leaving.
    pub leaving: bool,
    /// Whether it has obtained information on the log since it started. Only then does it count
    /// toward a majority that continues during an outage, because a restarted box no longer knows
    /// which bundles it confirmed (`spec/freshness.pml`, mutant `PROVED`).
    pub proved: bool,
}

/// The listed boxes, including this one.
#[derive(Debug, Default)]
pub struct BoxMembership {
    me: String,
    rows: BTreeMap<String, PeerState>,
    /// Boxes that still get a heartbeat in this round.
    round: Vec<String>,
    round_number: u64,
}

impl BoxMembership {
    /// Creates the membership of the box named `me`.
    pub fn new(me: &str) -> Self {
        Self { me: me.to_owned(), ..Self::default() }
    }

    /// Applies a new reading of the box list and drops the rows of boxes that it no longer names.
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

    /// Number of listed boxes, including this one if it is listed.
    pub fn listed_count(&self) -> usize {
        self.rows.len()
    }

    /// All listed boxes, in order of name.
    pub fn rows(&self) -> impl Iterator<Item = &PeerState> {
        self.rows.values()
    }

    /// Returns the state of a listed box.
    pub fn find(&self, name: &str) -> Option<&PeerState> {
        self.rows.get(name)
    }

    /// Other listed boxes.
    pub fn peers(&self) -> impl Iterator<Item = &PeerState> {
        self.rows.values().filter(|row| row.listed.name != self.me)
    }

    /// Age of the last information on a box after which it counts as silent, in milliseconds: the
    /// freshness lease, or in large fleets the time that the heartbeats need to cover all boxes.
    pub fn silence_ms(&self) -> u64 {
        let per_round = (HEARTBEAT_FAN_OUT * (1 + SUMMARY_COUNT)) as u64;
        let rounds = (self.rows.len() as u64).div_ceil(per_round);
        FRESH_LEASE_MS.max(3 * rounds * HEARTBEAT_INTERVAL_MS)
    }

    /// Whether a box is known to have been alive recently.
    pub fn is_alive(&self, row: &PeerState, now: BoxTime) -> bool {
        row.alive_at.is_some_and(|at| now.millis_since(at) <= self.silence_ms())
    }

    /// Number of boxes that count toward a majority: those that are alive and `proved`, and this
    /// one if it is listed.
    pub fn countable_boxes(&self, now: BoxTime) -> usize {
        let alive = self.peers().filter(|row| row.proved && self.is_alive(row, now)).count();
        alive + usize::from(self.rows.contains_key(&self.me))
    }

    /// Highest sequence that any listed box is known to have had in force.
    pub fn newest_sequence(&self) -> u64 {
        self.rows.values().map(|row| row.sequence).max().unwrap_or(0)
    }

    /// Applies a summary of a box from the reply to a heartbeat sent at `sent_at`, unless it is
    /// older than what is known. Returns whether the box was replaced by a new incarnation.
    pub fn apply_summary(&mut self, name: &str, summary: &PeerSummary, sent_at: BoxTime) -> bool {
        let Some(row) = self.rows.get_mut(name) else { return false };
        let alive_at = sent_at.minus_millis(summary.age_ms);
        if sent_at.as_millis() < summary.age_ms || row.alive_at.is_some_and(|at| at > alive_at) {
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

    /// Returns the next boxes of the shuffled round, [`HEARTBEAT_FAN_OUT`] at most.
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

    /// Shuffles the peers for a new round by a hash of this box and the round number, so that boxes
    /// do not use the same order.
    fn refill_round(&mut self) {
        self.round_number += 1;
        let seed = xxhash_rust::xxh3::xxh3_64(self.me.as_bytes()) ^ self.round_number;
        let mut names: Vec<String> = self.peers().map(|row| row.listed.name.clone()).collect();
        names
            .sort_by_cached_key(|name| xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed));
        self.round = names;
    }

    /// Summaries for a reply to `receiver`: the boxes with the most recent information, without
    /// `receiver`.
    pub fn summaries(&self, receiver: &str, now: BoxTime) -> Vec<PeerSummary> {
        let mut rows: Vec<&PeerState> = self
            .peers()
            .filter(|row| row.listed.name != receiver && row.alive_at.is_some())
            .collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.alive_at));
        let summary = |row: &&PeerState| PeerSummary {
            name: row.listed.name.clone(),
            incarnation: row.incarnation,
            age_ms: row.alive_at.map_or(u64::MAX, |at| now.millis_since(at)),
            sequence: row.sequence,
            leaving: row.leaving,
            proved: row.proved,
        };
        rows.iter().take(SUMMARY_COUNT).map(summary).collect()
    }

    /// Peers that can witness a bill: alive, not leaving and not in `except`. Those in other zones
    /// than `zone` come first, and `salt` determines the order among equals.
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

    /// Boxes that a caller in `zone` may use: neither leaving nor silent, those in its zone first.
    /// `salt` determines the order among equals.
    pub fn entries(&self, zone: Option<&str>, salt: u64, now: BoxTime) -> Vec<ListedBox> {
        let usable = |row: &&PeerState| {
            let mine = row.listed.name == self.me;
            !row.leaving && !row.listed.leaving && (mine || self.is_alive(row, now))
        };
        let mut rows: Vec<&PeerState> = self.rows.values().filter(usable).collect();
        rows.sort_by_cached_key(|row| {
            let name = row.listed.name.as_bytes();
            let is_other_zone = zone.is_some_and(|zone| row.listed.zone != zone);
            (is_other_zone, xxhash_rust::xxh3::xxh3_64_with_seed(name, salt))
        });
        rows.iter().map(|row| row.listed.clone()).collect()
    }

    /// Marks a box as leaving.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(row) = self.rows.get_mut(name) {
            row.leaving = true;
        }
    }

    /// Rank of this box among the listed boxes for the job `salt`; 0 for the first.
    pub fn rank(&self, salt: &str) -> usize {
        let mine = job_weight(&self.me, salt);
        self.peers().filter(|row| job_weight(&row.listed.name, salt) < mine).count()
    }

    /// Returns the first box for the job `salt` that is alive and not leaving; `None` if this box
    /// is the first.
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

/// Rendezvous-hash weight of a box for a job; the lowest weight is first.
fn job_weight(name: &str, salt: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(salt.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed)
}
