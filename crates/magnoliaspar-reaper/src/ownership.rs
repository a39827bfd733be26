use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::{Incarnation, InstanceName, ServerName};

use crate::message::owner_text;
use crate::{Acknowledgement, Answer, HeldKey, Question, ReaperConfig, ReaperId, Renewal};

/// How many streams are remembered that the instance must not drive again.
const REMEMBERED: usize = 65_536;

/// How long streams are opened under one epoch before the next one begins.
const EPOCH_LIMIT: Duration = Duration::from_secs(600);

/// How many bits of an owner's listed life count its epochs.
const EPOCH_BITS: u32 = 20;

/// The streams that one instance drives, and its leases with the reapers of their servers.
///
/// A stream is registered by [`open`](Self::open) before the server is called, and stays registered
/// until it has ended there. Streams that [`lapsed`](Self::lapsed) returns must not be used any more
/// from that time on.
///
/// Each stream belongs to an epoch of its owner, which engines list with it, and a lease covers the
/// streams of one epoch on one server. When a lease runs out or a server gets another reaper, the
/// next epoch begins, so that the former lease says nothing of streams that are opened from then on.
#[derive(Debug)]
pub struct Ownership {
    name: InstanceName,
    incarnation: Incarnation,
    cfg: ReaperConfig,
    started_at: Instant,
    streams: BTreeMap<HeldKey, Option<Incarnation>>,
    disowned: RecentKeys,
    closed: RecentKeys,
    reapers: BTreeMap<ServerName, ReaperId>,
    epoch: u64,
    epoch_used_at: Option<Instant>,
    leases: BTreeMap<LeaseKey, Lease>,
    sent: BTreeMap<u64, Sent>,
    last_number: u64,
    renewal_at: Option<Instant>,
}

/// What a lease covers, and whose it is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LeaseKey {
    epoch: Incarnation,
    reaper: ReaperId,
    server: ServerName,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    /// When the newest acknowledged renewal was sent, or else the first one.
    renewed_at: Option<Instant>,
}

