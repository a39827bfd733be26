//! The prefix cache of an engine.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use magnoliaspar_core::BlockHash;
use magnoliaspar_engine::CacheEvents;

/// Number of events kept for readers; a reader that is further behind is told of a gap.
const MAX_EVENTS: usize = 1_000;

/// A prefix cache of limited size that evicts the least recently used block.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    last_use: BTreeMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    use_count: u64,
    events: VecDeque<Event>,
    last_event: u64,
}

/// A stored or evicted block.
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
            last_use: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            last_event: 0,
        }
    }

    /// Returns the number of leading blocks that are cached without a gap.
    pub fn cached_blocks(&self, blocks: &[BlockHash]) -> u32 {
        let mut cached = 0;
        for block in blocks {
            if !self.last_use.contains_key(block) {
                break;
            }
            cached += 1;
        }
        cached
    }

    /// Stores all blocks of a prompt.
    ///
    /// The blocks are stored from the last to the first: a prefix hit needs the leading blocks,
    /// which therefore must be evicted last.
    pub fn store(&mut self, now: Instant, blocks: &[BlockHash]) {
        for block in blocks.iter().rev() {
            self.touch(now, *block);
        }
        while self.last_use.len() > self.capacity {
            let Some((_, block)) = self.by_last_use.pop_first() else { return };
            self.last_use.remove(&block);
            self.publish(now, block, false);
        }
    }

    /// Returns the events after number `after` that are at least `lag` old.
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
        self.use_count += 1;
        let Some(previous) = self.last_use.insert(block, self.use_count) else {
            self.by_last_use.insert(self.use_count, block);
            self.publish(now, block, true);
            return;
        };
        self.by_last_use.remove(&previous);
        self.by_last_use.insert(self.use_count, block);
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
