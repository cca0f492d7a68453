//! Fixtures: a fleet with a bundle in force, requests, and callers that record results.

use std::collections::BTreeMap;

use ravenspoke_bench::fixture::{bundle, caller_hash, listed_replica, signed_record};
use ravenspoke_bench::fleet::{VirtualFleet, WALL_START_MS};
use ravenspoke_core::appender::LogStream;
use ravenspoke_core::attempt::RunState;
use ravenspoke_core::bills::BillFold;
use ravenspoke_core::bundle::BundleSpec;
use ravenspoke_core::effect::BoxEffect;
use ravenspoke_core::event::{AttemptEnd, BoxEvent, RequestDetails, RequestTarget, RequestTicket};
use ravenspoke_core::ids::RequestKey;
use ravenspoke_core::message::{LogRecord, RecordBody};
use ravenspoke_core::reason::ReasonCode;
use ravenspoke_core::replica::LoadReport;

pub const V1: &str = "small-1";
pub const V2: &str = "small-2";

pub fn bundle_text(default: &str, v1: &str) -> BundleSpec {
    bundle(&format!(
        r#"
[models.small]
cost_per_1k = 1.0
version = "{default}"
[versions.small-1]
model = "small"
state = "{v1}"
[versions.small-2]
model = "small"
state = "serving"
[accounts.alpha]
key_hashes = ["{}"]
allow = ["small"]
services = ["broker"]
[accounts.beta]
key_hashes = ["{}"]
allow = ["small-2"]
[services.broker]
not_repeatable = ["POST /releases"]
"#,
        hex::encode(caller_hash("alpha")),
        hex::encode(caller_hash("beta"))
    ))
}

/// A fleet with a bundle in force, two engines and one broker, each known to every box.
pub fn fleet(boxes: usize) -> VirtualFleet {
    let replicas = vec![
        listed_replica("engine-1", "engines", true),
        listed_replica("engine-2", "engines", true),
        listed_replica("broker-1", "broker", false),
    ];
    let mut fleet = VirtualFleet::new(boxes, 3, 11, replicas);
    publish(&mut fleet, None, &bundle_text(V1, "serving"));
    fleet.run_ms(3_000);
    for index in 0..boxes {
        report_loads(&mut fleet, index);
    }
    fleet
}

pub fn report_loads(fleet: &mut VirtualFleet, index: usize) {
    for name in ["engine-1", "engine-2"] {
        let versions = vec![V1.to_owned(), V2.to_owned()];
        let report = LoadReport { versions, slots: 128, ..LoadReport::default() };
        let at = fleet.box_time(index);
        fleet.feed(index, BoxEvent::LoadReported { replica: name.to_owned(), at, report });
    }
}

/// Publishes `spec` on top of the bundle in force on box `base`, or as the first bundle.
pub fn publish(fleet: &mut VirtualFleet, base: Option<usize>, spec: &BundleSpec) {
    let in_force = base.and_then(|index| fleet.boxes[index].state.in_force().cloned());
    let record = signed_record(in_force.as_ref(), spec);
    let record = LogRecord { incarnation: 0, body: Some(RecordBody::Bundle(record)) };
    fleet.append_records(LogStream::Bundles, vec![record]);
}

pub fn arrival(
    ticket: u64,
    key: &str,
    target: RequestTarget,
    caller_key: Option<&str>,
) -> BoxEvent {
    BoxEvent::RequestArrived(RequestDetails {
        ticket: RequestTicket(ticket),
        id: u128::from(ticket),
        key_hash: caller_hash(key),
        target,
        caller_key: caller_key.map(str::to_owned),
    })
}

pub fn chat(name: &str, session: Option<String>) -> RequestTarget {
    RequestTarget::Model { name: name.to_owned(), prompt_tokens: 10, class: 0, prefix: 0, session }
}

pub fn release() -> RequestTarget {
    RequestTarget::Service {
        name: "broker".to_owned(),
        method: "POST".to_owned(),
        path: "/releases/7".to_owned(),
    }
}

/// A UUIDv7 whose time is `age_ms` before virtual time zero.
pub fn claim_key(age_ms: u64, tail: u16) -> String {
    let millis = WALL_START_MS - age_ms;
    format!("{:08x}-{:04x}-7000-8000-00000000{tail:04x}", millis >> 16, millis & 0xffff)
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEnd {
    Refused(ReasonCode, RunState),
    Finished,
    Replayed(u32),
}

/// Carries out the effects for each request as a box does, and records its runs and its end. The
/// backend servers answer at once.
#[derive(Default)]
pub struct Callers {
    /// Number of sends to backend servers, by ticket.
    pub sends: BTreeMap<u64, u32>,
    /// Versions of the attempts, by ticket.
    pub versions: BTreeMap<u64, Vec<String>>,
    pub ends: BTreeMap<u64, RequestEnd>,
    pub tokens: BTreeMap<u64, String>,
    pub keys: BTreeMap<(usize, u64), RequestKey>,
    /// Whether backend servers withhold their answers.
    pub withhold_answers: bool,
}

impl Callers {
    pub fn drive(&mut self, fleet: &mut VirtualFleet) {
        loop {
            let effects = fleet.take_effects();
            if effects.is_empty() {
                return;
            }
            for (index, effect) in effects {
                self.step(fleet, index, effect);
            }
        }
    }

    pub fn step(&mut self, fleet: &mut VirtualFleet, index: usize, effect: BoxEffect) {
        match effect {
            BoxEffect::PrepareAttempt(ticket, key, order) => {
                self.keys.insert((index, ticket.0), key);
                self.versions.entry(ticket.0).or_default().push(order.version);
                if let Some(token) = order.session_token {
                    self.tokens.insert(ticket.0, token);
                }
                fleet.feed(index, BoxEvent::SendStarting(key));
            }
            BoxEffect::Send(ticket) => {
                *self.sends.entry(ticket.0).or_default() += 1;
                if !self.withhold_answers {
                    self.answer(fleet, index, ticket.0);
                }
            }
            BoxEffect::Finish(ticket, _) => drop(self.ends.insert(ticket.0, RequestEnd::Finished)),
            BoxEffect::Refuse(ticket, refusal) => {
                self.ends.insert(ticket.0, RequestEnd::Refused(refusal.reason, refusal.run()));
            }
            BoxEffect::Replay(ticket, outcome) => {
                self.ends.insert(ticket.0, RequestEnd::Replayed(outcome.status));
            }
            _ => {}
        }
    }

    pub fn answer(&mut self, fleet: &mut VirtualFleet, index: usize, ticket: u64) {
        let key = self.keys[&(index, ticket)];
        let end = AttemptEnd::Answered { tokens: 10, status: 200, body: b"done".to_vec() };
        fleet.feed(index, BoxEvent::AttemptEnded(key, end));
    }

    pub fn run(&mut self, fleet: &mut VirtualFleet, millis: u64) {
        for _ in 0..millis.div_ceil(20) {
            self.drive(fleet);
            fleet.run_ms(20);
        }
        self.drive(fleet);
    }

    pub fn runs(&self) -> u32 {
        self.sends.values().sum()
    }
}

pub fn bills(fleet: &VirtualFleet) -> BillFold {
    let mut fold = BillFold::default();
    let rows = fleet.streams.get(&LogStream::Bills).map(|(_, rows)| rows.clone());
    for record in rows.unwrap_or_default() {
        if let Some(RecordBody::Bill(bill)) = record.body {
            fold.fold_bill(bill);
        }
    }
    fold
}
