//! Golden files: scenarios as traces of events and of the effects that follow them.
//!
//! Each scenario is a list of events on real reducers in virtual time. The files under
//! `tests/golden` hold the expected traces; `UPDATE_EXPECT=1 cargo test` rewrites them.

use std::fmt::Write;

use expect_test::expect_file;
use ravenspoke_bench::fixture::{bundle, caller_hash, listed_replica, signed_record};
use ravenspoke_bench::fleet::{VirtualFleet, WALL_START_MS};
use ravenspoke_core::appender::LogStream;
use ravenspoke_core::bundle::BundleSpec;
use ravenspoke_core::effect::BoxEffect;
use ravenspoke_core::event::{AttemptEnd, BoxEvent, RequestDetails, RequestTarget, RequestTicket};
use ravenspoke_core::ids::RequestKey;
use ravenspoke_core::message::{LogRecord, RecordBody};
use ravenspoke_core::replica::LoadReport;

/// A scenario that runs on a virtual fleet, and its trace so far.
struct ScenarioTrace {
    fleet: VirtualFleet,
    text: String,
    keys: std::collections::BTreeMap<u64, (usize, RequestKey)>,
    token: Option<String>,
    versions: [String; 3],
}

/// Names that a deployment gives to its small and large model, cascade, account and service.
struct Deployment {
    small: &'static str,
    large: &'static str,
    cascade: &'static str,
    account: &'static str,
    service: &'static str,
}

const COTEAU: Deployment = Deployment {
    small: "assist-small",
    large: "assist-large",
    cascade: "assist",
    account: "pipeline-shops",
    service: "lic-broker",
};

const AGENCY: Deployment = Deployment {
    small: "analise-curta",
    large: "analise-longa",
    cascade: "clausulas",
    account: "analysts",
    service: "portal",
};

impl Deployment {
    fn bundle(&self, default: u8, first: &str, rollout: bool) -> BundleSpec {
        let Deployment { small, large, cascade, account, service } = self;
        let rollout = match rollout {
            true => format!(
                "[rollouts.{small}-2]\nfrom = \"{small}-1\"\nsteps = [100]\nexposure_budget = 40\n"
            ),
            false => String::new(),
        };
        bundle(&format!(
            "[models.{small}]\ncost_per_1k = 1.0\nversion = \"{small}-{default}\"\n\
             [models.{large}]\ncost_per_1k = 9.0\nversion = \"{large}-1\"\n\
             [versions.{small}-1]\nmodel = \"{small}\"\nstate = \"{first}\"\n\
             [versions.{small}-2]\nmodel = \"{small}\"\nstate = \"serving\"\n\
             [versions.{large}-1]\nmodel = \"{large}\"\nstate = \"serving\"\n\
             [cascades.{cascade}]\nrungs = [\"{small}\", \"{large}\"]\ntarget = 0.9\n{rollout}\
             [accounts.{account}]\nkey_hashes = [\"{}\"]\nallow = [\"{cascade}\", \"{small}\"]\n\
             services = [\"{service}\"]\n\
             [services.{service}]\nnot_repeatable = [\"POST /filings\"]\n",
            hex::encode(caller_hash("key"))
        ))
    }

    fn start_trace(&self) -> ScenarioTrace {
        let replicas = vec![
            listed_replica("engine-1", "engines", true),
            listed_replica("engine-2", "engines", true),
            listed_replica("plain-1", self.service, false),
        ];
        let versions =
            [format!("{}-1", self.small), format!("{}-2", self.small), format!("{}-1", self.large)];
        let fleet = VirtualFleet::new(3, 3, 42, replicas);
        let mut trace = ScenarioTrace {
            fleet,
            text: String::new(),
            keys: Default::default(),
            token: None,
            versions,
        };
        trace.publish("bundle 1", &self.bundle(1, "serving", false));
        trace.wait(3_000);
        trace.loads();
        trace
    }
}

impl ScenarioTrace {
    fn write_line(&mut self, text: &str) {
        let millis = self.fleet.now_us() / 1_000;
        // Writing to a string does not fail.
        let _ = writeln!(self.text, "{millis:>7} ms  {text}");
    }

