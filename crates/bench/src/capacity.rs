//! Measurements for docs/CAPACITY.md: time of one decision, size of a box's state, and control
//! messages in virtual time.

use ravenspoke_core::appender::LogStream;
use ravenspoke_core::bundle::BundleSpec;
use ravenspoke_core::effect::BoxEffect;
use ravenspoke_core::event::{
    AttemptEnd, BoxEvent, EventStamp, RequestDetails, RequestTarget, RequestTicket,
};
use ravenspoke_core::message::{LogRecord, RecordBody};
use ravenspoke_core::replica::{ListedReplica, LoadReport};
use ravenspoke_core::state::BoxState;
use ravenspoke_core::time::{BoxTime, WallTime};

use crate::fixture::{box_settings, bundle, caller_hash, listed_box, signed_record};
use crate::fleet::VirtualFleet;

/// Size of the deployment for which a decision is timed.
#[derive(Clone, Copy, Debug)]
pub struct DecisionSize {
    /// Listed boxes.
    pub boxes: usize,
    /// Versions of models.
    pub versions: usize,
    /// Replicas that the box list names.
    pub replicas: usize,
    /// Client accounts.
    pub accounts: usize,
}

impl DecisionSize {
    /// Size of a present-day deployment.
    pub const TODAY: Self = Self { boxes: 9, versions: 6, replicas: 20, accounts: 10 };
    /// Size that the design must support.
    pub const TARGET: Self = Self { boxes: 930, versions: 31, replicas: 7_400, accounts: 1_000 };
}

/// A bundle of this size: one model for each version, and a cascade over the first two models.
pub fn sized_bundle(size: DecisionSize) -> BundleSpec {
    let mut text = String::new();
    for version in 0..size.versions {
        text += &format!(
            "[models.m{version}]\ncost_per_1k = {}.0\nversion = \"m{version}-1\"\n\
             [versions.m{version}-1]\nmodel = \"m{version}\"\nstate = \"serving\"\n",
            version * 9 + 1
        );
    }
    text += "[cascades.assist]\nrungs = [\"m0\", \"m1\"]\ntarget = 0.9\n";
    for account in 0..size.accounts {
        let hash = hex::encode(caller_hash(&format!("key-{account}")));
        text +=
            &format!("[accounts.a{account}]\nkey_hashes = [\"{hash}\"]\nallow = [\"assist\"]\n");
    }
    bundle(&text)
}

/// `count` replicas as rows of the box list.
pub fn sized_replicas(count: usize) -> Vec<ListedReplica> {
    let row = |index| ListedReplica {
        name: format!("engine-{index}"),
        address: format!("10.{}.{}.1:80", index / 256, index % 256),
        zone: format!("zone-{}", index % 7),
        service: "engines".to_owned(),
        engine: true,
        leaving: false,
    };
    (0..count).map(row).collect()
}

/// The event stamp of request `number`.
pub fn stamp(number: u64) -> EventStamp {
    // Requests are ten microseconds apart, so that the reducer has no idle time to catch up with.
    let now = BoxTime::from_micros(5_000_000 + number * 10);
    EventStamp { now, wall: WallTime(1), random: number.wrapping_mul(0x9E37_79B9_7F4A_7C15) }
}

/// A box in a deployment of this size, with a bundle in force, a load report of every replica and
/// 400 ratings of each of two versions.
pub fn loaded_box(size: DecisionSize) -> BoxState {
    let mut settings = box_settings("box-0", "zone-0", 1);
    settings.rate_share = 0;
    settings.bill_limit = usize::MAX;
    let mut state = BoxState::new(settings);
    let boxes =
        (0..size.boxes).map(|i| listed_box(&format!("box-{i}"), &format!("zone-{}", i % 7)));
    let boxes = boxes.collect();
    let list = BoxEvent::ListRead { boxes, replicas: sized_replicas(size.replicas) };
    state.apply(stamp(0), list);
    let record = signed_record(None, &sized_bundle(size));
    let record = LogRecord { incarnation: 0, body: Some(RecordBody::Bundle(record)) };
    let now = stamp(0).now;
    state.apply(
        stamp(0),
        BoxEvent::LogRead {
            stream: LogStream::Bundles,
            asked_at: now,
            first: 0,
            tail: 1,
            age_ms: 0,
            records: vec![(0, record)],
        },
    );
    for index in 0..size.replicas {
        let versions = vec![format!("m{}-1", index % size.versions)];
        let report = LoadReport { versions, slots: 64, ..LoadReport::default() };
        let replica = format!("engine-{index}");
        state.apply(stamp(0), BoxEvent::LoadReported { replica, at: now, report });
    }
    for number in 0..400 {
        for (version, good) in [("m0-1", number % 4 > 0), ("m1-1", true)] {
            let (version, class) = (version.to_owned(), (number % 3) as u8);
            state.apply(
                stamp(0),
                BoxEvent::ReleasedAnswerRated { version, class, good: Some(good) },
            );
        }
    }
    state
}

