//! Runs the fault soak from the command line. `scripts/soak` builds everything and runs this.
//!
//! Usage: `soak RAVENSPOKED [--series] SEED...`. With `--series` boxes are stopped and killed one
//! after the other, and there are no other faults. Prints one line for each seed, and more on
//! findings. Exits with 1 if a guarantee was broken.

use std::path::PathBuf;
use std::process::ExitCode;

use ravenspoke_standins::soak::play::{play, play_series};

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let Some(binary) = args.next().map(PathBuf::from) else {
        eprintln!("usage: soak RAVENSPOKED [--series] SEED...");
        return ExitCode::from(2);
    };
    let mut all_kept = true;
    let mut series = false;
    for text in args {
        if text == "--series" {
            series = true;
            continue;
        }
        let Ok(seed) = text.parse() else {
            eprintln!("`{text}` is no seed: give whole numbers");
            return ExitCode::from(2);
        };
        let report = match series {
            true => play_series(&binary, seed).await,
            false => play(&binary, seed).await,
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
