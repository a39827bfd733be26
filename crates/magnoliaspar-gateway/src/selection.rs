//! Selection of servers: pure decisions over a list of candidates.

use std::time::{Duration, Instant};

use magnoliaspar_core::ServerKey;
use rand::Rng;

use crate::directory::{Directory, EngineRole, Server};
use crate::guarantees::{Guarantee, is_disabled};
use crate::request_limit::RequestLimit;
use crate::reservations::Reservations;

#[cfg(test)]
mod simulation;

/// Prefill speed of a prefill engine, in tokens per millisecond.
pub const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Factor by which a decode engine prefills more slowly, as specified for the engines.
const DECODE_PREFILL_SLOWDOWN: f64 = 2.0;

/// Maximum share of the latency target that a prompt may spend in the queue and the prefill of a
/// prefill engine. Beyond it a decode engine prefills the prompt, which delays the tokens of all
/// requests there.
const PREFILL_WAIT_SHARE: f64 = 0.6;

/// Maximum duration of the queue of a prefill engine to which a prompt is added, as a share of the latency target. A prompt
/// that waits at the coordinator can be withdrawn when its caller leaves, and keeps no decode memory reserved; one in the
/// queue of an engine is prefilled in any case. Two prompts of a usual size fit in, so that the engine does not idle.
const PREFILL_QUEUE_SHARE: f64 = 0.25;

/// Lower bound of that duration: about one prompt, for which the engine needs no message of the coordinator.
const MIN_PREFILL_QUEUE: Duration = Duration::from_millis(100);

/// Maximum duration of a prefill on a decode engine that runs streams, as a share of the longest pause that is in time.
/// The engine sends no tokens of its streams meanwhile.
const PREFILL_PAUSE_SHARE: f64 = 0.5;

/// Penalty on the fill of an engine in another availability zone, as a share of its memory. A
/// transfer between zones takes longer and is lost if the zone is cut off.
const REMOTE_ZONE_FILL_PENALTY: f64 = 0.06;

/// Factor on the latency of a server in another availability zone. Requests leave a zone when its
/// own servers are a third slower.
const REMOTE_ZONE_LATENCY_FACTOR: f64 = 1.33;

/// Penalty on the prefill queue of an engine in another availability zone, in tokens.
const REMOTE_ZONE_TOKEN_PENALTY: u64 = 2_500;

/// A server that can take a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// Whether the server is in the availability zone of the requesting instance.
    pub is_local: bool,
    /// Whether recent calls to the server failed.
    pub is_avoided: bool,
    /// Requests of this instance in flight at the server.
    pub in_flight: u32,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Prompt tokens that the engine has yet to prefill.
    pub queued_prefill_tokens: u64,
    /// Tokens of the prompt that the engine is expected to hold already.
    pub held_prompt_tokens: u64,
    /// Recent latency of the server, if there are samples.
    pub latency: Option<Duration>,
    /// Predicted peak memory use of a decode engine with the request, as a share of its memory.
    pub fill: f64,
    /// Speed of a prefill engine relative to the usual one.
    pub prefill_speed: f64,
    /// Completions that run on a decode engine or are about to start there.
    pub running: usize,
    /// The stage of a completion that the engine runs; `None` for other servers.
    pub role: Option<EngineRole>,
    /// Time until a permit for a limited server may be due; `None` for a server without a limit.
    pub permit_wait: Option<Duration>,
    /// Time for which the server gets no requests of this instance.
    pub rest: Duration,
    /// Time for which the server is taken for full.
    pub full: Duration,
    /// Share of the calls of all instances that the server should get, if one is assigned.
    pub share: Option<u16>,
}

impl Candidate {
    /// Returns how many tokens a prefill engine prefills until a prompt of `tokens` tokens is done.
    pub fn tokens_to_prefill(&self, tokens: u64) -> u64 {
        let rest = tokens.saturating_sub(self.held_prompt_tokens);
        self.queued_prefill_tokens.saturating_add(rest)
    }

