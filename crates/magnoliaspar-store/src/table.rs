//! The table service with its rows and transactions.

use async_trait::async_trait;
use magnoliaspar_core::Epoch;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The platform's transactional table service.
#[async_trait(?Send)]
pub trait TableService {
    /// Reads one row; returns `None` if it does not exist.
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`, in key order.
    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError>;

    /// Applies all writes of a transaction atomically.
    async fn commit(&self, transaction: &Transaction) -> Result<WriteOutcome, PlatformError>;

    /// Returns the highest epoch of the table that a call has met; always the first one if the table is
    /// never restored from a copy.
    fn epoch(&self) -> Epoch {
        Epoch::default()
    }

    /// Returns the newest version of the table that a call has met in this epoch; 0 if the table does not
    /// tell. It rises with each write to any row, also if the row is deleted later.
    fn newest_version(&self) -> RowVersion {
        RowVersion(0)
    }
}

/// The key of a row, as a path such as `claim/midlands/voucher-17`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RowKey(pub Box<str>);

/// The version of a row, which increases with each write to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RowVersion(pub u64);

impl RowVersion {
    /// Stands for the version of a row that has been deleted or overwritten.
    ///
    /// No row ever has it, so a condition on it never holds.
    pub const OVERWRITTEN: Self = Self(0);
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: RowKey,
    /// The version.
    pub version: RowVersion,
    /// The content, which is opaque to the table service.
    pub value: serde_json::Value,
}

/// Writes that take effect atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// The writes, at most one for each key.
    pub writes: Vec<Write>,
}

/// One conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: RowKey,
    /// The condition on the row before the write.
    pub condition: Condition,
    /// The new content; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// A condition on a row before it is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(RowVersion),
    /// No condition.
    Always,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOutcome {
    /// All writes took effect; the versions are in the order of the writes.
    Applied(Vec<RowVersion>),
    /// No write took effect, because the condition on a row did not hold.
    Conflict {
        /// The key whose condition failed.
        key: RowKey,
        /// The current row, if it exists.
        current: Option<Row>,
    },
}
