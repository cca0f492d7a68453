//! Random workloads: arrivals, accounts, classes, prompts, and a difficulty that only the oracle
//! sees.

use rand::rngs::StdRng;
use rand::Rng;

/// A simulated request.
#[derive(Clone, Copy, Debug)]
pub struct BenchRequest {
    /// Arrival time, in microseconds.
    pub at_us: u64,
    /// Client account; 0 is the large one.
    pub account: usize,
    /// Request class, 0 (easy) to 2 (hard).
    pub class: u8,
    /// Difficulty, 0 to 1, hidden from all policies but the oracle.
    pub difficulty: f64,
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Tokens in the answer.
    pub tokens: u32,
    /// Prefix of the prompt.
    pub prefix: u64,
}

/// How requests arrive.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadPlan {
    /// Requests a second outside bursts.
    pub rate: f64,
    /// Length, in seconds.
    pub seconds: u64,
    /// Second at which the burst begins; its arrivals rise linearly within a minute.
    pub burst_from: u64,
    /// Second at which the burst ends.
    pub burst_to: u64,
    /// Multiple of `rate` that the burst reaches.
    pub burst: f64,
    /// Whether half of the requests of the burst have long prompts.
    pub long_prompts: bool,
    /// Number of client accounts.
    pub accounts: usize,
    /// Share of requests of account 0.
    pub large_share: f64,
    /// Number of prefixes in use.
    pub prefixes: u64,
}

impl WorkloadPlan {
    /// Multiple of `rate` at `second`.
    fn factor(&self, second: f64) -> f64 {
        let (from, to) = (self.burst_from as f64, self.burst_to as f64);
        if second < from || second >= to {
            return 1.0;
        }
        1.0 + (self.burst - 1.0) * ((second - from) / 60.0).min(1.0)
    }

    /// Generates all requests, in order of arrival.
    pub fn draw(&self, rng: &mut StdRng) -> Vec<BenchRequest> {
        let mut requests = Vec::new();
        let mut second = 0.0;
        while second < self.seconds as f64 {
            let factor = self.factor(second);
            second += -(1.0 - rng.gen::<f64>()).ln() / (self.rate * factor);
            requests.push(self.request(second, factor > 1.0, rng));
        }
        requests
    }

    fn request(&self, second: f64, in_burst: bool, rng: &mut StdRng) -> BenchRequest {
        let class = [0, 0, 0, 0, 0, 1, 1, 1, 2, 2][rng.gen_range(0..10)];
        let (low, high) = [(0.0, 0.62), (0.2, 0.8), (0.5, 1.0)][usize::from(class)];
        let long = self.long_prompts && in_burst && rng.gen_bool(0.5);
        let account = match rng.gen_bool(self.large_share) {
            true => 0,
            false => rng.gen_range(1..self.accounts.max(2)),
        };
        BenchRequest {
            at_us: (second * 1e6) as u64,
            account,
            class,
            difficulty: rng.gen_range(low..high),
            prompt: if long { rng.gen_range(3_000..6_000) } else { rng.gen_range(150..900) },
            tokens: rng.gen_range(40..200),
            // The square makes a few prefixes much more frequent than the others.
            prefix: 1 + (rng.gen::<f64>().powi(2) * self.prefixes as f64) as u64,
        }
    }
}

/// Whether the answer of a model of this `strength` meets the quality target.
pub fn meets(strength: f64, request: &BenchRequest) -> bool {
    request.difficulty < strength
}
