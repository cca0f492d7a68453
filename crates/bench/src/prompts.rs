//! Engines that read long prompts behind routing boxes, in virtual time: deployments drawn at random, a few
//! kinds of trouble, and what callers got of it.
//!
//! One loop serves every policy. Engines read one prompt after another, the more urgent first, keep what
//! they read while memory lasts, and begin an answer when its prompt is read. No bytes are sent.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::prompt_engine::{EngineState, PromptJob};
use crate::prompt_router::{PromptRouter, PromptScene, RouterStep};
use crate::scenario::RunMeasures;

/// Length of a run, in microseconds.
const LENGTH_US: u64 = 60_000_000;

/// Time before the first arrival, in microseconds: boxes hear of each other.
const WARM_US: u64 = 2_000_000;

/// One way between any two processes, in microseconds.
const NET_US: u64 = 1_000;

/// Part of the payoff of an answer that is late, and of one whose model was too weak.
const LATE_PART: f64 = 0.3;
const POOR_PART: f64 = 0.05;

/// Time between two steps of the boxes' clocks, in microseconds.
const TICK_US: u64 = 100_000;

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct PromptClass {
    /// Share of the requests.
    pub share: f64,
    /// Payoff of an answer in time.
    pub worth: f64,
    /// Time within which an answer is to begin, in microseconds.
    pub target_us: u64,
    /// Mean tokens in shared parts and in the rest.
    pub tokens: (f64, f64),
    /// Shared prompts in use.
    pub subjects: u64,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct PromptSite {
    /// Boxes and engines by zone number.
    pub boxes: Vec<usize>,
    /// Zone of each engine.
    pub engines: Vec<usize>,
    /// How many times an engine's usual time each model takes, and the difficulty up to which it does well.
    pub models: Vec<(f64, f64)>,
    /// Time that an engine takes for a token, in microseconds.
    pub token_us: f64,
    /// Tokens that an engine keeps.
    pub memory: f64,
    /// Classes; the first is the dearest.
    pub classes: Vec<PromptClass>,
    /// Requests a second.
    pub rate: f64,
}

impl PromptSite {
    /// Draws a deployment whose engines would be busy `load` of the time with what needs the largest model.
    pub fn draw(load: f64, rng: &mut StdRng) -> Self {
        let zones = rng.gen_range(2..5);
        let (boxes, engines) = (rng.gen_range(2..4), rng.gen_range(3..6));
        let weak = rng.gen_range(0.4..0.65);
        let models = vec![
            (rng.gen_range(0.2..0.5), weak),
            (rng.gen_range(0.6..1.0), weak + rng.gen_range(0.05..0.25)),
            (rng.gen_range(2.0..4.0), 1.0),
        ];
        let mut class = |share, worth: f64, shared: f64| PromptClass {
            share,
            worth: worth * rng.gen_range(0.7..1.4),
            target_us: rng.gen_range(1_500_000..4_000_000),
            tokens: (shared * rng.gen_range(0.5..1.5), shared.sqrt() * rng.gen_range(20.0..40.0)),
            subjects: rng.gen_range(20..100),
        };
        let classes =
            vec![class(0.35, 3.0, 12_000.0), class(0.3, 2.0, 5_000.0), class(0.35, 0.4, 400.0)];
        let mut site = Self {
            boxes: (0..zones * boxes).map(|row| row % zones).collect(),
            engines: (0..zones * engines).map(|row| row % zones).collect(),
            models,
            token_us: rng.gen_range(15.0..40.0),
            memory: 500_000.0,
            classes,
            rate: 1.0,
        };
        site.rate = load * site.engines.len() as f64 / site.second_work();
        site
    }

    /// Engine seconds a request takes on the mean, if half of its shared parts is held where it goes.
    fn second_work(&self) -> f64 {
        let (first, last) = (self.models[0], self.models[self.models.len() - 1]);
        let paces = first.0 + last.0 * (1.0 - first.1);
        let tokens = |class: &PromptClass| class.share * (class.tokens.0 / 2.0 + class.tokens.1);
        self.classes.iter().map(tokens).sum::<f64>() * self.token_us * paces / 1e6
    }
}

/// Trouble of a run; each comes in the middle third.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptTrouble {
    /// None.
    Calm,
    /// A quarter of the engines goes down, and comes back empty after ten seconds.
    EnginesDown,
    /// The dearest class comes three times as often.
    DearBurst,
    /// A client account sends as much as all others, on one shared prompt.
    HotAccount,
    /// A quarter of the engines is five times slower; an eighth fails half of its answers.
    SlowAndGrey,
}

