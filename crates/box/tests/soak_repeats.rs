//! A short run of the fault soak in which replicas reject often and send their answers again.

use std::path::Path;

use ravenspoke_standins::soak::play::play_repeats;

/// Seeds of every CI run.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_replicas_repeat_their_answers() {
    let binary = Path::new(env!("CARGO_BIN_EXE_ravenspoked"));
    let runs =
        SEEDS.map(|seed| tokio::spawn(async move { (seed, play_repeats(binary, seed).await) }));
    for run in runs {
        let (seed, report) = run.await.expect("the run ends");
        report.assert_kept(seed);
    }
}