    fn loads(&mut self) {
        for index in 0..3 {
            for engine in ["engine-1", "engine-2"] {
                let report = LoadReport {
                    versions: self.versions.to_vec(),
                    slots: 64,
                    ..LoadReport::default()
                };
                let at = self.fleet.box_time(index);
                let replica = engine.to_owned();
                self.fleet.feed(index, BoxEvent::LoadReported { replica, at, report });
            }
        }
        self.process_effects();
    }

    fn publish(&mut self, name: &str, spec: &BundleSpec) {
        self.write_line(&format!("> an operator publishes {name}"));
        let base = self.fleet.boxes[1].state.in_force().cloned();
        let record = signed_record(base.as_ref(), spec);
        let body = Some(RecordBody::Bundle(record));
        self.fleet.append_records(LogStream::Bundles, vec![LogRecord { incarnation: 0, body }]);
    }

    fn wait(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.fleet.run_ms(10);
            self.process_effects();
        }
    }

    fn chat(&mut self, ticket: u64, index: usize, name: &str, class: u8) {
        let session = self.token.clone();
        let suffix = if session.is_some() { ", in the session" } else { "" };
        self.write_line(&format!(
            "> request {ticket} to box-{index}: {name}, class {class}{suffix}"
        ));
        let target = RequestTarget::Model {
            name: name.to_owned(),
            prompt_tokens: 40,
            class,
            prefix: 0,
            session,
        };
        self.send_request(ticket, index, target, None);
    }

    fn filing(&mut self, ticket: u64, index: usize, service: &str, key: &str) {
        self.write_line(&format!(
            "> request {ticket} to box-{index}: POST /filings, key {}",
            &key[24..]
        ));
        let target = RequestTarget::Service {
            name: service.to_owned(),
            method: "POST".to_owned(),
            path: "/filings".to_owned(),
        };
        self.send_request(ticket, index, target, Some(key.to_owned()));
    }

    fn send_request(
        &mut self,
        ticket: u64,
        index: usize,
        target: RequestTarget,
        key: Option<String>,
    ) {
        let request = RequestDetails {
            ticket: RequestTicket(ticket),
            id: u128::from(ticket),
            key_hash: caller_hash("key"),
            target,
            caller_key: key,
        };
        self.fleet.feed(index, BoxEvent::RequestArrived(request));
        self.process_effects();
    }

    fn answer(&mut self, ticket: u64, description: &str, end: AttemptEnd) {
        self.write_line(&format!("> the replica: {description} (request {ticket})"));
        let (index, key) = self.keys[&ticket];
        self.fleet.feed(index, BoxEvent::AttemptEnded(key, end));
        self.process_effects();
    }

    fn complete(&mut self, ticket: u64) {
        let end = AttemptEnd::Answered { tokens: 50, status: 200, body: b"filed".to_vec() };
        self.answer(ticket, "a whole answer of 50 tokens", end);
    }

    fn rate(&mut self, ticket: u64, good: bool) {
        self.write_line(&format!(
            "> the rating service: request {ticket} is {}",
            if good { "good" } else { "bad" }
        ));
        let (index, key) = self.keys[&ticket];
        self.fleet.feed(index, BoxEvent::HeldAnswerRated(key, Some(good)));
        self.process_effects();
    }

    /// Traces the effects that concern requests and operators, and sends prepared attempts as a box
    /// would, until no effect is left.
    fn process_effects(&mut self) {
        loop {
            let effects = self.fleet.take_effects();
            if effects.is_empty() {
                return;
            }
            for (index, effect) in effects {
                if let Some(description) = self.describe(index, &effect) {
                    self.write_line(&format!("  box-{index}: {description}"));
                }
                if let BoxEffect::PrepareAttempt(_, key, _) = effect {
                    self.fleet.feed(index, BoxEvent::SendStarting(key));
                }
            }
        }
    }

    fn describe(&mut self, index: usize, effect: &BoxEffect) -> Option<String> {
        Some(match effect {
            BoxEffect::PrepareAttempt(ticket, key, order) => {
                self.keys.insert(ticket.0, (index, *key));
                if order.session_token.is_some() {
                    self.token.clone_from(&order.session_token);
                }
                let held = if order.buffered { ", held until rated" } else { "" };
                let resumed = match order.resume_from {
                    0 => String::new(),
                    tokens => format!(", resumed behind token {tokens}"),
                };
                let version = if order.version.is_empty() { "the service" } else { &order.version };
                let attempt = order.number;
                format!("request {} attempt {attempt}: {version}{held}{resumed}", ticket.0)
            }
            BoxEffect::Send(ticket) => format!("request {} is written", ticket.0),
            BoxEffect::RateHeldAnswer(ticket, _) => {
                format!("request {} goes to be rated", ticket.0)
            }
            BoxEffect::Finish(ticket, reasons) => {
                let slugs: Vec<&str> = reasons.iter().map(|reason| reason.slug()).collect();
                let slugs = slugs.join(", ");
                format!("request {} ends whole and billed: {slugs}", ticket.0)
            }
            BoxEffect::Refuse(ticket, refusal) => format!(
                "request {} is refused: {}, {:?}, come back {}",
                ticket.0,
                refusal.reason.slug(),
                refusal.run(),
                refusal.retry_after_ms.map_or("never".to_owned(), |ms| format!("in {ms} ms")),
            ),
            BoxEffect::Replay(ticket, outcome) => {
                format!("request {} ran earlier; its answer was {}", ticket.0, outcome.status)
            }
            BoxEffect::BundleInForce { sequence, .. } => format!("bundle {sequence} is in force"),
            BoxEffect::BundleRejected(_) => "a bundle is rejected".to_owned(),
            BoxEffect::RolloutHalted(version) => format!("the roll-out of {version} is halted"),
            BoxEffect::ReplicaLeaving(replica) => format!("{replica} is leaving"),
            BoxEffect::OwnerLost { owner, bills } => {
                format!("{owner} vanished; {bills} bills are written for it")
            }
            BoxEffect::Unwitnessed(_) => "a bill has too few witnesses".to_owned(),
            BoxEffect::ExitAllowed => "nothing is owed any more".to_owned(),
            BoxEffect::RolloutStep(version, step) => format!("{version} reached step {step}"),
            _ => return None,
        })
    }
}

