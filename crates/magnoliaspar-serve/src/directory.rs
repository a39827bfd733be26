//! The backend servers that this instance knows.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use magnoliaspar_core::{Incarnation, PoolName, ServerName};
use magnoliaspar_store::ServerRole;

/// The known backend servers of the availability zone.
#[derive(Debug, Default)]
pub struct Directory {
    servers: RefCell<BTreeMap<ServerName, KnownServer>>,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownServer {
    /// The name.
    pub name: ServerName,
    /// The address.
    pub address: SocketAddr,
    /// The pool.
    pub pool: PoolName,
    /// The role.
    pub role: ServerRole,
    /// The incarnation of the server.
    pub incarnation: Incarnation,
    /// True if the server may get new work.
    pub is_live: bool,
}

impl Directory {
    /// Replaces all servers.
    pub fn replace(&self, servers: BTreeMap<ServerName, KnownServer>) {
        *self.servers.borrow_mut() = servers;
    }

    /// Returns a server by its name.
    pub fn find(&self, name: &ServerName) -> Option<KnownServer> {
        self.servers.borrow().get(name).cloned()
    }

    /// Returns a server by its address.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<KnownServer> {
        self.servers.borrow().values().find(|server| server.address == address).cloned()
    }

    /// Returns the live servers of a pool.
    pub fn live_servers(&self, pool: &PoolName) -> Vec<KnownServer> {
        let mut live = Vec::new();
        for server in self.servers.borrow().values() {
            if server.is_live && server.pool == *pool {
                live.push(server.clone());
            }
        }
        live
    }

    /// Returns the number of servers of a pool, including those that may not get new work.
    pub fn server_count(&self, pool: &PoolName) -> usize {
        self.servers.borrow().values().filter(|server| server.pool == *pool).count()
    }

    /// Returns all servers.
    pub fn all(&self) -> Vec<KnownServer> {
        self.servers.borrow().values().cloned().collect()
    }
}

#[cfg(test)]
impl KnownServer {
    /// Returns a live server of the pool `p`.
    pub fn for_test(name: &str) -> Self {
        Self {
            name: ServerName::try_from(name).unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            pool: PoolName::try_from("p").unwrap(),
            role: ServerRole::Service,
            incarnation: Incarnation(1),
            is_live: true,
        }
    }
}
