//! `ravenspoked`: an entry box. All work is in the library.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use miette::{IntoDiagnostic, WrapErr};
use ravenspoke_config::settings::{read_settings, ProcessSettings};

const HELP: &str = "\
Run an entry box of ravenspoke.

Usage: ravenspoked --settings FILE

Options:
  -s, --settings FILE  Settings of the box, TOML (see docs/OPERATING.md)
  -h, --help           Print this help
  -V, --version        Print the version

Signals:
  SIGTERM, SIGINT      Planned stop: leave the entry list, serve on while callers
                       may keep the answer, hand over bills, exit

Exit codes:
  0  the planned stop is over
  1  the box could not run
  2  the command line or the settings are wrong";

fn main() -> ExitCode {
    let settings = match load() {
        Ok(Some(settings)) => settings,
        Ok(None) => return ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(2);
        }
    };
    start_logs(&settings);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let ran = match runtime {
        Ok(runtime) => runtime.block_on(ravenspoke_box::process::run_box(settings)),
        Err(error) => {
            eprintln!("the runtime can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::FAILURE
        }
    }
}

/// Reads the command line and the settings; `None` if help or version was asked for.
fn load() -> miette::Result<Option<ProcessSettings>> {
    let mut path: Option<PathBuf> = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().into_diagnostic()? {
        match arg {
            Short('s') | Long("settings") => {
                path = Some(parser.value().into_diagnostic()?.into());
            }
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("ravenspoked {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected()).into_diagnostic(),
        }
    }
    let path =
        path.ok_or_else(|| miette::miette!(help = "see --help", "--settings FILE is needed"))?;
    let text = std::fs::read_to_string(&path)
        .into_diagnostic()
        .wrap_err_with(|| format!("can't read the settings {}", path.display()))?;
    let settings =
        read_settings(&path.display().to_string(), &text).map_err(|findings| *findings)?;
    Ok(Some(settings))
}

fn start_logs(settings: &ProcessSettings) {
    let filter =
        tracing_subscriber::EnvFilter::new(format!("warn,ravenspoke_box={}", settings.logs.level));
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if settings.logs.format == "json" {
        logs.json().init();
    } else {
        logs.with_ansi(false).init();
    }
}
