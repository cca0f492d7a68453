//! Runs a scenario under one policy in virtual time, and measures it.
//!
//! One event loop serves every policy. It takes the next event (an arrival, a token, a rating or a
//! load report) and feeds it to the reducers or to the baseline. Engines, ratings and callers are
//! the same for all policies.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use ravenspoke_core::appender::LogStream;
use ravenspoke_core::attempt::RunState;
use ravenspoke_core::effect::{AttemptOrder, BoxEffect};
use ravenspoke_core::event::{AttemptEnd, BoxEvent, RequestDetails, RequestTarget, RequestTicket};
use ravenspoke_core::ids::RequestKey;
use ravenspoke_core::message::{LogRecord, RecordBody};
use ravenspoke_core::replica::{ListedReplica, LoadReport};
use ravenspoke_core::time::BoxTime;

use crate::baseline::{BaselineKind, BaselineRouter};
use crate::engine::{EngineJob, EngineModel, JobTimes, LARGE, SMALL};
use crate::fixture::{bundle, caller_hash, signed_record};
use crate::fleet::VirtualFleet;
use crate::plan::{bundle_text, BadKind, ScenarioPlan, REPORT_US};
use crate::policy::{BenchPolicy, COST, STRENGTH, TARGET};
use crate::workload::{meets, BenchRequest};

/// Time before the first arrival, in microseconds, in which boxes start and read the log.
const WARM_US: u64 = 4_000_000;

/// Duration of a rating, in microseconds.
const RATING_US: u64 = 250_000;

/// Share of ratings that are wrong.
const RATING_ERROR: f64 = 0.02;

/// Time to the first token above which an answer is late, in microseconds.
const LATE_US: u64 = 2_000_000;

/// Maximum number of tries of a caller in `retry_storm`.
const STORM_TRIES: u32 = 3;

