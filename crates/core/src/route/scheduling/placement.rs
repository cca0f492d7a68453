//! Placement cost of a prompt at a replica, in milliseconds: the time until its own answer begins,
//! and the cost to others.
//!
//! Load pattern: replicas fail at full load, or a burst of long prompts arrives, and a prompt
//! queued behind one for a large model begins seconds late while another replica is free. A replica
//! with the prompt's prefix cached is worth waiting for exactly as long as the prefix takes to
//! read. Another availability zone is worth its traffic if it saves more time than that costs. A
//! fixed margin on the load expresses neither.

/// Weight of reading a prefix that another replica has cached, beside the request's own delay. It
/// takes the replica's time from later requests.
pub const READ_AGAIN_WEIGHT: f64 = 1.0;

/// Time that keeping a kilobyte within its availability zone is worth, in milliseconds. Operators
/// pay for traffic between zones, and no message states the price. With expensive traffic, the mean
/// payoff less cost over 20 days with failures was 0.636 at 2 ms, 0.648 at 8 and 0.647 at 30. With
/// cheap traffic a value of 0 gains 0.007 and 0.014 on 15 days each.
pub const ZONE_KB_MS: f64 = 8.0;

/// Each zone caches a prefix of its own if reading it takes at most this many times the cost of
/// sending a prompt to another zone. It is used again within minutes, and each use would otherwise
/// cross zones.
pub const ZONE_CACHE_RATIO: f64 = 4.0;

/// Work from which a prompt is announced to other boxes at once, in milliseconds. A shorter one
/// drains before their next requests.
pub const PLACEMENT_GOSSIP_WORK_MS: f64 = 100.0;

/// A long prompt that a box has placed, as it is announced to other boxes. It informs them of the
/// work and of the cached prefix before any answer of the replica does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementUpdate {
    /// The replica, by [`crate::route::backend::backend_hash`] of its id.
    pub replica: u64,
    /// [`PromptWork::shared`].
    pub shared: u64,
    /// Time to read it, in milliseconds.
    pub work_ms: u32,
}

/// Urgency of prompts for the smallest model: they take a tenth of the time of a large model's, and
/// most answers come from it. It lowers late answers from 0.088 to 0.073 of all, over 20 days with
/// failures.
const SMALL_URGENCY: u8 = 0;

/// Urgency of other prompts: the default of replicas.
const DEFAULT_URGENCY: u8 = 5;

/// Returns the urgency of a prompt for the model in row `size`. Replicas serve lower values first.
pub fn urgency(size: usize) -> u8 {
    if size == 0 {
        SMALL_URGENCY
    } else {
        DEFAULT_URGENCY
    }
}

/// Highest priority that replicas tell apart.
const MAX_PRIORITY: u8 = 4;

/// Highest urgency value that replicas accept.
const MAX_URGENCY: u8 = 9;

/// Returns the urgency of a prompt under overload control, for the model in row `size` if the router
/// chooses it. It follows the order of the waiting room; larger models come one step later.
pub fn load_urgency(priority: u8, over_share: bool, size: Option<usize>) -> u8 {
    let is_large = size.is_some_and(|size| size > 0);
    let base = 2 * priority.min(MAX_PRIORITY) + u8::from(over_share);
    (base + u8::from(is_large)).min(MAX_URGENCY)
}

/// Work of reading a request's prompt, at the latency of its model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptWork {
    /// Hash of the prefix and the model; 0 without a prefix.
    pub shared: u64,
    /// Time to read the prefix, in milliseconds.
    pub shared_ms: f64,
    /// Time to read the rest, in milliseconds.
    pub own_ms: f64,
    /// Kilobytes sent to the replica.
    pub kilobytes: f64,
}

impl PromptWork {
    /// Returns the cost of sending the prompt to another availability zone, in milliseconds.
    pub fn crossing_ms(&self) -> f64 {
        self.kilobytes * ZONE_KB_MS
    }

    /// Returns whether each zone caches the prefix, rather than one replica for all.
    pub fn cached_per_zone(&self) -> bool {
        self.shared_ms <= ZONE_CACHE_RATIO * self.crossing_ms()
    }

    /// Returns the time to read what the replica has not cached, in milliseconds.
    pub fn read_ms(&self, cached: bool) -> f64 {
        self.own_ms + if cached { 0.0 } else { self.shared_ms }
    }
}

/// The state of a replica that its placement cost depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaView {
    /// Work queued, in milliseconds.
    pub wait_ms: f64,
    /// Factor by which it is slower than others, since it has just started or by its learned speed.
    pub slowness: f64,
    /// Load as a share of its slots. Prompts are read between the tokens of running requests.
    pub load: f64,
    /// Whether it is known to have the prompt's prefix cached.
    pub cached: bool,
    /// Whether it is designated to cache the prefix for all boxes.
    pub designated: bool,
    /// Whether it is in the box's availability zone.
    pub same_zone: bool,
}

impl ReplicaView {
    /// Returns the time until the answer begins, beyond that of an idle replica with an empty
    /// prompt, in milliseconds.
    pub fn expected_ms(&self, work: &PromptWork) -> f64 {
        self.slowness * (self.wait_ms + work.read_ms(self.cached) * (1.0 + self.load))
    }

    /// Returns the cost of placing the request there, in milliseconds.
    pub fn cost_ms(&self, work: &PromptWork) -> f64 {
        let reread_ms =
            if self.cached || self.designated { 0.0 } else { READ_AGAIN_WEIGHT * work.shared_ms };
        let crossing_cost_ms = if self.same_zone { 0.0 } else { work.crossing_ms() };
        self.expected_ms(work) + reread_ms + crossing_cost_ms
    }
}
