use std::rc::Rc;

use magnoliaspar_core::{PoolName, ServerName, hash_blocks};
use magnoliaspar_declaration::CompletionRoute;
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Directory;

/// How many servers of a pool one home instance keeps books for.
const SHARD_SERVERS: usize = 16;

/// A part of a pair of pools, with one home instance in the availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shard {
    /// The pool of prefill engines.
    pub prefill: PoolName,
    /// The pool of decode engines.
    pub decode: PoolName,
    /// The number of the shard, from 0 on.
    pub number: u64,
}

impl Shard {
    /// Returns the text by which the home instance is chosen.
    pub fn to_key(&self) -> Box<str> {
        format!("{}/{}/{}", self.prefill, self.decode, self.number).into()
    }
}

/// Divides pools into shards.
///
/// All instances of a zone come to the same division as long as they know the same servers; while
/// they do not, a server may be in the books of two homes, and its own admission decides.
#[derive(Debug, Clone)]
pub struct ShardMap {
    directory: Rc<Directory>,
}

impl ShardMap {
    /// Creates a map over the servers of a directory.
    pub fn new(directory: Rc<Directory>) -> Self {
        Self { directory }
    }

    /// Returns all shards of a route.
    pub fn all(&self, route: &CompletionRoute) -> Vec<Shard> {
        let mut shards = Vec::new();
        for number in 0..self.count(route) {
            shards.push(shard(route, number));
        }
        shards
    }

    /// Returns the shard that serves a prompt.
    ///
    /// Prompts that start alike are served by the same shard, where their prefix is cached.
    pub fn of_prompt(&self, route: &CompletionRoute, prompt: &str) -> Shard {
        let hash = match hash_blocks(prompt.as_bytes()).first() {
            Some(block) => block.0,
            None => xxh3_64(prompt.as_bytes()),
        };
        shard(route, hash % self.count(route))
    }

    /// Whether a server belongs to a shard of a route.
    pub fn contains(&self, route: &CompletionRoute, shard: &Shard, server: &ServerName) -> bool {
        xxh3_64(server.as_str().as_bytes()) % self.count(route) == shard.number
    }

    fn count(&self, route: &CompletionRoute) -> u64 {
        let prefills = self.directory.count_of(&route.prefill_pool);
        let decodes = self.directory.count_of(&route.decode_pool);
        let smaller = prefills.min(decodes);
        (smaller.div_ceil(SHARD_SERVERS) as u64).max(1)
    }
}

fn shard(route: &CompletionRoute, number: u64) -> Shard {
    Shard { prefill: route.prefill_pool.clone(), decode: route.decode_pool.clone(), number }
}
