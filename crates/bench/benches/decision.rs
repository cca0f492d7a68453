//! Cost of one decision at today's size and at the target's.

// The group macro writes a function without documentation.
#![allow(missing_docs)]

use std::time::{Duration, Instant};

use criterion::{criterion_group, criterion_main, Criterion};
use ravenspoke_bench::capacity::{arrival, end, loaded_box, stamp, DecisionSize};

fn decision(criterion: &mut Criterion) {
    for (name, size) in [("today", DecisionSize::TODAY), ("target", DecisionSize::TARGET)] {
        let mut state = loaded_box(size);
        let mut number = 0;
        criterion.bench_function(&format!("decision_{name}"), |bencher| {
            bencher.iter_custom(|iterations| {
                let mut spent = Duration::ZERO;
                for _ in 0..iterations {
                    number += 1;
                    let ask = arrival(number);
                    let started = Instant::now();
                    let effects = state.apply(stamp(number), ask);
                    spent += started.elapsed();
                    // The request is ended outside the timed part, so that the box does not fill up.
                    end(&mut state, number, effects);
                }
                spent
            });
        });
    }
}

criterion_group!(benches, decision);
criterion_main!(benches);
