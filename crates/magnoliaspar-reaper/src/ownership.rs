//! The side of an instance that drives streams and renews the leases on them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::{Incarnation, InstanceName, ServerName};

use crate::message::owner_text;
use crate::{Acknowledgement, Answer, Question, ReaperConfig, ReaperId, Renewal, StreamKey};

/// Number of streams kept in each set of streams that the instance must not drive again.
const MAX_RECENT_KEYS: usize = 65_536;

/// Time during which streams are opened under one epoch.
const MAX_EPOCH_DURATION: Duration = Duration::from_secs(600);

/// Number of bits of an owner's listed incarnation that hold its epoch.
const EPOCH_BITS: u32 = 20;

/// The streams that one instance drives, and its leases with the reapers of their servers.
///
/// A stream is registered by [`open`](Self::open) before the server is called, and stays registered
/// until it has ended there. Streams that [`take_expired`](Self::take_expired) returns must not be
/// used from then on.
///
/// Each stream belongs to an epoch of its owner, which engines list with it, and a lease covers the
/// streams of one epoch on one server. When a lease expires or a server gets another reaper, the
/// next epoch begins, so that the former lease does not cover streams that are opened from then on.
#[derive(Debug)]
pub struct Ownership {
    name: InstanceName,
    incarnation: Incarnation,
    cfg: ReaperConfig,
    started_at: Instant,
    /// The streams that are driven, with their epochs, or `None` if another instance opened them.
    streams: BTreeMap<StreamKey, Option<Incarnation>>,
    /// Streams that this instance must never drive: those that it has disowned to a reaper, and
    /// those whose leases have expired.
    disowned: RecentKeys,
    /// Streams that this incarnation opened and closed.
    closed: RecentKeys,
    reapers: BTreeMap<ServerName, ReaperId>,
    epoch: u64,
    /// Time at which the first stream was opened under the current epoch.
    epoch_first_used_at: Option<Instant>,
    leases: BTreeMap<LeaseKey, Lease>,
    pending_renewals: BTreeMap<u64, PendingRenewal>,
    last_number: u64,
    next_renewal_at: Option<Instant>,
}

/// The epoch and server that a lease covers, and the reaper that holds it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct LeaseKey {
    epoch: Incarnation,
    reaper: ReaperId,
    server: ServerName,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    /// Time at which the newest acknowledged renewal was sent. While none is acknowledged, the time
    /// at which the first renewal was sent.
    renewed_at: Option<Instant>,
}

/// A renewal without an acknowledgement yet.
#[derive(Debug, Clone, Copy)]
struct PendingRenewal {
    epoch: Incarnation,
    at: Instant,
}

