use std::time::Duration;

use async_trait::async_trait;
use magnoliaspar_core::ServerName;
use magnoliaspar_query::CommandResult;
use magnoliaspar_query::api::{ErrorCode, ErrorResponse};

/// The fingerprints of requests that engines may crash on.
#[async_trait(?Send)]
pub trait QuarantineBook {
    /// Returns the present entries.
    fn entries(&self) -> Vec<QuarantineEntry>;

    /// Refuses all requests with a fingerprint.
    async fn quarantine(&self, change: &QuarantineChange) -> Result<CommandResult, ErrorResponse>;

    /// Lets requests with a fingerprint run again.
    async fn release(&self, change: &QuarantineChange) -> Result<CommandResult, ErrorResponse>;
}

/// A fingerprint that is suspected or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The fingerprint.
    pub fingerprint: Box<str>,
    /// What happens to requests with the fingerprint.
    pub state: Box<str>,
    /// How many engines have crashed on it.
    pub crashes: u64,
    /// The engines that have crashed on it.
    pub servers: Vec<ServerName>,
    /// The version that commands may name.
    pub version: u64,
    /// For how long the entry has been in this state.
    pub age: Duration,
}

/// A change of one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The fingerprint.
    pub fingerprint: Box<str>,
    /// The version that the operator saw, if the command names one.
    pub expected_version: Option<u64>,
    /// The name of the operator.
    pub operator: Box<str>,
}

/// The book of a build that quarantines nothing.
pub struct NoQuarantine;

#[async_trait(?Send)]
impl QuarantineBook for NoQuarantine {
    fn entries(&self) -> Vec<QuarantineEntry> {
        Vec::new()
    }

    async fn quarantine(&self, _: &QuarantineChange) -> Result<CommandResult, ErrorResponse> {
        Err(unsupported("quarantine"))
    }

    async fn release(&self, _: &QuarantineChange) -> Result<CommandResult, ErrorResponse> {
        Err(unsupported("release"))
    }
}

/// Refuses a command that this build cannot follow.
pub fn unsupported(command: &str) -> ErrorResponse {
    let message = format!("{command} is not supported by this build");
    ErrorResponse::new(ErrorCode::BadRequest, message)
}
