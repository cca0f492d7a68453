//! The reducer: all state of a box, and the one function that changes it.
//!
//! [`BoxState::apply`] passes each event to the module that handles it: `admit` (arriving
//! requests), `choose` (model, version and replica), `run` (attempts), `settle` (ratings, bills and
//! the end of an answer), `log` (folds and appends), `peers` (heartbeats, witnesses and leaving
//! notices), `guard` (rollouts), `orders` (versions that engines should load) and `stop`. `dump`
//! describes the state for operators.

mod admit;
mod choose;
mod dump;
mod guard;
mod log;
mod orders;
mod peers;
mod run;
mod settle;
mod stop;

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::Serialize;
use slotmap::SlotMap;

use crate::appender::{AppendQueue, LogStream};
use crate::attempt::{Attempt, Dispatched, Queued, Ready};
use crate::bills::BillLedger;
use crate::bundle::{BundleIndex, NameIndex};
use crate::cascade::QualityTable;
use crate::claims::ClaimFold;
use crate::effect::BoxEffect;
use crate::event::{BoxEvent, EventStamp, RequestTarget, RequestTicket};
use crate::fair_queue::FairQueue;
use crate::fold::{BundleFold, SignOffRule};
use crate::freshness::{FreshLease, FreshState};
use crate::ids::{AccountKey, ReplicaKey, RequestKey, VersionKey};
use crate::lease::LeaseFold;
use crate::membership::BoxMembership;
use crate::message::{LogRecord, RecordBody};
use crate::reason::ReasonCode;
use crate::replica::ReplicaTable;
use crate::retry::RetryBudget;
use crate::rollout::RolloutState;
use crate::session::{SessionPins, TokenKeys};
use crate::time::BoxTime;

pub use dump::{DecisionRecord, StateDump};

/// Number of decisions kept for `explain`.
pub const DECISION_LIMIT: usize = 4_096;

/// Settings of a box that the reducer needs.
#[derive(Clone, Debug)]
pub struct BoxSettings {
    /// Box name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Operator keys.
    pub sign_off: SignOffRule,
    /// Keys of session tokens.
    pub token_keys: TokenKeys,
    /// How long the log keeps records, in milliseconds.
    pub retention_ms: u64,
    /// How long a request may wait for a replica, in milliseconds.
    pub queue_ms: u64,
    /// How long a claim may wait for the log, in milliseconds.
    pub claim_ms: u64,
    /// How long callers may cache the addresses of boxes, in milliseconds.
    pub entry_keep_ms: u64,
    /// Number of bills waiting for the log at which new requests are refused.
    pub bill_limit: usize,
    /// Share of answers that are rated after release, in 1/256.
    pub rate_share: u64,
}

/// Stage of a request, with the state of its attempt as a type.
#[derive(Clone, Copy, Debug)]
enum RequestStage {
    /// Waits for its claim.
    Claiming(Attempt<Queued>),
    /// Waits for a replica.
    Waiting(Attempt<Queued>),
    /// Has a replica, but nothing was written to it.
    Ready(Attempt<Ready>),
    /// The attempt is dispatched.
    Running(Attempt<Dispatched>),
    /// Its held answer is being rated.
    Rating(Attempt<Dispatched>),
    /// The end of its answer is held until witnesses have the bill.
    Billing,
}

/// Name of a queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum QueueName {
    Version(VersionKey),
    Service(String),
}

/// State of an admitted request.
#[derive(Debug)]
struct RequestState {
    ticket: RequestTicket,
    id: u128,
    account: AccountKey,
    target: RequestTarget,
    /// Key of the bill, if the caller sent an idempotency key.
    bill_key: Option<String>,
    /// Key and nonce of its claim, if it needs one.
    claim: Option<(String, u64)>,
    /// Whether it may run more than once.
    repeatable: bool,
    deadline: BoxTime,
    stage: RequestStage,
    /// Rung of the cascade that answers now.
    rung: usize,
    /// Whether the answer is rated before release.
    gated: bool,
    version: Option<VersionKey>,
    pins: SessionPins,
    pins_changed: bool,
    /// Number of tokens that the caller already has.
    delivered: u32,
    /// Replica that failed this request.
    avoid: Option<ReplicaKey>,
    reasons: Vec<ReasonCode>,
    cost: f64,
    tokens: u32,
    attempts: u32,
}

