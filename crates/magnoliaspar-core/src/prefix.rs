//! Hashes of prompt prefixes, which identify blocks in the prefix caches of engines.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The size of a prefix block in bytes of prompt text.
pub const BLOCK_BYTES: usize = 256;

/// The size of a prefix block in tokens, assuming four bytes of text per token.
pub const BLOCK_TOKENS: u32 = 64;

/// Identifies a prefix block together with all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BlockHash(pub u64);

/// Hashes each full block of `prompt`, seeded with the hash of the block before it.
///
/// A partial last block is not hashed, since engines cache only full blocks.
pub fn hash_blocks(prompt: &[u8]) -> Box<[BlockHash]> {
    let mut hashes = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
    let mut chain = 0;
    for block in prompt.chunks_exact(BLOCK_BYTES) {
        chain = xxh3_64_with_seed(block, chain);
        hashes.push(BlockHash(chain));
    }
    hashes.into()
}

#[cfg(test)]
mod tests {
    use super::{BLOCK_BYTES, hash_blocks};

    #[test]
    fn a_hash_covers_all_blocks_before_it() {
        let hashes = hash_blocks(&[b'a'; 2 * BLOCK_BYTES]);
        let mut other_prompt = vec![b'b'; BLOCK_BYTES];
        other_prompt.extend([b'a'; BLOCK_BYTES + 1]);
        let other_hashes = hash_blocks(&other_prompt);
        assert_eq!(hashes.len(), 2);
        assert_eq!(other_hashes.len(), 2);
        assert_ne!(hashes[1], other_hashes[1]);
    }
}
