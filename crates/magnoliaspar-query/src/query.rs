use std::fmt;
use std::time::Duration;

use magnoliaspar_core::RequestId;
use magnoliaspar_json::format_duration;

use crate::lexeme::Quoted;
use crate::{Answer, Column, ColumnKind, Condition};

use ColumnKind::{Boolean, Count, Duration as Span, List, Number, Text};

/// A question about the state of the instances.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// What is asked for.
    pub subject: Subject,
    /// The conditions that rows fulfil, all of them.
    pub conditions: Vec<Condition>,
    /// How far back the answer goes, for subjects that have a past.
    pub since: Option<Duration>,
    /// The most rows that are wanted.
    pub limit: Option<u32>,
}

impl Query {
    /// Keeps the rows of an answer that are asked for.
    pub fn apply(&self, answer: &mut Answer) {
        let Answer { columns, rows, .. } = answer;
        for condition in &self.conditions {
            let Some(index) = columns.iter().position(|column| column.name == condition.field)
            else {
                // A part without the column has nothing that fulfils the condition.
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
            let lead = if index == 0 { "where" } else { "and" };
            write!(f, " {lead} {condition}")?;
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

/// What a query asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// The requests in progress.
    Running,
    /// The decisions that were made for a request.
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
    /// The declarations in force, one row for each declared thing.
    Config,
    /// The claims of non-idempotent calls.
    Claims,
    /// The orders to engines.
    Orders,
    /// The fingerprints of requests that engines may crash on.
    Quarantine,
    /// The events of all instances.
    Timeline,
}

impl Subject {
    /// Returns the word by which a query begins.
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

    /// Returns the columns of the answer, whose names are the fields of conditions.
    pub fn columns(&self) -> Box<[Column]> {
        let mut columns = Vec::new();
        for (name, kind) in self.fields() {
            columns.push(Column { name: (*name).into(), kind: *kind });
        }
        columns.into()
    }

    /// Returns the names and kinds of the columns.
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

    /// Whether `since` applies to the subject.
    pub(crate) fn has_past(&self) -> bool {
        matches!(self, Self::Timeline)
    }
}
