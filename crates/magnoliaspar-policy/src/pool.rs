//! The backend servers of a pool and the indexes by which they are chosen.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::{ServerKey, ServerName, ZoneName};
use slotmap::SlotMap;

use crate::decode_load::{DecodeLoad, SlotAvailability, Usage};
use crate::link::Link;
use crate::prefill_load::{PrefillLoad, duration_from_secs};
use crate::{Role, ServerSpec};

/// The time for which a server gets no new work after the first of consecutive failures.
const INITIAL_COOLDOWN: Duration = Duration::from_millis(250);

/// The maximum number of times that the cooldown doubles.
const MAX_DOUBLINGS: u32 = 5;

/// The backend servers of a pool with their load, indexed by when they can take work.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    servers: SlotMap<ServerKey, Server>,
    names: BTreeMap<ServerName, ServerKey>,
    zones: BTreeMap<ZoneName, ZoneIndex>,
    /// The decode engines with a slot that is not in use.
    with_free_slot: BTreeSet<ServerKey>,
    totals: Totals,
    capabilities: Capabilities,
}

/// A backend server and its load.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    pub(crate) is_cordoned: bool,
    /// Time of the last cordon.
    pub(crate) cordoned_at: Option<Instant>,
    /// True if the server is reserved for suspects.
    pub(crate) is_isolated: bool,
    pub(crate) prefill_load: PrefillLoad,
    pub(crate) decode_load: DecodeLoad,
    pub(crate) link: Link,
    pub(crate) reported_at: Option<Instant>,
    consecutive_failures: u32,
    cooldown_until: Option<Instant>,
    /// The entry of the server in the indexes, if it takes new work.
    index_entry: Option<IndexEntry>,
}

/// The servers of one zone that take new work, ordered by when they become free.
#[derive(Debug, Default)]
pub(crate) struct ZoneIndex {
    prefill: BTreeSet<(Instant, ServerKey)>,
    decode: BTreeSet<(SlotAvailability, u32, ServerKey)>,
}

/// The keys and counts with which a server is entered in the indexes of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IndexEntry {
    Prefill {
        free_at: Instant,
    },
    Decode {
        availability: SlotAvailability,
        pieces: u32,
        has_free_slot: bool,
        running: u32,
        overcommitted_slots: u32,
    },
}

/// Sums over the decode engines that take new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Totals {
    /// The number of slots in use.
    pub(crate) running: u32,
    /// The number of granted slots that exceed the slots of their servers.
    pub(crate) overcommitted_slots: u32,
}

/// The number of servers that take new work, and the best value of each of their properties.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Capabilities {
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
        self.remove_from_index(key);
        self.servers[key].spec = spec;
        self.insert_into_index(key);
        self.update_capabilities();
        key
    }

    /// Stops new work for a server. Returns whether it took new work before.
    pub(crate) fn cordon(&mut self, now: Instant, key: ServerKey) -> bool {
        let Some(server) = self.servers.get_mut(key) else { return false };
        let was_active = !server.is_cordoned;
        server.is_cordoned = true;
        if was_active {
            server.cordoned_at = Some(now);
        }
        self.reindex(key);
        self.update_capabilities();
        was_active
    }

    /// Allows new work for a cordoned server again.
    pub(crate) fn uncordon(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.is_cordoned = false;
        self.reindex(key);
        self.update_capabilities();
    }

    /// Removes a server.
    pub(crate) fn remove(&mut self, key: ServerKey) {
        self.remove_from_index(key);
        let Some(server) = self.servers.remove(key) else { return };
        self.names.remove(&server.spec.name);
        self.update_capabilities();
    }

    /// Reserves a server for suspects, or returns it to general use.
    pub(crate) fn isolate(&mut self, key: ServerKey, is_isolated: bool) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.is_isolated = is_isolated;
        self.reindex(key);
    }

    /// Returns a server.
    pub(crate) fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Changes a server and updates the indexes.
    pub(crate) fn update(&mut self, key: ServerKey, change: impl FnOnce(&mut Server)) {
        let Some(server) = self.servers.get_mut(key) else { return };
        change(server);
        self.reindex(key);
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
    pub(crate) fn with_free_slot(&self) -> &BTreeSet<ServerKey> {
        &self.with_free_slot
    }

    /// Returns the sums over the decode engines that take new work.
    pub(crate) fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the capabilities of the servers that take new work.
    pub(crate) fn capabilities(&self) -> &Capabilities {
        &self.capabilities
    }

    fn insert(&mut self, now: Instant, spec: ServerSpec) -> ServerKey {
        let name = spec.name.clone();
        let key = self.servers.insert(Server::new(now, spec));
        self.names.insert(name, key);
        key
    }

    fn reindex(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get(key) else { return };
        if server.index_entry == server.current_index_entry() {
            return;
        }
        self.remove_from_index(key);
        self.insert_into_index(key);
    }

    fn insert_into_index(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.index_entry = server.current_index_entry();
        let Some(index_entry) = server.index_entry else { return };
        let zone = self.zones.entry(server.spec.zone.clone()).or_default();
        match index_entry {
            IndexEntry::Prefill { free_at } => {
                zone.prefill.insert((free_at, key));
            }
            IndexEntry::Decode {
                availability,
                pieces,
                has_free_slot,
                running,
                overcommitted_slots,
            } => {
                zone.decode.insert((availability, pieces, key));
                if has_free_slot {
                    self.with_free_slot.insert(key);
                }
                self.totals.running += running;
                self.totals.overcommitted_slots += overcommitted_slots;
            }
        }
    }

    fn remove_from_index(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(index_entry) = server.index_entry.take() else { return };
        let Some(zone) = self.zones.get_mut(&server.spec.zone) else { return };
        match index_entry {
            IndexEntry::Prefill { free_at } => {
                zone.prefill.remove(&(free_at, key));
            }
            IndexEntry::Decode {
                availability,
                pieces,
                has_free_slot: _,
                running,
                overcommitted_slots,
            } => {
                zone.decode.remove(&(availability, pieces, key));
                self.with_free_slot.remove(&key);
                self.totals.running -= running;
                self.totals.overcommitted_slots -= overcommitted_slots;
            }
        }
        if zone.prefill.is_empty() && zone.decode.is_empty() {
            self.zones.remove(&server.spec.zone);
        }
    }

    /// Recomputes the capabilities, which change only when a server is added, changed, cordoned or
    /// removed.
    fn update_capabilities(&mut self) {
        let mut capabilities =
            Capabilities { seconds_per_token: f64::MAX, ..Capabilities::default() };
        for server in self.servers.values() {
            if server.is_cordoned {
                continue;
            }
            let spec = &server.spec;
            let memory = u64::from(spec.memory_pieces) * u64::from(spec.piece_tokens);
            match spec.role {
                Role::Prefill => {
                    capabilities.prefill_servers += 1;
                    let rate = &mut capabilities.prefill_tokens_per_second;
                    *rate = rate.max(spec.prefill_tokens_per_second);
                    let rate = &mut capabilities.link_tokens_per_second;
                    *rate = rate.max(spec.link_tokens_per_second);
                    capabilities.prefill_memory_tokens =
                        capabilities.prefill_memory_tokens.max(memory);
                }
                Role::Decode => {
                    capabilities.decode_servers += 1;
                    capabilities.seconds_per_token =
                        capabilities.seconds_per_token.min(spec.seconds_per_token);
                    capabilities.decode_memory_tokens =
                        capabilities.decode_memory_tokens.max(memory);
                }
            }
        }
        if capabilities.decode_servers == 0 {
            capabilities.seconds_per_token = 0.0;
        }
        self.capabilities = capabilities;
    }
}

