//! Typed reading of JSON values, with findings for invalid ones.

use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use magnoliaspar_core::{Finding, Findings};
use serde_json::Value;

use crate::duration::{format_duration, parse_duration};
use crate::object::Object;
use crate::path::{ROOT, element_path};
use crate::similar::closest;

/// Reads `value` with `read`; returns the result, or all findings, whose places have only a path.
pub fn read_value<T>(
    value: &Value,
    read: impl FnOnce(&Cursor) -> Option<T>,
) -> Result<T, Findings> {
    let findings = RefCell::new(Findings::new());
    let result = read(&Cursor::new(value, ROOT, &findings));
    let mut findings = findings.into_inner();
    let Some(result) = result else {
        if findings.is_empty() {
            findings.push(Finding::at(ROOT, "the document is incomplete"));
        }
        return Err(findings);
    };
    findings.into_result(result)
}

/// A JSON value with its path, from which checked values are read.
///
/// A method that returns `None` has recorded a finding with the reason.
#[derive(Debug, Clone)]
pub struct Cursor<'a> {
    value: &'a Value,
    path: Box<str>,
    findings: &'a RefCell<Findings>,
}

impl<'a> Cursor<'a> {
    /// Creates a cursor at `path` that records its findings in `findings`.
    pub fn new(
        value: &'a Value,
        path: impl Into<Box<str>>,
        findings: &'a RefCell<Findings>,
    ) -> Self {
        Self { value, path: path.into(), findings }
    }

    /// Creates a cursor at a value inside this one.
    pub(crate) fn descend(&self, value: &'a Value, path: Box<str>) -> Self {
        Self { value, path, findings: self.findings }
    }

    /// Returns the value.
    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// Returns the JSON path of the value.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Records a finding at this value.
    pub fn report(&self, message: impl Into<Box<str>>) {
        self.push(Finding::at(self.path.clone(), message));
    }

    /// Records a finding at this value, with a hint.
    pub fn report_with_hint(&self, message: impl Into<Box<str>>, hint: impl Into<Box<str>>) {
        self.push(Finding::at(self.path.clone(), message).with_hint(hint));
    }

    /// Records a finding.
    pub fn push(&self, finding: Finding) {
        self.findings.borrow_mut().push(finding);
    }

