//! What prefill engines still hold of prompts, as far as it follows from what was sent to them.
//!
//! Engines drop the parts that were used least recently. Nobody asks them what they hold: a part is expected to be there
//! for as long as less has been prefilled there since than the engine has memory for.

use std::collections::BTreeMap;

use magnoliaspar_retry::PartId;
use xxhash_rust::xxh3::xxh3_64;

/// Share of an engine's memory that may be prefilled after a part until the part may be gone. From there on its likelihood
/// falls, until as much as the whole memory has been prefilled.
const CERTAIN_SHARE: f64 = 0.5;

/// Minimum share of a prompt that counts as held. Less saves no more than what the samples of a queue are uncertain by, and
/// would only draw prompts to one of several idle engines.
const MIN_HELD_SHARE: f64 = 0.1;

/// Maximum number of parts that are kept for an engine.
const MAX_PARTS: usize = 512;

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The identifier.
    pub id: PartId,
    /// Its length.
    pub tokens: u64,
}

/// A part together with all parts before it. Only a whole sequence from the start of a prompt can be used.
type SequenceHash = u64;

/// Parts that prefill engines hold.
#[derive(Debug, Default)]
pub struct PromptCaches {
    engines: BTreeMap<Box<str>, EngineCache>,
}

/// Parts that the process of an engine holds.
#[derive(Debug, Default)]
struct EngineCache {
    /// Start time of the process, which begins with nothing.
    started_ms: u64,
    /// Tokens that were prefilled so far.
    prefilled: u64,
    /// For each part, the tokens that had been prefilled when it was used last.
    used_at: BTreeMap<SequenceHash, u64>,
}

/// A process of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineProcess<'a> {
    /// Identifier of the engine.
    pub engine: &'a str,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Its memory, in tokens.
    pub capacity: u64,
}

impl PromptCaches {
    /// Returns how many tokens of a prompt of `tokens` tokens an engine is expected to hold.
    pub fn expected(&self, process: EngineProcess<'_>, parts: &[PromptPart], tokens: u64) -> u64 {
        let Some(cache) = self.engines.get(process.engine) else { return 0 };
        if cache.started_ms != process.started_ms {
            return 0;
        }
        let mut held = 0.0;
        for (sequence, part) in sequences(parts) {
            let Some(used_at) = cache.used_at.get(&sequence) else { break };
            let since = (cache.prefilled - used_at) as f64 / process.capacity.max(1) as f64;
            let likelihood = ((1.0 - since) / (1.0 - CERTAIN_SHARE)).clamp(0.0, 1.0);
            held += part.tokens as f64 * likelihood;
        }
        let held = (held as u64).min(tokens);
        if (held as f64) < tokens as f64 * MIN_HELD_SHARE { 0 } else { held }
    }

    /// Records that a prompt of `tokens` tokens is sent to an engine.
    pub fn record(&mut self, process: EngineProcess<'_>, parts: &[PromptPart], tokens: u64) {
        if process.capacity == 0 {
            return;
        }
        let held = self.expected(process, parts, tokens);
        let cache = self.engines.entry(process.engine.into()).or_default();
        if cache.started_ms != process.started_ms {
            *cache = EngineCache { started_ms: process.started_ms, ..EngineCache::default() };
        }
        cache.prefilled = cache.prefilled.saturating_add((tokens - held).min(process.capacity));
        for (sequence, _) in sequences(parts) {
            cache.used_at.insert(sequence, cache.prefilled);
        }
        let oldest = cache.prefilled.saturating_sub(process.capacity);
        cache.used_at.retain(|_, used_at| *used_at >= oldest);
        while cache.used_at.len() > MAX_PARTS {
            let first = cache.used_at.iter().min_by_key(|(_, used_at)| **used_at);
            let Some(sequence) = first.map(|(sequence, _)| *sequence) else { break };
            cache.used_at.remove(&sequence);
        }
    }

    /// Forgets the engines of which `is_listed` does not hold.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.engines.retain(|engine, _| is_listed(engine));
    }
}

