use std::collections::BTreeMap;

use magnoliaspar_core::{PoolName, RouteName, WorkspaceName};
use sha2::{Digest, Sha256};

use crate::Route;

/// All declarations of a deployment, checked as a whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declarations {
    /// The pools of backend servers.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The routes.
    pub routes: BTreeMap<RouteName, Route>,
    /// The workspaces.
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
}

impl Declarations {
    /// Returns the workspace that a caller's key belongs to.
    pub fn workspace_of_key(&self, key: &str) -> Option<(&WorkspaceName, &Workspace)> {
        let digest = KeyDigest::of(key);
        for (name, workspace) in &self.workspaces {
            if workspace.keys.contains(&digest) {
                return Some((name, workspace));
            }
        }
        None
    }
}

/// A pool of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// What the pool's servers do.
    pub kind: PoolKind,
    /// Whether the servers refuse orders that carry an old fencing number.
    pub is_fencing: bool,
}

/// What the servers of a pool do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolKind {
    /// Prefill engines.
    Prefill,
    /// Decode engines.
    Decode,
    /// Plain services.
    Service,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// The workspace's share of capacity relative to others; at least 1.
    pub share: u32,
    /// How many requests of the workspace may be in progress on one instance.
    pub concurrency: u32,
    /// The digests of the keys by which its callers are known.
    pub keys: Box<[KeyDigest]>,
}

/// The SHA-256 digest of a caller's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Digests a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}
