use std::fmt;

use magnoliaspar_settings::OperatorRights;

use crate::grammar::parse_statement;
use crate::{Command, Query, SyntaxError};

/// A statement of the query and command language.
#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// A query, which changes nothing.
    Query(Query),
    /// A command, which requests a change.
    Command(Command),
}

impl Statement {
    /// Parses a statement; the error has the position and cause.
    pub fn parse(text: &str) -> Result<Self, SyntaxError> {
        parse_statement(text)
    }

    /// Returns the rights that an operator needs for the statement.
    pub fn required_rights(&self) -> OperatorRights {
        match self {
            Self::Query(_) => OperatorRights::Read,
            Self::Command(_) => OperatorRights::Command,
        }
    }
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Query(query) => write!(f, "{query}"),
            Self::Command(command) => write!(f, "{command}"),
        }
    }
}
