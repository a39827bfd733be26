//! The columns of an answer.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// A column of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Column {
    /// The name that conditions use to refer to the column.
    pub name: Box<str>,
    /// The type of the cells in the column.
    pub kind: ColumnKind,
}

/// The type of the cells in a column.
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
