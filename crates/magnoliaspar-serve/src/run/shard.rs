//! Divides pools into shards, each of which has one home instance in an availability zone.

use std::rc::Rc;

use magnoliaspar_core::{PoolName, ServerName, hash_blocks};
use magnoliaspar_declaration::CompletionRoute;
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Directory;

/// Target number of servers per shard, in the smaller of its two pools.
const SERVERS_PER_SHARD: usize = 16;

/// A part of a pair of prefill and decode pools that one home instance schedules.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shard {
    /// The pool of prefill engines.
    pub prefill: PoolName,
    /// The pool of decode engines.
    pub decode: PoolName,
    /// The index of the shard, starting at 0.
    pub number: u64,
}

impl Shard {
    /// Returns the rendezvous hashing key that selects the home instance.
    pub fn rendezvous_key(&self) -> Box<str> {
        format!("{}/{}/{}", self.prefill, self.decode, self.number).into()
    }
}

/// Divides pools into shards.
///
/// Instances of a zone that know the same servers compute the same division. While their views
/// differ, two homes may schedule work on one server, and the server's own admission decides.
#[derive(Debug, Clone)]
pub struct ShardMap {
    directory: Rc<Directory>,
}

impl ShardMap {
    /// Creates a map over the servers of a directory.
    pub fn new(directory: Rc<Directory>) -> Self {
        Self { directory }
    }

    /// Returns all shards of a route's pools.
    pub fn all_for_route(&self, route: &CompletionRoute) -> Vec<Shard> {
        let mut shards = Vec::new();
        for number in 0..self.shard_count(route) {
            shards.push(new_shard(route, number));
        }
        shards
    }

    /// Returns the shard that serves a prompt.
    ///
    /// Prompts with the same first block map to the same shard, where their prefix is cached.
    pub fn for_prompt(&self, route: &CompletionRoute, prompt: &str) -> Shard {
        let hash = match hash_blocks(prompt.as_bytes()).first() {
            Some(block) => block.0,
            None => xxh3_64(prompt.as_bytes()),
        };
        new_shard(route, hash % self.shard_count(route))
    }

    /// Returns whether a server belongs to a shard of a route.
    pub fn contains(&self, route: &CompletionRoute, shard: &Shard, server: &ServerName) -> bool {
        xxh3_64(server.as_str().as_bytes()) % self.shard_count(route) == shard.number
    }

    fn shard_count(&self, route: &CompletionRoute) -> u64 {
        let prefills = self.directory.server_count(&route.prefill_pool);
        let decodes = self.directory.server_count(&route.decode_pool);
        let smaller = prefills.min(decodes);
        (smaller.div_ceil(SERVERS_PER_SHARD) as u64).max(1)
    }
}

fn new_shard(route: &CompletionRoute, number: u64) -> Shard {
    Shard { prefill: route.prefill_pool.clone(), decode: route.decode_pool.clone(), number }
}
