//! Index of the prompt prefixes that prefill engines have cached.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::{BLOCK_TOKENS, BlockHash, ServerKey};

/// The time within which an expected block must be confirmed by its server.
const CONFIRM_WITHIN: Duration = Duration::from_secs(10);

/// The time for which a block counts as stored after it was last seen.
const MAX_AGE: Duration = Duration::from_secs(3_600);

/// The maximum lag of an eviction event, within which it may be older than a grant.
const EVENT_LAG: Duration = Duration::from_secs(1);

/// The minimum age of an entry before it is refreshed, which limits updates of the LRU order.
const REFRESH_AFTER: Duration = Duration::from_secs(5);

/// The prefix blocks that each prefill engine is expected to have cached.
///
/// Blocks are added when a prefill is granted and confirmed when it is done or by a cache event, so
/// the index also works without events. Unconfirmed blocks expire. After a gap in the events, all
/// blocks known before need a new confirmation.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    blocks: BTreeMap<BlockHash, Vec<Holding>>,
    shelves: BTreeMap<ServerKey, Shelf>,
    len: usize,
    max_len: usize,
    sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Holding {
    server: ServerKey,
    sequence: u64,
    seen_at: Instant,
    is_confirmed: bool,
}

/// The blocks of one server in LRU order.
#[derive(Debug)]
struct Shelf {
    order: BTreeMap<u64, BlockHash>,
    capacity: usize,
    gap_at: Option<Instant>,
}

/// The status with which a block is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sign {
    /// A granted prefill is expected to store the block.
    Grant,
    /// The server has stored the block.
    Stored,
}

impl PrefixIndex {
    /// Creates an index of at most `max_len` blocks, counted once per server.
    pub(crate) fn new(max_len: usize) -> Self {
        Self {
            blocks: BTreeMap::new(),
            shelves: BTreeMap::new(),
            len: 0,
            max_len: max_len.max(1),
            sequence: 0,
        }
    }

    /// Adds a server whose cache holds at most `capacity_tokens`.
    pub(crate) fn add_server(&mut self, server: ServerKey, capacity_tokens: u64) {
        let capacity = (capacity_tokens / u64::from(BLOCK_TOKENS)).max(1) as usize;
        let shelf = self.shelves.entry(server).or_insert(Shelf {
            order: BTreeMap::new(),
            capacity,
            gap_at: None,
        });
        shelf.capacity = capacity;
    }

    /// Removes a server and its blocks.
    pub(crate) fn remove_server(&mut self, server: ServerKey) {
        let Some(shelf) = self.shelves.remove(&server) else { return };
        for hash in shelf.order.into_values() {
            self.remove_holding(hash, server);
        }
    }

    /// Records that a server stores, or is expected to store, the blocks of a prompt.
    pub(crate) fn note(
        &mut self,
        now: Instant,
        server: ServerKey,
        blocks: &[BlockHash],
        sign: Sign,
    ) {
        // The first block is added last, so that LRU eviction removes a chain from its end.
        for hash in blocks.iter().rev() {
            self.note_block(now, server, *hash, sign);
        }
    }

    /// Records that a server has evicted blocks.
    pub(crate) fn evict(&mut self, now: Instant, server: ServerKey, blocks: &[BlockHash]) {
        for hash in blocks {
            let Some(holding) = self.holding(*hash, server) else { continue };
            // The event may be older than the grant whose prefill stores the block again.
            if !holding.is_confirmed && now < holding.seen_at + EVENT_LAG {
                continue;
            }
            let sequence = holding.sequence;
            if let Some(shelf) = self.shelves.get_mut(&server) {
                shelf.order.remove(&sequence);
            }
            self.remove_holding(*hash, server);
        }
    }

    /// Records that events of a server were lost.
    pub(crate) fn note_gap(&mut self, now: Instant, server: ServerKey) {
        let Some(shelf) = self.shelves.get_mut(&server) else { return };
        shelf.gap_at = Some(now);
    }

