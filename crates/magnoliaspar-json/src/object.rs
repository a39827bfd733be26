use std::cell::RefCell;

use magnoliaspar_core::Finding;
use serde_json::{Map, Value};

use crate::cursor::Cursor;
use crate::path::child_path;
use crate::similar::closest;

/// A JSON object whose fields are read by name.
#[derive(Debug)]
pub struct Object<'a> {
    cursor: Cursor<'a>,
    members: &'a Map<String, Value>,
    known: RefCell<Vec<&'static str>>,
}

impl<'a> Object<'a> {
    /// Creates an object without any field read so far.
    pub(crate) fn new(cursor: Cursor<'a>, members: &'a Map<String, Value>) -> Self {
        Self { cursor, members, known: RefCell::new(Vec::new()) }
    }

    /// Returns the field `name`, and records a finding if it is missing.
    pub fn required(&self, name: &'static str) -> Option<Cursor<'a>> {
        let field = self.optional(name);
        if field.is_none() {
            self.cursor.report(format!("the field {name:?} is missing"));
        }
        field
    }

    /// Returns the field `name` if it exists.
    pub fn optional(&self, name: &'static str) -> Option<Cursor<'a>> {
        self.known.borrow_mut().push(name);
        let value = self.members.get(name)?;
        Some(self.cursor.descend(value, child_path(self.cursor.path(), name)))
    }

    /// Reads the field `name` with `read`, or returns `default` if it does not exist.
    pub fn with_default<T>(
        &self,
        name: &'static str,
        default: T,
        read: impl FnOnce(&Cursor<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.optional(name) {
            Some(field) => read(&field),
            None => Some(default),
        }
    }

    /// Returns all members, for objects that are maps with arbitrary names.
    pub fn entries(&self) -> Vec<(&'a str, Cursor<'a>)> {
        let mut entries = Vec::with_capacity(self.members.len());
        for (name, value) in self.members {
            let path = child_path(self.cursor.path(), name);
            entries.push((name.as_str(), self.cursor.descend(value, path)));
        }
        entries
    }

    /// Returns the cursor of the object itself.
    pub fn cursor(&self) -> &Cursor<'a> {
        &self.cursor
    }

    /// Records a finding for each unknown field, which is one that was never requested.
    pub fn finish(&self) {
        let known = self.known.borrow();
        for name in self.members.keys() {
            if known.contains(&name.as_str()) {
                continue;
            }
            let path = child_path(self.cursor.path(), name);
            let mut finding = Finding::at(path, format!("unknown field {name:?}"));
            let absent = known.iter().copied().filter(|field| !self.members.contains_key(*field));
            if let Some(suggestion) = closest(name, absent) {
                finding = finding.with_hint(format!("did you mean {suggestion:?}?"));
            }
            self.cursor.push(finding);
        }
    }
}
