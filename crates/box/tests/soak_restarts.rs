//! A short run of the fault soak in which all boxes are killed while the store or a part of it is
//! away.

use std::path::Path;

use ravenspoke_standins::soak::play::play_restarts;

/// Seeds of every CI run. They draw outages of the whole store, of one box's access and of each
/// topic.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 11];

// Guards against boxes that all leave the store to each other after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_in_time_after_restarts_beside_store_outages() {
    let binary = Path::new(env!("CARGO_BIN_EXE_ravenspoked"));
    let runs =
        SEEDS.map(|seed| tokio::spawn(async move { (seed, play_restarts(binary, seed).await) }));
    for run in runs {
        let (seed, report) = run.await.expect("the run ends");
        report.assert_kept(seed);
    }
}