impl PromptTrouble {
    /// All, with their names in results.
    pub const ALL: [(&'static str, Self); 5] = [
        ("calm", Self::Calm),
        ("engines_down", Self::EnginesDown),
        ("dear_burst", Self::DearBurst),
        ("hot_account", Self::HotAccount),
        ("slow_and_grey", Self::SlowAndGrey),
    ];

    fn factor(self, now_us: u64, class: usize) -> f64 {
        match self {
            Self::DearBurst if in_trouble(now_us) && class == 0 => 3.0,
            Self::HotAccount if in_trouble(now_us) => 2.0,
            _ => 1.0,
        }
    }
}

fn in_trouble(now_us: u64) -> bool {
    (LENGTH_US / 3..LENGTH_US * 2 / 3).contains(&now_us)
}

/// Who routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptPolicy {
    /// The reducer of the boxes.
    Ravenspoke,
    /// The engine whose last report, to any box, was lowest; a larger model below the neutral opinion.
    LeastReportedLoad,
    /// Knows each engine's queue and memory and each request's difficulty.
    Oracle,
}

impl PromptPolicy {
    /// All, with their names in results.
    pub const ALL: [(&'static str, Self); 3] = [
        ("ravenspoke", Self::Ravenspoke),
        ("least_reported_load", Self::LeastReportedLoad),
        ("oracle", Self::Oracle),
    ];
}

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct PromptRequest {
    /// Arrival, in microseconds.
    pub at_us: u64,
    /// Row of its class.
    pub class: usize,
    /// Row of the box that its caller asks.
    pub asked_box: usize,
    /// Its shared prompt; never 0.
    pub subject: u64,
    /// Tokens in shared parts and in the rest.
    pub tokens: (f64, f64),
    /// Difficulty, 0 to 1.
    pub difficulty: f64,
    /// What is added to each model's opinion of its answer.
    pub noise: f64,
}

impl PromptRequest {
    /// A model's opinion of its answer, 0 to 100.
    pub fn opinion(&self, quality: f64) -> u8 {
        (50.0 + 150.0 * (quality - self.difficulty) + self.noise).clamp(0.0, 100.0) as u8
    }

    /// How much larger it is than its class's mean, which its payoff follows.
    fn size(&self, class: &PromptClass) -> f64 {
        let mean = class.tokens.0 + class.tokens.1;
        (0.3 + 0.7 * (self.tokens.0 + self.tokens.1) / mean).min(4.0)
    }
}

/// Something that will happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A request arrives.
    Arrive(usize),
    /// An engine has read a prompt, if it still lives its `life`.
    Read { engine: usize, life: u64 },
    /// The head of an answer reaches its box.
    Head { request: usize, attempt: u32, engine: usize, good: bool, waiting: u32, running: u32 },
    /// A connection broke, or none came about.
    Broken { request: usize, attempt: u32, sent: bool },
    /// Nothing came for as long as the order says.
    Pause { request: usize, attempt: u32 },
    /// An answer is whole.
    Done { request: usize, engine: usize, life: u64 },
    /// The boxes' clocks go on.
    Tick,
    /// Engines change their state.
    Trouble,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Default)]
struct PromptOutcome {
    attempt: u32,
    engine: usize,
    model: usize,
    /// When its answer was passed on, in microseconds.
    begun_us: Option<u64>,
    crossed: u32,
    sends: u32,
}

struct PromptRun<'a> {
    site: &'a PromptSite,
    trouble: PromptTrouble,
    now_us: u64,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    number: u64,
    engines: Vec<EngineState>,
    requests: Vec<PromptRequest>,
    outcomes: Vec<PromptOutcome>,
    router: PromptRouter,
    rng: StdRng,
}

/// Plays one run and measures it.
pub fn run(trouble: PromptTrouble, policy: PromptPolicy, load: f64, seed: u64) -> RunMeasures {
    let mut rng = StdRng::seed_from_u64(seed);
    let site = PromptSite::draw(load, &mut rng);
    let requests = draw_requests(&site, trouble, &mut rng);
    let mut run = PromptRun {
        site: &site,
        trouble,
        now_us: 0,
        due: BinaryHeap::new(),
        number: 0,
        engines: site.engines.iter().map(|_| EngineState::new(site.memory)).collect(),
        outcomes: vec![PromptOutcome::default(); requests.len()],
        router: PromptRouter::new(policy, &site),
        requests,
        rng,
    };
    run.play();
    run.measure()
}