    /// Returns the length of the prompt prefix that a server is expected to have cached, in tokens.
    ///
    /// Only half counts if the last cached block is uncertain after a gap in the events.
    pub(crate) fn cached_tokens(
        &self,
        now: Instant,
        server: ServerKey,
        blocks: &[BlockHash],
    ) -> u32 {
        let Some(shelf) = self.shelves.get(&server) else { return 0 };
        // Chains are stored from the first block on, so a block implies all blocks before it.
        let count =
            blocks.partition_point(|hash| self.trust(now, shelf, *hash, server) != Trust::None);
        let Some(last) = count.checked_sub(1) else { return 0 };
        let tokens = count as u32 * BLOCK_TOKENS;
        if self.trust(now, shelf, blocks[last], server) == Trust::Doubtful {
            return tokens / 2;
        }
        tokens
    }

    /// Returns up to `limit` servers that hold the longest known prefix of a prompt.
    pub(crate) fn holders(&self, blocks: &[BlockHash], limit: usize) -> Vec<ServerKey> {
        let count = blocks.partition_point(|hash| self.blocks.contains_key(hash));
        let mut servers = Vec::new();
        let Some(last) = count.checked_sub(1) else { return servers };
        for holding in self.blocks.get(&blocks[last]).into_iter().flatten() {
            if servers.len() == limit {
                break;
            }
            servers.push(holding.server);
        }
        servers
    }

    /// Returns the number of blocks in the index, counted once per server.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    fn note_block(&mut self, now: Instant, server: ServerKey, hash: BlockHash, sign: Sign) {
        let Some(shelf) = self.shelves.get_mut(&server) else { return };
        let is_confirmed = sign == Sign::Stored;
        let holdings = self.blocks.entry(hash).or_default();
        if let Some(known) = holdings.iter_mut().find(|holding| holding.server == server) {
            let is_fresh = now < known.seen_at + REFRESH_AFTER
                && shelf.gap_at.is_none_or(|gap_at| gap_at < known.seen_at);
            // A grant uses a known block but does not confirm it.
            known.is_confirmed |= is_confirmed;
            if is_fresh {
                return;
            }
            if is_confirmed || !known.is_confirmed {
                known.seen_at = now;
            }
            shelf.order.remove(&known.sequence);
            self.sequence += 1;
            known.sequence = self.sequence;
            shelf.order.insert(self.sequence, hash);
            return;
        }
        self.sequence += 1;
        holdings.push(Holding { server, sequence: self.sequence, seen_at: now, is_confirmed });
        shelf.order.insert(self.sequence, hash);
        self.len += 1;
        if shelf.order.len() <= shelf.capacity && self.len <= self.max_len {
            return;
        }
        let Some((_, oldest)) = shelf.order.pop_first() else { return };
        self.remove_holding(oldest, server);
    }

    fn trust(&self, now: Instant, shelf: &Shelf, hash: BlockHash, server: ServerKey) -> Trust {
        let Some(holding) = self.holding(hash, server) else { return Trust::None };
        if now > holding.seen_at + MAX_AGE {
            return Trust::None;
        }
        if !holding.is_confirmed && now > holding.seen_at + CONFIRM_WITHIN {
            return Trust::None;
        }
        let Some(gap_at) = shelf.gap_at else { return Trust::Sure };
        if holding.seen_at > gap_at {
            return Trust::Sure;
        }
        if now > gap_at + CONFIRM_WITHIN { Trust::None } else { Trust::Doubtful }
    }

    fn holding(&self, hash: BlockHash, server: ServerKey) -> Option<&Holding> {
        self.blocks.get(&hash)?.iter().find(|holding| holding.server == server)
    }

    fn remove_holding(&mut self, hash: BlockHash, server: ServerKey) {
        let Some(holdings) = self.blocks.get_mut(&hash) else { return };
        let Some(at) = holdings.iter().position(|holding| holding.server == server) else { return };
        holdings.swap_remove(at);
        self.len -= 1;
        if holdings.is_empty() {
            self.blocks.remove(&hash);
        }
    }
}

