//! Chooses servers: pure decisions over a view of the candidates.

use std::time::Duration;

use magnoliaspar_core::ServerKey;
use rand::Rng;

use crate::directory::EngineRole;

/// Tokens of a prompt that a decode engine reads in a millisecond, until answers tell better.
pub const DEFAULT_READING_SPEED: f64 = 25.0;

/// How much faster a prefill engine reads than a decode engine, by the engines' interface.
const PREFILL_SPEED_UP: f64 = 2.0;

/// The share of the latency target up to which a decode engine may take to read a prompt itself.
///
/// Reading it there saves the transfer of the KV cache, which is charged and may fail.
const SELF_READING_SHARE: f64 = 0.4;

/// What a request that is producing tokens counts, in tokens of a prompt to read.
const RUNNING_WEIGHT: u64 = 400;

/// What a server of another availability zone must save to be preferred, in tokens to read.
const ZONE_WEIGHT: u64 = 2_500;

/// A server that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// Whether it is in the availability zone of this instance.
    pub is_local: bool,
    /// Whether its last calls failed.
    pub is_avoided: bool,
    /// Requests of this instance that it runs.
    pub in_flight: u32,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Tokens of prompts of this instance that it has still to read.
    pub unread_tokens: u64,
    /// Which part of a completion it runs.
    pub role: Option<EngineRole>,
}

/// Chooses a plain server: a healthy one in the zone with room, else the least loaded.
pub fn choose_server(candidates: &[Candidate], rng: &mut dyn rand::RngCore) -> Option<ServerKey> {
    least(candidates, rng, |candidate| {
        // Half of the slots are left to the other instances that use the server.
        let is_busy = candidate.in_flight * 2 >= candidate.slots.max(2);
        let distance = u64::from(!candidate.is_local);
        let load = u64::from(candidate.in_flight);
        (candidate.is_avoided, is_busy, distance, load)
    })
}

/// Which engines run a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// The decode engine reads the prompt itself.
    Decode(ServerKey),
    /// A prefill engine reads the prompt and the decode engine fetches the KV cache.
    Split {
        /// Reads the prompt.
        prefill: ServerKey,
        /// Produces the tokens.
        decode: ServerKey,
    },
}

/// A prompt that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Prompt {
    /// The tokens to read.
    pub tokens: u64,
    /// The time within which the first event is on time.
    pub target: Duration,
    /// Tokens that a decode engine reads in a millisecond.
    pub reading_speed: f64,
}

/// Chooses engines for a completion.
///
/// Answers bursts of long prompts: while decode engines can read the prompt well within the target
/// they do, and beyond that prefill engines take over what they finish sooner.
pub fn choose_engines(
    candidates: &[Candidate],
    prompt: Prompt,
    rng: &mut dyn rand::RngCore,
) -> Option<Plan> {
    let of_role = |role: EngineRole| -> Vec<Candidate> {
        candidates.iter().copied().filter(|candidate| candidate.role == Some(role)).collect()
    };
    let decodes = of_role(EngineRole::Decode);
    let decode = least(&decodes, rng, engine_load)?;
    let prefills = of_role(EngineRole::Prefill);
    let Some(prefill) = least(&prefills, rng, engine_load) else {
        return Some(Plan::Decode(decode));
    };
    let unread = |key: ServerKey| {
        let candidate = candidates.iter().find(|candidate| candidate.key == key);
        candidate.map_or((true, 0), |candidate| (candidate.is_avoided, candidate.unread_tokens))
    };
    let (_, decode_backlog) = unread(decode);
    let (is_prefill_avoided, prefill_backlog) = unread(prefill);
    let alone = reading_ms(decode_backlog + prompt.tokens, prompt.reading_speed);
    let split =
        reading_ms(prefill_backlog + prompt.tokens, prompt.reading_speed * PREFILL_SPEED_UP);
    let is_soon = alone <= prompt.target.as_secs_f64() * 1_000.0 * SELF_READING_SHARE;
    if is_soon || is_prefill_avoided || alone <= split {
        return Some(Plan::Decode(decode));
    }
    Some(Plan::Split { prefill, decode })
}

fn reading_ms(tokens: u64, speed: f64) -> f64 {
    tokens as f64 / speed.max(0.1)
}

fn engine_load(candidate: &Candidate) -> (bool, bool, u64, u64) {
    let is_full = candidate.in_flight >= candidate.slots;
    let distance = if candidate.is_local { 0 } else { ZONE_WEIGHT };
    let running = u64::from(candidate.in_flight) * RUNNING_WEIGHT;
    (candidate.is_avoided, is_full, candidate.unread_tokens + running + distance, 0)
}

/// Returns the candidate with the least rank; equal ones are equally likely.
fn least<K: Ord>(
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
