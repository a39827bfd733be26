use std::fmt;
use std::net::SocketAddr;

use magnoliaspar_core::{InstanceName, ModelName, PoolName, ServerName, ZoneName};
use magnoliaspar_declaration::EntityId;

use crate::Literal;
use crate::lexeme::Quoted;

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Command {
    /// The change.
    pub kind: CommandKind,
    /// The version that the operator saw; the command loses if there is a newer one.
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
    /// Gives no new work to a server or instance, and lets its work end.
    Drain(DrainTarget),
    /// Withdraws a drain.
    Undrain(DrainTarget),
    /// Adds a backend server.
    AddServer {
        /// The name of the server.
        server: ServerName,
        /// The pool that it joins.
        pool: PoolName,
        /// The availability zone in which it runs.
        zone: ZoneName,
        /// The address on which it takes work.
        address: SocketAddr,
    },
    /// Changes fields of a declared thing or of a server.
    Change {
        /// The thing.
        target: EntityRef,
        /// The fields with their new values.
        assignments: Vec<Assignment>,
    },
    /// Refuses all requests with a fingerprint.
    Quarantine {
        /// The fingerprint.
        fingerprint: Box<str>,
    },
    /// Lets requests with a fingerprint run again.
    Release {
        /// The fingerprint.
        fingerprint: Box<str>,
    },
    /// Orders engines to load a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version of the model.
        version: Box<str>,
        /// The adapters.
        adapters: Vec<Box<str>>,
        /// The size of the weights in bytes, if it is given.
        weight_bytes: Option<u64>,
        /// The engines.
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
                    let lead = if index == 0 { " adapters" } else { "," };
                    write!(f, "{lead} {}", Quoted::name(adapter))?;
                }
                if let Some(bytes) = weight_bytes {
                    write!(f, " size {bytes}")?;
                }
                write!(f, " on {target}")
            }
        }
    }
}

/// What is drained.
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

/// What is changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntityRef {
    /// A declared thing.
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

/// Which engines load a model.
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

/// A field with its new value.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// The names that lead to the field, from the outermost on.
    pub path: Box<[Box<str>]>,
    /// The new value.
    pub value: Literal,
}

impl fmt::Display for Assignment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}", self.path.join("."), self.value)
    }
}