impl Ownership {
    /// Creates the state of an instance that drives no streams.
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
            epoch_first_used_at: None,
            leases: BTreeMap::new(),
            pending_renewals: BTreeMap::new(),
            last_number: 0,
            next_renewal_at: None,
        }
    }

    /// Registers a stream of another instance that this one is about to take over.
    ///
    /// `age` is an upper bound on the time since the stream was opened. An incarnation takes over
    /// only streams that were opened after its start, since a former incarnation may have disowned
    /// older ones.
    pub fn adopt(&mut self, now: Instant, key: StreamKey, age: Duration) -> Result<(), OpenError> {
        if now.saturating_duration_since(self.started_at) <= age {
            return Err(OpenError::Older);
        }
        if self.disowned.contains(&key) {
            return Err(OpenError::Disowned);
        }
        if self.closed.contains(&key) {
            return Err(OpenError::Closed);
        }
        // The engine lists the former owner, whose leases do not cover this instance.
        self.streams.entry(key).or_insert(None);
        Ok(())
    }

    /// Registers a stream that the instance is about to open, under a unique identifier.
    ///
    /// The call to the engine must name the [`owner`](Self::owner) returned right after this call.
    pub fn open(&mut self, now: Instant, key: StreamKey) -> Result<(), OpenError> {
        if self.disowned.contains(&key) {
            return Err(OpenError::Disowned);
        }
        let is_epoch_over =
            self.epoch_first_used_at.is_some_and(|at| now >= at + MAX_EPOCH_DURATION);
        if is_epoch_over || self.is_lease_expired(now, self.epoch(), &key.server) {
            self.end_epoch_if_used();
        }
        self.epoch_first_used_at.get_or_insert(now);
        let epoch = self.epoch();
        if let Some(reaper) = self.reapers.get(&key.server).cloned() {
            let lease = LeaseKey { epoch, reaper, server: key.server.clone() };
            self.leases.entry(lease).or_insert(Lease { renewed_at: None });
        }
        self.next_renewal_at.get_or_insert(now);
        self.streams.insert(key, Some(epoch));
        Ok(())
    }

    /// Returns the owner text to pass to the engine with a stream that was just registered.
    pub fn owner(&self) -> Box<str> {
        owner_text(&self.name, self.epoch())
    }

    /// Removes a stream that has ended on its server or was handed over.
    pub fn close(&mut self, key: &StreamKey) {
        if let Some(Some(_)) = self.streams.remove(key) {
            self.closed.insert(key.clone());
        }
    }

    /// Returns whether the instance drives a stream.
    pub fn owns(&self, key: &StreamKey) -> bool {
        self.streams.contains_key(key)
    }

    /// Sets the reaper of a server as this instance knows it.
    pub fn set_reaper(&mut self, server: &ServerName, reaper: ReaperId) {
        if self.reapers.get(server) == Some(&reaper) {
            return;
        }
        // A later incarnation of an instance shows that the former one is gone.
        self.leases.retain(|lease, _| {
            let other = &lease.reaper;
            other.instance != reaper.instance || other.incarnation >= reaper.incarnation
        });
        self.reapers.insert(server.clone(), reaper);
        self.end_epoch_if_used();
    }

    /// Drops the leases with an incarnation of a reaper that is gone, without ending their streams.
    pub fn reaper_gone(&mut self, reaper: &ReaperId) {
        self.leases.retain(|lease, _| lease.reaper != *reaper);
    }

    /// Returns the renewals that are due.
    pub fn renewals(&mut self, now: Instant) -> Vec<Renewal> {
        if self.next_renewal_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.next_renewal_at = Some(now + self.cfg.renewal_interval);
        let current = self.epoch();
        let mut used = BTreeSet::new();
        for (key, epoch) in &self.streams {
            used.extend(epoch.map(|epoch| (epoch, key.server.clone())));
        }
        let mut renewals = BTreeMap::new();
        for (key, lease) in &mut self.leases {
            let recipient = (key.epoch, key.reaper.clone());
            let renewal: &mut Renewal = renewals.entry(recipient).or_insert_with(|| {
                self.last_number += 1;
                self.pending_renewals
                    .insert(self.last_number, PendingRenewal { epoch: key.epoch, at: now });
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
        // No stream is opened under an earlier epoch, so its unused leases are never needed again.
        self.leases.retain(|key, _| {
            key.epoch == current || used.contains(&(key.epoch, key.server.clone()))
        });
        let lease = self.cfg.lease;
        self.pending_renewals
            .retain(|_, pending| now.saturating_duration_since(pending.at) < lease);
        renewals.into_values().collect()
    }

    /// Extends the leases that an acknowledged renewal covers.
    pub fn acknowledged(&mut self, ack: &Acknowledgement) {
        let Some(pending) = self.pending_renewals.get(&ack.number).copied() else { return };
        for (key, lease) in &mut self.leases {
            let is_older = lease.renewed_at.is_some_and(|at| at < pending.at);
            if key.reaper == ack.from && key.epoch == pending.epoch && is_older {
                lease.renewed_at = Some(pending.at);
            }
        }
    }

    /// Removes the streams whose leases have expired, and returns them.
    pub fn take_expired(&mut self, now: Instant) -> Vec<StreamKey> {
        let mut expired = Vec::new();
        for (key, epoch) in &self.streams {
            if epoch.is_some_and(|epoch| self.is_lease_expired(now, epoch, &key.server)) {
                expired.push(key.clone());
            }
        }
        for key in &expired {
            self.streams.remove(key);
            self.disowned.insert(key.clone());
        }
        let current = self.epoch();
        let limit = self.cfg.lease;
        let is_over = |lease: &Lease| lease.renewed_at.is_some_and(|at| now >= at + limit);
        let has_current = self.leases.iter().any(|(k, lease)| k.epoch == current && is_over(lease));
        self.leases.retain(|_, lease| !is_over(lease));
        if has_current {
            self.end_epoch_if_used();
        }
        expired
    }

    /// Answers a reaper's question. This instance never drives the streams that it disowns.
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

    /// Returns the incarnation that engines list, which combines the incarnation of this instance
    /// and its epoch.
    fn epoch(&self) -> Incarnation {
        Incarnation(self.incarnation.0.rotate_left(EPOCH_BITS) ^ self.epoch)
    }

    /// Begins the next epoch, if streams were opened under the current one.
    fn end_epoch_if_used(&mut self) {
        if self.epoch_first_used_at.take().is_some() {
            self.epoch += 1;
        }
    }

    fn is_lease_expired(&self, now: Instant, epoch: Incarnation, server: &ServerName) -> bool {
        self.leases.iter().any(|(key, lease)| {
            let is_expired = lease.renewed_at.is_some_and(|at| now >= at + self.cfg.lease);
            key.epoch == epoch && key.server == *server && is_expired
        })
    }
}

/// A set that keeps the streams inserted last, up to [`MAX_RECENT_KEYS`].
#[derive(Debug, Default)]
struct RecentKeys {
    keys: BTreeSet<StreamKey>,
    order: VecDeque<StreamKey>,
}

impl RecentKeys {
    fn contains(&self, key: &StreamKey) -> bool {
        self.keys.contains(key)
    }

    fn insert(&mut self, key: StreamKey) {
        if !self.keys.insert(key.clone()) {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > MAX_RECENT_KEYS
            && let Some(oldest) = self.order.pop_front()
        {
            self.keys.remove(&oldest);
        }
    }
}

/// The reason why a stream must not be opened or taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum OpenError {
    /// the instance has disowned this stream and must never drive it
    Disowned,
    /// this incarnation of the instance has already opened and closed the stream
    Closed,
    /// the stream was opened before this incarnation of the instance
    Older,
}

impl std::error::Error for OpenError {}
