//! A short run of the fault soak in which a box loses its network paths to all replicas.

use std::path::Path;

use ravenspoke_standins::soak::play::play_partitions;

/// Seeds of every CI run. They draw each manner, alone and beside stops and kills.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_boxes_without_paths_to_replicas_are_served() {
    let binary = Path::new(env!("CARGO_BIN_EXE_ravenspoked"));
    let runs =
        SEEDS.map(|seed| tokio::spawn(async move { (seed, play_partitions(binary, seed).await) }));
    for run in runs {
        let (seed, report) = run.await.expect("the run ends");
        report.assert_kept(seed);
    }
}
