use std::collections::VecDeque;

use magnoliaspar_declaration::{Document, DocumentDelta};
use serde::{Deserialize, Serialize};

/// How many changes are kept for instances that are behind.
const HISTORY: usize = 256;

/// The configuration as one instance knows it; its version never goes down.
///
/// Version 0 is the empty document, before anything was accepted. Each accepted change makes one
/// version, so instances with the same version hold the same document.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    version: u64,
    document: Document,
    history: VecDeque<ConfigDelta>,
    history_limit: usize,
}

impl Configuration {
    /// Creates the configuration before anything was accepted.
    pub fn new() -> Self {
        Self::with_history(HISTORY)
    }

    /// Creates one that keeps `limit` changes for instances that are behind.
    pub fn with_history(limit: usize) -> Self {
        Self {
            version: 0,
            document: Document::default(),
            history: VecDeque::new(),
            history_limit: limit,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the declarations.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Takes in a change or a whole configuration, from the platform or a peer.
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
        if self.history.len() > self.history_limit {
            self.history.pop_front();
        }
        self.version = delta.version;
        Received::Applied
    }

    /// Takes over another copy of the configuration, if it is newer.
    pub fn adopt(&mut self, other: Configuration) -> bool {
        let is_newer = other.version > self.version;
        if is_newer {
            *self = other;
        }
        is_newer
    }

    /// Returns what leads an instance from `version` to the present version, in order.
    pub fn offer(&self, version: u64) -> Vec<ConfigDelta> {
        if version >= self.version {
            return Vec::new();
        }
        let missing = (self.version - version) as usize;
        let Some(skip) = self.history.len().checked_sub(missing) else {
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

/// One version of the configuration on its way between instances.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The version that this leads to.
    pub version: u64,
    /// How it leads there.
    pub content: ConfigContent,
}

/// How a configuration is passed on.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigContent {
    /// The change from the version before.
    Change(DocumentDelta),
    /// The whole configuration.
    Full(Document),
}

/// What became of a received [`ConfigDelta`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// It is in force.
    Applied,
    /// It is not newer than what is in force.
    Stale,
    /// Versions in between are missing; they are needed from this version on.
    NeedsFrom(u64),
}

#[cfg(test)]
mod tests {
    use magnoliaspar_declaration::{DocumentDelta, EntityId};
    use serde_json::json;

    use super::{ConfigContent, ConfigDelta, Configuration, HISTORY, Received};

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
    fn an_offer_leads_from_any_version_to_the_present_one() {
        let mut configuration = Configuration::new();
        let last = HISTORY as u64 + 10;
        let mut behind = Vec::new();
        for version in 1..=last {
            configuration.receive(change(version));
            behind.push(configuration.clone());
        }
        for mut instance in behind {
            for delta in configuration.offer(instance.version()) {
                assert_eq!(instance.receive(delta), Received::Applied);
            }
            assert_eq!(instance.document(), configuration.document());
        }
        assert_eq!(configuration.offer(1).len(), 1);
        assert_eq!(configuration.offer(last - 3).len(), 3);
    }
}
