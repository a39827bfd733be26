//! Table of the desired states of engines.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use displaydoc::Display;
use magnoliaspar_core::{ModelName, ServerName, ZoneName};
use magnoliaspar_engine::EngineStatus;
use magnoliaspar_store::{
    Backoff, CommitOutcome, Condition, PlatformError, Row, RowKey, RowVersion, TableService,
    Transaction, Write, WriteToken, commit_idempotent,
};
use serde::{Deserialize, Serialize};

/// The desired states of the engines of one availability zone.
pub struct DesiredTable {
    table: Rc<dyn TableService>,
    backoff: Backoff,
    prefix: Box<str>,
    /// Unique prefix of this process's write tokens.
    writer: Box<str>,
    /// Number of writes so far, from which write tokens are formed.
    writes: Cell<u64>,
}

/// The state that an engine should have.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DesiredState {
    /// The model.
    pub model: ModelName,
    /// The version of the model.
    pub version: Box<str>,
    /// The names of the adapters.
    pub adapters: BTreeSet<Box<str>>,
    /// The role.
    pub role: DesiredRole,
    /// The size of the weights in bytes, as requested from the weight store for a load.
    pub weight_bytes: u64,
}

/// The role of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredRole {
    /// The engine prefills prompts.
    Prefill,
    /// The engine decodes tokens.
    Decode,
}

impl DesiredRole {
    /// Returns the name of the role in the engine API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

impl DesiredState {
    /// Returns true if an engine has the desired role.
    pub fn has_role(&self, status: &EngineStatus) -> bool {
        &*status.role == self.role.as_str()
    }

    /// Returns true if an engine has loaded the desired model and version.
    pub fn has_model(&self, status: &EngineStatus) -> bool {
        status.model == self.model && status.version == self.version
    }

    /// Returns true if an engine has loaded exactly the desired adapters.
    pub fn has_adapters(&self, status: &EngineStatus) -> bool {
        let loaded: BTreeSet<Box<str>> = status.adapters.iter().cloned().collect();
        loaded == self.adapters
    }
}

/// The name of an operator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct OperatorName(pub Box<str>);

/// A desired state as it is stored in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredRow {
    /// The state, or `None` if it was cleared.
    pub state: Option<DesiredState>,
    /// The operator who set it.
    pub set_by: OperatorName,
    /// The version of the row, which the next change must name.
    pub version: RowVersion,
}

/// The reason why a desired state was not set.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum DesiredError {
    /// the state was changed after it was read: now at version {at_version:?}, set by {winner:?}
    Conflict {
        /// The operator whose change is in effect; `None` if there is no readable row.
        winner: Option<OperatorName>,
        /// The current version, if there is a row.
        at_version: Option<RowVersion>,
    },
    /// it is not known whether the state was set; read it again
    Ambiguous,
    /// the table cannot be used: {0}
    Platform(PlatformError),
}

impl std::error::Error for DesiredError {}

impl DesiredTable {
    /// Creates a table for one availability zone. Each process must use a different `writer`.
    pub fn new(
        table: Rc<dyn TableService>,
        backoff: Backoff,
        zone: &ZoneName,
        writer: Box<str>,
    ) -> Self {
        // Names may contain slashes but no percent sign, so escaped names are unambiguous.
        let zone = zone.as_str().replace('/', "%2F");
        let prefix = format!("desired/{zone}/").into();
        Self { table, backoff, prefix, writer, writes: Cell::new(0) }
    }

    /// Reads the desired state of one engine.
    pub async fn read(&self, server: &ServerName) -> Result<Option<DesiredRow>, PlatformError> {
        let row = self.table.read(&self.key(server)).await?;
        Ok(row.as_ref().and_then(parse))
    }

    /// Reads the desired states of all engines.
    pub async fn list(&self) -> Result<BTreeMap<ServerName, DesiredRow>, PlatformError> {
        let mut states = BTreeMap::new();
        let mut after = None;
        loop {
            let rows = self.table.scan(&self.prefix, after.as_ref(), SCAN_PAGE_ROWS).await?;
            for row in &rows {
                let Ok(server) = ServerName::try_from(&row.key.0[self.prefix.len()..]) else {
                    continue;
                };
                let Some(desired) = parse(row) else { continue };
                states.insert(server, desired);
            }
            after = match rows.last() {
                Some(row) if rows.len() == SCAN_PAGE_ROWS => Some(row.key.clone()),
                _ => return Ok(states),
            };
        }
    }

    /// Sets the desired state of an engine if its version is still the one that the operator read.
    ///
    /// `None` clears the state; the row still names the operator who cleared it.
    pub async fn set(
        &self,
        server: &ServerName,
        state: Option<&DesiredState>,
        expected: Option<RowVersion>,
        operator: &OperatorName,
    ) -> Result<RowVersion, DesiredError> {
        let value = StoredState { state: state.cloned(), set_by: operator.clone() };
        let value = serde_json::to_value(value).expect("a desired state has only text keys");
        let condition = expected.map_or(Condition::Absent, Condition::Version);
        let write = Write { key: self.key(server), condition, value: Some(value) };
        let number = self.writes.get();
        self.writes.set(number + 1);
        let token = WriteToken(format!("{}/{number}", self.writer).into());
        let transaction = Transaction { writes: vec![write] };
        match commit_idempotent(&*self.table, &self.backoff, &transaction, &token).await {
            CommitOutcome::Applied(versions) => Ok(versions[0]),
            CommitOutcome::Conflict { current, .. } => Err(conflict(current.as_ref())),
            CommitOutcome::NotApplied(error) => Err(DesiredError::Platform(error)),
            CommitOutcome::Unknown => Err(DesiredError::Ambiguous),
        }
    }

    fn key(&self, server: &ServerName) -> RowKey {
        RowKey(format!("{}{server}", self.prefix).into())
    }
}

/// The value of a row.
#[derive(Serialize, Deserialize)]
struct StoredState {
    state: Option<DesiredState>,
    set_by: OperatorName,
}

fn parse(row: &Row) -> Option<DesiredRow> {
    let stored: StoredState = serde_json::from_value(row.value.clone()).ok()?;
    Some(DesiredRow { state: stored.state, set_by: stored.set_by, version: row.version })
}

fn conflict(current: Option<&Row>) -> DesiredError {
    let at_version = current.map(|row| row.version);
    let winner = current.and_then(parse).map(|desired| desired.set_by);
    DesiredError::Conflict { winner, at_version }
}

/// Maximum number of rows per scan.
const SCAN_PAGE_ROWS: usize = 500;