fn claim_key(tail: u8) -> String {
    let millis = WALL_START_MS;
    format!("{:08x}-{:04x}-7000-8000-0000000000{tail:02x}", millis >> 16, millis & 0xffff)
}

fn ordinary_requests(deployment: &Deployment) -> ScenarioTrace {
    let mut trace = deployment.start_trace();
    let Deployment { cascade, small, service, .. } = *deployment;
    trace.chat(1, 0, cascade, 0);
    trace.complete(1);
    trace.rate(1, true);
    trace.wait(200);
    trace.chat(2, 1, cascade, 2);
    trace.complete(2);
    trace.rate(2, false);
    trace.complete(2);
    trace.wait(200);
    let key = claim_key(1);
    trace.filing(3, 0, service, &key);
    trace.wait(200);
    trace.complete(3);
    trace.wait(200);
    trace.filing(4, 2, service, &key);
    trace.publish(
        "bundle 2: the second version is the default, the first drains",
        &deployment.bundle(2, "draining", false),
    );
    trace.wait(200);
    trace.chat(5, 2, small, 0);
    trace.complete(5);
    trace.token = None;
    trace.chat(6, 2, small, 0);
    trace.complete(6);
    trace.wait(200);
    trace
}

#[test]
fn ordinary_requests_at_coteau() {
    expect_file!["golden/coteau_day.txt"].assert_eq(&ordinary_requests(&COTEAU).text);
}

#[test]
fn ordinary_requests_at_the_agency() {
    expect_file!["golden/agency_day.txt"].assert_eq(&ordinary_requests(&AGENCY).text);
}

#[test]
fn version_withdrawn_during_a_session() {
    let mut trace = COTEAU.start_trace();
    trace.chat(1, 0, "assist-small", 0);
    trace.complete(1);
    trace.wait(100);
    trace
        .publish("bundle 2: the first version is withdrawn", &COTEAU.bundle(2, "withdrawn", false));
    trace.wait(100);
    trace.chat(2, 1, "assist-small", 0);
    trace.token = None;
    trace.chat(3, 1, "assist-small", 0);
    trace.complete(3);
    trace.wait(100);
    expect_file!["golden/withdrawn_session.txt"].assert_eq(&trace.text);
}