fn draw_requests(
    site: &PromptSite,
    trouble: PromptTrouble,
    rng: &mut StdRng,
) -> Vec<PromptRequest> {
    let mut requests = Vec::new();
    let mut at_us = WARM_US as f64;
    // The fastest that any trouble makes; what is too much is passed over.
    let top = 3.0;
    while at_us < LENGTH_US as f64 {
        at_us += -(1.0 - rng.gen::<f64>()).ln() / (site.rate * top) * 1e6;
        let mut left = rng.gen::<f64>();
        let class = site.classes.iter().position(|class| {
            left -= class.share;
            left < 0.0
        });
        let class = class.unwrap_or(site.classes.len() - 1);
        let factor = trouble.factor(at_us as u64, class);
        let kept = rng.gen::<f64>() * top < factor;
        let hot = factor > 1.0 && trouble == PromptTrouble::HotAccount && rng.gen_bool(0.5);
        let spec = &site.classes[class];
        let subject = if hot { 0 } else { rng.gen_range(0..spec.subjects) };
        let spread =
            |mean: f64, rng: &mut StdRng| mean * (0.3 - (1.0 - rng.gen::<f64>()).ln() * 0.7);
        let request = PromptRequest {
            at_us: at_us as u64,
            class,
            asked_box: rng.gen_range(0..site.boxes.len()),
            subject: 1 + subject + 1_000 * class as u64,
            tokens: (spec.tokens.0, spread(spec.tokens.1, rng)),
            difficulty: rng.gen_range(0.0..1.0),
            noise: rng.gen_range(-15.0..15.0),
        };
        if kept {
            requests.push(request);
        }
    }
    requests
}