/// All state of a box.
#[derive(Debug)]
pub struct BoxState {
    settings: BoxSettings,
    names: NameIndex,
    index: BundleIndex,
    fold: BundleFold,
    claims: ClaimFold,
    claim_next: u64,
    verdict_next: u64,
    leases: LeaseFold,
    lease_next: u64,
    /// When this box requested the leases that it has not read back from the log, by pool.
    lease_requested: BTreeMap<String, BoxTime>,
    /// Orders by replica, with time and versions. They are kept because a load takes time to show
    /// in the replica's report.
    ordered: BTreeMap<String, (BoxTime, Vec<String>)>,
    /// When the record of the bundle in force was read, and its age in milliseconds at that time.
    bundle_seen: (BoxTime, u64),
    fresh: FreshLease,
    members: BoxMembership,
    replicas: ReplicaTable,
    quality: QualityTable,
    /// Whether another box has sent ratings.
    quality_received: bool,
    rollouts: BTreeMap<String, RolloutState>,
    queues: BTreeMap<QueueName, FairQueue>,
    retry: RetryBudget,
    appends: BTreeMap<LogStream, AppendQueue>,
    ledger: BillLedger,
    /// Boxes to which bills are sent; chosen again with each heartbeat.
    witnesses: Vec<String>,
    requests: SlotMap<RequestKey, RequestState>,
    tickets: HashMap<RequestTicket, RequestKey>,
    decisions: VecDeque<DecisionRecord>,
    /// Replicas that recently became known to be leaving, with the time. Heartbeats repeat them for
    /// a while.
    leaving_notices: VecDeque<(BoxTime, String)>,
    next_heartbeat: BoxTime,
    next_evidence: BoxTime,
    stopping_since: Option<BoxTime>,
    counts: BoxCounts,
}

/// Counters since the box started.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BoxCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Complete answers.
    pub answered: u64,
    /// Refusals, whether the request ran or not.
    pub refused: u64,
    /// Attempts dispatched.
    pub dispatched: u64,
    /// Retries.
    pub retried: u64,
    /// Escalations of a cascade.
    pub escalated: u64,
}

impl BoxState {
    /// Creates the state of a box that has just started.
    pub fn new(settings: BoxSettings) -> Self {
        let queue = |stream| {
            let limit = if stream == LogStream::Bills { settings.bill_limit } else { 4_096 };
            (stream, AppendQueue::new(limit))
        };
        Self {
            names: NameIndex::default(),
            index: BundleIndex::default(),
            fold: BundleFold::new(settings.sign_off.clone()),
            claims: ClaimFold::default(),
            claim_next: 0,
            verdict_next: 0,
            leases: LeaseFold::default(),
            lease_next: 0,
            lease_requested: BTreeMap::new(),
            ordered: BTreeMap::new(),
            bundle_seen: (BoxTime::default(), 0),
            fresh: FreshLease::default(),
            members: BoxMembership::new(&settings.name),
            replicas: ReplicaTable::new(&settings.name),
            quality: QualityTable::default(),
            quality_received: false,
            rollouts: BTreeMap::new(),
            queues: BTreeMap::new(),
            retry: RetryBudget::default(),
            appends: LogStream::ALL.into_iter().map(queue).collect(),
            ledger: BillLedger::default(),
            witnesses: Vec::new(),
            requests: SlotMap::with_key(),
            tickets: HashMap::new(),
            decisions: VecDeque::new(),
            leaving_notices: VecDeque::new(),
            next_heartbeat: BoxTime::default(),
            next_evidence: BoxTime::default(),
            stopping_since: None,
            counts: BoxCounts::default(),
            settings,
        }
    }

