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

/// After how many changes a whole configuration is written to the object store.
const SNAPSHOT_INTERVAL: u64 = 64;

/// How many changes are read at once.
const SCAN_LIMIT: usize = 64;

/// The configuration at the platform.
///
/// The row `config/head` names the newest version, `config/change/N` holds each change, and the
/// object store holds a whole configuration every so many versions.
#[derive(Clone)]
pub struct ConfigurationStore {
    table: Rc<dyn TableService>,
    objects: Rc<dyn ObjectStore>,
    backoff: Backoff,
}

impl ConfigurationStore {
    /// Creates a store over the platform's services.
    pub fn new(
        table: Rc<dyn TableService>,
        objects: Rc<dyn ObjectStore>,
        backoff: Backoff,
    ) -> Self {
        Self { table, objects, backoff }
    }

    /// Has a change accepted, unless another was accepted since the operator looked.
    ///
    /// Brings `configuration` to the newest accepted version, the proposed one included. Who shares
    /// a configuration passes a clone and takes it over by [`Configuration::adopt`]. A proposal that
    /// is sent again with the same token is accepted once and answered alike.
    pub async fn accept(
        &self,
        configuration: &mut Configuration,
        proposal: &Proposal,
    ) -> Acceptance {
        let (news, head) = match self.read_news(configuration.version()).await {
            Ok(read) => read,
            Err(error) => return Acceptance::Unavailable(error.to_string().into()),
        };
        for delta in news.deltas {
            configuration.receive(delta);
        }
        if configuration.version() != proposal.expected_version {
            return self.settle_conflict(proposal).await;
        }
        let mut target = configuration.document().clone();
        target.apply(&proposal.delta);
        if let Err(findings) = Declarations::try_from(&target) {
            return Acceptance::Refused(findings);
        }
        let snapshot = match self.put_snapshot(configuration, head.as_ref()).await {
            Ok(snapshot) => snapshot,
            Err(error) => return Acceptance::Unavailable(error.to_string().into()),
        };
        let transaction = propose(proposal, head.as_ref(), snapshot);
        let settled =
            commit_idempotent(&*self.table, &self.backoff, &transaction, &proposal.token).await;
        match settled {
            CommitOutcome::Applied(_) => accepted(configuration, proposal),
            CommitOutcome::Conflict { .. } => match self.settle_conflict(proposal).await {
                Acceptance::Accepted { .. } => accepted(configuration, proposal),
                other => other,
            },
            CommitOutcome::NotApplied(error) => Acceptance::Unavailable(error.to_string().into()),
            CommitOutcome::Unknown => Acceptance::Unknown,
        }
    }

    /// Reads what was accepted after `version`.
    pub async fn news_since(&self, version: u64) -> Result<News, CatchUpError> {
        Ok(self.read_news(version).await?.0)
    }

    async fn read_news(&self, version: u64) -> Result<(News, Option<HeadRow>), CatchUpError> {
        let mut news = News { newest: version, deltas: Vec::new() };
        let Some(row) = self.table.read(&head_key()).await? else { return Ok((news, None)) };
        let head: Head = decode(&row)?;
        if version >= head.version {
            return Ok((news, Some(HeadRow { row, head })));
        }
        if let Some(document) = head.document.clone() {
            news.push(head.version, ConfigContent::Full(document));
            return Ok((news, Some(HeadRow { row, head })));
        }
        if version < head.snapshot {
            let document = self.read_snapshot(head.snapshot).await?;
            news.push(head.snapshot, ConfigContent::Full(document));
        }
        while news.newest < head.version {
            self.read_changes(&mut news).await?;
        }
        Ok((news, Some(HeadRow { row, head })))
    }

    async fn read_changes(&self, news: &mut News) -> Result<(), CatchUpError> {
        let before = news.newest;
        let after = change_key(before);
        for row in self.table.scan(CHANGE_PREFIX, Some(&after), SCAN_LIMIT).await? {
            let change: ChangeRow = decode(&row)?;
            if change.version != news.newest + 1 {
                break;
            }
            news.push(change.version, ConfigContent::Change(change.delta));
        }
        match news.newest == before {
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

    /// Writes the present version as a whole if it is time, and returns the newest such version.
    ///
    /// A failure is no obstacle, unless no changes lead to the present version.
    async fn put_snapshot(
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
                warn!("the configuration's version {version} is not stored as a whole: {error}");
                Ok(head.snapshot)
            }
        }
    }

    /// Finds out who made the version that a proposal wanted to make.
    async fn settle_conflict(&self, proposal: &Proposal) -> Acceptance {
        let made = match self.table.read(&change_key(proposal.expected_version + 1)).await {
            Ok(row) => row,
            Err(error) => return Acceptance::Unavailable(error.to_string().into()),
        };
        if made.as_ref().is_some_and(|row| proposal.token.is_on(row)) {
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

/// What was accepted after some version.
#[derive(Debug, Clone, PartialEq)]
pub struct News {
    /// The newest version.
    pub newest: u64,
    /// What leads there, in order.
    pub deltas: Vec<ConfigDelta>,
}

impl News {
    fn push(&mut self, version: u64, content: ConfigContent) {
        self.newest = version;
        self.deltas.push(ConfigDelta { version, content });
    }
}

/// A change that an operator wants.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The version that the operator saw.
    pub expected_version: u64,
    /// The change.
    pub delta: DocumentDelta,
    /// Who asks for it.
    pub operator: Box<str>,
    /// The command by which it was asked for.
    pub command: Box<str>,
    /// When it was asked for.
    pub at: SystemTime,
    /// Identifies the proposal, so that it can be sent again.
    pub token: WriteToken,
}

/// What became of a [`Proposal`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acceptance {
    /// It is accepted.
    Accepted {
        /// The version that it made.
        version: u64,
    },
    /// Another change was accepted since the operator looked, and this one is not.
    Conflict {
        /// Who made the newest version.
        winner: Box<str>,
        /// The newest version.
        version: u64,
        /// The command that made it.
        command: Box<str>,
        /// When it was made.
        at: SystemTime,
    },
    /// The declarations would be wrong, and the change is not accepted.
    Refused(Findings),
    /// The platform is out of reach, and the change is not accepted.
    Unavailable(Box<str>),
    /// The platform gave no answer, and the change may be accepted; a resend settles it.
    Unknown,
}

/// Why the newest version cannot be learned from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum CatchUpError {
    /// {0}
    Platform(PlatformError),
    /// the change after version {0} is missing
    Gap(u64),
    /// version {0} is missing from the object store
    NoSnapshot(u64),
    /// {0} cannot be read: {1}
    Content(Box<str>, Box<str>),
}

impl std::error::Error for CatchUpError {}

impl From<PlatformError> for CatchUpError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// The head as it was read, with the row that the next write depends on.
struct HeadRow {
    row: Row,
    head: Head,
}

fn accepted(configuration: &mut Configuration, proposal: &Proposal) -> Acceptance {
    let version = proposal.expected_version + 1;
    let content = ConfigContent::Change(proposal.delta.clone());
    configuration.receive(ConfigDelta { version, content });
    Acceptance::Accepted { version }
}

fn propose(proposal: &Proposal, head: Option<&HeadRow>, snapshot: u64) -> Transaction {
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
    // The change comes first: its row is never overwritten, so the token on it settles any doubt.
    Transaction { writes: vec![change_write, head_write] }
}

fn encode(value: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(value).expect("rows and documents have text keys only")
}

fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, CatchUpError> {
    serde_json::from_value(row.value.clone())
        .map_err(|error| CatchUpError::Content(row.key.0.clone(), error.to_string().into()))
}
