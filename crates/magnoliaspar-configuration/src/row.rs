//! Rows, keys and object names of the configuration at the platform.

use std::time::{Duration, SystemTime};

use magnoliaspar_declaration::{Document, DocumentDelta};
use magnoliaspar_store::RowKey;
use serde::{Deserialize, Serialize};

/// The row that names the newest version. Every accepted change overwrites it.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Head {
    /// The newest version.
    pub version: u64,
    /// The operator who proposed it.
    #[serde(default)]
    pub operator: Box<str>,
    /// The command that proposed it.
    #[serde(default)]
    pub command: Box<str>,
    /// Time of the proposal in milliseconds since the Unix epoch.
    #[serde(default)]
    pub at_ms: u64,
    /// The version of the newest snapshot in the object store. 0 is the empty document.
    #[serde(default)]
    pub snapshot: u64,
    /// The full configuration. Set only in the first row of a deployment.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<Document>,
}

/// The row of one accepted change. It is never overwritten.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ChangeRow {
    /// The version after the change.
    pub version: u64,
    /// The operator who proposed the change.
    pub operator: Box<str>,
    /// The command that proposed the change.
    #[serde(default)]
    pub command: Box<str>,
    /// Time of the proposal in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The change.
    pub delta: DocumentDelta,
}

/// Prefix of the keys of change rows.
pub(crate) const CHANGE_PREFIX: &str = "config/change/";

/// Returns the key of the head.
pub(crate) fn head_key() -> RowKey {
    RowKey("config/head".into())
}

/// Returns the key of a change. The version is padded so that keys sort by version.
pub(crate) fn change_key(version: u64) -> RowKey {
    RowKey(format!("{CHANGE_PREFIX}{version:020}").into())
}

/// Returns the name of the object that holds the snapshot of a version.
pub(crate) fn snapshot_name(version: u64) -> Box<str> {
    format!("config-snapshot-{version:020}").into()
}

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn millis_of(at: SystemTime) -> u64 {
    let age = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time that is `millis` milliseconds after the Unix epoch.
pub(crate) fn time_of(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}
