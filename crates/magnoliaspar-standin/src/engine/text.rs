//! Deterministic answers to prompts.

use xxhash_rust::xxh3::xxh3_64;

/// Words from which the tokens of answers are made.
const WORDS: [&str; 16] = [
    "rain", "barrel", "grant", "cloth", "seam", "red", "white", "order", "roll", "metre", "stock",
    "letter", "garden", "drain", "pipe", "valve",
];

/// Natural length of the shortest answer in tokens; `max_tokens` may cut it further.
const MIN_ANSWER_TOKENS: u64 = 8;

/// Number of different natural lengths of answers, in tokens.
const ANSWER_LENGTHS: u64 = 56;

/// A prompt with this prefix is answered with exactly `max_tokens` tokens.
const FULL_LENGTH_PREFIX: &str = "[long]";

/// Returns the tokens with which an engine answers a prompt.
///
/// The same prompt always has the same answer, so that tests detect repeated or missing tokens.
pub fn answer_tokens(prompt: &str, max_tokens: u32) -> Vec<Box<str>> {
    let seed = seed_of(prompt);
    let tokens = length_of(prompt, max_tokens);
    let mut answer = Vec::new();
    for index in 0..tokens {
        answer.push(token_of(seed, index));
    }
    answer
}

/// Returns the whole text with which an engine answers a prompt.
pub fn answer_text(prompt: &str, max_tokens: u32) -> String {
    answer_tokens(prompt, max_tokens).concat()
}

/// Returns the seed of the answer to a prompt.
pub fn seed_of(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the length of the answer to a prompt in tokens.
pub fn length_of(prompt: &str, max_tokens: u32) -> u32 {
    if prompt.starts_with(FULL_LENGTH_PREFIX) {
        return max_tokens;
    }
    let tokens = MIN_ANSWER_TOKENS + seed_of(prompt) % ANSWER_LENGTHS;
    max_tokens.min(tokens as u32)
}

/// Returns the token of an answer at `index`.
pub fn token_of(seed: u64, index: u32) -> Box<str> {
    let hash = xxh3_64(&(seed ^ u64::from(index).wrapping_mul(0x9e37_79b9)).to_le_bytes());
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!("{word}{index} ").into()
}
