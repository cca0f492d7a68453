//! Unit tests of the parts of a decision: queues, replicas, cascade, rollout and retries.

use ravenspoke_core::cascade::{QualityTable, RungView};
use ravenspoke_core::fair_queue::{FairQueue, QueueRefusal, ACCOUNT_QUEUE_LIMIT};
use ravenspoke_core::ids::{AccountKey, NameKey, NameTable, RequestKey, VersionKey};
use ravenspoke_core::reason::ReasonCode;
use ravenspoke_core::replica::{
    ListedReplica, LoadReport, PickMethod, PickOutcome, PickQuery, ReplicaTable, EJECT_FAILURES,
};
use ravenspoke_core::retry::{RetryBudget, RETRY_BURST};
use ravenspoke_core::rollout::{GuardVerdict, JudgedCount, RolloutState, CANARY_BOXES};
use ravenspoke_core::time::BoxTime;

fn requests(count: usize) -> Vec<RequestKey> {
    let mut arena = slotmap::SlotMap::with_key();
    (0..count).map(|index| arena.insert(index)).collect()
}

fn account(index: usize) -> AccountKey {
    AccountKey::from_index(index)
}

#[test]
fn a_large_backlog_delays_only_its_own_account() {
    let (keys, mut queue) = (requests(24), FairQueue::default());
    let late = BoxTime::from_millis(60_000);
    for key in &keys[..20] {
        queue.push(account(0), 1, *key, late, BoxTime::from_micros(0)).expect("room");
    }
    for key in &keys[20..] {
        queue.push(account(1), 1, *key, late, BoxTime::from_micros(0)).expect("room");
    }

    let departed: Vec<_> = (0..8).filter_map(|_| queue.pop(BoxTime::from_micros(0))).collect();

    let of_small = departed.iter().filter(|key| keys[20..].contains(key)).count();
    assert_eq!(of_small, 4, "requests of both accounts leave in turn");
}

