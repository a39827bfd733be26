//! The errors of commands and their exit codes.

use std::io::{self, Write};

use displaydoc::Display;
use magnoliaspar_core::Findings;
use magnoliaspar_query::{SyntaxError, Winner};

/// The error of a command of the program.
#[derive(Debug)]
#[derive(Display)]
pub(crate) enum Failure {
    /// {0}
    Findings(FindingsReport),
    /// {0}
    Syntax(SyntaxError),
    /// {0}; see --help
    Usage(Box<str>),
    /// cannot read {file}: {cause}
    File {
        /// The file.
        file: Box<str>,
        /// The cause.
        cause: io::Error,
    },
    /// cannot write the output: {0}
    Output(io::Error),
    /// {address} did not answer: {cause}
    Connection {
        /// The operators' address.
        address: Box<str>,
        /// The cause.
        cause: Box<str>,
    },
    /// {address} answered with status {status}: {message}
    Refused {
        /// The operators' address.
        address: Box<str>,
        /// The HTTP status.
        status: u16,
        /// The message of the instance.
        message: Box<str>,
    },
    /// not accepted, another change was first: {0}
    Conflict(Winner),
    /// {0}
    Other(Box<str>),
}

impl Failure {
    /// Returns the exit code of the program.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Syntax(_) | Self::Usage(_) => 2,
            Self::File { .. }
            | Self::Output(_)
            | Self::Connection { .. }
            | Self::Refused { .. }
            | Self::Conflict(_)
            | Self::Other(_) => 1,
        }
    }

    /// Writes the failure; findings and syntax errors need no `error:` prefix.
    pub(crate) fn write(&self, err: &mut dyn Write) -> io::Result<()> {
        match self {
            Self::Findings(_) | Self::Syntax(_) => writeln!(err, "{self}"),
            _ => writeln!(err, "error: {self}"),
        }
    }
}

impl std::error::Error for Failure {}

impl From<Findings> for Failure {
    fn from(findings: Findings) -> Self {
        Self::Findings(FindingsReport(findings))
    }
}

impl From<SyntaxError> for Failure {
    fn from(err: SyntaxError) -> Self {
        Self::Syntax(err)
    }
}

impl From<io::Error> for Failure {
    fn from(err: io::Error) -> Self {
        Self::Output(err)
    }
}

/// Findings, displayed with their number at the end.
#[derive(Debug)]
pub(crate) struct FindingsReport(pub(crate) Findings);

impl std::fmt::Display for FindingsReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let plural = if self.0.len() == 1 { "" } else { "s" };
        write!(f, "{}{} finding{plural}", self.0, self.0.len())
    }
}
