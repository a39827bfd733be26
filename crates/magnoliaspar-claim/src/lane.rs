use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_store::{
    Backoff, CommitOutcome, PlatformError, Row, RowVersion, TableService, Transaction, Write,
    WriteToken, commit_idempotent,
};
use tokio::sync::oneshot;

/// Carries single conditional writes to the table, several in one transaction.
///
/// One transaction is in flight at a time; writes that arrive meanwhile form the next one. A write
/// whose condition fails is taken out and the others are sent again.
pub(crate) struct Lane {
    table: Rc<dyn TableService>,
    backoff: Backoff,
    linger: Duration,
    name: Box<str>,
    queue: RefCell<VecDeque<Entry>>,
    is_running: Cell<bool>,
    transactions: Cell<u64>,
}

/// What became of one write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteResult {
    /// The write took effect.
    Applied(RowVersion),
    /// The condition does not hold; the row is as given.
    Conflict(Option<Row>),
    /// The write took no effect, and will not.
    NotApplied(PlatformError),
    /// The write may have taken effect, or may yet.
    Unknown,
}

struct Entry {
    write: Write,
    answer: oneshot::Sender<WriteResult>,
}

impl Lane {
    /// Creates a lane whose transactions carry tokens that begin with `name`.
    pub(crate) fn new(
        table: Rc<dyn TableService>,
        backoff: Backoff,
        linger: Duration,
        name: Box<str>,
    ) -> Self {
        Self {
            table,
            backoff,
            linger,
            name,
            queue: RefCell::default(),
            is_running: Cell::new(false),
            transactions: Cell::new(0),
        }
    }

    /// Writes, and goes on writing if the returned future is dropped.
    pub(crate) async fn submit(self: &Rc<Self>, write: Write) -> WriteResult {
        let (answer, result) = oneshot::channel();
        self.queue.borrow_mut().push_back(Entry { write, answer });
        if !self.is_running.replace(true) {
            tokio::task::spawn_local(self.clone().run());
        }
        // The task ends early only with the whole runtime.
        result.await.unwrap_or(WriteResult::Unknown)
    }

    async fn run(self: Rc<Self>) {
        self.backoff.sleep.sleep(self.linger).await;
        loop {
            let batch = self.take_batch();
            if batch.is_empty() {
                break;
            }
            self.flush(batch).await;
        }
        self.is_running.set(false);
    }

    /// Takes entries with different keys, in order.
    fn take_batch(&self) -> Vec<Entry> {
        let mut queue = self.queue.borrow_mut();
        let mut keys = BTreeSet::new();
        let mut batch = Vec::new();
        let mut rest = VecDeque::new();
        for entry in queue.drain(..) {
            let is_full = batch.len() == MAX_BATCH;
            // A later write to the same key waits for the next transaction.
            if is_full || !keys.insert(entry.write.key.clone()) {
                rest.push_back(entry);
                continue;
            }
            batch.push(entry);
        }
        *queue = rest;
        batch
    }

    async fn flush(&self, mut batch: Vec<Entry>) {
        while !batch.is_empty() {
            match self.commit(&batch).await {
                CommitOutcome::Applied(versions) => {
                    for (entry, version) in batch.into_iter().zip(versions) {
                        entry.finish(WriteResult::Applied(version));
                    }
                    return;
                }
                CommitOutcome::Conflict { key, current, .. } => {
                    let Some(index) = batch.iter().position(|entry| entry.write.key == key) else {
                        finish_all(batch, &WriteResult::Unknown);
                        return;
                    };
                    batch.remove(index).finish(WriteResult::Conflict(current));
                }
                CommitOutcome::NotApplied(PlatformError::Rejected(_)) if batch.len() > 1 => {
                    self.flush_one_by_one(batch).await;
                    return;
                }
                CommitOutcome::NotApplied(error) => {
                    finish_all(batch, &WriteResult::NotApplied(error));
                    return;
                }
                CommitOutcome::Unknown => {
                    finish_all(batch, &WriteResult::Unknown);
                    return;
                }
            }
        }
    }

    /// Sends each write on its own, so that a rejected one does not fail the others.
    async fn flush_one_by_one(&self, batch: Vec<Entry>) {
        for entry in batch {
            let entry = [entry];
            let result = match self.commit(&entry).await {
                CommitOutcome::Applied(versions) => WriteResult::Applied(versions[0]),
                CommitOutcome::Conflict { current, .. } => WriteResult::Conflict(current),
                CommitOutcome::NotApplied(error) => WriteResult::NotApplied(error),
                CommitOutcome::Unknown => WriteResult::Unknown,
            };
            let [entry] = entry;
            entry.finish(result);
        }
    }

    async fn commit(&self, batch: &[Entry]) -> CommitOutcome {
        let mut transaction = Transaction::default();
        for entry in batch {
            transaction.writes.push(entry.write.clone());
        }
        let number = self.transactions.get();
        self.transactions.set(number + 1);
        let token = WriteToken(format!("{}/{number}", self.name).into());
        commit_idempotent(&*self.table, &self.backoff, &transaction, &token).await
    }
}

impl Entry {
    fn finish(self, result: WriteResult) {
        // Nobody listens any more if the request was cancelled.
        let _ = self.answer.send(result);
    }
}

fn finish_all(batch: Vec<Entry>, result: &WriteResult) {
    for entry in batch {
        entry.finish(result.clone());
    }
}

/// The most writes in one transaction.
const MAX_BATCH: usize = 128;
