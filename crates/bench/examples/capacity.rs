//! Figures for docs/CAPACITY.md: resident memory of a box's state, decision time, control traffic
//! and sizes of log records.

use std::time::Instant;

use prost::Message;
use ravenspoke_bench::capacity::{
    arrival, control_traffic, decide, end, loaded_box, sized_bundle, stamp, DecisionSize,
};
use ravenspoke_bench::fixture::signed_record;
use ravenspoke_core::fold::change_record;
use ravenspoke_core::message::{BillRecord, ClaimRecord, WitnessBills};

/// Resident memory of this process in bytes, with pages of 4,096 bytes; 0 if unknown.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    pages * 4_096
}

/// Resident bytes of one box state of this size, as the mean over `COPIES` states.
fn state_bytes(size: DecisionSize) -> u64 {
    const COPIES: u64 = 4;
    let before = resident_bytes();
    let states: Vec<_> = (0..COPIES).map(|_| loaded_box(size)).collect();
    let grown = resident_bytes().saturating_sub(before) / COPIES;
    drop(states);
    grown
}

fn main() {
    let base = DecisionSize { boxes: 1, versions: 2, replicas: 2, accounts: 1 };
    println!("state, bytes resident (mean of 4 states)");
    for (name, size) in [
        ("smallest", base),
        ("today", DecisionSize::TODAY),
        ("930 boxes", DecisionSize { boxes: 930, ..base }),
        ("7400 replicas", DecisionSize { replicas: 7_400, ..base }),
        ("1000 accounts", DecisionSize { accounts: 1_000, ..base }),
        ("31 versions", DecisionSize { versions: 31, ..base }),
        ("target", DecisionSize::TARGET),
    ] {
        println!("  {name:<14} {}", state_bytes(size));
    }
    println!("one whole request (arrival, write, end, bill), microseconds, mean of 20000");
    for (name, size) in [("today", DecisionSize::TODAY), ("target", DecisionSize::TARGET)] {
        let mut state = loaded_box(size);
        let started = Instant::now();
        let attempts: u32 = (1..=20_000).map(|number| decide(&mut state, number)).sum();
        let micros = started.elapsed().as_secs_f64() * 1e6 / 20_000.0;
        println!("  {name:<14} {micros:.2} ({attempts} attempts)");
    }
    println!("one decision (arrival to the choice of a replica), microseconds, mean of 20000");
    for (name, size) in [("today", DecisionSize::TODAY), ("target", DecisionSize::TARGET)] {
        let mut state = loaded_box(size);
        let mut spent = std::time::Duration::ZERO;
        for number in 1..=20_000 {
            let request = arrival(number);
            let started = Instant::now();
            let effects = state.apply(stamp(number), request);
            spent += started.elapsed();
            end(&mut state, number, effects);
        }
        println!("  {name:<14} {:.2}", spent.as_secs_f64() * 1e6 / 20_000.0);
    }
    println!("control without requests: boxes, messages/s, bytes/s a box, bundle ms, mark ms");
    for boxes in [9, 50, 200, 930] {
        let started = Instant::now();
        let row = control_traffic(boxes, 1);
        let cpu = started.elapsed().as_secs_f64();
        println!(
            "  {:<6} {:.1} {:.0} {} {} ({cpu:.1} s of this machine)",
            row.boxes, row.messages, row.bytes, row.spread_ms, row.leaving_ms
        );
    }
    let target = sized_bundle(DecisionSize::TARGET);
    let whole = signed_record(None, &target);
    let mut next = target.clone();
    next.accounts.values_mut().next().expect("an account").weight = 2;
    let mut fold =
        ravenspoke_core::fold::BundleFold::new(ravenspoke_bench::fixture::sign_off_rule());
    fold.fold_record(0, &whole);
    let change = change_record(fold.in_force(), &next.sections(), whole.sign_offs.clone());
    let bill = BillRecord {
        key: "0123456789abcdef/123456".to_owned(),
        account: "account-123".to_owned(),
        version: "assist-small-12".to_owned(),
        request: "0123456789abcdef0123456789abcdef".to_owned(),
        cost: 0.25,
        tokens: 250,
        attempts: 1,
        bundle: 12_345,
        reasons: vec![4, 1, 9],
        number: 123_456,
    };
    let witness = WitnessBills { bills: vec![bill.clone()] };
    let claim = ClaimRecord {
        key: "account-123/018f0000-0000-7000-8000-000000000000".to_owned(),
        nonce: u64::MAX,
    };
    println!("records, bytes encoded");
    println!("  bundle whole   {}", whole.encoded_len());
    println!("  bundle change  {}", change.encoded_len());
    println!("  bill           {}", bill.encoded_len());
    println!("  witness        {}", witness.encoded_len());
    println!("  claim          {}", claim.encoded_len());
}
