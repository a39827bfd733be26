use std::net::SocketAddr;

use async_trait::async_trait;
use magnoliaspar_core::{Incarnation, ModelName, PoolName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The platform's list of live and leaving instances and backend servers, which lags.
#[async_trait(?Send)]
pub trait InstanceList {
    /// Reads the list of one availability zone, or of all.
    async fn list(&self, zone: Option<&ZoneName>) -> Result<Vec<ListEntry>, PlatformError>;
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListEntry {
    /// The name, unique within its kind.
    pub name: Box<str>,
    /// What the entry stands for.
    pub kind: ListedKind,
    /// The availability zone in which it runs.
    pub zone: ZoneName,
    /// The address on which it listens: an instance for its peers, a server for requests.
    pub address: SocketAddr,
    /// Which of its lives this is.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub state: ListState,
}

/// Whether an entry is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// It runs and takes work.
    Live,
    /// It takes no new work and will end.
    Leaving,
}

/// What an entry stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedKind {
    /// An entry instance.
    Instance {
        /// The address on which it takes callers' requests.
        callers: SocketAddr,
        /// The address on which it serves operators.
        operators: SocketAddr,
    },
    /// A backend server.
    Server {
        /// The pool that the server belongs to.
        pool: PoolName,
        /// What the server does.
        role: ServerRole,
        /// The model that the server has loaded, if it is a model engine.
        model: Option<ModelName>,
        /// Whether the server refuses orders that carry an old fencing number.
        is_fencing: bool,
    },
}

/// What a backend server does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// A model engine that reads prompts.
    Prefill,
    /// A model engine that produces tokens.
    Decode,
    /// A plain service.
    Service,
}
