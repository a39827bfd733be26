use std::cell::Cell;
use std::rc::Rc;

use async_trait::async_trait;
use displaydoc::Display;
use magnoliaspar_core::InstanceName;
use magnoliaspar_declaration::{Declarations, Document, DocumentDelta};
use magnoliaspar_event::Stamp;
use magnoliaspar_platform::{
    Backoff, Condition, PlatformError, Row, RowKey, Settled, TableService, TimerSleep, Transaction,
    Write, WriteToken, commit_settled,
};
use magnoliaspar_query::Winner;
use magnoliaspar_query::api::{ApplyResponse, ErrorCode, ErrorResponse};
use serde::{Deserialize, Serialize};

/// The row that holds the configuration.
const HEAD_ROW: &str = "config/head";

/// Changes the configuration that the platform keeps.
#[async_trait(?Send)]
pub trait ConfigurationWriter {
    /// Reads the newest configuration.
    async fn newest(&self) -> Result<NewestConfiguration, WriterError>;

    /// Has a change accepted, unless another was accepted since the operator looked.
    async fn apply(&self, change: &ConfigurationChange) -> Result<ApplyResponse, WriterError>;
}

/// A change that an operator wants.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigurationChange {
    /// The version that the operator saw.
    pub expected_version: u64,
    /// The change.
    pub delta: DocumentDelta,
    /// The name of the operator.
    pub operator: Box<str>,
    /// The command as the operator gave it.
    pub command: Box<str>,
    /// When the command was given.
    pub stamp: Stamp,
}

/// The newest configuration and who made it.
#[derive(Debug, Clone, PartialEq)]
pub struct NewestConfiguration {
    /// The declarations.
    pub document: Document,
    /// Who made this version.
    pub made_by: Winner,
}

/// Why a change is not known to be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WriterError {
    /// the change is not accepted: {0}
    Unavailable(Box<str>),
    /// the table gave no answer, and the change may be accepted; read the version in force
    Unsettled,
}

impl std::error::Error for WriterError {}

impl From<PlatformError> for WriterError {
    fn from(error: PlatformError) -> Self {
        Self::Unavailable(error.to_string().into())
    }
}

impl From<WriterError> for ErrorResponse {
    fn from(error: WriterError) -> Self {
        Self::new(ErrorCode::StoreUnavailable, error.to_string())
    }
}

/// Keeps the whole configuration in one row of the table service.
pub struct HeadWriter {
    table: Rc<dyn TableService>,
    backoff: Backoff,
    writer: Box<str>,
    writes: Cell<u64>,
}

impl HeadWriter {
    /// Creates a writer for an instance.
    pub fn new(table: Rc<dyn TableService>, instance: &InstanceName) -> Self {
        let life: u64 = rand::random();
        Self {
            table,
            backoff: Backoff::new(Rc::new(TimerSleep)),
            writer: format!("{instance}/{life:016x}").into(),
            writes: Cell::new(0),
        }
    }

    async fn read(&self) -> Result<Option<StoredHead>, WriterError> {
        let row = self.table.read(&RowKey(HEAD_ROW.into())).await?;
        row.map(|row| read_head(&row)).transpose()
    }

    fn next_token(&self) -> WriteToken {
        let number = self.writes.get();
        self.writes.set(number + 1);
        WriteToken(format!("config/{}/{number}", self.writer).into())
    }
}

#[async_trait(?Send)]
impl ConfigurationWriter for HeadWriter {
    async fn newest(&self) -> Result<NewestConfiguration, WriterError> {
        let head = self.read().await?.map(|stored| stored.head).unwrap_or_default();
        let made_by = head.made_by();
        Ok(NewestConfiguration { document: head.document, made_by })
    }

    async fn apply(&self, change: &ConfigurationChange) -> Result<ApplyResponse, WriterError> {
        let stored = self.read().await?;
        let condition = stored.as_ref().map_or(Condition::Absent, |stored| stored.condition);
        let head = stored.map(|stored| stored.head).unwrap_or_default();
        if head.version != change.expected_version {
            return Ok(ApplyResponse::Conflict { winner: head.made_by() });
        }
        let mut document = head.document;
        document.apply(&change.delta);
        if let Err(findings) = Declarations::try_from(&document) {
            return Ok(ApplyResponse::Refused { findings });
        }
        let version = head.version + 1;
        let transaction = write_head(condition, &Head::of(change, version, document));
        let token = self.next_token();
        match commit_settled(&*self.table, &self.backoff, &transaction, &token).await {
            Settled::Applied(_) => Ok(ApplyResponse::Accepted { version }),
            Settled::Conflict { current: Some(row), may_have_applied: false, .. } => {
                let winner = read_head(&row)?.head.made_by();
                Ok(ApplyResponse::Conflict { winner })
            }
            Settled::Conflict { .. } | Settled::Unknown => Err(WriterError::Unsettled),
            Settled::NotApplied(error) => Err(error.into()),
        }
    }
}

/// The head with what the next write depends on.
struct StoredHead {
    head: Head,
    condition: Condition,
}

/// The content of the row.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Head {
    version: u64,
    document: Document,
    #[serde(default)]
    operator: Option<Box<str>>,
    #[serde(default)]
    command: Option<Box<str>>,
    #[serde(default)]
    stamp: Option<Stamp>,
    /// The time of the stamp, in milliseconds since 1970.
    #[serde(default)]
    at_ms: u64,
}

impl Head {
    fn of(change: &ConfigurationChange, version: u64, document: Document) -> Self {
        Self {
            version,
            document,
            operator: Some(change.operator.clone()),
            command: Some(change.command.clone()),
            stamp: Some(change.stamp),
            at_ms: change.stamp.millis(),
        }
    }

    fn made_by(&self) -> Winner {
        Winner {
            version: self.version,
            operator: self.operator.clone(),
            command: self.command.clone(),
            stamp: self.stamp,
        }
    }
}

fn write_head(condition: Condition, head: &Head) -> Transaction {
    let value = serde_json::to_value(head).expect("a head has text keys only");
    let write = Write { key: RowKey(HEAD_ROW.into()), condition, value: Some(value) };
    Transaction { writes: vec![write] }
}

fn read_head(row: &Row) -> Result<StoredHead, WriterError> {
    let head = serde_json::from_value(row.value.clone()).map_err(|error| {
        WriterError::Unavailable(format!("{HEAD_ROW} cannot be read: {error}").into())
    })?;
    Ok(StoredHead { head, condition: Condition::Version(row.version) })
}