impl Server {
    fn new(now: Instant, spec: ServerSpec) -> Self {
        Self {
            spec,
            is_cordoned: false,
            cordoned_at: None,
            is_isolated: false,
            prefill_load: PrefillLoad::new(now),
            decode_load: DecodeLoad::default(),
            link: Link::default(),
            reported_at: None,
            consecutive_failures: 0,
            cooldown_until: None,
            index_entry: None,
        }
    }

    /// Returns whether the server gets no new work because of a recent failure.
    pub(crate) fn is_cooling_down(&self, now: Instant) -> bool {
        self.cooldown_until.is_some_and(|until| now < until)
    }

    /// Records that the server failed a job.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        // Jobs that fail during the cooldown count as part of the same failure.
        if self.is_cooling_down(now) {
            return;
        }
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        self.consecutive_failures += 1;
        self.cooldown_until = Some(now + INITIAL_COOLDOWN * (1 << doublings));
    }

    /// Records that the server completed its part of a job.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Returns the number of pieces of memory that hold `tokens`.
    pub(crate) fn pieces(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.spec.piece_tokens.max(1))
    }

    /// Returns the number of pieces that a decode engine is expected to allocate for a job whose
    /// context grows to `tokens`.
    pub(crate) fn job_pieces(&self, tokens: u32) -> u32 {
        self.pieces(tokens) + self.decode_load.extra_pieces_per_job()
    }

    /// Returns the prefill time of `tokens` that are not cached.
    pub(crate) fn prefill_time(&self, tokens: u32) -> Duration {
        let prefill_time =
            duration_from_secs(f64::from(tokens) / self.spec.prefill_tokens_per_second);
        prefill_time + self.prefill_load.overhead()
    }

    /// Returns the committed slots and memory, with reservations and other schedulers' jobs.
    pub(crate) fn committed(&self) -> Usage {
        let (running, reserved) = (self.decode_load.running(), self.decode_load.reserved());
        let external = self.decode_load.external();
        Usage {
            slots: running.slots + reserved.slots + external.slots,
            pieces: running.pieces + reserved.pieces + external.pieces,
        }
    }

    fn current_index_entry(&self) -> Option<IndexEntry> {
        if self.is_cordoned || self.is_isolated {
            return None;
        }
        if self.spec.role == Role::Prefill {
            return Some(IndexEntry::Prefill { free_at: self.prefill_load.unadjusted_free_at() });
        }
        let (running, committed) = (self.decode_load.running().slots, self.committed());
        Some(IndexEntry::Decode {
            availability: self.decode_load.slot_availability(&self.spec),
            pieces: committed.pieces,
            has_free_slot: running + self.decode_load.external().slots < self.spec.slots,
            running,
            overcommitted_slots: committed.slots.saturating_sub(self.spec.slots),
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
