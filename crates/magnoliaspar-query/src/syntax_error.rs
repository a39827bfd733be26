//! The syntax errors of statements.

use std::fmt;

use magnoliaspar_json::closest;
use serde::{Deserialize, Serialize};

/// A syntax error in a statement, with its position and cause.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SyntaxError {
    /// The text of the statement.
    pub text: Box<str>,
    /// Byte offset of the start of the erroneous part.
    pub start: usize,
    /// Byte offset of the end of the erroneous part.
    pub end: usize,
    /// The message, a phrase without a full stop.
    pub message: Box<str>,
    /// A suggested correction, if there is one.
    pub hint: Option<Box<str>>,
}

impl fmt::Display for SyntaxError {
    /// Writes the message, the line with the erroneous part underlined, and the hint.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.start.min(self.text.len());
        let before = self.text.get(..start).unwrap_or_default();
        let line_start = before.rfind('\n').map_or(0, |offset| offset + 1);
        let line = self.text[line_start..].lines().next().unwrap_or_default();
        let indent = before[line_start..].chars().count();
        let marked = self.text.get(start..self.end).unwrap_or_default();
        let width = marked.lines().next().unwrap_or_default().chars().count().max(1);
        writeln!(f, "error: {}", self.message)?;
        writeln!(f, "  {line}")?;
        write!(f, "  {:indent$}{}", "", "^".repeat(width))?;
        if let Some(hint) = &self.hint {
            write!(f, "\n  hint: {hint}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SyntaxError {}

/// A syntax error located by byte offsets, before the text of the statement is attached.
#[derive(Debug, Clone)]
pub(crate) struct SpannedError {
    start: usize,
    end: usize,
    message: Box<str>,
    hint: Option<Box<str>>,
}

impl SpannedError {
    /// Creates an error for the bytes from `start` to `end`.
    pub(crate) fn new(start: usize, end: usize, message: impl Into<Box<str>>) -> Self {
        Self { start, end, message: message.into(), hint: None }
    }

    /// Creates an error for the part `found`, where one of `words` was expected.
    pub(crate) fn expected(start: usize, found: &str, words: &[&str]) -> Self {
        let described = if found.is_empty() { "the end" } else { found };
        let message = format!("expected {}, found {described}", join_alternatives(words));
        let err = Self::new(start, start + found.len(), message);
        match closest(found, words.iter().copied()) {
            Some(meant) => err.with_hint(format!("did you mean {meant}?")),
            None => err,
        }
    }

    /// Adds a hint.
    pub(crate) fn with_hint(mut self, hint: impl Into<Box<str>>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Attaches the text of the statement.
    pub(crate) fn with_text(self, text: &str) -> SyntaxError {
        let Self { start, end, message, hint } = self;
        SyntaxError { text: text.into(), start, end, message, hint }
    }
}

/// Joins words as alternatives: "a, b or c".
fn join_alternatives(words: &[&str]) -> String {
    match words {
        [] => "nothing".into(),
        [only] => (*only).into(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}
