//! Outcomes of requests, and refusals with their stable codes.

use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// answered
    Answered,
    /// not run
    NotRun,
    /// may have run
    MayHaveRun,
}

/// The error that a caller gets in place of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
#[displaydoc("{code}: {message} ({outcome})")]
pub struct Refusal {
    /// The stable, machine-readable code.
    pub code: RefusalCode,
    /// The outcome, which tells if the request may have run.
    pub outcome: Outcome,
    /// A human-readable explanation.
    pub message: Box<str>,
    /// The time to wait before a retry; `None` if there is no advice.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that has not run.
    pub fn not_run(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self { code, outcome: Outcome::NotRun, message: message.into(), retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(code: RefusalCode, message: impl Into<Box<str>>) -> Self {
        Self { code, outcome: Outcome::MayHaveRun, message: message.into(), retry_after: None }
    }

    /// Sets the time to wait before a retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

impl std::error::Error for Refusal {}

/// The stable code of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// bad_request
    BadRequest,
    /// unauthenticated
    Unauthenticated,
    /// forbidden
    Forbidden,
    /// not_found
    NotFound,
    /// unknown_model
    UnknownModel,
    /// method_not_allowed
    MethodNotAllowed,
    /// too_large
    TooLarge,
    /// too_many_requests
    TooManyRequests,
    /// missing_idempotency_key
    MissingIdempotencyKey,
    /// already_answered
    AlreadyAnswered,
    /// in_progress
    InProgress,
    /// deadline
    Deadline,
    /// overloaded
    Overloaded,
    /// no_server
    NoServer,
    /// server_failed
    ServerFailed,
    /// quarantined
    Quarantined,
    /// store_unavailable
    StoreUnavailable,
    /// not_ready
    NotReady,
    /// draining
    Draining,
    /// cancelled
    Cancelled,
    /// internal
    Internal,
}

impl RefusalCode {
    /// Returns the HTTP status of the code.
    pub fn as_status(self) -> u16 {
        match self {
            Self::BadRequest | Self::MissingIdempotencyKey => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound | Self::UnknownModel => 404,
            Self::MethodNotAllowed => 405,
            Self::AlreadyAnswered | Self::InProgress => 409,
            Self::TooLarge => 413,
            Self::Quarantined => 422,
            Self::TooManyRequests => 429,
            Self::Cancelled => 499,
            Self::Internal => 500,
            Self::ServerFailed => 502,
            Self::Overloaded
            | Self::NoServer
            | Self::StoreUnavailable
            | Self::NotReady
            | Self::Draining => 503,
            Self::Deadline => 504,
        }
    }
}
