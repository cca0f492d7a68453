//! Parses the command line and runs its command.

use lexopt::prelude::*;
use serde_json::{json, Value};

use crate::config::OperatorConfig;
use crate::{publish, show, CommandError};

/// Help text of the command.
pub const HELP: &str = "\
Operate ravenspoke.

Usage: ravenspoke [OPTIONS] COMMAND

Commands:
  bundle check FILE                   Check a bundle file; report all findings
  bundle sign FILE --id ID --key KEY  Sign it against the bundle in force
  bundle publish FILE                 Publish it; tell who won if another came first
  bundle status                       The sequence in force on each box
  bundle diff FILE                    What it changes against the bundle in force
  explain REQUEST-ID                  Why a request was decided as it was
  state BOX                           Dump a box's state
  stop BOX                            Planned stop of a box
  bills                               Each bill once, and totals by account
  settings check FILE                 Check a box's settings file
  key new FILE                        Make a signing key

Options:
  -c, --config FILE  The operator's settings (default: ravenspoke.toml)
      --json         Print JSON
  -h, --help         Print this help
  -V, --version      Print the version

Environment:
  RAVENSPOKE_OPERATOR_KEY  The operator key, for commands that ask boxes

Exit codes:
  0  done
  1  understood, but it did not come about (lost race, nothing known, ...)
  2  the command line or a file is wrong
  3  the platform or a box can't be reached";

/// A parsed command line.
#[derive(Debug, Default)]
pub struct CommandLine {
    arguments: Vec<String>,
    config: Option<String>,
    id: Option<String>,
    key: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether to print only the help.
    pub help: bool,
    /// Whether to print only the version.
    pub version: bool,
}

impl CommandLine {
    /// Parses the command line.
    ///
    /// # Errors
    /// Returns [`CommandError::Usage`] if an option or a value is invalid.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Self, CommandError> {
        let usage = |error: lexopt::Error| CommandError::Usage(error.to_string());
        let mut line = Self::default();
        while let Some(arg) = parser.next().map_err(usage)? {
            match arg {
                Short('c') | Long("config") => line.config = Some(text(&mut parser)?),
                Long("id") => line.id = Some(text(&mut parser)?),
                Long("key") => line.key = Some(text(&mut parser)?),
                Long("json") => line.json = true,
                Short('h') | Long("help") => line.help = true,
                Short('V') | Long("version") => line.version = true,
                Value(argument) => line.arguments.push(argument.string().map_err(usage)?),
                other => return Err(usage(other.unexpected())),
            }
        }
        Ok(line)
    }

    fn config(&self) -> Result<OperatorConfig, CommandError> {
        OperatorConfig::read(self.config.as_deref().unwrap_or("ravenspoke.toml"))
    }

    fn needed<'a>(&self, value: &'a Option<String>, name: &str) -> Result<&'a str, CommandError> {
        value.as_deref().ok_or_else(|| CommandError::Usage(format!("{name} is needed")))
    }

    /// Runs the command and returns the value to print.
    ///
    /// # Errors
    /// Returns [`CommandError`] if the command fails.
    pub async fn run(&self) -> Result<Value, CommandError> {
        let arguments: Vec<&str> = self.arguments.iter().map(String::as_str).collect();
        match arguments.as_slice() {
            ["bundle", "check", file] => {
                let sections = publish::load_bundle(file)?.sections();
                let digest = ravenspoke_core::bundle::bundle_digest(&sections);
                Ok(json!({ "valid": file, "sections": sections.len(), "digest": digest }))
            }
            ["bundle", "sign", file] => {
                let id = self.needed(&self.id, "--id")?;
                let key = self.needed(&self.key, "--key")?;
                publish::sign(&self.config()?, file, id, key).await
            }
            ["bundle", "publish", file] => publish::publish(&self.config()?, file).await,
            ["bundle", "status"] => publish::status(&self.config()?).await,
            ["bundle", "diff", file] => publish::diff(&self.config()?, file).await,
            ["explain", request] => show::explain(&self.config()?, request).await,
            ["state", name] => show::state(&self.config()?, name).await,
            ["stop", name] => show::stop(&self.config()?, name).await,
            ["bills"] => show::bills(&self.config()?).await,
            ["settings", "check", file] => check_settings(file),
            ["key", "new", file] => publish::new_key(file),
            [] => Err(CommandError::Usage("a command is needed".to_owned())),
            other => Err(CommandError::Usage(format!("unknown command: {}", other.join(" ")))),
        }
    }
}

fn text(parser: &mut lexopt::Parser) -> Result<String, CommandError> {
    let value = parser.value().and_then(|value| value.string());
    value.map_err(|error| CommandError::Usage(error.to_string()))
}

fn check_settings(file: &str) -> Result<Value, CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandError::File { file: file.to_owned(), error: error.to_string() })?;
    let settings = ravenspoke_config::settings::read_settings(file, &text)?;
    Ok(json!({ "valid": file, "box": settings.name, "zone": settings.zone }))
}
