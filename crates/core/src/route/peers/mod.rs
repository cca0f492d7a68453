//! The other boxes: which of them are live, what they know, and which of them callers are directed
//! to.
//!
//! Boxes gossip by datagrams. A gossip message carries the state of its sender and what it
//! observed; callers are no longer directed to a box that was silent for [`SILENT_MS`]. A box that
//! receives a change gossips it at once to a few others, so that it reaches all boxes after a few
//! steps, whatever the size of the fleet.
//!
//! A few boxes, the *store readers*, read the store often; the others send sync requests to one of
//! them. A response states as of when its content was known, and this counts from the *requesting
//! box's* clock: a datagram that was delayed, or a box that was suspended, makes the response
//! older, never newer.
//!
//! `table` keeps what is known of each box, and `duties` decides which boxes act for the fleet.

mod duties;
mod table;

use serde::Serialize;

pub use duties::{BoxCapacity, LocalPeer};
pub use table::{ForwardQuery, PeerState, PeerTable};

use super::backend::BackendChange;
use super::backend_health::UnreachableUpdate;
use super::brittle::BrittleUpdate;
use super::entry_sync::{EntryQuery, ListingPage};
use super::evacuation::EvacuationDigest;
use super::model_latency::LatencyUpdate;
use super::poison::{CrashUpdate, LifeUpdate, PoisonUpdate};
use super::rate_limit::LimitUpdate;
use super::retry_budget::SendCount;
use super::scheduling::account_demand::ShareUpdate;
use super::scheduling::loads::LoadUpdate;
use super::scheduling::replica_speed::SpeedUpdate;
use super::store_access::StoreAccess;
use super::trial::TrialVerdict;
use super::trial_exposure::ExposureCount;
use super::trial_progress::TrialProgress;
use super::trial_stats::RouteStats;
use super::version_history::VersionHistory;
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// Interval between rounds of gossip, in milliseconds.
pub const GOSSIP_INTERVAL_MS: u64 = 500;

/// Callers are no longer directed to a box that was silent for this long, in milliseconds. Three
/// messages in a row may be lost; the fourth is late by then.
pub const SILENT_MS: u64 = 1_800;

/// A box that was silent for this long is forgotten, in milliseconds.
pub const PEER_EXPIRY_MS: u64 = 60_000;

/// Upper bound of the boxes that a round of gossip goes to, chosen anew for each round.
pub const GOSSIP_FANOUT: usize = 12;

/// How many of them may be in the sender's own availability zone. Traffic between zones is paid
/// for, and boxes of a zone mostly choose among the same replicas. The others spread state between
/// zones: each box receives eight messages a second from other zones.
pub const GOSSIP_SAME_ZONE: usize = 8;

/// Lower bound of the number of store readers: any two may fail at once.
pub const READERS_MIN: usize = 3;

/// A box that is known through others counts as live for this long after its last message, in
/// milliseconds. In a fleet where gossip goes to a few of many boxes, it takes up to three rounds
/// to arrive.
pub const INDIRECT_SILENT_MS: u64 = 2_500;

/// Upper bound of the boxes that send sync requests to one reader, each every [`SYNC_INTERVAL_MS`].
/// That is some 80 responses a second, a hundredth of a core.
pub const CLIENTS_PER_READER: usize = 64;

/// Delay before a box that was recently started acts as a store reader, in milliseconds. Each such
/// box knows few others yet and would consider itself a reader: of 300 that start together, 94 do
/// so after one second and 8 after this delay.
pub const START_SETTLE_MS: u64 = 1_500;

/// Delay before any other box acts as a store reader, in milliseconds. It takes over before the
/// others, which no longer receive from a reader, read the store themselves.
pub const READER_SETTLE_MS: u64 = 300;

/// A box counts as recently started for this long, in milliseconds; by then it knows of all others.
pub const STARTED_LATELY_MS: u64 = 5_000;

/// First pause between the sync requests of a starting box, in milliseconds: the time of a few
/// responses between zones. The box reads the store itself only after it. The pause doubles after
/// each request: if all boxes start at once, the few that all of them know must not receive more
/// requests than they can answer.
pub const START_SYNC_MS: u64 = 40;

