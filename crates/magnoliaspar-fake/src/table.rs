//! An in-memory table service with fault injection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::rc::Rc;

use async_trait::async_trait;
use magnoliaspar_core::{Clock, Epoch};
use magnoliaspar_store::{
    Condition, PlatformError, Row, RowKey, RowVersion, TableService, Transaction, Write,
    WriteOutcome,
};

use crate::fault::{Fault, Faults, ambiguous};

/// A transactional table service in memory; clones are clients of the same table.
#[derive(Clone)]
pub struct MemoryTable {
    store: Rc<RefCell<Store>>,
    faults: Faults,
    /// The epoch and newest version that the last call of this client has met.
    met: Cell<(Epoch, RowVersion)>,
}

#[derive(Default)]
struct Store {
    content: Content,
    /// The content as of the last call of [`MemoryTable::save_copy`].
    copy: Content,
    epoch: Epoch,
    late_writes: Vec<LateWrite>,
}

/// Content of a copy of the table.
#[derive(Clone, Default)]
struct Content {
    rows: BTreeMap<RowKey, Row>,
    last_version: u64,
}

/// A transaction that takes effect just before the last of the next `calls_left` calls.
struct LateWrite {
    calls_left: u32,
    transaction: Transaction,
}

/// Number of calls after a late write; it takes effect just before the last of them.
const LATE_CALLS: u32 = 3;

impl MemoryTable {
    /// Creates an empty table.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let met = Cell::new((Epoch::default(), RowVersion(0)));
        Self { store: Rc::default(), faults: Faults::new(clock), met }
    }

    /// Returns the fault injector of the table.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the rows whose keys start with `prefix`, without injecting faults.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.store.borrow().content.scan(prefix, None, usize::MAX)
    }

    /// Returns another client of the table, which has made no call.
    pub fn client(&self) -> Self {
        let met = Cell::new((Epoch::default(), RowVersion(0)));
        Self { met, ..self.clone() }
    }

    /// Begins the first epoch that the table tells its clients.
    pub fn tell_epochs(&self) {
        self.store.borrow_mut().epoch = Epoch::FIRST;
    }

    /// Keeps a copy of the rows, from which [`Self::restore`] restores the table.
    pub fn save_copy(&self) {
        let mut store = self.store.borrow_mut();
        store.copy = store.content.clone();
    }

    /// Restores the table from its copy and begins a new epoch: what was written since is gone, and its
    /// versions are assigned again.
    pub fn restore(&self) {
        let mut store = self.store.borrow_mut();
        store.content = store.copy.clone();
        store.epoch.0 += 1;
    }

    /// Writes a row as another writer would, or removes it.
    pub fn overwrite(&self, key: &str, value: Option<serde_json::Value>) {
        let key = RowKey(key.into());
        self.store.borrow_mut().content.apply(&Write { key, condition: Condition::Always, value });
    }

    /// Records what a call has met.
    fn meet(&self, store: &Store) {
        self.met.set((store.epoch, RowVersion(store.content.last_version)));
    }

    /// Makes all late writes take effect now.
    pub fn apply_late_writes(&self) {
        self.store.borrow_mut().apply_late(u32::MAX);
    }
}

#[async_trait(?Send)]
impl TableService for MemoryTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.faults.before_read().await?;
        let mut store = self.store.borrow_mut();
        store.apply_late(1);
        self.meet(&store);
        Ok(store.content.rows.get(key).cloned())
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.faults.before_read().await?;
        let mut store = self.store.borrow_mut();
        store.apply_late(1);
        self.meet(&store);
        Ok(store.content.scan(prefix, after, limit))
    }

    async fn commit(&self, transaction: &Transaction) -> Result<WriteOutcome, PlatformError> {
        let fault = self.faults.before_write().await?;
        check_keys(transaction)?;
        let mut store = self.store.borrow_mut();
        store.apply_late(1);
        match fault {
            Fault::None => {
                let outcome = store.content.commit(transaction);
                self.meet(&store);
                Ok(outcome)
            }
            Fault::LostAnswer => {
                store.content.commit(transaction);
                Err(ambiguous())
            }
            Fault::LateEffect => {
                let transaction = transaction.clone();
                store.late_writes.push(LateWrite { calls_left: LATE_CALLS, transaction });
                Err(ambiguous())
            }
            Fault::LostRequest | Fault::Unavailable => Err(ambiguous()),
        }
    }

    fn epoch(&self) -> Epoch {
        self.met.get().0
    }

    fn newest_version(&self) -> RowVersion {
        self.met.get().1
    }
}

impl Content {
    fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> Vec<Row> {
        let first = RowKey(prefix.into());
        let start = match after {
            Some(after) if *after >= first => Bound::Excluded(after),
            _ => Bound::Included(&first),
        };
        let mut rows = Vec::new();
        for (key, row) in self.rows.range::<RowKey, _>((start, Bound::Unbounded)) {
            if rows.len() == limit || !key.0.starts_with(prefix) {
                break;
            }
            rows.push(row.clone());
        }
        rows
    }

    fn commit(&mut self, transaction: &Transaction) -> WriteOutcome {
        for write in &transaction.writes {
            let current = self.rows.get(&write.key);
            if !condition_holds(write.condition, current) {
                return WriteOutcome::Conflict {
                    key: write.key.clone(),
                    current: current.cloned(),
                };
            }
        }
        let mut versions = Vec::with_capacity(transaction.writes.len());
        for write in &transaction.writes {
            versions.push(self.apply(write));
        }
        WriteOutcome::Applied(versions)
    }

    fn apply(&mut self, write: &Write) -> RowVersion {
        // All rows share one counter, so that versions are not reused after a row is deleted.
        self.last_version += 1;
        let version = RowVersion(self.last_version);
        let key = write.key.clone();
        match &write.value {
            Some(value) => {
                let row = Row { key: key.clone(), version, value: value.clone() };
                self.rows.insert(key, row);
            }
            None => {
                self.rows.remove(&key);
            }
        }
        version
    }
}

impl Store {
    /// Counts `calls` calls and applies the late writes that are due.
    fn apply_late(&mut self, calls: u32) {
        let mut pending = Vec::new();
        for mut write in std::mem::take(&mut self.late_writes) {
            write.calls_left = write.calls_left.saturating_sub(calls);
            if write.calls_left > 0 {
                pending.push(write);
                continue;
            }
            self.content.commit(&write.transaction);
        }
        self.late_writes = pending;
    }
}

fn condition_holds(condition: Condition, current: Option<&Row>) -> bool {
    match condition {
        Condition::Absent => current.is_none(),
        Condition::Version(version) => current.is_some_and(|row| row.version == version),
        Condition::Always => true,
    }
}

fn check_keys(transaction: &Transaction) -> Result<(), PlatformError> {
    let mut keys = BTreeSet::new();
    for write in &transaction.writes {
        if !keys.insert(&write.key) {
            let message = format!("the key {} is written twice", write.key.0);
            return Err(PlatformError::Rejected(message.into()));
        }
    }
    Ok(())
}
