use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use magnoliaspar_core::{RouteName, ServerName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// The length of a fingerprint as it is written.
const FINGERPRINT_DIGITS: usize = 16;

/// Finds requests that crash the servers that run them, and keeps them out.
///
/// All requests in flight at a crash become suspects and run apart from others. One that finishes is
/// cleared; one that runs apart at another crash is refused, on all instances that hear of it.
#[derive(Debug, Clone)]
pub struct Quarantine {
    cfg: QuarantineConfig,
    entries: BTreeMap<Fingerprint, Entry>,
    in_flight: BTreeMap<ServerName, BTreeMap<Fingerprint, InFlight>>,
    changed: BTreeSet<Fingerprint>,
}

/// What is known of a fingerprint; each part only grows, so that instances agree in any order.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// The hybrid logical clock of the last crash that made it a suspect.
    suspected: u64,
    /// The hybrid logical clock of the last crash that convicted it.
    convicted: u64,
    /// The hybrid logical clock of the last time that it was cleared or released.
    cleared: u64,
    touched_at: Instant,
}

#[derive(Debug, Clone, Copy, Default)]
struct InFlight {
    count: u32,
    /// Whether all of them run apart.
    is_apart: bool,
}

impl Quarantine {
    /// Creates a quarantine that knows no fingerprint.
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self { cfg, entries: BTreeMap::new(), in_flight: BTreeMap::new(), changed: BTreeSet::new() }
    }

    /// Decides how a request may run.
    pub fn admit(&mut self, now: Instant, fingerprint: Fingerprint) -> Admission {
        self.expire(now);
        match self.entries.get(&fingerprint).map_or(0, Entry::crashes) {
            0 => Admission::Free,
            1 => Admission::Apart,
            _ => Admission::Refused,
        }
    }

    /// Takes in that a request starts on a server; `is_apart` means that nothing else runs there.
    pub fn started(&mut self, server: &ServerName, fingerprint: Fingerprint, is_apart: bool) {
        let on_server = self.in_flight.entry(server.clone()).or_default();
        let fresh = InFlight { count: 0, is_apart: true };
        let in_flight = on_server.entry(fingerprint).or_insert(fresh);
        in_flight.count += 1;
        in_flight.is_apart &= is_apart;
    }

    /// Takes in that a request has left a server without a whole answer, by no crash.
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

    /// Takes in that a request has its whole answer, which clears it.
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

    /// Takes in that a server crashed, and returns the requests that were in flight on it.
    pub fn crashed(&mut self, now: Instant, hlc: u64, server: &ServerName) -> Vec<Fingerprint> {
        let on_server = self.in_flight.remove(server).unwrap_or_default();
        let is_alone = on_server.len() == 1;
        let mut suspects = Vec::new();
        for (fingerprint, in_flight) in on_server {
            let entry = self.entry(now, fingerprint);
            let is_proof = entry.crashes() > 0 && in_flight.is_apart && is_alone;
            entry.suspected = entry.suspected.max(hlc);
            if is_proof {
                entry.convicted = entry.convicted.max(hlc);
            }
            self.changed.insert(fingerprint);
            suspects.push(fingerprint);
        }
        self.evict();
        suspects
    }

    /// Refuses a fingerprint on an operator's command.
    pub fn refuse(&mut self, now: Instant, hlc: u64, fingerprint: Fingerprint) {
        let entry = self.entry(now, fingerprint);
        entry.suspected = entry.suspected.max(hlc);
        entry.convicted = entry.convicted.max(hlc);
        self.changed.insert(fingerprint);
        self.evict();
    }

    /// Clears a fingerprint, on an operator's command or since it finished.
    pub fn release(&mut self, now: Instant, hlc: u64, fingerprint: Fingerprint) {
        let entry = self.entry(now, fingerprint);
        entry.cleared = entry.cleared.max(hlc);
        self.changed.insert(fingerprint);
        self.evict();
    }

    /// Takes in what another instance knows; what is news is passed on.
    pub fn merge(&mut self, now: Instant, delta: &QuarantineDelta) {
        let entry = self.entry(now, delta.fingerprint);
        let before = entry.marks();
        if delta.released {
            entry.cleared = entry.cleared.max(delta.hlc);
        }
        if !delta.released && delta.crashes >= 1 {
            entry.suspected = entry.suspected.max(delta.hlc);
        }
        if !delta.released && delta.crashes >= 2 {
            entry.convicted = entry.convicted.max(delta.hlc);
        }
        if entry.marks() != before {
            self.changed.insert(delta.fingerprint);
        }
        self.evict();
    }

    /// Takes up to `limit` changes for the other instances, those with the most crashes first.
    pub fn take_deltas(&mut self, limit: usize) -> Vec<QuarantineDelta> {
        let mut deltas = Vec::new();
        for fingerprint in &self.changed {
            let Some(entry) = self.entries.get(fingerprint) else { continue };
            deltas.push(entry.to_delta(*fingerprint));
        }
        deltas.sort_by_key(|delta| std::cmp::Reverse(delta.crashes));
        let later = deltas.split_off(deltas.len().min(limit));
        self.changed = later.iter().map(|delta| delta.fingerprint).collect();
        deltas
    }

    /// Returns all that is known, for an instance that joins.
    pub fn snapshot(&self) -> Vec<QuarantineDelta> {
        let mut deltas = Vec::new();
        for (fingerprint, entry) in &self.entries {
            deltas.push(entry.to_delta(*fingerprint));
        }
        deltas
    }

    /// Lists the suspects and the refused.
    pub fn entries(&self) -> Vec<QuarantineEntry> {
        let mut entries = Vec::new();
        for (fingerprint, entry) in &self.entries {
            let admission = match entry.crashes() {
                0 => continue,
                1 => Admission::Apart,
                _ => Admission::Refused,
            };
            entries.push(QuarantineEntry { fingerprint: *fingerprint, admission });
        }
        entries
    }

    fn entry(&mut self, now: Instant, fingerprint: Fingerprint) -> &mut Entry {
        let fresh = Entry { suspected: 0, convicted: 0, cleared: 0, touched_at: now };
        let entry = self.entries.entry(fingerprint).or_insert(fresh);
        entry.touched_at = now;
        entry
    }

    fn expire(&mut self, now: Instant) {
        let limit = self.cfg.expiry;
        self.entries.retain(|_, entry| now.saturating_duration_since(entry.touched_at) < limit);
    }

    /// Keeps the number of entries bounded; cleared ones go first, refused ones last.
    fn evict(&mut self) {
        while self.entries.len() > self.cfg.entries {
            let rank = |entry: &Entry| (entry.crashes(), entry.touched_at);
            let Some((first, _)) = self.entries.iter().min_by_key(|(_, entry)| rank(entry)) else {
                return;
            };
            let first = *first;
            self.entries.remove(&first);
        }
    }
}

