//! The other boxes: who lives, what they know, and which of them callers are sent to.
//!
//! Boxes tell each other by datagrams. A note carries what its sender is and has seen; a box that is
//! silent for [`SILENT_MS`] is no longer named to callers. News is told on at once by who hears it, to
//! a few others each: it is everywhere after a few steps, whatever the size of the fleet.
//!
//! Few boxes read the store often, the *readers*; the others ask one of them. An answer says as of when
//! the reader knew what it knows, and counts from the *asker's* clock: a datagram that was under way for
//! long, or an asker that was frozen, makes the answer older, never newer.
//!
//! `table` keeps what is known of each box, `duties` says who does what for all.

mod duties;
mod table;

use serde::Serialize;

pub use duties::{BoxCapacity, LocalPeer};
pub use table::{PeerState, PeerTable};

use super::backend::BackendChange;
use super::backend_health::UnreachableUpdate;
use super::entry_sync::{EntryQuery, ListingPage};
use super::evacuation::EvacuationDigest;
use super::loads::LoadUpdate;
use super::model_latency::LatencyUpdate;
use super::poison::{CrashUpdate, PoisonUpdate};
use super::rate_limit::LimitUpdate;
use super::retry_budget::SendCount;
use super::trial::TrialVerdict;
use super::trial_progress::TrialProgress;
use super::trial_stats::RouteStats;
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// Time between two notes to the same box, in milliseconds.
pub const GOSSIP_INTERVAL_MS: u64 = 500;

/// A box that has said nothing for this long is no longer named to callers, in milliseconds: three
/// notes in a row may be lost, the fourth is late.
pub const SILENT_MS: u64 = 1_800;

/// A box that has said nothing for this long is forgotten, in milliseconds.
pub const PEER_EXPIRY_MS: u64 = 60_000;

/// Boxes that a note is sent to each time; at most this many, chosen anew.
pub const GOSSIP_FANOUT: usize = 12;

/// Of these, boxes of the sender's own availability zone at most: bytes between zones are paid for, and boxes of one
/// zone mostly choose among the same replicas. The rest keeps word going between zones: each hears eight notes a
/// second from the others.
pub const GOSSIP_SAME_ZONE: usize = 8;

/// Boxes that read the store often, at least: any two may be gone at once.
pub const READERS_MIN: usize = 3;

/// A box that was heard of through others is taken for living for this long after it spoke, in
/// milliseconds: where notes go to a few of many boxes, word of one takes up to three rounds.
pub const INDIRECT_SILENT_MS: u64 = 2_500;

/// Boxes that ask one reader, at most, with an ask each [`SYNC_INTERVAL_MS`]: some 80 answers a second, a
/// hundredth of a core.
pub const CLIENTS_PER_READER: usize = 64;

/// A box that was started lately acts on finding itself a reader after this, in milliseconds: each knows few
/// others yet and would take itself for one. Of 300 that start together 94 did after one second, 8 after this.
pub const START_SETTLE_MS: u64 = 1_500;

/// Any other box does after this, in milliseconds: it takes over before the others, who no longer hear from a
/// reader, read the store themselves.
pub const READER_SETTLE_MS: u64 = 300;

/// A box was started lately for this long, in milliseconds: until then word of all others has come.
pub const STARTED_LATELY_MS: u64 = 5_000;

/// A box that has started asks others for what it must know, and reads the store itself only after
/// this, in milliseconds: some answers' way between zones. It asks again after as long, then after twice as
/// long each time: where all start at once, the few that all know of must not be asked more than they can
/// answer.
pub const START_SYNC_MS: u64 = 40;

/// Times that the pause between a starting box's asks is doubled, at most: then it asks as often as any other.
pub const START_SYNC_DOUBLINGS: u32 = 3;

/// A box that others are told to ask first reads the store this long after its start at the latest, by chance,
/// if nobody knew, in milliseconds: the others wait for it.
pub const START_SEED_MS: u64 = 40;

/// Any other box reads the store itself this long after its start at the earliest, in milliseconds: three asks
/// of those that read first, and less than the second that callers give a connection.
pub const START_WAIT_MS: u64 = 250;

/// Beyond [`START_WAIT_MS`], by chance, in milliseconds: of boxes that start at the same moment few read the
/// store, and tell the others.
pub const START_SPREAD_MS: u64 = 750;

/// A box that has started waits so long for each box that comes before it in reading the store, in milliseconds: some of
/// those have time to begin, and to say so.
pub const START_TURN_MS: u64 = 100;

/// It waits no longer than this, in milliseconds, for boxes that read the store or know all to tell it: they may be unable to.
pub const START_SYNC_LIMIT_MS: u64 = 10_000;

/// A box that could not reach the store goes behind the others in reading it for this long, in milliseconds,
/// unless a call succeeds.
pub const STORE_UNREACHABLE_MS: u64 = 20_000;

/// Time between two asks, in milliseconds.
pub const SYNC_INTERVAL_MS: u64 = 800;

/// A box that hears that another has read further asks that one for the records, and reads the store
/// itself after this, in milliseconds: an ask and its answer, once lost and repeated.
pub const BEHIND_MS: u64 = 500;

/// Who got no answer asks another box after this, in milliseconds: answers take a few.
pub const SYNC_RETRY_MS: u64 = 150;

