//! Chooses servers: pure decisions over a view of the candidates.

use std::time::Duration;

use magnoliaspar_core::ServerKey;
use rand::Rng;

use crate::directory::EngineRole;
use crate::reservations::Reservations;

/// Tokens of a prompt that a prefill engine reads in a millisecond, until answers tell better.
pub const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// How much slower a decode engine reads a prompt, by the engines' interface.
const DECODE_PREFILL_SLOWDOWN: f64 = 2.0;

/// The share of the latency target that a prompt may wait for a prefill engine before a decode
/// engine reads it, which delays the tokens of all requests there.
const PREFILL_WAIT_SHARE: f64 = 0.6;

/// What an engine of another availability zone must be emptier to be preferred, as a part of its
/// memory; a transfer between zones takes longer and is lost when the zone is cut off.
const REMOTE_ZONE_FILL_PENALTY: f64 = 0.06;

/// How much longer the answers of a server of another zone are taken to be, which leaves a zone when
/// its own servers are a third slower.
const REMOTE_ZONE_LATENCY_FACTOR: f64 = 1.33;

/// What a prefill engine of another availability zone must save to be preferred, in tokens.
const REMOTE_ZONE_TOKEN_PENALTY: u64 = 2_500;

/// A server that could take a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The server.
    pub key: ServerKey,
    /// Whether it is in the availability zone of this instance.
    pub is_local: bool,
    /// Whether its last calls failed.
    pub is_avoided: bool,
    /// Requests that it runs, as far as this instance knows.
    pub in_flight: u32,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Tokens of prompts that it has still to read.
    pub queued_prefill_tokens: u64,
    /// How long its answers took lately, if there were any.
    pub latency: Option<Duration>,
    /// The part of its memory that it would need with the request, for decode engines.
    pub fill: f64,
    /// Which part of a completion it runs.
    pub role: Option<EngineRole>,
}

/// Chooses a plain server: the one that is likely to answer first, with some preference for the own
/// availability zone.
///
/// Answers bursts at services whose servers many instances share: how long answers took tells of the
/// others' load, and what one instance has under way does not.
pub fn choose_server(candidates: &[Candidate], rng: &mut dyn rand::RngCore) -> Option<ServerKey> {
    let mean = mean_latency(candidates);
    choose_min(candidates, rng, |candidate| {
        let latency = candidate.latency.unwrap_or(mean);
        let factor = if candidate.is_local { 1.0 } else { REMOTE_ZONE_LATENCY_FACTOR };
        // Requests under way are ahead of this one, shared out over the server's slots.
        let ahead = f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1));
        let expected = latency.mul_f64(factor * (1.0 + ahead));
        (candidate.is_avoided, expected.as_micros())
    })
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

/// The latency that is reckoned with before any is known; only its sign matters.
const DEFAULT_LATENCY: Duration = Duration::from_millis(10);

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

impl Plan {
    /// Returns the engine that produces the tokens.
    pub fn decode(self) -> ServerKey {
        match self {
            Self::Decode(decode) | Self::Split { decode, .. } => decode,
        }
    }
}

/// Why no engine was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanError {
    /// There is no engine that produces tokens.
    NoEngine,
    /// There is one, but its memory is booked.
    NoCapacity,
}

/// A prompt that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Prompt {
    /// The tokens to read.
    pub tokens: u64,
    /// The time within which the first event is on time.
    pub target: Duration,
    /// Tokens that a prefill engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
}

/// Chooses engines for a completion.
///
/// Answers bursts in which decode memory runs out first: a completion starts only where its tokens
/// will fit beside those that run, and prompts go to prefill engines, so that the tokens of others
/// are not delayed by the reading.
pub fn choose_engines(
    candidates: &[Candidate],
    prompt: Prompt,
    rng: &mut dyn rand::RngCore,
) -> Result<Plan, PlanError> {
    let mut decodes = Vec::new();
    let mut prefills = Vec::new();
    for candidate in candidates {
        match candidate.role {
            Some(EngineRole::Decode) => decodes.push(*candidate),
            Some(EngineRole::Prefill) => prefills.push(*candidate),
            None => {}
        }
    }
    if decodes.is_empty() {
        return Err(PlanError::NoEngine);
    }
    // An engine that fails looks empty; it must not take what the others have no room for.
    if decodes.iter().any(|candidate| !candidate.is_avoided) {
        decodes.retain(|candidate| !candidate.is_avoided);
    }
    decodes.retain(|candidate| Reservations::fits(candidate.fill));
    let decode = choose_min(&decodes, rng, |candidate| {
        let penalty = if candidate.is_local { 0.0 } else { REMOTE_ZONE_FILL_PENALTY };
        (candidate.is_avoided, per_mille(candidate.fill + penalty))
    });
    let decode = decode.ok_or(PlanError::NoCapacity)?;
    let prefill = choose_min(&prefills, rng, |candidate| {
        let penalty = if candidate.is_local { 0 } else { REMOTE_ZONE_TOKEN_PENALTY };
        (candidate.is_avoided, candidate.queued_prefill_tokens + penalty)
    });
    let Some(prefill) = prefill.and_then(|key| prefills.iter().find(|found| found.key == key))
    else {
        return Ok(Plan::Decode(decode));
    };
    let split_ms =
        prefill_ms(prefill.queued_prefill_tokens + prompt.tokens, prompt.prefill_tokens_per_ms);
    let alone_ms =
        prefill_ms(prompt.tokens, prompt.prefill_tokens_per_ms / DECODE_PREFILL_SLOWDOWN);
    let limit_ms = prompt.target.as_secs_f64() * 1_000.0 * PREFILL_WAIT_SHARE;
    if prefill.is_avoided || (split_ms > limit_ms && alone_ms < split_ms) {
        return Ok(Plan::Decode(decode));
    }
    Ok(Plan::Split { prefill: prefill.key, decode })
}

fn prefill_ms(tokens: u64, tokens_per_ms: f64) -> f64 {
    tokens as f64 / tokens_per_ms.max(0.1)
}

fn per_mille(fill: f64) -> u64 {
    (fill * 1_000.0) as u64
}

/// Returns the candidate with the least rank; equal ones are equally likely.
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
