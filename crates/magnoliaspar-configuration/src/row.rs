use std::time::{Duration, SystemTime};

use magnoliaspar_declaration::{Document, DocumentDelta};
use magnoliaspar_store::RowKey;
use serde::{Deserialize, Serialize};

/// The row that holds the newest version; every acceptance writes it.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Head {
    /// The newest version.
    pub version: u64,
    /// Who made it.
    #[serde(default)]
    pub operator: Box<str>,
    /// The command that made it.
    #[serde(default)]
    pub command: Box<str>,
    /// When it was made, in milliseconds since 1970.
    #[serde(default)]
    pub at_ms: u64,
    /// The newest version that the object store holds as a whole; 0 is the empty document.
    #[serde(default)]
    pub snapshot: u64,
    /// The whole configuration, in the first row of a deployment only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<Document>,
}

/// The row of one accepted change, which is never written again.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ChangeRow {
    /// The version that the change makes.
    pub version: u64,
    /// Who made it.
    pub operator: Box<str>,
    /// The command that made it.
    #[serde(default)]
    pub command: Box<str>,
    /// When it was made, in milliseconds since 1970.
    pub at_ms: u64,
    /// The change.
    pub delta: DocumentDelta,
}

/// The prefix of the keys of change rows.
pub(crate) const CHANGE_PREFIX: &str = "config/change/";

/// Returns the key of the head.
pub(crate) fn head_key() -> RowKey {
    RowKey("config/head".into())
}

/// Returns the key of a change; the order of keys is the order of versions.
pub(crate) fn change_key(version: u64) -> RowKey {
    RowKey(format!("{CHANGE_PREFIX}{version:020}").into())
}

/// Returns the name of the object that holds a whole configuration.
pub(crate) fn snapshot_name(version: u64) -> Box<str> {
    format!("config-snapshot-{version:020}").into()
}

/// Returns the milliseconds since 1970.
pub(crate) fn millis_of(at: SystemTime) -> u64 {
    let age = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time that is `millis` milliseconds after 1970.
pub(crate) fn time_of(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}
