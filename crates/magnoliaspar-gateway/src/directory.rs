//! The backend servers that this instance knows, and what it has learned of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use magnoliaspar_core::ServerKey;
use magnoliaspar_retry::Backoff;
use slotmap::SlotMap;

use crate::route::ServiceName;

/// How long a server that failed is avoided; it doubles with each failure in a row.
const AVOIDANCE_BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(250), longest: Duration::from_secs(2) };

/// How long a server that refused a request for want of room is passed over.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// How much a new measurement counts for the latency of a server.
const LATENCY_SMOOTHING: f64 = 0.3;

/// How long after an answer a server is not taken as gone because another one is late.
const RECENT_ANSWER: Duration = Duration::from_millis(500);

/// How long a measured latency says something about a server; bursts last some seconds.
const LATENCY_MAX_AGE: Duration = Duration::from_millis(1_500);

/// How many processes that have left are remembered; some hundred leave on a busy day.
const MAX_DEPARTED: usize = 1_000;

/// How a server describes itself in the list of servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRecord {
    /// The identifier, which a server may keep over a restart.
    pub id: Box<str>,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Whether it takes no new requests since it will stop.
    pub is_draining: bool,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Which part of a completion it runs; none for a plain server.
    pub role: Option<EngineRole>,
    /// When the process started, as it says, in milliseconds of Unix time.
    pub started_ms: u64,
}

/// Which part of a completion an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineRole {
    /// The engine reads prompts and hands the KV cache over.
    Prefill,
    /// The engine produces tokens, and can read a prompt itself at a lower speed.
    Decode,
}

/// All known servers.
#[derive(Debug, Default)]
pub struct Directory {
    servers: SlotMap<ServerKey, Server>,
    by_id: BTreeMap<Box<str>, ServerKey>,
    /// Processes that said that they leave and whose entries are gone, by identifier and start.
    departed: BTreeMap<Box<str>, u64>,
}

/// A server and what was learned of it.
#[derive(Debug)]
pub struct Server {
    /// What the server says of itself.
    pub record: ServerRecord,
    /// Requests of this instance that it runs.
    pub in_flight: u32,
    /// Until when it changes its role, and to which.
    pub changing: Option<(EngineRole, Instant)>,
    /// Whether no connection could be opened lately; a probe finds out when one can.
    pub is_unreachable: bool,
    latency: Option<(Duration, Instant)>,
    answered_at: Option<Instant>,
    consecutive_failures: u32,
    avoided_until: Option<Instant>,
    full_until: Option<Instant>,
}

impl Server {
    /// Whether recent calls failed, so that others are to be preferred.
    pub fn is_avoided(&self, now: Instant) -> bool {
        let is_after = |until: Option<Instant>| until.is_some_and(|until| now < until);
        is_after(self.avoided_until) || is_after(self.full_until)
    }
}

impl Server {
    /// Whether it has answered another call a moment ago, so that a late answer shows load only.
    pub fn has_answered_recently(&self, now: Instant) -> bool {
        self.answered_at.is_some_and(|at| now.saturating_duration_since(at) < RECENT_ANSWER)
    }

    /// Whether it is out of use while it changes its role.
    pub fn is_changing(&self, now: Instant) -> bool {
        let Some((role, until)) = self.changing else { return false };
        now < until && self.record.role != Some(role)
    }

    /// Returns how long its answers took lately, if there were any.
    pub fn latency(&self, now: Instant) -> Option<Duration> {
        let (latency, at) = self.latency?;
        (now.saturating_duration_since(at) < LATENCY_MAX_AGE).then_some(latency)
    }
}

/// What a new record of a server changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordChange {
    /// The server was not known.
    Added,
    /// Another process runs under the identifier, or at another address.
    Restarted,
    /// The server takes no new requests from now on.
    Draining,
    /// Nothing that matters for routing.
    Updated,
}

impl Directory {
    /// Takes in the newest record of a server.
    ///
    /// A process that has said that it leaves never comes back; an entry that says so is an old one.
    pub fn put(&mut self, mut record: ServerRecord) -> RecordChange {
        record.is_draining |= self.departed.get(&record.id) == Some(&record.started_ms);
        let Some(key) = self.by_id.get(&record.id).copied() else {
            self.insert(record);
            return RecordChange::Added;
        };
        let server = &mut self.servers[key];
        let old = &server.record;
        if old.started_ms != record.started_ms || old.address != record.address {
            // Requests of the former process release a key that no longer exists.
            self.servers.remove(key);
            self.insert(record);
            return RecordChange::Restarted;
        }
        let is_leaving = record.is_draining && !old.is_draining;
        record.is_draining |= old.is_draining;
        server.record = record;
        if is_leaving { RecordChange::Draining } else { RecordChange::Updated }
    }

    fn insert(&mut self, record: ServerRecord) {
        let id = record.id.clone();
        let key = self.servers.insert(Server {
            record,
            in_flight: 0,
            changing: None,
            is_unreachable: false,
            latency: None,
            answered_at: None,
            consecutive_failures: 0,
            avoided_until: None,
            full_until: None,
        });
        self.by_id.insert(id, key);
    }

    /// Forgets a server; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(key) = self.by_id.remove(id) else { return false };
        let Some(server) = self.servers.remove(key) else { return false };
        if server.record.is_draining {
            self.departed.insert(id.into(), server.record.started_ms);
        }
        while self.departed.len() > MAX_DEPARTED {
            self.departed.pop_first();
        }
        true
    }

    /// Returns a server unless it is gone or was restarted.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns a server for a change, unless it is gone or was restarted.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Returns the key of the server with an identifier.
    pub fn key(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the server with an identifier.
    pub fn find(&self, id: &str) -> Option<&Server> {
        self.servers.get(*self.by_id.get(id)?)
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the identifiers of all servers.
    pub fn ids(&self) -> Vec<Box<str>> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Takes in that a call to a server came to a proper answer.
    pub fn record_success(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.answered_at = Some(now);
        server.consecutive_failures = 0;
        server.avoided_until = None;
        server.full_until = None;
    }

    /// Takes in how long an answer of a server took.
    pub fn record_latency(&mut self, key: ServerKey, latency: Duration, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let previous = server.latency(now).unwrap_or(latency);
        let smoothed =
            previous.mul_f64(1.0 - LATENCY_SMOOTHING) + latency.mul_f64(LATENCY_SMOOTHING);
        server.latency = Some((smoothed, now));
    }

    /// Takes in that a call to a server failed; returns how long the server is avoided.
    pub fn record_failure(&mut self, key: ServerKey, now: Instant) -> Option<Duration> {
        let server = self.servers.get_mut(key)?;
        // Calls that were under way together fail together, which is one failure.
        if let Some(until) = server.avoided_until
            && now < until
        {
            return Some(until - now);
        }
        let avoidance = AVOIDANCE_BACKOFF.ceiling(server.consecutive_failures);
        server.consecutive_failures += 1;
        server.avoided_until = Some(now + avoidance);
        Some(avoidance)
    }

    /// Takes in that a server had no room for a request.
    pub fn record_full(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.full_until = Some(now + FULL_BACKOFF);
    }
}
