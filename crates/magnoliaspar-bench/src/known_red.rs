//! The list of tests that are known to fail.

use std::collections::BTreeMap;
use std::path::Path;

use displaydoc::Display;

/// The prefix of the third field of an entry for a test that fails on some runs only.
const INTERMITTENT: &str = "now and then";

/// The tests that are known to fail, as listed in `KNOWN-RED.txt`.
///
/// Each line that is not empty and does not begin with `#` is one entry. `|` separates its fields:
/// the name of the test, the command and seed, the observed failure. A listed test must fail,
/// unless its third field begins with `now and then`: such a test is intermittent and may pass.
#[derive(Debug, Clone, Default)]
pub struct KnownRed {
    entries: BTreeMap<Box<str>, Box<str>>,
}

/// The verdict on a test, given the list of tests that are known to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Verdict {
    /// passed
    Passed,
    /// FAILED
    Failed,
    /// KNOWN RED
    KnownRed,
    /// FAILED: listed in KNOWN-RED.txt but passes, remove the entry
    Stale,
}

impl KnownRed {
    /// Reads the list. It is empty if the file does not exist.
    pub fn read(path: &Path) -> std::io::Result<Self> {
        if !path.exists() {
            return Ok(Self::default());
        }
        Ok(Self::parse(&std::fs::read_to_string(path)?))
    }

    /// Returns the verdict on a test from its result and its entry in the list.
    pub fn judge(&self, test: &str, has_passed: bool) -> Verdict {
        match (has_passed, self.entry(test)) {
            (true, None) => Verdict::Passed,
            (false, None) => Verdict::Failed,
            (false, Some(_)) => Verdict::KnownRed,
            (true, Some(entry)) if is_intermittent(entry) => Verdict::Passed,
            (true, Some(_)) => Verdict::Stale,
        }
    }

    /// Returns the whole line of the entry of a test.
    pub fn entry(&self, test: &str) -> Option<&str> {
        self.entries.get(test).map(|entry| &**entry)
    }

    fn parse(text: &str) -> Self {
        let mut entries = BTreeMap::new();
        for line in text.lines() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let test = line.split('|').next().unwrap_or(line).trim();
            entries.insert(test.into(), line.into());
        }
        Self { entries }
    }
}

impl Verdict {
    /// Returns true if a test with this verdict does not fail the check.
    pub fn is_accepted(self) -> bool {
        matches!(self, Self::Passed | Self::KnownRed)
    }
}

fn is_intermittent(entry: &str) -> bool {
    entry.split('|').nth(2).is_some_and(|seen| seen.trim_start().starts_with(INTERMITTENT))
}

#[cfg(test)]
mod tests {
    use super::{KnownRed, Verdict};

    #[test]
    fn only_listed_tests_may_fail_and_they_must_fail() {
        let known_red = KnownRed::parse("# test | command | seen\n\none | run | seen\n");
        assert_eq!(known_red.judge("one", false), Verdict::KnownRed);
        assert_eq!(known_red.judge("one", true), Verdict::Stale);
        assert_eq!(known_red.judge("two", false), Verdict::Failed);
        assert_eq!(known_red.judge("two", true), Verdict::Passed);
        assert!(!Verdict::Stale.is_accepted());
    }

    #[test]
    fn only_a_test_listed_as_intermittent_may_pass_or_fail() {
        let known_red =
            KnownRed::parse("one | run | now and then: seen\ntwo now and then | run | seen\n");
        assert_eq!(known_red.judge("one", false), Verdict::KnownRed);
        assert_eq!(known_red.judge("one", true), Verdict::Passed);
        assert_eq!(known_red.judge("two now and then", true), Verdict::Stale);
        assert_eq!(known_red.judge("three", false), Verdict::Failed);
    }
}
