//! Digests of the member list, by which instances find differences between their lists.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Health, MemberId, Standing};

/// Number of shards into which the member list is divided for comparison.
pub const SHARDS: usize = 64;

/// One digest for each shard of the member list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardDigests(pub Box<[u32]>);

impl ShardDigests {
    /// Creates the digests of an empty list.
    pub fn new() -> Self {
        Self(vec![0; SHARDS].into())
    }

    /// Adds a member, or removes one that was added before. A dead member counts as absent.
    ///
    /// The result does not depend on the order of the calls.
    pub fn toggle(&mut self, id: &MemberId, standing: &Standing) {
        if standing.health != Health::Dead {
            self.0[shard_of(id)] ^= digest_member(id, standing) as u32;
        }
    }

    /// Returns one digest over all shards.
    pub fn total(&self) -> u64 {
        let mut bytes = Vec::with_capacity(4 * SHARDS);
        for digest in &self.0 {
            bytes.extend(digest.to_le_bytes());
        }
        xxh3_64(&bytes)
    }

    /// Returns whether the digests of `shard` are equal in both lists.
    pub fn has_equal_shard(&self, other: &ShardDigests, shard: usize) -> bool {
        self.0.get(shard) == other.0.get(shard)
    }

    /// Estimates the size on the wire in bytes.
    pub fn encoded_len(&self) -> usize {
        3 + 4 * self.0.len()
    }
}

impl Default for ShardDigests {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the shard of the member list to which a member belongs.
pub(crate) fn shard_of(id: &MemberId) -> usize {
    (xxh3_64(id.as_str().as_bytes()) % SHARDS as u64) as usize
}

fn digest_member(id: &MemberId, standing: &Standing) -> u64 {
    let mut bytes = Vec::with_capacity(id.as_str().len() + 26);
    bytes.extend(id.as_str().as_bytes());
    bytes.push(0);
    bytes.extend(standing.incarnation.0.to_le_bytes());
    bytes.extend(standing.drain_epoch.to_le_bytes());
    bytes.extend(standing.sequence.to_le_bytes());
    bytes.push(u8::from(standing.is_leaving));
    bytes.push(standing.health as u8);
    xxh3_64(&bytes)
}
