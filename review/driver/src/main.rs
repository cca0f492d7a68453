//! Driver of the review's script cases: starts the project's boxes as processes on loopback
//! addresses, with the project's stand-ins of the store and the replicas, and judges what clients,
//! replicas and the platform saw.
//!
//! Usage: `review-driver CASE RAVENSPOKED RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod backlog;
mod client;
mod crowded;
mod desk;
mod escalation;
mod fleet;
mod ghost;
mod holder;
mod log_store;
mod memory;
mod replica;
mod rotation;
mod split;
mod surplus;
mod writer;

use std::path::PathBuf;
use std::process::ExitCode;

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken,
}

/// What a case needs.
pub struct Case {
    pub binary: PathBuf,
    pub trouble: bool,
    record: std::sync::Mutex<std::fs::File>,
}

impl Case {
    /// Writes a line to the record and to standard output.
    pub fn note(&self, line: &str) {
        use std::io::Write;
        println!("{line}");
        let mut file = self.record.lock().expect("the record is not poisoned");
        writeln!(file, "{line}").expect("the record can be written");
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, binary, record] = args.as_slice() else {
        eprintln!("usage: review-driver CASE RAVENSPOKED RECORD");
        return ExitCode::from(2);
    };
    let Ok(file) = std::fs::File::create(record) else {
        eprintln!("the record can't be written");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { binary: binary.into(), trouble, record: file.into() };
    case.note(&format!("TROUBLE={}", u8::from(case.trouble)));
    let outcome = match name.as_str() {
        "memory" => memory::run(&case).await,
        "rotation" => rotation::run(&case).await,
        "backlog" => backlog::run(&case).await,
        "split" => split::run(&case).await,
        "escalation" => escalation::run(&case).await,
        "surplus" => surplus::run(&case).await,
        "holder" => holder::run(&case).await,
        "again" => writer::run_again(&case).await,
        "writer" => writer::run(&case).await,
        "ghost" => ghost::run(&case).await,
        "crowded" => crowded::run(&case).await,
        _ => {
            eprintln!("no such case");
            return ExitCode::from(2);
        }
    };
    match outcome {
        Some(Outcome::Held) => ExitCode::SUCCESS,
        Some(Outcome::Broken) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