#[test]
fn an_account_of_weight_three_gets_three_times_the_departures() {
    let (keys, mut queue) = (requests(40), FairQueue::default());
    let late = BoxTime::from_millis(60_000);
    for (index, key) in keys.iter().enumerate() {
        let (who, weight) = if index % 2 == 0 { (0, 3) } else { (1, 1) };
        queue.push(account(who), weight, *key, late, BoxTime::from_micros(0)).expect("room");
    }

    let departed: Vec<_> = (0..16).filter_map(|_| queue.pop(BoxTime::from_micros(0))).collect();

    let heavy = departed.iter().filter(|key| keys.iter().position(|k| k == *key).unwrap() % 2 == 0);
    assert_eq!(heavy.count(), 12);
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_on_arrival() {
    let (keys, mut queue) = (requests(ACCOUNT_QUEUE_LIMIT + 1), FairQueue::default());
    let far = BoxTime::from_millis(3_600_000);
    for key in &keys[..20] {
        queue.push(account(0), 1, *key, far, BoxTime::from_micros(0)).expect("room");
    }
    for second in 0..5 {
        queue.pop(BoxTime::from_millis(second * 1_000));
    }

    let now = BoxTime::from_millis(5_000);
    let soon = queue.push(account(0), 1, keys[30], BoxTime::from_millis(7_000), now);
    let other = queue.push(account(1), 1, keys[31], BoxTime::from_millis(9_000), now);

    assert_eq!(soon, Err(QueueRefusal::Late), "fifteen requests wait and one leaves per second");
    assert_eq!(other, Ok(()), "a request of another account is served sooner");
    assert!(queue.retry_after_ms(0) >= 10_000, "the present queue must drain first");
}

#[test]
fn the_queue_of_an_account_is_bounded() {
    let (keys, mut queue) = (requests(ACCOUNT_QUEUE_LIMIT + 1), FairQueue::default());
    let far = BoxTime::from_millis(60_000);
    for key in &keys[..ACCOUNT_QUEUE_LIMIT] {
        queue.push(account(0), 1, *key, far, BoxTime::from_micros(0)).expect("room");
    }

    let over = queue.push(account(0), 1, keys[ACCOUNT_QUEUE_LIMIT], far, BoxTime::from_micros(0));

    assert_eq!(over, Err(QueueRefusal::Full));
}

fn table(count: usize) -> (ReplicaTable, VersionKey) {
    let mut names = NameTable::<VersionKey>::default();
    let version = names.intern("v");
    let mut table = ReplicaTable::new("box-1");
    let listed: Vec<ListedReplica> = (0..count)
        .map(|index| ListedReplica {
            name: format!("r{index}"),
            address: String::new(),
            zone: String::new(),
            service: "engines".to_owned(),
            engine: true,
            leaving: false,
        })
        .collect();
    table.apply_list(&listed);
    for index in 0..count {
        let key = table.find(&format!("r{index}")).expect("listed");
        let report = LoadReport { slots: 8, ..LoadReport::default() };
        table.apply_report(key, &report, vec![version], BoxTime::from_micros(1));
    }
    (table, version)
}

fn pick_query(random: u64, prefix: u64) -> PickQuery {
    PickQuery { prefix, random, now: BoxTime::from_millis(10), avoid: None }
}

#[test]
fn dispatched_requests_count_as_load_before_the_next_report() {
    let (mut table, version) = table(2);
    let mut picks = std::collections::BTreeMap::new();

    for random in 0..8 {
        let PickOutcome::Picked(key, _) = table.pick(table.subset(version), pick_query(random, 0))
        else {
            panic!("there is room")
        };
        table.record_assigned(key, BoxTime::from_millis(10));
        *picks.entry(key).or_insert(0) += 1;
    }

    assert!(picks.values().all(|count| *count == 4), "{picks:?}");
}

#[test]
fn a_failing_replica_is_ejected_but_never_more_than_half_of_them() {
    let (mut table, version) = table(4);
    let keys = table.subset(version).to_vec();
    let fail = |table: &mut ReplicaTable, key| {
        for _ in 0..EJECT_FAILURES {
            table.record_failure(key, BoxTime::from_millis(5));
        }
    };

    fail(&mut table, keys[0]);
    let picked =
        |table: &ReplicaTable, random| table.pick(table.subset(version), pick_query(random, 0));
    let avoided = (0..64).all(|random| {
        !matches!(picked(&table, random * 0x1_0000_0001), PickOutcome::Picked(key, _) if key == keys[0])
    });
    assert!(avoided);

    for key in &keys[1..] {
        fail(&mut table, *key);
    }
    assert!(matches!(picked(&table, 1), PickOutcome::Picked(_, PickMethod::AllEjected)));
}

#[test]
fn a_prefix_stays_on_its_replica_up_to_the_load_bound() {
    let (mut table, version) = table(4);
    let pick = |table: &ReplicaTable, random| match table
        .pick(table.subset(version), pick_query(random, 77))
    {
        PickOutcome::Picked(key, method) => (key, method),
        other => panic!("{other:?}"),
    };

    let (preferred, method) = pick(&table, 1);
    assert_eq!(method, PickMethod::Affinity);
    assert!((0..20).all(|random| pick(&table, random).0 == preferred));
    for _ in 0..4 {
        table.record_assigned(preferred, BoxTime::from_millis(10));
    }
    let (_, method) = pick(&table, 3);

    assert_eq!(method, PickMethod::TwoChoices, "above the load bound the pick ignores the prefix");
}

fn rungs() -> [RungView<'static>; 2] {
    [RungView { model: "small", cost: 1.0 }, RungView { model: "large", cost: 10.0 }]
}

fn learned(good_of_ten: [usize; 2]) -> QualityTable {
    let mut table = QualityTable::default();
    for round in 0..100 {
        for (class, good) in good_of_ten.iter().enumerate() {
            table.add("small", class as u8, round % 10 < *good);
            table.add("large", class as u8, true);
        }
    }
    table
}

#[test]
fn excess_quality_is_allocated_to_the_class_that_saves_most() {
    let mut table = learned([10, 2]);
    let mut cheap = [0, 0];
    for number in 0..2_000u64 {
        let class = (number % 2) as u8;
        let random = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let plan = table.plan("assist", &rungs(), 0.9, class, random);
        cheap[usize::from(class)] += usize::from(plan.rung == 0);
    }

    assert!(cheap[0] > 950, "the class that loses no quality uses the cheap rung: {cheap:?}");
    assert!(
        (100..350).contains(&cheap[1]),
        "the other class uses it for the share that the target allows: {cheap:?}"
    );
}

#[test]
fn a_class_without_ratings_is_rated_before_release_or_uses_the_safe_rung_if_rating_is_down() {
    let mut table = QualityTable::default();
    assert!(table.plan("assist", &rungs(), 0.9, 0, 255).gated);

    for _ in 0..3 {
        table.rating_failed();
    }
    let plan = table.plan("assist", &rungs(), 0.9, 0, 255);

    assert_eq!((plan.rung, plan.gated, plan.reason), (1, false, ReasonCode::CascadeSafe));
}

fn rollout() -> ravenspoke_core::bundle::RolloutSpec {
    ravenspoke_core::bundle::RolloutSpec {
        from: "v1".to_owned(),
        steps: vec![5, 50],
        exposure_budget: 11,
    }
}

#[test]
fn only_canary_boxes_expose_a_step_within_the_exposure_budget() {
    let mut exposed = 0;
    for rank in 0..50 {
        let mut state = RolloutState::default();
        while state.share(&rollout(), rank) > 0 {
            state.exposed += 1;
            exposed += 1;
        }
        assert!(rank < CANARY_BOXES || state.exposed == 0);
    }
    assert_eq!(exposed, 11);
}

#[test]
fn a_halt_is_final_and_a_step_never_decreases() {
    let mut state = RolloutState::default();
    assert!(state.apply_verdict(false, 1));
    assert!(!state.apply_verdict(false, 0));
    assert_eq!(state.share(&rollout(), 40), 5, "other boxes use the share of the last passed step");

    assert!(state.apply_verdict(true, 0));
    assert!(!state.apply_verdict(false, 2));
    assert_eq!(state.share(&rollout(), 0), 0);
}

#[test]
fn bad_answers_of_one_class_halt_and_good_answers_pass_a_step() {
    let count = |good, bad| JudgedCount { good, bad };
    let mut bad = RolloutState::default();
    let mut verdict = None;
    for _ in 0..12 {
        bad.add_evidence(&rollout(), 0, count(1, 0), 0.03);
        verdict = verdict.or(bad.add_evidence(&rollout(), 1, count(0, 1), 0.05));
    }
    assert_eq!(verdict, Some(GuardVerdict::Halt));

    let mut good = RolloutState::default();
    let passed = (0..100).find_map(|_| good.add_evidence(&rollout(), 0, count(1, 0), 0.05));
    assert_eq!(passed, Some(GuardVerdict::Step(1)));
}

#[test]
fn the_retry_budget_saves_up_no_more_than_the_burst() {
    let mut budget = RetryBudget::default();
    while budget.spend() {}
    for _ in 0..1_000 {
        budget.earn();
    }
    let mut retries = 0;
    while budget.spend() {
        retries += 1;
    }
    assert_eq!(retries, RETRY_BURST as u32, "the budget saves up no more than the burst");
}
