//! The settings of an instance and their parts.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliaspar_core::{InstanceName, ZoneName};

use crate::Secret;

/// The checked settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The availability zone in which the instance runs.
    pub zone: ZoneName,
    /// The listen address for requests of callers.
    pub callers: SocketAddr,
    /// The listen address for other instances.
    pub peers: SocketAddr,
    /// The listen address for operators, metrics, health and readiness.
    pub operators: SocketAddr,
    /// The addresses of other instances, for joining while the platform's list is unavailable.
    pub seeds: Box<[SocketAddr]>,
    /// The addresses of the platform's services.
    pub platform: PlatformSettings,
    /// The keys that authenticate instances to each other.
    pub peer_keys: PeerKeys,
    /// The keys of the operators.
    pub operator_keys: Box<[OperatorKey]>,
    /// The settings of the log.
    pub log: LogSettings,
    /// Maximum duration of a drain; requests that remain are then reported and aborted.
    pub drain_limit: Duration,
}

/// The addresses of the platform's services.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The address of the table service.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the weight store.
    pub weights: SocketAddr,
    /// The address of the instance list.
    pub instances: SocketAddr,
}

/// The keys that authenticate instances to each other; two are valid during a key rotation.
#[derive(Debug, Clone)]
pub struct PeerKeys {
    /// The key that the instance sends and accepts.
    pub current: Secret,
    /// A second key that the instance accepts.
    pub other: Option<Secret>,
}

impl PeerKeys {
    /// Returns true if `key` is one of the valid keys.
    pub fn accepts(&self, key: &str) -> bool {
        self.current.matches(key) || self.other.as_ref().is_some_and(|other| other.matches(key))
    }
}

/// The key of an operator.
#[derive(Debug, Clone)]
pub struct OperatorKey {
    /// The name under which the operator's commands are recorded.
    pub name: Box<str>,
    /// The key.
    pub key: Secret,
    /// The rights of the operator.
    pub rights: OperatorRights,
}

/// The rights of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRights {
    /// The operator may run queries.
    Read,
    /// The operator may run queries and commands.
    Command,
}

/// The settings of the log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// The level and filter, such as `info` or `info, magnoliaspar_serve=debug`.
    pub filter: Box<str>,
}
