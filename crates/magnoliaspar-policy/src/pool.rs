//! The backend servers of a pool and the indexes by which they are chosen.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::{ServerKey, ServerName, ZoneName};
use slotmap::SlotMap;

use crate::decode_load::{DecodingBook, Rank, Usage};
use crate::link::Link;
use crate::prefill_load::{ReadingBook, seconds};
use crate::{Role, ServerSpec};

/// The time for which a server gets no new work after the first of consecutive failures.
const FIRST_COOL_DOWN: Duration = Duration::from_millis(250);

/// The maximum number of times that the cooldown doubles.
const MAX_DOUBLINGS: u32 = 5;

/// The backend servers of a pool with their load, indexed by when they can take work.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    servers: SlotMap<ServerKey, Server>,
    names: BTreeMap<ServerName, ServerKey>,
    zones: BTreeMap<ZoneName, ZoneIndex>,
    roomy: BTreeSet<ServerKey>,
    totals: Totals,
    best: Best,
}

/// A backend server and its load.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    pub(crate) is_sealed: bool,
    /// True if the server is reserved for suspects.
    pub(crate) is_isolated: bool,
    pub(crate) reading: ReadingBook,
    pub(crate) decoding: DecodingBook,
    pub(crate) link: Link,
    pub(crate) reported_at: Option<Instant>,
    failures: u32,
    cool_until: Option<Instant>,
    place: Option<Place>,
}

/// The servers of one zone that take new work, ordered by when they become free.
#[derive(Debug, Default)]
pub(crate) struct ZoneIndex {
    prefill: BTreeSet<(Instant, ServerKey)>,
    decode: BTreeSet<(Rank, u32, ServerKey)>,
}

/// The keys and counts with which a server is entered in the indexes of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    Prefill { free_at: Instant },
    Decode { rank: Rank, pieces: u32, is_roomy: bool, running: u32, overdraft: u32 },
}

/// Sums over the decode engines that take new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Totals {
    /// The number of slots in use.
    pub(crate) running: u32,
    /// The number of granted slots that exceed the slots of their servers.
    pub(crate) overdraft: u32,
}

/// The number of servers that take new work, and the best value of each of their properties.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Best {
    pub(crate) prefill_servers: u32,
    pub(crate) decode_servers: u32,
    pub(crate) prefill_tokens_per_second: f64,
    pub(crate) link_tokens_per_second: f64,
    pub(crate) seconds_per_token: f64,
    pub(crate) prefill_memory_tokens: u64,
    pub(crate) decode_memory_tokens: u64,
}

impl Pool {
    /// Adds a server, or replaces its specification if it is known, and returns its key.
    pub(crate) fn add(&mut self, now: Instant, spec: ServerSpec) -> ServerKey {
        let key = match self.names.get(&spec.name) {
            Some(key) => *key,
            None => self.insert(now, spec.clone()),
        };
        self.displace(key);
        self.servers[key].spec = spec;
        self.place(key);
        self.measure();
        key
    }

    /// Stops new work for a server. Returns whether it took new work before.
    pub(crate) fn seal(&mut self, key: ServerKey) -> bool {
        let Some(server) = self.servers.get_mut(key) else { return false };
        let was_open = !server.is_sealed;
        server.is_sealed = true;
        self.replace(key);
        self.measure();
        was_open
    }

    /// Allows new work for a cordoned server again.
    pub(crate) fn open(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.is_sealed = false;
        self.replace(key);
        self.measure();
    }

    /// Removes a server.
    pub(crate) fn remove(&mut self, key: ServerKey) {
        self.displace(key);
        let Some(server) = self.servers.remove(key) else { return };
        self.names.remove(&server.spec.name);
        self.measure();
    }