    /// Returns how many tokens a usual prefill engine would prefill in the time in which this one prefills `tokens`.
    pub fn usual_tokens(&self, tokens: u64) -> u64 {
        (tokens as f64 / self.prefill_speed) as u64
    }

    /// Returns whether a decode engine has a free slot. One without a stated number of slots has.
    fn has_slot(&self) -> bool {
        self.slots == 0 || self.running < self.slots as usize
    }

    /// Returns whether a request may be sent at once, with a permit if the server is limited.
    fn has_permit(&self) -> bool {
        self.permit_wait.is_none_or(|wait| wait.is_zero())
    }
}

/// Returns the servers of a service that accept requests, except those in `tried`, for an instance in `zone`.
pub fn list_candidates(
    directory: &Directory,
    service: &str,
    zone: &str,
    tried: &[ServerKey],
    now: Instant,
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for (key, server) in directory.iter() {
        let record = &server.record;
        let is_leaving = record.is_draining && !is_disabled(Guarantee::Drain);
        let is_usable = !is_leaving && !server.is_unreachable && !server.is_changing();
        if &*record.service != service || !is_usable || tried.contains(&key) {
            continue;
        }
        candidates.push(Candidate {
            key,
            is_local: &*record.zone == zone,
            is_avoided: server.is_avoided(now),
            in_flight: server.in_flight,
            slots: record.slots,
            queued_prefill_tokens: 0,
            held_prompt_tokens: 0,
            latency: server.latency(now),
            fill: 0.0,
            prefill_speed: 1.0,
            running: 0,
            role: record.role,
            permit_wait: effective_limit(server).map(|_| server.permit_wait(now)),
            rest: server.wait_left(now),
            full: server.full_left(now),
            share: server.load.share(now),
        });
    }
    candidates
}

/// Returns the limit of a server, unless limits are disabled.
pub fn effective_limit(server: &Server) -> Option<RequestLimit> {
    server.limit().filter(|_| !is_disabled(Guarantee::Limit))
}

/// Chooses a server for a plain call: by the assigned shares where there are some, otherwise by latency.
pub fn choose_server(candidates: &[Candidate], rng: &mut dyn rand::RngCore) -> Option<ServerKey> {
    choose_by_share(candidates, rng).or_else(|| choose_by_latency(candidates, rng))
}

/// Chooses the server with the lowest expected latency, with a preference for the local
/// availability zone.
///
/// Many instances share these servers. Measured latency reflects the load from all of them in a
/// burst; the number of requests that this instance has in flight does not.
fn choose_by_latency(candidates: &[Candidate], rng: &mut dyn rand::RngCore) -> Option<ServerKey> {
    let mean = mean_latency(candidates);
    choose_min(candidates, rng, |candidate| {
        let latency = candidate.latency.unwrap_or(mean);
        let factor = if candidate.is_local { 1.0 } else { REMOTE_ZONE_LATENCY_FACTOR };
        // Requests in flight run before this one, spread over the server's slots.
        let ahead = f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1));
        let expected = latency.mul_f64(factor * (1.0 + ahead));
        (candidate.is_avoided, expected.as_micros())
    })
}

/// Draws two servers by their shares and chooses the one with fewer calls of this instance for its share; `None` if no
/// share is assigned.
///
/// A server without a share is a new one, and gets the mean share.
fn choose_by_share(candidates: &[Candidate], rng: &mut dyn rand::RngCore) -> Option<ServerKey> {
    let mut usable = candidates.to_vec();
    if candidates.iter().any(|candidate| !candidate.is_avoided) {
        usable.retain(|candidate| !candidate.is_avoided);
    }
    let (mut sum, mut count) = (0, 0);
    for candidate in &usable {
        let Some(share) = candidate.share else { continue };
        sum += u32::from(share);
        count += 1;
    }
    if sum == 0 {
        return None;
    }
    let share = |candidate: &Candidate| candidate.share.map_or(sum / count, u32::from).max(1);
    let total: u32 = usable.iter().map(share).sum();
    let mut draw = || {
        let mut point = rng.random_range(0..total);
        for candidate in &usable {
            match point.checked_sub(share(candidate)) {
                Some(rest) => point = rest,
                None => return *candidate,
            }
        }
        usable[0]
    };
    let (first, second) = (draw(), draw());
    let load = |candidate: &Candidate| f64::from(candidate.in_flight) / f64::from(share(candidate));
    Some(if load(&second) < load(&first) { second.key } else { first.key })
}

