//! Idle connections to backend servers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::ServerKey;

use crate::exchange::Connection;

/// The most idle connections that are kept to one server.
const MAX_IDLE: usize = 24;

/// How long before the server's own timeout an idle connection is given up, so that no request
/// crosses the close.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// How long a connection is kept to a server that states no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle connections by server, the last one that was used at the end.
#[derive(Debug, Default)]
pub struct Pool(BTreeMap<ServerKey, Vec<Connection>>);

impl Pool {
    /// Takes the connection that was used last, if there is one that can be used.
    pub fn take(&mut self, server: ServerKey, now: Instant) -> Option<Connection> {
        let idle = self.0.get_mut(&server)?;
        while let Some(connection) = idle.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for as long as the server says that it does.
    pub fn put(
        &mut self,
        server: ServerKey,
        mut connection: Connection,
        now: Instant,
        idle_timeout: Option<Duration>,
    ) {
        let lifetime = match idle_timeout {
            Some(timeout) => timeout.saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        if lifetime.is_zero() {
            return;
        }
        connection.set_idle_until(Some(now + lifetime));
        let idle = self.0.entry(server).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Closes the idle connections to a server.
    pub fn drop_server(&mut self, server: ServerKey) {
        self.0.remove(&server);
    }

    /// Closes connections that cannot be used any more, and those to unknown servers.
    pub fn sweep(&mut self, now: Instant, is_known: impl Fn(ServerKey) -> bool) {
        self.0.retain(|server, idle| {
            idle.retain(|connection| connection.is_usable(now));
            !idle.is_empty() && is_known(*server)
        });
    }
}
