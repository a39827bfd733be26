//! Schedule of an instance's reads of the configuration's head at the platform.

use std::time::{Duration, Instant};

use magnoliaspar_core::{InstanceName, ZoneName};
use magnoliaspar_membership::rendezvous;

/// Number of instances of a zone that read the head regularly.
const READERS_PER_ZONE: usize = 2;

/// Decides when an instance reads the head of the configuration at the platform.
///
/// The elected readers of each availability zone read in turn. All other instances receive changes
/// from their peers.
#[derive(Debug, Clone)]
pub struct ReaderSchedule {
    own: InstanceName,
    zone: ZoneName,
    cfg: ReaderConfig,
    rank: Option<usize>,
    next_read_at: Instant,
}

impl ReaderSchedule {
    /// Creates the schedule of the instance `own`. The first read is due at once.
    pub fn new(own: InstanceName, zone: ZoneName, cfg: ReaderConfig, now: Instant) -> Self {
        Self { own, zone, cfg, rank: None, next_read_at: now }
    }

    /// Elects the readers of the zone from its live instances.
    pub fn elect<'a>(&mut self, now: Instant, live: impl Iterator<Item = &'a InstanceName>) {
        let readers = rendezvous(&format!("config/{}", self.zone), live, READERS_PER_ZONE);
        let rank = readers.iter().position(|reader| **reader == self.own);
        if rank != self.rank {
            // The second reader reads half a period after the first one.
            let phase = self.cfg.period * rank.unwrap_or(0) as u32 / READERS_PER_ZONE as u32;
            self.next_read_at = self.next_read_at.min(now + phase);
        }
        self.rank = rank;
    }

    /// Returns whether this instance is a reader of its zone.
    pub fn is_reader(&self) -> bool {
        self.rank.is_some()
    }

    /// Returns whether a read is due. If it is, this schedules the next one.
    pub fn is_due(&mut self, now: Instant) -> bool {
        if now < self.next_read_at {
            return false;
        }
        self.next_read_at =
            now + if self.is_reader() { self.cfg.period } else { self.cfg.idle_period };
        true
    }

    /// Schedules a retry after a failed read.
    pub fn read_failed(&mut self, now: Instant) {
        self.next_read_at = self.next_read_at.min(now + self.cfg.retry_period);
    }

    /// Returns the time of the next read.
    pub fn next(&self) -> Instant {
        self.next_read_at
    }
}

/// Intervals between reads of the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderConfig {
    /// Interval between the reads of a reader.
    pub period: Duration,
    /// Interval between the reads of any other instance, in case no peer passes changes on to it.
    pub idle_period: Duration,
    /// Time after which any instance retries a failed read.
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
