//! `ravenspoked` runs an entry box: it reads the command line and settings, starts the logs, and
//! calls the library.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::prelude::*;
use miette::{IntoDiagnostic, WrapErr};
use ravenspoke_adapter::settings as adapter_settings;
use ravenspoke_box::gateway::process::{run_gateway, BoxSignals};
use ravenspoke_box::process::ProcessError;
use ravenspoke_config::gateway::GatewaySettings;
use ravenspoke_config::settings::{read_settings, ProcessSettings};

/// Log lines that may be queued for writing; further lines are dropped and counted.
const LOG_BUFFER_LINES: usize = 8_192;

const HELP: &str = "\
Run an entry box of ravenspoke.

Usage: ravenspoked --settings FILE
       ravenspoked --platform [--settings FILE] [--metrics PORT]

Options:
  -s, --settings FILE  Settings of the box, TOML (see docs/OPERATIONS.md)
      --platform       Run on the users' platform: the settings are the platform's, at
                       the path that it names unless --settings gives another
      --metrics PORT   With --platform: serve metrics and the state dump at this port
  -h, --help           Print this help
  -V, --version        Print the version

Signals:
  SIGTERM, SIGINT      Planned stop: leave the entry list, serve on while callers
                       may keep the answer, hand over bills, exit
  SIGHUP               With --platform: read the settings anew

Exit codes:
  0  the planned stop is over
  1  the box could not run
  2  the command line or the settings are wrong";

/// The action that the command line requests.
enum CommandLine {
    /// Help or version was printed; nothing else is to be done.
    Printed,
    /// Run a box that is configured by signed bundles.
    Bundles(Box<ProcessSettings>),
    /// Run a box on the users' platform, with its settings file and metrics port.
    Platform(PathBuf, Option<u16>),
}

fn main() -> ExitCode {
    match load() {
        Ok(CommandLine::Printed) => ExitCode::SUCCESS,
        Ok(CommandLine::Bundles(settings)) => {
            start_logs(&settings);
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
            run(runtime, ravenspoke_box::process::run_box(*settings))
        }
        Ok(CommandLine::Platform(path, port)) => run_platform(path, port),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

/// Runs a box on the users' platform.
fn run_platform(path: PathBuf, metrics_port: Option<u16>) -> ExitCode {
    // On the platform a box has a share of one core, so more threads would not run in parallel.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    // The signal handlers are installed before the settings are read, because a signal without a
    // handler ends the process.
    let signals = {
        let _inside = runtime.enter();
        BoxSignals::listen()
    };
    let settings = match load_platform(&path) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::from(2);
        }
    };
    let _writer = start_platform_logs();
    run(Ok(runtime), async move {
        let signals = signals.map_err(ProcessError::Signals)?;
        run_gateway(settings, path, metrics_port, signals).await
    })
}

fn run(
    runtime: std::io::Result<tokio::runtime::Runtime>,
    work: impl std::future::Future<Output = Result<(), ProcessError>>,
) -> ExitCode {
    let ran = match runtime {
        Ok(runtime) => runtime.block_on(work),
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

/// Arguments of the command line.
#[derive(Default)]
struct CommandArgs {
    settings: Option<PathBuf>,
    platform: bool,
    metrics_port: Option<u16>,
}

/// Reads the command line and the settings.
fn load() -> miette::Result<CommandLine> {
    let Some(args) = read_args()? else { return Ok(CommandLine::Printed) };
    if args.platform {
        let path = args.settings.unwrap_or_else(platform_path);
        return Ok(CommandLine::Platform(path, args.metrics_port));
    }
    if args.metrics_port.is_some() {
        return Err(miette::miette!(help = "see --help", "--metrics goes with --platform"));
    }
    let path = args
        .settings
        .ok_or_else(|| miette::miette!(help = "see --help", "--settings FILE is needed"))?;
    let text = read_text(&path)?;
    let settings =
        read_settings(&path.display().to_string(), &text).map_err(|findings| *findings)?;
    Ok(CommandLine::Bundles(Box::new(settings)))
}

/// Reads the command line; `None` if help or version was requested and printed.
fn read_args() -> miette::Result<Option<CommandArgs>> {
    let mut args = CommandArgs::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().into_diagnostic()? {
        match arg {
            Short('s') | Long("settings") => {
                args.settings = Some(parser.value().into_diagnostic()?.into());
            }
            Long("platform") => args.platform = true,
            Long("metrics") => {
                let value = parser.value().into_diagnostic()?;
                args.metrics_port = Some(value.parse().into_diagnostic()?);
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
    Ok(Some(args))
}

fn load_platform(path: &Path) -> miette::Result<GatewaySettings> {
    let text = read_text(path)?;
    let settings = adapter_settings::read_settings(&path.display().to_string(), &text)
        .map_err(|findings| *findings)?;
    Ok(settings)
}

fn platform_path() -> PathBuf {
    let named = std::env::var_os(adapter_settings::SETTINGS_VARIABLE);
    named.map_or_else(|| adapter_settings::SETTINGS_PATH.into(), PathBuf::from)
}

fn read_text(path: &Path) -> miette::Result<String> {
    std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("can't read the settings {}", path.display()))
}

/// Starts the logs of a box on the platform: JSON lines on standard output, through a bounded
/// buffer that never blocks the box.
fn start_platform_logs() -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_BUFFER_LINES)
        .finish(std::io::stdout());
    let filter = tracing_subscriber::EnvFilter::new("warn,ravenspoke_box=info");
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).json().init();
    guard
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
