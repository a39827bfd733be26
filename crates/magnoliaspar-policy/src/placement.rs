//! Choice of a prefill engine and a decode engine for a job.

use std::time::{Duration, Instant};

use magnoliaspar_core::{BlockHash, ServerKey, ZoneName};

use crate::explain::{Inputs, RejectReason, Rejected, WaitReason};
use crate::link::earliest_common_start;
use crate::margins::SafetyMargins;
use crate::pool::{Pool, Server};
use crate::prefill_load::duration_from_secs;
use crate::prefix::PrefixIndex;
use crate::release::ReleaseRate;

/// The maximum queueing time on a prefill engine for a job of which it has less than half cached.
///
/// A short queue keeps the engine busy while messages are under way. Beyond that the job waits in
/// the scheduler, where its order can still change.
const MAX_QUEUE_AHEAD: Duration = Duration::from_millis(20);

/// The maximum queueing time on a prefill engine for a job of which it has at least half cached.
const MAX_QUEUE_AHEAD_CACHED: Duration = Duration::from_millis(300);

/// The maximum number of servers that are considered because they cache a prompt's prefix.
const MAX_PREFIX_HOLDERS: usize = 6;

/// The maximum number of servers of each role that are considered in the preferred zone.
const SAME_ZONE_CANDIDATES: usize = 4;

/// The maximum number of servers of each role that are considered in each other zone.
const OTHER_ZONE_CANDIDATES: usize = 2;

/// The maximum number of prefill engines for which a decode engine is searched.
const MAX_PREFILL_CANDIDATES: usize = 3;

/// The maximum number of rejected servers in an explanation.
const MAX_REJECTED: usize = 12;

/// The cost of work in another zone besides its transfer time, as an equivalent delay.
const CROSS_ZONE_COST: Duration = Duration::from_millis(5);

/// The age above which a load report no longer shows that a server is alive.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// The cost of a stale load report, as an equivalent delay.
const STALE_REPORT_COST: Duration = Duration::from_millis(100);

/// The cost of a full decode engine compared with an empty one, as an equivalent delay.
const FULL_LOAD_COST: Duration = Duration::from_millis(100);

/// The maximum number of decode steps until the first token of a job that joins the batch.
///
/// A job joins between two steps, so it also waits for the step that is running.
pub(crate) const FIRST_TOKEN_STEPS: u32 = 2;

/// The delay before the next placement attempt when it is not known when a job could start.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Chooses servers for jobs by the current state of the pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Placement<'a> {
    pub(crate) pool: &'a Pool,
    pub(crate) prefixes: &'a PrefixIndex,
    pub(crate) release_rate: &'a ReleaseRate,
    /// The availability zone in which the scheduler runs. Its servers are preferred.
    pub(crate) zone: Option<&'a ZoneName>,
    /// The factor by which a transfer between availability zones is slower than inside one.
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
    pub(crate) margins: SafetyMargins,
    /// The time when the first token is due, if a job that would miss it is not started.
    pub(crate) target_at: Option<Instant>,
    /// The margin for a first token that comes later than predicted.
    pub(crate) lateness_margin: Duration,
    /// The slack that the job had before its target when it was accepted.
    pub(crate) slack: Duration,
    /// The server that last failed the job.
    pub(crate) avoided_server: Option<ServerKey>,
    /// The pair of servers that is reserved for the job, if it is a suspect.
    pub(crate) isolated_pair: Option<IsolatedPair>,
}

/// The servers that are reserved for suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IsolatedPair {
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
pub(crate) struct PlacementError {
    pub(crate) reason: WaitReason,
    /// The time of the next placement attempt if no event comes first.
    pub(crate) recheck_at: Instant,
    pub(crate) rejected: Vec<Rejected>,
}

/// A prefill engine that can take a job, with the predicted times and cost.
#[derive(Debug, Clone, Copy)]
struct PrefillCandidate {
    key: ServerKey,
    cached_tokens: u32,
    queue_ahead: Duration,
    prefill_time: Duration,
    ready_at: Instant,
    cost: Duration,
}

/// A decode engine that can take a job, with the predicted times and cost.
#[derive(Debug, Clone, Copy)]
struct DecodeCandidate {
    key: ServerKey,
    transfer_at: Instant,
    transfer_time: Duration,
    first_token_at: Instant,
    cost: Duration,
}

