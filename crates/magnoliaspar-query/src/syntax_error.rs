use std::fmt;

use magnoliaspar_json::closest;
use serde::{Deserialize, Serialize};

/// Where and why the text of a statement is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SyntaxError {
    /// The text of the statement.
    pub text: Box<str>,
    /// Where the wrong part starts, in bytes.
    pub start: usize,
    /// Where the wrong part ends, in bytes.
    pub end: usize,
    /// What is wrong, as a phrase without a full stop.
    pub message: Box<str>,
    /// What to do about it, if that is known.
    pub hint: Option<Box<str>>,
}

impl fmt::Display for SyntaxError {
    /// Writes the message, the line that is wrong with a mark under the wrong part, and the hint.
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

/// What the grammar found to be wrong, before the whole text is attached.
#[derive(Debug, Clone)]
pub(crate) struct Fault {
    start: usize,
    end: usize,
    message: Box<str>,
    hint: Option<Box<str>>,
}

impl Fault {
    /// Creates a fault of the part from `start` to `end`.
    pub(crate) fn new(start: usize, end: usize, message: impl Into<Box<str>>) -> Self {
        Self { start, end, message: message.into(), hint: None }
    }

    /// Creates a fault of the part `found`, where one of `words` was expected.
    pub(crate) fn expected(start: usize, found: &str, words: &[&str]) -> Self {
        let shown = if found.is_empty() { "the end" } else { found };
        let message = format!("expected {}, found {shown}", list(words));
        let fault = Self::new(start, start + found.len(), message);
        match closest(found, words.iter().copied()) {
            Some(meant) => fault.with_hint(format!("did you mean {meant}?")),
            None => fault,
        }
    }

    /// Adds a hint.
    pub(crate) fn with_hint(mut self, hint: impl Into<Box<str>>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Attaches the text of the statement.
    pub(crate) fn of(self, text: &str) -> SyntaxError {
        let Self { start, end, message, hint } = self;
        SyntaxError { text: text.into(), start, end, message, hint }
    }
}

/// Joins words as in "a, b or c".
fn list(words: &[&str]) -> String {
    match words {
        [] => "nothing".into(),
        [only] => (*only).into(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}
