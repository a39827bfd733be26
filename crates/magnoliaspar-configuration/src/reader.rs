use std::time::{Duration, Instant};

use magnoliaspar_core::{InstanceName, ZoneName};
use magnoliaspar_membership::rendezvous;

/// How many instances of a zone read the head.
const READERS: usize = 2;

/// Decides when an instance reads the head of the configuration at the platform.
///
/// Only the readers of each availability zone do, by turns; all others learn from peers.
#[derive(Debug, Clone)]
pub struct ReaderSchedule {
    own: InstanceName,
    zone: ZoneName,
    cfg: ReaderConfig,
    rank: Option<usize>,
    next: Instant,
}

impl ReaderSchedule {
    /// Creates the schedule of the instance `own`, which reads once at its start in any case.
    pub fn new(own: InstanceName, zone: ZoneName, cfg: ReaderConfig, now: Instant) -> Self {
        Self { own, zone, cfg, rank: None, next: now }
    }

    /// Takes in which instances of the zone are live.
    pub fn elect<'a>(&mut self, now: Instant, live: impl Iterator<Item = &'a InstanceName>) {
        let readers = rendezvous(&format!("config/{}", self.zone), live, READERS);
        let rank = readers.iter().position(|reader| **reader == self.own);
        if rank != self.rank {
            // The second reader reads half a period after the first one.
            let phase = self.cfg.period * rank.unwrap_or(0) as u32 / READERS as u32;
            self.next = self.next.min(now + phase);
        }
        self.rank = rank;
    }

    /// Whether this instance is a reader of its zone.
    pub fn is_reader(&self) -> bool {
        self.rank.is_some()
    }

    /// Whether the head is to be read now; the next time is then set.
    pub fn is_due(&mut self, now: Instant) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + if self.is_reader() { self.cfg.period } else { self.cfg.idle_period };
        true
    }

    /// Takes in that the head could not be read, so that it is tried again soon.
    pub fn read_failed(&mut self, now: Instant) {
        self.next = self.next.min(now + self.cfg.retry_period);
    }

    /// Returns when [`is_due`](Self::is_due) becomes true.
    pub fn next(&self) -> Instant {
        self.next
    }
}

/// How often the head is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderConfig {
    /// How often a reader reads.
    pub period: Duration,
    /// How often any other instance reads, in case that it hears of no reader.
    pub idle_period: Duration,
    /// After which time any instance reads again when a reading failed.
    pub retry_period: Duration,
}

impl Default for ReaderConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(2),
            idle_period: Duration::from_secs(1800),
            retry_period: Duration::from_secs(10),
        }
    }
}
