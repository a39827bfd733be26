//! Entries that a restored store holds of servers that have departed, until it is known whether they are alive.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::directory::ServerRecord;

/// Time after which the platform has removed the entry of a server that does not register any more.
const EXPIRY: Duration = Duration::from_secs(5);

/// Entries of departed servers, by the identifiers of the servers.
#[derive(Debug, Default)]
pub struct WithheldEntries(BTreeMap<Box<str>, (ServerRecord, Instant)>);

impl WithheldEntries {
    /// Adds an entry of the list that was read at `now`, unless the server has one.
    pub fn add(&mut self, record: ServerRecord, now: Instant) {
        self.0.entry(record.id.clone()).or_insert((record, now));
    }

    /// Removes the entry of a server.
    pub fn remove(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Removes the entries of servers that are not in a complete list.
    pub fn retain(&mut self, known: &BTreeSet<Box<str>>) {
        self.0.retain(|id, _| known.contains(id));
    }

    /// Takes the entries that would have expired by `now` if their servers were not alive.
    pub fn take_due(&mut self, now: Instant) -> Vec<ServerRecord> {
        let is_due = |since: Instant| now.saturating_duration_since(since) >= EXPIRY;
        let due = self.0.extract_if(.., |_, (_, since)| is_due(*since));
        due.map(|(_, (record, _))| record).collect()
    }
}