/// How often that pause is doubled at most; then the box requests as often as any other.
pub const START_SYNC_DOUBLINGS: u32 = 3;

/// A seed reads the store after a random delay below this if no box responded, in milliseconds; the
/// others wait for it.
pub const START_SEED_MS: u64 = 40;

/// Any other box reads the store this long after its start at the earliest, in milliseconds. It
/// covers three sync requests to the boxes that read first, and is less than the second that
/// callers give a connection.
pub const START_WAIT_MS: u64 = 250;

/// Upper bound of a random delay beyond [`START_WAIT_MS`], in milliseconds. Of boxes that start at
/// the same moment, a few read the store and inform the others.
pub const START_SPREAD_MS: u64 = 750;

/// A starting box waits this long for each box before it in the order of reading the store, in
/// milliseconds, so that some of those can begin and announce it.
pub const START_TURN_MS: u64 = 100;

/// Upper bound of the wait for boxes that read the store or know everything, in milliseconds; they
/// may be unable to respond.
pub const START_SYNC_LIMIT_MS: u64 = 10_000;

/// Interval between sync requests, in milliseconds.
pub const SYNC_INTERVAL_MS: u64 = 800;

/// A box that finds another one ahead requests the records from it, and reads the store itself
/// after this, in milliseconds. It covers a request and its response, lost once and repeated.
pub const BEHIND_MS: u64 = 500;

/// A box without a response sends another request after this, in milliseconds; responses take a few
/// milliseconds.
pub const SYNC_RETRY_MS: u64 = 150;

/// A box that cannot reach the store leaves it to others for a while to find out when the store is
/// back, if its last request was answered within this, in milliseconds. It covers two requests, lost
/// once.
pub const SYNC_ANSWERED_MS: u64 = 1_700;

/// A response to a request that was sent longer ago is ignored, in milliseconds.
pub const SYNC_RESPONSE_LIMIT_MS: u64 = 3_000;

/// Number of boxes beyond the duty holders that gossip names, so that successors are known when a
/// duty holder fails.
pub const SPARE_DUTY_HOLDERS: usize = 2;

/// One of this many messages of a box that was not recently started lists other boxes. Each box
/// receives two dozen messages a second if not every message reaches all boxes, and such lists were
/// half of their bytes.
pub const PEERS_EVERY_MESSAGES: u64 = 4;

/// Addresses of other boxes in a message.
pub const ADDRESSES_PER_MESSAGE: usize = 6;

/// Upper bound of the addresses in a response to a caller; the platform's limit.
pub const ADVERTISED_LIMIT: usize = 64;

/// Update on a trial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrialUpdate {
    /// Service.
    pub service: String,
    /// Version on trial.
    pub version: String,
    /// Its progress.
    pub progress: TrialProgress,
    /// The last checkpoint in the store that the sender knows.
    pub checkpoint: TrialProgress,
    /// Statistics of the sender.
    pub stats: RouteStats,
    /// Requests that the sender sent since the order.
    pub exposure: ExposureCount,
    /// What came of the earlier orders for the service.
    pub history: VersionHistory,
}

/// Update on the extra attempts of a box for a service in a window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BudgetUpdate {
    /// Service.
    pub service: String,
    /// Counts of the sender.
    pub count: SendCount,
}

/// State of a box as it reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PeerInfo {
    /// Random number of its process.
    pub incarnation: u64,
    /// Address at which it receives gossip.
    #[serde(rename = "note_address")]
    pub gossip_address: String,
    /// Address at which it accepts callers.
    pub entry_address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether callers may be directed to it.
    pub open: bool,
    /// Its access to the store.
    pub store_access: StoreAccess,
    /// Whether it reads the store, as a store reader or during its start.
    #[serde(rename = "reads")]
    pub reads_store: bool,
    /// Whether it has the capacity to respond to many others; see [`BoxCapacity::is_strong`].
    pub strong: bool,
    /// Key with which requests may be forwarded to it; 0 if it accepts none.
    #[serde(skip)]
    pub forward_key: u64,
    /// Whether it reaches no replica, or did not until recently.
    pub paths_lost: bool,
    /// Hashes of the services of which it reaches no replica.
    pub unreached: Vec<u64>,
}