/// A box that lost the store, and whose last ask was answered within this, in milliseconds, leaves it to the readers
/// to find out when the store is back: two asks, once lost. Calls of 300 boxes in an outage of 8 s:
/// 415 in place of 1,094 (virtual time).
pub const SYNC_ANSWERED_MS: u64 = 1_700;

/// An answer to an ask that was sent longer ago says nothing, in milliseconds.
pub const SYNC_RESPONSE_LIMIT_MS: u64 = 3_000;

/// Boxes told of beyond those with duties: who follows when one dies is known by then.
pub const SPARE_DUTY_HOLDERS: usize = 2;

/// Of this many notes of a box that was not started lately one tells of others: each box hears two dozen notes
/// a second where not all reach all, and word of others was half of their bytes.
pub const PEERS_EVERY_MESSAGES: u64 = 4;

/// Addresses of other boxes that a note tells of.
pub const ADDRESSES_PER_MESSAGE: usize = 6;

/// Addresses in an answer to a caller, at most; the platform's limit.
pub const ADVERTISED_LIMIT: usize = 64;

/// What a box says of one trial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrialUpdate {
    /// Service.
    pub service: String,
    /// Version on trial.
    pub version: String,
    /// How far it has come.
    pub progress: TrialProgress,
    /// The last mark in the store that the sender knows of.
    pub marked: TrialProgress,
    /// What the sender saw.
    pub tallies: RouteStats,
}

/// What a box says of its further sends to a service in a window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BudgetUpdate {
    /// Service.
    pub service: String,
    /// Its counts.
    pub count: SendCount,
}

/// What a box says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PeerInfo {
    /// Random number of this life of its process.
    pub incarnation: u64,
    /// Where it hears notes.
    #[serde(rename = "note_address")]
    pub gossip_address: String,
    /// Where it takes callers.
    pub entry_address: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether callers may be sent to it.
    pub open: bool,
    /// Whether it can't reach the store.
    #[serde(rename = "cut")]
    pub store_unreachable: bool,
    /// Whether it reads the store for the others.
    pub reads: bool,
    /// Whether it can answer many others; see [`BoxCapacity::is_strong`].
    pub strong: bool,
}

impl PeerInfo {
    /// Whether callers may be sent to it, or it reads the store for the others.
    pub fn serves(&self) -> bool {
        self.open || self.reads
    }
}

/// What a box tells another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipMessage {
    /// Name of the sender.
    pub name: String,
    /// Number of the note; a lower one than seen is old.
    pub number: u64,
    /// What the sender says of itself.
    pub info: PeerInfo,
    /// The store's era, as far as it knows.
    pub era: u64,
    /// How far it knows the operator's records.
    pub known: PlanPosition,
    /// How long ago that was all there was, in milliseconds; `None` if it has read nothing yet.
    pub read_age_ms: Option<u64>,
    /// Availability zones under evacuation, as far as the sender knows.
    pub evacuation: EvacuationDigest,
    /// The ask that this note answers.
    pub in_reply_to: Option<SyncRequest>,
    /// Changes to the replicas' entries: in an answer what the ask wants, else what is news.
    pub changes: Vec<BackendChange>,
    /// How far an answer shows the replicas' entries.
    pub entries: EntryCoverage,
    /// Loads of busy replicas.
    pub loads: Vec<LoadUpdate>,
    /// Replicas that could not be reached.
    pub down: Vec<UnreachableUpdate>,
    /// Limits that replicas name, or name no more.
    pub limits: Vec<LimitUpdate>,
    /// Ends of replicas while they worked on requests.
    pub crashes: Vec<CrashUpdate>,
    /// Contents that crash replicas, or turned out not to.
    pub contents: Vec<PoisonUpdate>,
    /// Further sends.
    pub budgets: Vec<BudgetUpdate>,
    /// Paces of models.
    pub latencies: Vec<LatencyUpdate>,
    /// Trials under way.
    pub trials: Vec<TrialUpdate>,
    /// Verdicts known.
    pub verdicts: Vec<TrialVerdict>,
    /// Where other boxes hear notes.
    pub others: Vec<String>,
    /// Boxes with duties for the others, where a note does not reach all.
    pub duty_holders: Vec<PeerSummary>,
}

/// How far a box knows the operator's records. A newer plan goes before a later position: a store that came back from a
/// copy may have lost that plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanPosition {
    /// Version of the plan; 0 without one.
    pub version: u64,
    /// Position up to which the records were read.
    pub read_to: TopicPosition,
}

/// How far an answer shows the replicas' entries; see [`super::entry_sync::EntryAnswer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCoverage {
    /// All changes before this position are known with it.
    pub known_to: Option<TopicPosition>,
    /// How long ago that was all there was, in milliseconds.
    pub age_ms: Option<u64>,
    /// The page of a listing, if it is one.
    pub page: Option<ListingPage>,
}

/// What a box tells of another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerSummary {
    /// Name.
    pub name: String,
    /// What it said of itself.
    pub info: PeerInfo,
    /// How long ago it spoke, in milliseconds.
    pub age_ms: u64,
}

/// A box's question to a reader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyncRequest {
    /// Where the answer goes.
    pub gossip_address: String,
    /// Random number of this life of the asker's process.
    pub incarnation: u64,
    /// The asker's clock when it asked.
    pub asked_at: BoxTime,
    /// How far it knows the operator's records: it wants what is behind.
    pub known: PlanPosition,
    /// What it wants to know of the replicas' entries.
    pub entries: EntryQuery,
}