/// Returns the candidates for which a permit may be due within `max_wait`, or that need none.
pub fn within_limits(candidates: &[Candidate], max_wait: Duration) -> Vec<Candidate> {
    let mut within = candidates.to_vec();
    within.retain(|candidate| candidate.permit_wait.is_none_or(|wait| wait <= max_wait));
    within
}

/// Returns the candidates that do not rest, or the time until the first one can be used.
pub fn without_resting(candidates: &[Candidate]) -> Result<Vec<Candidate>, Duration> {
    let mut usable = candidates.to_vec();
    usable.retain(|candidate| candidate.rest.is_zero());
    let shortest = candidates.iter().map(|candidate| candidate.rest).min();
    if usable.is_empty() { Err(shortest.unwrap_or_default()) } else { Ok(usable) }
}

/// Returns the time until the first server is no longer taken for full; `None` if one of them is not full now.
pub fn time_until_room(candidates: &[Candidate]) -> Option<Duration> {
    let shortest = candidates.iter().map(|candidate| candidate.full).min();
    shortest.filter(|wait| !wait.is_zero())
}

/// Part of its recent latency within which a server may still respond.
const SOONEST_RESPONSE_SHARE: f64 = 0.5;

/// Returns whether a server may respond within the time that is left, by its recent latency.
pub fn may_respond_within(candidates: &[Candidate], remaining: Duration) -> bool {
    candidates.iter().any(|candidate| {
        let latency = candidate.latency.unwrap_or_default();
        latency.mul_f64(SOONEST_RESPONSE_SHARE) < remaining
    })
}

/// Returns whether a server without a limit can take a request at once.
pub fn has_unlimited(candidates: &[Candidate]) -> bool {
    candidates.iter().any(|candidate| candidate.permit_wait.is_none() && !candidate.is_avoided)
}

/// Returns the mean latency of the candidates that have one.
fn mean_latency(candidates: &[Candidate]) -> Duration {
    let mut sum = Duration::ZERO;
    let mut count = 0;
    for candidate in candidates {
        let Some(latency) = candidate.latency else { continue };
        sum += latency;
        count += 1;
    }
    if count == 0 { DEFAULT_LATENCY } else { sum / count }
}

/// Latency assumed while no candidate has one; only needs to be greater than zero.
const DEFAULT_LATENCY: Duration = Duration::from_millis(10);

/// The engines that run a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// The decode engine prefills the prompt itself.
    Decode(ServerKey),
    /// The prefill engine prefills the prompt, and the decode engine fetches the KV cache.
    Split {
        /// Prefills the prompt.
        prefill: ServerKey,
        /// Generates the tokens.
        decode: ServerKey,
    },
}

impl Plan {
    /// Returns the decode engine.
    pub fn decode(self) -> ServerKey {
        match self {
            Self::Decode(decode) | Self::Split { decode, .. } => decode,
        }
    }
}

/// Reason why no engines were chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanError {
    /// There is no decode engine.
    NoEngine,
    /// There are decode engines, but none has enough free memory and a free slot, or too many prompts are queued for prefill.
    NoCapacity,
    /// The refusal of the prompt has ended, and another such prompt is being tried.
    Quarantined,
}

