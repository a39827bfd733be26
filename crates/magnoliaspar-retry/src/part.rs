//! Identifiers of the parts of a prompt.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Hash of the identifier of a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl PartId {
    /// Hashes an identifier.
    pub fn of(id: &[u8]) -> Self {
        Self(xxh3_64(id))
    }
}

/// Hashes content that is not in one piece. Its result is that of [`PartId::of`] for the whole.
#[derive(Default)]
pub struct PartHasher(Box<Xxh3>);

impl PartHasher {
    /// Adds the next bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the part that the bytes so far are.
    pub fn part(&self) -> PartId {
        PartId(self.0.digest())
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
