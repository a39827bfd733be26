//! Findings of validation, with their location in the input.

use std::fmt::{self, Display};

use serde::{Deserialize, Serialize};

/// A list of findings that are reported together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Adds all findings of `other`.
    pub fn append(&mut self, mut other: Findings) {
        self.0.append(&mut other.0);
    }

    /// Returns true if there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Iterates over the findings in insertion order.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Iterates mutably over the findings, for instance to fill in their places.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, Finding> {
        self.0.iter_mut()
    }

    /// Sorts the findings by file, line and column; the sort is stable.
    pub fn sort_by_place(&mut self) {
        self.0.sort_by(|a, b| {
            let a = &a.place;
            let b = &b.place;
            (&a.file, a.line, a.column).cmp(&(&b.file, b.line, b.column))
        });
    }

    /// Returns `value` if there are no findings, and the findings otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

impl Extend<Finding> for Findings {
    fn extend<T: IntoIterator<Item = Finding>>(&mut self, findings: T) {
        self.0.extend(findings);
    }
}

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Self {
        Self(vec![finding])
    }
}

/// A problem in an input document.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Finding {
    /// The location of the problem.
    pub place: Place,
    /// The problem, as a phrase without a full stop.
    pub message: Box<str>,
    /// A suggested correction, if one is known.
    pub hint: Option<Box<str>>,
}

impl Finding {
    /// Creates a finding at the JSON path `path`.
    pub fn at(path: impl Into<Box<str>>, message: impl Into<Box<str>>) -> Self {
        let place = Place { path: path.into(), ..Place::default() };
        Self { place, message: message.into(), hint: None }
    }

    /// Adds a hint.
    pub fn with_hint(mut self, hint: impl Into<Box<str>>) -> Self {
        self.hint = Some(hint.into());
        self
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)?;
        if let Some(hint) = &self.hint {
            write!(f, " (hint: {hint})")?;
        }
        Ok(())
    }
}

/// A location in a document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Place {
    /// The file, if the document was read from one.
    pub file: Option<Box<str>>,
    /// The line, counted from 1; 0 if unknown.
    pub line: usize,
    /// The column in characters, counted from 1; 0 if unknown.
    pub column: usize,
    /// The JSON path, such as `$.routes[0].name`; empty if unknown.
    pub path: Box<str>,
}

impl Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}:")?;
        }
        if self.line > 0 {
            write!(f, "{}:{}:", self.line, self.column)?;
        }
        if (self.file.is_some() || self.line > 0) && !self.path.is_empty() {
            f.write_str(" ")?;
        }
        f.write_str(&self.path)
    }
}
