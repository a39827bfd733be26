//! The workspaces of a configuration, their keys and their limits.

use std::collections::BTreeMap;
use std::error::Error;
use std::rc::Rc;

use displaydoc::Display;
use magnoliaspar_core::WorkspaceName;
use magnoliaspar_declaration::KeyDigest;
use serde::{Deserialize, Serialize};

/// A workspace: the tenant of the callers that authenticate with one of its keys.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace, which servers receive.
    pub name: WorkspaceName,
    /// Priority of its requests, 0 is the highest; `None` if only the priorities of the routes count.
    pub priority: Option<u8>,
    /// Limit on what all its callers use together; `None` for no limit.
    pub limit: Option<TokenLimit>,
    /// The unit of the limit.
    pub unit: LimitUnit,
    /// Number of tokens that a request without a stated size counts as.
    pub plain_tokens: u64,
    /// Digests of the keys that authenticate its callers.
    pub keys: Box<[KeyDigest]>,
}

impl Workspace {
    /// Returns what a request counts as against the limit; `tokens` is its stated size.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            LimitUnit::Tokens => tokens.unwrap_or(self.plain_tokens),
            LimitUnit::Requests => 1,
        }
    }
}

/// A limit on the use of a workspace over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TokenLimit {
    /// Units that the workspace gains each second.
    pub per_second: f64,
    /// Units that it may use at once after a pause.
    pub burst: f64,
}

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LimitUnit {
    /// Prompt tokens and the maximum number of output tokens.
    Tokens,
    /// Requests.
    Requests,
}

/// The workspaces of a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "Vec<Workspace>", into = "Vec<Workspace>")]
pub struct Workspaces {
    by_name: BTreeMap<WorkspaceName, Rc<Workspace>>,
    by_key: BTreeMap<KeyDigest, WorkspaceName>,
}

impl Workspaces {
    /// Returns the workspace that a key belongs to.
    pub fn of_key(&self, digest: &KeyDigest) -> Option<&Rc<Workspace>> {
        self.by_name.get(self.by_key.get(digest)?)
    }

    /// Returns a workspace by its name.
    pub fn get(&self, name: &WorkspaceName) -> Option<&Rc<Workspace>> {
        self.by_name.get(name)
    }

    /// Iterates over the workspaces, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Workspace>> {
        self.by_name.values()
    }
}

impl TryFrom<Vec<Workspace>> for Workspaces {
    type Error = WorkspaceError;

    fn try_from(workspaces: Vec<Workspace>) -> Result<Self, WorkspaceError> {
        let mut checked = Self::default();
        for workspace in workspaces {
            let name = workspace.name.clone();
            if let Some(limit) = workspace.limit
                && !(limit.per_second >= 0.0 && limit.burst >= 0.0)
            {
                return Err(WorkspaceError::NegativeLimit { name });
            }
            for key in &workspace.keys {
                let other = checked.by_key.insert(*key, name.clone());
                if let Some(other) = other.filter(|other| *other != name) {
                    return Err(WorkspaceError::SharedKey { name, other });
                }
            }
            if checked.by_name.insert(name.clone(), Rc::new(workspace)).is_some() {
                return Err(WorkspaceError::RepeatedName { name });
            }
        }
        Ok(checked)
    }
}

impl From<Workspaces> for Vec<Workspace> {
    fn from(workspaces: Workspaces) -> Self {
        let mut list = Vec::new();
        for workspace in workspaces.by_name.into_values() {
            list.push(Rc::unwrap_or_clone(workspace));
        }
        list
    }
}

/// The reason why workspaces cannot be used together.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum WorkspaceError {
    /// the workspace {name} is declared twice
    RepeatedName {
        /// The name.
        name: WorkspaceName,
    },
    /// a key of the workspace {name} also belongs to the workspace {other}
    SharedKey {
        /// The workspace.
        name: WorkspaceName,
        /// The other workspace.
        other: WorkspaceName,
    },
    /// the limit of the workspace {name} is negative
    NegativeLimit {
        /// The workspace.
        name: WorkspaceName,
    },
}

impl Error for WorkspaceError {}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::WorkspaceName;
    use magnoliaspar_declaration::KeyDigest;

    use super::{LimitUnit, TokenLimit, Workspace, WorkspaceError, Workspaces};

    fn name(text: &str) -> WorkspaceName {
        WorkspaceName::try_from(text).expect("the name is valid")
    }

    fn workspace(text: &str, keys: &[&str]) -> Workspace {
        let mut digests = Vec::new();
        for key in keys {
            digests.push(KeyDigest::of(key));
        }
        Workspace {
            name: name(text),
            priority: None,
            limit: Some(TokenLimit { per_second: 1_000.0, burst: 500.0 }),
            unit: LimitUnit::Tokens,
            plain_tokens: 200,
            keys: digests.into(),
        }
    }

    /// Guards against a key that gives access to the workspace of someone else.
    #[test]
    fn a_key_belongs_to_one_workspace() {
        let workspaces = vec![workspace("a", &["k1", "k2"]), workspace("b", &["k3"])];
        let workspaces = Workspaces::try_from(workspaces).unwrap();
        assert_eq!(workspaces.of_key(&KeyDigest::of("k2")).unwrap().name, name("a"));
        assert_eq!(workspaces.of_key(&KeyDigest::of("k3")).unwrap().name, name("b"));
        assert_eq!(workspaces.of_key(&KeyDigest::of("k4")), None);
        let shared = vec![workspace("a", &["k1"]), workspace("b", &["k1"])];
        let expected = WorkspaceError::SharedKey { name: name("b"), other: name("a") };
        assert_eq!(Workspaces::try_from(shared), Err(expected));
    }
}
