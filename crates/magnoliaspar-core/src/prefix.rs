use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The size of one prefix block in bytes of prompt text.
pub const BLOCK_BYTES: usize = 256;

/// The size of one prefix block in tokens, at four bytes of text a token.
pub const BLOCK_TOKENS: u32 = 64;

/// Identifies a prefix block together with all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BlockHash(pub u64);

/// Hashes the whole blocks of `prompt` in a chain, from the first block on.
///
/// A last block that is not full has no hash, since engines cache whole blocks only.
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
        let one = hash_blocks(&[b'a'; 2 * BLOCK_BYTES]);
        let mut text = vec![b'b'; BLOCK_BYTES];
        text.extend([b'a'; BLOCK_BYTES + 1]);
        let other = hash_blocks(&text);
        assert_eq!(one.len(), 2);
        assert_eq!(other.len(), 2);
        assert_ne!(one[1], other[1]);
    }
}
