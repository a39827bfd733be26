//! The prefix cache of a simulated prefill engine.

use std::collections::{BTreeMap, VecDeque};

use magnoliaspar_core::BlockHash;

/// The prefix blocks that a prefill engine caches, with LRU eviction.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    used_at: BTreeMap<BlockHash, u64>,
    /// All uses in order. An entry that is not the last use of its block is stale.
    use_order: VecDeque<(u64, BlockHash)>,
    use_count: u64,
}

/// The blocks that one prefill stored and evicted.
#[derive(Debug, Default)]
pub(crate) struct CacheChange {
    pub(crate) stored: Vec<BlockHash>,
    pub(crate) evicted: Vec<BlockHash>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: u32) -> Self {
        Self {
            capacity: capacity as usize,
            used_at: BTreeMap::new(),
            use_order: VecDeque::new(),
            use_count: 0,
        }
    }

    /// Returns the length of the longest cached prefix, in blocks.
    pub(crate) fn matched_blocks(&self, blocks: &[BlockHash]) -> usize {
        let mut matched = 0;
        for block in blocks {
            if !self.used_at.contains_key(block) {
                break;
            }
            matched += 1;
        }
        matched
    }

    /// Stores blocks and marks them as used. The first block becomes the most recently used one, so
    /// that prefixes are evicted from their end.
    pub(crate) fn insert(&mut self, blocks: &[BlockHash]) -> CacheChange {
        let mut change = CacheChange::default();
        for block in blocks.iter().rev() {
            self.use_count += 1;
            if self.used_at.insert(*block, self.use_count).is_none() {
                change.stored.push(*block);
            }
            self.use_order.push_back((self.use_count, *block));
        }
        while self.used_at.len() > self.capacity {
            let Some((used_at, block)) = self.use_order.pop_front() else { break };
            if self.used_at.get(&block) != Some(&used_at) {
                continue;
            }
            self.used_at.remove(&block);
            change.evicted.push(block);
        }
        change
    }

    pub(crate) fn len(&self) -> usize {
        self.used_at.len()
    }
}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::BlockHash;

    use super::PrefixCache;

    #[test]
    fn the_end_of_the_oldest_prefix_is_evicted_first() {
        let mut cache = PrefixCache::new(3);
        let old = [BlockHash(1), BlockHash(2)];
        cache.insert(&old);
        let change = cache.insert(&[BlockHash(7), BlockHash(8)]);
        assert_eq!(change.evicted, [BlockHash(2)]);
        assert_eq!(cache.matched_blocks(&old), 1);
    }
}