#[test]
fn rollout_of_a_bad_version_is_halted() {
    let mut trace = AGENCY.start_trace();
    trace.publish("bundle 2: the second version is rolled in", &AGENCY.bundle(1, "serving", true));
    trace.wait(200);
    let mut ticket = 1;
    while !trace.text.contains("is halted") && ticket < 60 {
        for index in 0..3 {
            trace.token = None;
            trace.chat(ticket, index, "analise-curta", 0);
            trace.complete(ticket);
            let (version, good) = ("analise-curta-2".to_owned(), Some(false));
            if trace
                .text
                .rsplit("attempt 1: ")
                .next()
                .is_some_and(|text| text.starts_with(&version))
            {
                trace.write_line("> the rating service: bad");
                trace.fleet.feed(index, BoxEvent::ReleasedAnswerRated { version, class: 0, good });
                trace.wait(10);
            }
            ticket += 1;
        }
        trace.wait(100);
    }
    trace.chat(100, 0, "analise-curta", 0);
    expect_file!["golden/bad_version.txt"].assert_eq(&trace.text);
}

#[test]
fn aborted_stream_is_resumed() {
    let mut trace = COTEAU.start_trace();
    trace.chat(1, 0, "assist-small", 0);
    trace.answer(1, "breaks off behind 12 tokens", AttemptEnd::Aborted { delivered: 12 });
    trace.complete(1);
    trace.wait(100);
    trace.chat(2, 0, "assist-small", 0);
    trace.answer(2, "says that it is leaving", AttemptEnd::Declined { leaving: true });
    trace.complete(2);
    trace.wait(100);
    expect_file!["golden/broken_stream.txt"].assert_eq(&trace.text);
}

#[test]
fn log_outage_and_box_crash() {
    let mut trace = AGENCY.start_trace();
    trace.write_line("> the log goes down");
    trace.fleet.log_faults.outage = true;
    trace.chat(1, 0, "analise-curta", 0);
    trace.complete(1);
    trace.wait(500);
    trace.filing(2, 0, "portal", &claim_key(2));
    trace.wait(4_000);
    trace.filing(3, 0, "portal", &claim_key(3));
    trace.write_line("> box-0 dies");
    trace.fleet.kill(0);
    trace.wait(2_000);
    trace.write_line("> the log comes back");
    trace.fleet.log_faults.outage = false;
    trace.wait(12_000);
    expect_file!["golden/outage_and_death.txt"].assert_eq(&trace.text);
}

#[test]
fn claim_owner_is_paused_past_its_deadline() {
    let mut trace = AGENCY.start_trace();
    trace.filing(1, 0, "portal", &claim_key(4));
    trace.write_line("> box-0 is paused");
    trace.fleet.pause(0);
    trace.wait(6_000);
    trace.filing(2, 1, "portal", &claim_key(4));
    trace.wait(200);
    trace.write_line("> box-0 goes on");
    trace.fleet.resume(0);
    trace.process_effects();
    trace.wait(500);
    trace.filing(3, 1, "portal", &claim_key(4));
    trace.wait(200);
    trace.complete(3);
    trace.wait(200);
    expect_file!["golden/paused_holder.txt"].assert_eq(&trace.text);
}

#[test]
fn operators_race_and_a_box_is_stopped() {
    let mut trace = COTEAU.start_trace();
    let first = COTEAU.bundle(2, "serving", false);
    let second = COTEAU.bundle(2, "withdrawn", false);
    trace.publish("bundle 2", &first);
    trace.publish("another bundle 2, on the same base", &second);
    trace.wait(200);
    trace.write_line("> an operator stops box-0");
    trace.fleet.feed(0, BoxEvent::StopRequested);
    trace.chat(1, 0, "assist-small", 0);
    trace.complete(1);
    for _ in 0..1_200 {
        trace.wait(10);
        if trace.text.contains("nothing is owed") {
            break;
        }
    }
    expect_file!["golden/race_and_stop.txt"].assert_eq(&trace.text);
}
