//! A short run of the fault soak in which all boxes are killed while the store or a part of it is
//! away.

use std::path::Path;

use ravenspoke_standins::soak::play::play_restarts;

/// Seeds of every CI run. They draw outages of the whole store, of one box's access and of each
/// topic.
const SEEDS: [u64; 5] = [1, 3, 4, 5, 11];

/// A seed in which boxes may know replicas of a new version before the order to roll it out.
const EARLY_REPLICAS_SEED: u64 = 2;

async fn assert_guarantees_hold(seeds: &'static [u64]) {
    let binary = Path::new(env!("CARGO_BIN_EXE_ravenspoked"));
    let play = |seed: u64| async move { (seed, play_restarts(binary, seed).await) };
    let runs: Vec<_> = seeds.iter().map(|seed| tokio::spawn(play(*seed))).collect();
    for run in runs {
        let (seed, report) = run.await.expect("the run ends");
        report.assert_kept(seed);
    }
}

// Guards against boxes that all leave the store to each other after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_in_time_after_restarts_beside_store_outages() {
    assert_guarantees_hold(&SEEDS).await;
}

// Guards against sessions that change their version before boxes know of its order.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_keep_their_version_in_a_site_whose_boxes_are_restarted() {
    assert_guarantees_hold(&[EARLY_REPLICAS_SEED]).await;
}
