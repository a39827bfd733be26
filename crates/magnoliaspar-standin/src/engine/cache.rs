use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use magnoliaspar_core::BlockHash;
use magnoliaspar_engine::CacheEvents;

/// How many events are kept for readers; older ones are missing to them.
const MAX_EVENTS: usize = 1_000;

/// A prefix cache of limited size that forgets the block used longest ago.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    used_at: BTreeMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    uses: u64,
    events: VecDeque<Event>,
    last_event: u64,
}

#[derive(Debug)]
struct Event {
    number: u64,
    at: Instant,
    block: BlockHash,
    is_stored: bool,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used_at: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            last_event: 0,
        }
    }

    /// Returns how many of the first blocks are cached.
    pub fn cached_blocks(&self, blocks: &[BlockHash]) -> u32 {
        let mut cached = 0;
        for block in blocks {
            if !self.used_at.contains_key(block) {
                break;
            }
            cached += 1;
        }
        cached
    }

    /// Stores all blocks of a prompt, the first of them last so that it is evicted last.
    pub fn store(&mut self, now: Instant, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            self.touch(now, *block);
        }
        while self.used_at.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else { return };
            self.used_at.remove(&block);
            self.publish(now, block, false);
        }
    }

    /// Returns the events after `after` that are older than `lag`.
    pub fn events_after(&self, now: Instant, after: u64, lag: Duration) -> CacheEvents {
        let mut events = CacheEvents { last: after, ..CacheEvents::default() };
        let first_kept = self.events.front().map_or(self.last_event + 1, |event| event.number);
        events.gap = after + 1 < first_kept;
        for event in &self.events {
            if event.number <= after || now.duration_since(event.at) < lag {
                continue;
            }
            let blocks = if event.is_stored { &mut events.stored } else { &mut events.evicted };
            blocks.push(event.block);
            events.last = event.number;
        }
        events
    }

    fn touch(&mut self, now: Instant, block: BlockHash) {
        self.uses += 1;
        let Some(before) = self.used_at.insert(block, self.uses) else {
            self.by_use.insert(self.uses, block);
            self.publish(now, block, true);
            return;
        };
        self.by_use.remove(&before);
        self.by_use.insert(self.uses, block);
    }

    fn publish(&mut self, at: Instant, block: BlockHash, is_stored: bool) {
        self.last_event += 1;
        self.events.push_back(Event { number: self.last_event, at, block, is_stored });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::BlockHash;

    use super::PrefixCache;

    #[test]
    fn the_block_used_longest_ago_is_evicted() {
        let now = Instant::now();
        let mut cache = PrefixCache::new(2);
        cache.store(now, &[BlockHash(1), BlockHash(2)]);
        cache.store(now, &[BlockHash(1), BlockHash(3)]);
        assert_eq!(cache.cached_blocks(&[BlockHash(1), BlockHash(3)]), 2);
        assert_eq!(cache.cached_blocks(&[BlockHash(2)]), 0);
        let events = cache.events_after(now, 0, Duration::ZERO);
        assert_eq!(events.evicted, [BlockHash(2)]);
        assert!(!events.gap);
    }
}