/// A prompt to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Prompt {
    /// Number of prompt tokens.
    pub tokens: u64,
    /// Latency target of the first event.
    pub target: Duration,
    /// The longest pause between two events of a stream that is in time; zero if any is.
    pub max_gap: Duration,
    /// Prefill speed of a prefill engine, in tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Whether the prompt waits while all decode engines lack a slot or all prefill engines have a long queue.
    pub waits_for_queues: bool,
}

/// Chooses engines for a completion.
///
/// Decode memory is the bottleneck in bursts: a completion starts only where its tokens will fit
/// next to those of the running ones. Prompts go to prefill engines, so that prefill does not delay
/// the tokens of running requests.
pub fn choose_engines(
    candidates: &[Candidate],
    prompt: Prompt,
    rng: &mut dyn rand::RngCore,
) -> Result<Plan, PlanError> {
    let mut decode_engines = Vec::new();
    let mut prefill_engines = Vec::new();
    for candidate in candidates {
        match candidate.role {
            Some(EngineRole::Decode) => decode_engines.push(*candidate),
            Some(EngineRole::Prefill) if candidate.has_permit() => prefill_engines.push(*candidate),
            Some(EngineRole::Prefill) | None => {}
        }
    }
    if decode_engines.is_empty() {
        return Err(PlanError::NoEngine);
    }
    // A failing engine looks empty; it must not attract requests that do not fit elsewhere.
    if decode_engines.iter().any(|candidate| !candidate.is_avoided) {
        decode_engines.retain(|candidate| !candidate.is_avoided);
    }
    decode_engines.retain(|candidate| {
        let has_slot = candidate.has_slot() || !prompt.waits_for_queues;
        candidate.has_permit() && has_slot && Reservations::fits(candidate.fill)
    });
    let decode = choose_min(&decode_engines, rng, |candidate| {
        let penalty = if candidate.is_local { 0.0 } else { REMOTE_ZONE_FILL_PENALTY };
        (candidate.is_avoided, per_mille(candidate.fill + penalty))
    });
    let decode = decode.ok_or(PlanError::NoCapacity)?;
    let prefill = choose_min(&prefill_engines, rng, |candidate| {
        let penalty = if candidate.is_local { 0 } else { REMOTE_ZONE_TOKEN_PENALTY };
        let tokens = candidate.tokens_to_prefill(prompt.tokens);
        (candidate.is_avoided, candidate.usual_tokens(tokens).saturating_add(penalty))
    });
    let Some(prefill) =
        prefill.and_then(|key| prefill_engines.iter().find(|found| found.key == key))
    else {
        return Ok(Plan::Decode(decode));
    };
    let queued = prefill.queued_prefill_tokens;
    let usual_tokens = prefill.usual_tokens(prefill.tokens_to_prefill(prompt.tokens));
    let split_ms = prefill_ms(usual_tokens, prompt.prefill_tokens_per_ms);
    let alone_ms =
        prefill_ms(prompt.tokens, prompt.prefill_tokens_per_ms / DECODE_PREFILL_SLOWDOWN);
    let limit_ms = prompt.target.as_secs_f64() * 1_000.0 * PREFILL_WAIT_SHARE;
    let is_sooner = split_ms > limit_ms && alone_ms < split_ms;
    let runs_streams =
        decode_engines.iter().any(|candidate| candidate.key == decode && candidate.fill > 0.0);
    let pause_ms = prompt.max_gap.as_secs_f64() * 1_000.0 * PREFILL_PAUSE_SHARE;
    let delays_streams = runs_streams && !prompt.max_gap.is_zero() && alone_ms > pause_ms;
    if prefill.is_avoided || (is_sooner && !delays_streams) {
        return Ok(Plan::Decode(decode));
    }
    let queue_ms = prefill_ms(prefill.usual_tokens(queued), prompt.prefill_tokens_per_ms);
    let max_queue = prompt.target.mul_f64(PREFILL_QUEUE_SHARE).max(MIN_PREFILL_QUEUE);
    if prompt.waits_for_queues && queue_ms > max_queue.as_secs_f64() * 1_000.0 {
        return Err(PlanError::NoCapacity);
    }
    Ok(Plan::Split { prefill: prefill.key, decode })
}