impl PeerInfo {
    /// Whether callers may be directed to it, or it reads the store.
    pub fn serves(&self) -> bool {
        self.open || self.reads_store
    }
}

/// A gossip message, or the response to a sync request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipMessage {
    /// Name of the sender.
    pub name: String,
    /// Number of the message; one that is not above the last received number is outdated.
    pub number: u64,
    /// State of the sender.
    pub info: PeerInfo,
    /// The store's era as far as the sender knows.
    pub era: u64,
    /// How far the sender knows the operator's records.
    pub plan_position: PlanPosition,
    /// Age of that knowledge, in milliseconds; `None` if the sender has read nothing yet.
    pub read_age_ms: Option<u64>,
    /// Availability zones under evacuation as far as the sender knows.
    pub evacuation: EvacuationDigest,
    /// The sync request that this message answers.
    pub in_reply_to: Option<SyncRequest>,
    /// Changes to the replicas' entries: the requested ones in a response, otherwise recent ones.
    pub changes: Vec<BackendChange>,
    /// Which part of the replicas' entries a response covers.
    pub entries: EntryCoverage,
    /// Loads of busy replicas.
    pub loads: Vec<LoadUpdate>,
    /// Replicas that are unreachable.
    pub unreachable: Vec<UnreachableUpdate>,
    /// Rate limits that replicas state or have withdrawn.
    pub limits: Vec<LimitUpdate>,
    /// Services whose replicas are brittle, or no longer are.
    pub brittle: Vec<BrittleUpdate>,
    /// Crashes of replicas while they processed requests.
    pub crashes: Vec<CrashUpdate>,
    /// Replicas that seemed to have crashed and are alive.
    pub lives: Vec<LifeUpdate>,
    /// Content that crashes replicas, or turned out not to.
    pub poison: Vec<PoisonUpdate>,
    /// Extra attempts.
    pub budgets: Vec<BudgetUpdate>,
    /// Demand of client accounts for services in contention.
    pub shares: Vec<ShareUpdate>,
    /// Latency estimates of models.
    pub latencies: Vec<LatencyUpdate>,
    /// Samples of replicas' speeds.
    pub speeds: Vec<SpeedUpdate>,
    /// Running trials.
    pub trials: Vec<TrialUpdate>,
    /// Known verdicts.
    pub verdicts: Vec<TrialVerdict>,
    /// Gossip addresses of other boxes.
    pub others: Vec<String>,
    /// Duty holders and their successors, if gossip does not reach all boxes directly.
    pub duty_holders: Vec<PeerSummary>,
}

/// How far a box knows the operator's records. A newer plan ranks above a later position: a store
/// that was restored from a copy may have lost that plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanPosition {
    /// Version of the plan; 0 without one.
    pub version: u64,
    /// Position up to which the records were read.
    pub read_to: TopicPosition,
}

/// Which part of the replicas' entries a response covers; see [`super::entry_sync::EntryAnswer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCoverage {
    /// All changes before this position are known with the response.
    pub known_to: Option<TopicPosition>,
    /// Age of that knowledge, in milliseconds.
    pub age_ms: Option<u64>,
    /// The page of a listing, if the response is one.
    pub page: Option<ListingPage>,
}

/// What a box knows of another one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerSummary {
    /// Name.
    pub name: String,
    /// State as that box reported it.
    pub info: PeerInfo,
    /// Time since its last message, in milliseconds.
    pub age_ms: u64,
}

/// A request to another box for what the sender lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyncRequest {
    /// Address for the response.
    pub gossip_address: String,
    /// Random number of the sender's process.
    pub incarnation: u64,
    /// Time of the request on the sender's clock.
    pub asked_at: BoxTime,
    /// How far the sender knows the operator's records; it requests what follows.
    pub plan_position: PlanPosition,
    /// What the sender requests of the replicas' entries.
    pub entries: EntryQuery,
}