/// The event that request `number` arrives.
pub fn arrival(number: u64) -> BoxEvent {
    BoxEvent::RequestArrived(RequestDetails {
        ticket: RequestTicket(number),
        id: u128::from(number),
        key_hash: caller_key(),
        target: RequestTarget::Model {
            name: "assist".to_owned(),
            prompt_tokens: 100,
            class: (number % 3) as u8,
            prefix: number % 100 + 1,
            session: None,
        },
        caller_key: None,
    })
}

/// Runs a request from its placement to its bill, and returns the number of attempts.
pub fn end(state: &mut BoxState, number: u64, effects: Vec<BoxEffect>) -> u32 {
    let mut attempts = 0;
    for effect in effects {
        if let BoxEffect::PrepareAttempt(_, key, _) = effect {
            attempts += 1;
            state.apply(stamp(number), BoxEvent::SendStarting(key));
            let end = AttemptEnd::Answered { tokens: 100, status: 200, body: Vec::new() };
            state.apply(stamp(number), BoxEvent::AttemptEnded(key, end));
            state.apply(stamp(number), BoxEvent::AppendDone(LogStream::Bills));
        }
    }
    attempts
}

/// Runs a request from its arrival to its bill, and returns the number of attempts.
pub fn decide(state: &mut BoxState, number: u64) -> u32 {
    let effects = state.apply(stamp(number), arrival(number));
    end(state, number, effects)
}

fn caller_key() -> [u8; 32] {
    static KEY: std::sync::OnceLock<[u8; 32]> = std::sync::OnceLock::new();
    *KEY.get_or_init(|| caller_hash("key-0"))
}

/// Control traffic of a fleet without requests.
#[derive(Clone, Copy, Debug)]
pub struct ControlTraffic {
    /// Number of boxes.
    pub boxes: usize,
    /// Messages that each box sends a second.
    pub messages: f64,
    /// Bytes that each box sends a second, without TCP and IP headers.
    pub bytes: f64,
    /// Milliseconds until a bundle that one box reads from the log is in force on every box.
    pub spread_ms: u64,
    /// Milliseconds until every box knows that a replica is leaving.
    pub leaving_ms: u64,
}

/// Measures the traffic of heartbeats, and the time in which a bundle and a leaving replica become
/// known through peers alone.
pub fn control_traffic(boxes: usize, seed: u64) -> ControlTraffic {
    let mut fleet = VirtualFleet::new(boxes, 7, seed, sized_replicas(4));
    let spec = sized_bundle(DecisionSize { accounts: 10, ..DecisionSize::TODAY });
    let publish = |fleet: &mut VirtualFleet, spec: &BundleSpec| {
        let base = fleet.boxes[0].state.in_force().cloned();
        let record = signed_record(base.as_ref(), spec);
        let body = Some(RecordBody::Bundle(record));
        fleet.append_records(LogStream::Bundles, vec![LogRecord { incarnation: 0, body }]);
    };
    publish(&mut fleet, &spec);
    fleet.run_ms(10_000);
    let sent = |fleet: &VirtualFleet| {
        let messages: u64 = fleet.boxes.iter().map(|row| row.sent_messages).sum();
        let bytes: u64 = fleet.boxes.iter().map(|row| row.sent_bytes).sum();
        (messages, bytes)
    };
    let before = sent(&fleet);
    fleet.run_ms(10_000);
    let after = sent(&fleet);
    let per_box = |count: u64| count as f64 / 10.0 / boxes as f64;

    fleet.log_unreachable.extend(1..boxes);
    let changed = BundleSpec {
        cascades: [("assist".to_owned(), spec.cascades["assist"].clone())]
            .into_iter()
            .map(|(name, cascade)| {
                (name, ravenspoke_core::bundle::CascadeSpec { target: 0.8, ..cascade })
            })
            .collect(),
        ..spec
    };
    publish(&mut fleet, &changed);
    let spread_ms =
        time_until(&mut fleet, |fleet| fleet.boxes.iter().all(|row| row.state.sequence() == 2));
    let report = LoadReport { leaving: true, slots: 1, ..LoadReport::default() };
    let at = fleet.box_time(0);
    let replica = "engine-0".to_owned();
    fleet.feed(0, BoxEvent::LoadReported { replica, at, report });
    let leaving_ms = time_until(&mut fleet, |fleet| {
        fleet.boxes.iter().all(|row| {
            let key = row.state.replicas().find("engine-0");
            key.and_then(|key| row.state.replicas().get(key)).is_some_and(|row| row.leaving)
        })
    });
    ControlTraffic {
        boxes,
        messages: per_box(after.0 - before.0),
        bytes: per_box(after.1 - before.1),
        spread_ms,
        leaving_ms,
    }
}

/// Runs the fleet until `done`, and returns the milliseconds that it took, `BOUND_MS` at most.
fn time_until(fleet: &mut VirtualFleet, done: impl Fn(&VirtualFleet) -> bool) -> u64 {
    /// Longest wait, in milliseconds.
    const BOUND_MS: u64 = 60_000;
    let mut waited = 0;
    while !done(fleet) && waited < BOUND_MS {
        fleet.run_ms(10);
        waited += 10;
    }
    waited
}
