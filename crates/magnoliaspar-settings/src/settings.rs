use std::net::SocketAddr;
use std::time::Duration;

use magnoliaspar_core::{InstanceName, ZoneName};

use crate::Secret;

/// The settings of one instance, checked.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The availability zone in which the instance runs.
    pub zone: ZoneName,
    /// The address on which callers' requests are taken.
    pub callers: SocketAddr,
    /// The address on which other instances connect.
    pub peers: SocketAddr,
    /// The address for operators, metrics, health and readiness.
    pub operators: SocketAddr,
    /// The addresses of other instances, for joining while the platform's list is out of reach.
    pub seeds: Box<[SocketAddr]>,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// The keys of the links between instances.
    pub peer_keys: PeerKeys,
    /// The keys of the operators.
    pub operator_keys: Box<[OperatorKey]>,
    /// How logs are written.
    pub log: LogSettings,
    /// How long a drain may take before what is left is reported and cut.
    pub drain_limit: Duration,
}

/// Where the platform's services are.
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

/// The keys of the links between instances; two are valid while keys are rotated.
#[derive(Debug, Clone)]
pub struct PeerKeys {
    /// The key that the instance shows and accepts.
    pub current: Secret,
    /// Another key that the instance accepts.
    pub other: Option<Secret>,
}

impl PeerKeys {
    /// Whether `key` is one of the valid keys.
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
    /// What the operator may do.
    pub rights: OperatorRights,
}

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRights {
    /// The operator may ask queries.
    Read,
    /// The operator may ask queries and give commands.
    Command,
}

/// How logs are written.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// The level and filter, such as `info` or `info, magnoliaspar_serve=debug`.
    pub filter: Box<str>,
}