/// Measures of a run, by name.
#[derive(Clone, Debug, Default)]
pub struct RunMeasures(pub BTreeMap<&'static str, f64>);

/// A scheduled event of the simulation.
#[derive(Clone, Copy, Debug)]
enum DueEvent {
    Arrive(usize),
    First(usize),
    Done(usize),
    HeldRated(usize),
    Rated(usize),
    Report,
}

/// An attempt on an engine.
#[derive(Clone, Debug)]
struct BenchJob {
    request: usize,
    engine: usize,
    /// 0 cheap, 1 strong.
    model: usize,
    new_version: bool,
    gated: bool,
    owner: Option<(usize, RequestKey)>,
    good: bool,
}

/// State and result of a request.
#[derive(Clone, Debug, Default)]
struct RequestState {
    first_us: Option<u64>,
    attempts: u32,
    tries: u32,
    cost: f64,
    good: Option<bool>,
    refused: bool,
    exposed: bool,
    order: Option<AttemptOrder>,
    box_index: usize,
}

struct ScenarioRun {
    plan: ScenarioPlan,
    rng: StdRng,
    requests: Vec<BenchRequest>,
    states: Vec<RequestState>,
    engines: Vec<EngineModel>,
    jobs: Vec<BenchJob>,
    keys: BTreeMap<usize, RequestKey>,
    last_jobs: Vec<usize>,
    reports: Vec<(u64, Vec<(u32, u32)>)>,
    reported_loads: Vec<u32>,
    fleet: Option<VirtualFleet>,
    baseline: Option<BaselineRouter>,
    due: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<DueEvent>,
    now_us: u64,
    halted_at: Option<u64>,
    tokens: Histogram<u64>,
    hits: (u64, u64),
}

/// Runs a scenario under a policy.
pub fn run(plan: ScenarioPlan, policy: BenchPolicy, seed: u64) -> RunMeasures {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut requests = plan.work.draw(&mut draw);
    if plan.without_large {
        requests.retain(|request| request.account != 0);
    }
    let mut run = ScenarioRun::new(plan, policy, requests, seed);
    run.run();
    run.measure()
}

impl ScenarioRun {
    fn new(
        plan: ScenarioPlan,
        policy: BenchPolicy,
        requests: Vec<BenchRequest>,
        seed: u64,
    ) -> Self {
        let (small, large) = plan.engines;
        let mut engines: Vec<EngineModel> = (0..small + large)
            .map(|index| EngineModel::new(if index < small { SMALL } else { LARGE }))
            .collect();
        if let Some((from, to)) = plan.frozen {
            let span = (WARM_US + from * 1_000_000, WARM_US + to * 1_000_000);
            engines[0].frozen = span;
            engines[small].frozen = span;
        }
        let fleet = match policy {
            BenchPolicy::Ravenspoke(boxes) => Some(start_fleet(plan, boxes, seed)),
            BenchPolicy::Baseline(_) => None,
        };
        let baseline = match policy {
            BenchPolicy::Baseline(kind) => Some(BaselineRouter::new(kind)),
            BenchPolicy::Ravenspoke(_) => None,
        };
        Self {
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            states: vec![RequestState::default(); requests.len()],
            reported_loads: vec![0; engines.len()],
            last_jobs: vec![0; requests.len()],
            plan,
            requests,
            engines,
            jobs: Vec::new(),
            keys: BTreeMap::new(),
            reports: Vec::new(),
            fleet,
            baseline,
            due: BinaryHeap::new(),
            events: Vec::new(),
            now_us: 0,
            halted_at: None,
            tokens: Histogram::new(3).expect("three digits"),
            hits: (0, 0),
        }
    }

    /// Schedules an event.
    fn schedule(&mut self, time_us: u64, due: DueEvent) {
        self.events.push(due);
        let id = self.events.len();
        self.due.push(Reverse((time_us, id as u64, id - 1)));
    }

    fn run(&mut self) {
        for index in 0..self.requests.len() {
            self.schedule(WARM_US + self.requests[index].at_us, DueEvent::Arrive(index));
        }
        self.schedule(WARM_US - 1_000_000, DueEvent::Report);
        let end_us = WARM_US + (self.plan.work.seconds + 40) * 1_000_000;
        while let Some(Reverse((time_us, _, id))) = self.due.pop() {
            if time_us > end_us {
                break;
            }
            self.advance(time_us);
            self.handle(self.events[id]);
            self.effects();
        }
    }

    /// Runs the fleet's own events up to `time_us`.
    fn advance(&mut self, time_us: u64) {
        while self.fleet.as_ref().is_some_and(|fleet| fleet.next_due_us() <= time_us) {
            let Some(fleet) = &mut self.fleet else { break };
            fleet.run_until(fleet.next_due_us());
            self.now_us = fleet.now_us();
            self.effects();
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.run_until(time_us);
        }
        self.now_us = time_us;
    }

    /// Whether the time is at or after `second` of the workload.
    fn since(&self, second: Option<u64>) -> bool {
        second.is_some_and(|second| self.now_us >= WARM_US + second * 1_000_000)
    }

    fn handle(&mut self, due: DueEvent) {
        match due {
            DueEvent::Arrive(request) => self.arrive(request),
            DueEvent::First(job) => self.first(job),
            DueEvent::Done(job) => self.done(job),
            DueEvent::HeldRated(job) => self.on_held_rated(job),
            DueEvent::Rated(job) => self.rated(job),
            DueEvent::Report => self.report(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = self.requests[index];
        self.states[index].refused = false;
        let down = self.since(self.plan.log_down);
        if let Some(fleet) = &mut self.fleet {
            fleet.log_faults.outage = down;
            let box_index = self.rng.gen_range(0..fleet.boxes.len());
            self.states[index].box_index = box_index;
            let ticket = RequestTicket(index as u64 * 8 + u64::from(self.states[index].tries));
            fleet.feed(
                box_index,
                BoxEvent::RequestArrived(RequestDetails {
                    ticket,
                    id: u128::from(ticket.0),
                    key_hash: caller_hash(&format!("account-{}", request.account)),
                    target: RequestTarget::Model {
                        name: "assist".to_owned(),
                        prompt_tokens: request.prompt,
                        class: request.class,
                        prefix: request.prefix,
                        session: None,
                    },
                    caller_key: None,
                }),
            );
            return;
        }
        let random = self.rng.gen();
        let Some(router) = &mut self.baseline else { return };
        let choice = router.model(&request, COST, TARGET, random);
        let canary = router.kind == BaselineKind::FixedCanary
            && choice.model == 0
            && self.plan.bad != BadKind::None
            && self.now_us < WARM_US + 600_000_000
            && self.rng.gen_bool(0.05);
        self.baseline_send(index, choice.model, choice.gated, canary);
    }

    fn baseline_send(&mut self, index: usize, model: usize, gated: bool, new_version: bool) {
        let small = self.plan.engines.0;
        let pool: Vec<usize> = (0..self.engines.len())
            .filter(|engine| (*engine >= small) == (model == 1) && !self.engines[*engine].removed)
            .collect();
        let now: Vec<u32> = self
            .engines
            .iter()
            .map(|engine| engine.running + engine.waiting.len() as u32)
            .collect();
        let (prefix, random) = (self.requests[index].prefix, self.rng.gen());
        let Some(router) = &mut self.baseline else { return };
        let engine = router.replica(&pool, &self.reported_loads, &now, prefix, random);
        self.submit(index, engine, model, gated, new_version, None);
    }

    fn submit(
        &mut self,
        index: usize,
        engine: usize,
        model: usize,
        gated: bool,
        new_version: bool,
        owner: Option<(usize, RequestKey)>,
    ) {
        let request = self.requests[index];
        let good = self.is_good(&request, model, new_version);
        let state = &mut self.states[index];
        state.attempts += 1;
        state.exposed |= new_version;
        state.cost += COST[model] * f64::from(request.tokens) / 1_000.0;
        let id = self.jobs.len();
        self.jobs.push(BenchJob { request: index, engine, model, new_version, gated, owner, good });
        self.last_jobs[index] = id;
        let job = EngineJob {
            id,
            prompt: request.prompt,
            tokens: request.tokens,
            prefix: request.prefix,
        };
        let started = self.engines[engine].submit(job, self.now_us);
        self.started(started);
    }

    fn started(&mut self, times: Option<JobTimes>) {
        let Some(times) = times else { return };
        self.schedule(times.first_us, DueEvent::First(times.id));
        self.schedule(times.done_us, DueEvent::Done(times.id));
        self.hits.0 += u64::from(times.hit);
        self.hits.1 += 1;
        let _ = self.tokens.record(times.token_us as u64);
    }

    fn is_good(&mut self, request: &BenchRequest, model: usize, new_version: bool) -> bool {
        let good = meets(STRENGTH[model], request);
        let minutes = self.now_us.saturating_sub(WARM_US) / 60_000_000;
        let bad_share = match self.plan.bad {
            BadKind::AtOnce => 0.5,
            BadKind::Slowly if minutes >= 3 => 0.33,
            BadKind::OneClass if request.class == 1 => 0.5,
            _ => 0.0,
        };
        good && !(new_version && self.rng.gen_bool(bad_share))
    }

    fn first(&mut self, job: usize) {
        let BenchJob { request, gated, owner, .. } = self.jobs[job];
        if let (Some((box_index, key)), Some(fleet)) = (owner, &mut self.fleet) {
            fleet.feed(box_index, BoxEvent::FirstToken(key));
        }
        if !gated {
            self.states[request].first_us.get_or_insert(self.now_us);
        }
    }

    fn done(&mut self, job: usize) {
        let BenchJob { request, engine, gated, owner, good, .. } = self.jobs[job];
        let next = self.engines[engine].finish(self.now_us);
        self.started(next);
        if !gated {
            self.states[request].good = Some(good);
        }
        if let (Some((box_index, key)), Some(fleet)) = (owner, &mut self.fleet) {
            let tokens = self.requests[request].tokens;
            let end = AttemptEnd::Answered { tokens, status: 200, body: Vec::new() };
            fleet.feed(box_index, BoxEvent::AttemptEnded(key, end));
            return;
        }
        let is_sampled = self.rng.gen_bool(16.0 / 256.0);
        if gated {
            self.schedule(self.now_us + RATING_US, DueEvent::HeldRated(job));
        } else if is_sampled {
            self.schedule(self.now_us + RATING_US, DueEvent::Rated(job));
        }
    }

    fn rating(&mut self, job: usize) -> Option<bool> {
        if self.since(self.plan.rating_down) {
            return None;
        }
        Some(self.jobs[job].good != self.rng.gen_bool(RATING_ERROR))
    }

    fn on_held_rated(&mut self, job: usize) {
        let rating = self.rating(job);
        let BenchJob { request, model, owner, good, .. } = self.jobs[job];
        if rating == Some(true) {
            self.states[request].first_us.get_or_insert(self.now_us);
            self.states[request].good = Some(good);
        }
        if let (Some((box_index, key)), Some(fleet)) = (owner, &mut self.fleet) {
            fleet.feed(box_index, BoxEvent::HeldAnswerRated(key, rating));
            return;
        }
        self.learn(request, model, rating);
        if rating != Some(true) {
            self.baseline_send(request, 1, false, false);
        }
    }

    fn rated(&mut self, job: usize) {
        let rating = self.rating(job);
        let BenchJob { request, model, new_version, owner, .. } = self.jobs[job];
        if let (Some((box_index, _)), Some(fleet)) = (owner, &mut self.fleet) {
            let version = if new_version { "small-2" } else { ["small-1", "large-1"][model] };
            let class = self.requests[request].class;
            let version = version.to_owned();
            fleet.feed(box_index, BoxEvent::ReleasedAnswerRated { version, class, good: rating });
            return;
        }
        self.learn(request, model, rating);
    }

    fn learn(&mut self, request: usize, model: usize, rating: Option<bool>) {
        let class = self.requests[request].class;
        let Some(router) = &mut self.baseline else { return };
        match rating {
            Some(good) => router.quality.add(["small", "large"][model], class, good),
            None => router.quality.rating_failed(),
        }
    }

    fn report(&mut self) {
        let small = self.plan.engines.0;
        if self.since(self.plan.pool_out) {
            let large = small..self.engines.len();
            let half = large.len() / 2;
            for engine in large.take(half) {
                self.engines[engine].removed = true;
            }
        }
        let loads = self.engines.iter().map(|e| (e.running, e.waiting.len() as u32)).collect();
        self.reports.push((self.now_us, loads));
        let asked = self.now_us.saturating_sub(self.plan.lag_us);
        let row = self.reports.iter().rev().find(|(at, _)| *at <= asked).cloned();
        if let Some((at_us, loads)) = row {
            self.feed_report(at_us, &loads);
        }
        if self.reports.len() > 64 {
            self.reports.drain(..32);
        }
        // A fleet of more than 50 boxes asks for reports a quarter as often, as docs/CAPACITY.md
        // says.
        let slower = if self.plan.boxes > 50 { 4 } else { 1 };
        self.schedule(self.now_us + REPORT_US * slower, DueEvent::Report);
    }

    fn feed_report(&mut self, at_us: u64, loads: &[(u32, u32)]) {
        let small = self.plan.engines.0;
        self.reported_loads = loads.iter().map(|(running, waiting)| running + waiting).collect();
        let Some(fleet) = &mut self.fleet else { return };
        for (engine, (running, waiting)) in loads.iter().enumerate() {
            let versions = match engine < small {
                true => vec!["small-1".to_owned(), "small-2".to_owned()],
                false => vec!["large-1".to_owned()],
            };
            let report = LoadReport {
                versions,
                running: *running,
                waiting: *waiting,
                slots: self.engines[engine].kind.slots,
                leaving: self.engines[engine].removed,
            };
            for box_index in 0..fleet.boxes.len() {
                let (replica, report) = (format!("engine-{engine}"), report.clone());
                fleet.feed(
                    box_index,
                    BoxEvent::LoadReported { replica, at: BoxTime::from_micros(at_us), report },
                );
            }
        }
    }

    /// Carries out the effects that the reducers returned.
    fn effects(&mut self) {
        loop {
            let Some(fleet) = &mut self.fleet else { return };
            let effects = fleet.take_effects();
            if effects.is_empty() {
                return;
            }
            for (box_index, effect) in effects {
                self.effect(box_index, effect);
            }
        }
    }

    fn effect(&mut self, box_index: usize, effect: BoxEffect) {
        let index = |ticket: RequestTicket| (ticket.0 / 8) as usize;
        match effect {
            BoxEffect::PrepareAttempt(ticket, key, order) => {
                self.states[index(ticket)].order = Some(order);
                if let Some(fleet) = &mut self.fleet {
                    fleet.feed(box_index, BoxEvent::SendStarting(key));
                }
                self.states[index(ticket)].box_index = box_index;
                self.keys.insert(index(ticket), key);
            }
            BoxEffect::Send(ticket) => self.send(box_index, index(ticket)),
            BoxEffect::RateHeldAnswer(ticket, _) => {
                let job = self.last_job(index(ticket));
                self.schedule(self.now_us + RATING_US, DueEvent::HeldRated(job));
            }
            BoxEffect::RateReleasedAnswer(ticket) => {
                let job = self.last_job(index(ticket));
                self.schedule(self.now_us + RATING_US, DueEvent::Rated(job));
            }
            BoxEffect::Refuse(ticket, refusal) => {
                self.refused(index(ticket), refusal.run(), refusal.retry_after_ms);
            }
            BoxEffect::RolloutHalted(_) => {
                self.halted_at.get_or_insert(self.now_us);
            }
            _ => {}
        }
    }

    fn last_job(&self, request: usize) -> usize {
        self.last_jobs[request]
    }

    fn send(&mut self, box_index: usize, index: usize) {
        let Some(order) = self.states[index].order.clone() else { return };
        let engine = order.replica.trim_start_matches("engine-").parse().unwrap_or(0);
        let model = usize::from(engine >= self.plan.engines.0);
        let key = self.keys.get(&index).copied();
        let owner = key.map(|key| (box_index, key));
        self.submit(index, engine, model, order.buffered, order.version == "small-2", owner);
    }

    fn refused(&mut self, index: usize, run: RunState, _retry_ms: Option<u64>) {
        debug_assert_eq!(run, RunState::NotRun);
        let state = &mut self.states[index];
        state.refused = true;
        state.tries += 1;
        if self.plan.retry_storm && state.tries < STORM_TRIES {
            self.schedule(self.now_us + 10_000, DueEvent::Arrive(index));
        }
    }

    fn measure(&self) -> RunMeasures {
        let mut first = Histogram::<u64>::new(3).expect("three digits");
        let mut small_first = Histogram::<u64>::new(3).expect("three digits");
        let (mut cost, mut answered, mut good, mut late, mut refused, mut exposed) =
            (0.0, 0u64, 0u64, 0u64, 0u64, 0u64);
        let mut attempts = 0u64;
        let from_us = self.plan.measure_from * 1_000_000;
        let measured = |request: &BenchRequest| request.at_us >= from_us;
        for (state, request) in self.states.iter().zip(&self.requests) {
            exposed += u64::from(state.exposed);
            if !measured(request) {
                continue;
            }
            attempts += u64::from(state.attempts);
            refused += u64::from(state.refused);
            cost += state.cost;
            let Some(first_us) = state.first_us else {
                late += u64::from(!state.refused);
                continue;
            };
            let wait = first_us - (WARM_US + request.at_us).min(first_us);
            let _ = first.record(wait);
            if request.account != 0 {
                let _ = small_first.record(wait);
            }
            late += u64::from(wait > LATE_US);
            answered += 1;
            good += u64::from(state.good == Some(true));
        }
        let count = self.requests.iter().filter(|row| measured(row)).count().max(1) as f64;
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        let answered = answered.max(1) as f64;
        let mut rows = BTreeMap::new();
        rows.insert("cost_per_request", cost / answered);
        rows.insert("quality_met", good as f64 / answered);
        rows.insert("ttft_p50", ms(&first, 0.5));
        rows.insert("ttft_p95", ms(&first, 0.95));
        rows.insert("ttft_p99", ms(&first, 0.99));
        rows.insert("small_ttft_p99", ms(&small_first, 0.99));
        rows.insert("itl_p95", ms(&self.tokens, 0.95));
        rows.insert("exposed_requests", exposed as f64);
        let halt_s = self.halted_at.map_or(-1.0, |at| (at - WARM_US) as f64 / 1e6);
        rows.insert("halted_at", halt_s);
        rows.insert("halted", f64::from(u8::from(self.halted_at.is_some())));
        rows.insert("refused", refused as f64 / count);
        rows.insert("late", late as f64 / count);
        rows.insert("attempts_per_request", attempts as f64 / count);
        rows.insert("prefix_hit", self.hits.0 as f64 / self.hits.1.max(1) as f64);
        RunMeasures(rows)
    }
}

fn start_fleet(plan: ScenarioPlan, boxes: usize, seed: u64) -> VirtualFleet {
    let count = plan.engines.0 + plan.engines.1;
    let replicas = (0..count).map(|index| ListedReplica {
        name: format!("engine-{index}"),
        address: format!("engine-{index}:1"),
        zone: "zone-0".to_owned(),
        service: "engines".to_owned(),
        engine: true,
        leaving: false,
    });
    let mut fleet = VirtualFleet::new(boxes, 4, seed, replicas.collect());
    let spec = bundle(&bundle_text(plan));
    let record = signed_record(None, &spec);
    let record = LogRecord { incarnation: 0, body: Some(RecordBody::Bundle(record)) };
    fleet.append_records(LogStream::Bundles, vec![record]);
    fleet
}