    /// Applies one event and returns what the box must do.
    pub fn apply(&mut self, stamp: EventStamp, event: BoxEvent) -> Vec<BoxEffect> {
        let mut effects = Vec::new();
        let out = &mut effects;
        match event {
            BoxEvent::Tick => self.on_tick(stamp, out),
            BoxEvent::LogRead { stream, asked_at, first, tail, age_ms, records } => {
                let read = log::StreamRead { stream, asked_at, first, tail, age_ms };
                self.on_log_read(stamp, read, records, out);
            }
            BoxEvent::AppendDone(stream) => self.on_append_done(stamp, stream, out),
            BoxEvent::AppendFailed(stream) => self.on_append_failed(stamp, stream),
            BoxEvent::ListRead { boxes, replicas } => {
                self.on_list_read(stamp, boxes, &replicas, out)
            }
            BoxEvent::PeerMessage(message) => self.on_peer_message(stamp, message, out),
            BoxEvent::LoadReported { replica, at, report } => {
                self.on_load_reported(stamp, &replica, at, &report, out);
            }
            BoxEvent::RequestArrived(details) => self.on_request(stamp, details, out),
            BoxEvent::SendStarting(key) => self.on_send_starting(stamp, key, out),
            BoxEvent::FirstToken(key) => self.on_first_token(stamp, key),
            BoxEvent::AttemptEnded(key, end) => self.on_attempt_ended(stamp, key, end, out),
            BoxEvent::HeldAnswerRated(key, good) => {
                self.on_held_answer_rated(stamp, key, good, out)
            }
            BoxEvent::ReleasedAnswerRated { version, class, good } => {
                self.apply_rating(stamp, &version, class, good, out);
            }
            BoxEvent::CallerDisconnected(ticket) => self.on_caller_disconnected(stamp, ticket, out),
            BoxEvent::StopRequested => self.on_stop_requested(stamp, out),
        }
        effects
    }

    fn on_tick(&mut self, stamp: EventStamp, out: &mut Vec<BoxEffect>) {
        self.drain_queues(stamp, out);
        self.expire_claiming(stamp, out);
        self.retry_witnesses(stamp, out);
        self.append_due(stamp, out);
        if stamp.now >= self.next_heartbeat {
            self.next_heartbeat = stamp.now.plus_millis(crate::membership::HEARTBEAT_INTERVAL_MS);
            self.send_heartbeats(stamp, out);
            self.choose_witnesses(stamp);
            self.send_quality(out);
            self.order_pools(stamp, out);
            self.take_over_bills(stamp, out);
            self.carry_bundle(stamp);
            let keep = self.settings.retention_ms + 2 * crate::claims::KEY_SKEW_MS;
            self.claims.remove_expired(stamp.now.as_millis(), keep);
        }
        self.send_evidence(stamp, out);
        self.check_stopped(stamp, out);
    }

    /// Freshness of the box's bundle now.
    pub fn fresh_state(&self, now: BoxTime) -> FreshState {
        let own = self.fold.sequence();
        self.fresh.state(now, self.members.listed_count(), || {
            // If a listed box has a newer bundle, this one is stale and no majority counts.
            if self.members.newest_sequence() > own {
                0
            } else {
                self.members.countable_boxes(now)
            }
        })
    }

    /// Sequence of the bundle in force; 0 for none.
    pub fn sequence(&self) -> u64 {
        self.fold.sequence()
    }

    /// The bundle in force.
    pub fn in_force(&self) -> Option<&crate::fold::BundleInForce> {
        self.fold.in_force()
    }

    /// Next offset to read from a stream that the box follows.
    pub fn next_offset(&self, stream: LogStream) -> u64 {
        match stream {
            LogStream::Claims => self.claim_next,
            LogStream::Verdicts => self.verdict_next,
            LogStream::Leases => self.lease_next,
            _ => self.fold.next_offset(),
        }
    }

    /// Counters since the box started.
    pub fn counts(&self) -> BoxCounts {
        self.counts
    }

    /// Index of the bundle in force.
    pub fn index(&self) -> &BundleIndex {
        &self.index
    }

    /// Interned names.
    pub fn names(&self) -> &NameIndex {
        &self.names
    }

    /// Replicas.
    pub fn replicas(&self) -> &ReplicaTable {
        &self.replicas
    }

    /// Listed boxes.
    pub fn members(&self) -> &BoxMembership {
        &self.members
    }

    fn record(&self, body: RecordBody) -> LogRecord {
        LogRecord { incarnation: self.settings.incarnation, body: Some(body) }
    }

    fn push_record(&mut self, stream: LogStream, body: RecordBody) {
        let record = self.record(body);
        if let Some(queue) = self.appends.get_mut(&stream) {
            queue.push(record);
        }
    }
}

/// Derives another random number from `random`, for a further use within one event.
fn next_random(random: u64) -> u64 {
    crate::replica::mix(random)
}
