//! The queries of the language and the columns of their answers.

use std::fmt;
use std::time::Duration;

use magnoliaspar_core::RequestId;
use magnoliaspar_json::format_duration;

use crate::lexeme::Quoted;
use crate::{Answer, Column, ColumnKind, Condition};

use ColumnKind::{Boolean, Count, Duration as Span, List, Number, Text};

/// A query about the state of the instances.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// The subject, which determines the columns.
    pub subject: Subject,
    /// The conditions that rows must all fulfil.
    pub conditions: Vec<Condition>,
    /// The age limit of events, for subjects that support it.
    pub since: Option<Duration>,
    /// Maximum number of rows.
    pub limit: Option<u32>,
}

impl Query {
    /// Removes the rows that do not fulfil the conditions or exceed the limit.
    pub fn apply(&self, answer: &mut Answer) {
        let Answer { columns, rows, .. } = answer;
        for condition in &self.conditions {
            let Some(index) = columns.iter().position(|column| column.name == condition.field)
            else {
                // Without the column, no row can fulfil the condition.
                rows.clear();
                break;
            };
            let kind = columns[index].kind;
            rows.retain(|row| row.get(index).is_some_and(|cell| condition.accepts(kind, cell)));
        }
        if let Some(limit) = self.limit {
            rows.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
        }
    }
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.subject.word())?;
        if let Subject::Why(request) = &self.subject {
            write!(f, " {}", Quoted::name(request.as_str()))?;
        }
        for (index, condition) in self.conditions.iter().enumerate() {
            let keyword = if index == 0 { "where" } else { "and" };
            write!(f, " {keyword} {condition}")?;
        }
        if let Some(since) = self.since {
            write!(f, " since {}", format_duration(since))?;
        }
        if let Some(limit) = self.limit {
            write!(f, " limit {limit}")?;
        }
        Ok(())
    }
}

/// The subject of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// The requests in flight.
    Running,
    /// The decisions made for a request.
    Why(RequestId),
    /// The backend servers.
    Servers,
    /// The instances.
    Instances,
    /// The routes in force.
    Routes,
    /// The pools in force.
    Pools,
    /// The workspaces in force.
    Workspaces,
    /// The declarations in force, one row for each declared entity.
    Config,
    /// The claims on idempotency keys, which keep non-idempotent calls from running twice.
    Claims,
    /// The orders to engines.
    Orders,
    /// The fingerprints of requests that are suspected of crashing engines.
    Quarantine,
    /// The events of all instances.
    Timeline,
}

impl Subject {
    /// Returns the keyword that a query of the subject begins with.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Why(_) => "why",
            Self::Servers => "servers",
            Self::Instances => "instances",
            Self::Routes => "routes",
            Self::Pools => "pools",
            Self::Workspaces => "workspaces",
            Self::Config => "config",
            Self::Claims => "claims",
            Self::Orders => "orders",
            Self::Quarantine => "quarantine",
            Self::Timeline => "timeline",
        }
    }

    /// Returns the columns of the answer, which are also the fields of conditions.
    pub fn columns(&self) -> Box<[Column]> {
        let mut columns = Vec::new();
        for (name, kind) in self.fields() {
            columns.push(Column { name: (*name).into(), kind: *kind });
        }
        columns.into()
    }

    /// Returns the names and types of the columns.
    pub(crate) fn fields(&self) -> &'static [(&'static str, ColumnKind)] {
        match self {
            Self::Running => &[
                ("request", Text),
                ("route", Text),
                ("workspace", Text),
                ("stage", Text),
                ("server", Text),
                ("prefill_server", Text),
                ("decode_server", Text),
                ("instance", Text),
                ("attempt", Count),
                ("tokens", Count),
                ("age", Span),
            ],
            Self::Why(_) => &[
                ("time", Text),
                ("instance", Text),
                ("step", Text),
                ("decision", Text),
                ("inputs", Text),
                ("rejected", List),
            ],
            Self::Servers => &[
                ("server", Text),
                ("pool", Text),
                ("zone", Text),
                ("state", Text),
                ("incarnation", Count),
                ("version", Count),
                ("home", Text),
                ("model", Text),
                ("slots_used", Count),
                ("slots", Count),
                ("pieces_used", Count),
                ("pieces", Count),
                ("queue", Count),
                ("report_age", Span),
            ],
            Self::Instances => &[
                ("instance", Text),
                ("zone", Text),
                ("state", Text),
                ("incarnation", Count),
                ("ready", Boolean),
                ("config_version", Count),
                ("running", Count),
                ("heartbeat_age", Span),
            ],
            Self::Routes => &[
                ("route", Text),
                ("kind", Text),
                ("model", Text),
                ("model_version", Text),
                ("adapters", List),
                ("pools", List),
                ("prefix", Text),
                ("repeat", Text),
                ("wait", Text),
                ("wasted_prefill", Number),
                ("goodput", Number),
            ],
            Self::Pools => &[
                ("pool", Text),
                ("kind", Text),
                ("fencing", Boolean),
                ("servers", Count),
                ("live", Count),
            ],
            Self::Workspaces => {
                &[("workspace", Text), ("share", Count), ("concurrency", Count), ("running", Count)]
            }
            Self::Config => &[("entity", Text), ("version", Count), ("value", Text)],
            Self::Claims => &[
                ("workspace", Text),
                ("key", Text),
                ("route", Text),
                ("outcome", Text),
                ("instance", Text),
                ("age", Span),
            ],
            Self::Orders => &[
                ("server", Text),
                ("order", Text),
                ("state", Text),
                ("fence", Count),
                ("instance", Text),
                ("age", Span),
            ],
            Self::Quarantine => &[
                ("fingerprint", Text),
                ("state", Text),
                ("crashes", Count),
                ("servers", List),
                ("version", Count),
                ("age", Span),
            ],
            Self::Timeline => &[
                ("time", Text),
                ("instance", Text),
                ("request", Text),
                ("server", Text),
                ("kind", Text),
                ("details", Text),
            ],
        }
    }

    /// Returns true if the clause `since` applies to the subject.
    pub(crate) fn supports_since(&self) -> bool {
        matches!(self, Self::Timeline)
    }
}
