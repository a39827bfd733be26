use xxhash_rust::xxh3::xxh3_64;

/// The words from which answers are made.
const WORDS: [&str; 16] = [
    "rain", "barrel", "grant", "cloth", "seam", "red", "white", "order", "roll", "metre", "stock",
    "letter", "garden", "drain", "pipe", "valve",
];

/// The shortest answer in tokens, if as many are asked for.
const MIN_TOKENS: u64 = 8;

/// By how many tokens answers differ in length.
const SPREAD_TOKENS: u64 = 56;

/// A prompt that starts with this mark is answered with as many tokens as were asked for.
const LONG_MARK: &str = "[long]";

/// Returns the tokens with which an engine answers a prompt.
///
/// The same prompt always has the same answer, so that repeated or missing tokens are noticed.
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

/// Returns the number from which the answer to a prompt follows.
pub fn seed_of(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the length of the answer to a prompt in tokens.
pub fn length_of(prompt: &str, max_tokens: u32) -> u32 {
    if prompt.starts_with(LONG_MARK) {
        return max_tokens;
    }
    let tokens = MIN_TOKENS + seed_of(prompt) % SPREAD_TOKENS;
    max_tokens.min(tokens as u32)
}

/// Returns one token of an answer.
pub fn token_of(seed: u64, index: u32) -> Box<str> {
    let pick = xxh3_64(&(seed ^ u64::from(index).wrapping_mul(0x9e37_79b9)).to_le_bytes());
    let word = WORDS[(pick % WORDS.len() as u64) as usize];
    format!("{word}{index} ").into()
}
