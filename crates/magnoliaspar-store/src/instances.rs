//! The list of instances and backend servers.

use std::net::SocketAddr;

use async_trait::async_trait;
use magnoliaspar_core::{Incarnation, ModelName, PoolName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The platform's eventually consistent list of live and leaving instances and backend servers.
#[async_trait(?Send)]
pub trait InstanceList {
    /// Reads the list of one availability zone, or of all zones if `zone` is `None`.
    async fn list(&self, zone: Option<&ZoneName>) -> Result<Vec<ListEntry>, PlatformError>;
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListEntry {
    /// The name, unique within its kind.
    pub name: Box<str>,
    /// An instance or a backend server, with its details.
    pub kind: ListedKind,
    /// The availability zone in which it runs.
    pub zone: ZoneName,
    /// The address on which it listens: an instance for its peers, a server for requests.
    pub address: SocketAddr,
    /// The incarnation number.
    pub incarnation: Incarnation,
    /// The state, live or leaving.
    pub state: ListState,
}

/// The state of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListState {
    /// The entry accepts work.
    Live,
    /// The entry accepts no new work and will stop.
    Leaving,
}

/// The kind of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedKind {
    /// An entry instance.
    Instance {
        /// The address on which the instance accepts requests from callers.
        callers: SocketAddr,
        /// The address on which the instance serves operators.
        operators: SocketAddr,
    },
    /// A backend server.
    Server {
        /// The pool that the server belongs to.
        pool: PoolName,
        /// The role of the server.
        role: ServerRole,
        /// The loaded model, if the server is a model engine.
        model: Option<ModelName>,
        /// True if the server refuses orders with an outdated fencing token.
        is_fencing: bool,
    },
}

/// The role of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerRole {
    /// A model engine that runs prefill.
    Prefill,
    /// A model engine that runs decode.
    Decode,
    /// A service that is not a model engine.
    Service,
}