/// Returns each part with the hash of the sequence that it ends.
fn sequences(parts: &[PromptPart]) -> Vec<(SequenceHash, PromptPart)> {
    let mut sequences = Vec::new();
    let mut hash: SequenceHash = 0;
    for part in parts {
        hash = xxh3_64(format!("{hash}/{}", part.id).as_bytes());
        sequences.push((hash, *part));
    }
    sequences
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;
    use std::time::Duration;

    use magnoliaspar_core::ServerKey;
    use magnoliaspar_retry::PartId;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    use slotmap::SlotMap;

    use super::{EngineProcess, PromptCaches, PromptPart};
    use crate::directory::EngineRole;
    use crate::selection::{Candidate, Plan, Prompt, choose_engines};

    const CAPACITY: u64 = 73_000;
    const ENGINES: usize = 4;

    fn part(session: u64, tokens: u64) -> PromptPart {
        PromptPart { id: PartId(session), tokens }
    }

    fn process(engine: &str) -> EngineProcess<'_> {
        EngineProcess { engine, started_ms: 1, capacity: CAPACITY }
    }

    #[test]
    fn a_part_counts_only_after_those_before_it_and_at_the_process_that_read_it() {
        let mut caches = PromptCaches::default();
        let parts = [part(1, 2_000), part(2, 1_000)];
        caches.record(process("p"), &parts, 4_000);
        assert_eq!(caches.expected(process("p"), &parts, 4_000), 3_000);
        assert_eq!(caches.expected(process("p"), &parts[..1], 4_000), 2_000);
        assert_eq!(caches.expected(process("p"), &[part(2, 1_000)], 4_000), 0);
        assert_eq!(caches.expected(process("q"), &parts, 4_000), 0);
        let restarted = EngineProcess { started_ms: 2, ..process("p") };
        assert_eq!(caches.expected(restarted, &parts, 4_000), 0);
    }

    #[test]
    fn a_part_is_expected_to_be_dropped_when_much_was_prefilled_since() {
        let mut caches = PromptCaches::default();
        let shared = [part(1, 4_000)];
        caches.record(process("p"), &shared, 4_000);
        let mut before = 4_000;
        for other in 2..16 {
            caches.record(process("p"), &[part(other, 6_000)], 6_000);
            let held = caches.expected(process("p"), &shared, 4_000);
            assert!(held <= before);
            before = held;
        }
        assert_eq!(before, 0);
        assert_eq!(caches.expected(process("p"), &[part(15, 6_000)], 6_000), 6_000);
    }

    /// A prefill engine with the parts that it really holds, the least recently used one first.
    #[derive(Default)]
    struct Engine {
        free_at: f64,
        held: VecDeque<(u64, u64)>,
        queue: Vec<(f64, u64)>,
    }

    impl Engine {
        /// Returns the tokens that need not be prefilled, and keeps the parts of the prompt.
        fn read(&mut self, session: u64, shared: u64, tokens: u64, own: u64) -> u64 {
            let place = self.held.iter().position(|(held, _)| *held == session);
            let found = place.and_then(|place| self.held.remove(place));
            self.held.push_back((own, tokens - shared));
            self.held.push_back((session, shared));
            while self.held.iter().map(|(_, tokens)| tokens).sum::<u64>() > CAPACITY {
                self.held.pop_front();
            }
            found.map_or(0, |(_, tokens)| tokens)
        }
    }

    /// A load: the tokens of the part that the prompts of a session share, all tokens of a prompt, the number of sessions,
    /// and the share of the time for which the engines would be busy without caches.
    #[derive(Clone, Copy)]
    struct Load {
        shared: u64,
        tokens: u64,
        sessions: u64,
        busy: f64,
    }

    /// The result of a play.
    #[derive(Debug, Clone, Copy, PartialEq)]
    struct Played {
        prefilled: u64,
        mean_ms: f64,
        /// Share of the prompts whose first token comes after 400 ms.
        late: f64,
    }

    /// Plays 60 s in steps of 1 ms. Engines prefill 55.56 tokens a millisecond.
    fn play(load: Load, is_weighed: bool) -> Played {
        let mut rng = StdRng::seed_from_u64(7);
        let mut ties = StdRng::seed_from_u64(8);
        let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let keys: Vec<ServerKey> = (0..=ENGINES).map(|_| keys.insert(())).collect();
        let names: Vec<String> = (0..ENGINES).map(|engine| engine.to_string()).collect();
        let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
        let mut caches = PromptCaches::default();
        let mut waiting: VecDeque<(f64, u64)> = VecDeque::new();
        let (mut prefilled, mut count, mut sum, mut late) = (0, 0_u32, 0.0, 0_u32);
        let rate = load.busy * ENGINES as f64 * 55.56 / load.tokens as f64;
        for ms in 0..60_000 {
            let now = f64::from(ms);
            if rng.random::<f64>() < rate {
                waiting.push_back((now, rng.random_range(0..load.sessions)));
            }
            while let Some((arrived, session)) = waiting.front().copied() {
                let parts = [part(session, load.shared)];
                let mut candidates = Vec::new();
                for (engine, key) in engines.iter_mut().zip(&keys) {
                    engine.queue.retain(|(ends, _)| *ends > now);
                    let process = process(&names[candidates.len()]);
                    let held = caches.expected(process, &parts, load.tokens);
                    candidates.push(Candidate {
                        key: *key,
                        is_local: true,
                        is_avoided: false,
                        in_flight: 0,
                        slots: 0,
                        queued_prefill_tokens: engine.queue.iter().map(|(_, queued)| queued).sum(),
                        held_prompt_tokens: if is_weighed { held } else { 0 },
                        latency: None,
                        fill: 0.5,
                        prefill_speed: 1.0,
                        running: 0,
                        role: Some(EngineRole::Prefill),
                        permit_wait: None,
                        rest: Duration::ZERO,
                        full: Duration::ZERO,
                        share: None,
                    });
                }
                let role = Some(EngineRole::Decode);
                candidates.push(Candidate { key: keys[ENGINES], role, ..candidates[0] });
                let prompt = Prompt {
                    tokens: load.tokens,
                    target: Duration::from_millis(800),
                    max_gap: Duration::from_millis(1),
                    prefill_tokens_per_ms: 50.0,
                    waits_for_queues: true,
                };
                let plan = choose_engines(&candidates, prompt, &mut ties);
                let Ok(Plan::Split { prefill, .. }) = plan else { break };
                waiting.pop_front();
                let chosen = keys.iter().position(|key| *key == prefill).unwrap();
                let assumed = candidates[chosen].held_prompt_tokens;
                caches.record(process(&names[chosen]), &parts, load.tokens);
                let engine = &mut engines[chosen];
                let own = 1_000_000 + u64::from(count);
                let cost = load.tokens - engine.read(session, load.shared, load.tokens, own);
                engine.free_at = engine.free_at.max(now) + cost as f64 / 55.56;
                engine.queue.push((engine.free_at, load.tokens - assumed));
                prefilled += cost;
                count += 1;
                let waited = engine.free_at - arrived;
                sum += waited;
                late += u32::from(waited > 400.0);
            }
        }
        let mean_ms = sum / f64::from(count);
        Played { prefilled, mean_ms, late: f64::from(late) / f64::from(count) }
    }

    /// The benchmark of docs/design/prompt-cache.md; `--nocapture` prints its table.
    #[test]
    fn weighing_what_engines_hold_is_nowhere_worse() {
        println!("| shared | sessions | busy | prefilled | mean ms | late |");
        println!("|---|---|---|---|---|---|");
        for (shared, tokens) in [(200, 5_200), (2_000, 3_500), (8_000, 9_500)] {
            for sessions in [4, 200] {
                for busy in [0.4, 0.95] {
                    let load = Load { shared, tokens, sessions, busy };
                    let (without, with) = (play(load, false), play(load, true));
                    println!(
                        "| {shared} of {tokens} | {sessions} | {busy} | {:.2} to {:.2} M | {:.0} to {:.0} | {:.3} to {:.3} |",
                        without.prefilled as f64 / 1e6,
                        with.prefilled as f64 / 1e6,
                        without.mean_ms,
                        with.mean_ms,
                        without.late,
                        with.late,
                    );
                    if shared == 200 {
                        assert_eq!(without, with);
                    }
                    assert!(with.prefilled as f64 <= 1.01 * without.prefilled as f64);
                    assert!(with.mean_ms <= 1.02 * without.mean_ms + 1.0);
                    assert!(with.late <= without.late + 0.01);
                }
            }
        }
    }
}
