//! `ravenspoke` is the operator's command: it parses the command line, runs the command and prints
//! its result.

use std::process::ExitCode;

use ravenspoke_cli::command::{CommandLine, HELP};
use ravenspoke_cli::{show, CommandError};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}

fn run() -> Result<(), CommandError> {
    let line = CommandLine::parse(lexopt::Parser::from_env())?;
    if line.help {
        println!("{HELP}");
        return Ok(());
    }
    if line.version {
        println!("ravenspoke {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CommandError::Unreachable(error.to_string()))?;
    let value = runtime.block_on(line.run())?;
    if line.json {
        println!("{}", serde_json::to_string_pretty(&value).unwrap_or_default());
    } else {
        let mut text = String::new();
        show::as_text(&value, 0, &mut text);
        print!("{text}");
    }
    Ok(())
}