impl Placement<'_> {
    /// Chooses a prefill engine, and a decode engine that gets a free slot before the KV cache of
    /// the job expires.
    pub(crate) fn plan(&self, now: Instant, demand: &Demand<'_>) -> Result<Plan, PlacementError> {
        let mut rejected = Vec::new();
        let mut recheck_at = None;
        let mut prefill_candidates =
            self.prefill_candidates(now, demand, &mut rejected, &mut recheck_at);
        prefill_candidates.sort_by_key(|prefill| prefill.cost);
        let mut reason = WaitReason::Prefill;
        for (rank, prefill) in prefill_candidates.iter().enumerate() {
            if rank >= MAX_PREFILL_CANDIDATES {
                self.reject(&mut rejected, prefill.key, RejectReason::CostsMore);
                continue;
            }
            match self.choose_decode(now, demand, prefill, &mut rejected) {
                Ok(decode) => {
                    for other in &prefill_candidates[rank + 1..] {
                        self.reject(&mut rejected, other.key, RejectReason::CostsMore);
                    }
                    return Ok(self.build_plan(now, demand, prefill, &decode, rejected));
                }
                Err(wait_reason) => reason = wait_reason,
            }
        }
        if reason != WaitReason::Prefill {
            recheck_at = None;
        }
        let recheck_at = recheck_at.unwrap_or(now + RECHECK_INTERVAL);
        Err(PlacementError { reason, recheck_at, rejected })
    }

    /// Chooses a decode engine with a free slot and a free link for a held KV cache.
    pub(crate) fn choose_free_decode(
        &self,
        now: Instant,
        prefill: ServerKey,
        demand: &Demand<'_>,
        held_until: Instant,
    ) -> Option<ServerKey> {
        let from = self.pool.get(prefill)?;
        let mut best: Option<(Duration, ServerKey)> = None;
        for key in self.pool.with_free_slot().iter().take(4 * SAME_ZONE_CANDIDATES) {
            let Some(server) = self.pool.get(*key) else { continue };
            let is_avoided = demand.avoided_server == Some(*key);
            if is_avoided || server.is_cooling_down(now) || server.link.is_unresponsive(now) {
                continue;
            }
            let pieces = server.job_pieces(demand.memory_tokens);
            if !server.decode_load.has_capacity(now, &server.spec, pieces) {
                continue;
            }
            let transfer_time = self.transfer_time(from, server, demand.tokens);
            if server.link.busy_until(now).is_some() || now + transfer_time > held_until {
                continue;
            }
            let cost = transfer_time + self.load_cost(server) + cross_zone_cost(from, server);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the transfer time of the KV cache of `tokens` between two servers.
    pub(crate) fn transfer_time(&self, from: &Server, to: &Server, tokens: u32) -> Duration {
        let rate = from.spec.link_tokens_per_second.min(to.spec.link_tokens_per_second);
        let same_zone_seconds = f64::from(tokens) / rate;
        let slowdown =
            if from.spec.zone == to.spec.zone { 1.0 } else { self.cross_zone_slowdown.max(1.0) };
        duration_from_secs(same_zone_seconds * slowdown)
    }

    fn prefill_candidates(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        rejected: &mut Vec<Rejected>,
        recheck_at: &mut Option<Instant>,
    ) -> Vec<PrefillCandidate> {
        let mut prefill_candidates = Vec::new();
        for key in self.prefill_shortlist(demand) {
            let Some(server) = self.pool.get(key) else { continue };
            if let Some(reason) = self.prefill_rejection(now, key, server, demand) {
                self.reject(rejected, key, reason);
                continue;
            }
            let prefill = self.prefill_candidate(now, key, server, demand);
            let is_mostly_cached = 2 * prefill.cached_tokens >= demand.tokens;
            let max_queue_ahead =
                if is_mostly_cached { MAX_QUEUE_AHEAD_CACHED } else { MAX_QUEUE_AHEAD };
            if server.prefill_load.prefills() >= server.spec.slots
                || prefill.queue_ahead > max_queue_ahead
            {
                let at = now + prefill.queue_ahead.saturating_sub(max_queue_ahead);
                let at = at.max(now + MAX_QUEUE_AHEAD / 4);
                *recheck_at = Some(recheck_at.map_or(at, |other| at.min(other)));
                self.reject(rejected, key, RejectReason::QueueTooLong);
                continue;
            }
            prefill_candidates.push(prefill);
        }
        prefill_candidates
    }

    fn prefill_shortlist(&self, demand: &Demand<'_>) -> Vec<ServerKey> {
        if let Some(pair) = demand.isolated_pair {
            return vec![pair.prefill];
        }
        let mut keys = self.prefixes.holders(demand.blocks, MAX_PREFIX_HOLDERS);
        for (zone, index) in self.pool.zones() {
            let is_same_zone = self.zone.is_none_or(|own| own == zone);
            let limit = if is_same_zone { SAME_ZONE_CANDIDATES } else { OTHER_ZONE_CANDIDATES };
            for key in index.prefill().take(limit) {
                if !keys.contains(&key) {
                    keys.push(key);
                }
            }
        }
        keys
    }

    fn prefill_rejection(
        &self,
        now: Instant,
        key: ServerKey,
        server: &Server,
        demand: &Demand<'_>,
    ) -> Option<RejectReason> {
        let is_isolated_for_job = demand.isolated_pair.is_some_and(|pair| pair.prefill == key);
        if server.is_cordoned {
            return Some(RejectReason::Cordoned);
        }
        if server.is_isolated && !is_isolated_for_job {
            return Some(RejectReason::Isolated);
        }
        if server.is_cooling_down(now) {
            return Some(RejectReason::JustFailed);
        }
        if server.prefill_load.is_unresponsive(now) {
            return Some(RejectReason::Unresponsive);
        }
        let is_avoided = demand.avoided_server == Some(key) && !is_isolated_for_job;
        if is_avoided && self.pool.capabilities().prefill_servers > 1 {
            return Some(RejectReason::FailedThisJob);
        }
        let is_other_zone = self.zone.is_some_and(|own| *own != server.spec.zone);
        if is_other_zone && has_stale_report(now, server) {
            return Some(RejectReason::StaleReport);
        }
        let pieces = server.prefill_load.pieces() + server.pieces(demand.tokens);
        if pieces > server.spec.memory_pieces {
            return Some(RejectReason::MemoryFull);
        }
        None
    }

    fn prefill_candidate(
        &self,
        now: Instant,
        key: ServerKey,
        server: &Server,
        demand: &Demand<'_>,
    ) -> PrefillCandidate {
        let expected_hit = self.prefixes.cached_tokens(now, key, demand.blocks);
        let cached_tokens = expected_hit.min(demand.tokens.saturating_sub(1));
        let prefill_time = server.prefill_time(demand.tokens - cached_tokens);
        let queue_ahead = server.prefill_load.free_at(now) - now;
        let mut cost = queue_ahead + prefill_time + demand.margins.prefill_cost(prefill_time);
        if self.zone.is_some_and(|own| *own != server.spec.zone) {
            cost += CROSS_ZONE_COST;
        }
        if has_stale_report(now, server) {
            cost += STALE_REPORT_COST;
        }
        let ready_at = now + queue_ahead + prefill_time;
        PrefillCandidate { key, cached_tokens, queue_ahead, prefill_time, ready_at, cost }
    }

    /// Chooses the decode engine with the lowest cost for a job that prefills on a given engine.
    fn choose_decode(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        prefill: &PrefillCandidate,
        rejected: &mut Vec<Rejected>,
    ) -> Result<DecodeCandidate, WaitReason> {
        let Some(from) = self.pool.get(prefill.key) else { return Err(WaitReason::Prefill) };
        let mut best: Option<DecodeCandidate> = None;
        let mut wait_reason = WaitReason::Decode;
        for key in self.decode_shortlist(from, demand) {
            let decode = match self.decode_candidate(now, demand, prefill, from, key) {
                Ok(decode) => decode,
                Err(reason) => {
                    if reason == RejectReason::TooLate {
                        wait_reason = WaitReason::Target;
                    }
                    self.reject(rejected, key, reason);
                    continue;
                }
            };
            if best.is_none_or(|best| decode.cost < best.cost) {
                if let Some(worse) = best.replace(decode) {
                    self.reject(rejected, worse.key, RejectReason::CostsMore);
                }
            } else {
                self.reject(rejected, key, RejectReason::CostsMore);
            }
        }
        best.ok_or(wait_reason)
    }

    fn decode_shortlist(&self, from: &Server, demand: &Demand<'_>) -> Vec<ServerKey> {
        if let Some(pair) = demand.isolated_pair {
            return vec![pair.decode];
        }
        let mut keys = Vec::new();
        for (zone, index) in self.pool.zones() {
            let is_same_zone = *zone == from.spec.zone;
            let limit = if is_same_zone { SAME_ZONE_CANDIDATES } else { OTHER_ZONE_CANDIDATES };
            keys.extend(index.decode().take(limit));
        }
        keys
    }

    fn decode_candidate(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        prefill: &PrefillCandidate,
        from: &Server,
        key: ServerKey,
    ) -> Result<DecodeCandidate, RejectReason> {
        let Some(server) = self.pool.get(key) else { return Err(RejectReason::Cordoned) };
        let is_isolated_for_job = demand.isolated_pair.is_some_and(|pair| pair.decode == key);
        if server.is_cordoned {
            return Err(RejectReason::Cordoned);
        }
        if server.is_isolated && !is_isolated_for_job {
            return Err(RejectReason::Isolated);
        }
        if server.is_cooling_down(now) {
            return Err(RejectReason::JustFailed);
        }
        if server.link.is_unresponsive(now) {
            return Err(RejectReason::Unresponsive);
        }
        let is_avoided = demand.avoided_server == Some(key) && !is_isolated_for_job;
        if is_avoided && self.pool.capabilities().decode_servers > 1 {
            return Err(RejectReason::FailedThisJob);
        }
        let transfer_time = self.transfer_time(from, server, demand.tokens);
        let hold = duration_from_secs(from.spec.hold_seconds);
        let margin = demand.margins.hold_margin(hold);
        let last_start = prefill.ready_at + hold.saturating_sub(margin + transfer_time);
        let slot_available_at = self
            .slot_available_at(now, demand, server, prefill.ready_at, last_start)
            .ok_or(RejectReason::NoSlotInTime)?;
        let start = prefill.ready_at.max(slot_available_at);
        let transfer_at =
            earliest_common_start(&from.link, &server.link, now, start, transfer_time);
        if transfer_at > last_start {
            return Err(RejectReason::LinkBusy);
        }
        let step = duration_from_secs(server.spec.seconds_per_token);
        let first_token_at = transfer_at + transfer_time + step * FIRST_TOKEN_STEPS;
        if let Some(target_at) = demand.target_at {
            let margin = demand.margins.target_margin(demand.slack) + demand.lateness_margin;
            if first_token_at + margin > target_at {
                return Err(RejectReason::TooLate);
            }
        }
        let delay = first_token_at.saturating_duration_since(now);
        let mut cost = delay + self.load_cost(server) + cross_zone_cost(from, server);
        if has_stale_report(now, server) {
            cost += STALE_REPORT_COST;
        }
        Ok(DecodeCandidate { key, transfer_at, transfer_time, first_token_at, cost })
    }

    /// Returns when a decode engine is expected to have a slot, if that is early enough.
    ///
    /// A time after `last_start` would exceed the hold time of the KV cache.
    fn slot_available_at(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        server: &Server,
        ready_at: Instant,
        last_start: Instant,
    ) -> Option<Instant> {
        let pieces = server.job_pieces(demand.memory_tokens);
        let available_at = server.decode_load.available_at(now, &server.spec, pieces);
        if let Some(at) = available_at.filter(|at| *at <= last_start) {
            return Some(at);
        }
        if demand.isolated_pair.is_some() || pieces > server.spec.memory_pieces {
            return None;
        }
        // The end of a single job cannot be predicted, but the release rate of the pool can.
        let totals = self.pool.totals();
        let is_reserved = server.decode_load.reserved().slots >= server.spec.slots;
        if is_reserved || server.decode_load.has_recent_refusal(now) {
            return None;
        }
        let needed = totals.overcommitted_slots + 1;
        let until = last_start.saturating_duration_since(now);
        if !self.release_rate.is_release_likely(totals.running, until, needed, demand.margins) {
            return None;
        }
        let expected_at = now + self.release_rate.expected_time(totals.running, needed)?;
        (expected_at <= ready_at + demand.margins.max_expected_hold(last_start - ready_at))
            .then_some(expected_at)
    }

    fn load_cost(&self, server: &Server) -> Duration {
        let committed = server.committed();
        let memory = f64::from(committed.pieces) / f64::from(server.spec.memory_pieces.max(1));
        let slots = f64::from(committed.slots) / f64::from(server.spec.slots.max(1));
        FULL_LOAD_COST.mul_f64(memory.max(slots).min(1.0))
    }

    fn build_plan(
        &self,
        now: Instant,
        demand: &Demand<'_>,
        chosen_prefill: &PrefillCandidate,
        chosen_decode: &DecodeCandidate,
        rejected: Vec<Rejected>,
    ) -> Plan {
        let reported_at = self.pool.get(chosen_prefill.key).and_then(|server| server.reported_at);
        let inputs = Inputs {
            cached_tokens: chosen_prefill.cached_tokens,
            uncached_tokens: demand.tokens - chosen_prefill.cached_tokens,
            queue_ahead: chosen_prefill.queue_ahead,
            prefill_time: chosen_prefill.prefill_time,
            transfer_time: chosen_decode.transfer_time,
            held_time: chosen_decode.transfer_at.saturating_duration_since(chosen_prefill.ready_at),
            report_age: reported_at.map(|at| now.saturating_duration_since(at)),
            first_token_at: Some(chosen_decode.first_token_at),
            target_at: demand.target_at,
        };
        let (prefill, decode) = (chosen_prefill.key, chosen_decode.key);
        Plan { prefill, decode, transfer_at: chosen_decode.transfer_at, inputs, rejected }
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

fn has_stale_report(now: Instant, server: &Server) -> bool {
    server.reported_at.is_some_and(|at| now.saturating_duration_since(at) > MAX_REPORT_AGE)
}

fn cross_zone_cost(from: &Server, to: &Server) -> Duration {
    if from.spec.zone == to.spec.zone { Duration::ZERO } else { CROSS_ZONE_COST }
}
