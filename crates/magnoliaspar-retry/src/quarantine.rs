//! Quarantine of requests that crash servers.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use magnoliaspar_core::{RouteName, ServerName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Length of the text form of a fingerprint.
const FINGERPRINT_HEX_DIGITS: usize = 16;

/// Detects requests that crash the servers that run them, and refuses these requests.
///
/// All requests in flight on a server that crashes become suspects, which run isolated. A suspect
/// that finishes is cleared. A suspect that was the only request on a server at another crash is
/// refused, on all instances that receive the delta.
#[derive(Debug, Clone)]
pub struct Quarantine {
    cfg: QuarantineConfig,
    entries: BTreeMap<Fingerprint, Entry>,
    in_flight: BTreeMap<ServerName, BTreeMap<Fingerprint, InFlight>>,
    /// Fingerprints with changes that were not sent to other instances yet.
    unsent: BTreeSet<Fingerprint>,
}

/// Quarantine state of a fingerprint.
///
/// Its logical clocks only grow, so that instances converge in whatever order deltas arrive.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Hybrid logical clock of the last crash at which it was in flight.
    suspected_at: u64,
    /// Hybrid logical clock of the last crash that it caused, or of a refusal by an operator.
    refused_at: u64,
    /// Hybrid logical clock at which it was last cleared or released.
    cleared_at: u64,
    /// Time of the last crash, release or delta, from which the expiry counts.
    updated_at: Instant,
}

/// Requests with one fingerprint that are in flight on a server.
#[derive(Debug, Clone, Copy, Default)]
struct InFlight {
    count: u32,
    /// True if all of them run isolated.
    is_isolated: bool,
}

impl Quarantine {
    /// Creates a quarantine without entries.
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self { cfg, entries: BTreeMap::new(), in_flight: BTreeMap::new(), unsent: BTreeSet::new() }
    }

    /// Returns whether a request may run, and if so, whether isolated.
    pub fn admit(&mut self, now: Instant, fingerprint: Fingerprint) -> Admission {
        self.expire(now);
        match self.entries.get(&fingerprint).map_or(0, Entry::crashes) {
            0 => Admission::Free,
            1 => Admission::Isolated,
            _ => Admission::Refused,
        }
    }

    /// Records the start of a request; `is_isolated` means that nothing else runs on the server.
    pub fn started(&mut self, server: &ServerName, fingerprint: Fingerprint, is_isolated: bool) {
        let on_server = self.in_flight.entry(server.clone()).or_default();
        let fresh = InFlight { count: 0, is_isolated: true };
        let in_flight = on_server.entry(fingerprint).or_insert(fresh);
        in_flight.count += 1;
        in_flight.is_isolated &= is_isolated;
    }

    /// Records that a request left a server without a complete answer and without a crash.
    pub fn stopped(&mut self, server: &ServerName, fingerprint: Fingerprint) {
        let Some(on_server) = self.in_flight.get_mut(server) else { return };
        let Some(in_flight) = on_server.get_mut(&fingerprint) else { return };
        in_flight.count -= 1;
        if in_flight.count == 0 {
            on_server.remove(&fingerprint);
        }
        if on_server.is_empty() {
            self.in_flight.remove(server);
        }
    }

    /// Records that a request has its complete answer, which clears its fingerprint.
    pub fn finished(
        &mut self,
        now: Instant,
        hlc: u64,
        server: &ServerName,
        fingerprint: Fingerprint,
    ) {
        self.stopped(server, fingerprint);
        if self.entries.get(&fingerprint).is_some_and(|entry| entry.crashes() > 0) {
            self.release(now, hlc, fingerprint);
        }
    }

    /// Records the crash of a server and returns the fingerprints that were in flight on it.
    pub fn crashed(&mut self, now: Instant, hlc: u64, server: &ServerName) -> Vec<Fingerprint> {
        let on_server = self.in_flight.remove(server).unwrap_or_default();
        let is_alone = on_server.len() == 1;
        let mut suspects = Vec::new();
        for (fingerprint, in_flight) in on_server {
            let entry = self.entry(now, fingerprint);
            let is_cause = entry.crashes() > 0 && in_flight.is_isolated && is_alone;
            entry.suspected_at = entry.suspected_at.max(hlc);
            if is_cause {
                entry.refused_at = entry.refused_at.max(hlc);
            }
            self.unsent.insert(fingerprint);
            suspects.push(fingerprint);
        }
        self.evict();
        suspects
    }

    /// Refuses a fingerprint at an operator's command.
    pub fn refuse(&mut self, now: Instant, hlc: u64, fingerprint: Fingerprint) {
        let entry = self.entry(now, fingerprint);
        entry.suspected_at = entry.suspected_at.max(hlc);
        entry.refused_at = entry.refused_at.max(hlc);
        self.unsent.insert(fingerprint);
        self.evict();
    }

    /// Clears a fingerprint, at an operator's command or because one of its requests finished.
    pub fn release(&mut self, now: Instant, hlc: u64, fingerprint: Fingerprint) {
        let entry = self.entry(now, fingerprint);
        entry.cleared_at = entry.cleared_at.max(hlc);
        self.unsent.insert(fingerprint);
        self.evict();
    }

    /// Merges the state of another instance; changes are passed on to further instances.
    pub fn merge(&mut self, now: Instant, delta: &QuarantineDelta) {
        let entry = self.entry(now, delta.fingerprint);
        let before = entry.clocks();
        if delta.released {
            entry.cleared_at = entry.cleared_at.max(delta.hlc);
        }
        if !delta.released && delta.crashes >= 1 {
            entry.suspected_at = entry.suspected_at.max(delta.hlc);
        }
        if !delta.released && delta.crashes >= 2 {
            entry.refused_at = entry.refused_at.max(delta.hlc);
        }
        if entry.clocks() != before {
            self.unsent.insert(delta.fingerprint);
        }
        self.evict();
    }

    /// Takes up to `limit` unsent changes for other instances, those with the most crashes first.
    pub fn take_deltas(&mut self, limit: usize) -> Vec<QuarantineDelta> {
        let mut deltas = Vec::new();
        for fingerprint in &self.unsent {
            let Some(entry) = self.entries.get(fingerprint) else { continue };
            deltas.push(entry.to_delta(*fingerprint));
        }
        deltas.sort_by_key(|delta| std::cmp::Reverse(delta.crashes));
        let remaining = deltas.split_off(deltas.len().min(limit));
        self.unsent = remaining.iter().map(|delta| delta.fingerprint).collect();
        deltas
    }

    /// Returns all entries, for an instance that joins.
    pub fn snapshot(&self) -> Vec<QuarantineDelta> {
        let mut deltas = Vec::new();
        for (fingerprint, entry) in &self.entries {
            deltas.push(entry.to_delta(*fingerprint));
        }
        deltas
    }

    /// Lists the suspect and the refused fingerprints.
    pub fn entries(&self) -> Vec<QuarantineEntry> {
        let mut entries = Vec::new();
        for (fingerprint, entry) in &self.entries {
            let admission = match entry.crashes() {
                0 => continue,
                1 => Admission::Isolated,
                _ => Admission::Refused,
            };
            entries.push(QuarantineEntry { fingerprint: *fingerprint, admission });
        }
        entries
    }

    fn entry(&mut self, now: Instant, fingerprint: Fingerprint) -> &mut Entry {
        let fresh = Entry { suspected_at: 0, refused_at: 0, cleared_at: 0, updated_at: now };
        let entry = self.entries.entry(fingerprint).or_insert(fresh);
        entry.updated_at = now;
        entry
    }

    fn expire(&mut self, now: Instant) {
        let ttl = self.cfg.ttl;
        self.entries.retain(|_, entry| now.saturating_duration_since(entry.updated_at) < ttl);
    }

    /// Evicts entries above the limit: cleared ones first, then suspect and refused ones, and the
    /// oldest first among those of one kind.
    fn evict(&mut self) {
        while self.entries.len() > self.cfg.max_entries {
            let rank = |entry: &Entry| (entry.crashes(), entry.updated_at);
            let Some((evicted, _)) = self.entries.iter().min_by_key(|(_, entry)| rank(entry))
            else {
                return;
            };
            let evicted = *evicted;
            self.entries.remove(&evicted);
        }
    }
}

