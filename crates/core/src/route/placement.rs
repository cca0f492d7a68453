//! What it costs to have a prompt read at a replica, in milliseconds: how long its own answer takes to
//! begin, and what the choice takes from others.
//!
//! The load pattern: replicas go down at full load, or a burst of long prompts comes, and a prompt that is
//! put behind another of a large model begins seconds late while a replica beside it is free. The designated of
//! a prompt's shared parts is worth waiting for exactly as long as they take to read; another availability
//! zone is worth its bytes where the time that it saves is longer. No margin of load says either.

/// Reading shared parts that another replica cached takes the replica's time from those that come after,
/// too: it counts this many times beside the request's own delay.
pub const READ_AGAIN_WEIGHT: f64 = 1.0;

/// Time that keeping a kilobyte within its availability zone is worth, in milliseconds: operators pay for
/// bytes between zones, and nothing on the wire tells how much.
/// Where bytes are dear, mean payoff less prices of 20 days with trouble 0.636 at 2 ms, 0.648 at 8, 0.647 at 30;
/// where they are cheap 0 gains 0.007 and 0.014 on 15 days each.
pub const ZONE_KB_MS: f64 = 8.0;

/// Shared parts are held once in each zone where reading them takes at most this many times what sending a
/// prompt to another zone costs: they are asked for again within minutes, and else cross each time.
pub const ZONE_CACHE_RATIO: f64 = 4.0;

/// A prompt that takes a replica at least this long is told to other boxes at once, in milliseconds: what
/// is shorter drains before others' next requests.
pub const PLACEMENT_GOSSIP_WORK_MS: f64 = 100.0;

/// Word of a long prompt that a box has placed: its work is there before any answer of the replica tells of
/// it, and so are its shared parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementUpdate {
    /// The replica, by [`super::backend::backend_hash`] of its id.
    pub replica: u64,
    /// [`PromptWork::shared`].
    pub shared: u64,
    /// Time that it takes to read, in milliseconds.
    pub work_ms: u32,
}

/// Urgency at a replica of a prompt for the smallest model: it takes a tenth of the time of a large one's,
/// and most answers are its. Late answers 0.088 to 0.073 of all, on 20 days with trouble.
const SMALL_URGENCY: u8 = 0;

/// Urgency of any other prompt: what replicas take one without a word for.
const DEFAULT_URGENCY: u8 = 5;

/// Urgency at a replica of a prompt for the model in row `size`.
pub fn urgency(size: usize) -> u8 {
    if size == 0 {
        SMALL_URGENCY
    } else {
        DEFAULT_URGENCY
    }
}

/// What reading a request's prompt takes, at the pace of its model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptWork {
    /// Hash of its shared parts and its model; 0 for none.
    pub shared: u64,
    /// Time to read the shared parts, in milliseconds.
    pub shared_ms: f64,
    /// Time to read the rest, in milliseconds.
    pub own_ms: f64,
    /// Kilobytes that go to the replica.
    pub kilobytes: f64,
}

impl PromptWork {
    /// What sending it to another availability zone costs, in milliseconds.
    pub fn crossing_ms(&self) -> f64 {
        self.kilobytes * ZONE_KB_MS
    }

    /// Whether each zone is to hold the shared parts, in place of one replica for all.
    pub fn cached_per_zone(&self) -> bool {
        self.shared_ms <= ZONE_CACHE_RATIO * self.crossing_ms()
    }

    /// Time to read what a replica lacks, in milliseconds.
    pub fn read_ms(&self, cached: bool) -> f64 {
        self.own_ms + if cached { 0.0 } else { self.shared_ms }
    }
}

/// A replica as a placement sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaView {
    /// Work that waits there, in milliseconds.
    pub wait_ms: f64,
    /// How many times longer than others it takes, since it has just started.
    pub slowness: f64,
    /// Its load as a share of its slots: prompts are read between the tokens of what runs.
    pub load: f64,
    /// Whether it is known to hold the prompt's shared parts.
    pub cached: bool,
    /// Whether it is the one that all boxes have the shared parts read at.
    pub designated: bool,
    /// Whether it is in the box's availability zone.
    pub same_zone: bool,
}

impl ReplicaView {
    /// Time until the answer begins, without what it takes on an idle replica beside reading, in
    /// milliseconds.
    pub fn expected_ms(&self, work: &PromptWork) -> f64 {
        self.slowness * (self.wait_ms + work.read_ms(self.cached) * (1.0 + self.load))
    }

    /// What placing the request there costs, in milliseconds.
    pub fn cost_ms(&self, work: &PromptWork) -> f64 {
        let again =
            if self.cached || self.designated { 0.0 } else { READ_AGAIN_WEIGHT * work.shared_ms };
        let crossing = if self.same_zone { 0.0 } else { work.crossing_ms() };
        self.expected_ms(work) + again + crossing
    }
}