    /// Reads an object.
    pub fn object(&self) -> Option<Object<'a>> {
        let Value::Object(members) = self.value else {
            return self.wrong_type("an object");
        };
        Some(Object::new(self.clone(), members))
    }

    /// Reads an array.
    pub fn array(&self) -> Option<Vec<Cursor<'a>>> {
        let Value::Array(elements) = self.value else {
            return self.wrong_type("an array");
        };
        let mut cursors = Vec::with_capacity(elements.len());
        for (index, element) in elements.iter().enumerate() {
            cursors.push(self.descend(element, element_path(&self.path, index)));
        }
        Some(cursors)
    }

    /// Reads an array with `read` for its elements; reads all of them even if one is invalid.
    pub fn list<T>(&self, read: impl Fn(&Cursor<'a>) -> Option<T>) -> Option<Box<[T]>> {
        let mut list = Vec::new();
        let elements = self.array()?;
        for element in &elements {
            list.extend(read(element));
        }
        (list.len() == elements.len()).then(|| list.into())
    }

    /// Reads a string.
    pub fn text(&self) -> Option<&'a str> {
        let Value::String(text) = self.value else {
            return self.wrong_type("a string");
        };
        Some(text)
    }

    /// Reads a string that contains more than white space.
    pub fn non_empty_text(&self) -> Option<&'a str> {
        let text = self.text()?;
        if text.trim().is_empty() {
            self.report("the text is empty");
            return None;
        }
        Some(text)
    }

    /// Reads `true` or `false`.
    pub fn boolean(&self) -> Option<bool> {
        let Value::Bool(value) = self.value else {
            return self.wrong_type("true or false");
        };
        Some(*value)
    }

    /// Reads a whole number within `range`.
    pub fn integer(&self, range: RangeInclusive<u64>) -> Option<u64> {
        let Value::Number(number) = self.value else {
            return self.wrong_type("a number");
        };
        match number.as_u64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                let (start, end) = range.into_inner();
                self.report(format!("{number} is not a whole number from {start} to {end}"));
                None
            }
        }
    }

    /// Reads a whole number within `range` that fits 32 bits.
    pub fn integer_u32(&self, range: RangeInclusive<u32>) -> Option<u32> {
        let (start, end) = range.into_inner();
        let number = self.integer(u64::from(start)..=u64::from(end))?;
        u32::try_from(number).ok()
    }

    /// Reads a number within `range`.
    pub fn number(&self, range: RangeInclusive<f64>) -> Option<f64> {
        let Value::Number(number) = self.value else {
            return self.wrong_type("a number");
        };
        match number.as_f64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                let (start, end) = range.into_inner();
                self.report(format!("{number} is not from {start} to {end}"));
                None
            }
        }
    }

    /// Reads a duration within `range`.
    pub fn duration(&self, range: RangeInclusive<Duration>) -> Option<Duration> {
        let duration = match parse_duration(self.text()?) {
            Ok(duration) => duration,
            Err(err) => {
                self.report(err.to_string());
                return None;
            }
        };
        if range.contains(&duration) {
            return Some(duration);
        }
        let start = format_duration(*range.start());
        let end = format_duration(*range.end());
        self.report(format!("{} is not from {start} to {end}", format_duration(duration)));
        None
    }

    /// Reads a string and converts it to a checked type, such as a name.
    pub fn parsed<T>(&self) -> Option<T>
    where
        T: TryFrom<&'a str>,
        T::Error: Display,
    {
        match T::try_from(self.text()?) {
            Ok(value) => Some(value),
            Err(err) => {
                self.report(err.to_string());
                None
            }
        }
    }

    /// Reads an IP address with a port.
    pub fn address(&self) -> Option<SocketAddr> {
        let text = self.text()?;
        let Ok(address) = text.parse() else {
            let hint = "write an IP address and a port, such as \"10.0.0.5:8080\"";
            self.report_with_hint(format!("{text:?} is not a socket address"), hint);
            return None;
        };
        Some(address)
    }

    /// Reads one of several keywords and returns its value.
    pub fn one_of<T: Copy>(&self, words: &[(&'static str, T)]) -> Option<T> {
        let text = self.text()?;
        for (word, value) in words {
            if *word == text {
                return Some(*value);
            }
        }
        let names: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let message = format!("{text:?} is not one of {}", names.join(", "));
        match closest(text, names) {
            Some(meant) => self.report_with_hint(message, format!("did you mean {meant:?}?")),
            None => self.report(message),
        }
        None
    }

    fn wrong_type<T>(&self, expected: &str) -> Option<T> {
        let found = match self.value {
            Value::Null => "null",
            Value::Bool(_) => "a boolean",
            Value::Number(_) => "a number",
            Value::String(_) => "a string",
            Value::Array(_) => "an array",
            Value::Object(_) => "an object",
        };
        self.report(format!("expected {expected}, found {found}"));
        None
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use magnoliaspar_core::{RouteName, ZoneName};
    use serde_json::json;

    use super::{Cursor, read_value};

    const SECOND: Duration = Duration::from_secs(1);

    fn read(cursor: &Cursor) -> Option<(ZoneName, u32, Duration)> {
        let object = cursor.object()?;
        let zone = object.required("zone").and_then(|zone| zone.parsed());
        let share = object.required("share").and_then(|share| share.integer_u32(1..=9));
        let wait = object.optional("wait").map(|wait| wait.duration(SECOND..=SECOND * 60));
        let kind =
            object.optional("kind").map(|kind| kind.one_of(&[("prefill", 1), ("decode", 2)]));
        let names =
            object.optional("names").map(|names| names.list(|name| name.parsed::<RouteName>()));
        object.finish();
        let _ = (kind, names);
        Some((zone?, share?, wait.unwrap_or(Some(SECOND))?))
    }

    #[test]
    fn a_complete_object_is_read() {
        let value = json!({"zone": "mid-a", "share": 3, "wait": "30s"});
        let (zone, share, wait) = read_value(&value, read).unwrap();
        assert_eq!((zone.as_str(), share, wait), ("mid-a", 3, SECOND * 30));
    }

    #[test]
    fn all_findings_are_collected() {
        let value = json!({
            "zone": "mid a", "shar": 3, "wait": "61s", "kind": "prefil", "names": ["a", 1, ""],
        });
        let findings = read_value(&value, read).unwrap_err();
        let expected = "\
$.zone: the name contains ' '; only letters, digits, '-', '_', '.', ':' and '/' are allowed
$: the field \"share\" is missing
$.wait: 61s is not from 1s to 1m
";
        let text = findings.to_string();
        assert!(text.starts_with(expected), "{text}");
        let rest = "\
$.kind: \"prefil\" is not one of prefill, decode (hint: did you mean \"prefill\"?)
$.names[1]: expected a string, found a number
$.names[2]: the name is empty
$.shar: unknown field \"shar\" (hint: did you mean \"share\"?)
";
        assert!(text.ends_with(rest), "{text}");
        assert_eq!(findings.len(), 7);
    }
}