impl Entry {
    /// Returns the crashes attributed to the fingerprint since it was cleared; at most 2.
    fn crashes(&self) -> u32 {
        u32::from(self.suspected_at > self.cleared_at)
            + u32::from(self.refused_at > self.cleared_at)
    }

    fn clocks(&self) -> (u64, u64, u64) {
        (self.suspected_at, self.refused_at, self.cleared_at)
    }

    fn to_delta(self, fingerprint: Fingerprint) -> QuarantineDelta {
        let crashes = self.crashes();
        let hlc = match crashes {
            0 => self.cleared_at,
            1 => self.suspected_at,
            _ => self.refused_at,
        };
        QuarantineDelta { fingerprint, crashes, hlc, released: crashes == 0 }
    }
}

/// Permission of a request to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// It may share a server with other requests.
    Free,
    /// It may run only on a server that runs nothing else.
    Isolated,
    /// It may not run.
    Refused,
}

/// Hash of a request's route and content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(route: &RouteName, content: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(route.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(content);
        Self(hasher.digest())
    }
}

impl Fingerprint {
    /// Parses the text form: 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != FINGERPRINT_HEX_DIGITS {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// State of one fingerprint, as instances send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineDelta {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Crashes attributed to it: 1 makes it a suspect, 2 make it refused.
    pub crashes: u32,
    /// Hybrid logical clock of the last crash attributed to it, or of the release.
    pub hlc: u64,
    /// True if it was cleared or released.
    pub released: bool,
}

/// A suspect or refused fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Permission of its requests to run.
    pub admission: Admission,
}

/// Capacity and expiry of a [`Quarantine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// Maximum number of fingerprints.
    pub max_entries: usize,
    /// Time without a crash, release or delta after which a fingerprint is removed.
    pub ttl: Duration,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self { max_entries: 4096, ttl: Duration::from_secs(24 * 60 * 60) }
    }
}
