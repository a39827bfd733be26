//! Epochs of the platform's store.

use serde::{Deserialize, Serialize};

/// An epoch of the platform's store, which ends when the store is restored from an earlier copy.
///
/// Versions and revisions of different epochs are not comparable: a restored store assigns them again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);
