use std::collections::BTreeSet;

use magnoliaspar_core::InstanceName;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the `count` names with the highest rendezvous weights for `topic`, the highest first.
///
/// All who hold the same names get the same answer, and a name that comes or goes moves no other.
pub fn rendezvous<'a>(
    topic: &str,
    names: impl Iterator<Item = &'a InstanceName>,
    count: usize,
) -> Vec<&'a InstanceName> {
    let mut weighed = Vec::new();
    for name in names {
        weighed.push((weight(topic, name), name));
    }
    weighed.sort_unstable_by(|a, b| b.cmp(a));
    weighed.truncate(count);
    weighed.into_iter().map(|(_, name)| name).collect()
}

/// The instances of a zone in the order of the hashes of their names, as a closed ring.
///
/// The hash scatters neighbours by name, which often fail together, over the ring.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ring {
    places: BTreeSet<(u64, InstanceName)>,
}

impl Ring {
    pub(crate) fn insert(&mut self, name: InstanceName) {
        self.places.insert((xxh3_64(name.as_str().as_bytes()), name));
    }

    pub(crate) fn contains(&self, name: &InstanceName) -> bool {
        self.places.contains(&(xxh3_64(name.as_str().as_bytes()), name.clone()))
    }

    /// Returns the instance after `name`, which need not be on the ring itself.
    pub(crate) fn successor(&self, name: &InstanceName) -> Option<&InstanceName> {
        let place = (xxh3_64(name.as_str().as_bytes()), name.clone());
        let after = self.places.range(place..).find(|(_, other)| other != name);
        let first = || self.places.iter().find(|(_, other)| other != name);
        after.or_else(first).map(|(_, name)| name)
    }

    /// Returns the instance before `name`, which need not be on the ring itself.
    pub(crate) fn predecessor(&self, name: &InstanceName) -> Option<&InstanceName> {
        let place = (xxh3_64(name.as_str().as_bytes()), name.clone());
        let before = self.places.range(..place).next_back();
        let last = || self.places.iter().rev().find(|(_, other)| other != name);
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
