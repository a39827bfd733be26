use std::io;

use displaydoc::Display;
use magnoliaspar_core::Findings;
use magnoliaspar_query::{SyntaxError, Winner};

/// Why a command did not go well.
#[derive(Debug, Display)]
pub(crate) enum Failure {
    /// {0}
    Findings(FindingsReport),
    /// {0}
    Syntax(SyntaxError),
    /// error: {0}; see --help
    Usage(Box<str>),
    /// error: cannot read {file}: {cause}
    File {
        /// The file.
        file: Box<str>,
        /// The cause.
        cause: io::Error,
    },
    /// error: cannot write the output: {0}
    Output(io::Error),
    /// error: {address} did not answer: {cause}
    Connection {
        /// The operators' address.
        address: Box<str>,
        /// The cause.
        cause: Box<str>,
    },
    /// error: {address} answered with status {status}: {message}
    Refused {
        /// The operators' address.
        address: Box<str>,
        /// The HTTP status.
        status: u16,
        /// What the instance says.
        message: Box<str>,
    },
    /// error: not accepted, another change was first: {0}
    Conflict(Winner),
    /// error: {0}
    Incomplete(Box<str>),
}

impl Failure {
    /// Returns the exit code of the program.
    pub(crate) fn as_exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Syntax(_) | Self::Usage(_) => 2,
            Self::File { .. }
            | Self::Output(_)
            | Self::Connection { .. }
            | Self::Refused { .. }
            | Self::Conflict(_)
            | Self::Incomplete(_) => 1,
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

/// Findings with their number.
#[derive(Debug)]
pub(crate) struct FindingsReport(pub(crate) Findings);

impl std::fmt::Display for FindingsReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let plural = if self.0.len() == 1 { "" } else { "s" };
        write!(f, "{}{} finding{plural}", self.0, self.0.len())
    }
}
