use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::{Incarnation, InstanceName, ServerName};

use crate::message::owner_text;
use crate::{Acknowledgement, Answer, HeldKey, Question, ReaperConfig, ReaperId, Renewal};

/// How many streams are remembered that the instance has said it will never drive.
const DISOWNED: usize = 65_536;

/// The streams that one instance drives, and its leases with the reapers of their servers.
///
/// A stream is registered by [`open`](Self::open) before the server is called, and stays registered
/// until it has ended there. Streams that [`lapsed`](Self::lapsed) returns must not be used any more
/// from that time on.
#[derive(Debug)]
pub struct Ownership {
    name: InstanceName,
    incarnation: Incarnation,
    cfg: ReaperConfig,
    started_at: Instant,
    streams: BTreeSet<HeldKey>,
    disowned: BTreeSet<HeldKey>,
    disowned_order: VecDeque<HeldKey>,
    reapers: BTreeMap<ServerName, ReaperId>,
    leases: BTreeMap<(ReaperId, ServerName), Lease>,
    sent: BTreeMap<u64, Instant>,
    last_number: u64,
    renewal_at: Option<Instant>,
}

/// The lease with one reaper for one server, which may lapse there once it was asked for.
#[derive(Debug, Clone, Copy)]
struct Lease {
    /// When the newest acknowledged renewal was sent, or the first one.
    renewed_at: Option<Instant>,
    /// The first renewal that carries the release of the lease.
    released_by: Option<u64>,
}

impl Ownership {
    /// Creates the state of an instance that drives nothing.
    pub fn new(
        name: InstanceName,
        incarnation: Incarnation,
        cfg: ReaperConfig,
        now: Instant,
    ) -> Self {
        Self {
            name,
            incarnation,
            cfg,
            started_at: now,
            streams: BTreeSet::new(),
            disowned: BTreeSet::new(),
            disowned_order: VecDeque::new(),
            reapers: BTreeMap::new(),
            leases: BTreeMap::new(),
            sent: BTreeMap::new(),
            last_number: 0,
            renewal_at: None,
        }
    }

    /// Registers a stream of another instance that this one is about to take over.
    ///
    /// `age` is the time since the stream was opened, or less. A life takes over only streams that
    /// were opened after its start, since a former life may have disowned older ones.
    pub fn adopt(&mut self, now: Instant, key: HeldKey, age: Duration) -> Result<(), OpenError> {
        if now.saturating_duration_since(self.started_at) <= age {
            return Err(OpenError::Older);
        }
        self.open(now, key)
    }

    /// Returns the text by which engines are to list this instance as an owner.
    pub fn owner(&self) -> Box<str> {
        owner_text(&self.name, self.incarnation)
    }

    /// Registers a stream that the instance is about to open, under an identifier of its own.
    pub fn open(&mut self, now: Instant, key: HeldKey) -> Result<(), OpenError> {
        if self.disowned.contains(&key) {
            return Err(OpenError::Disowned);
        }
        if self.is_lapsed(now, &key.server) {
            return Err(OpenError::Lapsed);
        }
        if let Some(reaper) = self.reapers.get(&key.server) {
            let lease = Lease { renewed_at: None, released_by: None };
            let place = (reaper.clone(), key.server.clone());
            let lease = self.leases.entry(place).or_insert(lease);
            lease.released_by = None;
        }
        self.renewal_at.get_or_insert(now);
        self.streams.insert(key);
        Ok(())
    }

    /// Removes a stream that has ended on its server or was handed over.
    pub fn close(&mut self, key: &HeldKey) {
        self.streams.remove(key);
    }

    /// Whether the instance drives a stream.
    pub fn owns(&self, key: &HeldKey) -> bool {
        self.streams.contains(key)
    }

    /// Takes in which reaper a server has, as far as it is known here.
    pub fn set_reaper(&mut self, server: &ServerName, reaper: ReaperId) {
        self.reapers.insert(server.clone(), reaper);
    }

