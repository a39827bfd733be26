//! Index of the prompt prefixes that prefill engines have cached.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::{BLOCK_TOKENS, BlockHash, ServerKey};

/// The time within which an expected block must be confirmed by its server.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// The time for which a block counts as stored after it was last seen.
const BLOCK_TTL: Duration = Duration::from_secs(3_600);

/// The maximum delay of an eviction event, which may predate a grant made within this time.
const MAX_EVENT_LAG: Duration = Duration::from_secs(1);

/// The minimum age of an entry before it is refreshed, which limits updates of the LRU order.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// The prefix blocks that each prefill engine is expected to have cached.
///
/// Blocks are added when a prefill is granted and confirmed when it is done or by a cache event, so
/// the index also works without events. Unconfirmed blocks expire. After a gap in the events, all
/// blocks known before need a new confirmation.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    blocks: BTreeMap<BlockHash, Vec<BlockEntry>>,
    servers: BTreeMap<ServerKey, ServerBlocks>,
    len: usize,
    max_len: usize,
    sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct BlockEntry {
    server: ServerKey,
    sequence: u64,
    last_seen_at: Instant,
    is_confirmed: bool,
}

/// The blocks of one server in LRU order.
#[derive(Debug)]
struct ServerBlocks {
    lru: BTreeMap<u64, BlockHash>,
    capacity: usize,
    gap_at: Option<Instant>,
}

/// The status with which a block is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BlockStatus {
    /// A granted prefill is expected to store the block.
    Expected,
    /// The server has stored the block.
    Stored,
}

impl PrefixIndex {
    /// Creates an index of at most `max_len` blocks, counted once per server.
    pub(crate) fn new(max_len: usize) -> Self {
        Self {
            blocks: BTreeMap::new(),
            servers: BTreeMap::new(),
            len: 0,
            max_len: max_len.max(1),
            sequence: 0,
        }
    }

    /// Adds a server whose cache holds at most `capacity_tokens`.
    pub(crate) fn add_server(&mut self, server: ServerKey, capacity_tokens: u64) {
        let capacity = (capacity_tokens / u64::from(BLOCK_TOKENS)).max(1) as usize;
        let server_blocks = self.servers.entry(server).or_insert(ServerBlocks {
            lru: BTreeMap::new(),
            capacity,
            gap_at: None,
        });
        server_blocks.capacity = capacity;
    }

    /// Removes a server and its blocks.
    pub(crate) fn remove_server(&mut self, server: ServerKey) {
        let Some(server_blocks) = self.servers.remove(&server) else { return };
        for hash in server_blocks.lru.into_values() {
            self.remove_entry(hash, server);
        }
    }

    /// Records that a server stores, or is expected to store, the blocks of a prompt.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        server: ServerKey,
        blocks: &[BlockHash],
        status: BlockStatus,
    ) {
        // The first block is added last, so that LRU eviction removes a chain from its end.
        for hash in blocks.iter().rev() {
            self.record_block(now, server, *hash, status);
        }
    }

    /// Records that a server has evicted blocks.
    pub(crate) fn evict(&mut self, now: Instant, server: ServerKey, blocks: &[BlockHash]) {
        for hash in blocks {
            let Some(entry) = self.entry(*hash, server) else { continue };
            // The event may be older than the grant whose prefill stores the block again.
            if !entry.is_confirmed && now < entry.last_seen_at + MAX_EVENT_LAG {
                continue;
            }
            let sequence = entry.sequence;
            if let Some(server_blocks) = self.servers.get_mut(&server) {
                server_blocks.lru.remove(&sequence);
            }
            self.remove_entry(*hash, server);
        }
    }

    /// Records that events of a server were lost.
    pub(crate) fn record_gap(&mut self, now: Instant, server: ServerKey) {
        let Some(server_blocks) = self.servers.get_mut(&server) else { return };
        server_blocks.gap_at = Some(now);
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
        let Some(server_blocks) = self.servers.get(&server) else { return 0 };
        // Chains are stored from the first block on, so a block implies all blocks before it.
        let count = blocks.partition_point(|hash| {
            self.confidence(now, server_blocks, *hash, server) != Confidence::None
        });
        let Some(last) = count.checked_sub(1) else { return 0 };
        let tokens = count as u32 * BLOCK_TOKENS;
        if self.confidence(now, server_blocks, blocks[last], server) == Confidence::Low {
            return tokens / 2;
        }
        tokens
    }

    /// Returns up to `limit` servers that hold the longest known prefix of a prompt.
    pub(crate) fn holders(&self, blocks: &[BlockHash], limit: usize) -> Vec<ServerKey> {
        let count = blocks.partition_point(|hash| self.blocks.contains_key(hash));
        let mut servers = Vec::new();
        let Some(last) = count.checked_sub(1) else { return servers };
        for entry in self.blocks.get(&blocks[last]).into_iter().flatten() {
            if servers.len() == limit {
                break;
            }
            servers.push(entry.server);
        }
        servers
    }

    /// Returns the number of blocks in the index, counted once per server.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    fn record_block(
        &mut self,
        now: Instant,
        server: ServerKey,
        hash: BlockHash,
        status: BlockStatus,
    ) {
        let Some(server_blocks) = self.servers.get_mut(&server) else { return };
        let is_confirmed = status == BlockStatus::Stored;
        let entries = self.blocks.entry(hash).or_default();
        if let Some(entry) = entries.iter_mut().find(|entry| entry.server == server) {
            let is_fresh = now < entry.last_seen_at + REFRESH_INTERVAL
                && server_blocks.gap_at.is_none_or(|gap_at| gap_at < entry.last_seen_at);
            // A grant uses a known block but does not confirm it.
            entry.is_confirmed |= is_confirmed;
            if is_fresh {
                return;
            }
            if is_confirmed || !entry.is_confirmed {
                entry.last_seen_at = now;
            }
            server_blocks.lru.remove(&entry.sequence);
            self.sequence += 1;
            entry.sequence = self.sequence;
            server_blocks.lru.insert(self.sequence, hash);
            return;
        }
        self.sequence += 1;
        entries.push(BlockEntry {
            server,
            sequence: self.sequence,
            last_seen_at: now,
            is_confirmed,
        });
        server_blocks.lru.insert(self.sequence, hash);
        self.len += 1;
        if server_blocks.lru.len() <= server_blocks.capacity && self.len <= self.max_len {
            return;
        }
        let Some((_, oldest)) = server_blocks.lru.pop_first() else { return };
        self.remove_entry(oldest, server);
    }

    fn confidence(
        &self,
        now: Instant,
        server_blocks: &ServerBlocks,
        hash: BlockHash,
        server: ServerKey,
    ) -> Confidence {
        let Some(entry) = self.entry(hash, server) else { return Confidence::None };
        if now > entry.last_seen_at + BLOCK_TTL {
            return Confidence::None;
        }
        if !entry.is_confirmed && now > entry.last_seen_at + CONFIRMATION_TIMEOUT {
            return Confidence::None;
        }
        let Some(gap_at) = server_blocks.gap_at else { return Confidence::High };
        if entry.last_seen_at > gap_at {
            return Confidence::High;
        }
        if now > gap_at + CONFIRMATION_TIMEOUT { Confidence::None } else { Confidence::Low }
    }

    fn entry(&self, hash: BlockHash, server: ServerKey) -> Option<&BlockEntry> {
        self.blocks.get(&hash)?.iter().find(|entry| entry.server == server)
    }

    fn remove_entry(&mut self, hash: BlockHash, server: ServerKey) {
        let Some(entries) = self.blocks.get_mut(&hash) else { return };
        let Some(at) = entries.iter().position(|entry| entry.server == server) else { return };
        entries.swap_remove(at);
        self.len -= 1;
        if entries.is_empty() {
            self.blocks.remove(&hash);
        }
    }
}

