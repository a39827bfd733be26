use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// A column of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Column {
    /// The name, by which conditions refer to the column.
    pub name: Box<str>,
    /// What the cells of the column hold.
    pub kind: ColumnKind,
}

/// What the cells of a column hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColumnKind {
    /// text
    Text,
    /// a whole number
    Count,
    /// a number
    Number,
    /// a duration
    Duration,
    /// true or false
    Boolean,
    /// a list
    List,
}
