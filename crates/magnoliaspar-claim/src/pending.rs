use std::collections::{BTreeMap, BTreeSet};

use magnoliaspar_store::{Condition, RowKey, RowVersion};

use crate::row::ClaimRow;

/// What is still to be written about claims of this instance.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    entries: BTreeMap<Box<str>, PendingWrite>,
    body_bytes: usize,
    undispatched: BTreeSet<Box<str>>,
}

/// One write that has not been settled yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingWrite {
    /// The key of the row.
    pub key: RowKey,
    /// The row to write, which names the attempt.
    pub row: ClaimRow,
    /// What is known of the row.
    pub condition: Condition,
}

impl PendingWrite {
    /// Creates a write on top of the version that a ticket holds.
    pub(crate) fn after(key: RowKey, version: RowVersion, row: ClaimRow) -> Self {
        Self { key, row, condition: Condition::Version(version) }
    }
}

impl PendingWrites {
    /// Adds a write; a full list refuses it, and the request stays one that may have run.
    ///
    /// A body for which there is no memory is omitted from the outcome.
    pub(crate) fn insert(&mut self, mut write: PendingWrite) -> bool {
        if self.entries.len() >= MAX_PENDING {
            return false;
        }
        if self.body_bytes + write.row.body_bytes() > MAX_BODY_BYTES {
            write.row.omit_body();
        }
        self.body_bytes += write.row.body_bytes();
        let replaced = self.entries.insert(write.row.attempt.clone(), write);
        self.forget_body(replaced);
        true
    }

    /// Remembers that an attempt was not dispatched and never will be.
    pub(crate) fn mark_undispatched(&mut self, attempt: &str) {
        if self.undispatched.len() < MAX_PENDING {
            self.undispatched.insert(attempt.into());
        }
    }

    /// Whether an attempt was certainly not dispatched.
    pub(crate) fn is_undispatched(&self, attempt: &str) -> bool {
        self.undispatched.contains(attempt)
    }

    /// Forgets an attempt whose write is settled.
    pub(crate) fn remove(&mut self, attempt: &str) {
        let removed = self.entries.remove(attempt);
        self.forget_body(removed);
        self.undispatched.remove(attempt);
    }

    fn forget_body(&mut self, write: Option<PendingWrite>) {
        let Some(write) = write else { return };
        self.body_bytes -= write.row.body_bytes();
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

/// The most writes that wait for the platform.
const MAX_PENDING: usize = 4096;

/// The most bytes of bodies that wait for the platform.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
