//! The answer to a statement.

use std::fmt;
use std::time::Duration;

use magnoliaspar_core::{Findings, InstanceName};
use magnoliaspar_event::Stamp;
use serde::{Deserialize, Serialize};

use crate::{Column, Subject};

/// The answer to a statement: a table or the result of a command, and the gaps in it.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// The columns.
    pub columns: Box<[Column]>,
    /// The rows, each with one cell for each column.
    pub rows: Vec<Box<[Cell]>>,
    /// The result of a command; `None` for queries.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub command: Option<CommandResult>,
    /// The findings of a command that was rejected.
    #[serde(default)]
    pub findings: Findings,
    /// The instances whose part of the answer is missing.
    #[serde(default)]
    pub gaps: Vec<AnswerGap>,
}

impl Answer {
    /// Creates an answer with the columns of `subject` and no rows.
    pub fn new(subject: &Subject) -> Self {
        Self { columns: subject.columns(), ..Self::default() }
    }

    /// Creates the answer to a command.
    pub fn of_command(result: CommandResult) -> Self {
        Self { command: Some(result), ..Self::default() }
    }

    /// Creates the answer to a command that was rejected with findings.
    pub fn of_findings(findings: Findings) -> Self {
        Self { findings, ..Self::default() }
    }

    /// Adds a row, which must have one cell for each column.
    pub fn push(&mut self, row: impl Into<Box<[Cell]>>) {
        let row = row.into();
        debug_assert_eq!(row.len(), self.columns.len());
        self.rows.push(row);
    }

    /// Appends the rows, findings and gaps of another instance's part.
    pub fn append(&mut self, mut part: Answer) {
        self.rows.append(&mut part.rows);
        self.findings.append(part.findings);
        self.gaps.append(&mut part.gaps);
    }
}

/// The value of a row in one column.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum Cell {
    /// No value, or an unknown one.
    Empty,
    /// True or false.
    Boolean(bool),
    /// A whole number, or a duration in milliseconds.
    Count(u64),
    /// A number.
    Number(f64),
    /// A text.
    Text(Box<str>),
    /// A list.
    List(Box<[Box<str>]>),
}

impl Cell {
    /// Creates a text cell.
    pub fn text(text: impl Into<Box<str>>) -> Self {
        Self::Text(text.into())
    }

    /// Creates a cell for a column of durations, in whole milliseconds.
    pub fn duration(duration: Duration) -> Self {
        Self::Count(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("-"),
            Self::Boolean(value) => write!(f, "{value}"),
            Self::Count(count) => write!(f, "{count}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => f.write_str(text),
            Self::List(elements) => f.write_str(&elements.join(", ")),
        }
    }
}

impl From<&str> for Cell {
    fn from(text: &str) -> Self {
        Self::text(text)
    }
}

impl From<u64> for Cell {
    fn from(count: u64) -> Self {
        Self::Count(count)
    }
}

impl From<f64> for Cell {
    fn from(number: f64) -> Self {
        Self::Number(number)
    }
}

impl From<bool> for Cell {
    fn from(value: bool) -> Self {
        Self::Boolean(value)
    }
}

impl From<Duration> for Cell {
    fn from(duration: Duration) -> Self {
        Self::duration(duration)
    }
}

impl<T: Into<Cell>> From<Option<T>> for Cell {
    fn from(value: Option<T>) -> Self {
        value.map_or(Self::Empty, Into::into)
    }
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum CommandResult {
    /// The command was accepted.
    Accepted {
        /// The version that the command created.
        version: u64,
    },
    /// The command was rejected because another one was accepted first.
    Conflict {
        /// The command that was accepted first.
        winner: Winner,
    },
}

/// The command or change that was accepted first in a conflict.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Winner {
    /// The version that the command created.
    pub version: u64,
    /// The name of the operator who issued the command, if known.
    pub operator: Option<Box<str>>,
    /// The text of the command, if known.
    pub command: Option<Box<str>>,
    /// The time at which the command was accepted, if known.
    pub stamp: Option<Stamp>,
}

impl fmt::Display for Winner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {}", self.version)?;
        if let Some(operator) = &self.operator {
            write!(f, " by {operator}")?;
        }
        if let Some(stamp) = self.stamp {
            write!(f, " at {stamp}")?;
        }
        if let Some(command) = &self.command {
            write!(f, ": {command}")?;
        }
        Ok(())
    }
}

/// An instance whose part of an answer is missing.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AnswerGap {
    /// The instance.
    pub instance: InstanceName,
    /// The reason why its part is missing.
    pub cause: Box<str>,
}