    /// Reserves a server for suspects, or returns it to general use.
    pub(crate) fn isolate(&mut self, key: ServerKey, is_isolated: bool) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.is_isolated = is_isolated;
        self.replace(key);
    }

    /// Returns a server.
    pub(crate) fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Changes a server and updates the indexes.
    pub(crate) fn update(&mut self, key: ServerKey, change: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(key) else { return };
        change(server);
        self.replace(key);
    }

    /// Returns all servers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the indexes of the zones by name.
    pub(crate) fn zones(&self) -> &BTreeMap<ZoneName, ZoneIndex> {
        &self.zones
    }

    /// Returns the decode engines with a slot that is not in use.
    pub(crate) fn roomy(&self) -> &BTreeSet<ServerKey> {
        &self.roomy
    }

    /// Returns the sums over the decode engines that take new work.
    pub(crate) fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the capabilities of the servers that take new work.
    pub(crate) fn best(&self) -> &Best {
        &self.best
    }

    fn insert(&mut self, now: Instant, spec: ServerSpec) -> ServerKey {
        let name = spec.name.clone();
        let key = self.servers.insert(Server::new(now, spec));
        self.names.insert(name, key);
        key
    }

    fn replace(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get(key) else { return };
        if server.place == server.next_place() {
            return;
        }
        self.displace(key);
        self.place(key);
    }

    fn place(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.place = server.next_place();
        let Some(place) = server.place else { return };
        let zone = self.zones.entry(server.spec.zone.clone()).or_default();
        match place {
            Place::Prefill { free_at } => {
                zone.prefill.insert((free_at, key));
            }
            Place::Decode { rank, pieces, is_roomy, running, overdraft } => {
                zone.decode.insert((rank, pieces, key));
                if is_roomy {
                    self.roomy.insert(key);
                }
                self.totals.running += running;
                self.totals.overdraft += overdraft;
            }
        }
    }

    fn displace(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(place) = server.place.take() else { return };
        let Some(zone) = self.zones.get_mut(&server.spec.zone) else { return };
        match place {
            Place::Prefill { free_at } => {
                zone.prefill.remove(&(free_at, key));
            }
            Place::Decode { rank, pieces, is_roomy: _, running, overdraft } => {
                zone.decode.remove(&(rank, pieces, key));
                self.roomy.remove(&key);
                self.totals.running -= running;
                self.totals.overdraft -= overdraft;
            }
        }
        if zone.prefill.is_empty() && zone.decode.is_empty() {
            self.zones.remove(&server.spec.zone);
        }
    }

    /// Recomputes the capabilities, which change only when a server is added, changed, cordoned or
    /// removed.
    fn measure(&mut self) {
        let mut best = Best { seconds_per_token: f64::MAX, ..Best::default() };
        for server in self.servers.values() {
            if server.is_sealed {
                continue;
            }
            let spec = &server.spec;
            let memory = u64::from(spec.memory_pieces) * u64::from(spec.piece_tokens);
            match spec.role {
                Role::Prefill => {
                    best.prefill_servers += 1;
                    let rate = &mut best.prefill_tokens_per_second;
                    *rate = rate.max(spec.prefill_tokens_per_second);
                    let rate = &mut best.link_tokens_per_second;
                    *rate = rate.max(spec.link_tokens_per_second);
                    best.prefill_memory_tokens = best.prefill_memory_tokens.max(memory);
                }
                Role::Decode => {
                    best.decode_servers += 1;
                    best.seconds_per_token = best.seconds_per_token.min(spec.seconds_per_token);
                    best.decode_memory_tokens = best.decode_memory_tokens.max(memory);
                }
            }
        }
        if best.decode_servers == 0 {
            best.seconds_per_token = 0.0;
        }
        self.best = best;
    }
}

impl Server {
    fn new(now: Instant, spec: ServerSpec) -> Self {
        Self {
            spec,
            is_sealed: false,
            is_isolated: false,
            reading: ReadingBook::new(now),
            decoding: DecodingBook::default(),
            link: Link::default(),
            reported_at: None,
            failures: 0,
            cool_until: None,
            place: None,
        }
    }

    /// Returns whether the server gets no new work because of a recent failure.
    pub(crate) fn is_cooling(&self, now: Instant) -> bool {
        self.cool_until.is_some_and(|until| now < until)
    }

    /// Records that the server failed a job.
    pub(crate) fn note_failure(&mut self, now: Instant) {
        // Jobs that fail during the cooldown count as part of the same failure.
        if self.is_cooling(now) {
            return;
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.cool_until = Some(now + FIRST_COOL_DOWN * (1 << doublings));
    }

    /// Records that the server completed its part of a job.
    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of pieces of memory that hold `tokens`.
    pub(crate) fn pieces(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.spec.piece_tokens.max(1))
    }

    /// Returns the number of pieces that a decode engine is expected to allocate for a job whose
    /// context grows to `tokens`.
    pub(crate) fn answer_pieces(&self, tokens: u32) -> u32 {
        self.pieces(tokens) + self.decoding.extra_pieces()
    }

    /// Returns the prefill time of `tokens` that are not cached.
    pub(crate) fn read_time(&self, tokens: u32) -> Duration {
        let reading = seconds(f64::from(tokens) / self.spec.prefill_tokens_per_second);
        reading + self.reading.overhead()
    }

    /// Returns the committed slots and memory, with reservations and other schedulers' jobs.
    pub(crate) fn taken(&self) -> Usage {
        let (running, reserved) = (self.decoding.running(), self.decoding.reserved());
        let foreign = self.decoding.foreign();
        Usage {
            slots: running.slots + reserved.slots + foreign.slots,
            pieces: running.pieces + reserved.pieces + foreign.pieces,
        }
    }

    fn next_place(&self) -> Option<Place> {
        if self.is_sealed || self.is_isolated {
            return None;
        }
        if self.spec.role == Role::Prefill {
            return Some(Place::Prefill { free_at: self.reading.rank() });
        }
        let (running, taken) = (self.decoding.running().slots, self.taken());
        Some(Place::Decode {
            rank: self.decoding.rank(&self.spec),
            pieces: taken.pieces,
            is_roomy: running + self.decoding.foreign().slots < self.spec.slots,
            running,
            overdraft: taken.slots.saturating_sub(self.spec.slots),
        })
    }
}

impl ZoneIndex {
    /// Returns the prefill engines in the order in which they become free.
    pub(crate) fn prefill(&self) -> impl Iterator<Item = ServerKey> {
        self.prefill.iter().map(|(_, key)| *key)
    }

    /// Returns the decode engines, those with a free slot first, then by the next free slot.
    pub(crate) fn decode(&self) -> impl Iterator<Item = ServerKey> {
        self.decode.iter().map(|(_, _, key)| *key)
    }
}