impl PromptRun<'_> {
    fn at(&mut self, at_us: u64, due: Due) {
        self.number += 1;
        self.due.push(Reverse((at_us, self.number, due)));
    }

    fn play(&mut self) {
        for row in 0..self.requests.len() {
            self.at(self.requests[row].at_us, Due::Arrive(row));
        }
        self.at(0, Due::Tick);
        self.at(LENGTH_US / 3, Due::Trouble);
        self.at(LENGTH_US / 2, Due::Trouble);
        self.at(LENGTH_US * 2 / 3, Due::Trouble);
        while let Some(Reverse((at_us, _, due))) = self.due.pop() {
            if at_us > LENGTH_US + LENGTH_US / 3 {
                return;
            }
            self.now_us = at_us;
            self.happen(due);
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrive(row) => {
                let step = self.router.arrive(
                    row,
                    &PromptScene {
                        site: self.site,
                        engines: &self.engines,
                        requests: &self.requests,
                        now_us: self.now_us,
                    },
                );
                self.follow(row, step);
            }
            Due::Read { engine, life } if life == self.engines[engine].life => self.begin(engine),
            Due::Done { request, engine, life } => {
                if life == self.engines[engine].life {
                    self.engines[engine].running -= 1;
                }
                self.router.finished(request, self.requests[request].asked_box, self.now_us);
            }
            Due::Head { request, attempt, engine, good, waiting, running } => {
                if attempt != self.outcomes[request].attempt {
                    return;
                }
                let model = self.outcomes[request].model;
                let opinion = self.requests[request].opinion(self.site.models[model].1);
                let head = (engine, good, opinion, waiting, running);
                let step = self.router.head(
                    request,
                    head,
                    &PromptScene {
                        site: self.site,
                        engines: &self.engines,
                        requests: &self.requests,
                        now_us: self.now_us,
                    },
                );
                self.follow(request, step);
            }
            Due::Broken { request, attempt, sent } if attempt == self.outcomes[request].attempt => {
                let engine = self.outcomes[request].engine;
                let step = self.router.broken(
                    request,
                    (engine, sent),
                    &PromptScene {
                        site: self.site,
                        engines: &self.engines,
                        requests: &self.requests,
                        now_us: self.now_us,
                    },
                );
                self.follow(request, step);
            }
            Due::Pause { request, attempt } if self.waits(request, attempt) => {
                let asked_box = self.requests[request].asked_box;
                let step = self.router.paused(request, asked_box, self.now_us);
                self.follow(request, step);
            }
            Due::Tick => {
                self.router.tick(self.now_us);
                if self.now_us < LENGTH_US {
                    self.at(self.now_us + TICK_US, Due::Tick);
                }
            }
            Due::Trouble => self.trouble(),
            _ => {}
        }
    }

    /// Whether an attempt is under way whose answer has not begun.
    fn waits(&self, request: usize, attempt: u32) -> bool {
        let outcome = &self.outcomes[request];
        outcome.attempt == attempt && outcome.begun_us.is_none()
    }

    /// Does what the router decided.
    fn follow(&mut self, row: usize, step: RouterStep) {
        match step {
            RouterStep::Send { engine, model, urgency, patience_us } => {
                let old = self.outcomes[row];
                self.engines[old.engine].cancel(row);
                let outcome = &mut self.outcomes[row];
                outcome.attempt += 1;
                outcome.sends += 1;
                outcome.engine = engine;
                outcome.model = model;
                let far =
                    self.site.engines[engine] != self.site.boxes[self.requests[row].asked_box];
                outcome.crossed += u32::from(far);
                let attempt = outcome.attempt;
                if let Some(patience_us) = patience_us {
                    self.at(self.now_us + patience_us, Due::Pause { request: row, attempt });
                }
                self.submit(row, attempt, engine, model, urgency);
            }
            RouterStep::Relay => {
                self.outcomes[row].begun_us = Some(self.now_us);
                let (engine, model) = (self.outcomes[row].engine, self.outcomes[row].model);
                let life = self.engines[engine].life;
                let decode_us = (self.site.models[model].0 * 600_000.0) as u64;
                self.at(self.now_us + decode_us, Due::Done { request: row, engine, life });
            }
            RouterStep::Wait | RouterStep::Refuse => {}
        }
    }

    fn submit(&mut self, row: usize, attempt: u32, engine: usize, model: usize, urgency: u8) {
        if !self.engines[engine].up {
            self.at(self.now_us + 2 * NET_US, Due::Broken { request: row, attempt, sent: false });
            return;
        }
        let request = &self.requests[row];
        let job = PromptJob {
            request: row,
            attempt,
            model,
            urgency,
            subject: request.subject * 8 + model as u64,
            tokens: request.tokens,
            token_us: self.site.token_us * self.site.models[model].0,
        };
        self.engines[engine].submit(job);
        self.read_next(engine);
    }

    fn read_next(&mut self, engine: usize) {
        let Some(took_us) = self.engines[engine].start() else { return };
        let life = self.engines[engine].life;
        self.at(self.now_us + NET_US + took_us, Due::Read { engine, life });
    }

    /// An engine has read a prompt: its answer begins.
    fn begin(&mut self, engine: usize) {
        let grey = self.engines[engine].grey;
        let good = self.rng.gen::<f64>() >= grey;
        let Some(job) = self.engines[engine].read() else { return };
        let (waiting, running) =
            (self.engines[engine].waiting() as u32, self.engines[engine].running);
        let (request, attempt) = (job.request, job.attempt);
        self.at(
            self.now_us + NET_US,
            Due::Head { request, attempt, engine, good, waiting, running },
        );
        self.read_next(engine);
    }

    /// The begin, the half and the end of the trouble.
    fn trouble(&mut self) {
        let (count, over) = (self.engines.len(), !in_trouble(self.now_us));
        let begins = self.now_us == LENGTH_US / 3;
        match self.trouble {
            PromptTrouble::EnginesDown => {
                for engine in 0..count.div_ceil(4) {
                    if begins {
                        for job in self.engines[engine].stop() {
                            let due = Due::Broken {
                                request: job.request,
                                attempt: job.attempt,
                                sent: true,
                            };
                            self.at(self.now_us + NET_US, due);
                        }
                    } else if !over {
                        self.engines[engine].up = true;
                    }
                }
            }
            PromptTrouble::SlowAndGrey => {
                for engine in 0..count.div_ceil(4) {
                    self.engines[engine].slowness = if over { 1.0 } else { 5.0 };
                }
                self.engines[count - 1].grey = if over { 0.0 } else { 0.5 };
            }
            _ => {}
        }
    }

    fn measure(&self) -> RunMeasures {
        let (mut owed, mut earned, mut late, mut lost, mut poor) = (0.0, 0.0, 0.0, 0.0, 0.0);
        let (mut crossed, mut sends) = (0.0, 0.0);
        let mut waits = Vec::new();
        for (request, outcome) in self.requests.iter().zip(&self.outcomes) {
            let class = &self.site.classes[request.class];
            let worth = class.worth * request.size(class);
            owed += worth;
            crossed += f64::from(outcome.crossed) * (request.tokens.0 + request.tokens.1) / 1_000.0;
            sends += f64::from(outcome.sends);
            let Some(begun_us) = outcome.begun_us else {
                lost += 1.0;
                continue;
            };
            let took_us = begun_us - request.at_us;
            waits.push(took_us as f64 / 1_000.0);
            let in_time = took_us <= class.target_us;
            let weak = request.difficulty > self.site.models[outcome.model].1;
            late += f64::from(u8::from(!in_time));
            poor += f64::from(u8::from(weak));
            let part = if in_time { 1.0 } else { LATE_PART };
            earned += worth * part * if weak { POOR_PART } else { 1.0 };
        }
        waits.sort_by(f64::total_cmp);
        let count = self.requests.len().max(1) as f64;
        let p99 = waits.get(waits.len() * 99 / 100).copied().unwrap_or(0.0);
        let measures = [
            ("worth", earned / owed.max(1e-9)),
            ("late", late / count),
            ("lost", lost / count),
            ("poor", poor / count),
            ("ttft_p99", p99),
            ("crossed_kb", crossed / count),
            ("attempts_per_request", sends / count),
        ];
        RunMeasures(BTreeMap::from(measures))
    }
}
