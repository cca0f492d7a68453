//! Time of one routing decision, for deployments of size `DecisionSize::TODAY` and
//! `DecisionSize::TARGET`, and of one placement of a prompt.

// `criterion_group!` generates a function without documentation.
#![allow(missing_docs)]

use std::time::{Duration, Instant};

use criterion::{criterion_group, criterion_main, Criterion};
use rand::rngs::StdRng;
use rand::SeedableRng;
use ravenspoke_bench::capacity::{arrival, end, loaded_box, stamp, DecisionSize};
use ravenspoke_bench::prompt_router::new_box;
use ravenspoke_bench::prompt_site::PromptSite;
use ravenspoke_core::event::{EventStamp, RequestTicket};
use ravenspoke_core::route::event::{CallerRequest, PromptSize, RouteEvent};
use ravenspoke_core::time::{BoxTime, WallTime};

/// Times the choice of a replica for one request that arrives.
fn decision(criterion: &mut Criterion) {
    for (name, size) in [("today", DecisionSize::TODAY), ("target", DecisionSize::TARGET)] {
        let mut state = loaded_box(size);
        let mut number = 0;
        criterion.bench_function(&format!("decision_{name}"), |bencher| {
            bencher.iter_custom(|iterations| {
                let mut spent = Duration::ZERO;
                for _ in 0..iterations {
                    number += 1;
                    let request = arrival(number);
                    let started = Instant::now();
                    let effects = state.apply(stamp(number), request);
                    spent += started.elapsed();
                    // The request ends outside the timed part, so that none pile up in the box.
                    end(&mut state, number, effects);
                }
                spent
            });
        });
    }
}

/// Times the placement of a prompt among 140 replicas that have prompts of this box waiting, three
/// a replica on average.
fn placement(criterion: &mut Criterion) {
    let mut site = PromptSite::draw(0.5, &mut StdRng::seed_from_u64(1));
    site.engines = (0..PLACEMENT_REPLICAS).map(|row| row % 3).collect();
    let mut state = new_box(&site, 0);
    for number in 0..PLACEMENT_REPLICAS as u64 * 3 {
        drop(state.apply(prompt_stamp(number), prompt_arrival(number)));
    }
    let mut number = 1_000_000;
    criterion.bench_function("placement_140_replicas", |bencher| {
        bencher.iter_custom(|iterations| {
            let mut spent = Duration::ZERO;
            for _ in 0..iterations {
                number += 1;
                let arrival = prompt_arrival(number);
                let started = Instant::now();
                drop(state.apply(prompt_stamp(number), arrival));
                spent += started.elapsed();
                let disconnect = RouteEvent::CallerDisconnected(RequestTicket(number));
                drop(state.apply(prompt_stamp(number), disconnect));
            }
            spent
        });
    });
}

/// Number of replicas of the service in `placement`.
const PLACEMENT_REPLICAS: usize = 140;

fn prompt_stamp(number: u64) -> EventStamp {
    EventStamp { now: BoxTime::from_millis(100), wall: WallTime(0), random: number * 0x9e37_79b9 }
}

fn prompt_arrival(number: u64) -> RouteEvent {
    let request = CallerRequest {
        id: number.to_string(),
        host: "api.example".to_owned(),
        path: "/0/x".to_owned(),
        affinity: 1 + number % 50,
        prompt: PromptSize { shared: 10_000, own: 3_000 },
        body_bytes: 13_000,
        any_model: true,
        ..CallerRequest::default()
    };
    RouteEvent::RequestArrived(RequestTicket(number), request)
}

criterion_group!(benches, decision, placement);
criterion_main!(benches);
