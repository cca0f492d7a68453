//! The operator's command.
//!
//! [`command`] parses the command line and [`config`] reads the operator's settings. [`publish`]
//! signs and publishes bundles, and [`show`] queries boxes and the log. A command that fails
//! returns a [`CommandError`], whose exit code scripts may rely on.

pub mod command;
pub mod config;
pub mod publish;
pub mod show;

use miette::Diagnostic;

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CommandError {
    /// The command line is invalid. Exit code 2.
    #[error("{0}")]
    #[diagnostic(help("see `ravenspoke --help`"))]
    Usage(String),
    /// A file has findings. Exit code 2.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Findings(#[from] Box<ravenspoke_config::finding::FileFindings>),
    /// A file cannot be read or written. Exit code 2.
    #[error("{file}: {error}")]
    #[diagnostic(help("check the path and its permissions"))]
    File {
        /// Path of the file.
        file: String,
        /// The cause.
        error: String,
    },
    /// The platform or a box cannot be reached. Exit code 3.
    #[error("{0}")]
    #[diagnostic(help("nothing is known to have changed; try again when it answers"))]
    Unreachable(String),
    /// The command is valid but did not succeed. Exit code 1.
    #[error("{message}")]
    Failed {
        /// The reason.
        message: String,
        /// The remedy.
        #[help]
        help: String,
    },
}

impl CommandError {
    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed { .. } => 1,
            Self::Usage(_) | Self::Findings(_) | Self::File { .. } => 2,
            Self::Unreachable(_) => 3,
        }
    }

    /// Creates the error of a valid command that did not succeed.
    pub fn failed(message: impl Into<String>, help: impl Into<String>) -> Self {
        Self::Failed { message: message.into(), help: help.into() }
    }
}

impl From<ravenspoke_services::PlatformError> for CommandError {
    fn from(error: ravenspoke_services::PlatformError) -> Self {
        Self::Unreachable(error.to_string())
    }
}