/// The confidence that a server still stores a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Confidence {
    None,
    Low,
    High,
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::{BLOCK_TOKENS, BlockHash, ServerKey};
    use slotmap::SlotMap;

    use super::{BlockStatus, CONFIRMATION_TIMEOUT, MAX_EVENT_LAG, PrefixIndex};

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
        index.record(now, a, &chain(0, 5), BlockStatus::Stored);
        index.record(now, b, &chain(0, 2), BlockStatus::Stored);
        assert_eq!(index.cached_tokens(now, a, &chain(0, 9)), 5 * BLOCK_TOKENS);
        assert_eq!(index.cached_tokens(now, b, &chain(0, 9)), 2 * BLOCK_TOKENS);
        assert_eq!(index.holders(&chain(0, 9), 4), [a]);
        assert_eq!(index.cached_tokens(now, a, &chain(50, 9)), 0);
        index.remove_server(a);
        assert_eq!(index.holders(&chain(0, 9), 4), [b]);
        assert_eq!(index.len(), 2);
    }

    #[test]
    fn an_expected_block_expires_unless_it_is_confirmed() {
        let (mut index, a, _, now) = setup();
        index.record(now, a, &chain(0, 4), BlockStatus::Expected);
        assert_eq!(index.cached_tokens(now, a, &chain(0, 4)), 4 * BLOCK_TOKENS);
        let later = now + CONFIRMATION_TIMEOUT + Duration::from_secs(1);
        assert_eq!(index.cached_tokens(later, a, &chain(0, 4)), 0);
        index.record(now + Duration::from_secs(1), a, &chain(0, 4), BlockStatus::Stored);
        assert_eq!(index.cached_tokens(later, a, &chain(0, 4)), 4 * BLOCK_TOKENS);
    }

    #[test]
    fn a_gap_lowers_the_confidence_in_earlier_blocks() {
        let (mut index, a, _, now) = setup();
        index.record(now, a, &chain(0, 4), BlockStatus::Stored);
        index.record_gap(now, a);
        assert_eq!(index.cached_tokens(now, a, &chain(0, 4)), 2 * BLOCK_TOKENS);
        let later = now + CONFIRMATION_TIMEOUT + Duration::from_secs(1);
        assert_eq!(index.cached_tokens(later, a, &chain(0, 4)), 0);
        index.record(later, a, &chain(0, 4), BlockStatus::Stored);
        assert_eq!(index.cached_tokens(later, a, &chain(0, 4)), 4 * BLOCK_TOKENS);
    }

    #[test]
    fn an_eviction_that_is_older_than_a_grant_is_ignored() {
        let (mut index, a, _, now) = setup();
        index.record(now, a, &chain(0, 4), BlockStatus::Expected);
        index.evict(now, a, &chain(0, 4));
        assert_eq!(index.len(), 4);
        index.evict(now + MAX_EVENT_LAG, a, &chain(2, 2));
        assert_eq!(index.cached_tokens(now, a, &chain(0, 4)), 2 * BLOCK_TOKENS);
    }

    #[test]
    fn memory_is_bounded_and_chains_are_evicted_from_their_end() {
        let (mut index, a, b, now) = setup();
        for n in 0..50 {
            index.record(now, a, &chain(n * 100, 30), BlockStatus::Stored);
            index.record(now, b, &chain(n * 100, 30), BlockStatus::Stored);
        }
        assert_eq!(index.len(), 200);
        let cached = index.cached_tokens(now, a, &chain(46 * 100, 30));
        assert_eq!(cached, 10 * BLOCK_TOKENS);
    }
}
