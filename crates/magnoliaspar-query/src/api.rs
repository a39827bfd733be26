//! The requests and responses of the operators' HTTP interface.
//!
//! All are JSON, and all paths but health, readiness and metrics need `Authorization: Bearer KEY`.

use std::fmt;

use magnoliaspar_core::{Findings, InstanceName, ZoneName};
use magnoliaspar_declaration::{Document, DocumentDelta};
use magnoliaspar_event::EventPart;
use serde::{Deserialize, Serialize};

use crate::{SyntaxError, Winner};

/// Takes a [`StatementRequest`] by POST and answers with an [`Answer`](crate::Answer).
pub const STATEMENT_PATH: &str = "/v1/statement";

/// Answers to GET with a [`ConfigResponse`].
pub const CONFIG_PATH: &str = "/v1/config";

/// Takes an [`ApplyRequest`] by POST and answers with an [`ApplyResponse`].
pub const APPLY_PATH: &str = "/v1/config/apply";

/// Answers to GET with a [`SpreadResponse`].
pub const SPREAD_PATH: &str = "/v1/config/spread";

/// Answers to GET with an [`EventsResponse`]; the query part of the URL is an
/// [`EventFilter`](magnoliaspar_event::EventFilter).
pub const EVENTS_PATH: &str = "/v1/events";

/// Answers to GET with a [`StatusResponse`].
pub const STATUS_PATH: &str = "/v1/status";

/// Answers to GET with status 200 as long as the process runs.
pub const HEALTH_PATH: &str = "/healthz";

/// Answers to GET with status 200 if the instance takes work, and 503 with the reasons otherwise.
pub const READY_PATH: &str = "/readyz";

/// Answers to GET with the metrics in text form.
pub const METRICS_PATH: &str = "/metrics";

/// A query or command.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatementRequest {
    /// The text of the statement.
    pub text: Box<str>,
}

/// The declarations in force.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigResponse {
    /// The version.
    pub version: u64,
    /// The declarations.
    pub document: Document,
}

/// A change of the declarations.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The version that the change was made from.
    pub expected_version: u64,
    /// The change.
    pub delta: DocumentDelta,
}

/// What became of a change of the declarations.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyResponse {
    /// The change was accepted.
    Accepted {
        /// The version that it made.
        version: u64,
    },
    /// Another change was accepted first.
    Conflict {
        /// The change that won.
        winner: Winner,
    },
    /// The declarations would be wrong.
    Refused {
        /// What is wrong, with JSON paths.
        findings: Findings,
    },
}

/// Which version is in force where.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SpreadResponse {
    /// The instances that answered.
    pub instances: Vec<InstanceVersion>,
    /// The instances that are known and did not answer.
    pub unreachable: Vec<InstanceName>,
}

impl SpreadResponse {
    /// Returns the instances that answered and have an older version than `version`.
    pub fn behind(&self, version: u64) -> Vec<&InstanceVersion> {
        let mut behind = Vec::new();
        for instance in &self.instances {
            if instance.version.is_none_or(|current| current < version) {
                behind.push(instance);
            }
        }
        behind
    }
}

/// The version in force on an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceVersion {
    /// The instance.
    pub instance: InstanceName,
    /// The availability zone in which it runs.
    pub zone: ZoneName,
    /// The version, if the instance has learned one.
    pub version: Option<u64>,
}

/// The events of all instances that answered.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EventsResponse {
    /// The parts of the instances that answered.
    pub parts: Vec<EventPart>,
    /// The instances that did not answer.
    pub silent: Vec<InstanceName>,
}

/// The state of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatusResponse {
    /// The instance.
    pub instance: InstanceName,
    /// The availability zone in which it runs.
    pub zone: ZoneName,
    /// Whether it takes work.
    pub ready: bool,
    /// Why it takes no work.
    pub reasons: Vec<Box<str>>,
    /// Whether it drains.
    pub draining: bool,
    /// The version of the declarations in force, if it has learned one.
    pub config_version: Option<u64>,
    /// How many requests it has in progress.
    pub running: u64,
    /// How many live instances it knows.
    pub live_instances: u64,
    /// How many live backend servers it knows.
    pub live_servers: u64,
    /// How many events it has dropped.
    pub dropped_events: u64,
    /// For how long it has run, in milliseconds.
    pub uptime_ms: u64,
}

impl fmt::Display for StatusResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "instance         {}", self.instance)?;
        writeln!(f, "zone             {}", self.zone)?;
        writeln!(f, "ready            {}", if self.ready { "yes" } else { "no" })?;
        for reason in &self.reasons {
            writeln!(f, "                 - {reason}")?;
        }
        writeln!(f, "draining         {}", if self.draining { "yes" } else { "no" })?;
        match self.config_version {
            Some(version) => writeln!(f, "configuration    version {version}")?,
            None => writeln!(f, "configuration    not learned")?,
        }
        writeln!(f, "running requests {}", self.running)?;
        writeln!(f, "live instances   {}", self.live_instances)?;
        writeln!(f, "live servers     {}", self.live_servers)?;
        writeln!(f, "dropped events   {}", self.dropped_events)?;
        writeln!(f, "uptime           {} s", self.uptime_ms / 1_000)
    }
}

/// A refusal, which comes with a status of 400 or more.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The stable code that programs match on.
    pub code: ErrorCode,
    /// What went wrong, for people.
    pub message: Box<str>,
    /// The place of a mistake in a statement.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub syntax: Option<SyntaxError>,
}

/// The codes of refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The statement has a mistake; status 400.
    Syntax,
    /// The request is malformed; status 400.
    BadRequest,
    /// The key is missing or wrong; status 401.
    Unauthenticated,
    /// The key does not give the right; status 403.
    Forbidden,
    /// There is nothing at the path; status 404.
    NotFound,
    /// The store that would keep the change is out of reach; status 503.
    StoreUnavailable,
    /// The instance has not learned the configuration yet; status 503.
    NotReady,
    /// Something went wrong inside; status 500.
    Internal,
}

impl ErrorCode {
    /// Returns the HTTP status that goes with the code.
    pub fn as_status(self) -> u16 {
        match self {
            Self::Syntax | Self::BadRequest => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Internal => 500,
            Self::StoreUnavailable | Self::NotReady => 503,
        }
    }
}

impl ErrorResponse {
    /// Creates a refusal.
    pub fn new(code: ErrorCode, message: impl Into<Box<str>>) -> Self {
        Self { code, message: message.into(), syntax: None }
    }
}

impl From<SyntaxError> for ErrorResponse {
    fn from(err: SyntaxError) -> Self {
        Self { code: ErrorCode::Syntax, message: err.message.clone(), syntax: Some(err) }
    }
}
