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

/// A position in the sequence of changes of the platform's store.
///
/// A position of a later epoch is later, whatever its revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// The epoch in which the store assigned the revision.
    pub epoch: Epoch,
    /// The revision, which rises with each change of the store.
    pub revision: u64,
}

#[cfg(test)]
mod tests {
    use super::{Epoch, Position};

    #[test]
    fn a_position_of_a_later_epoch_is_later() {
        let at = |epoch, revision| Position { epoch: Epoch(epoch), revision };
        assert!(at(2, 3) > at(1, 900));
        assert!(at(1, 4) > at(1, 3));
        assert!(Position::default() < at(1, 0));
    }
}
