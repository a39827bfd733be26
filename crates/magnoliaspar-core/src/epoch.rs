//! Epochs of the platform's store.

use serde::{Deserialize, Serialize};

/// An epoch of the platform's store, which ends when the store is restored from an earlier copy.
///
/// Versions and revisions of different epochs are not comparable: a restored store assigns them again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of a store that was never restored and tells its epoch.
    pub const FIRST: Self = Self(1);
}
