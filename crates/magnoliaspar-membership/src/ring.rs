//! Rendezvous hashing and the hash ring of the instances of a zone.

use std::collections::BTreeSet;

use magnoliaspar_core::InstanceName;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the `count` names with the highest rendezvous weights for `topic`, the highest first.
///
/// The result depends only on the topic and the set of names. Adding or removing a name does not
/// change the order of the others.
pub fn rendezvous<'a>(
    topic: &str,
    names: impl Iterator<Item = &'a InstanceName>,
    count: usize,
) -> Vec<&'a InstanceName> {
    let mut weighted = Vec::new();
    for name in names {
        weighted.push((weight(topic, name), name));
    }
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, name)| name).collect()
}

/// A hash ring of the instances of a zone, ordered by the hashes of their names.
///
/// Instances with similar names often fail together; the hash spreads them over the ring.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ring {
    positions: BTreeSet<(u64, InstanceName)>,
}

impl Ring {
    pub(crate) fn insert(&mut self, name: InstanceName) {
        self.positions.insert((xxh3_64(name.as_str().as_bytes()), name));
    }

    pub(crate) fn contains(&self, name: &InstanceName) -> bool {
        self.positions.contains(&(xxh3_64(name.as_str().as_bytes()), name.clone()))
    }

    /// Returns the instance after `name`, which need not be on the ring itself.
    pub(crate) fn successor(&self, name: &InstanceName) -> Option<&InstanceName> {
        let position = (xxh3_64(name.as_str().as_bytes()), name.clone());
        let after = self.positions.range(position..).find(|(_, other)| other != name);
        let first = || self.positions.iter().find(|(_, other)| other != name);
        after.or_else(first).map(|(_, name)| name)
    }

    /// Returns the instance before `name`, which need not be on the ring itself.
    pub(crate) fn predecessor(&self, name: &InstanceName) -> Option<&InstanceName> {
        let position = (xxh3_64(name.as_str().as_bytes()), name.clone());
        let before = self.positions.range(..position).next_back();
        let last = || self.positions.iter().rev().find(|(_, other)| other != name);
        before.or_else(last).map(|(_, name)| name)
    }
}

fn weight(topic: &str, name: &InstanceName) -> u64 {
    let mut bytes = Vec::with_capacity(topic.len() + 1 + name.as_str().len());
    bytes.extend(topic.as_bytes());
    bytes.push(0);
    bytes.extend(name.as_str().as_bytes());
    xxh3_64(&bytes)
}
