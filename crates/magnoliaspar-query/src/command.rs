//! The commands of the language and their text form.

use std::fmt;
use std::net::SocketAddr;

use magnoliaspar_core::{InstanceName, ModelName, PoolName, ServerName, ZoneName};
use magnoliaspar_declaration::EntityId;

use crate::Literal;
use crate::lexeme::Quoted;

/// A change requested by an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct Command {
    /// The change.
    pub kind: CommandKind,
    /// The version that the operator expects to be in force; a newer one rejects the command.
    pub expected_version: Option<u64>,
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.kind)?;
        if let Some(version) = self.expected_version {
            write!(f, " if version {version}")?;
        }
        Ok(())
    }
}

/// The kinds of changes.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandKind {
    /// Stops sending new requests to a server or instance and lets those in flight finish.
    Drain(DrainTarget),
    /// Cancels a drain.
    Undrain(DrainTarget),
    /// Adds a backend server.
    AddServer {
        /// The name of the server.
        server: ServerName,
        /// The pool that it joins.
        pool: PoolName,
        /// The availability zone in which it runs.
        zone: ZoneName,
        /// The address at which it accepts requests.
        address: SocketAddr,
    },
    /// Changes fields of a declared entity or of a server.
    Change {
        /// The entity or server.
        target: EntityRef,
        /// The fields and their new values.
        assignments: Vec<Assignment>,
    },
    /// Rejects all requests with this fingerprint.
    Quarantine {
        /// The fingerprint.
        fingerprint: Box<str>,
    },
    /// Accepts requests with this fingerprint again.
    Release {
        /// The fingerprint.
        fingerprint: Box<str>,
    },
    /// Instructs engines to load a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version of the model.
        version: Box<str>,
        /// The adapters to load with the model.
        adapters: Vec<Box<str>>,
        /// The size of the weights in bytes, if given.
        weight_bytes: Option<u64>,
        /// The engines that load the model.
        target: LoadTarget,
    },
}

impl fmt::Display for CommandKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Drain(target) => write!(f, "drain {target}"),
            Self::Undrain(target) => write!(f, "undrain {target}"),
            Self::AddServer { server, pool, zone, address } => {
                write!(f, "add server {}", Quoted::name(server.as_str()))?;
                write!(f, " to pool {}", Quoted::name(pool.as_str()))?;
                write!(f, " in zone {}", Quoted::name(zone.as_str()))?;
                write!(f, " at {}", Quoted::text(&address.to_string()))
            }
            Self::Change { target, assignments } => {
                write!(f, "change {target} set ")?;
                for (index, assignment) in assignments.iter().enumerate() {
                    if index > 0 {
                        f.write_str(", ")?;
                    }
                    write!(f, "{assignment}")?;
                }
                Ok(())
            }
            Self::Quarantine { fingerprint } => {
                write!(f, "quarantine {}", Quoted::name(fingerprint))
            }
            Self::Release { fingerprint } => write!(f, "release {}", Quoted::name(fingerprint)),
            Self::LoadModel { model, version, adapters, weight_bytes, target } => {
                write!(f, "load model {}", Quoted::name(model.as_str()))?;
                write!(f, " version {}", Quoted::name(version))?;
                for (index, adapter) in adapters.iter().enumerate() {
                    let separator = if index == 0 { " adapters" } else { "," };
                    write!(f, "{separator} {}", Quoted::name(adapter))?;
                }
                if let Some(bytes) = weight_bytes {
                    write!(f, " size {bytes}")?;
                }
                write!(f, " on {target}")
            }
        }
    }
}

/// The target of a drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainTarget {
    /// A backend server.
    Server(ServerName),
    /// An instance.
    Instance(InstanceName),
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server(name) => write!(f, "server {}", Quoted::name(name.as_str())),
            Self::Instance(name) => write!(f, "instance {}", Quoted::name(name.as_str())),
        }
    }
}

/// The target of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntityRef {
    /// A declared entity.
    Declared(EntityId),
    /// A backend server.
    Server(ServerName),
}

impl fmt::Display for EntityRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Declared(id) => {
                let group = id.kind().map_or("", |kind| kind.group());
                let word = group.strip_suffix('s').unwrap_or(group);
                write!(f, "{word} {}", Quoted::name(id.name()))
            }
            Self::Server(name) => write!(f, "server {}", Quoted::name(name.as_str())),
        }
    }
}

/// The engines that load a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadTarget {
    /// One engine.
    Server(ServerName),
    /// All engines of a pool.
    Pool(PoolName),
}

impl fmt::Display for LoadTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server(name) => write!(f, "server {}", Quoted::name(name.as_str())),
            Self::Pool(name) => write!(f, "pool {}", Quoted::name(name.as_str())),
        }
    }
}

/// A field and its new value.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// The path of field names that leads to the field, outermost first.
    pub path: Box<[Box<str>]>,
    /// The new value.
    pub value: Literal,
}

impl fmt::Display for Assignment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}", self.path.join("."), self.value)
    }
}
