//! The copy of the configuration on one instance, and the changes between versions.

use std::collections::VecDeque;

use magnoliaspar_declaration::{Document, DocumentDelta};
use serde::{Deserialize, Serialize};

/// Maximum number of changes kept for instances that are behind.
const MAX_HISTORY_LEN: usize = 256;

/// The configuration on one instance. Its version never decreases.
///
/// Version 0 is the empty document, before any change is accepted. Each accepted change creates one
/// version, so instances with the same version hold the same document.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    version: u64,
    document: Document,
    history: VecDeque<ConfigDelta>,
    max_history_len: usize,
}

impl Configuration {
    /// Creates the empty configuration with version 0.
    pub fn new() -> Self {
        Self::with_history(MAX_HISTORY_LEN)
    }

    /// Creates an empty configuration that keeps up to `max_len` changes for instances that
    /// are behind.
    pub fn with_history(max_len: usize) -> Self {
        Self {
            version: 0,
            document: Document::default(),
            history: VecDeque::new(),
            max_history_len: max_len,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document of the current version.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Applies a change or a full configuration from the platform or a peer, if it is newer.
    pub fn receive(&mut self, delta: ConfigDelta) -> Received {
        if delta.version <= self.version {
            return Received::Stale;
        }
        match &delta.content {
            ConfigContent::Change(_) if delta.version != self.version + 1 => {
                return Received::NeedsFrom(self.version);
            }
            ConfigContent::Change(change) => {
                self.document.apply(change);
                self.history.push_back(delta.clone());
            }
            ConfigContent::Full(document) => {
                self.document = document.clone();
                self.history.clear();
            }
        }
        if self.history.len() > self.max_history_len {
            self.history.pop_front();
        }
        self.version = delta.version;
        Received::Applied
    }

    /// Replaces this configuration by another copy if that one is newer, and returns whether it is.
    pub fn adopt(&mut self, other: Configuration) -> bool {
        let is_newer = other.version > self.version;
        if is_newer {
            *self = other;
        }
        is_newer
    }

    /// Returns the deltas from `version` to the current version, in order.
    ///
    /// If the history does not reach back to `version`, this is one full configuration.
    pub fn deltas_since(&self, version: u64) -> Vec<ConfigDelta> {
        if version >= self.version {
            return Vec::new();
        }
        let missing_count = (self.version - version) as usize;
        let Some(skip) = self.history.len().checked_sub(missing_count) else {
            let content = ConfigContent::Full(self.document.clone());
            return vec![ConfigDelta { version: self.version, content }];
        };
        self.history.iter().skip(skip).cloned().collect()
    }
}

impl Default for Configuration {
    fn default() -> Self {
        Self::new()
    }
}

/// The step to one version of the configuration, as instances send it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The version after this delta.
    pub version: u64,
    /// The change to this version, or the full configuration.
    pub content: ConfigContent,
}

/// The content of a [`ConfigDelta`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigContent {
    /// The change from the previous version.
    Change(DocumentDelta),
    /// The full configuration.
    Full(Document),
}

/// The result of receiving a [`ConfigDelta`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// The delta is applied.
    Applied,
    /// The delta is not newer than the current version.
    Stale,
    /// Versions in between are missing. The sender must send all changes after this version.
    NeedsFrom(u64),
}

#[cfg(test)]
mod tests {
    use magnoliaspar_declaration::{DocumentDelta, EntityId};
    use serde_json::json;

    use super::{ConfigContent, ConfigDelta, Configuration, MAX_HISTORY_LEN, Received};

    fn change(version: u64) -> ConfigDelta {
        let mut delta = DocumentDelta::default();
        delta.upserts.insert(EntityId("pools/a".into()), json!(version));
        ConfigDelta { version, content: ConfigContent::Change(delta) }
    }

    #[test]
    fn changes_apply_in_order_only() {
        let mut configuration = Configuration::new();
        assert_eq!(configuration.receive(change(2)), Received::NeedsFrom(0));
        assert_eq!(configuration.receive(change(1)), Received::Applied);
        assert_eq!(configuration.receive(change(1)), Received::Stale);
        assert_eq!(configuration.receive(change(2)), Received::Applied);
        assert_eq!(configuration.version(), 2);
    }

    #[test]
    fn deltas_lead_from_any_version_to_the_current_one() {
        let mut configuration = Configuration::new();
        let last = MAX_HISTORY_LEN as u64 + 10;
        let mut behind = Vec::new();
        for version in 1..=last {
            configuration.receive(change(version));
            behind.push(configuration.clone());
        }
        for mut instance in behind {
            for delta in configuration.deltas_since(instance.version()) {
                assert_eq!(instance.receive(delta), Received::Applied);
            }
            assert_eq!(instance.document(), configuration.document());
        }
        assert_eq!(configuration.deltas_since(1).len(), 1);
        assert_eq!(configuration.deltas_since(last - 3).len(), 3);
    }
}
