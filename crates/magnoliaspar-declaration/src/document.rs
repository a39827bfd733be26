//! The stored form of declarations and the difference between two documents.

use std::collections::{BTreeMap, BTreeSet};

use magnoliaspar_json::{ROOT, child_path};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The declarations as they are stored and sent: one JSON value for each entity.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Document {
    /// The declared entities.
    pub entities: BTreeMap<EntityId, Value>,
}

impl Document {
    /// Returns the changes that turn this document into `target`.
    pub fn diff(&self, target: &Document) -> DocumentDelta {
        let mut delta = DocumentDelta::default();
        for (id, value) in &target.entities {
            if self.entities.get(id) != Some(value) {
                delta.upserts.insert(id.clone(), value.clone());
            }
        }
        for id in self.entities.keys() {
            if !target.entities.contains_key(id) {
                delta.removals.insert(id.clone());
            }
        }
        delta
    }

    /// Applies changes.
    pub fn apply(&mut self, delta: &DocumentDelta) {
        for id in &delta.removals {
            self.entities.remove(id);
        }
        for (id, value) in &delta.upserts {
            self.entities.insert(id.clone(), value.clone());
        }
    }
}

/// Identifies an entity, as `pools/NAME`, `routes/NAME` or `workspaces/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct EntityId(pub Box<str>);

impl EntityId {
    /// Creates the identifier of the entity `name`.
    pub fn new(kind: EntityKind, name: &str) -> Self {
        Self(format!("{}/{name}", kind.group()).into())
    }

    /// Returns the kind of the entity, or `None` if there is no such kind.
    pub fn kind(&self) -> Option<EntityKind> {
        let (group, _) = self.0.split_once('/')?;
        EntityKind::ALL.into_iter().find(|kind| kind.group() == group)
    }

    /// Returns the name of the entity.
    pub fn name(&self) -> &str {
        match self.0.split_once('/') {
            Some((_, name)) => name,
            None => &self.0,
        }
    }

    /// Returns the JSON path of the entity in a declarations file.
    pub fn path(&self) -> Box<str> {
        let Some(kind) = self.kind() else { return ROOT.into() };
        child_path(&child_path(ROOT, kind.group()), self.name())
    }
}

/// The kind of an entity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntityKind {
    /// A pool of backend servers.
    Pool,
    /// A route.
    Route,
    /// A workspace.
    Workspace,
}

impl EntityKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Pool, Self::Route, Self::Workspace];

    /// Returns the name of the group in which files declare entities of this kind.
    pub fn group(self) -> &'static str {
        match self {
            Self::Pool => "pools",
            Self::Route => "routes",
            Self::Workspace => "workspaces",
        }
    }
}

/// Changes between two documents.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DocumentDelta {
    /// The entities that are new or changed.
    pub upserts: BTreeMap<EntityId, Value>,
    /// The entities that are removed.
    pub removals: BTreeSet<EntityId>,
}

impl DocumentDelta {
    /// Returns true if there are no changes.
    pub fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removals.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::{Document, EntityId};

    #[test]
    fn applying_a_diff_reaches_the_target() {
        let mut from = Document::default();
        from.entities.insert(EntityId("pools/a".into()), json!({"kind": "prefill"}));
        from.entities.insert(EntityId("pools/b".into()), json!({"kind": "decode"}));
        let mut target = Document::default();
        target.entities.insert(EntityId("pools/b".into()), json!({"kind": "prefill"}));
        target.entities.insert(EntityId("routes/c".into()), json!({}));
        let delta = from.diff(&target);
        from.apply(&delta);
        assert_eq!(from, target);
        assert!(from.diff(&target).is_empty());
    }
}
