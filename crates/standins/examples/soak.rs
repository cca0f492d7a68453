//! Runs the fault soak from the command line. `scripts/soak` builds everything and runs this.
//!
//! Usage: `soak RAVENSPOKED [--series | --bad-version | --partitions | --repeats | --restarts] SEED...`. With
//! `--series` boxes are stopped and killed one after the other, and there are no other faults. With
//! `--bad-version` the version that is rolled out is bad, and there are few other faults. With
//! `--partitions` a box loses its paths to all replicas, and a few stops and kills happen meanwhile.
//! With `--repeats` replicas reject often and send their answers again, beside the same.
//! With `--restarts` all boxes are killed while the store or a part of it is away. Prints one line
//! for each seed, and more on findings. Exits with 1 if a guarantee was broken.

use std::path::PathBuf;
use std::process::ExitCode;

use ravenspoke_standins::soak::play::{
    play, play_bad_version, play_partitions, play_repeats, play_restarts, play_series,
};

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let Some(binary) = args.next().map(PathBuf::from) else {
        eprintln!("usage: soak RAVENSPOKED [--series | --bad-version | --partitions | --repeats | --restarts] SEED...");
        return ExitCode::from(2);
    };
    let mut all_kept = true;
    let mut mode = None;
    for text in args {
        if text.starts_with("--") {
            mode = Some(text);
            continue;
        }
        let Ok(seed) = text.parse() else {
            eprintln!("`{text}` is no seed: give whole numbers");
            return ExitCode::from(2);
        };
        let report = match mode.as_deref() {
            Some("--series") => play_series(&binary, seed).await,
            Some("--bad-version") => play_bad_version(&binary, seed).await,
            Some("--partitions") => play_partitions(&binary, seed).await,
            Some("--repeats") => play_repeats(&binary, seed).await,
            Some("--restarts") => play_restarts(&binary, seed).await,
            Some(other) => {
                eprintln!("`{other}` is no option");
                return ExitCode::from(2);
            }
            None => play(&binary, seed).await,
        };
        let (asks, served, broken) = (report.asks, report.served, report.broken.len());
        println!("seed {seed}: {asks} requests, {served} served, {broken} findings");
        if broken > 0 {
            all_kept = false;
            report.faults.iter().for_each(|fault| println!("  fault {fault}"));
            report.broken.iter().take(12).for_each(|line| println!("  broken {line}"));
        }
    }
    if all_kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
