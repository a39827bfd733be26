//! The paths, requests and responses of the operators' HTTP interface.
//!
//! The requests and responses are JSON. All paths except health, readiness and metrics require
//! `Authorization: Bearer KEY`.

use std::fmt;

use magnoliaspar_core::{Findings, InstanceName, ZoneName};
use magnoliaspar_declaration::{Document, DocumentDelta};
use magnoliaspar_event::EventPart;
use serde::{Deserialize, Serialize};

use crate::{SyntaxError, Winner};

/// `POST` runs a [`StatementRequest`] and returns an [`Answer`](crate::Answer).
pub const STATEMENT_PATH: &str = "/v1/statement";

/// `GET` returns a [`ConfigResponse`].
pub const CONFIG_PATH: &str = "/v1/config";

/// `POST` applies an [`ApplyRequest`] and returns an [`ApplyResponse`].
pub const APPLY_PATH: &str = "/v1/config/apply";

/// `GET` returns a [`SpreadResponse`].
pub const SPREAD_PATH: &str = "/v1/config/spread";

/// `GET` returns an [`EventsResponse`]; the query string of the URL is an
/// [`EventFilter`](magnoliaspar_event::EventFilter).
pub const EVENTS_PATH: &str = "/v1/events";

/// `GET` returns a [`StatusResponse`].
pub const STATUS_PATH: &str = "/v1/status";

/// `GET` returns status 200 as long as the process runs.
pub const HEALTH_PATH: &str = "/healthz";

/// `GET` returns status 200 if the instance is ready, and 503 with the reasons otherwise.
pub const READY_PATH: &str = "/readyz";

/// `GET` returns the metrics in text form.
pub const METRICS_PATH: &str = "/metrics";

/// A request to run a query or command.
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
    /// The version of the declarations.
    pub version: u64,
    /// The declarations.
    pub document: Document,
}

/// A request to change the declarations.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The version that the change is based on; the change conflicts with any newer version.
    pub expected_version: u64,
    /// The change to apply.
    pub delta: DocumentDelta,
}

/// The result of a request to change the declarations.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyResponse {
    /// The change was accepted.
    Accepted {
        /// The version that the change created.
        version: u64,
    },
    /// The change was rejected because another one was accepted first.
    Conflict {
        /// The change that was accepted first.
        winner: Winner,
    },
    /// The change was rejected because the resulting declarations would be invalid.
    Refused {
        /// The findings, with JSON paths.
        findings: Findings,
    },
}

/// The rollout state: the version in force on each instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SpreadResponse {
    /// The instances that answered.
    pub instances: Vec<InstanceVersion>,
    /// The known instances that did not answer.
    pub unreachable: Vec<InstanceName>,
}

impl SpreadResponse {
    /// Returns the instances that answered and have an older version than `version` or none.
    pub fn outdated(&self, version: u64) -> Vec<&InstanceVersion> {
        let mut outdated = Vec::new();
        for instance in &self.instances {
            if instance.version.is_none_or(|current| current < version) {
                outdated.push(instance);
            }
        }
        outdated
    }
}

/// The version in force on an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceVersion {
    /// The instance.
    pub instance: InstanceName,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// The version, if the instance has received one.
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
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// True if the instance accepts requests.
    pub ready: bool,
    /// The reasons why the instance is not ready.
    pub reasons: Vec<Box<str>>,
    /// True if the instance is draining.
    pub draining: bool,
    /// The version of the declarations in force, if the instance has received one.
    pub config_version: Option<u64>,
    /// Number of requests in flight.
    pub running: u64,
    /// Number of live instances known to this instance.
    pub live_instances: u64,
    /// Number of live backend servers known to this instance.
    pub live_servers: u64,
    /// Number of events dropped from the ring buffer.
    pub dropped_events: u64,
    /// Time since the start of the process, in milliseconds.
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
            None => writeln!(f, "configuration    not received")?,
        }
        writeln!(f, "running requests {}", self.running)?;
        writeln!(f, "live instances   {}", self.live_instances)?;
        writeln!(f, "live servers     {}", self.live_servers)?;
        writeln!(f, "dropped events   {}", self.dropped_events)?;
        writeln!(f, "uptime           {} s", self.uptime_ms / 1_000)
    }
}

/// The body of an error response, whose HTTP status is 400 or higher.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The stable error code for programs.
    pub code: ErrorCode,
    /// The error message for people.
    pub message: Box<str>,
    /// The syntax error in a statement, with its position.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub syntax: Option<SyntaxError>,
}

/// The error codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The statement has a syntax error; status 400.
    Syntax,
    /// The request is malformed; status 400.
    BadRequest,
    /// The key is missing or wrong; status 401.
    Unauthenticated,
    /// The key does not grant the required rights; status 403.
    Forbidden,
    /// The path does not exist; status 404.
    NotFound,
    /// The store that persists changes is unavailable; status 503.
    StoreUnavailable,
    /// The instance has not received the configuration yet; status 503.
    NotReady,
    /// An internal error occurred; status 500.
    Internal,
}

impl ErrorCode {
    /// Returns the HTTP status of the code.
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
    /// Creates an error response without a syntax error.
    pub fn new(code: ErrorCode, message: impl Into<Box<str>>) -> Self {
        Self { code, message: message.into(), syntax: None }
    }
}

impl From<SyntaxError> for ErrorResponse {
    fn from(err: SyntaxError) -> Self {
        Self { code: ErrorCode::Syntax, message: err.message.clone(), syntax: Some(err) }
    }
}