/// The confidence that a server still stores a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trust {
    None,
    Doubtful,
    Sure,
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::{BLOCK_TOKENS, BlockHash, ServerKey};
    use slotmap::SlotMap;

    use super::{CONFIRM_WITHIN, EVENT_LAG, PrefixIndex, Sign};

    const CAPACITY: u64 = 100 * BLOCK_TOKENS as u64;

    fn setup() -> (PrefixIndex, ServerKey, ServerKey, Instant) {
        let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let (a, b) = (keys.insert(()), keys.insert(()));
        let mut index = PrefixIndex::new(1_000);
        index.add_server(a, CAPACITY);
        index.add_server(b, CAPACITY);
        (index, a, b, Instant::now())
    }

    fn chain(from: u64, count: u64) -> Vec<BlockHash> {
        (from..from + count).map(BlockHash).collect()
    }

    #[test]
    fn the_longest_known_prefix_counts() {
        let (mut index, a, b, now) = setup();
        index.note(now, a, &chain(0, 5), Sign::Stored);
        index.note(now, b, &chain(0, 2), Sign::Stored);
        assert_eq!(index.cached_tokens(now, a, &chain(0, 9)), 5 * BLOCK_TOKENS);
        assert_eq!(index.cached_tokens(now, b, &chain(0, 9)), 2 * BLOCK_TOKENS);
        assert_eq!(index.holders(&chain(0, 9), 4), [a]);
        assert_eq!(index.cached_tokens(now, a, &chain(50, 9)), 0);
        index.remove_server(a);
        assert_eq!(index.holders(&chain(0, 9), 4), [b]);
        assert_eq!(index.len(), 2);
    }

    #[test]
    fn a_granted_block_ages_out_unless_it_is_confirmed() {
        let (mut index, a, _, now) = setup();
        index.note(now, a, &chain(0, 4), Sign::Grant);
        assert_eq!(index.cached_tokens(now, a, &chain(0, 4)), 4 * BLOCK_TOKENS);
        let later = now + CONFIRM_WITHIN + Duration::from_secs(1);
        assert_eq!(index.cached_tokens(later, a, &chain(0, 4)), 0);
        index.note(now + Duration::from_secs(1), a, &chain(0, 4), Sign::Stored);
        assert_eq!(index.cached_tokens(later, a, &chain(0, 4)), 4 * BLOCK_TOKENS);
    }

    #[test]
    fn a_gap_makes_earlier_blocks_doubtful() {
        let (mut index, a, _, now) = setup();
        index.note(now, a, &chain(0, 4), Sign::Stored);
        index.note_gap(now, a);
        assert_eq!(index.cached_tokens(now, a, &chain(0, 4)), 2 * BLOCK_TOKENS);
        let later = now + CONFIRM_WITHIN + Duration::from_secs(1);
        assert_eq!(index.cached_tokens(later, a, &chain(0, 4)), 0);
        index.note(later, a, &chain(0, 4), Sign::Stored);
        assert_eq!(index.cached_tokens(later, a, &chain(0, 4)), 4 * BLOCK_TOKENS);
    }

    #[test]
    fn an_eviction_that_is_older_than_a_grant_is_ignored() {
        let (mut index, a, _, now) = setup();
        index.note(now, a, &chain(0, 4), Sign::Grant);
        index.evict(now, a, &chain(0, 4));
        assert_eq!(index.len(), 4);
        index.evict(now + EVENT_LAG, a, &chain(2, 2));
        assert_eq!(index.cached_tokens(now, a, &chain(0, 4)), 2 * BLOCK_TOKENS);
    }

    #[test]
    fn memory_is_bounded_and_chains_are_forgotten_from_their_end() {
        let (mut index, a, b, now) = setup();
        for n in 0..50 {
            index.note(now, a, &chain(n * 100, 30), Sign::Stored);
            index.note(now, b, &chain(n * 100, 30), Sign::Stored);
        }
        assert_eq!(index.len(), 200);
        let cached = index.cached_tokens(now, a, &chain(46 * 100, 30));
        assert_eq!(cached, 10 * BLOCK_TOKENS);
    }
}
