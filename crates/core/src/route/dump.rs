//! The state of a routing box as operators see it.

use serde::Serialize;

use super::backend::BackendState;
use super::paths::PathPhase;
use super::peers::PeerState;
use super::plan::RoutePlan;
use super::poison::PoisonDump;
use super::scheduling::waiting_room::WaitingDump;
use super::trial::VersionTrial;
use super::RouteState;
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// State of a routing box, without the keys of client accounts.
#[derive(Debug, Serialize)]
pub struct RouteDump<'a> {
    /// Box name.
    pub name: &'a str,
    /// Whether callers may be directed to this box.
    pub open: bool,
    /// What the box knows of its network paths to replicas.
    pub paths: PathPhase,
    /// Whether the planned stop has begun.
    pub stopping: bool,
    /// The store's era; 0 if unknown.
    pub store_era: u64,
    /// Position up to which the operator's records were read.
    pub read_to: TopicPosition,
    /// Position up to which the replicas' entries are known.
    pub entries_to: Option<TopicPosition>,
    /// Age of the plan, in milliseconds.
    pub plan_age_ms: Option<u64>,
    /// The plan.
    pub plan: &'a RoutePlan,
    /// Replicas.
    pub backends: Vec<&'a BackendState>,
    /// Availability zones under evacuation.
    pub evacuated: Vec<String>,
    /// Other boxes, by name.
    pub peers: Vec<(&'a String, &'a PeerState)>,
    /// Trials.
    pub trials: Vec<&'a VersionTrial>,
    /// Content that crashes replicas.
    #[serde(rename = "fatal")]
    pub poison: Vec<PoisonDump>,
    /// Requests that wait for room at a replica.
    pub load: WaitingDump,
    /// Number of requests in flight, with those that wait.
    #[serde(rename = "in_hand")]
    pub in_flight: usize,
}

impl RouteState {
    /// Describes the state at `now`.
    pub fn dump(&self, now: BoxTime) -> RouteDump<'_> {
        RouteDump {
            name: &self.settings.name,
            open: self.open(now),
            paths: self.paths.phase(),
            stopping: self.stopping(),
            store_era: self.era,
            read_to: self.read_to,
            entries_to: self.entries.known_to(),
            plan_age_ms: self.fresh.age_ms(now),
            plan: self.table.plan(),
            backends: self.backends.rows().map(|(_, row)| row).collect(),
            evacuated: self.evacuated.zones(),
            peers: self.peers.rows().collect(),
            trials: self.trials.values().collect(),
            poison: self.poison_dump(now),
            load: self.rooms.dump(),
            in_flight: self.requests.len(),
        }
    }
}
