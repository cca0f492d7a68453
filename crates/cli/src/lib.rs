//! The operator's command.
//!
//! [`command`] reads the command line, [`config`] the operator's settings; [`publish`] works on
//! bundles and the log, [`show`] asks the boxes. Each command gives a [`CommandError`] with an exit
//! code that scripts may rely on.

pub mod command;
pub mod config;
pub mod publish;
pub mod show;

use miette::Diagnostic;

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CommandError {
    /// The command line is wrong. Exit code 2.
    #[error("{0}")]
    #[diagnostic(help("see `ravenspoke --help`"))]
    Usage(String),
    /// A file has findings. Exit code 2.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Findings(#[from] Box<ravenspoke_config::finding::FileFindings>),
    /// A file can't be read or written. Exit code 2.
    #[error("{file}: {error}")]
    #[diagnostic(help("check the path and its permissions"))]
    File {
        /// Its path.
        file: String,
        /// What the system says.
        error: String,
    },
    /// The platform or a box can't be reached. Exit code 3.
    #[error("{0}")]
    #[diagnostic(help("nothing is known to have changed; try again when it answers"))]
    Unreachable(String),
    /// The command was understood and did not come about. Exit code 1.
    #[error("{message}")]
    Failed {
        /// What happened.
        message: String,
        /// What to do.
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

    /// A command that did not come about.
    pub fn failed(message: impl Into<String>, help: impl Into<String>) -> Self {
        Self::Failed { message: message.into(), help: help.into() }
    }
}

impl From<ravenspoke_services::PlatformError> for CommandError {
    fn from(error: ravenspoke_services::PlatformError) -> Self {
        Self::Unreachable(error.to_string())
    }
}
