//! Pool of idle connections to backend servers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::ServerKey;

use crate::exchange::Connection;

/// Maximum number of idle connections of one instance per server.
pub const MAX_IDLE: usize = 24;

/// Margin before the server's idle timeout at which a connection is closed, so that no request
/// crosses the server's close.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// Idle timeout for a server that does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle connections by server, the most recently used last.
#[derive(Debug, Default)]
pub struct Pool(BTreeMap<ServerKey, Vec<Connection>>);

impl Pool {
    /// Takes the most recently used connection that is usable.
    pub fn take(&mut self, server: ServerKey, now: Instant) -> Option<Connection> {
        let idle = self.0.get_mut(&server)?;
        while let Some(connection) = idle.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Takes the usable connection that was opened first.
    pub fn take_oldest(&mut self, server: ServerKey, now: Instant) -> Option<Connection> {
        let idle = self.0.get_mut(&server)?;
        idle.retain(|connection| connection.is_usable(now));
        let ages = idle.iter().enumerate();
        let (oldest, _) = ages.min_by_key(|(_, connection)| connection.opened_at())?;
        Some(idle.swap_remove(oldest))
    }

    /// Adds a connection, to be kept until shortly before the server's idle timeout; it is closed if
    /// there are `max_idle` already.
    pub fn put(
        &mut self,
        server: ServerKey,
        mut connection: Connection,
        now: Instant,
        idle_timeout: Option<Duration>,
        max_idle: usize,
    ) {
        let lifetime = match idle_timeout {
            Some(timeout) => timeout.saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        if lifetime.is_zero() {
            return;
        }
        connection.set_idle_until(Some(now + lifetime));
        self.add(server, connection, max_idle);
    }

    /// Adds a connection that was taken or opened and not used.
    pub fn put_back(
        &mut self,
        server: ServerKey,
        connection: Connection,
        now: Instant,
        max_idle: usize,
    ) {
        match connection.idle_until() {
            Some(_) => self.add(server, connection, max_idle),
            None => self.put(server, connection, now, None, max_idle),
        }
    }

    fn add(&mut self, server: ServerKey, connection: Connection, max_idle: usize) {
        let idle = self.0.entry(server).or_default();
        if idle.len() < max_idle {
            idle.push(connection);
        }
    }

    /// Closes the idle connections to a server.
    pub fn drop_server(&mut self, server: ServerKey) {
        self.0.remove(&server);
    }

    /// Closes unusable connections, and those to unknown servers.
    pub fn sweep(&mut self, now: Instant, is_known: impl Fn(ServerKey) -> bool) {
        self.0.retain(|server, idle| {
            idle.retain(|connection| connection.is_usable(now));
            !idle.is_empty() && is_known(*server)
        });
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::ServerKey;
    use tokio::net::TcpListener;

    use super::{MAX_IDLE, Pool};
    use crate::exchange::Connection;

    #[actix_rt::test]
    async fn a_connection_that_was_not_used_is_kept_no_longer_than_its_server_keeps_it() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connection = Connection::open(address, Duration::from_secs(1)).await.unwrap();
        let (server, now) = (ServerKey::default(), Instant::now());
        let at = |ms| now + Duration::from_millis(ms);
        let mut pool = Pool::default();
        pool.put(server, connection, now, Some(Duration::from_secs(1)), MAX_IDLE);
        let unused = pool.take(server, at(500)).unwrap();
        pool.put_back(server, unused, at(500), MAX_IDLE);
        assert!(pool.take(server, at(1_000)).is_none());
    }
}