    /// Takes in that a life of a reaper is over; its leases end without effect.
    pub fn reaper_gone(&mut self, reaper: &ReaperId) {
        self.leases.retain(|(other, _), _| other != reaper);
    }

    /// Returns the renewals that are due.
    pub fn renewals(&mut self, now: Instant) -> Vec<Renewal> {
        if self.renewal_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.renewal_at = Some(now + self.cfg.renewal_interval);
        let used: BTreeSet<_> = self.streams.iter().map(|key| key.server.clone()).collect();
        let mut renewals: BTreeMap<ReaperId, Renewal> = BTreeMap::new();
        for ((reaper, server), lease) in &mut self.leases {
            if !renewals.contains_key(reaper) {
                self.last_number += 1;
                self.sent.insert(self.last_number, now);
            }
            let renewal = renewals.entry(reaper.clone()).or_insert_with(|| Renewal {
                to: reaper.clone(),
                owner: self.name.clone(),
                incarnation: self.incarnation,
                number: self.last_number,
                servers: Vec::new(),
                released: Vec::new(),
            });
            if used.contains(server) {
                renewal.servers.push(server.clone());
                lease.renewed_at.get_or_insert(now);
                lease.released_by = None;
            } else {
                renewal.released.push(server.clone());
                lease.released_by.get_or_insert(renewal.number);
            }
        }
        let oldest = now.checked_sub(self.cfg.lease);
        self.sent.retain(|_, at| oldest.is_none_or(|oldest| *at > oldest));
        renewals.into_values().collect()
    }

    /// Takes in an acknowledgement.
    pub fn acknowledged(&mut self, ack: &Acknowledgement) {
        let Some(sent_at) = self.sent.get(&ack.number).copied() else { return };
        self.leases.retain(|(reaper, _), lease| {
            let is_released = lease.released_by.is_some_and(|number| ack.number >= number);
            *reaper != ack.from || !is_released
        });
        for ((reaper, _), lease) in &mut self.leases {
            let is_older = lease.renewed_at.is_some_and(|at| at < sent_at);
            if *reaper == ack.from && is_older {
                lease.renewed_at = Some(sent_at);
            }
        }
    }

    /// Ends the streams whose leases ran out, and returns them.
    pub fn lapsed(&mut self, now: Instant) -> Vec<HeldKey> {
        let mut lapsed = Vec::new();
        for key in &self.streams {
            if self.is_lapsed(now, &key.server) {
                lapsed.push(key.clone());
            }
        }
        for key in &lapsed {
            self.streams.remove(key);
            self.disown(key.clone());
        }
        lapsed
    }

    /// Answers a reaper, and will never drive what it disowns.
    pub fn answer(&mut self, question: &Question) -> Answer {
        let mut disowned = Vec::new();
        for key in &question.streams {
            if self.streams.contains(key) {
                continue;
            }
            self.disown(key.clone());
            disowned.push(key.clone());
        }
        Answer { from: self.name.clone(), number: question.number, disowned }
    }

    fn is_lapsed(&self, now: Instant, server: &ServerName) -> bool {
        self.leases.iter().any(|((_, other), lease)| {
            let is_old = lease.renewed_at.is_some_and(|at| now >= at + self.cfg.lease);
            other == server && is_old
        })
    }

    fn disown(&mut self, key: HeldKey) {
        if !self.disowned.insert(key.clone()) {
            return;
        }
        self.disowned_order.push_back(key);
        if self.disowned_order.len() > DISOWNED
            && let Some(oldest) = self.disowned_order.pop_front()
        {
            self.disowned.remove(&oldest);
        }
    }
}

/// Why a stream must not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OpenError {
    /// the instance has said that it will never drive this stream
    Disowned,
    /// the instance's lease for this server ran out and is not renewed yet
    Lapsed,
    /// the stream was opened before this life of the instance
    Older,
}

impl std::error::Error for OpenError {}
