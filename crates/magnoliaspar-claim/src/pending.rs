//! Outcomes and releases that still have to be written.

use std::collections::{BTreeMap, BTreeSet};

use magnoliaspar_store::{Condition, RowKey, RowVersion};

use crate::row::ClaimRow;

/// Writes about claims of this instance that are not confirmed yet.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    /// The writes, by attempt id.
    entries: BTreeMap<Box<str>, PendingWrite>,
    /// Total size of the bodies in `entries`.
    body_bytes: usize,
    /// Ids of attempts that were not dispatched and never will be.
    undispatched: BTreeSet<Box<str>>,
}

/// One write that is not confirmed yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingWrite {
    /// The key of the row.
    pub key: RowKey,
    /// The row to write, which contains the attempt id.
    pub row: ClaimRow,
    /// The condition under which the row is written.
    pub condition: Condition,
}

impl PendingWrite {
    /// Creates a write on top of the version that a ticket holds.
    pub(crate) fn after(key: RowKey, version: RowVersion, row: ClaimRow) -> Self {
        Self { key, row, condition: Condition::Version(version) }
    }
}

impl PendingWrites {
    /// Adds a write. Returns false if the list is full; the attempt then counts as possibly run.
    ///
    /// A body that exceeds the memory for bodies is omitted from the outcome.
    pub(crate) fn insert(&mut self, mut write: PendingWrite) -> bool {
        if self.entries.len() >= MAX_PENDING {
            return false;
        }
        if self.body_bytes + write.row.body_len() > MAX_BODY_BYTES {
            write.row.omit_body();
        }
        self.body_bytes += write.row.body_len();
        let replaced = self.entries.insert(write.row.attempt.clone(), write);
        self.subtract_body(replaced);
        true
    }

    /// Records that an attempt was not dispatched and never will be, up to a limit of attempts.
    pub(crate) fn mark_undispatched(&mut self, attempt: &str) {
        if self.undispatched.len() < MAX_PENDING {
            self.undispatched.insert(attempt.into());
        }
    }

    /// Returns true if an attempt was certainly not dispatched.
    pub(crate) fn is_undispatched(&self, attempt: &str) -> bool {
        self.undispatched.contains(attempt)
    }

    /// Removes an attempt that needs no more writes.
    pub(crate) fn remove(&mut self, attempt: &str) {
        let removed = self.entries.remove(attempt);
        self.subtract_body(removed);
        self.undispatched.remove(attempt);
    }

    fn subtract_body(&mut self, write: Option<PendingWrite>) {
        let Some(write) = write else { return };
        self.body_bytes -= write.row.body_len();
    }

    /// Returns all writes.
    pub(crate) fn to_vec(&self) -> Vec<PendingWrite> {
        self.entries.values().cloned().collect()
    }

    /// Returns the number of writes.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}

/// Maximum number of pending writes.
const MAX_PENDING: usize = 4096;

/// Maximum total size of the bodies of pending writes in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