fn prefill_ms(tokens: u64, tokens_per_ms: f64) -> f64 {
    tokens as f64 / tokens_per_ms.max(0.1)
}

fn per_mille(fill: f64) -> u64 {
    (fill * 1_000.0) as u64
}

/// Returns the candidate with the lowest rank; ties are broken at random with equal probability.
fn choose_min<K: Ord>(
    candidates: &[Candidate],
    rng: &mut dyn rand::RngCore,
    rank: impl Fn(&Candidate) -> K,
) -> Option<ServerKey> {
    let mut best: Option<(K, ServerKey)> = None;
    let mut ties = 0_u32;
    for candidate in candidates {
        let rank = rank(candidate);
        let order = best.as_ref().map(|(best, _)| rank.cmp(best));
        match order {
            Some(std::cmp::Ordering::Greater) => continue,
            Some(std::cmp::Ordering::Equal) => {
                ties += 1;
                if rng.random_range(0..=ties) > 0 {
                    continue;
                }
            }
            Some(std::cmp::Ordering::Less) | None => ties = 0,
        }
        best = Some((rank, candidate.key));
    }
    best.map(|(_, key)| key)
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use magnoliaspar_core::ServerKey;
    use rand::SeedableRng;
    use rand::rngs::StdRng;
    use slotmap::SlotMap;

    use super::{
        Candidate, Plan, PlanError, Prompt, choose_engines, may_respond_within, time_until_room,
    };
    use crate::directory::EngineRole;

    /// A decode engine with this fill and a prefill engine with so many tokens in its queue.
    fn engines(fill: f64, queued_prefill_tokens: u64) -> [Candidate; 2] {
        let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let decode = Candidate {
            key: keys.insert(()),
            is_local: true,
            is_avoided: false,
            in_flight: 0,
            slots: 24,
            queued_prefill_tokens: 0,
            held_prompt_tokens: 0,
            latency: None,
            fill,
            prefill_speed: 1.0,
            running: 0,
            role: Some(EngineRole::Decode),
            permit_wait: None,
            rest: Duration::ZERO,
            full: Duration::ZERO,
            share: None,
        };
        let role = Some(EngineRole::Prefill);
        let prefill =
            Candidate { key: keys.insert(()), fill: 0.0, queued_prefill_tokens, role, ..decode };
        [decode, prefill]
    }

    fn plan(engines: &[Candidate], tokens: u64, max_gap_ms: u64) -> Result<Plan, PlanError> {
        let prompt = Prompt {
            tokens,
            target: Duration::from_millis(900),
            max_gap: Duration::from_millis(max_gap_ms),
            prefill_tokens_per_ms: 50.0,
            waits_for_queues: true,
        };
        choose_engines(engines, prompt, &mut StdRng::seed_from_u64(1))
    }

    fn is_prefilled_apart(engines: &[Candidate], tokens: u64, max_gap_ms: u64) -> bool {
        matches!(plan(engines, tokens, max_gap_ms), Ok(Plan::Split { .. }))
    }

    /// The load of a burst: prompts of 5,000 tokens and more, and prefill engines with 600 ms of work ahead.
    #[test]
    fn a_decode_engine_that_runs_streams_prefills_no_prompt_that_stops_them() {
        let busy = engines(0.5, 30_000);
        let waits = Err(PlanError::NoCapacity);
        assert_eq!(plan(&busy, 5_200, 300), waits, "it waits for a prefill engine");
        assert!(!is_prefilled_apart(&busy, 2_000, 300), "a short prompt delays no stream");
        let idle = engines(0.0, 30_000);
        assert!(!is_prefilled_apart(&idle, 5_200, 300), "an idle engine delays no stream");
        assert!(!is_prefilled_apart(&busy, 5_200, 0), "any pause is in time");
    }

    #[test]
    fn a_prompt_goes_to_a_prefill_engine_that_is_soon_free() {
        assert!(is_prefilled_apart(&engines(0.5, 0), 11_000, 300));
        assert!(is_prefilled_apart(&engines(0.0, 10_000), 5_200, 300));
    }

    /// Callers leave while their prompts are in the queue of an engine, which prefills them in any case.
    #[test]
    fn a_prompt_does_not_wait_in_a_long_queue_of_a_prefill_engine() {
        assert!(is_prefilled_apart(&engines(0.5, 11_000), 5_200, 300));
        assert_eq!(plan(&engines(0.5, 16_000), 5_200, 300), Err(PlanError::NoCapacity));
    }

    /// An engine whose slots are full refuses a completion whose prompt was prefilled for it.
    #[test]
    fn a_decode_engine_with_memory_and_without_a_slot_gets_no_completion() {
        let [mut decode, prefill] = engines(0.3, 0);
        decode.slots = 12;
        decode.running = 11;
        assert!(plan(&[decode, prefill], 5_200, 300).is_ok());
        decode.running = 12;
        assert_eq!(plan(&[decode, prefill], 5_200, 300), Err(PlanError::NoCapacity));
        decode.slots = 0;
        assert!(plan(&[decode, prefill], 5_200, 300).is_ok(), "it states no number of slots");
    }

    /// An engine that slows down to half still prefills, and no prompt waits longer for it than for another one.
    #[test]
    fn an_engine_of_half_the_speed_gets_half_as_many_prompts() {
        let [decode, mut slow] = engines(0.3, 0);
        let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
        for _ in 0..4 {
            keys.insert(());
        }
        slow.prefill_speed = 0.5;
        let mut usual = Candidate { key: keys.insert(()), prefill_speed: 1.0, ..slow };
        let (mut of_slow, mut of_usual) = (0, 0);
        for step in 0..300 {
            match plan(&[decode, slow, usual], 2_500, 300) {
                Ok(Plan::Split { prefill, .. }) if prefill == slow.key => {
                    of_slow += 1;
                    slow.queued_prefill_tokens += 2_500;
                }
                Ok(_) => {
                    of_usual += 1;
                    usual.queued_prefill_tokens += 2_500;
                }
                Err(_) => {}
            }
            // Prompts of 2,500 tokens come as fast as both together prefill them.
            if step >= 8 {
                slow.queued_prefill_tokens = slow.queued_prefill_tokens.saturating_sub(833);
                usual.queued_prefill_tokens = usual.queued_prefill_tokens.saturating_sub(1_667);
            }
        }
        assert!((80..=115).contains(&of_slow), "{of_slow} and {of_usual}");
    }

    /// Guards against calls that are sent to servers which will reject them, and against waits while one has room.
    #[test]
    fn calls_wait_for_room_only_while_all_servers_are_full() {
        let [one, two] = engines(0.0, 0);
        let full = |candidate, ms| Candidate { full: Duration::from_millis(ms), ..candidate };
        let wait = time_until_room(&[full(one, 50), full(two, 20)]);
        assert_eq!(wait, Some(Duration::from_millis(20)));
        assert_eq!(time_until_room(&[full(one, 50), two]), None);
        assert_eq!(time_until_room(&[]), None);
    }

    /// Guards the retry budget against tries that cannot end before the deadline.
    #[test]
    fn a_server_that_cannot_respond_in_time_gets_no_second_try() {
        let [one, two] = engines(0.0, 0);
        let slow = |candidate| Candidate { latency: Some(Duration::from_secs(1)), ..candidate };
        let left = Duration::from_millis(400);
        assert!(!may_respond_within(&[slow(one), slow(two)], left));
        assert!(may_respond_within(&[slow(one), two], left), "the latency is unknown");
        assert!(may_respond_within(&[slow(one)], 2 * left));
    }
}
