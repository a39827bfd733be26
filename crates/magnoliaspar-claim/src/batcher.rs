//! Batching of claim writes into transactions.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_store::{
    Backoff, CommitOutcome, PlatformError, Row, RowVersion, TableService, Transaction, Write,
    WriteToken, commit_idempotent,
};
use tokio::sync::oneshot;

/// Combines single conditional writes to the table into transactions.
///
/// One transaction is in flight at a time; writes that arrive meanwhile form the next one. If the
/// condition of a write fails, the write is removed and the others are sent again.
pub(crate) struct WriteBatcher {
    table: Rc<dyn TableService>,
    backoff: Backoff,
    /// Time that the first write of a transaction waits for further writes.
    linger: Duration,
    token_prefix: Box<str>,
    queue: RefCell<VecDeque<QueuedWrite>>,
    /// True while the task that empties the queue runs.
    is_running: Cell<bool>,
    /// Number of transactions so far, from which write tokens are formed.
    transactions: Cell<u64>,
}

/// The result of one write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteResult {
    /// The write took effect.
    Applied(RowVersion),
    /// The condition does not hold; contains the current row, if there is one.
    Conflict(Option<Row>),
    /// The write took no effect and never will.
    NotApplied(PlatformError),
    /// The write may have taken effect or may still take effect.
    Unknown,
}

/// A write that waits for its transaction, and the channel for its result.
struct QueuedWrite {
    write: Write,
    result_tx: oneshot::Sender<WriteResult>,
}

impl WriteBatcher {
    /// Creates a batcher; the write tokens of its transactions start with `token_prefix`.
    pub(crate) fn new(
        table: Rc<dyn TableService>,
        backoff: Backoff,
        linger: Duration,
        token_prefix: Box<str>,
    ) -> Self {
        Self {
            table,
            backoff,
            linger,
            token_prefix,
            queue: RefCell::default(),
            is_running: Cell::new(false),
            transactions: Cell::new(0),
        }
    }

    /// Submits a write and waits for its result. Dropping the future does not cancel the write.
    pub(crate) async fn submit(self: &Rc<Self>, write: Write) -> WriteResult {
        let (result_tx, result_rx) = oneshot::channel();
        self.queue.borrow_mut().push_back(QueuedWrite { write, result_tx });
        if !self.is_running.replace(true) {
            tokio::task::spawn_local(self.clone().run());
        }
        // The sender is dropped without a result only if the runtime shuts down.
        result_rx.await.unwrap_or(WriteResult::Unknown)
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

    /// Takes writes with distinct keys from the queue, in order and up to the maximum.
    fn take_batch(&self) -> Vec<QueuedWrite> {
        let mut queue = self.queue.borrow_mut();
        let mut keys = BTreeSet::new();
        let mut batch = Vec::new();
        let mut remaining = VecDeque::new();
        for entry in queue.drain(..) {
            let is_full = batch.len() == MAX_BATCH;
            // A later write to the same key waits for the next transaction.
            if is_full || !keys.insert(entry.write.key.clone()) {
                remaining.push_back(entry);
                continue;
            }
            batch.push(entry);
        }
        *queue = remaining;
        batch
    }

    async fn flush(&self, mut batch: Vec<QueuedWrite>) {
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
    async fn flush_one_by_one(&self, batch: Vec<QueuedWrite>) {
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

    async fn commit(&self, batch: &[QueuedWrite]) -> CommitOutcome {
        let mut transaction = Transaction::default();
        for entry in batch {
            transaction.writes.push(entry.write.clone());
        }
        let number = self.transactions.get();
        self.transactions.set(number + 1);
        let token = WriteToken(format!("{}/{number}", self.token_prefix).into());
        commit_idempotent(&*self.table, &self.backoff, &transaction, &token).await
    }
}

impl QueuedWrite {
    fn finish(self, result: WriteResult) {
        // The receiver is gone if the request was cancelled.
        let _ = self.result_tx.send(result);
    }
}

fn finish_all(batch: Vec<QueuedWrite>, result: &WriteResult) {
    for entry in batch {
        entry.finish(result.clone());
    }
}

/// Maximum number of writes in one transaction.
const MAX_BATCH: usize = 128;