impl Entry {
    /// Returns how many crashes count against the fingerprint: none, one, or two and more.
    fn crashes(&self) -> u32 {
        u32::from(self.suspected > self.cleared) + u32::from(self.convicted > self.cleared)
    }

    fn marks(&self) -> (u64, u64, u64) {
        (self.suspected, self.convicted, self.cleared)
    }

    fn to_delta(self, fingerprint: Fingerprint) -> QuarantineDelta {
        let crashes = self.crashes();
        let hlc = match crashes {
            0 => self.cleared,
            1 => self.suspected,
            _ => self.convicted,
        };
        QuarantineDelta { fingerprint, crashes, hlc, released: crashes == 0 }
    }
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// It may run beside others.
    Free,
    /// It may run only where nothing else runs.
    Apart,
    /// It may not run.
    Refused,
}

/// Identifies requests with the same content.
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
    /// Reads a fingerprint as it is written.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != FINGERPRINT_DIGITS {
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

/// What one instance tells others of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineDelta {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// How many crashes count against it: one makes a suspect, two make it refused.
    pub crashes: u32,
    /// The hybrid logical clock of the last crash that counts, or of the release.
    pub hlc: u64,
    /// Whether it was cleared or released.
    pub released: bool,
}

/// A suspect or refused fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// How its requests may run.
    pub admission: Admission,
}

/// How much a quarantine remembers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// The most fingerprints.
    pub entries: usize,
    /// After how long without news a fingerprint is forgotten.
    pub expiry: Duration,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self { entries: 4096, expiry: Duration::from_secs(24 * 60 * 60) }
    }
}
