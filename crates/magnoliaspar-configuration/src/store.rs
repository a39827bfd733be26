//! Access to the configuration at the platform.

use std::rc::Rc;
use std::time::SystemTime;

use bytes::Bytes;
use displaydoc::Display;
use log::warn;
use magnoliaspar_core::Findings;
use magnoliaspar_declaration::{Declarations, Document, DocumentDelta};
use magnoliaspar_store::{
    Backoff, CommitOutcome, Condition, ObjectStore, PlatformError, Row, TableService, Transaction,
    Write, WriteToken, commit_idempotent,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::row::{
    CHANGE_PREFIX, ChangeRow, Head, change_key, head_key, millis_of, snapshot_name, time_of,
};
use crate::{ConfigContent, ConfigDelta, Configuration};

/// Number of changes after which a snapshot is written to the object store.
const SNAPSHOT_INTERVAL: u64 = 64;

/// Maximum number of changes read in one scan.
const MAX_SCAN_ROWS: usize = 64;

/// The configuration at the platform.
///
/// The row `config/head` names the newest version, the rows `config/change/N` hold the changes, and
/// the object store holds a snapshot of the full configuration at regular intervals of versions.
#[derive(Clone)]
pub struct ConfigurationStore {
    table: Rc<dyn TableService>,
    objects: Rc<dyn ObjectStore>,
    backoff: Backoff,
}

impl ConfigurationStore {
    /// Creates a store on the platform's table and object store.
    pub fn new(
        table: Rc<dyn TableService>,
        objects: Rc<dyn ObjectStore>,
        backoff: Backoff,
    ) -> Self {
        Self { table, objects, backoff }
    }

    /// Proposes a change, which is accepted unless the newest version is not the expected one.
    ///
    /// Updates `configuration` to the newest accepted version, including the proposed one. For a
    /// shared configuration, pass a clone and merge it with [`Configuration::adopt`]. A proposal
    /// that is sent again with the same token is accepted once and gets the same answer.
    pub async fn accept(
        &self,
        configuration: &mut Configuration,
        proposal: &Proposal,
    ) -> Acceptance {
        let (updates, head) = match self.read_updates(configuration.version()).await {
            Ok(read) => read,
            Err(error) => return Acceptance::Unavailable(error.to_string().into()),
        };
        for delta in updates.deltas {
            configuration.receive(delta);
        }
        if configuration.version() != proposal.expected_version {
            return self.resolve_conflict(proposal).await;
        }
        let mut target = configuration.document().clone();
        target.apply(&proposal.delta);
        if let Err(findings) = Declarations::try_from(&target) {
            return Acceptance::Refused(findings);
        }
        let snapshot = match self.put_snapshot_if_due(configuration, head.as_ref()).await {
            Ok(snapshot) => snapshot,
            Err(error) => return Acceptance::Unavailable(error.to_string().into()),
        };
        let transaction = proposal_transaction(proposal, head.as_ref(), snapshot);
        let outcome =
            commit_idempotent(&*self.table, &self.backoff, &transaction, &proposal.token).await;
        match outcome {
            CommitOutcome::Applied(_) => apply_accepted(configuration, proposal),
            CommitOutcome::Conflict { .. } => match self.resolve_conflict(proposal).await {
                Acceptance::Accepted { .. } => apply_accepted(configuration, proposal),
                other => other,
            },
            CommitOutcome::NotApplied(error) => Acceptance::Unavailable(error.to_string().into()),
            CommitOutcome::Unknown => Acceptance::Unknown,
        }
    }

    /// Reads the changes accepted after `version`.
    pub async fn updates_since(&self, version: u64) -> Result<Updates, CatchUpError> {
        Ok(self.read_updates(version).await?.0)
    }

    async fn read_updates(&self, version: u64) -> Result<(Updates, Option<HeadRow>), CatchUpError> {
        let mut updates = Updates { newest: version, deltas: Vec::new() };
        let Some(row) = self.table.read(&head_key()).await? else { return Ok((updates, None)) };
        let head: Head = decode(&row)?;
        if version >= head.version {
            return Ok((updates, Some(HeadRow { row, head })));
        }
        if let Some(document) = head.document.clone() {
            updates.push(head.version, ConfigContent::Full(document));
            return Ok((updates, Some(HeadRow { row, head })));
        }
        if version < head.snapshot {
            let document = self.read_snapshot(head.snapshot).await?;
            updates.push(head.snapshot, ConfigContent::Full(document));
        }
        while updates.newest < head.version {
            self.read_changes(&mut updates).await?;
        }
        Ok((updates, Some(HeadRow { row, head })))
    }

    async fn read_changes(&self, updates: &mut Updates) -> Result<(), CatchUpError> {
        let before = updates.newest;
        let after = change_key(before);
        for row in self.table.scan(CHANGE_PREFIX, Some(&after), MAX_SCAN_ROWS).await? {
            let change: ChangeRow = decode(&row)?;
            if change.version != updates.newest + 1 {
                break;
            }
            updates.push(change.version, ConfigContent::Change(change.delta));
        }
        match updates.newest == before {
            true => Err(CatchUpError::Gap(before)),
            false => Ok(()),
        }
    }

    async fn read_snapshot(&self, version: u64) -> Result<Document, CatchUpError> {
        let name = snapshot_name(version);
        let Some(content) = self.objects.get(&name).await? else {
            return Err(CatchUpError::NoSnapshot(version));
        };
        serde_json::from_slice(&content)
            .map_err(|error| CatchUpError::Content(name, error.to_string().into()))
    }

    /// Writes a snapshot of the current version if one is due, and returns the version of the
    /// newest snapshot.
    ///
    /// A failed write is an error only for the first version of a deployment, which no change rows
    /// lead to. Otherwise it is logged.
    async fn put_snapshot_if_due(
        &self,
        configuration: &Configuration,
        head: Option<&HeadRow>,
    ) -> Result<u64, PlatformError> {
        let Some(HeadRow { head, .. }) = head else { return Ok(0) };
        let is_first = head.document.is_some();
        if !is_first && head.version < head.snapshot + SNAPSHOT_INTERVAL {
            return Ok(head.snapshot);
        }
        let version = configuration.version();
        let content = Bytes::from(encode(configuration.document()).to_string());
        match self.objects.put(&snapshot_name(version), content).await {
            Ok(()) => Ok(version),
            Err(error) if is_first => Err(error),
            Err(error) => {
                warn!("cannot write the snapshot of configuration version {version}: {error}");
                Ok(head.snapshot)
            }
        }
    }

    /// Determines whether the version after the expected one was created by this proposal or by
    /// another one.
    async fn resolve_conflict(&self, proposal: &Proposal) -> Acceptance {
        let change_row = match self.table.read(&change_key(proposal.expected_version + 1)).await {
            Ok(row) => row,
            Err(error) => return Acceptance::Unavailable(error.to_string().into()),
        };
        if change_row.as_ref().is_some_and(|row| proposal.token.is_on(row)) {
            return Acceptance::Accepted { version: proposal.expected_version + 1 };
        }
        let head = match self.table.read(&head_key()).await {
            Ok(row) => row,
            Err(error) => return Acceptance::Unavailable(error.to_string().into()),
        };
        let head = head.and_then(|row| decode::<Head>(&row).ok()).unwrap_or_default();
        let Head { version, operator: winner, command, at_ms, .. } = head;
        Acceptance::Conflict { winner, version, command, at: time_of(at_ms) }
    }
}

/// The changes accepted after some version.
#[derive(Debug, Clone, PartialEq)]
pub struct Updates {
    /// The newest version.
    pub newest: u64,
    /// The deltas to the newest version, in order.
    pub deltas: Vec<ConfigDelta>,
}

impl Updates {
    fn push(&mut self, version: u64, content: ConfigContent) {
        self.newest = version;
        self.deltas.push(ConfigDelta { version, content });
    }
}

/// A change proposed by an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The version on which the proposal is based.
    pub expected_version: u64,
    /// The change.
    pub delta: DocumentDelta,
    /// The operator who proposes it.
    pub operator: Box<str>,
    /// The command of the operator.
    pub command: Box<str>,
    /// Time of the proposal.
    pub at: SystemTime,
    /// Identifies the proposal, so that sending it again is idempotent.
    pub token: WriteToken,
}

