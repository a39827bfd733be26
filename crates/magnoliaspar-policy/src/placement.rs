//! Choice of a prefill engine and a decode engine for a job.

use std::time::{Duration, Instant};

use magnoliaspar_core::{BlockHash, ServerKey, ZoneName};

use crate::explain::{Inputs, RejectReason, Rejected, WaitReason};
use crate::link::earliest_on_both;
use crate::margins::Caution;
use crate::pool::{Pool, Server};
use crate::prefill_load::seconds;
use crate::prefix::PrefixIndex;
use crate::release::ReleaseRate;

/// The maximum queue of a prefill engine that is given a job of which it has too little cached.
///
/// A short queue keeps the engine busy while messages are under way. Beyond that the job waits in
/// the scheduler, where its order can still change.
const LOOKAHEAD: Duration = Duration::from_millis(20);

/// The maximum queue of a prefill engine that is given a job of which it has at least half cached.
const HOLDER_LOOKAHEAD: Duration = Duration::from_millis(300);

/// The maximum number of servers that are considered because they cache a prompt's prefix.
const MAX_HOLDERS: usize = 6;

/// The maximum number of servers of each role that are considered in the preferred zone.
const NEAR_CANDIDATES: usize = 4;

/// The maximum number of servers of each role that are considered in each other zone.
const FAR_CANDIDATES: usize = 2;

/// The maximum number of prefill engines for which a decode engine is searched.
const MAX_TRIES: usize = 3;

/// The maximum number of rejected servers in an explanation.
const MAX_REJECTED: usize = 12;

/// The cost of work in another zone besides its transfer time, as an equivalent delay.
const FAR_PRICE: Duration = Duration::from_millis(5);

/// The age above which a load report no longer shows that a server is alive.
const STALE_REPORT: Duration = Duration::from_secs(3);

/// The cost of a stale load report, as an equivalent delay.
const STALE_PRICE: Duration = Duration::from_millis(100);

/// The cost of a full decode engine compared with an empty one, as an equivalent delay.
const LOAD_PRICE: Duration = Duration::from_millis(100);

/// The maximum number of decode steps until the first token of a job that joins the batch.
///
/// A job joins between two steps, so it also waits for the step that is running.
pub(crate) const FIRST_TOKEN_STEPS: u32 = 2;

/// The recheck interval of a job when no event that would unblock it is known.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Chooses servers for jobs from a snapshot of the pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placement<'a> {
    pub(crate) pool: &'a Pool,
    pub(crate) prefixes: &'a PrefixIndex,
    pub(crate) releases: &'a ReleaseRate,
    /// The availability zone in which the scheduler runs.
    pub(crate) zone: Option<&'a ZoneName>,
    pub(crate) cross_zone_slowdown: f64,
}

/// The resources that a job needs, and the constraints on its placement.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand<'a> {
    pub(crate) blocks: &'a [BlockHash],
    /// The tokens to prefill: the prompt and the tokens that the answer already has.
    pub(crate) tokens: u32,
    /// The tokens for which the decode engine needs KV cache memory.
    pub(crate) memory_tokens: u32,
    pub(crate) caution: Caution,
    /// The time when the first token is due, if a job that would miss it is not started.
    pub(crate) target_at: Option<Instant>,
    /// The margin for a first token that comes later than predicted.
    pub(crate) lateness: Duration,
    /// The slack that the job had before its target when it was accepted.
    pub(crate) slack: Duration,
    /// The server that last failed the job.
    pub(crate) avoid: Option<ServerKey>,
    /// The pair of servers that is reserved for the job, if it is a suspect.
    pub(crate) apart: Option<Apart>,
}

/// The servers that are reserved for suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Apart {
    pub(crate) prefill: ServerKey,
    pub(crate) decode: ServerKey,
}

/// The chosen servers of a job and the predicted times.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) prefill: ServerKey,
    pub(crate) decode: ServerKey,
    pub(crate) transfer_at: Instant,
    pub(crate) inputs: Inputs,
    pub(crate) rejected: Vec<Rejected>,
}

/// The reason why a job cannot start now.
#[derive(Debug, Clone)]
pub(crate) struct Obstacle {
    pub(crate) reason: WaitReason,
    /// The time of the next placement attempt if no event comes first.
    pub(crate) look_again_at: Instant,
    pub(crate) rejected: Vec<Rejected>,
}

/// A prefill engine that can take a job, with the predicted times and cost.
#[derive(Debug, Clone, Copy)]
struct Reader {
    key: ServerKey,
    cached_tokens: u32,
    queue_ahead: Duration,
    read_time: Duration,
    ready_at: Instant,
    price: Duration,
}

