use std::cell::RefCell;

use magnoliaspar_core::Finding;
use serde_json::{Map, Value};

use crate::cursor::Cursor;
use crate::path::child_path;
use crate::similar::closest;

/// An object of a document, whose fields are read by name.
#[derive(Debug)]
pub struct Object<'a> {
    cursor: Cursor<'a>,
    members: &'a Map<String, Value>,
    known: RefCell<Vec<&'static str>>,
}

impl<'a> Object<'a> {
    /// Creates an object of which no field has been read.
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

    /// Returns the field `name` if it is there.
    pub fn optional(&self, name: &'static str) -> Option<Cursor<'a>> {
        self.known.borrow_mut().push(name);
        let value = self.members.get(name)?;
        Some(self.cursor.descend(value, child_path(self.cursor.path(), name)))
    }

    /// Reads the field `name` by `read`, or takes `default` if it is not there.
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

    /// Returns all members, for objects whose member names are data.
    pub fn entries(&self) -> Vec<(&'a str, Cursor<'a>)> {
        let mut entries = Vec::with_capacity(self.members.len());
        for (name, value) in self.members {
            let path = child_path(self.cursor.path(), name);
            entries.push((name.as_str(), self.cursor.descend(value, path)));
        }
        entries
    }

    /// Returns the cursor at the object itself.
    pub fn cursor(&self) -> &Cursor<'a> {
        &self.cursor
    }

    /// Records a finding for each field that was never asked for.
    pub fn finish(&self) {
        let known = self.known.borrow();
        for name in self.members.keys() {
            if known.contains(&name.as_str()) {
                continue;
            }
            let path = child_path(self.cursor.path(), name);
            let mut finding = Finding::at(path, format!("unknown field {name:?}"));
            let absent = known.iter().copied().filter(|field| !self.members.contains_key(*field));
            if let Some(meant) = closest(name, absent) {
                finding = finding.with_hint(format!("did you mean {meant:?}?"));
            }
            self.cursor.push(finding);
        }
    }
}