/// The result of a [`Proposal`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acceptance {
    /// The change is accepted.
    Accepted {
        /// The version after the change.
        version: u64,
    },
    /// The change is not accepted, since the newest version is not the expected one.
    Conflict {
        /// The operator who proposed the newest version.
        winner: Box<str>,
        /// The newest version.
        version: u64,
        /// The command that proposed it.
        command: Box<str>,
        /// Time of its proposal.
        at: SystemTime,
    },
    /// The change is not accepted, since the resulting declarations would be invalid.
    Refused(Findings),
    /// The change is not accepted, since the platform is unavailable.
    Unavailable(Box<str>),
    /// The platform did not answer, and the change may be accepted. Sending the proposal again
    /// gives the result.
    Unknown,
}

/// An error while reading the newest version from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum CatchUpError {
    /// {0}
    Platform(PlatformError),
    /// the row of the change after version {0} is missing
    Gap(u64),
    /// the snapshot of version {0} is missing from the object store
    NoSnapshot(u64),
    /// {0} has invalid content: {1}
    Content(Box<str>, Box<str>),
}

impl std::error::Error for CatchUpError {}

impl From<PlatformError> for CatchUpError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// The decoded head with its row, whose version is the condition of the next write.
struct HeadRow {
    row: Row,
    head: Head,
}

fn apply_accepted(configuration: &mut Configuration, proposal: &Proposal) -> Acceptance {
    let version = proposal.expected_version + 1;
    let content = ConfigContent::Change(proposal.delta.clone());
    configuration.receive(ConfigDelta { version, content });
    Acceptance::Accepted { version }
}

fn proposal_transaction(proposal: &Proposal, head: Option<&HeadRow>, snapshot: u64) -> Transaction {
    let version = proposal.expected_version + 1;
    let at_ms = millis_of(proposal.at);
    let (operator, command) = (proposal.operator.clone(), proposal.command.clone());
    let next = Head {
        version,
        operator: operator.clone(),
        command: command.clone(),
        at_ms,
        snapshot,
        document: None,
    };
    let change = ChangeRow { version, operator, command, at_ms, delta: proposal.delta.clone() };
    let condition = head.map_or(Condition::Absent, |head| Condition::Version(head.row.version));
    let change_write = Write {
        key: change_key(version),
        condition: Condition::Absent,
        value: Some(encode(&change)),
    };
    let head_write = Write { key: head_key(), condition, value: Some(encode(&next)) };
    // The change comes first: its row is never overwritten, so its token shows which proposal was
    // accepted if the outcome of the write is unknown.
    Transaction { writes: vec![change_write, head_write] }
}

fn encode(value: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(value).expect("rows and documents have text keys only")
}

fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, CatchUpError> {
    serde_json::from_value(row.value.clone())
        .map_err(|error| CatchUpError::Content(row.key.0.clone(), error.to_string().into()))
}