/// A renewal that is under way.
#[derive(Debug, Clone, Copy)]
struct Sent {
    epoch: Incarnation,
    at: Instant,
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
            streams: BTreeMap::new(),
            disowned: RecentKeys::default(),
            closed: RecentKeys::default(),
            reapers: BTreeMap::new(),
            epoch: 0,
            epoch_used_at: None,
            leases: BTreeMap::new(),
            sent: BTreeMap::new(),
            last_number: 0,
            renewal_at: None,
        }
    }

    /// Registers a stream of another instance that this one is about to take over.
    ///
    /// `age` is the time since the stream was opened, or more. A life takes over only streams that
    /// were opened after its start, since a former life may have disowned older ones.
    pub fn adopt(&mut self, now: Instant, key: HeldKey, age: Duration) -> Result<(), OpenError> {
        if now.saturating_duration_since(self.started_at) <= age {
            return Err(OpenError::Older);
        }
        if self.disowned.contains(&key) {
            return Err(OpenError::Disowned);
        }
        if self.closed.contains(&key) {
            return Err(OpenError::Closed);
        }
        // The engine lists the former owner, whose leases do not speak for this one.
        self.streams.entry(key).or_insert(None);
        Ok(())
    }

    /// Registers a stream that the instance is about to open, under an identifier of its own.
    ///
    /// The engine must be called with the [`owner`](Self::owner) of the same moment.
    pub fn open(&mut self, now: Instant, key: HeldKey) -> Result<(), OpenError> {
        if self.disowned.contains(&key) {
            return Err(OpenError::Disowned);
        }
        let is_over = self.epoch_used_at.is_some_and(|at| now >= at + EPOCH_LIMIT);
        if is_over || self.is_lapsed(now, self.epoch(), &key.server) {
            self.begin_epoch();
        }
        self.epoch_used_at.get_or_insert(now);
        let epoch = self.epoch();
        if let Some(reaper) = self.reapers.get(&key.server).cloned() {
            let lease = LeaseKey { epoch, reaper, server: key.server.clone() };
            self.leases.entry(lease).or_insert(Lease { renewed_at: None });
        }
        self.renewal_at.get_or_insert(now);
        self.streams.insert(key, Some(epoch));
        Ok(())
    }

    /// Returns the text by which engines are to list this instance as the owner of a stream that
    /// was just registered.
    pub fn owner(&self) -> Box<str> {
        owner_text(&self.name, self.epoch())
    }

    /// Removes a stream that has ended on its server or was handed over.
    pub fn close(&mut self, key: &HeldKey) {
        if let Some(Some(_)) = self.streams.remove(key) {
            self.closed.insert(key.clone());
        }
    }

    /// Whether the instance drives a stream.
    pub fn owns(&self, key: &HeldKey) -> bool {
        self.streams.contains_key(key)
    }

    /// Takes in which reaper a server has, as far as it is known here.
    pub fn set_reaper(&mut self, server: &ServerName, reaper: ReaperId) {
        if self.reapers.get(server) == Some(&reaper) {
            return;
        }
        // A later life of an instance shows that the former one is gone.
        self.leases.retain(|lease, _| {
            let other = &lease.reaper;
            other.instance != reaper.instance || other.incarnation >= reaper.incarnation
        });
        self.reapers.insert(server.clone(), reaper);
        self.begin_epoch();
    }

    /// Takes in that a life of a reaper is over; its leases end without effect.
    pub fn reaper_gone(&mut self, reaper: &ReaperId) {
        self.leases.retain(|lease, _| lease.reaper != *reaper);
    }

    /// Returns the renewals that are due.
    pub fn renewals(&mut self, now: Instant) -> Vec<Renewal> {
        if self.renewal_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.renewal_at = Some(now + self.cfg.renewal_interval);
        let current = self.epoch();
        let mut used = BTreeSet::new();
        for (key, epoch) in &self.streams {
            used.extend(epoch.map(|epoch| (epoch, key.server.clone())));
        }
        let mut renewals = BTreeMap::new();
        for (key, lease) in &mut self.leases {
            let place = (key.epoch, key.reaper.clone());
            let renewal: &mut Renewal = renewals.entry(place).or_insert_with(|| {
                self.last_number += 1;
                self.sent.insert(self.last_number, Sent { epoch: key.epoch, at: now });
                Renewal {
                    to: key.reaper.clone(),
                    owner: self.name.clone(),
                    incarnation: key.epoch,
                    number: self.last_number,
                    servers: Vec::new(),
                    released: Vec::new(),
                }
            });
            if key.epoch == current || used.contains(&(key.epoch, key.server.clone())) {
                renewal.servers.push(key.server.clone());
                lease.renewed_at.get_or_insert(now);
            } else {
                renewal.released.push(key.server.clone());
            }
        }
        // No stream is opened under an earlier epoch, so its unused leases are not needed again.
        self.leases.retain(|key, _| {
            key.epoch == current || used.contains(&(key.epoch, key.server.clone()))
        });
        let lease = self.cfg.lease;
        self.sent.retain(|_, sent| now.saturating_duration_since(sent.at) < lease);
        renewals.into_values().collect()
    }

    /// Takes in an acknowledgement.
    pub fn acknowledged(&mut self, ack: &Acknowledgement) {
        let Some(sent) = self.sent.get(&ack.number).copied() else { return };
        for (key, lease) in &mut self.leases {
            let is_older = lease.renewed_at.is_some_and(|at| at < sent.at);
            if key.reaper == ack.from && key.epoch == sent.epoch && is_older {
                lease.renewed_at = Some(sent.at);
            }
        }
    }

    /// Ends the streams whose leases ran out, and returns them.
    pub fn lapsed(&mut self, now: Instant) -> Vec<HeldKey> {
        let mut lapsed = Vec::new();
        for (key, epoch) in &self.streams {
            if epoch.is_some_and(|epoch| self.is_lapsed(now, epoch, &key.server)) {
                lapsed.push(key.clone());
            }
        }
        for key in &lapsed {
            self.streams.remove(key);
            self.disowned.insert(key.clone());
        }
        let current = self.epoch();
        let limit = self.cfg.lease;
        let is_over = |lease: &Lease| lease.renewed_at.is_some_and(|at| now >= at + limit);
        let has_current = self.leases.iter().any(|(k, lease)| k.epoch == current && is_over(lease));
        self.leases.retain(|_, lease| !is_over(lease));
        if has_current {
            self.begin_epoch();
        }
        lapsed
    }

    /// Answers a reaper, and will never drive what it disowns.
    pub fn answer(&mut self, question: &Question) -> Answer {
        let mut disowned = Vec::new();
        for key in &question.streams {
            if self.streams.contains_key(key) {
                continue;
            }
            self.disowned.insert(key.clone());
            disowned.push(key.clone());
        }
        Answer { from: self.name.clone(), number: question.number, disowned }
    }

    /// Returns the present life and epoch, as engines list them.
    fn epoch(&self) -> Incarnation {
        Incarnation(self.incarnation.0.rotate_left(EPOCH_BITS) ^ self.epoch)
    }

    /// Begins the next epoch, if streams were opened under the present one.
    fn begin_epoch(&mut self) {
        if self.epoch_used_at.take().is_some() {
            self.epoch += 1;
        }
    }

    fn is_lapsed(&self, now: Instant, epoch: Incarnation, server: &ServerName) -> bool {
        self.leases.iter().any(|(key, lease)| {
            let is_old = lease.renewed_at.is_some_and(|at| now >= at + self.cfg.lease);
            key.epoch == epoch && key.server == *server && is_old
        })
    }
}

/// The newest of the streams that were put in.
#[derive(Debug, Default)]
struct RecentKeys {
    keys: BTreeSet<HeldKey>,
    order: VecDeque<HeldKey>,
}

impl RecentKeys {
    fn contains(&self, key: &HeldKey) -> bool {
        self.keys.contains(key)
    }

    fn insert(&mut self, key: HeldKey) {
        if !self.keys.insert(key.clone()) {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.keys.remove(&oldest);
        }
    }
}

/// Why a stream must not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum OpenError {
    /// the instance has said that it will never drive this stream
    Disowned,
    /// this life of the instance has opened and closed the stream before
    Closed,
    /// the stream was opened before this life of the instance
    Older,
}

impl std::error::Error for OpenError {}