/// A decode engine that can take a job, with the predicted times and cost.
#[derive(Debug, Clone, Copy)]
struct Taker {
    key: ServerKey,
    transfer_at: Instant,
    transfer_time: Duration,
    first_token_at: Instant,
    price: Duration,
}

impl Placement<'_> {
    /// Chooses a prefill engine, and a decode engine with a slot while the KV cache is held.
    pub(crate) fn plan(&self, now: Instant, demand: &Demand<'_>) -> Result<Plan, Obstacle> {
        let mut rejected = Vec::new();
        let mut look_again_at = None;
        let mut readers = self.readers(now, demand, &mut rejected, &mut look_again_at);
        readers.sort_by_key(|reader| reader.price);
        let mut reason = WaitReason::Prefill;
        for (rank, reader) in readers.iter().enumerate() {
            if rank >= MAX_TRIES {
                self.reject(&mut rejected, reader.key, RejectReason::CostsMore);
                continue;
            }
            match self.taker(now, demand, reader, &mut rejected) {
                Ok(taker) => {
                    for other in &readers[rank + 1..] {
                        self.reject(&mut rejected, other.key, RejectReason::CostsMore);
                    }
                    return Ok(self.arrange(now, demand, reader, &taker, rejected));
                }
                Err(missing) => reason = missing,
            }
        }
        if reason != WaitReason::Prefill {
            look_again_at = None;
        }
        let look_again_at = look_again_at.unwrap_or(now + LOOK_AGAIN);
        Err(Obstacle { reason, look_again_at, rejected })
    }

    /// Chooses a decode engine with a free slot and a free link for a held KV cache.
    pub(crate) fn free_decode(
        &self,
        now: Instant,
        prefill: ServerKey,
        demand: &Demand<'_>,
        ends_before: Instant,
    ) -> Option<ServerKey> {
        let from = self.pool.get(prefill)?;
        let mut best: Option<(Duration, ServerKey)> = None;
        for key in self.pool.roomy().iter().take(4 * NEAR_CANDIDATES) {
            let Some(server) = self.pool.get(*key) else { continue };
            let is_avoided = demand.avoid == Some(*key);
            if is_avoided || server.is_cooling(now) || server.link.is_silent(now) {
                continue;
            }
            let pieces = server.answer_pieces(demand.memory_tokens);
            if !server.decoding.has_room(now, &server.spec, pieces) {
                continue;
            }
            let transfer_time = self.transfer_time(from, server, demand.tokens);
            if server.link.busy_until(now).is_some() || now + transfer_time > ends_before {
                continue;
            }
            let price = transfer_time + self.load_price(server) + far_price(from, server);
            if best.is_none_or(|(least, _)| price < least) {
                best = Some((price, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the transfer time of the KV cache of `tokens` between two servers.
    pub(crate) fn transfer_time(&self, from: &Server, to: &Server, tokens: u32) -> Duration {
        let rate = from.spec.link_tokens_per_second.min(to.spec.link_tokens_per_second);
        let near = f64::from(tokens) / rate;
        let slowdown =
            if from.spec.zone == to.spec.zone { 1.0 } else { self.cross_zone_slowdown.max(1.0) };
        seconds(near * slowdown)
    }

    fn readers(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        rejected: &mut Vec<Rejected>,
        look_again_at: &mut Option<Instant>,
    ) -> Vec<Reader> {
        let mut readers = Vec::new();
        for key in self.prefill_candidates(demand) {
            let Some(server) = self.pool.get(key) else { continue };
            if let Some(reason) = self.unusable(now, key, server, demand) {
                self.reject(rejected, key, reason);
                continue;
            }
            let reader = self.reader(now, key, server, demand);
            let is_holder = 2 * reader.cached_tokens >= demand.tokens;
            let lookahead = if is_holder { HOLDER_LOOKAHEAD } else { LOOKAHEAD };
            if server.reading.reading() >= server.spec.slots || reader.queue_ahead > lookahead {
                let at = now + reader.queue_ahead.saturating_sub(lookahead);
                let at = at.max(now + LOOKAHEAD / 4);
                *look_again_at = Some(look_again_at.map_or(at, |other| at.min(other)));
                self.reject(rejected, key, RejectReason::QueueTooLong);
                continue;
            }
            readers.push(reader);
        }
        readers
    }

    fn prefill_candidates(&self, demand: &Demand<'_>) -> Vec<ServerKey> {
        if let Some(apart) = demand.apart {
            return vec![apart.prefill];
        }
        let mut keys = self.prefixes.holders(demand.blocks, MAX_HOLDERS);
        for (zone, index) in self.pool.zones() {
            let is_near = self.zone.is_none_or(|own| own == zone);
            let limit = if is_near { NEAR_CANDIDATES } else { FAR_CANDIDATES };
            for key in index.prefill().take(limit) {
                if !keys.contains(&key) {
                    keys.push(key);
                }
            }
        }
        keys
    }

    fn unusable(
        &self,
        now: Instant,
        key: ServerKey,
        server: &Server,
        demand: &Demand<'_>,
    ) -> Option<RejectReason> {
        let is_apart = demand.apart.is_some_and(|apart| apart.prefill == key);
        if server.is_sealed {
            return Some(RejectReason::Sealed);
        }
        if server.is_isolated && !is_apart {
            return Some(RejectReason::Isolated);
        }
        if server.is_cooling(now) {
            return Some(RejectReason::JustFailed);
        }
        if server.reading.is_silent(now) {
            return Some(RejectReason::Silent);
        }
        let is_avoided = demand.avoid == Some(key) && !is_apart;
        if is_avoided && self.pool.best().prefill_servers > 1 {
            return Some(RejectReason::FailedThisJob);
        }
        let is_far = self.zone.is_some_and(|own| *own != server.spec.zone);
        if is_far && is_stale(now, server) {
            return Some(RejectReason::StaleReport);
        }
        let pieces = server.reading.pieces() + server.pieces(demand.tokens);
        if pieces > server.spec.memory_pieces {
            return Some(RejectReason::MemoryFull);
        }
        None
    }

    fn reader(&self, now: Instant, key: ServerKey, server: &Server, demand: &Demand<'_>) -> Reader {
        let known = self.prefixes.cached_tokens(now, key, demand.blocks);
        let cached_tokens = known.min(demand.tokens.saturating_sub(1));
        let read_time = server.read_time(demand.tokens - cached_tokens);
        let queue_ahead = server.reading.free_at(now) - now;
        let mut price = queue_ahead + read_time + demand.caution.read_price(read_time);
        if self.zone.is_some_and(|own| *own != server.spec.zone) {
            price += FAR_PRICE;
        }
        if is_stale(now, server) {
            price += STALE_PRICE;
        }
        let ready_at = now + queue_ahead + read_time;
        Reader { key, cached_tokens, queue_ahead, read_time, ready_at, price }
    }

    /// Chooses the decode engine with the lowest cost for a prefill engine.
    fn taker(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        reader: &Reader,
        rejected: &mut Vec<Rejected>,
    ) -> Result<Taker, WaitReason> {
        let Some(from) = self.pool.get(reader.key) else { return Err(WaitReason::Prefill) };
        let mut best: Option<Taker> = None;
        let mut missing = WaitReason::Decode;
        for key in self.decode_candidates(from, demand) {
            let taker = match self.consider(now, demand, reader, from, key) {
                Ok(taker) => taker,
                Err(reason) => {
                    if reason == RejectReason::TooLate {
                        missing = WaitReason::Target;
                    }
                    self.reject(rejected, key, reason);
                    continue;
                }
            };
            if best.is_none_or(|best| taker.price < best.price) {
                if let Some(worse) = best.replace(taker) {
                    self.reject(rejected, worse.key, RejectReason::CostsMore);
                }
            } else {
                self.reject(rejected, key, RejectReason::CostsMore);
            }
        }
        best.ok_or(missing)
    }

    fn decode_candidates(&self, from: &Server, demand: &Demand<'_>) -> Vec<ServerKey> {
        if let Some(apart) = demand.apart {
            return vec![apart.decode];
        }
        let mut keys = Vec::new();
        for (zone, index) in self.pool.zones() {
            let is_near = *zone == from.spec.zone;
            let limit = if is_near { NEAR_CANDIDATES } else { FAR_CANDIDATES };
            keys.extend(index.decode().take(limit));
        }
        keys
    }

    fn consider(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        reader: &Reader,
        from: &Server,
        key: ServerKey,
    ) -> Result<Taker, RejectReason> {
        let Some(server) = self.pool.get(key) else { return Err(RejectReason::Sealed) };
        let is_apart = demand.apart.is_some_and(|apart| apart.decode == key);
        if server.is_sealed {
            return Err(RejectReason::Sealed);
        }
        if server.is_isolated && !is_apart {
            return Err(RejectReason::Isolated);
        }
        if server.is_cooling(now) {
            return Err(RejectReason::JustFailed);
        }
        if server.link.is_silent(now) {
            return Err(RejectReason::Silent);
        }
        let is_avoided = demand.avoid == Some(key) && !is_apart;
        if is_avoided && self.pool.best().decode_servers > 1 {
            return Err(RejectReason::FailedThisJob);
        }
        let transfer_time = self.transfer_time(from, server, demand.tokens);
        let hold = seconds(from.spec.hold_seconds);
        let margin = demand.caution.hold_margin(hold);
        let last_start = reader.ready_at + hold.saturating_sub(margin + transfer_time);
        let slot_at = self
            .slot_at(now, demand, server, reader.ready_at, last_start)
            .ok_or(RejectReason::NoSlotInTime)?;
        let start = reader.ready_at.max(slot_at);
        let transfer_at = earliest_on_both(&from.link, &server.link, now, start, transfer_time);
        if transfer_at > last_start {
            return Err(RejectReason::LinkBusy);
        }
        let step = seconds(server.spec.seconds_per_token);
        let first_token_at = transfer_at + transfer_time + step * FIRST_TOKEN_STEPS;
        if let Some(target_at) = demand.target_at {
            let margin = demand.caution.target_margin(demand.slack) + demand.lateness;
            if first_token_at + margin > target_at {
                return Err(RejectReason::TooLate);
            }
        }
        let delay = first_token_at.saturating_duration_since(now);
        let mut price = delay + self.load_price(server) + far_price(from, server);
        if is_stale(now, server) {
            price += STALE_PRICE;
        }
        Ok(Taker { key, transfer_at, transfer_time, first_token_at, price })
    }

    /// Returns when a decode engine is expected to have a slot, if that is early enough.
    ///
    /// A time after `last_start` would exceed the hold time of the KV cache.
    fn slot_at(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        server: &Server,
        ready_at: Instant,
        last_start: Instant,
    ) -> Option<Instant> {
        let pieces = server.answer_pieces(demand.memory_tokens);
        let known = server.decoding.available_at(now, &server.spec, pieces);
        if let Some(at) = known.filter(|at| *at <= last_start) {
            return Some(at);
        }
        if demand.apart.is_some() || pieces > server.spec.memory_pieces {
            return None;
        }
        // The end of a single job cannot be predicted, but the release rate of the pool can.
        let totals = self.pool.totals();
        let is_reserved = server.decoding.reserved().slots >= server.spec.slots;
        if is_reserved || server.decoding.is_refusing(now) {
            return None;
        }
        let needed = totals.overdraft + 1;
        let until = last_start.saturating_duration_since(now);
        if !self.releases.covers(totals.running, until, needed, demand.caution) {
            return None;
        }
        let expected_at = now + self.releases.time_for(totals.running, needed)?;
        (expected_at <= ready_at + demand.caution.wait(last_start - ready_at))
            .then_some(expected_at)
    }

    fn load_price(&self, server: &Server) -> Duration {
        let taken = server.taken();
        let memory = f64::from(taken.pieces) / f64::from(server.spec.memory_pieces.max(1));
        let slots = f64::from(taken.slots) / f64::from(server.spec.slots.max(1));
        LOAD_PRICE.mul_f64(memory.max(slots).min(1.0))
    }

    fn arrange(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        reader: &Reader,
        taker: &Taker,
        rejected: Vec<Rejected>,
    ) -> Plan {
        let reported_at = self.pool.get(reader.key).and_then(|server| server.reported_at);
        let inputs = Inputs {
            cached_tokens: reader.cached_tokens,
            uncached_tokens: demand.tokens - reader.cached_tokens,
            queue_ahead: reader.queue_ahead,
            read_time: reader.read_time,
            transfer_time: taker.transfer_time,
            held_time: taker.transfer_at.saturating_duration_since(reader.ready_at),
            report_age: reported_at.map(|at| now.saturating_duration_since(at)),
            first_token_at: Some(taker.first_token_at),
            target_at: demand.target_at,
        };
        let (prefill, decode) = (reader.key, taker.key);
        Plan { prefill, decode, transfer_at: taker.transfer_at, inputs, rejected }
    }

    fn reject(&self, rejected: &mut Vec<Rejected>, key: ServerKey, reason: RejectReason) {
        let Some(server) = self.pool.get(key) else { return };
        let name = &server.spec.name;
        if rejected.len() >= MAX_REJECTED || rejected.iter().any(|other| other.server == *name) {
            return;
        }
        rejected.push(Rejected { server: name.clone(), reason });
    }
}

fn is_stale(now: Instant, server: &Server) -> bool {
    server.reported_at.is_some_and(|at| now.saturating_duration_since(at) > STALE_REPORT)
}

fn far_price(from: &Server, to: &Server) -> Duration {
    if from.spec.zone == to.spec.zone { Duration::ZERO } else { FAR_PRICE }
}
